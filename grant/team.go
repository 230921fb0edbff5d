package grant

import (
	"time"
)

// maxHeldCaps bounds the caps that a team remembers; older ones are merged.
const maxHeldCaps = 16

// team is a host's state for one team.
//
// Safety rests on part, the slots of the host's entry that it may use: its entry, less the excess of the highest
// possible sum of all entries over the cap of the bundle in force here. While that sum is within the cap the entry
// is used in full. When a bundle lowers the cap, part shrinks before the ledger is read, and grows again as the
// entries of the others are seen to shrink. A share in proportion to the new cap would not do: a host that still
// runs more than its share and another one that starts work within its own exceed the cap together.
//
// A higher cap enters the ledger only when its bundle version is accepted. Then every host that may start work has
// held that version, and knows the cap that the other hosts may have used when a later version lowers it again. A
// host that skipped an accepted version suspends its use until it has seen a ledger of its own version.
type team struct {
	name string
	self string

	cap  int // of the bundle in force here
	held []heldCap
	// suspended is set while the caps that other hosts may have used are not known. An answer to a call with a
	// higher number than suspendedOp ends it.
	suspended   bool
	suspendedOp uint64
	// soft is a use limit in favour of hosts with unmet demand; negative for none.
	soft int

	view     Ledger
	revision uint64
	sum      int // of the view's entries
	// namesGone says that the view names a host that is cleared.
	namesGone bool
	known     bool
	stale     bool      // the view must be read again before a write
	viewAt    time.Time // when the call that brought the view was sent
	seenAt    time.Time // when its answer came

	// A write with an unknown answer may be applied as long as the key is at doubtRevision.
	doubt         bool
	doubtRevision uint64
	doubtSlots    int

	op *operation

	waiting Waiting
	peers   PeerUse
	surge   peak
	recent  peak
	relaxed peak

	planned   reason
	due       time.Time
	notBefore time.Time
	lastAsk   time.Time
	refresh   time.Duration // interval of reads while there are no free slots
	lastYield time.Time
	deferred  time.Time // since when free slots were left to peers
	conflicts int
}

// heldCap is a cap that was in force here, with the last version that had it.
type heldCap struct {
	version uint64
	cap     int
}

// operation is a call to the store without an answer.
type operation struct {
	id       uint64
	sent     time.Time
	write    *Ledger // nil for a read
	revision uint64  // expected by the write
}

func newTeam(name, self string) *team {
	t := &team{name: name, self: self, soft: -1, refresh: minRefresh}
	t.surge.window = surgeWindow
	t.recent.window = idleReturn
	t.relaxed.window = relaxedReturn
	return t
}

func (t *team) entry() int { return t.view.Entries[t.self] }

// part returns how much of the entry the host may use.
func (t *team) part() int {
	if t.suspended {
		return 0
	}
	return max(0, t.entry()-(t.highest()-t.cap))
}

// limit returns the slots that the host may hold. A write on its way or in doubt counts with the smaller grant.
func (t *team) limit() int {
	limit := t.part()
	if t.op != nil && t.op.write != nil {
		limit = min(limit, t.op.write.Entries[t.self])
	}
	if t.doubt {
		limit = min(limit, t.doubtSlots)
	}
	if t.soft >= 0 {
		limit = min(limit, t.soft)
	}
	return limit
}

// setCap adopts the cap of a bundle version. skipped says that a version between this one and the one held
// before was accepted.
func (t *team) setCap(limit int, version uint64, skipped bool, lastOp uint64) {
	if skipped {
		t.suspended = true
		t.suspendedOp = lastOp
		t.stale = true
	}
	if limit != t.cap {
		t.stale = true
	}
	t.cap = limit
	t.hold(version)
}

func (t *team) hold(version uint64) {
	if n := len(t.held); n > 0 && t.held[n-1].cap == t.cap {
		t.held[n-1].version = version
		return
	}
	t.held = append(t.held, heldCap{version: version, cap: t.cap})
	if len(t.held) > maxHeldCaps {
		t.held[1].cap = max(t.held[0].cap, t.held[1].cap)
		t.held = t.held[1:]
	}
}

// highest returns the highest sum of all entries that is possible until every host holds the bundle in force
// here. The cap of the view's own version counts too: it may have been lower there until its acceptance.
func (t *team) highest() int {
	high := max(t.sum, t.view.Cap, t.cap)
	for _, h := range t.held {
		if h.version >= t.view.Version {
			high = max(high, h.cap)
		}
	}
	return high
}

// see takes over a confirmed ledger.
func (t *team) see(view Ledger, revision uint64, op *operation, version uint64) {
	if op.write != nil || revision != t.revision {
		t.refresh = minRefresh
	} else {
		t.refresh = min(2*t.refresh, maxRefresh)
	}
	t.view, t.revision, t.viewAt = view, revision, op.sent
	t.sum = view.Sum()
	t.known, t.stale = true, false
	if t.doubt && revision > t.doubtRevision {
		t.doubt = false
	}
	for len(t.held) > 1 && t.held[0].version < view.Version {
		t.held = t.held[1:]
	}
	if op.id > t.suspendedOp && view.Version >= version {
		t.suspended = false
	}
}

// doubtful notes a write that may or may not be applied.
func (t *team) doubtful(op *operation) {
	slots := op.write.Entries[t.self]
	if t.doubt && t.doubtRevision == op.revision {
		slots = min(slots, t.doubtSlots)
	}
	t.doubt, t.doubtRevision, t.doubtSlots = true, op.revision, slots
	t.stale = true
}

// mustRecord says that the ledger does not yet carry a lowered cap, or a version without which this host cannot
// use its entry in full.
func (t *team) mustRecord(version uint64) bool {
	if t.entry() == 0 || t.view.Version >= version {
		return false
	}
	return t.suspended || t.highest() > t.cap
}

// nextCap returns the cap and version that a write by this host leaves in the ledger.
func (t *team) nextCap(version, accepted uint64) (limit int, v uint64) {
	switch {
	case version < t.view.Version:
		return t.view.Cap, t.view.Version
	case accepted >= version || t.revision == 0:
		return t.cap, version
	default:
		return min(t.view.Cap, t.cap), version
	}
}
