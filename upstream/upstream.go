// Package upstream defines the interface that citrongauge requires from an upstream, the worker on which tasks run, and
// implements a client of its HTTP protocol.
//
// A task is started in two steps. Reserve holds capacity for ReservationTTL, measured on the upstream's own clock;
// Start runs the task under that reservation and is rejected after the reservation has expired. A process that is
// paused between its last check and its Start therefore cannot start stale work.
//
// Package daemon uses this protocol. Package entry uses the protocol of platform.UpstreamClient instead.
package upstream

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Durations of the protocol, measured on the upstream's clock.
const (
	ReservationTTL = 500 * time.Millisecond
	TaskLeaseTTL   = 10 * time.Second
	// RetentionTime is how long an upstream retains finished attempts and fenced request IDs.
	RetentionTime = 15 * time.Minute
)

// Errors returned by a Client. After ErrUnreachable, the outcome of the call is unknown. ErrIncomplete and
// ErrMismatched report that the upstream responded, but that the response cannot be used. All other errors are
// definite.
var (
	// ErrUnreachable reports that no valid response was received. The call may have taken effect, or may still take
	// effect later.
	ErrUnreachable = errors.New("upstream unreachable")
	// ErrFull reports that the upstream has too little free capacity. Nothing was reserved.
	ErrFull = errors.New("upstream full")
	// ErrLeaving reports that the upstream is draining or leaving and accepts no new tasks.
	ErrLeaving = errors.New("upstream leaving")
	// ErrStaleEpoch reports that the pool epoch is lower than one that the upstream has seen.
	ErrStaleEpoch = errors.New("stale pool epoch")
	// ErrDuplicate reports that the request ID has already been started or fenced at this upstream.
	ErrDuplicate = errors.New("request ID already used")
	// ErrReservationExpired reports that the reservation expired or was cancelled before Start. The attempt has not run
	// and never will.
	ErrReservationExpired = errors.New("reservation lapsed")
	// ErrAttemptNotFound reports that the upstream does not know the attempt.
	ErrAttemptNotFound = errors.New("attempt not found")
	// ErrIncomplete reports that the response was truncated or malformed, or that the task's answer does not match its
	// length and digest.
	ErrIncomplete = errors.New("answer incomplete")
	// ErrMismatched reports that the response belongs to another call or attempt.
	ErrMismatched = errors.New("response belongs to another call or attempt")
)

// Size is an amount of resources: the request of a task, or the capacity of a host.
type Size struct {
	Slots        int `json:"slots" cbor:"1,keyasint,omitempty"`
	CPUs         int `json:"cpus,omitempty" cbor:"2,keyasint,omitempty"`
	MemoryMB     int `json:"memory_mb,omitempty" cbor:"3,keyasint,omitempty"`
	Accelerators int `json:"accelerators,omitempty" cbor:"4,keyasint,omitempty"`
}

// Reservation is the request of Reserve.
type Reservation struct {
	// AttemptID identifies the attempt. It is unique for each call of Reserve.
	AttemptID string `json:"attempt_id"`
	// RequestID is set for non-idempotent requests only. The upstream rejects a request ID that has already been used.
	RequestID string `json:"request_id,omitempty"`
	Pool      string `json:"pool"`
	// PoolEpoch is the epoch of the host's pool assignment in the control record.
	PoolEpoch uint64 `json:"pool_epoch"`
	Team      string `json:"team"`
	// ControlRevision and Owner identify the control record and the owner that the reservation is based on. They are
	// used in logs and checks.
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
	StateUnseen       State = "unseen"   // never reserved at this upstream; only in responses to Fence
	StateReserved     State = "reserved" // may still be started
	StateExpired      State = "lapsed"   // reservation ended without a start; can no longer be started
	StateRunning      State = "running"
	StateDone         State = "done"
	StateFailed       State = "failed"       // ran and failed
	StateStopped      State = "stopped"      // ran and was stopped on request
	StateCheckpointed State = "checkpointed" // ran, saved a checkpoint and was stopped on request
	StateLeaseExpired State = "lease_lapsed" // ran and was stopped because its lease was not renewed
)

// Attempt is the state of an attempt and, if it has ended, the answer of its task.
type Attempt struct {
	AttemptID string `json:"attempt_id"`
	State     State  `json:"state"`
	// Answer is the output of the task. The client has verified its length and digest.
	Answer []byte `json:"answer,omitempty"`
	// Message is the reason of a failure.
	Message string `json:"message,omitempty"`
	// Used is the measured resource usage, zero if none has been reported yet.
	Used Size `json:"used"`
}

// FenceResult is the result of Fence.
type FenceResult struct {
	// Attempt is the attempt with the request ID. Its state is StateUnseen if there was none.
	Attempt Attempt `json:"attempt"`
	// Uptime is the time since the upstream started, on its own clock. The upstream retains no state from before its
	// start.
	Uptime time.Duration `json:"uptime_ns"`
}

// Status is the status that an upstream reports about itself.
type Status struct {
	BootID    string        `json:"boot_id"`
	Uptime    time.Duration `json:"uptime_ns"`
	PoolEpoch uint64        `json:"pool_epoch"`
	Draining  bool          `json:"draining"`
	// Capacity and Reserved are exact. Used is measured and may be out of date.
	Capacity Size `json:"capacity"`
	Reserved Size `json:"reserved"`
	Used     Size `json:"used"`
	Running  int  `json:"running"`
	// StartedTotal is the number of tasks started since the upstream booted.
	StartedTotal uint64 `json:"started_total"`
}

// Client is a client of one upstream. Calls end when their context is done.
type Client interface {
	// Reserve holds capacity for ReservationTTL.
	Reserve(ctx context.Context, r Reservation) error
	// Start runs the task under its reservation. Repeated calls with the same attempt ID are safe.
	Start(ctx context.Context, t Task) error
	// Result returns the state of an attempt. It waits up to wait for the attempt to end.
	Result(ctx context.Context, attemptID string, wait time.Duration) (Attempt, error)
	// Renew extends the leases of running attempts by TaskLeaseTTL and returns the IDs that are unknown to the
	// upstream.
	Renew(ctx context.Context, attemptIDs []string) (unknown []string, err error)
	// Release cancels a reservation that will not be used. The attempt can no longer be started afterwards.
	Release(ctx context.Context, attemptID string) error
	// Stop ends an attempt. If checkpoint is set, the task saves a checkpoint first.
	Stop(ctx context.Context, attemptID string, checkpoint bool) (Attempt, error)
	// Throttle limits an attempt to a fraction, from 0 to 1, of its processors.
	Throttle(ctx context.Context, attemptID string, fraction float64) error
	// Fence makes the upstream reject a request ID from now on and returns the state of the attempt that used it. A
	// reservation with that ID that has not been started is cancelled immediately.
	Fence(ctx context.Context, requestID string) (FenceResult, error)
	// Status returns the upstream's status.
	Status(ctx context.Context) (Status, error)
	// Drain makes the upstream reject reservations with a pool epoch below epoch, or all reservations if rejectAll is
	// set.
	Drain(ctx context.Context, epoch uint64, rejectAll bool) error
}
