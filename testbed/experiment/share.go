package experiment

import (
	"math"
	"slices"
	"time"

	"citrongauge.example/citrongauge/upstream"
)

const (
	shareWarmUp = 10 * time.Second
	shareEnd    = 50 * time.Second
	// shareInterval is the interval at which the use of a pool is sampled.
	shareInterval = 50 * time.Millisecond
	// overloadFactor is the load of an overloaded pool, as a multiple of its slots. With it, the demand of each team is
	// at least 1.3 times its share; a team whose demand equals its share would at times have no waiting requests.
	overloadFactor = 2.0
	taskRunTime    = 600 * time.Millisecond
	burstLength    = 4 * time.Second
	burstsEnd      = 2 * serviceCount * burstLength
	// Lengths of the windows over which the shares of the teams are averaged.
	shortWindow = time.Second
	longWindow  = 10 * time.Second
)

// measureShare measures how far the teams are from their fair shares, how long urgent requests wait, and how much
// capacity stays unused.
func measureShare(d Deployment, seed uint64) []sample {
	var samples []sample
	for _, v := range []struct {
		name string
		mode coordination
	}{
		{Measured, exchangingLoads},
		{Baseline + ": every host for itself", independent},
		{Baseline + ": central queue", centralQueue},
	} {
		samples = append(samples, measureFullPool(d, seed, v.mode, v.name)...)
		samples = append(samples, measureBursts(d, seed, v.mode, v.name)...)
		samples = append(samples, measureUrgentWaits(d, seed, v.mode, v.name)...)
	}
	return samples
}

// shareRecorder samples the use of a pool by its teams and their fair shares.
type shareRecorder struct {
	fleet  *fleet
	pool   *pool
	points []sharePoint
}

// sharePoint is the use of the pool at one point in time. Its maps hold dominant shares of the pool by team.
type sharePoint struct {
	contended     bool
	unusedShare   float64 // unused fraction of the most used resource
	unusedSlots   float64 // unused fraction of the slots
	reservedShare map[string]float64
	actualShare   map[string]float64
	fair          map[string]float64
}

func (r *shareRecorder) sample() {
	demand := r.fleet.demandByTeam(r.pool.name)
	p := sharePoint{
		reservedShare: make(map[string]float64), actualShare: make(map[string]float64),
		fair: fairShares(r.fleet.d, r.pool.capacity, demand),
	}
	p.contended = dominantShare(totalDemand(demand), r.pool.capacity) >= 1
	p.unusedShare = 1 - dominantShare(r.pool.used, r.pool.capacity)
	p.unusedSlots = 1 - float64(r.pool.used.Slots)/float64(r.pool.capacity.Slots)
	for name, team := range r.pool.teams {
		p.reservedShare[name] = dominantShare(team.reserved, r.pool.capacity)
		p.actualShare[name] = dominantShare(team.actual, r.pool.capacity)
	}
	r.points = append(r.points, p)
}

// deviations returns, for each window in which the pool was contended throughout, the largest deviation of a team's
// mean share from its mean fair share: in percentage points of the pool, and in percent of the fair share.
func (r *shareRecorder) deviations(
	length time.Duration, shares func(sharePoint) map[string]float64,
) (absolute, relative []float64) {
	n := int(length / shareInterval)
	for window := range slices.Chunk(r.points, n) {
		if len(window) < n || slices.ContainsFunc(window, func(p sharePoint) bool { return !p.contended }) {
			continue
		}
		largestDeviation, largestRelative := 0.0, 0.0
		for _, team := range r.fleet.d.Teams {
			share, fair := 0.0, 0.0
			for _, p := range window {
				share += shares(p)[team.Name] / float64(n)
				fair += p.fair[team.Name] / float64(n)
			}
			largestDeviation = max(largestDeviation, math.Abs(share-fair))
			if fair > 0 {
				largestRelative = max(largestRelative, math.Abs(share-fair)/fair)
			}
		}
		absolute, relative = append(absolute, 100*largestDeviation), append(relative, 100*largestRelative)
	}
	return absolute, relative
}

// meanUnused returns the mean unused percentages of the most used resource and of the slots while the pool was
// contended.
func (r *shareRecorder) meanUnused() (scarcest, unusedSlots float64) {
	var sharePercents, slotPercents []float64
	for _, p := range r.points {
		if p.contended {
			sharePercents, slotPercents = append(sharePercents, 100*p.unusedShare), append(slotPercents, 100*p.unusedSlots)
		}
	}
	return mean(sharePercents), mean(slotPercents)
}

func reservedShares(p sharePoint) map[string]float64 { return p.reservedShare }
func actualShares(p sharePoint) map[string]float64   { return p.actualShare }

