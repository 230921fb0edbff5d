package schedule

import (
	"slices"
	"time"

	"citrongauge.example/citrongauge/job"
)

// A job is refused on arrival if the processors that are there or coming can't do its work before its limit, three times its objective,
// besides the accepted work that is due by then. Accepted work that is due later can wait for it, and what can't be in time any more does
// not count. Work of a team within its share precedes that of others, so the pool as a whole binds only teams beyond theirs.
//
// Load patterns: a lasting overload, a flood of one team.

const (
	// admissionSlot and admissionSlots divide the time from now: accepted work is counted by when it is due.
	admissionSlot  = 500 * time.Millisecond
	admissionSlots = 40
	// admissionSlack is the fraction by which the work may exceed what the processors can do: estimates differ from what work takes, and
	// a small job is served in place of a large one that was accepted earlier, so that less slack would refuse jobs that can be served.
	admissionSlack = 0.8
	// admissionLearning is how long after its first decision an owner refuses nothing: upstreams are still reached and machines read.
	admissionLearning = 3 * time.Second
)

// Admission tells which jobs can still be served that arrive now. The hosts do not apply it yet.
type Admission struct {
	Pools []PoolAdmission
	Caps  []TeamWork // of teams with a cap, over all pools; MilliCPU is the cap
}

// PoolAdmission is the accepted work of a pool that binds new work of a priority: that of the same priority and of those before.
type PoolAdmission struct {
	Pool     string
	Priority int
	MilliCPU int64      // processors that are there or coming, without those of long-running tasks
	Due      []int64    // core-milliseconds that are due within the first, the first two, ... slots
	Teams    []TeamWork // those with work here; MilliCPU is the team's share
	Weights  float64    // sum of the weights of these teams
}

// TeamWork is the accepted work of a team, and the processors that it has.
type TeamWork struct {
	Team     string
	MilliCPU int64
	Due      []int64 // as in PoolAdmission
}

// Arrival is a job that a client submits.
type Arrival struct {
	Team   string
	Weight float64 // of the team
	Queue  job.Queue
	Steps  []job.Step
}

// work returns the core-milliseconds of an arrival and the time from now by which it must have ended to be of use.
func (a Arrival) work() (coreMS int64, limit time.Duration) {
	var path time.Duration
	ends := make([]time.Duration, len(a.Steps))
	for i, step := range a.Steps {
		estimate := step.Estimate
		if estimate <= 0 {
			estimate = defaultEstimate
		}
		coreMS += int64(step.Count) * step.Request.MilliCPU * estimate.Milliseconds() / 1000
		for _, earlier := range step.After {
			ends[i] = max(ends[i], ends[earlier])
		}
		ends[i] += estimate
		path = max(path, ends[i])
	}
	objective := time.Duration(max(a.Queue.LatencyFactor, 1)*float64(path)) + a.Queue.TargetLatency
	return coreMS, tooLateFactor * objective
}

// Admit reports whether a job can be served at all that arrives now. If not, it returns after how long a new one like it would be
// admitted if nothing else arrived. Jobs with long-running tasks are always admitted.
func (a Admission) Admit(arrival Arrival) (ok bool, retryAfter time.Duration) {
	if slices.ContainsFunc(arrival.Steps, func(step job.Step) bool { return step.LongRunning }) {
		return true, 0
	}
	coreMS, limit := arrival.work()
	for _, t := range a.Caps {
		if t.Team == arrival.Team {
			retryAfter = max(retryAfter, waitUntilFits(t.MilliCPU, t.Due, coreMS, limit))
		}
	}
	for _, p := range a.Pools {
		if p.Pool == arrival.Queue.Pool && p.Priority == arrival.Queue.Priority {
			ofTeam := p.ofTeam(arrival)
			wait := min(waitUntilFits(p.MilliCPU, p.Due, coreMS, limit), waitUntilFits(ofTeam.MilliCPU, ofTeam.Due, coreMS, limit))
			retryAfter = max(retryAfter, wait)
		}
	}
	return retryAfter == 0, retryAfter
}

// ofTeam returns the work of the arrival's team in the pool, and its share of the processors.
func (p PoolAdmission) ofTeam(arrival Arrival) TeamWork {
	for _, t := range p.Teams {
		if t.Team == arrival.Team {
			return t
		}
	}
	share := float64(p.MilliCPU)
	if weights := p.Weights + arrival.Weight; weights > 0 {
		share *= arrival.Weight / weights
	}
	return TeamWork{Team: arrival.Team, MilliCPU: int64(share), Due: make([]int64, admissionSlots)}
}

// waitUntilFits returns after how long work that is due by the limit from then on fits in; 0: now.
func waitUntilFits(milliCPU int64, due []int64, coreMS int64, limit time.Duration) time.Duration {
	for later := range admissionSlots {
		if fits(milliCPU, due, coreMS, max(later+int(limit/admissionSlot)-1, 0)) {
			return time.Duration(later) * admissionSlot
		}
	}
	return admissionSlots * admissionSlot
}

// fits reports whether the processors can do the work besides what is due by the end of the given slot and of each later one.
func fits(milliCPU int64, due []int64, coreMS int64, slot int) bool {
	perSlot := (1 + admissionSlack) * float64(milliCPU) / 1000 * float64(admissionSlot.Milliseconds())
	for i := slot; i < len(due); i++ {
		if float64(due[i]+coreMS) > perSlot*float64(i+1) {
			return false
		}
	}
	return true
}
