package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

// runUnreached claims the fleet with an upstream of the stored roster that is gone and one that answers, runs it, and returns the newest record of
// unreached upstreams after the given time.
func (h *harness) runUnreached(record schedule.UnreachedUpstreams, d time.Duration, onStart func()) schedule.UnreachedUpstreams {
	h.claim(nil)
	h.core.InheritUpstream(upstreamEntry("u-gone", 16000))
	h.core.InheritUnreached(record)
	h.core.InheritLongLeases(h.longLeases)
	h.addUpstream("u-1")
	progress := job.Progress{Phase: job.Active, Parts: []job.PartProgress{{}}}
	progress.Parts[0].RecordPlacement(0, "u-gone")
	h.inheritJob("0000000000000001", job.Step{Count: 1, Request: job.Resources{MilliCPU: 1000}, LongRunning: true}, progress)
	for end := h.now + d; h.now < end; h.advance(50 * time.Millisecond) {
		calls := h.core.Decide()
		if h.core.HasUnstoredRecords() {
			batch := h.core.TakeRecords()
			h.recordsStored(batch.Number)
			h.storeLongLeases(batch)
			if batch.Unreached != nil {
				record = *batch.Unreached
			}
			calls = append(calls, h.core.Decide()...)
		}
		if len(callsOf[schedule.Start](calls)) > 0 {
			onStart()
		}
		for _, poll := range callsOf[schedule.Poll](calls) {
			if poll.Target.ID == "u-gone" {
				h.core.HandlePollResult(poll, platform.PollResult{}, lostStart)
			} else {
				h.answerPoll(poll, platform.PollResult{})
			}
		}
	}
	return record
}

// Guards against a long-running task that waits for the lease on its upstream, which is gone, from the claim of each of several
// owners in turn: none of them lives for that long (TestHandoverDoesNotProlongTheWaitForALease with real processes).
func TestShortOwnershipsDoNotProlongTheWaitForALease(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	first := h.now
	startedAt := time.Duration(0)
	var record schedule.UnreachedUpstreams
	for range 5 {
		record = h.runUnreached(record, 2*time.Second, func() {
			if startedAt == 0 {
				startedAt = h.now
			}
		})
	}
	is.True(startedAt > first+testLease)               // an owner before the first may have extended the lease until then
	is.True(startedAt < first+testLease+2*time.Second) // not from the last claim
}

// Guards against a restart beside a run on an upstream that an owner has reached after it had stored that it did not.
func TestLeaseIsNotExtendedBeforeRecordIsCleared(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.runUnreached(schedule.UnreachedUpstreams{}, time.Second, func() {})
	h.addUpstream("u-gone")
	task := job.TaskID{Job: "0000000000000001"}
	running := platform.PollResult{Running: []platform.CurrentRun{{Task: task, Attempt: 1, Percent: 100}}}
	extended := false
	for range 20 {
		h.advance(100 * time.Millisecond)
		for _, poll := range callsOf[schedule.Poll](h.core.Decide()) { // nothing is stored
			extended = extended || poll.Target.ID == "u-gone" && poll.Request.DeadlineMS > 0
			h.answerPoll(poll, running)
		}
	}
	is.True(!extended)
	batch := h.core.TakeRecords()
	is.True(batch.Unreached != nil)
	is.Equal(len(batch.Unreached.LeaseLeftMS), 0)
	h.recordsStored(batch.Number)
	h.advance(100 * time.Millisecond)
	polls := callsOf[schedule.Poll](h.core.Decide())
	is.True(len(polls) > 0)
	is.True(polls[0].Request.DeadlineMS > 0)
}

// Guards against the use of a record that was made before another owner's: that one may have extended the leases.
func TestRecordOfUnreachedUpstreamsIsVoidAfterAnotherOwner(t *testing.T) {
	h := newHarness(t)
	h.claim(nil)
	h.claim(nil)
	h.runUnreached(schedule.UnreachedUpstreams{Generation: 1, LeaseLeftMS: map[string]int64{"u-gone": 0}}, testLease, func() {
		t.Fatal("started before the lease has ended")
	})
}

