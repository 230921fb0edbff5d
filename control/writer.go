package control

import (
	"errors"
	"time"

	"citrongauge.example/citrongauge/result"
)

// WriteTimeout is the time after which a result is reported for a requested write, even if its outcome is not known.
const WriteTimeout = 3 * time.Second

// maxQueuedWrites limits the number of writes that wait for the one in progress.
const maxQueuedWrites = 256

// ErrNoChange is returned by a mutation if the record already has the desired content.
var ErrNoChange = errors.New("no change needed")

// write is a change of the record. Writes without an ID are internal: they are derived again from the record after a
// conflict instead of being retried.
type write struct {
	id       string
	mutate   func(*Record) error
	bundle   []byte
	deadline time.Time
	reported bool
	// idempotent writes detect in mutate that they were already applied.
	idempotent bool
	// maybeApplied is set if an earlier attempt may have been applied and then replaced.
	maybeApplied bool
}

// attempt is a compare-and-swap whose outcome is still needed.
type attempt struct {
	write            *write
	ids              []uint64 // resending the same record uses a new ID
	expectedRevision uint64   // expected store revision
	record           Record
	// sent is when the record was last sent, firstSent when it was first sent. Either copy may be applied.
	sent, firstSent time.Time
	// unresolved is set when the outcome can only be learned by reading the record.
	unresolved bool
	// unresolvedAt is when the attempt became unresolved. Only a later read resolves it.
	unresolvedAt time.Time
}

// writerState holds the queue of writes and at most one attempt. Nothing else is written until the attempt is
// resolved.
type writerState struct {
	queue    []*write
	attempt  *attempt
	announce bool // announce the current record to every member
}

func (c *Core) enqueue(now time.Time, w *write) {
	if len(c.writer.queue) >= maxQueuedWrites {
		c.reportResult(w, result.Errorf(result.RolloutConflict, "%d changes are waiting", maxQueuedWrites))
		return
	}
	w.deadline = now.Add(WriteTimeout)
	c.writer.queue = append(c.writer.queue, w)
}

func (c *Core) enqueueProposal(now time.Time, ev Propose) {
	mutate := func(r *Record) error {
		before := r.clone()
		if err := ev.Mutate(r); err != nil {
			return err
		}
		assignments, seq := r.Assignments, r.PoolSeq
		*r = before
		r.Assignments, r.PoolSeq = assignments, seq
		return nil
	}
	c.enqueue(now, &write{id: ev.ID, mutate: mutate})
}

func (c *Core) enqueueRollout(now time.Time, ev Rollout) {
	w := &write{id: ev.ID, bundle: ev.Bundle, idempotent: true}
	info, err := c.opts.VerifyBundle(ev.Version, ev.Digest, ev.Bundle)
	if err != nil {
		c.reportResult(w, result.FromError(err, result.SignatureInvalid))
		return
	}
	w.mutate = func(r *Record) error { return applyRollout(r, ev, info) }
	c.enqueue(now, w)
}

func applyRollout(r *Record, ev Rollout, info BundleInfo) error {
	if r.BundleVersion == ev.Version && r.BundleDigest == ev.Digest {
		return ErrNoChange
	}
	if r.BundleVersion != ev.Base {
		return result.Errorf(result.RolloutConflict, "version %d is in force, the bundle was edited from %d", r.BundleVersion, ev.Base)
	}
	if ev.Version <= r.BundleVersion {
		return result.Errorf(result.VersionNotHigher, "version %d, in force %d", ev.Version, r.BundleVersion)
	}
	r.BundleVersion, r.BundleDigest = ev.Version, ev.Digest
	r.MaxServeForMS = max(r.MaxServeForMS, info.ServeFor.Milliseconds())
	return nil
}

// reportResult emits the outcome of a requested write. Only a write first reported as unresolved may be reported
// twice.
func (c *Core) reportResult(w *write, err *result.Error) {
	if w.id == "" {
		return
	}
	c.emit(WriteResult{ID: w.id, Revision: c.heldRevision(), Err: err})
	w.reported = true
}

// advanceWriter advances the current attempt, or starts the next queued write if there is none.
func (c *Core) advanceWriter(now time.Time) {
	c.expireQueue(now)
	if a := c.writer.attempt; a != nil {
		c.resolveAttempt(now, a)
	}
	if c.writer.attempt != nil || len(c.writer.queue) == 0 || c.evicted || c.left {
		return
	}
	if !c.baseKnown() {
		if c.store.lastRead.IsZero() || now.Sub(c.store.lastRead) >= TickInterval {
			c.readStore(now)
		}
		return
	}
	w := c.writer.queue[0]
	c.writer.queue = c.writer.queue[1:]
	c.startWrite(now, w)
}

// expireQueue reports writes that were not sent before their deadline. They are known not to be applied unless
// maybeApplied is set.
func (c *Core) expireQueue(now time.Time) {
	kept := c.writer.queue[:0]
	for _, w := range c.writer.queue {
		switch {
		case now.Before(w.deadline):
			kept = append(kept, w)
		case w.maybeApplied:
			c.reportResult(w, result.Errorf(result.RolloutUnresolved, "an earlier attempt may have been committed"))
		default:
			c.reportResult(w, result.Errorf(result.StoreUnavailable, "the record could not be read for %v", WriteTimeout))
		}
	}
	c.writer.queue = kept
}

// baseKnown reports whether the store revision of the current record is known, which a compare-and-swap requires.
func (c *Core) baseKnown() bool {
	return c.record != nil && c.store.revision != 0 || c.record == nil && c.store.empty
}

