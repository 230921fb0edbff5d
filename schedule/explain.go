package schedule

import (
	"citrongauge.example/citrongauge/job"
)

// Explanation describes a job's progress and what its tasks wait for.
type Explanation struct {
	Job         string            `json:"job"`
	Team        string            `json:"team"`
	Queue       string            `json:"queue"`
	Pool        string            `json:"pool"`
	Phase       string            `json:"phase"`
	AgeMS       int64             `json:"age_ms"`
	ObjectiveMS int64             `json:"objective_ms"` // from acceptance or an occurrence's due time to completion
	Inherited   bool              `json:"inherited"`    // accepted under an earlier owner
	OutageZone  string            `json:"outage_zone"`  // in which its tasks may start while the store does not answer
	Parts       []PartExplanation `json:"parts"`        // unfinished steps of the occurrences that are due, as far as they are open
	// Unopened is the number of other such steps of a large job, which wait for earlier ones.
	Unopened int `json:"unopened,omitempty"`
}

// PartExplanation describes one step of one occurrence.
type PartExplanation struct {
	Occurrence int            `json:"occurrence"`
	Step       int            `json:"step"`
	Tasks      int            `json:"tasks"`
	Done       int            `json:"done"`
	Failures   int            `json:"failures"`
	Waiting    map[string]int `json:"waiting,omitempty"` // number of tasks by the reason for which they wait
	// Ahead is the number of tasks that go before those that wait for room, by the reason.
	Ahead map[string]int   `json:"ahead,omitempty"`
	Runs  []RunExplanation `json:"runs,omitempty"`
}

// RunExplanation is an attempt that has not ended.
type RunExplanation struct {
	Task     string `json:"task"`
	Attempt  uint64 `json:"attempt"`
	Upstream string `json:"upstream"`
	State    string `json:"state"`
	AgeMS    int64  `json:"age_ms"`
	// LastResponseMS is the time since the upstream last answered a poll.
	LastResponseMS int64 `json:"heard_ms_ago"`
	// Record is recordAwaited or recordMissing while the record of the start is not stored.
	Record string `json:"record,omitempty"`
}

// Reasons for which tasks wait, as shown to operators.
const (
	waitingForSteps      = "earlier steps"
	waitingForLease      = "an earlier owner's lease on an upstream that is not reached"
	waitingForCap        = "its team's cap"
	waitingForRetryDelay = "the pause after a failure"
	waitingForCapacity   = "room on an upstream"
	waitingForBundle     = "a configuration"
	waitingForZone       = "room in its outage zone, without its record"
	waitingForUnrecorded = "upstreams of its outage zone, where an earlier owner may have started it without a record"
)

// States of the record of a run's start, as shown to operators.
const (
	recordAwaited = "the start waits for it"
	recordMissing = "the start was sent before it"
)

// recordState returns the state of the record of the run's start.
func (c *Core) recordState(r *run) string {
	switch {
	case r.adopted || c.isRecorded(r):
		return ""
	case r.state == runPlanned:
		return recordAwaited
	}
	return recordMissing
}

var runStateNames = map[runState]string{
	runPlanned: "being recorded", runStarting: "starting", runUnknown: "start unanswered", runRunning: "running",
	runStopping: "stopping", runStopped: "stopped, end not listed",
}

// Explain describes a job that has not ended. It returns false for any other job.
func (c *Core) Explain(id job.ID) (Explanation, bool) {
	j := c.jobs.get(id)
	if j == nil {
		return Explanation{}, false
	}
	e := Explanation{
		Job: string(id), Team: j.Team, Queue: j.Queue.Name, Pool: j.Queue.Pool, Phase: j.shownPhase().String(),
		AgeMS: (c.now - j.arrival).Milliseconds(), ObjectiveMS: j.objective.Milliseconds(), Inherited: j.inherited,
		OutageZone: j.outageZone, Unopened: j.unopened(),
		Parts: []PartExplanation{},
	}
	for _, p := range j.parts {
		if !p.isDone() {
			e.Parts = append(e.Parts, c.explainPart(p))
		}
	}
	return e, true
}

func (c *Core) explainPart(p *part) PartExplanation {
	e := PartExplanation{
		Occurrence: p.occurrence, Step: p.stepIndex, Tasks: len(p.tasks), Done: p.done, Failures: len(p.progress.Failures),
		Waiting: map[string]int{},
	}
	for i := range p.tasks {
		t := &p.tasks[i]
		for _, r := range t.runs {
			e.Runs = append(e.Runs, RunExplanation{
				Task: r.id().String(), Attempt: r.attempt, Upstream: r.up.ID, State: runStateNames[r.state],
				AgeMS: (c.now - r.started).Milliseconds(), LastResponseMS: (c.now - r.up.lastResponseAt).Milliseconds(),
				Record: c.recordState(r),
			})
		}
		if !t.done && len(t.runs) == 0 && !p.job.phase.Terminal() {
			e.Waiting[c.waitingReason(p, t)]++
		}
	}
	if e.Waiting[waitingForCapacity] > 0 {
		e.Ahead, _ = c.ahead(p)
	}
	return e
}

// waitingReason returns why a task without a run has not been started.
func (c *Core) waitingReason(p *part, t *task) string {
	switch {
	case !c.bundleSet:
		return waitingForBundle
	case !p.released:
		return waitingForSteps
	case c.mayRunWherePlaced(p, t):
		return waitingForLease
	case c.mayRunUnrecorded(p, t):
		return waitingForUnrecorded
	case c.now < t.notBefore:
		return waitingForRetryDelay
	case !p.job.team.allows(p.step.Request):
		return waitingForCap
	case c.startsUnrecorded(p):
		return waitingForZone
	}
	return waitingForCapacity
}
