package schedule

import (
	"cmp"
	"slices"
	"time"

	"citrongauge.example/citrongauge/job"
)

// Drains for upkeep: which machines of a wave are drained next, and how their tasks leave them.

const (
	// waveSafetyFactor divides the time that remains for a wave, so that it finishes early and a later fault does not
	// make it late.
	waveSafetyFactor = 1.6
	// upkeepOverhead is the time for draining and rejoining, added to the duration of an upkeep.
	upkeepOverhead = 600 * time.Millisecond
	// drainTimeout is how long the runs on a machine may take to end by themselves before they are stopped.
	drainTimeout = 1500 * time.Millisecond
	// stuckDrain is the age from which a drain does not count against the pace of its wave.
	stuckDrain = 2 * time.Second
	// giveBackAfter is how long a long-running task may wait for room that only a machine which is being drained has. Users
	// expect it to run again within 9 s.
	giveBackAfter = 4 * time.Second
	// giveBackPause is how long a machine that was given back to its pool is not drained again.
	giveBackPause = 10 * time.Second
	// stopMargin is added to the platform's longest duration of a stop.
	stopMargin = 100 * time.Millisecond
)

// expectedOutage is how long one machine of a wave is expected to be out of service.
func (c *Core) expectedOutage() time.Duration {
	return c.Bounds.UpkeepDuration + upkeepOverhead + drainTimeout/2
}

// requiredConcurrency returns how many machines have to be out of service at a time for the wave to finish in time.
func (c *Core) requiredConcurrency(w *wave) int {
	left := w.TimeLimit - time.Duration(c.wallMS-w.startedMS)*time.Millisecond
	left = max(time.Duration(float64(left)/waveSafetyFactor), c.expectedOutage())
	todo := w.machines.len() - w.count(machineDone)
	return max(1, int((time.Duration(todo)*c.expectedOutage()+left-1)/left))
}

// beginDrains starts to drain the machines for which an earlier owner may have sent an upkeep command, because they
// count as down until this owner has sent its own, and as many others as the wave needs. The machines whose pools and
// upstreams have the least load are drained first.
func (c *Core) beginDrains(w *wave) {
	if !c.store.LeaseHeld {
		return
	}
	var waiting []*waveMachine
	for _, m := range w.machines.all() {
		if m.state != machineWaiting || c.now < m.retryAt || !c.mayCommand(m.name) || c.moves.get(m.name) != nil || !c.isReachable(m) {
			continue
		}
		switch up := c.upstreamOf(m.name); {
		case c.inheritedCommands[m.name]:
			c.beginDrain(w, m)
		case m.givenBack && up != nil && !c.haveOtherPlaces(up): // its tasks would be stopped in vain again
		default:
			waiting = append(waiting, m)
		}
	}
	draining, stuck := c.countDraining(w)
	need := c.requiredConcurrency(w) - draining - c.countMachinesDown(w, nil)
	need = min(need, w.MaxConcurrent-draining-stuck)
	if need <= 0 {
		return
	}
	cost := map[*waveMachine]float64{}
	loads := map[*pool]float64{}
	for _, m := range waiting {
		cost[m] = c.drainCost(m, loads)
	}
	slices.SortFunc(waiting, func(a, b *waveMachine) int {
		return cmp.Or(cmp.Compare(cost[a], cost[b]), cmp.Compare(a.name, b.name))
	})
	for _, m := range waiting {
		if need <= 0 {
			return
		}
		if c.mayDrain(m) {
			c.beginDrain(w, m)
			need--
		}
	}
}

// upkeepReserve returns how many machines the pool needs besides those for its load while machines of it are drained
// for their upkeep.
func (c *Core) upkeepReserve(p *pool) int {
	reserve := 0
	for _, w := range c.waves.all() {
		if w.succeeded {
			continue
		}
		inPool, waiting := 0, 0
		for _, m := range w.machines.all() {
			if m.state != machineWaiting {
				continue
			}
			waiting++
			if up := c.upstreamOf(m.name); up != nil && up.Pool == p.name {
				inPool++
			}
		}
		if inPool > 0 {
			reserve += (c.requiredConcurrency(w)*inPool + waiting - 1) / waiting
		}
	}
	return reserve
}

