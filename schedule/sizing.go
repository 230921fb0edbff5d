package schedule

import (
	"cmp"
	"slices"
	"time"

	"citrongauge.example/citrongauge/platform"
)

// Sizing moves machines between pools. The queues take turns in demanding several times their mean load for some
// seconds, which exceeds the capacity of a pool while other pools and the spare pool have machines to give.

const (
	sizingInterval = 150 * time.Millisecond
	// headroom is the fraction by which a pool's capacity should exceed its demand.
	headroom = 0.1
	// minStayFactor is how many times the duration of a move a machine stays in a pool before it may move to another.
	minStayFactor = 2
	// donorReserve is the number of machines beyond its demand that a pool keeps when another pool needs machines.
	donorReserve = 1
	// surplusReserve is the number of machines beyond its demand that a pool keeps when no other pool needs them. After
	// surplusDelay, the others move to the spare pool, where they cost nothing.
	surplusReserve = 4
	surplusDelay   = 3 * time.Second
	// maxSurplusShare is the fraction of a pool's machines that move to the spare pool at a time, but at least one
	// machine moves. Demand may rise again soon.
	maxSurplusShare = 0.1
	// starvedAfter is how long a task waits although processors are free before its pool gets one more machine.
	starvedAfter = 700 * time.Millisecond
	// moveRetryDelay is the delay before an unanswered move is sent again. moveRejectedDelay is how long a machine is
	// left in its pool after a rejected move.
	moveRetryDelay    = 300 * time.Millisecond
	moveRejectedDelay = 2 * time.Second
	// joinTimeout is how long a machine may take to join its pool beyond the platform's duration of a move.
	joinTimeout = 3 * time.Second
)

// Move requests the move of a machine to another pool. Number increases with each command for a machine, so that a
// delayed copy of an earlier command is fenced off.
type Move struct {
	Machine string
	Pool    string
	Number  uint64
}

func (Move) isCall() {}

// machineMove is a move that was issued and whose machine has not joined its new pool yet.
type machineMove struct {
	Move
	from             string
	since            time.Duration
	accepted         bool
	unanswered       bool          // a copy of the command got no answer
	retryAt          time.Duration // 0: a command is in flight or was accepted
	previousUpstream string        // upstream at the time of the command
}

// sizePools issues the moves of machines that the pools need now.
func (c *Core) sizePools() {
	if c.now < c.nextSizing || c.machines == nil || !c.bundleSet {
		return
	}
	c.nextSizing = c.now + sizingInterval
	c.advanceMoves()
	c.markExpiredCommands()
	c.followTurns()
	c.movable = c.findMovable()
	c.compareShares()
	demands := c.demands()
	planTargets(demands, c.totalCapacity(demands))
	c.dropReservations(demands)
	c.noteDrains(demands)
	c.reportPlan(demands)
	if !c.store.LeaseHeld {
		c.endReleases()
		return
	}
	slices.SortFunc(demands, func(a, b *poolDemand) int {
		return cmp.Or(cmp.Compare(a.capacity-a.target, b.capacity-b.target), cmp.Compare(a.pool.name, b.pool.name))
	})
	c.acquireTargets(demands)
	for _, d := range demands {
		for _, s := range c.shortages(d.pool) {
			c.acquireFor(d, demands, &s)
		}
	}
	c.releaseBusy(demands)
	for _, d := range demands {
		c.moveSurplusToSpare(d)
	}
}

// acquireTargets acquires machines for the pools below their targets, one at a time each.
func (c *Core) acquireTargets(demands []*poolDemand) {
	for acquired := true; acquired; {
		acquired = false
		for _, d := range demands {
			if d.capacity < d.target && c.acquireMachine(d, demands, &shortage{}) > 0 {
				acquired = true
			}
		}
	}
}

// acquireFor acquires machines until the shortage is covered or no machine is available.
func (c *Core) acquireFor(d *poolDemand, demands []*poolDemand, s *shortage) {
	for s.milliCPU > 0 {
		acquired := c.acquireMachine(d, demands, s)
		if acquired == 0 {
			return
		}
		s.milliCPU -= acquired
	}
}

