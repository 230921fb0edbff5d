package maintenance

import (
	"time"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
)

const (
	// defaultMoveDuration covers two commits, the drain of an idle host, the next status, and the move back. Bursts of
	// a few seconds must not start moves: with 3 s, nearly every such burst started a move that had no benefit.
	defaultMoveDuration = 12 * time.Second
	// burstEndPercent is the demand, in percent of a pool's own capacity, below which a burst ends. A burst starts
	// above 100%; the hysteresis keeps demand that varies around the capacity from starting many bursts.
	burstEndPercent = 80
	// minReturnDelay is the minimum time without a burst in a pool before a host lent to it is returned.
	minReturnDelay = 10 * time.Minute
)

// Load is the measured demand of a pool and the history of its bursts.
type Load struct {
	// Demand is the number of slots in use plus those that waiting requests ask for.
	Demand int
	// Bursting is set from when the demand exceeds the pool's own capacity until it falls below burstEndPercent of
	// it. Since is the time at which Bursting last changed, or that of the first measurement.
	Bursting bool
	Since    time.Time
	// LastBurst is the start time of the last burst, BurstInterval the time between the starts of the last two.
	LastBurst     time.Time
	BurstInterval time.Duration
}

// Observe returns the load updated with a measured demand. ownSlots is the capacity of the available hosts of the pool
// without hosts lent to it, so that lending does not end the burst that it serves.
func (l Load) Observe(now time.Time, demand, ownSlots int) Load {
	l.Demand = demand
	switch {
	case !l.Bursting && demand > ownSlots:
		if !l.LastBurst.IsZero() {
			l.BurstInterval = now.Sub(l.LastBurst)
		}
		l.Bursting, l.Since, l.LastBurst = true, now, now
	case l.Bursting && demand*100 < ownSlots*burstEndPercent, l.Since.IsZero():
		l.Bursting, l.Since = false, now
	}
	return l
}

// ObserveLoads returns the loads of all pools of the bundle, updated with their measured demand in slots.
func ObserveLoads(
	now time.Time, b *bundle.Bundle, r *control.Record, obs Observations, demand map[string]int,
) map[string]Load {
	ownSlots := map[string]int{}
	for _, v := range newFleet(now, b, r, &obs).hosts {
		if v.reason == Available && v.homePool == v.assignment.Pool {
			ownSlots[v.homePool] += v.host.Capacity.Slots
		}
	}
	loads := make(map[string]Load, len(b.Pools))
	for _, p := range b.Pools {
		loads[p.Name] = obs.Loads[p.Name].Observe(now, demand[p.Name], ownSlots[p.Name])
	}
	return loads
}

// isSustained reports whether a burst has lasted for longer than a move takes. A shorter burst is likely to end before
// the moved host is in service.
func (l Load) isSustained(now time.Time, moveDuration time.Duration) bool {
	return l.Bursting && now.Sub(l.Since) > moveDuration
}

// hasNoBurstFor reports whether the pool has been without a burst for longer than d.
func (l Load) hasNoBurstFor(now time.Time, d time.Duration) bool {
	return !l.Bursting && !l.Since.IsZero() && now.Sub(l.Since) > d
}

// mayReturnLent reports whether a lent host is unlikely to be needed again soon: the pool has had no burst for twice
// the time between the starts of its last two bursts, and at least for minReturnDelay.
func (l Load) mayReturnLent(now time.Time) bool {
	return l.hasNoBurstFor(now, max(minReturnDelay, 2*l.BurstInterval))
}
