package ledger

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

// termsRecord is the value of cg/terms: what the owner of a generation keeps to if its key expires. An owner that gives the fleet
// up removes it together with its key; owners of earlier versions do not write it.
type termsRecord struct {
	Generation uint64 `cbor:"1,keyasint"`
	// LeaseAfterExpiryMS is the longest time from the expiry of the owner's key to the end of a lease on an upstream.
	LeaseAfterExpiryMS int64 `cbor:"2,keyasint"`
}

// TermsWrite returns the write that stores the longest time from the expiry of the owner's key to the end of a lease on an upstream.
func (o *Ownership) TermsWrite(leaseAfterExpiry time.Duration) (platform.Write, error) {
	value, err := job.Encode(termsRecord{Generation: o.Generation, LeaseAfterExpiryMS: leaseAfterExpiry.Milliseconds()})
	return platform.Write{Key: termsKey, Value: value}, err
}

// readTerms returns the LeaseAfterExpiryMS of the given generation's owner; 0 if it is not known, or cannot be read: then the next
// owner waits for longer.
func (l *Ledger) readTerms(ctx context.Context, generation uint64, timeout time.Duration) time.Duration {
	var item platform.Item
	err := RepeatRejected(ctx, func() (err error) {
		item, err = l.kv.Get(ctx, termsKey, timeout)
		return err
	})
	var record termsRecord
	if err != nil || item.Revision == 0 || job.Decode(item.Value, &record) != nil || record.Generation != generation {
		return 0
	}
	return time.Duration(record.LeaseAfterExpiryMS) * time.Millisecond
}

// maxReleaseAttempts bounds how often a release is sent that conflicts with a write that was still in flight.
const maxReleaseAttempts = 3

// Release gives the ownership up, see Ledger.Release.
func (o *Ownership) Release(ctx context.Context, timeout time.Duration) error {
	return o.ledger.Release(ctx, o.Generation, timeout)
}

// Release gives up the ownership of a generation, whose owner has stopped: it removes the owner's key and its terms at once, so that
// the next owner does not take the key for expired. After an error the key has to expire.
func (l *Ledger) Release(ctx context.Context, generation uint64, timeout time.Duration) error {
	for range maxReleaseAttempts {
		var chain platform.Item
		err := RepeatRejected(ctx, func() (err error) {
			chain, err = l.kv.Get(ctx, chainKey, timeout)
			return err
		})
		if err != nil {
			return err
		}
		var record chainRecord
		if err := job.Decode(chain.Value, &record); err != nil {
			return err
		}
		if record.Generation != generation {
			return ErrOwnershipLost
		}
		txn := platform.Txn{
			If:     []platform.Condition{{Key: chainKey, Revision: chain.Revision}},
			Set:    []platform.Write{{Key: chainKey, Value: chain.Value}},
			Remove: []string{OwnerKey, termsKey},
		}
		err = RepeatRejected(ctx, func() error {
			_, err := l.kv.Txn(ctx, txn, timeout)
			return err
		})
		if _, conflicts := errors.Into[*platform.ConflictError](err); !conflicts {
			return err
		}
	}
	return errors.Wrap(platform.ErrNotExecuted, "release")
}
