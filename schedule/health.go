package schedule

import (
	"slices"
	"time"

	"citrongauge.example/citrongauge/job"
)

const (
	// failuresToQuarantine is the number of consecutive failures, of at least two jobs, after which an upstream is
	// quarantined. Failures of a single job do not suffice, because that job may never be able to succeed.
	failuresToQuarantine = 3
	baseQuarantine       = 1500 * time.Millisecond
	maxQuarantine        = 12 * time.Second
	// failuresOfTask is the number of failures after which a long-running task is rather at fault than its upstream.
	failuresOfTask = 3
	suspensionTime = 400 * time.Millisecond // after a command that was rejected or could not be sent
	failurePenalty = 0.3                    // subtracted from the placement score for each consecutive failure
	// trialTime is how long after a quarantine the next task waits for the end of the one before. A long-running task that
	// is at work this long after its start counts as a success.
	trialTime = 2 * time.Second
)

// health tracks an upstream's recent failures.
type health struct {
	consecutiveFailures int
	lastJob             job.ID
	jobChanges          int           // number of job changes in the current series of failures
	excludedUntil       time.Duration // end of its quarantine
	suspendedUntil      time.Duration // see suspend
	quarantines         int           // since the last success
	// quarantinedAt is when the last of the quarantines began, and trial the run that was started last since then; nil: none.
	quarantinedAt time.Duration
	trial         *run
	trialDoubted  bool           // the last trial was of a job in doubt
	failedHere    map[job.ID]int // failed runs of each job since the last success
}

func (h *health) recordSuccess() {
	*h = health{excludedUntil: h.excludedUntil, suspendedUntil: h.suspendedUntil}
}

// recordFailure records that a run of one of the part's tasks, started at the given time (0: not known), has failed. Runs from
// before the last quarantine say nothing new, nor does a long-running task that has failed often.
func (h *health) recordFailure(c *Core, up *upstream, p *part, t *task, started time.Duration) {
	isNew := h.isNewEvidence(c, up, p, t)
	h.noteFailed(p.job.ID)
	if h.quarantines > 0 && started <= h.quarantinedAt || p.step.LongRunning && t.failures >= failuresOfTask {
		return
	}
	h.consecutiveFailures++
	if p.job.ID != h.lastJob {
		h.jobChanges++
		h.lastJob = p.job.ID
	}
	switch {
	case h.quarantines > 0 && !isNew:
		h.repeatQuarantine(c, p, up)
	case h.quarantines > 0, h.consecutiveFailures >= failuresToQuarantine && h.jobChanges >= 2:
		h.quarantine(c, p, up, "consecutive failures")
	}
}

func (h *health) noteFailed(id job.ID) {
	if h.failedHere == nil {
		h.failedHere = map[job.ID]int{}
	}
	h.failedHere[id]++
}

// isNewEvidence reports whether a failure of the task says more about the upstream than those before. If nothing shows that the part's
// tasks can be done, it does not after the job has failed here, or the task anywhere: they may be at fault.
func (h *health) isNewEvidence(c *Core, up *upstream, p *part, t *task) bool {
	if p.done > 0 || c.worksElsewhere(p, up) {
		return true
	}
	return t.failures == 0 && t.overdueStops == 0 && h.failedHere[p.job.ID] == 0
}

// worksElsewhere reports whether a task of the part has been at work for trialTime on another upstream.
func (c *Core) worksElsewhere(p *part, up *upstream) bool {
	return slices.ContainsFunc(p.tasks, func(t task) bool {
		return slices.ContainsFunc(t.runs, func(r *run) bool {
			return r.up != up && r.state == runRunning && c.now-r.started >= trialTime
		})
	})
}

// quarantine begins a quarantine, twice as long as the one before.
func (h *health) quarantine(c *Core, p *part, up *upstream, reason string) {
	delay := min(baseQuarantine<<min(h.quarantines, 4), maxQuarantine)
	h.quarantines++
	if c.mostQuarantined(p, up) {
		delay = baseQuarantine
	}
	h.exclude(c, up, reason, c.now+delay)
}

// repeatQuarantine begins the shortest quarantine again: tasks are tried no faster, but no task waits longer for the upstream.
func (h *health) repeatQuarantine(c *Core, p *part, up *upstream) {
	until := c.now + baseQuarantine
	if !c.mostQuarantined(p, up) {
		until = max(until, h.excludedUntil)
	}
	h.exclude(c, up, "failures of jobs that have failed before", until)
}

