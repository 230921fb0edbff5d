package schedule

import "time"

// startWindow bounds the number of starts in flight. The owner's processor or link may be slower than the fleet takes
// starts: without a bound, starts and the responses to polls queue up until they time out, and a start without a
// response blocks its task for longer than a start that is sent later.
//
// Load pattern: after a takeover or at the beginning of a burst, thousands of tasks wait and all upstreams are free.
type startWindow struct {
	limit    float64
	inFlight int
	// reducedAt is when limit was last reduced. Starts sent earlier say nothing about the present limit.
	reducedAt time.Duration
}

const (
	initialStartWindow = 256
	minStartWindow     = 16
	// slowResponse is the response time above which the window shrinks: a fraction of the timeout of a command.
	slowResponse = 150 * time.Millisecond
	// windowReduction is the factor by which the window shrinks, at most once for the starts of one window.
	windowReduction = 0.8
	// windowGrowth is by how much the window grows while as many starts as it allows are answered in time.
	windowGrowth = 16
)

// isOpen reports whether one more start may be planned.
func (w *startWindow) isOpen(planned int) bool { return float64(w.inFlight+planned) < w.limit }

// returned records that a start has returned. Its response time includes the time until the core handles it. A start
// without a response changes nothing: its upstream may be unreachable.
func (w *startWindow) returned(now, sentAt time.Duration, answered bool) {
	w.inFlight--
	switch {
	case !answered:
	case now-sentAt <= slowResponse:
		w.limit += windowGrowth / w.limit
	case sentAt >= w.reducedAt:
		w.limit = max(windowReduction*w.limit, minStartWindow)
		w.reducedAt = now
	}
}
