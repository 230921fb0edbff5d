package schedule

import (
	"time"

	"citrongauge.example/citrongauge/job"
)

// jobState is a job that has not ended or whose end has not been stored yet.
type jobState struct {
	*job.Job
	inherited        bool          // accepted before this ownership, so that an earlier owner may have started its tasks
	arrival          time.Duration // when the job was accepted, on our monotonic clock
	phase            job.Phase
	endedMS          int64
	hasBegun         bool    // an upstream has begun a task
	parts            []*part // that are open, by their numbers: all of the due occurrences, but in large jobs (opening.go)
	dueOccurrences   int
	openParts        int         // open parts that are not done
	partsLeft        int         // parts of all occurrences that are not done
	steps            []stepState // by step
	forgotten        partSet     // parts of a large job that are done and no longer open
	donePending      []donePart  // parts of a large job that are done and open
	path             occurrencePath
	recordRefused    bool // see RefuseRecord
	team             *team
	begun            bool       // a task of it was placed
	size             *sizeClass // nil: no part of it has been a candidate yet, or it is a repeated job
	missed           bool       // it was begun and can no longer be on time
	virtualStartSort uint64     // sort of the pool's waiting parts that set virtualStart and owed
	virtualStart     float64    // see candidate
	owed             bool
	work             float64 // cached result of remainingWork
	workKnown        bool
	created          uint64        // the revision at which it was stored
	outageZone       string        // see outageZone; empty: no task has an unrecorded start
	objective        time.Duration // expected critical path times the queue's latency factor, plus the target latency
}

// durationRatio is a moving average of how long a queue's tasks take relative to their estimates.
type durationRatio struct {
	ratio float64 // measured to estimated duration
}

const (
	ratioWeight     = 0.1 // weight of a new measurement
	defaultEstimate = time.Second
	restartDelay    = 100 * time.Millisecond // before a long-running task is started again
	maxRestartDelay = 2 * time.Second
)

// AddJob adds a job that was read from the store at the given revision, with its recorded progress (nil: none) and
// whether it was cancelled.
func (c *Core) AddJob(j *job.Job, created uint64, inherited bool, progress *job.Progress, cancelled bool) {
	if _, ended := c.retiredIDs[j.ID]; ended {
		return
	}
	if _, known := c.jobs.lookup(j.ID); known {
		if cancelled {
			c.Cancel(j.ID)
		}
		return
	}
	if progress != nil && progress.Phase.Terminal() && len(progress.Parts) == 0 {
		c.retire(j.ID, progress.EndedMS)
		return
	}
	state := &jobState{
		Job: j, inherited: inherited, team: c.team(j.Team), arrival: c.now - c.jobAge(j, inherited),
		outageZone: outageZone(j.ID, c.Zones), created: created,
	}
	c.newestJob = max(c.newestJob, created)
	if queue, ok := c.queues[j.Queue.Name]; ok {
		j.Queue = queue.Queue
	}
	state.partsLeft, state.steps = state.partCount(), make([]stepState, len(j.Steps))
	state.hasBegun = progress != nil && progress.Phase == job.Active
	state.objective = c.computeObjective(state)
	c.jobs.set(j.ID, state)
	if j.Repeat > 0 {
		c.repeated.set(j.ID, state)
	}
	c.Log("job known", "job", j.ID, "team", j.Team, "queue", j.Queue.Name, "revision", created, "inherited", inherited,
		"age_ms", (c.now - state.arrival).Milliseconds())
	if progress != nil && progress.Phase.Terminal() {
		// Its runs may still be stopping. They hold capacity until an upstream reports their end.
		state.phase, state.endedMS = progress.Phase, progress.EndedMS
		c.restoreJob(state, progress)
		c.markDirty(state)
		return
	}
	c.restoreJob(state, progress)
	if cancelled {
		c.endJob(state, job.Cancelled, "cancelled before this owner read it")
		return
	}
	c.recordArrival(state)
}

// maxAnnouncementAge bounds the delay between a job's acceptance and its arrival at the current owner. A greater age
// is attributed to a difference between the clocks of the two hosts.
const maxAnnouncementAge = time.Second

// jobAge returns the time since a job was accepted, by the clock of the accepting host.
func (c *Core) jobAge(j *job.Job, inherited bool) time.Duration {
	age := max(time.Duration(c.wallMS-j.AcceptedMS)*time.Millisecond, 0)
	if !inherited {
		age = min(age, maxAnnouncementAge)
	}
	return age
}

