package schedule

import "time"

// What is left of a job, and when it is expected to end.

// timeliness returns the class of the part's occurrence, from its expected end.
func (c *Core) timeliness(p *part) int { return c.prospect(p).timeliness }

func (c *Core) prospect(p *part) prospect {
	if p.step.LongRunning {
		return prospect{timeliness: onTime}
	}
	if p.tooLate {
		return prospect{timeliness: tooLate}
	}
	j := p.job
	needed := c.occurrencePath(j, p.occurrence)
	age := c.now - p.arrival
	switch {
	case needed <= j.objective-age:
		return prospect{onTime, j.objective - age, needed}
	case needed <= tooLateFactor*j.objective-age:
		return prospect{late, tooLateFactor*j.objective - age, needed}
	}
	p.tooLate = true
	return prospect{timeliness: tooLate}
}

// occurrencePath is the critical path of the unfinished steps of an occurrence, as computed last.
type occurrencePath struct {
	at         time.Duration
	occurrence int
	length     time.Duration
	isKnown    bool
}

// occurrencePath returns the critical path of the unfinished steps of an occurrence. The parts of an occurrence mostly follow one another.
func (c *Core) occurrencePath(j *jobState, occurrence int) time.Duration {
	if last := j.path; j.isLarge() && last.isKnown && last.at == c.now && last.occurrence == occurrence {
		return last.length
	}
	length := c.criticalPath(j, func(step int) bool { return j.isStepDone(occurrence, step) })
	j.path = occurrencePath{c.now, occurrence, length, true}
	return length
}

// remainingWork returns the core-milliseconds that the unfinished tasks of a job's due occurrences need, as estimated
// when one of them was added or done last.
func (c *Core) remainingWork(j *jobState) float64 {
	if j.workKnown {
		return j.work
	}
	j.work, j.workKnown = 0, true
	for i := range j.Steps {
		step := &j.Steps[i]
		left := float64(j.dueOccurrences*step.Count - j.steps[i].tasksDone)
		j.work += left * float64(step.Request.MilliCPU) / 1000 * float64(c.expectedDuration(j, step).Milliseconds())
	}
	return j.work
}

// remainingPartWork returns the core-milliseconds that a part's unfinished tasks need.
func (c *Core) remainingPartWork(p *part) float64 {
	left := float64(len(p.tasks) - p.done)
	return left * float64(p.step.Request.MilliCPU) / 1000 * float64(c.expectedDuration(p.job, p.step).Milliseconds())
}
