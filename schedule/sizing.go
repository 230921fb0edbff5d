package schedule

import (
	"cmp"
	"slices"
	"time"

	"citrongauge.example/citrongauge/platform"
)

// Sizing moves machines between pools: queues demand several times their mean for some seconds by turns, which is more
// than a pool holds, while other pools and the spare pool have room.

const (
	sizeEvery = 150 * time.Millisecond
	// demandWindow is the time over which accepted work is averaged to foresee what a pool will need.
	demandWindow = 800 * time.Millisecond
	// headroom is the share by which a pool's capacity should exceed its demand.
	headroom = 0.1
	// donorReserve is the number of machines that a pool keeps beyond its demand when another pool needs them.
	donorReserve = 1
	// parkReserve is the number of machines that a pool keeps beyond its demand when they are not needed elsewhere. The
	// others move to the spare pool, where they cost nothing, after parkAfter without work.
	parkReserve = 4
	parkAfter   = 3 * time.Second
	// parkShare of a pool's machines, and one at least, are parked at a time: demand may be back soon.
	parkShare = 0.1
	// starvedAfter is how long a task waits beside free processors before its pool gets one more machine.
	starvedAfter = 700 * time.Millisecond
	// moveRetry is the pause before an order without an answer is sent again, moveRefused the time for which a machine
	// whose move was refused is left alone.
	moveRetry   = 300 * time.Millisecond
	moveRefused = 2 * time.Second
	// joinPatience is how long after the platform's time for a move a machine may take to join its pool.
	joinPatience = 3 * time.Second
)

// Move is a machine to be moved to another pool. Number rises with each order for machines, so that a late copy of an
// earlier one can be fenced off.
type Move struct {
	Machine string
	Pool    string
	Number  uint64
}

func (Move) isCall() {}

// machineMove is a move that was ordered and whose machine has not joined its new pool.
type machineMove struct {
	Move
	from     string
	since    time.Duration
	accepted bool
	retryAt  time.Duration // 0: an order is on its way
	old      string        // upstream at the time of the order
}

// arrivedWork is work that was accepted for a pool.
type arrivedWork struct {
	at       time.Duration
	coreTime float64 // core-seconds
}

// poolDemand is what a pool has and needs, in thousandths of a core.
type poolDemand struct {
	pool     *pool
	have     int64 // on upstreams that can be used, and on the way
	need     int64
	unit     int64 // capacity of one machine
	machines int   // that can be used
}

// noteArrival counts an accepted job's work for the sizing of its pool.
func (c *Core) noteArrival(j *jobState) {
	if j.LongRunning() || j.Repeat > 0 || c.now-j.arrival > demandWindow {
		return
	}
	p := c.pool(j.Queue.Pool)
	work := 0.0
	for _, part := range j.parts {
		if part.step.Label == "" && c.couldHold(p, part.step) {
			work += c.workOf(part) / 1000
		}
	}
	p.arrived = append(p.arrived, arrivedWork{c.now, work})
}

// offered returns the processors that work accepted lately will keep busy, in thousandths of a core.
func (p *pool) offered(now time.Duration) int64 {
	for len(p.arrived) > 0 && p.arrived[0].at < now-demandWindow {
		p.arrived = p.arrived[1:]
	}
	total := 0.0
	for _, work := range p.arrived {
		total += work.coreTime
	}
	return int64(1000 * total / demandWindow.Seconds())
}

// size orders the moves that the pools need now.
func (c *Core) size() {
	if c.now < c.sizeAgain || c.machines == nil || !c.bundleSet {
		return
	}
	c.sizeAgain = c.now + sizeEvery
	c.advanceMoves()
	c.releaseOrders()
	var demands []poolDemand
	for _, p := range c.pools.all() {
		if !c.spare[p.name] && p.upstreams.len() > 0 {
			demands = append(demands, c.demandOf(p))
		}
	}
	slices.SortFunc(demands, func(a, b poolDemand) int {
		return cmp.Or(cmp.Compare(a.have-a.need, b.have-b.need), cmp.Compare(a.pool.name, b.pool.name))
	})
	for i := range demands {
		for demands[i].have < demands[i].need {
			if c.pull(&demands[i], demands, &lack{}) == 0 {
				break
			}
		}
	}
	for i := range demands {
		for _, l := range c.lacksOf(demands[i].pool) {
			for l.cpu > 0 {
				capacity := c.pull(&demands[i], demands, &l)
				if capacity == 0 {
					break
				}
				l.cpu -= capacity
			}
		}
	}
	for i := range demands {
		c.park(&demands[i])
	}
}

