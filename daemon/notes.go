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

// storeError converts an error of the store into an error with a result code.
func storeError(err error, kind string, version uint64) error {
	if errors.Is(err, platform.ErrNotFound) {
		return result.Errorf(result.AdminNotFound, "%s %d", kind, version)
	}
	return result.Errorf(result.StoreUnavailable, "%v", err)
}

// fleetUse returns the slots in use and the unmet demand by team, fleet-wide as far as this host knows.
func (inc *incarnation) fleetUse(now time.Time) map[string]grant.PeerUse {
	own := make(map[string]grant.PeerUse)
	for _, l := range inc.scheduler.Loads(now) {
		use := own[l.Team]
		use.InUse += l.Use.Slots
		use.Unmet += l.Waiting.Slots
		own[l.Team] = use
	}
	return sumTeams(own, inc.peerLoads.peerUse(now))
}

// fleetLoads returns the load by pool and team, fleet-wide as far as this host knows.
func (inc *incarnation) fleetLoads(now time.Time) []admission.Load {
	lists := [][]admission.Load{inc.peerLoads.zoneSum(now, loadReport{loads: inc.scheduler.Loads(now)}).loads}
	for _, r := range inc.peerLoads.zoneReports(now) {
		lists = append(lists, r.loads)
	}
	return admission.SumLoads(lists...)
}

// observePool reads the platform's host list and the status of the upstreams of one pool.
func (inc *incarnation) observePool(ctx context.Context, s *controlState, pool string) maintenance.Observations {
	ctx, cancel := context.WithTimeout(ctx, maintainInterval)
	defer cancel()
	var obs maintenance.Observations
	listRequestedAt := time.Now()
	list, err := inc.d.hostList.Hosts(ctx)
	if err == nil {
		obs.HostListRequestedAt = listRequestedAt
	}
	_ = inc.loop.do(ctx, func(time.Time) { obs.RecordConfirmedAt = inc.loop.core.StoreConfirmedAt() })
	var hosts []bundle.Host
	for _, a := range s.record.Assignments {
		if host := s.index.Host(a.Host); host != nil && a.Pool == pool {
			hosts = append(hosts, *host)
		}
	}
	obs.Hosts = (&maintainer{inc: inc}).pollStatuses(ctx, hosts)
	for _, h := range list {
		if seen, ok := obs.Hosts[h.ID]; ok {
			seen.PlatformState, seen.DrainedByHand = h.State, h.Drained
			obs.Hosts[h.ID] = seen
		}
	}
	return obs
}

// exhaustedResources lists the resources of a pool that are fully in use.
func exhaustedResources(use, capacity upstream.Size) []string {
	var exhausted []string
	for _, r := range []struct {
		name       string
		use, total int
	}{
		{"slots", use.Slots, capacity.Slots}, {"processors", use.CPUs, capacity.CPUs},
		{"memory", use.MemoryMB, capacity.MemoryMB}, {"accelerators", use.Accelerators, capacity.Accelerators},
	} {
		if r.total > 0 && r.use >= r.total {
			exhausted = append(exhausted, r.name)
		}
	}
	return exhausted
}

// notes lists findings for the status report that need an operator's attention.
func (d *Daemon) notes(ctx context.Context, s *controlState) []string {
	var notes []string
	for _, h := range d.hostsDrainedByHand(ctx) {
		notes = append(notes, fmt.Sprintf("host %s was drained with the platform's tools; it counts as unavailable", h))
	}
	if s.record.AcceptedVersion < s.record.BundleVersion {
		notes = append(notes, fmt.Sprintf("version %d is not accepted yet", s.record.BundleVersion))
	}
	return notes
}

// hostsDrainedByHand returns the hosts that the platform lists as drained by someone outside this system.
func (d *Daemon) hostsDrainedByHand(ctx context.Context) []string {
	ctx, cancel := context.WithTimeout(ctx, rolloutStoreTimeout)
	defer cancel()
	list, err := d.hostList.Hosts(ctx)
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
