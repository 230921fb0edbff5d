package control

import (
	"slices"
	"time"

	"citrongauge.example/citrongauge/result"
)

const (
	// recentlyHeardWindow is the time since the last report within which a peer counts as heard when a suspicion is
	// reviewed.
	recentlyHeardWindow = RelayTimeout
	// The pause between two suspicions of the same member doubles each time the suspicion is refuted, so that a long
	// partition between zones does not cause continuous record changes.
	minSuspicionPause = 3 * time.Second
	maxSuspicionPause = time.Minute
	// internalWriteInterval is the minimum time between two attempts to start an internal write.
	internalWriteInterval = 100 * time.Millisecond
	// relayRankDelay is multiplied by a relay's rank to stagger writes, so that normally only the first relay
	// writes.
	relayRankDelay = 500 * time.Millisecond
)

// suspicion is the state that a host tracks for a member that is or was suspected.
type suspicion struct {
	listedSince time.Time // when the current record was first seen to list the member as suspect
	pause       time.Duration
	notBefore   time.Time // earliest time of the next suspicion
}

// scheduleInternalWrite starts the next change that this host makes on its own, without an outside request. The
// change is derived from the current record each time, so that a failed compare-and-swap leads to a new decision.
func (c *Core) scheduleInternalWrite(now time.Time) {
	if c.evicted || c.left || now.Before(c.nextInternalWriteAt) {
		return
	}
	c.updateSuspicions(now)
	if c.writer.attempt != nil || len(c.writer.queue) > 0 {
		return
	}
	mutate := c.nextInternalChange(now)
	if mutate == nil {
		return
	}
	c.nextInternalWriteAt = now.Add(internalWriteInterval)
	if c.baseKnown() {
		c.startWrite(now, &write{mutate: mutate})
	} else {
		c.readStore(now)
	}
}

func (c *Core) nextInternalChange(now time.Time) func(*Record) error {
	if c.record == nil {
		return nil
	}
	self := c.opts.Self
	if c.roster.ownZone < 0 {
		returning := containsMember(c.record.Departed, self.ID)
		if c.joinRequested && !c.draining && (!c.joined || returning) {
			return func(r *Record) error { return join(r, self, returning) }
		}
		return nil
	}
	if c.leaving && !c.leavingSince.IsZero() && now.Sub(c.leavingSince) >= WithClockDrift(ReservationTTL) {
		return func(r *Record) error { return remove(r, []string{self.ID}, false) }
	}
	if refuted := c.refutedSuspects(now); len(refuted) > 0 {
		return func(r *Record) error { return clearSuspects(r, refuted) }
	}
	if !c.relay {
		return nil
	}
	if settled := c.nextSettled(now); settled != nil {
		return func(r *Record) error { return settled.settle(r, c.bundleInfo.ServeFor) }
	}
	if evicted := c.evictable(now); len(evicted) > 0 {
		return func(r *Record) error { return remove(r, evicted, true) }
	}
	if suspects := c.newSuspects(now); len(suspects) > 0 {
		return func(r *Record) error { return suspect(r, suspects) }
	}
	return nil
}

// join adds a host to the roster. A host that was evicted and is still on the departed list returns with the same
// identity: the departed list already counts it as a host that may start work, it still owns its grants, and it
// holds the revision at which it returns. Otherwise all hosts of a zone that was partitioned for a few seconds would
// lose their running work when the zone reconnects, and their departed incarnations would delay acceptance for
// serve_for. A host that was cleared from the departed list must not return.
func join(r *Record, self Member, returning bool) error {
	switch {
	case r.BundleVersion == 0:
		return result.Errorf(result.NoPermission, "no bundle is in force")
	case containsMember(r.Roster, self.ID):
		return ErrNoChange
	case returning != containsMember(r.Departed, self.ID):
		return ErrNoChange
	case len(r.PastRosters) >= MaxPastRosters:
		return result.Errorf(result.NoPermission, "too many unsettled roster changes")
	}
	r.Departed = slices.DeleteFunc(r.Departed, func(m Member) bool { return m.ID == self.ID })
	r.archiveRoster(self.Zone)
	r.Roster = append(r.Roster, self)
	return nil
}

