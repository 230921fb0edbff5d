package dispatch

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/result"
	"citrongauge.example/citrongauge/routing"
	"citrongauge.example/citrongauge/upstream"
)

func (m *StateMachine) onAcquired(now time.Time, err error) {
	switch {
	case err == nil:
		m.holdsSlots = true
		m.nextAttempt(now)
	case errors.Is(err, ErrNoSlots):
		m.backoff(now)
	default:
		m.finishError(err)
	}
}

func (m *StateMachine) onPicked(now time.Time, e Picked) {
	if errors.Is(e.Err, ErrRetryBudget) {
		m.finish(result.RetriesExhausted, "retry budget used up")
		return
	}
	if e.Err != nil {
		m.lastErr = e.Err
		m.retryOrGiveUp(now)
		return
	}
	m.nextIsRetry = false
	m.att = &attempt{id: m.newID(), selection: e.Selection}
	m.phase = phaseCheckBeforeReserve
	m.emit(Check{e.Selection.Host})
}

func (m *StateMachine) onChecked(now time.Time, err error) {
	switch m.phase {
	case phaseCheckBeforeReserve:
		if err != nil || m.abortCause != abortNone {
			m.endAttempt(routing.Neutral, 0)
			m.rejectedByGate(now, err)
			return
		}
		m.phase = phaseReserve
		m.att.reserveSent = now
		m.send(CallReserve, callTimeout, 0)
	case phaseCheckBeforeStart:
		if err != nil || m.abortCause != abortNone {
			m.lastErr = err
			m.att.noMoreStarts = true
			m.enterPhase(now, phaseRelease)
			return
		}
		m.start(now)
	}
}

// rejectedByGate continues after the Gate rejected an attempt that was never started.
func (m *StateMachine) rejectedByGate(now time.Time, err error) {
	switch {
	case m.abortCause != abortNone || err == nil:
		m.nextAttempt(now)
	case mayTryOtherUpstream(err):
		m.lastErr = err
		m.excludeHost(m.att)
		m.retryOrGiveUp(now)
	default:
		m.finishError(err)
	}
}

// excludeHost excludes the host of a from the next attempt. A host on which the task was reserved has seen the request
// ID and may reject it permanently, so it is excluded for the rest of the task.
func (m *StateMachine) excludeHost(a *attempt) {
	if a.reservationEnd.IsZero() {
		m.excludedUntilBackoff = append(m.excludedUntilBackoff, a.selection.Host)
		return
	}
	m.excluded = append(m.excluded, a.selection.Host)
}

// mayTryOtherUpstream reports whether, after this rejection by the Gate, another upstream may be tried.
func mayTryOtherUpstream(err error) bool {
	var e *result.Error
	return errors.As(err, &e) && (e.Code == result.ZoneOutOfService || e.Code == result.NoUpstream)
}

func (m *StateMachine) start(now time.Time) {
	if !m.startRecorded {
		m.startRecorded = true
		m.emit(RecordStart{})
	}
	a := m.att
	if a.startCalls == 0 {
		a.firstStartSent = now
	}
	a.startCalls++
	m.phase = phaseStart
	m.send(CallStart, callTimeout, 0)
}

func (m *StateMachine) onCallDone(now time.Time, e CallDone) {
	switch {
	case e.ID == 0:
	case e.ID == m.renewCallID:
		m.renewCallID = 0
		m.onRenew(now, e)
	case e.ID == m.callID:
		m.callID = 0
		m.onPrimaryCall(now, e)
	}
}