// park moves machines that a pool has not needed for some time to the spare pool.
func (c *Core) park(d *poolDemand) {
	p := d.pool
	if d.have-d.need < (parkReserve+1)*d.unit || d.machines <= p.hostsWanted()+parkReserve {
		p.roomySince = c.now
		return
	}
	spare := c.sparePool()
	if spare == "" || c.now < p.roomySince+parkAfter {
		return
	}
	spared := min(int((d.have-d.need)/max(d.unit, 1)), d.machines-p.hostsWanted()) - parkReserve
	for range min(spared, max(1, int(parkShare*float64(d.machines)))) {
		up := c.idleUpstream(p, &lack{})
		if up == nil {
			return
		}
		c.move(up.Machine, up, &poolDemand{pool: c.pool(spare)})
	}
}

// hostsWanted returns the number of upstreams over which the pool's steps have to spread.
func (p *pool) hostsWanted() int {
	wanted := 0
	for part := range p.parts.all() {
		if part.step.PerHost > 0 && part.step.LongRunning {
			wanted = max(wanted, (part.step.Count+part.step.PerHost-1)/part.step.PerHost)
		}
	}
	return wanted
}

// sparePool returns the name of a pool whose machines are off, or an empty one.
func (c *Core) sparePool() string {
	best := ""
	for name, spare := range c.spare {
		if spare && (best == "" || name < best) {
			best = name
		}
	}
	return best
}

func (c *Core) demandOf(p *pool) poolDemand {
	d := poolDemand{pool: p}
	var used int64
	for _, up := range p.upstreams.all() {
		if c.isUsable(up) {
			d.have += up.Capacity.MilliCPU
			d.machines++
			used += up.used.MilliCPU
		}
		d.unit = max(d.unit, up.Capacity.MilliCPU)
	}
	arriving := c.arriving(p)
	d.have += int64(arriving) * d.unit
	need := max(used+c.waitingCPU(p), used+p.offered(c.now)-p.timedCPU())
	d.need = int64((1 + headroom) * float64(need))
	return d
}

// arriving returns the number of machines that are about to join a pool: by this owner's orders, and by an earlier
// owner's as far as the list shows them.
func (c *Core) arriving(p *pool) int {
	n := 0
	for _, m := range c.moves.all() {
		if m.Pool == p.name {
			n++
		}
	}
	for name := range c.inheritedOrders {
		if m := c.machines[name]; m.Phase == platform.MachineMoving && m.Pool == p.name && !c.isIn(name, p) {
			n++
		}
	}
	return n
}

// isIn reports whether the present life of a machine is an upstream of the pool.
func (c *Core) isIn(machine string, p *pool) bool {
	up := c.upstreamOf(machine)
	return up != nil && up.Pool == p.name
}

// timedCPU returns the processors that timed tasks use on the pool's upstreams.
func (p *pool) timedCPU() int64 {
	var sum int64
	for _, up := range p.upstreams.all() {
		for _, r := range up.runs.all() {
			if !r.part.step.LongRunning {
				sum += r.room.MilliCPU
			}
		}
	}
	return sum
}

// waitingCPU returns the processors that the pool's waiting tasks would use, as far as their teams' caps allow.
func (c *Core) waitingCPU(p *pool) int64 {
	byTeam := map[*team]int64{}
	for part := range p.parts.all() {
		if part.step.Label != "" || !c.couldHold(p, part.step) {
			continue
		}
		waiting, _ := c.waitingOf(part)
		byTeam[part.job.team] += int64(waiting) * part.step.Room().MilliCPU
	}
	var sum int64
	for t, waiting := range byTeam {
		if t.cap.MilliCPU > 0 {
			waiting = min(waiting, max(t.cap.MilliCPU-t.used.MilliCPU, 0))
		}
		sum += waiting
	}
	return sum
}

// pull orders one machine into a pool that helps with what the pool lacks, from the spare pool or from the pool with the
// most room left. It returns the machine's processors in thousandths of a core, or 0 if none can be spared.
func (c *Core) pull(d *poolDemand, demands []poolDemand, l *lack) int64 {
	if name := c.spareMachine(l); name != "" {
		c.move(name, nil, d)
		return max(c.machines[name].Capacity.MilliCPU, 1)
	}
	for i := len(demands) - 1; i >= 0; i-- {
		donor := &demands[i]
		if donor.pool == d.pool || donor.have-donor.need < (donorReserve+1)*donor.unit {
			continue
		}
		if up := c.idleUpstream(donor.pool, l); up != nil {
			donor.have -= up.Capacity.MilliCPU
			c.move(up.Machine, up, d)
			return up.Capacity.MilliCPU
		}
	}
	return 0
}

