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

// storedPhase returns the phase of the only job in the records that are due, or whether there is none.
func (h *harness) storedPhase() (phase job.Phase, stored bool) {
	h.core.Decide()
	if !h.core.HasUnstoredRecords() {
		return 0, false
	}
	batch := h.core.TakeRecords()
	h.recordsStored(batch.Number)
	if len(batch.Jobs) == 0 {
		return 0, false
	}
	return batch.Jobs[0].Progress.Phase, true
}

// Guards against a job that is not counted as pending, and is shown as active, although no upstream has begun a task of it
// (MIXED, review/5): its starts were not answered, rejected or not sent.
func TestJobIsPendingUntilAnUpstreamHasBegunIt(t *testing.T) {
	begun := platform.PollResult{Running: []platform.CurrentRun{{Task: job.TaskID{Job: "0000000000000001"}, Attempt: 1, Percent: 5}}}
	ended := platform.PollResult{Ended: []platform.EndedRun{
		{Seq: 1, Task: job.TaskID{Job: "0000000000000001"}, Attempt: 1, Kind: platform.EndFailed},
	}}
	for name, c := range map[string]struct {
		startResult error
		found       platform.PollResult
		pending     int // after the poll
	}{
		"answered":                     {nil, begun, 0},
		"not answered, never begun":    {lostStart, platform.PollResult{}, 1},
		"not answered, found running":  {lostStart, begun, 0},
		"not answered, found as ended": {lostStart, ended, 0},
		"rejected":                     {&platform.RejectedError{Reason: platform.RejectedUnhealthy}, platform.PollResult{}, 1},
		"not sent":                     {errors.Wrap(platform.ErrNotExecuted, "dial"), platform.PollResult{}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			h.addUpstream("u-1")
			h.fenceAll(platform.PollResult{})
			h.addUniformJob(1, 1, 1000)
			is.Equal(h.core.Pending()[testQueue], 1)
			first := h.decide()
			is.Equal(len(first.starts), 1)
			is.Equal(h.core.Pending()[testQueue], 1) // the start has been sent, not answered
			h.core.HandleStartResult(first.starts[0], h.now.Milliseconds(), c.startResult)
			if c.startResult != nil {
				is.Equal(h.core.Pending()[testQueue], 1)
			}
			for _, poll := range append(first.polls, callsOf[schedule.Poll](h.core.Decide())...) {
				h.answerPoll(poll, c.found)
			}
			is.Equal(h.core.Pending()[testQueue], c.pending)
			phase, stored := job.Queued, false
			for range 30 {
				h.advance(50 * time.Millisecond)
				if p, ok := h.storedPhase(); ok {
					phase, stored = p, true
				}
			}
			if c.pending == 0 {
				is.True(stored)
				is.Equal(phase, job.Active)
			} else if stored {
				is.Equal(phase, job.Queued)
			}
		})
	}
}

// Guards against the same after a change of owner: a job with a stored placement may not have begun, and one that is shown
// as active has.
func TestNewOwnerCountsJobsThatHaveNotBegun(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	placed := job.PartProgress{}
	placed.RecordPlacement(0, "u-1")
	step := job.Step{Count: 1, Request: job.Resources{MilliCPU: 1000}, Estimate: time.Second}
	for n, phase := range []job.Phase{job.Queued, job.Queued, job.Active} {
		id := job.ID("000000000000000" + string(rune('1'+n)))
		h.inheritJob(id, step, job.Progress{Phase: phase, Parts: []job.PartProgress{placed}})
	}
	is.Equal(h.core.Pending()[testQueue], 2)
	h.core.InheritUpstream(upstreamEntry("u-1", 16000))
	h.core.SetUpstream(upstreamEntry("u-1", 16000))
	for _, poll := range h.decide().polls {
		h.answerPoll(poll, platform.PollResult{Running: []platform.CurrentRun{
			{Task: job.TaskID{Job: "0000000000000002"}, Attempt: 1, Percent: 5},
		}})
	}
	is.Equal(h.core.Pending()[testQueue], 1)
}
