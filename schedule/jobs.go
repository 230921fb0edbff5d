package schedule

import (
	"time"

	"citrongauge.example/citrongauge/job"
)

// jobState is a job that has not ended, or whose end is not stored yet.
type jobState struct {
	*job.Job
	inherited bool          // accepted before this ownership: an earlier owner may have started its tasks
	arrival   time.Duration // when it was accepted, on our steady clock
	phase     job.Phase
	endedMS   int64
	begun     bool
	parts     []*part // of the occurrences that are due, in order
	due       int     // number of occurrences that are due
	open      int     // parts that are not done
	team      *team
	objective time.Duration // expected longest chain, stretched, plus the target latency
}

// part is one step of one occurrence.
type part struct {
	job        *jobState
	step       *job.Step
	occurrence int
	number     int // of the step
	progress   job.PartProgress
	tasks      []task
	done       int
	perHost    map[string]int
	arrival    time.Duration // of the job, or when the occurrence was due
	released   bool          // all earlier steps are done
	releasedAt time.Duration // for the waiting time in logs
	listed     bool          // in its pool's parts
	tickets    *tickets
}

type task struct {
	done        bool
	failures    int
	lastAttempt uint64
	checkpoint  string
	runs        []*run
	notBefore   time.Duration
	requeuedAt  time.Duration // 0: it has never run
	lostOn      string        // upstream on which it last ended badly
	restarts    int           // runs that were stopped for taking too long
	// placed is the upstream on which it was started last, or is about to be, and placedRound the round with which that
	// is stored.
	placed      string
	placedRound uint64
}

// speed is what was learned about the durations of a queue's tasks.
type speed struct {
	ratio float64 // of measured to estimated duration
}

const (
	speedWeight     = 0.1 // of a new measurement
	defaultEstimate = time.Second
	retryPause      = 100 * time.Millisecond // after a failed attempt of a long-running task
	maxRetryPause   = 2 * time.Second
)

// AddJob adds a job that was read from the store, at the given revision, with its progress (nil: none) and whether it
// was cancelled.
func (c *Core) AddJob(j *job.Job, created uint64, inherited bool, progress *job.Progress, cancelled bool) {
	if _, ended := c.endedIDs[j.ID]; ended {
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
		Job: j, inherited: inherited, team: c.team(j.Team), arrival: c.now - c.ageOf(j, inherited),
	}
	if queue, ok := c.queues[j.Queue.Name]; ok {
		j.Queue = queue.Queue
	}
	state.objective = c.objectiveOf(state)
	c.jobs.set(j.ID, state)
	recorded := map[job.Part]job.PartProgress{}
	if progress != nil {
		for _, p := range progress.Parts {
			recorded[job.Part{Occurrence: p.Occurrence, Step: p.Step}] = p
		}
	}
	c.Log("job known", "job", j.ID, "team", j.Team, "queue", j.Queue.Name, "revision", created, "inherited", inherited,
		"age_ms", (c.now - state.arrival).Milliseconds())
	if progress != nil && progress.Phase.Terminal() {
		// Its tasks may still be stopping. They take room until they are seen to have ended.
		state.phase, state.endedMS = progress.Phase, progress.EndedMS
		c.materialize(state, recorded)
		c.touch(state)
		return
	}
	c.materialize(state, recorded)
	if cancelled {
		c.end(state, job.Cancelled, "cancelled before it was known")
		return
	}
	c.noteArrival(state)
}

// maxNewsAge is the longest time that the news of a job takes to its owner. A greater age comes from clocks that differ.
const maxNewsAge = time.Second

// ageOf returns how long ago a job was accepted, by the clock of the host that accepted it.
func (c *Core) ageOf(j *job.Job, inherited bool) time.Duration {
	age := max(time.Duration(c.wallMS-j.AcceptedMS)*time.Millisecond, 0)
	if !inherited {
		age = min(age, maxNewsAge)
	}
	return age
}

// materialize adds the parts of all occurrences that are due or that progress was recorded for.
func (c *Core) materialize(j *jobState, recorded map[job.Part]job.PartProgress) {
	for j.due < j.Occurrences() && (c.isDue(j, j.due) || hasOccurrence(recorded, j.due)) {
		k := j.due
		j.due++
		for number := range j.Steps {
			step := &j.Steps[number]
			p := &part{
				job: j, step: step, occurrence: k, number: number, perHost: map[string]int{},
				progress: job.PartProgress{Occurrence: k, Step: number}, tasks: make([]task, step.Count),
				arrival: c.arrivalOf(j, k),
			}
			if r, ok := recorded[job.Part{Occurrence: k, Step: number}]; ok {
				p.restore(r)
			}
			j.parts = append(j.parts, p)
			if !p.isDone() {
				j.open++
			}
		}
	}
	c.release(j)
	c.checkComplete(j)
}

func hasOccurrence(recorded map[job.Part]job.PartProgress, occurrence int) bool {
	for part := range recorded {
		if part.Occurrence >= occurrence {
			return true
		}
	}
	return false
}

// arrivalOf returns when an occurrence was due, on our steady clock.
func (c *Core) arrivalOf(j *jobState, occurrence int) time.Duration {
	if j.Repeat == 0 {
		return j.arrival
	}
	due := j.StartMS + int64(occurrence)*j.Interval.Milliseconds()
	return c.now - time.Duration(c.wallMS-due)*time.Millisecond
}

func (c *Core) isDue(j *jobState, occurrence int) bool {
	return j.Repeat == 0 || c.wallMS >= j.StartMS+int64(occurrence)*j.Interval.Milliseconds()
}

