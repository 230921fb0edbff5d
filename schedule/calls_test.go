package schedule_test

import (
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

// addLastingJob adds a job with one long-running task.
func (h *harness) addLastingJob(number int) job.ID {
	return h.addJob(number, job.Step{Count: 1, Request: job.Resources{MilliCPU: 1000}, LongRunning: true})
}

// Guards against a task that waits for ever for a start without a response: its upstream has started anew under its ID and
// is never reached again, so that no response, end or lease resolves the start.
func TestUnansweredStartEndsIfNewIncarnationIsNeverReached(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.addUpstream("u-1")
	h.fenceAll(platform.PollResult{})
	h.addLastingJob(1)
	c := h.decide()
	is.Equal(len(c.starts), 1)
	h.core.HandleStartResult(c.starts[0], 0, lostStart)
	restarted := upstreamEntry("u-1", 16000)
	restarted.StartedMS = 2
	h.core.SetUpstream(restarted)
	h.addUpstream("u-2")
	const limit = time.Minute
	for end := h.now + limit; h.now < end; h.advance(100 * time.Millisecond) {
		for _, poll := range c.polls {
			if poll.Target.ID == "u-1" {
				h.core.HandlePollResult(poll, platform.PollResult{}, lostStart)
			} else {
				h.answerPoll(poll, platform.PollResult{})
			}
		}
		for _, stop := range c.stops {
			h.core.HandleStopResult(stop, 0, lostStart)
		}
		c = h.decide()
		if len(c.starts) > 0 {
			is.Equal(c.starts[0].Target.ID, "u-2")
			return
		}
	}
	t.Fatalf("not started again within %v", limit)
}

// Guards against a run that is taken for at work for ever on an upstream that has ended: the response to a poll, sent
// before the end, overtakes the one that showed the end, and nothing is polled there any more.
func TestLatePollOfEndedUpstreamShowsNoRuns(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.addUpstream("u-1")
	h.fenceAll(platform.PollResult{})
	h.addLastingJob(1)
	c := h.decide()
	is.Equal(len(c.starts), 1)
	h.acceptStarts(c.starts)
	run := platform.CurrentRun{Task: c.starts[0].Command.Task, Attempt: c.starts[0].Command.Attempt, Percent: 100}
	polls := append(c.polls, h.decide().polls...)
	is.Equal(len(polls), 1) // in flight
	h.addUniformJob(2, 1, 1000)
	c = h.decide()
	is.Equal(len(c.starts), 1)
	other := &platform.RejectedError{Reason: platform.RejectedOtherInstance}
	h.core.HandleStartResult(c.starts[0], 0, other) // another upstream is at the address: u-1 has ended
	h.answerPoll(polls[0], platform.PollResult{Running: []platform.CurrentRun{run}})
	h.addUpstream("u-2")
	running := map[string][]platform.CurrentRun{}
	for range 100 {
		h.advance(100 * time.Millisecond)
		c = h.decide()
		for _, start := range c.starts {
			if start.Command.Task == run.Task {
				is.Equal(start.Target.ID, "u-2")
				return
			}
			row := platform.CurrentRun{Task: start.Command.Task, Attempt: start.Command.Attempt}
			running["u-2"] = append(running["u-2"], row)
		}
		h.answerAll(c, running)
	}
	t.Fatal("not started again within 10 s")
}

// Guards against more machines of a wave down at a time than allowed: a command that got no answer may have been carried
// out although a copy of it was rejected unseen or not sent.
func TestRejectedCopyDoesNotUndoUnansweredUpkeep(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.addUpstream("u-1")
	h.addUpstream("u-2")
	h.core.SetWaves(testWave(1, "m-u-1", "m-u-2"), nil)
	h.fenceAll(platform.PollResult{})
	h.listMachines("u-1", "u-2")
	upkeeps := h.awaitUpkeepCommand().upkeeps
	is.Equal(len(upkeeps), 1)
	first := upkeeps[0].Machine
	err := platform.ErrOutcomeUnknown
	for range 100 {
		for _, upkeep := range upkeeps {
			is.Equal(upkeep.Machine, first) // it may be down
			h.core.HandleUpkeepResult(upkeep, err)
			err = platform.ErrNotExecuted
		}
		h.advance(50 * time.Millisecond)
		c := h.decide()
		h.answerAll(c, nil)
		upkeeps = c.upkeeps
	}
}

// Guards against a task on a machine that a move may still end: the move got no answer, and a copy of it was rejected
// unseen or not sent.
func TestRejectedCopyDoesNotUndoUnansweredMove(t *testing.T) {
	is := is.New(t)
	h := newIdlePoolHarness(t, 14)
	move := func(issued []schedule.Move) schedule.Move {
		i := slices.IndexFunc(issued, func(move schedule.Move) bool { return move.Machine == "m-u-2" })
		is.True(i >= 0)
		return issued[i]
	}
	first := move(h.runAndCollectMoves(6*time.Second, nil))
	h.startAnew()
	h.core.HandleMoveResult(first, platform.ErrOutcomeUnknown)
	second := move(h.runAndCollectMoves(time.Second, nil))
	h.core.HandleMoveResult(second, platform.ErrNotExecuted)
	h.addJob(1, job.Step{Count: 1, Request: job.Resources{MilliCPU: 1000}, LongRunning: true, MaxUnavailable: 1, Label: "z"})
	h.runAndCollectMoves(time.Second, nil)
	is.Equal(h.core.Stats().Starts, 0)
}

// Guards against a call that the core takes for one in flight, or for carried out, although it was not sent.
func TestCallsThatAreNotSentAreMadeAgain(t *testing.T) {
	notSent := errors.Wrap(platform.ErrNotExecuted, "the lease may have expired")
	is := is.New(t)
	h := newWaveHarness(t)
	h.addUpstream("u-2")
	h.fenceAll(platform.PollResult{})
	running := map[string][]platform.CurrentRun{}
	again := func(what string, made func(calls) bool) calls {
		for range 50 {
			h.advance(50 * time.Millisecond)
			c := h.decide()
			if made(c) {
				return c
			}
			h.answerAll(c, running)
		}
		t.Fatalf("%s is not made again", what)
		return calls{}
	}
	upkeep := h.awaitUpkeepCommand().upkeeps[0]
	h.core.HandleNotSent(upkeep, notSent)
	repeated := again("upkeep", func(c calls) bool { return len(c.upkeeps) == 1 })
	is.Equal(repeated.upkeeps[0].Machine, upkeep.Machine)
	is.True(repeated.upkeeps[0].Number > upkeep.Number) // a late copy cannot follow it

	id := h.addLastingJob(1)
	c := again("start", func(c calls) bool { return len(c.starts) == 1 })
	h.core.HandleNotSent(c.starts[0], notSent)
	h.answerAll(calls{polls: c.polls}, nil)
	c = again("start", func(c calls) bool { return len(c.starts) == 1 })
	h.acceptStarts(c.starts)
	start := c.starts[0]
	running[start.Target.ID] = []platform.CurrentRun{{Task: start.Command.Task, Attempt: start.Command.Attempt, Percent: 100}}
	is.Equal(len(c.polls), 1)
	h.core.HandleNotSent(c.polls[0], notSent)
	h.answerAll(again("poll", func(c calls) bool { return len(c.polls) == 1 }), running)
	h.core.Cancel(id)
	c = again("stop", func(c calls) bool { return len(c.stops) == 1 })
	h.core.HandleNotSent(c.stops[0], notSent)
	again("stop", func(c calls) bool { return len(c.stops) == 1 })
}
