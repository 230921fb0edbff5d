// Package ledger keeps the durable records of the fleet in the platform's store: jobs, cancellations, progress, the
// ownership of the fleet and the roster of upstreams that may run tasks. Each write carries conditions that make it
// safe even if its response is lost or it is executed late.
//
// Keys:
//
//	cg/job/ID           the job as submitted; written once, by the host that accepts it
//	cg/job/ID/cancel    present once a client has cancelled the job, also if there is no such job
//	cg/job/ID/progress  written by the owner
//	cg/owner            the host that owns the fleet; bound to the owner's lease
//	cg/chain            replaced by each claim and by each write of an owner that is not in another lane, on condition of its revision
//	cg/lane/N           the same for writes of records of jobs, several of which may be in flight at the same time
//	cg/roster/ID        an upstream on which tasks may run
//	cg/roster           all of these upstreams in one record, as earlier versions stored them
//	cg/ordered          machines for which the owner may have sent commands
//	cg/unreached        upstreams that the owner has not reached since its claim, with the rest of their leases
//	cg/witnesses        hosts without whose permits the owner makes no start without a record
//	cg/longleases       upstreams whose leases may last longer than the next owner would count, with their rest
//	cg/turns            what is known about turns of demand
//	cg/pending          for each queue, the number of jobs of which no task has begun
//	cg/wave/N           progress of a maintenance wave
package ledger

