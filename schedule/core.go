// Package schedule assigns tasks to upstreams and decides what is recorded of them. It is the decision core of the
// host that owns the fleet: a state machine that takes events with their time and returns the calls to make. It does
// no I/O, reads no clock and starts no goroutine, so that a test can drive it through any interleaving.
//
// It relies on the following: the owner's fencing token is higher than that of every earlier owner; an upstream
// rejects commands with a lower token than the highest one it has seen; an upstream ends all its runs when its lease
// expires; the attempt numbers of a task increase.
package schedule

import (
	"cmp"
	"slices"
	"time"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

const (
	// attemptsPerOwner separates the attempt numbers of successive owners, so that a start sent by an earlier owner
	// that no upstream has reported never shares its attempt number with a later start.
	attemptsPerOwner = 1000
	// minClockRate is the lowest rate of an upstream's clock relative to ours.
	minClockRate = 0.98
	// leaseSlack is added to the computed expiry of an upstream's lease.
	leaseSlack = 200 * time.Millisecond
	// minPollInterval is the shortest time between two polls of an upstream. Each poll has a cost; runs that end
	// shortly after one another are reported by the same poll.
	minPollInterval = 50 * time.Millisecond
	// unstoredPollInterval replaces minPollInterval while ends that the upstream lists wait for the store.
	unstoredPollInterval = 400 * time.Millisecond
	// unstoredPollRate is how many polls a second such upstreams together may get at shorter intervals, while tasks start without records.
	unstoredPollRate = 1000
	// maxPollWait is the longest time for which an upstream holds a poll back until a run ends.
	maxPollWait = time.Second
	// maxCommandTime is the longest time until a command that is in flight reaches its upstream or times out.
	maxCommandTime = maxPollWait + 500*time.Millisecond
	// pollRetryDelay and maxPollRetryDelay bound the backoff after a failed poll.
	pollRetryDelay    = 150 * time.Millisecond
	maxPollRetryDelay = time.Second
	// reviewInterval and runReviewInterval are the shortest times between two reviews of the machines that are being
	// drained, and of all runs.
	reviewInterval    = 50 * time.Millisecond
	runReviewInterval = 150 * time.Millisecond
	// maxFencing is the largest number of polls in flight to upstreams that this owner has not reached yet. Each of them
	// also opens a connection; after a takeover of a large fleet all of them at once would time out on the owner's side.
	maxFencing = 128
	// takeoverMargin is added to the lease to bound how long after the end of an ownership an upstream that has not been
	// reached may still run that owner's tasks.
	takeoverMargin = 300 * time.Millisecond
)

// Options are the parameters of a Core. They do not change while the Core is in use.
type Options struct {
	Bounds     platform.Bounds
	Lease      time.Duration // lease of the runs on an upstream, renewed by starts and polls
	Generation uint64        // number of ownerships before this one
	Token      uint64        // first fencing token, the revision of the claim
	Claimed    time.Duration // when the ownership was claimed, on the caller's monotonic clock
	// EarlierEnded is a time by which the ownership before this one had ended, on the caller's monotonic clock: no lease was granted
	// after it. 0: not known, the time of the claim.
	EarlierEnded time.Duration
	// EarlierLease is the longest time from EarlierEnded to the end of a lease on an upstream, by the upstream's clock. 0: Lease.
	EarlierLease time.Duration
	// KnownLeaseEnds is what LeaseEnds of the previous ownership's core returned, if this process held that ownership too;
	// otherwise nil.
	KnownLeaseEnds map[string]time.Duration
	// Zones are all availability zones of the platform, sorted.
	Zones []string
	// UnrecordedUntil is the latest time, on the caller's monotonic clock, at which an ownership before this one may have started a
	// task without a record that has not been resolved since. 0: none did.
	UnrecordedUntil time.Duration
	// UnrecordedJobs is the highest revision at which a job was stored that may have had such a start; 0: not known.
	UnrecordedJobs uint64
	// Log is called once for each decision about a job and each change of the core's state.
	Log func(event string, fields ...any)
	// Observe is called once for each job that ends, with the time since the job was accepted.
	Observe func(team, queue, phase string, age time.Duration)
}

// Core holds the state of all jobs and upstreams. It is not safe for concurrent use.
type Core struct {
	Options
	now time.Duration // monotonic time of the event being handled
	// leasesEnd is the latest end of a lease that may be granted now; 0: there is no limit.
	leasesEnd time.Duration
	wallMS    int64 // Unix milliseconds of the event being handled

	jobs            *orderedMap[job.ID, *jobState]
	repeated        *orderedMap[job.ID, *jobState] // jobs with occurrences that have not been added
	largeJobs       *orderedMap[job.ID, *jobState] // that have not ended
	nextOpening     time.Duration                  // earliest time of the next round of openLargeJobs
	upstreams       *orderedMap[string, *upstream] // by ID
	pools           *orderedMap[string, *pool]
	teams           map[string]*team
	queues          map[string]platform.BundleQueue // by name, from the newest bundle
	durationRatios  map[string]*durationRatio       // by queue
	evacuated       map[string]bool                 // by zone
	bundleSet       bool
	anyAdvised      bool // a queue of some bundle needs advice
	waves           *orderedMap[int, *wave]
	machines        map[string]platform.Machine       // by name; nil: the list has not been read yet
	newestUpstreams map[string]*upstream              // by machine
	spare           map[string]bool                   // pools whose machines are switched off
	moves           *orderedMap[string, *machineMove] // by machine
	moveRetryAt     map[string]time.Duration          // by machine: when a rejected move may be tried again
	firstDecision   time.Duration                     // time of the first call of Decide; 0: there was none
	nextSizing      time.Duration
	nextPlanReport  time.Duration    // earliest time of the next report on the plan over the machines
	movable         *movableMachines // of the current round of sizing
	nextReview      time.Duration
	nextRunReview   time.Duration
	// nextAbsentReport is the earliest time of the next report on long-running tasks that are not at work.
	nextAbsentReport time.Duration
	// lastMachineCommand is the number of the last command for a machine. The number is part of the fencing token, so
	// that a delayed copy of an earlier command is rejected after a newer one.
	lastMachineCommand uint64
	commands           *orderedMap[string, *machineCommands] // by machine
	heldCommands       []heldCommand
	commandsDirty      bool // the stored record of commanded machines has to be updated
	// inheritedCommands has the machines for which an earlier owner may have sent commands; true: an upkeep command.
	inheritedCommands map[string]bool
	unknownCommands   bool // an earlier owner may have sent commands for any machine

	unreached          unreachedRecord
	longLeases         longLeaseRecord
	turns              *turnBook
	turnRecord         turnRecordState
	demandUnknownUntil time.Duration       // see isDemandUnknown
	losses             []*loss             // of upstreams, in the order in which they were noted
	rackHolders        map[poolPlace]*task // the tasks for which racks are closed to others, as of the current round of placement

	calls []Call
	// anyUnreconciled is set while some upstream has not been reached since the claim.
	anyUnreconciled bool
	window          startWindow
	fencing         int                         // number of polls in flight to upstreams that are not fenced
	plannedRuns     []*run                      // runs whose upstreams are being recorded before the start is sent
	unresolvedRuns  *orderedMap[*run, struct{}] // runs with a command that may have to be sent again
	store           StoreState
	stateReport     stateReport
	// unrecordedBatch is the highest batch that stores the record of a start that was sent before.
	unrecordedBatch uint64
	// foundBatch is the highest batch that stores what was found of runs that this owner did not start: where they run, and their ends.
	foundBatch uint64
	// heldZones has the zones in which upstreams of the earlier roster are not reconciled, with their number, while the ownership before
	// may have made unrecorded starts.
	heldZones   map[string]int
	newestJob   uint64        // the highest revision at which a known job was stored
	reportedEnd time.Duration // a time by which the ownership before had ended, as its host has reported; 0: it has not
	superseded  bool          // an upstream has seen the fencing token of a later owner
	newestToken uint64        // the highest token that this owner may use

	wantedLabels []string // labels required by waiting tasks of the pool being placed
	avoidSlow    bool     // some upstreams of the pool being placed are slow, most are not
	lastTurn     bool     // jobs in doubt need not leave trials to others any more in this round

	stepEnds     []time.Duration // buffer of criticalPath
	lastBatch    uint64          // number of the last batch of records that TakeRecords returned
	takenAt      time.Duration   // when TakeRecords was called last
	durableBatch uint64          // number of the last batch that is stored
	batchJobs    int             // number of jobs in the last batch that TakeRecords returned
	dirty        *orderedMap[job.ID, *jobState]
	begun        *orderedMap[job.ID, time.Duration] // jobs whose phase is to be stored as active, and when they began
	roster       *orderedMap[string, *upstream]     // changes to be stored, by ID; nil: removed
	retired      []retired
	retiredIDs   map[job.ID]struct{} // jobs in retired
	stats        Stats
}

// retired is an ended job whose records are kept until its retention expires.
type retired struct {
	id      job.ID
	endedMS int64
}

// Stats are counters of the core's actions, and its newest counts of absent tasks.
type Stats struct {
	Starts, Done, Failed, Requeued, Stops, Polls, RejectedStarts, Moves int
	Restarts                                                            int // of upstreams under their IDs
	Doubts                                                              int // about the life of an upstream
	UnrecordedStarts                                                    int // starts that were sent before their records were stored
	// HeldBack is the number of tasks that wait because the ownership before may have started them without a record, as of the last
	// decision.
	HeldBack int
	// TurnsPredicted and TurnsMissed count the predicted turns of demand that began as predicted, and the others.
	TurnsPredicted, TurnsMissed int
	// Long-running tasks that are absent as of the last report: without a run, and with a run on a silent upstream.
	LongRunningWaiting, LongRunningUnconfirmed int
}

type pool struct {
	name      string
	upstreams *orderedMap[string, *upstream]
	byID      []*upstream                  // the upstreams, sorted by ID
	parts     *orderedMap[*part, struct{}] // released parts that are not done
	waiting   waitingParts
	arrived   []arrivedWork
	turn      turnDetector
	// drainMilliCPU is the processors that do the waiting work, as of the last round of sizing; 0: not known.
	drainMilliCPU int64
	// surplusSince is when the pool last had no machines beyond surplusReserve.
	surplusSince time.Duration
	stages       stageTimes
	// nextStageReport is the earliest time of the next log line about the stages of the pool's runs.
	nextStageReport time.Duration
	// nextBacklogReport is the earliest time of the next log line about the pool's waiting tasks.
	nextBacklogReport time.Duration
}

type team struct {
	weight float64
	cap    job.Resources
	used   job.Resources
	// overShare is by how many degrees the team uses more than its share of what all teams use, as of the last round of sizing.
	overShare int
	// reserved is what tasks may be using on upstreams that have not been reached since the claim.
	reserved job.Resources
}

// New returns a core without jobs and upstreams.
func New(options Options) *Core {
	if options.EarlierEnded == 0 {
		options.EarlierEnded = options.Claimed
	}
	if options.EarlierLease == 0 || options.EarlierLease > options.Lease {
		options.EarlierLease = options.Lease
	}
	return &Core{
		Options: options, newestToken: options.Token, store: StoreState{LeaseHeld: true}, heldZones: map[string]int{},
		jobs: newOrderedMap[job.ID, *jobState](), repeated: newOrderedMap[job.ID, *jobState](), largeJobs: newOrderedMap[job.ID, *jobState](), upstreams: newOrderedMap[string, *upstream](), pools: newOrderedMap[string, *pool](),
		teams: map[string]*team{}, queues: map[string]platform.BundleQueue{}, durationRatios: map[string]*durationRatio{},
		window:          startWindow{limit: initialStartWindow},
		newestUpstreams: map[string]*upstream{}, roster: newOrderedMap[string, *upstream](),
		evacuated: map[string]bool{}, dirty: newOrderedMap[job.ID, *jobState](), begun: newOrderedMap[job.ID, time.Duration](),
		unresolvedRuns: newOrderedMap[*run, struct{}](),
		retiredIDs:     map[job.ID]struct{}{}, waves: newOrderedMap[int, *wave](),
		unreached: unreachedRecord{cleared: map[string]uint64{}}, turns: newTurnBook(),
		moves: newOrderedMap[string, *machineMove](), moveRetryAt: map[string]time.Duration{},
		commands: newOrderedMap[string, *machineCommands](), inheritedCommands: map[string]bool{},
	}
}

// SetTime sets the time of the events that follow: monotonic time and Unix milliseconds.
func (c *Core) SetTime(now time.Duration, wallMS int64) { c.now, c.wallMS = now, wallMS }

// LimitLeases sets the latest end of the leases that are granted from now on.
func (c *Core) LimitLeases(end time.Duration) { c.leasesEnd = end }

// Superseded reports whether an upstream has seen the fencing token of a later owner.
func (c *Core) Superseded() bool { return c.superseded }

// Stats returns the current counters.
func (c *Core) Stats() Stats { return c.stats }

// JobCount returns the number of jobs that have not ended.
func (c *Core) JobCount() int { return c.jobs.len() }

// UpstreamCounts returns the number of upstreams with an entry in the store, and how many of them respond to polls.
// Upstreams without an entry are not counted: most of them come from an earlier owner's roster and no longer exist.
func (c *Core) UpstreamCounts() (listed, responding int) {
	for _, up := range c.upstreams.all() {
		if !up.listed {
			continue
		}
		listed++
		if up.fenced && up.failedPolls == 0 {
			responding++
		}
	}
	return listed, responding
}

func (c *Core) pool(name string) *pool {
	p := c.pools.get(name)
	if p == nil {
		p = &pool{name: name, upstreams: newOrderedMap[string, *upstream](), parts: newOrderedMap[*part, struct{}]()}
		c.pools.set(name, p)
	}
	return p
}

// has reports whether the part is released in the pool and not done.
func (p *pool) has(part *part) bool {
	_, ok := p.parts.lookup(part)
	return ok
}

func (p *pool) addUpstream(up *upstream) {
	p.upstreams.set(up.ID, up)
	i, _ := slices.BinarySearchFunc(p.byID, up.ID, func(other *upstream, id string) int { return cmp.Compare(other.ID, id) })
	p.byID = slices.Insert(p.byID, i, up)
}

func (p *pool) removeUpstream(up *upstream) {
	p.upstreams.delete(up.ID)
	p.byID = slices.DeleteFunc(p.byID, func(other *upstream) bool { return other == up })
}

func (c *Core) team(name string) *team {
	t := c.teams[name]
	if t == nil {
		t = &team{}
		c.teams[name] = t
	}
	return t
}

// SetBundle makes a new configuration bundle the current one.
func (c *Core) SetBundle(bundle *platform.Bundle) {
	c.bundleSet = true
	c.queues = make(map[string]platform.BundleQueue, len(bundle.Queues))
	for _, queue := range bundle.Queues {
		c.queues[queue.Name] = queue
		c.anyAdvised = c.anyAdvised || queue.NeedsAdvice
	}
	for _, t := range bundle.Teams {
		c.team(t.Name).cap = t.Cap
		c.team(t.Name).weight = t.Weight
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
	c.Log("bundle applied", "version", bundle.Version, "revision", bundle.Revision, "queues", len(bundle.Queues),
		"teams", len(bundle.Teams))
}

// SetEvacuated sets the zones in which no task may start.
func (c *Core) SetEvacuated(zones []string) {
	if len(zones) == len(c.evacuated) && !slices.ContainsFunc(zones, func(zone string) bool { return !c.evacuated[zone] }) {
		return
	}
	c.evacuated = make(map[string]bool, len(zones))
	for _, zone := range zones {
		c.evacuated[zone] = true
	}
	c.Log("evacuated zones changed", "zones", zones)
}

// Call is a request that the caller of Decide has to carry out.
type Call interface{ isCall() }

// Start requests the start of a run.
type Start struct {
	Target  platform.Target
	Command platform.StartCommand
	// Unrecorded is set if the record of the start is not stored yet: it may be sent only while Unrecorded of StoreState applies.
	Unrecorded bool
	// LifeMS is the start time of the life of the upstream that alone may receive the start (platform.StartOnLife); 0: any may.
	LifeMS int64
	meant
}

// Stop requests the stop of a run.
type Stop struct {
	Target  platform.Target
	Command platform.StopCommand
	meant
}

// Pace requests a change of a run's pace: the percentage of its full speed to which the upstream throttles it.
type Pace struct {
	Target  platform.Target
	Command platform.PaceCommand
	meant
}

// Poll requests a poll of an upstream.
type Poll struct {
	Target  platform.Target
	Request platform.PollRequest
	// NewConnection requests that the connections to the upstream are replaced first: those to an earlier life may be silent.
	NewConnection bool
	seq           uint64
	meant
}

// CloseConnections requests that connections to an address at which no upstream is expected any more are closed.
type CloseConnections struct{ Address string }

func (Start) isCall() {}
func (Stop) isCall()  {}
func (Pace) isCall()  {}
func (Poll) isCall()  {}

func (CloseConnections) isCall() {}

// Decide returns the calls to make now. Call it after events and at regular intervals, because some decisions depend
// on time alone.
func (c *Core) Decide() []Call {
	if c.firstDecision == 0 {
		c.firstDecision = c.now
	}
	c.addDueOccurrences()
	c.openLargeJobs()
	c.expireLeases()
	c.reviewUnreached()
	c.reviewLongLeases()
	c.judgeLosses()
	c.markBegunJobs()
	if c.now >= c.nextReview {
		c.nextReview = c.now + reviewInterval
		c.stopOnDrainingUpstreams()
		c.advanceWaves()
	}
	if c.now >= c.nextRunReview {
		c.nextRunReview = c.now + runReviewInterval
		c.stopOverdue()
		c.adjustPaces()
	}
	c.sizePools()
	c.requestAdvice()
	if c.window.held || c.store.Unrecorded {
		c.sendPlannedStarts()
	}
	c.place()
	c.resendCommands()
	c.pollUpstreams()
	c.reportAbsent()
	c.reportStoreState()
	calls := c.calls
	c.calls = nil
	return calls
}
