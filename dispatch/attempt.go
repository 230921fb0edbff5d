package dispatch

import (
	"time"

	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/routing"
	"citrongauge.example/citrongauge/upstream"
)

var (
	reservationWait = control.Stretch(upstream.ReservationTTL)
	leaseWait       = control.Stretch(upstream.TaskLeaseTTL)
)

// attempt is one reservation at one upstream and what is known of it.
type attempt struct {
	id        string
	candidate routing.Candidate

	reserveSent time.Time
	// lapseBy is the time at which the reservation has lapsed for certain; set when Reserve was answered.
	lapseBy time.Time
	latency time.Duration

	startSent time.Time // of the first Start
	starts    int       // Start calls sent
	// noStart: no further Start is sent, because one was refused or the reservation is being released.
	noStart bool

	running   bool // known to have been started
	startedAt time.Time
	contactAt time.Time // last answer that said that it runs
	renewSent time.Time
	// leaseAt is the time of the last answer that set the lease. renewalsLost is the number of renewals without
	// an answer.
	leaseAt      time.Time
	renewalsLost int
	unanswered   int // renewals without an answer since the last answered one

	badAnswers int
}

// leaseEnd is the latest time at which the upstream can still run the attempt if no further renewal is sent. A
// renewal whose answer was lost may take effect at any time while the lease holds, and each may do so once, so each
// adds a whole lease. The last answered renewal may be delivered a second time, which adds another.
func (a *attempt) leaseEnd() time.Time {
	if !a.running {
		return a.lapseBy.Add(leaseWait)
	}
	leases := 1 + a.renewalsLost
	if a.renewSent.After(a.startedAt) {
		leases++
	}
	return a.leaseAt.Add(time.Duration(leases) * leaseWait)
}

// lostAt is the time after which an upstream that does not answer is given up.
func (a *attempt) lostAt() time.Time {
	last := a.contactAt
	if a.renewSent.After(last) {
		last = a.renewSent
	}
	return last.Add(leaseWait)
}

// bootedBefore says whether the upstream, whose status arrived at now, has been up since before t.
func bootedBefore(t time.Time, uptime time.Duration, now time.Time) bool {
	// The upstream's clock may be fast by the clock error bound.
	certain := time.Duration(float64(uptime) * float64(time.Second) / float64(control.Stretch(time.Second)))
	return now.Add(-certain).Before(t)
}

func (a *attempt) noteRunning(now time.Time) {
	a.contactAt = now
	if a.running {
		return
	}
	a.running = true
	a.startedAt, a.leaseAt, a.renewSent = now, now, now
}
