package schedule_test

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

// Guards against starting a task elsewhere while an earlier copy of its start may still be carried out: the first
// copy was not answered and the second one was rejected.
func TestRejectedRetryDoesNotCancelUnansweredStart(t *testing.T) {
	rejections := map[string]error{
		"unhealthy": &platform.RejectedError{Reason: platform.RejectedUnhealthy},
		"room":      &platform.RejectedError{Reason: platform.RejectedNoCapacity},
		"late":      &platform.RejectedError{Reason: platform.RejectedDeadlinePassed},
		"not sent":  errors.Wrap(platform.ErrNotExecuted, "dial"),
	}
	for name, rejection := range rejections {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			h.addUpstream("u-1")
			h.addUpstream("u-2")
			h.fenceAll(platform.PollResult{})
			h.addUniformJob(1, 1, 1000)
			first := h.decide()
			is.Equal(len(first.starts), 1)
			start := first.starts[0]
			h.core.HandleStartResult(start, 0, errors.Wrap(platform.ErrOutcomeUnknown, "lost"))
			h.advance(300 * time.Millisecond)
			second := h.decide()
			is.Equal(len(second.starts), 1)
			is.Equal(second.starts[0].Command.Attempt, start.Command.Attempt)
			h.core.HandleStartResult(second.starts[0], 0, rejection)
			h.advance(300 * time.Millisecond)
			third := h.decide()
			is.Equal(len(third.starts), 0)
			is.Equal(len(third.stops), 0) // it would end the run if the first copy was carried out
			polls := append(append(first.polls, second.polls...), third.polls...)
			for range 4 {
				bars := false
				for _, poll := range polls {
					bars = bars || poll.Request.Token > second.starts[0].Command.Token // the upstream rejects the first copy from then on
					h.answerPoll(poll, platform.PollResult{})
				}
				h.advance(100 * time.Millisecond)
				next := h.decide()
				is.True(bars || len(next.starts) == 0)
				polls = next.polls
				if len(next.starts) == 1 {
					is.True(next.starts[0].Command.Attempt > start.Command.Attempt)
					return
				}
			}
			t.Fatal("not started again")
		})
	}
}

// Guards against a lease that outlasts the time for which a later owner waits. The clock of an idle upstream may run
// 2% slow, so a deadline computed from an old reading must not be ahead of it.
func TestLeaseDeadlineAllowsForSlowClock(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.addUpstream("u-1")
	polls := h.decide().polls
	is.Equal(len(polls), 1)
	const clockMS = 1_000_000
	h.core.HandlePollResult(polls[0], platform.PollResult{ClockMS: clockMS, StartedMS: 1}, nil)
	const idle = 100 * time.Second
	h.advance(idle)
	h.addUniformJob(1, 1, 1000)
	starts := h.decide().starts
	is.Equal(len(starts), 1)
	slowClock := int64(clockMS + 0.98*float64(idle.Milliseconds()))
	is.True(starts[0].Command.DeadlineMS <= slowClock+testLease.Milliseconds())
}

// Guards against connections to terminated upstreams, which would stay open until their idle timeout. Each move of a
// machine brings a new address.
func TestConnectionsToRemovedUpstreamsAreClosed(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.addUpstream("u-1")
	h.fenceAll(platform.PollResult{})
	h.core.UnlistUpstream("u-1")
	var closed []schedule.CloseConnections
	for range 40 {
		for _, call := range h.core.Decide() {
			switch call := call.(type) {
			case schedule.Poll:
				h.core.HandlePollResult(call, platform.PollResult{}, platform.ErrOutcomeUnknown)
			case schedule.CloseConnections:
				closed = append(closed, call)
			}
		}
		h.advance(100 * time.Millisecond)
	}
	is.Equal(closed, []schedule.CloseConnections{{Address: "u-1:1"}})
}

// Guards against the use of an upstream that has left: after a takeover it is still in the stored roster and may still
// answer polls, but it has no entry in the store any more.
func TestUpstreamThatHasLeftIsNotUsedAfterTakeover(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.core.InheritUpstream(platform.Upstream{
		ID: "u-left", Pool: testPool, Address: "u-left:1", Zone: "a", StartedMS: 1, Capacity: job.Resources{MilliCPU: 16000, MemoryMB: 64000},
	})
	h.fenceAll(platform.PollResult{})
	h.addUniformJob(1, 2, 1000)
	for range 40 {
		c := h.decide()
		is.Equal(len(c.starts), 0)
		h.answerAll(c, nil)
		h.advance(200 * time.Millisecond)
	}
	h.addUpstream("u-1")
	for _, poll := range h.decide().polls {
		h.answerPoll(poll, platform.PollResult{})
	}
	h.advance(100 * time.Millisecond)
	starts := h.decide().starts
	is.Equal(len(starts), 2)
	is.Equal(starts[0].Target.ID, "u-1")
}
