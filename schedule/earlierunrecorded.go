package schedule

import (
	"time"

	"citrongauge.example/citrongauge/job"
)

// Unrecorded starts of the ownership before. Such a start went to an upstream that the roster named, in the outage zone of its job, at
// UnrecordedUntil at the latest. So as long as an upstream of that zone is not reconciled, each ordinary task of an inherited job may be
// running there, whatever its record says.

// SetEarlierUnrecorded replaces Options.UnrecordedUntil when a witness has answered; 0: the ownership before made no unrecorded
// start.
func (c *Core) SetEarlierUnrecorded(until time.Duration) {
	if until == c.UnrecordedUntil {
		return
	}
	c.Log("unrecorded starts of the earlier owner", "possible", until > 0, "until_ms", (until - c.now).Milliseconds(),
		"until_ms_before", (c.UnrecordedUntil - c.now).Milliseconds(), "held_back", c.stats.HeldBack)
	c.UnrecordedUntil = until
	for _, up := range c.upstreams.all() {
		end := c.unrecordedLeaseEnd(up)
		if !up.inherited { // it has been fenced
			end = min(end, up.unrecordedLeaseEnd)
		}
		up.unrecordedLeaseEnd = end
	}
	c.reviewEarlierUnrecorded()
}

// SetEarlierUnrecordedJobs replaces Options.UnrecordedJobs when a witness has answered.
func (c *Core) SetEarlierUnrecordedJobs(newest uint64) { c.UnrecordedJobs = newest }

// EarlierUnrecordedResolved reports whether no task can be running any more because of an unrecorded start of the ownership before,
// but for those whose records are stored by now, and all ends that were found are stored. It says so only once the stored roster has been inherited.
func (c *Core) EarlierUnrecordedResolved() bool {
	if c.foundBatch > c.durableBatch {
		return false
	}
	if c.UnrecordedUntil == 0 {
		return true
	}
	for _, up := range c.upstreams.all() {
		if up.mayHaveUnrecorded() {
			return false
		}
	}
	return true
}

// recordAdopted stores where a run was found if its task's record does not name that upstream. Once all upstreams are reconciled, the next
// owner holds no task back any more for the starts of the ownership before this one.
func (c *Core) recordAdopted(r *run) {
	t := r.task()
	if t.placedOn == r.up.ID || t.done || len(t.runs) > 1 || r.part.job.phase.Terminal() {
		return
	}
	t.placedOn, t.placedBatch, t.bound = r.up.ID, c.lastBatch+1, false
	c.foundBatch = t.placedBatch
	c.markDirty(r.part.job)
}

// mayHaveUnrecorded reports whether the upstream may run a task because of an unrecorded start of the ownership before, if there was one.
func (u *upstream) mayHaveUnrecorded() bool { return u.rosterZone != "" && !u.reconciled }

// unrecordedLeaseEnd returns the time by which the leases on an upstream of the earlier roster have ended that the ownership before may
// have granted while it made unrecorded starts; 0: they are known, or it made none.
func (c *Core) unrecordedLeaseEnd(up *upstream) time.Duration {
	if c.UnrecordedUntil == 0 || up.rosterZone == "" || up.leasesKnown {
		return 0
	}
	return c.UnrecordedUntil + inheritedLease(c.Lease)
}

// noteLeasesKnown sets the end of the earlier leases on an upstream, unrecorded starts included.
func (u *upstream) noteLeasesKnown(end time.Duration) {
	u.earlierLeaseEnd, u.unrecordedLeaseEnd, u.leasesKnown = end, 0, true
}

// noteFenced bounds the leases of the ownership before on an upstream that it can extend no more.
func (c *Core) noteFenced(up *upstream) {
	up.unrecordedLeaseEnd = min(up.unrecordedLeaseEnd, c.now+inheritedLease(c.Lease))
}

// earlierEnd returns the latest time at which the ownership before may have sent a call.
func (c *Core) earlierEnd() time.Duration {
	return max(c.EarlierEnded, c.UnrecordedUntil, c.reportedEnd)
}

// reviewEarlierUnrecorded determines in which zones tasks are held back.
func (c *Core) reviewEarlierUnrecorded() {
	before := len(c.heldZones)
	clear(c.heldZones)
	c.stats.HeldBack = 0
	if c.UnrecordedUntil > 0 {
		for _, up := range c.upstreams.all() {
			if up.mayHaveUnrecorded() {
				c.heldZones[up.rosterZone]++
			}
		}
	}
	if before > 0 && len(c.heldZones) == 0 {
		c.Log("no task can be running by an unrecorded start of the earlier owner", "claimed_ms_ago", c.msSince(c.Claimed))
	}
}

// mayRunUnrecorded reports whether a task without a known run may be running by an unrecorded start of the ownership before.
func (c *Core) mayRunUnrecorded(p *part, t *task) bool {
	return len(c.heldZones) > 0 && p.job.inherited && !t.done && len(t.runs) == 0 && p.mayBeUnrecorded() && c.heldZones[p.job.outageZone] > 0 &&
		(c.UnrecordedJobs == 0 || p.job.created <= c.UnrecordedJobs)
}

// reserveUnrecorded reserves, for each team, the resources of the tasks that may be running by unrecorded starts of the ownership before.
// Those upstreams and the ones where the tasks were placed bound the sum; a queue may have moved to another pool since.
func (c *Core) reserveUnrecorded() {
	if len(c.heldZones) == 0 {
		return
	}
	var bound job.Resources
	for _, up := range c.upstreams.all() {
		if !up.reconciled {
			bound = bound.Add(up.Capacity)
		}
	}
	for t, sum := range c.unrecordedRequests() {
		t.reserved = t.reserved.Add(boundedBy(sum, bound))
	}
}

// unrecordedRequests returns, for each team, the requests of the tasks that may be running by unrecorded starts, and counts those of them
// that are held back.
func (c *Core) unrecordedRequests() map[*team]job.Resources {
	requests := map[*team]job.Resources{}
	for _, j := range c.jobs.all() {
		if !j.inherited || c.heldZones[j.outageZone] == 0 {
			continue
		}
		for _, p := range j.parts {
			for i := range p.tasks {
				if !c.mayRunUnrecorded(p, &p.tasks[i]) {
					continue
				}
				requests[j.team] = requests[j.team].Add(p.step.Request)
				if p.released && !j.phase.Terminal() {
					c.stats.HeldBack++
				}
			}
		}
	}
	return requests
}
