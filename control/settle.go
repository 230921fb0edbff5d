package control

import (
	"slices"
	"sort"
	"time"
)

// blockedZoneWait is how long hosts of a blocked zone (see isBlocked) may still start work: first their attestation has
// to expire, then their reservations.
func blockedZoneWait() time.Duration { return WithClockDrift(AttestTTL + ReservationTTL) }

// confirmation holds the highest revision that a member is known to hold, and the highest revision for which it has
// no pending start under a lower one.
type confirmation struct{ held, drained uint64 }

func (c *Core) confirm(id string, revision uint64, drained bool) {
	known := c.confirmations[id]
	next := known
	next.held = max(next.held, revision)
	if drained {
		next.drained = max(next.drained, revision)
	}
	if next == known {
		return
	}
	c.confirmations[id] = next
	if c.relay && c.roster.zoneOf[id] == c.roster.ownZone {
		c.sendNow = true
	}
}

func (c *Core) confirmation(id string, revision uint64) (held, drained bool) {
	if id == c.opts.Self.ID {
		return c.heldRevision() >= revision, c.drainedRevision >= revision
	}
	known := c.confirmations[id]
	return known.held >= revision, known.drained >= revision
}

// maxTargets limits the number of revisions that are tracked at the same time. Further changes are tracked once a
// target is settled.
const maxTargets = 16

// settleTarget is a revision that is to be settled, with the record at that revision. Each change that needs
// settling gets its own target when it is adopted. If it had to wait for the previous target first, its acceptance
// would take two waits for a frozen host instead of one.
type settleTarget struct {
	record *Record
	zones  []*zoneSettling
	// isolatedSince is the earliest time at which a zone was blocked that had members in every tracked roster. From
	// then on a host with a lower revision can only work in isolated mode: it can neither refresh freshAt nor obtain
	// an attestation of every zone.
	isolatedSince time.Time
	settledAt     time.Time
}

// zoneSettling tracks how far one zone of a target is settled.
type zoneSettling struct {
	zone           string
	members        []Member     // current and departed members
	rosters        []PastRoster // the past rosters, then the target's roster with Until 0
	hasEmptyRoster bool         // at least one of the rosters is empty
	outdated       []string     // members that may still hold a lower revision
	undrained      []string     // members that may have a pending start from a lower revision
	blockedAt      time.Time
}

// needsSettling reports whether the record contains anything that is removed or completed when its revision is
// settled.
func (r *Record) needsSettling() bool {
	return r.AcceptedVersion < r.BundleVersion || len(r.Departed) > 0 || len(r.PastRosters) > 0
}

// resetTargets removes the settled targets and adds the current record as a target if the others do not cover it.
func (c *Core) resetTargets() {
	c.targets = slices.DeleteFunc(c.targets, func(t *settleTarget) bool {
		return t.record.Revision <= c.record.SettledRevision
	})
	if !c.record.needsSettling() || len(c.targets) >= maxTargets {
		return
	}
	if len(c.targets) == 0 || !c.lastTarget().covers(c.record) {
		c.targets = append(c.targets, newSettleTarget(c.record))
	}
}

// lastTarget returns the target with the highest revision, or nil.
func (c *Core) lastTarget() *settleTarget {
	if len(c.targets) == 0 {
		return nil
	}
	return c.targets[len(c.targets)-1]
}

// bundleTarget returns the first target with the current bundle version, the last target if there is none, or nil.
func (c *Core) bundleTarget() *settleTarget {
	for _, t := range c.targets {
		if t.record.BundleVersion == c.record.BundleVersion {
			return t
		}
	}
	return c.lastTarget()
}

// covers reports whether settling the target also settles everything in the later record rec that needs it.
func (t *settleTarget) covers(rec *Record) bool {
	if rec.BundleVersion > t.record.BundleVersion {
		return false
	}
	for _, m := range rec.Departed {
		if !containsMember(t.record.Departed, m.ID) {
			return false
		}
	}
	for _, past := range rec.PastRosters {
		if past.Until > t.record.Revision {
			return false
		}
	}
	return true
}