import (
	"context"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/clock"
	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

// Keys and prefixes in the store.
const (
	JobPrefix      = "cg/job/"
	OwnerKey       = "cg/owner"
	chainKey       = "cg/chain"
	lanePrefix     = "cg/lane/"
	termsKey       = "cg/terms"
	rosterPrefix   = "cg/roster/"
	oldRosterKey   = "cg/roster"
	commandedKey   = "cg/ordered"
	unreachedKey   = "cg/unreached"
	longLeasesKey  = "cg/longleases"
	pendingKey     = "cg/pending"
	wavePrefix     = "cg/wave/"
	cancelSuffix   = "/cancel"
	progressSuffix = "/progress"
)

const (
	firstAttemptTimeout = 400 * time.Millisecond
	maxAttemptTimeout   = 1500 * time.Millisecond
	retryDelay          = 60 * time.Millisecond
)

// Errors of the ledger, besides platform.ErrNotExecuted and platform.ErrOutcomeUnknown.
var (
	// ErrStaleBundle: the bundle has changed since the revision that the caller used.
	ErrStaleBundle = errors.New("configuration has changed")
	// ErrNoJob: no such job exists. It is returned only on the store's response, never on a failure to get one.
	ErrNoJob = errors.New("no such job")
	// ErrCancelled: the job was cancelled before it was stored, and is not stored.
	ErrCancelled = errors.New("job was cancelled before it was stored")
	// ErrOwnershipLost: another owner has taken over, or this ownership has ended.
	ErrOwnershipLost = errors.New("no longer the owner")
)

// Ledger reads and writes the records. It is safe for concurrent use.
type Ledger struct {
	kv          *platform.KV
	submitSlots chan struct{} // holds one value for each submission in flight
}

// New returns a ledger that is kept in the given store.
func New(kv *platform.KV) *Ledger {
	return &Ledger{kv: kv, submitSlots: make(chan struct{}, submitSlots)}
}

func jobKey(id job.ID) string { return JobPrefix + string(id) }

func cancelKey(id job.ID) string { return jobKey(id) + cancelSuffix }

// retry repeats a write that got no response, until ctx ends. The write must be safe to repeat. After an attempt
// without a response it also retries rejected ones: the rejection of a later attempt does not tell whether the
// earlier one was executed.
func (l *Ledger) retry(ctx context.Context, call func(timeout time.Duration) error) error {
	attempts := newAttempts()
	anyUncertain := false
	for {
		err := call(attempts.timeout)
		uncertain := errors.Is(err, platform.ErrOutcomeUnknown)
		rejected := errors.Is(err, platform.ErrNotExecuted)
		anyUncertain = anyUncertain || uncertain
		if !uncertain && !rejected {
			return err
		}
		if rejected && !anyUncertain {
			return err
		}
		if !attempts.next(ctx) {
			return errors.Wrap(platform.ErrOutcomeUnknown, "gave up")
		}
	}
}

// attempts tracks the timeout of the attempts of one call, which doubles up to maxAttemptTimeout.
type attempts struct {
	timeout time.Duration // of the current attempt
}

func newAttempts() *attempts { return &attempts{timeout: firstAttemptTimeout} }

// next sleeps for retryDelay and doubles the timeout for the next attempt. It returns false if ctx has ended.
func (a *attempts) next(ctx context.Context) bool {
	a.timeout = min(2*a.timeout, maxAttemptTimeout)
	clock.Sleep(ctx, retryDelay)
	return ctx.Err() == nil
}

// StoredJob is a job's state as stored, without the job itself.
type StoredJob struct {
	Created   uint64 // revision at which the job was stored; 0: there is no such job
	Team      string // that submitted the job
	Queue     string // name of its queue
	Cancelled bool
	Progress  *job.Progress // nil: none is stored
}

func (s StoredJob) hasEnded() bool { return s.Progress != nil && s.Progress.Phase.Terminal() }

// Phase returns the job's phase as reported to clients: a stored cancellation counts unless the job has ended.
func (s StoredJob) Phase() job.Phase {
	switch {
	case s.hasEnded():
		return s.Progress.Phase
	case s.Cancelled:
		return job.Cancelled
	case s.Progress != nil:
		return s.Progress.Phase
	}
	return job.Queued
}

// Lookup returns a job's stored state, or ErrNoJob.
func (l *Ledger) Lookup(ctx context.Context, id job.ID) (StoredJob, error) {
	stored, err := l.read(ctx, id)
	if err == nil && stored.Created == 0 {
		return StoredJob{}, ErrNoJob
	}
	return stored, err
}

// read returns what is stored under a job's ID.
func (l *Ledger) read(ctx context.Context, id job.ID) (StoredJob, error) {
	var items []platform.Item
	err := l.retryRead(ctx, func(timeout time.Duration) (err error) {
		items, _, err = l.kv.ListAll(ctx, jobKey(id), timeout) // a large progress record follows on the next page
		return err
	})
	if err != nil {
		return StoredJob{}, err
	}
	stored := StoredJob{}
	for _, item := range items {
		switch item.Key {
		case jobKey(id):
			stored.Created = item.CreateRevision
			var j job.Job
			if err := job.Decode(item.Value, &j); err != nil {
				return StoredJob{}, err
			}
			stored.Team, stored.Queue = j.Team, j.Queue.Name
		case cancelKey(id):
			stored.Cancelled = true
		case jobKey(id) + progressSuffix:
			stored.Progress = &job.Progress{}
			if err := job.Decode(item.Value, stored.Progress); err != nil {
				return StoredJob{}, err
			}
		}
	}
	return stored, nil
}

// retryRead repeats a read that got no response, until ctx ends.
func (l *Ledger) retryRead(ctx context.Context, call func(timeout time.Duration) error) error {
	attempts := newAttempts()
	for {
		err := call(attempts.timeout)
		if err == nil || !errors.Is(err, platform.ErrOutcomeUnknown) || !attempts.next(ctx) {
			return err
		}
	}
}

// Cancel stores the cancellation of a job. It does not change a job that has ended. If there is no such job it stores the
// cancellation as well and returns ErrNoJob: the store may still execute a submission of the job, which then fails. A job that
// mayCancel refuses is left as it is, and ErrNoJob is returned.
func (l *Ledger) Cancel(ctx context.Context, id job.ID, mayCancel func(StoredJob) bool) error {
	for {
		stored, err := l.read(ctx, id)
		if err != nil {
			return err
		}
		if stored.Created != 0 && !mayCancel(stored) {
			return ErrNoJob
		}
		if !stored.Cancelled && !stored.hasEnded() {
			err = l.writeCancellation(ctx, id, stored.Created)
		}
		var conflict *platform.ConflictError
		switch {
		case errors.As(err, &conflict):
			continue // the job was stored after the read, or removed because its retention had expired
		case err != nil:
			return err
		case stored.Created == 0:
			return ErrNoJob
		}
		return nil
	}
}

// cancellation is the value of cg/job/ID/cancel. Earlier versions stored another value.
type cancellation struct {
	AtMS int64 `cbor:"1,keyasint"` // Unix milliseconds
}

// writeCancellation stores the cancellation of a job that was stored at the given revision; 0: that is not stored.
func (l *Ledger) writeCancellation(ctx context.Context, id job.ID, created uint64) error {
	value, err := job.Encode(cancellation{AtMS: clock.WallMS()})
	if err != nil {
		return errors.Wrapf(platform.ErrNotExecuted, "%v", err)
	}
	txn := platform.Txn{
		If:  []platform.Condition{{Key: jobKey(id), Revision: created}},
		Set: []platform.Write{{Key: cancelKey(id), Value: value}},
	}
	return l.retry(ctx, func(timeout time.Duration) error {
		_, err := l.kv.Txn(ctx, txn, timeout)
		return err
	})
}

// Change is the content of one or more of a job's records.
type Change struct {
	ID job.ID
	// Job is nil if the job's own record is not among them.
	Job       *job.Job
	Created   uint64 // revision at which the record was created
	Cancelled bool
	// CancelledMS is when the job was cancelled, in Unix milliseconds; 0: not known.
	CancelledMS int64
	Progress    *job.Progress
}

// DecodeJobItem decodes an item under JobPrefix. ok is false if the key is not one of the ledger's or the value
// cannot be decoded; only the latter sets err.
func DecodeJobItem(item platform.Item) (change Change, ok bool, err error) {
	name := strings.TrimPrefix(item.Key, JobPrefix)
	text, suffix, _ := strings.Cut(name, "/")
	id, err := job.ParseID(text)
	if err != nil {
		return Change{}, false, nil
	}
	change = Change{ID: id, Created: item.CreateRevision}
	switch suffix {
	case "":
		change.Job = &job.Job{}
		err = job.Decode(item.Value, change.Job)
		if err == nil {
			err = change.Job.Check()
		}
	case "cancel":
		var record cancellation
		if job.Decode(item.Value, &record) == nil { // otherwise an earlier version has stored it
			change.CancelledMS = record.AtMS
		}
		change.Cancelled = true
	case "progress":
		change.Progress = &job.Progress{}
		err = job.Decode(item.Value, change.Progress)
	default:
		return Change{}, false, nil
	}
	return change, err == nil, err
}

// PendingJobs reads the number of pending jobs by queue that the owner has stored. countedMS is when the owner counted
// them, in Unix milliseconds by its clock.
func (l *Ledger) PendingJobs(ctx context.Context) (pending map[string]int, countedMS int64, err error) {
	var item platform.Item
	err = l.retryRead(ctx, func(timeout time.Duration) (err error) {
		item, err = l.kv.Get(ctx, pendingKey, timeout)
		return err
	})
	if err != nil || item.Revision == 0 {
		return nil, 0, err
	}
	var record pendingRecord
	err = job.Decode(item.Value, &record)
	return record.Queues, record.CountedMS, err
}

type pendingRecord struct {
	CountedMS int64          `cbor:"1,keyasint"`
	Queues    map[string]int `cbor:"2,keyasint,omitempty"`
}

// IsProgressKey reports whether a key holds a job's progress.
func IsProgressKey(key string) bool { return strings.HasSuffix(key, progressSuffix) }