// mayDrain reports whether the machine's pool keeps enough capacity for its long-running tasks and at least one upstream
// if the machine is drained. A machine without runs may be drained if any other upstream is left.
func (c *Core) mayDrain(m *waveMachine) bool {
	up := c.upstreamOf(m.name)
	if up == nil || !c.isUsable(up) {
		return true
	}
	p := c.pool(up.Pool)
	var capacity, used job.Resources
	usable := 0
	for _, other := range p.byID {
		if !c.isUsable(other) {
			continue
		}
		usable++
		capacity = capacity.Add(other.Capacity)
		used = used.Add(other.usedLongRunning)
	}
	if usable <= p.minUpstreams() || usable == 1 && p.parts.len() > 0 {
		return false
	}
	left := capacity.Sub(up.Capacity)
	return up.longRunning == 0 || float64(left.MilliCPU) >= (1+headroom)*float64(used.MilliCPU) &&
		float64(left.MemoryMB) >= (1+headroom)*float64(used.MemoryMB)
}

// countDraining returns how many machines of the wave are being drained, and apart from them how many have been for so
// long that others have to be drained meanwhile: their long-running tasks may stop only a few at a time.
func (c *Core) countDraining(w *wave) (draining, stuck int) {
	for _, m := range w.machines.all() {
		switch {
		case m.state != machineDraining:
		case c.now > m.since+stuckDrain:
			stuck++
		default:
			draining++
		}
	}
	return draining, stuck
}

// beginDrain starts to drain a machine for its upkeep.
func (c *Core) beginDrain(w *wave, m *waveMachine) {
	m.state, m.since = machineDraining, c.now
	if up := c.upstreamOf(m.name); up != nil {
		up.cordoned = true
	}
	c.Log("draining machine for its upkeep", "wave", w.Number, "machine", m.name, "preparing", w.count(machineDraining),
		"down", c.countMachinesDown(w, nil), "at_once", w.MaxConcurrent)
}

// isReachable reports whether the machine's upstream answers polls, or the machine has no upstream.
func (c *Core) isReachable(m *waveMachine) bool {
	up := c.upstreamOf(m.name)
	return up == nil || up.fenced && up.failedPolls == 0
}

// drainCost rates the cost of draining a machine now, from the load of its pool, which loads caches, and of its upstream.
func (c *Core) drainCost(m *waveMachine, loads map[*pool]float64) float64 {
	up := c.upstreamOf(m.name)
	if up == nil {
		return 0
	}
	p := c.pool(up.Pool)
	load, known := loads[p]
	if !known {
		load = c.loadOf(p)
		loads[p] = load
	}
	return load + float64(up.used.MilliCPU)/float64(max(up.Capacity.MilliCPU, 1))
}

// loadOf returns the share of the capacity of a pool's usable upstreams that is in use.
func (c *Core) loadOf(p *pool) float64 {
	var capacity, used int64
	for _, up := range p.byID {
		if c.isUsable(up) {
			capacity += up.Capacity.MilliCPU
			used += up.used.MilliCPU
		}
	}
	return float64(used) / float64(max(capacity, 1))
}

// drainUpstream reports whether a machine's upstream has no runs left. It stops long-running tasks as far as their
// steps' limits on unavailable tasks allow, and any other run after drainTimeout.
func (c *Core) drainUpstream(up *upstream, m *waveMachine) bool {
	mayFinish := c.now < m.since+drainTimeout
	for _, r := range up.runs.all() {
		switch {
		case r.state != runRunning:
		case r.part.step.LongRunning:
			if c.mayInterrupt(r) {
				c.stopRun(r, "upkeep of its machine")
			}
		case !mayFinish:
			c.stopRun(r, "upkeep of its machine")
		}
	}
	return up.runs.len() == 0
}

// keepsTaskWaiting reports whether a long-running task of the pool has waited for giveBackAfter although the drained upstream has
// room for it: no other upstream takes it.
func (c *Core) keepsTaskWaiting(up *upstream) bool {
	for _, candidate := range c.pool(up.Pool).waiting.list {
		if !candidate.starving {
			return false
		}
		if c.hasWaitedFor(candidate.part, giveBackAfter) && c.hasPlace(candidate.part, up) {
			return true
		}
	}
	return false
}

