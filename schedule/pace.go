package schedule

import (
	"time"

	"citrongauge.example/citrongauge/platform"
)

const (
	// minPaceInterval is the shortest time between two changes of pace on an upstream, because gauges cover the last
	// half second.
	minPaceInterval = 600 * time.Millisecond
	// slowDownAbove and speedUpBelow are shares of the tail latency limit beyond which best-effort tasks are slowed
	// down or sped up.
	slowDownAbove = 0.85
	speedUpBelow  = 0.6
	paceStep      = 20 // percentage points by which the pace rises
	fullPercent   = 100
)

// adjustPaces slows down best-effort tasks on upstreams where a serving task (one with a tail latency limit) approaches
// its limit, and speeds them up again when the latency has fallen.
func (c *Core) adjustPaces() {
	for _, up := range c.upstreams.all() {
		if c.now < up.nextPaceChange || up.failedPolls > 0 {
			continue
		}
		worst, bestEffortRuns, percent := up.tailAndBestEffortRuns()
		if len(bestEffortRuns) == 0 {
			continue
		}
		target := percent
		switch {
		case worst > slowDownAbove:
			target = percent / 2
			if worst > 1 {
				target = percent / 4
			}
		case worst < speedUpBelow:
			target = min(percent+paceStep, fullPercent)
		}
		for _, r := range bestEffortRuns {
			c.setPace(r, target, worst)
		}
	}
}

// tailAndBestEffortRuns returns the highest ratio of a serving task's tail latency to its limit, the running
// best-effort tasks and their lowest pace.
func (u *upstream) tailAndBestEffortRuns() (worst float64, bestEffortRuns []*run, percent int) {
	percent = fullPercent
	for _, r := range u.runs.all() {
		step := r.part.step
		if step.TailLatencyLimit > 0 {
			worst = max(worst, float64(r.gauge)/float64(step.TailLatencyLimit.Milliseconds()))
		}
		if step.BestEffort && r.state == runRunning {
			bestEffortRuns = append(bestEffortRuns, r)
			percent = min(percent, r.requestedPace)
		}
	}
	return worst, bestEffortRuns, percent
}

func (c *Core) setPace(r *run, percent int, worst float64) {
	if r.requestedPace == percent || r.commandInFlight || r.state != runRunning {
		return
	}
	c.Log("pace", "job", r.part.job.ID, "task", r.id().String(), "upstream", r.up.ID, "percent", percent, "was", r.requestedPace,
		"tail_share", worst, "gauge_age_ms", (c.now - r.up.lastResponseAt).Milliseconds())
	r.requestedPace = percent
	r.commandInFlight = true
	r.up.nextPaceChange = c.now + minPaceInterval
	c.calls = append(c.calls, Pace{Target: r.up.target(), meant: c.meantFor(r.up), Command: platform.PaceCommand{
		Task: r.id(), Attempt: r.attempt, Percent: percent, Token: r.up.token,
	}})
}
