package owner

import (
	"time"

	"citrongauge.example/citrongauge/clock"
	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/platform"
)

// predecessor is the last ownership of another process that this host has seen. A new owner that knows when it ended need not
// wait for leases that have expired since. It is used only by the goroutine of Owner.Run.
type predecessor struct {
	record ledger.OwnerRecord
	seen   bool // the record is set
	// endedAt is the time, by the monotonic clock, at which the owner's key was first seen to be gone; 0: it was not. The owner
	// stops before its key expires, and gives it up only after it has stopped.
	endedAt time.Duration
	// seenAt is when the owner's key was read last while it existed; 0: never.
	seenAt time.Duration
}

// noteKey records the owner's item as read: an owner, or that there is none.
func (p *predecessor) noteKey(item platform.Item, record ledger.OwnerRecord, now time.Duration) {
	if item.Revision == 0 {
		p.noteGone(now)
		return
	}
	*p = predecessor{record: record, seen: true, seenAt: now}
}

func (p *predecessor) noteGone(now time.Duration) {
	if p.seen && p.endedAt == 0 {
		p.endedAt = now
	}
}

// noteEvents records changes of the owner's key. After an unreadable record nothing is known.
func (p *predecessor) noteEvents(events []platform.Event, now time.Duration) {
	for _, event := range events {
		if event.Key != ledger.OwnerKey {
			continue
		}
		if event.Deleted {
			p.noteGone(now)
			continue
		}
		record, err := ledger.DecodeOwner(event.Item)
		*p = predecessor{record: record, seen: err == nil}
	}
}

// recordBefore returns the record of the ownership before the given one; empty: it has not been seen.
func (p *predecessor) recordBefore(ownership *ledger.Ownership) ledger.OwnerRecord {
	if !p.seen || p.record.Generation+1 != ownership.Generation {
		return ledger.OwnerRecord{}
	}
	return p.record
}

// diedOn reports whether the ownership before the given one, whose witnesses are stored, was that of an earlier process of the host: it ended
// before the given process began.
func (p *predecessor) diedOn(host, process string, ownership *ledger.Ownership) bool {
	before, record := p.recordBefore(ownership), ownership.EarlierWitnesses
	return record != nil && record.Generation == before.Generation && before.Host == host && before.Process != process
}

// endOfEarlier returns a time by which the ownership before the given one had ended, the longest lease on an upstream from then on, and
// how that is known; 0: it is not. An owner on the same host whose key was replaced was an earlier process, which ended before
// this one began. A key that has expired outlives the last renewal by its lease, and the leases on upstreams are bounded by that
// renewal, too.
func (o *Owner) endOfEarlier(ownership *ledger.Ownership) (ended, longestLease time.Duration, source string) {
	switch record := o.predecessor.recordBefore(ownership); {
	case record.Process == "", record.Process == o.Process:
		return 0, ownership.EarlierLease, "claim" // see lastOwnership for those of this process
	case record.Host == o.Host:
		return o.startedAt, 0, "start of this process"
	case o.predecessor.endedAt > 0:
		return o.predecessor.endedAt, ownership.EarlierLease, "owner's key"
	}
	return 0, ownership.EarlierLease, "claim"
}

// agoMS returns how long ago a time is, in milliseconds; -1 if it is not known.
func agoMS(t time.Duration) int64 {
	if t == 0 {
		return -1
	}
	return (clock.Now() - t).Milliseconds()
}
