package control

import (
	"time"

	"citrongauge.example/citrongauge/result"
)

// Event is an input to Core.Step.
type Event interface{ isEvent() }

// Tick drives all timers. The daemon sends it every TickInterval.
type Tick struct{}

// Snapshot is the result of reading StoreKey. The zero value means that the store has no record.
type Snapshot struct {
	// StoreRevision is the store's revision of StoreKey.
	StoreRevision uint64
	// Record is nil if StoreRevision equals KnownRevision of the request.
	Record *Record
	// Bundle is nil if the record's bundle version equals KnownBundleVersion of the request.
	Bundle []byte
}

// StoreReadCompleted is the result of a ReadStore effect.
type StoreReadCompleted struct {
	ID       uint64
	Snapshot Snapshot
	Err      error
}

// StoreWatchCompleted is the result of a WatchStore effect.
type StoreWatchCompleted struct {
	ID       uint64
	Snapshot Snapshot
	Err      error
}

// CASOutcome is the outcome of a compare-and-swap.
type CASOutcome int

// The values of CASOutcome.
const (
	CASUnknown  CASOutcome = iota // no response; the write may still be applied
	CASApplied                    // the record was written
	CASConflict                   // the store's revision differed from the expected one
)

// CASCompleted is the result of a CompareAndSwap effect. StoreRevision is the new store revision if Outcome is
// CASApplied.
type CASCompleted struct {
	ID            uint64
	Outcome       CASOutcome
	StoreRevision uint64
}

// HeartbeatReceived is a heartbeat from an authenticated peer.
type HeartbeatReceived struct {
	From      Member
	Heartbeat Heartbeat
}

// RecordPushed is a record with its bundle from an authenticated peer.
type RecordPushed struct {
	From   Member
	Record Record
	Bundle []byte
}

// Join makes the core add the host to the roster and keep it there until it is evicted or leaves.
type Join struct{}

// Drain permanently withdraws permission to start work. The host stays in the roster while its running work ends.
type Drain struct{}

// Leave drains the host and then removes it from the roster, which is reported by the Left effect. It must be sent
// after the host's last running task has ended.
type Leave struct{}

// StartsEnded reports that every start whose permission was checked under a revision below Revision has completed or
// expired. The caller must determine this after the step that adopted Revision has returned, because the permit of
// the previous revision can be read until then. Without this event the core assumes it once ReservationTTL has
// passed.
type StartsEnded struct{ Revision uint64 }

// Rollout requests a new bundle version. The bundle must already be in the store. The outcome is reported by a
// WriteResult effect.
type Rollout struct {
	ID string
	// Base is the version that the new bundle was edited from. The rollout conflicts if the current version differs.
	Base    uint64
	Version uint64
	Digest  [32]byte
	Bundle  []byte
}

// Propose requests a change of the record. The outcome is reported by a WriteResult effect.
type Propose struct {
	ID string
	// Mutate modifies a copy of the record in place and is called again on a newer record after a conflict. It may
	// modify only Assignments and PoolSeq. An error ends the proposal; ErrNoChange ends it successfully.
	Mutate func(*Record) error
}

// ClearDeparted removes evicted hosts from the departed list after an operator has confirmed that they no longer run.
// It is needed when the majority of every zone was lost at once: such hosts cannot be distinguished from hosts that are
// partitioned together and continue in ModeOutage, so no revision can be settled without it. The outcome is reported by
// a WriteResult effect.
type ClearDeparted struct {
	ID    string
	Hosts []string
}

func (Tick) isEvent()                {}
func (StoreReadCompleted) isEvent()  {}
func (StoreWatchCompleted) isEvent() {}
func (CASCompleted) isEvent()        {}
func (HeartbeatReceived) isEvent()   {}
func (RecordPushed) isEvent()        {}
func (Join) isEvent()                {}
func (Drain) isEvent()               {}
func (Leave) isEvent()               {}
func (StartsEnded) isEvent()         {}
func (Rollout) isEvent()             {}
func (Propose) isEvent()             {}
func (ClearDeparted) isEvent()       {}

// Effect is an output of Core.Step. The daemon performs it.
type Effect interface{ isEffect() }

// ReadStore requests a read of StoreKey. StoreReadCompleted reports the result.
type ReadStore struct {
	ID uint64
	// KnownRevision is the store revision of the record that the core holds; KnownBundleVersion is the bundle version
	// of that record.
	KnownRevision      uint64
	KnownBundleVersion uint64
}

