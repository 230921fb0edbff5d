package schedule

import "time"

// An owner cannot know when earlier ones last extended a lease on an upstream that it does not reach, and counts from its
// claim. In a series of short ownerships each one would begin that wait anew. So the owner stores which upstreams it has not
// reached, and how much of their leases is left, and extends no lease there before the record no longer names them.

// unreachedInterval is the time between the claim and the first record of unreached upstreams, and between two records. Most
// takeovers reach all upstreams before the first one.
const unreachedInterval = 500 * time.Millisecond

// maxUnreached is the largest number of unreached upstreams in a record, for which the decoder takes 1,024 pairs. The leases of the
// others are counted from the next claim.
const maxUnreached = 1000

// UnreachedUpstreams are the upstreams on which no owner has extended a lease since the record was made.
type UnreachedUpstreams struct {
	Generation  uint64           `cbor:"1,keyasint"` // of the owner that made the record
	LeaseLeftMS map[string]int64 `cbor:"2,keyasint,omitempty"`
}

// unreachedRecord is the state of the stored record.
type unreachedRecord struct {
	next time.Duration // earliest time of the next record
	// named has the upstreams that the last record names.
	named map[string]bool
	// cleared has the batches whose records no longer name an upstream that an earlier record named.
	cleared map[string]uint64
	dirty   bool
}

// InheritUnreached applies the record that the previous owner stored. It must have been read before the time of SetTime.
// Records of other owners are void: an owner between may have extended the leases.
func (c *Core) InheritUnreached(record UnreachedUpstreams) {
	if c.Generation == 0 || record.Generation != c.Generation-1 {
		return
	}
	for id, left := range record.LeaseLeftMS {
		if up := c.upstreams.get(id); up != nil {
			up.earlierLeaseEnd = min(up.earlierLeaseEnd, c.now+time.Duration(left)*time.Millisecond)
		}
	}
}

// mayExtendLease reports whether no stored record may name the upstream as unreached.
func (c *Core) mayExtendLease(up *upstream) bool {
	return !c.unreached.named[up.ID] && c.unreached.cleared[up.ID] <= c.durableBatch
}

// isUnreached reports whether this owner has never reached the upstream, on which an earlier one may have started tasks.
func (u *upstream) isUnreached() bool { return u.earlierLeaseEnd > 0 && !u.reached && !u.terminated }

// reviewUnreached marks the record for an update: at intervals while it names upstreams or would, and at once when one of
// them has been reached.
func (c *Core) reviewUnreached() {
	r := &c.unreached
	for id := range r.named {
		if up := c.upstreams.get(id); up == nil || !up.isUnreached() {
			r.dirty = true
			return
		}
	}
	if c.now < max(r.next, c.Claimed+unreachedInterval) {
		return
	}
	for _, up := range c.upstreams.all() {
		if up.isUnreached() && (!r.named[up.ID] || r.next < up.lastLeaseEnd()) {
			r.dirty = true
			break
		}
	}
	r.next = c.now + unreachedInterval
}

// takeUnreached returns the record to be stored with the last batch, or nil if it is unchanged.
func (c *Core) takeUnreached() *UnreachedUpstreams {
	r := &c.unreached
	if !r.dirty {
		return nil
	}
	r.dirty = false
	for id, batch := range r.cleared {
		if batch <= c.durableBatch {
			delete(r.cleared, id)
		}
	}
	record := &UnreachedUpstreams{Generation: c.Generation, LeaseLeftMS: map[string]int64{}}
	earlier := r.named
	r.named = map[string]bool{}
	for id, up := range c.upstreams.all() {
		if up.isUnreached() && len(r.named) < maxUnreached {
			r.named[id] = true
			record.LeaseLeftMS[id] = max(up.lastLeaseEnd()-c.now, 0).Milliseconds()
		}
	}
	for id := range earlier {
		if !r.named[id] {
			r.cleared[id] = c.lastBatch
		}
	}
	return record
}
