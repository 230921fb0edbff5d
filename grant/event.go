package grant

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/upstream"
)

// Times of this package.
const (
	// TickInterval is the interval at which a Manager expects Tick events.
	TickInterval = 50 * time.Millisecond
	// StoreTimeout bounds one call to the store.
	StoreTimeout = time.Second
)

// ReclaimAfter is the time from the moment at which a host is seen to be cleared until its grants return. A task
// lease is renewed only with permission to start, but one last renewal that was delayed on its way may still
// arrive before the lease lapses, so two leases have to pass.
var ReclaimAfter = control.Stretch(2 * upstream.TaskLeaseTTL)

// HoldUnstarted returns the time until which the slots of an attempt must be held whose reservation was asked for
// by now, for which Start was not sent and whose release was not confirmed.
func HoldUnstarted(now time.Time) time.Time {
	return now.Add(control.Stretch(upstream.ReservationTTL))
}

// HoldStarted returns the time until which the slots of an attempt must be held if nothing is known of its end.
// lastSent is when Start or the last Renew was sent, with the call before it answered. That last call may take
// effect until the lease before it lapses, and extends it by another one.
func HoldStarted(lastSent time.Time) time.Time {
	return lastSent.Add(control.Stretch(2 * upstream.TaskLeaseTTL))
}

// Event is an input of Manager.Step.
type Event interface{ isEvent() }

// Tick is sent every TickInterval.
type Tick struct {
	// FreshAt is the control state's freshAt: the record of the last Config was the store's at some moment at or
	// after it. Without it no grant of an unknown host is reclaimed.
	FreshAt time.Time
}

// Config is sent when a control record is adopted.
type Config struct {
	Record *control.Record
	// Caps holds the cap of every team in the bundle that Record names. Both must be published together.
	Caps map[string]int
}

// Demand is sent when the demand of teams on this host changes. Teams that are not named keep theirs.
type Demand struct {
	Teams map[string]Waiting
}

// Waiting is the demand of a team that waits on this host.
type Waiting struct {
	// Slots is the sum of the slots of all waiting tasks.
	Slots int
	// Next is the size of the smallest waiting task.
	Next int
}

// PeerDemand is sent when reports of peers arrive. It replaces all earlier ones.
type PeerDemand struct {
	Teams map[string]PeerUse
}

// PeerUse is the use and the unmet demand of a team on all other hosts together.
type PeerUse struct {
	InUse int
	// Unmet is the sum of the peers' Manager.Unmet.
	Unmet int
}

// Leave is sent once, when the host starts to shut down. Its grants return as its work ends.
type Leave struct{}

// ReadDone is the answer to Read.
type ReadDone struct {
	Team  string
	Op    uint64
	Entry platform.Entry
	Err   error
}

// WriteDone is the answer to Write.
type WriteDone struct {
	Team     string
	Op       uint64
	Revision uint64
	Err      error
}

func (Tick) isEvent()       {}
func (Config) isEvent()     {}
func (Demand) isEvent()     {}
func (PeerDemand) isEvent() {}
func (Leave) isEvent()      {}
func (ReadDone) isEvent()   {}
func (WriteDone) isEvent()  {}

// Effect is a call to the store that Manager.Step asks for. Each one must be answered by its event, also if the
// call failed.
type Effect interface {
	// Run performs the call within StoreTimeout and returns the answer.
	Run(ctx context.Context, store platform.Store) Event
}

// Read asks for a team's ledger.
type Read struct {
	Team string
	Op   uint64
}

// Write asks for a compare-and-swap of a team's ledger.
type Write struct {
	Team     string
	Op       uint64
	Revision uint64
	Value    []byte
}

// Run reads the ledger. A missing one is an entry with revision 0.
func (r Read) Run(ctx context.Context, store platform.Store) Event {
	ctx, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	entry, err := store.Get(ctx, Key(r.Team))
	if errors.Is(err, platform.ErrNotFound) {
		entry, err = platform.Entry{}, nil
	}
	return ReadDone{Team: r.Team, Op: r.Op, Entry: entry, Err: err}
}

// Run writes the ledger.
func (w Write) Run(ctx context.Context, store platform.Store) Event {
	ctx, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	revision, err := store.CompareAndSwap(ctx, Key(w.Team), w.Revision, w.Value)
	return WriteDone{Team: w.Team, Op: w.Op, Revision: revision, Err: err}
}
