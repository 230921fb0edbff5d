package schedule

import (
	"time"

	"citrongauge.example/citrongauge/job"
)

const (
	// failuresToQuarantine is the number of consecutive failures, of at least two jobs, after which an upstream is
	// quarantined. Failures of a single job do not suffice, because that job may never be able to succeed.
	failuresToQuarantine = 3
	baseQuarantine       = 1500 * time.Millisecond
	maxQuarantine        = 12 * time.Second
	suspensionTime       = 400 * time.Millisecond // after a command that was rejected or could not be sent
	failurePenalty       = 0.3                    // subtracted from the placement score for each consecutive failure
)

// health tracks an upstream's recent failures.
type health struct {
	consecutiveFailures int
	lastJob             job.ID
	jobChanges          int // number of job changes in the current series of failures
	excludedUntil       time.Duration
	quarantines         int // since the last success
}

func (h *health) recordSuccess() {
	h.consecutiveFailures, h.jobChanges, h.quarantines, h.lastJob = 0, 0, 0, ""
}

func (h *health) recordFailure(c *Core, up *upstream, id job.ID) {
	h.consecutiveFailures++
	if id != h.lastJob {
		h.jobChanges++
		h.lastJob = id
	}
	if h.consecutiveFailures >= failuresToQuarantine && h.jobChanges >= 2 || h.quarantines > 0 {
		h.quarantine(c, up, "consecutive failures")
	}
}

func (h *health) quarantine(c *Core, up *upstream, reason string) {
	delay := min(baseQuarantine<<min(h.quarantines, 4), maxQuarantine)
	h.quarantines++
	h.excludedUntil = c.now + delay
	h.consecutiveFailures, h.jobChanges = 0, 0
	c.Log("upstream in quarantine", "upstream", up.ID, "reason", reason, "for_ms", delay.Milliseconds(), "spells", h.quarantines)
}

func (h *health) isExcluded(now time.Duration) bool { return now < h.excludedUntil }

// allowsStart reports whether one more task may be started. After a quarantine only one task runs at a time until one
// succeeds.
func (h *health) allowsStart(activeRuns int) bool { return h.quarantines == 0 || activeRuns == 0 }

func (h *health) penalty() float64 { return failurePenalty * float64(h.consecutiveFailures) }

// suspend excludes an upstream from placement for suspensionTime.
func (u *upstream) suspend(c *Core, reason string) {
	if u.health.excludedUntil < c.now+suspensionTime {
		u.health.excludedUntil = c.now + suspensionTime
		c.Log("upstream suspended", "upstream", u.ID, "reason", reason, "for_ms", suspensionTime.Milliseconds())
	}
}

const (
	// A run is overdue once it has taken overdueFactor times its expected duration plus overdueSlack.
	overdueFactor   = 3
	overdueSlack    = time.Second
	maxOverdueStops = 2 // per task, because its work may simply take longer than estimated
)

// stopOverdue stops runs that take far longer than expected, so that their tasks are started elsewhere. An upstream
// may hang or become slow while it still answers polls.
func (c *Core) stopOverdue() {
	for _, up := range c.upstreams.all() {
		for _, r := range up.runs.all() {
			step := r.part.step
			if r.overdue || r.state != runRunning || step.LongRunning || step.Gang || r.task().overdueStops >= maxOverdueStops {
				continue
			}
			if c.now-r.started < overdueFactor*c.expectedDuration(r.part.job, step)+overdueSlack {
				continue
			}
			r.overdue = true
			r.task().overdueStops++
			r.task().lastFailedOn = up.ID
			up.health.recordFailure(c, up, r.part.job.ID)
			c.stopRun(r, "overdue")
		}
	}
}
