package experiment

import (
	"context"
	"math/rand/v2"
	"time"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/maintenance"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/upstream"
)

const (
	// planInterval is the interval at which the planner runs, as in the daemon.
	planInterval = time.Second
	// moveStep is the interval at which tasks start and end.
	moveStep        = 100 * time.Millisecond
	moveMeasureTime = 30 * time.Minute
)

// burst is a period during which the load of one service is burstLoadFactor times its mean.
type burst struct {
	service    int
	start, end time.Duration
	// overloaded is the time, from the start of this burst until the service's next one, for which the demand exceeds
	// the capacity of the pool's own hosts.
	overloaded time.Duration
}

// moveHost is an upstream with the end times of its running tasks.
type moveHost struct {
	upstream.Client
	id       string
	isSpare  bool
	epoch    uint64
	draining bool
	taskEnds []time.Duration
}

// Drain implements upstream.Client.
func (h *moveHost) Drain(_ context.Context, epoch uint64, rejectReservations bool) error {
	if epoch < h.epoch {
		return upstream.ErrStaleEpoch
	}
	h.epoch, h.draining = epoch, rejectReservations
	return nil
}

// moveFleet is a set of pools with bursts of load. The production planner or another policy decides on host moves.
type moveFleet struct {
	fakeClock
	d            Deployment
	bundle       *bundle.Bundle
	record       control.Record
	hosts        map[string]*moveHost
	orderedHosts []*moveHost // in the order of the record's assignments
	obs          maintenance.Observations
	policy       movePolicy
	bursts       []burst
	// arrivalRand and placementRand are independent generators, so that all policies get the same arrivals.
	arrivalRand, placementRand *rand.Rand
	waitingTasks               map[string]int
	counters                   maintenance.Counters
	totals                     moveTotals
}

// moveTotals holds sums over the steps of a run, in slot-seconds, and the number of steps.
type moveTotals struct {
	// lentWork is the work on lent hosts while the demand exceeded the capacity of the pool's own hosts.
	lentWork float64
	// spareWork is the work on spare hosts, in whichever pool.
	spareWork float64
	// idleWhileWaiting is the idle time of spare hosts while tasks waited in any pool, at most one slot for each of
	// them.
	idleWhileWaiting float64
	// waitingTime is the total time for which tasks waited.
	waitingTime float64
	steps       int
}

// movePolicy decides which hosts to drain in order to move them. The further steps of a move are always decided by
// package maintenance.
type movePolicy func(f *moveFleet) []maintenance.Change

func newMoveFleet(d Deployment, seed uint64, bursts []burst, policy movePolicy) *moveFleet {
	f := &moveFleet{
		d: d, bundle: d.bundle(), hosts: make(map[string]*moveHost), policy: policy, bursts: bursts,
		arrivalRand: newRand(seed), placementRand: newRand(seed + 1000), waitingTasks: make(map[string]int),
	}
	f.record = maintenance.Reconcile(control.Record{BundleVersion: f.bundle.Version}, f.bundle)
	for _, a := range f.record.Assignments {
		h := &moveHost{id: a.Host, isSpare: a.Pool == sparePool, epoch: a.Epoch}
		f.hosts[a.Host] = h
		f.orderedHosts = append(f.orderedHosts, h)
	}
	f.every(0, moveStep, f.simulateStep)
	f.every(planInterval/2, planInterval, f.runPlanner)
	return f
}

// load returns the current load of a service in slots.
func (f *moveFleet) load(service int) float64 {
	meanSlots := meanUtilization * hostsPerService * slotsPerHost
	for _, b := range f.bursts {
		if b.service == service && f.now >= b.start && f.now < b.end {
			return meanSlots * burstLoadFactor
		}
	}
	return meanSlots * baseLoadFactor
}

// simulateStep ends tasks, queues new ones and starts waiting ones on free slots.
func (f *moveFleet) simulateStep() {
	for _, h := range f.orderedHosts {
		kept := h.taskEnds[:0]
		for _, end := range h.taskEnds {
			if end > f.now {
				kept = append(kept, end)
			}
		}
		h.taskEnds = kept
	}
	for i := range serviceCount {
		f.waitingTasks[serviceName(i)] += poisson(f.arrivalRand.Float64, f.load(i)*moveStep.Seconds()/taskRunTime.Seconds())
	}
	activeHosts := f.activeHosts()
	for i := range serviceCount {
		f.startTasks(serviceName(i), activeHosts[serviceName(i)])
	}
	f.addTotals(activeHosts)
}

// activeHosts returns the hosts that may start tasks, by pool.
func (f *moveFleet) activeHosts() map[string][]*moveHost {
	activeHosts := make(map[string][]*moveHost)
	for _, a := range f.record.Assignments {
		h := f.hosts[a.Host]
		if a.State == control.InService && !h.draining && h.epoch == a.Epoch {
			activeHosts[a.Pool] = append(activeHosts[a.Pool], h)
		}
	}
	return activeHosts
}

