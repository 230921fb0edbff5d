package owner

import (
	"sync/atomic"
	"time"

	"citrongauge.example/citrongauge/clock"
)

const (
	// maxStall is how long the event loop may make no progress while the lease is renewed. After that and the lease another host takes over,
	// which is about when the leases on the upstreams end.
	maxStall = 3 * time.Second
	// longStep is the duration from which a step of the event loop is logged.
	longStep = 500 * time.Millisecond
)

// loopProgress follows the event loop, so that the lease is not renewed beside one that hangs. Its times are on the monotonic clock. It is
// safe for concurrent use.
type loopProgress struct {
	lastStep atomic.Int64 // when the last step began or ended; 0: the loop has not begun
}

func (p *loopProgress) note() { p.lastStep.Store(int64(clock.Now())) }

// isStalled reports whether the loop has made no progress for maxStall.
func (p *loopProgress) isStalled() bool {
	last := time.Duration(p.lastStep.Load())
	return last > 0 && clock.Now() > last+maxStall
}

// step carries out a step of the event loop: a decision, or the handling of an event.
func (s *session) step(kind string, do func()) (took time.Duration) {
	begin := clock.Now()
	s.progress.note()
	do()
	s.progress.note()
	took = clock.Now() - begin
	s.Observe.StepTook(kind, took)
	if took >= longStep {
		s.Log("long step of the owner", "kind", kind, "took_ms", took.Milliseconds(), "jobs", s.core.JobCount(), "waiting_events", len(s.events))
	}
	return took
}
