package owner

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/operator"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
	"citrongauge.example/citrongauge/steady"
)

const (
	// tick bounds how late the core notices that a time has come.
	tick = 50 * time.Millisecond
	// restFactor times the duration of a decision is the pause after it, within the bounds.
	restFactor = 3
	minRest    = time.Millisecond
	maxRest    = 25 * time.Millisecond
	// storeGap is the shortest time between two writes of progress, which gathers what ends close together.
	storeGap = 30 * time.Millisecond
	// startGap is that time when starts wait for a write.
	startGap = 10 * time.Millisecond
	// watchGap is the pause between two watches, which gathers changes into fewer calls. Jobs are announced by the hosts
	// that accept them; the watch brings what was not.
	watchGap = 150 * time.Millisecond
	// watchWait bounds how long a silent connection stays unnoticed.
	watchWait     = 1500 * time.Millisecond
	readTimeout   = time.Second
	storePatience = 20 * time.Second // of one write; the ownership ends sooner if the store is away
	orderTimeout  = 500 * time.Millisecond
	lookTimeout   = 500 * time.Millisecond
	eventBuffer   = 1024
	pendingGap    = 700 * time.Millisecond
	// listGap is the pause between two readings of the list of machines while a wave is open. A machine that comes
	// back is noticed by its upstream's entry; the list shows machines that have gone, and their pools.
	listGap        = 2 * time.Second
	idleListGap    = 8 * time.Second
	machineTimeout = 1500 * time.Millisecond
	// upstreamLease is how long tasks run on without word from the owner. It rides out a change of owner and a short
	// outage of the store; a task on an upstream that was cut off starts again elsewhere after it.
	upstreamLease = 5 * time.Second
	// yieldGrace is the shortest time after the claim at which an owner yields. It is longer than the leases of an earlier
	// owner's tasks: a series of short ownerships would never start what may run unseen.
	yieldGrace = 8 * time.Second
	// yieldAfter is how long an owner may fail to reach most upstreams before it gives up the ownership.
	yieldAfter = 1500 * time.Millisecond
)

// session is one ownership, from the claim to its end.
type session struct {
	*Owner
	ownership *ledger.Ownership
	lease     *leaseKeeper
	core      *schedule.Core
	events    chan func(*session)
	failure   error

	storing     bool
	storeAgain  time.Duration
	roster      []platform.Upstream // to be stored
	pendingAt   time.Duration
	pendingSent map[string]int
	bundle      *platform.Bundle
	claimed     time.Duration
	weakSince   time.Duration
	operatorNow *operator.State
	waves       map[int]schedule.WaveRecord
	listing     bool
	listAgain   time.Duration
}

func newSession(o *Owner, ownership *ledger.Ownership, lease *leaseKeeper) *session {
	r := &session{Owner: o, ownership: ownership, lease: lease, events: make(chan func(*session), eventBuffer)}
	bounds := *o.bounds.Load()
	r.claimed = steady.Now()
	r.core = schedule.New(schedule.Options{
		Bounds: bounds, Lease: min(upstreamLease, bounds.MaxLease),
		Generation: ownership.Generation, Token: ownership.Token, Claimed: r.claimed, Log: o.Log,
	})
	r.core.Observe = o.Observe.JobEnded
	return r
}

// run loads the state and handles events until ctx ends or the ownership is lost.
func (r *session) run(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	if err := r.load(ctx); err != nil {
		r.failure = errors.Wrap(err, "load")
		return
	}
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		changed := r.Operator.Changed()
		begin := steady.Now()
		r.core.At(begin, steady.WallMS())
		r.takeOperator(r.Operator.State())
		if !r.step(ctx) {
			return
		}
		took := steady.Now() - begin
		select {
		case <-ctx.Done():
			return
		case event := <-r.events:
			r.core.At(steady.Now(), steady.WallMS())
			event(r)
			rest(ctx, took)
			r.drain()
		case <-ticker.C:
		case <-changed:
		}
	}
}

// rest pauses in proportion to the time that the last decision took, so that under load one decision serves many
// events. A decision over a large fleet takes milliseconds.
func rest(ctx context.Context, took time.Duration) {
	steady.Sleep(ctx, min(max(restFactor*took, minRest), maxRest))
}

// drain handles the events that wait, so that one decision serves them all.
func (r *session) drain() {
	for {
		select {
		case event := <-r.events:
			event(r)
		default:
			return
		}
	}
}

