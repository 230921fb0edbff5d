package schedule

import "time"

// backlogGap is the pause between two reports on a pool's waiting tasks.
const backlogGap = time.Second

// backlog counts a pool's waiting tasks by what they wait for.
type backlog struct {
	unseen int // they may run on an upstream that was not reached since the claim
	cap    int // their team has as much running as it may
	room   int // no usable upstream has room
	oldest time.Duration
	part   *part // whose task is the oldest
}

// reportBacklog logs, once in backlogGap, why tasks of the pool wait, if one has waited for starvedAfter.
func (c *Core) reportBacklog(p *pool, usable int) {
	if c.now < p.backlogAgain {
		return
	}
	p.backlogAgain = c.now + backlogGap
	var b backlog
	for part := range p.parts.all() {
		for i := range part.tasks {
			if t := &part.tasks[i]; t.waits(c.now) {
				c.countWaiting(&b, part, t)
			}
		}
	}
	if b.part == nil || b.oldest < starvedAfter {
		return
	}
	unsettled := 0
	for _, up := range p.upstreams.all() {
		if !up.settled {
			unsettled++
		}
	}
	c.Log("tasks wait", "pool", p.name, "for_room", b.room, "for_cap", b.cap, "may_run_unseen", b.unseen,
		"oldest_ms", b.oldest.Milliseconds(), "oldest_job", b.part.job.ID, "cpu", b.part.step.Request.MilliCPU,
		"memory_mb", b.part.step.Request.MemoryMB, "label", b.part.step.Label, "rack", b.part.step.Rack,
		"per_host", b.part.step.PerHost, "gang", b.part.step.Gang, "usable", usable, "upstreams", p.upstreams.len(), "unsettled", unsettled)
}

func (c *Core) countWaiting(b *backlog, p *part, t *task) {
	if waited := c.now - max(p.releasedAt, t.requeuedAt, t.notBefore); b.part == nil || waited > b.oldest {
		b.oldest, b.part = waited, p
	}
	switch c.waitsFor(p, t) {
	case waitsForLease:
		b.unseen++
	case waitsForCap:
		b.cap++
	default:
		b.room++
	}
}