// onPrimaryCall handles the result of the outstanding call other than CallRenew.
func (m *StateMachine) onPrimaryCall(now time.Time, e CallDone) {
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

func (m *StateMachine) onRenew(now time.Time, e CallDone) {
	if e.Err != nil || m.att == nil {
		return
	}
	m.att.renewalsUnanswered--
	m.att.consecutiveUnanswered = 0
	if !slices.Contains(e.UnknownAttempts, m.att.id) {
		m.att.leaseSetAt = now
	}
}

// classifyRejection reports whether err proves that the upstream did not do what was asked, and which outcome to report
// for the upstream.
func classifyRejection(err error) (routing.Outcome, bool) {
	switch {
	case errors.Is(err, upstream.ErrFull):
		return routing.Full, true
	case errors.Is(err, upstream.ErrLeaving):
		return routing.Leaving, true
	case errors.Is(err, upstream.ErrStaleEpoch), errors.Is(err, upstream.ErrReservationExpired),
		errors.Is(err, upstream.ErrDuplicate), errors.Is(err, upstream.ErrAttemptNotFound):
		return routing.Neutral, true
	default:
		return routing.Unreachable, false
	}
}

func (m *StateMachine) onReserve(now time.Time, err error) {
	a := m.att
	m.times.Reserve = now.Sub(a.reserveSent)
	m.lastErr = nil
	if err == nil {
		a.latency = m.times.Reserve
		a.reservationEnd = now.Add(maxReservationTTL)
		m.phase = phaseCheckBeforeStart
		m.emit(Check{a.selection.Host})
		return
	}
	outcome, definite := classifyRejection(err)
	m.endAttempt(outcome, 0)
	switch {
	case errors.Is(err, upstream.ErrDuplicate):
		// Another entry host has fenced or started the request, so its outcome is unknown here.
		m.finish(result.OwnerLost, "the request ID was used at the upstream before")
		return
	case definite:
		m.excludedUntilBackoff = append(m.excludedUntilBackoff, a.selection.Host)
	default:
		m.releaseSlots(maxReservationTTL)
		m.excluded = append(m.excluded, a.selection.Host)
		m.nextIsRetry = true
	}
	m.retryOrGiveUp(now)
}

func (m *StateMachine) onStart(now time.Time, err error) {
	a := m.att
	m.times.Start = now.Sub(a.firstStartSent)
	if err == nil {
		a.markRunning(now)
		m.enterPhase(now, phaseRun)
		return
	}
	outcome, definite := classifyRejection(err)
	switch {
	case errors.Is(err, upstream.ErrReservationExpired), definite && a.startCalls == 1:
		// The only Start was rejected, or the upstream states that the attempt has not run and will not run.
		m.attemptNotRun(now, outcome)
	case definite:
		// An earlier Start of the same attempt may have taken effect, so this rejection proves nothing.
		a.noMoreStarts = true
		m.enterPhase(now, phaseResolve)
	default:
		m.enterPhase(now, phaseResolve)
	}
}

// onResolve determines from the attempt's state whether a Start took effect.
func (m *StateMachine) onResolve(now time.Time, e CallDone) {
	att, err := matchedAttempt(e, m.att.id)
	switch {
	case err == nil && att.State == upstream.StateReserved:
		m.repeatStart(now)
	case err == nil && att.State == upstream.StateExpired:
		m.attemptNotRun(now, routing.Neutral)
	case err == nil && att.State == upstream.StateRunning:
		m.att.markRunning(now)
		m.enterPhase(now, phaseRun)
	case err == nil && att.State != upstream.StateUnseen:
		m.att.markRunning(now)
		m.attemptEnded(now, att)
	case err == nil, errors.Is(err, upstream.ErrAttemptNotFound):
		m.attemptNotFound(now)
	case m.outcomeTimedOut(now):
		m.attemptLost(now, result.StartAnswerLost, "")
	default:
		m.wakeAt = now.Add(pollInterval)
	}
}

// repeatStart repeats the Start of an attempt that is still reserved, after another check by the Gate. If no further
// Start may be sent, it releases the reservation. If the reservation should already have expired, it queries the
// upstream until that reports a final state or the outcome times out.
func (m *StateMachine) repeatStart(now time.Time) {
	switch {
	case m.abortCause == abortNone && !m.att.noMoreStarts:
		m.phase = phaseCheckBeforeStart
		m.emit(Check{m.att.selection.Host})
	case now.Before(m.att.reservationEnd):
		m.enterPhase(now, phaseRelease)
	case m.outcomeTimedOut(now):
		m.attemptLost(now, result.StartAnswerLost, "")
	default:
		m.wakeAt = now.Add(pollInterval)
	}
}

// attemptNotFound waits for the reservation to expire and then queries the upstream's uptime: an upstream that has been
// up since before the reservation, and does not know the attempt after the reservation expired, did not run it.
func (m *StateMachine) attemptNotFound(now time.Time) {
	if now.Before(m.att.reservationEnd) {
		m.wakeAt = m.att.reservationEnd
		return
	}
	m.phase = phaseStatus
	m.send(CallStatus, callTimeout, 0)
}

func (m *StateMachine) onStatus(now time.Time, e CallDone) {
	switch {
	case e.Err == nil && bootedBefore(m.att.reserveSent, e.Status.Uptime, now):
		m.attemptNotRun(now, routing.Neutral)
	case e.Err == nil, m.outcomeTimedOut(now):
		m.attemptLost(now, result.StartAnswerLost, "the upstream was restarted")
	default:
		m.phase = phaseResolve
		m.wakeAt = now.Add(pollInterval)
	}
}

func (m *StateMachine) onRelease(now time.Time, err error) {
	_, definite := classifyRejection(err)
	proved := err == nil || definite || !now.Before(m.att.reservationEnd)
	switch {
	case proved && m.att.startCalls == 0:
		m.attemptNotRun(now, routing.Neutral)
	case m.att.startCalls > 0:
		m.phase = phaseResolve
		m.wakeAt = now
		if err != nil {
			m.wakeAt = m.att.reservationEnd
		}
	default:
		m.wakeAt = now.Add(pollInterval)
	}
}

// attemptNotRun handles an attempt that was proved not to have run and that cannot run any more.
func (m *StateMachine) attemptNotRun(now time.Time, outcome routing.Outcome) {
	m.endAttempt(outcome, 0)
	switch {
	case m.abortCause != abortNone:
		m.nextAttempt(now)
	case m.att.noMoreStarts && m.lastErr != nil:
		m.rejectedByGate(now, m.lastErr)
	default:
		m.lastErr = nil
		m.excludeHost(m.att)
		m.retryOrGiveUp(now)
	}
}

func (m *StateMachine) onResult(now time.Time, e CallDone) {
	a := m.att
	att, err := matchedAttempt(e, a.id)
	switch {
	case err == nil && att.State == upstream.StateRunning:
		a.markRunning(now)
		m.wakeAt = now
	case err == nil && att.State == upstream.StateExpired:
		m.attemptNotRun(now, routing.Neutral)
	case err == nil && hasEnded(att.State):
		m.attemptEnded(now, att)
	case errors.Is(err, upstream.ErrAttemptNotFound):
		m.attemptLost(now, result.UpstreamLost, "the upstream does not know the attempt any more")
	case isInvalidResponse(err), err == nil:
		m.onInvalidResponse(now, err)
	case !now.Before(a.giveUpAt()):
		m.attemptLost(now, result.UpstreamLost, "")
	default:
		m.wakeAt = now.Add(pollInterval)
	}
}

func hasEnded(s upstream.State) bool {
	switch s {
	case upstream.StateDone, upstream.StateFailed, upstream.StateStopped, upstream.StateCheckpointed,
		upstream.StateLeaseExpired:
		return true
	}
	return false
}

func isInvalidResponse(err error) bool {
	return errors.Is(err, upstream.ErrIncomplete) || errors.Is(err, upstream.ErrMismatched)
}

func invalidResponseCode(err error) result.Code {
	if errors.Is(err, upstream.ErrIncomplete) {
		return result.AnswerIncomplete
	}
	return result.AnswerMismatched
}

// onInvalidResponse queries the result again, since the upstream keeps the answer of an ended attempt. After
// maxInvalidResponses the attempt is considered lost.
func (m *StateMachine) onInvalidResponse(now time.Time, err error) {
	m.att.invalidResponses++
	if m.att.invalidResponses >= maxInvalidResponses {
		m.attemptLost(now, invalidResponseCode(err), "")
		return
	}
	m.wakeAt = now.Add(pollInterval)
}

func (m *StateMachine) onStop(now time.Time, e CallDone) {
	att, err := matchedAttempt(e, m.att.id)
	switch {
	case err == nil && hasEnded(att.State):
		m.attemptEnded(now, att)
	case err == nil && att.State == upstream.StateExpired:
		m.attemptNotRun(now, routing.Neutral)
	case errors.Is(err, upstream.ErrAttemptNotFound):
		m.attemptLost(now, result.UpstreamLost, "the upstream does not know the attempt any more")
	case isInvalidResponse(err) && m.outcomeTimedOut(now):
		m.attemptLost(now, invalidResponseCode(err), "")
	case m.outcomeTimedOut(now):
		m.attemptLost(now, result.UpstreamLost, "the stop was not answered")
	default:
		m.wakeAt = now.Add(pollInterval)
	}
}
