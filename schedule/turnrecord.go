package schedule

import (
	"slices"
	"time"
)

// The next owner needs what is known about turns: it would otherwise learn them anew for two rounds. The record has a key of its own,
// which other versions ignore.

const (
	// turnRecordInterval is the shortest time between two records.
	turnRecordInterval = 5 * time.Second
	// maxRecordedPools bounds the record.
	maxRecordedPools = 256
)

// TurnRecord is the stored knowledge about turns of demand.
type TurnRecord struct {
	Pools       map[string]PoolTurnRecord `cbor:"1,keyasint,omitempty"`
	LastPool    string                    `cbor:"2,keyasint,omitempty"` // whose turn began last
	LastBeginMS int64                     `cbor:"3,keyasint,omitempty"` // Unix milliseconds
	Trust       int                       `cbor:"4,keyasint,omitempty"`
}

// PoolTurnRecord is the stored form of poolTurns. Heights are in thousandths of a core.
type PoolTurnRecord struct {
	Heights   []int64 `cbor:"1,keyasint,omitempty"`
	LengthsMS []int64 `cbor:"2,keyasint,omitempty"`
	Next      string  `cbor:"3,keyasint,omitempty"`
	DelayMS   int64   `cbor:"4,keyasint,omitempty"`
	Confirmed int     `cbor:"5,keyasint,omitempty"`
}

// turnRecordState is the state of the stored record.
type turnRecordState struct {
	dirty bool          // changed since the last record
	due   bool          // to be stored with the next batch
	next  time.Duration // earliest time of the next record
}

// reviewTurnRecord marks the record for storing once it has changed and the last one is old enough.
func (c *Core) reviewTurnRecord() {
	r := &c.turnRecord
	if r.dirty && c.now >= r.next {
		r.dirty, r.due, r.next = false, true, c.now+turnRecordInterval
	}
}

// takeTurnRecord returns the record to be stored with the last batch, or nil if it is unchanged.
func (c *Core) takeTurnRecord() *TurnRecord {
	if !c.turnRecord.due {
		return nil
	}
	c.turnRecord.due = false
	b := c.turns
	record := &TurnRecord{Pools: map[string]PoolTurnRecord{}, Trust: b.trust, LastPool: b.last}
	if b.last != "" {
		record.LastBeginMS = c.wallMS - (c.now - b.lastAt).Milliseconds()
	}
	for name, t := range b.pools {
		if len(record.Pools) >= maxRecordedPools {
			break
		}
		record.Pools[name] = PoolTurnRecord{
			Heights: slices.Clone(t.heights[:]), LengthsMS: []int64{t.lengths[0].Milliseconds(), t.lengths[1].Milliseconds()},
			Next: t.next.pool, DelayMS: t.next.delay.Milliseconds(), Confirmed: t.next.confirmed,
		}
	}
	return record
}

// InheritTurns applies the record that an earlier owner stored. Values out of range are left out: a wrong record costs at most a
// wrong prediction.
func (c *Core) InheritTurns(record TurnRecord) {
	if len(record.Pools) == 0 {
		return
	}
	b := newTurnBook()
	b.trust = min(max(record.Trust, minTrust), maxTrust)
	for name, stored := range record.Pools {
		t := b.pool(name)
		for i := range min(len(stored.Heights), len(stored.LengthsMS), len(t.heights)) {
			length := time.Duration(stored.LengthsMS[i]) * time.Millisecond
			if stored.Heights[i] > 0 && length >= minTurn && length <= maxTurn {
				t.heights[i], t.lengths[i] = stored.Heights[i], length
			}
		}
		delay := time.Duration(stored.DelayMS) * time.Millisecond
		if stored.Next != "" && delay >= minTurn && delay <= maxSuccession {
			t.next = succession{pool: stored.Next, delay: delay, confirmed: max(stored.Confirmed, 0)}
		}
	}
	if age := time.Duration(c.wallMS-record.LastBeginMS) * time.Millisecond; record.LastPool != "" && age >= 0 && age < maxSuccession {
		b.resume(record.LastPool, c.now-age, c.now)
	}
	c.turns = b
	c.Log("turns of demand read", "pools", len(b.pools), "last", b.last, "last_ms_ago", (c.now - b.lastAt).Milliseconds(), "trust", b.trust)
}

// resume continues after the last turn that an earlier owner saw begin. Turns that are predicted for the time until this owner can notice
// one itself are taken to begin as predicted, if the predictions were right; they confirm nothing.
func (b *turnBook) resume(pool string, at, now time.Duration) {
	b.last, b.lastAt = pool, at
	b.predict()
	for b.isRegular() && b.isUnnoticed(now) {
		b.last, b.lastAt = b.forecast.pool, b.forecast.at
		b.predict()
	}
	if b.isUnnoticed(now) {
		b.forecast = nil
	}
	t := b.pool(b.last)
	t.begin, t.active, t.assumed = b.lastAt, true, true
	b.endAssumed(now)
}

// isUnnoticed reports whether the predicted turn begins before a new owner can notice it.
func (b *turnBook) isUnnoticed(now time.Duration) bool {
	return b.forecast != nil && b.forecast.at < now+turnWarmUp+turnRiseWindow
}

// endAssumed ends turns whose begin this owner has not noticed, and whose end it will not notice therefore. A rise is noticed up to
// turnRiseWindow after its begin.
func (b *turnBook) endAssumed(now time.Duration) {
	for _, t := range b.pools {
		if t.assumed && now > t.begin+t.length() {
			t.active = false
		}
		if t.assumed && now > t.latestAssumed()+turnRiseWindow {
			t.assumed = false
		}
	}
}
