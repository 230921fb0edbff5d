package schedule

import (
	"slices"
	"time"

	"citrongauge.example/citrongauge/job"
)

// Timeliness classes of waiting work, most urgent first: work that can still finish on time precedes late work, and
// work that is too late to be of value comes last.
const (
	onTime = iota
	late
	tooLate
)

// tooLateFactor is the multiple of the objective after which a job counts as too late.
const tooLateFactor = 3

// place starts waiting tasks where capacity is free, in order of priority and urgency.
func (c *Core) place() {
	if !c.bundleSet {
		return
	}
	c.reserveUnseen()
	c.findRackHolders()
	var waiting []*placement
	for _, p := range c.pools.all() {
		if p.parts.len() > 0 {
			c.sortWaiting(p)
			waiting = append(waiting, c.newPlacement(p))
		}
	}
	for _, pl := range waiting {
		pl.placeWhile(c, candidate.isStarving)
		pl.placeOnTrial(c)
	}
	for _, pl := range waiting {
		pl.reserve(c)
	}
	for _, isNext := range []func(candidate) bool{candidate.canBeOnTime, candidate.isAny} {
		for _, pl := range waiting {
			pl.placeWhile(c, isNext)
		}
	}
	for _, pl := range waiting {
		pl.placeInDoubt(c)
	}
	for _, pl := range waiting {
		c.reportBacklog(pl.pool, len(pl.usable))
		c.reportStages(pl.pool, pl.usable)
	}
}

// The candidates of all pools are placed in these turns.
func (a candidate) isStarving() bool  { return a.starving }
func (a candidate) canBeOnTime() bool { return a.timeliness < late }
func (a candidate) isAny() bool       { return true }

// placement is the state of one pool while its waiting tasks are placed. All pools place starving long-running tasks
// before one of them places other work, and what can be on time before late work, because the number of starts in flight
// is limited for all pools together.
type placement struct {
	pool     *pool
	usable   []*upstream
	room     []*upstream            // usable upstreams on which the smallest request fits
	starving []*part                // parts that were placed as starving
	shared   []*upstream            // usable upstreams of which jobs in doubt leave the next trial to others
	inDoubt  []*part                // placed parts that leave one of these to others
	next     int                    // index of the next candidate in the pool's list
	byZone   map[string][]*upstream // of usable, see zoneUsable
}

func (c *Core) newPlacement(p *pool) *placement {
	usable := c.usable(p)
	pl := &placement{pool: p, usable: usable, room: p.waiting.withRoom(usable)}
	for _, up := range usable {
		if up.health.quarantines > 0 && up.health.trialDoubted {
			pl.shared = append(pl.shared, up)
		}
	}
	return pl
}

// placeWhile places the candidates in their order up to the first one for which isNext is false.
func (pl *placement) placeWhile(c *Core, isNext func(candidate) bool) {
	w := &pl.pool.waiting
	c.wantedLabels, c.avoidSlow = w.labels, c.fewAreSlow(pl.usable)
	for ; pl.next < len(w.list) && len(pl.usable) > 0; pl.next++ {
		candidate := w.list[pl.next]
		if !isNext(candidate) || len(pl.room) == 0 && w.unbounded == 0 || !c.mayPlaceAny() {
			return
		}
		if c.mayPlace(candidate.part) {
			pl.place(c, candidate)
		}
	}
}

func (pl *placement) place(c *Core, candidate candidate) {
	part := candidate.part
	switch {
	case !pl.pool.has(part): // its job has ended or its queue has moved to another pool
	case part.step.Gang:
		c.placeGang(part, pl.usable)
	case part.step.BestEffort:
		usable, _ := pl.placesFor(c, part, pl.usable)
		c.placeTasks(part, usable, usable)
	case len(pl.room) > 0:
		usable, room := pl.placesFor(c, part, pl.room)
		c.placeTasks(part, usable, room)
		pl.room = pl.pool.waiting.withRoom(pl.room)
		if candidate.starving {
			pl.starving = append(pl.starving, part)
		}
	}
	if slices.ContainsFunc(pl.shared, func(up *upstream) bool { return up.health.givesWay(part) }) {
		pl.inDoubt = append(pl.inDoubt, part)
	}
}

