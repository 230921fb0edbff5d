package maintenance

import (
	"time"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/upstream"
)

// MaxObservationAge is the maximum age of an observation on which a decision may be based.
const MaxObservationAge = 2 * time.Second

// HostObservation is the state of an upstream host as observed by an entry host.
type HostObservation struct {
	// At is the time at which the status was requested, on the observer's clock.
	At     time.Time
	Status upstream.Status
	// Failing is set while package routing has ejected the host because its tasks or calls fail.
	Failing bool
	// PlatformState and DrainedByHand are from the platform's host list.
	PlatformState platform.HostState
	DrainedByHand bool
}

// Observations are the inputs of all decisions besides the bundle and the control record.
type Observations struct {
	// RecordConfirmedAt is a time at which the record was known to be the current one in the store. HostListRequestedAt
	// is the time at which the platform's host list was requested. Unless both are fresh, no drain is begun.
	RecordConfirmedAt   time.Time
	HostListRequestedAt time.Time
	Hosts               map[string]HostObservation
	// Loads holds the load of each pool by name, see Load.Observe.
	Loads map[string]Load
	// MoveDuration is the measured duration of a pool move of an idle host; 0 means defaultMoveDuration.
	MoveDuration time.Duration
}

func isFresh(now, at time.Time) bool { return now.Sub(at) <= MaxObservationAge }

func (o *Observations) isCurrent(now time.Time) bool {
	return isFresh(now, o.RecordConfirmedAt) && isFresh(now, o.HostListRequestedAt)
}

// freshObservation returns the observation of a host, and whether there is one that is fresh.
func (o *Observations) freshObservation(now time.Time, host string) (HostObservation, bool) {
	observation, ok := o.Hosts[host]
	return observation, ok && isFresh(now, observation.At)
}

// Reason is the reason for which a host counts as unavailable.
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

// reasonFor returns why a host is unavailable, or Available.
func reasonFor(now time.Time, a control.Assignment, zoneOut bool, obs *Observations) Reason {
	observation, ok := obs.freshObservation(now, a.Host)
	switch {
	case a.State != control.InService:
		return OutOfService
	case zoneOut:
		return ZoneOut
	case !ok || !obs.isCurrent(now):
		return NotObserved
	case observation.PlatformState != platform.HostLive:
		return HostLeaving
	case observation.Status.PoolEpoch != a.Epoch:
		return EpochPending
	case observation.DrainedByHand || observation.Status.Draining:
		return DrainedByHand
	case observation.Failing:
		return HostFailing
	}
	return Available
}

// hostView combines the configuration, assignment and observation of a host.
type hostView struct {
	host        bundle.Host
	assignment  control.Assignment
	homePool    string // pool to which the bundle assigns the host
	reason      Reason
	observation HostObservation
}

// isIdle reports whether a host holds no reservation and runs no task.
func isIdle(s upstream.Status) bool { return s.Running == 0 && s.Reserved == upstream.Size{} }

// fleet is a snapshot of the state of all hosts, on which decisions are based.
type fleet struct {
	now          time.Time
	bundle       *bundle.Bundle
	record       *control.Record
	obs          *Observations
	pools        map[string]bundle.Pool
	hosts        []hostView
	budgetCounts budgetCounts
	// drains are the hosts that active interventions drain, holds the pools whose planned maintenance they suspend.
	drains map[string]bool
	holds  map[string]bool
}

// newFleet combines the bundle, the record and the observations. Assignments of hosts that are not in the bundle are
// ignored.
func newFleet(now time.Time, b *bundle.Bundle, r *control.Record, obs *Observations) *fleet {
	f := &fleet{now: now, bundle: b, record: r, obs: obs, pools: make(map[string]bundle.Pool, len(b.Pools))}
	f.budgetCounts = newBudgetCounts(b.Pools)
	homePools := make(map[string]string, len(b.Hosts))
	for _, p := range b.Pools {
		f.pools[p.Name] = p
		for _, h := range p.Hosts {
			homePools[h] = p.Name
		}
	}
	f.drains = activeTargets(now, b, bundle.InterventionDrain)
	f.holds = activeTargets(now, b, bundle.InterventionHold)
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
		view := hostView{
			host: host, assignment: a, homePool: homePools[a.Host], reason: reasonFor(now, a, zoneOut[host.Zone], obs),
		}
		view.observation = obs.Hosts[a.Host]
		if view.reason != Available {
			f.budgetCounts.add(a.Pool, host)
		}
		f.hosts = append(f.hosts, view)
	}
	return f
}

// activeTargets returns the targets of the active interventions of one kind.
func activeTargets(now time.Time, b *bundle.Bundle, kind bundle.InterventionKind) map[string]bool {
	targets := map[string]bool{}
	for _, i := range b.Interventions {
		until, err := time.Parse(time.RFC3339, i.Until)
		if err == nil && i.Kind == kind && now.Before(until) {
			targets[i.Target] = true
		}
	}
	return targets
}

// Unavailable returns the hosts that count as unavailable against the budgets, with the reason for each.
func Unavailable(now time.Time, b *bundle.Bundle, r *control.Record, obs Observations) map[string]Reason {
	reasons := map[string]Reason{}
	for _, v := range newFleet(now, b, r, &obs).hosts {
		if v.reason != Available {
			reasons[v.host.ID] = v.reason
		}
	}
	return reasons
}
