package dispatch

import (
	"time"

	"citrongauge.example/citrongauge/routing"
	"citrongauge.example/citrongauge/upstream"
)

// Event is an input of a Machine.
type Event interface{ event() }

// Begin starts the task.
type Begin struct{}

// Acquired is the answer to the effect Acquire.
type Acquired struct{ Err error }

// Picked is the answer to the effect Pick.
type Picked struct {
	Candidate routing.Candidate
	Err       error
}

// Checked is the answer to the effect Check.
type Checked struct{ Err error }

// CallDone is the answer to the effect Call with the same ID.
type CallDone struct {
	ID      uint64
	Err     error
	Attempt upstream.Attempt // Result, Stop
	Status  upstream.Status  // Status
	Unknown []string         // Renew
}

// Cancel asks for the end of the task.
type Cancel struct{}

// Tick lets the machine act on the time.
type Tick struct{}

func (Begin) event()    {}
func (Acquired) event() {}
func (Picked) event()   {}
func (Checked) event()  {}
func (CallDone) event() {}
func (Cancel) event()   {}
func (Tick) event()     {}

// Effect is an output of a Machine. Acquire, Pick, Check and Call are each answered by one event.
type Effect interface{ effect() }

// Acquire asks the Gate for the task's slots.
type Acquire struct{}

// FreeSlots gives the slots back after the given time, at once if it is zero.
type FreeSlots struct{ After time.Duration }

// Pick asks for an upstream. With Retry set it also takes a retry from the budget, and the answer is
// ErrRetryBudget if there is none.
type Pick struct {
	Exclude []string
	Retry   bool
}

// Check asks the Gate whether work may start at a host.
type Check struct{ Host string }

// NoteStart counts the first start of the task for the retry budget.
type NoteStart struct{}

// Kind is the kind of a Call.
type Kind int

// The values of Kind.
const (
	CallReserve Kind = iota
	CallStart
	CallResult
	CallRenew
	CallRelease
	CallStop
	CallStatus
)

// Call is a call to an upstream. A new call other than CallRenew supersedes the one before.
type Call struct {
	ID        uint64
	Kind      Kind
	Candidate routing.Candidate
	AttemptID string
	Timeout   time.Duration
	Wait      time.Duration // CallResult
}

// EndAttempt gives a Candidate back with what was learnt of it.
type EndAttempt struct {
	Candidate routing.Candidate
	Report    routing.Report
}

// Absolve takes one failure of a host back.
type Absolve struct{ Host string }

// Finish is the answer to the caller. It is the last effect of a machine.
type Finish struct{ Answer Answer }

func (Acquire) effect()    {}
func (FreeSlots) effect()  {}
func (Pick) effect()       {}
func (Check) effect()      {}
func (NoteStart) effect()  {}
func (Call) effect()       {}
func (EndAttempt) effect() {}
func (Absolve) effect()    {}
func (Finish) effect()     {}
