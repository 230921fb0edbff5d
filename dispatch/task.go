package dispatch

import (
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/result"
	"citrongauge.example/citrongauge/upstream"
)

// Task is a task that admission has selected to run.
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
	// Preemptible permits the upstream to checkpoint and stop the task.
	Preemptible bool
	Deadline    time.Time
	// QueueTime is the time that the task has waited in its queue.
	QueueTime time.Duration
}

// StepTimes is the time that a task spent in each step. Reserve, Start and Run refer to its last attempt.
type StepTimes struct {
	Queue   time.Duration
	Reserve time.Duration
	Start   time.Duration
	Run     time.Duration
}

// Answer is the outcome of a task.
type Answer struct {
	Code result.Code
	// Detail explains the code to callers and in logs.
	Detail string
	// RetryAfter overrides the value in the result table if it is not zero.
	RetryAfter time.Duration
	// Payload is the complete output of the task. It is set with code OK only.
	Payload   []byte
	Upstream  string
	Zone      string
	AttemptID string
	Times     StepTimes
}

// ErrNoSlots is returned by Gate.Acquire while the team's grant has no free slots for the task. The task then retries
// until its deadline.
var ErrNoSlots = errors.New("no free slots in the team's grant")

// Gate decides whether work may start. Its methods do not block.
type Gate interface {
	// Check is called before Reserve and again right before each Start. It checks the permission of this entry host,
	// the caller's key, and the availability zone and pool assignment of the upstream. To reject, it returns a
	// *result.Error with a 2xxx code. With ZoneOutOfService or NoUpstream another upstream is tried; any other code
	// ends the task.
	Check(task *Task, upstreamHost string) error
	// Acquire takes the task's slots from the team's grant. It returns ErrNoSlots if the call is to be repeated
	// later, or a *result.Error that ends the task.
	Acquire(task *Task) error
	// Release returns the slots of one Acquire to the grant.
	Release(task *Task)
	// ReleaseAfter returns the slots of one Acquire to the grant once d has passed on this host's clock.
	ReleaseAfter(task *Task, d time.Duration)
}
