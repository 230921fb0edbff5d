package ledger

import (
	"context"
	"strconv"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

// Write is the content of one transaction of an owner: progress of jobs, jobs to remove, and other records.
type Write struct {
	Progress map[job.ID]job.Progress
	Remove   []job.ID
	Extra    []platform.Write
	// RemoveKeys are other records to remove.
	RemoveKeys []string
	// Independent lets StoreAll execute the write beside others of its kind. It follows the writes that are executed in order, on which a
	// reader of its records may rely.
	Independent bool
}

// hasOnlyJobs reports whether the write has records of jobs only.
func (w *Write) hasOnlyJobs() bool { return len(w.Extra) == 0 && len(w.RemoveKeys) == 0 }

const (
	// MaxKeysPerWrite is the number of records that one Write may set or remove. The conditions on the owner's record and on
	// the lane's key, and its write, take the rest of a transaction.
	MaxKeysPerWrite = platform.MaxTxnEntries - 3
	// KeysPerRemoval is the number of records that the removal of a job counts for.
	KeysPerRemoval = 3
	// MaxLanes is the largest number of lanes for records of jobs.
	MaxLanes = 8
)

// lane is a sequence of writes, each of which is conditioned on the one before. Writes of different lanes may be in flight at the
// same time. cg/chain is the lane of the records that only one write may change at a time; the others have records of jobs.
type lane struct {
	key      string
	revision uint64 // of its key
	number   uint64 // of the last write that was executed
}

// newLanes returns the lanes for records of jobs after a claim at the given revision.
func newLanes(claimed uint64) []*lane {
	lanes := make([]*lane, MaxLanes)
	for i := range lanes {
		lanes[i] = &lane{key: lanePrefix + strconv.Itoa(i+1), revision: claimed}
	}
	return lanes
}

// Store executes a write as the owner. It repeats a write that is rejected or gets no response, until the outcome is
// definite or ctx ends. After ErrOwnershipLost this process is no longer the owner.
func (o *Ownership) Store(ctx context.Context, write Write) error {
	return o.storeIn(ctx, &o.chain, write)
}

// StoreAll executes writes as Store does, up to the given number of those with records of jobs, and of those that are Independent, at a
// time; the others in their order. No record may be in two of them. After an error any of them may have been executed.
func (o *Ownership) StoreAll(ctx context.Context, writes []Write, concurrency int) error {
	var chained, parallel, independent []Write
	for _, write := range writes {
		switch {
		case write.Independent:
			independent = append(independent, write)
		case write.hasOnlyJobs():
			parallel = append(parallel, write)
		default:
			chained = append(chained, write)
		}
	}
	queue := make(chan Write, len(parallel)+len(independent))
	for _, write := range parallel {
		queue <- write
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		defer close(queue)
		for _, write := range chained {
			if err := o.storeIn(ctx, &o.chain, write); err != nil {
				return err
			}
		}
		for _, write := range independent {
			queue <- write
		}
		return nil
	})
	for _, lane := range o.lanes[:min(max(concurrency, 1), len(parallel)+len(independent), len(o.lanes))] {
		group.Go(func() error { return o.storeQueued(ctx, lane, queue) })
	}
	return group.Wait()
}

// storeQueued executes the writes of a queue in a lane until the queue is closed or one fails.
func (o *Ownership) storeQueued(ctx context.Context, l *lane, queue <-chan Write) error {
	for write := range queue {
		if err := o.storeIn(ctx, l, write); err != nil {
			return err
		}
	}
	return nil
}

// NewestRevision returns the revision of the newest write of this ownership that is known to have been executed, or of its claim. The
// revision of any later claim is higher.
func (o *Ownership) NewestRevision() uint64 {
	newest := o.chain.revision
	for _, lane := range o.lanes {
		newest = max(newest, lane.revision)
	}
	return newest
}

func (o *Ownership) storeIn(ctx context.Context, l *lane, write Write) error {
	txn, err := o.buildTxn(l, write)
	if err != nil {
		return err
	}
	pending := o.inFlight.add()
	defer pending.remove()
	attempts := newAttempts()
	for {
		revision, err := o.ledger.kv.Txn(pending.attempt(ctx), txn, attempts.timeout)
		took, again := pending.end()
		if err == nil {
			o.noteResponse(took)
			l.revision = revision
			l.number++
			return nil
		}
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			return o.resolveConflict(l, conflict)
		}
		if !errors.Is(err, platform.ErrOutcomeUnknown) && !errors.Is(err, platform.ErrNotExecuted) {
			return err
		}
		if again {
			attempts = newAttempts()
			continue
		}
		if !attempts.next(ctx) {
			return err
		}
	}
}

// resolveConflict returns nil if the conflict was caused by an earlier attempt of the same write, which was executed
// although its response was lost, and ErrOwnershipLost if it was caused by another owner.
func (o *Ownership) resolveConflict(l *lane, conflict *platform.ConflictError) error {
	for _, item := range conflict.Items {
		if item.Key != l.key || item.Revision == 0 {
			continue
		}
		var record chainRecord
		if err := job.Decode(item.Value, &record); err != nil {
			return err
		}
		if record.Generation == o.Generation && record.Number == l.number+1 {
			l.revision = item.Revision
			l.number++
			return nil
		}
	}
	if l.key != chainKey && !conflict.Exists(OwnerKey) && isOwn(l, conflict) {
		return ErrKeyExpired
	}
	return ErrOwnershipLost
}

// isOwn reports whether the lane's key is as the lane left it.
func isOwn(l *lane, conflict *platform.ConflictError) bool {
	for _, item := range conflict.Items {
		if item.Key == l.key {
			return item.Revision == l.revision
		}
	}
	return false
}

func (o *Ownership) buildTxn(l *lane, write Write) (platform.Txn, error) {
	chain, err := job.Encode(chainRecord{Generation: o.Generation, Number: l.number + 1})
	if err != nil {
		return platform.Txn{}, err
	}
	txn := platform.Txn{
		If:  []platform.Condition{{Key: l.key, Revision: l.revision}},
		Set: append([]platform.Write{{Key: l.key, Value: chain}}, write.Extra...),
	}
	if l.key != chainKey {
		// A claim of an earlier version replaces no other lane than cg/chain.
		txn.If = append(txn.If, platform.Condition{Key: OwnerKey, Revision: o.ownerRevision})
	}
	for id, progress := range write.Progress {
		value, err := job.Encode(progress)
		if err != nil {
			return platform.Txn{}, err
		}
		txn.Set = append(txn.Set, platform.Write{Key: jobKey(id) + progressSuffix, Value: value})
	}
	for _, id := range write.Remove {
		txn.Remove = append(txn.Remove, jobKey(id), cancelKey(id), jobKey(id)+progressSuffix)
	}
	txn.Remove = append(txn.Remove, write.RemoveKeys...)
	return txn, nil
}
