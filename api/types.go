// Package api implements the HTTP API for callers: it issues request IDs, and submits, queries and cancels tasks.
package api

import (
	"citrongauge.example/citrongauge/result"
	"citrongauge.example/citrongauge/upstream"
)

// Submission is the body of a task submission.
type Submission struct {
	// RequestID is an issued request ID. If it is empty, the host issues one.
	RequestID string `json:"request_id,omitempty" cbor:"1,keyasint,omitempty"`
	// Payload is the task's input.
	Payload []byte `json:"payload,omitempty" cbor:"2,keyasint,omitempty"`
	// Idempotent permits the task to be run more than once.
	Idempotent   bool `json:"idempotent,omitempty" cbor:"3,keyasint,omitempty"`
	Slots        int  `json:"slots,omitempty" cbor:"4,keyasint,omitempty"` // 1 by default
	CPUs         int  `json:"cpus,omitempty" cbor:"5,keyasint,omitempty"`
	MemoryMB     int  `json:"memory_mb,omitempty" cbor:"6,keyasint,omitempty"`
	Accelerators int  `json:"accelerators,omitempty" cbor:"7,keyasint,omitempty"`
	// RunMS is the declared run time. DeadlineMS is the time after which the answer is of no use to the caller. Both
	// are in milliseconds.
	RunMS      int64 `json:"run_ms,omitempty" cbor:"8,keyasint,omitempty"`
	DeadlineMS int64 `json:"deadline_ms,omitempty" cbor:"9,keyasint,omitempty"`
	// Urgent tasks are started before the other waiting tasks of the team on the pool.
	Urgent bool `json:"urgent,omitempty" cbor:"10,keyasint,omitempty"`
}

// Size returns the declared resource requirements of the task.
func (s *Submission) Size() upstream.Size {
	return upstream.Size{Slots: s.Slots, CPUs: s.CPUs, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators}
}

// StepTimes holds the time that each step of a task took, in microseconds.
type StepTimes struct {
	QueueUS   int64 `json:"queue_us" cbor:"1,keyasint"`
	ReserveUS int64 `json:"reserve_us" cbor:"2,keyasint"`
	StartUS   int64 `json:"start_us" cbor:"3,keyasint"`
	RunUS     int64 `json:"run_us" cbor:"4,keyasint"`
}

// Answer is the response to a submission, a status query or a cancellation.
type Answer struct {
	Code    result.Code  `json:"code" cbor:"1,keyasint"`
	Message string       `json:"message" cbor:"2,keyasint"`
	Run     result.Run   `json:"run" cbor:"3,keyasint"`
	Retry   result.Retry `json:"retry" cbor:"4,keyasint"`
	// RetryAfterMS is the minimum time to wait before a retry, in milliseconds.
	RetryAfterMS int64  `json:"retry_after_ms,omitempty" cbor:"5,keyasint,omitempty"`
	RequestID    string `json:"request_id,omitempty" cbor:"6,keyasint,omitempty"`
	// Host is the entry host that is responsible for the task.
	Host     string    `json:"host,omitempty" cbor:"7,keyasint,omitempty"`
	Upstream string    `json:"upstream,omitempty" cbor:"8,keyasint,omitempty"`
	Zone     string    `json:"zone,omitempty" cbor:"9,keyasint,omitempty"`
	Output   []byte    `json:"output,omitempty" cbor:"10,keyasint,omitempty"`
	Steps    StepTimes `json:"steps" cbor:"11,keyasint"`
}

// AnswerFromError returns the answer that reports an error.
func AnswerFromError(err *result.Error) Answer {
	info := result.Lookup(err.Code)
	retryAfter := info.RetryAfter
	if err.RetryAfter > 0 {
		retryAfter = err.RetryAfter
	}
	message := info.Message
	if err.Detail != "" {
		message += ": " + err.Detail
	}
	return Answer{
		Code: err.Code, Message: message, Run: info.Run, Retry: info.Retry,
		RetryAfterMS: retryAfter.Milliseconds(),
	}
}
