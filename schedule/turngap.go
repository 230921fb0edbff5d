package schedule

import "time"

// While the store is silent no job is accepted, whatever is demanded. That says nothing about turns of demand: they go on outside, and
// clients come back with what they could not submit.
//
// Load pattern: no job of any pool for seconds, in the middle of turns, then all at once.

const (
	// lateBatch is how long a batch of records is not stored before the store counts as late: longer than the slowest store that still
	// serves takes to answer (0.2 s), and shorter than the end of a turn takes to be noticed.
	lateBatch = 250 * time.Millisecond
	// returnTime is how long after that the demand is still unknown: clients that were refused come back after 1 s, the shortest
	// Retry-After.
	returnTime = time.Second
)

// isDemandUnknown reports whether jobs may not be accepted, or not be known to the owner, because of the store.
func (c *Core) isDemandUnknown() bool {
	if c.lastBatch > c.durableBatch && c.now > c.takenAt+lateBatch {
		c.demandUnknownUntil = c.now + returnTime
	}
	return c.now < c.demandUnknownUntil
}

// skip passes over a time in which the demand is unknown. A turn that is in progress is not learned from.
func (d *turnDetector) skip(now time.Duration) {
	d.open, d.tickedAt, d.buckets = windowSum{}, now, nil
	d.spoiled = d.active
}

// assume takes a turn that was predicted for a time of unknown demand to have begun as predicted. It confirms nothing.
func (b *turnBook) assume() {
	t := b.pool(b.forecast.pool)
	t.active, t.assumed, t.begin = true, true, b.forecast.at
	b.last, b.lastAt = b.forecast.pool, b.forecast.at
	b.forecast = nil
	b.predict()
}

// isAssumed reports whether a turn of the pool that is noticed now is the one that was taken to have begun.
func (b *turnBook) isAssumed(pool string, at time.Duration) bool {
	t := b.pool(pool)
	return t.assumed && at >= t.begin-maxTurnTolerance && at <= t.latestAssumed()
}

// latestAssumed returns the latest begin of a rise that is taken for the rest of an assumed turn, whose begin and length are not known
// exactly. A rest that counted as a turn of its own would replace the pool's successor.
func (t *poolTurns) latestAssumed() time.Duration {
	return t.begin + max(t.lengths[0]+minTurnTolerance, t.lengths[1]+minTurnTolerance, maxTurnTolerance)
}

// isNoticedLate reports whether a turn that is noticed now has begun before, while the demand was unknown. If another pool's turn has
// begun since, it is the rest of the turn in any case.
func (b *turnBook) isNoticedLate(pool string, at time.Duration) bool {
	return b.isAssumed(pool, at) && (pool != b.last || (at-b.pool(pool).begin).Abs() > minTurnTolerance)
}

// confirmAssumed notes the begin of an assumed turn. One that is noticed late has begun as predicted.
func (b *turnBook) confirmAssumed(pool string, at time.Duration) {
	late := b.isNoticedLate(pool, at)
	t := b.pool(pool)
	t.assumed = false
	if late {
		return
	}
	t.begin, b.lastAt = at, at
	b.predict()
}

// skipTurns passes over a time of unknown demand.
func (c *Core) skipTurns() {
	for _, p := range c.pools.all() {
		p.turn.skip(c.now)
	}
	c.turns.endAssumed(c.now)
	if f := c.turns.forecast; f != nil && c.turns.isRegular() && c.now >= f.at {
		c.turns.assume()
		c.Log("turn of demand assumed", "pool", f.pool, "after", f.after, "due_ms_ago", (c.now - f.at).Milliseconds())
	}
}
