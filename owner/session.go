package owner

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/clock"
	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/operator"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

const (
	// tickInterval bounds how late the decision core acts on a timeout.
	tickInterval = 50 * time.Millisecond
	// The pause after a decision is decisionPauseFactor times its duration, but at least minDecisionPause and at most
	// maxDecisionPause.
	decisionPauseFactor = 10
	minDecisionPause    = time.Millisecond
	maxDecisionPause    = 25 * time.Millisecond
	// storeInterval is the shortest time between two writes of progress. It batches tasks that end close together.
	storeInterval = 30 * time.Millisecond
	// urgentStoreInterval replaces storeInterval while starts or machine commands wait for a write.
	urgentStoreInterval = 10 * time.Millisecond
	// watchPause is the pause between two watch calls. It batches changes into fewer calls, which delays few jobs: the
	// hosts that accept them announce them to the owner, and the watch delivers only those whose announcement was lost.
	watchPause = 150 * time.Millisecond
	// watchBatch is the number of changes in a response from which the next call follows without a pause: the watch may be
	// behind, and the calls need no batching.
	watchBatch = 100
	// watchWait is the longest time that one watch call waits for a change. It bounds how long a dead connection to the
	// store goes unnoticed.
	watchWait       = 1500 * time.Millisecond
	readTimeout     = time.Second
	storeTimeout    = 20 * time.Second // of one batch; if the store is unavailable, the lease expires before that
	commandTimeout  = 500 * time.Millisecond
	pollTimeout     = 500 * time.Millisecond
	eventBuffer     = 1024                   // number of events that wait for the event loop
	pendingInterval = 700 * time.Millisecond // shortest time between two writes of the counts of pending jobs
	// listInterval is the pause between two reads of the machine list while a wave is open or after a failed read.
	// The list shows which machines are missing and to which pools machines belong; a machine that returns is
	// detected by its upstream's entry.
	listInterval     = 2 * time.Second
	idleListInterval = 8 * time.Second
	machineTimeout   = 1500 * time.Millisecond
	// upstreamLease is how long tasks keep running on an upstream that receives nothing from the owner. It is long
	// enough for a change of owner and a short outage of the store. A task on an unreachable upstream is started again
	// elsewhere only after this lease has expired.
	upstreamLease = 5 * time.Second
	// minAgeToYield is the shortest time after the claim at which an owner yields. It is longer than the lease of
	// tasks of an earlier owner: tasks that may still run on an unreachable upstream are started again only after
	// that lease, so a series of shorter ownerships would never start them.
	minAgeToYield = 8 * time.Second
	// yieldTimeout is how long most upstreams must be unreachable before the owner gives up the ownership.
	yieldTimeout = 1500 * time.Millisecond
)

// session is the state of one ownership, from the claim to its end. The core and the fields after events are used only
// by the goroutine of run; other goroutines send functions to events.
type session struct {
	*Owner
	ownership *ledger.Ownership
	lease     *leaseKeeper
	earlier   ledger.OwnerRecord // of the ownership before; empty: not known
	core      *schedule.Core
	events    chan func(*session)
	failure   error

	storing          bool
	nextStore        time.Duration // storeInterval after the end of the last write
	termsStored      bool          // the store has, or is about to have, the terms of this ownership
	oldRosterStored  bool          // the store still has the roster of an earlier version
	nextPendingWrite time.Duration
	lastPending      map[string]int
	bundle           *platform.Bundle
	claimedAt        time.Duration
	unreachableSince time.Duration
	operatorState    *operator.State
	storedWaves      map[int]schedule.WaveRecord
	helpers          helpers
	permits          permits
	earlierPermits   earlierPermits
	gate             writeGate
	watches          watchCalls
	progress         loopProgress
	newestWrite      atomic.Uint64 // revision of the newest write that is known to have been executed
	listing          bool
	lastList         time.Duration // when the machine list was read last
	listFailed       bool          // the last read of the machine list failed
}

// newSession returns the session of an ownership. earlierEnded is a time by which the one before had ended, and earlierLease the
// longest lease from then on, see schedule.Options.
func newSession(o *Owner, ownership *ledger.Ownership, lease *leaseKeeper, earlierEnded, earlierLease time.Duration) *session {
	s := &session{Owner: o, ownership: ownership, lease: lease, events: make(chan func(*session), eventBuffer), helpers: helpers{}}
	bounds := *o.bounds.Load()
	s.claimedAt = clock.Now()
	s.permits = newPermits(ownership, s.claimedAt)
	s.earlierPermits = newEarlierPermits(ownership.EarlierWitnesses, s.claimedAt)
	if o.predecessor.diedOn(o.Host, o.Process, ownership) {
		s.earlierPermits.noteEnd(o.startedAt)
	}
	s.core = schedule.New(schedule.Options{
		Bounds: bounds, Lease: min(upstreamLease, bounds.MaxLease),
		Generation: ownership.Generation, Token: ownership.Token, Claimed: s.claimedAt, EarlierEnded: earlierEnded, EarlierLease: earlierLease,
		Zones: zonesOf(ownership.EarlierWitnesses, o.Settings.Zones), UnrecordedUntil: s.earlierPermits.until,
		Log:            o.Log,
		KnownLeaseEnds: o.last.Load().knownLeaseEnds(ownership.Generation),
	})
	s.core.Observe = o.Observe.JobEnded
	return s
}

