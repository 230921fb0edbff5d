package experiment

import (
	"math/rand/v2"
	"time"

	"citrongauge.example/citrongauge/admission"
	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/upstream"
)

// schedulerInterval is the interval at which an entry host runs its scheduler in addition to wake-ups, as in the
// daemon.
const schedulerInterval = 5 * time.Millisecond

// coordination is the way in which the entry hosts coordinate their schedulers.
type coordination int

const (
	exchangingLoads coordination = iota // entry hosts report their loads to each other
	independent                         // each entry host decides from its own load only
	centralQueue                        // one entry host receives all requests, without network delay to the upstreams
)

// task is a generated request with its state.
type task struct {
	request admission.Request
	// remaining is the remaining run time, actual the actual resource use.
	remaining time.Duration
	actual    upstream.Size
	// submittedAt is the time of submission, startedAt that of the first start.
	submittedAt time.Duration
	startedAt   time.Duration

	ticket *admission.Ticket
	// running is set while the task holds capacity at the upstreams. starts is the number of times that it was started.
	running      bool
	runningSince time.Duration
	starts       int
	stopping     bool
}

// fleet is a set of entry hosts with their schedulers and of pools of upstreams. A pool is modeled as a single amount
// of each resource, since package admission does not decide how tasks are placed on upstreams.
type fleet struct {
	fakeClock
	d     Deployment
	rng   *rand.Rand
	mode  coordination
	hosts []*entryHost
	pools map[string]*pool
	// dispatch sends a released task to the upstreams.
	dispatch func(h *entryHost, t *task)
}

type pool struct {
	name     string
	capacity upstream.Size
	used     upstream.Size
	teams    map[string]*teamUse
}

// teamUse is the total declared size and the total actual use of a team's running tasks in a pool.
type teamUse struct {
	reserved upstream.Size
	actual   upstream.Size
}

type entryHost struct {
	fleet       *fleet
	id          string
	zone        string
	isRelay     bool
	scheduler   *admission.Scheduler
	received    loadReports
	tickets     map[*admission.Ticket]*task
	wakePending bool
}

func newFleet(d Deployment, seed uint64, mode coordination, pools []string) *fleet {
	f := &fleet{d: d, rng: newRand(seed), mode: mode, pools: make(map[string]*pool)}
	f.dispatch = func(h *entryHost, t *task) { f.after(f.upstreamDelay(h), func() { h.reserve(t) }) }
	config := admission.Config{Pools: make(map[string]admission.PoolConfig), Weights: d.weights()}
	for _, name := range pools {
		p := &pool{name: name, capacity: d.poolCapacity(hostsPerService), teams: make(map[string]*teamUse)}
		for _, t := range d.Teams {
			p.teams[t.Name] = &teamUse{}
		}
		f.pools[name] = p
		config.Pools[name] = admission.PoolConfig{Capacity: p.capacity}
	}
	for i, m := range d.roster() {
		f.hosts = append(f.hosts, &entryHost{
			fleet: f, id: m.ID, zone: m.Zone, isRelay: i < len(d.Zones), received: newLoadReports(),
			tickets:   make(map[*admission.Ticket]*task),
			scheduler: admission.New(func(string, int) bool { return true }),
		})
	}
	if mode == centralQueue {
		f.hosts = f.hosts[:1]
	}
	for _, h := range f.hosts {
		h.scheduler.Configure(config)
		f.every(f.randomDuration(schedulerInterval), schedulerInterval, h.schedule)
		phase := f.randomDuration(loadInterval)
		if mode == exchangingLoads {
			f.every(phase, loadInterval, h.reportLoad)
		}
	}
	return f
}

// randomDuration returns a random duration below d.
func (f *fleet) randomDuration(d time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(d)))
}

// submit submits a task at the entry host with the given index. It drops the task if the scheduler rejects it.
func (f *fleet) submit(hostIndex int, t *task) {
	h := f.hosts[hostIndex%len(f.hosts)]
	t.submittedAt = f.now
	ticket, err := h.scheduler.Enqueue(f.time(), t.request)
	if err != nil {
		return
	}
	t.ticket = ticket
	h.tickets[ticket] = t
	h.wake()
}

// wake runs the scheduler once, after the events that are already queued for the current time.
func (h *entryHost) wake() {
	if h.wakePending {
		return
	}
	h.wakePending = true
	h.fleet.after(0, func() {
		h.wakePending = false
		h.schedule()
	})
}

func (h *entryHost) schedule() {
	f := h.fleet
	for _, ticket := range h.scheduler.Release(f.time()) {
		f.dispatch(h, h.tickets[ticket])
	}
	for _, ticket := range h.scheduler.Preempt(f.time()) {
		t := h.tickets[ticket]
		t.stopping = true
		f.after(f.upstreamDelay(h), func() { h.checkpoint(t) })
	}
}

