package dispatch

import (
	"time"

	"citrongauge.example/citrongauge/result"
	"citrongauge.example/citrongauge/routing"
	"citrongauge.example/citrongauge/upstream"
)

// attemptEnded handles the end of an attempt that ran.
func (m *StateMachine) attemptEnded(now time.Time, att upstream.Attempt) {
	m.times.Run = now.Sub(m.att.startedAt)
	switch att.State {
	case upstream.StateDone:
		m.endAttempt(routing.Succeeded, m.times.Run)
		m.finishAnswer(Answer{Code: result.OK, Payload: att.Answer})
	case upstream.StateFailed:
		m.taskFailed(now, att.Message)
	case upstream.StateLeaseExpired:
		m.endAttempt(routing.Neutral, 0)
		m.retryOrReturn(now, result.StoppedLeaseLapse, "")
	default:
		m.endAttempt(routing.Neutral, 0)
		m.attemptStopped(now)
	}
}

func (m *StateMachine) attemptStopped(now time.Time) {
	switch m.abortCause {
	case abortCancelled:
		m.finish(result.CancelledRunning, "")
	case abortDeadline:
		m.finish(result.CancelledRunning, "stopped at its deadline")
	default:
		m.retryOrReturn(now, result.StoppedByDrain, "")
	}
}

// taskFailed handles a failure of the task itself. If the task has failed on two upstreams, the cause is assumed to be
// the task: the failure reported for the first upstream is retracted, and none is reported for the others.
func (m *StateMachine) taskFailed(now time.Time, message string) {
	host := m.att.selection.Host
	m.failedOn = append(m.failedOn, host)
	switch len(m.failedOn) {
	case 1:
		m.endAttempt(routing.TaskFailed, 0)
	case 2:
		m.emit(RetractFailure{m.failedOn[0]})
		fallthrough
	default:
		m.endAttempt(routing.Neutral, 0)
	}
	if len(m.failedOn) >= maxRanAttempts {
		m.finish(result.FailsEverywhere, message)
		return
	}
	m.retryOrReturn(now, result.TaskFailed, message)
}

// attemptLost handles an attempt that may have run, or may still be running, and that cannot be queried. Its slots are
// held until it must have ended.
func (m *StateMachine) attemptLost(now time.Time, code result.Code, detail string) {
	m.endAttempt(routing.Unreachable, 0)
	m.releaseSlots(m.att.leaseEnd().Sub(now))
	m.retryOrReturn(now, code, detail)
}

// retryOrReturn handles an attempt that ran or may have run and that has no result for the caller. An idempotent task
// is retried on another upstream, unless it was cancelled, its deadline has passed or maxRanAttempts is reached.
// Otherwise the given code is returned.
func (m *StateMachine) retryOrReturn(now time.Time, code result.Code, detail string) {
	answer := m.withLocation(Answer{Code: code, Detail: detail})
	m.ranAttempts++
	if !m.task.Idempotent || m.abortCause != abortNone || m.ranAttempts >= maxRanAttempts {
		m.finishAnswer(answer)
		return
	}
	m.priorAnswer = &answer
	m.excluded = append(m.excluded, m.att.selection.Host)
	m.nextIsRetry = true
	m.backoff(now)
}