// restoreJob adds the parts of the occurrences that are due or that have recorded progress (nil: none).
func (c *Core) restoreJob(j *jobState, progress *job.Progress) {
	recorded := map[int]*job.PartProgress{}
	if progress != nil {
		for i, p := range progress.Parts {
			if p.Step < len(j.Steps) && p.Occurrence < j.Occurrences() {
				recorded[j.partNumber(p.Occurrence, p.Step)] = &progress.Parts[i]
				j.dueOccurrences = max(j.dueOccurrences, p.Occurrence+1)
			}
		}
	}
	opened := j.dueOccurrences
	if j.isLarge() {
		c.largeJobs.set(j.ID, j)
		if progress != nil {
			c.restoreLarge(j, progress)
		}
	} else {
		for k := range opened {
			c.openOccurrence(j, k, recorded)
		}
	}
	c.addDue(j)
	if j.isLarge() {
		c.openWaitingParts(j)
	}
	c.checkComplete(j)
}

// openOccurrence opens the parts of an occurrence.
func (c *Core) openOccurrence(j *jobState, occurrence int, recorded map[int]*job.PartProgress) {
	for step := range j.Steps {
		c.openPart(j, occurrence, step, recorded[j.partNumber(occurrence, step)])
	}
}

// addDue adds the occurrences that are due.
func (c *Core) addDue(j *jobState) {
	for ; j.dueOccurrences < j.Occurrences() && c.isDue(j, j.dueOccurrences); j.dueOccurrences++ {
		if !j.isLarge() {
			c.openOccurrence(j, j.dueOccurrences, nil)
		}
	}
	j.workKnown = false
	if !j.isLarge() {
		c.releaseReadyParts(j)
	}
}

// dueTime returns when an occurrence was due, on our monotonic clock.
func (c *Core) dueTime(j *jobState, occurrence int) time.Duration {
	if j.Repeat == 0 {
		return j.arrival
	}
	due := j.StartMS + int64(occurrence)*j.Interval.Milliseconds()
	return c.now - time.Duration(c.wallMS-due)*time.Millisecond
}

func (c *Core) isDue(j *jobState, occurrence int) bool {
	return j.Repeat == 0 || c.wallMS >= j.StartMS+int64(occurrence)*j.Interval.Milliseconds()
}

// addDueOccurrences adds the occurrences that have become due.
func (c *Core) addDueOccurrences() {
	for id, j := range c.repeated.all() {
		switch {
		case j.phase.Terminal() || j.dueOccurrences >= j.Occurrences():
			c.repeated.delete(id)
		case c.isDue(j, j.dueOccurrences):
			first := j.dueOccurrences
			c.addDue(j)
			c.Log("occurrence due", "job", id, "occurrence", first, "occurrences", j.dueOccurrences-first)
			c.checkComplete(j)
		}
	}
}

// releaseReadyParts adds the open parts whose dependencies are done to their pool.
func (c *Core) releaseReadyParts(j *jobState) {
	if j.phase.Terminal() {
		return
	}
	for _, p := range j.parts {
		if !p.released && !p.isDone() && c.dependenciesDone(j, p.occurrence, p.stepIndex) {
			c.release(p)
		}
	}
}

// release adds a part whose dependencies are done to its pool.
func (c *Core) release(p *part) {
	p.released, p.releasedAt = true, c.now
	c.addToPool(p)
}

// dependenciesDone reports whether all steps of the occurrence that a step depends on are done.
func (c *Core) dependenciesDone(j *jobState, occurrence, step int) bool {
	for _, earlier := range j.Steps[step].After {
		if !j.isStepDone(occurrence, earlier) {
			return false
		}
	}
	return true
}

func (c *Core) addToPool(p *part) {
	c.pool(p.job.Queue.Pool).parts.set(p, struct{}{})
	p.inPool = true
	c.queuePart(p)
}

func (c *Core) removeFromPool(p *part) {
	if p.inPool {
		c.pool(p.job.Queue.Pool).parts.delete(p)
		p.inPool, p.queued = false, false
	}
}

// setQueue applies the new settings of a job's queue.
func (c *Core) setQueue(j *jobState, queue job.Queue) {
	poolChanged := j.Queue.Pool != queue.Pool
	if poolChanged || j.Queue.Priority != queue.Priority {
		j.size, j.missed = nil, false
	}
	if poolChanged {
		for _, p := range j.parts {
			if p.inPool {
				c.removeFromPool(p)
				defer c.addToPool(p)
			}
		}
	}
	j.Queue = queue
	j.objective = c.computeObjective(j)
	for _, p := range j.parts {
		p.tooLate = false
	}
}

// Cancel ends a job at the client's request.
func (c *Core) Cancel(id job.ID) {
	j := c.jobs.get(id)
	if j == nil || j.phase.Terminal() {
		return
	}
	c.endJob(j, job.Cancelled, "cancelled by its client")
}

