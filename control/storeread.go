package control

import (
	"time"

	"citrongauge.example/citrongauge/result"
)

const (
	// directReadAfter is the age of freshAt at which a host that is not a relay reads the store itself. It leaves
	// 300 ms for the read before the permit expires.
	directReadAfter = 900 * time.Millisecond
	// directReadBackoff is the pause after a failed read by a host that is not a relay, so that during a store
	// outage not every host reads at the rate of a relay.
	directReadBackoff = 2 * time.Second
	maxPendingReads   = 4
)

// storeState tracks store reads and the store watch.
type storeState struct {
	// revision is the store's revision of the current record, or 0 if it is not known.
	revision     uint64
	empty        bool // the last read found no record
	nextID       uint64
	pending      map[uint64]time.Time // send times of unanswered reads
	lastRead     time.Time            // send time of the latest read
	lastAnswered time.Time            // send time of the latest read that was answered
	failedAt     time.Time            // when the latest completed read failed; zero if it succeeded
	watchID      uint64               // outstanding watch, 0 if none
	watchedAt    time.Time            // start of the latest watch; zero if another one may start at once
}

// readInFlight reports whether a read that was sent within StoreTimeout is unanswered.
func (s *storeState) readInFlight(now time.Time) bool {
	for _, sent := range s.pending {
		if now.Sub(sent) < StoreTimeout {
			return true
		}
	}
	return false
}

// heldBundleVersion returns the current bundle version, or 0.
func (c *Core) heldBundleVersion() uint64 {
	if c.record == nil {
		return 0
	}
	return c.record.BundleVersion
}

func (c *Core) readStore(now time.Time) {
	if c.store.readInFlight(now) {
		return
	}
	for id, sent := range c.store.pending {
		if len(c.store.pending) >= maxPendingReads || now.Sub(sent) > 10*StoreTimeout {
			delete(c.store.pending, id)
		}
	}
	c.store.nextID++
	c.store.pending[c.store.nextID] = now
	c.store.lastRead = now
	c.emit(ReadStore{ID: c.store.nextID, KnownRevision: c.store.revision, KnownBundleVersion: c.heldBundleVersion()})
}

// scheduleReads reads the store every StoreReadInterval on a relay, on a host that is not in the roster, and on a host
// whose freshAt is at least directReadAfter old, for example because its zone has no relay. Only a relay watches the
// store.
func (c *Core) scheduleReads(now time.Time) {
	if c.evicted || c.left {
		return
	}
	interval := StoreReadInterval
	if c.record != nil && c.roster.ownZone >= 0 && !c.relay {
		if !c.freshAt.IsZero() && now.Sub(c.freshAt) < directReadAfter {
			return
		}
		if !c.store.failedAt.IsZero() && now.Sub(c.store.failedAt) < directReadBackoff {
			return
		}
	}
	if c.store.lastRead.IsZero() || now.Sub(c.store.lastRead) >= interval {
		c.readStore(now)
	}
	if c.relay && c.store.watchID == 0 && c.store.revision != 0 && now.Sub(c.store.watchedAt) >= StoreReadInterval {
		c.store.nextID++
		c.store.watchID, c.store.watchedAt = c.store.nextID, now
		c.emit(WatchStore{ID: c.store.watchID, KnownRevision: c.store.revision, KnownBundleVersion: c.heldBundleVersion()})
	}
}

func (c *Core) handleRead(now time.Time, id uint64, snapshot Snapshot, err error) {
	sent, ok := c.store.pending[id]
	delete(c.store.pending, id)
	if !ok {
		return
	}
	if err != nil {
		c.store.failedAt = now
		return
	}
	c.store.failedAt = time.Time{}
	c.store.lastAnswered = latest(c.store.lastAnswered, sent)
	c.applySnapshot(now, sent, snapshot)
}

// handleWatch applies a newer record and reads the store again immediately, because the result of a watch does not
// show when it was produced and so cannot update freshAt.
func (c *Core) handleWatch(now time.Time, ev StoreWatchCompleted) {
	if ev.ID != c.store.watchID {
		return
	}
	c.store.watchID = 0
	if ev.Err != nil || ev.Snapshot.Record == nil {
		return
	}
	c.store.watchedAt = time.Time{}
	if ev.Snapshot.Record.Revision > c.heldRevision() {
		c.applySnapshot(now, time.Time{}, ev.Snapshot)
		c.readStore(now)
	}
}

// applySnapshot applies what the store returned for a request sent at the given time.
func (c *Core) applySnapshot(now, sent time.Time, s Snapshot) {
	c.store.empty = s.StoreRevision == 0
	if s.Record == nil {
		if s.StoreRevision != 0 && s.StoreRevision == c.store.revision {
			c.freshAt = latest(c.freshAt, sent)
		}
		return
	}
	switch held := c.heldRevision(); {
	case s.Record.Revision < held:
		if sent.After(c.heldSince) && !c.heldSince.IsZero() {
			c.reportRejected("", s.Record.Revision, result.Errorf(result.VersionNotHigher, "store is at revision %d, below the held revision %d", s.Record.Revision, held))
		}
		return
	case s.Record.Revision > held:
		if err := c.adopt(now, s.Record, s.Bundle); err != nil {
			c.reportRejected("", s.Record.Revision, err)
			return
		}
	case s.Record.WriterNonce != c.record.WriterNonce || s.Record.BundleDigest != c.record.BundleDigest:
		c.reportRejected("", s.Record.Revision, result.Errorf(result.DigestMismatch, "store holds a different record at revision %d", held))
		return
	}
	c.store.revision = s.StoreRevision
	c.freshAt = latest(c.freshAt, sent)
}
