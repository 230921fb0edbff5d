// Package owner elects the one host that owns the fleet, and runs the fleet on that host. Every host competes for the
// ownership, which is a leased key in the store. The owner loads all jobs, fences all upstreams and then carries out
// the decisions of package schedule. It stops sending commands before its lease can have expired.
package owner

import (
	"context"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/announce"
	"citrongauge.example/citrongauge/clock"
	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/operator"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

const (
	// leaseTTL is how long the fleet stays without an owner after the owner has died, or after the store has become
	// unreachable for it or rejects its calls. It leaves time for several renewals even if the store is slow.
	leaseTTL = 1500 * time.Millisecond
	// leaseMargin is how long before the lease's expiry this host stops acting as the owner, since its clock may run
	// slower than the store's.
	leaseMargin   = 150 * time.Millisecond
	renewInterval = 250 * time.Millisecond
	// renewTimeout is longer than renewInterval: renewals overlap, so that a slow or lost response does not delay the
	// next renewal.
	renewTimeout = time.Second
	callTimeout  = 800 * time.Millisecond
	// ownerGCPercent lets the heap of the owner grow further between garbage collections, within the memory limit: the
	// owner has the processor time of one host for the whole fleet.
	ownerGCPercent = 250
	// ownerWatchWait is the longest time that one watch call on the owner's key waits for a change.
	ownerWatchWait = 1500 * time.Millisecond
	retryDelay     = 150 * time.Millisecond
	// yieldPause is how long a host that has yielded or handed over the ownership does not claim it, so that another
	// host can.
	yieldPause = 2 * time.Second
)

// Options are the settings and dependencies of an Owner.
type Options struct {
	Host      string
	Process   string // random ID, new at each start of the host's process
	Address   string // HTTP address at which this host accepts announcements
	Settings  platform.Settings
	KV        *platform.KV
	Ledger    *ledger.Ledger
	Operator  *operator.Follower
	Upstreams *platform.UpstreamClient
	Machines  *platform.MachineClient // nil: the platform has no machine service
	Advice    *platform.AdviceClient  // nil: the platform has no advice service
	Observe   Observer
	Peers     *announce.Peers // hosts that are connected to this one
	// SendToOwner sends a message to the owner without waiting. The message may be lost.
	SendToOwner func(announce.Message)
	Log         func(event string, fields ...any)
}

// Observer receives the measurements that are exported as metrics.
type Observer interface {
	OwnershipChanged(owning bool)
	JobEnded(team, queue, phase string, age time.Duration)
	Counts(stats schedule.Stats, jobs, upstreams int)
	// PermitRequested is called with the outcome of each request for a permit: granted, denied or failed.
	PermitRequested(outcome string)
	PermitsHeld(n int) // 0: the owner may not act without its lease
	Reclaimed(succeeded bool)
	// StepTook is called after each step of the owner's event loop: a decision, or the handling of an event.
	StepTook(kind string, took time.Duration)
}

// Owner competes for the ownership of the fleet and runs the fleet while it holds it.
type Owner struct {
	Options
	owning atomic.Bool
	// current is nil while this host does not own the fleet, and until the session has loaded its state.
	current      atomic.Pointer[session]
	ownerAddress atomic.Pointer[string] // address of the owner, as last read
	bounds       atomic.Pointer[platform.Bounds]
	fitness      float64
	// last describes the last ownership of this process; nil: there was none.
	last atomic.Pointer[lastOwnership]
	// startedAt is when this process began, by the monotonic clock.
	startedAt   time.Duration
	predecessor predecessor
	storeHealth storeHealth
	// nextHandoverRequest is the earliest time of the next handover request, by the monotonic clock.
	nextHandoverRequest time.Duration
}

// New returns an Owner that is idle until Run is called.
func New(options Options) *Owner {
	o := &Owner{Options: options, fitness: fitness(options.Settings.Capacity), startedAt: clock.Now()}
	o.ownerAddress.Store(new(string))
	o.SetBounds(options.Settings.Bounds)
	return o
}

// SetBounds replaces the platform's bounds. The new bounds apply from the next ownership on.
func (o *Owner) SetBounds(bounds platform.Bounds) { o.bounds.Store(&bounds) }

// IsOwner reports whether this host owns the fleet.
func (o *Owner) IsOwner() bool { return o.owning.Load() }

// OwnerAddress returns the address at which the last known owner accepts announcements, or "" if there is none.
func (o *Owner) OwnerAddress() string { return *o.ownerAddress.Load() }

// HandleAnnouncement queues an announcement for processing. from is the host that sent it; nil: this host. It returns false if this
// host does not own the fleet.
func (o *Owner) HandleAnnouncement(message announce.Message, from *announce.Peer) bool {
	s := o.current.Load()
	if s == nil {
		return false
	}
	s.handleAnnouncement(message, from)
	return true
}

// ErrNotOwner is returned by calls that only the owner of the fleet can handle.
var ErrNotOwner = errors.New("this host does not own the fleet")

// Explain describes the state of a job. ok is false if the job is unknown or has ended.
func (o *Owner) Explain(ctx context.Context, id job.ID) (explanation schedule.Explanation, ok bool, err error) {
	s := o.current.Load()
	if s == nil {
		return schedule.Explanation{}, false, ErrNotOwner
	}
	type result struct {
		explanation schedule.Explanation
		ok          bool
	}
	results := make(chan result, 1)
	s.post(ctx, func(s *session) {
		explanation, ok := s.core.Explain(id)
		results <- result{explanation, ok}
	})
	select {
	case r := <-results:
		return r.explanation, r.ok, nil
	case <-ctx.Done():
		return schedule.Explanation{}, false, ctx.Err()
	}
}

// Run competes for the ownership until ctx ends, and then gives up an ownership that it holds.
func (o *Owner) Run(ctx context.Context) {
	var failingSince time.Duration // 0: the last claim found an owner or succeeded
	for ctx.Err() == nil {
		ownership, leaseRequested, err := o.claim(ctx)
		if failingSince > 0 && (err == nil || errors.Is(err, ledger.ErrOwnedByOther)) {
			o.Log("owner known again", "owned_here", err == nil, "after_ms", (clock.Now() - failingSince).Milliseconds())
			failingSince = 0
		}
		switch {
		case err == nil:
			err := o.runOwnership(ctx, ownership, leaseRequested)
			if !errors.Is(err, errHandedOver) {
				o.nextHandoverRequest = clock.Now() + handoverRequestPause
			}
			if errors.Is(err, errYielded) || errors.Is(err, errHandedOver) || errors.Is(err, errTurnedAway) {
				clock.Sleep(ctx, yieldPause)
			}
		case errors.Is(err, ledger.ErrOwnedByOther):
			o.waitForOwnerChange(ctx)
		case ctx.Err() == nil:
			if failingSince == 0 {
				o.Log("ownership not claimed", "error", err.Error())
				failingSince = clock.Now()
			}
			clock.Sleep(ctx, retryDelay)
		}
	}
}

// waitForOwnerChange returns when the owner's key changes or the watch on it fails.
func (o *Owner) waitForOwnerChange(ctx context.Context) {
	item, asOf, err := o.readOwnerItem(ctx)
	if err != nil {
		clock.Sleep(ctx, retryDelay)
		return
	}
	record, err := ledger.DecodeOwner(item)
	if err != nil {
		o.Log("unreadable owner record", "revision", item.Revision, "error", err.Error())
	}
	if err == nil {
		o.predecessor.noteKey(item, record, clock.Now())
	}
	o.ownerAddress.Store(&record.Address)
	after := asOf
	for item.Revision != 0 && ctx.Err() == nil {
		begin := clock.Now()
		events, asOf, err := o.KV.Watch(ctx, ledger.OwnerKey, after, ownerWatchWait)
		if clock.Now() > begin+ownerWatchWait+lateCall {
			o.storeHealth.noteTrouble(clock.Now()) // the store has not ended the watch in time
		}
		if err != nil {
			clock.Sleep(ctx, retryDelay)
			return
		}
		if len(events) > 0 {
			o.predecessor.noteEvents(events, clock.Now())
			return
		}
		after = asOf
		o.requestHandover(record)
	}
}

// readOwnerItem returns the owner's item, with revision 0 if there is none, and the revision from which to watch it. That is
// not the item's own: the store may have discarded the history since then.
func (o *Owner) readOwnerItem(ctx context.Context) (item platform.Item, asOf uint64, err error) {
	page, err := o.KV.Range(ctx, ledger.OwnerKey, "", callTimeout)
	for _, found := range page.Items {
		if found.Key == ledger.OwnerKey {
			item = found
		}
	}
	return item, page.AsOf, err
}

// claim takes the ownership if it is free. It also returns the time just before it requested the lease, by the
// monotonic clock.
func (o *Owner) claim(ctx context.Context) (*ledger.Ownership, time.Duration, error) {
	item, err := o.KV.Get(ctx, ledger.OwnerKey, callTimeout)
	if err != nil {
		return nil, 0, err
	}
	record, err := ledger.DecodeOwner(item)
	if err != nil {
		return nil, 0, err
	}
	o.predecessor.noteKey(item, record, clock.Now())
	o.ownerAddress.Store(&record.Address)
	if item.Revision != 0 && record.Host != o.Host {
		return nil, 0, ledger.ErrOwnedByOther
	}
	o.delayClaim(ctx)
	o.leaveTimeForReclaim(ctx, item)
	lease, leaseRequested, err := o.grantLease(ctx)
	if err != nil {
		return nil, 0, err
	}
	claimCtx, cancel := context.WithTimeout(ctx, o.leaseDuration())
	defer cancel()
	ownership, err := o.Ledger.Claim(claimCtx, o.ownerRecord(), lease, callTimeout)
	if err != nil {
		if revokeErr := o.KV.RevokeLease(ctx, lease, callTimeout); revokeErr != nil {
			o.Log("lease not revoked", "lease", lease, "error", revokeErr.Error())
		}
		return nil, 0, err
	}
	return ownership, leaseRequested, nil
}

// grantLease requests a lease. It also returns the time just before the request, by the monotonic clock.
func (o *Owner) grantLease(ctx context.Context) (lease uint64, requested time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = ledger.RepeatRejected(ctx, func() error {
		requested = clock.Now()
		lease, _, err = o.KV.GrantLease(ctx, o.leaseDuration(), callTimeout)
		return err
	})
	return lease, requested, err
}

// ownerRecord returns the record of this host as the owner, without the generation.
func (o *Owner) ownerRecord() ledger.OwnerRecord {
	return ledger.OwnerRecord{Host: o.Host, Process: o.Process, Address: o.Address, Fitness: o.fitness}
}

func (o *Owner) leaseDuration() time.Duration { return max(leaseTTL, o.Settings.Store.MinLease) }

// runOwnership runs the fleet until the ownership ends. It returns the session's failure, or nil if the session was
// ended by ctx or by the loss of the lease.
func (o *Owner) runOwnership(ctx context.Context, ownership *ledger.Ownership, leaseRequested time.Duration) error {
	defer debug.SetGCPercent(debug.SetGCPercent(ownerGCPercent))
	ended, earlierLease, source := o.endOfEarlier(ownership)
	o.Log("ownership claimed", "token", ownership.Token, "generation", ownership.Generation, "earlier_ended_ms_ago", agoMS(ended),
		"known_from", source, "earlier_lease_ms", earlierLease.Milliseconds())
	o.owning.Store(true)
	o.Observe.OwnershipChanged(true)
	ownershipCtx, end := context.WithCancelCause(ctx)
	lease := &leaseKeeper{owner: o}
	lease.lease.Store(ownership.Lease)
	lease.extend(leaseRequested)
	s := newSession(o, ownership, lease, ended, earlierLease)
	lease.lost = func() { s.leaseLost(ownershipCtx, end) }
	lease.renewed = s.noteRenewal
	lease.isStalled = s.progress.isStalled
	go lease.run(ownershipCtx)
	s.earlier = o.predecessor.recordBefore(ownership)
	o.ownerAddress.Store(&o.Address)
	s.run(ownershipCtx)
	o.Observe.PermitsHeld(0)
	o.last.Store(newLastOwnership(s))
	if errors.Is(s.failure, errTurnedAway) {
		s.requestRelease(ctx)
	}
	o.current.Store(nil)
	cause := context.Cause(ownershipCtx)
	end(nil)
	o.owning.Store(false)
	o.Observe.OwnershipChanged(false)
	reason := "shutdown"
	if ctx.Err() == nil && cause != nil {
		reason = cause.Error()
	}
	if s.failure != nil {
		reason = s.failure.Error()
	}
	o.Log("ownership ended", "token", ownership.Token, "reason", reason, "lease_left_ms", lease.remaining().Milliseconds())
	// Calls of this session that are still in flight must have no effect once another host owns the fleet. Fencing
	// ensures this: receivers reject the lower fencing token, and the store rejects writes that rely on an earlier
	// revision of cg/chain.
	o.release(context.WithoutCancel(ctx), ownership, lease.lease.Load())
	return s.failure
}

// release gives an ownership up that has ended here, so that another host can claim it before its lease has expired.
func (o *Owner) release(ctx context.Context, ownership *ledger.Ownership, lease uint64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := ownership.Release(ctx, callTimeout); err != nil {
		o.Log("ownership not given up: its lease has to expire", "token", ownership.Token, "error", err.Error())
		return
	}
	if err := o.KV.RevokeLease(ctx, lease, callTimeout); err != nil {
		o.Log("lease not revoked", "lease", lease, "error", err.Error())
	}
}

// errYielded ends an ownership whose host cannot reach most upstreams.
var errYielded = errors.New("most upstreams cannot be reached")

// errLeaseEnded is the cancellation cause of an ownership whose lease has expired or was revoked in the store.
var errLeaseEnded = errors.New("lease has ended")
