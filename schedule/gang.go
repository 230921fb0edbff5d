package schedule

import "citrongauge.example/citrongauge/job"

// placeGang starts all tasks of a gang, or none.
func (c *Core) placeGang(p *part, usable []*upstream) {
	attempt := uint64(0)
	for i := range p.tasks {
		t := &p.tasks[i]
		if !c.mayStart(p, t) {
			return // an earlier attempt has not ended on all upstreams
		}
		attempt = max(attempt, c.nextAttempt(t))
	}
	total := job.Resources{}
	for range p.tasks {
		total = total.Add(p.step.Request)
	}
	if !p.job.team.allows(total) || !c.window.mayPlan(c.now, len(c.plannedRuns)) {
		return
	}
	chosen := c.chooseGang(p, usable)
	if chosen == nil {
		return
	}
	checkpoint := ""
	for i := range p.tasks {
		checkpoint = max(checkpoint, p.tasks[i].checkpoint)
	}
	p.job.begin()
	for i, up := range chosen {
		p.tasks[i].checkpoint = checkpoint
		c.startRun(p, i, attempt, up, c.ticketFor(p, up))
	}
}

// chooseGang returns an upstream for each task of a gang. If the step asks for a single rack, racks with enough
// capacity are preferred.
func (c *Core) chooseGang(p *part, usable []*upstream) []*upstream {
	if p.step.SameRack {
		byRack := map[string][]*upstream{}
		for _, up := range usable {
			byRack[up.rack] = append(byRack[up.rack], up)
		}
		for _, up := range usable {
			if chosen := c.fitGang(p, byRack[up.rack]); chosen != nil {
				return chosen
			}
		}
	}
	return c.fitGang(p, usable)
}

func (c *Core) fitGang(p *part, usable []*upstream) []*upstream {
	reserved := p.step.ReservedResources()
	assigned := map[*upstream]int64{}
	var chosen []*upstream
	for range p.tasks {
		var best *upstream
		for _, up := range usable {
			n := assigned[up]
			if up.isHeld(c.now) || !c.admits(p, up) || (p.step.MaxPerUpstream > 0 && p.perUpstream[up.ID]+int(n) >= p.step.MaxPerUpstream) {
				continue
			}
			next := job.Resources{MilliCPU: reserved.MilliCPU * (n + 1), MemoryMB: reserved.MemoryMB * (n + 1), GPU: reserved.GPU * (n + 1)}
			if !next.Fits(up.freeCapacity()) {
				continue
			}
			if best == nil || up.freeCapacity().MilliCPU-n*reserved.MilliCPU > best.freeCapacity().MilliCPU-assigned[best]*reserved.MilliCPU {
				best = up
			}
		}
		if best == nil {
			return nil
		}
		assigned[best]++
		chosen = append(chosen, best)
	}
	return chosen
}
