package dispatch

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/result"
	"citrongauge.example/citrongauge/routing"
	"citrongauge.example/citrongauge/upstream"
)

func (m *Machine) onAcquired(now time.Time, err error) {
	switch {
	case err == nil:
		m.slots = true
		m.next(now)
	case errors.Is(err, ErrNoSlots):
		m.backoff(now)
	default:
		m.finishError(err)
	}
}

func (m *Machine) onPicked(now time.Time, e Picked) {
	if errors.Is(e.Err, ErrRetryBudget) {
		m.finish(result.RetriesExhausted, "retry budget used up")
		return
	}
	if e.Err != nil {
		m.lastErr = e.Err
		m.again(now)
		return
	}
	m.retry = false
	m.att = &attempt{id: m.newID(), candidate: e.Candidate}
	m.phase = phaseCheckReserve
	m.emit(Check{e.Candidate.Host})
}

func (m *Machine) onChecked(now time.Time, err error) {
	switch m.phase {
	case phaseCheckReserve:
		if err != nil || m.cause != causeNone {
			m.endAttempt(routing.Neutral, 0)
			m.refusedByGate(now, err)
			return
		}
		m.phase = phaseReserve
		m.att.reserveSent = now
		m.send(CallReserve, callTimeout, 0)
	case phaseCheckStart:
		if err != nil || m.cause != causeNone {
			m.lastErr = err
			m.att.noStart = true
			m.enter(now, phaseRelease)
			return
		}
		m.start(now)
	}
}

// refusedByGate goes on after the Gate has refused an attempt that never runs.
func (m *Machine) refusedByGate(now time.Time, err error) {
	switch {
	case m.cause != causeNone || err == nil:
		m.next(now)
	case otherUpstreamMayDo(err):
		m.lastErr = err
		m.passOver(m.att)
		m.again(now)
	default:
		m.finishError(err)
	}
}

// passOver keeps the next attempt off the host of a. A host that has seen the request ID may refuse it for good, so
// it is not tried again at all.
func (m *Machine) passOver(a *attempt) {
	if a.lapseBy.IsZero() {
		m.refused = append(m.refused, a.candidate.Host)
		return
	}
	m.tried = append(m.tried, a.candidate.Host)
}

func otherUpstreamMayDo(err error) bool {
	var e *result.Error
	return errors.As(err, &e) && (e.Code == result.ZoneOutOfService || e.Code == result.NoUpstream)
}

func (m *Machine) start(now time.Time) {
	if !m.noted {
		m.noted = true
		m.emit(NoteStart{})
	}
	a := m.att
	if a.starts == 0 {
		a.startSent = now
	}
	a.starts++
	m.phase = phaseStart
	m.send(CallStart, callTimeout, 0)
}

func (m *Machine) onCall(now time.Time, e CallDone) {
	switch {
	case e.ID == 0:
	case e.ID == m.renewCall:
		m.renewCall = 0
		m.onRenew(now, e)
	case e.ID == m.call:
		m.call = 0
		m.onMain(now, e)
	}
}

func (m *Machine) onMain(now time.Time, e CallDone) {
	switch m.phase {
	case phaseReserve:
		m.onReserve(now, e.Err)
	case phaseStart:
		m.onStart(now, e.Err)
	case phaseResolve:
		m.onResolve(now, e)
	case phaseStatus:
		m.onStatus(now, e)
	case phaseRelease:
		m.onRelease(now, e.Err)
	case phaseRun:
		m.onResult(now, e)
	case phaseStop:
		m.onStop(now, e)
	}
}

func (m *Machine) onRenew(now time.Time, e CallDone) {
	if e.Err != nil || m.att == nil {
		return
	}
	m.att.renewalsLost--
	m.att.unanswered = 0
	if !slices.Contains(e.Unknown, m.att.id) {
		m.att.leaseAt = now
	}
}

