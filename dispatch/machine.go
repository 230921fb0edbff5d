package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/result"
	"citrongauge.example/citrongauge/routing"
	"citrongauge.example/citrongauge/upstream"
)

const (
	callTimeout   = 500 * time.Millisecond
	resultWait    = 2 * time.Second
	renewInterval = 3 * time.Second
	renewTimeout  = 2 * time.Second
	pollInterval  = 100 * time.Millisecond
	// settleTime is how long the truth is sought after a cancellation or the deadline.
	settleTime = 1 * time.Second

	maxRefusals   = 6 // attempts of one task that were proved not run
	maxRan        = 3 // attempts of one task that ran, or may have run, and gave no answer
	maxBadAnswers = 5 // answers that were cut short or of another attempt
	// maxUnanswered is the number of renewals that fit into one lease.
	maxUnanswered = 3

	backoffBase = 10 * time.Millisecond
	backoffMax  = 320 * time.Millisecond
)

// ErrRetryBudget is the answer to Pick when the retry budget is used up.
var ErrRetryBudget = errors.New("retry budget used up")

type phase int

const (
	phaseBegin phase = iota
	phaseAcquire
	phasePick
	phaseCheckReserve
	phaseReserve
	phaseCheckStart
	phaseStart
	phaseResolve // a Start was sent and its effect is not known
	phaseStatus
	phaseRelease
	phaseRun
	phaseStop
	phaseBackoff
	phaseDone
)

// cause is why the task is to end early.
type cause int

const (
	causeNone cause = iota
	causeCancel
	causeDeadline
)

// Machine decides the steps of one task. It is owned by one goroutine and does no input or output: Step takes an
// event and returns the effects to perform, in order.
type Machine struct {
	task  *Task
	newID func() string
	rng   *rand.Rand

	phase    phase
	cause    cause
	causedAt time.Time
	out      []Effect

	lastCall  uint64
	call      uint64 // outstanding call other than CallRenew, 0 if none
	renewCall uint64 // outstanding CallRenew, 0 if none
	wakeAt    time.Time

	slots   bool // slots are held for the current or the next attempt
	retry   bool // the next attempt takes a retry from the budget
	noted   bool // the first start was counted
	att     *attempt
	tried   []string // hosts that this task does not try again
	refused []string // hosts that are not tried until the next back-off

	refusals int
	backoffs int
	ran      int
	failedOn []string
	lastErr  error   // last refusal by the Gate or by routing
	prior    *Answer // outcome of the last attempt that ran or may have run
	times    Times
}

// NewMachine returns the machine of one task. newID returns a new random attempt ID at each call; rng is used for
// jitter.
func NewMachine(task *Task, newID func() string, rng *rand.Rand) *Machine {
	return &Machine{task: task, newID: newID, rng: rng, times: Times{Queue: task.Queued}}
}

// Step takes an event at a time and returns the effects to perform. Answers of calls that were superseded are
// ignored.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	if m.phase == phaseDone {
		return nil
	}
	m.out = nil
	if m.cause == causeNone && !now.Before(m.task.Deadline) {
		m.cause, m.causedAt = causeDeadline, now
	}
	m.handle(now, ev)
	m.act(now)
	return m.out
}

// NextWake returns the time at which the machine wants a Tick. It is zero if the machine only waits for answers.
func (m *Machine) NextWake() time.Time {
	var at time.Time
	sooner := func(t time.Time) {
		if at.IsZero() || t.Before(at) {
			at = t
		}
	}
	if m.cause == causeNone {
		sooner(m.task.Deadline)
	}
	switch m.phase {
	case phaseDone:
		return time.Time{}
	case phaseBackoff:
		sooner(m.wakeAt)
	case phaseRun:
		if m.renewCall == 0 && m.att.unanswered < maxUnanswered {
			sooner(m.att.renewSent.Add(renewInterval))
		}
		fallthrough
	case phaseResolve, phaseRelease, phaseStop:
		if m.call == 0 {
			sooner(m.wakeAt)
		}
	}
	return at
}

func (m *Machine) handle(now time.Time, ev Event) {
	switch e := ev.(type) {
	case Begin:
		if m.phase == phaseBegin {
			m.next(now)
		}
	case Cancel:
		if m.cause == causeNone {
			m.cause, m.causedAt = causeCancel, now
		}
	case Acquired:
		if m.phase == phaseAcquire {
			m.onAcquired(now, e.Err)
		}
	case Picked:
		if m.phase == phasePick {
			m.onPicked(now, e)
		}
	case Checked:
		m.onChecked(now, e.Err)
	case CallDone:
		m.onCall(now, e)
	}
}

// act makes the calls that are due, and interrupts waits that a cancellation or the deadline makes pointless.
func (m *Machine) act(now time.Time) {
	switch m.phase {
	case phaseBackoff:
		if m.cause != causeNone || !now.Before(m.wakeAt) {
			m.refused = nil
			m.next(now)
		}
	case phaseRun:
		if m.cause != causeNone {
			m.enter(now, phaseStop)
			return
		}
		m.renew(now)
		m.callIfDue(now)
	case phaseResolve, phaseRelease, phaseStop:
		m.callIfDue(now)
	}
}

// enter goes to a phase that makes calls until it has its answer, and makes the first.
func (m *Machine) enter(now time.Time, p phase) {
	m.phase, m.call, m.wakeAt = p, 0, now
	m.callIfDue(now)
}

