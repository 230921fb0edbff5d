package control

import (
	"slices"
	"sort"
	"time"
)

// settleWait is how long hosts of a blocked zone may still start work: their attestation and then their
// reservations have to lapse.
func settleWait() time.Duration { return Stretch(AttestTTL + ReservationTTL) }

// confirmation is the highest revision that a member is known to hold, and the highest one before which it has
// no start left.
type confirmation struct{ held, drained uint64 }

func (c *Core) confirm(id string, revision uint64, drained bool) {
	known := c.confirmed[id]
	next := known
	next.held = max(next.held, revision)
	if drained {
		next.drained = max(next.drained, revision)
	}
	if next == known {
		return
	}
	c.confirmed[id] = next
	if c.relay && c.layout.zoneOf[id] == c.layout.own {
		c.urgent = true
	}
}

func (c *Core) confirmation(id string, revision uint64) (held, drained bool) {
	if id == c.opts.Self.ID {
		return c.heldRevision() >= revision, c.drainedTo >= revision
	}
	known := c.confirmed[id]
	return known.held >= revision, known.drained >= revision
}

// maxTargets bounds the revisions that are tracked at the same time. Further changes wait for one of them.
const maxTargets = 16

// settleTarget is a revision that is to be settled, with the record at that revision. Each change that needs
// settling has a target of its own from its adoption on: one that had to wait for the target before it would be
// accepted after two waits for a paused host instead of one.
type settleTarget struct {
	rec   *Record
	zones []*zoneSettling
	// anchoredAt is when the first zone was blocked that had members in every roster. From then on no host under
	// a lower revision is attached: it can neither refresh freshAt nor hear of every zone.
	anchoredAt time.Time
	settledAt  time.Time
}

// zoneSettling is the state of one zone of a target.
type zoneSettling struct {
	zone      string
	members   []Member     // roster and departed
	rosters   []PastRoster // the roster, with Until 0, and the past ones
	hasEmpty  bool         // one of the rosters is empty
	waiting   []string     // members that may hold a lower revision
	undrained []string     // members that may have a start left from a lower revision
	blockedAt time.Time
}

// needsSettling reports whether something in the record ends with the next settled revision.
func (r *Record) needsSettling() bool {
	return r.AcceptedVersion < r.BundleVersion || len(r.Departed) > 0 || len(r.PastRosters) > 0
}

// resetTargets drops the targets that are settled and adds the record in force if it needs more than they cover.
func (c *Core) resetTargets() {
	c.targets = slices.DeleteFunc(c.targets, func(t *settleTarget) bool {
		return t.rec.Revision <= c.rec.SettledRevision
	})
	if !c.rec.needsSettling() || len(c.targets) >= maxTargets {
		return
	}
	if len(c.targets) == 0 || !c.lastTarget().covers(c.rec) {
		c.targets = append(c.targets, newSettleTarget(c.rec))
	}
}

// lastTarget returns the target with the highest revision, or nil.
func (c *Core) lastTarget() *settleTarget {
	if len(c.targets) == 0 {
		return nil
	}
	return c.targets[len(c.targets)-1]
}

// bundleTarget returns the first target with the bundle version in force, or the last one, or nil.
func (c *Core) bundleTarget() *settleTarget {
	for _, t := range c.targets {
		if t.rec.BundleVersion == c.rec.BundleVersion {
			return t
		}
	}
	return c.lastTarget()
}

// covers reports whether everything in a later record that needs settling is settled with the target.
func (t *settleTarget) covers(rec *Record) bool {
	if rec.BundleVersion > t.rec.BundleVersion {
		return false
	}
	for _, m := range rec.Departed {
		if !containsMember(t.rec.Departed, m.ID) {
			return false
		}
	}
	for _, past := range rec.PastRosters {
		if past.Until > t.rec.Revision {
			return false
		}
	}
	return true
}

