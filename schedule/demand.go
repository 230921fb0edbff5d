package schedule

import (
	"slices"
	"time"

	"citrongauge.example/citrongauge/job"
)

// maxGrowth bounds the predicted load of a pool, as a multiple of what runs and waits there. The prediction averages few
// jobs, so it exceeds the load at times; machines that are acquired then stay idle.
const maxGrowth = 1.5

// tier classifies the demand of a pool. If the machines do not suffice for all pools, each tier is served in all pools
// before the next one, so that no pool keeps machines for late work while another one could still be on time.
type tier int

const (
	tierLongRunning tier = iota // includes the machines that make upkeep possible
	tierOnTime
	tierLate
	tierTooLate
	tierCount
)

// poolDemand is a pool's capacity and demand, in thousandths of a core.
type poolDemand struct {
	pool           *pool
	capacity       int64 // capacity of usable upstreams and of machines that are about to join
	need           [tierCount]int64
	target         int64 // planned capacity
	usableMachines int   // number of usable upstreams
	starved        int   // long-running tasks that have waited for longer than starvedAfter
	// machineCPU and machineMemoryMB are the capacity of the pool's largest machine.
	machineCPU, machineMemoryMB int64
}

// equivalentCPU returns the processors that go with the larger of a request's shares of a machine's processors and
// memory.
func (d *poolDemand) equivalentCPU(request job.Resources) int64 {
	if d.machineMemoryMB <= 0 {
		return request.MilliCPU
	}
	return max(request.MilliCPU, request.MemoryMB*d.machineCPU/d.machineMemoryMB)
}

func (d *poolDemand) demand() int64 {
	var sum int64
	for _, need := range d.need {
		sum += need
	}
	return sum
}

// excess returns the number of machines that the pool has beyond its target.
func (d *poolDemand) excess() int64 { return max((d.capacity-d.target)/max(d.machineCPU, 1), 0) }

// surplus returns the number of idle machines that the pool can give to others.
func (d *poolDemand) surplus() int64 { return max(d.excess()-donorReserve, 0) }

// urgentShortage returns the processors that the pool lacks for long-running tasks and for work that can be on time.
func (d *poolDemand) urgentShortage() int64 {
	return max(min(d.target, d.need[tierLongRunning]+d.need[tierOnTime])-d.capacity, 0)
}

// planTargets sets the pools' targets: total is distributed by tiers, and in proportion to the pools' needs within the
// first tier that exceeds what is left.
func planTargets(demands []*poolDemand, total int64) {
	for t := range tierCount {
		var wanted int64
		for _, d := range demands {
			wanted += d.need[t]
		}
		share := 1.0
		if wanted > total {
			share = float64(total) / float64(wanted)
		}
		for _, d := range demands {
			granted := int64(share * float64(d.need[t]))
			d.target += granted
			total -= granted
		}
	}
}

// totalCapacity returns the capacity of all machines that can serve the pools. A machine of unknown capacity counts as
// the largest known one.
func (c *Core) totalCapacity(demands []*poolDemand) int64 {
	var sum, largest int64
	for _, d := range demands {
		sum += d.capacity
		largest = max(largest, d.machineCPU)
	}
	for _, up := range c.movable.released {
		sum += up.Capacity.MilliCPU
	}
	for _, name := range c.movable.spare {
		if known := c.machines[name].Capacity.MilliCPU; known > 0 {
			sum += known
		} else {
			sum += largest
		}
	}
	return sum
}

// demands returns the demand of each pool whose machines are switched on.
func (c *Core) demands() []*poolDemand {
	var demands []*poolDemand
	for _, p := range c.pools.all() {
		if c.isServed(p) {
			demands = append(demands, c.demandOf(p))
		}
	}
	return demands
}