// startTasks starts waiting tasks, each on the less loaded of two random hosts with a free slot.
func (f *moveFleet) startTasks(poolName string, hosts []*moveHost) {
	for f.waitingTasks[poolName] > 0 {
		free := make([]*moveHost, 0, len(hosts))
		for _, h := range hosts {
			if len(h.taskEnds) < slotsPerHost {
				free = append(free, h)
			}
		}
		if len(free) == 0 {
			return
		}
		h, other := free[f.placementRand.IntN(len(free))], free[f.placementRand.IntN(len(free))]
		if len(other.taskEnds) < len(h.taskEnds) {
			h = other
		}
		runTime := time.Duration(f.placementRand.ExpFloat64() * float64(taskRunTime))
		h.taskEnds = append(h.taskEnds, f.now+runTime)
		f.waitingTasks[poolName]--
	}
}

// demand returns the number of running and waiting tasks of a pool.
func (f *moveFleet) demand(poolName string, hosts []*moveHost) int {
	n := f.waitingTasks[poolName]
	for _, h := range hosts {
		n += len(h.taskEnds)
	}
	return n
}

// addTotals adds one step to the totals.
func (f *moveFleet) addTotals(activeHosts map[string][]*moveHost) {
	dt := moveStep.Seconds()
	f.totals.steps++
	waiting := 0
	for i := range serviceCount {
		name := serviceName(i)
		waiting += f.waitingTasks[name]
		isOverloaded := f.demand(name, activeHosts[name]) > hostsPerService*slotsPerHost
		for _, h := range activeHosts[name] {
			if h.isSpare && isOverloaded {
				f.totals.lentWork += float64(len(h.taskEnds)) * dt
			}
		}
		if isOverloaded {
			f.addOverload(i)
		}
	}
	idle := 0
	for _, h := range f.orderedHosts {
		if h.isSpare {
			f.totals.spareWork += float64(len(h.taskEnds)) * dt
			idle += slotsPerHost - len(h.taskEnds)
		}
	}
	f.totals.idleWhileWaiting += float64(min(idle, waiting)) * dt
	f.totals.waitingTime += float64(waiting) * dt
}

// addOverload adds one step to the overloaded time of the last burst of a service.
func (f *moveFleet) addOverload(service int) {
	for i := len(f.bursts) - 1; i >= 0; i-- {
		if f.bursts[i].service == service && f.bursts[i].start <= f.now {
			f.bursts[i].overloaded += moveStep
			return
		}
	}
}

// runPlanner runs the planner once in the same steps as the daemon: observe, act, plan, commit.
func (f *moveFleet) runPlanner() {
	f.observe()
	var changes []maintenance.Change
	for _, a := range maintenance.Actions(f.time(), f.bundle, &f.record, f.obs) {
		changes = append(changes, f.perform(a)...)
	}
	if len(changes) == 0 {
		changes = f.policy(f)
	}
	if next, err := maintenance.Apply(f.record, changes); err == nil {
		f.record = next
		f.counters.Committed(changes)
	}
	f.counters.AddSpareIdle(f.time(), planInterval, f.bundle, &f.record, f.obs)
}

// perform carries out an action and returns the changes to commit.
func (f *moveFleet) perform(a maintenance.Action) []maintenance.Change {
	switch a.Kind {
	case maintenance.Commit:
		return []maintenance.Change{a.Change}
	case maintenance.Drain:
		if change, ok := maintenance.RecheckDrain(f.time(), f.bundle, &f.record, f.obs, a.Host); !ok {
			return []maintenance.Change{change}
		}
	}
	_ = maintenance.Perform(context.Background(), a, f.hosts[a.Host], unusedHostList{})
	return nil
}

func (f *moveFleet) observe() {
	now := f.time()
	observed := make(map[string]maintenance.HostObservation, len(f.hosts))
	for id, h := range f.hosts {
		observed[id] = maintenance.HostObservation{At: now, PlatformState: platform.HostLive, Status: upstream.Status{
			PoolEpoch: h.epoch, Draining: h.draining,
			Running: len(h.taskEnds), Reserved: upstream.Size{Slots: len(h.taskEnds)},
		}}
	}
	f.obs.RecordConfirmedAt, f.obs.HostListRequestedAt, f.obs.Hosts = now, now, observed
	demand := make(map[string]int)
	for name, hosts := range f.activeHosts() {
		demand[name] = f.demand(name, hosts)
	}
	f.obs.Loads = maintenance.ObserveLoads(now, f.bundle, &f.record, f.obs, demand)
}

// unusedHostList is a host list without an implementation. It is never called, since the bundle plans no maintenance.
type unusedHostList struct{ platform.HostList }
