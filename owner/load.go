package owner

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"citrongauge.example/citrongauge/announce"
	"citrongauge.example/citrongauge/clock"
	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

const (
	rejectedDelay = 60 * time.Millisecond // pause before a read of the state that the store has rejected is repeated
	// maxLoadTime is how long after the claim such reads are repeated. Another host may be able to read the state then.
	maxLoadTime = 4 * time.Second
)

// load reads the stored state of the fleet (waves, roster, commanded machines, upstreams and jobs) and starts the
// watches on upstreams and jobs. Each read is repeated while the store rejects it.
func (s *session) load(ctx context.Context) error {
	s.core.SetTime(clock.Now(), clock.WallMS())
	begin := clock.Now()
	var upstreams, jobs listing
	applyReads, err := s.readState(ctx, []stateRead{
		s.readWaves, s.readRoster, s.readUnreached, s.readLongLeases, s.readCommandedMachines, s.readTurns,
		func(ctx context.Context) (applyRead, error) {
			err := upstreams.readAll(ctx, s, platform.UpstreamPrefix)
			return func() { s.setUpstreams(upstreams.items) }, err
		},
		func(ctx context.Context) (applyRead, error) {
			err := jobs.readJobs(ctx, s)
			return func() { s.addJobs(jobs.items) }, err
		},
	})
	if err != nil {
		return err
	}
	readMS := (clock.Now() - begin).Milliseconds()
	for _, apply := range applyReads {
		s.core.SetTime(clock.Now(), clock.WallMS()) // what is left of leases counts from now
		apply()
	}
	s.current.Store(s)
	s.Log("state loaded", "jobs", s.core.JobCount(), "records", len(jobs.items), "read_ms", readMS,
		"took_ms", (clock.Now() - begin).Milliseconds(), "token", s.ownership.Token)
	go s.watch(ctx, platform.UpstreamPrefix, upstreams.asOf, s.handleUpstreamEvents, s.setUpstreams)
	go s.watch(ctx, ledger.JobPrefix, jobs.asOf, s.handleJobEvents, s.addJobs)
	return nil
}

// stateRead reads a part of the stored state. It may be called in any goroutine.
type stateRead func(context.Context) (applyRead, error)

// applyRead applies to the session what was read. It is called by the session's goroutine.
type applyRead func()

// readState makes the reads, several at a time. What they return is to be applied in their order.
func (s *session) readState(ctx context.Context, reads []stateRead) ([]applyRead, error) {
	found := make([]applyRead, len(reads))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(s.readConcurrency())
	for i, read := range reads {
		group.Go(func() error {
			return s.repeatRejected(ctx, func() (err error) {
				found[i], err = read(ctx)
				return err
			})
		})
	}
	return found, group.Wait()
}

const (
	maxReadConcurrency = 8
	// linkForRead is the bandwidth, in Mbit/s, for each page that is read at a time. Renewals of the lease share the link.
	linkForRead = 25
)

// readConcurrency returns how many parts of the state are read at a time.
func (s *session) readConcurrency() int {
	if s.Settings.Capacity.LinkMbps <= 0 {
		return maxReadConcurrency
	}
	return int(min(max(s.Settings.Capacity.LinkMbps/linkForRead, 1), maxReadConcurrency))
}

// listing is a list of items, and the revision from which a watch misses no change of them.
type listing struct {
	items []platform.Item
	asOf  uint64
}

func (l *listing) readAll(ctx context.Context, s *session, prefix string) (err error) {
	l.items, l.asOf, err = s.KV.ListAll(ctx, prefix, s.pageTimeout())
	return err
}

func (l *listing) readJobs(ctx context.Context, s *session) (err error) {
	l.items, l.asOf, err = s.KV.ListParallel(ctx, ledger.JobPrefix, job.IDDigits, s.readConcurrency(), s.pageTimeout())
	return err
}

// repeatRejected repeats a read that the store rejects, while the lease is valid and for maxLoadTime after the claim: all
// hosts together may make more calls than the store allows, and another claim would make all of them again.
func (s *session) repeatRejected(ctx context.Context, read func() error) error {
	for {
		err := read()
		if !errors.Is(err, platform.ErrNotExecuted) || !s.lease.valid() || clock.Now() > s.claimedAt+maxLoadTime {
			return err
		}
		clock.Sleep(ctx, rejectedDelay)
	}
}

