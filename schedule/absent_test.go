package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

// Guards against a long-running task whose absence cannot be told from the logs: it has no run, or a run on an upstream
// from which no answer and no error comes.
func TestAbsentLongRunningTasksAreReported(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	lines := map[string]map[string]any{}
	h.core.Log = func(event string, fields ...any) {
		lines[event] = map[string]any{}
		for i := 0; i+1 < len(fields); i += 2 {
			lines[event][fields[i].(string)] = fields[i+1]
		}
	}
	h.addUpstream("u-1")
	h.fenceAll(platform.PollResult{})
	h.addJob(1, job.Step{Count: 1, Request: job.Resources{MilliCPU: 9000}, LongRunning: true})
	h.addJob(2, job.Step{Count: 1, Request: job.Resources{MilliCPU: 9000}, LongRunning: true})
	h.acceptStarts(h.decide().starts)
	for range 50 {
		h.advance(100 * time.Millisecond)
		h.decide() // the poll is in flight all the while
	}
	waits := lines["long-running task waits"]
	is.Equal(waits["tasks"], 1)
	is.Equal(waits["reason"], "room on an upstream")
	is.Equal(waits["upstreams"], map[string]int{"full": 1})
	unconfirmed := lines["long-running task not confirmed"]
	is.Equal(unconfirmed["upstream"], "u-1")
	is.Equal(unconfirmed["poll_in_flight"], true)
	is.Equal(h.core.Stats().LongRunningUnconfirmed, 1)
	is.Equal(h.core.Stats().LongRunningWaiting, 1)
}
