package control

import (
	"slices"
	"time"

	"citrongauge.example/citrongauge/result"
)

const (
	// objectAfter is the silence within which a host counts as heard when a suspicion is examined.
	objectAfter = RelayTimeout
	// The time between two suspicions of the same member doubles with each one that it refutes, so that a long
	// partition between zones does not keep the record changing.
	firstSuspicionPause = 3 * time.Second
	lastSuspicionPause  = time.Minute
	// dutyRetry is the pause after a duty that could not be written.
	dutyRetry = 100 * time.Millisecond
	// rankDelay staggers the relays, so that normally only the first one writes.
	rankDelay = 500 * time.Millisecond
)

// suspicion is what a relay remembers of a member that it did not hear.
type suspicion struct {
	since time.Time // since when the record in force has listed it
	pause time.Duration
	after time.Time // no new suspicion before
}

// scheduleDuties writes what this host has to write by itself. The change is derived from the record in force,
// so that a lost compare-and-swap leads to a fresh decision.
func (c *Core) scheduleDuties(now time.Time) {
	if c.evicted || c.left || now.Before(c.nextDutyAt) {
		return
	}
	c.examineSuspicions(now)
	if c.writer.attempt != nil || len(c.writer.queue) > 0 {
		return
	}
	mutate := c.nextDuty(now)
	if mutate == nil {
		return
	}
	c.nextDutyAt = now.Add(dutyRetry)
	if c.baseKnown() {
		c.start(now, &write{mutate: mutate})
	} else {
		c.readStore(now)
	}
}

func (c *Core) nextDuty(now time.Time) func(*Record) error {
	if c.rec == nil {
		return nil
	}
	self := c.opts.Self
	if c.layout.own < 0 {
		again := containsMember(c.rec.Departed, self.ID)
		if c.wantJoin && !c.draining && (!c.joined || again) {
			return func(r *Record) error { return join(r, self, again) }
		}
		return nil
	}
	if c.leaving && !c.quietFrom.IsZero() && now.Sub(c.quietFrom) >= Stretch(ReservationTTL) {
		return func(r *Record) error { return remove(r, []string{self.ID}, false) }
	}
	if heard := c.wronglySuspected(now); len(heard) > 0 {
		return func(r *Record) error { return clearSuspects(r, heard) }
	}
	if !c.relay {
		return nil
	}
	if settled := c.settledNow(now); settled != nil {
		return func(r *Record) error { return settled.settle(r, c.info.ServeFor) }
	}
	if dead := c.evictable(now); len(dead) > 0 {
		return func(r *Record) error { return remove(r, dead, true) }
	}
	if silent := c.newSuspects(now); len(silent) > 0 {
		return func(r *Record) error { return suspect(r, silent) }
	}
	return nil
}

// join adds a host to the roster. A host that was evicted and is not cleared yet comes back as itself: the departed
// list already counts it as one that may act, its grants are still its own, and it holds the revision at which it
// returns. Otherwise every host of a zone that was cut off for a few seconds would lose its running work when the zone
// is back, and its departed incarnation would hold up acceptance for serve_for. Once cleared it must not return.
func join(r *Record, self Member, again bool) error {
	switch {
	case r.BundleVersion == 0:
		return result.Errorf(result.NoPermission, "no bundle is in force")
	case containsMember(r.Roster, self.ID):
		return ErrNoChange
	case again != containsMember(r.Departed, self.ID):
		return ErrNoChange
	case len(r.PastRosters) >= MaxPastRosters:
		return result.Errorf(result.NoPermission, "too many roster changes are not settled")
	}
	r.Departed = slices.DeleteFunc(r.Departed, func(m Member) bool { return m.ID == self.ID })
	r.archiveRoster(self.Zone)
	r.Roster = append(r.Roster, self)
	return nil
}

// remove takes members off the roster. Evicted ones may still hold permission and are listed as departed; a host
// that leaves cannot start anything.
func remove(r *Record, ids []string, evicted bool) error {
	if len(r.PastRosters)+len(ids) > MaxPastRosters {
		return result.Errorf(result.NoPermission, "too many roster changes are not settled")
	}
	zones := make(map[string]bool)
	changed := false
	for _, id := range ids {
		m, ok := r.Member(id)
		if !ok || evicted && !slices.Contains(r.Suspects, id) {
			continue
		}
		changed = true
		if !zones[m.Zone] {
			r.archiveRoster(m.Zone)
			zones[m.Zone] = true
		}
		if evicted {
			r.Departed = append(r.Departed, m)
		}
	}
	if !changed {
		return ErrNoChange
	}
	gone := func(id string) bool {
		return slices.Contains(ids, id) && (!evicted || slices.Contains(r.Suspects, id))
	}
	r.Roster = slices.DeleteFunc(r.Roster, func(m Member) bool { return gone(m.ID) })
	r.Suspects = slices.DeleteFunc(r.Suspects, gone)
	return nil
}

