package control

import (
	"time"

	"citrongauge.example/citrongauge/result"
)

// Event is an input of Core.Step.
type Event interface{ isEvent() }

// Tick drives all timers. The daemon passes it every TickInterval.
type Tick struct{}

// Snapshot is what a read of StoreKey returned. The zero value stands for a store without a record.
type Snapshot struct {
	// StoreRevision is the store's revision of the key.
	StoreRevision uint64
	// Record is nil if StoreRevision is the Known value of the effect that asked for the read.
	Record *Record
	// Bundle is nil if the record's bundle version is the KnownVersion of the effect that asked for the read.
	Bundle []byte
}

// StoreRead answers ReadStore.
type StoreRead struct {
	ID       uint64
	Snapshot Snapshot
	Err      error
}

// StoreWatched answers WatchStore.
type StoreWatched struct {
	ID       uint64
	Snapshot Snapshot
	Err      error
}

// CASOutcome is the outcome of a compare-and-swap.
type CASOutcome int

// The values of CASOutcome.
const (
	CASUnknown  CASOutcome = iota // no answer; the write may still be applied
	CASApplied                    // written
	CASConflict                   // the store's revision was another one
)

// CASAnswered answers CompareAndSwap. StoreRevision is the new one if the outcome is CASApplied.
type CASAnswered struct {
	ID            uint64
	Outcome       CASOutcome
	StoreRevision uint64
}

// HeartbeatReceived is a heartbeat from an authenticated peer.
type HeartbeatReceived struct {
	From      Member
	Heartbeat Heartbeat
}

// RecordPushed is a record from an authenticated peer with its bundle.
type RecordPushed struct {
	From   Member
	Record Record
	Bundle []byte
}

// Join asks the core to enter the roster and to stay in it until it is evicted or leaves.
type Join struct{}

// Drain withdraws permission for good. The host stays in the roster while its work ends.
type Drain struct{}

// Leave drains and then takes the host off the roster. Effect Left follows. It must come after the host's last
// running task has ended.
type Leave struct{}

// StartsEnded reports that every start whose permission check was made under a revision below Revision has been
// answered or has lapsed. It must be decided after the step that adopted Revision has returned, because permission
// under the previous revision can be read until then. Without it the core assumes this after ReservationTTL.
type StartsEnded struct{ Revision uint64 }

// RollOut asks for a new bundle version. The bundle must already be in the store. WriteResult follows.
type RollOut struct {
	ID string
	// Base is the version from which the bundle was edited; another version in force is a conflict.
	Base    uint64
	Version uint64
	Digest  [32]byte
	Bundle  []byte
}

// Propose asks for a change of the record. WriteResult follows.
type Propose struct {
	ID string
	// Mutate changes a copy of the record in place. It is called again on a newer record after a conflict. It
	// may change Assignments and PoolSeq only. An error ends the proposal; ErrNoChange ends it with success.
	Mutate func(*Record) error
}

// Clear takes evicted hosts off the departed list on an operator's word that they run no more. Without it a
// revision cannot be settled if the majority of every zone was lost at once: such hosts cannot be told from ones
// that are cut off together and go on in store-outage mode. WriteResult follows.
type Clear struct {
	ID    string
	Hosts []string
}

func (Tick) isEvent()              {}
func (StoreRead) isEvent()         {}
func (StoreWatched) isEvent()      {}
func (CASAnswered) isEvent()       {}
func (HeartbeatReceived) isEvent() {}
func (RecordPushed) isEvent()      {}
func (Join) isEvent()              {}
func (Drain) isEvent()             {}
func (Leave) isEvent()             {}
func (StartsEnded) isEvent()       {}
func (RollOut) isEvent()           {}
func (Propose) isEvent()           {}
func (Clear) isEvent()             {}

// Effect is an output of Core.Step that the daemon performs.
type Effect interface{ isEffect() }

// ReadStore asks for a read of StoreKey, answered by StoreRead.
type ReadStore struct {
	ID uint64
	// Known is the store revision whose record the core holds, KnownVersion the bundle version it holds.
	Known        uint64
	KnownVersion uint64
}

