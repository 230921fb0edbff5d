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

// loadReportInterval is the interval of the load reports to neighbours.
const loadReportInterval = 500 * time.Millisecond

// loadMessage reports the running and waiting work of an entry host or of a whole availability zone. Pools and teams
// are encoded as indexes into the bundle's lists, so that an entry takes about 10 bytes.
type loadMessage struct {
	BundleVersion uint64 `cbor:"1,keyasint"`
	// Zone is set if the message holds the sum of a zone, which the zone's relay computes.
	Zone  string      `cbor:"2,keyasint,omitempty"`
	Loads []loadEntry `cbor:"3,keyasint,omitempty"`
	Teams []teamEntry `cbor:"4,keyasint,omitempty"`
}

// loadEntry is the load of one team on one pool. Use and Waiting are in the form that sizeToArray returns.
type loadEntry struct {
	_             struct{} `cbor:",toarray"`
	Pool          uint16
	Team          uint16
	Use           [4]int32
	Waiting       [4]int32
	WaitingTasks  uint32
	UrgentWaiting uint32
}

// teamEntry is the encoded form of a grant.PeerUse, in slots.
type teamEntry struct {
	_     struct{} `cbor:",toarray"`
	Team  uint16
	InUse int32
	Unmet int32
}

// loadReport is a decoded loadMessage.
type loadReport struct {
	loads      []admission.Load
	teams      map[string]grant.PeerUse
	receivedAt time.Time
}

// peerLoads holds the latest load reports of the other hosts of this host's zone and of the other zones.
type peerLoads struct {
	mu      sync.Mutex
	ownZone string
	hosts   map[string]loadReport
	zones   map[string]loadReport
}

func newPeerLoads(zone string) *peerLoads {
	return &peerLoads{ownZone: zone, hosts: make(map[string]loadReport), zones: make(map[string]loadReport)}
}

func sizeToArray(s upstream.Size) [4]int32 {
	return [4]int32{int32(s.Slots), int32(s.CPUs), int32(s.MemoryMB), int32(s.Accelerators)}
}

func sizeFromArray(a [4]int32) upstream.Size {
	return upstream.Size{Slots: int(a[0]), CPUs: int(a[1]), MemoryMB: int(a[2]), Accelerators: int(a[3])}
}

// encodeReport encodes a report. Pools and teams that are not in the bundle are left out.
func encodeReport(b *bundle.Bundle, zone string, loads []admission.Load, teams map[string]grant.PeerUse) loadMessage {
	poolIndex := make(map[string]int, len(b.Pools))
	for i, p := range b.Pools {
		poolIndex[p.Name] = i
	}
	teamIndex := make(map[string]int, len(b.Teams))
	for i, t := range b.Teams {
		teamIndex[t.Name] = i
	}
	m := loadMessage{BundleVersion: b.Version, Zone: zone}
	for _, l := range loads {
		p, okPool := poolIndex[l.Pool]
		t, okTeam := teamIndex[l.Team]
		if !okPool || !okTeam {
			continue
		}
		m.Loads = append(m.Loads, loadEntry{
			Pool: uint16(p), Team: uint16(t), Use: sizeToArray(l.Use), Waiting: sizeToArray(l.Waiting),
			WaitingTasks: uint32(l.WaitingTasks), UrgentWaiting: uint32(l.UrgentWaiting),
		})
	}
	for name, use := range teams {
		if t, ok := teamIndex[name]; ok {
			m.Teams = append(m.Teams, teamEntry{Team: uint16(t), InUse: int32(use.InUse), Unmet: int32(use.Unmet)})
		}
	}
	sort.Slice(m.Teams, func(i, j int) bool { return m.Teams[i].Team < m.Teams[j].Team })
	return m
}

