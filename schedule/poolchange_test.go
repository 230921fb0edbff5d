package schedule_test

import (
	"testing"

	"github.com/matryer/is"

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
