package owner

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/announce"
	"citrongauge.example/citrongauge/job"
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
	// yieldAfter is how long an owner may fail to reach most upstreams before it gives up the ownership.
	yieldAfter = 1500 * time.Millisecond
)

// reign is the time of one ownership.
type reign struct {
	*Owner
	ownership *ledger.Ownership
	lease     *leaseKeeper
	core      *schedule.Core
	events    chan func(*reign)
	failure   error

	storing     bool
	storeAgain  time.Duration
	roster      []platform.Upstream // to be stored
	pendingAt   time.Duration
	pendingSent map[string]int
	bundle      *platform.Bundle
	weakSince   time.Duration
	operatorNow *operator.State
	waves       map[int]schedule.WaveRecord
	listing     bool
	listAgain   time.Duration
}

func newReign(o *Owner, ownership *ledger.Ownership, lease *leaseKeeper) *reign {
	r := &reign{Owner: o, ownership: ownership, lease: lease, events: make(chan func(*reign), eventBuffer)}
	bounds := *o.bounds.Load()
	r.core = schedule.New(schedule.Options{
		Bounds: bounds, Lease: min(upstreamLease, bounds.MaxLease),
		Generation: ownership.Generation, Token: ownership.Token, Claimed: steady.Now(), Log: o.Log,
	})
	r.core.Observe = o.Observe.JobEnded
	return r
}

// run loads the state and handles events until ctx ends or the ownership is lost.
func (r *reign) run(parent context.Context) {
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
	pause(ctx, min(max(restFactor*took, minRest), maxRest))
}

