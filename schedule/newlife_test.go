package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/platform"
)

// Guards against two runs of a task (TWICE): its start was answered by the new life of an upstream, whose entry then ended the run
// for the owner before any poll of the new life.
func TestStartAnsweredByANewLifeIsNotStartedElsewhere(t *testing.T) {
	for _, newClockMS := range []int64{40, 9_000_000} { // a life's clock begins anywhere
		is := is.New(t)
		h := newHarness(t)
		h.addUpstream("u-1")
		h.fenceAll(platform.PollResult{})
		h.addUniformJob(1, 1, 1000)
		starts := h.decide().starts
		is.Equal(len(starts), 1)
		h.core.HandleStartResult(starts[0], newClockMS, nil)

		h.addUpstream("u-2")
		for _, poll := range h.decide().polls {
			if poll.Target.ID == "u-2" {
				h.answerPoll(poll, platform.PollResult{})
			}
		}
		h.advance(200 * time.Millisecond)
		entry := upstreamEntry("u-1", 16000)
		entry.StartedMS = 2
		h.core.SetUpstream(entry)
		is.Equal(len(h.decide().starts), 0) // the new life may be running the task
	}
}
