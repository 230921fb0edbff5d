package control

import (
	"slices"
	"sort"
)

// layout indexes the members of a record.
type layout struct {
	zones   []string // sorted names of zones that have members
	members [][]Member
	own     int // index of the own zone, or -1 if the host is not in the roster
	self    int // position of the host in its zone
	zoneOf  map[string]int
	// peerIDs lists all members but the host, in roster order.
	peerIDs []string
}

func newLayout(rec *Record, self Member) *layout {
	l := &layout{own: -1, zoneOf: make(map[string]int, len(rec.Roster))}
	for _, m := range rec.Roster {
		if !slices.Contains(l.zones, m.Zone) {
			l.zones = append(l.zones, m.Zone)
		}
	}
	sort.Strings(l.zones)
	l.members = make([][]Member, len(l.zones))
	for _, m := range rec.Roster {
		z, _ := slices.BinarySearch(l.zones, m.Zone)
		if m.ID == self.ID {
			l.own, l.self = z, len(l.members[z])
		} else {
			l.peerIDs = append(l.peerIDs, m.ID)
		}
		l.members[z] = append(l.members[z], m)
		l.zoneOf[m.ID] = z
	}
	return l
}

// majority returns the number of members that form a majority of n.
func majority(n int) int { return n/2 + 1 }

// clone returns a copy whose lists can be changed.
func (r *Record) clone() Record {
	next := *r
	next.Roster = slices.Clone(r.Roster)
	next.Departed = slices.Clone(r.Departed)
	next.PastRosters = slices.Clone(r.PastRosters)
	next.Assignments = slices.Clone(r.Assignments)
	next.Suspects = slices.Clone(r.Suspects)
	return next
}

// archiveRoster keeps the zone's roster before a change that takes effect with the next revision. An empty roster
// is kept as well: under it hosts of other zones needed no attestation of this zone.
func (r *Record) archiveRoster(zone string) {
	past := PastRoster{Zone: zone, Until: r.Revision + 1}
	for _, m := range r.ZoneMembers(zone) {
		past.Members = append(past.Members, m.ID)
	}
	r.PastRosters = append(r.PastRosters, past)
}