// CancellationStored handles the stored cancellation of a job, at the given time in Unix milliseconds (0: not known). If
// the store has no such job, the cancellation is kept for as long as an ended job, so that a late submission fails.
func (c *Core) CancellationStored(id job.ID, atMS int64) {
	if _, known := c.jobs.lookup(id); known {
		c.Cancel(id)
		return
	}
	if _, ended := c.retiredIDs[id]; ended {
		return
	}
	if atMS <= 0 || atMS > c.wallMS {
		atMS = c.wallMS
	}
	c.Log("cancellation without a job", "job", id, "age_ms", c.wallMS-atMS)
	c.retire(id, atMS)
}

// endJob sets a job's terminal phase, stops its runs and marks its progress for storing.
func (c *Core) endJob(j *jobState, phase job.Phase, reason string) {
	j.phase, j.endedMS = phase, c.wallMS
	c.largeJobs.delete(j.ID)
	for _, p := range j.parts {
		c.removeFromPool(p)
		for i := range p.tasks {
			for _, r := range p.tasks[i].runs {
				c.stopRun(r, reason)
			}
		}
	}
	if c.now > j.arrival+j.objective {
		j.miss()
	}
	c.markDirty(j)
	c.Observe(j.Team, j.Queue.Name, phase.String(), c.now-j.arrival)
	c.Log("job ended", "job", j.ID, "phase", phase.String(), "reason", reason, "begun", j.hasBegun, "tasks_done", j.tasksDone(), "core_ms", j.requestedWork(),
		"age_ms", (c.now - j.arrival).Milliseconds(), "objective_ms", j.objective.Milliseconds())
}

// requestedWork returns the core-milliseconds that the job's steps request and estimate for all their tasks.
func (j *jobState) requestedWork() int64 {
	var sum int64
	for _, step := range j.Steps {
		sum += int64(step.Count) * step.Request.MilliCPU * step.Estimate.Milliseconds() / 1000
	}
	return sum
}

// tasksDone returns the number of tasks that are done.
func (j *jobState) tasksDone() int {
	n := 0
	for _, step := range j.steps {
		n += step.tasksDone
	}
	return n
}

// checkComplete ends a job once all its occurrences are done.
func (c *Core) checkComplete(j *jobState) {
	if j.partsLeft == 0 && !j.phase.Terminal() {
		c.endJob(j, job.Succeeded, "all tasks done")
	}
}

// expectedDuration returns the expected run time of a task of the step.
func (c *Core) expectedDuration(j *jobState, step *job.Step) time.Duration {
	estimate := step.Estimate
	if estimate <= 0 {
		estimate = defaultEstimate
	}
	if average := c.durationRatios[j.Queue.Name]; average != nil {
		return time.Duration(float64(estimate) * average.ratio)
	}
	return estimate
}

// updateDurationRatio updates the queue's duration ratio with a run that succeeded.
func (c *Core) updateDurationRatio(r *run) {
	step := r.part.step
	if c.measureSlowness(r) || step.LongRunning || step.Estimate <= 0 || r.checkpointed || r.adopted {
		return
	}
	measured := float64(c.now-r.started) / float64(step.Estimate)
	average := c.durationRatios[r.part.job.Queue.Name]
	if average == nil {
		average = &durationRatio{ratio: 1}
		c.durationRatios[r.part.job.Queue.Name] = average
	}
	average.ratio += ratioWeight * (min(measured, 4) - average.ratio)
}

// criticalPath returns the expected length of the longest chain of unfinished steps of an occurrence.
func (c *Core) criticalPath(j *jobState, isDone func(step int) bool) time.Duration {
	longest := time.Duration(0)
	c.stepEnds = append(c.stepEnds[:0], make([]time.Duration, len(j.Steps))...)
	ends := c.stepEnds
	for i := range j.Steps {
		start := time.Duration(0)
		for _, earlier := range j.Steps[i].After {
			start = max(start, ends[earlier])
		}
		ends[i] = start
		if !isDone(i) {
			ends[i] += c.expectedDuration(j, &j.Steps[i])
		}
		longest = max(longest, ends[i])
	}
	return longest
}

func (c *Core) computeObjective(j *jobState) time.Duration {
	factor := max(j.Queue.LatencyFactor, 1)
	criticalPath := c.criticalPath(j, func(int) bool { return false })
	return time.Duration(factor*float64(criticalPath)) + j.Queue.TargetLatency
}

// Pending returns, for each queue, the number of jobs that have not ended and of which no upstream has begun a task.
// Repeated jobs are not counted.
func (c *Core) Pending() map[string]int {
	pending := map[string]int{}
	for _, j := range c.jobs.all() {
		if !j.hasBegun && !j.phase.Terminal() && j.Repeat == 0 {
			pending[j.Queue.Name]++
		}
	}
	return pending
}
