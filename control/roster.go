package control

import (
	"slices"
	"sort"
)

// rosterIndex indexes the members of a record by zone.
type rosterIndex struct {
	zones        []string // sorted names of the zones that have members
	members      [][]Member
	ownZone      int // index of this host's zone, or -1 if the host is not in the roster
	selfPosition int // position of this host in its zone
	zoneOf       map[string]int
	// peerIDs lists all members except this host, in roster order.
	peerIDs []string
}

func newRosterIndex(rec *Record, self Member) *rosterIndex {
	index := &rosterIndex{ownZone: -1, zoneOf: make(map[string]int, len(rec.Roster))}
	for _, m := range rec.Roster {
		if !slices.Contains(index.zones, m.Zone) {
			index.zones = append(index.zones, m.Zone)
		}
	}
	sort.Strings(index.zones)
	index.members = make([][]Member, len(index.zones))
	for _, m := range rec.Roster {
		z, _ := slices.BinarySearch(index.zones, m.Zone)
		if m.ID == self.ID {
			index.ownZone, index.selfPosition = z, len(index.members[z])
		} else {
			index.peerIDs = append(index.peerIDs, m.ID)
		}
		index.members[z] = append(index.members[z], m)
		index.zoneOf[m.ID] = z
	}
	return index
}

// majority returns the size of the smallest majority of n members.
func majority(n int) int { return n/2 + 1 }

// clone returns a copy of the record whose lists can be modified independently.
func (r *Record) clone() Record {
	next := *r
	next.Roster = slices.Clone(r.Roster)
	next.Departed = slices.Clone(r.Departed)
	next.PastRosters = slices.Clone(r.PastRosters)
	next.Assignments = slices.Clone(r.Assignments)
	next.Suspects = slices.Clone(r.Suspects)
	return next
}

// archiveRoster adds the zone's roster to PastRosters before a change that takes effect with the next revision. An
// empty roster is recorded as well: while it was current, hosts of other zones needed no attestation from this zone.
func (r *Record) archiveRoster(zone string) {
	past := PastRoster{Zone: zone, Until: r.Revision + 1}
	for _, m := range r.ZoneMembers(zone) {
		past.Members = append(past.Members, m.ID)
	}
	r.PastRosters = append(r.PastRosters, past)
}
