package dispatch

import (
	"time"

	"citrongauge.example/citrongauge/upstream"
)

const fakeSlots = 4

// fakeUpstream has the protocol's semantics: reservations and leases lapse on its own clock, a request ID starts
// once, and a restart forgets everything.
type fakeUpstream struct {
	w          *world
	rate       float64 // real time for one second of its clock
	bootedAt   time.Time
	boots      int
	frozen     time.Time
	leaving    bool
	failing    bool // fails every task at once
	forgets    bool // answers "not found" for lapsed reservations
	runTime    time.Duration
	attempts   map[string]*fakeAttempt
	requestIDs map[string]bool // started
}

type fakeAttempt struct {
	task      *simTask
	requestID string
	state     upstream.State
	until     time.Time // end of the reservation or of the lease
	endAt     time.Time
}

func newFakeUpstream(w *world) *fakeUpstream {
	u := &fakeUpstream{w: w, rate: 0.9524 + w.rng.Float64()*0.0975, forgets: w.chance(0.3), runTime: time.Second}
	u.kill(0)
	u.bootedAt = w.now.Add(-w.upTo(time.Hour))
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
		switch {
		case u.boots != boots || u.w.now.Before(u.bootedAt):
		case u.w.now.Before(u.frozen):
			u.w.at(u.frozen, arrive)
		default:
			u.take(t, c, answer)
		}
	}
	u.w.after(delay, arrive)
}

func (u *fakeUpstream) take(t *simTask, c Call, answer func(CallDone)) {
	if a := u.attempts[c.AttemptID]; c.Kind == CallResult && c.Wait > 0 && a != nil &&
		u.settle(a).state == upstream.StateRunning {
		wait := min(c.Wait, max(0, a.endAt.Sub(u.w.now)), max(0, a.until.Sub(u.w.now)))
		c.Wait = 0
		u.deliver(t, c, wait, answer)
		return
	}
	answer(u.handle(t, c))
}

func (u *fakeUpstream) handle(t *simTask, c Call) CallDone {
	d := CallDone{ID: c.ID}
	a := u.attempts[c.AttemptID]
	if a != nil {
		u.settle(a)
	}
	switch {
	case c.Kind == CallStatus:
		d.Status.Uptime = time.Duration(float64(u.w.now.Sub(u.bootedAt)) / u.rate)
		return d
	case c.Kind == CallReserve:
		if d.Err = u.reserve(t, c, a); d.Err != nil {
			u.w.refusals++
		}
		return d
	case a == nil && c.Kind == CallRenew:
		d.Unknown = []string{c.AttemptID}
		return d
	case a == nil:
		d.Err = upstream.ErrAttemptNotFound
		return d
	}
	switch c.Kind {
	case CallStart:
		d.Err = u.start(a)
	case CallRelease:
		if a.state == upstream.StateReserved {
			a.state = upstream.StateLapsed
		}
	case CallRenew:
		if a.state == upstream.StateRunning {
			a.until = u.clock(upstream.TaskLeaseTTL)
		} else {
			d.Unknown = []string{c.AttemptID}
		}
	case CallStop:
		if a.state == upstream.StateRunning {
			a.state = upstream.StateStopped
		}
		d.Attempt = a.report(c.AttemptID)
	case CallResult:
		d.Attempt = a.report(c.AttemptID)
		if a.state == upstream.StateLapsed && u.forgets {
			d.Attempt, d.Err = upstream.Attempt{}, upstream.ErrAttemptNotFound
		}
	}
	return d
}

func (a *fakeAttempt) report(id string) upstream.Attempt {
	r := upstream.Attempt{AttemptID: id, State: a.state}
	if a.state == upstream.StateDone {
		r.Answer = []byte("answer to " + string(a.task.Payload))
	}
	return r
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
	u.attempts[c.AttemptID] = &fakeAttempt{
		task: t, requestID: t.RequestID, state: upstream.StateReserved, until: u.clock(upstream.ReservationTTL),
	}
	return nil
}

func (u *fakeUpstream) start(a *fakeAttempt) error {
	switch {
	case a.state == upstream.StateLapsed:
		return upstream.ErrLapsed
	case a.state != upstream.StateReserved:
		return nil // a repeat
	case a.requestID != "" && u.requestIDs[a.requestID]:
		return upstream.ErrDuplicate
	}
	w := u.w
	u.requestIDs[a.requestID] = true
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
