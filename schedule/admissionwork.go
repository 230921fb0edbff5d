package schedule

import (
	"maps"
	"slices"

	"citrongauge.example/citrongauge/job"
)

// Admission returns which jobs can still be served. It reads all jobs: call it a few times a second at most.
func (c *Core) Admission() Admission {
	if !c.bundleSet || c.firstDecision == 0 || c.now < c.firstDecision+admissionLearning {
		return Admission{}
	}
	w := acceptedWork{core: c, done: c.workDone(), byPool: map[string]map[int]map[string][]int64{}, byCap: map[string][]int64{}}
	for _, j := range c.jobs.all() {
		w.add(j)
	}
	return w.admission()
}

// workDone returns the core-milliseconds that running tasks are expected to have done, by job.
func (c *Core) workDone() map[*jobState]float64 {
	done := map[*jobState]float64{}
	for _, up := range c.upstreams.all() {
		for _, r := range up.runs.all() {
			if step := r.part.step; !step.LongRunning {
				ran := min(c.now-r.started, c.expectedDuration(r.part.job, step))
				done[r.part.job] += float64(ran.Milliseconds()) * float64(step.Request.MilliCPU) / 1000
			}
		}
	}
	return done
}

// acceptedWork has the core-milliseconds of accepted jobs by the slot in which they are due.
type acceptedWork struct {
	core   *Core
	done   map[*jobState]float64
	byPool map[string]map[int]map[string][]int64 // by pool, priority and team
	byCap  map[string][]int64                    // by team with a cap
}

// add adds a job that can still be served. Those with long-running tasks, of repeated occurrences, and due after all slots don't bind.
func (w *acceptedWork) add(j *jobState) {
	left := j.arrival + tooLateFactor*j.objective - w.core.now
	slot := int(left / admissionSlot)
	if j.phase.Terminal() || j.Repeat > 0 || left <= 0 || slot >= admissionSlots ||
		slices.ContainsFunc(j.Steps, func(step job.Step) bool { return step.LongRunning }) ||
		slices.ContainsFunc(j.parts, func(p *part) bool { return p.tooLate }) {
		return
	}
	coreMS := int64(max(w.core.remainingWork(j)-w.done[j], 0))
	byPriority := w.byPool[j.Queue.Pool]
	if byPriority == nil {
		byPriority = map[int]map[string][]int64{}
		w.byPool[j.Queue.Pool] = byPriority
	}
	if byPriority[j.Queue.Priority] == nil {
		byPriority[j.Queue.Priority] = map[string][]int64{}
	}
	addDue(byPriority[j.Queue.Priority], j.Team, slot, coreMS)
	if j.team.cap.MilliCPU > 0 {
		addDue(w.byCap, j.Team, slot, coreMS)
	}
}

func addDue(due map[string][]int64, team string, slot int, coreMS int64) {
	if due[team] == nil {
		due[team] = make([]int64, admissionSlots)
	}
	due[team][slot] += coreMS
}

func (w *acceptedWork) admission() Admission {
	var a Admission
	for _, pool := range slices.Sorted(maps.Keys(w.byPool)) {
		milliCPU := w.core.pool(pool).drainMilliCPU
		if milliCPU <= 0 {
			continue // not known
		}
		byTeam := map[string][]int64{}
		for _, priority := range slices.Sorted(maps.Keys(w.byPool[pool])) {
			for team, due := range w.byPool[pool][priority] {
				byTeam[team] = sumOf(byTeam[team], due)
			}
			a.Pools = append(a.Pools, w.poolAdmission(PoolAdmission{Pool: pool, Priority: priority, MilliCPU: milliCPU}, byTeam))
		}
	}
	for _, team := range slices.Sorted(maps.Keys(w.byCap)) {
		a.Caps = append(a.Caps, TeamWork{team, w.core.team(team).cap.MilliCPU, cumulated(w.byCap[team])})
	}
	return a
}

func (w *acceptedWork) poolAdmission(p PoolAdmission, byTeam map[string][]int64) PoolAdmission {
	names := slices.Sorted(maps.Keys(byTeam))
	total := make([]int64, admissionSlots)
	for _, name := range names {
		p.Weights += w.core.team(name).weight
		total = sumOf(total, byTeam[name])
	}
	p.Due = cumulated(total)
	for _, name := range names {
		share := float64(p.MilliCPU)
		if p.Weights > 0 {
			share *= w.core.team(name).weight / p.Weights
		}
		p.Teams = append(p.Teams, TeamWork{name, int64(share), cumulated(byTeam[name])})
	}
	return p
}

// sumOf returns the sums of two lists. a may be nil.
func sumOf(a, b []int64) []int64 {
	added := slices.Clone(b)
	for i, value := range a {
		added[i] += value
	}
	return added
}

func cumulated(due []int64) []int64 {
	total := slices.Clone(due)
	for i := 1; i < len(total); i++ {
		total[i] += total[i-1]
	}
	return total
}

// noteDrains records the processors that do the pools' waiting work: those that are there or are planned.
func (c *Core) noteDrains(demands []*poolDemand) {
	for _, d := range demands {
		d.pool.drainMilliCPU = max(d.capacity, d.target) - d.need[tierLongRunning]
	}
}
