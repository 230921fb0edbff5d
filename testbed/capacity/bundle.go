// Package capacity measures what control and requests cost a daemon at a given size of the fleet: it makes bundles of
// that size, samples running daemons, drives roll-outs and requests, and fits the samples to lines.
package capacity

import (
	"fmt"
	"net/netip"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/upstream"
)

const (
	hostsPerRack   = 4
	slotsPerHost   = 8
	totalShares    = 1000
	regions        = 2
	maintainHours  = 14 * 24
	portsPerZone   = 200
	maxQueued      = 100
	maxDeadlineMS  = 60_000
	drainMS        = 120_000
	serveForMS     = 600_000
	keysPerTeam    = 2
	withdrawnIndex = 1 // the key that roll-outs withdraw and grant again
)

// Size is the size of a fleet.
type Size struct {
	Upstreams  int `json:"upstreams"`
	Pools      int `json:"pools"`
	Teams      int `json:"teams"`
	Zones      int `json:"zones"`
	EntryHosts int `json:"entry_hosts"`
}

// Check returns an error if no bundle of this size can be made.
func (s Size) Check() error {
	switch {
	case s.Zones < 1 || s.Teams < 1 || s.Teams > totalShares:
		return errors.New("at least one zone and 1 to 1000 teams are needed")
	case s.Pools < 2 || s.Upstreams < 2*s.Pools:
		return errors.New("at least two pools with two upstreams each are needed")
	case s.ZoneUpstreams(0) > portsPerZone:
		return errors.Errorf("more than %d upstreams in a zone", portsPerZone)
	}
	return nil
}

// ZoneUpstreams returns the number of upstreams in a zone, counted from 0.
func (s Size) ZoneUpstreams(zone int) int {
	n := s.Upstreams / s.Zones
	if zone < s.Upstreams%s.Zones {
		n++
	}
	return n
}

// NewBundle returns a bundle of the given size and one key of each team. Upstream N of zone Z, both counted from 1, is
// "zone-Z-uN" at port first + 200*(Z-1) + N-1, as `cgctl standin upstreams` numbers them.
func NewBundle(s Size, address netip.Addr, first int) (*bundle.Bundle, map[string]string, error) {
	if err := s.Check(); err != nil {
		return nil, nil, err
	}
	if first < 1 || first+portsPerZone*s.Zones > 65535 {
		return nil, nil, errors.New("the base port leaves no room for all upstreams")
	}
	b := &bundle.Bundle{Version: 1, Author: "capacity", Reason: "first bundle", Isolation: bundle.Isolation{ServeForMS: serveForMS}}
	for z := range s.Zones {
		zone := fmt.Sprintf("zone-%d", z+1)
		b.Zones = append(b.Zones, bundle.Zone{Name: zone, Region: fmt.Sprintf("region-%d", z%regions+1), RampMS: bundle.DefaultRampMS})
		for n := range s.ZoneUpstreams(z) {
			b.Hosts = append(b.Hosts, newHost(zone, n, netip.AddrPortFrom(address, uint16(first+portsPerZone*z+n))))
		}
	}
	addPools(b, s.Pools)
	keys := addTeams(b, s)
	checked, problems := bundle.Parse("new bundle", b.Canonical())
	return checked, keys, problems.Err()
}

func newHost(zone string, n int, address netip.AddrPort) bundle.Host {
	return bundle.Host{
		ID: fmt.Sprintf("%s-u%d", zone, n+1), Address: address.String(), Zone: zone,
		Rack:        fmt.Sprintf("%s-rack-%d", zone, n/hostsPerRack+1),
		Capacity:    upstream.Size{Slots: slotsPerHost, CPUs: 16, MemoryMB: 65536},
		Connections: bundle.DefaultConnections,
	}
}

// addPools deals the hosts out in turn, so that the pools span the zones. The last pool is the spare pool.
func addPools(b *bundle.Bundle, count int) {
	for i := range count {
		pool := bundle.Pool{
			Name: fmt.Sprintf("pool-%d", i+1), Spare: i == count-1, DrainMS: drainMS, MaintainEveryHours: maintainHours,
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
			if k != withdrawnIndex {
				keys[team.Name] = key
			}
		}
		b.Teams = append(b.Teams, team)
	}
	return keys
}

// NextVersion turns b into its next version: the second key of one team is withdrawn or granted again.
func NextVersion(b *bundle.Bundle) {
	b.Base = b.Version
	b.Version++
	b.Reason = fmt.Sprintf("change %d", b.Version)
	key := &b.Teams[int(b.Version)%len(b.Teams)].Keys[withdrawnIndex]
	key.Withdrawn = !key.Withdrawn
}
