package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

// setLife delivers u-1's entry of the life with the given born.
func (h *harness) setLife(born int64) {
	entry := upstreamEntry("u-1", 16000)
	entry.StartedMS = born
	h.core.SetUpstream(entry)
	h.core.RosterStored(h.core.TakeRosterChange())
}

// newLifeHarness has u-1, whose life of born 100 has answered a poll.
func newLifeHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.setLife(100)
	h.core.HandlePollResult(h.decide().polls[0], platform.PollResult{StartedMS: 100, ClockMS: 50_000}, nil)
	h.advance(time.Second)
	return h
}

// Guards against a doubt that is settled by a poll from before it (TWICE): its response arrives before the next decision.
func TestPollFromBeforeADoubtDoesNotSettleIt(t *testing.T) {
	is := is.New(t)
	h := newLifeHarness(t)
	h.addUniformJob(1, 1, 1000)
	next := h.decide()
	is.Equal(len(next.starts), 1)
	h.acceptStarts(next.starts) // with another clock
	early := next.polls
	if len(early) == 0 {
		early = h.decide().polls
	}
	h.setLife(50)
	for _, poll := range early {
		h.core.HandlePollResult(poll, platform.PollResult{StartedMS: 100, ClockMS: 51_000}, nil)
	}
	is.Equal(len(h.decide().polls), 1)
}

// Guards against a poll on a connection of an earlier life, which may be silent until its time-out: the first poll in a doubt and the first
// after a restart use a new one, and they are sent at once. Others use the connection that there is.
func TestFirstPollOfALifeUsesANewConnection(t *testing.T) {
	for name, born := range map[string]int64{"restart": 101, "doubt": 50} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newLifeHarness(t)
			h.addJob(1, lasting(1, 1000))
			next := h.decide()
			h.core.HandleStartResult(next.starts[0], 51_000, nil)
			polls := next.polls
			is.Equal(len(polls), 1)
			is.True(!polls[0].NewConnection)
			h.core.HandlePollResult(polls[0], platform.PollResult{StartedMS: 100, ClockMS: 51_000}, nil)
			h.setLife(born)
			polls = h.decide().polls
			is.Equal(len(polls), 1)
			is.True(polls[0].NewConnection)
			h.core.HandlePollResult(polls[0], platform.PollResult{StartedMS: born, ClockMS: 10}, nil)
			h.addJob(2, lasting(1, 1000))
			h.advance(time.Second)
			polls = h.decide().polls
			is.Equal(len(polls), 1)
			is.True(!polls[0].NewConnection)
		})
	}
}

// Guards against upstreams that are never polled again (LOST): the number of first polls in flight is limited, and those that were given
// up at restarts still count.
func TestFirstPollsThatAreGivenUpDoNotCount(t *testing.T) {
	is := is.New(t)
	h := newLifeHarness(t)
	for born := range int64(300) {
		h.setLife(101 + born)
		is.Equal(len(h.decide().polls), 1)
		h.advance(10 * time.Millisecond)
	}
}

// Guards against an upstream that is not used any more (LOST): its address had answered for another one, and its new life's entry arrives
// at once.
func TestNewLifeOfATerminatedUpstreamIsUsed(t *testing.T) {
	is := is.New(t)
	h := newLifeHarness(t)
	h.addUniformJob(1, 1, 1000)
	start := h.decide().starts[0]
	h.core.HandleStartResult(start, 0, &platform.RejectedError{Reason: platform.RejectedOtherInstance})
	h.setLife(200)
	polls := h.decide().polls
	is.Equal(len(polls), 1)
	h.core.HandlePollResult(polls[0], platform.PollResult{StartedMS: 200, ClockMS: 10}, nil)
	is.Equal(len(h.decide().starts), 1)
}

// Guards against ends that are never acknowledged (Acks): the new life has answered a poll that acknowledged ends of the earlier one. And
// against another new connection: the one of that poll is the new life's.
func TestEndsOfALifeAreAcknowledgedAfterThoseOfTheEarlierOne(t *testing.T) {
	is := is.New(t)
	h := newLifeHarness(t)
	id := h.addUniformJob(1, 2, 1000)
	next := h.decide()
	for _, start := range next.starts {
		h.core.HandleStartResult(start, 51_000, nil)
	}
	ends := []platform.EndedRun{{Seq: 1, Task: job.TaskID{Job: id}, Attempt: 1, Kind: platform.EndDone}}
	rest := []platform.CurrentRun{{Task: job.TaskID{Job: id, Index: 1}, Attempt: 1}}
	h.core.HandlePollResult(next.polls[0], platform.PollResult{StartedMS: 100, ClockMS: 51_000, Ended: ends, Running: rest}, nil)
	h.advance(100 * time.Millisecond)
	next = h.decide()
	is.Equal(next.polls[0].Request.AckedSeq, uint64(1))
	h.core.HandlePollResult(next.polls[0], platform.PollResult{StartedMS: 200, ClockMS: 10}, nil)
	h.advance(100 * time.Millisecond)
	next = h.decide()
	is.True(!next.polls[0].NewConnection)
	h.core.HandlePollResult(next.polls[0], platform.PollResult{StartedMS: 200, ClockMS: 110}, nil) // bars calls to the earlier one
	next = h.decide()
	is.Equal(len(next.starts), 1)
	attempt := next.starts[0].Command.Attempt
	h.core.HandleStartResult(next.starts[0], 110, nil)
	h.advance(100 * time.Millisecond)
	next = h.decide()
	is.Equal(len(next.polls), 1)
	ends = []platform.EndedRun{{Seq: 1, Task: job.TaskID{Job: id, Index: 1}, Attempt: attempt, Kind: platform.EndDone}}
	h.core.HandlePollResult(next.polls[0], platform.PollResult{StartedMS: 200, ClockMS: 210, Ended: ends}, nil)
	h.advance(100 * time.Millisecond)
	next = h.decide()
	is.Equal(len(next.polls), 1)
	is.Equal(next.polls[0].Request.AckedSeq, uint64(1))
}

// Guards against an upstream that is closed, and polled on a new connection, each time when an entry of an earlier life is read.
func TestEntryOfAnEarlierLifeRaisesOneDoubt(t *testing.T) {
	is := is.New(t)
	h := newLifeHarness(t)
	h.setLife(50)
	h.core.HandlePollResult(h.decide().polls[0], platform.PollResult{StartedMS: 100, ClockMS: 51_000}, nil)
	h.advance(time.Second)
	h.setLife(50)
	is.Equal(len(h.decide().polls), 0)
	is.Equal(h.core.Stats().Doubts, 1)
}
