package experiment

import (
	"math"
	"slices"
	"time"

	"citrongauge.example/citrongauge/upstream"
)

const (
	shareWarmUp = 10 * time.Second
	shareRun    = 50 * time.Second
	shareSample = 50 * time.Millisecond
	// fullLoad is the load of the full pool, as a multiple of its slots. Each team then asks for at least 1.3 times its
	// share; a team that asks for just its share would now and then have no work waiting.
	fullLoad   = 2.0
	taskRun    = 600 * time.Millisecond
	burstTime  = 4 * time.Second
	burstsRun  = 2 * services * burstTime
	shortRange = time.Second
	longRange  = 10 * time.Second
)

// measureShare measures how close teams are to their shares, how long urgent work waits, and what stays unused.
func measureShare(d Deployment, seed uint64) []sample {
	var samples []sample
	for _, v := range []struct {
		name string
		mode cooperation
	}{{Measured, exchanging}, {Baseline + ": every host for itself", alone}, {Baseline + ": central queue", central}} {
		samples = append(samples, shareWhenFull(d, seed, v.mode, v.name)...)
		samples = append(samples, shareInBursts(d, seed, v.mode, v.name)...)
		samples = append(samples, urgentWaits(d, seed, v.mode, v.name)...)
	}
	return samples
}

// shareRecord samples the use of a pool and the use that would be fair.
type shareRecord struct {
	fleet  *fleet
	pool   *pool
	points []sharePoint
}

type sharePoint struct {
	full   bool
	unused float64 // part of the scarcest resource
	slots  float64 // unused part of the slots
	use    map[string]float64
	real   map[string]float64
	fair   map[string]float64
}

func (r *shareRecord) sample() {
	demand := r.fleet.demand(r.pool.name)
	p := sharePoint{use: make(map[string]float64), real: make(map[string]float64), fair: fairUse(r.fleet.d, r.pool.capacity, demand)}
	p.full = dominantShare(wholeDemand(demand), r.pool.capacity) >= 1
	p.unused = 1 - dominantShare(r.pool.used, r.pool.capacity)
	p.slots = 1 - float64(r.pool.used.Slots)/float64(r.pool.capacity.Slots)
	for name, team := range r.pool.teams {
		p.use[name] = dominantShare(team.held, r.pool.capacity)
		p.real[name] = dominantShare(team.real, r.pool.capacity)
	}
	r.points = append(r.points, p)
}

// distances returns, for each stretch of time in which the pool was full throughout, the distance of the team that is
// farthest from its fair use, in points of the pool and as a part of its fair use.
func (r *shareRecord) distances(length time.Duration, use func(sharePoint) map[string]float64) (points, parts []float64) {
	n := int(length / shareSample)
	for window := range slices.Chunk(r.points, n) {
		if len(window) < n || slices.ContainsFunc(window, func(p sharePoint) bool { return !p.full }) {
			continue
		}
		far, part := 0.0, 0.0
		for _, team := range r.fleet.d.Teams {
			got, fair := 0.0, 0.0
			for _, p := range window {
				got += use(p)[team.Name] / float64(n)
				fair += p.fair[team.Name] / float64(n)
			}
			far = max(far, math.Abs(got-fair))
			if fair > 0 {
				part = max(part, math.Abs(got-fair)/fair)
			}
		}
		points, parts = append(points, 100*far), append(parts, 100*part)
	}
	return points, parts
}

// unused returns the means of the unused parts while the pool was full.
func (r *shareRecord) unused() (scarcest, slots float64) {
	var all, ofSlots []float64
	for _, p := range r.points {
		if p.full {
			all, ofSlots = append(all, 100*p.unused), append(ofSlots, 100*p.slots)
		}
	}
	return mean(all), mean(ofSlots)
}

func heldUse(p sharePoint) map[string]float64 { return p.use }
func realUse(p sharePoint) map[string]float64 { return p.real }