// WatchStore asks for a watch of StoreKey for a revision above Known, answered by StoreWatched.
type WatchStore struct {
	ID           uint64
	Known        uint64
	KnownVersion uint64
}

// CompareAndSwap asks for a write of StoreKey at the store revision Expected, answered by CASAnswered.
type CompareAndSwap struct {
	ID       uint64
	Expected uint64
	Record   Record
}

// SendHeartbeat sends a heartbeat. To has only an address if the core holds no record.
type SendHeartbeat struct {
	To        Member
	Heartbeat Heartbeat
}

// PushRecord sends the record in force with its bundle.
type PushRecord struct {
	To     Member
	Record *Record
	Bundle []byte
}

// Adopted reports a new record in force. Record and Bundle must not be changed.
type Adopted struct {
	Record *Record
	Bundle []byte
	Info   BundleInfo
}

// Accepted reports that no host can start work under a lower bundle version any more.
type Accepted struct{ Version uint64 }

// Evicted reports that the host was taken off the roster by others. It needs a new incarnation with a new core.
type Evicted struct{ Revision uint64 }

// Left reports that the host has left the roster on its own request.
type Left struct{}

// Refused reports a record that was not adopted.
type Refused struct {
	From     string // member ID, or empty for the store
	Revision uint64
	Err      error
}

// WriteResult is the outcome of RollOut or Propose. Err is nil if the change is committed at Revision. After
// result.RolloutUnresolved a second WriteResult may follow.
type WriteResult struct {
	ID       string
	Revision uint64
	Err      *result.Error
}

func (ReadStore) isEffect()      {}
func (WatchStore) isEffect()     {}
func (CompareAndSwap) isEffect() {}
func (SendHeartbeat) isEffect()  {}
func (PushRecord) isEffect()     {}
func (Adopted) isEffect()        {}
func (Accepted) isEffect()       {}
func (Evicted) isEffect()        {}
func (Left) isEffect()           {}
func (Refused) isEffect()        {}
func (WriteResult) isEffect()    {}

// Heartbeat is exchanged between entry hosts. Ages are those at the time of composing, in the units of Age. Masks
// refer to the roster of the sender's zone at Revision.
type Heartbeat struct {
	Seq      uint64 `cbor:"1,keyasint"`
	Echo     uint64 `cbor:"2,keyasint,omitempty"` // last Seq received from the other side
	Revision uint64 `cbor:"3,keyasint"`
	Fresh    Age    `cbor:"4,keyasint,omitempty"`
	// ZoneAges has the attestation age of each zone, in the order of the zones' names.
	ZoneAges []Age `cbor:"5,keyasint,omitempty"`
	// Held marks members that hold Revision; Drained those that in addition have no start from before it.
	Held    Mask `cbor:"6,keyasint,omitempty"`
	Drained Mask `cbor:"7,keyasint,omitempty"`
	// Heard marks members that the sender has heard from itself.
	Heard Mask  `cbor:"8,keyasint,omitempty"`
	Flags Flags `cbor:"9,keyasint,omitempty"`
	// Blocked is the time since the sender's zone was blocked for the revision BlockedAt (see settle.go).
	BlockedAt uint64 `cbor:"10,keyasint,omitempty"`
	Blocked   Age    `cbor:"11,keyasint,omitempty"`
}

// Flags are properties of a heartbeat's sender.
type Flags uint8

// The values of Flags.
const (
	FlagRelay   Flags = 1 << iota // acts as the relay of its zone
	FlagWant                      // asks for the receiver's record
	FlagLeaving                   // does not attest its revision any more
)

// Age is a duration in milliseconds plus one; 0 stands for "never". Ages of freshness are rounded up.
type Age uint32

// maxAge keeps an age within 32 bits; older is the same as never.
const maxAge = 24 * time.Hour

func ageOf(now, at time.Time) Age {
	d := now.Sub(at)
	if at.IsZero() || d > maxAge {
		return 0
	}
	return Age((max(d, 0)+time.Millisecond-1)/time.Millisecond) + 1
}

func (a Age) duration() time.Duration { return time.Duration(a-1) * time.Millisecond }
