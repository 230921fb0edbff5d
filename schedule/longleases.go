package schedule

import "time"

// An owner counts the leases of earlier owners as one lease, or less, from the end of the ownership before (InheritedLeaseEnd).
// Those on an upstream that has started anew may last longer, if it carries out a command with a deadline on its earlier clock
// (allowForStaleDeadline). The owner stores the rest of such leases when it learns of the restart, and again at intervals, since the
// next owner counts the rest from the end of the ownership, too. The record has a key of its own: earlier builds reject records with
// fields that they do not know.

// longLeaseInterval is the time between two records of the rest of long leases.
const longLeaseInterval = 500 * time.Millisecond

// LongLeases are the upstreams whose leases may last longer than the next owner would count.
type LongLeases struct {
	LeftMS map[string]int64 `cbor:"1,keyasint,omitempty"` // by upstream
}

// longLeaseRecord is the state of the stored record.
type longLeaseRecord struct {
	next  time.Duration // earliest time of the next record
	names bool          // the last record names upstreams
	dirty bool
}

// InheritLongLeases applies the record that an earlier owner stored, whichever it was. It must have been read before the time of
// SetTime. What this process knows from the previous ownership is exact.
func (c *Core) InheritLongLeases(record LongLeases) {
	c.longLeases.names = len(record.LeftMS) > 0
	for id, left := range record.LeftMS {
		if up := c.upstreams.get(id); up != nil {
			end := min(c.now, c.EarlierEnded) + time.Duration(left)*time.Millisecond
			if known, ok := c.KnownLeaseEnds[id]; ok {
				end = min(end, known)
			}
			up.minLeaseEnd = max(up.minLeaseEnd, end)
		}
	}
}

// hasLongLease reports whether runs on the upstream may last longer than the next owner would count if this ownership ended now:
// at least for a half of a lease.
func (c *Core) hasLongLease(up *upstream) bool {
	mayRun := up.runs.len() > 0 || !up.reconciled
	isLong := max(up.minLeaseEnd, up.lateLeaseEnd, up.nextLeaseEnd) > c.now+c.Lease/2 || up.earlierLeaseEnd > c.now+inheritedLease(c.Lease)
	return mayRun && !up.terminated && isLong
}

// noteLongLease marks the record for an update if the upstream is to be named.
func (c *Core) noteLongLease(up *upstream) {
	c.longLeases.dirty = c.longLeases.dirty || c.hasLongLease(up)
}

// reviewLongLeases marks the record for an update at intervals while it names upstreams or would.
func (c *Core) reviewLongLeases() {
	r := &c.longLeases
	if c.now < r.next {
		return
	}
	r.next = c.now + longLeaseInterval
	r.dirty = r.dirty || r.names
	for _, up := range c.upstreams.all() {
		c.noteLongLease(up)
	}
}

// takeLongLeases returns the record to be stored with the last batch, or nil if it is unchanged.
func (c *Core) takeLongLeases() *LongLeases {
	r := &c.longLeases
	if !r.dirty {
		return nil
	}
	record := &LongLeases{LeftMS: map[string]int64{}}
	for id, up := range c.upstreams.all() {
		if c.hasLongLease(up) {
			record.LeftMS[id] = (up.lastLeaseEnd() - c.now).Milliseconds()
		}
	}
	r.dirty, r.names = false, len(record.LeftMS) > 0
	return record
}
