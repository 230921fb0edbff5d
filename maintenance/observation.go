package maintenance

import (
	"time"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/upstream"
)

// FreshFor is the age up to which an observation counts.
const FreshFor = 2 * time.Second

// HostObservation is what an entry host knows of an upstream host.
type HostObservation struct {
	// At is the time at which the status was requested, on the observer's clock.
	At     time.Time
	Status upstream.Status
	// Failing is set while the host is ejected because its tasks or calls fail.
	Failing bool
	// Listed and DrainedByHand are from the platform's host list.
	Listed        platform.HostState
	DrainedByHand bool
}

// Observations are the inputs of all decisions, besides bundle and record.
type Observations struct {
	// RecordAt is a time at which the record was the store's current one. HostListAt is the time at which the
	// platform's host list was requested. Without both, no host is stopped.
	RecordAt   time.Time
	HostListAt time.Time
	Hosts      map[string]HostObservation
	// Loads has the load of each pool, see Load.Observe.
	Loads map[string]Load
	// MoveCost is the measured time that a pool move of an idle host takes, 0 for defaultMoveCost.
	MoveCost time.Duration
}

func isFresh(now, at time.Time) bool { return now.Sub(at) <= FreshFor }

func (o *Observations) isCurrent(now time.Time) bool {
	return isFresh(now, o.RecordAt) && isFresh(now, o.HostListAt)
}

// fresh returns the observation of a host if it is not too old.
func (o *Observations) fresh(now time.Time, host string) (HostObservation, bool) {
	seen, ok := o.Hosts[host]
	return seen, ok && isFresh(now, seen.At)
}

// Reason says why a host counts as unavailable.
type Reason string

// The values of Reason.
const (
	Available     Reason = ""
	NotObserved   Reason = "no observation within 2 s"
	OutOfService  Reason = "taken out of service"
	ZoneOut       Reason = "availability zone out of service"
	HostFailing   Reason = "failing"
	HostLeaving   Reason = "leaving or gone"
	DrainedByHand Reason = "drained by hand"
	EpochPending  Reason = "epoch not confirmed by the upstream"
)

// reasonFor returns why a host is unavailable.
func reasonFor(now time.Time, a control.Assignment, zoneOut bool, obs *Observations) Reason {
	seen, ok := obs.fresh(now, a.Host)
	switch {
	case a.State != control.InService:
		return OutOfService
	case zoneOut:
		return ZoneOut
	case !ok || !obs.isCurrent(now):
		return NotObserved
	case seen.Listed != platform.HostLive:
		return HostLeaving
	case seen.Status.PoolEpoch != a.Epoch:
		return EpochPending
	case seen.DrainedByHand || seen.Status.Draining:
		return DrainedByHand
	case seen.Failing:
		return HostFailing
	}
	return Available
}

// hostView is a host with everything that is known of it.
type hostView struct {
	host       bundle.Host
	assignment control.Assignment
	home       string // pool of the bundle
	reason     Reason
	seen       HostObservation
}

// isIdle reports whether a host holds no reservation and runs no task.
func isIdle(s upstream.Status) bool { return s.Running == 0 && s.Reserved == upstream.Size{} }

// fleet is the state of all hosts at one moment.
type fleet struct {
	now    time.Time
	bundle *bundle.Bundle
	record *control.Record
	obs    *Observations
	pools  map[string]bundle.Pool
	hosts  []hostView
	ledger ledger
	// drains and holds are the targets of the interventions in force.
	drains map[string]bool
	holds  map[string]bool
}

// assess combines bundle, record and observations. Hosts that the bundle does not have are left out.
func assess(now time.Time, b *bundle.Bundle, r *control.Record, obs *Observations) *fleet {
	f := &fleet{now: now, bundle: b, record: r, obs: obs, pools: make(map[string]bundle.Pool, len(b.Pools))}
	f.ledger = newLedger(b.Pools)
	home := make(map[string]string, len(b.Hosts))
	for _, p := range b.Pools {
		f.pools[p.Name] = p
		for _, h := range p.Hosts {
			home[h] = p.Name
		}
	}
	f.drains = interventions(now, b, bundle.InterventionDrain)
	f.holds = interventions(now, b, bundle.InterventionHold)
	zoneOut := map[string]bool{}
	for _, z := range b.Zones {
		zoneOut[z.Name] = z.OutOfService
	}
	hosts := make(map[string]bundle.Host, len(b.Hosts))
	for _, h := range b.Hosts {
		hosts[h.ID] = h
	}
	for _, a := range r.Assignments {
		host, ok := hosts[a.Host]
		if !ok {
			continue
		}
		view := hostView{host: host, assignment: a, home: home[a.Host], reason: reasonFor(now, a, zoneOut[host.Zone], obs)}
		view.seen = obs.Hosts[a.Host]
		if view.reason != Available {
			f.ledger.add(a.Pool, host)
		}
		f.hosts = append(f.hosts, view)
	}
	return f
}

// interventions returns the targets of all interventions of one kind that are in force.
func interventions(now time.Time, b *bundle.Bundle, kind bundle.InterventionKind) map[string]bool {
	targets := map[string]bool{}
	for _, i := range b.Interventions {
		until, err := time.Parse(time.RFC3339, i.Until)
		if err == nil && i.Kind == kind && now.Before(until) {
			targets[i.Target] = true
		}
	}
	return targets
}

// Unavailable returns all unavailable hosts with the reason, as the budgets count them.
func Unavailable(now time.Time, b *bundle.Bundle, r *control.Record, obs Observations) map[string]Reason {
	reasons := map[string]Reason{}
	for _, v := range assess(now, b, r, &obs).hosts {
		if v.reason != Available {
			reasons[v.host.ID] = v.reason
		}
	}
	return reasons
}
