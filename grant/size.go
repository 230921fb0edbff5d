package grant

import "time"

const (
	// floorPercent is the part of a cap that idle hosts keep together: less than 5%, so that a busy team reaches at least 95% of
	// its cap and an isolated zone can still start some work of a large team.
	floorPercent = 3
	// askInterval limits the requests for a larger grant of one team.
	askInterval = time.Second
	// minRefresh is the interval of the reads of a host with unmet demand while its peers report less use than the
	// cap. While they report more, or nothing changes, the interval grows to maxRefresh.
	minRefresh = 500 * time.Millisecond
	maxRefresh = 4 * time.Second
	// yieldInterval limits the returns in favour of hosts with unmet demand.
	yieldInterval = 250 * time.Millisecond
	// surgeWindow is how long slots must be unused before they are returned to hosts with unmet demand. It keeps
	// slots that are free for a moment only between two tasks.
	surgeWindow = 250 * time.Millisecond
	// idleReturn is how long slots must be unused before they are returned while little of the cap is free, and
	// relaxedReturn while much is free. Returning at once would cost a write for nearly every task of a team with
	// little work.
	idleReturn    = 2 * time.Second
	relaxedReturn = 30 * time.Second
	// deferTime is how long free slots are left to peers that lack more.
	deferTime = 2 * time.Second
	// viewAge is the age at which a view is read again before a write, since the write would probably fail.
	viewAge = 100 * time.Millisecond
)

// reason is why a host wants to change its entry. The order is that of the tests in plan.
type reason int

const (
	nothing   reason = iota
	lower            // the cap was lowered, or the host leaves
	ask              // work waits
	yield            // hosts with unmet demand need the slots
	giveBack         // slots were unused for long
	keepFloor        // the entry is below the floor
	refresh          // work waits and no slots were free
)

// urgent reasons may use the part of the call budget that is kept for them.
func (r reason) urgent() bool { return r != giveBack && r != keepFloor }

// jitter is the longest random delay before a call, so that hosts with the same reason do not conflict.
func (r reason) jitter() time.Duration {
	switch r {
	case lower:
		return 200 * time.Millisecond
	case yield:
		return 100 * time.Millisecond
	case giveBack:
		return 500 * time.Millisecond
	case keepFloor:
		return 5 * time.Second
	case refresh:
		return 200 * time.Millisecond
	default:
		return 0
	}
}

// sizing is what the size of an entry is decided from.
type sizing struct {
	now   time.Time
	used  int
	floor int
	cap   int // of the ledger
	sum   int // of all entries that count
	room  int // largest entry that the sum allows
	raise bool
}

// want returns the entry that the host should have and why.
func (t *team) want(s sizing) (int, reason) {
	entry := t.entry()
	if entry > s.room {
		return min(entry, max(s.used, entry*s.cap/s.sum)), lower
	}
	free := s.room - entry
	if s.raise && t.unmet(s.used) > 0 {
		if take := t.take(s, free); take > 0 {
			return entry + take, ask
		}
	}
	if keep, ok := t.yields(s, free); ok {
		return keep, yield
	}
	if keep, ok := t.unused(s, free); ok {
		return keep, giveBack
	}
	if s.raise && entry < s.floor && s.floor <= s.room {
		return s.floor, keepFloor
	}
	if s.raise && t.unmet(s.used) > 0 {
		return entry, refresh
	}
	return entry, nothing
}

// unmet returns the waiting slots if the next task does not fit into the grant.
func (t *team) unmet(used int) int {
	if t.waiting.Slots == 0 || t.cap == 0 || t.limit()-used >= t.next() {
		return 0
	}
	return t.waiting.Slots
}

func (t *team) next() int { return max(1, t.waiting.Next) }

// take returns how many of the free slots to ask for. Slots that do not suffice for the next task are left to
// others.
func (t *team) take(s sizing, free int) int {
	unused := t.entry() - s.used
	need := t.waiting.Slots - unused
	got := min(need, free)
	if t.peers.Unmet > 0 {
		got = min(got, t.fairTake(s, free))
	} else if spare := free - got - t.cap/4; got == need && spare > 0 {
		got += min(spare, max(1, (s.used+t.waiting.Slots)/4))
	}
	if unused+got < t.next() {
		return 0
	}
	return got
}

// fairTake limits a request while peers have unmet demand: up to the host's fair part, and half of what is free.
func (t *team) fairTake(s sizing, free int) int {
	if t.soft >= 0 {
		return 0
	}
	fair := max(t.whole(t.fair(s))-t.entry(), free/2)
	if t.entry()+fair-s.used >= t.next() {
		t.deferred = time.Time{}
		return fair
	}
	if t.deferred.IsZero() {
		t.deferred = s.now
	}
	if free > 0 && s.now.Sub(t.deferred) >= deferTime {
		return free
	}
	return 0
}

// fair returns the part of the cap in proportion to this host's part of the demand.
func (t *team) fair(s sizing) int {
	own := s.used + t.waiting.Slots
	all := own + t.peers.InUse + t.peers.Unmet
	if all == 0 {
		return 0
	}
	return t.cap * own / all
}

// yields returns the smaller entry to keep if peers have unmet demand that free slots do not cover: without the
// slots that are not used, and, step by step, without those above one and a half times the fair part.
func (t *team) yields(s sizing, free int) (int, bool) {
	fresh := s.now.Sub(t.viewAt) < deferTime
	if t.peers.Unmet == 0 || fresh && free >= t.peers.Unmet {
		t.soft = -1
		return 0, false
	}
	if s.now.Sub(t.lastYield) < yieldInterval {
		return 0, false
	}
	entry := t.entry()
	t.soft = -1
	if fair := t.fair(s); entry > fair+max(1, fair/2) {
		t.soft = t.whole(max(fair, entry-max(1, entry/8)))
	}
	keep := max(t.surge.max(), s.floor)
	if t.soft >= 0 {
		keep = min(keep, t.soft)
	}
	keep = max(keep, s.used)
	return keep, keep < entry
}

// refreshAfter returns the age at which the view is read again for unmet demand.
func (t *team) refreshAfter(used int) time.Duration {
	if used+t.peers.InUse+t.next() <= t.cap-t.cap*floorPercent/100 {
		return minRefresh
	}
	return t.refresh
}

// whole rounds up to a multiple of the size of the next task: less would not run another one.
func (t *team) whole(slots int) int {
	n := t.next()
	return (slots + n - 1) / n * n
}

// unused returns the smaller entry to keep if slots were unused for long.
func (t *team) unused(s sizing, free int) (int, bool) {
	window := &t.relaxed
	if free < t.cap/4 {
		window = &t.recent
	}
	entry := t.entry()
	keep := max(window.max(), s.floor, s.used)
	if t.waiting.Slots > 0 || entry-keep < max(1, entry/8) {
		return 0, false
	}
	return keep, true
}
