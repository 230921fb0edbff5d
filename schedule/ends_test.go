package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

// endsOf returns the ends of the starts, all done, numbered from 1.
func endsOf(starts []schedule.Start) []platform.EndedRun {
	var ends []platform.EndedRun
	for i, start := range starts {
		ends = append(ends, platform.EndedRun{
			Seq: uint64(i + 1), Task: start.Command.Task, Attempt: start.Command.Attempt, Kind: platform.EndDone,
		})
	}
	return ends
}

// answerWithEnds answers the polls with the ends that are not acknowledged yet, at most limit at a time.
func (h *harness) answerWithEnds(polls []schedule.Poll, ends []platform.EndedRun, limit int) {
	for _, poll := range polls {
		left := ends[min(poll.Request.AckedSeq, uint64(len(ends))):]
		listed := left[:min(len(left), limit)]
		h.answerPoll(poll, platform.PollResult{Ended: listed, MoreEnds: len(listed) == limit})
	}
}

// Guards against tasks that are started again after they were done, because their ends did not fit into one response of
// an upstream that lists a limited number at a time (TWICE, review/2).
func TestTasksWhoseEndsAreNotListedYetAreNotStartedAgain(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.addUpstream("u-1")
	h.fenceAll(platform.PollResult{})
	h.addUniformJob(1, 7, 500)
	first := h.decide()
	is.Equal(len(first.starts), 7)
	h.acceptStarts(first.starts)
	h.advance(100 * time.Millisecond)
	polls := append(first.polls, h.decide().polls...)
	for range 20 {
		h.answerWithEnds(polls, endsOf(first.starts), 3)
		h.advance(100 * time.Millisecond)
		next := h.decide()
		is.Equal(len(next.starts), 0)
		polls = next.polls
	}
	is.Equal(h.core.Stats().Done, 7)
}

// Guards against the same after a change of owner: the new one knows no run of these tasks, only where they were started.
func TestTasksWhoseEndsAreNotListedYetAreNotStartedAgainByNewOwner(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.addUpstream("u-1")
	h.fenceAll(platform.PollResult{})
	id := h.addUniformJob(1, 7, 500)
	starts := h.decide().starts
	is.Equal(len(starts), 7)
	progress := job.Progress{Parts: []job.PartProgress{{}}}
	for i := range starts {
		progress.Parts[0].RecordPlacement(i, "u-1")
	}

	next := newHarness(t)
	next.core.InheritUpstream(upstreamEntry("u-1", 16000))
	next.inheritJob(id, job.Step{Count: 7, Request: job.Resources{MilliCPU: 500}, Estimate: time.Second}, progress)
	next.core.SetUpstream(upstreamEntry("u-1", 16000))
	for range 80 { // longer than the lease of an earlier owner
		c := next.decide()
		is.Equal(len(c.starts), 0)
		next.answerWithEnds(c.polls, endsOf(starts), 3)
		next.advance(100 * time.Millisecond)
	}
	is.Equal(next.core.Stats().Done, 7)
}