// refusalOf says whether err is the certain answer of the upstream that it did not do what was asked, and what it
// says of the upstream.
func refusalOf(err error) (routing.Outcome, bool) {
	switch {
	case errors.Is(err, upstream.ErrFull):
		return routing.Full, true
	case errors.Is(err, upstream.ErrLeaving):
		return routing.Leaving, true
	case errors.Is(err, upstream.ErrStaleEpoch), errors.Is(err, upstream.ErrLapsed),
		errors.Is(err, upstream.ErrDuplicate), errors.Is(err, upstream.ErrAttemptNotFound):
		return routing.Neutral, true
	default:
		return routing.Unreachable, false
	}
}

func (m *Machine) onReserve(now time.Time, err error) {
	a := m.att
	m.times.Reserve = now.Sub(a.reserveSent)
	m.lastErr = nil
	if err == nil {
		a.latency = m.times.Reserve
		a.lapseBy = now.Add(reservationWait)
		m.phase = phaseCheckStart
		m.emit(Check{a.candidate.Host})
		return
	}
	outcome, certain := refusalOf(err)
	m.endAttempt(outcome, 0)
	switch {
	case errors.Is(err, upstream.ErrDuplicate):
		// Another entry host has fenced or started the request, so its outcome is not known here.
		m.finish(result.OwnerLost, "the request ID was used at the upstream before")
		return
	case certain:
		m.refused = append(m.refused, a.candidate.Host)
	default:
		m.freeSlots(reservationWait)
		m.tried = append(m.tried, a.candidate.Host)
		m.retry = true
	}
	m.again(now)
}

func (m *Machine) onStart(now time.Time, err error) {
	a := m.att
	m.times.Start = now.Sub(a.startSent)
	if err == nil {
		a.noteRunning(now)
		m.enter(now, phaseRun)
		return
	}
	outcome, certain := refusalOf(err)
	switch {
	case errors.Is(err, upstream.ErrLapsed), certain && a.starts == 1:
		// The only Start was refused, or the upstream says that the attempt was not and will not be run.
		m.notRun(now, outcome)
	case certain:
		// An earlier Start of the same attempt may have been accepted.
		a.noStart = true
		m.enter(now, phaseResolve)
	default:
		m.enter(now, phaseResolve)
	}
}

// onResolve learns what became of a Start whose answer was lost.
func (m *Machine) onResolve(now time.Time, e CallDone) {
	att, err := attemptOf(e, m.att.id)
	switch {
	case err == nil && att.State == upstream.StateReserved:
		m.startAgain(now)
	case err == nil && att.State == upstream.StateLapsed:
		m.notRun(now, routing.Neutral)
	case err == nil && att.State == upstream.StateRunning:
		m.att.noteRunning(now)
		m.enter(now, phaseRun)
	case err == nil && att.State != upstream.StateUnseen:
		m.att.noteRunning(now)
		m.ended(now, att)
	case err == nil, errors.Is(err, upstream.ErrAttemptNotFound):
		m.notFound(now)
	case m.expired(now):
		m.lost(now, result.StartAnswerLost, "")
	default:
		m.wakeAt = now.Add(pollInterval)
	}
}

// startAgain repeats the Start of an attempt that is still reserved, after another check.
func (m *Machine) startAgain(now time.Time) {
	switch {
	case m.cause == causeNone && !m.att.noStart:
		m.phase = phaseCheckStart
		m.emit(Check{m.att.candidate.Host})
	case now.Before(m.att.lapseBy):
		m.enter(now, phaseRelease)
	case m.expired(now):
		m.lost(now, result.StartAnswerLost, "")
	default:
		m.wakeAt = now.Add(pollInterval)
	}
}

// notFound: an upstream that has been up since before the reservation, and does not know the attempt after it
// lapsed, did not run it.
func (m *Machine) notFound(now time.Time) {
	if now.Before(m.att.lapseBy) {
		m.wakeAt = m.att.lapseBy
		return
	}
	m.phase = phaseStatus
	m.send(CallStatus, callTimeout, 0)
}