func newSettleTarget(rec *Record) *settleTarget {
	t := &settleTarget{rec: rec}
	index := make(map[string]*zoneSettling)
	at := func(zone string) *zoneSettling {
		if index[zone] == nil {
			index[zone] = &zoneSettling{zone: zone}
			t.zones = append(t.zones, index[zone])
		}
		return index[zone]
	}
	for _, m := range append(slices.Clone(rec.Roster), rec.Departed...) {
		z := at(m.Zone)
		z.members = append(z.members, m)
	}
	for _, past := range rec.PastRosters {
		z := at(past.Zone)
		z.rosters = append(z.rosters, past)
		z.hasEmpty = z.hasEmpty || len(past.Members) == 0
	}
	for _, z := range t.zones {
		var roster []string
		for _, m := range rec.ZoneMembers(z.zone) {
			roster = append(roster, m.ID)
		}
		z.rosters = append(z.rosters, PastRoster{Zone: z.zone, Members: roster})
		z.hasEmpty = z.hasEmpty || len(roster) == 0
	}
	sort.Slice(t.zones, func(i, j int) bool { return t.zones[i].zone < t.zones[j].zone })
	return t
}

// trackSettling updates who is waited for and since when zones are blocked.
func (c *Core) trackSettling(now time.Time) {
	for _, t := range c.targets {
		c.trackTarget(now, t)
	}
}

func (c *Core) trackTarget(now time.Time, t *settleTarget) {
	for _, z := range t.zones {
		c.trackZone(now, t.rec.Revision, z)
		if !z.blockedAt.IsZero() && !z.hasEmpty && (t.anchoredAt.IsZero() || z.blockedAt.Before(t.anchoredAt)) {
			t.anchoredAt = z.blockedAt
		}
	}
	if t.settledAt.IsZero() && t.isSettled(now) {
		t.settledAt = now
	}
}

func (c *Core) trackZone(now time.Time, revision uint64, z *zoneSettling) {
	z.waiting, z.undrained = z.waiting[:0], z.undrained[:0]
	for _, m := range z.members {
		if !containsMember(c.rec.Roster, m.ID) && !containsMember(c.rec.Departed, m.ID) {
			continue // it left, or was cleared
		}
		held, drained := c.confirmation(m.ID, revision)
		if !held {
			z.waiting = append(z.waiting, m.ID)
		}
		if !drained {
			z.undrained = append(z.undrained, m.ID)
		}
	}
	if z.blockedAt.IsZero() && c.isBlocked(z) {
		z.blockedAt = now
		c.urgent = c.urgent || z.zone == c.opts.Self.Zone
	}
}

