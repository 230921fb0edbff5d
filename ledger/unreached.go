package ledger

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

// UnreachedWrite returns the write that stores the upstreams that the owner does not reach.
func UnreachedWrite(unreached any) (platform.Write, error) {
	value, err := job.Encode(unreached)
	return platform.Write{Key: unreachedKey, Value: value}, err
}

// Unreached decodes the record of UnreachedWrite into unreached, which stays unchanged if there is none.
func (l *Ledger) Unreached(ctx context.Context, unreached any, timeout time.Duration) error {
	item, err := l.kv.Get(ctx, unreachedKey, timeout)
	if err != nil || item.Revision == 0 {
		return err
	}
	return job.Decode(item.Value, unreached)
}

// unreachedRecord is the stored form of schedule.UnreachedUpstreams.
type unreachedRecord struct {
	Generation  uint64           `cbor:"1,keyasint"`
	LeaseLeftMS map[string]int64 `cbor:"2,keyasint,omitempty"`
}

// takeOverUnreached returns the write with which a claim takes the record of the ownership before over, so that it holds for the next one
// even if this one ends before it has read its state. There is none if the record is of another ownership or cannot be read.
func (l *Ledger) takeOverUnreached(ctx context.Context, generation uint64, timeout time.Duration) ([]platform.Write, error) {
	var unreached unreachedRecord
	err := RepeatRejected(ctx, func() error { return l.Unreached(ctx, &unreached, timeout) })
	switch {
	case errors.Is(err, job.ErrBadRecord):
		return nil, nil // the owner reports it when it reads its state
	case err != nil:
		return nil, err
	case generation == 0 || unreached.Generation != generation-1 || len(unreached.LeaseLeftMS) == 0:
		return nil, nil
	}
	unreached.Generation = generation
	write, err := UnreachedWrite(unreached)
	return []platform.Write{write}, err
}