func (m *Machine) onStatus(now time.Time, e CallDone) {
	switch {
	case e.Err == nil && bootedBefore(m.att.reserveSent, e.Status.Uptime, now):
		m.notRun(now, routing.Neutral)
	case e.Err == nil, m.expired(now):
		m.lost(now, result.StartAnswerLost, "the upstream was restarted")
	default:
		m.phase = phaseResolve
		m.wakeAt = now.Add(pollInterval)
	}
}

func (m *Machine) onRelease(now time.Time, err error) {
	_, certain := refusalOf(err)
	proved := err == nil || certain || !now.Before(m.att.lapseBy)
	switch {
	case proved && m.att.starts == 0:
		m.notRun(now, routing.Neutral)
	case m.att.starts > 0:
		m.phase = phaseResolve
		m.wakeAt = now
		if err != nil {
			m.wakeAt = m.att.lapseBy
		}
	default:
		m.wakeAt = now.Add(pollInterval)
	}
}

// notRun: the attempt was not run and never will be.
func (m *Machine) notRun(now time.Time, outcome routing.Outcome) {
	m.endAttempt(outcome, 0)
	switch {
	case m.cause != causeNone:
		m.next(now)
	case m.att.noStart && m.lastErr != nil:
		m.refusedByGate(now, m.lastErr)
	default:
		m.lastErr = nil
		m.passOver(m.att)
		m.again(now)
	}
}

func (m *Machine) onResult(now time.Time, e CallDone) {
	a := m.att
	att, err := attemptOf(e, a.id)
	switch {
	case err == nil && att.State == upstream.StateRunning:
		a.noteRunning(now)
		m.wakeAt = now
	case err == nil && att.State == upstream.StateLapsed:
		m.notRun(now, routing.Neutral)
	case err == nil && hasEnded(att.State):
		m.ended(now, att)
	case errors.Is(err, upstream.ErrAttemptNotFound):
		m.lost(now, result.UpstreamLost, "the upstream does not know the attempt any more")
	case isBad(err), err == nil:
		m.badAnswer(now, err)
	case !now.Before(a.lostAt()):
		m.lost(now, result.UpstreamLost, "")
	default:
		m.wakeAt = now.Add(pollInterval)
	}
}

func hasEnded(s upstream.State) bool {
	switch s {
	case upstream.StateDone, upstream.StateFailed, upstream.StateStopped, upstream.StateCheckpointed,
		upstream.StateLeaseLapsed:
		return true
	}
	return false
}

func isBad(err error) bool {
	return errors.Is(err, upstream.ErrIncomplete) || errors.Is(err, upstream.ErrMismatched)
}

func badCode(err error) result.Code {
	if errors.Is(err, upstream.ErrIncomplete) {
		return result.AnswerIncomplete
	}
	return result.AnswerMismatched
}

// badAnswer asks again: the upstream keeps the answer of an ended attempt.
func (m *Machine) badAnswer(now time.Time, err error) {
	m.att.badAnswers++
	if m.att.badAnswers >= maxBadAnswers {
		m.lost(now, badCode(err), "")
		return
	}
	m.wakeAt = now.Add(pollInterval)
}

func (m *Machine) onStop(now time.Time, e CallDone) {
	att, err := attemptOf(e, m.att.id)
	switch {
	case err == nil && hasEnded(att.State):
		m.ended(now, att)
	case err == nil && att.State == upstream.StateLapsed:
		m.notRun(now, routing.Neutral)
	case errors.Is(err, upstream.ErrAttemptNotFound):
		m.lost(now, result.UpstreamLost, "the upstream does not know the attempt any more")
	case isBad(err) && m.expired(now):
		m.lost(now, badCode(err), "")
	case m.expired(now):
		m.lost(now, result.UpstreamLost, "the stop was not answered")
	default:
		m.wakeAt = now.Add(pollInterval)
	}
}