// drain handles the events that wait, so that one decision serves them all.
func (r *reign) drain() {
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
func (r *reign) step(ctx context.Context) bool {
	if r.failure != nil {
		return false
	}
	if !r.lease.valid() {
		r.failure = errors.New("lease not renewed in time")
		return false
	}
	if r.core.Outdone() {
		r.failure = errors.New("an upstream has seen a higher token")
		return false
	}
	if r.isWeak() {
		r.failure = errors.New("most upstreams cannot be reached")
		return false
	}
	for _, call := range r.core.Decide() {
		r.send(ctx, call)
	}
	r.store(ctx)
	r.listMachines(ctx)
	r.count()
	return true
}

// isWeak reports whether most upstreams have not been reachable for some time, so that another host may do better.
func (r *reign) isWeak() bool {
	known, answering := r.core.Upstreams()
	if known == 0 || 2*answering >= known {
		r.weakSince = 0
		return false
	}
	now := steady.Now()
	if r.weakSince == 0 {
		r.weakSince = now
	}
	return now-r.weakSince > yieldAfter
}

func (r *reign) count() {
	s := r.core.Stats()
	known, _ := r.core.Upstreams()
	r.Observe.Counts(s.Starts, s.Done, s.Failed, s.Requeued, s.Stops, s.Looks, s.Refused, r.core.Jobs(), known)
}

// post hands an event to the loop, or drops it when the ownership is over.
func (r *reign) post(ctx context.Context, event func(*reign)) {
	select {
	case r.events <- event:
	case <-ctx.Done():
	}
}

// takeOperator puts changes of the operator's state into force.
func (r *reign) takeOperator(state *operator.State) {
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

// load reads the roster, the jobs and the upstreams, and begins to watch them.
func (r *reign) load(ctx context.Context) error {
	r.core.At(steady.Now(), steady.WallMS())
	if err := r.readWaves(ctx); err != nil {
		return err
	}
	r.takeOperator(r.Operator.State())
	roster, err := r.Ledger.Roster(ctx, readTimeout)
	if err != nil {
		return err
	}
	for _, entry := range roster {
		r.core.Inherit(entry)
	}
	upstreamsAt, err := r.readUpstreams(ctx)
	if err != nil {
		return err
	}
	jobsAt, err := r.readJobs(ctx)
	if err != nil {
		return err
	}
	r.present.Store(r)
	r.Log("state loaded", "jobs", r.core.Jobs(), "roster", len(roster), "token", r.ownership.Token)
	go r.watch(ctx, platform.UpstreamPrefix, upstreamsAt, r.upstreamEvents, r.readUpstreamsLater)
	go r.watch(ctx, ledger.JobPrefix, jobsAt, r.jobEvents, r.readJobsLater)
	return nil
}

func (r *reign) readUpstreams(ctx context.Context) (uint64, error) {
	items, asOf, err := r.KV.All(ctx, platform.UpstreamPrefix, readTimeout)
	if err != nil {
		return 0, err
	}
	r.setUpstreams(items)
	return asOf, nil
}

// setUpstreams replaces the entries of all upstreams.
func (r *reign) setUpstreams(items []platform.Item) {
	present := map[string]bool{}
	for _, item := range items {
		present[item.Key[len(platform.UpstreamPrefix):]] = true
		r.setUpstream(item)
	}
	for _, id := range r.core.ListedUpstreams() {
		if !present[id] {
			r.core.UnlistUpstream(id)
		}
	}
}

func (r *reign) setUpstream(item platform.Item) {
	entry, err := platform.DecodeUpstream(item)
	if err != nil {
		r.Log("unreadable entry", "key", item.Key, "revision", item.Revision, "error", err.Error())
		r.core.UnlistUpstream(item.Key[len(platform.UpstreamPrefix):])
		return
	}
	r.core.SetUpstream(entry)
}

func (r *reign) readUpstreamsLater(ctx context.Context) (uint64, error) {
	items, asOf, err := r.KV.All(ctx, platform.UpstreamPrefix, readTimeout)
	if err == nil {
		r.post(ctx, func(r *reign) { r.setUpstreams(items) })
	}
	return asOf, err
}

func (r *reign) upstreamEvents(events []platform.Event) {
	for _, event := range events {
		if event.Deleted {
			r.core.UnlistUpstream(event.Key[len(platform.UpstreamPrefix):])
		} else {
			r.setUpstream(event.Item)
		}
	}
}

func (r *reign) readJobs(ctx context.Context) (uint64, error) {
	items, asOf, err := r.KV.All(ctx, ledger.JobPrefix, readTimeout)
	if err != nil {
		return 0, err
	}
	r.addJobs(items)
	return asOf, nil
}

func (r *reign) readJobsLater(ctx context.Context) (uint64, error) {
	items, asOf, err := r.KV.All(ctx, ledger.JobPrefix, readTimeout)
	if err == nil {
		r.post(ctx, func(r *reign) { r.addJobs(items) })
	}
	return asOf, err
}

// addJobs adds all jobs among the items, which hold each job's records next to each other.
func (r *reign) addJobs(items []platform.Item) {
	found := map[job.ID]*ledger.Change{}
	var order []job.ID
	for _, item := range items {
		change, ok := r.decode(item)
		if !ok {
			continue
		}
		entry := found[change.ID]
		if entry == nil {
			entry = &ledger.Change{ID: change.ID}
			found[change.ID] = entry
			order = append(order, change.ID)
		}
		if change.Job != nil {
			entry.Job, entry.Created = change.Job, change.Created
		}
		if change.Progress != nil {
			entry.Progress = change.Progress
		}
		entry.Cancelled = entry.Cancelled || change.Cancelled
	}
	for _, id := range order {
		r.add(*found[id])
	}
}

func (r *reign) add(change ledger.Change) {
	if change.Job == nil {
		return
	}
	inherited := change.Created < r.ownership.Token
	r.core.AddJob(change.Job, change.Created, inherited, change.Progress, change.Cancelled)
}

// announced hands an announcement to the loop, or drops it if the loop is busy: the watch brings it as well.
func (r *reign) announced(message announce.Message) {
	event := func(r *reign) {
		switch {
		case message.Job != nil && message.Created > r.ownership.Token:
			r.core.AddJob(message.Job, message.Created, false, nil, false)
		case message.Cancelled != "":
			r.core.Cancel(message.Cancelled)
		}
	}
	select {
	case r.events <- event:
	default:
		r.Log("announcement dropped", "waiting", len(r.events))
	}
}

func (r *reign) decode(item platform.Item) (ledger.Change, bool) {
	change, ok, err := ledger.Decode(item)
	if err != nil {
		r.Log("unreadable record", "key", item.Key, "revision", item.Revision, "error", err.Error())
	}
	return change, ok
}

func (r *reign) jobEvents(events []platform.Event) {
	for _, event := range events {
		if event.Deleted || ledger.IsProgress(event.Key) {
			continue
		}
		change, ok := r.decode(event.Item)
		switch {
		case !ok:
		case change.Job != nil:
			r.add(change)
		case change.Cancelled:
			r.core.Cancel(change.ID)
		}
	}
}

// watch follows a prefix until ctx ends. After a lost watch it goes on where it was; when the history is gone, it
// reads everything anew.
func (r *reign) watch(ctx context.Context, prefix string, after uint64, handle func([]platform.Event), reread func(context.Context) (uint64, error)) {
	failing := false
	for ctx.Err() == nil {
		events, asOf, err := r.KV.Watch(ctx, prefix, after, watchWait)
		if errors.Is(err, platform.ErrCompacted) {
			r.Log("history gone", "prefix", prefix, "after", after)
			asOf, err = reread(ctx)
			events = nil
		}
		if err != nil {
			if !failing && ctx.Err() == nil {
				r.Log("store lost", "reader", prefix, "error", err.Error())
			}
			failing = true
			pause(ctx, failurePause)
			continue
		}
		if failing {
			r.Log("store regained", "reader", prefix)
		}
		failing = false
		after = asOf
		if len(events) > 0 {
			r.post(ctx, func(*reign) { handle(events) })
		}
		pause(ctx, watchGap)
	}
}

// send carries out a call of the core in the background and hands its answer to the loop.
func (r *reign) send(ctx context.Context, call schedule.Call) {
	go func() {
		if event := r.carryOut(ctx, call); event != nil {
			r.post(ctx, event)
		}
	}()
}

func (r *reign) carryOut(ctx context.Context, call schedule.Call) func(*reign) {
	switch call := call.(type) {
	case schedule.Start:
		clock, err := r.Upstreams.Start(ctx, call.Target, call.Order, orderTimeout)
		return func(r *reign) { r.core.Started(call, clock, err) }
	case schedule.Stop:
		clock, err := r.Upstreams.Stop(ctx, call.Target, call.Order, orderTimeout)
		return func(r *reign) { r.core.Stopped(call, clock, err) }
	case schedule.Pace:
		_, err := r.Upstreams.Pace(ctx, call.Target, call.Order, orderTimeout)
		return func(r *reign) { r.core.Paced(call, err) }
	case schedule.Look:
		lists, err := r.Upstreams.Look(ctx, call.Target, call.Order, lookTimeout)
		return func(r *reign) { r.core.Looked(call, lists, err) }
	case schedule.Ask:
		return r.askAdvice(ctx, call)
	case schedule.Upkeep:
		err := r.Machines.Upkeep(ctx, r.holder(call.Number), call.Machine, call.Wave, machineTimeout)
		return func(r *reign) { r.core.UpkeepAnswered(call, err) }
	case schedule.Move:
		err := r.Machines.Move(ctx, r.holder(call.Number), call.Machine, call.Pool, machineTimeout)
		return func(r *reign) { r.core.MoveAnswered(call, err) }
	}
	return nil
}

// ordersPerOwner bounds the orders for machines of one ownership; their numbers follow the ownership's token.
const ordersPerOwner = 1 << 20

func (r *reign) holder(number uint64) platform.Holder {
	return platform.Holder{Host: r.Host, Token: r.ownership.Token*ordersPerOwner + number}
}

func (r *reign) askAdvice(ctx context.Context, ask schedule.Ask) func(*reign) {
	if r.Advice == nil {
		return func(r *reign) { r.core.Advised(ask, platform.Tickets{}, errors.New("no advice service is known")) }
	}
	tickets, err := r.Advice.Ask(ctx, ask.Job, ask.Occurrence, ask.Step, ask.Upstreams, ask.Timeout)
	return func(r *reign) { r.core.Advised(ask, tickets, err) }
}

// store writes what has to last, one transaction at a time.
func (r *reign) store(ctx context.Context) {
	now := steady.Now()
	if r.storing || now < r.storeAgain && !(r.core.StartsWait() && now >= r.storeAgain-storeGap+startGap) {
		return
	}
	if roster, changed := r.core.Roster(); changed {
		r.roster = roster
	}
	pending := r.pendingWrite(now)
	waves := r.core.WaveRecords()
	if r.roster == nil && pending == nil && len(waves) == 0 && !r.core.NeedsStoring() {
		return
	}
	round, records := r.core.Take()
	writes := r.addWaves(batch(records), waves)
	if err := r.addExtras(&writes, pending); err != nil {
		r.Log("record not encoded", "error", err.Error())
	}
	roster := r.roster
	r.roster = nil
	r.storing = true
	go func() {
		err := r.storeAll(ctx, writes)
		r.post(ctx, func(r *reign) { r.stored(round, roster, err) })
	}()
}

func (r *reign) storeAll(ctx context.Context, writes []ledger.Write) error {
	ctx, cancel := context.WithTimeout(ctx, storePatience)
	defer cancel()
	for _, write := range writes {
		if err := r.ownership.Store(ctx, write); err != nil {
			return err
		}
	}
	return nil
}

func (r *reign) stored(round uint64, roster []platform.Upstream, err error) {
	r.storing = false
	r.storeAgain = steady.Now() + storeGap
	if err != nil {
		r.Log("progress not stored", "round", round, "error", err.Error())
		r.failure = err
		return
	}
	r.core.RosterStored(roster)
	r.core.Stored(round)
}

// batch spreads records over transactions.
func batch(records []schedule.Record) []ledger.Write {
	writes := []ledger.Write{{Progress: map[job.ID]job.Progress{}}}
	size := 0
	for _, record := range records {
		weight := 1
		if record.Remove {
			weight = ledger.KeysPerRemoval
		}
		if size+weight > ledger.MaxJobsPerWrite {
			writes = append(writes, ledger.Write{Progress: map[job.ID]job.Progress{}})
			size = 0
		}
		size += weight
		last := &writes[len(writes)-1]
		if record.Remove {
			last.Remove = append(last.Remove, record.ID)
		} else {
			last.Progress[record.ID] = record.Progress
		}
	}
	return writes
}

// addExtras adds the roster and the numbers of waiting jobs to the first transaction.
func (r *reign) addExtras(writes *[]ledger.Write, pending map[string]int) error {
	first := &(*writes)[0]
	if r.roster != nil {
		write, err := ledger.RosterWrite(r.roster)
		if err != nil {
			return err
		}
		first.Extra = append(first.Extra, write)
	}
	if pending != nil {
		write, err := ledger.PendingWrite(pending, steady.WallMS())
		if err != nil {
			return err
		}
		first.Extra = append(first.Extra, write)
	}
	return nil
}

// pendingWrite returns the numbers of waiting jobs if they have changed and were not written a moment ago.
func (r *reign) pendingWrite(now time.Duration) map[string]int {
	if now < r.pendingAt {
		return nil
	}
	pending := r.core.Pending()
	if r.pendingSent != nil && equalCounts(pending, r.pendingSent) {
		return nil
	}
	r.pendingAt, r.pendingSent = now+pendingGap, pending
	return pending
}

func equalCounts(a, b map[string]int) bool {
	if len(a) != len(b) {
		return false
	}
	for queue, n := range a {
		if b[queue] != n {
			return false
		}
	}
	return true
}

// readWaves reads what earlier owners stored of waves.
func (r *reign) readWaves(ctx context.Context) error {
	values, err := r.Ledger.Waves(ctx, readTimeout)
	if err != nil {
		return err
	}
	r.waves = make(map[int]schedule.WaveRecord, len(values))
	for _, value := range values {
		var record schedule.WaveRecord
		if err := job.Decode(value, &record); err != nil {
			r.Log("unreadable record of a wave", "error", err.Error())
			continue
		}
		r.waves[record.Number] = record
	}
	return nil
}

// addWaves appends a transaction for each wave whose state has changed.
func (r *reign) addWaves(writes []ledger.Write, waves []schedule.WaveRecord) []ledger.Write {
	for _, wave := range waves {
		extra, err := ledger.WaveWrites(wave.Number, wave, wave.Succeeded)
		if err != nil {
			r.Log("record not encoded", "wave", wave.Number, "error", err.Error())
			continue
		}
		writes = append(writes, ledger.Write{Extra: extra})
	}
	return writes
}

// listMachines reads the list of machines in the background, more often while a wave is open.
func (r *reign) listMachines(ctx context.Context) {
	now := steady.Now()
	if r.Machines == nil || r.listing || now < r.listAgain {
		return
	}
	r.listing = true
	go func() {
		machines, err := r.Machines.List(ctx, machineTimeout)
		r.post(ctx, func(r *reign) {
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
