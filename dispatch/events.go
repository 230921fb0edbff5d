package dispatch

import (
	"time"

	"citrongauge.example/citrongauge/routing"
	"citrongauge.example/citrongauge/upstream"
)

// Event is an input to a StateMachine.
type Event interface{ event() }

// Begin starts the task.
type Begin struct{}

// Acquired is the result of the effect Acquire.
type Acquired struct{ Err error }

// Picked is the result of the effect Pick.
type Picked struct {
	Selection routing.Selection
	Err       error
}

// Checked is the result of the effect Check.
type Checked struct{ Err error }

// CallDone is the result of the effect Call with the same ID. The comments name the kinds of call that set a field.
type CallDone struct {
	ID              uint64
	Err             error
	Attempt         upstream.Attempt // Result, Stop
	Status          upstream.Status  // Status
	UnknownAttempts []string         // Renew
}

// Cancel requests cancellation of the task.
type Cancel struct{}

// Tick lets the state machine act on the time that has passed. It is due at StateMachine.NextWake.
type Tick struct{}

func (Begin) event()    {}
func (Acquired) event() {}
func (Picked) event()   {}
func (Checked) event()  {}
func (CallDone) event() {}
func (Cancel) event()   {}
func (Tick) event()     {}

// Effect is an output of a StateMachine. Acquire, Pick, Check and Call each produce one event as their result.
type Effect interface{ effect() }

// Acquire asks the Gate for the task's slots.
type Acquire struct{}

// ReleaseSlots returns the slots to the Gate after the given time, or at once if it is zero.
type ReleaseSlots struct{ After time.Duration }

// Pick asks the Router for an upstream. With Retry set it also takes a retry from the budget; the result is
// ErrRetryBudget if none is left.
type Pick struct {
	Exclude []string
	Retry   bool
}

// Check asks the Gate whether work may start on an upstream host.
type Check struct{ Host string }

// RecordStart counts the first start of the task in the retry budget.
type RecordStart struct{}

// CallKind is the kind of a Call: the upstream.Client method that it calls.
type CallKind int

// The values of CallKind.
const (
	CallReserve CallKind = iota
	CallStart
	CallResult
	CallRenew
	CallRelease
	CallStop
	CallStatus
)

// Call is a call to an upstream. A new call other than CallRenew supersedes the previous one.
type Call struct {
	ID        uint64
	Kind      CallKind
	Selection routing.Selection
	AttemptID string
	Timeout   time.Duration
	Wait      time.Duration // CallResult: how long the upstream may hold the response back until the attempt ends
}

// EndAttempt passes a Selection back to the Router with a report on how the attempt ended.
type EndAttempt struct {
	Selection routing.Selection
	Report    routing.Report
}

// RetractFailure retracts one failure that was reported for a host.
type RetractFailure struct{ Host string }

// Finish returns the answer to the caller. It is the last effect of a state machine.
type Finish struct{ Answer Answer }

func (Acquire) effect()        {}
func (ReleaseSlots) effect()   {}
func (Pick) effect()           {}
func (Check) effect()          {}
func (RecordStart) effect()    {}
func (Call) effect()           {}
func (EndAttempt) effect()     {}
func (RetractFailure) effect() {}
func (Finish) effect()         {}