// readRoster reads the upstreams on which an earlier owner's tasks may run. A roster that an
// earlier version stored in one record is stored again in this version's form.
func (s *session) readRoster(ctx context.Context) (applyRead, error) {
	roster, err := s.Ledger.Roster(ctx, s.pageTimeout())
	if err != nil {
		return nil, err
	}
	old, found, err := s.Ledger.OldRoster(ctx, readTimeout)
	return func() {
		s.oldRosterStored = found
		for _, entry := range roster {
			s.core.InheritUpstream(entry)
		}
		for _, entry := range old {
			s.core.InheritOldUpstream(entry)
		}
		s.Log("roster read", "upstreams", len(roster)+len(old))
	}, err
}

// readUnreached reads which upstreams of the roster the previous owner had not reached. Without a readable record their leases
// are counted from the end of the ownership before, as far as that is known.
func (s *session) readUnreached(ctx context.Context) (applyRead, error) {
	var unreached schedule.UnreachedUpstreams
	err := s.Ledger.Unreached(ctx, &unreached, readTimeout)
	if errors.Is(err, job.ErrBadRecord) {
		return func() { s.Log("unreadable record of unreached upstreams", "error", err.Error()) }, nil
	}
	return func() { s.core.InheritUnreached(unreached) }, err
}

// readLongLeases reads on which upstreams of the roster leases may last longer than this owner would count from its claim.
func (s *session) readLongLeases(ctx context.Context) (applyRead, error) {
	var longLeases schedule.LongLeases
	err := s.Ledger.LongLeases(ctx, &longLeases, readTimeout)
	if errors.Is(err, job.ErrBadRecord) {
		return func() { s.Log("unreadable record of long leases", "error", err.Error()) }, nil
	}
	return func() { s.core.InheritLongLeases(longLeases) }, err
}

// readCommandedMachines reads for which machines an earlier owner may have sent commands. If the record is
// unreadable, the earlier owner may have sent one for any machine.
func (s *session) readCommandedMachines(ctx context.Context) (applyRead, error) {
	var commanded schedule.CommandedMachines
	err := s.Ledger.CommandedMachines(ctx, &commanded, readTimeout)
	if errors.Is(err, job.ErrBadRecord) {
		return func() {
			s.Log("unreadable record of commanded machines", "error", err.Error())
			s.core.InheritUnknownCommands()
		}, nil
	}
	return func() { s.core.InheritCommands(commanded) }, err
}

// pageTimeout returns the timeout of a read that may return a full page, which takes seconds on a slow link.
func (s *session) pageTimeout() time.Duration {
	if s.Settings.Capacity.LinkMbps <= 0 {
		return readTimeout
	}
	megabits := 8 * float64(platform.MaxPageBytes) / 1e6
	return readTimeout + time.Duration(megabits/s.Settings.Capacity.LinkMbps*float64(time.Second))
}

// setUpstreams replaces all known upstream entries by items.
func (s *session) setUpstreams(items []platform.Item) {
	present := map[string]bool{}
	for _, item := range items {
		present[platform.UpstreamID(item.Key)] = true
		s.setUpstream(item)
	}
	for _, id := range s.core.ListedUpstreams() {
		if !present[id] {
			s.core.UnlistUpstream(id)
		}
	}
}

func (s *session) setUpstream(item platform.Item) {
	entry, err := platform.DecodeUpstream(item)
	if err != nil {
		s.Log("unreadable upstream entry", "key", item.Key, "revision", item.Revision, "error", err.Error())
		s.core.UnlistUpstream(platform.UpstreamID(item.Key))
		return
	}
	s.core.SetUpstream(entry)
}

func (s *session) handleUpstreamEvents(events []platform.Event) {
	for _, event := range events {
		if event.Deleted {
			s.core.UnlistUpstream(platform.UpstreamID(event.Key))
		} else {
			s.setUpstream(event.Item)
		}
	}
}

// addJobs adds the jobs among items. It merges each job's records, which are separate items, before adding the job.
func (s *session) addJobs(items []platform.Item) {
	found := map[job.ID]*ledger.Change{}
	var order []job.ID
	for _, item := range items {
		change, ok := s.decodeRecord(item)
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
		if change.Cancelled {
			entry.Cancelled, entry.CancelledMS = true, change.CancelledMS
		}
	}
	for _, id := range order {
		s.addJob(*found[id])
	}
}

