package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// calmBound is how long after the end of the last disturbance a long-running task may have nothing running.
const calmBound = 7 * time.Second

// lose ends an upstream for good.
func (o *ownerships) lose(id string) {
	o.gone[id], o.silent[id] = true, true
	delete(o.running, id)
}

// Guards against a wait for a lease that begins anew with an ownership that ends before its state is read, which stores no
// record of the upstreams that are not reached.
func TestOwnershipWithoutStateDoesNotProlongTheWaitForALease(t *testing.T) {
	is := is.New(t)
	o := newOwnerships(t, entries("u-1", "u-2", "u-3")...)
	id := o.submit(1, lasting(1, 1000))
	o.own(time.Second)
	o.lose(o.placeOf(id))
	o.takeOver()
	first := o.now
	o.own(4 * time.Second)
	o.claimOnly()
	o.advance(500 * time.Millisecond)
	o.takeOver()
	o.awaitRun(id, 20*time.Second)
	is.True(o.now-first <= testLease+2*time.Second)
}

// Guards against a wait for a lease that begins with the claim, on an upstream that the former owner had not reached any more for 4 s
// when its process was killed.
func TestUpstreamThatTheFormerOwnerHadLostIsNotWaitedForFromTheClaim(t *testing.T) {
	is := is.New(t)
	o := newOwnerships(t, entries("u-1", "u-2", "u-3")...)
	id := o.submit(1, lasting(1, 1000))
	o.own(time.Second)
	o.lose(o.placeOf(id))
	o.own(4 * time.Second)
	killed := o.now
	o.advance(ownerLeaseTTL + 300*time.Millisecond)
	o.takeOver()
	o.awaitRun(id, 20*time.Second)
	is.True(o.now-killed <= calmBound)
}

// Guards against a long-running task that, after its wait for the lease on an upstream that is gone, also waits for quarantines that
// began just before: short jobs that always fail have closed all upstreams.
func TestTaskDoesNotWaitForQuarantinesAfterItsWaitForALease(t *testing.T) {
	is := is.New(t)
	o := newOwnerships(t, entries("u-1", "u-2", "u-3")...)
	id := o.submit(1, lasting(1, 1000))
	o.own(time.Second)
	o.lose(o.placeOf(id))
	o.advance(8 * time.Second)
	outageEnd := o.now
	o.advance(minClaimDelay)
	o.takeOver()
	o.own(testLease + 200*time.Millisecond)
	for number := 10; number < 30; number++ {
		o.bad[o.addUniformJob(number, 2, 1000)] = true
	}
	o.awaitRun(id, 20*time.Second)
	is.True(o.now-outageEnd <= calmBound)
}

// Guards against long-running tasks of several jobs that wait for one another's trials of upstreams that were in quarantine, after
// their own upstream was lost unseen: only tasks that are no suspects start beside a trial.
func TestSuspectsDoNotWaitForOneAnothersTrials(t *testing.T) {
	is := is.New(t)
	o := newOwnerships(t, entries("u-1", "u-2", "u-3")...)
	first, second, third := o.submit(1, lasting(1, 1000)), o.submit(2, lasting(1, 1000)), o.submit(3, lasting(1, 1000))
	o.own(time.Second)
	o.lose("u-1") // all three tasks ran there
	o.advance(8 * time.Second)
	outageEnd := o.now
	o.advance(minClaimDelay)
	o.takeOver()
	o.own(3 * time.Second)
	for number := 10; number < 12; number++ {
		o.bad[o.addUniformJob(number, 2, 1000)] = true
	}
	for o.runsOf(first)+o.runsOf(second)+o.runsOf(third) < 3 && o.now < outageEnd+20*time.Second {
		o.own(ownershipStep)
	}
	is.True(o.now-outageEnd <= calmBound)
}
