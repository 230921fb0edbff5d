package ledger

import (
	"bytes"
	"context"
	"hash/fnv"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/clock"
	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

// settleSpread is the time over which submissions of unknown outcome are sent again once the store answers after a silence. A
// host may hold some dozens of them, and all hosts together share the store's limit on writing calls.
const settleSpread = 200 * time.Millisecond

const (
	// submitSlots is the number of submissions that are sent at a time. It leaves some of a host's connections to the store for
	// reads and probes, and bounds the number of jobs whose outcome a silence leaves unknown.
	submitSlots = 20
	// maxSlotWait is how long a submission waits for a slot before it is refused. It is shorter than firstAttemptTimeout, so that
	// a submission that waits while the store falls silent is not sent when the first ones time out.
	maxSlotWait = 300 * time.Millisecond
)

// Submit stores a new job, on condition that the bundle is still at bundleRevision and that the job has not been cancelled.
// It returns the revision at which the job was stored, or 0 if the job already existed. After platform.ErrOutcomeUnknown the job
// may exist; after any other error it does not, unless an earlier submission has stored it. The outcome of a call that got no
// response is settled until ctx ends; a call that was rejected or not sent ends the submission at once.
func (l *Ledger) Submit(ctx context.Context, j *job.Job, bundleRevision uint64) (created uint64, err error) {
	value, err := job.Encode(j)
	if err != nil {
		return 0, errors.Wrapf(platform.ErrNotExecuted, "%v", err)
	}
	txn := platform.Txn{
		If:  []platform.Condition{{Key: jobKey(j.ID)}, {Key: cancelKey(j.ID)}, {Key: platform.BundleKey, Revision: bundleRevision}},
		Set: []platform.Write{{Key: jobKey(j.ID), Value: value}},
	}
	attempts := newAttempts()
	var s submission
	for {
		created, err = l.sendSubmission(ctx, txn, attempts.timeout)
		switch s.next(err) {
		case submissionEnded:
			if err == nil {
				return created, nil
			}
			created, err = settled(err, j.ID, value)
			if !s.mayBeStored {
				created = 0 // an earlier submission has stored it, and its host has announced it
			}
			return created, err
		case submissionRead:
			// The store rejects writes, but may serve reads.
			if item, err := l.kv.Get(ctx, jobKey(j.ID), attempts.timeout); err == nil && item.Revision != 0 {
				return createdBy(item, value), nil
			}
		case submissionRepeat:
		}
		if !attempts.next(ctx) || !l.waitForStore(ctx, j.ID) {
			return 0, errors.Wrap(platform.ErrOutcomeUnknown, "gave up")
		}
	}
}

// sendSubmission executes the transaction of a submission once it has a slot, unless the store is silent by then.
func (l *Ledger) sendSubmission(ctx context.Context, txn platform.Txn, timeout time.Duration) (uint64, error) {
	timer := time.NewTimer(maxSlotWait)
	defer timer.Stop()
	select {
	case l.submitSlots <- struct{}{}:
		defer func() { <-l.submitSlots }()
	case <-timer.C:
		return 0, errors.Wrap(platform.ErrNotSent, "other submissions wait for the store")
	case <-ctx.Done():
		return 0, errors.Wrapf(platform.ErrNotSent, "%v", ctx.Err())
	}
	if silent := l.StoreSilence(); silent > 0 {
		return 0, errors.Wrapf(platform.ErrNotSent, "no response for %v", silent)
	}
	return l.kv.Txn(ctx, txn, timeout)
}

// submissionStep is what follows a call of a submission.
type submissionStep int

const (
	submissionEnded  submissionStep = iota // the outcome is definite
	submissionRepeat                       // the call is repeated once the store answers
	submissionRead                         // as submissionRepeat, but a read may settle the outcome before
)

// submission is the state of a submission.
type submission struct {
	mayBeStored bool // a call got no response
}

// next decides what follows a call that ended with err. A rejected call says nothing about an earlier one without a response,
// whereas a success or a conflict does: the call's conditions held, or can't hold any more for the earlier one either, because
// the job exists, is cancelled, or the bundle has a newer revision.
func (s *submission) next(err error) submissionStep {
	switch {
	case errors.Is(err, platform.ErrOutcomeUnknown):
		s.mayBeStored = true
		return submissionRepeat
	case errors.Is(err, platform.ErrNotExecuted) && s.mayBeStored:
		return submissionRead
	}
	return submissionEnded
}

// settled returns the result of Submit for the definite error of its transaction, which was to store the given value; nil: none.
func settled(err error, id job.ID, value []byte) (created uint64, _ error) {
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return 0, err
	}
	for _, item := range conflict.Items {
		if item.Key == jobKey(id) && item.Revision != 0 {
			return createdBy(item, value), nil
		}
	}
	if conflict.Exists(cancelKey(id)) {
		return 0, ErrCancelled
	}
	return 0, ErrStaleBundle
}

// createdBy returns the revision at which an earlier call of the same submission stored the job, or 0 if another submission did.
func createdBy(item platform.Item, value []byte) uint64 {
	if bytes.Equal(item.Value, value) {
		return item.CreateRevision
	}
	return 0
}

// waitForStore waits while the store is silent, and then for a part of settleSpread that depends on the job. It returns false if
// ctx has ended.
func (l *Ledger) waitForStore(ctx context.Context, id job.ID) bool {
	silent, changed := l.kv.Silence()
	if silent == 0 {
		return ctx.Err() == nil
	}
	select {
	case <-changed:
	case <-ctx.Done():
		return false
	}
	clock.Sleep(ctx, spread(id, settleSpread))
	return ctx.Err() == nil
}

// spread returns a time below the given one that depends on the job only.
func spread(id job.ID, within time.Duration) time.Duration {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id)) // does not fail
	return time.Duration(hash.Sum64() % uint64(within))
}

// StoreSilence returns for how long the store has answered no call of this ledger, or 0 if it is not known to be silent.
func (l *Ledger) StoreSilence() time.Duration {
	silent, _ := l.kv.Silence()
	return silent
}
