package schedule

import (
	"citrongauge.example/citrongauge/job"
)

// Explanation says how far a job is and what it waits for.
type Explanation struct {
	Job         string            `json:"job"`
	Team        string            `json:"team"`
	Queue       string            `json:"queue"`
	Pool        string            `json:"pool"`
	Phase       string            `json:"phase"`
	AgeMS       int64             `json:"age_ms"`
	ObjectiveMS int64             `json:"objective_ms"` // within which the job is on time
	Inherited   bool              `json:"inherited"`    // accepted under an earlier owner
	Parts       []PartExplanation `json:"parts"`        // steps of the occurrences that are due and not done
}

// PartExplanation is about one step of one occurrence.
type PartExplanation struct {
	Occurrence int            `json:"occurrence"`
	Step       int            `json:"step"`
	Tasks      int            `json:"tasks"`
	Done       int            `json:"done"`
	Failures   int            `json:"failures"`
	Waiting    map[string]int `json:"waiting,omitempty"` // number of tasks by what they wait for
	Runs       []RunView      `json:"runs,omitempty"`
}

// RunView is one attempt that has not ended.
type RunView struct {
	Task     string `json:"task"`
	Attempt  uint64 `json:"attempt"`
	Upstream string `json:"upstream"`
	State    string `json:"state"`
	AgeMS    int64  `json:"age_ms"`
	// HeardMS is how long ago the upstream last answered a look.
	HeardMS int64 `json:"heard_ms_ago"`
}

// What tasks wait for, as shown to operators.
const (
	waitsForSteps  = "earlier steps"
	waitsForLease  = "an earlier owner's lease on an upstream that is not reached"
	waitsForCap    = "its team's cap"
	waitsForPause  = "the pause after a failure"
	waitsForRoom   = "room on an upstream"
	waitsForBundle = "a configuration"
)

var runStateNames = map[runState]string{
	runPlanned: "being recorded", runStarting: "starting", runUnknown: "start unanswered", runRunning: "running",
	runStopping: "stopping", runStopped: "stopped, end not listed",
}

// Explain describes a job that has not ended, or returns false.
func (c *Core) Explain(id job.ID) (Explanation, bool) {
	j := c.jobs.get(id)
	if j == nil {
		return Explanation{}, false
	}
	e := Explanation{
		Job: string(id), Team: j.Team, Queue: j.Queue.Name, Pool: j.Queue.Pool, Phase: j.shownPhase().String(),
		AgeMS: (c.now - j.arrival).Milliseconds(), ObjectiveMS: j.objective.Milliseconds(), Inherited: j.inherited,
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
		Occurrence: p.occurrence, Step: p.number, Tasks: len(p.tasks), Done: p.done, Failures: len(p.progress.Failures),
		Waiting: map[string]int{},
	}
	for i := range p.tasks {
		t := &p.tasks[i]
		for _, r := range t.runs {
			e.Runs = append(e.Runs, RunView{
				Task: r.id().String(), Attempt: r.attempt, Upstream: r.up.ID, State: runStateNames[r.state],
				AgeMS: (c.now - r.started).Milliseconds(), HeardMS: (c.now - r.up.heardAt).Milliseconds(),
			})
		}
		if !t.done && len(t.runs) == 0 && !p.job.phase.Terminal() {
			e.Waiting[c.waitsFor(p, t)]++
		}
	}
	return e
}

// waitsFor returns what a task that has no run waits for.
func (c *Core) waitsFor(p *part, t *task) string {
	switch {
	case !c.bundleSet:
		return waitsForBundle
	case !p.released:
		return waitsForSteps
	case c.mayRunUnseen(p, t):
		return waitsForLease
	case c.now < t.notBefore:
		return waitsForPause
	case !p.job.team.allows(p.step.Request):
		return waitsForCap
	}
	return waitsForRoom
}
