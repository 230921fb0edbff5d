package control

import (
	"time"

	"citrongauge.example/citrongauge/result"
)

const (
	// readAloneAfter is the age of freshness at which a host that is no relay reads the store itself. It leaves
	// 300 ms for the read before the permit lapses.
	readAloneAfter = 900 * time.Millisecond
	// readAloneBackoff follows a failed read of a host that is no relay, so that an outage of the store does not
	// make every host read at the rate of a relay.
	readAloneBackoff = 2 * time.Second
	maxPendingReads  = 4
)

// storeState tracks reads and the watch.
type storeState struct {
	// revision is the store's revision of the record in force, or 0 if it is not known.
	revision uint64
	empty    bool // the last read found no record
	nextID   uint64
	pending  map[uint64]time.Time // sent times of reads
	lastRead time.Time
	lastOK   time.Time // sent time of the last read that was answered
	failedAt time.Time
	watchID  uint64
	watchAt  time.Time
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

// heldVersion returns the bundle version in force, or 0.
func (c *Core) heldVersion() uint64 {
	if c.rec == nil {
		return 0
	}
	return c.rec.BundleVersion
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
	c.emit(ReadStore{ID: c.store.nextID, Known: c.store.revision, KnownVersion: c.heldVersion()})
}

// scheduleReads reads every StoreReadInterval as a relay, or as a host that has no relay or no place in the
// roster. Only a relay watches.
func (c *Core) scheduleReads(now time.Time) {
	if c.evicted || c.left {
		return
	}
	interval := StoreReadInterval
	if c.rec != nil && c.layout.own >= 0 && !c.relay {
		if !c.freshAt.IsZero() && now.Sub(c.freshAt) < readAloneAfter {
			return
		}
		if !c.store.failedAt.IsZero() && now.Sub(c.store.failedAt) < readAloneBackoff {
			return
		}
	}
	if c.store.lastRead.IsZero() || now.Sub(c.store.lastRead) >= interval {
		c.readStore(now)
	}
	if c.relay && c.store.watchID == 0 && c.store.revision != 0 && now.Sub(c.store.watchAt) >= StoreReadInterval {
		c.store.nextID++
		c.store.watchID, c.store.watchAt = c.store.nextID, now
		c.emit(WatchStore{ID: c.store.watchID, Known: c.store.revision, KnownVersion: c.heldVersion()})
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
	c.store.lastOK = latest(c.store.lastOK, sent)
	c.useSnapshot(now, sent, snapshot)
}

// handleWatch reads the store again at once: the answer to a watch says little about when it was composed.
func (c *Core) handleWatch(now time.Time, ev StoreWatched) {
	if ev.ID != c.store.watchID {
		return
	}
	c.store.watchID = 0
	if ev.Err != nil || ev.Snapshot.Record == nil {
		return
	}
	c.store.watchAt = time.Time{}
	if ev.Snapshot.Record.Revision > c.heldRevision() {
		c.useSnapshot(now, time.Time{}, ev.Snapshot)
		c.readStore(now)
	}
}

// useSnapshot takes over what the store returned for a request sent at the given time.
func (c *Core) useSnapshot(now, sent time.Time, s Snapshot) {
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
			c.refuse("", s.Record.Revision, result.Errorf(result.VersionNotHigher, "store is at revision %d, held %d", s.Record.Revision, held))
		}
		return
	case s.Record.Revision > held:
		if err := c.adopt(now, s.Record, s.Bundle); err != nil {
			c.refuse("", s.Record.Revision, err)
			return
		}
	case s.Record.WriterNonce != c.rec.WriterNonce || s.Record.BundleDigest != c.rec.BundleDigest:
		c.refuse("", s.Record.Revision, result.Errorf(result.DigestMismatch, "store has another record at revision %d", held))
		return
	}
	c.store.revision = s.StoreRevision
	c.freshAt = latest(c.freshAt, sent)
}
