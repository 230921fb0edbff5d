package dispatch

import (
	"time"

	"citrongauge.example/citrongauge/upstream"
)

const fakeSlots = 4

// fakeUpstream implements the semantics of the protocol: reservations and leases expire on its own clock, a request ID
// is started once, and a restart loses all state.
type fakeUpstream struct {
	sim                   *simulation
	clockRate             float64 // simulated seconds per second of its own clock, within the maximum clock drift of 5%
	boots                 int
	bootedAt, frozenUntil time.Time // calls that arrive before frozenUntil are handled then
	leaving, failing      bool      // failing: each task fails as soon as it starts
	forgetsExpired        bool      // Result returns "not found" for expired reservations
	runTime               time.Duration
	attempts              map[string]*fakeAttempt
	requestIDs            map[string]bool // those that were started
}

type fakeAttempt struct {
	task             *simTask
	state            upstream.State
	expiresAt, endAt time.Time // expiresAt: end of the reservation or of the lease
}

func newFakeUpstream(sim *simulation) *fakeUpstream {
	u := &fakeUpstream{
		sim: sim, clockRate: 0.9524 + sim.rng.Float64()*0.0975, forgetsExpired: sim.rng.IntN(3) == 0,
		runTime: time.Second,
	}
	u.crash(-sim.randomDuration(time.Hour)) // only to set a start time before the start of the simulation
	return u
}

// crash stops the upstream and restarts it after the given time. All its state is lost.
func (u *fakeUpstream) crash(down time.Duration) {
	u.attempts, u.requestIDs = map[string]*fakeAttempt{}, map[string]bool{}
	u.boots++
	u.bootedAt = u.sim.now.Add(down)
}

// realTimeAfter returns the simulated time at which d will have passed on the upstream's clock.
func (u *fakeUpstream) realTimeAfter(d time.Duration) time.Time {
	return u.sim.now.Add(time.Duration(float64(d) * u.clockRate))
}

// updateState applies to an attempt the changes of state that are due by now.
func (u *fakeUpstream) updateState(a *fakeAttempt) *fakeAttempt {
	now := u.sim.now
	switch {
	case a.state == upstream.StateReserved && !now.Before(a.expiresAt):
		a.state = upstream.StateExpired
	case a.state == upstream.StateRunning && !now.Before(a.endAt) && !a.endAt.After(a.expiresAt):
		a.state = upstream.StateDone
		if u.failing {
			a.state = upstream.StateFailed
		}
	case a.state == upstream.StateRunning && !now.Before(a.expiresAt):
		a.state = upstream.StateLeaseExpired
	}
	return a
}

// deliver delivers a call to the upstream after a delay. A restart drops the call, as it would break the connection; a
// frozen upstream handles it when it resumes.
func (u *fakeUpstream) deliver(t *simTask, c Call, delay time.Duration, respond func(CallDone)) {
	boots := u.boots
	var arrive func()
	arrive = func() {
		a := u.attempts[c.AttemptID]
		switch {
		case u.boots != boots || u.sim.now.Before(u.bootedAt):
		case u.sim.now.Before(u.frozenUntil):
			u.sim.at(u.frozenUntil, arrive)
		case c.Wait > 0 && a != nil && u.updateState(a).state == upstream.StateRunning:
			wait := min(c.Wait, a.endAt.Sub(u.sim.now), a.expiresAt.Sub(u.sim.now))
			c.Wait = 0
			u.sim.after(max(0, wait), arrive)
		default:
			respond(u.handle(t, c, a))
		}
	}
	u.sim.after(delay, arrive)
}

func (u *fakeUpstream) handle(t *simTask, c Call, a *fakeAttempt) CallDone {
	d := CallDone{ID: c.ID}
	running := a != nil && u.updateState(a).state == upstream.StateRunning
	switch {
	case c.Kind == CallStatus:
		d.Status.Uptime = time.Duration(float64(u.sim.now.Sub(u.bootedAt)) / u.clockRate)
	case c.Kind == CallReserve:
		if d.Err = u.reserve(t, c, a); d.Err != nil {
			u.sim.reserveRejections++
		}
	case c.Kind == CallRenew && running:
		a.expiresAt = u.realTimeAfter(upstream.TaskLeaseTTL)
	case c.Kind == CallRenew:
		d.UnknownAttempts = []string{c.AttemptID}
	case a == nil, c.Kind == CallResult && a.state == upstream.StateExpired && u.forgetsExpired:
		d.Err = upstream.ErrAttemptNotFound
	case c.Kind == CallStart:
		d.Err = u.start(a)
	case c.Kind == CallRelease && a.state == upstream.StateReserved:
		a.state = upstream.StateExpired
	case c.Kind == CallStop && running:
		a.state = upstream.StateStopped
	}
	if a != nil && d.Err == nil {
		d.Attempt = upstream.Attempt{AttemptID: c.AttemptID, State: a.state}
		if a.state == upstream.StateDone {
			d.Attempt.Answer = []byte("answer to " + string(a.task.Payload))
		}
	}
	return d
}

func (u *fakeUpstream) reserve(t *simTask, c Call, a *fakeAttempt) error {
	busy := 0
	for _, a := range u.attempts {
		if s := u.updateState(a).state; s == upstream.StateReserved || s == upstream.StateRunning {
			busy++
		}
	}
	switch {
	case a != nil && a.state == upstream.StateReserved:
		return nil // a repeated call
	case a != nil:
		return upstream.ErrReservationExpired
	case u.leaving:
		return upstream.ErrLeaving
	case t.RequestID != "" && u.requestIDs[t.RequestID]:
		return upstream.ErrDuplicate
	case busy >= fakeSlots:
		return upstream.ErrFull
	}
	expiresAt := u.realTimeAfter(upstream.ReservationTTL)
	u.attempts[c.AttemptID] = &fakeAttempt{task: t, state: upstream.StateReserved, expiresAt: expiresAt}
	return nil
}

func (u *fakeUpstream) start(a *fakeAttempt) error {
	switch {
	case a.state == upstream.StateExpired:
		return upstream.ErrReservationExpired
	case a.state != upstream.StateReserved:
		return nil // a repeated call
	case a.task.RequestID != "" && u.requestIDs[a.task.RequestID]:
		return upstream.ErrDuplicate
	}
	sim := u.sim
	u.requestIDs[a.task.RequestID] = true
	a.state, a.expiresAt, a.endAt =
		upstream.StateRunning, u.realTimeAfter(upstream.TaskLeaseTTL), sim.now.Add(u.runTime)
	if u.failing {
		a.endAt = sim.now
	}
	a.task.executions++
	if !a.task.Idempotent && a.task.executions > 1 {
		sim.fail("task %d was started twice", a.task.n)
	}
	if !sim.gateClosedAt.IsZero() && sim.now.After(sim.gateClosedAt.Add(maxReservationTTL)) {
		sim.fail("task %d was started %v after the gate closed", a.task.n, sim.now.Sub(sim.gateClosedAt))
	}
	return nil
}
