package schedule_test

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

// Guards against a long-running task that is given up after its upstreams were cut off right after its start.
func TestLongRunningTaskIsStartedAgainAfterCutsRightAfterItsStart(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	for _, id := range []string{"u-1", "u-2", "u-3", "u-4", "u-5", "u-6"} {
		h.addUpstream(id)
	}
	h.fenceAll(platform.PollResult{StartedMS: 1, ClockMS: 1000})
	h.addJob(1, job.Step{Count: 1, Request: job.Resources{MilliCPU: 500}, LongRunning: true})
	started := h.now
	cut := map[string]time.Duration{}
	for starts := 0; starts < 6; {
		is.True(h.now-started <= lastingGap) // the task is started again in time
		c := h.decide()
		for _, start := range c.starts {
			h.core.HandleStartResult(start, h.now.Milliseconds(), nil)
			starts, started = starts+1, h.now
			cut[start.Target.ID] = h.now
		}
		for _, poll := range c.polls {
			if since, ok := cut[poll.Target.ID]; ok && h.now-since < 7*time.Second {
				h.core.HandlePollResult(poll, platform.PollResult{}, errors.New("no answer"))
				continue
			}
			h.core.HandlePollResult(poll, platform.PollResult{StartedMS: 1, ClockMS: h.now.Milliseconds()}, nil)
		}
		h.advance(50 * time.Millisecond)
	}
}