func newSettleTarget(rec *Record) *settleTarget {
	t := &settleTarget{record: rec}
	byZone := make(map[string]*zoneSettling)
	zoneState := func(zone string) *zoneSettling {
		if byZone[zone] == nil {
			byZone[zone] = &zoneSettling{zone: zone}
			t.zones = append(t.zones, byZone[zone])
		}
		return byZone[zone]
	}
	for _, m := range append(slices.Clone(rec.Roster), rec.Departed...) {
		z := zoneState(m.Zone)
		z.members = append(z.members, m)
	}
	for _, past := range rec.PastRosters {
		z := zoneState(past.Zone)
		z.rosters = append(z.rosters, past)
		z.hasEmptyRoster = z.hasEmptyRoster || len(past.Members) == 0
	}
	for _, z := range t.zones {
		var roster []string
		for _, m := range rec.ZoneMembers(z.zone) {
			roster = append(roster, m.ID)
		}
		z.rosters = append(z.rosters, PastRoster{Zone: z.zone, Members: roster})
		z.hasEmptyRoster = z.hasEmptyRoster || len(roster) == 0
	}
	sort.Slice(t.zones, func(i, j int) bool { return t.zones[i].zone < t.zones[j].zone })
	return t
}

// trackSettling updates, for each target, which members are waited for, when zones were blocked and whether it is
// settled.
func (c *Core) trackSettling(now time.Time) {
	for _, t := range c.targets {
		c.trackTarget(now, t)
	}
}

func (c *Core) trackTarget(now time.Time, t *settleTarget) {
	for _, z := range t.zones {
		c.trackZone(now, t.record.Revision, z)
		if !z.blockedAt.IsZero() && !z.hasEmptyRoster && (t.isolatedSince.IsZero() || z.blockedAt.Before(t.isolatedSince)) {
			t.isolatedSince = z.blockedAt
		}
	}
	if t.settledAt.IsZero() && t.isSettled(now) {
		t.settledAt = now
	}
}

func (c *Core) trackZone(now time.Time, revision uint64, z *zoneSettling) {
	z.outdated, z.undrained = z.outdated[:0], z.undrained[:0]
	for _, m := range z.members {
		if !containsMember(c.record.Roster, m.ID) && !containsMember(c.record.Departed, m.ID) {
			continue // the member left or was cleared
		}
		held, drained := c.confirmation(m.ID, revision)
		if !held {
			z.outdated = append(z.outdated, m.ID)
		}
		if !drained {
			z.undrained = append(z.undrained, m.ID)
		}
	}
	if z.blockedAt.IsZero() && c.isBlocked(z) {
		z.blockedAt = now
		c.sendNow = c.sendNow || z.zone == c.opts.Self.Zone
	}
}

// isBlocked reports whether the outdated members form no majority of any roster of the zone under which they may
// still act. A member that is known to hold a revision does not act under a roster that was replaced at or before
// it; without this rule, a dead host that joined first would count as the whole of the zone's first roster.
func (c *Core) isBlocked(z *zoneSettling) bool {
	for _, roster := range z.rosters {
		count := 0
		for _, id := range roster.Members {
			if slices.Contains(z.outdated, id) && (roster.Until == 0 || !c.holds(id, roster.Until)) {
				count++
			}
		}
		if len(roster.Members) > 0 && count >= majority(len(roster.Members)) {
			return false
		}
	}
	return true
}

func (c *Core) holds(id string, revision uint64) bool {
	held, _ := c.confirmation(id, revision)
	return held
}

// waitEnd returns the time from which no member of the zone can start work under a lower revision, or the zero time
// if that is not known yet. allDrained is true if every member is drained and there is nothing to wait for.
func (t *settleTarget) waitEnd(z *zoneSettling) (end time.Time, allDrained bool) {
	if len(z.undrained) == 0 {
		return time.Time{}, true
	}
	blockedEnd := expiry(z.blockedAt, blockedZoneWait())
	isolationEnd := expiry(t.isolatedSince, WithClockDrift(time.Duration(t.record.MaxServeForMS)*time.Millisecond+AttestTTL+ReservationTTL))
	if blockedEnd.IsZero() || !isolationEnd.IsZero() && isolationEnd.Before(blockedEnd) {
		return isolationEnd, false
	}
	return blockedEnd, false
}

func (t *settleTarget) isSettled(now time.Time) bool {
	for _, z := range t.zones {
		at, allDrained := t.waitEnd(z)
		if !allDrained && (at.IsZero() || now.Before(at)) {
			return false
		}
	}
	return true
}

