package schedule

import (
	"slices"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

// lack is what a pool's waiting tasks miss beyond processors: machines with a label, or large enough for a task.
type lack struct {
	label string
	room  job.Resources // of one task
	cpu   int64         // thousandths of a core
}

// fits reports whether a machine would help. A capacity that is not known does not count against it.
func (l *lack) fits(labels []string, capacity job.Resources) bool {
	if l.label != "" && !slices.Contains(labels, l.label) {
		return false
	}
	return capacity == (job.Resources{}) || l.room.Fits(capacity)
}

// lacksOf returns what the pool's waiting tasks miss, in the order of their parts.
func (c *Core) lacksOf(p *pool) []lack {
	var lacks []lack
	for part := range p.parts.all() {
		waiting, starved := c.waitingOf(part)
		if waiting == 0 || !part.job.team.allows(part.step.Request) || !c.couldHold(p, part.step) {
			continue
		}
		room := part.step.Room()
		i := slices.IndexFunc(lacks, func(l lack) bool { return l.label == part.step.Label })
		switch {
		case part.step.Label != "" && i < 0:
			lacks = append(lacks, lack{label: part.step.Label, room: room, cpu: int64(waiting) * room.MilliCPU})
		case part.step.Label != "":
			lacks[i].cpu += int64(waiting) * room.MilliCPU
		case starved && i < 0:
			lacks = append(lacks, lack{room: room, cpu: 1})
		}
	}
	for i := range lacks {
		lacks[i].cpu -= c.onTheWay(p, &lacks[i])
		if lacks[i].label != "" {
			lacks[i].cpu -= c.roomFor(p, &lacks[i])
		}
	}
	return lacks
}

// waitingOf returns how many of the part's tasks wait, and whether one has waited for long.
func (c *Core) waitingOf(p *part) (waiting int, starved bool) {
	for i := range p.tasks {
		t := &p.tasks[i]
		if !c.mayStart(p, t) {
			continue
		}
		waiting++
		starved = starved || c.now > max(p.releasedAt, t.requeuedAt, t.notBefore)+starvedAfter
	}
	return waiting, starved
}

// roomFor returns the free processors on the pool's upstreams that help.
func (c *Core) roomFor(p *pool, l *lack) int64 {
	var sum int64
	for _, up := range p.upstreams.all() {
		if c.isUsable(up) && l.fits(up.Labels, up.Capacity) && l.room.Fits(up.room()) {
			sum += up.room().MilliCPU
		}
	}
	return sum
}

// onTheWay returns the processors of machines that help and are about to join the pool.
func (c *Core) onTheWay(p *pool, l *lack) int64 {
	var sum int64
	for name, m := range c.moves.all() {
		if listed := c.machines[name]; m.Pool == p.name && l.fits(listed.Labels, listed.Capacity) {
			sum += max(listed.Capacity.MilliCPU, l.room.MilliCPU)
		}
	}
	return sum
}

// couldHold reports whether a task of the step fits on an empty upstream of the pool, or on a machine that may move there.
// Nothing that is done for the pool helps one that does not.
func (c *Core) couldHold(p *pool, step *job.Step) bool {
	l := lack{label: step.Label, room: step.Room()}
	for _, up := range p.upstreams.all() {
		if l.fits(up.Labels, up.Capacity) {
			return true
		}
	}
	for _, m := range c.machines {
		if m.Phase != platform.MachineDown && m.Capacity != (job.Resources{}) && l.fits(m.Labels, m.Capacity) {
			return true
		}
	}
	return false
}
