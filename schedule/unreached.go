package schedule

import "time"

// An owner cannot know when earlier ones last extended a lease on an upstream that it does not reach, and counts from the end
// of the ownership before. In a series of short ownerships each one would begin that wait anew. So the owner stores which
// upstreams it does not reach, and how much of their leases is left, and extends no lease there before the record no longer
// names them.

const (
	// unreachedInterval is the time between the claim and the first record of unreached upstreams, and between two records, and how
	// long an upstream has to be silent to be named. Most takeovers reach all upstreams before the first record.
	unreachedInterval = 500 * time.Millisecond
	// maxUnreached is the largest number of upstreams in a record, for which the decoder takes 1,024 pairs. The leases of the others
	// are counted from the end of the ownership.
	maxUnreached = 1000
)

// UnreachedUpstreams are the upstreams on which no owner has extended a lease since the record was made.
type UnreachedUpstreams struct {
	Generation  uint64           `cbor:"1,keyasint"` // of the owner that made the record, or of the last claim that has taken it over
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

// InheritUnreached applies the record that the previous owner stored, or that an earlier one did and all claims since have taken
// over. Records of other owners are void: an owner between may have extended the leases. The rest of a lease counts from the end of
// the ownership before, by which the record was made. What this process knows of its own leases is exact.
func (c *Core) InheritUnreached(record UnreachedUpstreams) {
	taken := record.Generation == c.Generation // by the claim
	if !taken && (c.Generation == 0 || record.Generation != c.Generation-1) {
		return
	}
	if taken {
		c.unreached.named = map[string]bool{}
	}
	for id, left := range record.LeaseLeftMS {
		if taken {
			c.unreached.named[id] = true
		}
		up := c.upstreams.get(id)
		if _, known := c.KnownLeaseEnds[id]; up != nil && !known {
			up.noteLeasesKnown(min(c.now, c.EarlierEnded) + time.Duration(left)*time.Millisecond)
		}
	}
}

// mayExtendLease reports whether no stored record may name the upstream as unreached, and the clock of the life that answers there
// is known.
func (c *Core) mayExtendLease(up *upstream) bool {
	return !up.inDoubt && !c.unreached.named[up.ID] && c.unreached.cleared[up.ID] <= c.durableBatch
}

// isUnreached reports whether this owner has never reached the upstream, on which an earlier one may have started tasks.
func (u *upstream) isUnreached() bool { return u.earlierLeaseEnd > 0 && !u.reached && !u.terminated }

// isOutOfReach reports whether the stored record is to name the upstream: this owner has never reached it, or it has been silent for
// a while.
func (c *Core) isOutOfReach(up *upstream) bool {
	if up.terminated {
		return false
	}
	return up.isUnreached() || up.stored && up.failedPolls > 0 && up.silentSince > up.heardAt() && c.now > up.silentSince+unreachedInterval
}

// reviewUnreached marks the record for an update: at intervals while it names upstreams or would, and at once when one of
// them has been reached.
func (c *Core) reviewUnreached() {
	r := &c.unreached
	for id := range r.named {
		if up := c.upstreams.get(id); up == nil || !c.isOutOfReach(up) {
			r.dirty = true
			return
		}
	}
	if c.now < max(r.next, c.Claimed+unreachedInterval) {
		return
	}
	for _, up := range c.upstreams.all() {
		if c.isOutOfReach(up) && (!r.named[up.ID] || r.next < up.lastLeaseEnd()) {
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
		if len(r.named) < maxUnreached && c.isOutOfReach(up) {
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

// InheritLeases applies what the previous owner has said about the leases that it granted, in milliseconds from now.
func (c *Core) InheritLeases(leftMS map[string]int64) {
	changed := 0
	for id, left := range leftMS {
		end := c.now + time.Duration(left)*time.Millisecond
		if up := c.upstreams.get(id); up != nil && up.isUnreached() && (end != up.earlierLeaseEnd || !up.leasesKnown) {
			up.noteLeasesKnown(end)
			changed++
		}
	}
	c.Log("leases of the earlier owner known", "upstreams", len(leftMS), "changed", changed, "claimed_ms_ago", (c.now - c.Claimed).Milliseconds())
}
