package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

// Guards against a lease beyond the limit that the owner's terms promise to the next owner (TWICE), by a start or by a poll.
func TestNoLeaseIsGrantedBeyondTheLimit(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, entries("u-1")...)
	f.addJob(1, lasting(1, 1000))
	limit := f.now + 3*time.Second
	f.core.LimitLeases(limit)
	started, extended := 0, 0
	for ; f.now < limit-500*time.Millisecond; f.advance(50 * time.Millisecond) {
		for _, call := range f.core.Decide() {
			switch call := call.(type) {
			case schedule.Start:
				started++
				is.True(call.Command.DeadlineMS <= limit.Milliseconds())
			case schedule.Poll:
				if call.Request.DeadlineMS > 0 {
					extended++
				}
				is.True(call.Request.DeadlineMS <= limit.Milliseconds())
			}
			f.answer(call)
		}
		f.recordsStored(f.core.TakeRecords().Number)
	}
	is.True(started > 0 && extended > 0)
}

// Guards against a lease on an upstream that the record which the claim took over still names: the next owner would count the rest of
// an earlier lease (TWICE).
func TestNoLeaseIsGrantedWhileTheRecordTakenOverNamesTheUpstream(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.claim(nil)
	h.core.InheritUpstream(upstreamEntry("u-1", 16000))
	h.core.InheritUnreached(schedule.UnreachedUpstreams{Generation: h.generation - 1, LeaseLeftMS: map[string]int64{"u-1": 3000}})
	h.addUpstream("u-1")
	h.addJob(1, lasting(1, 1000))
	cleared, granted := false, false
	for end := h.now + 2*time.Second; h.now < end; h.advance(50 * time.Millisecond) {
		for _, call := range h.core.Decide() {
			switch call := call.(type) {
			case schedule.Start:
				granted = true
				is.True(cleared)
			case schedule.Poll:
				is.True(call.Request.DeadlineMS == 0 || cleared)
				h.answerPoll(call, platform.PollResult{})
			}
		}
		batch := h.core.TakeRecords()
		if batch.Unreached != nil && batch.Unreached.LeaseLeftMS["u-1"] == 0 {
			cleared = true
		}
		h.recordsStored(batch.Number)
	}
	is.True(granted)
}
