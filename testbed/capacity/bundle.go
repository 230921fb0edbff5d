// Package capacity measures the cost of the control plane and of requests for a daemon at a given fleet size. It
// generates bundles for that size, generates load by rollouts and requests, measures the resource usage of running
// daemons and fits linear models to the measurements.
package capacity

import (
	"fmt"
	"net/netip"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/upstream"
)

const (
	hostsPerRack       = 4
	slotsPerHost       = 8
	totalShares        = 1000
	regionCount        = 2
	maintainEveryHours = 14 * 24
	portsPerZone       = 200
	maxQueued          = 100
	maxDeadlineMS      = 60_000
	drainMS            = 120_000
	serveForMS         = 600_000
	keysPerTeam        = 2
	toggledKeyIndex    = 1 // index of the key in each team that rollouts withdraw and reinstate
)

// Size is the size of a fleet.
type Size struct {
	Upstreams  int `json:"upstreams"`
	Pools      int `json:"pools"`
	Teams      int `json:"teams"`
	Zones      int `json:"zones"`
	EntryHosts int `json:"entry_hosts"`
}

// Check returns an error if NewBundle cannot generate a bundle of this size.
func (s Size) Check() error {
	switch {
	case s.Zones < 1 || s.Teams < 1 || s.Teams > totalShares:
		return errors.New("a fleet needs at least one zone and 1 to 1000 teams")
	case s.Pools < 2 || s.Upstreams < 2*s.Pools:
		return errors.New("a fleet needs at least two pools and two upstreams per pool")
	case s.ZoneUpstreams(0) > portsPerZone:
		return errors.Errorf("a zone has more than %d upstreams", portsPerZone)
	}
	return nil
}

// ZoneUpstreams returns the number of upstreams in the zone with the given index, which starts at 0.
func (s Size) ZoneUpstreams(zone int) int {
	n := s.Upstreams / s.Zones
	if zone < s.Upstreams%s.Zones {
		n++
	}
	return n
}

// NewBundle generates a bundle of the given size and returns it with one key per team, by team name. Upstream N of zone
// Z, both counted from 1, is "zone-Z-uN" at port basePort + portsPerZone*(Z-1) + N-1, which matches the IDs and ports
// of `cgctl standin upstreams` as scripts/capacity starts it.
func NewBundle(s Size, address netip.Addr, basePort int) (*bundle.Bundle, map[string]string, error) {
	if err := s.Check(); err != nil {
		return nil, nil, err
	}
	if basePort < 1 || basePort+portsPerZone*s.Zones > 65535 {
		return nil, nil, errors.New("the base port must be at least 1 and leave enough ports for all zones")
	}
	b := &bundle.Bundle{Version: 1, Author: "capacity", Reason: "first bundle", Isolation: bundle.Isolation{ServeForMS: serveForMS}}
	for z := range s.Zones {
		zone := fmt.Sprintf("zone-%d", z+1)
		b.Zones = append(b.Zones, bundle.Zone{Name: zone, Region: fmt.Sprintf("region-%d", z%regionCount+1), RampMS: bundle.DefaultRampMS})
		for n := range s.ZoneUpstreams(z) {
			b.Hosts = append(b.Hosts, newHost(zone, n, netip.AddrPortFrom(address, uint16(basePort+portsPerZone*z+n))))
		}
	}
	addPools(b, s.Pools)
	keys := addTeams(b, s)
	checked, problems := bundle.Parse("new bundle", b.Canonical())
	return checked, keys, problems.Err()
}

func newHost(zone string, index int, address netip.AddrPort) bundle.Host {
	return bundle.Host{
		ID: fmt.Sprintf("%s-u%d", zone, index+1), Address: address.String(), Zone: zone,
		Rack:        fmt.Sprintf("%s-rack-%d", zone, index/hostsPerRack+1),
		Capacity:    upstream.Size{Slots: slotsPerHost, CPUs: 16, MemoryMB: 65536},
		Connections: bundle.DefaultConnections,
	}
}

// addPools assigns the hosts to pools in turn, so that each pool spans the zones, and adds a queue for each pool. The
// last pool is the spare pool and has no queue.
func addPools(b *bundle.Bundle, count int) {
	for i := range count {
		pool := bundle.Pool{
			Name: fmt.Sprintf("pool-%d", i+1), Spare: i == count-1, DrainMS: drainMS, MaintainEveryHours: maintainEveryHours,
			Budget: bundle.Budget{MaxUnavailable: 1},
		}
		for n := i; n < len(b.Hosts); n += count {
			pool.Hosts = append(pool.Hosts, b.Hosts[n].ID)
		}
		b.Pools = append(b.Pools, pool)
		if !pool.Spare {
			b.Queues = append(b.Queues, bundle.Queue{
				Name: fmt.Sprintf("queue-%d", i+1), Pool: pool.Name, MaxQueued: maxQueued, MaxDeadlineMS: maxDeadlineMS,
			})
		}
	}
}

// addTeams adds teams with equal shares and returns one valid key per team, by team name.
func addTeams(b *bundle.Bundle, s Size) map[string]string {
	keys := make(map[string]string, s.Teams)
	for i := range s.Teams {
		team := bundle.Team{Name: fmt.Sprintf("team-%d", i+1), Share: totalShares / s.Teams, Cap: s.Upstreams * slotsPerHost}
		if i < totalShares%s.Teams {
			team.Share++
		}
		for k := range keysPerTeam {
			key, hash := bundle.NewTeamKey()
			team.Keys = append(team.Keys, bundle.Key{ID: fmt.Sprintf("%s-%d", team.Name, k+1), SHA256: hash})
			if k != toggledKeyIndex {
				keys[team.Name] = key
			}
		}
		b.Teams = append(b.Teams, team)
	}
	return keys
}

// NextVersion changes b to its next version, in which the second key of one team is withdrawn or reinstated.
func NextVersion(b *bundle.Bundle) {
	b.Base = b.Version
	b.Version++
	b.Reason = fmt.Sprintf("change %d", b.Version)
	key := &b.Teams[int(b.Version)%len(b.Teams)].Keys[toggledKeyIndex]
	key.Withdrawn = !key.Withdrawn
}