// measureFullPool measures shares while one pool is permanently overloaded and the demand of every team exceeds its
// share. One pool suffices, since pools are independent of each other.
func measureFullPool(d Deployment, seed uint64, mode coordination, variant string) []sample {
	f := newFleet(d, seed, mode, []string{serviceName(0)})
	p := f.pools[serviceName(0)]
	load := overloadFactor * float64(p.capacity.Slots)
	newRequestGenerator(f, p.name, taskRunTime, func(time.Duration) float64 { return load }).start()
	f.runUntil(shareWarmUp)
	r := &shareRecorder{fleet: f, pool: p}
	f.every(0, shareInterval, r.sample)
	f.runUntil(shareEnd)
	short, shortRelative := r.deviations(shortWindow, reservedShares)
	long, longRelative := r.deviations(longWindow, reservedShares)
	longActual, _ := r.deviations(longWindow, actualShares)
	unused, slots := r.meanUnused()
	shortTarget, longTarget := target{atMost: 10}, target{atMost: 3}
	if variant != Measured {
		shortTarget, longTarget = target{}, target{}
	}
	const points, relative = "points of the pool", "% of the share"
	return []sample{
		{"full, farthest team over 10 s, worst window", variant, points, largest(long), longTarget},
		{"full, farthest team over 10 s, median window", variant, points, median(long), target{}},
		{"full, farthest team over 1 s, worst window", variant, points, largest(short), shortTarget},
		{"full, farthest team over 1 s, median window", variant, points, median(short), target{}},
		{"full, farthest team over 10 s, median window", variant, relative, median(longRelative), target{}},
		{"full, farthest team over 1 s, median window", variant, relative, median(shortRelative), target{}},
		{"full, farthest team by real use over 10 s, median window", variant, points, median(longActual), target{}},
		{"full, unused part of the scarcest resource", variant, "%", unused, target{}},
		{"full, unused slots", variant, "%", slots, target{}},
	}
}

// measureBursts measures shares while the services have bursts in turn that exceed the capacity of their pools.
func measureBursts(d Deployment, seed uint64, mode coordination, variant string) []sample {
	var names []string
	for i := range serviceCount {
		names = append(names, serviceName(i))
	}
	f := newFleet(d, seed, mode, names)
	var recorders []*shareRecorder
	for i, name := range names {
		p := f.pools[name]
		newRequestGenerator(f, name, taskRunTime,
			burstLoad(i, meanUtilization*float64(p.capacity.Slots), burstLength)).start()
		r := &shareRecorder{fleet: f, pool: p}
		recorders = append(recorders, r)
		f.every(0, shareInterval, r.sample)
	}
	f.runUntil(burstsEnd)
	var short, unused []float64
	for _, r := range recorders {
		points, _ := r.deviations(shortWindow, reservedShares)
		scarcest, _ := r.meanUnused()
		short, unused = append(short, points...), append(unused, scarcest)
	}
	return []sample{
		{"bursts, farthest team over 1 s, median window", variant, "points of the pool", median(short), target{}},
		{"bursts, farthest team over 1 s, worst window", variant, "points of the pool", largest(short), target{}},
		{"bursts, unused part of the scarcest resource", variant, "%", mean(unused), target{}},
	}
}

const (
	urgentTeam      = "labels"
	urgentRequests  = 5
	urgentInterval  = 8 * time.Second
	longTaskRunTime = time.Minute
	// maxUrgentSeconds is the target for the time that an urgent request waits.
	maxUrgentSeconds = 3.5
)

// measureUrgentWaits measures how long urgent requests wait in a pool that is full of long preemptible tasks of the
// other teams. One team sends single urgent requests to random entry hosts; a request that has not started by the end
// of the run counts as a wait of urgentInterval.
func measureUrgentWaits(d Deployment, seed uint64, mode coordination, variant string) []sample {
	f := newFleet(d, seed, mode, []string{serviceName(0)})
	p := f.pools[serviceName(0)]
	generator := newRequestGenerator(f, p.name, longTaskRunTime,
		func(at time.Duration) float64 { return overloadFactor * float64(p.capacity.Slots) })
	for i, t := range d.Teams {
		if t.Name == urgentTeam {
			f.d.Teams = slices.Delete(slices.Clone(d.Teams), i, i+1)
		}
	}
	generator.submitBacklog(3 * p.capacity.Slots)
	var urgent []*task
	for i := range urgentRequests {
		f.after(shareWarmUp+time.Duration(i)*urgentInterval+f.randomDuration(time.Second), func() {
			size := upstream.Size{Slots: 1, CPUs: 1, MemoryMB: d.MemoryMB / slotsPerHost}
			r := f.request(urgentTeam, p.name, size)
			r.Urgent, r.Preemptible = true, false
			t := &task{request: r, actual: size, remaining: time.Second, startedAt: notReached}
			urgent = append(urgent, t)
			f.submit(f.rng.IntN(len(d.roster())), t)
		})
	}
	f.runUntil(shareWarmUp + urgentRequests*urgentInterval)
	var waits []float64
	for _, t := range urgent {
		waits = append(waits, min(elapsed(t.submittedAt, t.startedAt), urgentInterval).Seconds())
	}
	urgentTarget := target{atMost: maxUrgentSeconds}
	if variant != Measured {
		urgentTarget = target{}
	}
	return []sample{
		{"urgent work until its start, median request", variant, "s", median(waits), target{}},
		{"urgent work until its start, slowest request", variant, "s", largest(waits), urgentTarget},
	}
}

// submitBacklog submits the given number of tasks at once, for each team in turn.
func (g *requestGenerator) submitBacklog(count int) {
	f := g.fleet
	for i := 0; i < count; i++ {
		team := f.d.Teams[i%len(f.d.Teams)]
		f.submit(f.rng.IntN(len(f.d.roster())), g.newTask(team))
	}
}
