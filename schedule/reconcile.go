package schedule

import (
	"time"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

// updateFromList updates the run from its row in an upstream's response to a poll.
func (r *run) updateFromList(c *Core, row platform.CurrentRun, seq uint64) {
	r.lastListed, r.heldBy, r.charge, r.awaitsNewLife = seq, r.up.life, nil, false
	r.gauge, r.progress = row.Gauge, row.Percent
	c.clearSuspicion(r)
	r.noteAtWork()
	if row.Checkpoint != "" && row.Checkpoint != r.checkpoint {
		r.checkpoint = row.Checkpoint
		r.task().checkpoint = row.Checkpoint
	}
	if r.state == runUnknown {
		r.state = runRunning
		c.Log("run found after unanswered start", "task", r.id().String(), "attempt", r.attempt, "upstream", r.up.ID)
	}
}

// handleUnlisted handles a run that is missing from a response that should have listed it.
func (c *Core) handleUnlisted(r *run) {
	if r.state == runStopped || r.state == runRunning {
		c.applyCharge(r)
	}
	if r.awaitsNewLife && r.mayStillStart() {
		return // the new life may carry it out until it is barred
	}
	switch r.state {
	case runStopped:
		c.detach(r)
		c.requeue(r, "stopped before it began", "")
	case runRunning:
		c.detach(r)
		c.Log("run missing from the list of its upstream", "task", r.id().String(), "attempt", r.attempt, "upstream", r.up.ID)
		c.requeue(r, "not listed any more", r.checkpoint)
	}
}

// handleNeverBegun handles a run that is missing from a response, and that the upstream can't begin any more.
func (c *Core) handleNeverBegun(r *run) {
	if r.startInFlight {
		return // it returns soon; a still later life may carry it out until then
	}
	c.applyCharge(r)
	c.detach(r)
	if r.heldBy == nil && !r.startAnswered {
		c.requeue(r, "its start was barred", "")
		return
	}
	c.Log("run missing from the list of its upstream", "task", r.id().String(), "attempt", r.attempt, "upstream", r.up.ID)
	c.requeue(r, "not listed any more", r.checkpoint)
}

// adopt adds a run that this owner did not start, and stops it if it is not wanted.
func (c *Core) adopt(up *upstream, row platform.CurrentRun) *run {
	p, index := c.findTask(row.Task)
	if p == nil {
		c.stopUnknown(up, row)
		return nil
	}
	t := &p.tasks[index]
	r := &run{
		part: p, index: index, attempt: row.Attempt, up: up, state: runRunning, reserved: p.step.ReservedResources(), started: c.now,
		adopted: true, confirmedPace: fullPercent, requestedPace: fullPercent,
	}
	unwanted := ""
	switch {
	case p.job.phase.Terminal() || t.done:
		unwanted = "its task has ended"
	case len(t.runs) > 0 && !p.step.Speculative:
		unwanted = "another run of its task is known"
	}
	if other := up.runs.get(row.Task); other != nil {
		if other.attempt > row.Attempt {
			return nil // the listed run is an earlier attempt that is ending
		}
		c.detach(other)
	}
	t.lastAttempt = max(t.lastAttempt, row.Attempt)
	c.attach(r)
	c.noteJobBegun(p.job)
	c.recordAdopted(r)
	c.Log("run adopted", "job", p.job.ID, "task", r.id().String(), "attempt", r.attempt, "upstream", up.ID)
	if unwanted != "" {
		c.stopRun(r, unwanted)
	}
	return r
}

// stopUnknown stops a run of an unknown job: the job has ended and its records have been removed.
func (c *Core) stopUnknown(up *upstream, row platform.CurrentRun) {
	up.unknownRuns++
	c.Log("stop", "task", row.Task.String(), "attempt", row.Attempt, "upstream", up.ID, "reason", "its job is not known")
	c.calls = append(c.calls, Stop{Target: up.target(), meant: c.meantFor(up), Command: platform.StopCommand{
		Task: row.Task, Attempt: row.Attempt, Token: up.token,
	}})
}

// findTask returns the part and index of a task, or nil if its job is unknown.
func (c *Core) findTask(id job.TaskID) (*part, int) {
	j := c.jobs.get(id.Job)
	if j == nil || id.Step >= len(j.Steps) || id.Occurrence >= j.dueOccurrences {
		return nil, 0
	}
	if id.Index >= j.Steps[id.Step].Count {
		return nil, 0
	}
	p := j.part(id.Occurrence, id.Step)
	if p == nil && !j.isStepDone(id.Occurrence, id.Step) && !j.phase.Terminal() {
		p = c.openPart(j, id.Occurrence, id.Step, nil)
		c.releaseReadyParts(j)
	}
	return p, id.Index
}

// handleEnd handles the end of a run that an upstream reports. It returns true if the job's progress has to be stored
// before the end is acknowledged.
func (c *Core) handleEnd(up *upstream, end platform.EndedRun) bool {
	r := up.runs.get(end.Task)
	if r != nil && r.attempt == end.Attempt {
		c.detach(r)
	} else {
		r = nil
	}
	p, index := c.findTask(end.Task)
	if p == nil {
		return false
	}
	t := &p.tasks[index]
	t.lastAttempt = max(t.lastAttempt, end.Attempt)
	c.noteJobBegun(p.job)
	ran := int64(-1)
	if r != nil {
		ran = (c.now - r.started).Milliseconds()
	}
	if r == nil || end.Kind != platform.EndDone { // what is expected is not logged: it is half of all lines
		c.Log("end", "job", p.job.ID, "task", end.Task.String(), "attempt", end.Attempt, "upstream", up.ID, "how", end.Kind,
			"number", end.Seq, "ran_ms", ran)
	}
	if end.Checkpoint != "" && end.Kind != platform.EndDone && end.Kind != platform.EndFailed {
		t.checkpoint = end.Checkpoint
	}
	if p.job.phase.Terminal() || t.done {
		return c.isDirty(p.job.ID)
	}
	switch end.Kind {
	case platform.EndDone:
		return c.taskDone(p, index, r, up)
	case platform.EndFailed:
		return c.taskFailed(p, index, r, end, up)
	}
	if r != nil {
		c.requeue(r, string(end.Kind), end.Checkpoint)
	}
	return false
}

func (c *Core) taskDone(p *part, index int, r *run, up *upstream) bool {
	if p.step.LongRunning {
		p.tasks[index].requeuedAt, p.tasks[index].notBefore = c.now, c.now+restartDelay
		return false
	}
	if r != nil {
		c.updateDurationRatio(r)
		c.noteDone(r)
	}
	up.health.recordSuccess()
	if p.step.Gang {
		for i := range p.tasks {
			c.markDone(p, i)
		}
	} else {
		c.markDone(p, index)
	}
	c.markDirty(p.job)
	if p.isDone() {
		c.removeFromPool(p)
		c.notePartDone(p)
		if !p.job.isLarge() {
			c.releaseReadyParts(p.job)
		}
		c.checkComplete(p.job)
	}
	return true
}

func (c *Core) markDone(p *part, index int) {
	t := &p.tasks[index]
	if t.done {
		return
	}
	t.done = true
	p.noteTaskDone()
	p.job.workKnown = false
	p.progress.SetDone(index)
	c.stats.Done++
	for _, r := range t.runs {
		if !p.step.Gang {
			c.stopRun(r, "another run of its task is done")
		}
	}
}

func (c *Core) taskFailed(p *part, index int, r *run, end platform.EndedRun, up *upstream) bool {
	t := &p.tasks[index]
	var started time.Duration
	if r != nil {
		started = r.started
	}
	up.health.recordFailure(c, up, p, t, started)
	t.lastFailedOn = up.ID
	if p.step.LongRunning {
		t.failures++
		t.requeuedAt = c.now
		t.notBefore = c.now + min(restartDelay<<min(t.failures-1, 5), maxRestartDelay)
		return false
	}
	if p.step.Gang {
		index = 0 // all members of a gang share an attempt, whose failure counts once
	}
	for _, failure := range p.progress.Failures {
		if failure.Index == index && failure.Attempt == end.Attempt {
			return c.isDirty(p.job.ID)
		}
	}
	c.stats.Failed++
	c.queuePart(p)
	p.progress.Failures = append(p.progress.Failures, job.TaskFailure{Index: index, Attempt: end.Attempt})
	p.tasks[index].failures++
	p.tasks[index].failureBatch = c.lastBatch + 1
	c.markDirty(p.job)
	if p.tasks[index].failures >= max(p.job.Queue.MaxAttempts, 1) {
		c.endJob(p.job, job.Failed, "a task failed in all its attempts")
	}
	return true
}
