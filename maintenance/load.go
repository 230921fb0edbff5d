package maintenance

import (
	"time"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
)

const (
	// defaultMoveCost covers two commits, the drain of an idle host, the next status and the way back. Bursts of a
	// few seconds must not start moves: with 3 s nearly every one did, for nothing.
	defaultMoveCost = 12 * time.Second
	// calmPercent of a pool's own capacity is the demand below which a burst ends. The gap to 100 keeps demand
	// that varies around the capacity from starting a burst each time.
	calmPercent = 80
	// keepLent is how long a lent host stays in a calm pool at least.
	keepLent = 10 * time.Minute
)

// Load is the measured demand of a pool over time, in slots.
type Load struct {
	// Demand is the number of slots that are in use or waited for.
	Demand int
	// Bursting is set while the demand exceeds the pool's own capacity, Since is the start of the burst or calm.
	Bursting bool
	Since    time.Time
	// LastBurst is the start of the last burst, Gap the time between the last two starts.
	LastBurst time.Time
	Gap       time.Duration
}

// Observe returns the load after a measurement. own is the capacity of the available hosts of the pool without
// lent ones, so that lending does not end the burst that it serves.
func (l Load) Observe(now time.Time, demand, own int) Load {
	l.Demand = demand
	switch {
	case !l.Bursting && demand > own:
		if !l.LastBurst.IsZero() {
			l.Gap = now.Sub(l.LastBurst)
		}
		l.Bursting, l.Since, l.LastBurst = true, now, now
	case l.Bursting && demand*100 < own*calmPercent, l.Since.IsZero():
		l.Bursting, l.Since = false, now
	}
	return l
}

// ObserveLoads returns the loads of all pools after a measurement of their demand in slots.
func ObserveLoads(now time.Time, b *bundle.Bundle, r *control.Record, obs Observations, demand map[string]int) map[string]Load {
	own := map[string]int{}
	for _, v := range assess(now, b, r, &obs).hosts {
		if v.reason == Available && v.home == v.assignment.Pool {
			own[v.home] += v.host.Capacity.Slots
		}
	}
	loads := make(map[string]Load, len(b.Pools))
	for _, p := range b.Pools {
		loads[p.Name] = obs.Loads[p.Name].Observe(now, demand[p.Name], own[p.Name])
	}
	return loads
}

// hasLasted reports whether a burst has lasted longer than a move costs. Until then it is likelier to be over
// before the host arrives.
func (l Load) hasLasted(now time.Time, cost time.Duration) bool {
	return l.Bursting && now.Sub(l.Since) > cost
}

// isCalm reports whether the pool has been calm for d.
func (l Load) isCalm(now time.Time, d time.Duration) bool {
	return !l.Bursting && !l.Since.IsZero() && now.Sub(l.Since) > d
}

// mayReturn reports whether a lent host is unlikely to be needed again soon: the pool has been calm for twice the
// time after which its bursts recur.
func (l Load) mayReturn(now time.Time) bool {
	return l.isCalm(now, max(keepLent, 2*l.Gap))
}
