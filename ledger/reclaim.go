package ledger

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

var (
	// ErrKeyExpired is returned by Store and StoreAll if the owner's key has expired and no other host has claimed the fleet, as far as the
	// response shows. The write was not executed.
	ErrKeyExpired = errors.New("the owner's key has expired")
	// errKeyExists: the owner's former key has not expired yet.
	errKeyExists = errors.Wrap(platform.ErrNotExecuted, "the owner's former key exists")
)

// Reclaim stores the owner's record again after its key has expired, under a new lease. It replaces the keys of all lanes as well, so that
// copies of earlier writes that are executed later change nothing. It succeeds only if no other host has claimed the fleet since. The
// caller must have stopped all writes; their outcome may be unknown.
//
// It makes one attempt. After platform.ErrNotExecuted, platform.ErrOutcomeUnknown and platform.ErrLeaseNotFound the caller may call it
// again, with the same lease or another one. ErrOwnershipLost is definite. After a success o.Lease is the lease of the key, which
// is that of an earlier attempt if its response was lost.
func (o *Ownership) Reclaim(ctx context.Context, self OwnerRecord, lease uint64, timeout time.Duration) error {
	self.Generation = o.Generation
	for range maxClaimAttempts {
		number := o.newestNumber() + reclaimStep
		txn, err := o.reclaimTxn(self, lease, number)
		if err != nil {
			return err
		}
		revision, err := o.ledger.kv.Txn(ctx, txn, timeout)
		if err == nil {
			o.reclaimed(revision, number, lease)
			return nil
		}
		conflict, ok := errors.Into[*platform.ConflictError](err)
		if !ok {
			return err
		}
		done, err := o.resolveReclaim(self, conflict)
		if done || err != nil {
			return err
		}
	}
	return errors.Wrap(platform.ErrNotExecuted, "reclaim")
}

// reclaimStep separates the number of a reclaim from that of a write that was stopped and that the store may still execute.
const reclaimStep = 2

// newestNumber returns the highest number of a write in any lane.
func (o *Ownership) newestNumber() uint64 {
	newest := o.chain.number
	for _, lane := range o.lanes {
		newest = max(newest, lane.number)
	}
	return newest
}

// reclaimTxn returns the transaction of a reclaim. It expects that there is no owner and that cg/chain is as this owner left it.
func (o *Ownership) reclaimTxn(self OwnerRecord, lease, number uint64) (platform.Txn, error) {
	owner, err := job.Encode(self)
	if err != nil {
		return platform.Txn{}, err
	}
	chain, err := job.Encode(chainRecord{Generation: o.Generation, Number: number})
	if err != nil {
		return platform.Txn{}, err
	}
	txn := platform.Txn{
		If:  []platform.Condition{{Key: OwnerKey}, {Key: chainKey, Revision: o.chain.revision}},
		Set: []platform.Write{{Key: OwnerKey, Value: owner, Lease: lease}, {Key: chainKey, Value: chain}},
	}
	for _, lane := range o.lanes {
		txn.Set = append(txn.Set, platform.Write{Key: lane.key, Value: chain})
	}
	return txn, nil
}

func (o *Ownership) reclaimed(revision, number, lease uint64) {
	o.ownerRevision, o.Lease = revision, lease
	for _, lane := range append([]*lane{&o.chain}, o.lanes...) {
		lane.revision, lane.number = revision, number
	}
}

// resolveReclaim handles a conflict. done is set if an earlier attempt was executed. Without an error, another attempt may succeed: a
// write of this owner had been executed. cg/chain with this generation proves that no other host has claimed.
func (o *Ownership) resolveReclaim(self OwnerRecord, conflict *platform.ConflictError) (done bool, err error) {
	var owner, chain platform.Item
	for _, item := range conflict.Items {
		switch item.Key {
		case OwnerKey:
			owner = item
		case chainKey:
			chain = item
		}
	}
	var record chainRecord
	if chain.Revision == 0 {
		return false, ErrOwnershipLost
	}
	if err := job.Decode(chain.Value, &record); err != nil {
		return false, err
	}
	if record.Generation != o.Generation {
		return false, ErrOwnershipLost
	}
	if owner.Revision != 0 {
		return o.resolveOwner(self, owner, chain, record)
	}
	o.chain.revision, o.chain.number = chain.Revision, record.Number
	return false, nil
}

// resolveOwner handles a conflict with an owner's record that exists, of this generation.
func (o *Ownership) resolveOwner(self OwnerRecord, owner, chain platform.Item, record chainRecord) (done bool, err error) {
	stored, err := DecodeOwner(owner)
	switch {
	case err != nil:
		return false, err
	case stored.Process != self.Process || stored.Generation != o.Generation:
		return false, ErrOwnershipLost
	case owner.Revision == o.ownerRevision:
		return false, errKeyExists
	case owner.Revision != chain.Revision:
		return false, ErrOwnershipLost
	}
	o.reclaimed(owner.Revision, record.Number, owner.Lease)
	return true, nil
}
