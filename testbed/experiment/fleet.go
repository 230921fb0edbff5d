package experiment

import (
	"math/rand/v2"
	"time"

	"citrongauge.example/citrongauge/admission"
	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/upstream"
)

// schedulerInterval is the interval at which a daemon runs its scheduler besides the wake-ups, as in the daemon.
const schedulerInterval = 5 * time.Millisecond

// Ways in which entry hosts work together.
type cooperation int

const (
	exchanging cooperation = iota // they tell each other their load
	alone                         // each one for itself
	central                       // one host takes all requests and decides at once
)

// task is a request of the load.
type task struct {
	request admission.Request
	// run is the run time that is left, real the real use.
	run  time.Duration
	real upstream.Size
	// submitted is the time of the request, started that of its first start.
	submitted time.Duration
	started   time.Duration

	ticket *admission.Ticket
	// held is true while the task holds capacity at the upstreams, attempt the number of its starts.
	held      bool
	heldSince time.Duration
	attempt   int
	stopping  bool
}

// fleet is the entry hosts with their schedulers, and pools of upstreams. A pool is one amount of each resource: how
// tasks fit on single upstreams is not admission's decision.
type fleet struct {
	clock
	d     Deployment
	rng   *rand.Rand
	mode  cooperation
	hosts []*entryHost
	pools map[string]*pool
	// place starts a released task at the upstreams.
	place func(h *entryHost, t *task)
}

type pool struct {
	name     string
	capacity upstream.Size
	used     upstream.Size
	teams    map[string]*poolTeam
}

// poolTeam is what the tasks of a team hold in a pool, and what they really use.
type poolTeam struct {
	held upstream.Size
	real upstream.Size
}

type entryHost struct {
	fleet     *fleet
	id        string
	zone      string
	relay     bool
	scheduler *admission.Scheduler
	book      loadBook
	tickets   map[*admission.Ticket]*task
	woken     bool
}

func newFleet(d Deployment, seed uint64, mode cooperation, pools []string) *fleet {
	f := &fleet{d: d, rng: newRand(seed), mode: mode, pools: make(map[string]*pool)}
	f.place = func(h *entryHost, t *task) { f.after(f.wayToUpstream(h), func() { h.reserve(t) }) }
	config := admission.Config{Pools: make(map[string]admission.PoolConfig), Weights: d.weights()}
	for _, name := range pools {
		p := &pool{name: name, capacity: d.poolSize(hostsPerService), teams: make(map[string]*poolTeam)}
		for _, t := range d.Teams {
			p.teams[t.Name] = &poolTeam{}
		}
		f.pools[name] = p
		config.Pools[name] = admission.PoolConfig{Capacity: p.capacity}
	}
	for i, m := range d.members() {
		f.hosts = append(f.hosts, &entryHost{
			fleet: f, id: m.ID, zone: m.Zone, relay: i < len(d.Zones), book: newLoadBook(),
			tickets:   make(map[*admission.Ticket]*task),
			scheduler: admission.New(func(string, int) bool { return true }),
		})
	}
	if mode == central {
		f.hosts = f.hosts[:1]
	}
	for _, h := range f.hosts {
		h.scheduler.Configure(config)
		f.every(f.random(schedulerInterval), schedulerInterval, h.schedule)
		phase := f.random(tellInterval)
		if mode == exchanging {
			f.every(phase, tellInterval, h.tell)
		}
	}
	return f
}

func (f *fleet) random(d time.Duration) time.Duration { return time.Duration(f.rng.Int64N(int64(d))) }

// submit gives a task to the entry host with the given number.
func (f *fleet) submit(host int, t *task) {
	h := f.hosts[host%len(f.hosts)]
	t.submitted = f.now
	ticket, err := h.scheduler.Enqueue(f.time(), t.request)
	if err != nil {
		return
	}
	t.ticket = ticket
	h.tickets[ticket] = t
	h.wake()
}

// wake runs the scheduler once after all events of this moment.
func (h *entryHost) wake() {
	if h.woken {
		return
	}
	h.woken = true
	h.fleet.after(0, func() {
		h.woken = false
		h.schedule()
	})
}

