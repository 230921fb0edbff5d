package control

import "time"

const (
	// heardWindow is the time within which a host reports another one as heard.
	heardWindow = 600 * time.Millisecond
	// wantTimeout is the time after which an unanswered request for a record is repeated.
	wantTimeout = 300 * time.Millisecond
	// urgentRounds limits the heartbeats sent outside the regular interval after an adoption.
	urgentRounds = 16
	sentKept     = 64
	maxPeers     = 1024
)

// peerState is what a host knows of another member.
type peerState struct {
	member  Member
	seq     uint64 // of the last heartbeat sent
	sent    [sentKept]time.Time
	echo    uint64 // last sequence number received
	heardAt time.Time
	// reportedAt is the last time at which the peer was heard or reported as heard by another host.
	reportedAt time.Time
	// excusedAt is the last time at which its silence had another explanation.
	excusedAt time.Time
	// heldAt: the peer held the own revision at some moment at or after it.
	heldAt   time.Time
	relayAt  time.Time // last heartbeat as relay
	nextSend time.Time
	pushAt   time.Time
}

// isHeard reports whether somebody has heard the peer lately.
func (p *peerState) isHeard(now time.Time) bool {
	return p != nil && !p.reportedAt.IsZero() && now.Sub(p.reportedAt) < objectAfter
}

// silence returns for how long nobody has heard the peer although somebody should have.
func (p *peerState) silence(now time.Time) time.Duration {
	return now.Sub(latest(p.reportedAt, p.excusedAt))
}

// sentAt returns when the heartbeat with the given sequence number was sent, or never.
func (p *peerState) sentAt(seq uint64) time.Time {
	if seq == 0 || seq > p.seq || p.seq-seq >= sentKept {
		return time.Time{}
	}
	return p.sent[seq%sentKept]
}

// resetPeers keeps the state of members and forgets everyone else.
func (c *Core) resetPeers(now time.Time) {
	next := make(map[string]*peerState, len(c.rec.Roster))
	for _, m := range c.rec.Roster {
		if m.ID == c.opts.Self.ID {
			continue
		}
		p := c.peers[m.ID]
		if p == nil {
			p = &peerState{excusedAt: now}
		}
		p.member, p.heldAt = m, time.Time{}
		next[m.ID] = p
	}
	c.peers = next
	for id := range c.confirmed {
		if next[id] == nil && !containsMember(c.rec.Departed, id) {
			delete(c.confirmed, id)
		}
	}
	for id := range c.suspicion {
		if next[id] == nil {
			delete(c.suspicion, id)
		}
	}
}

// forgiveSilence restarts all timers of silence. While the own process was paused nobody could be heard.
func (c *Core) forgiveSilence(now time.Time) {
	for _, p := range c.peers {
		p.excusedAt = now
	}
	for _, s := range c.suspicion {
		s.since = time.Time{}
	}
}

func (c *Core) handleHeartbeat(now time.Time, from Member, hb Heartbeat) {
	own := c.heldRevision()
	if hb.Revision > own {
		c.noteHigher(now, from)
	}
	p := c.peers[from.ID]
	if hb.Flags&FlagWant != 0 && hb.Revision < own {
		c.push(now, from, p)
	}
	if p == nil {
		if hb.Flags&FlagWant == 0 && hb.Revision < own {
			// An evicted host that does not reach the store learns here that there is a higher revision.
			c.emit(SendHeartbeat{To: from, Heartbeat: Heartbeat{Revision: own}})
		}
		return
	}
	if hb.Seq > p.echo {
		p.echo = hb.Seq
		p.heardAt, p.reportedAt = now, now
		if hb.Flags&FlagRelay != 0 {
			p.relayAt = now
		} else {
			p.relayAt = time.Time{}
		}
	}
	if hb.Revision == own {
		c.useHeartbeat(now, p, &hb)
	}
}

func (c *Core) heldRevision() uint64 {
	if c.rec == nil {
		return 0
	}
	return c.rec.Revision
}

