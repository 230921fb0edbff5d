// Package operator follows the operator's entries in the store: the configuration bundle, evacuated zones and
// maintenance waves. It keeps the newest state that it has read; a bundle is never replaced by an older one.
package operator

import (
	"context"
	"math"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"citrongauge.example/citrongauge/clock"
	"citrongauge.example/citrongauge/platform"
)

const (
	// watchWait is the longest time that one watch call waits for a change. After a connection has died silently, a
	// change goes unnoticed for at most watchWait, plus the client's extra time for the response, plus one read.
	watchWait   = 1200 * time.Millisecond
	readTimeout = 800 * time.Millisecond
	retryDelay  = 100 * time.Millisecond
	// maxRetryDelay bounds the growing delay between retries, and so how late the store's recovery is noticed.
	maxRetryDelay = 400 * time.Millisecond
)

// State is the content of the operator's entries at one time. It is immutable.
type State struct {
	Bundle    *platform.Bundle // nil: none has been read yet
	Evacuated []string         // zones
	Waves     []platform.Wave
}

// Follower reads and watches the operator's entries. It is safe for concurrent use.
type Follower struct {
	kv  *platform.KV
	log func(event string, fields ...any)

	state        atomic.Pointer[State]
	lastResponse atomic.Int64 // time of the store's last response, by the monotonic clock; 0: none yet
	confirmed    atomic.Int64 // latest time at which the bundle is known to have been the newest; 0: never

	mu         sync.Mutex
	items      map[string]platform.Item
	changed    chan struct{} // closed and replaced at each change
	refresh    chan struct{} // not nil while readBundle runs, which closes it
	refreshErr error         // result of the last readBundle
	receiving  chan struct{} // not nil while Run receives a response, closed at its end
}

// New returns a follower with an empty state. Run fills it.
func New(kv *platform.KV, log func(event string, fields ...any)) *Follower {
	f := &Follower{kv: kv, log: log, items: map[string]platform.Item{}, changed: make(chan struct{})}
	f.state.Store(&State{})
	return f
}

// State returns the newest state that has been read.
func (f *Follower) State() *State { return f.state.Load() }

// Changed returns a channel that is closed when the state next changes.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// StoreAge returns the time since the store's last response, or the maximum duration if there was none.
func (f *Follower) StoreAge() time.Duration { return timeSince(&f.lastResponse) }

// BundleAge returns the time since the bundle is known to have been the newest, or the maximum duration if there is none.
// It holds for every State that is read later.
func (f *Follower) BundleAge() time.Duration { return timeSince(&f.confirmed) }

func timeSince(moment *atomic.Int64) time.Duration {
	value := moment.Load()
	if value == 0 {
		return math.MaxInt64
	}
	return clock.Now() - time.Duration(value)
}

// recordResponse records a response after its items have been published. The store had no newer bundle at asOf.
func (f *Follower) recordResponse(asOf time.Duration) {
	f.lastResponse.Store(int64(clock.Now()))
	for known := f.confirmed.Load(); known < int64(asOf); known = f.confirmed.Load() {
		if f.confirmed.CompareAndSwap(known, int64(asOf)) {
			return
		}
	}
}

// Run reads and watches the operator's entries until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	delay := retryDelay
	for ctx.Err() == nil {
		asOf, err := f.readAll(ctx)
		if err == nil {
			if delay > retryDelay {
				f.log("store regained", "reader", "operator", "revision", asOf)
			}
			delay = retryDelay
			err = f.watch(ctx, asOf)
		}
		if ctx.Err() != nil {
			return
		}
		if delay == retryDelay {
			f.log("store lost", "reader", "operator", "error", err.Error(), "age_ms", f.StoreAge().Milliseconds())
		}
		clock.Sleep(ctx, delay)
		delay = min(2*delay, maxRetryDelay)
	}
}

func (f *Follower) readAll(ctx context.Context) (uint64, error) {
	ctx, ended := f.traceReception(ctx)
	defer ended()
	sent := clock.Now()
	items, asOf, err := f.kv.ListAll(ctx, platform.OperatorPrefix, readTimeout)
	if err != nil {
		return 0, err
	}
	f.replaceItems(items, asOf)
	f.recordResponse(sent)
	return asOf, nil
}

// replaceItems replaces the known items by those that the store listed at the revision asOf.
func (f *Follower) replaceItems(items []platform.Item, asOf uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	present := make(map[string]bool, len(items))
	changed := false
	for _, item := range items {
		present[item.Key] = true
		changed = f.update(item) || changed
	}
	for key, item := range f.items {
		if !present[key] && item.Revision <= asOf {
			delete(f.items, key)
			changed = true
		}
	}
	if changed {
		f.publishState()
	}
}

// update replaces the known item with the same key and reports whether it did. It ignores an item that is not newer.
// The caller holds the lock.
func (f *Follower) update(item platform.Item) bool {
	if known, ok := f.items[item.Key]; ok && known.Revision >= item.Revision {
		return false
	}
	f.items[item.Key] = item
	return true
}

