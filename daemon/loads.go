package daemon

import (
	"crypto/sha256"
	"sort"
	"sync"
	"time"

	"citrongauge.example/citrongauge/admission"
	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/grant"
	"citrongauge.example/citrongauge/peer"
	"citrongauge.example/citrongauge/upstream"
)

// loadInterval is the interval at which load is told to neighbours.
const loadInterval = 500 * time.Millisecond

// loadMessage tells what an entry host or a whole availability zone runs and waits for. Pools and teams are
// numbers in the bundle's order, so that an entry takes about 10 bytes.
type loadMessage struct {
	BundleVersion uint64 `cbor:"1,keyasint"`
	// Zone is set if the message holds the sum of the zone, which its relay sends.
	Zone  string      `cbor:"2,keyasint,omitempty"`
	Loads []loadEntry `cbor:"3,keyasint,omitempty"`
	Teams []teamEntry `cbor:"4,keyasint,omitempty"`
}

type loadEntry struct {
	_             struct{} `cbor:",toarray"`
	Pool          uint16
	Team          uint16
	Use           [4]int32
	Waiting       [4]int32
	WaitingTasks  uint32
	UrgentWaiting uint32
}

type teamEntry struct {
	_     struct{} `cbor:",toarray"`
	Team  uint16
	InUse int32
	Unmet int32
}

// loadReport is a decoded message.
type loadReport struct {
	loads []admission.Load
	teams map[string]grant.PeerUse
	at    time.Time
}

// loadBook keeps the last reports of others: of hosts of the own zone and of whole other zones.
type loadBook struct {
	mu    sync.Mutex
	own   string // own zone
	hosts map[string]loadReport
	zones map[string]loadReport
}

func newLoadBook(zone string) *loadBook {
	return &loadBook{own: zone, hosts: make(map[string]loadReport), zones: make(map[string]loadReport)}
}

func sizeArray(s upstream.Size) [4]int32 {
	return [4]int32{int32(s.Slots), int32(s.CPUs), int32(s.MemoryMB), int32(s.Accelerators)}
}

func arraySize(a [4]int32) upstream.Size {
	return upstream.Size{Slots: int(a[0]), CPUs: int(a[1]), MemoryMB: int(a[2]), Accelerators: int(a[3])}
}

// encodeReport turns a report into a message. Names that are not in the bundle are left out.
func encodeReport(b *bundle.Bundle, zone string, loads []admission.Load, teams map[string]grant.PeerUse) loadMessage {
	poolNumber := make(map[string]int, len(b.Pools))
	for i, p := range b.Pools {
		poolNumber[p.Name] = i
	}
	teamNumber := make(map[string]int, len(b.Teams))
	for i, t := range b.Teams {
		teamNumber[t.Name] = i
	}
	m := loadMessage{BundleVersion: b.Version, Zone: zone}
	for _, l := range loads {
		p, okPool := poolNumber[l.Pool]
		t, okTeam := teamNumber[l.Team]
		if !okPool || !okTeam {
			continue
		}
		m.Loads = append(m.Loads, loadEntry{
			Pool: uint16(p), Team: uint16(t), Use: sizeArray(l.Use), Waiting: sizeArray(l.Waiting),
			WaitingTasks: uint32(l.WaitingTasks), UrgentWaiting: uint32(l.UrgentWaiting),
		})
	}
	for name, use := range teams {
		if t, ok := teamNumber[name]; ok {
			m.Teams = append(m.Teams, teamEntry{Team: uint16(t), InUse: int32(use.InUse), Unmet: int32(use.Unmet)})
		}
	}
	sort.Slice(m.Teams, func(i, j int) bool { return m.Teams[i].Team < m.Teams[j].Team })
	return m
}

// decodeReport reads a message of the same bundle version; numbers of another version have another meaning.
func decodeReport(b *bundle.Bundle, m loadMessage, at time.Time) (loadReport, bool) {
	if m.BundleVersion != b.Version {
		return loadReport{}, false
	}
	report := loadReport{at: at, teams: make(map[string]grant.PeerUse)}
	for _, e := range m.Loads {
		if int(e.Pool) >= len(b.Pools) || int(e.Team) >= len(b.Teams) {
			return loadReport{}, false
		}
		report.loads = append(report.loads, admission.Load{
			Pool: b.Pools[e.Pool].Name, Team: b.Teams[e.Team].Name, Use: arraySize(e.Use), Waiting: arraySize(e.Waiting),
			WaitingTasks: int(e.WaitingTasks), UrgentWaiting: int(e.UrgentWaiting),
		})
	}
	for _, e := range m.Teams {
		if int(e.Team) >= len(b.Teams) {
			return loadReport{}, false
		}
		report.teams[b.Teams[e.Team].Name] = grant.PeerUse{InUse: int(e.InUse), Unmet: int(e.Unmet)}
	}
	return report, true
}

// take stores the report of a host of the own zone or of another zone.
func (b *loadBook) take(from, zone string, r loadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if zone == "" {
		b.hosts[from] = r
		return
	}
	if zone != b.own {
		b.zones[zone] = r
	}
}

