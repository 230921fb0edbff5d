package control

import (
	"slices"
	"time"
)

// Mode says on what grounds a host may start work.
type Mode string

// The values of Mode.
const (
	ModeNone      Mode = "none"
	ModeConnected Mode = "connected"
	ModeOutage    Mode = "outage"
	ModeIsolated  Mode = "isolated"
)

const (
	reasonNoRecord  = "no control record"
	reasonNotMember = "not in the roster"
	reasonDraining  = "shutting down"
	reasonEvicted   = "evicted from the roster"
	reasonLapsed    = "no recent contact with the store or with enough entry hosts"
)

// Permission is the answer to whether the host may start work at some moment.
type Permission struct {
	OK     bool
	Mode   Mode
	Reason string // why not
	// Revision and BundleVersion are those under which work is started.
	Revision      uint64
	BundleVersion uint64
}

// Permit is an immutable statement of the times until which the host may start work in each mode.
type Permit struct {
	revision  uint64
	version   uint64
	connected time.Time
	outage    time.Time
	isolated  time.Time
	reason    string // not empty: none in any mode
}

// At returns the permission at now.
func (p *Permit) At(now time.Time) Permission {
	answer := Permission{Mode: ModeNone, Revision: p.revision, BundleVersion: p.version}
	switch {
	case p.reason != "":
		answer.Reason = p.reason
	case now.Before(p.connected):
		answer.OK, answer.Mode = true, ModeConnected
	case now.Before(p.outage):
		answer.OK, answer.Mode = true, ModeOutage
	case now.Before(p.isolated):
		answer.OK, answer.Mode = true, ModeIsolated
	default:
		answer.Reason = reasonLapsed
	}
	return answer
}

// Permission returns the permission at now, a monotonic time that must be read before the call. It is safe for
// use by any goroutine and does not wait for the control goroutine.
func (c *Core) Permission(now time.Time) Permission { return c.permit.Load().At(now) }

// recompute derives the attestations and publishes the permit.
func (c *Core) recompute(now time.Time) {
	if c.rec == nil {
		return
	}
	next := Permit{revision: c.rec.Revision, version: c.rec.BundleVersion, reason: c.denial()}
	if next.reason == "" {
		c.attestOwnZone(now)
		oldest := c.oldestZone()
		c.attachedAt = latest(c.attachedAt, latest(c.freshAt, oldest))
		next.connected = expiry(c.freshAt, PermitTTL)
		next.outage = expiry(oldest, AttestTTL)
		next.isolated = earliest(expiry(c.zoneSeen[c.layout.own], AttestTTL), expiry(c.attachedAt, c.info.ServeFor))
	}
	if *c.permit.Load() != next {
		c.permit.Store(&next)
	}
}

// denial returns why the host may not start work in any mode, or nothing. A host outside the roster of its
// revision has no permission even when connected: settling does not wait for it.
func (c *Core) denial() string {
	switch {
	case c.evicted:
		return reasonEvicted
	case c.draining:
		return reasonDraining
	case c.layout.own < 0:
		return reasonNotMember
	}
	return ""
}

// attestOwnZone sets the own zone's attestation to the latest time at or after which a majority of the zone held
// the revision.
func (c *Core) attestOwnZone(now time.Time) {
	members := c.layout.members[c.layout.own]
	var buffer [MaxZoneMembers]time.Time
	held := buffer[:0]
	for _, m := range members {
		if m.ID == c.opts.Self.ID {
			held = append(held, now)
		} else {
			held = append(held, c.peers[m.ID].heldAt)
		}
	}
	slices.SortFunc(held, func(a, b time.Time) int { return b.Compare(a) })
	c.raiseZoneSeen(c.layout.own, held[majority(len(held))-1])
}

func (c *Core) raiseZoneSeen(zone int, at time.Time) {
	if at.IsZero() || !at.After(c.zoneSeen[zone]) {
		return
	}
	if c.zoneSeen[zone].IsZero() {
		c.urgent = true
	}
	c.zoneSeen[zone] = at
}

func (c *Core) oldestZone() time.Time {
	oldest := c.zoneSeen[0]
	for _, at := range c.zoneSeen[1:] {
		oldest = earliest(oldest, at)
	}
	return oldest
}

// expiry returns at + d, or never if at is never.
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
