package schedule

import "time"

// Reports on long-running tasks that are not at work, since no end and no late job shows that they are missing.

const (
	// absentReportInterval is the shortest time between two reports of a pool.
	absentReportInterval = time.Second
	// absentAfter is how long a task has to be without a run, or its run without a sign from its upstream, to be reported.
	absentAfter = 3 * time.Second
)

// absence counts the long-running tasks of a pool that have been absent for longer than absentAfter.
type absence struct {
	waiting, unconfirmed       int // tasks without a run, and tasks whose upstream has been silent
	longestWait, longestSilent time.Duration
	waitingPart                *part // with waitingTask, which has waited for longest
	waitingTask                int
	silentRun                  *run // whose upstream has been silent for longest
}

// reportAbsent logs the long-running tasks that are absent, one line for each pool and kind at most every
// absentReportInterval.
func (c *Core) reportAbsent() {
	if c.now < c.nextAbsentReport {
		return
	}
	c.nextAbsentReport = c.now + absentReportInterval
	c.stats.LongRunningWaiting, c.stats.LongRunningUnconfirmed = 0, 0
	for _, p := range c.pools.all() {
		a := c.absentTasks(p)
		c.stats.LongRunningWaiting += a.waiting
		c.stats.LongRunningUnconfirmed += a.unconfirmed
		if a.waiting > 0 {
			c.logWaiting(p, &a)
		}
		if a.unconfirmed > 0 {
			c.logUnconfirmed(p, &a)
		}
	}
}

func (c *Core) absentTasks(p *pool) absence {
	var a absence
	for part := range p.parts.all() {
		if !part.step.LongRunning {
			continue
		}
		for i := range part.tasks {
			c.addAbsent(&a, part, i)
		}
	}
	return a
}

func (c *Core) addAbsent(a *absence, p *part, index int) {
	t := &p.tasks[index]
	if len(t.runs) == 0 {
		if waited := c.now - max(p.releasedAt, t.requeuedAt); waited > absentAfter {
			a.waiting++
			if waited > a.longestWait {
				a.longestWait, a.waitingPart, a.waitingTask = waited, p, index
			}
		}
		return
	}
	r := t.runs[len(t.runs)-1]
	if silent := c.now - max(r.up.lastResponseAt, r.started); silent > absentAfter {
		a.unconfirmed++
		if silent > a.longestSilent {
			a.longestSilent, a.silentRun = silent, r
		}
	}
}

// logWaiting logs why a long-running task has no run, and what the pool's upstreams lack for it.
func (c *Core) logWaiting(p *pool, a *absence) {
	part, t := a.waitingPart, &a.waitingPart.tasks[a.waitingTask]
	c.Log("long-running task waits", "pool", p.name, "tasks", a.waiting, "job", part.job.ID,
		"task", part.taskID(a.waitingTask).String(), "waited_ms", a.longestWait.Milliseconds(), "reason", c.waitingReason(part, t),
		"losses", t.suspicion.losses, "failures", t.failures, "placed_on", t.placedOn, "starts_in_flight", c.window.inFlight,
		"start_limit", int(c.window.limit), "upstreams", c.obstacles(p, part, t))
}

// logUnconfirmed logs the run whose upstream has been silent for longest, and the state of its poll.
func (c *Core) logUnconfirmed(p *pool, a *absence) {
	r := a.silentRun
	c.Log("long-running task not confirmed", "pool", p.name, "tasks", a.unconfirmed, "task", r.id().String(), "attempt", r.attempt,
		"upstream", r.up.ID, "state", runStateNames[r.state], "heard_ms_ago", (c.now - r.up.lastResponseAt).Milliseconds(),
		"poll_in_flight", r.up.polling, "polled_ms_ago", (c.now - r.up.polledAt).Milliseconds(), "failed_looks", r.up.failedPolls,
		"fenced", r.up.fenced, "listed", r.up.listed, "command_in_flight", r.commandInFlight)
}

// obstacles counts the pool's upstreams by the first reason for which they do not take the task.
func (c *Core) obstacles(p *pool, part *part, t *task) map[string]int {
	found := map[string]int{}
	for _, up := range p.byID {
		found[c.obstacle(part, t, up)]++
	}
	return found
}

func (c *Core) obstacle(p *part, t *task, up *upstream) string {
	switch {
	case !up.listed || up.terminated:
		return "gone"
	case !up.fenced || !up.stored || up.failedPolls > 0:
		return "not reached"
	case up.inDoubt:
		return "in doubt"
	case !up.isolated:
		return "not isolated"
	case up.Draining || c.evacuated[up.Zone]:
		return "draining"
	case up.unknownRuns > 0:
		return "unknown runs"
	case up.cordoned || up.released:
		return "held for its machine"
	case up.health.isExcluded(c.now) || !c.mayBeTried(p, up):
		return "after failures"
	case !c.isOpen(p, t, up):
		return "held for another task"
	case !c.admits(p, up) || p.step.MaxPerUpstream > 0 && p.perUpstream[up.ID] >= p.step.MaxPerUpstream:
		return "not allowed"
	case !p.step.ReservedResources().Fits(up.freeCapacity()):
		return "full"
	}
	return "open"
}
