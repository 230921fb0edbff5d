package control

import "time"

const (
	// heardReportWindow is how long after a heartbeat from a member this host reports the member as heard.
	heardReportWindow = 600 * time.Millisecond
	// recordRequestTimeout is the time after which an unanswered request for a record is repeated.
	recordRequestTimeout = 300 * time.Millisecond
	// maxImmediateSends limits how often heartbeats are sent outside the regular interval after a record is adopted.
	maxImmediateSends = 16
	// sentTimesKept is the number of recent heartbeats to a peer whose send times are kept.
	sentTimesKept    = 64
	maxRecordSources = 1024
)

// peerState is the state that a host tracks for another member.
type peerState struct {
	member      Member
	sentSeq     uint64 // sequence number of the last heartbeat sent
	sentTimes   [sentTimesKept]time.Time
	receivedSeq uint64 // last sequence number received
	heardAt     time.Time
	// reportedAt is the last time at which this host received a heartbeat from the peer or another host reported
	// one.
	reportedAt time.Time
	// silenceResetAt is the last time at which the peer's silence had a cause other than a failure of the peer.
	// Silence is counted from the later of reportedAt and silenceResetAt.
	silenceResetAt time.Time
	// attestedAt is a time at or after which the peer is known to have held this host's revision.
	attestedAt   time.Time
	relayHeardAt time.Time // time of the last heartbeat with FlagRelay
	nextSendAt   time.Time
	pushedAt     time.Time
}

// isHeard reports whether any host has recently received a heartbeat from the peer.
func (p *peerState) isHeard(now time.Time) bool {
	return p != nil && !p.reportedAt.IsZero() && now.Sub(p.reportedAt) < recentlyHeardWindow
}

// silence returns how long no host has reported a heartbeat from the peer. It does not count the time up to
// silenceResetAt, in which no heartbeat could be expected.
func (p *peerState) silence(now time.Time) time.Duration {
	return now.Sub(latest(p.reportedAt, p.silenceResetAt))
}

// sentAt returns when the heartbeat with the given sequence number was sent, or the zero time if that is not known.
func (p *peerState) sentAt(seq uint64) time.Time {
	if seq == 0 || seq > p.sentSeq || p.sentSeq-seq >= sentTimesKept {
		return time.Time{}
	}
	return p.sentTimes[seq%sentTimesKept]
}

// resetPeers keeps the state of the current members and discards that of all other hosts.
func (c *Core) resetPeers(now time.Time) {
	next := make(map[string]*peerState, len(c.record.Roster))
	for _, m := range c.record.Roster {
		if m.ID == c.opts.Self.ID {
			continue
		}
		p := c.peers[m.ID]
		if p == nil {
			p = &peerState{silenceResetAt: now}
		}
		p.member, p.attestedAt = m, time.Time{}
		next[m.ID] = p
	}
	c.peers = next
	for id := range c.confirmations {
		if next[id] == nil && !containsMember(c.record.Departed, id) {
			delete(c.confirmations, id)
		}
	}
	for id := range c.suspicions {
		if next[id] == nil {
			delete(c.suspicions, id)
		}
	}
}

// resetSilenceTimers restarts all silence timers. It is called after a pause of this process, during which no
// heartbeat could be received.
func (c *Core) resetSilenceTimers(now time.Time) {
	for _, p := range c.peers {
		p.silenceResetAt = now
	}
	for _, s := range c.suspicions {
		s.listedSince = time.Time{}
	}
}

func (c *Core) handleHeartbeat(now time.Time, from Member, hb Heartbeat) {
	held := c.heldRevision()
	if hb.Revision > held {
		c.handleHigherRevision(now, from)
	}
	p := c.peers[from.ID]
	if hb.Flags&FlagRequestRecord != 0 && hb.Revision < held {
		c.pushRecord(now, from, p)
	}
	if p == nil {
		if hb.Flags&FlagRequestRecord == 0 && hb.Revision < held {
			// An evicted host that cannot reach the store learns from this heartbeat that a higher revision exists.
			c.emit(SendHeartbeat{To: from, Heartbeat: Heartbeat{Revision: held}})
		}
		return
	}
	if hb.Seq > p.receivedSeq {
		p.receivedSeq = hb.Seq
		p.heardAt, p.reportedAt = now, now
		if hb.Flags&FlagRelay != 0 {
			p.relayHeardAt = now
		} else {
			p.relayHeardAt = time.Time{}
		}
	}
	if hb.Revision == held {
		c.applyHeartbeat(now, p, &hb)
	}
}

func (c *Core) heldRevision() uint64 {
	if c.record == nil {
		return 0
	}
	return c.record.Revision
}