func (c *Core) demandOf(p *pool) *poolDemand {
	d := &poolDemand{pool: p}
	for part := range p.parts.all() {
		part.tier = c.tierOf(part)
		part.waiting, part.starved = c.countWaitingTasks(part)
	}
	for _, up := range p.byID {
		if up.Capacity.MilliCPU > d.machineCPU {
			d.machineCPU, d.machineMemoryMB = up.Capacity.MilliCPU, up.Capacity.MemoryMB
		}
	}
	if d.machineCPU == 0 {
		largest := c.largestMachine()
		d.machineCPU, d.machineMemoryMB = largest.MilliCPU, largest.MemoryMB
	}
	idle := c.addUse(d)
	usable := d.capacity
	d.capacity += int64(c.machinesJoining(p)) * d.machineCPU
	late := d.need[tierLate] + d.need[tierTooLate]
	c.addWaiting(d)
	present := d.need[tierOnTime] + d.need[tierLate] + d.need[tierTooLate]
	predicted := min(p.offeredLoad(c.now), int64(maxGrowth*float64(present))) + c.expectedRise(p)
	d.need[tierOnTime] = max(d.need[tierOnTime], predicted-late)
	for t := range d.need {
		d.need[t] = int64((1 + headroom) * float64(d.need[t]))
	}
	d.need[tierLongRunning] = max(d.need[tierLongRunning], int64(p.minUpstreams())*d.machineCPU)
	d.need[tierLongRunning] += int64(c.upkeepReserve(p)) * d.machineCPU
	if d.starved > 0 && !idle {
		// They fit on none of the usable upstreams, whose free capacity may be scattered.
		d.need[tierLongRunning] = max(d.need[tierLongRunning], usable+int64(d.starved)*d.machineCPU)
	}
	return d
}

// addUse adds the capacity of the pool's usable upstreams and what runs there. It reports whether one of them is idle.
func (c *Core) addUse(d *poolDemand) (idle bool) {
	for _, up := range d.pool.byID {
		if !c.isUsable(up) {
			continue
		}
		d.capacity += up.Capacity.MilliCPU
		d.usableMachines++
		idle = idle || up.runs.len() == 0
		for _, r := range up.runs.all() {
			d.need[r.part.tier] += d.equivalentCPU(r.reserved)
		}
	}
	return idle
}

func (c *Core) tierOf(p *part) tier {
	if p.step.LongRunning {
		return tierLongRunning
	}
	switch c.timeliness(p) {
	case onTime:
		return tierOnTime
	case late:
		return tierLate
	}
	return tierTooLate
}

// addWaiting adds the processors that the pool's waiting tasks would use within their teams' caps. Within a team,
// earlier tiers come first.
func (c *Core) addWaiting(d *poolDemand) {
	byTeam := newOrderedMap[*team, *[tierCount]int64]()
	for part := range d.pool.parts.all() {
		if part.step.Label != "" || !c.canEverFit(d.pool, part.step) {
			continue
		}
		sums := byTeam.get(part.job.team)
		if sums == nil {
			sums = new([tierCount]int64)
			byTeam.set(part.job.team, sums)
		}
		sums[part.tier] += int64(part.waiting) * d.equivalentCPU(part.step.ReservedResources())
		if part.starved && part.step.LongRunning && !part.job.Queue.NeedsAdvice && part.job.team.allows(part.step.Request) {
			d.starved += part.waiting
		}
	}
	for t, sums := range byTeam.all() {
		left := max(t.cap.MilliCPU-t.used.MilliCPU, 0)
		for tier, waiting := range sums {
			if t.cap.MilliCPU > 0 {
				waiting = min(waiting, left)
				left -= waiting
			}
			d.need[tier] += waiting
		}
	}
}

// planReportInterval is the shortest time between two reports on the plan over the machines.
const planReportInterval = time.Second

// reportPlan logs the plan for each pool that lacks machines or has more than it is to have, at most every planReportInterval.
func (c *Core) reportPlan(demands []*poolDemand) {
	if c.now < c.nextPlanReport {
		return
	}
	c.nextPlanReport = c.now + planReportInterval
	if !slices.ContainsFunc(demands, func(d *poolDemand) bool { return d.capacity < d.target || d.target < d.demand() }) {
		return
	}
	released := map[string]int{}
	for _, up := range c.movable.released {
		released[up.Pool]++
	}
	for _, d := range demands {
		c.Log("machines planned", "pool", d.pool.name, "have", d.capacity, "target", d.target, "long_running", d.need[tierLongRunning],
			"on_time", d.need[tierOnTime], "late", d.need[tierLate], "too_late", d.need[tierTooLate], "offered", d.pool.offeredLoad(c.now), "rise", c.expectedRise(d.pool),
			"usable", d.usableMachines, "joining", c.machinesJoining(d.pool), "released", released[d.pool.name],
			"idle", len(c.movable.idle[d.pool]), "spare", len(c.movable.spare))
	}
}
