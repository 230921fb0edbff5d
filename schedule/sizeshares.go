package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Least work first serves most jobs, but never the large ones while a backlog lasts. So a share is kept for them: each size class of each
// queue is served at least minClassShare as often as all jobs of the same team and priority in the pool. How often teams are served
// follows from their weights and caps.
//
// Load pattern: large jobs beside small ones, in one queue or in two, during a lasting overload.

const (
	// minClassShare is how often a size class has to be served, as a fraction of how often all jobs are. Callers need a half; the rest
	// allows for large jobs that are started in time and end late.
	minClassShare = 0.7
	// servedMemory is the time after which what has arrived and was served counts 1/e, about a round of turns of demand. With less, a
	// class of which a job arrives every ten seconds is never owed any.
	servedMemory = 20 * time.Second
	// sizeSamples is the number of jobs of a queue whose sizes set its classes; they are updated after each sizeUpdate jobs.
	sizeSamples = 128
	sizeUpdate  = 16
)

// The size classes of a queue: the largest tenth of its jobs, the fifth below it, and all others.
const sizeClasses = 3

var classQuantiles = [sizeClasses - 1]float64{0.7, 0.9}

// servedCount has how many jobs have arrived and how many of them were begun, weighted by their age.
type servedCount struct {
	arrived, begun float64
	waiting        int // jobs that had not begun as of the last sort
}

// shareAt returns the share of the jobs that has begun once the given number of waiting ones have.
func (s *servedCount) shareAt(number int) float64 {
	return (s.begun + float64(number)) / max(s.arrived, 1)
}

// sizeShares has the jobs of one priority in a pool, and those of each team and size class.
type sizeShares struct {
	all     servedCount
	byTeam  map[string]*servedCount
	byQueue map[string]*queueSizes
	now     time.Duration // time to which the counts were aged
}

// queueSizes has the recent jobs of a queue by size.
type queueSizes struct {
	byTeam  map[string]*[sizeClasses]servedCount
	bounds  [sizeClasses - 1]float64 // largest work of all classes but the last one
	samples []float64                // work of the newest jobs, in any order
	arrived int
}

// sizeClass is the class of a job.
type sizeClass struct {
	all, team, count *servedCount // of the priority in the pool, those of the job's team, those of the class
}

func newSizeShares() *sizeShares {
	return &sizeShares{byTeam: map[string]*servedCount{}, byQueue: map[string]*queueSizes{}}
}

// age reduces the weight of earlier jobs.
func (s *sizeShares) age(now time.Duration) {
	factor := math.Exp(-float64(now-s.now) / float64(servedMemory))
	s.now = now
	s.all.age(factor)
	for _, team := range s.byTeam {
		team.age(factor)
	}
	for _, queue := range s.byQueue {
		for _, classes := range queue.byTeam {
			for i := range classes {
				classes[i].age(factor)
			}
		}
	}
}

func (s *servedCount) age(factor float64) {
	s.arrived, s.begun, s.waiting = factor*s.arrived, factor*s.begun, 0
}

// arrive counts a job of a queue that needs the given work, and returns its class.
func (s *sizeShares) arrive(team, queue string, coreMS float64) *sizeClass {
	q := s.byQueue[queue]
	if q == nil {
		q = &queueSizes{byTeam: map[string]*[sizeClasses]servedCount{}}
		s.byQueue[queue] = q
	}
	if s.byTeam[team] == nil {
		s.byTeam[team] = &servedCount{}
	}
	if q.byTeam[team] == nil {
		q.byTeam[team] = &[sizeClasses]servedCount{}
	}
	q.sample(coreMS)
	c := &sizeClass{&s.all, s.byTeam[team], &q.byTeam[team][q.class(coreMS)]}
	for _, count := range c.counts() {
		count.arrived++
	}
	return c
}

func (c *sizeClass) counts() [3]*servedCount { return [...]*servedCount{c.all, c.team, c.count} }

func (q *queueSizes) sample(coreMS float64) {
	if len(q.samples) < sizeSamples {
		q.samples = append(q.samples, coreMS)
	} else {
		q.samples[q.arrived%sizeSamples] = coreMS
	}
	q.arrived++
	if q.arrived%sizeUpdate != 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(q.samples))
	for i, quantile := range classQuantiles {
		q.bounds[i] = sorted[int(quantile*float64(len(sorted)-1))]
	}
}

// class returns the number of the class of a job that needs the given work. Until the sizes of the queue are known, and if all jobs are
// of one size, there is one class.
func (q *queueSizes) class(coreMS float64) int {
	if q.arrived < sizeUpdate {
		return 0
	}
	class := 0
	for class < len(q.bounds) && coreMS > q.bounds[class] {
		class++
	}
	return class
}

// begin counts a job of the class that has begun.
func (c *sizeClass) begin() {
	for _, count := range c.counts() {
		count.begun++
	}
}

// miss counts a job of the class that was begun and can no longer be on time.
func (c *sizeClass) miss() {
	for _, count := range c.counts() {
		count.begun = max(count.begun-1, 0)
	}
}

// nextVirtualStart returns the virtual start of the next waiting job by worth. The virtual time, as in weighted fair queueing, is the share
// of all jobs that have begun. Call it for the waiting jobs in the order of their worth.
func (c *sizeClass) nextVirtualStart() float64 { return c.all.shareAt(c.all.waiting + 1) }

// owedVirtualStart returns the virtual start of the next waiting job of the class, and whether it is earlier than the one by worth, as its
// class would be served less than minClassShare as often as its team otherwise.
func (c *sizeClass) owedVirtualStart(byWorth float64) (start float64, owed bool) {
	for _, count := range c.counts() {
		count.waiting++
	}
	ofTeam, ofClass := c.team.shareAt(c.team.waiting), c.count.shareAt(c.count.waiting)/minClassShare
	if ofClass >= ofTeam {
		return byWorth, false
	}
	return byWorth * ofClass / ofTeam, true
}

// startByWorth is the virtual start of a waiting job that follows from its worth alone.
type startByWorth struct {
	class        uint64
	worth        float64
	virtualStart float64
}

// virtualStartAmong returns the virtual start by worth of a job that arrives between two sorts, from those of the jobs that were sorted.
func (c *sizeClass) virtualStartAmong(sorted []startByWorth, class uint64, worth float64) float64 {
	i, _ := slices.BinarySearchFunc(sorted, startByWorth{class: class, worth: worth}, func(a, b startByWorth) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(b.worth, a.worth))
	})
	if i < len(sorted) && sorted[i].class == class {
		return sorted[i].virtualStart
	}
	return c.nextVirtualStart()
}