// run loads the stored state and runs the event loop until ctx ends or the ownership is lost.
func (s *session) run(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	defer s.permits.close()
	s.queryWitnesses(ctx)
	if err := s.load(ctx); err != nil {
		s.failure = errors.Wrap(err, "load")
		return
	}
	if s.ownership.EarlierWitnesses != nil {
		s.handleQueuedEvents() // a witness may have responded
	}
	s.inheritLastOwnership()
	if s.earlier.Address != "" && s.earlier.Process != s.Process {
		go s.fetchEarlierLeases(ctx)
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		changed := s.Operator.Changed()
		goesOn := false
		took := s.step("decision", func() {
			s.core.SetTime(clock.Now(), clock.WallMS())
			s.applyOperatorState(s.Operator.State())
			goesOn = s.decideAndSend(ctx)
		})
		if !goesOn {
			return
		}
		select {
		case <-ctx.Done():
			return
		case event := <-s.events:
			s.handleEvent(event)
			pauseAfterDecision(ctx, took)
			s.handleQueuedEvents()
		case <-ticker.C:
		case <-changed:
		}
	}
}

// pauseAfterDecision sleeps in proportion to the duration of the last decision, so that under load one decision covers
// many events. A decision for a large fleet takes milliseconds.
func pauseAfterDecision(ctx context.Context, took time.Duration) {
	clock.Sleep(ctx, decisionPause(took))
}

// decisionPause returns the pause after a decision that took the given time.
func decisionPause(took time.Duration) time.Duration {
	return min(max(decisionPauseFactor*took, minDecisionPause), maxDecisionPause)
}

// handleQueuedEvents handles all queued events without blocking, so that one decision covers them all.
func (s *session) handleQueuedEvents() {
	for {
		select {
		case event := <-s.events:
			s.handleEvent(event)
		default:
			return
		}
	}
}

// handleEvent handles an event with the time of its handling. An earlier time would make an upstream's clock, which a
// response reports, appear to be ahead: its lease would be taken for over before its end.
func (s *session) handleEvent(event func(*session)) {
	s.step("event", func() {
		s.core.SetTime(clock.Now(), clock.WallMS())
		event(s)
	})
}

// decideAndSend runs one decision, sends the resulting calls and starts due writes. It returns false when the ownership
// is over.
func (s *session) decideAndSend(ctx context.Context) bool {
	if s.failure != nil {
		return false
	}
	s.stepPermits(ctx)
	if !s.mayAct() {
		s.failure = errors.New("neither the lease nor the permits are valid")
		return false
	}
	if s.isTurnedAway() {
		s.failure = errTurnedAway
		return false
	}
	if s.core.Superseded() {
		s.failure = errors.New("an upstream has seen a higher fencing token")
		return false
	}
	listed, responding := s.core.UpstreamCounts()
	if s.mostUpstreamsUnreachable(listed, responding) {
		s.failure = errYielded
		return false
	}
	s.core.LimitLeases(s.leasesEnd())
	for _, call := range s.core.Decide() {
		s.send(ctx, call)
	}
	s.storeChanges(ctx)
	s.listMachines(ctx)
	s.Observe.Counts(s.core.Stats(), s.core.JobCount(), listed)
	return true
}

// mostUpstreamsUnreachable reports whether more than half of the listed upstreams have been unreachable for longer than
// yieldTimeout, in which case another host may reach more of them.
func (s *session) mostUpstreamsUnreachable(listed, responding int) bool {
	now := clock.Now()
	if listed == 0 || 2*responding >= listed || now < s.claimedAt+minAgeToYield {
		s.unreachableSince = 0
		return false
	}
	if s.unreachableSince == 0 {
		s.unreachableSince = now
	}
	return now-s.unreachableSince > yieldTimeout
}

// post queues an event for the event loop. It blocks while the queue is full, and drops the event when ctx ends.
func (s *session) post(ctx context.Context, event func(*session)) {
	select {
	case s.events <- event:
	case <-ctx.Done():
	}
}

// applyOperatorState passes a changed operator state to the core.
func (s *session) applyOperatorState(state *operator.State) {
	if state == s.operatorState {
		return
	}
	s.operatorState = state
	s.core.SetWaves(state.Waves, s.storedWaves)
	if state.Bundle != nil && state.Bundle != s.bundle {
		s.bundle = state.Bundle
		s.core.SetBundle(state.Bundle)
	}
	s.core.SetEvacuated(state.Evacuated)
}

