// Package result defines the numbered result codes that callers, operators and other hosts receive.
//
// A code states whether the work was run, whether the caller may try again and after how long. The same table
// is in docs/ERRORS.md; a test keeps both equal.
package result

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// Code is a numbered result code.
type Code int

// Run states whether the work of a request was run.
type Run string

// The values of Run.
const (
	RunNo      Run = "no"
	RunYes     Run = "yes"
	RunUnknown Run = "unknown"
	// RunNone marks codes that do not concern a task, such as a bundle error.
	RunNone Run = "none"
)

// Retry states whether the caller may send the same request again.
type Retry string

// The values of Retry.
const (
	// RetryNever: the same request fails again.
	RetryNever Retry = "never"
	// RetrySameID: a repeat is safe with the same request ID only, or if the request is idempotent.
	RetrySameID Retry = "same-id"
	// RetryAny: a repeat is safe, also as a new request.
	RetryAny Retry = "any"
)

// Codes of requests that were done.
const (
	OK       Code = 1000
	Accepted Code = 1001 // submitted without waiting; the outcome is fetched later
	Pending  Code = 1002 // the task is queued or running
)

// Codes of requests that were refused. The work was not run.
const (
	KeyUnknown         Code = 2001
	KeyWithdrawn       Code = 2002
	QueueUnknown       Code = 2003
	TeamNotAllowed     Code = 2004
	TaskTooLarge       Code = 2005
	RequestMalformed   Code = 2006
	DeadlineInvalid    Code = 2007
	RequestTooLarge    Code = 2008
	RequestIDInvalid   Code = 2009
	RequestIDMismatch  Code = 2010 // the ID was used with another request
	RequestIDNotRun    Code = 2011 // recovery proved that the request with this ID was not run and now never will be
	QueueFull          Code = 2101
	DeadlineTooShort   Code = 2102 // refused early: the queue is too long for the deadline
	DeadlinePassed     Code = 2103 // waited until the deadline without a start
	ZoneOutOfService   Code = 2104
	NoPermission       Code = 2105 // this host may not start work now
	ShuttingDown       Code = 2106
	CancelledBeforeRun Code = 2107
	NoUpstream         Code = 2108
	RetriesExhausted   Code = 2109 // every attempt was refused before its start
	CapZero            Code = 2110
)

// Codes of requests whose work may or may not have been run.
const (
	StartAnswerLost    Code = 3001
	OwnerUnreachable   Code = 3002
	OwnerLost          Code = 3003
	UpstreamLost       Code = 3004
	AnswerIncomplete   Code = 3005
	AnswerMismatched   Code = 3006
	RequestIDForgotten Code = 3007 // the ID is older than its retention time
)

// Codes of requests whose work was run and did not succeed.
const (
	TaskFailed        Code = 4001
	CancelledRunning  Code = 4002
	StoppedLeaseLapse Code = 4003
	FailsEverywhere   Code = 4004
	StoppedByDrain    Code = 4005
)

// Codes of bundles, roll-outs, administration and settings.
const (
	BundleSyntax         Code = 5001
	BundleUnknownField   Code = 5002
	BundleDuplicateField Code = 5003
	BundleTooLarge       Code = 5004
	BundleBadValue       Code = 5005
	BundleBadLimit       Code = 5006
	BundleDuplicateName  Code = 5007
	BundleUnknownName    Code = 5008
	BundlePoolsOverlap   Code = 5009
	BundleSharesInvalid  Code = 5010
	BundleKeyRepeated    Code = 5011
	BundleMissing        Code = 5012
	SignatureInvalid     Code = 5101
	DigestMismatch       Code = 5102
	VersionNotHigher     Code = 5103
	RolloutConflict      Code = 5104
	RolloutUnresolved    Code = 5105
	RolloutWaiting       Code = 5106
	BudgetExceeded       Code = 5107
	AdminUnauthenticated Code = 5201
	AdminReplayed        Code = 5202
	AdminMalformed       Code = 5203
	AdminNotFound        Code = 5204
	StoreUnavailable     Code = 5301
	SettingsInvalid      Code = 5401
	PeerProtocol         Code = 5501
	PeerVersion          Code = 5502
)

// Info describes a code.
type Info struct {
	Code    Code
	Name    string
	Message string
	Run     Run
	Retry   Retry
	// RetryAfter is the least time to wait before a repeat; zero where it does not apply.
	RetryAfter time.Duration
}

// Error is an error with a result code.
type Error struct {
	Code   Code
	Detail string
	// RetryAfter overrides the table's value when it is not zero.
	RetryAfter time.Duration
}

// Error returns the code, its message and the detail.
func (e *Error) Error() string {
	info := Lookup(e.Code)
	if e.Detail == "" {
		return fmt.Sprintf("%d %s", e.Code, info.Message)
	}
	return fmt.Sprintf("%d %s: %s", e.Code, info.Message, e.Detail)
}

// Errorf returns an Error with the given code and a formatted detail.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// As returns err as an Error; an error without a code gets the given one. err must not be nil.
func As(err error, code Code) *Error {
	var numbered *Error
	if errors.As(err, &numbered) {
		return numbered
	}
	return Errorf(code, "%v", err)
}
