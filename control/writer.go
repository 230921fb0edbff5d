package control

import (
	"errors"
	"time"

	"citrongauge.example/citrongauge/result"
)

// WriteTimeout is the time after which a write that was asked for from outside is answered in any case.
const WriteTimeout = 3 * time.Second

// maxQueuedWrites bounds the writes waiting for the one in progress.
const maxQueuedWrites = 256

// ErrNoChange is returned by a mutation if the record already has the wanted content.
var ErrNoChange = errors.New("no change needed")

// write is a change of the record. Writes without an ID are the core's own duties; they are derived anew from
// the record after a conflict instead of being repeated.
type write struct {
	id       string
	mutate   func(*Record) error
	bundle   []byte
	deadline time.Time
	reported bool
	// repeatable writes recognize in mutate that they were already applied.
	repeatable bool
	// doubtful: an earlier attempt may have been applied and replaced since.
	doubtful bool
}

// attempt is a compare-and-swap whose outcome matters.
type attempt struct {
	write  *write
	ids    []uint64 // a repeat of the same record has another ID
	base   uint64   // store revision
	record Record
	// sent is when the record was last sent, firstSent when it was first sent. Either copy may be applied.
	sent, firstSent time.Time
	// unresolved: the outcome can only be learned from the record itself.
	unresolved bool
	// doubtAt is when it became unresolved. Only a later read resolves it.
	doubtAt time.Time
}

// writerState holds at most one attempt; nothing else is written before it is resolved.
type writerState struct {
	queue    []*write
	attempt  *attempt
	announce bool // tell every member about the record in force
}

func (c *Core) enqueue(now time.Time, w *write) {
	if len(c.writer.queue) >= maxQueuedWrites {
		c.report(w, result.Errorf(result.RolloutConflict, "%d changes are waiting", maxQueuedWrites))
		return
	}
	w.deadline = now.Add(WriteTimeout)
	c.writer.queue = append(c.writer.queue, w)
}

