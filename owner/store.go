package owner

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/clock"
	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

// storeChanges starts a write of changed records if it is due. Only one write is in progress at a time.
func (s *session) storeChanges(ctx context.Context) {
	now := clock.Now()
	if s.storing || now < s.nextStore && !(s.core.HasCallsAwaitingRecords() && now >= s.nextStore-storeInterval+urgentStoreInterval) {
		return
	}
	if roster, changed := s.core.Roster(); changed {
		s.rosterToStore = roster
	}
	pending := s.changedPendingCounts(now)
	waves := s.core.WaveRecords()
	if s.rosterToStore == nil && pending == nil && len(waves) == 0 && !s.core.HasUnstoredRecords() {
		return
	}
	batch := s.core.TakeRecords()
	writes := s.appendWaves(batchRecords(batch.Jobs), waves)
	if err := s.addOtherRecords(&writes, pending, batch.CommandedMachines); err != nil {
		s.failure = errors.Wrap(err, "encode records")
		return
	}
	roster := s.rosterToStore
	s.rosterToStore = nil
	s.storing = true
	go func() {
		err := s.storeWrites(ctx, writes)
		s.post(ctx, func(s *session) { s.storeFinished(batch.Number, roster, err) })
	}()
}

func (s *session) storeWrites(ctx context.Context, writes []ledger.Write) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	for _, write := range writes {
		if err := s.ownership.Store(ctx, write); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) storeFinished(batch uint64, roster []platform.Upstream, err error) {
	s.storing = false
	s.nextStore = clock.Now() + storeInterval
	if err != nil {
		s.Log("storing progress failed", "round", batch, "error", err.Error())
		s.failure = err
		return
	}
	s.core.RosterStored(roster)
	s.core.RecordsStored(batch)
}

// batchRecords distributes records over as many writes as the store's limit on a transaction's size requires.
func batchRecords(records []schedule.Record) []ledger.Write {
	writes := []ledger.Write{{Progress: map[job.ID]job.Progress{}}}
	size := 0
	for _, record := range records {
		weight := 1
		if record.Remove {
			weight = ledger.KeysPerRemoval
		}
		if size+weight > ledger.MaxJobsPerWrite {
			writes = append(writes, ledger.Write{Progress: map[job.ID]job.Progress{}})
			size = 0
		}
		size += weight
		last := &writes[len(writes)-1]
		if record.Remove {
			last.Remove = append(last.Remove, record.ID)
		} else {
			last.Progress[record.ID] = record.Progress
		}
	}
	return writes
}

// addOtherRecords adds the roster, the commanded machines and the counts of pending jobs to the first write.
func (s *session) addOtherRecords(writes *[]ledger.Write, pending map[string]int, commanded *schedule.CommandedMachines) error {
	first := &(*writes)[0]
	if commanded != nil {
		write, err := ledger.CommandedMachinesWrite(commanded)
		if err != nil {
			return err
		}
		first.Extra = append(first.Extra, write)
	}
	if s.rosterToStore != nil {
		write, err := ledger.RosterWrite(s.rosterToStore)
		if err != nil {
			return err
		}
		first.Extra = append(first.Extra, write)
	}
	if pending != nil {
		write, err := ledger.PendingWrite(pending, clock.WallMS())
		if err != nil {
			return err
		}
		first.Extra = append(first.Extra, write)
	}
	return nil
}

// changedPendingCounts returns the number of pending jobs by queue, or nil if no count has changed or the last write is
// less than pendingInterval ago.
func (s *session) changedPendingCounts(now time.Duration) map[string]int {
	if now < s.nextPendingWrite {
		return nil
	}
	pending := s.core.Pending()
	if s.lastPending != nil && equalCounts(pending, s.lastPending) {
		return nil
	}
	s.nextPendingWrite, s.lastPending = now+pendingInterval, pending
	return pending
}

func equalCounts(a, b map[string]int) bool {
	if len(a) != len(b) {
		return false
	}
	for queue, n := range a {
		if b[queue] != n {
			return false
		}
	}
	return true
}

// readWaves reads the records of waves that earlier owners have stored. It skips unreadable records.
func (s *session) readWaves(ctx context.Context) error {
	values, err := s.Ledger.Waves(ctx, readTimeout)
	if err != nil {
		return err
	}
	s.storedWaves = make(map[int]schedule.WaveRecord, len(values))
	for _, value := range values {
		var record schedule.WaveRecord
		if err := job.Decode(value, &record); err != nil {
			s.Log("unreadable wave record", "error", err.Error())
			continue
		}
		s.storedWaves[record.Number] = record
	}
	return nil
}

// appendWaves appends a write for each changed wave record.
func (s *session) appendWaves(writes []ledger.Write, waves []schedule.WaveRecord) []ledger.Write {
	for _, wave := range waves {
		extra, err := ledger.WaveWrites(wave.Number, wave, wave.Succeeded)
		if err != nil {
			s.Log("encoding a wave record failed", "wave", wave.Number, "error", err.Error())
			continue
		}
		writes = append(writes, ledger.Write{Extra: extra})
	}
	return writes
}
