package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

// Guards against two runs of a task (TWICE): an upstream has started anew in another pool at the same address, and its new life had
// answered a start before its entry came.
func TestStartAnsweredByANewLifeInAnotherPoolIsNotStartedElsewhere(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.addUpstream("u-1")
	h.addUpstream("u-2")
	h.fenceAll(platform.PollResult{})
	h.addUniformJob(1, 1, 1000)
	starts := h.decide().starts
	is.Equal(len(starts), 1)
	h.core.HandleStartResult(starts[0], 40, nil)
	entry := upstreamEntry(starts[0].Target.ID, 16000)
	entry.StartedMS, entry.Pool = 2, "other"
	h.core.SetBundle(&platform.Bundle{
		Version: 2, Revision: 2,
		Queues: []platform.BundleQueue{{Queue: testJobQueue()}}, Pools: []platform.BundlePool{{Name: "other"}},
		Teams: []platform.BundleTeam{{Name: testTeam, Weight: 1}},
	})
	h.core.SetUpstream(entry)
	c := h.decide()
	is.Equal(len(c.starts), 0)
	for _, poll := range c.polls { // the new life lists nothing
		if poll.Target.ID == entry.ID {
			h.core.HandlePollResult(poll, platform.PollResult{StartedMS: 2, ClockMS: 100}, nil)
		}
	}
	is.Equal(len(h.decide().starts), 1)
}

// Guards against an upstream in another pool that is not used there for ever (LOST): its new life had been told to start a long-running task
// of the pool before.
func TestUpstreamWithALongRunningTaskOfThePoolBeforeIsUsed(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.addUpstream("u-1")
	h.fenceAll(platform.PollResult{})
	first := h.addJob(1, lasting(1, 1000))
	starts := h.decide().starts
	is.Equal(len(starts), 1)
	h.core.HandleStartResult(starts[0], 40, nil)
	other := testJobQueue()
	other.Name, other.Pool = "others", "other"
	h.core.SetBundle(&platform.Bundle{
		Version: 2, Revision: 2, Queues: []platform.BundleQueue{{Queue: testJobQueue()}, {Queue: other}},
		Teams: []platform.BundleTeam{{Name: testTeam, Weight: 1}},
	})
	entry := upstreamEntry("u-1", 16000)
	entry.StartedMS, entry.Pool = 2, "other"
	h.core.SetUpstream(entry)
	second := job.ID("00000000000000ee")
	h.core.AddJob(&job.Job{
		ID: second, Team: testTeam, Queue: other, Spec: "s", Steps: []job.Step{lasting(1, 1000)}, AcceptedMS: h.now.Milliseconds(),
	}, 300, false, nil, false)
	running := []platform.CurrentRun{{Task: job.TaskID{Job: first}, Attempt: starts[0].Command.Attempt, Percent: 100}}
	for end := h.now + 5*time.Second; h.now < end; h.advance(50 * time.Millisecond) {
		next := h.decide()
		for _, poll := range next.polls {
			h.core.HandlePollResult(poll, platform.PollResult{StartedMS: 2, ClockMS: 40 + h.now.Milliseconds(), Running: running}, nil)
		}
		for _, stop := range next.stops {
			running = nil
			h.core.HandleStopResult(stop, 0, nil)
		}
		for _, start := range next.starts {
			is.Equal(start.Command.Task.Job, second)
			return
		}
		h.core.SetUpstream(entry)
		h.core.RosterStored(h.core.TakeRosterChange())
	}
	t.Error("the upstream is not used")
}