// remove removes members from the roster. Evicted members may still have permission to start work and are added to
// the departed list; a host that leaves at its own request can no longer start work.
func remove(r *Record, ids []string, evicted bool) error {
	if len(r.PastRosters)+len(ids) > MaxPastRosters {
		return result.Errorf(result.NoPermission, "too many unsettled roster changes")
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
	removed := func(id string) bool {
		return slices.Contains(ids, id) && (!evicted || slices.Contains(r.Suspects, id))
	}
	r.Roster = slices.DeleteFunc(r.Roster, func(m Member) bool { return removed(m.ID) })
	r.Suspects = slices.DeleteFunc(r.Suspects, removed)
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

// refutedSuspects lists suspects that are alive: this host itself and, on a relay, every suspect that some host has
// recently heard.
func (c *Core) refutedSuspects(now time.Time) []string {
	var alive []string
	for _, id := range c.record.Suspects {
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

// updateSuspicions records when a member was first listed as suspect, and lengthens the pause before the next
// suspicion of a member whose suspicion was refuted.
func (c *Core) updateSuspicions(now time.Time) {
	if c.record == nil {
		return
	}
	for _, id := range c.record.Suspects {
		s := c.suspicionOf(id)
		if s.listedSince.IsZero() {
			s.listedSince = now
		}
	}
	for id, s := range c.suspicions {
		if c.peers[id].isHeard(now) && !slices.Contains(c.record.Suspects, id) {
			delete(c.suspicions, id)
			continue
		}
		if s.listedSince.IsZero() || slices.Contains(c.record.Suspects, id) {
			continue
		}
		s.listedSince = time.Time{}
		s.pause = min(max(2*s.pause, minSuspicionPause), maxSuspicionPause)
		s.notBefore = now.Add(s.pause)
	}
}

func (c *Core) suspicionOf(id string) *suspicion {
	s := c.suspicions[id]
	if s == nil {
		s = &suspicion{}
		c.suspicions[id] = s
	}
	return s
}

// unheardMembers lists the members that this relay is responsible for and that no host has heard for d: those of its
// own zone and, on the first live relay, those of zones in which every member is silent.
func (c *Core) unheardMembers(now time.Time, d time.Duration) []string {
	var ids []string
	isFirst := c.relayRank(now) == 0
	for z, members := range c.roster.members {
		silent := c.silentMembers(now, members, d)
		if z == c.roster.ownZone || isFirst && len(silent) == len(members) {
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
	return slices.DeleteFunc(c.unheardMembers(now, SuspectAfter), func(id string) bool {
		s := c.suspicions[id]
		return slices.Contains(c.record.Suspects, id) || s != nil && now.Before(s.notBefore)
	})
}

// evictable lists suspects that have had enough time to refute the suspicion.
func (c *Core) evictable(now time.Time) []string {
	return slices.DeleteFunc(c.unheardMembers(now, EvictAfter), func(id string) bool {
		s := c.suspicions[id]
		return !slices.Contains(c.record.Suspects, id) || s == nil || s.listedSince.IsZero() || now.Sub(s.listedSince) < EvictAfter-SuspectAfter
	})
}

// relayRank returns the number of live relays that precede this host in roster order.
func (c *Core) relayRank(now time.Time) int {
	rank := 0
	for _, m := range c.record.Roster {
		if m.ID == c.opts.Self.ID {
			break
		}
		if p := c.peers[m.ID]; p != nil && !p.relayHeardAt.IsZero() && now.Sub(p.relayHeardAt) < RelayTimeout {
			rank++
		}
	}
	return rank
}