// expire drops reports that are too old. The caller holds b.mu.
func (b *loadBook) expire(now time.Time) {
	for _, reports := range []map[string]loadReport{b.hosts, b.zones} {
		for name, r := range reports {
			if now.Sub(r.at) > admission.LoadTTL {
				delete(reports, name)
			}
		}
	}
}

// zoneSum adds this host's load to that of the other hosts of its zone.
func (b *loadBook) zoneSum(now time.Time, own loadReport) loadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	lists := [][]admission.Load{own.loads}
	teams := []map[string]grant.PeerUse{own.teams}
	for _, r := range b.hosts {
		lists = append(lists, r.loads)
		teams = append(teams, r.teams)
	}
	return loadReport{loads: admission.SumLoads(lists...), teams: sumTeams(teams...)}
}

// peerUse returns the use and unmet demand of all other hosts.
func (b *loadBook) peerUse(now time.Time) map[string]grant.PeerUse {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	var teams []map[string]grant.PeerUse
	for _, r := range b.hosts {
		teams = append(teams, r.teams)
	}
	for _, r := range b.zones {
		teams = append(teams, r.teams)
	}
	return sumTeams(teams...)
}

// hasUnmet states whether another host lacks slots of a grant.
func (b *loadBook) hasUnmet(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	for _, reports := range []map[string]loadReport{b.hosts, b.zones} {
		for _, r := range reports {
			for _, use := range r.teams {
				if use.Unmet > 0 {
					return true
				}
			}
		}
	}
	return false
}

func sumTeams(lists ...map[string]grant.PeerUse) map[string]grant.PeerUse {
	sum := make(map[string]grant.PeerUse)
	for _, list := range lists {
		for name, use := range list {
			s := sum[name]
			s.InUse += use.InUse
			s.Unmet += use.Unmet
			sum[name] = s
		}
	}
	return sum
}

// zoneReports returns the reports of the other zones for passing on within the own zone.
func (b *loadBook) zoneReports(now time.Time) map[string]loadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	reports := make(map[string]loadReport, len(b.zones))
	for zone, r := range b.zones {
		reports[zone] = r
	}
	return reports
}

// tellLoads sends this host's load to its zone; a relay also sends the zone's sum to other zones and passes the sums
// of other zones on within its own. It runs on the control goroutine.
func (inc *incarnation) tellLoads(now time.Time) {
	s := inc.loop.state.Load()
	if s == nil || s.index == nil {
		return
	}
	b := s.index.Bundle
	own := inc.ownReport(now)
	neighbours := inc.loop.currentNeighbours(now)
	hostMessage := encodeReport(b, "", own.loads, own.teams)
	for _, m := range neighbours {
		if m.Zone == inc.self.Zone {
			inc.sendLoad(now, m, hostMessage)
		}
	}
	if !inc.loop.core.IsRelay() {
		return
	}
	sum := inc.loads.zoneSum(now, own)
	zoneMessage := encodeReport(b, inc.self.Zone, sum.loads, sum.teams)
	reports := inc.loads.zoneReports(now)
	for _, m := range neighbours {
		if m.Zone != inc.self.Zone {
			inc.sendLoad(now, m, zoneMessage)
			continue
		}
		for zone, r := range reports {
			inc.sendLoad(now, m, encodeReport(b, zone, r.loads, r.teams))
		}
	}
}

// loadRefresh is the age at which an unchanged report is sent again, below the age at which receivers drop it.
const loadRefresh = 2 * time.Second

// sentLoad is the last report sent to a neighbour about a host or zone.
type sentLoad struct {
	at  time.Time
	sum [sha256.Size]byte
}

// sendLoad sends a report if it differs from the last one or is due again. It runs on the control goroutine.
func (inc *incarnation) sendLoad(now time.Time, to control.Member, m loadMessage) {
	encoded, err := peer.Encode(m)
	if err != nil {
		return
	}
	key := to.ID + " " + m.Zone
	last, sum := inc.sentLoads[key], sha256.Sum256(encoded)
	isEmpty := len(m.Loads) == 0 && len(m.Teams) == 0
	if sum == last.sum && (isEmpty || now.Sub(last.at) < loadRefresh) {
		return
	}
	inc.sentLoads[key] = sentLoad{at: now, sum: sum}
	inc.d.node.Send(to.Address, to.ID, peer.TypeLoad, m)
}

// ownReport is this host's load and, per team, its slots in use and unmet demand.
func (inc *incarnation) ownReport(now time.Time) loadReport {
	report := loadReport{loads: inc.scheduler.Loads(now), teams: make(map[string]grant.PeerUse), at: now}
	for team, unmet := range inc.grants.Unmet() {
		if unmet > 0 {
			report.teams[team] = grant.PeerUse{Unmet: unmet}
		}
	}
	for _, l := range report.loads {
		use := report.teams[l.Team]
		use.InUse += l.Use.Slots
		report.teams[l.Team] = use
	}
	return report
}
