package maintenance

import (
	"slices"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
)

// ErrRejected reports that a change conflicts with the control record, which was left unchanged.
var ErrRejected = errors.New("change rejected")

// ChangeKind is the kind of a Change.
type ChangeKind string

// The values of ChangeKind.
const (
	BeginDrain       ChangeKind = "stop"     // from in service to draining
	CancelDrain      ChangeKind = "withdraw" // from draining or stuck back to in service
	CompleteMove     ChangeKind = "move"     // from draining or stuck, once drained, to in service in the pool MoveTo
	BeginMaintenance ChangeKind = "service"  // from draining or stuck, once drained, to maintenance
	InitMaintained   ChangeKind = "mark_due" // set the time of the last maintenance of a new host
	MarkStuck        ChangeKind = "give_up"  // from draining to stuck
	EndMaintenance   ChangeKind = "return"   // from maintenance, once rebooted, to in service
)

// Change is a state change of one assignment.
type Change struct {
	Kind ChangeKind
	Host string
	// Epoch is the epoch of the assignment on which the decision was based.
	Epoch uint64
	// PoolSeq and BundleVersion are those of the control record from which a BeginDrain was planned.
	PoolSeq       uint64
	BundleVersion uint64
	// MoveTo is the target pool if a BeginDrain begins a move to another pool.
	MoveTo string
	// AtUnixMS is the time of the change, on the clock of the entry host that decided it.
	AtUnixMS int64
	// MaintainedUnixMS is the time of the last maintenance that InitMaintained sets.
	MaintainedUnixMS int64
	// Reason is an explanation for operators.
	Reason string
}

// allowedStates lists, per kind of change, the states in which an assignment must be for it.
var allowedStates = map[ChangeKind][]control.HostState{
	BeginDrain:       {control.InService},
	CancelDrain:      {control.Draining, control.Stuck},
	CompleteMove:     {control.Draining, control.Stuck},
	BeginMaintenance: {control.Draining, control.Stuck},
	InitMaintained:   {control.InService},
	MarkStuck:        {control.Draining},
	EndMaintenance:   {control.Maintenance},
}

// Apply returns the record with the changes applied, or ErrRejected if one of them conflicts with it. A BeginDrain is
// rejected if any assignment or the bundle has changed since it was planned, because the number of unavailable hosts or
// the budget may have changed. The other changes take no host out of service and require only that their own assignment
// is unchanged. The caller sets the revision and the nonce.
func Apply(record control.Record, changes []Change) (control.Record, error) {
	basePoolSeq := record.PoolSeq
	record.Assignments = slices.Clone(record.Assignments)
	index, err := indexAssignments(record.Assignments)
	if err != nil {
		return control.Record{}, err
	}
	for _, c := range changes {
		i, ok := index[c.Host]
		if !ok {
			return control.Record{}, errors.Wrapf(ErrRejected, "host %s has no assignment", c.Host)
		}
		a := &record.Assignments[i]
		if err := checkChange(record.BundleVersion, basePoolSeq, *a, c); err != nil {
			return control.Record{}, err
		}
		record.PoolSeq++
		applyChange(a, c, record.PoolSeq)
	}
	return record, nil
}

func indexAssignments(assignments []control.Assignment) (map[string]int, error) {
	index := make(map[string]int, len(assignments))
	for i, a := range assignments {
		if _, ok := index[a.Host]; ok {
			return nil, errors.Wrapf(ErrRejected, "host %s has two assignments", a.Host)
		}
		index[a.Host] = i
	}
	return index, nil
}

func checkChange(bundleVersion, poolSeq uint64, a control.Assignment, c Change) error {
	if a.Epoch != c.Epoch {
		return errors.Wrapf(ErrRejected, "%s %s: decided at epoch %d, but the assignment is at epoch %d",
			c.Kind, c.Host, c.Epoch, a.Epoch)
	}
	if !slices.Contains(allowedStates[c.Kind], a.State) {
		return errors.Wrapf(ErrRejected, "%s %s: not possible while the host is %s", c.Kind, c.Host, a.State)
	}
	if c.Kind == CompleteMove && a.MoveTo == "" {
		return errors.Wrapf(ErrRejected, "move %s: the assignment has no target pool", c.Host)
	}
	if c.Kind == BeginDrain && (c.PoolSeq != poolSeq || c.BundleVersion != bundleVersion) {
		return errors.Wrapf(ErrRejected, "stop %s: planned at pool sequence %d and bundle %d, but the record is at %d and %d",
			c.Host, c.PoolSeq, c.BundleVersion, poolSeq, bundleVersion)
	}
	return nil
}

// applyChange applies a checked change to an assignment. A new epoch is the pool sequence number of its change, so
// that no epoch is used twice, not even for a host that was removed and added again.
func applyChange(a *control.Assignment, c Change, poolSeq uint64) {
	if c.Kind == InitMaintained {
		a.MaintainedUnixMS = c.MaintainedUnixMS
		return
	}
	a.SinceUnixMS = c.AtUnixMS
	switch c.Kind {
	case BeginDrain:
		a.State, a.MoveTo, a.Epoch = control.Draining, c.MoveTo, poolSeq
	case CompleteMove:
		a.State, a.Pool, a.MoveTo, a.Epoch = control.InService, a.MoveTo, "", poolSeq
	case CancelDrain:
		a.State, a.MoveTo, a.Epoch = control.InService, "", poolSeq
	case EndMaintenance:
		a.State, a.MoveTo, a.Epoch = control.InService, "", poolSeq
		a.MaintainedUnixMS = c.AtUnixMS
	case BeginMaintenance:
		a.State = control.Maintenance
	case MarkStuck:
		a.State = control.Stuck
	}
}

// Reconcile adds assignments for new hosts of the bundle and removes those of hosts that the bundle no longer has. A
// host whose pool was changed by the bundle keeps its assignment until Plan moves it.
func Reconcile(record control.Record, b *bundle.Bundle) control.Record {
	homePools := make(map[string]string, len(b.Hosts))
	for _, p := range b.Pools {
		for _, h := range p.Hosts {
			homePools[h] = p.Name
		}
	}
	var kept []control.Assignment
	seen := make(map[string]bool, len(record.Assignments))
	for _, a := range record.Assignments {
		if _, ok := homePools[a.Host]; ok && !seen[a.Host] {
			seen[a.Host] = true
			kept = append(kept, a)
		}
	}
	if len(kept) < len(record.Assignments) {
		record.PoolSeq++
	}
	for _, h := range b.Hosts {
		pool, ok := homePools[h.ID]
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