func (m *Machine) callIfDue(now time.Time) {
	if m.call != 0 || now.Before(m.wakeAt) {
		return
	}
	switch m.phase {
	case phaseResolve:
		m.send(CallResult, callTimeout, 0)
	case phaseRelease:
		m.send(CallRelease, callTimeout, 0)
	case phaseRun:
		m.send(CallResult, resultWait+callTimeout, resultWait)
	case phaseStop:
		m.send(CallStop, callTimeout, 0)
	}
}

func (m *Machine) send(kind Kind, timeout, wait time.Duration) {
	m.lastCall++
	m.call = m.lastCall
	m.emit(Call{m.call, kind, m.att.candidate, m.att.id, timeout, wait})
}

func (m *Machine) renew(now time.Time) {
	a := m.att
	if m.renewCall != 0 || a.unanswered >= maxUnanswered || now.Before(a.renewSent.Add(renewInterval)) {
		return
	}
	a.renewSent = now
	a.renewalsLost++
	a.unanswered++
	m.lastCall++
	m.renewCall = m.lastCall
	m.emit(Call{m.renewCall, CallRenew, a.candidate, a.id, renewTimeout, 0})
}

func (m *Machine) emit(e Effect) { m.out = append(m.out, e) }

// next begins another attempt, or ends the task if it is to end.
func (m *Machine) next(now time.Time) {
	m.att, m.call, m.renewCall = nil, 0, 0
	switch {
	case m.cause != causeNone:
		m.finishNotRun()
	case !m.slots:
		m.phase = phaseAcquire
		m.emit(Acquire{})
	default:
		m.pick()
	}
}

func (m *Machine) pick() {
	m.phase = phasePick
	exclude := append(append([]string(nil), m.tried...), m.refused...)
	m.emit(Pick{Exclude: exclude, Retry: m.retry})
}

// again makes another attempt after one that was proved not run, or gives up after too many.
func (m *Machine) again(now time.Time) {
	m.refusals++
	if m.cause != causeNone || m.refusals < maxRefusals {
		m.backoff(now)
		return
	}
	m.giveUp()
}

func (m *Machine) giveUp() {
	if m.lastErr != nil {
		m.finishError(m.lastErr)
		return
	}
	m.finish(result.RetriesExhausted, "")
}

func (m *Machine) backoff(now time.Time) {
	m.att, m.call, m.renewCall = nil, 0, 0
	base := min(backoffMax, backoffBase<<min(m.backoffs, 10))
	m.backoffs++
	m.phase = phaseBackoff
	m.wakeAt = now.Add(base/2 + time.Duration(m.rng.Int64N(int64(base))))
}

// expired says whether an unknown outcome is to be answered as such now. Without a cancellation, a non-idempotent
// task is asked after until its deadline, an idempotent one until it may be tried elsewhere.
func (m *Machine) expired(now time.Time) bool {
	lapse := m.att.lapseBy
	switch {
	case m.cause != causeNone:
		by := m.causedAt
		if m.phase != phaseStop && lapse.After(by) {
			by = lapse
		}
		return !now.Before(by.Add(settleTime))
	case m.task.Idempotent:
		return !now.Before(lapse.Add(settleTime))
	default:
		return false
	}
}

func (m *Machine) endAttempt(outcome routing.Outcome, run time.Duration) {
	m.emit(EndAttempt{m.att.candidate, routing.Report{
		Outcome: outcome, Team: m.task.Team, Latency: m.att.latency, Run: run,
	}})
}

func (m *Machine) freeSlots(after time.Duration) {
	if m.slots {
		m.slots = false
		m.emit(FreeSlots{After: max(0, after)})
	}
}

func (m *Machine) finishNotRun() {
	if m.cause == causeDeadline {
		m.finish(result.DeadlinePassed, "")
		return
	}
	m.finish(result.CancelledBeforeRun, "")
}

func (m *Machine) finishError(err error) {
	var e *result.Error
	if !errors.As(err, &e) {
		m.finish(result.NoPermission, err.Error())
		return
	}
	m.finishAnswer(Answer{Code: e.Code, Detail: e.Detail, RetryAfter: e.RetryAfter})
}

func (m *Machine) finish(code result.Code, detail string) {
	m.finishAnswer(Answer{Code: code, Detail: detail})
}

// finishAnswer answers the caller. A code that says "not run" gives way to the outcome of an earlier attempt that
// ran or may have run.
func (m *Machine) finishAnswer(a Answer) {
	if m.prior != nil && result.Lookup(a.Code).Run == result.RunNo {
		a = *m.prior
	}
	if m.att != nil {
		a = m.at(a)
	}
	a.Times = m.times
	m.freeSlots(0)
	m.phase = phaseDone
	m.emit(Finish{a})
}

// at adds the place of the current attempt to an answer.
func (m *Machine) at(a Answer) Answer {
	if a.Upstream == "" {
		a.Upstream, a.Zone, a.AttemptID = m.att.candidate.Host, m.att.candidate.Zone, m.att.id
	}
	return a
}

func attemptOf(e CallDone, id string) (upstream.Attempt, error) {
	if e.Err == nil && e.Attempt.AttemptID != id {
		return upstream.Attempt{}, upstream.ErrMismatched
	}
	return e.Attempt, e.Err
}