func (f *Follower) watch(ctx context.Context, after uint64) (err error) {
	for err == nil {
		after, err = f.watchOnce(ctx, after)
	}
	return err
}

// watchOnce waits for changes after a revision and returns the revision from which to continue.
func (f *Follower) watchOnce(ctx context.Context, after uint64) (asOf uint64, err error) {
	ctx, ended := f.traceReception(ctx)
	defer ended()
	sent := clock.Now()
	events, asOf, err := f.kv.Watch(ctx, platform.OperatorPrefix, after, watchWait)
	switch {
	case err != nil:
		return after, err
	case len(events) == 0:
		f.recordResponse(min(sent+watchWait, clock.Now())) // the store waited that long for a change
	default:
		f.applyEvents(events)
		f.recordResponse(sent)
	}
	return asOf, nil
}

func (f *Follower) applyEvents(events []platform.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, event := range events {
		if !event.Deleted {
			changed = f.update(event.Item) || changed
			continue
		}
		if known, ok := f.items[event.Key]; ok && known.Revision < event.Revision {
			delete(f.items, event.Key)
			changed = true
		}
	}
	if changed {
		f.publishState()
	}
}

// publishState builds a new state from the items and signals the change. The caller holds the lock.
func (f *Follower) publishState() {
	old := f.state.Load()
	next := &State{Bundle: old.Bundle}
	for key, item := range f.items {
		switch {
		case key == platform.BundleKey:
			next.Bundle = f.decodeBundle(item, old.Bundle)
		case strings.HasPrefix(key, platform.EvacuatePrefix):
			next.Evacuated = append(next.Evacuated, strings.TrimPrefix(key, platform.EvacuatePrefix))
		case strings.HasPrefix(key, platform.WavePrefix):
			wave, err := platform.DecodeWave(item)
			if err != nil {
				f.log("unreadable wave entry", "key", key, "revision", item.Revision, "error", err.Error())
				continue
			}
			next.Waves = append(next.Waves, wave)
		}
	}
	f.state.Store(next)
	close(f.changed)
	f.changed = make(chan struct{})
}

// decodeBundle decodes the bundle in item. It returns old if item is not newer or cannot be decoded.
func (f *Follower) decodeBundle(item platform.Item, old *platform.Bundle) *platform.Bundle {
	if old != nil && old.Revision >= item.Revision {
		return old
	}
	bundle, err := platform.DecodeBundle(item)
	if err != nil {
		f.log("unreadable configuration", "revision", item.Revision, "error", err.Error())
		return old
	}
	f.log("configuration read", "version", bundle.Version, "revision", bundle.Revision, "bytes", len(item.Value),
		"queues", len(bundle.Queues), "teams", len(bundle.Teams))
	return bundle
}

// Refresh makes sure that the bundle is the newest. Concurrent calls share one read: a call that comes during a read
// waits for it and starts none. Nor does it while Run receives a response, which may be a new bundle.
func (f *Follower) Refresh(ctx context.Context) error {
	for {
		running, receiving := f.refreshOrReception()
		select {
		case <-running:
		case <-ctx.Done():
			return ctx.Err()
		}
		if !receiving {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.refreshErr
		}
	}
}

// refreshOrReception returns the end of the current reception, or else that of a read of the bundle, which it starts if
// none is running.
func (f *Follower) refreshOrReception() (ended <-chan struct{}, receiving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.receiving != nil {
		return f.receiving, true
	}
	if f.refresh == nil {
		f.refresh = make(chan struct{})
		bundle := f.items[platform.BundleKey]
		go f.readBundle(f.refresh, bundle.Revision)
	}
	return f.refresh, false
}

// readBundle reads the bundle if its revision is not known.
func (f *Follower) readBundle(done chan struct{}, known uint64) {
	sent := clock.Now()
	item, changed, err := f.kv.GetIfChanged(context.Background(), platform.BundleKey, known, readTimeout)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshErr = err
	if changed && item.Revision != 0 && f.update(item) {
		f.publishState()
	}
	if err == nil {
		f.recordResponse(sent)
	}
	f.refresh = nil
	close(done)
}

// Probe makes a small read, which shows whether the store answers. It is a call of its own: a store that was silent may never answer the
// calls that it received then.
func (f *Follower) Probe(ctx context.Context) {
	if _, err := f.kv.Range(ctx, platform.EvacuatePrefix, "", readTimeout); err == nil {
		f.lastResponse.Store(int64(clock.Now()))
	}
}

// traceReception returns a context for calls whose responses set f.receiving when they begin. The caller calls ended after
// it has published what it received.
func (f *Follower) traceReception(ctx context.Context) (traced context.Context, ended func()) {
	var current chan struct{}
	finished := false
	begin := func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !finished && current == nil { // the response of a call that was given up may begin later
			current = make(chan struct{})
			f.receiving = current
		}
	}
	end := func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		finished = true
		if current != nil {
			f.receiving = nil
			close(current)
		}
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: begin}), end
}
