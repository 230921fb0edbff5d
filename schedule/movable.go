package schedule

import (
	"slices"
	"time"

	"citrongauge.example/citrongauge/platform"
)

// movableMachines are the machines that can change their pool in one round of sizing.
type movableMachines struct {
	spare    []string // machines of the spare pools, sorted by name
	idle     map[*pool][]*upstream
	released []*upstream // upstreams that take no new tasks so that their machines can move
}

// findMovable collects the machines that can change their pool now. The list of machines may be older than a move: a
// machine that it shows in the spare pool may have joined another pool.
func (c *Core) findMovable() *movableMachines {
	m := &movableMachines{idle: map[*pool][]*upstream{}}
	for name, machine := range c.machines {
		if c.spare[machine.Pool] && machine.Phase == platform.MachineUp && !c.evacuated[machine.Zone] && c.isMovable(name) &&
			c.isOff(name) {
			m.spare = append(m.spare, name)
		}
	}
	slices.Sort(m.spare)
	for _, p := range c.pools.all() {
		for _, up := range p.byID {
			switch {
			case up.released && (!c.isInService(up) || !c.isMovable(up.Machine) || !c.isNewest(up)):
				up.released = false
			case up.released:
				m.released = append(m.released, up)
			case up.runs.len() == 0 && c.mayLeave(up):
				m.idle[p] = append(m.idle[p], up)
			}
		}
	}
	return m
}

// mayLeave reports whether the upstream's machine may move to another pool once it has no runs.
func (c *Core) mayLeave(up *upstream) bool {
	return up.Machine != "" && c.isUsable(up) && c.isMovable(up.Machine) && c.isNewest(up) && c.now >= up.addedAt+c.minStay()
}

// minStay returns how long a machine stays in a pool before it may move to another.
func (c *Core) minStay() time.Duration { return minStayFactor * c.Bounds.MoveDuration }

// isNewest reports whether no newer upstream of the same machine is known. An upstream that has crashed without runs looks
// idle until its entry expires.
func (c *Core) isNewest(up *upstream) bool { return c.upstreamOf(up.Machine) == up }

// takeSpare removes and returns a spare machine that matches the shortage, or returns an empty string.
func (m *movableMachines) takeSpare(c *Core, s *shortage) string {
	for i, name := range m.spare {
		if machine := c.machines[name]; s.matches(machine.Labels, machine.Capacity) {
			m.spare = slices.Delete(m.spare, i, i+1)
			return name
		}
	}
	return ""
}

// takeIdle removes and returns a matching upstream of the pool without runs, or returns nil.
func (m *movableMachines) takeIdle(p *pool, s *shortage) *upstream {
	i := slices.IndexFunc(m.idle[p], func(up *upstream) bool { return s.matches(up.Labels, up.Capacity) })
	if i < 0 {
		return nil
	}
	up := m.idle[p][i]
	m.idle[p] = slices.Delete(m.idle[p], i, i+1)
	return up
}

// takeReleased removes and returns a matching released upstream of the pool whose runs have ended, or returns nil.
func (m *movableMachines) takeReleased(p *pool, s *shortage) *upstream {
	i := slices.IndexFunc(m.released, func(up *upstream) bool {
		return up.Pool == p.name && up.runs.len() == 0 && s.matches(up.Labels, up.Capacity)
	})
	if i < 0 {
		return nil
	}
	up := m.released[i]
	m.released = slices.Delete(m.released, i, i+1)
	return up
}

// releaseBusy keeps new tasks off as many upstreams of pools above their targets as other pools lack for urgent work,
// so that their machines can move once their runs have ended. Under a backlog no upstream would become idle otherwise.
func (c *Core) releaseBusy(demands []*poolDemand) {
	var lacking int64
	for _, d := range demands {
		lacking += d.urgentShortage()
	}
	lacksMachines := map[string]bool{}
	for _, d := range demands {
		lacksMachines[d.pool.name] = d.capacity < min(d.target, d.need[tierLongRunning])
	}
	for _, up := range c.movable.released {
		if lacking <= 0 || lacksMachines[up.Pool] || c.isAwaited(up) {
			up.released = false
			c.Log("release ended", "upstream", up.ID, "pool", up.Pool)
			continue
		}
		lacking -= up.Capacity.MilliCPU
	}
	for i := len(demands) - 1; i >= 0 && lacking > 0; i-- {
		donor := demands[i]
		for _, up := range c.leastBusy(donor) {
			if lacking <= 0 || donor.excess() <= 0 || donor.usableMachines <= donorReserve {
				break
			}
			if c.isAwaited(up) {
				continue
			}
			up.released = true
			donor.usableMachines--
			lacking -= up.Capacity.MilliCPU
			donor.capacity -= up.Capacity.MilliCPU
			c.Log("upstream released for another pool", "upstream", up.ID, "pool", up.Pool, "runs", up.runs.len(),
				"have", donor.capacity, "target", donor.target)
		}
	}
}

// endReleases lets the released upstreams take tasks again, since their machines cannot move now.
func (c *Core) endReleases() {
	for _, up := range c.movable.released {
		up.released = false
		c.Log("release ended", "upstream", up.ID, "pool", up.Pool)
	}
}

// isAwaited reports whether a starving long-running task of the upstream's own pool would fit there.
func (c *Core) isAwaited(up *upstream) bool {
	for p := range c.pool(up.Pool).parts.all() {
		if !p.step.LongRunning || !p.step.ReservedResources().Fits(up.freeCapacity()) || !c.mayHold(p, up) {
			continue
		}
		if _, starving := c.countWaitingTasks(p); starving {
			return true
		}
	}
	return false
}

// leastBusy returns the pool's upstreams that can be released, least used first. Long-running tasks keep their places.
func (c *Core) leastBusy(d *poolDemand) []*upstream {
	if d.excess() <= 0 {
		return nil
	}
	var found []*upstream
	for _, up := range d.pool.byID {
		if up.runs.len() > 0 && up.longRunning == 0 && c.mayLeave(up) {
			found = append(found, up)
		}
	}
	slices.SortStableFunc(found, func(a, b *upstream) int { return int(a.used.MilliCPU - b.used.MilliCPU) })
	return found
}
