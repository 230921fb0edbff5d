package standin

import (
	"bytes"
	"fmt"
	"time"

	"citrongauge.example/citrongauge/upstream"
)

// attempt is the state of an attempt at the upstream stand-in.
type attempt struct {
	reservation upstream.Reservation
	state       upstream.State
	answer      []byte
	message     string
	// reservationExpiresAt is set by reserve, leaseExpiresAt by start and renew.
	reservationExpiresAt time.Time
	leaseExpiresAt       time.Time
	startedAt            time.Time
	// remaining is the run time at full speed that was left at progressUpdatedAt. speed is the fraction of its
	// processors that the task may use, from 0 to 1.
	remaining         time.Duration
	progressUpdatedAt time.Time
	speed             float64
	payload           []byte
	// timer fires at endsAt.
	timer *time.Timer
	// ended is closed when the attempt ends.
	ended          chan struct{}
	endedAt        time.Time
	executionIndex int // index in Upstream.executions, valid once the task was started
}

// isOpen reports whether the attempt occupies capacity.
func (a *attempt) isOpen() bool {
	return a.state == upstream.StateReserved || a.state == upstream.StateRunning
}

// wasStarted reports whether the task was started, including tasks that have ended since.
func (a *attempt) wasStarted() bool {
	return a.state != upstream.StateReserved && a.state != upstream.StateExpired
}

// updateProgress subtracts the progress since progressUpdatedAt from the remaining run time.
func (a *attempt) updateProgress(now time.Time) {
	a.remaining -= time.Duration(float64(now.Sub(a.progressUpdatedAt)) * a.speed)
	a.progressUpdatedAt = now
}

// endsAt returns the time at which the task completes at its current speed or its lease expires, whichever is earlier.
func (a *attempt) endsAt() time.Time {
	if a.speed <= 0 {
		return a.leaseExpiresAt
	}
	completesAt := a.progressUpdatedAt.Add(time.Duration(float64(a.remaining) / a.speed))
	if completesAt.After(a.leaseExpiresAt) {
		return a.leaseExpiresAt
	}
	return completesAt
}

// end sets the final state of the attempt.
func (a *attempt) end(now time.Time, state upstream.State) {
	a.state = state
	a.endedAt = now
	if a.timer != nil {
		a.timer.Stop()
	}
	close(a.ended)
}

// failPayloadPrefix marks the payloads of tasks that fail on every upstream.
const failPayloadPrefix = "fail"

func (a *attempt) willFail() bool { return bytes.HasPrefix(a.payload, []byte(failPayloadPrefix)) }

// TaskAnswer returns the answer that an upstream gives to a payload. Tests compare it with the answer received.
func TaskAnswer(payload []byte, upstreamID, attemptID string) []byte {
	return fmt.Appendf(nil, "%s done by %s as %s", payload, upstreamID, attemptID)
}

// snapshot returns the attempt in the form that is sent to clients.
func (a *attempt) snapshot(used upstream.Size) *upstream.Attempt {
	return &upstream.Attempt{
		AttemptID: a.reservation.AttemptID,
		State:     a.state,
		Answer:    a.answer,
		Message:   a.message,
		Used:      used,
	}
}

func addSizes(a, b upstream.Size) upstream.Size {
	return upstream.Size{
		Slots:        a.Slots + b.Slots,
		CPUs:         a.CPUs + b.CPUs,
		MemoryMB:     a.MemoryMB + b.MemoryMB,
		Accelerators: a.Accelerators + b.Accelerators,
	}
}

func fits(size, capacity upstream.Size) bool {
	return size.Slots <= capacity.Slots && size.CPUs <= capacity.CPUs && size.MemoryMB <= capacity.MemoryMB &&
		size.Accelerators <= capacity.Accelerators
}

func isNegative(size upstream.Size) bool {
	return min(size.Slots, size.CPUs, size.MemoryMB, size.Accelerators) < 0
}

// scaleUsage multiplies the processors and memory of size by factor. Slots and accelerators are unchanged, since their
// use is not measured.
func scaleUsage(size upstream.Size, factor float64) upstream.Size {
	size.CPUs = int(float64(size.CPUs) * factor)
	size.MemoryMB = int(float64(size.MemoryMB) * factor)
	return size
}