// hasWaitedFor reports whether a task of the part that may start has waited for longer than d.
func (c *Core) hasWaitedFor(p *part, d time.Duration) bool {
	return slices.ContainsFunc(p.tasks, func(t task) bool {
		return c.mayStart(p, &t) && c.now > max(p.releasedAt, t.requeuedAt, t.notBefore)+d
	})
}

// hasPlace reports whether the drained upstream would take another task of the part, or a whole gang, if it were not drained.
func (c *Core) hasPlace(p *part, up *upstream) bool {
	tasks := 1
	if p.step.Gang {
		tasks = len(p.tasks)
	}
	return p.job.team.allows(p.step.Request) && c.isReadyButForDrain(up) && !up.health.isExcluded(c.now) && !up.isHeld(c.now) &&
		c.admits(p, up) && p.fitsOn(up, up.freeCapacity(), tasks)
}

// fitsOn reports whether a number of the part's tasks fit on the upstream, which has the given room.
func (p *part) fitsOn(up *upstream, room job.Resources, tasks int) bool {
	total := job.Resources{}
	for range tasks {
		total = total.Add(p.step.ReservedResources())
	}
	return total.Fits(room) && (p.step.MaxPerUpstream == 0 || p.perUpstream[up.ID]+tasks <= p.step.MaxPerUpstream)
}

// place is an upstream and the room that is left on it.
type place struct {
	upstream *upstream
	room     job.Resources
}

// haveOtherPlaces reports whether each long-running task on the upstream would find a place on another one.
func (c *Core) haveOtherPlaces(up *upstream) bool {
	var places []place
	for _, other := range c.usable(c.pool(up.Pool)) {
		if other != up {
			places = append(places, place{other, other.freeCapacity()})
		}
	}
	for _, r := range up.runs.all() {
		if r.part.step.LongRunning && !c.takePlace(r.part, places) {
			return false
		}
	}
	return true
}

// takePlace takes the room for one task of the part from the first place that has it, and reports whether there is one.
func (c *Core) takePlace(p *part, places []place) bool {
	for i := range places {
		other := &places[i]
		if c.admits(p, other.upstream) && p.fitsOn(other.upstream, other.room, 1) {
			other.room = other.room.Sub(p.step.ReservedResources())
			return true
		}
	}
	return false
}

// giveBack ends the drain of a machine for now.
func (c *Core) giveBack(w *wave, m *waveMachine, up *upstream) {
	m.state, m.retryAt, m.givenBack = machineWaiting, c.now+giveBackPause, true
	up.cordoned = false
	c.Log("drain ended: a long-running task has no other place", "wave", w.Number, "machine", m.name, "upstream", up.ID,
		"drained_for_ms", (c.now - m.since).Milliseconds())
}

// stopOnDrainingUpstreams stops long-running tasks on upstreams that are about to leave, or are in another pool now, as far as their steps' limits
// on unavailable tasks allow, so that they are started elsewhere.
func (c *Core) stopOnDrainingUpstreams() {
	for _, up := range c.upstreams.all() {
		if !up.Draining && !up.hasLeftPool() || up.failedPolls > 0 {
			continue
		}
		for _, r := range up.runs.all() {
			if r.state == runRunning && r.part.step.LongRunning && c.mayInterrupt(r) {
				c.stopRun(r, "its upstream is draining, or in another pool")
			}
		}
	}
}

// mayInterrupt reports whether the step of a long-running task allows one more task to be unavailable.
func (c *Core) mayInterrupt(r *run) bool {
	if r.part.step.MaxUnavailable == 0 {
		return true
	}
	unavailable := 0
	for i := range r.part.tasks {
		if i != r.index && !c.isAvailable(&r.part.tasks[i]) {
			unavailable++
		}
	}
	return unavailable < r.part.step.MaxUnavailable
}

// isAvailable reports whether a long-running task has a run that has finished its start-up and is not being stopped.
// An earlier owner may have stopped a run shortly before it was adopted; the upstream lists such a run until it has
// ended.
func (c *Core) isAvailable(t *task) bool {
	for _, r := range t.runs {
		mayBeStopping := r.adopted && c.now < r.started+c.Bounds.StopTimeout+stopMargin
		if r.state == runRunning && r.progress >= fullPercent && r.up.failedPolls == 0 && !mayBeStopping {
			return true
		}
	}
	return false
}
