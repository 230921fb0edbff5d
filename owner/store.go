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
	roster := s.core.TakeRosterChange()
	pending := s.changedPendingCounts(now)
	waves := s.core.WaveRecords()
	terms := s.areTermsDue()
	witnesses := s.permits.write
	if roster.IsEmpty() && pending == nil && len(waves) == 0 && !terms && !witnesses && !s.core.HasUnstoredRecords() {
		return
	}
	batch := s.core.TakeRecords()
	writes, err := s.batchRecords(batch, roster, pending, waves)
	if terms && err == nil {
		writes, err = s.appendTerms(writes)
	}
	if witnesses && err == nil {
		writes, err = s.appendWitnesses(writes)
	}
	if err != nil {
		s.failure = errors.Wrap(err, "encode records")
		return
	}
	s.storing = true
	go func() {
		err := s.storeWrites(ctx, writes)
		s.post(ctx, func(s *session) { s.storeFinished(batch.Number, roster, witnesses, err) })
	}()
}

const (
	// ownerWriteShare is the part of the store's writing calls that the owner may make. All hosts store submissions.
	ownerWriteShare = 0.5
	// writesPerLane is the number of transactions a second that a lane makes at most, one after the other.
	writesPerLane = 100
)

// storeConcurrency returns how many transactions the owner may have in flight. writesPerSecond is the number of writing calls that
// the store allows to all hosts together; 0: any.
// A slow store takes as many of them as make the owner's part of these calls.
func storeConcurrency(writesPerSecond float64, responseTime time.Duration) int {
	if writesPerSecond <= 0 {
		return ledger.MaxLanes
	}
	calls := ownerWriteShare * writesPerSecond
	return int(min(max(calls/writesPerLane, calls*responseTime.Seconds(), 1), ledger.MaxLanes))
}

func (s *session) storeFinished(batch uint64, roster schedule.RosterChange, witnesses bool, err error) {
	s.storing = false
	s.nextStore = clock.Now() + storeInterval
	if err != nil {
		s.Log("storing progress failed", "round", batch, "error", err.Error())
		s.failure = err
		return
	}
	if witnesses {
		s.permits.writing = false
		s.permits.keeper.setStored(clock.Now())
	}
	s.core.SetNewestWrite(s.newestWrite.Load())
	s.core.RosterStored(roster)
	s.core.RecordsStored(batch)
}

// writeBatch distributes records over as many writes as the store's limit on a transaction's size requires.
type writeBatch struct {
	writes []ledger.Write
	keys   int // number of keys in the last write
	// independent is set while the records that are added may be stored in any order (ledger.Write.Independent).
	independent bool
}

// next returns the write to which a record with the given number of keys is to be added.
func (b *writeBatch) next(keys int) *ledger.Write {
	if len(b.writes) == 0 || b.keys+keys > ledger.MaxKeysPerWrite || b.writes[len(b.writes)-1].Independent != b.independent {
		b.writes = append(b.writes, ledger.Write{Progress: map[job.ID]job.Progress{}, Independent: b.independent})
		b.keys = 0
	}
	b.keys += keys
	return &b.writes[len(b.writes)-1]
}

func (b *writeBatch) set(writes ...platform.Write) {
	w := b.next(len(writes))
	w.Extra = append(w.Extra, writes...)
}

func (b *writeBatch) remove(key string) {
	w := b.next(1)
	w.RemoveKeys = append(w.RemoveKeys, key)
}

// batchRecords returns the writes for a batch of records, a change of the roster, the counts of pending jobs (nil:
// unchanged) and waves.
func (s *session) batchRecords(batch schedule.RecordBatch, roster schedule.RosterChange, pending map[string]int, waves []schedule.WaveRecord) ([]ledger.Write, error) {
	var b writeBatch
	if batch.CommandedMachines != nil {
		write, err := ledger.CommandedMachinesWrite(batch.CommandedMachines)
		if err != nil {
			return nil, err
		}
		b.set(write)
	}
	if batch.Unreached != nil {
		write, err := ledger.UnreachedWrite(batch.Unreached)
		if err != nil {
			return nil, err
		}
		b.set(write)
	}
	if batch.LongLeases != nil {
		write, err := ledger.LongLeasesWrite(batch.LongLeases)
		if err != nil {
			return nil, err
		}
		b.set(write)
	}
	if err := b.addTurns(batch.Turns); err != nil {
		return nil, err
	}
	if pending != nil {
		write, err := ledger.PendingWrite(pending, clock.WallMS())
		if err != nil {
			return nil, err
		}
		b.set(write)
	}
	// After a turn of demand has begun, hundreds of upstreams join at once: one write after the other would take as many response times of
	// a slow store. The old roster may be removed only after all of them.
	b.independent = !s.oldRosterStored
	for _, entry := range roster.Added {
		write, err := ledger.RosterWrite(entry)
		if err != nil {
			return nil, err
		}
		b.set(write)
	}
	for _, id := range roster.Removed {
		b.remove(ledger.RosterRecordKey(id))
	}
	b.independent = false
	for _, record := range batch.Jobs {
		if record.Remove {
			w := b.next(ledger.KeysPerRemoval)
			w.Remove = append(w.Remove, record.ID)
		} else {
			b.next(1).Progress[record.ID] = s.storableProgress(record)
		}
	}
	s.appendWaves(&b, waves)
	if s.oldRosterStored {
		b.remove(ledger.OldRosterKey())
		s.oldRosterStored = false
	}
	return b.writes, nil
}

// storableProgress returns the progress to be stored. The store refuses a value above its limit, and with it all other records of the
// transaction, so a job that has outgrown it ends here.
func (s *session) storableProgress(record schedule.Record) job.Progress {
	limit := s.Settings.Store.ValueBytes
	if limit == 0 || record.Progress.MaxSize() <= limit {
		return record.Progress
	}
	data, err := job.Encode(record.Progress)
	if err != nil || len(data) <= limit {
		return record.Progress // an error is returned where it is encoded to be stored
	}
	s.Log("job's progress is larger than the store takes", "job", record.ID, "bytes", len(data), "limit", limit)
	refused, ok := s.core.RefuseRecord(record.ID)
	if !ok {
		return record.Progress
	}
	return refused
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
func (s *session) readWaves(ctx context.Context) (applyRead, error) {
	values, err := s.Ledger.Waves(ctx, s.pageTimeout())
	return func() {
		s.storedWaves = make(map[int]schedule.WaveRecord, len(values))
		for _, value := range values {
			var record schedule.WaveRecord
			if err := job.Decode(value, &record); err != nil {
				s.Log("unreadable wave record", "error", err.Error())
				continue
			}
			s.storedWaves[record.Number] = record
		}
		s.applyOperatorState(s.Operator.State())
	}, err
}

// appendWaves appends the writes for each changed wave record.
func (s *session) appendWaves(b *writeBatch, waves []schedule.WaveRecord) {
	for _, wave := range waves {
		writes, err := ledger.WaveWrites(wave.Number, wave, wave.Succeeded)
		if err != nil {
			s.Log("encoding a wave record failed", "wave", wave.Number, "error", err.Error())
			continue
		}
		b.set(writes...)
	}
}
