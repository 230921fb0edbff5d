package schedule

import "citrongauge.example/citrongauge/job"

// What tasks of an earlier owner may be running on upstreams that have not been reached since the claim.

func (p *pool) hasUnreconciled() bool {
	for _, up := range p.upstreams.all() {
		if !up.reconciled {
			return true
		}
	}
	return false
}

// mayRunUnseen reports whether a task without a known run may be running: an earlier owner may have started it on an
// upstream that has not been reached since the claim.
func (c *Core) mayRunUnseen(p *part, t *task) bool {
	return c.mayRunUnrecorded(p, t) || c.mayRunWherePlaced(p, t)
}

// mayRunWherePlaced is mayRunUnseen for the upstream that the task's record names. A bound start cannot have reached a life that the
// stored roster lacks, whose lease may last longer.
func (c *Core) mayRunWherePlaced(p *part, t *task) bool {
	if !p.job.inherited || !c.anyUnreconciled || t.done || len(t.runs) > 0 || t.placedOn == "" {
		return false
	}
	up := c.upstreams.get(t.placedOn)
	if up == nil || up.reconciled {
		return false
	}
	return !t.bound || !c.rosterLeaseExpired(up)
}

// mayStart reports whether a task is waiting, and not running anywhere but for what mayRunUnseen leaves out.
func (c *Core) mayStart(p *part, t *task) bool { return t.isWaiting(c.now) && !c.mayRunUnseen(p, t) }

// reserveUnseen estimates, for each team, the resources of tasks of an earlier owner that may be running unseen. The
// estimate is bounded by the tasks' requests and by the capacity of the upstreams that have not been reached since
// the claim.
func (c *Core) reserveUnseen() {
	for _, t := range c.teams {
		t.reserved = job.Resources{}
	}
	c.anyUnreconciled = false
	c.reviewEarlierUnrecorded()
	c.reserveUnrecorded()
	for _, p := range c.pools.all() {
		if !p.hasUnreconciled() {
			continue
		}
		c.anyUnreconciled = true
		var unreconciled job.Resources
		for _, up := range p.upstreams.all() {
			if !up.reconciled {
				unreconciled = unreconciled.Add(up.Capacity)
			}
		}
		for t, sum := range c.unseenRequests(p) {
			t.reserved = t.reserved.Add(boundedBy(sum, unreconciled))
		}
	}
}

// unseenRequests returns, for each team, the requests of the tasks that may be running unseen in a pool, including
// tasks of ended jobs, but for those that reserveUnrecorded counts.
func (c *Core) unseenRequests(p *pool) map[*team]job.Resources {
	unseen := map[*team]job.Resources{}
	for _, j := range c.jobs.all() {
		if !j.inherited || j.Queue.Pool != p.name {
			continue
		}
		for _, part := range j.parts {
			for i := range part.tasks {
				if t := &part.tasks[i]; c.mayRunWherePlaced(part, t) && !c.mayRunUnrecorded(part, t) {
					unseen[j.team] = unseen[j.team].Add(part.step.Request)
				}
			}
		}
	}
	return unseen
}

func boundedBy(r, bound job.Resources) job.Resources {
	return job.Resources{
		MilliCPU: min(r.MilliCPU, bound.MilliCPU), MemoryMB: min(r.MemoryMB, bound.MemoryMB), GPU: min(r.GPU, bound.GPU),
	}
}
