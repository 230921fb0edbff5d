// Package ledger keeps what must last in the platform's store: jobs, cancellations, progress, the ownership of the
// fleet and the roster of upstreams that may run tasks. It knows which conditions make each write safe, also when its
// answer is lost or it is carried out late.
//
// Keys:
//
//	cg/job/ID           the job as submitted; written once, by the host that accepts it
//	cg/job/ID/cancel    present once a client has cancelled the job
//	cg/job/ID/progress  written by the owner
//	cg/owner            who owns the fleet; leased
//	cg/chain            rises with each write of an owner; each of these is conditioned on it
//	cg/roster           upstreams on which tasks may run
//	cg/ordered          machines for which the owner may have given orders
//	cg/pending          for each queue, the number of jobs of which no task has started
//	cg/wave/N           how far a wave of upkeep is
package ledger

import (
	"context"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/steady"
)

// Keys and prefixes in the store.
const (
	JobPrefix      = "cg/job/"
	OwnerKey       = "cg/owner"
	chainKey       = "cg/chain"
	rosterKey      = "cg/roster"
	orderedKey     = "cg/ordered"
	pendingKey     = "cg/pending"
	wavePrefix     = "cg/wave/"
	cancelSuffix   = "/cancel"
	progressSuffix = "/progress"
)

const (
	firstTry = 400 * time.Millisecond
	maxTry   = 1500 * time.Millisecond
	retryGap = 60 * time.Millisecond
)

// Errors of the ledger, besides platform.ErrNotDone and platform.ErrUnanswered.
var (
	// ErrStaleBundle: the operator's configuration has changed since the revision that the caller decided by.
	ErrStaleBundle = errors.New("configuration has changed")
	// ErrNoJob: no such job exists. The answer is certain.
	ErrNoJob = errors.New("no such job")
	// ErrDeposed: another owner has taken over, or this one's ownership ended.
	ErrDeposed = errors.New("no longer the owner")
)

// Ledger reads and writes the records. It is safe for concurrent use.
type Ledger struct{ kv *platform.KV }

// New returns a ledger in the given store.
func New(kv *platform.KV) *Ledger { return &Ledger{kv: kv} }

func jobKey(id job.ID) string { return JobPrefix + string(id) }

// Submit stores a new job, on condition that the configuration is still at bundleRevision. It returns the
// revision with which the job was stored, or 0 if it existed before, in which case nothing changed. After ErrUnanswered the job may exist; after any other error it does
// not, unless an earlier submission stored it.
func (l *Ledger) Submit(ctx context.Context, j *job.Job, bundleRevision uint64) (created uint64, err error) {
	value, err := job.Encode(j)
	if err != nil {
		return 0, errors.Wrapf(platform.ErrNotDone, "%v", err)
	}
	key := jobKey(j.ID)
	txn := platform.Txn{
		If:  []platform.Condition{{Key: key}, {Key: platform.BundleKey, Revision: bundleRevision}},
		Set: []platform.Write{{Key: key, Value: value}},
	}
	err = l.retry(ctx, func(timeout time.Duration) error {
		created, err = l.kv.Txn(ctx, txn, timeout)
		return err
	})
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return created, err
	}
	for _, item := range conflict.Items {
		if item.Key == key && item.Revision != 0 {
			return 0, nil
		}
	}
	return 0, ErrStaleBundle
}

// retry repeats a call that got no answer, until ctx ends. The call must be safe to repeat. Once one try got no answer,
// a refusal of a later one does not make the outcome certain.
func (l *Ledger) retry(ctx context.Context, try func(timeout time.Duration) error) error {
	tries := newTries()
	unanswered := false
	for {
		err := try(tries.timeout)
		uncertain := errors.Is(err, platform.ErrUnanswered)
		refused := errors.Is(err, platform.ErrNotDone)
		unanswered = unanswered || uncertain
		if !uncertain && !refused {
			return err
		}
		if refused && !unanswered {
			return err
		}
		if !tries.next(ctx) {
			return errors.Wrap(platform.ErrUnanswered, "gave up")
		}
	}
}

// tries are the tries of one call.
type tries struct {
	timeout time.Duration // of the present one
}

func newTries() *tries { return &tries{timeout: firstTry} }

