package ledger

import (
	"context"
	"time"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

// turnsKey has what the owner knows about turns of demand. Hosts of earlier versions ignore it.
const turnsKey = "cg/turns"

// TurnsWrite returns the write that stores what is known about turns of demand.
func TurnsWrite(turns any) (platform.Write, error) {
	value, err := job.Encode(turns)
	return platform.Write{Key: turnsKey, Value: value}, err
}

// Turns decodes the record of TurnsWrite into turns, which stays unchanged if there is none.
func (l *Ledger) Turns(ctx context.Context, turns any, timeout time.Duration) error {
	item, err := l.kv.Get(ctx, turnsKey, timeout)
	if err != nil || item.Revision == 0 {
		return err
	}
	return job.Decode(item.Value, turns)
}
