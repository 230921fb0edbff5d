package schedule_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"citrongauge.example/citrongauge/job"
)

// lastingGap is the longest time from the end of a run of a long-running task to its next start by the users' rule LOST.
const lastingGap = 9 * time.Second

// Guards against a long-running task that is given up, or waits, after four upstreams in a row were lost under it.
func TestLongRunningTaskIsStartedAgainHoweverManyUpstreamsItLoses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newQuietSimulation(t, rapid.IntRange(1, 4).Draw(t, "upstreams"))
		s := sim.submitSteps(job.Step{Count: rapid.IntRange(1, 3).Draw(t, "count"), Request: job.Resources{MilliCPU: 500}, LongRunning: true})
		for range rapid.IntRange(4, 7).Draw(t, "losses") {
			sim.loseUpstreamOf(s, sim.restartLater)
		}
		sim.waitForStart(s, lastingGap)
		if sim.violation != "" {
			t.Fatal(sim.violation)
		}
	})
}

// Guards against a long-running task that is given up after losses that each new owner finds.
func TestLongRunningTaskIsStartedAgainAfterLossesBetweenOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newQuietSimulation(t, rapid.IntRange(1, 4).Draw(t, "upstreams"))
		s := sim.submitSteps(job.Step{Count: rapid.IntRange(1, 3).Draw(t, "count"), Request: job.Resources{MilliCPU: 500}, LongRunning: true})
		for range rapid.IntRange(4, 7).Draw(t, "losses") {
			sim.loseUpstreamOf(s, func(u *simUpstream) {
				u.crash(sim)
				sim.killOwner()
				u.start(sim, u.startedMS+1)
				sim.deliverEntry(u, u.entry())
			})
		}
		sim.waitForStart(s, lastingGap)
		if sim.violation != "" {
			t.Fatal(sim.violation)
		}
	})
}

// newQuietSimulation returns a simulation with an owner, in which calls are neither lost nor late and teams have no cap.
func newQuietSimulation(t *rapid.T, upstreams int) *simulation {
	sim := newSimulation(t, upstreams)
	sim.teamCap = job.Resources{}
	sim.faultsEnded = true
	sim.claim()
	sim.advance(200 * time.Millisecond)
	return sim
}

// loseUpstreamOf waits until the first task of the job runs and then lets its upstream be lost, soon after.
func (sim *simulation) loseUpstreamOf(s *storedJob, lose func(*simUpstream)) {
	sim.waitForStart(s, lastingGap)
	sim.advance(sim.delay("ran", 150))
	if u := sim.upstreamOf(s); u != nil {
		lose(u)
	}
}

// upstreamOf returns the upstream on which the first task of the job runs, or nil.
func (sim *simulation) upstreamOf(s *storedJob) *simUpstream {
	id := job.TaskID{Job: s.job.ID}
	i := slices.IndexFunc(sim.upstreams, func(u *simUpstream) bool { return !u.dead && u.running[id] != nil })
	if i < 0 {
		return nil
	}
	return sim.upstreams[i]
}

// waitForStart waits until the first task of the job runs. It fails if this takes longer than the limit.
func (sim *simulation) waitForStart(s *storedJob, limit time.Duration) {
	for end := sim.now + limit; sim.upstreamOf(s) == nil && sim.violation == ""; sim.advance(10 * time.Millisecond) {
		if sim.now >= end {
			sim.fail("LOST: the first task of job %s has not run for %v", s.job.ID, limit)
		}
	}
}

// restartLater crashes an upstream, which starts again under the same ID after a while.
func (sim *simulation) restartLater(u *simUpstream) {
	u.crash(sim)
	u.returnsAt = sim.now + sim.delay("away", 2500)
}
