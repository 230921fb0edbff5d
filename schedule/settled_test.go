package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/job"
)

// Guards against a long-running task that has waited and starts on an upstream that started anew a moment ago, and is gone a moment
// later, although one that has been reachable for long has room (LOST with real processes, seed 7004).
func TestWaitingTaskAvoidsUpstreamThatStartedAnew(t *testing.T) {
	for _, suspect := range []bool{false, true} {
		is := is.New(t)
		f := newFleet(t, entries("u-1", "u-2")...)
		f.live(testLease)
		f.core.SetEvacuated([]string{"a"})
		id := f.addWaiting(1, suspect)
		f.live(time.Second)
		f.restart("u-1")
		f.live(200 * time.Millisecond)
		f.core.SetEvacuated(nil)
		f.live(200 * time.Millisecond)
		is.Equal(f.runsOf(id), 1)
		is.Equal(len(f.running["u-2"]), 1)
	}
}

// Guards as above, against an upstream that did not answer a moment ago.
func TestWaitingTaskAvoidsUpstreamThatWasSilent(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, entries("u-1", "u-2")...)
	f.addJob(1, lasting(1, 1000)) // on u-1, so that it is polled and would be chosen
	f.live(testLease)
	f.core.SetEvacuated([]string{"a"})
	id := f.addWaiting(2, false)
	f.silent["u-1"] = true
	f.live(time.Second)
	f.silent["u-1"] = false
	f.live(1500 * time.Millisecond)
	f.core.SetEvacuated(nil)
	f.live(200 * time.Millisecond)
	is.Equal(f.runsOf(id), 1)
	is.Equal(len(f.running["u-2"]), 1)
}

// Guards against tasks that wait because the only upstream with room has started anew.
func TestWaitingTaskUsesUpstreamThatStartedAnew(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, entries("u-1", "u-2")...)
	f.addJob(1, lasting(1, 16000)) // on u-1
	f.live(testLease)
	f.restart("u-2")
	f.live(200 * time.Millisecond)
	f.core.SetEvacuated([]string{"a"})
	id := f.addWaiting(2, false)
	f.live(time.Second)
	f.core.SetEvacuated(nil)
	f.live(200 * time.Millisecond)
	is.Equal(f.runsOf(id), 1)
}

// addWaiting adds a job with a long-running task that has no run. A suspect has lost an upstream under an earlier owner.
func (f *fleet) addWaiting(number int, suspect bool) job.ID {
	if !suspect {
		return f.addJob(number, lasting(1, 1000))
	}
	id := job.ID(fmt.Sprintf("%016x", number))
	crashes := []job.TaskCrash{{Index: 0, Attempt: 1, Unseen: true}}
	f.inheritJob(id, lasting(1, 1000), job.Progress{Phase: job.Active, Parts: []job.PartProgress{{Crashes: crashes}}})
	return id
}
