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
	// planInterval is the interval of the planner's rounds, as in the daemon.
	planInterval = time.Second
	moveStep     = 100 * time.Millisecond
	movesRun     = 30 * time.Minute
)

// burst is a time in which one queue asks for burstFactor times its mean.
type burst struct {
	service    int
	start, end time.Duration
	// crowded is the time within which the queue asks for more than its pool holds if no host is lent.
	crowded time.Duration
}

// moveHost is an upstream with the ends of its running tasks.
type moveHost struct {
	upstream.Client
	id       string
	isSpare  bool
	epoch    uint64
	draining bool
	ends     []time.Duration
}

// Drain implements upstream.Client.
func (h *moveHost) Drain(_ context.Context, epoch uint64, stop bool) error {
	if epoch < h.epoch {
		return upstream.ErrStaleEpoch
	}
	h.epoch, h.draining = epoch, stop
	return nil
}

// moveWorld is the pools under bursts, with the real planner or another policy.
type moveWorld struct {
	clock
	d      Deployment
	bundle *bundle.Bundle
	record control.Record
	hosts  map[string]*moveHost
	order  []*moveHost
	obs    maintenance.Observations
	policy movePolicy
	bursts []burst
	// arrive and place are independent, so that all policies get the same load.
	arrive, place *rand.Rand
	waiting       map[string]int
	counters      maintenance.Counters
	tally         moveTally
}

// moveTally holds times in slot-seconds, but for the number of steps.
type moveTally struct {
	// overflow is work on lent hosts while their pool was asked for more than its own hosts hold.
	overflow float64
	// spareBusy is work on spare hosts, wherever they are.
	spareBusy float64
	// idleNeeded is the idle time of spare hosts while work waited in some pool.
	idleNeeded float64
	// waited is the time for which tasks waited.
	waited float64
	steps  int
}

// movePolicy decides on stops. The steps of a stop are those of package maintenance in any case.
type movePolicy func(w *moveWorld) []maintenance.Change

func newMoveWorld(d Deployment, seed uint64, list []burst, policy movePolicy) *moveWorld {
	w := &moveWorld{
		d: d, bundle: d.bundle(), hosts: make(map[string]*moveHost), policy: policy, bursts: list,
		arrive: newRand(seed), place: newRand(seed + 1000), waiting: make(map[string]int),
	}
	w.record = maintenance.Reconcile(control.Record{BundleVersion: w.bundle.Version}, w.bundle)
	for _, a := range w.record.Assignments {
		h := &moveHost{id: a.Host, isSpare: a.Pool == sparePool, epoch: a.Epoch}
		w.hosts[a.Host] = h
		w.order = append(w.order, h)
	}
	w.every(0, moveStep, w.work)
	w.every(planInterval/2, planInterval, w.round)
	return w
}

func (w *moveWorld) load(service int) float64 {
	meanSlots := meanPart * hostsPerService * slotsPerHost
	for _, b := range w.bursts {
		if b.service == service && w.now >= b.start && w.now < b.end {
			return meanSlots * burstFactor
		}
	}
	return meanSlots * calmFactor
}

// work ends tasks, lets new ones arrive and places them.
func (w *moveWorld) work() {
	for _, h := range w.order {
		kept := h.ends[:0]
		for _, end := range h.ends {
			if end > w.now {
				kept = append(kept, end)
			}
		}
		h.ends = kept
	}
	for i := range services {
		w.waiting[serviceName(i)] += poisson(w.arrive.Float64, w.load(i)*moveStep.Seconds()/taskRun.Seconds())
	}
	members := w.members()
	for i := range services {
		w.start(serviceName(i), members[serviceName(i)])
	}
	w.count(members)
}

// members returns the hosts that take work, by pool.
func (w *moveWorld) members() map[string][]*moveHost {
	members := make(map[string][]*moveHost)
	for _, a := range w.record.Assignments {
		h := w.hosts[a.Host]
		if a.State == control.InService && !h.draining && h.epoch == a.Epoch {
			members[a.Pool] = append(members[a.Pool], h)
		}
	}
	return members
}

