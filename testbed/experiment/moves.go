package experiment

import (
	"math"
	"slices"
	"time"

	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/maintenance"
)

const (
	minBurst = 2 * time.Second
	maxBurst = 6 * time.Second
	// Every surgePeriod-th burst is a surge, whose length is between minSurge and maxSurge.
	surgePeriod = 60
	minSurge    = time.Minute
	maxSurge    = 3 * time.Minute
	// trialMoveDuration is longer than the time that a queue needs to drain after a burst of up to maxBurst. It equals the
	// present default of package maintenance, so that the trial gives the same figures as plannerPolicy.
	trialMoveDuration = 12 * time.Second
	// maxMoveRatio is the target for the ratio of the moves made to those of the bound.
	maxMoveRatio = 1.1
)

// generateBursts returns bursts of random lengths that follow each other without gaps for at least the given time, one
// service after the other.
func generateBursts(seed uint64, surges bool, total time.Duration) []burst {
	rng := newRand(seed)
	var bursts []burst
	for at, i := time.Duration(0), 0; at < total; i++ {
		length := minBurst + time.Duration(rng.Int64N(int64(maxBurst-minBurst)))
		if surges && i%surgePeriod == surgePeriod-1 {
			length = minSurge + time.Duration(rng.Int64N(int64(maxSurge-minSurge)))
		}
		bursts = append(bursts, burst{service: i % serviceCount, start: at, end: at + length})
		at += length
	}
	return bursts
}

// plannerPolicy is the planner of package maintenance with its default MoveDuration.
func plannerPolicy(f *moveFleet) []maintenance.Change {
	return maintenance.Plan(f.time(), f.bundle, &f.record, f.obs)
}

// trialPolicy is the planner with a MoveDuration of trialMoveDuration, the time after which it regards a burst as
// sustained.
func trialPolicy(f *moveFleet) []maintenance.Change {
	obs := f.obs
	obs.MoveDuration = trialMoveDuration
	return maintenance.Plan(f.time(), f.bundle, &f.record, obs)
}

func noMovePolicy(*moveFleet) []maintenance.Change { return nil }

// eagerPolicy moves idle spare hosts to a pool as soon as its demand exceeds its capacity, and returns each idle lent
// host as soon as the pool can do without it.
func eagerPolicy(f *moveFleet) []maintenance.Change {
	missingSlots := make(map[string]int)
	activeHosts := f.activeHosts()
	for i := range serviceCount {
		name := serviceName(i)
		missingSlots[name] = f.demand(name, activeHosts[name]) - hostsPerService*slotsPerHost
	}
	for _, a := range f.record.Assignments {
		if f.hosts[a.Host].isSpare && a.MoveTo != "" {
			missingSlots[a.MoveTo] -= slotsPerHost
		} else if f.hosts[a.Host].isSpare {
			missingSlots[a.Pool] -= slotsPerHost
		}
	}
	var changes []maintenance.Change
	for _, a := range f.record.Assignments {
		h := f.hosts[a.Host]
		if !h.isSpare || a.State != control.InService || len(h.taskEnds) > 0 {
			continue
		}
		if a.Pool != sparePool && missingSlots[a.Pool] < -slotsPerHost {
			changes = append(changes, f.beginDrain(a, sparePool))
			continue
		}
		for i := range serviceCount {
			if name := serviceName(i); a.Pool == sparePool && missingSlots[name] > 0 {
				missingSlots[name] -= slotsPerHost
				changes = append(changes, f.beginDrain(a, name))
				break
			}
		}
	}
	return changes
}

// beginDrain returns the change that takes a host out of service in order to move it to another pool.
func (f *moveFleet) beginDrain(a control.Assignment, moveTo string) maintenance.Change {
	return maintenance.Change{
		Kind: maintenance.BeginDrain, Host: a.Host, Epoch: a.Epoch, PoolSeq: f.record.PoolSeq,
		BundleVersion: f.record.BundleVersion, MoveTo: moveTo, AtUnixMS: f.time().UnixMilli(),
	}
}

func runMoves(d Deployment, seed uint64, bursts []burst, policy movePolicy) *moveFleet {
	f := newMoveFleet(d, seed, slices.Clone(bursts), policy)
	f.runUntil(bursts[len(bursts)-1].end)
	return f
}

// measureMoves counts the moves of spare hosts, and measures the work that they do while they are lent.
func measureMoves(d Deployment, seed uint64) []sample {
	samples := measureMovesUnder(d, seed, "bursts of 2 to 6 s", false)
	return append(samples, measureMovesUnder(d, seed, "bursts and surges of 1 to 3 min", true)...)
}

