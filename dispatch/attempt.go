package dispatch

import (
	"time"

	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/routing"
	"citrongauge.example/citrongauge/upstream"
)

// maxReservationTTL and maxLeaseTTL are the times on this host's clock after which a reservation or a lease has
// definitely expired. They allow for an upstream's clock that runs slower by the maximum clock drift.
var (
	maxReservationTTL = control.WithClockDrift(upstream.ReservationTTL)
	maxLeaseTTL       = control.WithClockDrift(upstream.TaskLeaseTTL)
)

// attempt is one reservation on one upstream, and what is known about it.
type attempt struct {
	id        string
	selection routing.Selection

	reserveSent time.Time
	// reservationEnd is the time by which the reservation has definitely expired. It is set when Reserve succeeds.
	reservationEnd time.Time
	latency        time.Duration // of the successful Reserve

	firstStartSent time.Time
	startCalls     int // Start calls sent
	// noMoreStarts is set when no further Start may be sent: one was rejected or the reservation is being released.
	noMoreStarts bool

	running         bool // known to have been started
	startedAt       time.Time
	lastSeenRunning time.Time // last response that reported it as running
	renewSent       time.Time
	// leaseSetAt is the time of the last response that set the lease. renewalsUnanswered is the number of all renewals
	// without a response.
	leaseSetAt            time.Time
	renewalsUnanswered    int
	consecutiveUnanswered int // renewals without a response since the last one that got a response

	invalidResponses int
}

// leaseEnd returns the latest time at which the upstream can still run the attempt if no further renewal is sent. A
// renewal without a response may take effect once, at any time while the lease is valid, so each one adds a full lease.
// The last renewal that got a response may be delivered twice, which adds another lease.
func (a *attempt) leaseEnd() time.Time {
	if !a.running {
		return a.reservationEnd.Add(maxLeaseTTL)
	}
	leases := 1 + a.renewalsUnanswered
	if a.renewSent.After(a.startedAt) {
		leases++
	}
	return a.leaseSetAt.Add(time.Duration(leases) * maxLeaseTTL)
}

// giveUpAt returns the time after which an upstream that does not respond is considered lost.
func (a *attempt) giveUpAt() time.Time {
	last := a.lastSeenRunning
	if a.renewSent.After(last) {
		last = a.renewSent
	}
	return last.Add(maxLeaseTTL)
}

// bootedBefore reports whether an upstream has been up since before t. uptime comes from its status, received at now.
func bootedBefore(t time.Time, uptime time.Duration, now time.Time) bool {
	// The upstream's clock may run fast by up to the maximum clock drift, and so overstate its uptime.
	minUptime := time.Duration(float64(uptime) * float64(time.Second) / float64(control.WithClockDrift(time.Second)))
	return now.Add(-minUptime).Before(t)
}

// markRunning records a response that shows that the attempt has started.
func (a *attempt) markRunning(now time.Time) {
	a.lastSeenRunning = now
	if a.running {
		return
	}
	a.running = true
	a.startedAt, a.leaseSetAt, a.renewSent = now, now, now
}
