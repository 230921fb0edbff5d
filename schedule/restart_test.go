package schedule_test

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

// restart starts an upstream anew under its ID. Its runs have ended.
func (f *fleet) restart(id string) {
	f.started[id] = max(f.started[id], 1) + 1
	f.running[id], f.ended[id] = nil, nil
	entry := upstreamEntry(id, 16000)
	entry.StartedMS = f.started[id]
	f.core.SetUpstream(entry)
}

// restartAndLose restarts an upstream that never answers again.
func (f *fleet) restartAndLose(id string) {
	f.silent[id] = true
	f.restart(id)
}

// Guards against a long-running task that waits for the platform's longest lease although its run is known to be over: its start
// got no answer, a poll listed the run, and then its upstream started anew and was not reached again (LOST with real
// processes, TestLongRunningTasksAreStartedAgain, seed 7004). The only copy of the start that was sent has been carried out.
func TestListedRunIsOverWhenItsUpstreamStartsAnew(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, entries("u-1", "u-2", "u-3")...)
	f.losesAnswers = 1
	id := f.addJob(1, lasting(1, 1000))
	f.live(500 * time.Millisecond)
	is.Equal(len(f.running["u-1"]), 1)
	is.Equal(f.startsSent, 1)
	f.restartAndLose("u-1")
	f.live(time.Second)
	is.Equal(f.runsOf(id), 1)
}

// Guards against a long-running task that waits for the longest lease after a restart while the only copy of its start was in flight
// there: a poll had listed the run before the upstream started anew.
func TestListedRunIsOverWhileItsStartIsInFlight(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, entries("u-1", "u-2", "u-3")...)
	f.keepsStarts = true
	id := f.addJob(1, lasting(1, 1000))
	f.live(500 * time.Millisecond)
	is.Equal(len(f.running["u-1"]), 1)
	is.Equal(len(f.inFlight), 1)
	f.keepsStarts = false
	f.restartAndLose("u-1")
	f.live(time.Second)
	is.Equal(f.runsOf(id), 1)
	f.core.HandleStartResult(f.inFlight[0], 0, lostStart) // nothing is known of it any more
	f.live(time.Second)
	is.Equal(f.runsOf(id), 1)
}

// Guards against a long-running task that waits for the longest lease after a restart, although the only copy of its start that was in
// flight there was not sent.
func TestUnsentStartIsOverWhenItsUpstreamStartsAnew(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, entries("u-1", "u-2", "u-3")...)
	f.drops, f.keepsStarts = true, true
	id := f.addJob(1, lasting(1, 1000))
	f.live(100 * time.Millisecond)
	is.Equal(len(f.inFlight), 1)
	f.drops, f.keepsStarts = false, false
	f.restartAndLose("u-1")
	f.core.HandleStartResult(f.inFlight[0], 0, errors.Wrap(platform.ErrNotExecuted, "no connection"))
	f.live(time.Second)
	is.Equal(f.runsOf(id), 1)
}

// Guards against two runs of a task (TWICE): a copy of its start that was sent again is not accounted for by the run that a poll
// lists, and may be carried out by the next incarnation of its upstream.
func TestCopyOfAStartMayBeCarriedOutAfterARestart(t *testing.T) {
	for _, secondAnswered := range []bool{false, true} {
		is := is.New(t)
		f := newFleet(t, entries("u-1", "u-2", "u-3")...)
		f.drops, f.losesAnswers = true, 1
		id := f.addJob(1, lasting(1, 1000))
		f.live(100 * time.Millisecond)
		is.Equal(f.startsSent, 1)
		f.drops = false
		if !secondAnswered {
			f.losesAnswers = 1
		}
		f.live(900 * time.Millisecond)
		is.Equal(len(f.running["u-1"]), 1)
		is.Equal(f.startsSent, 2) // the same start
		f.restartAndLose("u-1")
		f.live(testBounds.MaxLease)
		is.Equal(f.runsOf(id), 0)
		f.live(2500 * time.Millisecond)
		is.Equal(f.runsOf(id), 1)
	}
}

