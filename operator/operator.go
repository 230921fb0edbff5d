// Package operator follows what the operator has written: the bundle, evacuated zones and waves of upkeep. It keeps
// the newest state that it has read; a bundle is never replaced by an older one.
package operator

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/steady"
)

const (
	// watchWait bounds how long a change stays unnoticed after a connection went silent: this, the slack of the
	// client and one reading.
	watchWait    = 1200 * time.Millisecond
	readTimeout  = 800 * time.Millisecond
	failurePause = 100 * time.Millisecond
	// maxFailurePause bounds how long a return of the store stays unnoticed.
	maxFailurePause = 400 * time.Millisecond
)

// State is what the operator has written, as read at one time. It is immutable.
type State struct {
	Bundle    *platform.Bundle // nil: none has been read
	Evacuated []string         // zones
	Waves     []platform.Wave
}

// Follower reads and watches. It is safe for concurrent use.
type Follower struct {
	kv  *platform.KV
	log func(event string, fields ...any)

	state atomic.Pointer[State]
	heard atomic.Int64 // steady time of the last answer of the store

	mu      sync.Mutex
	items   map[string]platform.Item
	changed chan struct{} // closed and replaced at each change
	refresh chan struct{} // not nil while a reading of the bundle is on its way
	lastErr error         // of that reading
}

// New returns a follower that has read nothing.
func New(kv *platform.KV, log func(event string, fields ...any)) *Follower {
	f := &Follower{kv: kv, log: log, items: map[string]platform.Item{}, changed: make(chan struct{})}
	f.state.Store(&State{})
	return f
}

// State returns the newest state.
func (f *Follower) State() *State { return f.state.Load() }

// Changed returns a channel that is closed at the next change.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Age returns how long ago the store last answered.
func (f *Follower) Age() time.Duration {
	heard := f.heard.Load()
	if heard == 0 {
		return time.Duration(1<<63 - 1)
	}
	return steady.Now() - time.Duration(heard)
}

func (f *Follower) touch() { f.heard.Store(int64(steady.Now())) }

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	wait := failurePause
	for ctx.Err() == nil {
		asOf, err := f.readAll(ctx)
		if err == nil {
			if wait > failurePause {
				f.log("store regained", "reader", "operator", "revision", asOf)
			}
			wait = failurePause
			err = f.watch(ctx, asOf)
		}
		if ctx.Err() != nil {
			return
		}
		if wait == failurePause {
			f.log("store lost", "reader", "operator", "error", err.Error(), "age_ms", f.Age().Milliseconds())
		}
		steady.Sleep(ctx, wait)
		wait = min(2*wait, maxFailurePause)
	}
}

func (f *Follower) readAll(ctx context.Context) (uint64, error) {
	items, asOf, err := f.kv.All(ctx, platform.OperatorPrefix, readTimeout)
	if err != nil {
		return 0, err
	}
	f.touch()
	f.mu.Lock()
	defer f.mu.Unlock()
	present := make(map[string]bool, len(items))
	changed := false
	for _, item := range items {
		present[item.Key] = true
		changed = f.take(item) || changed
	}
	for key, item := range f.items {
		if !present[key] && item.Revision <= asOf {
			delete(f.items, key)
			changed = true
		}
	}
	if changed {
		f.publish()
	}
	return asOf, nil
}

// take stores an item unless a newer one is known.
func (f *Follower) take(item platform.Item) bool {
	if known, ok := f.items[item.Key]; ok && known.Revision >= item.Revision {
		return false
	}
	f.items[item.Key] = item
	return true
}

func (f *Follower) watch(ctx context.Context, after uint64) error {
	for {
		events, asOf, err := f.kv.Watch(ctx, platform.OperatorPrefix, after, watchWait)
		if err != nil {
			return err
		}
		f.touch()
		after = asOf
		if len(events) == 0 {
			continue
		}
		f.mu.Lock()
		changed := false
		for _, event := range events {
			if event.Deleted {
				if known, ok := f.items[event.Key]; ok && known.Revision < event.Revision {
					delete(f.items, event.Key)
					changed = true
				}
				continue
			}
			changed = f.take(event.Item) || changed
		}
		if changed {
			f.publish()
		}
		f.mu.Unlock()
	}
}

// publish builds the state from the items. The caller holds the lock.
func (f *Follower) publish() {
	old := f.state.Load()
	next := &State{Bundle: old.Bundle}
	for key, item := range f.items {
		switch {
		case key == platform.BundleKey:
			next.Bundle = f.bundle(item, old.Bundle)
		case strings.HasPrefix(key, platform.EvacuatePrefix):
			next.Evacuated = append(next.Evacuated, strings.TrimPrefix(key, platform.EvacuatePrefix))
		case strings.HasPrefix(key, platform.WavePrefix):
			wave, err := platform.DecodeWave(item)
			if err != nil {
				f.log("unreadable entry", "key", key, "revision", item.Revision, "error", err.Error())
				continue
			}
			next.Waves = append(next.Waves, wave)
		}
	}
	f.state.Store(next)
	close(f.changed)
	f.changed = make(chan struct{})
}

// bundle decodes the configuration unless it is the known one. One that cannot be read leaves the known one in force.
func (f *Follower) bundle(item platform.Item, old *platform.Bundle) *platform.Bundle {
	if old != nil && old.Revision >= item.Revision {
		return old
	}
	bundle, err := platform.DecodeBundle(item)
	if err != nil {
		f.log("unreadable configuration", "revision", item.Revision, "error", err.Error())
		return old
	}
	f.log("configuration read", "version", bundle.Version, "revision", bundle.Revision, "queues", len(bundle.Queues),
		"teams", len(bundle.Teams))
	return bundle
}

// Refresh reads the bundle anew. Calls at the same time share one reading that began after the first of them.
func (f *Follower) Refresh(ctx context.Context) error {
	f.mu.Lock()
	running := f.refresh
	if running == nil {
		running = make(chan struct{})
		f.refresh = running
		go f.readBundle(running)
	}
	f.mu.Unlock()
	select {
	case <-running:
	case <-ctx.Done():
		return ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastErr
}

func (f *Follower) readBundle(done chan struct{}) {
	item, err := f.kv.Get(context.Background(), platform.BundleKey, readTimeout)
	if err == nil {
		f.touch()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastErr = err
	if err == nil && item.Revision != 0 && f.take(item) {
		f.publish()
	}
	f.refresh = nil
	close(done)
}
