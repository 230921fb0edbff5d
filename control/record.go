// Package control implements the control record and the decisions based on it: which revision a host holds and how
// fresh it is, whether the host may start work, which hosts are evicted, and when a rollout is accepted.
//
// All decisions are pure functions of state, event and time. The daemon's control goroutine owns the state and
// performs the effects. See docs/design.md, section 4.
package control

import (
	"time"

	"citrongauge.example/citrongauge/upstream"
)

// StoreKey is the key of the control record in the store.
const StoreKey = "control"

// Timing of the protocol between entry hosts. A host that waits for another host's permission to expire lengthens
// the wait with WithClockDrift.
const (
	// PermitTTL is how long a host may start work after a time at which the store is known to have held its revision.
	PermitTTL = 1200 * time.Millisecond
	// AttestTTL is how long the attestation of a zone by a majority of its members is valid.
	AttestTTL         = 1800 * time.Millisecond
	HeartbeatInterval = 250 * time.Millisecond
	StoreReadInterval = 400 * time.Millisecond
	// RelayTimeout is the silence after which another member takes over from the relay of a zone.
	RelayTimeout = 1000 * time.Millisecond
	// EvictAfter is the silence after which a suspect is evicted.
	EvictAfter = 3000 * time.Millisecond
	// ReservationTTL is how long after a permission check the start may still happen.
	ReservationTTL = upstream.ReservationTTL
	// TickInterval is the interval at which the daemon sends Tick.
	TickInterval = 25 * time.Millisecond
	// StoreTimeout is the time after which an unanswered store call counts as failed.
	StoreTimeout = 1000 * time.Millisecond
	// SuspectAfter is the silence after which a relay marks a member as suspect. The rest of EvictAfter is the time
	// that the suspect has to refute the suspicion.
	SuspectAfter      = 1500 * time.Millisecond
	clockDriftPercent = 5
)

// WithClockDrift lengthens d by the maximum drift between two clocks, that is, the difference in their rates.
func WithClockDrift(d time.Duration) time.Duration {
	return d + d*clockDriftPercent/100
}

// Record is the control record. It is modified only by compare-and-swap on StoreKey.
type Record struct {
	// Revision increases by one with every change.
	Revision uint64 `cbor:"1,keyasint"`
	// BundleVersion and BundleDigest identify the current bundle. BundleVersion never decreases, and BundleDigest
	// changes only together with it.
	BundleVersion uint64   `cbor:"2,keyasint"`
	BundleDigest  [32]byte `cbor:"3,keyasint"`
	// AcceptedVersion is the highest accepted bundle version: no host can start work under a lower one.
	AcceptedVersion uint64 `cbor:"4,keyasint"`
	// MaxServeForMS is the longest isolation time (ServeFor) of all bundles since the accepted one.
	MaxServeForMS int64 `cbor:"5,keyasint"`
	// Roster lists the entry hosts in the order in which they joined.
	Roster []Member `cbor:"6,keyasint"`
	// Departed lists evicted entry hosts that may still be able to start work.
	Departed []Member `cbor:"7,keyasint,omitempty"`
	// PastRosters lists the rosters of zones that were replaced since the last settled revision.
	PastRosters []PastRoster `cbor:"11,keyasint,omitempty"`
	// PoolSeq increases with every change of Assignments.
	PoolSeq     uint64       `cbor:"8,keyasint"`
	Assignments []Assignment `cbor:"9,keyasint"`
	// WriterNonce identifies the write that created this revision, so that the writer can recognize its own write if
	// the response was lost.
	WriterNonce string `cbor:"10,keyasint,omitempty"`
	// Suspects lists the IDs of members that a relay has not heard from. A suspect that can write to the store, or a
	// relay that hears the suspect, removes it from the list; otherwise it is evicted. Without this step, two zones
	// that reach the store but not each other would repeatedly evict one another.
	Suspects []string `cbor:"12,keyasint,omitempty"`
	// SettledRevision is the highest revision known to be settled: no host can start work under a lower one.
	SettledRevision uint64 `cbor:"13,keyasint"`
}

// Member is an entry host.
type Member struct {
	// ID is unique for each start of the daemon.
	ID      string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"` // IP:port for connections from peers
}

// PastRoster is an earlier roster of a zone. A member that has not received a newer revision may still act on it.
type PastRoster struct {
	Zone    string   `cbor:"1,keyasint"`
	Members []string `cbor:"2,keyasint"`
	// Until is the revision that replaced this roster.
	Until uint64 `cbor:"3,keyasint"`
}

// HostState is the state of an upstream host's assignment.
type HostState string

// The values of HostState.
const (
	InService   HostState = "in_service"
	Draining    HostState = "draining"
	Maintenance HostState = "maintenance" // drained, being rebooted
	Stuck       HostState = "stuck"       // not drained in time
)

// Assignment assigns an upstream host to a pool. Each host has exactly one.
type Assignment struct {
	Host string `cbor:"1,keyasint"`
	Pool string `cbor:"2,keyasint"`
	// Epoch increases with every change of pool or state that takes the host out of service. Upstreams reject lower
	// epochs.
	Epoch uint64    `cbor:"3,keyasint"`
	State HostState `cbor:"4,keyasint"`
	// MoveTo is the pool that a draining host moves to; empty for maintenance.
	MoveTo string `cbor:"5,keyasint,omitempty"`
	// SinceUnixMS is the time of the last state change, by the writer's clock.
	SinceUnixMS int64 `cbor:"6,keyasint,omitempty"`
	// MaintainedUnixMS is the end of the last planned maintenance, by the writer's clock.
	MaintainedUnixMS int64 `cbor:"7,keyasint,omitempty"`
}

// ZoneMembers returns the members of a zone in roster order.
func (r *Record) ZoneMembers(zone string) []Member {
	var members []Member
	for _, m := range r.Roster {
		if m.Zone == zone {
			members = append(members, m)
		}
	}
	return members
}

// Member returns the member with the given ID.
func (r *Record) Member(id string) (Member, bool) {
	for _, m := range r.Roster {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// Assignment returns the assignment of an upstream host.
func (r *Record) Assignment(host string) (Assignment, bool) {
	for _, a := range r.Assignments {
		if a.Host == host {
			return a, true
		}
	}
	return Assignment{}, false
}