func (s *session) addJob(change ledger.Change) {
	if change.Job == nil {
		if change.Cancelled {
			s.core.CancellationStored(change.ID, change.CancelledMS)
		}
		return
	}
	inherited := change.Created < s.ownership.Token
	s.core.AddJob(change.Job, change.Created, inherited, change.Progress, change.Cancelled)
}

// handleAnnouncement queues an announcement for the event loop. It drops the announcement if the queue is full, unless it is a
// cancellation: the watch on the store delivers new jobs as well, and the sender repeats handover requests.
func (s *session) handleAnnouncement(message announce.Message, from *announce.Peer) {
	event := func(s *session) {
		if message.Job != nil && from != nil {
			s.helpers.note(from, clock.Now())
		}
		if !s.lease.valid() && message.Cancelled == "" {
			return // the watch delivers jobs once the store responds; another host may own the fleet by then
		}
		switch {
		case message.Job != nil && message.Created > s.ownership.Token:
			s.core.AddJob(message.Job, message.Created, false, nil, false)
		case message.Cancelled != "":
			s.core.Cancel(message.Cancelled)
		case message.HandoverTo != "":
			s.handOver(message.HandoverTo)
		}
	}
	select {
	case s.events <- event:
		return
	default:
	}
	if message.Cancelled != "" {
		go s.queueCancellation(message.Cancelled, event)
		return
	}
	s.Log("announcement dropped: event queue full", "waiting", len(s.events))
}

// maxCancellationWait is how long a cancellation waits for room in the event queue. The watch on jobs has delivered it by then.
const maxCancellationWait = 5 * time.Second

// queueCancellation queues the cancellation of a job once the event queue has room: its tasks must stop soon, and the watch may lag
// while the queue is full.
func (s *session) queueCancellation(id job.ID, event func(*session)) {
	timeout := time.NewTimer(maxCancellationWait)
	defer timeout.Stop()
	select {
	case s.events <- event:
	case <-timeout.C:
		s.Log("cancellation dropped: event queue full", "job", id, "waiting", len(s.events))
	}
}

func (s *session) decodeRecord(item platform.Item) (ledger.Change, bool) {
	change, ok, err := ledger.DecodeJobItem(item)
	if err != nil {
		s.Log("unreadable job record", "key", item.Key, "revision", item.Revision, "error", err.Error())
	}
	return change, ok
}

func (s *session) handleJobEvents(events []platform.Event) {
	for _, event := range events {
		if event.Deleted || ledger.IsProgressKey(event.Key) {
			continue
		}
		change, ok := s.decodeRecord(event.Item)
		switch {
		case !ok:
		case change.Job != nil:
			s.addJob(change)
		case change.Cancelled:
			s.core.CancellationStored(change.ID, change.CancelledMS)
		}
	}
}

// watch watches prefix until ctx ends and queues its events for the event loop. After a failure it resumes at the last
// revision that it has seen. If the store has compacted that revision, it reads the whole prefix again and passes it to
// handleAll in the event loop.
func (s *session) watch(ctx context.Context, prefix string, after uint64, handle func([]platform.Event), handleAll func([]platform.Item)) {
	failing := false
	for ctx.Err() == nil {
		watchCtx, end := s.watches.begin(ctx)
		events, asOf, err := s.KV.Watch(watchCtx, prefix, after, watchWait)
		if isStale := end(); isStale && err != nil {
			continue
		}
		if errors.Is(err, platform.ErrCompacted) {
			s.Log("watch revision compacted; reading the prefix again", "prefix", prefix, "after", after)
			var all listing
			err = all.readAll(ctx, s, prefix)
			asOf, events = all.asOf, nil
			if err == nil {
				s.post(ctx, func(*session) { handleAll(all.items) })
			}
		}
		if err != nil {
			if !failing && ctx.Err() == nil {
				s.Log("store lost", "reader", prefix, "error", err.Error())
			}
			failing = true
			clock.Sleep(ctx, retryDelay)
			continue
		}
		if failing {
			s.Log("store regained", "reader", prefix)
		}
		failing = false
		after = asOf
		if len(events) > 0 {
			s.post(ctx, func(*session) { handle(events) })
		}
		if len(events) < watchBatch {
			clock.Sleep(ctx, watchPause)
		}
	}
}
