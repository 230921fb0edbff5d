package control

import "time"

// sendHeartbeats sends the heartbeats that are due: within this host's zone, between relays, and to relays of other
// zones that send heartbeats to this host. State changes are sent immediately, and a revision that this host wrote
// is announced to every member.
func (c *Core) sendHeartbeats(now time.Time) {
	if c.record == nil || c.left || c.evicted {
		return
	}
	immediate := c.sendNow && c.immediateSendsLeft > 0
	if immediate {
		c.immediateSendsLeft--
	}
	c.sendNow = false
	announce := c.writer.announce
	c.writer.announce = false
	silent := c.silentZones(now)
	for _, id := range c.roster.peerIDs {
		p := c.peers[id]
		linked := c.isLinked(now, p, silent)
		if announce || linked && (immediate || !now.Before(p.nextSendAt)) {
			c.sendHeartbeat(now, p, 0)
		}
	}
}

// isLinked reports whether this host exchanges heartbeats with p.
func (c *Core) isLinked(now time.Time, p *peerState, silent []bool) bool {
	if p.member.Zone == c.opts.Self.Zone {
		return true
	}
	if !p.relayHeardAt.IsZero() && now.Sub(p.relayHeardAt) < RelayTimeout {
		return true
	}
	return c.relay && silent[c.roster.zoneOf[p.member.ID]]
}

// silentZones marks the zones from whose relays no heartbeat was received within RelayTimeout. A relay sends
// heartbeats to all their members.
func (c *Core) silentZones(now time.Time) []bool {
	silent := make([]bool, len(c.roster.zones))
	for z, members := range c.roster.members {
		silent[z] = true
		for _, m := range members {
			p := c.peers[m.ID]
			if p != nil && !p.relayHeardAt.IsZero() && now.Sub(p.relayHeardAt) < RelayTimeout {
				silent[z] = false
			}
		}
	}
	return silent
}

func (c *Core) sendHeartbeat(now time.Time, p *peerState, flags Flags) {
	p.sentSeq++
	p.sentTimes[p.sentSeq%sentTimesKept] = now
	p.nextSendAt = now.Add(HeartbeatInterval)
	hb := Heartbeat{Seq: p.sentSeq, Echo: p.receivedSeq, Revision: c.record.Revision, FreshAge: ageOf(now, c.freshAt), Flags: flags}
	if c.relay {
		hb.Flags |= FlagRelay
	}
	if c.leaving {
		hb.Flags |= FlagLeaving
	}
	hb.ZoneAges = make([]Age, len(c.zoneAttestedAt))
	for z, at := range c.zoneAttestedAt {
		hb.ZoneAges[z] = ageOf(now, at)
	}
	c.fillMasks(now, &hb)
	c.emit(SendHeartbeat{To: p.member, Heartbeat: hb})
}

func (c *Core) fillMasks(now time.Time, hb *Heartbeat) {
	if c.roster.ownZone < 0 {
		return
	}
	for i, m := range c.roster.members[c.roster.ownZone] {
		bit := Mask(1) << i
		held, drained := c.confirmation(m.ID, hb.Revision)
		if held {
			hb.Held |= bit
		}
		if drained {
			hb.Drained |= bit
		}
		if p := c.peers[m.ID]; p == nil || !p.heardAt.IsZero() && now.Sub(p.heardAt) < heardReportWindow {
			hb.Heard |= bit
		}
	}
	hb.BlockedRevision, hb.BlockedAge = c.ownBlocked(now)
}
