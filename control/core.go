package control

import (
	"sync/atomic"
	"time"

	"citrongauge.example/citrongauge/result"
)

// BundleInfo is what the core needs to know of a verified bundle.
type BundleInfo struct {
	// ServeFor is how long a zone that is cut off goes on starting work.
	ServeFor time.Duration
}

// Options are the settings of a core.
type Options struct {
	// Self is this incarnation of the entry host.
	Self Member
	// VerifyBundle checks a bundle's signature, version and digest.
	VerifyBundle func(version uint64, digest [32]byte, bundle []byte) (BundleInfo, error)
	// Nonce returns a new unique string for each write.
	Nonce func() string
	// Seeds are addresses of other entry hosts. They are asked for the record until one is held.
	Seeds []string
}

// Core is the control state of one incarnation of an entry host. Step and Progress belong to one goroutine;
// Permission may be called from any.
type Core struct {
	opts   Options
	permit atomic.Pointer[Permit]
	out    []Effect

	// The record in force. It is never changed in place.
	rec    *Record
	layout *layout
	bundle []byte
	info   BundleInfo

	lastStep time.Time
	// heldSince is the time of the first step after rec was adopted. Until then another goroutine may still see
	// the permit of the previous revision.
	heldSince  time.Time
	freshAt    time.Time
	attachedAt time.Time
	zoneSeen   []time.Time // by zone index of layout
	// drainedTo is the highest revision held before which no start is possible any more.
	drainedTo uint64

	wantJoin  bool
	joined    bool // was in the roster of an adopted record
	evicted   bool
	draining  bool
	leaving   bool
	left      bool
	quietFrom time.Time // first step after leaving was set

	peers      map[string]*peerState
	relay      bool
	urgent     bool // news for the peers
	urgentLeft int
	wantAt     time.Time // last request for a record
	wantFrom   []Member  // peers outside the zone that announced a higher revision
	seedAt     time.Time

	store  storeState
	writer writerState

	confirmed   map[string]confirmation
	targets     []*settleTarget // by rising revision
	suspicion   map[string]*suspicion
	nextDutyAt  time.Time
	lastRefused uint64
}

// New returns a core that holds no record and has no permission.
func New(opts Options) *Core {
	c := &Core{
		opts:      opts,
		peers:     make(map[string]*peerState),
		confirmed: make(map[string]confirmation),
		suspicion: make(map[string]*suspicion),
	}
	c.store.pending = make(map[uint64]time.Time)
	c.permit.Store(&Permit{reason: reasonNoRecord})
	return c
}

// Record returns the record in force, or nil. It must not be changed.
func (c *Core) Record() *Record { return c.rec }

// IsRelay reports whether the host acts as the relay of its zone.
func (c *Core) IsRelay() bool { return c.relay }

// Step handles one event at the monotonic time now and returns the effects, which are valid until the next call.
func (c *Core) Step(now time.Time, ev Event) []Effect {
	c.out = c.out[:0]
	c.beginStep(now)
	c.handle(now, ev)
	if _, isTick := ev.(Tick); isTick {
		c.runTimers(now)
	}
	c.advanceWriter(now)
	c.recompute(now)
	c.sendHeartbeats(now)
	c.lastStep = now
	return c.out
}

func (c *Core) beginStep(now time.Time) {
	if c.rec != nil && c.heldSince.IsZero() {
		c.heldSince = now
	}
	if c.leaving && c.quietFrom.IsZero() {
		c.quietFrom = now
	}
	if !c.lastStep.IsZero() && now.Sub(c.lastStep) > RelayTimeout/2 {
		c.forgiveSilence(now)
	}
}

func (c *Core) handle(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case StoreRead:
		c.handleRead(now, ev.ID, ev.Snapshot, ev.Err)
	case StoreWatched:
		c.handleWatch(now, ev)
	case CASAnswered:
		c.handleCAS(now, ev)
	case HeartbeatReceived:
		c.handleHeartbeat(now, ev.From, ev.Heartbeat)
	case RecordPushed:
		c.handlePush(now, ev)
	case Join:
		c.wantJoin = true
	case Drain:
		c.draining = true
	case Leave:
		c.draining, c.leaving = true, true
	case StartsEnded:
		c.handleStartsEnded(ev.Revision)
	case RollOut:
		c.proposeRollOut(now, ev)
	case Propose:
		c.propose(now, ev)
	case Clear:
		c.enqueue(now, &write{id: ev.ID, repeatable: true, mutate: func(r *Record) error { return clearDeparted(r, ev.Hosts) }})
	}
}