func (c *Core) propose(now time.Time, ev Propose) {
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

func (c *Core) proposeRollOut(now time.Time, ev RollOut) {
	w := &write{id: ev.ID, bundle: ev.Bundle, repeatable: true}
	info, err := c.opts.VerifyBundle(ev.Version, ev.Digest, ev.Bundle)
	if err != nil {
		c.report(w, result.As(err, result.SignatureInvalid))
		return
	}
	w.mutate = func(r *Record) error { return rollOut(r, ev, info) }
	c.enqueue(now, w)
}

func rollOut(r *Record, ev RollOut, info BundleInfo) error {
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

// report sends the outcome of a write from outside. Only an unresolved one may be reported twice.
func (c *Core) report(w *write, err *result.Error) {
	if w.id == "" {
		return
	}
	c.emit(WriteResult{ID: w.id, Revision: c.heldRevision(), Err: err})
	w.reported = true
}

// advanceWriter brings the current attempt and the queue as far as possible.
func (c *Core) advanceWriter(now time.Time) {
	c.expireQueue(now)
	if a := c.writer.attempt; a != nil {
		c.resolve(now, a)
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
	c.start(now, w)
}

// expireQueue answers writes that were not sent in time. That they are not applied is certain unless they are
// doubtful.
func (c *Core) expireQueue(now time.Time) {
	kept := c.writer.queue[:0]
	for _, w := range c.writer.queue {
		switch {
		case now.Before(w.deadline):
			kept = append(kept, w)
		case w.doubtful:
			c.report(w, result.Errorf(result.RolloutUnresolved, "an earlier attempt may have been committed"))
		default:
			c.report(w, result.Errorf(result.StoreUnavailable, "the record could not be read for %v", WriteTimeout))
		}
	}
	c.writer.queue = kept
}

// baseKnown reports whether the store's revision of the record in force is known, so that it can be replaced.
func (c *Core) baseKnown() bool {
	return c.rec != nil && c.store.revision != 0 || c.rec == nil && c.store.empty
}

// start computes the next record and sends it. It reports whether it was sent.
func (c *Core) start(now time.Time, w *write) bool {
	base := Record{}
	if c.rec != nil {
		base = *c.rec
	}
	next := base.clone()
	err := w.mutate(&next)
	if errors.Is(err, ErrNoChange) {
		c.report(w, nil)
		return false
	}
	if err == nil {
		next.Revision = base.Revision + 1
		next.WriterNonce = c.opts.Nonce()
		err = c.checkWritable(&next)
	}
	if err != nil && w.doubtful {
		err = result.Errorf(result.RolloutUnresolved, "an earlier attempt may have been committed: %v", err)
	}
	if err != nil {
		c.report(w, result.As(err, result.RolloutConflict))
		return false
	}
	c.writer.attempt = &attempt{write: w, base: c.store.revision, record: next}
	c.send(now, c.writer.attempt)
	return true
}

func (c *Core) checkWritable(next *Record) error {
	if err := c.checkSuccessor(next); err != nil {
		return err
	}
	_, err := EncodeRecord(*next)
	return err
}

func (c *Core) send(now time.Time, a *attempt) {
	c.store.nextID++
	a.ids = append(a.ids, c.store.nextID)
	a.sent, a.unresolved = now, false
	if a.firstSent.IsZero() {
		a.firstSent = now
	}
	c.emit(CompareAndSwap{ID: c.store.nextID, Expected: a.base, Record: a.record})
}

func (c *Core) handleCAS(now time.Time, ev CASAnswered) {
	a := c.writer.attempt
	if a == nil || !containsID(a.ids, ev.ID) {
		return
	}
	if ev.Outcome == CASApplied {
		c.finish(now, a, ev.StoreRevision)
		return
	}
	// A conflict may be with an earlier copy of the own write, so it is resolved by reading as well.
	c.doubt(now, a)
}

func containsID(ids []uint64, id uint64) bool {
	for _, known := range ids {
		if known == id {
			return true
		}
	}
	return false
}

func (c *Core) doubt(now time.Time, a *attempt) {
	if a.unresolved {
		return
	}
	a.unresolved, a.doubtAt = true, now
	if c.heldRevision() < a.record.Revision {
		c.store.revision, c.store.empty = 0, false
	}
}

// finish ends an attempt that was applied.
func (c *Core) finish(now time.Time, a *attempt, storeRevision uint64) {
	c.writer.attempt = nil
	if c.heldRevision() < a.record.Revision {
		if err := c.adopt(now, &a.record, a.write.bundle); err != nil {
			c.refuse(c.opts.Self.ID, a.record.Revision, err)
			return
		}
		c.store.revision = storeRevision
		c.freshAt = latest(c.freshAt, a.firstSent)
	}
	c.writer.announce = c.heldRevision() == a.record.Revision
	c.report(a.write, nil)
}

// resolve finds out the fate of an attempt from the record in force: its successor at the attempt's revision
// carries the nonce of the one write that won.
func (c *Core) resolve(now time.Time, a *attempt) {
	if now.Sub(a.sent) >= StoreTimeout {
		c.doubt(now, a)
	}
	held := c.heldRevision()
	switch {
	case held == a.record.Revision && c.rec.WriterNonce == a.record.WriterNonce:
		c.finish(now, a, c.store.revision)
	case held == a.record.Revision:
		c.retry(a)
	case held > a.record.Revision:
		c.abandon(a)
	case a.unresolved:
		c.repeat(now, a)
	}
}

// retry puts a write that certainly lost against another one back into the queue.
func (c *Core) retry(a *attempt) {
	c.writer.attempt = nil
	if a.write.id != "" && !a.write.reported {
		c.writer.queue = append([]*write{a.write}, c.writer.queue...)
	} else if a.write.reported {
		c.report(a.write, result.Errorf(result.RolloutConflict, "another change was committed first"))
	}
}

// abandon ends an attempt whose revision was replaced before it could be seen.
func (c *Core) abandon(a *attempt) {
	if a.write.repeatable && !a.write.reported {
		a.write.doubtful = true
		c.retry(a)
		return
	}
	c.writer.attempt = nil
	c.report(a.write, result.Errorf(result.RolloutUnresolved, "revision %d was replaced before it could be read", a.record.Revision))
}

// repeat reads the store and sends the same record again if the store is still at the base: the lost one may be
// applied later, but only one of both can be.
func (c *Core) repeat(now time.Time, a *attempt) {
	late := a.write.id != "" && !now.Before(a.write.deadline)
	if late && !a.write.reported {
		c.report(a.write, result.Errorf(result.RolloutUnresolved, "no answer from the store"))
	}
	if !c.store.lastOK.After(a.doubtAt) || !c.baseKnown() {
		if now.Sub(c.store.lastRead) >= TickInterval {
			c.readStore(now)
		}
		return
	}
	a.base = c.store.revision
	if late || a.write.id == "" && now.Sub(a.doubtAt) > WriteTimeout {
		c.writer.attempt = nil
		return
	}
	c.send(now, a)
}
