package standin

import (
	"bytes"
	"fmt"
	"time"

	"citrongauge.example/citrongauge/upstream"
)

// attempt is an attempt at an upstream.
type attempt struct {
	reservation upstream.Reservation
	state       upstream.State
	answer      []byte
	message     string
	// reservedUntil is the end of the reservation, leaseUntil that of the task's lease.
	reservedUntil time.Time
	leaseUntil    time.Time
	startedAt     time.Time
	// remaining is the run time left at progressAt, speed the part of the processors that the task has.
	remaining  time.Duration
	progressAt time.Time
	speed      float64
	payload    []byte
	// timer ends the task or its lease, whichever is first.
	timer *time.Timer
	// ended is closed when the attempt has ended.
	ended     chan struct{}
	endedAt   time.Time
	execution int // index in the log of executions
}

// isOpen reports whether the attempt takes capacity.
func (a *attempt) isOpen() bool {
	return a.state == upstream.StateReserved || a.state == upstream.StateRunning
}

// wasStarted reports whether the attempt ran.
func (a *attempt) wasStarted() bool {
	return a.state != upstream.StateReserved && a.state != upstream.StateLapsed
}

// advance accounts for the progress until now.
func (a *attempt) advance(now time.Time) {
	a.remaining -= time.Duration(float64(now.Sub(a.progressAt)) * a.speed)
	a.progressAt = now
}

// runsUntil returns the time at which the task is done at its present speed, or its lease's end if that is earlier.
func (a *attempt) runsUntil() time.Time {
	if a.speed <= 0 {
		return a.leaseUntil
	}
	done := a.progressAt.Add(time.Duration(float64(a.remaining) / a.speed))
	if done.After(a.leaseUntil) {
		return a.leaseUntil
	}
	return done
}

// end moves the attempt to its last state.
func (a *attempt) end(now time.Time, state upstream.State) {
	a.state = state
	a.endedAt = now
	if a.timer != nil {
		a.timer.Stop()
	}
	close(a.ended)
}

// failPrefix marks payloads of tasks that fail wherever they run.
const failPrefix = "fail"

func (a *attempt) willFail() bool { return bytes.HasPrefix(a.payload, []byte(failPrefix)) }

// Answer is the answer of the upstream with the given ID to a payload, so that checkers can compare it.
func Answer(payload []byte, upstreamID, attemptID string) []byte {
	return fmt.Appendf(nil, "%s done by %s as %s", payload, upstreamID, attemptID)
}

// report returns the attempt as its clients see it.
func (a *attempt) report(used upstream.Size) *upstream.Attempt {
	return &upstream.Attempt{
		AttemptID: a.reservation.AttemptID,
		State:     a.state,
		Answer:    a.answer,
		Message:   a.message,
		Used:      used,
	}
}

func add(a, b upstream.Size) upstream.Size {
	return upstream.Size{
		Slots:        a.Slots + b.Slots,
		CPUs:         a.CPUs + b.CPUs,
		MemoryMB:     a.MemoryMB + b.MemoryMB,
		Accelerators: a.Accelerators + b.Accelerators,
	}
}

func fits(a, capacity upstream.Size) bool {
	return a.Slots <= capacity.Slots && a.CPUs <= capacity.CPUs && a.MemoryMB <= capacity.MemoryMB &&
		a.Accelerators <= capacity.Accelerators
}

func isNegative(a upstream.Size) bool {
	return min(a.Slots, a.CPUs, a.MemoryMB, a.Accelerators) < 0
}

// scale returns the processors and memory of a times factor; slots and accelerators are not measured.
func scale(a upstream.Size, factor float64) upstream.Size {
	a.CPUs = int(float64(a.CPUs) * factor)
	a.MemoryMB = int(float64(a.MemoryMB) * factor)
	return a
}