// dueOccurrences adds the occurrences whose time has come.
func (c *Core) dueOccurrences() {
	for _, j := range c.jobs.all() {
		if j.phase.Terminal() || j.due >= j.Occurrences() || !c.isDue(j, j.due) {
			continue
		}
		c.Log("occurrence due", "job", j.ID, "occurrence", j.due)
		c.materialize(j, nil)
	}
}

// restore takes over recorded progress.
func (p *part) restore(recorded job.PartProgress) {
	p.progress = recorded
	for i := range p.tasks {
		p.tasks[i].placed = recorded.PlaceOf(i)
		if recorded.IsDone(i) {
			p.tasks[i].done = true
			p.done++
		}
	}
	for _, failure := range recorded.Failures {
		if failure.Index < len(p.tasks) {
			t := &p.tasks[failure.Index]
			t.failures++
			t.lastAttempt = max(t.lastAttempt, failure.Attempt)
		}
	}
}

func (p *part) isDone() bool { return p.done == len(p.tasks) }

func (p *part) taskID(index int) job.TaskID {
	return job.TaskID{Job: p.job.ID, Occurrence: p.occurrence, Step: p.number, Index: index}
}

// release lists the parts whose earlier steps are done with their pool.
func (c *Core) release(j *jobState) {
	if j.phase.Terminal() {
		return
	}
	for _, p := range j.parts {
		if p.released || p.isDone() || !c.earlierDone(j, p) {
			continue
		}
		p.released, p.releasedAt = true, c.now
		c.list(p)
	}
}

func (c *Core) earlierDone(j *jobState, p *part) bool {
	base := p.occurrence * len(j.Steps)
	for _, earlier := range p.step.After {
		if !j.parts[base+earlier].isDone() {
			return false
		}
	}
	return true
}

func (c *Core) list(p *part) {
	c.pool(p.job.Queue.Pool).parts.set(p, struct{}{})
	p.listed = true
}

func (c *Core) unlist(p *part) {
	if p.listed {
		c.pool(p.job.Queue.Pool).parts.delete(p)
		p.listed = false
	}
}

// setQueue puts new terms of a job's queue into force.
func (c *Core) setQueue(j *jobState, queue job.Queue) {
	moved := j.Queue.Pool != queue.Pool
	if moved {
		for _, p := range j.parts {
			if p.listed {
				c.unlist(p)
				defer c.list(p)
			}
		}
	}
	j.Queue = queue
	j.objective = c.objectiveOf(j)
}

// Cancel ends a job at a client's request.
func (c *Core) Cancel(id job.ID) {
	j := c.jobs.get(id)
	if j == nil || j.phase.Terminal() {
		return
	}
	c.end(j, job.Cancelled, "cancelled by its client")
}

// end makes a job's phase terminal, stops what runs and marks it for storing.
func (c *Core) end(j *jobState, phase job.Phase, reason string) {
	j.phase, j.endedMS = phase, c.wallMS
	for _, p := range j.parts {
		c.unlist(p)
		for i := range p.tasks {
			for _, r := range p.tasks[i].runs {
				c.stop(r, reason)
			}
		}
	}
	c.touch(j)
	c.Observe(j.Team, j.Queue.Name, phase.String(), c.now-j.arrival)
	c.Log("job ended", "job", j.ID, "phase", phase.String(), "reason", reason, "begun", j.begun,
		"age_ms", (c.now - j.arrival).Milliseconds(), "objective_ms", j.objective.Milliseconds())
}

// checkComplete ends a job all of whose occurrences are done.
func (c *Core) checkComplete(j *jobState) {
	if j.open == 0 && j.due == j.Occurrences() && !j.phase.Terminal() {
		c.end(j, job.Succeeded, "all tasks done")
	}
}

// expected returns how long a task of the step is expected to take.
func (c *Core) expected(j *jobState, step *job.Step) time.Duration {
	estimate := step.Estimate
	if estimate <= 0 {
		estimate = defaultEstimate
	}
	if s := c.speeds[j.Queue.Name]; s != nil {
		return time.Duration(float64(estimate) * s.ratio)
	}
	return estimate
}

// learn records how long a task took.
func (c *Core) learn(r *run) {
	step := r.part.step
	if step.LongRunning || step.Estimate <= 0 || r.checkpointed || r.adopted {
		return
	}
	measured := float64(c.now-r.started) / float64(step.Estimate)
	s := c.speeds[r.part.job.Queue.Name]
	if s == nil {
		s = &speed{ratio: 1}
		c.speeds[r.part.job.Queue.Name] = s
	}
	s.ratio += speedWeight * (min(measured, 4) - s.ratio)
}

// chain returns the expected length of the longest chain of steps of an occurrence that are not done.
func (c *Core) chain(j *jobState, isDone func(step int) bool) time.Duration {
	longest := time.Duration(0)
	c.chainEnds = append(c.chainEnds[:0], make([]time.Duration, len(j.Steps))...)
	ends := c.chainEnds
	for i := range j.Steps {
		start := time.Duration(0)
		for _, earlier := range j.Steps[i].After {
			start = max(start, ends[earlier])
		}
		ends[i] = start
		if !isDone(i) {
			ends[i] += c.expected(j, &j.Steps[i])
		}
		longest = max(longest, ends[i])
	}
	return longest
}

func (c *Core) objectiveOf(j *jobState) time.Duration {
	stretch := max(j.Queue.Stretch, 1)
	chain := c.chain(j, func(int) bool { return false })
	return time.Duration(stretch*float64(chain)) + j.Queue.TargetLatency
}

// Pending returns, for each queue, the number of jobs of which no task has started.
func (c *Core) Pending() map[string]int {
	pending := map[string]int{}
	for _, j := range c.jobs.all() {
		if !j.begun && !j.phase.Terminal() && j.Repeat == 0 {
			pending[j.Queue.Name]++
		}
	}
	return pending
}
