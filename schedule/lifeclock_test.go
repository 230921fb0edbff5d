package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/platform"
)

// clockHarness has an upstream whose poll was sent at the harness's time and answered 500 ms later, with the clock at one of the two.
func clockHarness(t *testing.T, isReadLate bool) (h *harness, clock func() int64) {
	h = newHarness(t)
	h.addUpstream("u-1")
	polls := h.decide().polls
	readAt := h.now
	h.advance(500 * time.Millisecond)
	if isReadLate {
		readAt = h.now
	}
	h.core.HandlePollResult(polls[0], platform.PollResult{StartedMS: 1, ClockMS: 50_000}, nil)
	return h, func() int64 { return 50_000 + (h.now - readAt).Milliseconds() }
}

// Guards against doubts about the life of an upstream whose clock is right, up to 2% slow: it would be closed, and polled on a new
// connection, for each of them.
func TestClockOfTheKnownLifeRaisesNoDoubt(t *testing.T) {
	for name, late := range map[string]bool{"read when the poll was sent": false, "read when it was answered": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h, clock := clockHarness(t, late)
			h.addUniformJob(1, 2, 1000)
			starts := h.decide().starts
			is.Equal(len(starts), 2)
			sent := clock()
			h.advance(400 * time.Millisecond)
			h.core.HandleStartResult(starts[0], sent, nil)
			h.core.HandleStartResult(starts[1], clock(), nil)
			is.Equal(h.core.Stats().Doubts, 0)
		})
	}
}

// Guards as above, after a time in which the slowest clock falls behind by 400 ms.
func TestSlowClockRaisesNoDoubt(t *testing.T) {
	is := is.New(t)
	h, clock := clockHarness(t, true)
	h.advance(20 * time.Second)
	h.addUniformJob(1, 1, 1000)
	h.core.HandleStartResult(h.decide().starts[0], clock()-400, nil)
	is.Equal(h.core.Stats().Doubts, 0)
}

// Guards as above: the answer to a poll overtakes that to a start which was sent with it.
func TestOvertakenAnswerRaisesNoDoubt(t *testing.T) {
	is := is.New(t)
	h, clock := clockHarness(t, true)
	h.addUniformJob(1, 2, 1000)
	starts := h.decide().starts
	sent := clock()
	h.advance(100 * time.Millisecond)
	h.core.HandleStartResult(starts[0], clock(), nil)
	h.advance(300 * time.Millisecond)
	h.core.HandleStartResult(starts[1], sent, nil)
	is.Equal(h.core.Stats().Doubts, 0)
}

// Guards against two runs of a task (TWICE): a start that a new life has answered is taken for one of the known life, although its clock is
// beyond what the known one can show.
func TestClockBeyondThatOfTheKnownLifeRaisesADoubt(t *testing.T) {
	for name, off := range map[string]int64{"ahead": 200, "behind": -600} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h, clock := clockHarness(t, true)
			h.advance(20 * time.Second)
			h.addUniformJob(1, 1, 1000)
			start := h.decide().starts[0]
			if off > 0 {
				off += 500 // the poll took as long
			}
			h.core.HandleStartResult(start, clock()+off, nil)
			is.Equal(h.core.Stats().Doubts, 1)
			is.Equal(len(h.decide().polls), 1)
			h.addUniformJob(2, 1, 1000)
			is.Equal(len(h.decide().starts), 0)
		})
	}
}
