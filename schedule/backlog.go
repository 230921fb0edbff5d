package schedule

import "time"

// backlogReportInterval is the shortest time between two log lines about a pool's waiting tasks.
const backlogReportInterval = time.Second

// backlog counts a pool's waiting tasks by the reason for which they wait.
type backlog struct {
	unseen     int // may be running on an upstream that this owner has not reached yet
	unrecorded int // may be running by an unrecorded start of the ownership before
	cap        int // the team is at its cap
	capacity   int // no usable upstream has enough free capacity
	tiers      [tierCount]int
	oldest     time.Duration
	oldestPart *part // part of the task that has waited longest
}

// reportBacklog logs why the pool's tasks wait, once a task has waited for starvedAfter, at most every
// backlogReportInterval.
func (c *Core) reportBacklog(p *pool, usable int) {
	if c.now < p.nextBacklogReport {
		return
	}
	p.nextBacklogReport = c.now + backlogReportInterval
	var b backlog
	for part := range p.parts.all() {
		for i := range part.tasks {
			if t := &part.tasks[i]; t.isWaiting(c.now) {
				c.countWaiting(&b, part, t)
			}
		}
	}
	if b.oldestPart == nil || b.oldest < starvedAfter {
		return
	}
	unreconciled, onTrial := 0, 0
	for _, up := range p.upstreams.all() {
		if !up.reconciled {
			unreconciled++
		}
		if up.health.quarantines > 0 {
			onTrial++
		}
	}
	ahead, behind := c.ahead(b.oldestPart)
	tasksAhead := 0
	for _, tasks := range ahead {
		tasksAhead += tasks
	}
	c.Log("tasks wait", "pool", p.name, "for_room", b.capacity, "for_cap", b.cap, "may_run_unseen", b.unseen, "may_run_unrecorded", b.unrecorded,
		"on_time", b.tiers[tierOnTime], "late", b.tiers[tierLate], "too_late", b.tiers[tierTooLate],
		"oldest_ms", b.oldest.Milliseconds(), "oldest_job", b.oldestPart.job.ID, "oldest_job_age_ms", (c.now - b.oldestPart.arrival).Milliseconds(), "cpu", b.oldestPart.step.Request.MilliCPU,
		"memory_mb", b.oldestPart.step.Request.MemoryMB, "label", b.oldestPart.step.Label, "rack", b.oldestPart.step.Rack,
		"per_host", b.oldestPart.step.MaxPerUpstream, "gang", b.oldestPart.step.Gang, "usable", usable, "upstreams", p.upstreams.len(),
		"on_trial", onTrial, "unsettled", unreconciled, "ahead", tasksAhead, "behind", behind)
}

func (c *Core) countWaiting(b *backlog, p *part, t *task) {
	if waited := c.now - max(p.releasedAt, t.requeuedAt, t.notBefore); b.oldestPart == nil || waited > b.oldest {
		b.oldest, b.oldestPart = waited, p
	}
	b.tiers[p.tier]++
	switch c.waitingReason(p, t) {
	case waitingForLease:
		b.unseen++
	case waitingForUnrecorded:
		b.unrecorded++
	case waitingForCap:
		b.cap++
	default:
		b.capacity++
	}
}