// decodeReport decodes a message. It returns false if the message has another bundle version, in which indexes have
// another meaning, or an index out of range.
func decodeReport(b *bundle.Bundle, m loadMessage, at time.Time) (loadReport, bool) {
	if m.BundleVersion != b.Version {
		return loadReport{}, false
	}
	report := loadReport{receivedAt: at, teams: make(map[string]grant.PeerUse)}
	for _, e := range m.Loads {
		if int(e.Pool) >= len(b.Pools) || int(e.Team) >= len(b.Teams) {
			return loadReport{}, false
		}
		report.loads = append(report.loads, admission.Load{
			Pool: b.Pools[e.Pool].Name, Team: b.Teams[e.Team].Name, Use: sizeFromArray(e.Use), Waiting: sizeFromArray(e.Waiting),
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

// update stores the report of a host of this zone, or of another zone if zone is not empty.
func (p *peerLoads) update(from, zone string, r loadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if zone == "" {
		p.hosts[from] = r
		return
	}
	if zone != p.ownZone {
		p.zones[zone] = r
	}
}

// expire drops reports older than admission.LoadTTL. The caller holds p.mu.
func (p *peerLoads) expire(now time.Time) {
	for _, reports := range []map[string]loadReport{p.hosts, p.zones} {
		for name, r := range reports {
			if now.Sub(r.receivedAt) > admission.LoadTTL {
				delete(reports, name)
			}
		}
	}
}

// zoneSum returns the sum of this host's load and that of the other hosts of its zone.
func (p *peerLoads) zoneSum(now time.Time, own loadReport) loadReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	lists := [][]admission.Load{own.loads}
	teams := []map[string]grant.PeerUse{own.teams}
	for _, r := range p.hosts {
		lists = append(lists, r.loads)
		teams = append(teams, r.teams)
	}
	return loadReport{loads: admission.SumLoads(lists...), teams: sumTeams(teams...)}
}

// peerUse returns the slots in use and the unmet demand of all other hosts, by team.
func (p *peerLoads) peerUse(now time.Time) map[string]grant.PeerUse {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	var teams []map[string]grant.PeerUse
	for _, r := range p.hosts {
		teams = append(teams, r.teams)
	}
	for _, r := range p.zones {
		teams = append(teams, r.teams)
	}
	return sumTeams(teams...)
}

// hasUnmetDemand reports whether another host needs more slots than it is granted.
func (p *peerLoads) hasUnmetDemand(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	for _, reports := range []map[string]loadReport{p.hosts, p.zones} {
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

// zoneReports returns the reports of the other zones.
func (p *peerLoads) zoneReports(now time.Time) map[string]loadReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	reports := make(map[string]loadReport, len(p.zones))
	for zone, r := range p.zones {
		reports[zone] = r
	}
	return reports
}

// publishLoads sends this host's load to its neighbours in the zone. A relay also sends the zone's sum to the other
// zones and forwards the sums of the other zones within its own. It runs on the control goroutine.
func (inc *incarnation) publishLoads(now time.Time) {
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
	sum := inc.peerLoads.zoneSum(now, own)
	zoneMessage := encodeReport(b, inc.self.Zone, sum.loads, sum.teams)
	reports := inc.peerLoads.zoneReports(now)
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

// loadResendInterval is the age at which an unchanged report is sent again. It is below admission.LoadTTL, the age at
// which receivers drop a report.
const loadResendInterval = 2 * time.Second

// sentLoad records the last report sent to a neighbour about a host or zone.
type sentLoad struct {
	sentAt time.Time
	digest [sha256.Size]byte
}

// sendLoad sends a report if it differs from the last one, or if it is not empty and loadResendInterval has passed. It
// runs on the control goroutine.
func (inc *incarnation) sendLoad(now time.Time, to control.Member, m loadMessage) {
	encoded, err := peer.Encode(m)
	if err != nil {
		return
	}
	key := to.ID + " " + m.Zone
	last, digest := inc.sentLoads[key], sha256.Sum256(encoded)
	isEmpty := len(m.Loads) == 0 && len(m.Teams) == 0
	if digest == last.digest && (isEmpty || now.Sub(last.sentAt) < loadResendInterval) {
		return
	}
	inc.sentLoads[key] = sentLoad{sentAt: now, digest: digest}
	inc.d.node.Send(to.Address, to.ID, peer.TypeLoad, m)
}

// ownReport returns this host's load by pool and team, and its slots in use and unmet demand by team.
func (inc *incarnation) ownReport(now time.Time) loadReport {
	report := loadReport{loads: inc.scheduler.Loads(now), teams: make(map[string]grant.PeerUse), receivedAt: now}
	for team, unmet := range inc.grantManager.Unmet() {
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
