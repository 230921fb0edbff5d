package experiment

import (
	"math"
	"time"

	"citrongauge.example/citrongauge/upstream"
)

const (
	// burstLoadFactor and baseLoadFactor are a queue's load during and between its bursts, as multiples of its mean.
	burstLoadFactor = 5.0
	baseLoadFactor  = 0.05
	// meanUtilization is the mean load of a queue as a fraction of its pool's slots. The load of a burst is thus
	// 1.5 times the slots of the pool.
	meanUtilization = 0.3
	// runTimeSigma is the standard deviation of the logarithm of the run time, declaredSizeSigma that of the logarithm
	// of the ratio of declared to actual size. About one value in three is off by more than a factor of 2.2 and
	// 1.8, respectively.
	runTimeSigma      = 0.8
	declaredSizeSigma = 0.6
	// largeTaskFraction is the fraction of tasks that take two slots.
	largeTaskFraction = 0.1
	// hostWeightSpread is the maximum deviation from 1 of the weights by which a team's requests are distributed over
	// the entry hosts.
	hostWeightSpread = 0.5
)

// requestGenerator generates the requests of all teams for one queue.
type requestGenerator struct {
	fleet *fleet
	pool  string
	// load returns the load of all teams together at a given time, in slots.
	load        func(at time.Duration) float64
	meanRunTime time.Duration
	// unitTasks makes every task declare and use exactly one slot and one processor.
	unitTasks bool
	// hostWeights holds, for each team, the weight of each entry host in the distribution of the team's requests.
	hostWeights [][]float64
}

func newRequestGenerator(
	f *fleet, poolName string, meanRunTime time.Duration, load func(time.Duration) float64,
) *requestGenerator {
	g := &requestGenerator{fleet: f, pool: poolName, load: load, meanRunTime: meanRunTime}
	for range f.d.Teams {
		weights := make([]float64, len(f.d.roster()))
		for i := range weights {
			weights[i] = 1 + hostWeightSpread*(2*f.rng.Float64()-1)
		}
		g.hostWeights = append(g.hostWeights, weights)
	}
	return g
}

// arrivalInterval is the interval at which new requests are generated.
const arrivalInterval = 10 * time.Millisecond

func (g *requestGenerator) start() {
	g.fleet.every(g.fleet.randomDuration(arrivalInterval), arrivalInterval, g.generate)
}

// generate submits the requests of one interval. Their number is Poisson-distributed.
func (g *requestGenerator) generate() {
	f := g.fleet
	const meanSlots = 1 + largeTaskFraction
	rate := g.load(f.now) / meanSlots / g.meanRunTime.Seconds()
	for range poisson(f.rng.Float64, rate*arrivalInterval.Seconds()) {
		team := pickWeighted(f.rng.Float64, len(f.d.Teams), func(i int) float64 { return float64(f.d.Teams[i].Demand) })
		host := pickWeighted(f.rng.Float64, len(g.hostWeights[team]), func(i int) float64 { return g.hostWeights[team][i] })
		f.submit(host, g.newTask(f.d.Teams[team]))
	}
}

func (g *requestGenerator) newTask(team Team) *task {
	f := g.fleet
	if g.unitTasks {
		size := upstream.Size{Slots: 1, CPUs: 1}
		return &task{
			request: f.request(team.Name, g.pool, size), actual: size,
			remaining: time.Duration(float64(g.meanRunTime) * g.logNormalFactor(runTimeSigma)),
		}
	}
	slots := 1
	if f.rng.Float64() < largeTaskFraction {
		slots = 2
	}
	actual := upstream.Size{Slots: slots, CPUs: slots * team.Size.CPUs, MemoryMB: slots * team.Size.MemoryMB}
	declared := upstream.Size{
		Slots:    slots,
		CPUs:     min(cpusPerHost, max(1, int(math.Round(float64(actual.CPUs)*g.logNormalFactor(declaredSizeSigma))))),
		MemoryMB: min(f.d.MemoryMB, int(float64(actual.MemoryMB)*g.logNormalFactor(declaredSizeSigma))),
	}
	return &task{
		request: f.request(team.Name, g.pool, declared), actual: actual,
		remaining: time.Duration(float64(g.meanRunTime) * g.logNormalFactor(runTimeSigma)),
	}
}

// logNormalFactor returns a random factor from a log-normal distribution with mean 1.
func (g *requestGenerator) logNormalFactor(sigma float64) float64 {
	return math.Exp(sigma*g.fleet.rng.NormFloat64() - sigma*sigma/2)
}

// burstLoad returns the load of queue i over time. The queues have bursts in turn: the load is burstLoadFactor times
// the mean during a burst and baseLoadFactor times the mean otherwise.
func burstLoad(i int, meanSlots float64, burstLength time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if int(at/burstLength)%serviceCount == i {
			return meanSlots * burstLoadFactor
		}
		return meanSlots * baseLoadFactor
	}
}

// poisson returns a Poisson-distributed random number, by Knuth's algorithm.
func poisson(uniform func() float64, mean float64) int {
	limit, product, n := math.Exp(-mean), uniform(), 0
	for product > limit {
		product *= uniform()
		n++
	}
	return n
}

// pickWeighted returns a random index below n, with probabilities in proportion to the weights.
func pickWeighted(uniform func() float64, n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	remaining := uniform() * sum
	for i := range n - 1 {
		if remaining -= weight(i); remaining < 0 {
			return i
		}
	}
	return n - 1
}
