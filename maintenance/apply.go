package maintenance

import (
	"slices"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
)

// ErrRefused: a change does not fit the record. Nothing was changed.
var ErrRefused = errors.New("change refused")

// ChangeKind is the kind of a change of an assignment.
type ChangeKind string

// The values of ChangeKind.
const (
	Stop     ChangeKind = "stop"     // in service to draining
	Withdraw ChangeKind = "withdraw" // draining or stuck back to service
	Move     ChangeKind = "move"     // drained, to service in the pool MoveTo
	Service  ChangeKind = "service"  // drained, to maintenance
	MarkDue  ChangeKind = "mark_due" // sets the time of the last maintenance of a new host
	GiveUp   ChangeKind = "give_up"  // draining to stuck
	Return   ChangeKind = "return"   // rebooted, to service
)

// Change is a change of one assignment.
type Change struct {
	Kind ChangeKind
	Host string
	// Epoch is that of the assignment on which the change was decided.
	Epoch uint64
	// PoolSeq and BundleVersion are those of the record on which a stop was planned.
	PoolSeq       uint64
	BundleVersion uint64
	// MoveTo is the target pool of a stop for a move.
	MoveTo string
	// AtUnixMS is the time of the change on the writer's clock.
	AtUnixMS int64
	// MaintainedUnixMS is set by MarkDue.
	MaintainedUnixMS int64
	// Reason is for the operators.
	Reason string
}

// from lists the states in which a change is possible.
var from = map[ChangeKind][]control.HostState{
	Stop:     {control.InService},
	Withdraw: {control.Draining, control.Stuck},
	Move:     {control.Draining, control.Stuck},
	Service:  {control.Draining, control.Stuck},
	MarkDue:  {control.InService},
	GiveUp:   {control.Draining},
	Return:   {control.Maintenance},
}

// Apply returns the record with the changes, or ErrRefused if one of them does not fit it. A stop is refused if any
// assignment or the bundle has changed since it was planned, because the count of its budget may have changed. The
// other changes take no host out of service and need only the assignment on which they were decided. The revision
// and the nonce are left to the caller.
func Apply(record control.Record, changes []Change) (control.Record, error) {
	base := record.PoolSeq
	record.Assignments = slices.Clone(record.Assignments)
	index, err := indexAssignments(record.Assignments)
	if err != nil {
		return control.Record{}, err
	}
	for _, c := range changes {
		i, ok := index[c.Host]
		if !ok {
			return control.Record{}, errors.Wrapf(ErrRefused, "host %s has no assignment", c.Host)
		}
		a := &record.Assignments[i]
		if err := check(record.BundleVersion, base, *a, c); err != nil {
			return control.Record{}, err
		}
		record.PoolSeq++
		transition(a, c, record.PoolSeq)
	}
	return record, nil
}

func indexAssignments(assignments []control.Assignment) (map[string]int, error) {
	index := make(map[string]int, len(assignments))
	for i, a := range assignments {
		if _, ok := index[a.Host]; ok {
			return nil, errors.Wrapf(ErrRefused, "host %s has two assignments", a.Host)
		}
		index[a.Host] = i
	}
	return index, nil
}

func check(bundleVersion, poolSeq uint64, a control.Assignment, c Change) error {
	if a.Epoch != c.Epoch {
		return errors.Wrapf(ErrRefused, "%s %s: decided at epoch %d, now %d", c.Kind, c.Host, c.Epoch, a.Epoch)
	}
	if !slices.Contains(from[c.Kind], a.State) {
		return errors.Wrapf(ErrRefused, "%s %s: the host is %s", c.Kind, c.Host, a.State)
	}
	if c.Kind == Move && a.MoveTo == "" {
		return errors.Wrapf(ErrRefused, "move %s: no target pool", c.Host)
	}
	if c.Kind == Stop && (c.PoolSeq != poolSeq || c.BundleVersion != bundleVersion) {
		return errors.Wrapf(ErrRefused, "stop %s: planned at pool sequence %d and bundle %d, now %d and %d",
			c.Host, c.PoolSeq, c.BundleVersion, poolSeq, bundleVersion)
	}
	return nil
}

// transition changes an assignment. An epoch is the pool sequence number of its change, so that it is never used
// twice, not even by a host that was removed and added again.
func transition(a *control.Assignment, c Change, poolSeq uint64) {
	if c.Kind == MarkDue {
		a.MaintainedUnixMS = c.MaintainedUnixMS
		return
	}
	a.SinceUnixMS = c.AtUnixMS
	switch c.Kind {
	case Stop:
		a.State, a.MoveTo, a.Epoch = control.Draining, c.MoveTo, poolSeq
	case Move:
		a.State, a.Pool, a.MoveTo, a.Epoch = control.InService, a.MoveTo, "", poolSeq
	case Withdraw:
		a.State, a.MoveTo, a.Epoch = control.InService, "", poolSeq
	case Return:
		a.State, a.MoveTo, a.Epoch = control.InService, "", poolSeq
		a.MaintainedUnixMS = c.AtUnixMS
	case Service:
		a.State = control.Maintenance
	case GiveUp:
		a.State = control.Stuck
	}
}

// Reconcile adds assignments for hosts that are new in the bundle and removes those of hosts that it no longer has.
// A host whose pool changed keeps its assignment; Plan moves it.
func Reconcile(record control.Record, b *bundle.Bundle) control.Record {
	home := make(map[string]string, len(b.Hosts))
	for _, p := range b.Pools {
		for _, h := range p.Hosts {
			home[h] = p.Name
		}
	}
	var kept []control.Assignment
	seen := make(map[string]bool, len(record.Assignments))
	for _, a := range record.Assignments {
		if _, ok := home[a.Host]; ok && !seen[a.Host] {
			seen[a.Host] = true
			kept = append(kept, a)
		}
	}
	if len(kept) < len(record.Assignments) {
		record.PoolSeq++
	}
	for _, h := range b.Hosts {
		pool, ok := home[h.ID]
		if !ok || seen[h.ID] {
			continue
		}
		seen[h.ID] = true
		record.PoolSeq++
		kept = append(kept, control.Assignment{Host: h.ID, Pool: pool, Epoch: record.PoolSeq, State: control.InService})
	}
	record.Assignments = kept
	return record
}
