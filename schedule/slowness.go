package schedule

import (
	"math"
	"time"
)

// Slow upstreams are recognized by how long their runs take, and take tasks last.
//
// Load patterns: some upstreams are several times as slow as others; 3 of 100 tasks take seven times as long as estimated.

const (
	// slownessWeight is the weight of a new measurement. slownessLimit bounds one, as a multiple of the expected duration: a single
	// task that takes seven times as long does not mark its upstream.
	slownessWeight = 0.15
	slownessLimit  = 4
	// slowFrom is the factor by which an upstream must be slower than expected to be slow: the measurements of several runs.
	slowFrom = 1.4
	// longRunFactor is the multiple of its expected duration at which a run counts before its end.
	longRunFactor = 1.6
	// slowPenalty ranks slow upstreams behind all that have no other penalty.
	slowPenalty = 2.0
	// maxWaitForSpeed is how long a task that can be on time waits at most for an upstream that is not slow.
	maxWaitForSpeed = time.Second
)

// slowness is how much longer the runs on an upstream take than expected.
type slowness struct {
	logFactor float64 // moving average
}

func (s *slowness) measure(factor float64) {
	factor = min(max(factor, 1.0/slownessLimit), slownessLimit)
	s.logFactor += slownessWeight * (math.Log(factor) - s.logFactor)
}

func (s *slowness) factor() float64 { return math.Exp(s.logFactor) }

func (s *slowness) isSlow() bool { return s.logFactor > math.Log(slowFrom) }

// measureSlowness records how long a run took, up to now. It reports whether the run says nothing about its queue, as its upstream is
// slow and most others of the pool are not.
func (c *Core) measureSlowness(r *run) bool {
	step := r.part.step
	if step.LongRunning || step.Estimate <= 0 || r.checkpointed || r.adopted {
		return false
	}
	r.up.slowness.measure(float64(c.now-r.started) / float64(c.expectedDuration(r.part.job, step)))
	return r.up.slowness.isSlow() && c.fewAreSlow(c.pool(r.up.Pool).byID)
}

// noteLongRun records a run that has become longRunFactor times as long as expected since the last review of all runs: its end would
// show only later that its upstream is slow.
func (c *Core) noteLongRun(r *run, expected time.Duration) {
	beyond := c.now - r.started - time.Duration(longRunFactor*float64(expected))
	if beyond >= 0 && beyond < runReviewInterval {
		c.measureSlowness(r)
	}
}

// fewAreSlow reports whether some of the upstreams are slow, but no more than half of them: otherwise the estimates are rather at fault.
func (c *Core) fewAreSlow(upstreams []*upstream) bool {
	slow := 0
	for _, up := range upstreams {
		if up.slowness.isSlow() {
			slow++
		}
	}
	return slow > 0 && 2*slow <= len(upstreams)
}

// waitsForSpeed reports whether the part's tasks, which can be on time, do not start on slow upstreams yet: they would be late there.
func (c *Core) waitsForSpeed(p *part) bool {
	if !c.avoidSlow || p.step.LongRunning || p.step.BestEffort || c.now-p.releasedAt >= maxWaitForSpeed {
		return false
	}
	return c.timeliness(p) != tooLate
}

// isTooSlow reports whether the upstream is so slow that a task of the part, which can be on time, would be late there.
func (c *Core) isTooSlow(p *part, up *upstream) bool {
	if !up.slowness.isSlow() {
		return false
	}
	prospect := c.prospect(p)
	longer := time.Duration((up.slowness.factor() - 1) * float64(c.expectedDuration(p.job, p.step)))
	return prospect.needed+longer > prospect.limit
}
