package schedule

import (
	"slices"
	"time"
)

// Long-running tasks that have waited for starvedAfter: what they may use beyond other tasks, and what is kept for them.

// ignoreQuarantineAfter is how long a long-running task waits at most for the first part of a quarantine. It may have waited for a
// lease before.
const ignoreQuarantineAfter = 3 * time.Second

// placeOnTrial places starving long-running tasks that have found no room on upstreams in quarantine: a failure costs such a
// task nothing but the attempt.
func (pl *placement) placeOnTrial(c *Core) {
	closed := c.trialUpstreams(pl.pool, 0)
	if len(closed) == 0 {
		return
	}
	trial := c.trialUpstreams(pl.pool, baseQuarantine)
	pl.placeStarving(c, closed, trial)
	c.lastTurn = true
	pl.placeStarving(c, closed, trial)
	c.lastTurn = false
}

// placeStarving places the starving candidates on upstreams in quarantine: on all closed ones after ignoreQuarantineAfter, before on
// trial ones.
func (pl *placement) placeStarving(c *Core, closed, trial []*upstream) {
	for _, candidate := range pl.pool.waiting.list {
		if !candidate.starving {
			return
		}
		switch part := candidate.part; {
		case !pl.pool.has(part) || part.step.Gang:
		case c.hasWaitedFor(part, ignoreQuarantineAfter):
			c.placeTasks(part, closed, closed)
		default:
			c.placeTasks(part, trial, trial)
		}
	}
}

// trialUpstreams returns the pool's upstreams that have been in quarantine for at least the given time.
func (c *Core) trialUpstreams(p *pool, atLeast time.Duration) []*upstream {
	var found []*upstream
	for _, up := range p.byID {
		mayTry := up.health.quarantines > 0 && c.now >= up.health.quarantinedAt+atLeast && !up.health.isSuspended(c.now)
		if mayTry && up.health.isExcluded(c.now) && !up.released && c.isReady(up) {
			found = append(found, up)
		}
	}
	return found
}

// mayStartAfterFailures reports whether the failures on the upstream let it take the task.
func (c *Core) mayStartAfterFailures(p *part, t *task, up *upstream) bool {
	if up.health.allowsStart(c.now) {
		return c.mayBeTried(p, up)
	}
	return c.mayStartBesideTrial(p, t, up)
}

// mayBeTried reports whether the upstream takes the next trial, or any task, and the part need not leave it to others.
func (c *Core) mayBeTried(p *part, up *upstream) bool {
	return up.health.allowsStart(c.now) && (c.lastTurn || !up.health.givesWay(p))
}

// mayStartBesideTrial reports whether a long-running task need not wait for a trial: it starves, and the failures are rather the
// fault of tasks than of the upstream.
func (c *Core) mayStartBesideTrial(p *part, t *task, up *upstream) bool {
	return p.step.LongRunning && p.isStarving(t, c.now) && c.mostQuarantined(p, up)
}

// reserve keeps upstreams for the starving parts, once all of them have taken the room that there is: none of them waits for
// room that is kept for another one.
func (pl *placement) reserve(c *Core) {
	for _, part := range pl.starving {
		if pl.pool.has(part) {
			pl.room = c.reserveFor(part, pl.room)
		}
	}
}

// reserveFor returns the upstreams with room without those that the part's waiting tasks need next: for each task the
// upstream that lacks least. Otherwise smaller tasks would take all capacity as it becomes free.
func (c *Core) reserveFor(p *part, room []*upstream) []*upstream {
	if !p.job.team.allows(p.step.Request) {
		return room
	}
	waiting, _ := c.countWaitingTasks(p)
	for range waiting {
		best := -1
		for i, up := range room {
			if !up.health.givesWay(p) && c.mayHold(p, up) && (best < 0 || p.lack(up) < p.lack(room[best])) {
				best = i
			}
		}
		if best < 0 {
			return room
		}
		room = slices.Delete(room, best, best+1)
	}
	return room
}

// mayHold reports whether a task of the part may run on the upstream once other runs there have ended. Long-running tasks do
// not end.
func (c *Core) mayHold(p *part, up *upstream) bool {
	return up.health.allowsStart(c.now) && c.couldRun(p, up)
}

// mayTry is mayHold for a task that may start beside the trial of another one.
func (c *Core) mayTry(p *part, t *task, up *upstream) bool {
	return c.couldRun(p, up) && c.mayStartAfterFailures(p, t, up)
}

// couldRun is mayHold, whatever the upstream's failures.
func (c *Core) couldRun(p *part, up *upstream) bool {
	reserved := p.step.ReservedResources()
	return reserved.Fits(up.Capacity.Sub(up.usedLongRunning)) && c.admits(p, up) &&
		(p.step.MaxPerUpstream == 0 || p.perUpstream[up.ID] < p.step.MaxPerUpstream)
}

// lack returns the largest share of the upstream's capacity that a task of the part lacks there.
func (p *part) lack(up *upstream) float64 {
	missing := p.step.ReservedResources().Sub(up.freeCapacity())
	share := func(missing, capacity int64) float64 { return float64(missing) / float64(max(capacity, 1)) }
	return max(share(missing.MilliCPU, up.Capacity.MilliCPU), share(missing.MemoryMB, up.Capacity.MemoryMB),
		share(missing.GPU, up.Capacity.GPU))
}
