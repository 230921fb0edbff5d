package owner

import (
	"context"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/announce"
	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
	"citrongauge.example/citrongauge/steady"
)

// load reads the roster, the jobs and the upstreams, and begins to watch them.
func (r *session) load(ctx context.Context) error {
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
	if err := r.readOrdered(ctx); err != nil {
		return err
	}
	upstreamsAt, err := r.read(ctx, platform.UpstreamPrefix, r.setUpstreams)
	if err != nil {
		return err
	}
	jobsAt, err := r.read(ctx, ledger.JobPrefix, r.addJobs)
	if err != nil {
		return err
	}
	r.present.Store(r)
	r.Log("state loaded", "jobs", r.core.Jobs(), "roster", len(roster), "token", r.ownership.Token)
	go r.watch(ctx, platform.UpstreamPrefix, upstreamsAt, r.upstreamEvents, r.setUpstreams)
	go r.watch(ctx, ledger.JobPrefix, jobsAt, r.jobEvents, r.addJobs)
	return nil
}

// readOrdered reads the machines that an earlier owner may have given orders for.
func (r *session) readOrdered(ctx context.Context) error {
	var ordered schedule.Ordered
	err := r.Ledger.Ordered(ctx, &ordered, readTimeout)
	if errors.Is(err, job.ErrBadRecord) {
		r.Log("unreadable record of ordered machines", "error", err.Error())
		r.core.InheritUnknownOrders()
		return nil
	}
	r.core.InheritOrders(ordered)
	return err
}

// read hands all items under a prefix to take. A watch from the returned revision on misses nothing.
func (r *session) read(ctx context.Context, prefix string, take func([]platform.Item)) (asOf uint64, err error) {
	items, asOf, err := r.KV.All(ctx, prefix, readTimeout)
	if err == nil {
		take(items)
	}
	return asOf, err
}

// setUpstreams replaces the entries of all upstreams.
func (r *session) setUpstreams(items []platform.Item) {
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

func (r *session) setUpstream(item platform.Item) {
	entry, err := platform.DecodeUpstream(item)
	if err != nil {
		r.Log("unreadable entry", "key", item.Key, "revision", item.Revision, "error", err.Error())
		r.core.UnlistUpstream(item.Key[len(platform.UpstreamPrefix):])
		return
	}
	r.core.SetUpstream(entry)
}

func (r *session) upstreamEvents(events []platform.Event) {
	for _, event := range events {
		if event.Deleted {
			r.core.UnlistUpstream(event.Key[len(platform.UpstreamPrefix):])
		} else {
			r.setUpstream(event.Item)
		}
	}
}

// addJobs adds all jobs among the items, which hold each job's records next to each other.
func (r *session) addJobs(items []platform.Item) {
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

func (r *session) add(change ledger.Change) {
	if change.Job == nil {
		return
	}
	inherited := change.Created < r.ownership.Token
	r.core.AddJob(change.Job, change.Created, inherited, change.Progress, change.Cancelled)
}

// announced hands an announcement to the loop, or drops it if the loop is busy: the watch brings it as well.
func (r *session) announced(message announce.Message) {
	event := func(r *session) {
		switch {
		case message.Job != nil && message.Created > r.ownership.Token:
			r.core.AddJob(message.Job, message.Created, false, nil, false)
		case message.Cancelled != "":
			r.core.Cancel(message.Cancelled)
		case message.FitterHost != "":
			r.handOver(message.FitterHost)
		}
	}
	select {
	case r.events <- event:
	default:
		r.Log("announcement dropped", "waiting", len(r.events))
	}
}

func (r *session) decode(item platform.Item) (ledger.Change, bool) {
	change, ok, err := ledger.Decode(item)
	if err != nil {
		r.Log("unreadable record", "key", item.Key, "revision", item.Revision, "error", err.Error())
	}
	return change, ok
}

func (r *session) jobEvents(events []platform.Event) {
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

// watch follows a prefix until ctx ends and has the loop handle its events. After a lost watch it goes on where it was;
// when the history is gone, it reads everything anew and has the loop take it.
func (r *session) watch(ctx context.Context, prefix string, after uint64, handle func([]platform.Event), take func([]platform.Item)) {
	failing := false
	for ctx.Err() == nil {
		events, asOf, err := r.KV.Watch(ctx, prefix, after, watchWait)
		if errors.Is(err, platform.ErrCompacted) {
			r.Log("history gone", "prefix", prefix, "after", after)
			asOf, err = r.read(ctx, prefix, func(items []platform.Item) {
				r.post(ctx, func(*session) { take(items) })
			})
			events = nil
		}
		if err != nil {
			if !failing && ctx.Err() == nil {
				r.Log("store lost", "reader", prefix, "error", err.Error())
			}
			failing = true
			steady.Sleep(ctx, failurePause)
			continue
		}
		if failing {
			r.Log("store regained", "reader", prefix)
		}
		failing = false
		after = asOf
		if len(events) > 0 {
			r.post(ctx, func(*session) { handle(events) })
		}
		steady.Sleep(ctx, watchGap)
	}
}
