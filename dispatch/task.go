package dispatch

import (
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/result"
	"citrongauge.example/citrongauge/upstream"
)

// Task is a task that admission has chosen.
type Task struct {
	// RequestID is set for non-idempotent requests only.
	RequestID  string
	Idempotent bool
	Team       string
	Queue      string
	Pool       string
	Size       upstream.Size
	Payload    []byte
	RunMS      int64 // declared run time
	// Preemptible tasks may be checkpointed.
	Preemptible bool
	Deadline    time.Time
	// Queued is the time that the task has spent in the queue.
	Queued time.Duration
}

// Times is the time that a task spent in each step. Reserve, Start and Run are those of its last attempt.
type Times struct {
	Queue   time.Duration
	Reserve time.Duration
	Start   time.Duration
	Run     time.Duration
}

// Answer is the outcome of a task.
type Answer struct {
	Code result.Code
	// Detail explains the code, for callers and logs.
	Detail string
	// RetryAfter overrides the value of the result table when it is not zero.
	RetryAfter time.Duration
	// Payload is the complete answer of the task, with code OK only.
	Payload   []byte
	Upstream  string
	Zone      string
	AttemptID string
	Times     Times
}

// ErrNoSlots is returned by Gate.Acquire while the team's grant has no room. The task waits for it until its
// deadline.
var ErrNoSlots = errors.New("no slots free in the grant")

// Gate decides whether work may start. All calls return without waiting.
type Gate interface {
	// Check is asked before Reserve and again right before each Start: permission of this entry host, the key,
	// the upstream's availability zone and its assignment. It returns a *result.Error with a 2xxx code to refuse.
	// With ZoneOutOfService or NoUpstream another upstream is tried; any other code ends the task.
	Check(task *Task, upstreamHost string) error
	// Acquire takes the task's slots from the team's grant. It returns ErrNoSlots to be asked again, or a
	// *result.Error that ends the task.
	Acquire(task *Task) error
	// Release gives the slots of one Acquire back.
	Release(task *Task)
	// ReleaseAfter gives the slots of one Acquire back once d has passed on this host's clock.
	ReleaseAfter(task *Task, d time.Duration)
}
