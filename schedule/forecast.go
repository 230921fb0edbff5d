package schedule

import (
	"math"
	"time"
)

// The demand of a pool is predicted from the work of the jobs that were accepted lately, since a machine joins a pool only some time after
// the decision to move it.
//
// Load pattern: the demand of a queue rises to several times its mean within seconds.

const (
	// demandWindow is the time over which accepted work is averaged.
	demandWindow = 800 * time.Millisecond
	// joinDelay is the time from the end of a machine's move until its upstream can be used.
	joinDelay = 200 * time.Millisecond
	// chanceDeviations is the number of standard deviations by which the work of a window may exceed that of the one before by chance.
	chanceDeviations = 2.0
)

// arrivedWork is the work of one accepted job.
type arrivedWork struct {
	at       time.Duration
	coreTime float64 // core-seconds
}

// recordArrival adds an accepted job's work to the predicted demand of its pool.
func (c *Core) recordArrival(j *jobState) {
	if j.LongRunning() || j.Repeat > 0 || c.now-j.arrival > demandWindow {
		return
	}
	p := c.pool(j.Queue.Pool)
	work := 0.0
	for _, part := range j.parts {
		if part.step.Label == "" && c.canEverFit(p, part.step) {
			work += c.remainingPartWork(part) / 1000
		}
	}
	p.arrived = append(p.arrived, arrivedWork{c.now, work})
	p.turn.open.add(work)
}

// windowSum is the work that was accepted in a window.
type windowSum struct {
	work    float64 // core-seconds
	squares float64 // of the work of the single jobs, whose sum is the variance of work if the jobs arrive independently
}

func (s *windowSum) add(work float64) {
	s.work += work
	s.squares += work * work
}

// recentWork returns the work of the last window and of the one before.
func (p *pool) recentWork(now time.Duration) (last, before windowSum) {
	for len(p.arrived) > 0 && p.arrived[0].at < now-2*demandWindow {
		p.arrived = p.arrived[1:]
	}
	for _, arrived := range p.arrived {
		if arrived.at < now-demandWindow {
			before.add(arrived.coreTime)
		} else {
			last.add(arrived.coreTime)
		}
	}
	return last, before
}

// offeredLoad returns the processors that recently accepted work needs on average, in thousandths of a core.
func (p *pool) offeredLoad(now time.Duration) int64 {
	last, _ := p.recentWork(now)
	return milliCPU(last.work)
}

// milliCPU returns the processors, in thousandths of a core, that the work of one window needs on average.
func milliCPU(work float64) int64 { return int64(1000 * work / demandWindow.Seconds()) }

// expectedRise returns by how much the load of the pool will exceed offeredLoad when a machine that is moved now can be used, in
// thousandths of a core, if it goes on rising as in the last two windows. Only what chance does not explain counts as a rise.
func (c *Core) expectedRise(p *pool) int64 {
	if c.now < c.firstDecision+2*demandWindow { // this owner has not seen two windows
		return 0
	}
	last, before := p.recentWork(c.now)
	if c.isKnownTurn(p, milliCPU(last.work)) {
		return 0
	}
	rise := max(last.work-before.work-chanceDeviations*math.Sqrt(last.squares+before.squares), 0)
	ahead := c.Bounds.MoveDuration + joinDelay + demandWindow/2 // the load of a window is that in its middle
	return milliCPU(rise * ahead.Seconds() / demandWindow.Seconds())
}
