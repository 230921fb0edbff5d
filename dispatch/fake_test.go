package dispatch

import (
	"time"

	"citrongauge.example/citrongauge/upstream"
)

const fakeSlots = 4

// fakeUpstream has the protocol's semantics: reservations and leases lapse on its own clock, a request ID starts
// once, and a restart forgets everything.
type fakeUpstream struct {
	w                *world
	rate             float64 // real time for one second of its clock
	boots            int
	bootedAt, frozen time.Time // frozen until then
	leaving, failing bool      // failing: fails every task at once
	forgets          bool      // answers "not found" for lapsed reservations
	runTime          time.Duration
	attempts         map[string]*fakeAttempt
	requestIDs       map[string]bool // started
}

type fakeAttempt struct {
	task         *simTask
	state        upstream.State
	until, endAt time.Time // until: end of the reservation or of the lease
}

func newFakeUpstream(w *world) *fakeUpstream {
	u := &fakeUpstream{w: w, rate: 0.9524 + w.rng.Float64()*0.0975, forgets: w.rng.IntN(3) == 0, runTime: time.Second}
	u.kill(-w.upTo(time.Hour))
	return u
}

// kill stops the upstream and restarts it, without memory, after a time.
func (u *fakeUpstream) kill(down time.Duration) {
	u.attempts, u.requestIDs = map[string]*fakeAttempt{}, map[string]bool{}
	u.boots++
	u.bootedAt = u.w.now.Add(down)
}

func (u *fakeUpstream) clock(d time.Duration) time.Time {
	return u.w.now.Add(time.Duration(float64(d) * u.rate))
}

// settle brings an attempt's state up to date.
func (u *fakeUpstream) settle(a *fakeAttempt) *fakeAttempt {
	now := u.w.now
	switch {
	case a.state == upstream.StateReserved && !now.Before(a.until):
		a.state = upstream.StateLapsed
	case a.state == upstream.StateRunning && !now.Before(a.endAt) && !a.endAt.After(a.until):
		a.state = upstream.StateDone
		if u.failing {
			a.state = upstream.StateFailed
		}
	case a.state == upstream.StateRunning && !now.Before(a.until):
		a.state = upstream.StateLeaseLapsed
	}
	return a
}

// deliver brings a call to the upstream after a delay. A call does not survive a restart, as its connection does
// not; a frozen upstream takes it when it goes on.
func (u *fakeUpstream) deliver(t *simTask, c Call, delay time.Duration, answer func(CallDone)) {
	boots := u.boots
	var arrive func()
	arrive = func() {
		a := u.attempts[c.AttemptID]
		switch {
		case u.boots != boots || u.w.now.Before(u.bootedAt):
		case u.w.now.Before(u.frozen):
			u.w.at(u.frozen, arrive)
		case c.Wait > 0 && a != nil && u.settle(a).state == upstream.StateRunning:
			wait := min(c.Wait, a.endAt.Sub(u.w.now), a.until.Sub(u.w.now))
			c.Wait = 0
			u.w.after(max(0, wait), arrive)
		default:
			answer(u.handle(t, c, a))
		}
	}
	u.w.after(delay, arrive)
}

func (u *fakeUpstream) handle(t *simTask, c Call, a *fakeAttempt) CallDone {
	d := CallDone{ID: c.ID}
	running := a != nil && u.settle(a).state == upstream.StateRunning
	switch {
	case c.Kind == CallStatus:
		d.Status.Uptime = time.Duration(float64(u.w.now.Sub(u.bootedAt)) / u.rate)
	case c.Kind == CallReserve:
		if d.Err = u.reserve(t, c, a); d.Err != nil {
			u.w.refusals++
		}
	case c.Kind == CallRenew && running:
		a.until = u.clock(upstream.TaskLeaseTTL)
	case c.Kind == CallRenew:
		d.Unknown = []string{c.AttemptID}
	case a == nil, c.Kind == CallResult && a.state == upstream.StateLapsed && u.forgets:
		d.Err = upstream.ErrAttemptNotFound
	case c.Kind == CallStart:
		d.Err = u.start(a)
	case c.Kind == CallRelease && a.state == upstream.StateReserved:
		a.state = upstream.StateLapsed
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
		if s := u.settle(a).state; s == upstream.StateReserved || s == upstream.StateRunning {
			busy++
		}
	}
	switch {
	case a != nil && a.state == upstream.StateReserved:
		return nil // a repeat
	case a != nil:
		return upstream.ErrLapsed
	case u.leaving:
		return upstream.ErrLeaving
	case t.RequestID != "" && u.requestIDs[t.RequestID]:
		return upstream.ErrDuplicate
	case busy >= fakeSlots:
		return upstream.ErrFull
	}
	until := u.clock(upstream.ReservationTTL)
	u.attempts[c.AttemptID] = &fakeAttempt{task: t, state: upstream.StateReserved, until: until}
	return nil
}

func (u *fakeUpstream) start(a *fakeAttempt) error {
	switch {
	case a.state == upstream.StateLapsed:
		return upstream.ErrLapsed
	case a.state != upstream.StateReserved:
		return nil // a repeat
	case a.task.RequestID != "" && u.requestIDs[a.task.RequestID]:
		return upstream.ErrDuplicate
	}
	w := u.w
	u.requestIDs[a.task.RequestID] = true
	a.state, a.until, a.endAt = upstream.StateRunning, u.clock(upstream.TaskLeaseTTL), w.now.Add(u.runTime)
	if u.failing {
		a.endAt = w.now
	}
	a.task.executions++
	if !a.task.Idempotent && a.task.executions > 1 {
		w.fail("task %d was started twice", a.task.n)
	}
	if !w.gateShut.IsZero() && w.now.After(w.gateShut.Add(reservationWait)) {
		w.fail("task %d was started %v after the gate was shut", a.task.n, w.now.Sub(w.gateShut))
	}
	return nil
}