// start places waiting tasks, each on the emptier of two random hosts.
func (w *moveWorld) start(poolName string, hosts []*moveHost) {
	for w.waiting[poolName] > 0 {
		free := make([]*moveHost, 0, len(hosts))
		for _, h := range hosts {
			if len(h.ends) < slotsPerHost {
				free = append(free, h)
			}
		}
		if len(free) == 0 {
			return
		}
		h, other := free[w.place.IntN(len(free))], free[w.place.IntN(len(free))]
		if len(other.ends) < len(h.ends) {
			h = other
		}
		run := time.Duration(w.place.ExpFloat64() * float64(taskRun))
		h.ends = append(h.ends, w.now+run)
		w.waiting[poolName]--
	}
}

func (w *moveWorld) demand(poolName string, members []*moveHost) int {
	n := w.waiting[poolName]
	for _, h := range members {
		n += len(h.ends)
	}
	return n
}

func (w *moveWorld) count(members map[string][]*moveHost) {
	dt := moveStep.Seconds()
	w.tally.steps++
	wanted := 0
	for i := range services {
		name := serviceName(i)
		wanted += w.waiting[name]
		isCrowded := w.demand(name, members[name]) > hostsPerService*slotsPerHost
		for _, h := range members[name] {
			if h.isSpare && isCrowded {
				w.tally.overflow += float64(len(h.ends)) * dt
			}
		}
		if isCrowded {
			w.noteCrowded(i)
		}
	}
	idle := 0
	for _, h := range w.order {
		if h.isSpare {
			w.tally.spareBusy += float64(len(h.ends)) * dt
			idle += slotsPerHost - len(h.ends)
		}
	}
	w.tally.idleNeeded += float64(min(idle, wanted)) * dt
	w.tally.waited += float64(wanted) * dt
}

// noteCrowded adds a step to the last burst of a queue.
func (w *moveWorld) noteCrowded(service int) {
	for i := len(w.bursts) - 1; i >= 0; i-- {
		if w.bursts[i].service == service && w.bursts[i].start <= w.now {
			w.bursts[i].crowded += moveStep
			return
		}
	}
}

// round is a round of the planner, as in the daemon: observe, act, plan, commit.
func (w *moveWorld) round() {
	w.observe()
	var changes []maintenance.Change
	for _, a := range maintenance.Actions(w.time(), w.bundle, &w.record, w.obs) {
		changes = append(changes, w.perform(a)...)
	}
	if len(changes) == 0 {
		changes = w.policy(w)
	}
	if next, err := maintenance.Apply(w.record, changes); err == nil {
		w.record = next
		w.counters.Committed(changes)
	}
	w.counters.AddBuffer(w.time(), planInterval, w.bundle, &w.record, w.obs)
}

func (w *moveWorld) perform(a maintenance.Action) []maintenance.Change {
	switch a.Kind {
	case maintenance.Commit:
		return []maintenance.Change{a.Change}
	case maintenance.Drain:
		if change, ok := maintenance.Recheck(w.time(), w.bundle, &w.record, w.obs, a.Host); !ok {
			return []maintenance.Change{change}
		}
	}
	_ = maintenance.Perform(context.Background(), a, w.hosts[a.Host], noReboots{})
	return nil
}

func (w *moveWorld) observe() {
	now := w.time()
	seen := make(map[string]maintenance.HostObservation, len(w.hosts))
	for id, h := range w.hosts {
		seen[id] = maintenance.HostObservation{At: now, Listed: platform.HostLive, Status: upstream.Status{
			PoolEpoch: h.epoch, Draining: h.draining, Running: len(h.ends), Reserved: upstream.Size{Slots: len(h.ends)},
		}}
	}
	w.obs.RecordAt, w.obs.HostListAt, w.obs.Hosts = now, now, seen
	demand := make(map[string]int)
	for name, hosts := range w.members() {
		demand[name] = w.demand(name, hosts)
	}
	w.obs.Loads = maintenance.ObserveLoads(now, w.bundle, &w.record, w.obs, demand)
}

// noReboots is a host list that is never asked: the bundle plans no maintenance.
type noReboots struct{ platform.HostList }
