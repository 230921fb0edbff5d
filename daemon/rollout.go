package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/result"
)

const (
	rolloutStoreTimeout  = 2 * time.Second
	rolloutCommitTimeout = 10 * time.Second
	// keptRollouts is the number of versions whose times are kept.
	keptRollouts = 64
)

// rolloutTime holds the times of one bundle version as this host saw them.
type rolloutTime struct {
	committed time.Time // adopted here
	confirmed time.Time // every member is known to have confirmed
	accepted  time.Time
}

// rolloutTimes keeps the times of the last versions and of the departed entry hosts.
type rolloutTimes struct {
	mu       sync.Mutex
	versions map[uint64]*rolloutTime
	// departed holds when each host of the departed list was first seen there.
	departed map[string]time.Time
}

func newRolloutTimes() *rolloutTimes {
	return &rolloutTimes{versions: make(map[uint64]*rolloutTime), departed: make(map[string]time.Time)}
}

func (t *rolloutTimes) adopted(now time.Time, r *control.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteDeparted(now, r)
	if r.BundleVersion == 0 {
		return
	}
	if t.versions[r.BundleVersion] == nil {
		t.versions[r.BundleVersion] = &rolloutTime{committed: now}
		delete(t.versions, r.BundleVersion-keptRollouts)
	}
	t.accept(now, r.AcceptedVersion)
}

// noteDeparted follows the departed list. The caller holds t.mu.
func (t *rolloutTimes) noteDeparted(now time.Time, r *control.Record) {
	departed := make(map[string]time.Time, len(r.Departed))
	for _, m := range r.Departed {
		at, ok := t.departed[m.ID]
		if !ok {
			at = now
		}
		departed[m.ID] = at
	}
	t.departed = departed
}

// departedAt returns when a host was first seen on the departed list, or the zero time.
func (t *rolloutTimes) departedAt(id string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.departed[id]
}

func (t *rolloutTimes) accepted(now time.Time, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accept(now, version)
}

// accept notes an accepted version. The caller holds t.mu.
func (t *rolloutTimes) accept(now time.Time, version uint64) {
	times := t.versions[version]
	if times == nil || !times.accepted.IsZero() {
		return
	}
	times.accepted = now
	if times.confirmed.IsZero() {
		times.confirmed = now
	}
}

// observe notes when all members have confirmed the version in force. It runs on the control goroutine.
func (t *rolloutTimes) observe(now time.Time, core *control.Core) {
	record := core.Record()
	if record == nil || record.AcceptedVersion == record.BundleVersion {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	times := t.versions[record.BundleVersion]
	if times == nil || !times.confirmed.IsZero() {
		return
	}
	for _, zone := range core.Progress(now).Zones {
		if len(zone.Waiting) > 0 {
			return
		}
	}
	times.confirmed = now
}

func (t *rolloutTimes) get(version uint64) (rolloutTime, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	times := t.versions[version]
	if times == nil {
		return rolloutTime{}, false
	}
	return *times, true
}

// rollOut stores a verified bundle and commits it.
func (inc *incarnation) rollOut(ctx context.Context, index *bundle.Index, signed []byte) error {
	if err := inc.storeBundle(ctx, index, signed); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, rolloutCommitTimeout)
	defer cancel()
	id := newNonce()
	_, err := inc.write(ctx, id, control.RollOut{
		ID: id, Base: index.Bundle.Base, Version: index.Bundle.Version, Digest: index.Digest, Bundle: signed,
	})
	if errors.Is(err, errNoOutcome) {
		return result.Errorf(result.RolloutUnresolved, "version %d", index.Bundle.Version)
	}
	return err
}

// errNoOutcome: a write was passed to the control loop and its outcome is not known.
var errNoOutcome = errors.New("the outcome of the write is not known")

// write passes a write with the given ID to the control loop and waits for its outcome. It returns the revision.
func (inc *incarnation) write(ctx context.Context, id string, ev control.Event) (uint64, error) {
	results := make(chan control.WriteResult, 2)
	err := inc.loop.call(ctx, func(time.Time) {
		inc.loop.waiting[id] = func(r control.WriteResult) { results <- r }
	})
	if err != nil || !inc.loop.post(ev) {
		go inc.forgetWrite(id)
		return 0, result.Errorf(result.StoreUnavailable, "the control loop is busy")
	}
	select {
	case r := <-results:
		if r.Err != nil {
			return 0, r.Err
		}
		return r.Revision, nil
	case <-ctx.Done():
		go inc.forgetWrite(id)
		return 0, errNoOutcome
	}
}

// forgetWrite drops the waiter of a write whose caller has given up.
func (inc *incarnation) forgetWrite(id string) {
	_ = inc.loop.call(inc.ctx, func(time.Time) { delete(inc.loop.waiting, id) })
}

// storeBundle writes the bundle under its version and digest. Nothing is committed by that.
func (inc *incarnation) storeBundle(ctx context.Context, index *bundle.Index, signed []byte) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutStoreTimeout)
	defer cancel()
	key := bundleKey(index.Bundle.Version, index.Digest)
	_, err := inc.d.store.CompareAndSwap(ctx, key, 0, signed)
	switch {
	case err == nil, errors.Is(err, platform.ErrConflict):
		return nil
	case errors.Is(err, platform.ErrTooLarge):
		return result.Errorf(result.BundleTooLarge, "%d bytes", len(signed))
	}
	// The write may have been applied although its answer was lost.
	if _, getErr := inc.d.store.Get(ctx, key); getErr == nil {
		return nil
	}
	return result.Errorf(result.StoreUnavailable, "%v", err)
}

// writeHistory records which bundle a committed version is. Every relay does it; the first one counts.
func (inc *incarnation) writeHistory(r *control.Record) {
	if r.BundleVersion == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(inc.ctx, rolloutStoreTimeout)
	defer cancel()
	_, err := inc.d.store.CompareAndSwap(ctx, historyKey(r.BundleVersion), 0, r.BundleDigest[:])
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		inc.d.log.Warn("history not written", "component", "control", "version", r.BundleVersion, "err", err)
	}
}
