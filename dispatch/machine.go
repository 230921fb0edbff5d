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
	resultWait    = 2 * time.Second // server-side wait of a long poll for the result
	renewInterval = 3 * time.Second
	renewTimeout  = 2 * time.Second
	pollInterval  = 100 * time.Millisecond
	// resolveTimeout bounds how long an unknown outcome is still queried after a cancellation, the deadline or the
	// expiry of the reservation.
	resolveTimeout = 1 * time.Second

	maxNotRunAttempts   = 6 // attempts of one task that never ran, including those for which no upstream was found
	maxRanAttempts      = 3 // attempts of one task that ran, or may have run, without a result for the caller
	maxInvalidResponses = 5 // responses to one attempt that were truncated or belonged to another attempt
	// maxUnansweredRenewals is the number of consecutive renewals without a response after which no more are sent. It is
	// the number of renewal intervals that fit into one lease.
	maxUnansweredRenewals = 3

	backoffBase = 10 * time.Millisecond
	backoffMax  = 320 * time.Millisecond
)

// ErrRetryBudget is the result of Pick when the retry budget is exhausted.
var ErrRetryBudget = errors.New("retry budget used up")

type phase int

const (
	phaseBegin phase = iota
	phaseAcquire
	phasePick
	phaseCheckBeforeReserve
	phaseReserve
	phaseCheckBeforeStart
	phaseStart
	phaseResolve // a Start was sent and its effect is unknown
	phaseStatus
	phaseRelease
	phaseRun
	phaseStop
	phaseBackoff
	phaseDone
)

// abortCause is the reason why the task ends early.
type abortCause int

const (
	abortNone abortCause = iota
	abortCancelled
	abortDeadline
)

// StateMachine decides the steps of one task. It is owned by one goroutine and performs no I/O: Step takes an event and
// returns the effects to perform, in order.
type StateMachine struct {
	task  *Task
	newID func() string
	rng   *rand.Rand

	phase      phase
	abortCause abortCause
	abortedAt  time.Time
	effects    []Effect

	lastCallID  uint64
	callID      uint64 // outstanding call other than CallRenew, 0 if none
	renewCallID uint64 // outstanding CallRenew, 0 if none
	wakeAt      time.Time

	holdsSlots           bool // slots are held for the current or next attempt
	nextIsRetry          bool // the next attempt must take a retry from the budget
	startRecorded        bool // the first start was counted in the retry budget
	att                  *attempt
	excluded             []string // hosts that are not tried again for this task
	excludedUntilBackoff []string // hosts that are not tried until the next backoff has passed

	notRunAttempts int
	backoffs       int
	ranAttempts    int
	failedOn       []string // hosts on which the task itself failed
	lastErr        error    // last rejection by the Gate or by routing
	priorAnswer    *Answer  // outcome of the latest attempt that ran or may have run
	times          StepTimes
}

// NewStateMachine returns the state machine of one task. newID returns a new random attempt ID on each call; rng adds
// jitter to the backoff.
func NewStateMachine(task *Task, newID func() string, rng *rand.Rand) *StateMachine {
	return &StateMachine{task: task, newID: newID, rng: rng, times: StepTimes{Queue: task.QueueTime}}
}

// Step handles an event at the given time and returns the effects to perform. Results of superseded calls are ignored.
func (m *StateMachine) Step(now time.Time, ev Event) []Effect {
	if m.phase == phaseDone {
		return nil
	}
	m.effects = nil
	if m.abortCause == abortNone && !now.Before(m.task.Deadline) {
		m.abortCause, m.abortedAt = abortDeadline, now
	}
	m.handle(now, ev)
	m.advance(now)
	return m.effects
}

// NextWake returns the time at which the state machine needs a Tick, or zero if it waits only for results of effects.
func (m *StateMachine) NextWake() time.Time {
	var at time.Time
	sooner := func(t time.Time) {
		if at.IsZero() || t.Before(at) {
			at = t
		}
	}
	if m.abortCause == abortNone {
		sooner(m.task.Deadline)
	}
	switch m.phase {
	case phaseDone:
		return time.Time{}
	case phaseBackoff:
		sooner(m.wakeAt)
	case phaseRun:
		if m.renewCallID == 0 && m.att.consecutiveUnanswered < maxUnansweredRenewals {
			sooner(m.att.renewSent.Add(renewInterval))
		}
		fallthrough
	case phaseResolve, phaseRelease, phaseStop:
		if m.callID == 0 {
			sooner(m.wakeAt)
		}
	}
	return at
}

