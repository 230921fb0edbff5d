package grant

import "time"

const (
	// minEntryPercent is the share of a cap that all hosts together keep while they are idle. It is greater than zero
	// so that an isolated zone can still start some work of a large team, and less than 5% so that a team that is busy
	// in one zone can use at least 95% of its cap.
	minEntryPercent = 3
	// requestInterval is the minimum interval between two requests for a larger grant of one team.
	requestInterval = time.Second
	// minRefreshInterval is the interval at which a host with unmet demand reads the ledger while the reported use
	// leaves room for its next task under the cap less minEntryPercent. Otherwise the interval doubles with each read
	// that finds the ledger unchanged, up to maxRefreshInterval.
	minRefreshInterval = 500 * time.Millisecond
	maxRefreshInterval = 4 * time.Second
	// yieldInterval is the minimum interval between two returns of one team's slots to hosts with unmet demand.
	yieldInterval = 250 * time.Millisecond
	// contendedIdleTime is how long slots must be unused before they are returned to hosts with unmet demand. It is
	// greater than zero so that slots that are free only briefly between two tasks are kept.
	contendedIdleTime = 250 * time.Millisecond
	// scarceIdleTime is how long slots must be unused before they are returned if less than a quarter of the cap is
	// free, and ampleIdleTime if more is free. Returning slots immediately would cost a write for nearly every task of
	// a team with little work.
	scarceIdleTime = 2 * time.Second
	ampleIdleTime  = 30 * time.Second
	// deferTimeout is how long a host leaves free slots to peers with unmet demand if its own fair share does not
	// suffice for its next task.
	deferTimeout = 2 * time.Second
	// maxViewAge is the age above which a view is read again before a write. A write based on an older view would
	// probably fail with a conflict.
	maxViewAge = 100 * time.Millisecond
)

// reason is why a host wants to change its entry. The values are in the order in which targetEntry checks them.
type reason int

const (
	reasonNone reason = iota
	// reasonReduce: the cap was lowered, the host is shutting down, or the ledger must be written without a larger
	// entry, because an earlier write is uncertain, its version is outdated or the use is suspended.
	reasonReduce
	reasonRequest    // tasks are waiting and there are free slots
	reasonYield      // hosts with unmet demand need the slots
	reasonReturnIdle // slots were unused for scarceIdleTime or ampleIdleTime
	reasonRestoreMin // the entry is below minEntry
	reasonRefresh    // tasks are waiting and there were not enough free slots
)

// urgent reports whether calls for this reason may use urgentCallReserve.
func (r reason) urgent() bool { return r != reasonReturnIdle && r != reasonRestoreMin }

// jitter returns the upper bound of the random delay before a call. The delay keeps hosts that act for the same reason
// from conflicting.
func (r reason) jitter() time.Duration {
	switch r {
	case reasonReduce:
		return 200 * time.Millisecond
	case reasonYield:
		return 100 * time.Millisecond
	case reasonReturnIdle:
		return 500 * time.Millisecond
	case reasonRestoreMin:
		return 5 * time.Second
	case reasonRefresh:
		return 200 * time.Millisecond
	default:
		return 0
	}
}

// sizeInputs holds the values from which targetEntry computes the size of this host's entry.
type sizeInputs struct {
	now      time.Time
	used     int
	minEntry int
	cap      int // the cap that a write leaves in the ledger
	sum      int // sum of this host's entry and the other entries that count
	maxEntry int // largest entry of this host that keeps the sum within the cap
	mayGrow  bool
}

// targetEntry returns the entry that this host should have and the reason for a change.
func (t *team) targetEntry(s sizeInputs) (int, reason) {
	entry := t.entry()
	if entry > s.maxEntry {
		return min(entry, max(s.used, entry*s.cap/s.sum)), reasonReduce
	}
	free := s.maxEntry - entry
	if s.mayGrow && t.unmet(s.used) > 0 {
		if requestSize := t.requestSize(s, free); requestSize > 0 {
			return entry + requestSize, reasonRequest
		}
	}
	if keep, ok := t.yieldTarget(s, free); ok {
		return keep, reasonYield
	}
	if keep, ok := t.idleTarget(s, free); ok {
		return keep, reasonReturnIdle
	}
	if s.mayGrow && entry < s.minEntry && s.minEntry <= s.maxEntry {
		return s.minEntry, reasonRestoreMin
	}
	if s.mayGrow && t.unmet(s.used) > 0 {
		return entry, reasonRefresh
	}
	return entry, reasonNone
}

