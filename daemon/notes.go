package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/admission"
	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/grant"
	"citrongauge.example/citrongauge/maintenance"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/result"
	"citrongauge.example/citrongauge/upstream"
)

// storeError gives an error of the store a result code.
func storeError(err error, what string, version uint64) error {
	if errors.Is(err, platform.ErrNotFound) {
		return result.Errorf(result.AdminNotFound, "%s %d", what, version)
	}
	return result.Errorf(result.StoreUnavailable, "%v", err)
}

// fleetUse returns the slots in use and the unmet demand of each team, fleet-wide as far as this host knows.
func (inc *incarnation) fleetUse(now time.Time) map[string]grant.PeerUse {
	own := make(map[string]grant.PeerUse)
	for _, l := range inc.scheduler.Loads(now) {
		use := own[l.Team]
		use.InUse += l.Use.Slots
		use.Unmet += l.Waiting.Slots
		own[l.Team] = use
	}
	return sumTeams(own, inc.loads.peerUse(now))
}

// fleetLoads returns the load by pool and team, fleet-wide as far as this host knows.
func (inc *incarnation) fleetLoads(now time.Time) []admission.Load {
	lists := [][]admission.Load{inc.loads.zoneSum(now, loadReport{loads: inc.scheduler.Loads(now)}).loads}
	for _, r := range inc.loads.zoneReports(now) {
		lists = append(lists, r.loads)
	}
	return admission.SumLoads(lists...)
}

// observePool asks the platform and the upstreams of one pool for their state.
func (inc *incarnation) observePool(ctx context.Context, s *state, pool string) maintenance.Observations {
	ctx, cancel := context.WithTimeout(ctx, maintainInterval)
	defer cancel()
	var obs maintenance.Observations
	listAt := time.Now()
	list, err := inc.d.hosts.Hosts(ctx)
	if err == nil {
		obs.HostListAt = listAt
	}
	_ = inc.loop.call(ctx, func(time.Time) { obs.RecordAt = inc.loop.core.FreshAt() })
	var hosts []bundle.Host
	for _, a := range s.record.Assignments {
		if host := s.index.Host(a.Host); host != nil && a.Pool == pool {
			hosts = append(hosts, *host)
		}
	}
	obs.Hosts = (&maintainer{inc: inc}).statuses(ctx, hosts)
	for _, h := range list {
		if seen, ok := obs.Hosts[h.ID]; ok {
			seen.Listed, seen.DrainedByHand = h.State, h.Drained
			obs.Hosts[h.ID] = seen
		}
	}
	return obs
}

// usedUp lists the resources of a pool of which nothing is left.
func usedUp(use, capacity upstream.Size) []string {
	var full []string
	for _, r := range []struct {
		name      string
		use, have int
	}{
		{"slots", use.Slots, capacity.Slots}, {"processors", use.CPUs, capacity.CPUs},
		{"memory", use.MemoryMB, capacity.MemoryMB}, {"accelerators", use.Accelerators, capacity.Accelerators},
	} {
		if r.have > 0 && r.use >= r.have {
			full = append(full, r.name)
		}
	}
	return full
}

// notes lists findings that need an operator's attention.
func (d *Daemon) notes(ctx context.Context, s *state) []string {
	var notes []string
	for _, h := range d.handDrained(ctx) {
		notes = append(notes, fmt.Sprintf("host %s was drained with the platform's tools; it counts as unavailable", h))
	}
	if s.record.AcceptedVersion < s.record.BundleVersion {
		notes = append(notes, fmt.Sprintf("version %d is not accepted yet", s.record.BundleVersion))
	}
	return notes
}

// handDrained returns the hosts that somebody drained outside the system, as far as the platform's list says.
func (d *Daemon) handDrained(ctx context.Context) []string {
	ctx, cancel := context.WithTimeout(ctx, rolloutStoreTimeout)
	defer cancel()
	list, err := d.hosts.Hosts(ctx)
	if err != nil {
		return nil
	}
	var drained []string
	for _, h := range list {
		if h.Drained {
			drained = append(drained, h.ID)
		}
	}
	return drained
}