func (h *entryHost) schedule() {
	f := h.fleet
	for _, ticket := range h.scheduler.Release(f.time()) {
		f.place(h, h.tickets[ticket])
	}
	for _, ticket := range h.scheduler.Preempt(f.time()) {
		t := h.tickets[ticket]
		t.stopping = true
		f.after(f.wayToUpstream(h), func() { h.checkpoint(t) })
	}
}

// wayToUpstream is the one-way delay to an upstream of a random zone. The central queue has none.
func (f *fleet) wayToUpstream(h *entryHost) time.Duration {
	if f.mode == central {
		return 0
	}
	return f.d.oneWay(h.zone, f.d.Zones[f.rng.IntN(len(f.d.Zones))])
}

// reserve starts a task if the pool has room. Otherwise the host puts the request back when it learns of the refusal.
func (h *entryHost) reserve(t *task) {
	f, p := h.fleet, h.fleet.pools[t.request.Pool]
	size := t.request.Size
	if t.stopping || !within(admission.Sizes(p.used, size), p.capacity) {
		f.after(f.wayToUpstream(h), func() { h.requeue(t) })
		return
	}
	if t.attempt == 0 {
		t.started = f.now
	}
	t.attempt++
	p.take(f, t)
	attempt := t.attempt
	f.after(t.run, func() {
		if t.attempt == attempt && t.held {
			h.end(t)
		}
	})
}

func (h *entryHost) end(t *task) {
	f := h.fleet
	f.pools[t.request.Pool].give(t)
	f.after(f.wayToUpstream(h), func() { h.forget(t) })
}

// forget ends a request.
func (h *entryHost) forget(t *task) {
	h.scheduler.End(h.fleet.time(), t.ticket)
	delete(h.tickets, t.ticket)
	h.wake()
}

func (h *entryHost) requeue(t *task) {
	t.stopping = false
	h.scheduler.Requeue(h.fleet.time(), t.ticket)
	h.wake()
}

// checkpointTime is the time that an upstream needs to save the progress of a task before it stops it.
const checkpointTime = 200 * time.Millisecond

func (h *entryHost) checkpoint(t *task) {
	f := h.fleet
	attempt := t.attempt
	f.after(checkpointTime, func() {
		if !t.held || t.attempt != attempt {
			return
		}
		t.run -= f.now - t.heldSince
		f.pools[t.request.Pool].give(t)
		f.after(f.wayToUpstream(h), func() { h.requeue(t) })
	})
}

func (p *pool) take(f *fleet, t *task) {
	team := p.teams[t.request.Team]
	t.held, t.heldSince = true, f.now
	p.used = admission.Sizes(p.used, t.request.Size)
	team.held = admission.Sizes(team.held, t.request.Size)
	team.real = admission.Sizes(team.real, t.real)
}

func (p *pool) give(t *task) {
	team := p.teams[t.request.Team]
	t.held = false
	p.used = minus(p.used, t.request.Size)
	team.held = minus(team.held, t.request.Size)
	team.real = minus(team.real, t.real)
}

func minus(a, b upstream.Size) upstream.Size {
	return admission.Sizes(a, upstream.Size{Slots: -b.Slots, CPUs: -b.CPUs, MemoryMB: -b.MemoryMB, Accelerators: -b.Accelerators})
}

func within(a, b upstream.Size) bool {
	return a.Slots <= b.Slots && a.CPUs <= b.CPUs && a.MemoryMB <= b.MemoryMB && a.Accelerators <= b.Accelerators
}

// demand returns what a team holds and waits for on a pool, over all hosts.
func (f *fleet) demand(poolName string) map[string]upstream.Size {
	sums := make(map[string]upstream.Size)
	for team, t := range f.pools[poolName].teams {
		sums[team] = t.held
	}
	for _, h := range f.hosts {
		for _, l := range h.scheduler.Loads(f.time()) {
			if l.Pool == poolName {
				sums[l.Team] = admission.Sizes(sums[l.Team], l.Waiting)
			}
		}
	}
	return sums
}

// request returns a request without urgency and with a deadline that does not matter.
func (f *fleet) request(team, poolName string, size upstream.Size) admission.Request {
	return admission.Request{
		Team: team, Pool: poolName, Size: size, MaxQueued: bundle.DefaultMaxQueued, Preemptible: true,
		Deadline: f.time().Add(bundle.DefaultMaxDeadlineMS * time.Millisecond),
	}
}
