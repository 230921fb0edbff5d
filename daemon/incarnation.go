package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/admission"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/grant"
	"citrongauge.example/citrongauge/requestid"
)

const (
	incarnationIDBytes = 6
	// Limits of the request ID table.
	maxTableEntries     = 200000
	maxTableAnswerBytes = 64 << 20
	// releaseInterval is the interval at which the scheduler is run while requests wait.
	releaseInterval = 5 * time.Millisecond
	// preemptInterval is the interval at which the scheduler looks for tasks to preempt.
	preemptInterval = 100 * time.Millisecond
)

// incarnation is one membership of this process in the fleet. A host that was evicted and cleared rejoins as a new
// incarnation. Grants and request IDs belong to an incarnation and end with it.
type incarnation struct {
	d    *Daemon
	self control.Member
	ctx  context.Context
	stop context.CancelFunc

	loop         *controlLoop
	slotLimiter  *grant.SlotLimiter
	grantManager *grant.Manager // used only by the control goroutine
	scheduler    *admission.Scheduler
	issuer       *requestid.Issuer
	requestTable *requestid.Table
	peerLoads    *peerLoads
	sentLoads    map[string]sentLoad // by neighbour and zone; used only by the control goroutine
	rolloutTimes *rolloutTimes
	// lastHistoryVersion is the last bundle version written to the history. Only the control goroutine uses it.
	lastHistoryVersion uint64

	schedulerWake  chan struct{}  // wakes the goroutine of runScheduler
	activeRequests sync.WaitGroup // the running calls of runEntry
	leftRoster     chan struct{}  // closed when the host has left the roster
	// runningMu guards runningTasks, the dispatched tasks.
	runningMu         sync.Mutex
	runningTasks      map[*runningTask]struct{}
	lastGrantDecision time.Time // used only by the control goroutine
	nextLoadReport    time.Time // used only by the control goroutine
	nextCapCheck      time.Time // used only by the control goroutine
	replaceOnce       sync.Once // replaces this incarnation at most once
}

func newIncarnationID() string {
	id := make([]byte, incarnationIDBytes)
	_, _ = rand.Read(id) // crypto/rand.Read never returns an error
	return hex.EncodeToString(id)
}

// newNonce returns a random ID, by which a write to the control record is recognized.
func newNonce() string { return newIncarnationID() + newIncarnationID() }

func (d *Daemon) newIncarnation(ctx context.Context) (*incarnation, error) {
	now := time.Now()
	inc := &incarnation{
		d:             d,
		self:          control.Member{ID: newIncarnationID(), Zone: d.settings.Zone, Address: d.settings.PeerAddress},
		slotLimiter:   grant.NewSlotLimiter(),
		peerLoads:     newPeerLoads(d.settings.Zone),
		schedulerWake: make(chan struct{}, 1),
		leftRoster:    make(chan struct{}),
		runningTasks:  make(map[*runningTask]struct{}),
		sentLoads:     make(map[string]sentLoad),
	}
	inc.ctx, inc.stop = context.WithCancel(ctx)
	issuer, err := requestid.NewIssuer(inc.self.ID, now, d.secret)
	if err != nil {
		return nil, errors.Wrap(err, "issuer")
	}
	inc.issuer = issuer
	inc.requestTable = requestid.NewTable(inc.self.ID, now, maxTableEntries, maxTableAnswerBytes)
	inc.grantManager = grant.NewManager(inc.self.ID, inc.slotLimiter, uint64(now.UnixNano()))
	inc.scheduler = admission.New(inc.slotLimiter.TryAcquire)
	inc.rolloutTimes = newRolloutTimes()
	inc.loop = inc.newLoop()
	return inc, nil
}

func (inc *incarnation) newLoop() *controlLoop {
	d := inc.d
	return &controlLoop{
		core: control.New(control.Options{
			Self: inc.self, VerifyBundle: d.verifyBundle, NewNonce: newNonce, SeedAddresses: d.settings.Seeds,
		}),
		store: d.store, node: d.node, verifySigned: d.verifySigned, log: d.log.With("component", "control", "host", inc.self.ID),
		events: make(chan control.Event, eventQueueLength), funcs: make(chan func(time.Time)),
		neighbours:   make(map[control.Member]time.Time),
		writeWaiters: make(map[string]func(control.WriteResult)),
		onAdopted:    inc.handleAdopted,
		onEvicted:    inc.handleEvicted,
		onLeft:       func() { close(inc.leftRoster) },
		onTick:       inc.handleTick,
		onAccepted:   inc.rolloutTimes.noteAccepted,
	}
}

// start joins the fleet and starts the control, scheduler and maintenance goroutines.
func (inc *incarnation) start() {
	inc.loop.post(control.Join{})
	go inc.loop.run(inc.ctx)
	go inc.runScheduler()
	go (&maintainer{inc: inc}).run(inc.ctx)
}

