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

func (t *health) succeeded() {
	t.inRow, t.jobs, t.spells, t.lastJob = 0, 0, 0, ""
}

func (t *health) failed(c *Core, up *upstream, id job.ID) {
	t.inRow++
	if id != t.lastJob {
		t.jobs++
		t.lastJob = id
	}
	if t.inRow >= failuresToQuarantine && t.jobs >= 2 || t.spells > 0 {
		t.quarantine(c, up, "failures in a row")
	}
}

func (t *health) quarantine(c *Core, up *upstream, reason string) {
	pause := min(quarantine<<min(t.spells, 4), maxQuarantine)
	t.spells++
	t.until = c.now + pause
	t.inRow, t.jobs = 0, 0
	c.Log("upstream in quarantine", "upstream", up.ID, "reason", reason, "for_ms", pause.Milliseconds(), "spells", t.spells)
}

func (t *health) isQuarantined(now time.Duration) bool { return now < t.until }

// mayTry reports whether one more task may be started: only one at a time after a quarantine, until one succeeds.
func (t *health) mayTry(runs int) bool { return t.spells == 0 || runs == 0 }

func (t *health) penalty() float64 { return failurePenalty * float64(t.inRow) }

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
