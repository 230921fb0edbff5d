package schedule_test

import (
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
