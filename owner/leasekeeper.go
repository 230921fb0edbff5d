package owner

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/clock"
	"citrongauge.example/citrongauge/platform"
)

// lateRenewInterval replaces renewInterval while a renewal is late: a renewal that waits on a connection that has fallen silent does not
// delay the notice of the store's return for longer.
const lateRenewInterval = 100 * time.Millisecond

// overtakenAge is by how much a renewal must have been sent before another one that is answered earlier, so that its connection, and other ones
// of that time, count as silent.
const overtakenAge = 400 * time.Millisecond

// leaseKeeper renews the lease of the ownership and tracks the time until which the lease is certain to be valid.
type leaseKeeper struct {
	owner      *Owner
	lease      atomic.Uint64
	validUntil atomic.Int64 // by the monotonic clock; never decreases
	// failing is set while renewals fail, so that only the first failure and the recovery are logged.
	failing    atomic.Bool
	unanswered sentTimes
	expired    atomic.Bool // the store has reported that the present lease has ended
	// lost is called in a new goroutine when the store has reported that the lease has ended.
	lost func()
	// renewed is called after each renewal, with the time at which it was sent and the time that it took. isOvertaken is set if one
	// that was sent long before it has got no answer.
	renewed func(sent, took time.Duration, isOvertaken bool)
	// isStalled reports whether the owner's event loop hangs. The lease is not renewed then: another host can decide in its place.
	isStalled func() bool
	stalled   bool // as run has logged it
}

// extend records a renewal, which is valid from the time at which its request was sent.
func (k *leaseKeeper) extend(sent time.Duration) {
	validUntil := int64(sent + k.owner.leaseDuration() - leaseMargin)
	for {
		known := k.validUntil.Load()
		if known >= validUntil || k.validUntil.CompareAndSwap(known, validUntil) {
			return
		}
	}
}

// replace sets a new lease. requested is when it was requested, if isNew is set; otherwise it may be about to end.
func (k *leaseKeeper) replace(lease uint64, isNew bool, requested time.Duration) {
	k.lease.Store(lease)
	k.expired.Store(false)
	if isNew {
		k.unanswered.answered(requested)
		k.extend(requested)
	}
}

// remaining returns for how much longer the lease is certain to be valid.
func (k *leaseKeeper) remaining() time.Duration {
	return time.Duration(k.validUntil.Load()) - clock.Now()
}

func (k *leaseKeeper) valid() bool { return k.remaining() > 0 }

// isExpired reports whether the present lease has ended in the store.
func (k *leaseKeeper) isExpired() bool { return k.expired.Load() }

// noteExpired records that the lease has ended in the store.
func (k *leaseKeeper) noteExpired() {
	k.expired.Store(true)
	go k.lost()
}

// renewedAt returns when the last renewal that succeeded was sent, by the monotonic clock.
func (k *leaseKeeper) renewedAt() time.Duration {
	return time.Duration(k.validUntil.Load()) - k.owner.leaseDuration() + leaseMargin
}

func (k *leaseKeeper) run(ctx context.Context) {
	for {
		if !k.noteStall() {
			go k.renew(ctx) // also at once: the claim may have taken most of the lease
		}
		interval := renewInterval
		if since, ok := k.unanswered.oldest(); ok && k.owner.usesWitnesses() && clock.Now() > since+lateCall {
			interval = lateRenewInterval
		}
		clock.Sleep(ctx, interval)
		if ctx.Err() != nil {
			return
		}
	}
}

// noteStall reports whether the event loop hangs, and logs when that changes.
func (k *leaseKeeper) noteStall() bool {
	stalled := k.isStalled()
	if stalled != k.stalled {
		k.stalled = stalled
		k.owner.Log("event loop of the owner", "hangs", stalled, "lease_left_ms", k.remaining().Milliseconds())
	}
	return stalled
}

// renew sends one renewal.
func (k *leaseKeeper) renew(ctx context.Context) {
	sent, lease := clock.Now(), k.lease.Load()
	k.unanswered.add(sent)
	err := k.owner.KV.RenewLease(ctx, lease, renewTimeout)
	switch {
	case err == nil:
		if k.failing.Swap(false) {
			k.owner.Log("lease renewed again", "lease", lease, "left_ms", k.remaining().Milliseconds())
		}
		oldest, ok := k.unanswered.oldest()
		k.unanswered.answered(sent)
		k.extend(sent)
		k.renewed(sent, clock.Now()-sent, ok && oldest+overtakenAge < sent)
	case errors.Is(err, platform.ErrLeaseNotFound):
		if k.lease.Load() == lease {
			k.noteExpired()
		}
	case sent <= k.renewedAt(): // a later one has been answered
	case ctx.Err() == nil && !k.failing.Swap(true):
		k.owner.Log("lease not renewed", "lease", lease, "left_ms", k.remaining().Milliseconds(), "error", err.Error())
	}
}

// maxSentTimes bounds the number of times that sentTimes remembers. Of more, the first ones matter.
const maxSentTimes = 64

// sentTimes are the times of calls that got no positive answer, and after which no other call was sent that got one. It is safe for
// concurrent use.
type sentTimes struct {
	mu    sync.Mutex
	times []time.Duration
}

func (t *sentTimes) add(sent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.times) < maxSentTimes {
		t.times = append(t.times, sent)
	}
}

// answered records the answer to a call that was sent at the given time.
func (t *sentTimes) answered(sent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.times = slices.DeleteFunc(t.times, func(other time.Duration) bool { return other <= sent })
}

func (t *sentTimes) oldest() (sent time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.times) == 0 {
		return 0, false
	}
	return slices.Min(t.times), true
}