// isBlocked reports whether the waiting members are no majority of any roster of the zone under which they may still
// act. A member that is known to hold a revision acts under no roster that was replaced up to it; without that, a
// dead host that joined first would count as the whole of the zone's first roster.
func (c *Core) isBlocked(z *zoneSettling) bool {
	for _, roster := range z.rosters {
		count := 0
		for _, id := range roster.Members {
			if slices.Contains(z.waiting, id) && (roster.Until == 0 || !c.holds(id, roster.Until)) {
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

// ends returns when no member of the zone can start work under a lower revision any more. It is never if that is
// not known yet, and at once if every member is drained.
func (t *settleTarget) ends(z *zoneSettling) (at time.Time, atOnce bool) {
	if len(z.undrained) == 0 {
		return time.Time{}, true
	}
	byZone := expiry(z.blockedAt, settleWait())
	byTime := expiry(t.anchoredAt, Stretch(time.Duration(t.rec.MaxServeForMS)*time.Millisecond+AttestTTL+ReservationTTL))
	if byZone.IsZero() || !byTime.IsZero() && byTime.Before(byZone) {
		return byTime, false
	}
	return byZone, false
}

func (t *settleTarget) isSettled(now time.Time) bool {
	for _, z := range t.zones {
		at, atOnce := t.ends(z)
		if !atOnce && (at.IsZero() || now.Before(at)) {
			return false
		}
	}
	return true
}

// settledNow returns the highest target that is settled and that it is this relay's turn to write, or nil.
func (c *Core) settledNow(now time.Time) *settleTarget {
	for _, t := range slices.Backward(c.targets) {
		if !t.settledAt.IsZero() && now.Sub(t.settledAt) >= time.Duration(c.rank(now))*rankDelay {
			return t
		}
	}
	return nil
}

// settle records that the target is settled. serveFor is that of the bundle in force; if this is the accepted one,
// the longer times of earlier bundles do not count any more.
func (t *settleTarget) settle(r *Record, serveFor time.Duration) error {
	if r.SettledRevision >= t.rec.Revision {
		return ErrNoChange
	}
	r.SettledRevision = t.rec.Revision
	r.AcceptedVersion = max(r.AcceptedVersion, t.rec.BundleVersion)
	if r.AcceptedVersion == r.BundleVersion {
		r.MaxServeForMS = serveFor.Milliseconds()
	}
	r.Departed = slices.DeleteFunc(r.Departed, func(m Member) bool { return containsMember(t.rec.Departed, m.ID) })
	r.PastRosters = slices.DeleteFunc(r.PastRosters, func(p PastRoster) bool { return p.Until <= t.rec.Revision })
	return nil
}

// ownBlocked returns since when the own zone has been blocked for the last target.
func (c *Core) ownBlocked(now time.Time) (uint64, Age) {
	t := c.lastTarget()
	if t == nil {
		return 0, 0
	}
	for _, z := range t.zones {
		if z.zone == c.opts.Self.Zone && !z.blockedAt.IsZero() {
			return t.rec.Revision, ageOf(now, z.blockedAt)
		}
	}
	return 0, 0
}

// useBlocked takes over an earlier time from a member of the zone, so that a change of the relay does not restart
// the wait. The age is shortened by its rounding and by the clock error bound.
func (c *Core) useBlocked(now time.Time, zone int, hb *Heartbeat) {
	t := c.lastTarget()
	if t == nil || hb.Blocked == 0 || hb.BlockedAt != t.rec.Revision {
		return
	}
	age := max(hb.Blocked.duration()-time.Millisecond, 0) * 100 / (100 + clockErrorPercent)
	at := now.Add(-age)
	for _, z := range t.zones {
		if z.zone == c.layout.zones[zone] && (z.blockedAt.IsZero() || at.Before(z.blockedAt)) {
			z.blockedAt = at
		}
	}
}

// ZoneProgress says what is waited for in one zone.
type ZoneProgress struct {
	Zone      string
	Confirmed []string // members that hold the revision and have no earlier start left
	Waiting   []string // the others, departed ones included
	// Until is the latest time at which the wait for this zone ends; zero if it is not known or over.
	Until time.Time
}

// Progress says how far the bundle version in force is from being accepted, as far as this host knows. Relays
// know most.
type Progress struct {
	Revision        uint64
	BundleVersion   uint64
	AcceptedVersion uint64
	// TargetRevision is the revision that is being settled, 0 if there is none.
	TargetRevision uint64
	Zones          []ZoneProgress
	Until          time.Time
}

// Progress reports on the roll-out in progress. It belongs to the goroutine of Step.
func (c *Core) Progress(now time.Time) Progress {
	if c.rec == nil {
		return Progress{}
	}
	p := Progress{Revision: c.rec.Revision, BundleVersion: c.rec.BundleVersion, AcceptedVersion: c.rec.AcceptedVersion}
	target := c.bundleTarget()
	if target == nil {
		return p
	}
	c.trackSettling(now)
	p.TargetRevision = target.rec.Revision
	unknown := false
	for _, z := range target.zones {
		zone := ZoneProgress{Zone: z.zone, Waiting: slices.Clone(z.undrained)}
		for _, m := range z.members {
			if !slices.Contains(z.undrained, m.ID) {
				zone.Confirmed = append(zone.Confirmed, m.ID)
			}
		}
		at, atOnce := target.ends(z)
		unknown = unknown || !atOnce && at.IsZero()
		zone.Until = at
		p.Until = latest(p.Until, at)
		p.Zones = append(p.Zones, zone)
	}
	if unknown {
		p.Until = time.Time{}
	}
	return p
}
