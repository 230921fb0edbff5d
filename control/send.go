package control

import "time"

// sendHeartbeats sends what is due: to the own zone, between relays, and in answer to relays of other zones. News
// are sent at once, and to every member if this host wrote the revision.
func (c *Core) sendHeartbeats(now time.Time) {
	if c.rec == nil || c.left || c.evicted {
		return
	}
	urgent := c.urgent && c.urgentLeft > 0
	if urgent {
		c.urgentLeft--
	}
	c.urgent = false
	announce := c.writer.announce
	c.writer.announce = false
	silent := c.silentZones(now)
	for _, id := range c.layout.peerIDs {
		p := c.peers[id]
		linked := c.isLinked(now, p, silent)
		if announce || linked && (urgent || !now.Before(p.nextSend)) {
			c.sendHeartbeat(now, p, 0)
		}
	}
}

// isLinked reports whether heartbeats are exchanged with p.
func (c *Core) isLinked(now time.Time, p *peerState, silent []bool) bool {
	if p.member.Zone == c.opts.Self.Zone {
		return true
	}
	if !p.relayAt.IsZero() && now.Sub(p.relayAt) < RelayTimeout {
		return true
	}
	return c.relay && silent[c.layout.zoneOf[p.member.ID]]
}

// silentZones marks the zones of which no relay was heard recently. All their members are sent heartbeats.
func (c *Core) silentZones(now time.Time) []bool {
	silent := make([]bool, len(c.layout.zones))
	for z, members := range c.layout.members {
		silent[z] = true
		for _, m := range members {
			p := c.peers[m.ID]
			if p != nil && !p.relayAt.IsZero() && now.Sub(p.relayAt) < RelayTimeout {
				silent[z] = false
			}
		}
	}
	return silent
}

func (c *Core) sendHeartbeat(now time.Time, p *peerState, flags Flags) {
	p.seq++
	p.sent[p.seq%sentKept] = now
	p.nextSend = now.Add(HeartbeatInterval)
	hb := Heartbeat{Seq: p.seq, Echo: p.echo, Revision: c.rec.Revision, Fresh: ageOf(now, c.freshAt), Flags: flags}
	if c.relay {
		hb.Flags |= FlagRelay
	}
	if c.leaving {
		hb.Flags |= FlagLeaving
	}
	hb.ZoneAges = make([]Age, len(c.zoneSeen))
	for z, at := range c.zoneSeen {
		hb.ZoneAges[z] = ageOf(now, at)
	}
	c.fillMasks(now, &hb)
	c.emit(SendHeartbeat{To: p.member, Heartbeat: hb})
}

func (c *Core) fillMasks(now time.Time, hb *Heartbeat) {
	if c.layout.own < 0 {
		return
	}
	for i, m := range c.layout.members[c.layout.own] {
		bit := Mask(1) << i
		held, drained := c.confirmation(m.ID, hb.Revision)
		if held {
			hb.Held |= bit
		}
		if drained {
			hb.Drained |= bit
		}
		if p := c.peers[m.ID]; p == nil || !p.heardAt.IsZero() && now.Sub(p.heardAt) < heardWindow {
			hb.Heard |= bit
		}
	}
	hb.BlockedAt, hb.Blocked = c.ownBlocked(now)
}
