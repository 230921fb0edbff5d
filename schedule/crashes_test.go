package schedule_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"citrongauge.example/citrongauge/job"
)

// Guards against a task that crashes one upstream after another: each crash also ended all other tasks there, which were
// then started together with it again (BUDGET 16, one queue at 0.23 of its worth, testbed run deadly of kainlena-sched).
func TestTaskThatCrashesItsUpstreamsIsGivenUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.IntRange(2, 6).Draw(t, "upstreams"))
		sim.claim()
		var deadly []*storedJob
		for i := range rapid.IntRange(5, 15).Draw(t, "jobs") {
			s := sim.submit()
			if i%5 == 0 {
				s.deadly = true
				deadly = append(deadly, s)
			}
			sim.advance(sim.delay("pause", 300))
		}
		if rapid.Bool().Draw(t, "takeover") {
			sim.killOwner()
		}
		sim.endFaults()
		sim.checkEnds()
		if sim.violation != "" {
			t.Fatal(sim.violation)
		}
		for _, s := range deadly {
			if s.progress.Phase != job.Failed {
				t.Fatalf("job %s has a task that crashes its upstreams and is in phase %v", s.job.ID, s.progress.Phase)
			}
		}
	})
}

// Guards against a service that ends as a whole because one of its tasks crashes its upstreams.
func TestServiceGoesOnWithoutTaskThatCrashesItsUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.IntRange(2, 6).Draw(t, "upstreams"))
		sim.teamCap = job.Resources{}
		sim.claim()
		s := sim.submitSteps(job.Step{Count: 3, Request: job.Resources{MilliCPU: 500}, LongRunning: true})
		s.deadly = true
		sim.advance(sim.delay("pause", 5000))
		if rapid.Bool().Draw(t, "takeover") {
			sim.killOwner()
		}
		sim.endFaults()
		sim.checkStillRunning(s, 1, 2)
		if sim.violation != "" {
			t.Fatal(sim.violation)
		}
	})
}

// checkStillRunning checks that the tasks of the job's first step with the given indexes are running.
func (sim *simulation) checkStillRunning(s *storedJob, indexes ...int) {
	for _, index := range indexes {
		id := job.TaskID{Job: s.job.ID, Index: index}
		if !slices.ContainsFunc(sim.upstreams, func(u *simUpstream) bool { return u.running[id] != nil }) {
			sim.fail("LOST: %s is not running long after the last fault", id)
		}
	}
}
