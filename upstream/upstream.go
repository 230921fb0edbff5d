// Package upstream defines what citrongauge needs of an upstream, the worker on which tasks run, and speaks its
// HTTP protocol.
//
// A task is started in two steps. Reserve holds capacity for ReservationTTL on the upstream's own clock; Start
// runs the task under that reservation and is refused once the reservation lapsed. A process that is paused
// between its last check and its Start therefore cannot start stale work.
package upstream

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Times of the protocol, measured on the upstream's clock.
const (
	ReservationTTL = 500 * time.Millisecond
	TaskLeaseTTL   = 10 * time.Second
	// RetentionTime is how long an upstream remembers finished attempts and fenced request IDs.
	RetentionTime = 15 * time.Minute
)

// Errors of a Client. For every error except ErrUnreachable the upstream has answered, and the answer is certain.
var (
	// ErrUnreachable: no answer. The call may have taken effect or may still take effect.
	ErrUnreachable = errors.New("upstream unreachable")
	// ErrFull: not enough free capacity, nothing was reserved.
	ErrFull = errors.New("upstream full")
	// ErrLeaving: the upstream is draining or leaving and takes no new work.
	ErrLeaving = errors.New("upstream leaving")
	// ErrStaleEpoch: the pool epoch is lower than one that the upstream has seen.
	ErrStaleEpoch = errors.New("stale pool epoch")
	// ErrDuplicate: the request ID was started or fenced at this upstream before.
	ErrDuplicate = errors.New("request ID already used")
	// ErrLapsed: the reservation lapsed before Start. The attempt did not and will not run.
	ErrLapsed = errors.New("reservation lapsed")
	// ErrAttemptNotFound: the upstream knows no such attempt.
	ErrAttemptNotFound = errors.New("attempt not found")
	// ErrIncomplete: the answer was cut short or failed its digest.
	ErrIncomplete = errors.New("answer incomplete")
	// ErrMismatched: the answer belongs to another attempt.
	ErrMismatched = errors.New("answer of another attempt")
)

// Size is the capacity that a task takes or that a host has.
type Size struct {
	Slots        int `json:"slots" cbor:"1,keyasint,omitempty"`
	CPUs         int `json:"cpus,omitempty" cbor:"2,keyasint,omitempty"`
	MemoryMB     int `json:"memory_mb,omitempty" cbor:"3,keyasint,omitempty"`
	Accelerators int `json:"accelerators,omitempty" cbor:"4,keyasint,omitempty"`
}

// Reservation is the request of Reserve.
type Reservation struct {
	// AttemptID names the attempt, unique for each call of Reserve.
	AttemptID string `json:"attempt_id"`
	// RequestID is set for non-idempotent requests only; the upstream refuses it a second time.
	RequestID string `json:"request_id,omitempty"`
	Pool      string `json:"pool"`
	// PoolEpoch is the epoch of the host's pool assignment in the control record.
	PoolEpoch uint64 `json:"pool_epoch"`
	Team      string `json:"team"`
	// ControlRevision and Owner say what the reservation rests on, for logs and checks.
	ControlRevision uint64 `json:"control_revision"`
	Owner           string `json:"owner"`
	Size            Size   `json:"size"`
}

// Task is the request of Start.
type Task struct {
	AttemptID   string `json:"attempt_id"`
	Payload     []byte `json:"payload"`
	RunMS       int64  `json:"run_ms,omitempty"` // declared run time
	Preemptible bool   `json:"preemptible,omitempty"`
}

// State is the state of an attempt at the upstream.
type State string

// The values of State.
const (
	StateUnseen       State = "unseen"   // never reserved here; only in answers to Fence and Lookup
	StateReserved     State = "reserved" // may still be started
	StateLapsed       State = "lapsed"   // was never started and never will be
	StateRunning      State = "running"
	StateDone         State = "done"
	StateFailed       State = "failed"       // ran and failed
	StateStopped      State = "stopped"      // ran and was stopped by a request
	StateCheckpointed State = "checkpointed" // ran, saved its progress and was stopped
	StateLeaseLapsed  State = "lease_lapsed" // ran and was stopped because nobody renewed its lease
)

// Attempt is the state of an attempt and, if it has ended, its answer.
type Attempt struct {
	AttemptID string `json:"attempt_id"`
	State     State  `json:"state"`
	// Answer is complete: the client has compared its length and digest.
	Answer []byte `json:"answer,omitempty"`
	// Message is the reason of a failure.
	Message string `json:"message,omitempty"`
	// Used is the measured use, zero if not reported yet.
	Used Size `json:"used"`
}

// FenceResult is the answer to Fence.
type FenceResult struct {
	// Attempt is the attempt that carried the request ID, with StateUnseen if there was none.
	Attempt Attempt `json:"attempt"`
	// Uptime is the time since the upstream started, on its own clock. It has no memory of earlier times.
	Uptime time.Duration `json:"uptime_ns"`
}

// Status is an upstream's report of itself.
type Status struct {
	BootID    string        `json:"boot_id"`
	Uptime    time.Duration `json:"uptime_ns"`
	PoolEpoch uint64        `json:"pool_epoch"`
	Draining  bool          `json:"draining"`
	// Capacity and Reserved are exact; Used is measured and lags.
	Capacity Size `json:"capacity"`
	Reserved Size `json:"reserved"`
	Used     Size `json:"used"`
	Running  int  `json:"running"`
	// StartedTotal counts all starts since the boot.
	StartedTotal uint64 `json:"started_total"`
}

// Client speaks to one upstream. Calls are bounded by their context.
type Client interface {
	// Reserve holds capacity for ReservationTTL.
	Reserve(ctx context.Context, r Reservation) error
	// Start runs the task under its reservation. It is safe to repeat with the same attempt ID.
	Start(ctx context.Context, t Task) error
	// Result returns the state of an attempt; it waits up to wait for its end.
	Result(ctx context.Context, attemptID string, wait time.Duration) (Attempt, error)
	// Renew extends the leases of running attempts by TaskLeaseTTL and returns those that it does not know.
	Renew(ctx context.Context, attemptIDs []string) (unknown []string, err error)
	// Release gives a reservation back that will not be started. After it the attempt cannot be started.
	Release(ctx context.Context, attemptID string) error
	// Stop ends an attempt, after a checkpoint if asked.
	Stop(ctx context.Context, attemptID string, checkpoint bool) (Attempt, error)
	// Throttle limits an attempt to a part of its processors, from 0 to 1.
	Throttle(ctx context.Context, attemptID string, part float64) error
	// Fence makes the upstream refuse a request ID from now on and returns what is known of it. A reservation
	// with that ID that was not started lapses at once.
	Fence(ctx context.Context, requestID string) (FenceResult, error)
	// Status returns the upstream's report.
	Status(ctx context.Context) (Status, error)
	// Drain makes the upstream refuse reservations with a pool epoch below epoch; with stop set it refuses all.
	Drain(ctx context.Context, epoch uint64, stop bool) error
}