// push sends the record to a host that asked for it.
func (c *Core) push(now time.Time, to Member, p *peerState) {
	if p != nil {
		if !p.pushAt.IsZero() && now.Sub(p.pushAt) < wantTimeout/2 {
			return
		}
		p.pushAt = now
	}
	c.emit(PushRecord{To: to, Record: c.rec, Bundle: c.bundle})
}

// useHeartbeat takes over what a peer with the same revision knows. The peer composed the heartbeat after the
// time sent at which the echoed one was sent, so an age counted from then is on the safe side.
func (c *Core) useHeartbeat(now time.Time, p *peerState, hb *Heartbeat) {
	zone := c.layout.zoneOf[p.member.ID]
	c.useMasks(now, zone, hb)
	c.useBlocked(now, zone, hb)
	sent := p.sentAt(hb.Echo)
	if sent.IsZero() {
		return
	}
	if hb.Fresh > 0 {
		c.freshAt = latest(c.freshAt, sent.Add(-hb.Fresh.duration()))
	}
	if hb.Flags&FlagLeaving == 0 {
		p.heldAt = latest(p.heldAt, sent)
	}
	if len(hb.ZoneAges) != len(c.zoneSeen) {
		return
	}
	for z, age := range hb.ZoneAges {
		if z != c.layout.own && age > 0 {
			c.raiseZoneSeen(z, sent.Add(-age.duration()))
		}
	}
}

func (c *Core) useMasks(now time.Time, zone int, hb *Heartbeat) {
	for i, m := range c.layout.members[zone] {
		if hb.Heard.has(i) && c.peers[m.ID] != nil {
			c.peers[m.ID].reportedAt = now
		}
		if hb.Held.has(i) {
			c.confirm(m.ID, hb.Revision, hb.Drained.has(i))
		}
	}
}

// noteHigher asks a peer that announced a higher revision for it. A relay asks the first one at once: waiting for the
// next tick costs more than the round trips between zones. Other hosts wait for their relay, so that the record
// normally crosses zones only once.
func (c *Core) noteHigher(now time.Time, from Member) {
	if from.Zone == c.opts.Self.Zone || c.rec == nil || c.relay {
		c.want(now, from)
		return
	}
	if len(c.wantFrom) < maxPeers {
		c.wantFrom = append(c.wantFrom, from)
	}
}

func (c *Core) want(now time.Time, from Member) {
	if !c.wantAt.IsZero() && now.Sub(c.wantAt) < wantTimeout {
		return
	}
	c.wantAt = now
	if p := c.peers[from.ID]; p != nil {
		c.sendHeartbeat(now, p, FlagWant)
		return
	}
	c.emit(SendHeartbeat{To: from, Heartbeat: Heartbeat{Revision: c.heldRevision(), Flags: FlagWant}})
}

// askForRecord repeats requests for a higher revision, and asks the seeds as long as no record is held.
func (c *Core) askForRecord(now time.Time) {
	if n := len(c.wantFrom); n > 0 {
		c.want(now, c.wantFrom[int(c.heldRevision()%uint64(n))])
		c.wantFrom = c.wantFrom[:0]
	}
	if c.rec != nil || now.Sub(c.seedAt) < HeartbeatInterval {
		return
	}
	c.seedAt = now
	for _, address := range c.opts.Seeds {
		c.emit(SendHeartbeat{To: Member{Address: address}, Heartbeat: Heartbeat{Flags: FlagWant}})
	}
}

// chooseRelay finds the first member of the own zone that was heard recently.
func (c *Core) chooseRelay(now time.Time) {
	was := c.relay
	c.relay = false
	if c.rec == nil || c.layout.own < 0 || c.leaving || c.evicted {
		return
	}
	for _, m := range c.layout.members[c.layout.own] {
		if m.ID == c.opts.Self.ID {
			c.relay = true
			break
		}
		if heard := c.peers[m.ID].heardAt; !heard.IsZero() && now.Sub(heard) < RelayTimeout {
			break
		}
	}
	if c.relay && !was {
		c.becomeRelay(now)
	}
}

// becomeRelay starts to listen to the other zones.
func (c *Core) becomeRelay(now time.Time) {
	c.urgent = true
	for _, p := range c.peers {
		if p.member.Zone != c.opts.Self.Zone {
			p.excusedAt = now
		}
	}
}
