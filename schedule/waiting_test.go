package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

// Guards against starting a waiting task in the pool that its queue used before a change of the configuration.
func TestWaitingTasksFollowTheirQueueToAnotherPool(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.addUpstream("u-1")
	h.fenceAll(platform.PollResult{})
	h.addUniformJob(1, 4, 16000)
	c := h.decide()
	first := c.starts
	is.Equal(len(first), 1) // the others wait for capacity
	moved := testJobQueue()
	moved.Pool = "other"
	h.core.SetBundle(&platform.Bundle{
		Version: 2, Revision: 2, Queues: []platform.BundleQueue{{Queue: moved}},
		Teams: []platform.BundleTeam{{Name: testTeam, Weight: 1}},
	})
	h.acceptStarts(first)
	polls := append(c.polls, h.decide().polls...)
	is.Equal(len(polls), 1)
	for range 5 {
		for _, poll := range polls {
			h.answerPoll(poll, platform.PollResult{Ended: []platform.EndedRun{
				{Seq: 1, Task: first[0].Command.Task, Attempt: first[0].Command.Attempt, Kind: platform.EndDone},
			}})
		}
		h.advance(50 * time.Millisecond)
		c := h.decide()
		is.Equal(len(c.starts), 0)
		polls = c.polls
	}
}

// Guards against a more urgent task that waits behind others because it arrived between two sorts.
func TestNewTaskIsPlacedByItsUrgency(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.addUpstream("u-1")
	h.fenceAll(platform.PollResult{})
	h.addUniformJob(1, 8, 16000)
	c := h.decide()
	first := c.starts
	is.Equal(len(first), 1)
	h.acceptStarts(first)
	h.advance(10 * time.Millisecond)
	small := h.addUniformJob(2, 1, 16000)
	polls := append(c.polls, h.decide().polls...)
	is.Equal(len(polls), 1)
	h.answerPoll(polls[0], platform.PollResult{Ended: []platform.EndedRun{
		{Seq: 1, Task: first[0].Command.Task, Attempt: first[0].Command.Attempt, Kind: platform.EndDone},
	}})
	next := h.decide().starts
	is.Equal(len(next), 1)
	is.Equal(next[0].Command.Task, job.TaskID{Job: small})
}
