package control

import (
	"slices"
	"time"
)

// Mode is the condition under which a host may start work.
type Mode string

// The values of Mode.
const (
	ModeNone      Mode = "none"
	ModeConnected Mode = "connected" // this host or a peer accessed the store within PermitTTL
	ModeOutage    Mode = "outage"    // every zone was attested within AttestTTL
	ModeIsolated  Mode = "isolated"  // only this host's zone was attested, last contact within ServeFor
)

const (
	reasonNoRecord  = "no control record"
	reasonNotMember = "not in the roster"
	reasonDraining  = "shutting down"
	reasonEvicted   = "evicted from the roster"
	reasonNoContact = "no recent contact with the store or with enough entry hosts"
)

// Permission reports whether the host may start work at a given time.
type Permission struct {
	OK     bool
	Mode   Mode
	Reason string // why work may not be started, empty if OK
	// Revision and BundleVersion are the ones under which work is started.
	Revision      uint64
	BundleVersion uint64
}

// Permit is immutable and holds the times until which the host may start work in each mode.
type Permit struct {
	revision  uint64
	version   uint64
	connected time.Time
	outage    time.Time
	isolated  time.Time
	reason    string // if not empty, work may not be started in any mode
}

// At evaluates the permit at the time now.
func (p *Permit) At(now time.Time) Permission {
	permission := Permission{Mode: ModeNone, Revision: p.revision, BundleVersion: p.version}
	switch {
	case p.reason != "":
		permission.Reason = p.reason
	case now.Before(p.connected):
		permission.OK, permission.Mode = true, ModeConnected
	case now.Before(p.outage):
		permission.OK, permission.Mode = true, ModeOutage
	case now.Before(p.isolated):
		permission.OK, permission.Mode = true, ModeIsolated
	default:
		permission.Reason = reasonNoContact
	}
	return permission
}

// Permission returns the permission at now, a monotonic time that the caller must read before the call. It is safe
// for concurrent use and does not wait for the control goroutine.
func (c *Core) Permission(now time.Time) Permission { return c.permit.Load().At(now) }

// updatePermit updates the attestation of this host's zone and publishes the permit.
func (c *Core) updatePermit(now time.Time) {
	if c.record == nil {
		return
	}
	next := Permit{revision: c.record.Revision, version: c.record.BundleVersion, reason: c.denialReason()}
	if next.reason == "" {
		c.attestOwnZone(now)
		oldest := c.oldestZoneAttestation()
		c.lastContact = latest(c.lastContact, latest(c.freshAt, oldest))
		next.connected = expiry(c.freshAt, PermitTTL)
		next.outage = expiry(oldest, AttestTTL)
		next.isolated = earliest(expiry(c.zoneAttestedAt[c.roster.ownZone], AttestTTL), expiry(c.lastContact, c.bundleInfo.ServeFor))
	}
	if *c.permit.Load() != next {
		c.permit.Store(&next)
	}
}

// denialReason returns why the host may not start work in any mode, or the empty string. A host that is not in the
// roster of its revision has no permission even when it reaches the store, because settling does not wait for it.
func (c *Core) denialReason() string {
	switch {
	case c.evicted:
		return reasonEvicted
	case c.draining:
		return reasonDraining
	case c.roster.ownZone < 0:
		return reasonNotMember
	}
	return ""
}

// attestOwnZone sets the attestation of this host's zone to the latest time at or after which a majority of its
// members held the current revision.
func (c *Core) attestOwnZone(now time.Time) {
	members := c.roster.members[c.roster.ownZone]
	var buffer [MaxZoneMembers]time.Time
	heldTimes := buffer[:0]
	for _, m := range members {
		if m.ID == c.opts.Self.ID {
			heldTimes = append(heldTimes, now)
		} else {
			heldTimes = append(heldTimes, c.peers[m.ID].attestedAt)
		}
	}
	slices.SortFunc(heldTimes, func(a, b time.Time) int { return b.Compare(a) })
	c.raiseZoneAttestation(c.roster.ownZone, heldTimes[majority(len(heldTimes))-1])
}

func (c *Core) raiseZoneAttestation(zone int, at time.Time) {
	if at.IsZero() || !at.After(c.zoneAttestedAt[zone]) {
		return
	}
	if c.zoneAttestedAt[zone].IsZero() {
		c.sendNow = true
	}
	c.zoneAttestedAt[zone] = at
}

func (c *Core) oldestZoneAttestation() time.Time {
	oldest := c.zoneAttestedAt[0]
	for _, at := range c.zoneAttestedAt[1:] {
		oldest = earliest(oldest, at)
	}
	return oldest
}

// expiry returns at + d, or the zero time if at is zero.
func expiry(at time.Time, d time.Duration) time.Time {
	if at.IsZero() {
		return at
	}
	return at.Add(d)
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
