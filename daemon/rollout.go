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
	// maxTrackedRollouts is the number of bundle versions whose times are kept.
	maxTrackedRollouts = 64
)

// rolloutTime holds the times of the rollout of one bundle version as this host observed them.
type rolloutTime struct {
	committed time.Time // when this host adopted the committed record
	confirmed time.Time // when this host knew that every member had confirmed
	accepted  time.Time // when this host knew that the version was accepted
}

// rolloutTimes keeps the times of the latest bundle versions and of the departed entry hosts.
type rolloutTimes struct {
	mu       sync.Mutex
	versions map[uint64]*rolloutTime
	// departed holds the time at which each host was first seen on the departed list.
	departed map[string]time.Time
}

func newRolloutTimes() *rolloutTimes {
	return &rolloutTimes{versions: make(map[uint64]*rolloutTime), departed: make(map[string]time.Time)}
}

func (t *rolloutTimes) noteAdopted(now time.Time, r *control.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateDeparted(now, r)
	if r.BundleVersion == 0 {
		return
	}
	if t.versions[r.BundleVersion] == nil {
		t.versions[r.BundleVersion] = &rolloutTime{committed: now}
		delete(t.versions, r.BundleVersion-maxTrackedRollouts)
	}
	t.setAccepted(now, r.AcceptedVersion)
}

// updateDeparted updates the departed entry hosts from a record. The caller holds t.mu.
func (t *rolloutTimes) updateDeparted(now time.Time, r *control.Record) {
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

func (t *rolloutTimes) noteAccepted(now time.Time, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setAccepted(now, version)
}

// setAccepted records the acceptance of a version. The caller holds t.mu.
func (t *rolloutTimes) setAccepted(now time.Time, version uint64) {
	times := t.versions[version]
	if times == nil || !times.accepted.IsZero() {
		return
	}
	times.accepted = now
	if times.confirmed.IsZero() {
		times.confirmed = now
	}
}

// noteConfirmed records when all members have confirmed the current bundle version. It runs on the control goroutine.
func (t *rolloutTimes) noteConfirmed(now time.Time, core *control.Core) {
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

// rollout stores a verified bundle and commits it to the control record.
func (inc *incarnation) rollout(ctx context.Context, index *bundle.Index, signed []byte) error {
	if err := inc.storeBundle(ctx, index, signed); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, rolloutCommitTimeout)
	defer cancel()
	id := newNonce()
	_, err := inc.write(ctx, id, control.Rollout{
		ID: id, Base: index.Bundle.Base, Version: index.Bundle.Version, Digest: index.Digest, Bundle: signed,
	})
	if errors.Is(err, errOutcomeUnknown) {
		return result.Errorf(result.RolloutUnresolved, "version %d", index.Bundle.Version)
	}
	return err
}

// errOutcomeUnknown is returned for a write that was passed to the control loop and whose outcome is not known.
var errOutcomeUnknown = errors.New("the outcome of the write is not known")

// write passes a write with the given ID to the control loop and waits for its outcome. It returns the committed
// revision.
func (inc *incarnation) write(ctx context.Context, id string, ev control.Event) (uint64, error) {
	results := make(chan control.WriteResult, 2)
	err := inc.loop.do(ctx, func(time.Time) {
		inc.loop.writeWaiters[id] = func(r control.WriteResult) { results <- r }
	})
	if err != nil || !inc.loop.post(ev) {
		go inc.removeWriteWaiter(id)
		return 0, result.Errorf(result.StoreUnavailable, "the control loop is busy")
	}
	select {
	case r := <-results:
		if r.Err != nil {
			return 0, r.Err
		}
		return r.Revision, nil
	case <-ctx.Done():
		go inc.removeWriteWaiter(id)
		return 0, errOutcomeUnknown
	}
}

// removeWriteWaiter removes the waiter of a write whose caller no longer waits.
func (inc *incarnation) removeWriteWaiter(id string) {
	_ = inc.loop.do(inc.ctx, func(time.Time) { delete(inc.loop.writeWaiters, id) })
}

// storeBundle writes the bundle to the store under its version and digest. This does not commit it.
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
	// The write may have been applied although its response was lost.
	if _, getErr := inc.d.store.Get(ctx, key); getErr == nil {
		return nil
	}
	return result.Errorf(result.StoreUnavailable, "%v", err)
}

// writeHistory stores the digest of a committed bundle version. Every relay attempts it; the first write wins.
func (inc *incarnation) writeHistory(r *control.Record) {
	if r.BundleVersion == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(inc.ctx, rolloutStoreTimeout)
	defer cancel()
	_, err := inc.d.store.CompareAndSwap(ctx, historyKey(r.BundleVersion), 0, r.BundleDigest[:])
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		inc.d.log.Warn("writing the bundle history failed", "component", "control", "version", r.BundleVersion, "err", err)
	}
}
