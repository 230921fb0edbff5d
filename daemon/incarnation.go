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
	maxEntries         = 200000
	maxAnswerBytes     = 64 << 20
	schedulerInterval  = 5 * time.Millisecond
	preemptInterval    = 100 * time.Millisecond
)

// incarnation is one membership of this process in the fleet. A host that was evicted and cleared comes back
// as a new incarnation: its old grants and request IDs belong to the old one and end with it.
type incarnation struct {
	d    *Daemon
	self control.Member
	ctx  context.Context
	stop context.CancelFunc

	loop      *controlLoop
	account   *grant.Account
	grants    *grant.Manager // belongs to the control goroutine
	scheduler *admission.Scheduler
	issuer    *requestid.Issuer
	table     *requestid.Table
	loads     *loadBook
	sentLoads map[string]sentLoad // by neighbour and zone, on the control goroutine
	rollouts  *rolloutTimes
	// historyVersion is the last version written to the history, on the control goroutine.
	historyVersion uint64

	wake  chan struct{} // wakes the scheduler goroutine
	tasks sync.WaitGroup
	left  chan struct{}
	// runningMu guards running, the dispatched tasks.
	runningMu sync.Mutex
	running   map[*runningTask]struct{}
	grantsAt  time.Time // last grant decisions, on the control goroutine
	tellAt    time.Time // next report of load, on the control goroutine
	capAt     time.Time // next comparison with lowered caps, on the control goroutine
	evicted   sync.Once
}

func newIncarnationID() string {
	id := make([]byte, incarnationIDBytes)
	_, _ = rand.Read(id) // never fails, see crypto/rand
	return hex.EncodeToString(id)
}

func newNonce() string { return newIncarnationID() + newIncarnationID() }

func (d *Daemon) newIncarnation(ctx context.Context) (*incarnation, error) {
	now := time.Now()
	inc := &incarnation{
		d:         d,
		self:      control.Member{ID: newIncarnationID(), Zone: d.settings.Zone, Address: d.settings.PeerAddress},
		account:   grant.NewAccount(),
		loads:     newLoadBook(d.settings.Zone),
		wake:      make(chan struct{}, 1),
		left:      make(chan struct{}),
		running:   make(map[*runningTask]struct{}),
		sentLoads: make(map[string]sentLoad),
	}
	inc.ctx, inc.stop = context.WithCancel(ctx)
	issuer, err := requestid.NewIssuer(inc.self.ID, now, d.secret)
	if err != nil {
		return nil, errors.Wrap(err, "issuer")
	}
	inc.issuer = issuer
	inc.table = requestid.NewTable(inc.self.ID, now, maxEntries, maxAnswerBytes)
	inc.grants = grant.NewManager(inc.self.ID, inc.account, uint64(now.UnixNano()))
	inc.scheduler = admission.New(inc.account.TryAcquire)
	inc.rollouts = newRolloutTimes()
	inc.loop = inc.newLoop()
	return inc, nil
}

func (inc *incarnation) newLoop() *controlLoop {
	d := inc.d
	return &controlLoop{
		core: control.New(control.Options{
			Self: inc.self, VerifyBundle: d.verifyBundle, Nonce: newNonce, Seeds: d.settings.Seeds,
		}),
		store: d.store, node: d.node, verify: d.verifySigned, log: d.log.With("component", "control", "host", inc.self.ID),
		events: make(chan control.Event, eventQueueLength), calls: make(chan func(time.Time)),
		neighbours: make(map[control.Member]time.Time),
		waiting:    make(map[string]func(control.WriteResult)),
		onAdopted:  inc.adopted,
		onEvicted:  inc.evict,
		onLeft:     func() { close(inc.left) },
		onTick:     inc.tick,
		onAccepted: inc.rollouts.accepted,
	}
}

// start joins the fleet and begins to work.
func (inc *incarnation) start() {
	inc.loop.post(control.Join{})
	go inc.loop.run(inc.ctx)
	go inc.schedule()
	go (&maintainer{inc: inc}).run(inc.ctx)
}