// nextSettled returns the settled target with the highest revision whose write is due on this relay, given its rank,
// or nil.
func (c *Core) nextSettled(now time.Time) *settleTarget {
	for _, t := range slices.Backward(c.targets) {
		if !t.settledAt.IsZero() && now.Sub(t.settledAt) >= time.Duration(c.relayRank(now))*relayRankDelay {
			return t
		}
	}
	return nil
}

// settle records in r that the target is settled. serveFor is the isolation time of the current bundle; once that
// bundle is accepted, longer times of earlier bundles no longer count.
func (t *settleTarget) settle(r *Record, serveFor time.Duration) error {
	if r.SettledRevision >= t.record.Revision {
		return ErrNoChange
	}
	r.SettledRevision = t.record.Revision
	r.AcceptedVersion = max(r.AcceptedVersion, t.record.BundleVersion)
	if r.AcceptedVersion == r.BundleVersion {
		r.MaxServeForMS = serveFor.Milliseconds()
	}
	r.Departed = slices.DeleteFunc(r.Departed, func(m Member) bool { return containsMember(t.record.Departed, m.ID) })
	r.PastRosters = slices.DeleteFunc(r.PastRosters, func(p PastRoster) bool { return p.Until <= t.record.Revision })
	return nil
}

// ownBlocked returns the revision of the last target and how long this host's zone has been blocked for it, or zeros
// if it is not blocked.
func (c *Core) ownBlocked(now time.Time) (uint64, Age) {
	t := c.lastTarget()
	if t == nil {
		return 0, 0
	}
	for _, z := range t.zones {
		if z.zone == c.opts.Self.Zone && !z.blockedAt.IsZero() {
			return t.record.Revision, ageOf(now, z.blockedAt)
		}
	}
	return 0, 0
}

// applyBlocked adopts an earlier blocked time from a member of the zone, so that a change of the relay does not
// restart the wait. The age is shortened by its rounding error and by the maximum clock drift.
func (c *Core) applyBlocked(now time.Time, zone int, hb *Heartbeat) {
	t := c.lastTarget()
	if t == nil || hb.BlockedAge == 0 || hb.BlockedRevision != t.record.Revision {
		return
	}
	age := max(hb.BlockedAge.duration()-time.Millisecond, 0) * 100 / (100 + clockDriftPercent)
	at := now.Add(-age)
	for _, z := range t.zones {
		if z.zone == c.roster.zones[zone] && (z.blockedAt.IsZero() || at.Before(z.blockedAt)) {
			z.blockedAt = at
		}
	}
}

// ZoneProgress reports which members of one zone are waited for.
type ZoneProgress struct {
	Zone      string
	Confirmed []string // members that hold the revision and have no pending start from a lower one
	Waiting   []string // all other members, including evicted ones that may still start work
	// Until is the latest time at which the wait for this zone ends, or the zero time if it is not known or there is
	// nothing to wait for.
	Until time.Time
}

// Progress reports how close the current bundle version is to acceptance, as far as this host knows. Relays have the
// most complete information.
type Progress struct {
	Revision        uint64
	BundleVersion   uint64
	AcceptedVersion uint64
	// TargetRevision is the revision that is being settled, or 0 if there is none.
	TargetRevision uint64
	Zones          []ZoneProgress
	Until          time.Time
}

// Progress reports on the rollout in progress. It must be called from the goroutine that calls Step.
func (c *Core) Progress(now time.Time) Progress {
	if c.record == nil {
		return Progress{}
	}
	p := Progress{Revision: c.record.Revision, BundleVersion: c.record.BundleVersion, AcceptedVersion: c.record.AcceptedVersion}
	target := c.bundleTarget()
	if target == nil {
		return p
	}
	c.trackSettling(now)
	p.TargetRevision = target.record.Revision
	unknown := false
	for _, z := range target.zones {
		zone := ZoneProgress{Zone: z.zone, Waiting: slices.Clone(z.undrained)}
		for _, m := range z.members {
			if !slices.Contains(z.undrained, m.ID) {
				zone.Confirmed = append(zone.Confirmed, m.ID)
			}
		}
		at, allDrained := target.waitEnd(z)
		unknown = unknown || !allDrained && at.IsZero()
		zone.Until = at
		p.Until = latest(p.Until, at)
		p.Zones = append(p.Zones, zone)
	}
	if unknown {
		p.Until = time.Time{}
	}
	return p
}
