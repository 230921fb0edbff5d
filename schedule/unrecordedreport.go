package schedule

import "citrongauge.example/citrongauge/job"

// An ownership that has ended knows where it started tasks without records. Told so by its host, the next owner holds back only these
// tasks, and not all of a zone in which an upstream cannot be reached.

// UnrecordedPlacements returns the upstream on which each task was placed last whose placement is not stored, and which this owner may have
// started there.
func (c *Core) UnrecordedPlacements() map[job.TaskID]string {
	placements := map[job.TaskID]string{}
	if c.stats.UnrecordedStarts == 0 {
		return placements
	}
	for _, j := range c.jobs.all() {
		for _, p := range j.parts {
			if !p.mayBeUnrecorded() {
				continue
			}
			for i := range p.tasks {
				if t := &p.tasks[i]; t.placedOn != "" && t.placedBatch > c.durableBatch {
					placements[p.taskID(i)] = t.placedOn
				}
			}
		}
	}
	return placements
}

// InheritUnrecorded applies the UnrecordedPlacements of the ownership before, once it has ended, which was the only one before this with
// unrecorded starts. Its leases have to be known already (InheritLeases, KnownLeaseEnds).
func (c *Core) InheritUnrecorded(placements map[job.TaskID]string) {
	held := 0
	for id, upstream := range placements {
		p, index := c.findTask(id)
		up := c.upstreams.get(upstream)
		if p == nil || up == nil || up.reconciled || p.tasks[index].done || len(p.tasks[index].runs) > 0 {
			continue // what runs there is known
		}
		t := &p.tasks[index]
		t.placedOn, t.placedBatch, t.bound = upstream, c.lastBatch+1, false
		c.foundBatch = t.placedBatch
		c.markDirty(p.job)
		held++
	}
	c.Log("unrecorded starts of the earlier owner known", "tasks", len(placements), "held_back", held, "claimed_ms_ago", c.msSince(c.Claimed))
	c.reportedEnd = min(c.UnrecordedUntil, c.now)
	c.SetEarlierUnrecorded(0)
}