// adopted takes over a new record. It runs on the control goroutine.
func (inc *incarnation) adopted(now time.Time, s *state) {
	if s.index == nil {
		return
	}
	inc.d.table.Update(s.record, s.index.Bundle, now)
	inc.scheduler.Configure(schedulerConfig(s))
	inc.stepGrants(now, grant.Config{Record: s.record, Caps: grant.CapsOf(s.index.Bundle)})
	inc.d.metrics.adopted(s)
	inc.enforce(s)
	clear(inc.sentLoads) // neighbours and numbers may have changed
	inc.rollouts.adopted(now, s.record)
	if inc.loop.core.IsRelay() && inc.historyVersion != s.record.BundleVersion {
		inc.historyVersion = s.record.BundleVersion
		go inc.writeHistory(s.record)
	}
	inc.wakeScheduler()
}

// tick runs on the control goroutine.
func (inc *incarnation) tick(now time.Time) {
	if now.Sub(inc.grantsAt) >= inc.grantInterval(now) {
		inc.grantsAt = now
		inc.stepGrants(now, grant.Demand{Teams: inc.demand()})
		inc.stepGrants(now, grant.PeerDemand{Teams: inc.loads.peerUse(now)})
		inc.stepGrants(now, grant.Tick{FreshAt: inc.loop.core.FreshAt()})
	}
	inc.rollouts.observe(now, inc.loop.core)
	if now.After(inc.capAt) {
		inc.capAt = now.Add(capInterval)
		inc.enforceCaps()
	}
	if now.After(inc.tellAt) {
		inc.tellAt = now.Add(loadInterval)
		inc.tellLoads(now)
	}
}

// restGrantInterval is the interval of grant decisions while nothing waits here or elsewhere. They are the largest part
// of an idle host's work at the size of many teams.
const restGrantInterval = 250 * time.Millisecond

func (inc *incarnation) grantInterval(now time.Time) time.Duration {
	if inc.scheduler.HasWaiting() || inc.loads.hasUnmet(now) {
		return grant.TickInterval
	}
	return restGrantInterval
}

func (inc *incarnation) stepGrants(now time.Time, ev grant.Event) {
	for _, effect := range inc.grants.Step(now, ev) {
		go inc.performGrant(effect)
	}
}

func (inc *incarnation) performGrant(effect grant.Effect) {
	answer := effect.Run(inc.ctx, inc.d.store)
	_ = inc.loop.call(inc.ctx, func(now time.Time) {
		inc.stepGrants(now, answer)
		inc.wakeScheduler()
	})
}

// demand is what waits on this host, by team.
func (inc *incarnation) demand() map[string]grant.Waiting {
	teams := make(map[string]grant.Waiting)
	if s := inc.loop.state.Load(); s != nil && s.index != nil {
		for _, t := range s.index.Bundle.Teams {
			teams[t.Name] = grant.Waiting{}
		}
	}
	for _, w := range inc.scheduler.Waiting() {
		teams[w.Team] = grant.Waiting{Slots: w.Slots, Next: w.Smallest}
	}
	return teams
}

func schedulerConfig(s *state) admission.Config {
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
		pool.Capacity = admission.Sizes(pool.Capacity, host.Capacity)
		config.Pools[a.Pool] = pool
	}
	for _, t := range s.index.Bundle.Teams {
		config.Weights[t.Name] = t.Share
	}
	return config
}

func (inc *incarnation) wakeScheduler() {
	select {
	case inc.wake <- struct{}{}:
	default:
	}
}

// schedule releases waiting requests whenever something may have changed. While nothing waits it wakes up only for
// preemption: a fixed short interval made most of the wake-ups of an idle daemon.
func (inc *incarnation) schedule() {
	timer := time.NewTimer(preemptInterval)
	defer timer.Stop()
	var preemptAt time.Time
	for {
		select {
		case <-inc.ctx.Done():
			return
		case <-inc.wake:
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
		timer.Reset(schedulerInterval)
	}
}

// evict replaces this incarnation by a new one. Its running work is stopped, since nobody may renew it.
func (inc *incarnation) evict() {
	inc.evicted.Do(func() { go inc.d.replace(inc) })
}