// placeInDoubt places the parts that left trials to others, once none of these has taken them.
func (pl *placement) placeInDoubt(c *Core) {
	c.lastTurn = true
	for _, part := range pl.inDoubt {
		switch {
		case !pl.pool.has(part) || part.step.Gang:
		case part.step.BestEffort:
			usable, room := pl.placesFor(c, part, pl.shared)
			c.placeTasks(part, usable, room)
		default:
			usable, room := pl.placesFor(c, part, pl.room)
			c.placeTasks(part, usable, room)
		}
	}
	c.lastTurn = false
}

func (p *part) hasWaiting(now time.Duration) bool {
	for i := range p.tasks {
		if p.tasks[i].isWaiting(now) {
			return true
		}
	}
	return false
}

func (t *task) isWaiting(now time.Duration) bool {
	return !t.done && len(t.runs) == 0 && now >= t.notBefore
}

// usable returns the pool's upstreams on which tasks may start, sorted by ID.
func (c *Core) usable(p *pool) []*upstream {
	usable := make([]*upstream, 0, len(p.byID))
	for _, up := range p.byID {
		if c.isUsable(up) {
			usable = append(usable, up)
		}
	}
	return usable
}

// isUsable reports whether tasks may start on the upstream.
func (c *Core) isUsable(up *upstream) bool { return !up.released && c.isInService(up) }

// isInService reports whether tasks could start on the upstream, even if it takes no new ones because its machine is to
// move to another pool.
func (c *Core) isInService(up *upstream) bool { return c.isReady(up) && !up.health.isExcluded(c.now) }

// isReady reports whether tasks could start on the upstream, were it not for its failures.
func (c *Core) isReady(up *upstream) bool { return !up.cordoned && c.isReadyButForDrain(up) }

// isReadyButForDrain is isReady, whether or not the upstream is drained for an upkeep or a move.
func (c *Core) isReadyButForDrain(up *upstream) bool {
	return up.listed && up.fenced && up.isolated && !up.inDoubt && up.stored && !up.terminated && !up.Draining && up.failedPolls == 0 && up.unknownRuns == 0 &&
		!c.evacuated[up.Zone] && c.mayExtendLease(up)
}

// allows reports whether a request fits within the team's cap.
func (t *team) allows(request job.Resources) bool {
	total := t.used.Add(t.reserved).Add(request)
	return withinCap(total.MilliCPU, t.cap.MilliCPU) && withinCap(total.MemoryMB, t.cap.MemoryMB) &&
		withinCap(total.GPU, t.cap.GPU)
}

func withinCap(amount, limit int64) bool { return limit == 0 || amount <= limit }

// placeTasks starts waiting tasks of a part on the upstreams with room until their capacity or the team's cap is used
// up.
func (c *Core) placeTasks(p *part, usable, room []*upstream) {
	reserved := p.step.ReservedResources()
	for i := range p.tasks {
		t := &p.tasks[i]
		if !c.mayStart(p, t) {
			continue
		}
		if !p.job.team.allows(p.step.Request) || !c.mayPlace(p) {
			return
		}
		if t.isSuspect() {
			if up := c.chooseApart(p, t, usable); up != nil {
				p.job.begin()
				c.startRun(p, i, c.nextAttempt(t), up, c.ticketFor(p, up))
			}
			continue // the other tasks of the part may find an upstream
		}
		up := c.chooseUpstream(p, t, usable, room, reserved)
		if up == nil {
			return
		}
		p.job.begin()
		c.startRun(p, i, c.nextAttempt(t), up, c.ticketFor(p, up))
	}
}

// nextAttempt returns an attempt number that is higher than any number used for the task by this or an earlier owner.
func (c *Core) nextAttempt(t *task) uint64 {
	return max(t.lastAttempt, c.Generation*attemptsPerOwner) + 1
}
