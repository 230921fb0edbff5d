package schedule

import (
	"time"

	"citrongauge.example/citrongauge/job"
)

// part is one step of one occurrence.
type part struct {
	job         *jobState
	step        *job.Step
	occurrence  int
	stepIndex   int
	progress    job.PartProgress
	tasks       []task
	done        int
	perUpstream map[string]int
	arrival     time.Duration // when the job was accepted or the occurrence was due
	released    bool          // all steps that it depends on are done
	releasedAt  time.Duration // when released was set, for waiting times
	inPool      bool          // listed in its pool's parts
	tooLate     bool          // timeliness has returned tooLate, which is final
	queued      bool          // listed in its pool's waiting parts
	tier        tier          // as of the last round of sizing
	waiting     int           // number of tasks that can be started, as of the last round of sizing
	starved     bool          // one of them has waited for longer than starvedAfter, as of the last round of sizing
	tickets     *tickets
}

type task struct {
	done         bool
	failures     int
	lastAttempt  uint64
	checkpoint   string
	runs         []*run
	notBefore    time.Duration
	requeuedAt   time.Duration // when the task was last without a run after one; 0: never
	lastFailedOn string        // upstream of the last failed or overdue run
	overdueStops int           // runs that were stopped because they took too long
	suspicion    suspicion
	nextHold     time.Duration // when an upstream without room may be held for the task next
	apartUntil   time.Duration // until when a long-running suspect waits for an upstream without other runs
	// placedOn is the upstream on which the task was started last or is about to be started. placedBatch is the batch
	// of records that stores it.
	placedOn    string
	placedBatch uint64
	bound       bool // placedOn is of a start that only the known life of the upstream could receive
	// failureBatch is the batch of records that stores its newest failure; 0: stored by an earlier owner.
	failureBatch uint64
}

// restore applies recorded progress.
func (p *part) restore(recorded job.PartProgress) {
	p.progress = recorded
	isBound := recorded.BoundPlacements()
	for i := range p.tasks {
		p.tasks[i].placedOn, p.tasks[i].bound = recorded.PlacementOf(i), isBound(i)
		if recorded.IsDone(i) {
			p.tasks[i].done = true
			p.noteTaskDone()
		}
	}
	for _, failure := range recorded.Failures {
		if failure.Index < len(p.tasks) {
			t := &p.tasks[failure.Index]
			t.failures++
			t.lastAttempt = max(t.lastAttempt, failure.Attempt)
		}
	}
	for _, crash := range recorded.Crashes {
		if crash.Index < len(p.tasks) {
			p.tasks[crash.Index].suspicion.add(crash)
		}
	}
}

func (p *part) noteTaskDone() {
	p.done++
	p.job.steps[p.stepIndex].tasksDone++
}

func (p *part) isDone() bool { return p.done == len(p.tasks) }

func (p *part) taskID(index int) job.TaskID {
	return job.TaskID{Job: p.job.ID, Occurrence: p.occurrence, Step: p.stepIndex, Index: index}
}

func (p *part) number() int { return p.job.partNumber(p.occurrence, p.stepIndex) }

func (p *part) hasRuns() bool {
	for i := range p.tasks {
		if len(p.tasks[i].runs) > 0 {
			return true
		}
	}
	return false
}

// hasUnstarted reports whether a task of the part is neither done nor has a run.
func (p *part) hasUnstarted() bool {
	for i := range p.tasks {
		if t := &p.tasks[i]; !t.done && len(t.runs) == 0 {
			return true
		}
	}
	return false
}

// partSet is a set of part numbers.
type partSet []uint64

func (s partSet) has(number int) bool {
	return number/64 < len(s) && s[number/64]&(1<<(number%64)) != 0
}

func (s *partSet) set(number int) {
	for number/64 >= len(*s) {
		*s = append(*s, 0)
	}
	(*s)[number/64] |= 1 << (number % 64)
}