// errLeaseUncertain is the result of a call that was not sent because the lease may have expired.
var errLeaseUncertain = errors.Wrap(platform.ErrNotExecuted, "the lease may have expired")

// send makes a call for the core in a new goroutine and posts its result to the event loop. The process may have been
// paused since the decision, so a call whose lease may have expired meanwhile is not sent. The core learns of that as well:
// the response to a renewal may come a moment later, and then the ownership goes on.
func (s *session) send(ctx context.Context, call schedule.Call) {
	mayMake := s.rightTo(call)
	go func() {
		if !mayMake() {
			s.post(ctx, func(s *session) { s.handleNotSent(call) })
			return
		}
		if event := s.execute(ctx, call); event != nil {
			s.post(ctx, event)
		}
	}()
}

func (s *session) handleNotSent(call schedule.Call) {
	s.Log("call not sent: the lease may have expired", "call", fmt.Sprintf("%T", call), "left_ms", s.lease.remaining().Milliseconds())
	s.core.HandleNotSent(call, errLeaseUncertain)
}

func (s *session) execute(ctx context.Context, call schedule.Call) func(*session) {
	switch call := call.(type) {
	case schedule.Start:
		reportedClock, err := s.start(ctx, call)
		return func(s *session) { s.core.HandleStartResult(call, reportedClock, err) }
	case schedule.Stop:
		reportedClock, err := s.Upstreams.Stop(ctx, call.Target, call.Command, commandTimeout)
		return func(s *session) { s.core.HandleStopResult(call, reportedClock, err) }
	case schedule.Pace:
		_, err := s.Upstreams.Pace(ctx, call.Target, call.Command, commandTimeout)
		return func(s *session) { s.core.HandlePaceResult(call, err) }
	case schedule.Poll:
		if call.NewConnection {
			s.Upstreams.CloseConnections(call.Target.Address)
		}
		result, err := s.Upstreams.Poll(ctx, call.Target, call.Request, pollTimeout)
		return func(s *session) { s.core.HandlePollResult(call, result, err) }
	case schedule.CloseConnections:
		s.Upstreams.CloseConnections(call.Address)
	case schedule.AdviceRequest:
		return s.requestAdvice(ctx, call)
	case schedule.Upkeep:
		err := s.Machines.Upkeep(ctx, s.machineHolder(call.Number), call.Machine, call.Wave, machineTimeout)
		return func(s *session) { s.core.HandleUpkeepResult(call, err) }
	case schedule.Move:
		err := s.Machines.Move(ctx, s.machineHolder(call.Number), call.Machine, call.Pool, machineTimeout)
		return func(s *session) { s.core.HandleMoveResult(call, err) }
	}
	return nil
}

// start sends a start and returns the upstream's clock.
func (s *session) start(ctx context.Context, call schedule.Start) (int64, error) {
	if call.LifeMS != 0 {
		return s.Upstreams.StartOnLife(ctx, call.Target, call.LifeMS, call.Command, commandTimeout)
	}
	return s.Upstreams.Start(ctx, call.Target, call.Command, commandTimeout)
}

// maxCommandsPerOwnership bounds the number of machine commands of one ownership. The fencing token of a command is the
// ownership's token times this bound, plus the command's number, so that it rises across ownerships.
const maxCommandsPerOwnership = 1 << 20

func (s *session) machineHolder(number uint64) platform.Holder {
	return platform.Holder{Host: s.Host, Token: s.ownership.Token*maxCommandsPerOwnership + number}
}

func (s *session) requestAdvice(ctx context.Context, request schedule.AdviceRequest) func(*session) {
	if s.Advice == nil {
		return func(s *session) {
			s.core.HandleAdviceResult(request, platform.Tickets{}, errors.New("the platform has no advice service"))
		}
	}
	tickets, err := s.Advice.RequestTickets(ctx, request.Job, request.Occurrence, request.Step, request.Upstreams, request.Timeout)
	return func(s *session) { s.core.HandleAdviceResult(request, tickets, err) }
}

// listDue reports whether the machine list is to be read. The shorter interval applies at once when a wave begins:
// machines of the spare pool are known to be back from their upkeep only from the list.
func (s *session) listDue(now time.Duration) bool {
	interval := idleListInterval
	if s.core.HasOpenWaves() || s.listFailed {
		interval = listInterval
	}
	return s.lastList == 0 || now >= s.lastList+interval
}

// listMachines reads the machine list in a new goroutine when it is due, more often while a wave is open.
func (s *session) listMachines(ctx context.Context) {
	if s.Machines == nil || s.listing || !s.listDue(clock.Now()) {
		return
	}
	s.listing = true
	go func() {
		machines, err := s.Machines.List(ctx, machineTimeout)
		s.post(ctx, func(s *session) {
			s.listing, s.lastList, s.listFailed = false, clock.Now(), err != nil
			if err != nil {
				s.Log("reading the machine list failed", "error", err.Error())
				return
			}
			s.core.SetMachines(machines)
		})
	}()
}