// moveSurplusToSpare moves machines that a pool has not needed for surplusDelay to the spare pool.
func (c *Core) moveSurplusToSpare(d *poolDemand) {
	p := d.pool
	if d.capacity-d.demand() < (surplusReserve+1)*d.machineCPU || d.usableMachines <= p.minUpstreams()+surplusReserve {
		p.surplusSince = c.now
		return
	}
	spare := c.sparePool()
	if spare == "" || c.now < p.surplusSince+c.surplusDelayOf(p) {
		return
	}
	surplus := min(int((d.capacity-d.demand())/max(d.machineCPU, 1)), d.usableMachines-p.minUpstreams()) - surplusReserve
	for range min(surplus, max(1, int(maxSurplusShare*float64(d.usableMachines)))) {
		up := c.movable.takeIdle(p, &shortage{})
		if up == nil {
			return
		}
		c.issueMove(up.Machine, up, &poolDemand{pool: c.pool(spare)})
	}
}

// minUpstreams returns the number of upstreams that the pool's long-running steps need because of their limits per
// upstream.
func (p *pool) minUpstreams() int {
	wanted := 0
	for part := range p.parts.all() {
		if part.step.MaxPerUpstream > 0 && part.step.LongRunning {
			wanted = max(wanted, (part.step.Count+part.step.MaxPerUpstream-1)/part.step.MaxPerUpstream)
		}
	}
	return wanted
}

// sparePool returns the name of a pool whose machines are switched off, or an empty string.
func (c *Core) sparePool() string {
	best := ""
	for name, spare := range c.spare {
		if spare && (best == "" || name < best) {
			best = name
		}
	}
	return best
}

// machinesJoining returns the number of machines that are about to join a pool by this owner's commands, or by an
// earlier owner's as far as the list of machines shows them.
func (c *Core) machinesJoining(p *pool) int {
	n := 0
	for _, m := range c.moves.all() {
		if m.Pool == p.name {
			n++
		}
	}
	for name := range c.inheritedCommands {
		if m := c.machines[name]; m.Phase == platform.MachineMoving && m.Pool == p.name && !c.isInPool(name, p) {
			n++
		}
	}
	return n
}

// isInPool reports whether the machine's newest upstream belongs to the pool.
func (c *Core) isInPool(machine string, p *pool) bool {
	up := c.upstreamOf(machine)
	return up != nil && up.Pool == p.name
}

// acquireMachine issues the move of one machine that matches the shortage into the pool, from the spare pool or from
// the pool with the largest surplus. It returns the machine's processors in thousandths of a core, or 0 if no machine
// is available.
func (c *Core) acquireMachine(d *poolDemand, demands []*poolDemand, s *shortage) int64 {
	if name := c.movable.takeSpare(c, s); name != "" {
		c.issueMove(name, nil, d)
		return max(c.machines[name].Capacity.MilliCPU, 1)
	}
	for i := len(demands) - 1; i >= 0; i-- {
		donor := demands[i]
		if donor.pool == d.pool {
			continue
		}
		up := c.movable.takeReleased(donor.pool, s)
		if up == nil && donor.surplus() > 0 {
			if up = c.movable.takeIdle(donor.pool, s); up != nil {
				donor.capacity -= up.Capacity.MilliCPU
			}
		}
		if up != nil {
			c.issueMove(up.Machine, up, d)
			return up.Capacity.MilliCPU
		}
	}
	return 0
}

// isMovable reports whether the machine is free to move: no move or upkeep of it is in progress, and neither the delay
// after a rejected move nor the pause between holders forbids a command.
func (c *Core) isMovable(name string) bool {
	if c.moves.get(name) != nil || c.now < c.moveRetryAt[name] || !c.mayCommand(name) {
		return false
	}
	for _, w := range c.waves.all() {
		if m := w.machines.get(name); m != nil && m.state != machineWaiting && m.state != machineDone {
			return false
		}
	}
	return true
}

