// Package result defines the numbered result codes that are returned to callers, operators and other hosts.
//
// A code states whether the work was run, whether the caller may retry the request and after what time. The table is
// also in docs/ERRORS.md; a test checks that both are equal.
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
	// RunNotApplicable marks codes that are not about a task, such as a bundle error.
	RunNotApplicable Run = "none"
)

// Retry states whether the caller may retry the request.
type Retry string

// The values of Retry.
const (
	// RetryNever means that the same request would fail again.
	RetryNever Retry = "never"
	// RetrySameID means that a retry is safe only with the same request ID, or if the request is idempotent.
	RetrySameID Retry = "same-id"
	// RetryAny means that a retry is safe, also as a new request with a new request ID.
	RetryAny Retry = "any"
)

// Codes of requests that succeeded or are in progress.
const (
	OK       Code = 1000
	Accepted Code = 1001 // submitted without waiting; the caller fetches the outcome later
	Pending  Code = 1002 // the task is queued or running
)

// Codes of requests that were rejected. The work was not run.
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
	RequestIDMismatch  Code = 2010 // the ID was used with a different request
	RequestIDNotRun    Code = 2011 // recovery proved that the request with this ID was not run and never will be
	QueueFull          Code = 2101
	DeadlineTooShort   Code = 2102 // rejected on arrival: the queue is too long for the deadline
	DeadlinePassed     Code = 2103 // the deadline passed before the task was started
	ZoneOutOfService   Code = 2104
	NoPermission       Code = 2105 // this host may not start work now
	ShuttingDown       Code = 2106
	CancelledBeforeRun Code = 2107
	NoUpstream         Code = 2108
	RetriesExhausted   Code = 2109 // every attempt was rejected before it was started
	CapZero            Code = 2110
)

// Codes of requests for which it is unknown whether the work was run.
const (
	StartAnswerLost    Code = 3001
	OwnerUnreachable   Code = 3002
	OwnerLost          Code = 3003
	UpstreamLost       Code = 3004
	AnswerIncomplete   Code = 3005
	AnswerMismatched   Code = 3006
	RequestIDForgotten Code = 3007 // the ID is older than its retention time
	RequestNotRead     Code = 3008 // this host had no room to read the request; an earlier one with the same ID may have run
)

// Codes of requests whose work was run and did not succeed.
const (
	TaskFailed        Code = 4001
	CancelledRunning  Code = 4002
	StoppedLeaseLapse Code = 4003
	FailsEverywhere   Code = 4004
	StoppedByDrain    Code = 4005
)

// Codes of bundles, rollouts, administration, the store, settings and the peer protocol.
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
	// RetryAfter is the minimum time to wait before a retry, or zero if none applies.
	RetryAfter time.Duration
}

// Error is an error with a result code.
type Error struct {
	Code   Code
	Detail string
	// RetryAfter overrides the value in the table if it is not zero.
	RetryAfter time.Duration
}

// Error returns the code, its message and the detail, if any.
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

// FromError returns the Error in err's chain, or a new Error with the given code and err's text if there is none. err
// must not be nil.
func FromError(err error, code Code) *Error {
	var resultErr *Error
	if errors.As(err, &resultErr) {
		return resultErr
	}
	return Errorf(code, "%v", err)
}
