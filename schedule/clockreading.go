package schedule

import "time"

// clockReading is an upstream's clock as a response has shown it. Since then it has advanced by the elapsed time or by up to
// 2% less.
type clockReading struct {
	ms      int64
	askedAt time.Duration // when the call was sent: the clock was not read before
	readAt  time.Duration // when the response was received: the clock was not read later; 0: there is no reading
}

// clockTolerance is how far a clock may be from the bounds of the life's clock, for rounding and the difference of two clocks' rates.
const clockTolerance = 100 * time.Millisecond

// estimate returns a lower bound of the clock at a time.
func (r clockReading) estimate(now time.Duration) int64 {
	return r.ms + int64(minClockRate*float64((now-r.readAt).Milliseconds()))
}

// agrees reports whether the clock in the response, received now, to a call that was sent at sentAt can be the same clock.
func (r clockReading) agrees(ms int64, sentAt, now time.Duration) bool {
	if ms == 0 || r.readAt == 0 {
		return true
	}
	least := r.ms - (r.readAt - sentAt).Milliseconds()
	if sentAt > r.readAt {
		least = r.estimate(sentAt)
	}
	most := r.ms + (now - r.askedAt).Milliseconds()
	tolerance := clockTolerance.Milliseconds()
	return least-tolerance <= ms && ms <= most+tolerance
}