// mayEndByCommand reports whether a move or an upkeep of the machine may still end a new upstream: the command was sent
// before the upstream was known, and has not been answered.
func (c *Core) mayEndByCommand(up *upstream) bool {
	if m := c.moves.get(up.Machine); m != nil && !m.accepted && up.Pool != m.Pool {
		return true
	}
	for _, w := range c.waves.all() {
		if m := w.machines.get(up.Machine); m != nil && m.state == machineCommandSent {
			return true
		}
	}
	return false
}

func (c *Core) issueMove(machine string, up *upstream, d *poolDemand) {
	c.lastMachineCommand++
	m := &machineMove{
		Move: Move{Machine: machine, Pool: d.pool.name, Number: c.lastMachineCommand}, from: c.machines[machine].Pool, since: c.now,
	}
	if up != nil {
		m.from, m.previousUpstream = up.Pool, up.ID
		up.cordoned, up.released = true, false
	}
	c.moves.set(machine, m)
	d.capacity += d.machineCPU
	c.stats.Moves++
	c.Log("move", "machine", machine, "from", m.from, "to", d.pool.name, "upstream", m.previousUpstream, "have", d.capacity, "need", d.demand(), "target", d.target,
		"machines", d.usableMachines)
	c.issueCommand(machine, m.Move)
}

// advanceMoves resends unanswered commands and ends the moves whose machine has joined its pool or has not joined in
// time.
func (c *Core) advanceMoves() {
	for name, m := range c.moves.all() {
		switch {
		case !m.accepted && m.retryAt > 0 && c.now >= m.retryAt && c.store.LeaseHeld:
			m.retryAt = 0
			c.issueCommand(name, m.Move)
		case m.accepted && c.spare[m.Pool]:
			if c.now > m.since+c.Bounds.MoveDuration {
				c.markUp(name)
				c.moves.delete(name)
			}
		case m.accepted && c.hasJoined(m):
			c.Log("machine joined", "machine", name, "pool", m.Pool, "took_ms", (c.now - m.since).Milliseconds())
			c.moves.delete(name)
		case m.accepted && c.now > m.since+c.Bounds.MoveDuration+joinTimeout:
			c.Log("machine did not join its pool in time", "machine", name, "pool", m.Pool)
			c.moves.delete(name)
		}
	}
}

// markUp records that a move has ended. The list of machines may have been read during the move.
func (c *Core) markUp(machine string) {
	if listed, ok := c.machines[machine]; ok && listed.Phase == platform.MachineMoving {
		listed.Phase = platform.MachineUp
		c.machines[machine] = listed
	}
}

// hasJoined reports whether the moved machine's new upstream can be used.
func (c *Core) hasJoined(m *machineMove) bool {
	up := c.upstreamOf(m.Machine)
	return up != nil && up.Pool == m.Pool && up.fenced && up.stored
}

// HandleMoveResult handles the result of a Move.
func (c *Core) HandleMoveResult(call Move, err error) {
	m := c.moves.get(call.Machine)
	if m == nil || m.Number != call.Number || m.accepted {
		return
	}
	switch {
	case err == nil:
		m.accepted, m.since = true, c.now
		if listed, ok := c.machines[m.Machine]; ok {
			listed.Pool, listed.Upstream = m.Pool, ""
			c.machines[m.Machine] = listed
		}
		if up := c.upstreams.get(m.previousUpstream); up != nil && up.Pool != m.Pool {
			c.markTerminated(up, "its machine has moved")
		}
	case isDefiniteFailure(err, m.unanswered):
		c.Log("move refused", "machine", m.Machine, "from", m.from, "to", m.Pool, "error", err.Error())
		c.moves.delete(call.Machine)
		c.moveRetryAt[call.Machine] = c.now + moveRejectedDelay
		if up := c.upstreams.get(m.previousUpstream); up != nil {
			up.cordoned = false
		}
		c.uncordon(m.Machine)
	default:
		m.unanswered, m.retryAt = true, c.now+moveRetryDelay
		c.Log("move got no answer", "machine", m.Machine, "to", m.Pool, "error", err.Error())
	}
}