// next waits for the next try, which has more time. It returns false when ctx has ended.
func (t *tries) next(ctx context.Context) bool {
	t.timeout = min(2*t.timeout, maxTry)
	steady.Sleep(ctx, retryGap)
	return ctx.Err() == nil
}

// View is what is stored of a job.
type View struct {
	Created   uint64 // revision
	Cancelled bool
	Progress  *job.Progress // nil: none yet
}

// Phase returns the job's phase as clients see it.
func (v View) Phase() job.Phase {
	switch {
	case v.Progress != nil && v.Progress.Phase.Terminal():
		return v.Progress.Phase
	case v.Cancelled:
		return job.Cancelled
	case v.Progress != nil:
		return v.Progress.Phase
	}
	return job.Queued
}

// Lookup returns what is stored of a job, or ErrNoJob.
func (l *Ledger) Lookup(ctx context.Context, id job.ID) (View, error) {
	var page platform.Page
	err := l.retryRead(ctx, func(timeout time.Duration) (err error) {
		page, err = l.kv.Range(ctx, jobKey(id), "", timeout)
		return err
	})
	if err != nil {
		return View{}, err
	}
	view := View{}
	for _, item := range page.Items {
		switch item.Key {
		case jobKey(id):
			view.Created = item.Created
		case jobKey(id) + cancelSuffix:
			view.Cancelled = true
		case jobKey(id) + progressSuffix:
			view.Progress = &job.Progress{}
			if err := job.Decode(item.Value, view.Progress); err != nil {
				return View{}, err
			}
		}
	}
	if view.Created == 0 {
		return View{}, ErrNoJob
	}
	return view, nil
}

// retryRead repeats a read that failed, until ctx ends.
func (l *Ledger) retryRead(ctx context.Context, try func(timeout time.Duration) error) error {
	tries := newTries()
	for {
		err := try(tries.timeout)
		if err == nil || !errors.Is(err, platform.ErrUnanswered) || !tries.next(ctx) {
			return err
		}
	}
}

// Cancel stores the cancellation of a job, or returns ErrNoJob. A job that has ended stays as it is.
func (l *Ledger) Cancel(ctx context.Context, id job.ID) error {
	for {
		view, err := l.Lookup(ctx, id)
		if err != nil {
			return err
		}
		if view.Cancelled || (view.Progress != nil && view.Progress.Phase.Terminal()) {
			return nil
		}
		txn := platform.Txn{
			If:  []platform.Condition{{Key: jobKey(id), Revision: view.Created}},
			Set: []platform.Write{{Key: jobKey(id) + cancelSuffix, Value: []byte{1}}},
		}
		err = l.retry(ctx, func(timeout time.Duration) error {
			_, err := l.kv.Txn(ctx, txn, timeout)
			return err
		})
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		// The job was removed meanwhile: its retention is over.
	}
}

// Change is a change of what is stored of a job.
type Change struct {
	ID job.ID
	// Job is set for a job that is new.
	Job       *job.Job
	Created   uint64
	Cancelled bool
	Progress  *job.Progress
}

// Decode reads an item under JobPrefix. ok is false for keys that are none of the ledger's.
func Decode(item platform.Item) (change Change, ok bool, err error) {
	name := strings.TrimPrefix(item.Key, JobPrefix)
	text, suffix, _ := strings.Cut(name, "/")
	id, err := job.ParseID(text)
	if err != nil {
		return Change{}, false, nil
	}
	change = Change{ID: id, Created: item.Created}
	switch suffix {
	case "":
		change.Job = &job.Job{}
		err = job.Decode(item.Value, change.Job)
		if err == nil {
			err = change.Job.Check()
		}
	case "cancel":
		change.Cancelled = true
	case "progress":
		change.Progress = &job.Progress{}
		err = job.Decode(item.Value, change.Progress)
	default:
		return Change{}, false, nil
	}
	return change, err == nil, err
}

// Pending reads the numbers of waiting jobs that the owner has stored, and the time at which it did, in Unix
// milliseconds by its clock.
func (l *Ledger) Pending(ctx context.Context) (pending map[string]int, atMS int64, err error) {
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
	return record.Queues, record.AtMS, err
}

type pendingRecord struct {
	AtMS   int64          `cbor:"1,keyasint"`
	Queues map[string]int `cbor:"2,keyasint,omitempty"`
}

// IsProgress reports whether a key holds a job's progress.
func IsProgress(key string) bool { return strings.HasSuffix(key, progressSuffix) }
