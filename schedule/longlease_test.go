package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

// loseStartAndRestart loses the answer of a task's only start, on an upstream that then starts anew and is gone, and returns when that
// was. The record of long leases is stored.
func (h *harness) loseStartAndRestart(id string) (restartAt time.Duration) {
	h.addUpstream(id)
	h.addJob(1, lasting(1, 1000))
	for end := h.now + time.Second; h.now < end; h.advance(50 * time.Millisecond) {
		for _, call := range h.core.Decide() {
			switch call := call.(type) {
			case schedule.Start:
				h.core.HandleStartResult(call, 0, lostStart)
				restartAt = h.now
				entry := upstreamEntry(id, 16000)
				entry.StartedMS = 2
				h.core.SetUpstream(entry)
			case schedule.Stop:
				h.core.HandleStopResult(call, 0, lostStart)
			case schedule.Poll:
				if restartAt > 0 {
					h.core.HandlePollResult(call, platform.PollResult{}, lostStart)
				} else {
					h.answerPoll(call, platform.PollResult{})
				}
			}
		}
		batch := h.core.TakeRecords()
		h.storeLongLeases(batch)
		h.recordsStored(batch.Number)
	}
	return restartAt
}

// Guards against two runs of a task (TWICE): owners in turn do not hand on that a lease may be the platform's longest. It does not begin
// anew with each of them.
func TestLongLeaseIsHandedOnByOwnersInTurn(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	restartAt := h.loseStartAndRestart("u-gone")
	record := schedule.UnreachedUpstreams{}
	startedAt := time.Duration(0)
	for range 10 {
		record = h.runUnreached(record, 2*time.Second, func() {
			if startedAt == 0 {
				startedAt = h.now
			}
		})
	}
	is.True(startedAt > restartAt+testBounds.MaxLease)
	is.True(startedAt < restartAt+testBounds.MaxLease+6*time.Second)
}

// Guards against two runs of a task (TWICE): the owner between did not store a record, and the one after it took that of its predecessor
// for void altogether.
func TestLongLeaseIsKnownAfterAnotherOwner(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	restartAt := h.loseStartAndRestart("u-gone")
	h.claim(nil)
	h.advance(100 * time.Millisecond)
	h.runUnreached(schedule.UnreachedUpstreams{}, 12*time.Second, func() { is.True(h.now > restartAt+testBounds.MaxLease) })
}

// Guards against a long lease that a record names for ever, so that tasks wait for it again after each later takeover.
func TestLongLeaseIsForgottenAfterItsEnd(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.loseStartAndRestart("u-gone")
	is.Equal(len(h.longLeases.LeftMS), 1)
	h.runUnreached(schedule.UnreachedUpstreams{}, 15*time.Second, func() {})
	is.Equal(len(h.longLeases.LeftMS), 0)
}

// Guards against tasks that wait for a lease on an upstream on which this owner knows that nothing runs (LOST in
// TestHistoriesKeepLongRunningTasksAtWork, seed 199335, with a record of all long leases).
func TestLongLeaseOfUpstreamWithoutRunsIsNotStored(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, entries("u-1", "u-2")...)
	id := f.addJob(1, lasting(1, 1000))
	f.live(time.Second)
	f.advance(100 * time.Millisecond)
	inFlight := callsOf[schedule.Poll](f.core.Decide())
	is.Equal(len(inFlight), 1) // to u-1
	f.restartAndLose("u-1")
	f.core.HandlePollResult(inFlight[0], platform.PollResult{}, lostStart)
	f.live(200 * time.Millisecond)
	is.Equal(f.runsOf(id), 1)
	is.True(f.core.LeaseEnds()["u-1"] > f.now+testBounds.MaxLease)
	f.advance(time.Second)
	f.core.Decide()
	is.True(f.core.TakeRecords().LongLeases == nil)
}
