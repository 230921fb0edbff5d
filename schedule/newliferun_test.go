package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/platform"
)

// Guards against a stop of a run that works (AVAIL, and work thrown away): its start got no answer, its upstream started anew, and the
// new life has carried the start out.
func TestRunThatTheNewLifeHasBegunIsNotStopped(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.addUpstream("u-1")
	h.fenceAll(platform.PollResult{})
	h.addUniformJob(1, 1, 1000)
	start := h.decide().starts[0]
	h.core.HandleStartResult(start, 0, lostStart)
	entry := upstreamEntry("u-1", 16000)
	entry.StartedMS = 2
	h.core.SetUpstream(entry)
	c := h.decide()
	is.Equal(len(c.stops), 0)
	is.Equal(len(c.polls), 1)
	listed := platform.CurrentRun{Task: start.Command.Task, Attempt: start.Command.Attempt}
	h.core.HandlePollResult(c.polls[0], platform.PollResult{StartedMS: 2, ClockMS: 40, Running: []platform.CurrentRun{listed}}, nil)
	h.advance(100 * time.Millisecond)
	c = h.decide()
	is.Equal(len(c.stops), 0)
	is.Equal(len(c.starts), 0)
}

// Guards as above, with a start that is still in flight when a poll of the new life is answered, and is carried out a little later.
func TestStartInFlightToTheNewLifeIsNotStopped(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.addUpstream("u-1")
	h.fenceAll(platform.PollResult{})
	h.addUniformJob(1, 1, 1000)
	start := h.decide().starts[0]
	entry := upstreamEntry("u-1", 16000)
	entry.StartedMS = 2
	h.core.SetUpstream(entry)
	answer := func(running ...platform.CurrentRun) {
		for _, poll := range h.decide().polls {
			h.core.HandlePollResult(poll, platform.PollResult{StartedMS: 2, ClockMS: 40, Running: running}, nil)
		}
		h.advance(100 * time.Millisecond)
	}
	answer()
	is.Equal(len(h.decide().stops), 0)
	h.core.HandleStartResult(start, 100, nil)
	h.advance(100 * time.Millisecond)
	answer(platform.CurrentRun{Task: start.Command.Task, Attempt: start.Command.Attempt})
	c := h.decide()
	is.Equal(len(c.stops), 0)
	is.Equal(len(c.starts), 0)
}
