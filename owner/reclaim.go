package owner

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/clock"
	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/platform"
)

const (
	// reclaimTimeout bounds the first call of a reclaim, and maxReclaimTimeout the later ones: each takes twice as long as the one before.
	// The first ones are short, since a connection from before the silence may not respond.
	reclaimTimeout    = 150 * time.Millisecond
	maxReclaimTimeout = 800 * time.Millisecond
	reclaimPause      = 20 * time.Millisecond
	awaitPause        = 5 * time.Millisecond // between two looks at whether a reclaim has ended
)

// writeGate separates the batches of an ownership from its reclaims: a reclaim stops the batch in flight, which is stored again after it.
// It is safe for concurrent use.
type writeGate struct {
	mu        sync.Mutex
	stop      context.CancelFunc // of the batch in flight; nil: there is none
	stopped   chan struct{}      // closed when that has ended
	reclaimed chan struct{}      // closed when the reclaim in progress has ended; nil: there is none
	reclaims  int                // that have ended
}

// beginBatch waits for the end of a reclaim and returns the context of a batch. endBatch has to be called after it.
func (g *writeGate) beginBatch(ctx context.Context) (context.Context, error) {
	for {
		g.mu.Lock()
		wait := g.reclaimed
		if wait == nil {
			ctx, g.stop = context.WithCancel(ctx)
			g.stopped = make(chan struct{})
			g.mu.Unlock()
			return ctx, nil
		}
		g.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return ctx, ctx.Err()
		}
	}
}

// endBatch reports whether a reclaim has stopped the batch.
func (g *writeGate) endBatch() (wasStopped bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stop()
	g.stop = nil
	close(g.stopped)
	return g.reclaimed != nil
}

// beginReclaim stops the batch in flight and waits for its end. It returns false if a reclaim is in progress, or if none is needed: a
// batch that was stopped must not be stored again without a reclaim, since its lanes may be ahead of what is known of them.
func (g *writeGate) beginReclaim(isNeeded func() bool) bool {
	g.mu.Lock()
	if g.reclaimed != nil || !isNeeded() {
		g.mu.Unlock()
		return false
	}
	g.reclaimed = make(chan struct{})
	stop, stopped := g.stop, g.stopped
	g.mu.Unlock()
	if stop != nil {
		stop()
		<-stopped
	}
	return true
}

func (g *writeGate) endReclaim() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.reclaimed)
	g.reclaimed = nil
	g.reclaims++
}

// count returns the number of reclaims that have ended.
func (g *writeGate) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reclaims
}

// leaseLost handles the loss of the owner's lease in the store: it reclaims the ownership if permits allow the session to act, and ends it
// otherwise.
func (s *session) leaseLost(ctx context.Context, end context.CancelCauseFunc) {
	if !s.permits.valid() {
		end(errLeaseEnded)
		return
	}
	if !s.gate.beginReclaim(s.lease.isExpired) {
		return // one is in progress, or has succeeded meanwhile
	}
	defer s.gate.endReclaim()
	begin := clock.Now()
	err := s.reclaim(ctx)
	s.Observe.Reclaimed(err == nil)
	if err != nil {
		s.Log("ownership not reclaimed", "generation", s.ownership.Generation, "took_ms", (clock.Now() - begin).Milliseconds(), "error", err.Error())
		end(errors.Wrap(err, "reclaim"))
		return
	}
	s.watches.restart(clock.Now())
	s.Log("ownership reclaimed", "generation", s.ownership.Generation, "lease", s.ownership.Lease,
		"took_ms", (clock.Now() - begin).Milliseconds(), "lease_left_ms", s.lease.remaining().Milliseconds())
}

// reclaim requests a lease and stores the owner's record under it, while the session may act.
func (s *session) reclaim(ctx context.Context) error {
	var lease uint64 // 0: a new one has to be requested
	var requested time.Duration
	err := errLeaseEnded
	for timeout := reclaimTimeout; s.permits.valid() && ctx.Err() == nil; timeout = min(2*timeout, maxReclaimTimeout) {
		if lease == 0 {
			requested = clock.Now()
			if lease, _, err = s.KV.GrantLease(ctx, s.leaseDuration(), timeout); err != nil {
				lease = 0
				clock.Sleep(ctx, reclaimPause)
				continue
			}
		}
		err = s.ownership.Reclaim(ctx, s.ownerRecord(), lease, timeout)
		switch {
		case err == nil:
			s.lease.replace(s.ownership.Lease, s.ownership.Lease == lease, requested)
			return nil
		case errors.Is(err, platform.ErrLeaseNotFound):
			lease = 0
		case !errors.Is(err, platform.ErrNotExecuted) && !errors.Is(err, platform.ErrOutcomeUnknown):
			s.revoke(ctx, lease)
			return err
		}
		clock.Sleep(ctx, reclaimPause)
	}
	s.revoke(ctx, lease)
	return err
}

// revoke revokes the lease of a reclaim that failed, so that a copy which is executed late has no effect.
func (s *session) revoke(ctx context.Context, lease uint64) {
	if lease == 0 {
		return
	}
	if err := s.KV.RevokeLease(context.WithoutCancel(ctx), lease, reclaimTimeout); err != nil {
		s.Log("lease not revoked", "lease", lease, "error", err.Error())
	}
}

// storeWrites stores a batch. A batch that a reclaim stops is stored again after it.
func (s *session) storeWrites(ctx context.Context, writes []ledger.Write) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	for {
		reclaims := s.gate.count()
		batchCtx, err := s.gate.beginBatch(ctx)
		if err != nil {
			return err
		}
		err = s.ownership.StoreAll(batchCtx, writes, storeConcurrency(s.Settings.Store.WritesPerSecond, s.ownership.ResponseTime()))
		if err == nil {
			s.newestWrite.Store(s.ownership.NewestRevision())
		}
		wasStopped := s.gate.endBatch()
		isExpired := errors.Is(err, ledger.ErrKeyExpired)
		if err == nil || ctx.Err() != nil || !wasStopped && !isExpired {
			return err
		}
		if !wasStopped && !s.awaitReclaim(ctx, reclaims) {
			return err
		}
	}
}

// awaitReclaim waits for a reclaim after the given number of them. It returns false if the session has lost its right to one.
func (s *session) awaitReclaim(ctx context.Context, reclaims int) bool {
	if !s.permits.valid() {
		return false
	}
	s.lease.noteExpired()
	for s.gate.count() == reclaims {
		if !s.permits.valid() || ctx.Err() != nil {
			return false
		}
		clock.Sleep(ctx, awaitPause)
	}
	return ctx.Err() == nil
}