func (m *StateMachine) handle(now time.Time, ev Event) {
	switch e := ev.(type) {
	case Begin:
		if m.phase == phaseBegin {
			m.nextAttempt(now)
		}
	case Cancel:
		if m.abortCause == abortNone {
			m.abortCause, m.abortedAt = abortCancelled, now
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
		m.onCallDone(now, e)
	}
}

// advance sends the calls that are due. After a cancellation or the deadline it also ends the backoff and stops a
// running task.
func (m *StateMachine) advance(now time.Time) {
	switch m.phase {
	case phaseBackoff:
		if m.abortCause != abortNone || !now.Before(m.wakeAt) {
			m.excludedUntilBackoff = nil
			m.nextAttempt(now)
		}
	case phaseRun:
		if m.abortCause != abortNone {
			m.enterPhase(now, phaseStop)
			return
		}
		m.renew(now)
		m.callIfDue(now)
	case phaseResolve, phaseRelease, phaseStop:
		m.callIfDue(now)
	}
}

// enterPhase switches to a phase that repeats its call until it gets a conclusive response, and sends the first call.
func (m *StateMachine) enterPhase(now time.Time, p phase) {
	m.phase, m.callID, m.wakeAt = p, 0, now
	m.callIfDue(now)
}

func (m *StateMachine) callIfDue(now time.Time) {
	if m.callID != 0 || now.Before(m.wakeAt) {
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

func (m *StateMachine) send(kind CallKind, timeout, wait time.Duration) {
	m.lastCallID++
	m.callID = m.lastCallID
	m.emit(Call{m.callID, kind, m.att.selection, m.att.id, timeout, wait})
}

func (m *StateMachine) renew(now time.Time) {
	a := m.att
	if m.renewCallID != 0 || a.consecutiveUnanswered >= maxUnansweredRenewals ||
		now.Before(a.renewSent.Add(renewInterval)) {
		return
	}
	a.renewSent = now
	a.renewalsUnanswered++
	a.consecutiveUnanswered++
	m.lastCallID++
	m.renewCallID = m.lastCallID
	m.emit(Call{m.renewCallID, CallRenew, a.selection, a.id, renewTimeout, 0})
}

func (m *StateMachine) emit(e Effect) { m.effects = append(m.effects, e) }

// nextAttempt begins another attempt, or finishes the task if it was cancelled or its deadline has passed.
func (m *StateMachine) nextAttempt(now time.Time) {
	m.att, m.callID, m.renewCallID = nil, 0, 0
	switch {
	case m.abortCause != abortNone:
		m.finishNotRun()
	case !m.holdsSlots:
		m.phase = phaseAcquire
		m.emit(Acquire{})
	default:
		m.pick()
	}
}

func (m *StateMachine) pick() {
	m.phase = phasePick
	exclude := append(append([]string(nil), m.excluded...), m.excludedUntilBackoff...)
	m.emit(Pick{Exclude: exclude, Retry: m.nextIsRetry})
}

// retryOrGiveUp schedules another attempt after one that was proved not to have run, or gives up after
// maxNotRunAttempts.
func (m *StateMachine) retryOrGiveUp(now time.Time) {
	m.notRunAttempts++
	if m.abortCause != abortNone || m.notRunAttempts < maxNotRunAttempts {
		m.backoff(now)
		return
	}
	m.giveUp()
}

func (m *StateMachine) giveUp() {
	if m.lastErr != nil {
		m.finishError(m.lastErr)
		return
	}
	m.finish(result.RetriesExhausted, "")
}

func (m *StateMachine) backoff(now time.Time) {
	m.att, m.callID, m.renewCallID = nil, 0, 0
	base := min(backoffMax, backoffBase<<min(m.backoffs, 10))
	m.backoffs++
	m.phase = phaseBackoff
	m.wakeAt = now.Add(base/2 + time.Duration(m.rng.Int64N(int64(base))))
}

// outcomeTimedOut reports whether an outcome that is still unknown is now to be returned as unknown. Before a
// cancellation or the deadline, the upstream is queried without a time limit for a non-idempotent task, and only until
// resolveTimeout after the reservation expired for an idempotent one, which can then be tried on another upstream.
func (m *StateMachine) outcomeTimedOut(now time.Time) bool {
	expiry := m.att.reservationEnd
	switch {
	case m.abortCause != abortNone:
		timeoutStart := m.abortedAt
		if m.phase != phaseStop && expiry.After(timeoutStart) {
			timeoutStart = expiry
		}
		return !now.Before(timeoutStart.Add(resolveTimeout))
	case m.task.Idempotent:
		return !now.Before(expiry.Add(resolveTimeout))
	default:
		return false
	}
}

func (m *StateMachine) endAttempt(outcome routing.Outcome, run time.Duration) {
	m.emit(EndAttempt{m.att.selection, routing.Report{
		Outcome: outcome, Team: m.task.Team, Latency: m.att.latency, RunTime: run,
	}})
}

func (m *StateMachine) releaseSlots(after time.Duration) {
	if m.holdsSlots {
		m.holdsSlots = false
		m.emit(ReleaseSlots{After: max(0, after)})
	}
}

func (m *StateMachine) finishNotRun() {
	if m.abortCause == abortDeadline {
		m.finish(result.DeadlinePassed, "")
		return
	}
	m.finish(result.CancelledBeforeRun, "")
}

func (m *StateMachine) finishError(err error) {
	var e *result.Error
	if !errors.As(err, &e) {
		m.finish(result.NoPermission, err.Error())
		return
	}
	m.finishAnswer(Answer{Code: e.Code, Detail: e.Detail, RetryAfter: e.RetryAfter})
}

func (m *StateMachine) finish(code result.Code, detail string) {
	m.finishAnswer(Answer{Code: code, Detail: detail})
}

// finishAnswer returns the answer to the caller. If an earlier attempt ran or may have run, its outcome replaces a code
// that says that the task was not run.
func (m *StateMachine) finishAnswer(a Answer) {
	if m.priorAnswer != nil && result.Lookup(a.Code).Run == result.RunNo {
		a = *m.priorAnswer
	}
	if m.att != nil {
		a = m.withLocation(a)
	}
	a.Times = m.times
	m.releaseSlots(0)
	m.phase = phaseDone
	m.emit(Finish{a})
}

// withLocation adds the upstream, zone and ID of the current attempt to an answer that has none.
func (m *StateMachine) withLocation(a Answer) Answer {
	if a.Upstream == "" {
		a.Upstream, a.Zone, a.AttemptID = m.att.selection.Host, m.att.selection.Zone, m.att.id
	}
	return a
}

// matchedAttempt returns the attempt in a response, or ErrMismatched if it is not the attempt with the given ID.
func matchedAttempt(e CallDone, id string) (upstream.Attempt, error) {
	if e.Err == nil && e.Attempt.AttemptID != id {
		return upstream.Attempt{}, upstream.ErrMismatched
	}
	return e.Attempt, e.Err
}
