package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/schedule"
)

// Guards against records of cancellations that stay in the store for ever, because the store never had their jobs.
func TestCancellationWithoutJobIsRemoved(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	unknown := job.ID("00000000000000aa")
	known := h.addUniformJob(1, 1, 1000)
	h.core.CancellationStored(unknown, h.now.Milliseconds()+time.Hour.Milliseconds()) // by a clock that is ahead
	h.core.CancellationStored(unknown, h.now.Milliseconds())
	h.core.CancellationStored(known, h.now.Milliseconds())
	var removed []schedule.Record
	for range 5 {
		h.advance(testBounds.Retention / 2)
		batch := h.core.TakeRecords()
		h.recordsStored(batch.Number)
		for _, record := range batch.Jobs {
			if record.Remove {
				removed = append(removed, record)
			} else {
				is.Equal(record.ID, known)
				is.Equal(record.Progress.Phase, job.Cancelled)
			}
		}
	}
	is.Equal(len(removed), 2)
	is.Equal(removed[0].ID, unknown)
	is.Equal(removed[1].ID, known)
}