// spareMachine returns a machine of the spare pool that can be moved and helps, or an empty name. The list may be older
// than a move: a machine that it shows in the spare pool may have joined another one.
func (c *Core) spareMachine(l *lack) string {
	best := ""
	for name, m := range c.machines {
		if !c.spare[m.Pool] || m.Phase != platform.MachineUp || c.evacuated[m.Zone] || !c.isMovable(name) ||
			!c.isOff(name) || !l.fits(m.Labels, m.Capacity) {
			continue
		}
		if best == "" || name < best {
			best = name
		}
	}
	return best
}

// isMovable reports whether nothing else is being done with a machine.
func (c *Core) isMovable(name string) bool {
	if c.moves.get(name) != nil || c.now < c.moveAgain[name] || !c.mayOrder(name) {
		return false
	}
	for _, w := range c.waves.all() {
		if m := w.machines.get(name); m != nil && m.state != machineWaiting && m.state != machineDone {
			return false
		}
	}
	return true
}

// idleUpstream returns an upstream of the pool on which nothing runs and whose machine helps, or nil.
func (c *Core) idleUpstream(p *pool, l *lack) *upstream {
	var best *upstream
	for _, up := range p.upstreams.all() {
		if up.runs.len() > 0 || up.Machine == "" || !c.isUsable(up) || !c.isMovable(up.Machine) ||
			!l.fits(up.Labels, up.Capacity) {
			continue
		}
		if best == nil || up.ID < best.ID {
			best = up
		}
	}
	return best
}

func (c *Core) move(machine string, up *upstream, d *poolDemand) {
	c.machineOrders++
	m := &machineMove{
		Move: Move{Machine: machine, Pool: d.pool.name, Number: c.machineOrders}, from: c.machines[machine].Pool, since: c.now,
	}
	if up != nil {
		m.from, m.old = up.Pool, up.ID
		up.cordoned = true
	}
	c.moves.set(machine, m)
	d.have += d.unit
	c.stats.Moves++
	c.Log("move", "machine", machine, "from", m.from, "to", d.pool.name, "upstream", m.old, "have", d.have, "need", d.need,
		"machines", d.machines)
	c.order(machine, m.Move)
}

// advanceMoves repeats orders without an answer and ends moves whose machine has joined, or does not come.
func (c *Core) advanceMoves() {
	for name, m := range c.moves.all() {
		switch {
		case !m.accepted && m.retryAt > 0 && c.now >= m.retryAt:
			m.retryAt = 0
			c.order(name, m.Move)
		case m.accepted && c.spare[m.Pool]:
			if c.now > m.since+c.Bounds.Migrate {
				c.moves.delete(name)
			}
		case m.accepted && c.hasJoined(m):
			c.Log("machine joined", "machine", name, "pool", m.Pool, "took_ms", (c.now - m.since).Milliseconds())
			c.moves.delete(name)
		case m.accepted && c.now > m.since+c.Bounds.Migrate+joinPatience:
			c.Log("machine did not join", "machine", name, "pool", m.Pool)
			c.moves.delete(name)
		}
	}
}

// hasJoined reports whether a moved machine's new upstream can be used.
func (c *Core) hasJoined(m *machineMove) bool {
	up := c.upstreamOf(m.Machine)
	return up != nil && up.Pool == m.Pool && up.fenced && up.stored
}

// MoveAnswered handles the answer to a Move.
func (c *Core) MoveAnswered(call Move, err error) {
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
		if up := c.upstreams.get(m.old); up != nil && up.Pool != m.Pool {
			c.markGone(up, "its machine has moved")
		}
	case isCertain(err):
		c.Log("move refused", "machine", m.Machine, "from", m.from, "to", m.Pool, "error", err.Error())
		c.moves.delete(call.Machine)
		c.moveAgain[call.Machine] = c.now + moveRefused
		if up := c.upstreams.get(m.old); up != nil {
			up.cordoned = false
		}
	default:
		m.retryAt = c.now + moveRetry
		c.Log("move got no answer", "machine", m.Machine, "to", m.Pool, "error", err.Error())
	}
}
