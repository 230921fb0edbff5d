package control

import (
	"sync/atomic"
	"time"

	"citrongauge.example/citrongauge/result"
)

// BundleInfo holds the settings of a verified bundle that the core uses.
type BundleInfo struct {
	// ServeFor is how long a partitioned zone may continue to start work.
	ServeFor time.Duration
}

// Options configures a Core.
type Options struct {
	// Self identifies this incarnation of the entry host.
	Self Member
	// VerifyBundle checks the signature, version and digest of a bundle.
	VerifyBundle func(version uint64, digest [32]byte, bundle []byte) (BundleInfo, error)
	// NewNonce returns a new unique string for each write.
	NewNonce func() string
	// SeedAddresses lists addresses of other entry hosts. The core requests the record from them until it holds one.
	SeedAddresses []string
}

// Core is the control state machine of one incarnation of an entry host. Only Permission is safe for concurrent use;
// all other methods must be called from one goroutine.
type Core struct {
	opts    Options
	permit  atomic.Pointer[Permit]
	effects []Effect

	// The current record. It is never modified in place.
	record     *Record
	roster     *rosterIndex
	bundle     []byte
	bundleInfo BundleInfo

	lastStep time.Time
	// heldSince is the time of the first step after the current record was adopted. Until then another goroutine may
	// still read the permit of the previous revision.
	heldSince time.Time
	// freshAt is a time at or after which the store is known to have held the current revision, or zero if none is
	// known.
	freshAt time.Time
	// lastContact is the latest of freshAt and the oldest zone attestation. ServeFor counts from it.
	lastContact time.Time
	// zoneAttestedAt holds, by zone index of roster, the attestation of each zone: a time at or after which a majority
	// of its members held the current revision, or zero if none is known.
	zoneAttestedAt []time.Time
	// drainedRevision is the highest held revision for which no start under a lower revision is possible any more.
	drainedRevision uint64

	joinRequested bool
	joined        bool // was a member in an adopted record
	evicted       bool
	draining      bool
	leaving       bool
	left          bool
	leavingSince  time.Time // time of the first step after leaving was set

	peers              map[string]*peerState
	relay              bool
	sendNow            bool // send heartbeats in this step, before the regular interval ends
	immediateSendsLeft int
	recordRequestedAt  time.Time // time of the last request for a record
	recordSources      []Member  // members of other zones that announced a higher revision
	seedsRequestedAt   time.Time

	store  storeState
	writer writerState

	confirmations        map[string]confirmation
	targets              []*settleTarget // in ascending order of revision
	suspicions           map[string]*suspicion
	nextInternalWriteAt  time.Time
	lastRejectedRevision uint64
}

// New returns a core without a record and without permission to start work.
func New(opts Options) *Core {
	c := &Core{
		opts:          opts,
		peers:         make(map[string]*peerState),
		confirmations: make(map[string]confirmation),
		suspicions:    make(map[string]*suspicion),
	}
	c.store.pending = make(map[uint64]time.Time)
	c.permit.Store(&Permit{reason: reasonNoRecord})
	return c
}

// Record returns the current record, or nil. The caller must not modify it.
func (c *Core) Record() *Record { return c.record }

// IsRelay reports whether this host is the relay of its zone.
func (c *Core) IsRelay() bool { return c.relay }

// Step handles one event at the monotonic time now. The returned effects are valid until the next call.
func (c *Core) Step(now time.Time, ev Event) []Effect {
	c.effects = c.effects[:0]
	c.beginStep(now)
	c.handleEvent(now, ev)
	if _, isTick := ev.(Tick); isTick {
		c.runTimers(now)
	}
	c.advanceWriter(now)
	c.updatePermit(now)
	c.sendHeartbeats(now)
	c.lastStep = now
	return c.effects
}

func (c *Core) beginStep(now time.Time) {
	if c.record != nil && c.heldSince.IsZero() {
		c.heldSince = now
	}
	if c.leaving && c.leavingSince.IsZero() {
		c.leavingSince = now
	}
	if !c.lastStep.IsZero() && now.Sub(c.lastStep) > RelayTimeout/2 {
		c.resetSilenceTimers(now)
	}
}

func (c *Core) handleEvent(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case StoreReadCompleted:
		c.handleRead(now, ev.ID, ev.Snapshot, ev.Err)
	case StoreWatchCompleted:
		c.handleWatch(now, ev)
	case CASCompleted:
		c.handleCAS(now, ev)
	case HeartbeatReceived:
		c.handleHeartbeat(now, ev.From, ev.Heartbeat)
	case RecordPushed:
		c.handlePush(now, ev)
	case Join:
		c.joinRequested = true
	case Drain:
		c.draining = true
	case Leave:
		c.draining, c.leaving = true, true
	case StartsEnded:
		c.handleStartsEnded(ev.Revision)
	case Rollout:
		c.enqueueRollout(now, ev)
	case Propose:
		c.enqueueProposal(now, ev)
	case ClearDeparted:
		c.enqueue(now, &write{id: ev.ID, idempotent: true, mutate: func(r *Record) error { return clearDeparted(r, ev.Hosts) }})
	}
}