// shareWhenFull loads one pool beyond its capacity all the time; all teams ask for more than their shares. Pools do not
// depend on one another.
func shareWhenFull(d Deployment, seed uint64, mode cooperation, variant string) []sample {
	f := newFleet(d, seed, mode, []string{serviceName(0)})
	p := f.pools[serviceName(0)]
	load := fullLoad * float64(p.capacity.Slots)
	newArrivals(f, p.name, taskRun, func(time.Duration) float64 { return load }).start()
	f.runUntil(shareWarmUp)
	r := &shareRecord{fleet: f, pool: p}
	f.every(0, shareSample, r.sample)
	f.runUntil(shareRun)
	short, shortParts := r.distances(shortRange, heldUse)
	long, longParts := r.distances(longRange, heldUse)
	longReal, _ := r.distances(longRange, realUse)
	unused, slots := r.unused()
	shortTarget, longTarget := target{atMost: 10}, target{atMost: 3}
	if variant != Measured {
		shortTarget, longTarget = target{}, target{}
	}
	const points, part = "points of the pool", "% of the share"
	return []sample{
		{"full, farthest team over 10 s, worst window", variant, points, largest(long), longTarget},
		{"full, farthest team over 10 s, median window", variant, points, median(long), target{}},
		{"full, farthest team over 1 s, worst window", variant, points, largest(short), shortTarget},
		{"full, farthest team over 1 s, median window", variant, points, median(short), target{}},
		{"full, farthest team over 10 s, median window", variant, part, median(longParts), target{}},
		{"full, farthest team over 1 s, median window", variant, part, median(shortParts), target{}},
		{"full, farthest team by real use over 10 s, median window", variant, points, median(longReal), target{}},
		{"full, unused part of the scarcest resource", variant, "%", unused, target{}},
		{"full, unused slots", variant, "%", slots, target{}},
	}
}

// shareInBursts lets all queues ask in turn for more than their pools hold.
func shareInBursts(d Deployment, seed uint64, mode cooperation, variant string) []sample {
	var names []string
	for i := range services {
		names = append(names, serviceName(i))
	}
	f := newFleet(d, seed, mode, names)
	var records []*shareRecord
	for i, name := range names {
		p := f.pools[name]
		newArrivals(f, name, taskRun, bursts(i, meanPart*float64(p.capacity.Slots), burstTime)).start()
		r := &shareRecord{fleet: f, pool: p}
		records = append(records, r)
		f.every(0, shareSample, r.sample)
	}
	f.runUntil(burstsRun)
	var short, unused []float64
	for _, r := range records {
		points, _ := r.distances(shortRange, heldUse)
		scarcest, _ := r.unused()
		short, unused = append(short, points...), append(unused, scarcest)
	}
	return []sample{
		{"bursts, farthest team over 1 s, median window", variant, "points of the pool", median(short), target{}},
		{"bursts, farthest team over 1 s, worst window", variant, "points of the pool", largest(short), target{}},
		{"bursts, unused part of the scarcest resource", variant, "%", mean(unused), target{}},
	}
}

const (
	urgentTeam     = "labels"
	urgentRequests = 5
	urgentInterval = 8 * time.Second
	longTaskRun    = time.Minute
	urgentLimit    = 3.5
)

// urgentWaits fills a pool with long preemptible work of all teams but one, which then sends single urgent requests to
// random entry hosts.
func urgentWaits(d Deployment, seed uint64, mode cooperation, variant string) []sample {
	f := newFleet(d, seed, mode, []string{serviceName(0)})
	p := f.pools[serviceName(0)]
	a := newArrivals(f, p.name, longTaskRun, func(at time.Duration) float64 { return fullLoad * float64(p.capacity.Slots) })
	for i, t := range d.Teams {
		if t.Name == urgentTeam {
			f.d.Teams = slices.Delete(slices.Clone(d.Teams), i, i+1)
		}
	}
	a.backlog(3 * p.capacity.Slots)
	var urgent []*task
	for i := range urgentRequests {
		f.after(shareWarmUp+time.Duration(i)*urgentInterval+f.random(time.Second), func() {
			size := upstream.Size{Slots: 1, CPUs: 1, MemoryMB: d.MemoryMB / slotsPerHost}
			r := f.request(urgentTeam, p.name, size)
			r.Urgent, r.Preemptible = true, false
			t := &task{request: r, real: size, run: time.Second, started: never}
			urgent = append(urgent, t)
			f.submit(f.rng.IntN(len(d.members())), t)
		})
	}
	f.runUntil(shareWarmUp + urgentRequests*urgentInterval)
	var waits []float64
	for _, t := range urgent {
		waits = append(waits, min(since(t.submitted, t.started), urgentInterval).Seconds())
	}
	limit := target{atMost: urgentLimit}
	if variant != Measured {
		limit = target{}
	}
	return []sample{
		{"urgent work until its start, median request", variant, "s", median(waits), target{}},
		{"urgent work until its start, slowest request", variant, "s", largest(waits), limit},
	}
}

// backlog submits tasks with the given slots in all at once.
func (a *arrivals) backlog(slots int) {
	f := a.fleet
	for i := 0; i < slots; i++ {
		team := f.d.Teams[i%len(f.d.Teams)]
		f.submit(f.rng.IntN(len(f.d.members())), a.newTask(team))
	}
}
