package maintenance

import (
	"hash/fnv"
	"slices"
	"sort"
	"time"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
)

const (
	// maintenanceDuePercent is the percentage of the maintenance interval after which a host is due. It is less than
	// 100 so that a host that waits for the budgets is still maintained within the interval.
	maintenanceDuePercent = 90
	// maintenanceLatePercent is the percentage of the maintenance interval up to which maintenance waits for the end
	// of a burst.
	maintenanceLatePercent = 95
)

// planner collects changes. Each host to be drained is counted against the budgets before the next one is considered.
type planner struct {
	*fleet
	draining map[string]bool
	changes  []Change
}

// Plan proposes which hosts to take out of service within the budgets: for interventions, pool moves and planned
// maintenance, in this order. It takes no host out of service if the observations are outdated, and proposes nothing if
// the record names another bundle.
func Plan(now time.Time, b *bundle.Bundle, r *control.Record, obs Observations) []Change {
	if b.Version != r.BundleVersion {
		return nil
	}
	p := &planner{fleet: newFleet(now, b, r, &obs), draining: map[string]bool{}}
	p.initMaintained()
	if !obs.isCurrent(now) {
		return p.changes
	}
	p.drainForInterventions()
	p.moveToHomePools()
	p.lendHosts()
	p.returnLentHosts()
	p.drainForMaintenance()
	return p.changes
}

// proposeDrain proposes to take a host out of service if it is in service and the budget permits it, and reports
// whether it did.
func (p *planner) proposeDrain(v hostView, moveTo, reason string) bool {
	a := v.assignment
	if a.State != control.InService || p.draining[a.Host] || !p.budgetCounts.allows(a.Pool, v.host) {
		return false
	}
	p.budgetCounts.add(a.Pool, v.host)
	p.draining[a.Host] = true
	p.changes = append(p.changes, Change{
		Kind:          BeginDrain,
		Host:          a.Host,
		Epoch:         a.Epoch,
		PoolSeq:       p.record.PoolSeq,
		BundleVersion: p.record.BundleVersion,
		MoveTo:        moveTo,
		AtUnixMS:      p.now.UnixMilli(),
		Reason:        reason,
	})
	return true
}

// initMaintained sets the time of the last maintenance of new hosts to pseudo-random times in the past, derived from
// the host IDs, which spreads their first maintenance over the interval.
func (p *planner) initMaintained() {
	for _, v := range p.hosts {
		interval := maintenanceInterval(p.pools[v.assignment.Pool])
		if interval == 0 || v.assignment.MaintainedUnixMS != 0 || v.assignment.State != control.InService {
			continue
		}
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(v.host.ID))
		elapsed := time.Duration(hash.Sum64() % uint64(interval*maintenanceDuePercent/100))
		p.changes = append(p.changes, Change{
			Kind:             InitMaintained,
			Host:             v.host.ID,
			Epoch:            v.assignment.Epoch,
			MaintainedUnixMS: p.now.Add(-elapsed).UnixMilli(),
		})
	}
}

func (p *planner) drainForInterventions() {
	for _, v := range p.hosts {
		if _, ok := p.obs.freshObservation(p.now, v.host.ID); ok && p.drains[v.host.ID] {
			p.proposeDrain(v, "", "intervention")
		}
	}
}

// moveToHomePools begins the moves of hosts whose pool was changed by the bundle.
func (p *planner) moveToHomePools() {
	for _, v := range p.hosts {
		if v.reason == Available && v.homePool != v.assignment.Pool && !p.pools[v.homePool].Spare {
			p.proposeDrain(v, v.homePool, "pool changed by the bundle")
		}
	}
}

