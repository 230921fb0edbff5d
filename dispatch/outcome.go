package dispatch

import (
	"time"

	"citrongauge.example/citrongauge/result"
	"citrongauge.example/citrongauge/routing"
	"citrongauge.example/citrongauge/upstream"
)

// ended takes the end of an attempt that ran.
func (m *Machine) ended(now time.Time, att upstream.Attempt) {
	m.times.Run = now.Sub(m.att.startedAt)
	switch att.State {
	case upstream.StateDone:
		m.endAttempt(routing.Succeeded, m.times.Run)
		m.finishAnswer(Answer{Code: result.OK, Payload: att.Answer})
	case upstream.StateFailed:
		m.failed(now, att.Message)
	case upstream.StateLeaseLapsed:
		m.endAttempt(routing.Neutral, 0)
		m.ranWithout(now, result.StoppedLeaseLapse, "")
	default:
		m.endAttempt(routing.Neutral, 0)
		m.stopped(now)
	}
}

func (m *Machine) stopped(now time.Time) {
	switch m.cause {
	case causeCancel:
		m.finish(result.CancelledRunning, "")
	case causeDeadline:
		m.finish(result.CancelledRunning, "stopped at its deadline")
	default:
		m.ranWithout(now, result.StoppedByDrain, "")
	}
}

// failed: a task that fails on a second upstream speaks against the job, so neither is blamed.
func (m *Machine) failed(now time.Time, message string) {
	host := m.att.candidate.Host
	m.failedOn = append(m.failedOn, host)
	switch len(m.failedOn) {
	case 1:
		m.endAttempt(routing.TaskFailed, 0)
	case 2:
		m.emit(Absolve{m.failedOn[0]})
		fallthrough
	default:
		m.endAttempt(routing.Neutral, 0)
	}
	if len(m.failedOn) >= maxRan {
		m.finish(result.FailsEverywhere, message)
		return
	}
	m.ranWithout(now, result.TaskFailed, message)
}

// lost: the attempt may have run, or runs still, and cannot be asked. Its slots stay held until it must have ended.
func (m *Machine) lost(now time.Time, code result.Code, detail string) {
	m.endAttempt(routing.Unreachable, 0)
	m.freeSlots(m.att.leaseEnd().Sub(now))
	m.ranWithout(now, code, detail)
}

// ranWithout goes on after an attempt that ran or may have run and has no answer for the caller.
func (m *Machine) ranWithout(now time.Time, code result.Code, detail string) {
	answer := m.at(Answer{Code: code, Detail: detail})
	m.ran++
	if !m.task.Idempotent || m.cause != causeNone || m.ran >= maxRan {
		m.finishAnswer(answer)
		return
	}
	m.prior = &answer
	m.tried = append(m.tried, m.att.candidate.Host)
	m.retry = true
	m.backoff(now)
}
