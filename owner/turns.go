package owner

import (
	"context"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

// readTurns reads what earlier owners knew about turns of demand. Without it this owner learns them anew, so a failure to read it does not
// end the claim.
func (s *session) readTurns(ctx context.Context) (applyRead, error) {
	var record schedule.TurnRecord
	err := s.Ledger.Turns(ctx, &record, readTimeout)
	if errors.Is(err, platform.ErrNotExecuted) {
		return nil, err // it is read again
	}
	return func() {
		if err != nil {
			s.Log("record of turns of demand not read", "error", err.Error())
			return
		}
		s.core.InheritTurns(record)
	}, nil
}

// addTurns adds the record of turns to a batch, unless it is unchanged.
func (b *writeBatch) addTurns(record *schedule.TurnRecord) error {
	if record == nil {
		return nil
	}
	write, err := ledger.TurnsWrite(record)
	if err == nil {
		b.set(write)
	}
	return err
}
