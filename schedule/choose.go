package schedule

import (
	"slices"

	"citrongauge.example/citrongauge/job"
)

// The choice of an upstream for a task.

// admits reports whether the upstream has the label and the ticket that the part needs.
func (c *Core) admits(p *part, up *upstream) bool {
	if p.step.Label != "" && !slices.Contains(up.Labels, p.step.Label) {
		return false
	}
	return !p.job.Queue.NeedsAdvice || c.ticketFor(p, up) != ""
}

// chooseUpstream returns the best of the upstreams with room for a task, or nil.
func (c *Core) chooseUpstream(p *part, t *task, usable, room []*upstream, reserved job.Resources) *upstream {
	var best *upstream
	var bestScore float64
	waitForRack := p.step.Rack != "" && c.mayWaitForRack(p, t)
	waitForSpeed := c.waitsForSpeed(p)
	for _, up := range room {
		if !reserved.Fits(up.freeCapacity()) || !c.isOpen(p, t, up) || !c.admits(p, up) {
			continue
		}
		if p.step.MaxPerUpstream > 0 && p.perUpstream[up.ID] >= p.step.MaxPerUpstream {
			continue
		}
		if waitForRack && up.rack != p.step.Rack && hasRack(usable, p.step.Rack) {
			continue
		}
		if waitForSpeed && c.isTooSlow(p, up) {
			continue
		}
		if !c.mayStartAfterFailures(p, t, up) {
			continue
		}
		score := c.score(p, t, up)
		if best == nil || score > bestScore {
			best, bestScore = up, score
		}
	}
	return best
}

// mayWaitForRack reports whether a task should rather wait for the rack of its data: for up to the expected duration of the
// task. A long-running one has no duration, and waits until it starves.
func (c *Core) mayWaitForRack(p *part, t *task) bool {
	if p.step.LongRunning {
		return !p.isStarving(t, c.now)
	}
	return c.now-p.releasedAt < c.expectedDuration(p.job, p.step)
}

func hasRack(usable []*upstream, rack string) bool {
	return slices.ContainsFunc(usable, func(up *upstream) bool { return up.rack == rack })
}

// Weights of the placement criteria, as fractions of an upstream's processors.
const (
	rackBonus                    = 2.0
	badUpstreamPenalty           = 1.0
	bestEffortNearServingPenalty = 0.5
	// wantedLabelPenalty keeps tasks that need no label off upstreams with a label that waiting tasks require.
	wantedLabelPenalty = 2.0
	// packingBonus keeps long-running tasks together, so that other machines of the pool stay free to move.
	packingBonus = 1.0
	// longLeasePenalty keeps tasks off upstreams that could not be given up for longer than one lease.
	longLeasePenalty = 4.0
	// unsettledPenalty keeps long-running tasks that have waited off upstreams that started anew or were silent a moment ago.
	unsettledPenalty = 4.0
)

// score rates an upstream for a task; higher is better. Tasks are packed, so that whole machines stay free to move to
// another pool or to be switched off. Best-effort tasks and tasks with a tail latency limit are spread: the former
// take no processor capacity, and the latter suffer from other load on their upstream.
func (c *Core) score(p *part, t *task, up *upstream) float64 {
	capacity := float64(max(up.Capacity.MilliCPU, 1))
	score := float64(up.requestedCPU) / capacity
	if p.step.BestEffort || p.step.TailLatencyLimit > 0 {
		score = -score
	}
	if p.step.Rack != "" && up.rack == p.step.Rack {
		score += rackBonus
	}
	if t.lastFailedOn == up.ID {
		score -= badUpstreamPenalty
	}
	if p.step.BestEffort && up.runsServingTask() {
		score -= bestEffortNearServingPenalty
	}
	if up.minLeaseEnd > c.now+c.Lease {
		score -= longLeasePenalty
	}
	if up.WarmUp > 0 {
		score -= badUpstreamPenalty
	}
	if p.step.Label == "" && slices.ContainsFunc(c.wantedLabels, func(l string) bool { return slices.Contains(up.Labels, l) }) {
		score -= wantedLabelPenalty
	}
	if p.step.LongRunning && up.longRunning > 0 {
		score += packingBonus
	}
	if c.avoidSlow && up.slowness.isSlow() {
		score -= slowPenalty
	}
	if c.avoids(p, t, up) {
		score -= unsettledPenalty
	}
	return score - up.health.penalty()
}

// avoids reports whether the task is to start on another upstream if one has room: it has waited, and this one may be gone again
// soon.
func (c *Core) avoids(p *part, t *task, up *upstream) bool {
	return p.step.LongRunning && p.isStarving(t, c.now) && !c.isSettled(up)
}

// runsServingTask reports whether a task with a tail latency limit runs on the upstream.
func (u *upstream) runsServingTask() bool {
	for _, r := range u.runs.all() {
		if r.part.step.TailLatencyLimit > 0 {
			return true
		}
	}
	return false
}