func measureMovesUnder(d Deployment, seed uint64, load string, surges bool) []sample {
	bursts := generateBursts(seed, surges, moveMeasureTime)
	measured := runMoves(d, seed, bursts, plannerPolicy)
	eager := runMoves(d, seed, bursts, eagerPolicy)
	trialRun := runMoves(d, seed, bursts, trialPolicy)
	noMoves := runMoves(d, seed, bursts, noMovePolicy)
	bound := newMoveBound(noMoves.bursts)
	possibleWork := 0.0
	for _, b := range noMoves.bursts {
		possibleWork += b.maxLentWork() * spareHostCount
	}
	perHour := func(moves float64) float64 { return moves / moveMeasureTime.Hours() }
	// compareWithBound returns the fewest moves for the same work, and the ratio of the moves made to them.
	compareWithBound := func(f *moveFleet) (fewest, ratio float64) {
		fewest, ratio = float64(bound.minMoves(f.totals.lentWork)), math.NaN()
		if fewest > 0 {
			ratio = float64(f.counters.Moves) / fewest
		}
		return fewest, ratio
	}
	fewest, ratio := compareWithBound(measured)
	_, trialRatio := compareWithBound(trialRun)
	// MoveCost is the name of maintenance.Observations.MoveDuration in reports.
	const baseline, trial = Baseline + ": move at once, return at once", Trial + ": MoveCost 12 s"
	moves, served := load+", moves", load+", crowded work that lent hosts did"
	return []sample{
		{moves, Measured, "per hour", perHour(float64(measured.counters.Moves)), target{}},
		{moves, baseline, "per hour", perHour(float64(eager.counters.Moves)), target{}},
		{moves, trial, "per hour", perHour(float64(trialRun.counters.Moves)), target{}},
		{moves, Bound + ": all-knowing, the same work", "per hour", perHour(fewest), target{}},
		{moves + " against the all-knowing bound", Measured, "times", ratio, target{atMost: maxMoveRatio}},
		{moves + " against the all-knowing bound", trial, "times", trialRatio, target{}},
		{served, Measured, "% of what they could", 100 * measured.totals.lentWork / possibleWork, target{}},
		{served, baseline, "% of what they could", 100 * eager.totals.lentWork / possibleWork, target{}},
		{served, trial, "% of what they could", 100 * trialRun.totals.lentWork / possibleWork, target{}},
	}
}

// maxLentWork returns the most work that one lent host can do during a burst, in slot-seconds.
func (b burst) maxLentWork() float64 { return slotsPerHost * b.overloaded.Seconds() }

// moveBound is an upper bound on the work that the spare hosts can do for overloaded pools. It assumes that all bursts
// are known in advance and that moves take no time. maxWork is indexed by the number of moves.
type moveBound struct{ maxWork []float64 }

func newMoveBound(bursts []burst) moveBound {
	oneHost := maxWorkOfOneHost(bursts)
	allHosts := oneHost
	for range spareHostCount - 1 {
		allHosts = combineHosts(allHosts, oneHost)
	}
	return moveBound{allHosts}
}

// maxWorkOfOneHost returns the most work that one host can do, by its number of moves. It uses dynamic programming over
// the bursts: for each number of moves and each pool that the host may be in, it keeps the most work done so far.
func maxWorkOfOneHost(bursts []burst) []float64 {
	bestByPool := make([][serviceCount]float64, len(bursts)+1)
	for m := range bestByPool {
		for p := range bestByPool[m] {
			bestByPool[m][p] = math.Inf(-1)
		}
	}
	best := make([]float64, len(bursts)+1)
	for _, b := range bursts {
		for m := len(bursts); m > 0; m-- {
			from := best[m-1]
			bestByPool[m][b.service] = max(bestByPool[m][b.service], from) + b.maxLentWork()
		}
		for m := range best {
			best[m] = max(best[m], bestByPool[m][b.service])
		}
	}
	for m := 1; m < len(best); m++ {
		best[m] = max(best[m], best[m-1])
	}
	return best
}

// combineHosts returns the most work of two groups of hosts together, by their total number of moves.
func combineHosts(a, b []float64) []float64 {
	sum := make([]float64, len(a)+len(b)-1)
	for i := range a {
		for j := range b {
			sum[i+j] = max(sum[i+j], a[i]+b[j])
		}
	}
	return sum
}

// minMoves returns the fewest moves with which the given work can be done.
func (b moveBound) minMoves(work float64) int {
	for moves, maxWork := range b.maxWork {
		if maxWork >= work {
			return moves
		}
	}
	return len(b.maxWork)
}