// upstreamDelay returns the one-way network delay to an upstream in a random zone, or 0 for the central queue.
func (f *fleet) upstreamDelay(h *entryHost) time.Duration {
	if f.mode == centralQueue {
		return 0
	}
	return f.d.oneWayDelay(h.zone, f.d.Zones[f.rng.IntN(len(f.d.Zones))])
}

// reserve starts a task if it fits into the pool. Otherwise the entry host requeues the request once the rejection
// reaches it.
func (h *entryHost) reserve(t *task) {
	f, p := h.fleet, h.fleet.pools[t.request.Pool]
	size := t.request.Size
	if t.stopping || !fitsWithin(admission.SumSizes(p.used, size), p.capacity) {
		f.after(f.upstreamDelay(h), func() { h.requeue(t) })
		return
	}
	if t.starts == 0 {
		t.startedAt = f.now
	}
	t.starts++
	p.allocate(f, t)
	starts := t.starts
	f.after(t.remaining, func() {
		if t.starts == starts && t.running {
			h.completeTask(t)
		}
	})
}

// completeTask releases the capacity of a task that has ended. The entry host ends the request once the result reaches
// it.
func (h *entryHost) completeTask(t *task) {
	f := h.fleet
	f.pools[t.request.Pool].release(t)
	f.after(f.upstreamDelay(h), func() { h.endRequest(t) })
}

// endRequest removes a request from the scheduler.
func (h *entryHost) endRequest(t *task) {
	h.scheduler.End(h.fleet.time(), t.ticket)
	delete(h.tickets, t.ticket)
	h.wake()
}

func (h *entryHost) requeue(t *task) {
	t.stopping = false
	h.scheduler.Requeue(h.fleet.time(), t.ticket)
	h.wake()
}

// checkpointTime is the time that an upstream needs to checkpoint a task before it stops it.
const checkpointTime = 200 * time.Millisecond

// checkpoint stops a preempted task after checkpointTime and requeues it with its remaining run time.
func (h *entryHost) checkpoint(t *task) {
	f := h.fleet
	starts := t.starts
	f.after(checkpointTime, func() {
		if !t.running || t.starts != starts {
			return
		}
		t.remaining -= f.now - t.runningSince
		f.pools[t.request.Pool].release(t)
		f.after(f.upstreamDelay(h), func() { h.requeue(t) })
	})
}

func (p *pool) allocate(f *fleet, t *task) {
	team := p.teams[t.request.Team]
	t.running, t.runningSince = true, f.now
	p.used = admission.SumSizes(p.used, t.request.Size)
	team.reserved = admission.SumSizes(team.reserved, t.request.Size)
	team.actual = admission.SumSizes(team.actual, t.actual)
}

func (p *pool) release(t *task) {
	team := p.teams[t.request.Team]
	t.running = false
	p.used = subtractSizes(p.used, t.request.Size)
	team.reserved = subtractSizes(team.reserved, t.request.Size)
	team.actual = subtractSizes(team.actual, t.actual)
}

func subtractSizes(a, b upstream.Size) upstream.Size {
	return admission.SumSizes(a, upstream.Size{
		Slots: -b.Slots, CPUs: -b.CPUs, MemoryMB: -b.MemoryMB, Accelerators: -b.Accelerators,
	})
}

func fitsWithin(size, capacity upstream.Size) bool {
	return size.Slots <= capacity.Slots && size.CPUs <= capacity.CPUs &&
		size.MemoryMB <= capacity.MemoryMB && size.Accelerators <= capacity.Accelerators
}

// demandByTeam returns the running and waiting demand of each team on a pool, over all entry hosts.
func (f *fleet) demandByTeam(poolName string) map[string]upstream.Size {
	demand := make(map[string]upstream.Size)
	for team, t := range f.pools[poolName].teams {
		demand[team] = t.reserved
	}
	for _, h := range f.hosts {
		for _, l := range h.scheduler.Loads(f.time()) {
			if l.Pool == poolName {
				demand[l.Team] = admission.SumSizes(demand[l.Team], l.Waiting)
			}
		}
	}
	return demand
}

// request returns a preemptible, non-urgent request whose deadline is too far away to matter.
func (f *fleet) request(team, poolName string, size upstream.Size) admission.Request {
	return admission.Request{
		Team: team, Pool: poolName, Size: size, MaxQueued: bundle.DefaultMaxQueued, Preemptible: true,
		Deadline: f.time().Add(bundle.DefaultMaxDeadlineMS * time.Millisecond),
	}
}