// Guards against two runs of a task (TWICE): a copy that was sent before the first of two restarts carries a deadline on the clock
// of the first incarnation.
func TestStaleDeadlineOutlivesTwoRestarts(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, entries("u-1", "u-2", "u-3")...)
	f.drops, f.losesAnswers = true, 1
	id := f.addJob(1, lasting(1, 1000))
	f.live(100 * time.Millisecond)
	f.drops = false
	f.restartAndLose("u-1")
	f.live(time.Second)
	f.restartAndLose("u-1")
	f.live(testBounds.MaxLease)
	is.Equal(f.runsOf(id), 0)
	f.live(2500 * time.Millisecond)
	is.Equal(f.runsOf(id), 1)
}

// Guards against two runs of a task (TWICE): a stop was answered before its upstream started anew, and the next incarnation, which
// knows nothing of it, carried out a copy of the start.
func TestStopIsVoidAfterARestart(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, entries("u-1", "u-2", "u-3")...)
	f.drops, f.losesAnswers = true, 1
	id := f.addJob(1, lasting(1, 1000))
	f.live(100 * time.Millisecond)
	is.Equal(f.startsSent, 1)
	f.drops = false
	f.restart("u-1")
	f.live(100 * time.Millisecond) // a poll does not list the run, and the stop is answered
	f.restartAndLose("u-1")
	f.live(testBounds.MaxLease)
	is.Equal(f.runsOf(id), 0)
	f.live(2500 * time.Millisecond)
	is.Equal(f.runsOf(id), 1)
}

// Guards as above, against an answer to a stop that the earlier incarnation gave and that arrives after the restart is known.
func TestLateAnswerToAStopSaysNothingOfTheNextIncarnation(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, entries("u-1", "u-2", "u-3")...)
	f.drops, f.losesAnswers = true, 2
	id := f.addJob(1, lasting(1, 1000))
	f.live(100 * time.Millisecond)
	f.drops = false
	f.live(500 * time.Millisecond) // the second copy of the start is carried out, the first one may still be
	is.Equal(len(f.running["u-1"]), 1)
	f.drain("u-1")
	var stops []schedule.Stop
	for _, call := range f.core.Decide() {
		if stop, ok := call.(schedule.Stop); ok {
			stops = append(stops, stop)
		} else {
			f.answer(call)
		}
	}
	is.Equal(len(stops), 1)
	f.restartAndLose("u-1")
	f.core.HandleStopResult(stops[0], f.clock("u-1"), nil)
	f.live(testBounds.MaxLease)
	is.Equal(f.runsOf(id), 0)
	f.live(2500 * time.Millisecond)
	is.Equal(f.runsOf(id), 1)
}

// Guards against a wait for the platform's longest lease that the unanswered start cannot grant: its deadline is an absolute time,
// which the clock of the next incarnation, which starts anew, reaches sooner.
func TestUnansweredStartOfYoungUpstreamGrantsNoLongLease(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, entries("u-1", "u-2", "u-3")...)
	f.bornAt["u-1"] = f.now
	f.restart("u-1")
	f.live(200 * time.Millisecond)
	f.drops, f.losesAnswers = true, 1
	id := f.addJob(1, lasting(1, 1000))
	f.live(100 * time.Millisecond)
	is.Equal(f.startsSent, 1)
	target, deadline := f.lastStart.Target.ID, time.Duration(f.lastStart.Command.DeadlineMS)*time.Millisecond
	is.Equal(target, "u-1")
	is.True(deadline < testLease+time.Second)
	f.drops = false
	f.restartAndLose("u-1")
	f.live(deadline + 1500*time.Millisecond)
	is.Equal(f.runsOf(id), 0) // a new incarnation may begin, and carry it out, 1.5 s after the restart is known
	f.live(time.Second)
	is.Equal(f.runsOf(id), 1)
}
