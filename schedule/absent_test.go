package schedule_test

import (
	"slices"
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

// Guards against a report that counts the wait of a task from its submission, although a run of it failed a moment ago.
func TestReportedWaitBeginsWithTheEndOfTheLastRun(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, entries("u-1")...)
	var waited any
	f.core.Log = func(event string, fields ...any) {
		if at := slices.Index(fields, any("waited_ms")); event == "long-running task waits" && at >= 0 {
			waited = fields[at+1]
		}
	}
	id := f.addJob(1, lasting(1, 9000))
	f.live(20 * time.Second)
	r := f.running["u-1"][0]
	f.running["u-1"] = nil
	f.ended["u-1"] = append(f.ended["u-1"], platform.EndedRun{Seq: 1, Task: r.Task, Attempt: r.Attempt, Kind: platform.EndFailed})
	f.addJob(2, lasting(1, 9000)) // takes the room
	f.live(5 * time.Second)
	is.Equal(f.runsOf(id), 0)
	is.True(waited != nil)
	is.True(waited.(int64) <= 5000)
}
