package schedule_test

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

// Guards against starts over the capacity of an upstream that shrinks (LIMIT): beside runs that were started before,
// between the decision and the start, and with the next copy of a start.
func TestNoStartsOverShrunkCapacity(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.addUpstream("u-1")
	h.fenceAll(platform.PollResult{})
	h.addUniformJob(1, 2, 4000)
	h.acceptStarts(h.decide().starts)

	h.addUniformJob(2, 2, 4000)
	is.Equal(len(callsOf[schedule.Start](h.core.Decide())), 0) // planned: their placements have to be stored
	batch := h.core.TakeRecords().Number
	h.core.SetUpstream(upstreamEntry("u-1", 12000))
	h.recordsStored(batch)
	starts := h.decide().starts
	is.Equal(len(starts), 1)

	h.core.SetUpstream(upstreamEntry("u-1", 4000))
	h.core.HandleStartResult(starts[0], 0, errors.Wrap(platform.ErrOutcomeUnknown, "lost"))
	h.advance(time.Second)
	is.Equal(len(h.decide().starts), 0) // no copy of the unanswered start

	h.addUniformJob(3, 1, 1000)
	h.advance(time.Second)
	is.Equal(len(h.decide().starts), 0)

	h.core.SetUpstream(upstreamEntry("u-1", 20000))
	h.advance(time.Second)
	is.Equal(len(h.decide().starts), 3) // the copy, the other task of job 2, and job 3
}
