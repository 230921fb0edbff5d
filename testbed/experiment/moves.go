package experiment

import (
	"math"
	"slices"
	"time"

	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/maintenance"
)

const (
	shortestBurst = 2 * time.Second
	longestBurst  = 6 * time.Second
	// surgeEvery bursts, one lasts from shortestSurge to longestSurge.
	surgeEvery    = 60
	shortestSurge = time.Minute
	longestSurge  = 3 * time.Minute
	// patience is longer than the time that a queue needs after a short burst to work off what waits.
	patience = 12 * time.Second
	// moveLimit is how many times the moves of the bound are allowed.
	moveLimit = 1.1
)

// burstList returns bursts of the queues in turn for the given time.
func burstList(seed uint64, surges bool, length time.Duration) []burst {
	rng := newRand(seed)
	var list []burst
	for at, i := time.Duration(0), 0; at < length; i++ {
		lasts := shortestBurst + time.Duration(rng.Int64N(int64(longestBurst-shortestBurst)))
		if surges && i%surgeEvery == surgeEvery-1 {
			lasts = shortestSurge + time.Duration(rng.Int64N(int64(longestSurge-shortestSurge)))
		}
		list = append(list, burst{service: i % services, start: at, end: at + lasts})
		at += lasts
	}
	return list
}

func planPolicy(w *moveWorld) []maintenance.Change {
	return maintenance.Plan(w.time(), w.bundle, &w.record, w.obs)
}

// patientPolicy is the planner with a longer time after which a burst counts as lasting.
func patientPolicy(w *moveWorld) []maintenance.Change {
	obs := w.obs
	obs.MoveCost = patience
	return maintenance.Plan(w.time(), w.bundle, &w.record, obs)
}

func noMoves(*moveWorld) []maintenance.Change { return nil }

// eagerPolicy moves idle spare hosts as soon as a pool is full, and returns them as soon as it is not.
func eagerPolicy(w *moveWorld) []maintenance.Change {
	missing := make(map[string]int)
	members := w.members()
	for i := range services {
		name := serviceName(i)
		missing[name] = w.demand(name, members[name]) - hostsPerService*slotsPerHost
	}
	for _, a := range w.record.Assignments {
		if w.hosts[a.Host].isSpare && a.MoveTo != "" {
			missing[a.MoveTo] -= slotsPerHost
		} else if w.hosts[a.Host].isSpare {
			missing[a.Pool] -= slotsPerHost
		}
	}
	var changes []maintenance.Change
	for _, a := range w.record.Assignments {
		h := w.hosts[a.Host]
		if !h.isSpare || a.State != control.InService || len(h.ends) > 0 {
			continue
		}
		if a.Pool != sparePool && missing[a.Pool] < -slotsPerHost {
			changes = append(changes, w.stop(a, sparePool))
			continue
		}
		for i := range services {
			if name := serviceName(i); a.Pool == sparePool && missing[name] > 0 {
				missing[name] -= slotsPerHost
				changes = append(changes, w.stop(a, name))
				break
			}
		}
	}
	return changes
}

func (w *moveWorld) stop(a control.Assignment, moveTo string) maintenance.Change {
	return maintenance.Change{
		Kind: maintenance.Stop, Host: a.Host, Epoch: a.Epoch, PoolSeq: w.record.PoolSeq,
		BundleVersion: w.record.BundleVersion, MoveTo: moveTo, AtUnixMS: w.time().UnixMilli(),
	}
}

func runMoves(d Deployment, seed uint64, list []burst, policy movePolicy) *moveWorld {
	w := newMoveWorld(d, seed, slices.Clone(list), policy)
	w.runUntil(list[len(list)-1].end)
	return w
}

// measureMoves counts moves of spare hosts.
func measureMoves(d Deployment, seed uint64) []sample {
	samples := movesUnder(d, seed, "bursts of 2 to 6 s", false)
	return append(samples, movesUnder(d, seed, "bursts and surges of 1 to 3 min", true)...)
}

