package owner

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
	"citrongauge.example/citrongauge/steady"
)

// store writes what has to last, one transaction at a time.
func (r *session) store(ctx context.Context) {
	now := steady.Now()
	if r.storing || now < r.storeAgain && !(r.core.StartsWait() && now >= r.storeAgain-storeGap+startGap) {
		return
	}
	if roster, changed := r.core.Roster(); changed {
		r.roster = roster
	}
	pending := r.pendingWrite(now)
	waves := r.core.WaveRecords()
	if r.roster == nil && pending == nil && len(waves) == 0 && !r.core.NeedsStoring() {
		return
	}
	round := r.core.Take()
	writes := r.addWaves(batch(round.Jobs), waves)
	if err := r.addExtras(&writes, pending, round.Ordered); err != nil {
		r.failure = errors.Wrap(err, "encode records")
		return
	}
	roster := r.roster
	r.roster = nil
	r.storing = true
	go func() {
		err := r.storeAll(ctx, writes)
		r.post(ctx, func(r *session) { r.stored(round.Number, roster, err) })
	}()
}

func (r *session) storeAll(ctx context.Context, writes []ledger.Write) error {
	ctx, cancel := context.WithTimeout(ctx, storePatience)
	defer cancel()
	for _, write := range writes {
		if err := r.ownership.Store(ctx, write); err != nil {
			return err
		}
	}
	return nil
}

func (r *session) stored(round uint64, roster []platform.Upstream, err error) {
	r.storing = false
	r.storeAgain = steady.Now() + storeGap
	if err != nil {
		r.Log("progress not stored", "round", round, "error", err.Error())
		r.failure = err
		return
	}
	r.core.RosterStored(roster)
	r.core.Stored(round)
}

// batch spreads records over transactions.
func batch(records []schedule.Record) []ledger.Write {
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

// addExtras adds the roster, the machines with orders and the numbers of waiting jobs to the first transaction.
func (r *session) addExtras(writes *[]ledger.Write, pending map[string]int, ordered *schedule.Ordered) error {
	first := &(*writes)[0]
	if ordered != nil {
		write, err := ledger.OrderedWrite(ordered)
		if err != nil {
			return err
		}
		first.Extra = append(first.Extra, write)
	}
	if r.roster != nil {
		write, err := ledger.RosterWrite(r.roster)
		if err != nil {
			return err
		}
		first.Extra = append(first.Extra, write)
	}
	if pending != nil {
		write, err := ledger.PendingWrite(pending, steady.WallMS())
		if err != nil {
			return err
		}
		first.Extra = append(first.Extra, write)
	}
	return nil
}

// pendingWrite returns the numbers of waiting jobs if they have changed and were not written a moment ago.
func (r *session) pendingWrite(now time.Duration) map[string]int {
	if now < r.pendingAt {
		return nil
	}
	pending := r.core.Pending()
	if r.pendingSent != nil && equalCounts(pending, r.pendingSent) {
		return nil
	}
	r.pendingAt, r.pendingSent = now+pendingGap, pending
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

// readWaves reads what earlier owners stored of waves.
func (r *session) readWaves(ctx context.Context) error {
	values, err := r.Ledger.Waves(ctx, readTimeout)
	if err != nil {
		return err
	}
	r.waves = make(map[int]schedule.WaveRecord, len(values))
	for _, value := range values {
		var record schedule.WaveRecord
		if err := job.Decode(value, &record); err != nil {
			r.Log("unreadable record of a wave", "error", err.Error())
			continue
		}
		r.waves[record.Number] = record
	}
	return nil
}

// addWaves appends a transaction for each wave whose state has changed.
func (r *session) addWaves(writes []ledger.Write, waves []schedule.WaveRecord) []ledger.Write {
	for _, wave := range waves {
		extra, err := ledger.WaveWrites(wave.Number, wave, wave.Succeeded)
		if err != nil {
			r.Log("record not encoded", "wave", wave.Number, "error", err.Error())
			continue
		}
		writes = append(writes, ledger.Write{Extra: extra})
	}
	return writes
}
