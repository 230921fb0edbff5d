package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

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
		f.core.RecordsStored(f.core.TakeRecords().Number)
	}
	is.True(started > 0 && extended > 0)
}
