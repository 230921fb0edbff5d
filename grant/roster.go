package grant

import (
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
)

// CapsOf returns the caps of a bundle's teams in the form that Config needs.
func CapsOf(b *bundle.Bundle) map[string]int {
	caps := make(map[string]int, len(b.Teams))
	for _, t := range b.Teams {
		caps[t.Name] = t.Cap
	}
	return caps
}

func (m *Manager) setRoster(now time.Time, record *control.Record) {
	listed := map[string]bool{}
	for _, member := range record.Roster {
		listed[member.ID] = true
	}
	for _, member := range record.Departed {
		listed[member.ID] = true
	}
	for host := range m.listedHosts {
		if _, isCleared := m.clearedSince[host]; !listed[host] && !isCleared {
			m.clearedSince[host] = now
		}
	}
	m.listedHosts = listed
	_, m.isMember = record.Member(m.self)
	m.rank, m.memberCount = rank(record, m.self)
	m.readLimiter.SetLimitAt(now, fleetReadRate/rate.Limit(max(1, m.memberCount)))
	m.writeLimiter.SetLimitAt(now, fleetWriteRate/rate.Limit(max(1, m.memberCount)))
	m.burstLimiter.SetLimitAt(now, fleetBurstRate/rate.Limit(max(1, m.memberCount)))
}

// findClearedHosts marks hosts as cleared that are in a ledger but that this host never saw in a control record. A
// host joins before it writes its entry, so it is cleared if it is missing from a record that is not older than the
// view of the ledger.
func (m *Manager) findClearedHosts(now time.Time) {
	inLedger := map[string]bool{}
	for _, t := range m.teams {
		if !t.hasView {
			continue
		}
		t.hasClearedEntry = false
		for host := range t.view.Entries {
			inLedger[host] = true
			_, isCleared := m.clearedSince[host]
			if !isCleared && !m.listedHosts[host] && t.viewReceivedAt.Before(m.freshAt) {
				m.clearedSince[host] = now
			}
			t.hasClearedEntry = t.hasClearedEntry || isCleared
		}
	}
	for host, since := range m.clearedSince {
		if !inLedger[host] && now.Sub(since) > clearedRetention {
			delete(m.clearedSince, host)
		}
	}
}

// rank returns the position of a host in an order that lists the first host of each zone, then the second host of each
// zone, and so on. It also returns the number of hosts in the roster.
func rank(record *control.Record, self string) (place, members int) {
	member, ok := record.Member(self)
	if !ok {
		return 0, len(record.Roster)
	}
	index := map[string]int{} // position of each host within its zone
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

// minEntry returns the number of slots that this host keeps of a team with the given cap even while the team is idle
// here.
func (m *Manager) minEntry(teamCap int) int {
	if m.memberCount == 0 || m.leaving {
		return 0
	}
	total := teamCap * minEntryPercent / 100
	minEntry := total / m.memberCount
	if m.rank < total%m.memberCount {
		minEntry++
	}
	return minEntry
}

func isAny(err error, targets ...error) bool {
	for _, target := range targets {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}