func suspect(r *Record, ids []string) error {
	for _, id := range ids {
		if !slices.Contains(r.Suspects, id) {
			r.Suspects = append(r.Suspects, id)
		}
	}
	return nil
}

func clearSuspects(r *Record, ids []string) error {
	r.Suspects = slices.DeleteFunc(r.Suspects, func(id string) bool { return slices.Contains(ids, id) })
	return nil
}

func clearDeparted(r *Record, ids []string) error {
	before := len(r.Departed)
	r.Departed = slices.DeleteFunc(r.Departed, func(m Member) bool { return slices.Contains(ids, m.ID) })
	if len(r.Departed) == before {
		return ErrNoChange
	}
	return nil
}

// wronglySuspected lists suspects that are alive: the host itself, and for a relay everyone that a relay hears.
func (c *Core) wronglySuspected(now time.Time) []string {
	var alive []string
	for _, id := range c.rec.Suspects {
		p := c.peers[id]
		switch {
		case id == c.opts.Self.ID:
			alive = append(alive, id)
		case c.relay && p.isHeard(now):
			alive = append(alive, id)
		}
	}
	return alive
}

// examineSuspicions notes since when a member has been listed, and lengthens the pause of one that was refuted.
func (c *Core) examineSuspicions(now time.Time) {
	if c.rec == nil {
		return
	}
	for _, id := range c.rec.Suspects {
		s := c.suspicionOf(id)
		if s.since.IsZero() {
			s.since = now
		}
	}
	for id, s := range c.suspicion {
		if c.peers[id].isHeard(now) && !slices.Contains(c.rec.Suspects, id) {
			delete(c.suspicion, id)
			continue
		}
		if s.since.IsZero() || slices.Contains(c.rec.Suspects, id) {
			continue
		}
		s.since = time.Time{}
		s.pause = min(max(2*s.pause, firstSuspicionPause), lastSuspicionPause)
		s.after = now.Add(s.pause)
	}
}

func (c *Core) suspicionOf(id string) *suspicion {
	s := c.suspicion[id]
	if s == nil {
		s = &suspicion{}
		c.suspicion[id] = s
	}
	return s
}

// unheard lists the members that this relay is responsible for and that nobody has heard for d: those of its own
// zone, and as first live relay those of zones of which nobody is left.
func (c *Core) unheard(now time.Time, d time.Duration) []string {
	var ids []string
	first := c.rank(now) == 0
	for z, members := range c.layout.members {
		silent := c.silentMembers(now, members, d)
		if z == c.layout.own || first && len(silent) == len(members) {
			ids = append(ids, silent...)
		}
	}
	return ids
}

func (c *Core) silentMembers(now time.Time, members []Member, d time.Duration) []string {
	var ids []string
	for _, m := range members {
		if p := c.peers[m.ID]; p != nil && p.silence(now) >= d {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

func (c *Core) newSuspects(now time.Time) []string {
	return slices.DeleteFunc(c.unheard(now, SuspectAfter), func(id string) bool {
		s := c.suspicion[id]
		return slices.Contains(c.rec.Suspects, id) || s != nil && now.Before(s.after)
	})
}

// evictable lists suspects that had the time to object.
func (c *Core) evictable(now time.Time) []string {
	return slices.DeleteFunc(c.unheard(now, EvictAfter), func(id string) bool {
		s := c.suspicion[id]
		return !slices.Contains(c.rec.Suspects, id) || s == nil || s.since.IsZero() || now.Sub(s.since) < EvictAfter-SuspectAfter
	})
}

// rank returns the number of live relays before this host in roster order.
func (c *Core) rank(now time.Time) int {
	rank := 0
	for _, m := range c.rec.Roster {
		if m.ID == c.opts.Self.ID {
			break
		}
		if p := c.peers[m.ID]; p != nil && !p.relayAt.IsZero() && now.Sub(p.relayAt) < RelayTimeout {
			rank++
		}
	}
	return rank
}
