package schedule

import (
	"time"

	"citrongauge.example/citrongauge/platform"
)

const (
	// minPaceInterval is the shortest time between two changes of pace on an upstream, because gauges cover the last
	// half second.
	minPaceInterval = 600 * time.Millisecond
	// slowDownAbove and speedUpBelow are shares of the tail latency limit beyond which filling tasks are slowed down
	// or sped up.
	slowDownAbove = 0.85
	speedUpBelow  = 0.6
	paceStep      = 20 // percentage points by which the pace rises
	fullPace      = 100
)

// adjustPaces slows down filling tasks on upstreams where a serving task approaches its tail latency limit, and speeds
// them up again when the latency has fallen.
func (c *Core) adjustPaces() {
	for _, up := range c.upstreams.all() {
		if c.now < up.nextPaceChange || up.failedPolls > 0 {
			continue
		}
		worst, fills, percent := up.tailAndFills()
		if len(fills) == 0 {
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
			target = min(percent+paceStep, fullPace)
		}
		for _, r := range fills {
			c.setPace(r, target, worst)
		}
	}
}

// tailAndFills returns the highest ratio of a serving task's tail latency to its limit, the running filling tasks and
// their lowest pace.
func (u *upstream) tailAndFills() (worst float64, fills []*run, percent int) {
	percent = fullPace
	for _, r := range u.runs.all() {
		step := r.part.step
		if step.TailLatencyLimit > 0 {
			worst = max(worst, float64(r.gauge)/float64(step.TailLatencyLimit.Milliseconds()))
		}
		if step.BestEffort && r.state == runRunning {
			fills = append(fills, r)
			percent = min(percent, r.orderedPace)
		}
	}
	return worst, fills, percent
}

func (c *Core) setPace(r *run, percent int, worst float64) {
	if r.orderedPace == percent || r.orderInFlight || r.state != runRunning {
		return
	}
	c.Log("pace", "job", r.part.job.ID, "task", r.id().String(), "upstream", r.up.ID, "percent", percent, "was", r.orderedPace,
		"tail_share", worst, "gauge_age_ms", (c.now - r.up.lastAnswerAt).Milliseconds())
	r.orderedPace = percent
	r.orderInFlight = true
	r.up.nextPaceChange = c.now + minPaceInterval
	c.calls = append(c.calls, Pace{Target: r.up.target(), Order: platform.PaceCommand{
		Task: r.id(), Attempt: r.attempt, Percent: percent, Token: c.Token,
	}})
}