func (c *Core) runTimers(now time.Time) {
	c.chooseRelay(now)
	c.scheduleReads(now)
	c.askForRecord(now)
	c.watchDrained(now)
	c.trackSettling(now)
	c.scheduleDuties(now)
	c.leaveUnjoined()
}

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

func (c *Core) handlePush(now time.Time, ev RecordPushed) {
	if c.rec != nil && ev.Record.Revision <= c.rec.Revision {
		return
	}
	c.wantAt = time.Time{}
	if err := c.adopt(now, &ev.Record, ev.Bundle); err != nil {
		c.refuse(ev.From.ID, ev.Record.Revision, err)
	}
}

// refuse reports a refused record, once for each revision in a row.
func (c *Core) refuse(from string, revision uint64, err error) {
	if c.lastRefused != revision || revision == 0 {
		c.emit(Refused{From: from, Revision: revision, Err: err})
	}
	c.lastRefused = revision
}

// adopt puts a higher revision in force. bundle may be nil if the version does not change. freshAt is kept: the
// store was at the previous revision at some moment after freshAt, so it was at the higher one later than that.
func (c *Core) adopt(now time.Time, rec *Record, bundle []byte) error {
	if err := rec.validate(); err != nil {
		return err
	}
	if err := c.checkSuccessor(rec); err != nil {
		return err
	}
	sameBundle := c.rec != nil && c.rec.BundleVersion == rec.BundleVersion
	if !sameBundle {
		info, err := c.opts.VerifyBundle(rec.BundleVersion, rec.BundleDigest, bundle)
		if err != nil {
			return err
		}
		c.bundle, c.info = bundle, info
	}
	previous := c.rec
	c.rec, c.layout = rec, newLayout(rec, c.opts.Self)
	c.store.revision = 0
	c.heldSince = time.Time{}
	c.zoneSeen = make([]time.Time, len(c.layout.zones))
	c.resetPeers(now)
	c.resetTargets()
	c.urgent, c.urgentLeft = true, urgentRounds
	c.emit(Adopted{Record: c.rec, Bundle: c.bundle, Info: c.info})
	if rec.AcceptedVersion > 0 && (previous == nil || previous.AcceptedVersion < rec.AcceptedVersion) {
		c.emit(Accepted{Version: rec.AcceptedVersion})
	}
	c.noteMembership()
	return nil
}

// checkSuccessor refuses a record that goes back in any respect.
func (c *Core) checkSuccessor(rec *Record) error {
	switch {
	case rec.Revision == 0:
		return result.Errorf(result.PeerProtocol, "control record: revision 0")
	case c.rec == nil:
		return nil
	case rec.Revision <= c.rec.Revision:
		return result.Errorf(result.VersionNotHigher, "control record: revision %d, held %d", rec.Revision, c.rec.Revision)
	case rec.BundleVersion < c.rec.BundleVersion:
		return result.Errorf(result.VersionNotHigher, "control record: bundle version %d, held %d", rec.BundleVersion, c.rec.BundleVersion)
	case rec.BundleVersion == c.rec.BundleVersion && rec.BundleDigest != c.rec.BundleDigest:
		return result.Errorf(result.DigestMismatch, "control record: another bundle with version %d", rec.BundleVersion)
	case rec.AcceptedVersion < c.rec.AcceptedVersion || rec.SettledRevision < c.rec.SettledRevision:
		return result.Errorf(result.VersionNotHigher, "control record: accepted version or settled revision goes back")
	}
	return nil
}

func (c *Core) noteMembership() {
	_, member := c.rec.Member(c.opts.Self.ID)
	switch {
	case member:
		c.joined = true
	case c.leaving && c.joined && !c.left:
		c.left = true
		c.emit(Left{})
	case containsMember(c.rec.Departed, c.opts.Self.ID):
		c.joined = true // it was in the roster; nextDuty brings it back
	case c.joined && !c.evicted && !c.left:
		c.evicted = true
		c.emit(Evicted{Revision: c.rec.Revision})
	}
}

// leaveUnjoined ends a host that leaves before it joined.
func (c *Core) leaveUnjoined() {
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
	if c.rec != nil && revision <= c.rec.Revision && revision > c.drainedTo {
		c.drainedTo, c.urgent = revision, true
	}
}

func (c *Core) watchDrained(now time.Time) {
	if c.rec != nil && c.drainedTo < c.rec.Revision && !c.heldSince.IsZero() && now.Sub(c.heldSince) >= Stretch(ReservationTTL) {
		c.drainedTo, c.urgent = c.rec.Revision, true
	}
}
