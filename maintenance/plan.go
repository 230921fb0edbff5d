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
	// duePercent of the interval is the time after which a host is due, so that waiting for budgets does not
	// make it late.
	duePercent = 90
	// Maintenance waits for the end of a burst until latePercent of the interval.
	latePercent = 95
)

// planner collects changes. Each stop is counted before the next one is considered.
type planner struct {
	*fleet
	stopping map[string]bool
	changes  []Change
}

// Plan proposes stops within the budgets, for interventions, pool moves and planned maintenance, in this order. It
// proposes none without current observations and the record's bundle.
func Plan(now time.Time, b *bundle.Bundle, r *control.Record, obs Observations) []Change {
	if b.Version != r.BundleVersion {
		return nil
	}
	p := &planner{fleet: assess(now, b, r, &obs), stopping: map[string]bool{}}
	p.markDue()
	if !obs.isCurrent(now) {
		return p.changes
	}
	p.drainByIntervention()
	p.moveHome()
	p.lend()
	p.returnLent()
	p.maintain()
	return p.changes
}

// stop proposes a stop if the host is in service and the budget allows it.
func (p *planner) stop(v hostView, moveTo, reason string) bool {
	a := v.assignment
	if a.State != control.InService || p.stopping[a.Host] || !p.ledger.allows(a.Pool, v.host) {
		return false
	}
	p.ledger.add(a.Pool, v.host)
	p.stopping[a.Host] = true
	p.changes = append(p.changes, Change{
		Kind:          Stop,
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

// markDue spreads the first maintenance of new hosts over their interval.
func (p *planner) markDue() {
	for _, v := range p.hosts {
		every := interval(p.pools[v.assignment.Pool])
		if every == 0 || v.assignment.MaintainedUnixMS != 0 || v.assignment.State != control.InService {
			continue
		}
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(v.host.ID))
		past := time.Duration(hash.Sum64() % uint64(every*duePercent/100))
		p.changes = append(p.changes, Change{
			Kind:             MarkDue,
			Host:             v.host.ID,
			Epoch:            v.assignment.Epoch,
			MaintainedUnixMS: p.now.Add(-past).UnixMilli(),
		})
	}
}

func (p *planner) drainByIntervention() {
	for _, v := range p.hosts {
		if _, ok := p.obs.fresh(p.now, v.host.ID); ok && p.drains[v.host.ID] {
			p.stop(v, "", "intervention")
		}
	}
}

// moveHome moves hosts whose pool was changed by the bundle.
func (p *planner) moveHome() {
	for _, v := range p.hosts {
		if v.reason == Available && v.home != v.assignment.Pool && !p.pools[v.home].Spare {
			p.stop(v, v.home, "pool changed by the bundle")
		}
	}
}

// lend moves idle spare hosts, or idle lent hosts of calm pools, to pools in a burst that lasts. The longest burst
// is served first.
func (p *planner) lend() {
	cost := p.moveCost()
	var needy []string
	for name, load := range p.obs.Loads {
		if pool, ok := p.pools[name]; ok && !pool.Spare && load.hasLasted(p.now, cost) {
			needy = append(needy, name)
		}
	}
	if len(needy) == 0 {
		return
	}
	sort.Slice(needy, func(i, j int) bool {
		a, b := p.obs.Loads[needy[i]].Since, p.obs.Loads[needy[j]].Since
		return a.Before(b) || a.Equal(b) && needy[i] < needy[j]
	})
	capacity := p.expectedSlots()
	candidates := p.lendable(cost)
	for _, name := range needy {
		missing := p.obs.Loads[name].Demand - capacity[name]
		for missing > 0 && len(candidates) > 0 {
			v := candidates[0]
			candidates = candidates[1:]
			if p.stop(v, name, "burst") {
				missing -= v.host.Capacity.Slots
			}
		}
	}
}

func (p *planner) moveCost() time.Duration {
	if p.obs.MoveCost > 0 {
		return p.obs.MoveCost
	}
	return defaultMoveCost
}

// expectedSlots returns the slots of each pool's available hosts and of those that are moving to it.
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

// lendable returns the idle hosts of spare pools, those in the spare pool first. A host that was lent to a pool that
// is calm now moves on directly, which saves the move back.
func (p *planner) lendable(cost time.Duration) []hostView {
	var spare, lent []hostView
	for _, v := range p.hosts {
		if v.reason != Available || !p.pools[v.home].Spare || !isIdle(v.seen.Status) {
			continue
		}
		switch {
		case v.assignment.Pool == v.home:
			spare = append(spare, v)
		case p.obs.Loads[v.assignment.Pool].isCalm(p.now, cost):
			lent = append(lent, v)
		}
	}
	return slices.Concat(spare, lent)
}

// returnLent moves hosts back to the spare pool that will not be needed again soon.
func (p *planner) returnLent() {
	for _, v := range p.hosts {
		if v.reason != Available || v.assignment.Pool == v.home || !p.pools[v.home].Spare {
			continue
		}
		if isIdle(v.seen.Status) && p.obs.Loads[v.assignment.Pool].mayReturn(p.now) {
			p.stop(v, v.home, "burst over")
		}
	}
}

// maintain stops the hosts that are due, the longest overdue first.
func (p *planner) maintain() {
	var due []hostView
	for _, v := range p.hosts {
		if v.reason == Available && p.isDue(v.assignment, duePercent) && !p.waitsForCalm(v.assignment) {
			due = append(due, v)
		}
	}
	sort.SliceStable(due, func(i, j int) bool {
		return due[i].assignment.MaintainedUnixMS < due[j].assignment.MaintainedUnixMS
	})
	for _, v := range due {
		p.stop(v, "", "planned maintenance")
	}
}

func (p *planner) waitsForCalm(a control.Assignment) bool {
	return p.obs.Loads[a.Pool].Bursting && !p.isDue(a, latePercent)
}

// isDue reports whether percent of the interval have passed since the last maintenance and none is on hold.
func (f *fleet) isDue(a control.Assignment, percent time.Duration) bool {
	every := interval(f.pools[a.Pool])
	if every == 0 || a.MaintainedUnixMS == 0 || f.holds[a.Pool] {
		return false
	}
	return f.now.Sub(time.UnixMilli(a.MaintainedUnixMS)) >= every*percent/100
}

func interval(p bundle.Pool) time.Duration { return time.Duration(p.MaintainEveryHours) * time.Hour }