// lendHosts moves idle hosts of spare pools to pools with a sustained burst, the longest burst first. The hosts may
// still be lent to another pool whose burst is over.
func (p *planner) lendHosts() {
	moveDuration := p.moveDuration()
	var burstingPools []string
	for name, load := range p.obs.Loads {
		if pool, ok := p.pools[name]; ok && !pool.Spare && load.isSustained(p.now, moveDuration) {
			burstingPools = append(burstingPools, name)
		}
	}
	if len(burstingPools) == 0 {
		return
	}
	sort.Slice(burstingPools, func(i, j int) bool {
		a, b := p.obs.Loads[burstingPools[i]].Since, p.obs.Loads[burstingPools[j]].Since
		return a.Before(b) || a.Equal(b) && burstingPools[i] < burstingPools[j]
	})
	capacity := p.expectedSlots()
	candidates := p.lendableHosts(moveDuration)
	for _, name := range burstingPools {
		missingSlots := p.obs.Loads[name].Demand - capacity[name]
		for missingSlots > 0 && len(candidates) > 0 {
			v := candidates[0]
			candidates = candidates[1:]
			if p.proposeDrain(v, name, "burst") {
				missingSlots -= v.host.Capacity.Slots
			}
		}
	}
}

func (p *planner) moveDuration() time.Duration {
	if p.obs.MoveDuration > 0 {
		return p.obs.MoveDuration
	}
	return defaultMoveDuration
}

// expectedSlots returns the slots of each pool's hosts that are available, about to become available, or moving to it.
func (p *planner) expectedSlots() map[string]int {
	slots := map[string]int{}
	for _, v := range p.hosts {
		switch {
		case v.assignment.MoveTo != "":
			slots[v.assignment.MoveTo] += v.host.Capacity.Slots
		case v.reason == Available || v.reason == EpochPending:
			slots[v.assignment.Pool] += v.host.Capacity.Slots
		}
	}
	return slots
}

// lendableHosts returns the available idle hosts of spare pools: first those that are not lent, then those that are
// lent to a pool that has had no burst for the duration of a move. The latter move on directly, which saves the move
// back.
func (p *planner) lendableHosts(moveDuration time.Duration) []hostView {
	var spare, lent []hostView
	for _, v := range p.hosts {
		if v.reason != Available || !p.pools[v.homePool].Spare || !isIdle(v.observation.Status) {
			continue
		}
		switch {
		case v.assignment.Pool == v.homePool:
			spare = append(spare, v)
		case p.obs.Loads[v.assignment.Pool].hasNoBurstFor(p.now, moveDuration):
			lent = append(lent, v)
		}
	}
	return slices.Concat(spare, lent)
}

// returnLentHosts moves idle lent hosts that are unlikely to be needed again soon back to their spare pool.
func (p *planner) returnLentHosts() {
	for _, v := range p.hosts {
		if v.reason != Available || v.assignment.Pool == v.homePool || !p.pools[v.homePool].Spare {
			continue
		}
		if isIdle(v.observation.Status) && p.obs.Loads[v.assignment.Pool].mayReturnLent(p.now) {
			p.proposeDrain(v, v.homePool, "burst over")
		}
	}
}

// drainForMaintenance takes hosts that are due for maintenance out of service, the longest overdue first.
func (p *planner) drainForMaintenance() {
	var due []hostView
	for _, v := range p.hosts {
		if v.reason == Available && p.isDue(v.assignment, maintenanceDuePercent) && !p.waitsForBurstEnd(v.assignment) {
			due = append(due, v)
		}
	}
	sort.SliceStable(due, func(i, j int) bool {
		return due[i].assignment.MaintainedUnixMS < due[j].assignment.MaintainedUnixMS
	})
	for _, v := range due {
		p.proposeDrain(v, "", "planned maintenance")
	}
}

func (p *planner) waitsForBurstEnd(a control.Assignment) bool {
	return p.obs.Loads[a.Pool].Bursting && !p.isDue(a, maintenanceLatePercent)
}

// isDue reports whether percent of the maintenance interval have passed since the last maintenance of a host and no
// intervention holds the maintenance of its pool.
func (f *fleet) isDue(a control.Assignment, percent time.Duration) bool {
	interval := maintenanceInterval(f.pools[a.Pool])
	if interval == 0 || a.MaintainedUnixMS == 0 || f.holds[a.Pool] {
		return false
	}
	return f.now.Sub(time.UnixMilli(a.MaintainedUnixMS)) >= interval*percent/100
}

func maintenanceInterval(p bundle.Pool) time.Duration {
	return time.Duration(p.MaintainEveryHours) * time.Hour
}