// handleAdopted applies a newly adopted control record. It runs on the control goroutine.
func (inc *incarnation) handleAdopted(now time.Time, s *controlState) {
	if s.index == nil {
		return
	}
	inc.d.routingTable.Update(s.record, s.index.Bundle, now)
	inc.scheduler.Configure(schedulerConfig(s))
	inc.stepGrants(now, grant.Config{Record: s.record, Caps: grant.CapsOf(s.index.Bundle)})
	inc.d.metrics.setControlState(s)
	inc.enforceWithdrawals(s)
	clear(inc.sentLoads) // the neighbours and the indexes of pools and teams may have changed
	inc.rolloutTimes.noteAdopted(now, s.record)
	if inc.loop.core.IsRelay() && inc.lastHistoryVersion != s.record.BundleVersion {
		inc.lastHistoryVersion = s.record.BundleVersion
		go inc.writeHistory(s.record)
	}
	inc.wakeScheduler()
}

// handleTick makes the periodic grant decisions, cap checks and load reports. It runs on the control goroutine.
func (inc *incarnation) handleTick(now time.Time) {
	if now.Sub(inc.lastGrantDecision) >= inc.grantInterval(now) {
		inc.lastGrantDecision = now
		inc.stepGrants(now, grant.Demand{Teams: inc.waitingByTeam()})
		inc.stepGrants(now, grant.PeerDemand{Teams: inc.peerLoads.peerUse(now)})
		inc.stepGrants(now, grant.Tick{StoreConfirmedAt: inc.loop.core.StoreConfirmedAt()})
	}
	inc.rolloutTimes.noteConfirmed(now, inc.loop.core)
	if now.After(inc.nextCapCheck) {
		inc.nextCapCheck = now.Add(capCheckInterval)
		inc.enforceCaps()
	}
	if now.After(inc.nextLoadReport) {
		inc.nextLoadReport = now.Add(loadReportInterval)
		inc.publishLoads(now)
	}
}

// idleGrantInterval is the interval of grant decisions while no request waits here or elsewhere. With many teams
// these decisions are the largest part of an idle host's work.
const idleGrantInterval = 250 * time.Millisecond

func (inc *incarnation) grantInterval(now time.Time) time.Duration {
	if inc.scheduler.HasWaiting() || inc.peerLoads.hasUnmetDemand(now) {
		return grant.TickInterval
	}
	return idleGrantInterval
}

func (inc *incarnation) stepGrants(now time.Time, ev grant.Event) {
	for _, effect := range inc.grantManager.Step(now, ev) {
		go inc.runGrantEffect(effect)
	}
}

func (inc *incarnation) runGrantEffect(effect grant.Effect) {
	event := effect.Run(inc.ctx, inc.d.store)
	_ = inc.loop.do(inc.ctx, func(now time.Time) {
		inc.stepGrants(now, event)
		inc.wakeScheduler()
	})
}

// waitingByTeam returns the demand that waits on this host, for every team of the bundle.
func (inc *incarnation) waitingByTeam() map[string]grant.TeamDemand {
	teams := make(map[string]grant.TeamDemand)
	if s := inc.loop.state.Load(); s != nil && s.index != nil {
		for _, t := range s.index.Bundle.Teams {
			teams[t.Name] = grant.TeamDemand{}
		}
	}
	for _, w := range inc.scheduler.Backlogs() {
		teams[w.Team] = grant.TeamDemand{Slots: w.Slots, SmallestTask: w.SmallestTask}
	}
	return teams
}

// schedulerConfig returns the capacity of each pool, without hosts and zones that are out of service, and the weights of
// the teams.
func schedulerConfig(s *controlState) admission.Config {
	config := admission.Config{Pools: make(map[string]admission.PoolConfig), Weights: make(map[string]int)}
	for _, a := range s.record.Assignments {
		host := s.index.Host(a.Host)
		if host == nil || a.State != control.InService {
			continue
		}
		if zone := s.index.Zone(host.Zone); zone == nil || zone.OutOfService {
			continue
		}
		pool := config.Pools[a.Pool]
		pool.Capacity = admission.SumSizes(pool.Capacity, host.Capacity)
		config.Pools[a.Pool] = pool
	}
	for _, t := range s.index.Bundle.Teams {
		config.Weights[t.Name] = t.Share
	}
	return config
}

func (inc *incarnation) wakeScheduler() {
	select {
	case inc.schedulerWake <- struct{}{}:
	default:
	}
}

// runScheduler releases waiting requests whenever load or capacity may have changed. While no request waits it wakes
// up only for preemption: a fixed short interval caused most of the wake-ups of an idle daemon.
func (inc *incarnation) runScheduler() {
	timer := time.NewTimer(preemptInterval)
	defer timer.Stop()
	var preemptAt time.Time
	for {
		select {
		case <-inc.ctx.Done():
			return
		case <-inc.schedulerWake:
		case <-timer.C:
		}
		now := time.Now()
		if now.After(preemptAt) {
			preemptAt = now.Add(preemptInterval)
			inc.scheduler.Preempt(now)
		}
		if !inc.scheduler.HasWaiting() {
			timer.Reset(preemptInterval)
			continue
		}
		inc.scheduler.Release(now)
		timer.Reset(releaseInterval)
	}
}

// handleEvicted replaces this incarnation with a new one, see replaceIncarnation. Its running work is stopped, since no host may renew the
// leases of that work.
func (inc *incarnation) handleEvicted() {
	inc.replaceOnce.Do(func() { go inc.d.replaceIncarnation(inc) })
}
