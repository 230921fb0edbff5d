package grant

import (
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
)

// CapsOf returns the caps of a bundle's teams, for Config.
func CapsOf(b *bundle.Bundle) map[string]int {
	caps := make(map[string]int, len(b.Teams))
	for _, t := range b.Teams {
		caps[t.Name] = t.Cap
	}
	return caps
}

func (m *Manager) setRoster(now time.Time, record *control.Record) {
	known := map[string]bool{}
	for _, member := range record.Roster {
		known[member.ID] = true
	}
	for _, member := range record.Departed {
		known[member.ID] = true
	}
	for host := range m.roster {
		if _, isGone := m.gone[host]; !known[host] && !isGone {
			m.gone[host] = now
		}
	}
	m.roster = known
	_, m.member = record.Member(m.self)
	m.rank, m.members = rank(record, m.self)
	m.reads.SetLimitAt(now, fleetReads/rate.Limit(max(1, m.members)))
	m.writes.SetLimitAt(now, fleetWrites/rate.Limit(max(1, m.members)))
	m.paced.SetLimitAt(now, fleetPeak/rate.Limit(max(1, m.members)))
}

// noteGone finds hosts in the ledgers that this host never saw in a record. A host joins before it writes its
// entry, so it is cleared if a record that is not older than the view of the ledger does not name it.
func (m *Manager) noteGone(now time.Time) {
	seen := map[string]bool{}
	for _, t := range m.teams {
		if !t.known {
			continue
		}
		t.namesGone = false
		for host := range t.view.Entries {
			seen[host] = true
			_, isGone := m.gone[host]
			if !isGone && !m.roster[host] && t.seenAt.Before(m.freshAt) {
				m.gone[host] = now
			}
			t.namesGone = t.namesGone || isGone
		}
	}
	for host, since := range m.gone {
		if !seen[host] && now.Sub(since) > goneMemory {
			delete(m.gone, host)
		}
	}
}

// rank returns a host's place in an order that takes the first host of each zone, then the second one of each,
// and so on, and the number of hosts.
func rank(record *control.Record, self string) (place, members int) {
	member, ok := record.Member(self)
	if !ok {
		return 0, len(record.Roster)
	}
	index := map[string]int{} // host to its place in its zone
	count := map[string]int{}
	var zones []string
	for _, m := range record.Roster {
		if count[m.Zone] == 0 {
			zones = append(zones, m.Zone)
		}
		index[m.ID] = count[m.Zone]
		count[m.Zone]++
	}
	for _, zone := range zones {
		place += min(count[zone], index[self])
	}
	for _, zone := range zones {
		if zone == member.Zone {
			break
		}
		if count[zone] > index[self] {
			place++
		}
	}
	return place, len(record.Roster)
}

// floor returns the entry that this host keeps while it is idle.
func (m *Manager) floor(limit int) int {
	if m.members == 0 || m.leaving {
		return 0
	}
	all := limit * floorPercent / 100
	floor := all / m.members
	if m.rank < all%m.members {
		floor++
	}
	return floor
}

func isAny(err error, targets ...error) bool {
	for _, target := range targets {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}
