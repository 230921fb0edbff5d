package grant

import (
	"time"
)

// maxCapHistory limits the length of a team's capHistory. The two oldest caps are merged into the higher one.
const maxCapHistory = 16

// team is a host's state for one team.
//
// The cap is enforced by usable, the number of slots of its entry that the host may use: the entry minus the amount by
// which the highest possible sum of all entries exceeds the cap in the host's bundle. If that sum is within the cap,
// the host may use its whole entry. When a bundle lowers the cap, usable shrinks before the ledger is read, and grows
// again as reads show smaller entries of the other hosts. Scaling the entries in proportion to the new cap would not
// be safe: a host that still runs more than its share and another host that starts work within its own share together
// exceed the cap.
//
// A higher cap is written to the ledger only after its bundle version is accepted. By then every host that may start
// work has held that version, so it knows the cap that the other hosts may have used when a later version lowers the
// cap again. A host that skipped an accepted version suspends its use until it has read a ledger of its own version.
type team struct {
	name string
	self string

	cap        int // in this host's current bundle
	capHistory []versionedCap
	// suspended is set while the caps that other hosts may have used are unknown. The response to a call with an ID
	// above suspendedAtOp clears it, if the ledger has this host's bundle version or a later one.
	suspended     bool
	suspendedAtOp uint64
	// softLimit limits the slots in use so that slots can be returned to hosts with unmet demand. It is negative if
	// there is no such limit.
	softLimit int

	view     Ledger // the last confirmed ledger
	revision uint64
	sum      int // of all entries in view
	// hasClearedEntry is set if view has an entry of a host that is cleared.
	hasClearedEntry bool
	hasView         bool
	stale           bool      // the ledger must be read again before a write
	viewSentAt      time.Time // when the call that returned view was sent
	viewReceivedAt  time.Time // when the response to that call arrived

	// uncertainWrite is set after a write whose result is unknown. The store may still apply it while the key is at
	// uncertainRevision. uncertainSlots is the smallest entry of this host in such writes.
	uncertainWrite    bool
	uncertainRevision uint64
	uncertainSlots    int

	op *operation

	waiting TeamDemand
	peers   PeerUse
	// contendedPeak, scarcePeak and amplePeak track the highest use within contendedIdleTime, scarceIdleTime and
	// ampleIdleTime.
	contendedPeak windowMax
	scarcePeak    windowMax
	amplePeak     windowMax

	plannedReason   reason    // why the next call was planned
	dueAt           time.Time // when the planned call may start
	notBefore       time.Time // earliest time of the next call after a failed one
	lastRequestAt   time.Time
	refreshInterval time.Duration // interval of reads while there is unmet demand
	lastYieldAt     time.Time
	deferringSince  time.Time // since when the host has left free slots to peers; zero if it does not
	conflicts       int       // consecutive rejected writes
}

// versionedCap is a cap that this host has used, with the last bundle version that had it.
type versionedCap struct {
	version uint64
	cap     int
}

// operation is an outstanding call to the store.
type operation struct {
	id       uint64
	sent     time.Time
	write    *Ledger // nil for a read
	revision uint64  // revision that the write expects
}

func newTeam(name, self string) *team {
	t := &team{name: name, self: self, softLimit: -1, refreshInterval: minRefreshInterval}
	t.contendedPeak.window = contendedIdleTime
	t.scarcePeak.window = scarceIdleTime
	t.amplePeak.window = ampleIdleTime
	return t
}

func (t *team) entry() int { return t.view.Entries[t.self] }

// usable returns the number of slots of its entry that the host may use.
func (t *team) usable() int {
	if t.suspended {
		return 0
	}
	return max(0, t.entry()-(t.maxPossibleSum()-t.cap))
}

// limit returns the number of slots that the host may use. While a write is outstanding or uncertain, the smaller of
// the old and the new entry counts.
func (t *team) limit() int {
	limit := t.usable()
	if t.op != nil && t.op.write != nil {
		limit = min(limit, t.op.write.Entries[t.self])
	}
	if t.uncertainWrite {
		limit = min(limit, t.uncertainSlots)
	}
	if t.softLimit >= 0 {
		limit = min(limit, t.softLimit)
	}
	return limit
}

// setCap adopts the cap of a bundle version. skipped means that a version later than the one that the host held before
// is already accepted.
func (t *team) setCap(newCap int, version uint64, skipped bool, lastOp uint64) {
	if skipped {
		t.suspended = true
		t.suspendedAtOp = lastOp
		t.stale = true
	}
	if newCap != t.cap {
		t.stale = true
	}
	t.cap = newCap
	t.recordCap(version)
}

func (t *team) recordCap(version uint64) {
	if n := len(t.capHistory); n > 0 && t.capHistory[n-1].cap == t.cap {
		t.capHistory[n-1].version = version
		return
	}
	t.capHistory = append(t.capHistory, versionedCap{version: version, cap: t.cap})
	if len(t.capHistory) > maxCapHistory {
		t.capHistory[1].cap = max(t.capHistory[0].cap, t.capHistory[1].cap)
		t.capHistory = t.capHistory[1:]
	}
}

// maxPossibleSum returns the highest sum of all entries that is possible until every host has this host's current
// bundle. The caps in capHistory from the view's version on count too, because view.Cap may be lower than the cap of
// its version until that version is accepted.
func (t *team) maxPossibleSum() int {
	high := max(t.sum, t.view.Cap, t.cap)
	for _, h := range t.capHistory {
		if h.version >= t.view.Version {
			high = max(high, h.cap)
		}
	}
	return high
}

// adoptLedger replaces the view by a confirmed ledger.
func (t *team) adoptLedger(view Ledger, revision uint64, op *operation, version uint64) {
	if op.write != nil || revision != t.revision {
		t.refreshInterval = minRefreshInterval
	} else {
		t.refreshInterval = min(2*t.refreshInterval, maxRefreshInterval)
	}
	t.view, t.revision, t.viewSentAt = view, revision, op.sent
	t.sum = view.Sum()
	t.hasView, t.stale = true, false
	if t.uncertainWrite && revision > t.uncertainRevision {
		t.uncertainWrite = false
	}
	for len(t.capHistory) > 1 && t.capHistory[0].version < view.Version {
		t.capHistory = t.capHistory[1:]
	}
	if op.id > t.suspendedAtOp && view.Version >= version {
		t.suspended = false
	}
}

// markUncertain records a write whose result is unknown.
func (t *team) markUncertain(op *operation) {
	slots := op.write.Entries[t.self]
	if t.uncertainWrite && t.uncertainRevision == op.revision {
		slots = min(slots, t.uncertainSlots)
	}
	t.uncertainWrite, t.uncertainRevision, t.uncertainSlots = true, op.revision, slots
	t.stale = true
}

// mustWriteVersion reports whether the host must write its bundle version to the ledger, because the ledger lacks a
// lowered cap or a version without which this host cannot use its whole entry.
func (t *team) mustWriteVersion(version uint64) bool {
	if t.entry() == 0 || t.view.Version >= version {
		return false
	}
	return t.suspended || t.maxPossibleSum() > t.cap
}

// capToWrite returns the cap and the version that a write by this host puts into the ledger.
func (t *team) capToWrite(version, accepted uint64) (newCap int, newVersion uint64) {
	switch {
	case version < t.view.Version:
		return t.view.Cap, t.view.Version
	case accepted >= version || t.revision == 0:
		return t.cap, version
	default:
		return min(t.view.Cap, t.cap), version
	}
}