func movesUnder(d Deployment, seed uint64, load string, surges bool) []sample {
	list := burstList(seed, surges, movesRun)
	own := runMoves(d, seed, list, planPolicy)
	eager := runMoves(d, seed, list, eagerPolicy)
	patient := runMoves(d, seed, list, patientPolicy)
	still := runMoves(d, seed, list, noMoves)
	possible := newMoveBound(still.bursts)
	all := 0.0
	for _, b := range still.bursts {
		all += b.work() * spareHosts
	}
	perHour := func(moves float64) float64 { return moves / movesRun.Hours() }
	// needed returns the fewest moves for the same work, and how many times as many were made.
	needed := func(w *moveWorld) (least, ratio float64) {
		least, ratio = float64(possible.movesFor(w.tally.overflow)), math.NaN()
		if least > 0 {
			ratio = float64(w.counters.Moves) / least
		}
		return least, ratio
	}
	least, ratio := needed(own)
	_, patientRatio := needed(patient)
	const baseline, trial = Baseline + ": move at once, return at once", Trial + ": MoveCost 12 s"
	moves, served := load+", moves", load+", crowded work that lent hosts did"
	return []sample{
		{moves, Measured, "per hour", perHour(float64(own.counters.Moves)), target{}},
		{moves, baseline, "per hour", perHour(float64(eager.counters.Moves)), target{}},
		{moves, trial, "per hour", perHour(float64(patient.counters.Moves)), target{}},
		{moves, Bound + ": all-knowing, the same work", "per hour", perHour(least), target{}},
		{moves + " against the all-knowing bound", Measured, "times", ratio, target{atMost: moveLimit}},
		{moves + " against the all-knowing bound", trial, "times", patientRatio, target{}},
		{served, Measured, "% of what they could", 100 * own.tally.overflow / all, target{}},
		{served, baseline, "% of what they could", 100 * eager.tally.overflow / all, target{}},
		{served, trial, "% of what they could", 100 * patient.tally.overflow / all, target{}},
	}
}

// work is the most that one lent host can do in a burst, in slot-seconds.
func (b burst) work() float64 { return slotsPerHost * b.crowded.Seconds() }

// moveBound says how much crowded work the spare hosts can do at most with a number of moves, if all bursts are known
// beforehand and a move takes no time.
type moveBound struct{ most []float64 }

func newMoveBound(list []burst) moveBound {
	one := oneHost(list)
	most := one
	for range spareHosts - 1 {
		most = combine(most, one)
	}
	return moveBound{most}
}

// oneHost returns the most work that one host can do, by its number of moves. For each number of moves and pool in which
// the host is, the best work so far is carried on from burst to burst.
func oneHost(list []burst) []float64 {
	best := make([][services]float64, len(list)+1)
	for m := range best {
		for p := range best[m] {
			best[m][p] = math.Inf(-1)
		}
	}
	most := make([]float64, len(list)+1)
	for _, b := range list {
		for m := len(list); m > 0; m-- {
			from := most[m-1]
			best[m][b.service] = max(best[m][b.service], from) + b.work()
		}
		for m := range most {
			most[m] = max(most[m], best[m][b.service])
		}
	}
	for m := 1; m < len(most); m++ {
		most[m] = max(most[m], most[m-1])
	}
	return most
}

// combine returns the most work of two groups of hosts by the sum of their moves.
func combine(a, b []float64) []float64 {
	sum := make([]float64, len(a)+len(b)-1)
	for i := range a {
		for j := range b {
			sum[i+j] = max(sum[i+j], a[i]+b[j])
		}
	}
	return sum
}

// movesFor returns the fewest moves with which the given work can be done.
func (b moveBound) movesFor(work float64) int {
	for moves, most := range b.most {
		if most >= work {
			return moves
		}
	}
	return len(b.most)
}
