package schedule

import (
	"slices"
	"time"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

// shortage is a resource that a pool's waiting tasks need besides processors: machines with a label, or machines
// large enough for a task.
type shortage struct {
	label    string
	perTask  job.Resources // capacity needed by one task
	milliCPU int64         // missing processors, in thousandths of a core
}

// matches reports whether a machine would reduce the shortage. A machine of unknown capacity is assumed to be large
// enough.
func (s *shortage) matches(labels []string, capacity job.Resources) bool {
	if s.label != "" && !slices.Contains(labels, s.label) {
		return false
	}
	return capacity == (job.Resources{}) || s.perTask.Fits(capacity)
}

// shortages returns the pool's shortages, in the order of its parts. It is called after demandOf.
func (c *Core) shortages(p *pool) []shortage {
	var found []shortage
	for part := range p.parts.all() {
		if part.waiting == 0 || !part.job.team.allows(part.step.Request) || !c.canEverFit(p, part.step) {
			continue
		}
		perTask := part.step.ReservedResources()
		i := slices.IndexFunc(found, func(s shortage) bool { return s.label == part.step.Label })
		switch {
		case part.step.Label != "" && i < 0:
			found = append(found, shortage{label: part.step.Label, perTask: perTask, milliCPU: int64(part.waiting) * perTask.MilliCPU})
		case part.step.Label != "":
			found[i].milliCPU += int64(part.waiting) * perTask.MilliCPU
		case part.starved && i < 0:
			found = append(found, shortage{perTask: perTask, milliCPU: 1}) // any amount above 0 acquires one machine
		}
	}
	for i := range found {
		found[i].milliCPU -= c.incomingCPUFor(p, &found[i])
		if found[i].label != "" {
			found[i].milliCPU -= c.freeCPUFor(p, &found[i])
		}
	}
	return found
}

// countWaitingTasks returns the number of the part's tasks that can be started, and whether one of them has waited
// for longer than starvedAfter.
func (c *Core) countWaitingTasks(p *part) (waiting int, starved bool) {
	for i := range p.tasks {
		t := &p.tasks[i]
		if !c.mayStart(p, t) {
			continue
		}
		waiting++
		starved = starved || p.isStarving(t, c.now)
	}
	return waiting, starved
}

// isStarving reports whether a task that can be started has waited for longer than starvedAfter.
func (p *part) isStarving(t *task, now time.Duration) bool {
	return now > max(p.releasedAt, t.requeuedAt, t.notBefore)+starvedAfter
}

// freeCPUFor returns the free processors on the pool's matching upstreams.
func (c *Core) freeCPUFor(p *pool, s *shortage) int64 {
	var sum int64
	for _, up := range p.upstreams.all() {
		if c.isUsable(up) && s.matches(up.Labels, up.Capacity) && s.perTask.Fits(up.freeCapacity()) {
			sum += up.freeCapacity().MilliCPU
		}
	}
	return sum
}

// incomingCPUFor returns the processors of matching machines that are about to join the pool.
func (c *Core) incomingCPUFor(p *pool, s *shortage) int64 {
	var sum int64
	for name, m := range c.moves.all() {
		if listed := c.machines[name]; m.Pool == p.name && s.matches(listed.Labels, listed.Capacity) {
			sum += max(listed.Capacity.MilliCPU, s.perTask.MilliCPU)
		}
	}
	return sum
}

// canEverFit reports whether a task of the step fits on an empty upstream of the pool or on a machine that could move
// there. No move of machines helps a task that fits on none.
func (c *Core) canEverFit(p *pool, step *job.Step) bool {
	s := shortage{label: step.Label, perTask: step.ReservedResources()}
	for _, up := range p.upstreams.all() {
		if s.matches(up.Labels, up.Capacity) {
			return true
		}
	}
	for _, m := range c.machines {
		if m.Phase != platform.MachineDown && m.Capacity != (job.Resources{}) && s.matches(m.Labels, m.Capacity) {
			return true
		}
	}
	return false
}