func (c *Core) runTimers(now time.Time) {
	c.updateRelay(now)
	c.scheduleReads(now)
	c.requestRecord(now)
	c.updateDrained(now)
	c.trackSettling(now)
	c.scheduleInternalWrite(now)
	c.completeUnjoinedLeave()
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) handlePush(now time.Time, ev RecordPushed) {
	if c.record != nil && ev.Record.Revision <= c.record.Revision {
		return
	}
	c.recordRequestedAt = time.Time{}
	if err := c.adopt(now, &ev.Record, ev.Bundle); err != nil {
		c.reportRejected(ev.From.ID, ev.Record.Revision, err)
	}
}

// reportRejected emits RecordRejected, only once for consecutive rejections of the same revision.
func (c *Core) reportRejected(from string, revision uint64, err error) {
	if c.lastRejectedRevision != revision || revision == 0 {
		c.emit(RecordRejected{From: from, Revision: revision, Err: err})
	}
	c.lastRejectedRevision = revision
}

// adopt makes a record with a higher revision the current one. bundle may be nil if the bundle version does not
// change. freshAt stays valid: the store held the previous revision at some moment after freshAt, so it reached the
// higher revision later than that.
func (c *Core) adopt(now time.Time, rec *Record, bundle []byte) error {
	if err := rec.validate(); err != nil {
		return err
	}
	if err := c.checkSuccessor(rec); err != nil {
		return err
	}
	sameBundle := c.record != nil && c.record.BundleVersion == rec.BundleVersion
	if !sameBundle {
		info, err := c.opts.VerifyBundle(rec.BundleVersion, rec.BundleDigest, bundle)
		if err != nil {
			return err
		}
		c.bundle, c.bundleInfo = bundle, info
	}
	previous := c.record
	c.record, c.roster = rec, newRosterIndex(rec, c.opts.Self)
	c.store.revision = 0
	c.heldSince = time.Time{}
	c.zoneAttestedAt = make([]time.Time, len(c.roster.zones))
	c.resetPeers(now)
	c.resetTargets()
	c.sendNow, c.immediateSendsLeft = true, maxImmediateSends
	c.emit(RecordAdopted{Record: c.record, Bundle: c.bundle, Info: c.bundleInfo})
	if rec.AcceptedVersion > 0 && (previous == nil || previous.AcceptedVersion < rec.AcceptedVersion) {
		c.emit(BundleAccepted{Version: rec.AcceptedVersion})
	}
	c.updateMembership()
	return nil
}

// checkSuccessor rejects a record whose revision is not higher, that has another bundle under the same version, or in
// which another value that must never decrease is lower.
func (c *Core) checkSuccessor(rec *Record) error {
	switch {
	case rec.Revision == 0:
		return result.Errorf(result.PeerProtocol, "control record: revision 0")
	case c.record == nil:
		return nil
	case rec.Revision <= c.record.Revision:
		return result.Errorf(result.VersionNotHigher, "control record: revision %d, held %d", rec.Revision, c.record.Revision)
	case rec.BundleVersion < c.record.BundleVersion:
		return result.Errorf(result.VersionNotHigher, "control record: bundle version %d, held %d", rec.BundleVersion, c.record.BundleVersion)
	case rec.BundleVersion == c.record.BundleVersion && rec.BundleDigest != c.record.BundleDigest:
		return result.Errorf(result.DigestMismatch, "control record: another bundle with version %d", rec.BundleVersion)
	case rec.AcceptedVersion < c.record.AcceptedVersion || rec.SettledRevision < c.record.SettledRevision:
		return result.Errorf(result.VersionNotHigher, "control record: accepted version or settled revision goes back")
	}
	return nil
}

func (c *Core) updateMembership() {
	_, member := c.record.Member(c.opts.Self.ID)
	switch {
	case member:
		c.joined = true
	case c.leaving && c.joined && !c.left:
		c.left = true
		c.emit(Left{})
	case containsMember(c.record.Departed, c.opts.Self.ID):
		c.joined = true // it was a member; nextInternalChange adds it again
	case c.joined && !c.evicted && !c.left:
		c.evicted = true
		c.emit(Evicted{Revision: c.record.Revision})
	}
}

// completeUnjoinedLeave emits Left for a host that was asked to leave before it joined.
func (c *Core) completeUnjoinedLeave() {
	if c.leaving && !c.left && !c.joined && c.writer.attempt == nil {
		c.left = true
		c.emit(Left{})
	}
}

func containsMember(members []Member, id string) bool {
	for i := range members {
		if members[i].ID == id {
			return true
		}
	}
	return false
}

func (c *Core) handleStartsEnded(revision uint64) {
	if c.record != nil && revision <= c.record.Revision && revision > c.drainedRevision {
		c.drainedRevision, c.sendNow = revision, true
	}
}

func (c *Core) updateDrained(now time.Time) {
	if c.record != nil && c.drainedRevision < c.record.Revision && !c.heldSince.IsZero() && now.Sub(c.heldSince) >= WithClockDrift(ReservationTTL) {
		c.drainedRevision, c.sendNow = c.record.Revision, true
	}
}
