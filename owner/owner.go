// Package owner runs the fleet on the one host that owns it. Every host competes for the ownership, a leased key in
// the store; the one that has it reads all jobs, fences all upstreams and then lets the decision core decide. It stops
// giving orders before its lease can have ended.
package owner

import (
	"context"
	"sync/atomic"
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
	// leaseTTL is how long the fleet is without an owner after one has died, or was turned away by the store. Several
	// renewals fit into it also where the store is slow.
	leaseTTL = 1500 * time.Millisecond
	// leaseMargin ends the ownership early on this host, as its clock may run slow relative to the store's.
	leaseMargin = 150 * time.Millisecond
	renewEvery  = 250 * time.Millisecond
	// renewTimeout is longer than renewEvery: renewals overlap, so that a slow or lost answer delays none.
	renewTimeout = time.Second
	callTimeout  = 800 * time.Millisecond
	// candidateWait is the longest wait of a watch on the owner's key.
	candidateWait = 1500 * time.Millisecond
	failurePause  = 150 * time.Millisecond
	// yieldPause leaves the ownership to another host after this one has yielded.
	yieldPause = 2 * time.Second
)

// Options are what an Owner works with.
type Options struct {
	Host      string
	Process   string // differs between lives of the host's process
	Address   string // where this host accepts announcements
	Settings  platform.Settings
	KV        *platform.KV
	Ledger    *ledger.Ledger
	Operator  *operator.Follower
	Upstreams *platform.Upstreams
	Machines  *platform.Machines // nil: there is no list of machines
	Advice    *platform.Advice   // nil: there is no advice service
	Observe   Observer
	// Ask sends a message to the owner; best effort.
	Ask func(announce.Message)
	Log func(event string, fields ...any)
}

// Observer receives measurements, for metrics.
type Observer interface {
	Owning(owning bool)
	JobEnded(team, queue, phase string, age time.Duration)
	Counts(stats schedule.Stats, jobs, upstreams int)
}

// Owner competes for the ownership and uses it.
type Owner struct {
	Options
	owning  atomic.Bool
	present atomic.Pointer[session] // while this host owns the fleet
	known   atomic.Pointer[string]  // address of the owner, as last read
	bounds  atomic.Pointer[platform.Bounds]
	fitness float64
	// askAgain is when this host may ask for the ownership after it has lost it.
	askAgain time.Duration
}

// New returns an owner that does nothing until Run.
func New(options Options) *Owner {
	o := &Owner{Options: options, fitness: fitness(options.Settings.Capacity)}
	o.known.Store(new(string))
	o.SetBounds(options.Settings.Bounds)
	return o
}

// SetBounds replaces the platform's bounds for the ownerships that follow.
func (o *Owner) SetBounds(bounds platform.Bounds) { o.bounds.Store(&bounds) }

// Owning reports whether this host owns the fleet.
func (o *Owner) Owning() bool { return o.owning.Load() }

// OwnerAddress returns the address of the owner's announcements as last read, or an empty text.
func (o *Owner) OwnerAddress() string { return *o.known.Load() }

// Announced takes over an announcement. It returns false if this host does not own the fleet.
func (o *Owner) Announced(message announce.Message) bool {
	r := o.present.Load()
	if r == nil {
		return false
	}
	r.announced(message)
	return true
}

// ErrNotOwner is returned for a question that only the owner can answer.
var ErrNotOwner = errors.New("this host does not own the fleet")

// Explain describes a job. ok is false if the job is not known or has ended.
func (o *Owner) Explain(ctx context.Context, id job.ID) (explanation schedule.Explanation, ok bool, err error) {
	r := o.present.Load()
	if r == nil {
		return schedule.Explanation{}, false, ErrNotOwner
	}
	type answer struct {
		explanation schedule.Explanation
		ok          bool
	}
	answers := make(chan answer, 1)
	r.post(ctx, func(r *session) {
		explanation, ok := r.core.Explain(id)
		answers <- answer{explanation, ok}
	})
	select {
	case a := <-answers:
		return a.explanation, a.ok, nil
	case <-ctx.Done():
		return schedule.Explanation{}, false, ctx.Err()
	}
}

// Run competes until ctx ends. An ownership that is held then is given back.
func (o *Owner) Run(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		ownership, since, err := o.claim(ctx)
		switch {
		case err == nil:
			failing = false
			err := o.own(ctx, ownership, since)
			if !errors.Is(err, errFitter) {
				o.askAgain = steady.Now() + askPause
			}
			if errors.Is(err, errYielded) || errors.Is(err, errFitter) {
				steady.Sleep(ctx, yieldPause)
			}
		case errors.Is(err, ledger.ErrOwned):
			failing = false
			o.waitForChange(ctx)
		case ctx.Err() == nil:
			if !failing {
				o.Log("ownership not claimed", "error", err.Error())
			}
			failing = true
			steady.Sleep(ctx, failurePause)
		}
	}
}

