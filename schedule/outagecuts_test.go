package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/job"
)

// cutAtStart waits until a task of the job is started, cuts its upstream off at once and ends its lease. It returns the upstream.
func (o *ownerships) cutAtStart(id job.ID) string {
	for begun := len(o.starts); len(o.starts) == begun || o.runsOf(id) == 0; {
		o.own(ownershipStep)
		if o.now > 2*time.Hour {
			o.t.Fatal("not started")
		}
	}
	cut := o.placeOf(id)
	o.silent[cut] = true
	o.own(testLease - 100*time.Millisecond)
	o.lapse(cut)
	return cut
}

// Guards against a long-running task that is given up after its upstream was cut off three times soon after its start.
func TestTaskWhoseUpstreamsAreCutOffSoonAfterItsStartIsStartedAgain(t *testing.T) {
	is := is.New(t)
	o := newOwnerships(t, entries("u-1", "u-2", "u-3", "u-4")...)
	id := o.submit(1, lasting(1, 1000))
	last := ""
	for range 3 {
		cut := o.cutAtStart(id)
		o.silent[last] = false
		last = cut
	}
	o.own(time.Second)
	o.silent[last] = false
	o.own(mostWait)
	is.Equal(o.runsOf(id), 1)
}

// Guards against a long-running task that is given up after its upstream was cut off once soon after its start, and was not reached
// by two new owners in turn.
func TestTaskWhoseUpstreamsAreNotReachedByNewOwnersIsStartedAgain(t *testing.T) {
	is := is.New(t)
	o := newOwnerships(t, entries("u-1", "u-2", "u-3", "u-4")...)
	id := o.submit(1, lasting(1, 1000))
	last := o.cutAtStart(id)
	for range 2 {
		o.awaitRun(id, mostWait)
		o.silent[last] = false
		last = o.placeOf(id)
		o.silent[last] = true
		o.takeOver()
		o.own(testLease)
		o.lapse(last)
	}
	o.own(time.Second)
	o.silent[last] = false
	o.own(mostWait)
	is.Equal(o.runsOf(id), 1)
}