// pushRecord sends the current record to a host that requested it.
func (c *Core) pushRecord(now time.Time, to Member, p *peerState) {
	if p != nil {
		if !p.pushedAt.IsZero() && now.Sub(p.pushedAt) < recordRequestTimeout/2 {
			return
		}
		p.pushedAt = now
	}
	c.emit(PushRecord{To: to, Record: c.record, Bundle: c.bundle})
}

// applyHeartbeat merges the state reported by a peer that holds the same revision. The peer composed the heartbeat
// after this host sent the echoed one, so subtracting a reported age from that send time never overstates freshness.
func (c *Core) applyHeartbeat(now time.Time, p *peerState, hb *Heartbeat) {
	zone := c.roster.zoneOf[p.member.ID]
	c.applyMasks(now, zone, hb)
	c.applyBlocked(now, zone, hb)
	sent := p.sentAt(hb.Echo)
	if sent.IsZero() {
		return
	}
	if hb.FreshAge > 0 {
		c.freshAt = latest(c.freshAt, sent.Add(-hb.FreshAge.duration()))
	}
	if hb.Flags&FlagLeaving == 0 {
		p.attestedAt = latest(p.attestedAt, sent)
	}
	if len(hb.ZoneAges) != len(c.zoneAttestedAt) {
		return
	}
	for z, age := range hb.ZoneAges {
		if z != c.roster.ownZone && age > 0 {
			c.raiseZoneAttestation(z, sent.Add(-age.duration()))
		}
	}
}

func (c *Core) applyMasks(now time.Time, zone int, hb *Heartbeat) {
	for i, m := range c.roster.members[zone] {
		if hb.Heard.has(i) && c.peers[m.ID] != nil {
			c.peers[m.ID].reportedAt = now
		}
		if hb.Held.has(i) {
			c.confirm(m.ID, hb.Revision, hb.Drained.has(i))
		}
	}
}

// handleHigherRevision requests a higher revision from the peer that announced it. A relay sends the request
// immediately, because waiting for the next tick takes longer than the round trips between zones. Other hosts wait
// for their relay, so that the record normally crosses between zones only once.
func (c *Core) handleHigherRevision(now time.Time, from Member) {
	if from.Zone == c.opts.Self.Zone || c.record == nil || c.relay {
		c.requestRecordFrom(now, from)
		return
	}
	if len(c.recordSources) < maxRecordSources {
		c.recordSources = append(c.recordSources, from)
	}
}

func (c *Core) requestRecordFrom(now time.Time, from Member) {
	if !c.recordRequestedAt.IsZero() && now.Sub(c.recordRequestedAt) < recordRequestTimeout {
		return
	}
	c.recordRequestedAt = now
	if p := c.peers[from.ID]; p != nil {
		c.sendHeartbeat(now, p, FlagRequestRecord)
		return
	}
	c.emit(SendHeartbeat{To: from, Heartbeat: Heartbeat{Revision: c.heldRevision(), Flags: FlagRequestRecord}})
}

// requestRecord repeats requests for a higher revision, and requests the record from the seed addresses while none is
// held.
func (c *Core) requestRecord(now time.Time) {
	if n := len(c.recordSources); n > 0 {
		c.requestRecordFrom(now, c.recordSources[int(c.heldRevision()%uint64(n))])
		c.recordSources = c.recordSources[:0]
	}
	if c.record != nil || now.Sub(c.seedsRequestedAt) < HeartbeatInterval {
		return
	}
	c.seedsRequestedAt = now
	for _, address := range c.opts.SeedAddresses {
		c.emit(SendHeartbeat{To: Member{Address: address}, Heartbeat: Heartbeat{Flags: FlagRequestRecord}})
	}
}

// updateRelay determines whether this host is the relay of its zone: the first member in roster order that is this
// host or from which a heartbeat was received within RelayTimeout.
func (c *Core) updateRelay(now time.Time) {
	wasRelay := c.relay
	c.relay = false
	if c.record == nil || c.roster.ownZone < 0 || c.leaving || c.evicted {
		return
	}
	for _, m := range c.roster.members[c.roster.ownZone] {
		if m.ID == c.opts.Self.ID {
			c.relay = true
			break
		}
		if heard := c.peers[m.ID].heardAt; !heard.IsZero() && now.Sub(heard) < RelayTimeout {
			break
		}
	}
	if c.relay && !wasRelay {
		c.startRelaying(now)
	}
}

// startRelaying sends heartbeats immediately, and resets the silence timers of members in other zones, from which
// this host did not receive heartbeats before it became the relay.
func (c *Core) startRelaying(now time.Time) {
	c.sendNow = true
	for _, p := range c.peers {
		if p.member.Zone != c.opts.Self.Zone {
			p.silenceResetAt = now
		}
	}
}
