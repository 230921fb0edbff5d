package grant

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/upstream"
)

const (
	// TickInterval is the interval at which a Manager expects Tick events.
	TickInterval = 50 * time.Millisecond
	// StoreTimeout is the timeout of one call to the store.
	StoreTimeout = time.Second
)

// ReclaimAfter is the delay between finding that a host is cleared and reclaiming its slots. A host renews task leases
// only while it is permitted to start work, but one last delayed renewal may still arrive before a lease expires, so
// two lease durations must pass.
var ReclaimAfter = control.WithClockDrift(2 * upstream.TaskLeaseTTL)

// UnstartedReleaseTime returns the time at which the slots of an attempt may be released if its reservation was
// requested by now, Start was not sent, and the upstream did not confirm that the reservation was released.
func UnstartedReleaseTime(now time.Time) time.Time {
	return now.Add(control.WithClockDrift(upstream.ReservationTTL))
}

// StartedReleaseTime returns the time at which the slots of an attempt may be released if nothing is known of its end.
// lastSent is when the last call, Start or Renew, was sent; the call before it must have been answered. The last call
// may take effect until the current lease expires and then extends it by another lease, so two lease durations count.
func StartedReleaseTime(lastSent time.Time) time.Time {
	return lastSent.Add(control.WithClockDrift(2 * upstream.TaskLeaseTTL))
}

// Event is an input of Manager.Step.
type Event interface{ isEvent() }

// Tick must be sent every TickInterval.
type Tick struct {
	// StoreConfirmedAt is control.Core.StoreConfirmedAt: a time at or after which the store is known to have held the
	// record of the last Config. While it is zero, the entries of hosts that were in no Config's record are not
	// reclaimed.
	StoreConfirmedAt time.Time
}

// Config must be sent when the host adopts a control record.
type Config struct {
	Record *control.Record
	// Caps holds the cap of every team in the bundle that Record refers to. Both must be passed together.
	Caps map[string]int
}

// Demand must be sent when the demand of teams on this host changes. Teams that it does not contain keep their demand.
type Demand struct {
	Teams map[string]TeamDemand
}

// TeamDemand is the demand of a team's tasks that wait on this host.
type TeamDemand struct {
	// Slots is the sum of the slots of all waiting tasks.
	Slots int
	// SmallestTask is the number of slots of the smallest waiting task.
	SmallestTask int
}

// PeerDemand must be sent when reports of peers arrive. It replaces all earlier reports.
type PeerDemand struct {
	Teams map[string]PeerUse
}

// PeerUse is a team's total use and unmet demand on all other hosts.
type PeerUse struct {
	InUse int
	// Unmet is the sum of the peers' Manager.Unmet.
	Unmet int
}

// Leave must be sent once, when the host starts to shut down. The manager then returns the host's slots as its work
// ends.
type Leave struct{}

// ReadDone is the response to Read.
type ReadDone struct {
	Team  string
	Op    uint64
	Entry platform.Entry
	Err   error
}

// WriteDone is the response to Write.
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

// Effect is a call to the store that Manager.Step requests. The event that Run returns must be passed to Manager.Step,
// even if the call failed.
type Effect interface {
	// Run performs the call with a timeout of StoreTimeout and returns the response.
	Run(ctx context.Context, store platform.Store) Event
}

// Read requests a team's ledger.
type Read struct {
	Team string
	Op   uint64
}

// Write requests a compare-and-swap of a team's ledger.
type Write struct {
	Team     string
	Op       uint64
	Revision uint64
	Value    []byte
}

// Run reads the ledger. If there is none, the response holds an entry with revision 0.
func (r Read) Run(ctx context.Context, store platform.Store) Event {
	ctx, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	entry, err := store.Get(ctx, LedgerKey(r.Team))
	if errors.Is(err, platform.ErrNotFound) {
		entry, err = platform.Entry{}, nil
	}
	return ReadDone{Team: r.Team, Op: r.Op, Entry: entry, Err: err}
}

// Run writes the ledger.
func (w Write) Run(ctx context.Context, store platform.Store) Event {
	ctx, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	revision, err := store.CompareAndSwap(ctx, LedgerKey(w.Team), w.Revision, w.Value)
	return WriteDone{Team: w.Team, Op: w.Op, Revision: revision, Err: err}
}