func (h *health) exclude(c *Core, up *upstream, reason string, until time.Duration) {
	h.excludedUntil = until
	h.consecutiveFailures, h.jobChanges = 0, 0
	h.quarantinedAt, h.trial = c.now, nil
	c.Log("upstream in quarantine", "upstream", up.ID, "reason", reason, "for_ms", (until - c.now).Milliseconds(), "spells", h.quarantines)
}

// mostQuarantined reports whether more than half of the upstreams that could run tasks like the part's have been in quarantine
// since their last success: those of the pool, or those with one of the upstream's labels but its rack. The failures are
// then rather the fault of the tasks, and others must not wait long for an upstream.
func (c *Core) mostQuarantined(p *part, up *upstream) bool {
	return c.mostQuarantinedWith(p, up, "") || slices.ContainsFunc(up.Labels, func(label string) bool {
		return label != up.rack && c.mostQuarantinedWith(p, up, label)
	})
}

// mostQuarantinedWith considers the upstreams of up's pool that have the label; all for "". Those that long-running tasks fill are
// left out: they show nothing, and no task can go there.
func (c *Core) mostQuarantinedWith(p *part, up *upstream, label string) bool {
	reserved := p.step.ReservedResources()
	quarantined, all := 0, 0
	for _, other := range c.pool(up.Pool).byID {
		if other != up && (!other.listed || !other.fenced || other.terminated || other.failedPolls > 0) {
			continue
		}
		if label != "" && !slices.Contains(other.Labels, label) {
			continue
		}
		if other != up && !reserved.Fits(other.Capacity.Sub(other.usedLongRunning)) {
			continue
		}
		all++
		if other.health.quarantines > 0 {
			quarantined++
		}
	}
	return 2*quarantined > all
}

func (h *health) isExcluded(now time.Duration) bool {
	return now < h.excludedUntil || h.isSuspended(now)
}

func (h *health) isSuspended(now time.Duration) bool { return now < h.suspendedUntil }

// allowsStart reports whether one more task may be started. After a quarantine tasks are started one after another until
// one succeeds. Runs that began before the quarantine do not count, and a run that lasts counts for trialTime: otherwise
// an upstream with a long-running task would stay closed.
func (h *health) allowsStart(now time.Duration) bool {
	return h.quarantines == 0 || h.trial == nil || h.trial.detached || now-h.trial.started >= trialTime
}

// noteStart records a run that is started after a quarantine. One that starts beside a trial is none: each would begin the wait for the
// next trial anew.
func (h *health) noteStart(r *run) {
	if h.quarantines > 0 && h.allowsStart(r.started) {
		h.trial, h.trialDoubted = r, h.doubts(r.part)
	}
}

// doubts reports whether the part's job may rather be at fault than the upstream, by its failures there. A long-running task that has
// waited precedes others, and loses that in the trials of the upstream only after several failures.
func (h *health) doubts(p *part) bool {
	if p.step.LongRunning {
		return h.failedHere[p.job.ID] >= failuresOfTask
	}
	return h.failedHere[p.job.ID] > 0
}

// givesWay reports whether the part leaves the next trial to a job that is not in doubt, if one waits: the last trial was of a job in
// doubt, and another one would show nothing new.
func (h *health) givesWay(p *part) bool {
	return h.quarantines > 0 && h.trialDoubted && h.doubts(p)
}

// noteAtWork records a success of the run's upstream once the run, of a long-running task, has been started for
// trialTime and is at work: no end will show that the upstream works again.
func (r *run) noteAtWork() {
	h := &r.up.health
	if h.quarantines == 0 || r.started < h.quarantinedAt || !r.part.step.LongRunning || r.state != runRunning {
		return
	}
	if r.progress >= fullPercent && r.begunMS != 0 && r.up.clock.ms-r.begunMS >= trialTime.Milliseconds() {
		h.recordSuccess()
	}
}

func (h *health) penalty() float64 { return failurePenalty * float64(h.consecutiveFailures) }

// suspend excludes an upstream from placement for suspensionTime.
func (u *upstream) suspend(c *Core, reason string) {
	if u.health.suspendedUntil < c.now+suspensionTime {
		u.health.suspendedUntil = c.now + suspensionTime
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
			expected := c.expectedDuration(r.part.job, step)
			if c.now-r.started < overdueFactor*expected+overdueSlack {
				c.noteLongRun(r, expected)
				continue
			}
			r.overdue = true
			c.measureSlowness(r)
			up.health.recordFailure(c, up, r.part, r.task(), r.started)
			r.task().overdueStops++
			r.task().lastFailedOn = up.ID
			c.stopRun(r, "overdue")
		}
	}
}