// step decides and sends. It returns false when the ownership is over.
func (r *session) step(ctx context.Context) bool {
	if r.failure != nil {
		return false
	}
	if !r.lease.valid() {
		r.failure = errors.New("lease not renewed in time")
		return false
	}
	if r.core.Superseded() {
		r.failure = errors.New("an upstream has seen a higher token")
		return false
	}
	listed, answering := r.core.Upstreams()
	if r.isWeak(listed, answering) {
		r.failure = errYielded
		return false
	}
	for _, call := range r.core.Decide() {
		r.send(ctx, call)
	}
	r.store(ctx)
	r.listMachines(ctx)
	r.Observe.Counts(r.core.Stats(), r.core.Jobs(), listed)
	return true
}

// isWeak reports whether most upstreams have not been reachable for some time, so that another host may do better.
func (r *session) isWeak(listed, answering int) bool {
	now := steady.Now()
	if listed == 0 || 2*answering >= listed || now < r.claimed+yieldGrace {
		r.weakSince = 0
		return false
	}
	if r.weakSince == 0 {
		r.weakSince = now
	}
	return now-r.weakSince > yieldAfter
}

// post hands an event to the loop, or drops it when the ownership is over.
func (r *session) post(ctx context.Context, event func(*session)) {
	select {
	case r.events <- event:
	case <-ctx.Done():
	}
}

// takeOperator puts changes of the operator's state into force.
func (r *session) takeOperator(state *operator.State) {
	if state == r.operatorNow {
		return
	}
	r.operatorNow = state
	r.core.SetWaves(state.Waves, r.waves)
	if state.Bundle != nil && state.Bundle != r.bundle {
		r.bundle = state.Bundle
		r.core.SetBundle(state.Bundle)
	}
	r.core.SetEvacuated(state.Evacuated)
}

// send carries out a call of the core in the background and hands its answer to the loop.
func (r *session) send(ctx context.Context, call schedule.Call) {
	go func() {
		if event := r.carryOut(ctx, call); event != nil {
			r.post(ctx, event)
		}
	}()
}

func (r *session) carryOut(ctx context.Context, call schedule.Call) func(*session) {
	switch call := call.(type) {
	case schedule.Start:
		clock, err := r.Upstreams.Start(ctx, call.Target, call.Order, orderTimeout)
		return func(r *session) { r.core.Started(call, clock, err) }
	case schedule.Stop:
		clock, err := r.Upstreams.Stop(ctx, call.Target, call.Order, orderTimeout)
		return func(r *session) { r.core.Stopped(call, clock, err) }
	case schedule.Pace:
		_, err := r.Upstreams.Pace(ctx, call.Target, call.Order, orderTimeout)
		return func(r *session) { r.core.Paced(call, err) }
	case schedule.Look:
		lists, err := r.Upstreams.Look(ctx, call.Target, call.Order, lookTimeout)
		return func(r *session) { r.core.Looked(call, lists, err) }
	case schedule.Forget:
		r.Upstreams.Forget(call.Address)
	case schedule.Ask:
		return r.askAdvice(ctx, call)
	case schedule.Upkeep:
		err := r.Machines.Upkeep(ctx, r.holder(call.Number), call.Machine, call.Wave, machineTimeout)
		return func(r *session) { r.core.UpkeepAnswered(call, err) }
	case schedule.Move:
		err := r.Machines.Move(ctx, r.holder(call.Number), call.Machine, call.Pool, machineTimeout)
		return func(r *session) { r.core.MoveAnswered(call, err) }
	}
	return nil
}

// ordersPerOwner bounds the orders for machines of one ownership; their numbers follow the ownership's token.
const ordersPerOwner = 1 << 20

func (r *session) holder(number uint64) platform.Holder {
	return platform.Holder{Host: r.Host, Token: r.ownership.Token*ordersPerOwner + number}
}

func (r *session) askAdvice(ctx context.Context, ask schedule.Ask) func(*session) {
	if r.Advice == nil {
		return func(r *session) { r.core.Advised(ask, platform.Tickets{}, errors.New("no advice service is known")) }
	}
	tickets, err := r.Advice.Ask(ctx, ask.Job, ask.Occurrence, ask.Step, ask.Upstreams, ask.Timeout)
	return func(r *session) { r.core.Advised(ask, tickets, err) }
}

// listMachines reads the list of machines in the background, more often while a wave is open.
func (r *session) listMachines(ctx context.Context) {
	now := steady.Now()
	if r.Machines == nil || r.listing || now < r.listAgain {
		return
	}
	r.listing = true
	go func() {
		machines, err := r.Machines.List(ctx, machineTimeout)
		r.post(ctx, func(r *session) {
			r.listing, r.listAgain = false, steady.Now()+idleListGap
			if r.core.WavesOpen() || err != nil {
				r.listAgain = steady.Now() + listGap
			}
			if err != nil {
				r.Log("list of machines not read", "error", err.Error())
				return
			}
			r.core.SetMachines(machines)
		})
	}()
}
