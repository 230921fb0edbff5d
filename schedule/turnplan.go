package schedule

import "time"

const (
	// turnReserve is the time by which the machines of a predicted turn are to be usable before it, since begins differ.
	turnReserve = 300 * time.Millisecond
	// turnMeasured is how long after the begin of a turn its demand is known better from its own jobs than from earlier turns, and
	// turnMargin is how far the demand of its rest may exceed that.
	turnMeasured = 900 * time.Millisecond
	turnMargin   = 1.25
	// leastTurnMachines is the number of machines that a turn needs at least.
	leastTurnMachines = 1
	// betweenTurnsDelay replaces surplusDelay between the turns of a pool: its surplus is not needed before its next turn.
	betweenTurnsDelay = 600 * time.Millisecond
)

// turnLead returns how long before its use a machine has to be moved.
func (c *Core) turnLead() time.Duration { return c.Bounds.MoveDuration + joinDelay }

// followTurns notes the begins and ends of turns and compares them with the prediction.
func (c *Core) followTurns() {
	if c.isDemandUnknown() {
		c.skipTurns()
		return
	}
	for _, p := range c.pools.all() {
		if !c.isSized(p) {
			continue
		}
		least := leastTurnMachines * float64(c.largestMachine(p).MilliCPU) / 1000
		switch p.turn.tick(c.now, least) {
		case turnBegan:
			c.noteTurnBegan(p)
		case turnEnded:
			c.noteTurnEnded(p)
		case turnAbandoned:
			c.turns.abandoned(p.name)
			c.Log("no turn of demand", "pool", p.name, "lasted_ms", (c.now - p.turn.begin).Milliseconds(), "observed", !p.turn.spoiled)
		case noTurnEvent:
		}
	}
	if f := c.turns.expire(c.now); f != nil {
		c.turnRecord.dirty = true
		c.stats.TurnsMissed++
		c.Log("predicted turn did not begin", "pool", f.pool, "after", f.after, "predicted_ms_ago", (c.now - f.at).Milliseconds(),
			"share", f.share, "trust", c.turns.trust)
	}
	c.reviewTurnRecord()
}

func (c *Core) noteTurnBegan(p *pool) {
	p.turn.spoiled = c.turns.isNoticedLate(p.name, p.turn.begin)
	f, outcome := c.turns.began(p.name, p.turn.begin)
	fields := []any{"pool", p.name, "began_ms_ago", (c.now - p.turn.begin).Milliseconds(), "level", milli(p.turn.level),
		"demand", milli(p.turn.total.cores()), "earlier_height", c.turns.pool(p.name).height()}
	switch outcome {
	case forecastConfirmed:
		c.stats.TurnsPredicted++
		fields = append(fields, "predicted", f.pool, "share", f.share, "late_ms", (p.turn.begin - f.at).Milliseconds())
	case forecastNear, forecastWrong:
		c.stats.TurnsMissed++
		fields = append(fields, "predicted", f.pool, "share", f.share, "late_ms", (p.turn.begin - f.at).Milliseconds(), "wrong", outcome == forecastWrong, "near", outcome == forecastNear)
	case forecastPending:
	}
	c.Log("turn of demand began", append(fields, "trust", c.turns.trust)...)
	c.turnRecord.dirty = true
	if next := c.turns.forecast; next != nil {
		c.Log("turn predicted", "pool", next.pool, "after", next.after, "in_ms", (next.at - c.now).Milliseconds(), "share", next.share,
			"height", c.turns.pool(next.pool).height(), "confirmed", c.turns.pool(next.after).next.confirmed)
	}
}

func (c *Core) noteTurnEnded(p *pool) {
	length, height := p.turn.end-p.turn.begin, milli(p.turn.total.cores())
	c.turns.ended(p.name, length, height)
	c.turnRecord.dirty = true
	c.Log("turn of demand ended", "pool", p.name, "length_ms", length.Milliseconds(), "height", height, "ended_ms_ago", (c.now - p.turn.end).Milliseconds())
}

func milli(cores float64) int64 { return int64(1000 * cores) }

// addTurnNeed adds the demand that earlier turns show, of a turn that is in progress or predicted. It counts as work that can be on
// time: what is predicted will be, if its machines are there. After a late machine the backlog of one turn takes the machines of the next.
func (c *Core) addTurnNeed(d *poolDemand) {
	d.turn = c.turnHeight(d.pool)
	if d.turn == 0 {
		d.turn = c.turns.expected(d.pool.name, c.now, c.turnLead()+turnReserve)
	}
	d.addOnTime(d.turn)
	if d.turn == 0 {
		before := d.need[tierOnTime]
		d.addOnTime(c.turns.expected(d.pool.name, c.now, c.turnLead()+turnReserve+c.minStay()))
		d.reserved = d.need[tierOnTime] - before
	}
}

// addOnTime raises the demand to the given one, if it is less.
func (d *poolDemand) addOnTime(demand int64) {
	d.need[tierOnTime] = max(d.need[tierOnTime], demand-d.need[tierLate]-d.need[tierTooLate])
}

// maxTailDemand is by how many times the demand of a pool may exceed its capacity at the end of a turn without further machines. They
// would join after the turn; what waits is done by then.
const maxTailDemand = 2

// endsBeforeMove reports whether the pool's turn ends before a machine that is moved now can be used, and its machines suffice for the rest.
func (c *Core) endsBeforeMove(d *poolDemand) bool {
	return c.turns.isRegular() && c.turns.endsWithin(d.pool.name, c.now, c.turnLead()) && d.demand() <= maxTailDemand*d.capacity
}

// dropReservations ends the part of the plan for turns for which it is too early to move machines. What was planned for them is left out of
// the targets of other pools: a machine that moves there now could not leave in time.
func (c *Core) dropReservations(demands []*poolDemand) {
	for _, d := range demands {
		d.need[tierOnTime] -= int64((1 + headroom) * float64(d.reserved))
		d.target = min(d.target, d.demand())
		if c.endsBeforeMove(d) {
			d.target = min(d.target, d.capacity)
		}
	}
}

// turnHeight returns the demand of the pool's turn in progress as far as machines can still join for it, or 0.
func (c *Core) turnHeight(p *pool) int64 {
	height := c.turns.inTurn(p.name, c.now, c.turnLead())
	if t := &p.turn; t.active && c.now >= t.begin+turnMeasured {
		height = min(height, int64(turnMargin*float64(milli(t.total.cores()))))
	}
	return height
}

// isKnownTurn reports whether the pool is in a turn whose demand earlier turns explain, so that its rise will not go on.
func (c *Core) isKnownTurn(p *pool, demand int64) bool {
	t := c.turns.pools[p.name]
	return t != nil && t.active && c.turns.isRegular() && float64(demand) <= turnMargin*float64(t.height())
}

// surplusDelayOf returns how long a pool keeps machines that it does not need.
func (c *Core) surplusDelayOf(p *pool) time.Duration {
	if c.turns.isBetweenTurns(p.name, c.now, c.turnLead()+turnReserve) {
		return betweenTurnsDelay
	}
	return surplusDelay
}