// unmet returns the slots of all waiting tasks if the cap is above 0 and the next task does not fit within the limit,
// and 0 otherwise.
func (t *team) unmet(used int) int {
	if t.waiting.Slots == 0 || t.cap == 0 || t.limit()-used >= t.nextTaskSlots() {
		return 0
	}
	return t.waiting.Slots
}

func (t *team) nextTaskSlots() int { return max(1, t.waiting.SmallestTask) }

// requestSize returns how many of the free slots to request. It returns 0 if they would not suffice for the next task,
// which leaves them to other hosts. If no peer has unmet demand and more than a quarter of the cap would stay
// free, it adds up to a quarter of the host's own demand, at least one slot, from the free slots above that quarter.
func (t *team) requestSize(s sizeInputs, free int) int {
	unused := t.entry() - s.used
	need := t.waiting.Slots - unused
	size := min(need, free)
	if t.peers.Unmet > 0 {
		size = min(size, t.fairRequestSize(s, free))
	} else if spare := free - size - t.cap/4; size == need && spare > 0 {
		size += min(spare, max(1, (s.used+t.waiting.Slots)/4))
	}
	if unused+size < t.nextTaskSlots() {
		return 0
	}
	return size
}

// fairRequestSize returns the upper bound of a request while peers have unmet demand. The bound is the difference
// between the host's fair share and its entry, or half of the free slots if that is more. If it does not suffice for
// the next task, the host requests nothing for deferTimeout and then all free slots. A host with a softLimit requests
// nothing.
func (t *team) fairRequestSize(s sizeInputs, free int) int {
	if t.softLimit >= 0 {
		return 0
	}
	size := max(t.roundUpToTask(t.fairShare(s))-t.entry(), free/2)
	if t.entry()+size-s.used >= t.nextTaskSlots() {
		t.deferringSince = time.Time{}
		return size
	}
	if t.deferringSince.IsZero() {
		t.deferringSince = s.now
	}
	if free > 0 && s.now.Sub(t.deferringSince) >= deferTimeout {
		return free
	}
	return 0
}

// fairShare returns the share of the cap that is proportional to this host's share of the total demand.
func (t *team) fairShare(s sizeInputs) int {
	own := s.used + t.waiting.Slots
	all := own + t.peers.InUse + t.peers.Unmet
	if all == 0 {
		return 0
	}
	return t.cap * own / all
}

// yieldTarget returns the reduced entry if peers have unmet demand that the free slots do not cover. The number of free
// slots counts only if the view is younger than deferTimeout, because it may be outdated otherwise. The host returns
// slots that were unused for contendedIdleTime. If its entry exceeds one and a half times its fair share, it also sets
// softLimit, which lowers the use by an eighth of the entry at a time, but not below the fair share. The slots above
// softLimit are returned as tasks end.
func (t *team) yieldTarget(s sizeInputs, free int) (int, bool) {
	fresh := s.now.Sub(t.viewSentAt) < deferTimeout
	if t.peers.Unmet == 0 || fresh && free >= t.peers.Unmet {
		t.softLimit = -1
		return 0, false
	}
	if s.now.Sub(t.lastYieldAt) < yieldInterval {
		return 0, false
	}
	entry := t.entry()
	t.softLimit = -1
	if fairShare := t.fairShare(s); entry > fairShare+max(1, fairShare/2) {
		t.softLimit = t.roundUpToTask(max(fairShare, entry-max(1, entry/8)))
	}
	keep := max(t.contendedPeak.max(), s.minEntry)
	if t.softLimit >= 0 {
		keep = min(keep, t.softLimit)
	}
	keep = max(keep, s.used)
	return keep, keep < entry
}

// refreshAge returns the age at which the view is read again while the host has unmet demand.
func (t *team) refreshAge(used int) time.Duration {
	if used+t.peers.InUse+t.nextTaskSlots() <= t.cap-t.cap*minEntryPercent/100 {
		return minRefreshInterval
	}
	return t.refreshInterval
}

// roundUpToTask rounds up to a multiple of the slots of the next task. A remainder would not suffice for another
// task.
func (t *team) roundUpToTask(slots int) int {
	n := t.nextTaskSlots()
	return (slots + n - 1) / n * n
}

// idleTarget returns the reduced entry if slots were unused for scarceIdleTime or ampleIdleTime.
func (t *team) idleTarget(s sizeInputs, free int) (int, bool) {
	idlePeak := &t.amplePeak
	if free < t.cap/4 {
		idlePeak = &t.scarcePeak
	}
	entry := t.entry()
	keep := max(idlePeak.max(), s.minEntry, s.used)
	if t.waiting.Slots > 0 || entry-keep < max(1, entry/8) {
		return 0, false
	}
	return keep, true
}
