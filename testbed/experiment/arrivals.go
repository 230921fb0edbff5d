package experiment

import (
	"math"
	"time"

	"citrongauge.example/citrongauge/upstream"
)

const (
	// burstFactor and calmFactor are a queue's load during and between its bursts, as multiples of its mean.
	burstFactor = 5.0
	calmFactor  = 0.05
	// meanPart is the mean load of a queue as a part of its pool's slots, so that a burst asks for 1.5 times the pool.
	meanPart = 0.3
	// runSpread and sizeSpread are the standard deviations of the logarithms of run times and of declared sizes
	// relative to real ones: one in three is off by more than the factors 2.2 and 1.8.
	runSpread  = 0.8
	sizeSpread = 0.6
	// largeTasks is the part of tasks that take two slots.
	largeTasks = 0.1
	// skew is the difference between the parts of a team's requests that the entry hosts get.
	skew = 0.5
)

// arrivals is a source of requests for one queue.
type arrivals struct {
	fleet *fleet
	pool  string
	// load returns the load in slots, all teams together, at a time.
	load    func(at time.Duration) float64
	meanRun time.Duration
	// plain makes all tasks take one slot and one processor, as declared.
	plain bool
	// slices has, for each team, the parts of its requests that the entry hosts get.
	slices [][]float64
}

func newArrivals(f *fleet, poolName string, meanRun time.Duration, load func(time.Duration) float64) *arrivals {
	a := &arrivals{fleet: f, pool: poolName, load: load, meanRun: meanRun}
	for range f.d.Teams {
		parts := make([]float64, len(f.d.members()))
		for i := range parts {
			parts[i] = 1 + skew*(2*f.rng.Float64()-1)
		}
		a.slices = append(a.slices, parts)
	}
	return a
}

// arrivalStep is the time between two draws of the number of new requests.
const arrivalStep = 10 * time.Millisecond

func (a *arrivals) start() {
	a.fleet.every(a.fleet.random(arrivalStep), arrivalStep, a.step)
}

// step submits the requests of one step. Their number is Poisson distributed.
func (a *arrivals) step() {
	f := a.fleet
	const meanSlots = 1 + largeTasks
	rate := a.load(f.now) / meanSlots / a.meanRun.Seconds()
	for range poisson(f.rng.Float64, rate*arrivalStep.Seconds()) {
		team := pick(f.rng.Float64, len(f.d.Teams), func(i int) float64 { return float64(f.d.Teams[i].Demand) })
		host := pick(f.rng.Float64, len(a.slices[team]), func(i int) float64 { return a.slices[team][i] })
		f.submit(host, a.newTask(f.d.Teams[team]))
	}
}

func (a *arrivals) newTask(team Team) *task {
	f := a.fleet
	if a.plain {
		size := upstream.Size{Slots: 1, CPUs: 1}
		return &task{request: f.request(team.Name, a.pool, size), real: size, run: time.Duration(float64(a.meanRun) * a.factor(runSpread))}
	}
	slots := 1
	if f.rng.Float64() < largeTasks {
		slots = 2
	}
	real := upstream.Size{Slots: slots, CPUs: slots * team.Size.CPUs, MemoryMB: slots * team.Size.MemoryMB}
	declared := upstream.Size{
		Slots:    slots,
		CPUs:     min(cpusPerHost, max(1, int(math.Round(float64(real.CPUs)*a.factor(sizeSpread))))),
		MemoryMB: min(f.d.MemoryMB, int(float64(real.MemoryMB)*a.factor(sizeSpread))),
	}
	return &task{
		request: f.request(team.Name, a.pool, declared), real: real,
		run: time.Duration(float64(a.meanRun) * a.factor(runSpread)),
	}
}

// factor returns a log-normal factor with mean 1.
func (a *arrivals) factor(spread float64) float64 {
	return math.Exp(spread*a.fleet.rng.NormFloat64() - spread*spread/2)
}

// bursts is the load of queue i: the queues ask in turn for burstFactor times their mean, and for calmFactor in between.
func bursts(i int, meanSlots float64, burst time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if int(at/burst)%services == i {
			return meanSlots * burstFactor
		}
		return meanSlots * calmFactor
	}
}

func poisson(random func() float64, mean float64) int {
	limit, product, n := math.Exp(-mean), random(), 0
	for product > limit {
		product *= random()
		n++
	}
	return n
}

// pick returns a number below n, chosen by weight.
func pick(random func() float64, n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	at := random() * sum
	for i := range n - 1 {
		if at -= weight(i); at < 0 {
			return i
		}
	}
	return n - 1
}