// Guards against a second run beside one that was found on an upstream whose lease this owner has not extended yet: its polls
// went unanswered, and the run was taken for lost at once (TWICE in TestHistoriesKeepLongRunningTasksAtWork, seed 4000008785).
func TestFoundRunIsKeptForTheLeaseOfTheEarlierOwner(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.runUnreached(schedule.UnreachedUpstreams{}, time.Second, func() {})
	h.addUpstream("u-gone")
	found := platform.PollResult{Running: []platform.CurrentRun{{Task: job.TaskID{Job: "0000000000000001"}, Attempt: 1}}}
	reached := false
	for range 30 {
		h.advance(100 * time.Millisecond)
		calls := h.core.Decide()
		is.Equal(len(callsOf[schedule.Start](calls)), 0)
		for _, poll := range callsOf[schedule.Poll](calls) {
			switch {
			case poll.Target.ID != "u-gone":
				h.answerPoll(poll, platform.PollResult{})
			case !reached:
				reached = true
				h.answerPoll(poll, found)
			default:
				h.core.HandlePollResult(poll, platform.PollResult{}, lostStart)
			}
		}
	}
	is.True(reached)
	is.Equal(h.core.Stats().Requeued, 0)
}

// Guards against a long-running task that waits for the lease on its upstream, which is gone, from the claim of the new owner,
// although the ownership before it ended long ago: an outage of the store kept all hosts from a claim until 2 s after its end.
func TestOutageDoesNotProlongTheWaitForALease(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.earlierEnded = h.now - 8*time.Second
	bound := h.now + 5*time.Second // 7 s after the end of the outage
	started := false
	h.runUnreached(schedule.UnreachedUpstreams{}, bound-h.now, func() { started = true })
	is.True(started)
}

// Guards against a start beside a run whose lease the ownership before extended shortly before its end.
func TestLeaseOfTheEarlierOwnershipIsWaitedForFromItsEnd(t *testing.T) {
	h := newHarness(t)
	h.earlierEnded = h.now - time.Second
	h.runUnreached(schedule.UnreachedUpstreams{}, testLease-time.Second, func() { t.Fatal("started before the lease has ended") })
}

// Guards against a lease that ends later after the last renewal of the owner's own lease than the next owner takes it to (TWICE).
func TestLeasesEndSoonAfterTheOwnersOwn(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.addUpstream("u-1")
	h.fenceAll(platform.PollResult{})
	limit := h.now + testLease - 300*time.Millisecond
	h.core.LimitLeases(limit)
	h.addJob(1, job.Step{Count: 1, Request: job.Resources{MilliCPU: 1000}, LongRunning: true})
	calls := h.decide()
	is.Equal(len(calls.starts), 1)
	is.True(calls.starts[0].Command.DeadlineMS <= limit.Milliseconds())
	is.Equal(len(calls.polls), 1)
	is.True(calls.polls[0].Request.DeadlineMS > 0)
	is.True(calls.polls[0].Request.DeadlineMS <= limit.Milliseconds())
}

// Guards against a record with more upstreams than the decoder takes: the leases were counted from each claim again.
func TestUnreachedRecordOfLargeFleetIsRead(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.claim(nil)
	for i := range 1500 {
		h.core.InheritUpstream(upstreamEntry(fmt.Sprint("u-", i), 16000))
	}
	h.advance(time.Second)
	h.core.Decide()
	batch := h.core.TakeRecords()
	is.True(batch.Unreached != nil)
	data, err := job.Encode(batch.Unreached)
	is.NoErr(err)
	var read schedule.UnreachedUpstreams
	is.NoErr(job.Decode(data, &read))
	is.True(len(read.LeaseLeftMS) > 500)
}