// WatchStore requests a watch of StoreKey for a revision above KnownRevision. StoreWatchCompleted reports the result.
type WatchStore struct {
	ID                 uint64
	KnownRevision      uint64
	KnownBundleVersion uint64
}

// CompareAndSwap requests a write of StoreKey if its store revision is Expected. CASCompleted reports the result.
type CompareAndSwap struct {
	ID       uint64
	Expected uint64
	Record   Record
}

// SendHeartbeat sends a heartbeat. Only the address in To is set if the core holds no record.
type SendHeartbeat struct {
	To        Member
	Heartbeat Heartbeat
}

// PushRecord sends the current record and its bundle to a peer.
type PushRecord struct {
	To     Member
	Record *Record
	Bundle []byte
}

// RecordAdopted reports a new current record. The receiver must not modify Record or Bundle.
type RecordAdopted struct {
	Record *Record
	Bundle []byte
	Info   BundleInfo
}

// BundleAccepted reports that no host can start work under a lower bundle version any more.
type BundleAccepted struct{ Version uint64 }

// Evicted reports that another host removed this host from the roster and that this host is not on the departed list,
// so that it cannot return. It needs a new incarnation with a new core.
type Evicted struct{ Revision uint64 }

// Left reports that the host has left the roster at its own request.
type Left struct{}

// RecordRejected reports a record that was rejected and not adopted.
type RecordRejected struct {
	From     string // member ID, or empty if the record came from the store
	Revision uint64
	Err      error
}

// WriteResult is the outcome of Rollout, Propose or ClearDeparted. Err is nil if the change is committed at
// Revision. A second WriteResult may follow one with result.RolloutUnresolved.
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
func (RecordAdopted) isEffect()  {}
func (BundleAccepted) isEffect() {}
func (Evicted) isEffect()        {}
func (Left) isEffect()           {}
func (RecordRejected) isEffect() {}
func (WriteResult) isEffect()    {}

// Heartbeat is the message that entry hosts exchange periodically. Ages are measured when the message is composed.
// Masks refer to the roster of the sender's zone at Revision.
type Heartbeat struct {
	Seq      uint64 `cbor:"1,keyasint"`
	Echo     uint64 `cbor:"2,keyasint,omitempty"` // last Seq received from the receiver of this heartbeat
	Revision uint64 `cbor:"3,keyasint"`
	FreshAge Age    `cbor:"4,keyasint,omitempty"`
	// ZoneAges holds the age of each zone's attestation, ordered by zone name.
	ZoneAges []Age `cbor:"5,keyasint,omitempty"`
	// Held marks members that hold Revision. Drained marks those of them that have no pending start from a lower
	// revision; this is unrelated to the Drain event.
	Held    Mask `cbor:"6,keyasint,omitempty"`
	Drained Mask `cbor:"7,keyasint,omitempty"`
	// Heard marks members from which the sender itself has recently received a heartbeat.
	Heard Mask  `cbor:"8,keyasint,omitempty"`
	Flags Flags `cbor:"9,keyasint,omitempty"`
	// BlockedRevision is the revision for which the sender's zone is blocked (see Core.isBlocked), or 0 if there is
	// none. BlockedAge is the time since it was blocked.
	BlockedRevision uint64 `cbor:"10,keyasint,omitempty"`
	BlockedAge      Age    `cbor:"11,keyasint,omitempty"`
}

// Flags describes the sender of a heartbeat.
type Flags uint8

// The values of Flags.
const (
	FlagRelay         Flags = 1 << iota // the sender is the relay of its zone
	FlagRequestRecord                   // the sender requests the receiver's record
	FlagLeaving                         // the sender no longer attests its revision
)

// Age is a duration in milliseconds plus one; 0 means "never". Ages are rounded up, so that data does not appear
// fresher than it is.
type Age uint32

// maxAge keeps an Age within 32 bits. Longer durations are encoded as "never".
const maxAge = 24 * time.Hour

func ageOf(now, at time.Time) Age {
	d := now.Sub(at)
	if at.IsZero() || d > maxAge {
		return 0
	}
	return Age((max(d, 0)+time.Millisecond-1)/time.Millisecond) + 1
}

func (a Age) duration() time.Duration { return time.Duration(a-1) * time.Millisecond }