// waitForChange returns when the owner's key changes or a watch ends.
func (o *Owner) waitForChange(ctx context.Context) {
	item, err := o.KV.Get(ctx, ledger.OwnerKey, callTimeout)
	if err != nil {
		steady.Sleep(ctx, failurePause)
		return
	}
	record, err := ledger.DecodeOwner(item)
	if err != nil {
		o.Log("unreadable record of the owner", "revision", item.Revision, "error", err.Error())
	}
	o.known.Store(&record.Address)
	after := item.Revision
	for item.Revision != 0 && ctx.Err() == nil {
		events, asOf, err := o.KV.Watch(ctx, ledger.OwnerKey, after, candidateWait)
		if err != nil {
			steady.Sleep(ctx, failurePause)
			return
		}
		if len(events) > 0 {
			return
		}
		after = asOf
		o.askOwner(record)
	}
}

// claim takes the ownership if it is free. since is a time on the steady clock before the lease began.
func (o *Owner) claim(ctx context.Context) (*ledger.Ownership, time.Duration, error) {
	item, err := o.KV.Get(ctx, ledger.OwnerKey, callTimeout)
	if err != nil {
		return nil, 0, err
	}
	record, err := ledger.DecodeOwner(item)
	if err != nil {
		return nil, 0, err
	}
	o.known.Store(&record.Address)
	if item.Revision != 0 && record.Host != o.Host {
		return nil, 0, ledger.ErrOwned
	}
	o.leaveToFitter(ctx)
	since := steady.Now()
	lease, _, err := o.KV.GrantLease(ctx, o.ttl(), callTimeout)
	if err != nil {
		return nil, 0, err
	}
	ownership, err := o.Ledger.Claim(ctx, ledger.OwnerRecord{
		Host: o.Host, Process: o.Process, Address: o.Address, Fitness: o.fitness,
	}, lease, callTimeout)
	if err != nil {
		if endErr := o.KV.EndLease(ctx, lease, callTimeout); endErr != nil {
			o.Log("lease not ended", "lease", lease, "error", endErr.Error())
		}
		return nil, 0, err
	}
	return ownership, since, nil
}

func (o *Owner) ttl() time.Duration { return max(leaseTTL, o.Settings.Store.MinLease) }

// own uses an ownership until it ends, and returns why it failed, if it did.
func (o *Owner) own(ctx context.Context, ownership *ledger.Ownership, since time.Duration) error {
	o.Log("ownership claimed", "token", ownership.Token, "generation", ownership.Generation)
	o.owning.Store(true)
	o.Observe.Owning(true)
	owned, end := context.WithCancelCause(ctx)
	lease := &leaseKeeper{owner: o, lease: ownership.Lease}
	lease.renewed(since)
	go lease.run(owned, end)
	r := newSession(o, ownership, lease)
	o.known.Store(&o.Address)
	r.run(owned)
	o.present.Store(nil)
	cause := context.Cause(owned)
	end(nil)
	o.owning.Store(false)
	o.Observe.Owning(false)
	reason := "shutdown"
	if ctx.Err() == nil && cause != nil {
		reason = cause.Error()
	}
	if r.failure != nil {
		reason = r.failure.Error()
	}
	o.Log("ownership ended", "token", ownership.Token, "reason", reason, "lease_left_ms", lease.left().Milliseconds())
	// Calls that are on their way must be over before another host may own the fleet: each is refused by a fence.
	giveBack, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := o.KV.EndLease(giveBack, ownership.Lease, callTimeout); err != nil {
		o.Log("lease not ended", "lease", ownership.Lease, "error", err.Error())
	}
	return r.failure
}

// errYielded is the reason for which an owner that cannot reach most upstreams gives up.
var errYielded = errors.New("most upstreams cannot be reached")

// errLeaseEnded is the cause with which an ownership ends.
var errLeaseEnded = errors.New("lease has ended")

// leaseKeeper renews the lease of the ownership and knows until when it is valid for certain.
type leaseKeeper struct {
	owner *Owner
	lease uint64
	until atomic.Int64 // steady time; never decreases while the lease is kept
	// failing is set while renewals fail, so that only changes are logged.
	failing atomic.Bool
}

func (k *leaseKeeper) renewed(sent time.Duration) {
	until := int64(sent + k.owner.ttl() - leaseMargin)
	for {
		known := k.until.Load()
		if known >= until || k.until.CompareAndSwap(known, until) {
			return
		}
	}
}

// left returns how long the lease is still valid for certain.
func (k *leaseKeeper) left() time.Duration { return time.Duration(k.until.Load()) - steady.Now() }

func (k *leaseKeeper) valid() bool { return k.left() > 0 }

func (k *leaseKeeper) run(ctx context.Context, end context.CancelCauseFunc) {
	ticker := time.NewTicker(renewEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			go k.renew(ctx, end)
		}
	}
}

// renew sends one renewal.
func (k *leaseKeeper) renew(ctx context.Context, end context.CancelCauseFunc) {
	sent := steady.Now()
	err := k.owner.KV.KeepLease(ctx, k.lease, renewTimeout)
	switch {
	case err == nil:
		if k.failing.Swap(false) {
			k.owner.Log("lease renewed again", "lease", k.lease, "left_ms", k.left().Milliseconds())
		}
		k.renewed(sent)
	case errors.Is(err, platform.ErrLeaseEnded):
		end(errLeaseEnded)
	case ctx.Err() == nil && !k.failing.Swap(true):
		k.owner.Log("lease not renewed", "lease", k.lease, "left_ms", k.left().Milliseconds(), "error", err.Error())
	}
}
