// Package schedule decides which task runs on which upstream, when, and what is recorded of it. It is the decision
// core of the host that owns the fleet: a state machine that takes events with their time and returns calls to make.
// It does no I/O, reads no clock and starts no goroutine, so that a test can drive it through any interleaving.
//
// What it relies on: the owner's fencing token is higher than that of every earlier owner; an upstream does nothing
// for a lower one; an upstream ends everything when its lease expires; the attempt numbers of a task rise.
package schedule

import (
	"slices"
	"time"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

const (
	// attemptsPerOwner separates the attempt numbers of successive owners: a start of an earlier owner that nobody
	// has seen must not share its number with a later one.
	attemptsPerOwner = 1000
	// slowestClock is the least speed of an upstream's clock, relative to ours.
	slowestClock = 0.98
	// leaseSlack is added to the computed end of an upstream's lease.
	leaseSlack = 200 * time.Millisecond
	// lookGap is the shortest time between two looks at an upstream. Each look has a price; ends that come close
	// together share one.
	lookGap = 50 * time.Millisecond
	// lookWait is the longest time for which a look waits for an end.
	lookWait = time.Second
	// lookRetry and lookRetryMax bound the pause after a look that failed.
	lookRetry    = 150 * time.Millisecond
	lookRetryMax = time.Second
	// ownerLookMargin is how long after the claim an upstream that was not reached may still run an earlier
	// owner's tasks, beyond the lease.
	ownerLookMargin = 300 * time.Millisecond
)

// Options are the fixed inputs of a Core.
type Options struct {
	Bounds     platform.Bounds
	Lease      time.Duration // of what runs on an upstream, from each look
	Generation uint64        // number of the ownership, from 0
	Token      uint64        // fencing token
	Claimed    time.Duration // when the ownership was claimed, on the caller's steady clock
	// Log is called once for each decision that touches a job or changes what the core believes.
	Log func(event string, fields ...any)
	// Observe is called once for each job that ends, with the time since it was accepted.
	Observe func(team, queue, phase string, age time.Duration)
}

// Core holds the state of all jobs and upstreams. It is not safe for concurrent use.
type Core struct {
	Options
	now    time.Duration // steady time of the event being handled
	wallMS int64         // Unix milliseconds of the event being handled

	jobs      *ordered[job.ID, *jobState]
	upstreams *ordered[string, *upstream] // by ID
	pools     *ordered[string, *pool]
	teams     map[string]*team
	queues    map[string]platform.BundleQueue // by name, of the newest bundle
	speeds    map[string]*speed               // by queue
	evacuated map[string]bool                 // zones
	bundleSet bool
	advised   bool // a queue needs advice
	waves     *ordered[int, *wave]
	machines  map[string]platform.Machine    // nil: the list was not read yet
	lives     map[string]*upstream           // newest upstream of each machine
	spare     map[string]bool                // pools whose machines are off
	moves     *ordered[string, *machineMove] // by machine
	moveAgain map[string]time.Duration       // when a machine whose move was refused may be tried again
	sizeAgain time.Duration
	// machineOrders numbers the orders for machines. A copy of an earlier order that is carried out late has a lower
	// fencing token than a newer one.
	machineOrders   uint64
	orders          *ordered[string, *machineOrders] // by machine
	held            []heldOrder
	ordersDirty     bool            // orders has machines that are not stored
	inheritedOrders map[string]bool // machines for which an earlier owner may have given orders; true: for an upkeep
	unknownOrders   bool            // an earlier owner may have given orders for any machine

	calls []Call
	// anyUnsettled is set while an upstream exists that was not reached since the claim.
	anyUnsettled bool
	planned      []*run // whose upstreams are being recorded
	superseded   bool   // an upstream has seen a higher token

	wantedLabels []string // that waiting tasks of the pool being served require

	chainEnds   []time.Duration // reused by chain
	round       uint64          // number of the last round of records that was taken
	durable     uint64          // number of the last round that is stored
	dirty       *ordered[job.ID, *jobState]
	rosterDirty bool
	retired     []retired
	endedIDs    map[job.ID]struct{} // of the jobs in retired
	stats       Stats
}

// retired is an ended job whose records are kept until the retention is over.
type retired struct {
	id      job.ID
	endedMS int64
}

// Stats count what the core did.
type Stats struct {
	Starts, Done, Failed, Requeued, Stops, Looks, Refused, Moves int
}

type pool struct {
	name      string
	upstreams *ordered[string, *upstream]
	parts     *ordered[*part, struct{}] // with tasks that are not done and whose turn has come
	arrived   []arrivedWork
	// roomySince is when the pool last needed its machines.
	roomySince time.Duration
	// backlogAgain is when the pool's waiting tasks may be reported again.
	backlogAgain time.Duration
}

type team struct {
	cap  job.Resources
	used job.Resources
	// reserved is what may run unseen on upstreams that were not reached since the claim.
	reserved job.Resources
}

// New returns a core that knows no jobs and no upstreams.
func New(options Options) *Core {
	return &Core{
		Options: options,
		jobs:    newOrdered[job.ID, *jobState](), upstreams: newOrdered[string, *upstream](), pools: newOrdered[string, *pool](),
		teams: map[string]*team{}, queues: map[string]platform.BundleQueue{}, speeds: map[string]*speed{},
		lives:     map[string]*upstream{},
		evacuated: map[string]bool{}, dirty: newOrdered[job.ID, *jobState](),
		endedIDs: map[job.ID]struct{}{}, waves: newOrdered[int, *wave](),
		moves: newOrdered[string, *machineMove](), moveAgain: map[string]time.Duration{},
		orders: newOrdered[string, *machineOrders](), inheritedOrders: map[string]bool{},
	}
}

// At sets the time of the events that follow: steady time, and Unix milliseconds.
func (c *Core) At(now time.Duration, wallMS int64) { c.now, c.wallMS = now, wallMS }

// Superseded reports whether an upstream has seen a higher token than this owner's.
func (c *Core) Superseded() bool { return c.superseded }

// Stats returns the counts so far.
func (c *Core) Stats() Stats { return c.stats }

// Jobs returns the number of jobs that have not ended.
func (c *Core) Jobs() int { return c.jobs.len() }

// Upstreams returns the number of upstreams that have an entry in the store, and how many of them answer. Those without
// an entry, which an earlier owner may have used, are mostly gone.
func (c *Core) Upstreams() (listed, answering int) {
	for _, up := range c.upstreams.all() {
		if !up.listed {
			continue
		}
		listed++
		if up.fenced && up.failedLooks == 0 {
			answering++
		}
	}
	return listed, answering
}

func (c *Core) pool(name string) *pool {
	p := c.pools.get(name)
	if p == nil {
		p = &pool{name: name, upstreams: newOrdered[string, *upstream](), parts: newOrdered[*part, struct{}]()}
		c.pools.set(name, p)
	}
	return p
}

func (c *Core) team(name string) *team {
	t := c.teams[name]
	if t == nil {
		t = &team{}
		c.teams[name] = t
	}
	return t
}

// SetBundle puts a bundle into force.
func (c *Core) SetBundle(bundle *platform.Bundle) {
	c.bundleSet = true
	c.queues = make(map[string]platform.BundleQueue, len(bundle.Queues))
	for _, queue := range bundle.Queues {
		c.queues[queue.Name] = queue
		c.advised = c.advised || queue.Advised
	}
	for _, t := range bundle.Teams {
		c.team(t.Name).cap = t.Cap
	}
	c.spare = map[string]bool{}
	for _, p := range bundle.Pools {
		c.spare[p.Name] = p.Spare
	}
	for _, j := range c.jobs.all() {
		if queue, ok := c.queues[j.Queue.Name]; ok {
			c.setQueue(j, queue.Queue)
		}
	}
	c.Log("bundle in force", "version", bundle.Version, "revision", bundle.Revision, "queues", len(bundle.Queues),
		"teams", len(bundle.Teams))
}

// SetEvacuated names the zones in which nothing may start.
func (c *Core) SetEvacuated(zones []string) {
	if len(zones) == len(c.evacuated) && !slices.ContainsFunc(zones, func(zone string) bool { return !c.evacuated[zone] }) {
		return
	}
	c.evacuated = make(map[string]bool, len(zones))
	for _, zone := range zones {
		c.evacuated[zone] = true
	}
	c.Log("evacuated zones", "zones", zones)
}

// Call is something that the caller is to do.
type Call interface{ isCall() }

// Start is a run to be started.
type Start struct {
	Target platform.Target
	Order  platform.StartOrder
}

// Stop is a run to be stopped.
type Stop struct {
	Target platform.Target
	Order  platform.StopOrder
}

// Pace is a run whose pace is to be changed.
type Pace struct {
	Target platform.Target
	Order  platform.PaceOrder
}

// Look is an upstream to be looked at.
type Look struct {
	Target platform.Target
	Order  platform.LookOrder
	seq    uint64
}

// Forget is an address at which no upstream is expected any more.
type Forget struct{ Address string }

func (Start) isCall() {}
func (Stop) isCall()  {}
func (Pace) isCall()  {}
func (Look) isCall()  {}

func (Forget) isCall() {}

// Decide returns the calls to make now. It is to be called after events, and regularly, as times come.
func (c *Core) Decide() []Call {
	c.dueOccurrences()
	c.expireUpstreams()
	c.endOverdue()
	c.leaveDraining()
	c.upkeep()
	c.size()
	c.askAdvice()
	c.place()
	c.paceFills()
	c.retryOrders()
	c.look()
	calls := c.calls
	c.calls = nil
	return calls
}