// startWrite computes the next record and sends it. It reports whether the record was sent.
func (c *Core) startWrite(now time.Time, w *write) bool {
	base := Record{}
	if c.record != nil {
		base = *c.record
	}
	next := base.clone()
	err := w.mutate(&next)
	if errors.Is(err, ErrNoChange) {
		c.reportResult(w, nil)
		return false
	}
	if err == nil {
		next.Revision = base.Revision + 1
		next.WriterNonce = c.opts.NewNonce()
		err = c.checkWritable(&next)
	}
	if err != nil && w.maybeApplied {
		err = result.Errorf(result.RolloutUnresolved, "an earlier attempt may have been committed: %v", err)
	}
	if err != nil {
		c.reportResult(w, result.FromError(err, result.RolloutConflict))
		return false
	}
	c.writer.attempt = &attempt{write: w, expectedRevision: c.store.revision, record: next}
	c.sendAttempt(now, c.writer.attempt)
	return true
}

func (c *Core) checkWritable(next *Record) error {
	if err := c.checkSuccessor(next); err != nil {
		return err
	}
	_, err := EncodeRecord(*next)
	return err
}

func (c *Core) sendAttempt(now time.Time, a *attempt) {
	c.store.nextID++
	a.ids = append(a.ids, c.store.nextID)
	a.sent, a.unresolved = now, false
	if a.firstSent.IsZero() {
		a.firstSent = now
	}
	c.emit(CompareAndSwap{ID: c.store.nextID, Expected: a.expectedRevision, Record: a.record})
}

func (c *Core) handleCAS(now time.Time, ev CASCompleted) {
	a := c.writer.attempt
	if a == nil || !containsID(a.ids, ev.ID) {
		return
	}
	if ev.Outcome == CASApplied {
		c.completeAttempt(now, a, ev.StoreRevision)
		return
	}
	// The conflict may be with an earlier copy of the same write, so it is also resolved by reading the store.
	c.markUnresolved(now, a)
}

func containsID(ids []uint64, id uint64) bool {
	for _, known := range ids {
		if known == id {
			return true
		}
	}
	return false
}

func (c *Core) markUnresolved(now time.Time, a *attempt) {
	if a.unresolved {
		return
	}
	a.unresolved, a.unresolvedAt = true, now
	if c.heldRevision() < a.record.Revision {
		c.store.revision, c.store.empty = 0, false
	}
}

// completeAttempt ends an attempt that was applied.
func (c *Core) completeAttempt(now time.Time, a *attempt, storeRevision uint64) {
	c.writer.attempt = nil
	if c.heldRevision() < a.record.Revision {
		if err := c.adopt(now, &a.record, a.write.bundle); err != nil {
			c.reportRejected(c.opts.Self.ID, a.record.Revision, err)
			return
		}
		c.store.revision = storeRevision
		c.freshAt = latest(c.freshAt, a.firstSent)
	}
	c.writer.announce = c.heldRevision() == a.record.Revision
	c.reportResult(a.write, nil)
}

// resolveAttempt determines the outcome of an attempt from the current record: the record at the attempt's revision
// carries the nonce of the write that was applied.
func (c *Core) resolveAttempt(now time.Time, a *attempt) {
	if now.Sub(a.sent) >= StoreTimeout {
		c.markUnresolved(now, a)
	}
	held := c.heldRevision()
	switch {
	case held == a.record.Revision && c.record.WriterNonce == a.record.WriterNonce:
		c.completeAttempt(now, a, c.store.revision)
	case held == a.record.Revision:
		c.requeue(a)
	case held > a.record.Revision:
		c.handleReplaced(a)
	case a.unresolved:
		c.resend(now, a)
	}
}

// requeue ends an attempt and puts its write back at the front of the queue. An internal write is dropped instead,
// because it is derived again from the record. A write that was already reported as unresolved gets a second result: the
// conflict with the write that was applied.
func (c *Core) requeue(a *attempt) {
	c.writer.attempt = nil
	if a.write.id != "" && !a.write.reported {
		c.writer.queue = append([]*write{a.write}, c.writer.queue...)
	} else if a.write.reported {
		c.reportResult(a.write, result.Errorf(result.RolloutConflict, "another change was committed first"))
	}
}

// handleReplaced ends an attempt whose revision was replaced before this host could read it.
func (c *Core) handleReplaced(a *attempt) {
	if a.write.idempotent && !a.write.reported {
		a.write.maybeApplied = true
		c.requeue(a)
		return
	}
	c.writer.attempt = nil
	c.reportResult(a.write, result.Errorf(result.RolloutUnresolved, "revision %d was replaced before it could be read", a.record.Revision))
}

// resend reads the store and sends the same record again if the store is still at the base revision. The lost copy
// may be applied later, but only one of the copies can be.
func (c *Core) resend(now time.Time, a *attempt) {
	expired := a.write.id != "" && !now.Before(a.write.deadline)
	if expired && !a.write.reported {
		c.reportResult(a.write, result.Errorf(result.RolloutUnresolved, "no answer from the store"))
	}
	if !c.store.lastAnswered.After(a.unresolvedAt) || !c.baseKnown() {
		if now.Sub(c.store.lastRead) >= TickInterval {
			c.readStore(now)
		}
		return
	}
	a.expectedRevision = c.store.revision
	if expired || a.write.id == "" && now.Sub(a.unresolvedAt) > WriteTimeout {
		c.writer.attempt = nil
		return
	}
	c.sendAttempt(now, a)
}
