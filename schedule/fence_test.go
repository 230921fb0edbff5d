package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

// restartedInFlight has u-1, which has started anew while a start was in flight there and has answered the poll that bars calls to its
// earlier life.
func restartedInFlight(t *testing.T) (*harness, schedule.Start) {
	is := is.New(t)
	h := newLifeHarness(t)
	h.addUniformJob(1, 1, 1000)
	next := h.decide()
	start := next.starts[0]
	h.core.HandlePollResult(next.polls[0], platform.PollResult{StartedMS: 200, ClockMS: 10}, nil)
	h.advance(50 * time.Millisecond)
	poll := h.decide().polls[0]
	is.True(poll.Request.Token > start.Command.Token)
	h.core.HandlePollResult(poll, platform.PollResult{StartedMS: 200, ClockMS: 60}, nil)
	h.advance(50 * time.Millisecond)
	is.Equal(len(h.decide().starts), 0)
	return h, start
}

// Guards against an ownership that ends without cause (LOST): a start that a poll with a higher token of this owner has overtaken is
// rejected, and taken for a sign of a later owner. The start has not run, and is sent again.
func TestStartOvertakenByOwnTokenIsSentAgain(t *testing.T) {
	is := is.New(t)
	h, start := restartedInFlight(t)
	h.core.HandleStartResult(start, 110, rejectedFence)
	is.True(!h.core.Superseded())
	h.advance(50 * time.Millisecond)
	starts := h.decide().starts
	is.Equal(len(starts), 1)
	is.True(starts[0].Command.Attempt > start.Command.Attempt)
	is.True(starts[0].Command.Token > start.Command.Token)
}

// Guards against an owner that goes on after an upstream has seen a later owner's token (TWICE).
func TestRejectionOfTheHighestTokenEndsTheOwnership(t *testing.T) {
	is := is.New(t)
	h, start := restartedInFlight(t)
	h.core.HandleStartResult(start, 110, rejectedFence)
	h.advance(50 * time.Millisecond)
	h.core.HandleStartResult(h.decide().starts[0], 160, rejectedFence)
	is.True(h.core.Superseded())
}

// Guards against an ownership that ends without cause (LOST): an upstream whose entry was away is called with a lower token than it has
// seen from the same owner.
func TestUpstreamThatIsBackIsCalledWithTheNewestToken(t *testing.T) {
	is := is.New(t)
	h := newLifeHarness(t)
	h.recordsStored(h.core.TakeRecords().Number)
	h.setLife(200)
	poll := h.decide().polls[0]
	is.True(poll.Request.Token > 1)
	h.core.HandlePollResult(poll, platform.PollResult{StartedMS: 200, ClockMS: 10}, nil)
	h.core.UnlistUpstream("u-1")
	h.advance(time.Second)
	h.decide() // removed
	h.setLife(200)
	polls := h.decide().polls
	is.Equal(len(polls), 1)
	is.True(polls[0].Request.Token >= poll.Request.Token)
}

// Guards against tasks that wait for a second after each restart: the poll that bars calls to the earlier life waits for an end, since the
// new life has a run.
func TestBarringPollIsAnsweredAtOnce(t *testing.T) {
	is := is.New(t)
	h := newLifeHarness(t)
	id := h.addJob(1, lasting(1, 1000))
	next := h.decide()
	run := platform.CurrentRun{Task: job.TaskID{Job: id}, Attempt: next.starts[0].Command.Attempt}
	h.core.HandleStartResult(next.starts[0], 20, nil) // the new life's clock
	h.core.HandlePollResult(h.decide().polls[0], platform.PollResult{StartedMS: 200, ClockMS: 30, Running: []platform.CurrentRun{run}}, nil)
	h.advance(50 * time.Millisecond)
	polls := h.decide().polls
	is.Equal(len(polls), 1)
	is.Equal(polls[0].Request.Wait, time.Duration(0))
}
