package schedule

import (
	"time"

	"citrongauge.example/citrongauge/job"
)

const (
	// failuresToQuarantine is the number of failures in a row, of different jobs, after which an upstream is left
	// alone: it takes two jobs to tell a bad upstream from a job that can never be done.
	failuresToQuarantine = 3
	quarantine           = 1500 * time.Millisecond
	maxQuarantine        = 12 * time.Second
	suspectPause         = 400 * time.Millisecond // after an order that was refused or could not be sent
	failurePenalty       = 0.3
)

// health is what an upstream's recent failures say about it.
type health struct {
	inRow   int
	lastJob job.ID
	jobs    int // different jobs among the failures in a row
	until   time.Duration
	spells  int // quarantines since the last success
}

func (h *health) succeeded() {
	h.inRow, h.jobs, h.spells, h.lastJob = 0, 0, 0, ""
}

func (h *health) failed(c *Core, up *upstream, id job.ID) {
	h.inRow++
	if id != h.lastJob {
		h.jobs++
		h.lastJob = id
	}
	if h.inRow >= failuresToQuarantine && h.jobs >= 2 || h.spells > 0 {
		h.quarantine(c, up, "failures in a row")
	}
}

func (h *health) quarantine(c *Core, up *upstream, reason string) {
	pause := min(quarantine<<min(h.spells, 4), maxQuarantine)
	h.spells++
	h.until = c.now + pause
	h.inRow, h.jobs = 0, 0
	c.Log("upstream in quarantine", "upstream", up.ID, "reason", reason, "for_ms", pause.Milliseconds(), "spells", h.spells)
}

func (h *health) isQuarantined(now time.Duration) bool { return now < h.until }

// mayTry reports whether one more task may be started: only one at a time after a quarantine, until one succeeds.
func (h *health) mayTry(runs int) bool { return h.spells == 0 || runs == 0 }

func (h *health) penalty() float64 { return failurePenalty * float64(h.inRow) }

// suspect leaves an upstream alone for a moment.
func (u *upstream) suspect(c *Core, reason string) {
	if u.health.until < c.now+suspectPause {
		u.health.until = c.now + suspectPause
		c.Log("upstream left alone", "upstream", u.ID, "reason", reason, "for_ms", suspectPause.Milliseconds())
	}
}

const (
	overdueFactor = 3
	overdueSlack  = time.Second
	maxRestarts   = 2 // of one task; its work may simply be longer than estimated
)

// endOverdue stops runs that take far longer than expected, so that their tasks start elsewhere: upstreams may stand
// still or turn slow while they answer.
func (c *Core) endOverdue() {
	for _, up := range c.upstreams.all() {
		for _, r := range up.runs.all() {
			step := r.part.step
			if r.overdue || r.state != runRunning || step.LongRunning || step.Gang || r.task().restarts >= maxRestarts {
				continue
			}
			if c.now-r.started < overdueFactor*c.expected(r.part.job, step)+overdueSlack {
				continue
			}
			r.overdue = true
			r.task().restarts++
			r.task().lostOn = up.ID
			up.health.failed(c, up, r.part.job.ID)
			c.stop(r, "overdue")
		}
	}
}
