package daemon

import (
	"context"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/gorilla/mux"

	"citrongauge.example/citrongauge/admin"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/result"
)

// unknownMS stands for a time that is not known in reports.
const unknownMS = -1

// adminBackend implements admin.Backend.
type adminBackend struct{ d *Daemon }

var _ admin.Backend = adminBackend{}

func (d *Daemon) registerAdmin(router *mux.Router) {
	verifier := &admin.Verifier{
		HostID: func() string { return d.inc.Load().self.ID }, Operators: d.operators, Now: time.Now,
	}
	admin.Register(router, adminBackend{d}, verifier)
}

// Status implements admin.Backend.
func (b adminBackend) Status(ctx context.Context) admin.StatusReport {
	inc := b.d.inc.Load()
	permission := inc.loop.core.Permission(time.Now())
	report := admin.StatusReport{
		HostID: inc.self.ID, Zone: inc.self.Zone, Mode: string(permission.Mode), FreshAgeMS: unknownMS,
	}
	s := inc.loop.state.Load()
	if s == nil {
		return report
	}
	report.Revision = s.record.Revision
	report.BundleVersion = s.record.BundleVersion
	report.BundleDigest = hex.EncodeToString(s.record.BundleDigest[:])
	report.AcceptedVersion = s.record.AcceptedVersion
	report.Members = inc.memberStatus(ctx, s, &report)
	report.Settling = inc.zoneProgress(ctx)
	if s.index == nil {
		return report
	}
	for _, z := range s.index.Bundle.Zones {
		report.Zones = append(report.Zones, admin.ZoneStatus{Name: z.Name, OutOfService: z.OutOfService, SeenAgeMS: unknownMS})
	}
	report.Pools = poolStatus(s)
	report.Teams = inc.teamStatus(s)
	report.Notes = b.d.notes(ctx, s)
	return report
}

// memberStatus lists the entry hosts and sets the report's freshness.
func (inc *incarnation) memberStatus(ctx context.Context, s *state, report *admin.StatusReport) []admin.MemberStatus {
	var neighbours []control.Member
	_ = inc.loop.call(ctx, func(now time.Time) {
		neighbours = inc.loop.currentNeighbours(now)
		if at := inc.loop.core.FreshAt(); !at.IsZero() {
			report.FreshAgeMS = now.Sub(at).Milliseconds()
		}
	})
	heard := make(map[string]bool, len(neighbours))
	for _, m := range neighbours {
		heard[m.ID] = true
	}
	var members []admin.MemberStatus
	for _, m := range s.record.Roster {
		members = append(members, memberReport(m, heard[m.ID]))
	}
	for _, m := range s.record.Departed {
		departed := memberReport(m, false)
		departed.Departed = true
		if at := inc.rollouts.departedAt(m.ID); !at.IsZero() {
			departed.DepartedMS = time.Since(at).Milliseconds()
		}
		members = append(members, departed)
	}
	return members
}

func memberReport(m control.Member, neighbour bool) admin.MemberStatus {
	age := int64(unknownMS)
	if neighbour {
		age = 0
	}
	return admin.MemberStatus{ID: m.ID, Zone: m.Zone, Address: m.Address, DepartedMS: unknownMS, HeardAgeMS: age}
}

func poolStatus(s *state) []admin.PoolStatus {
	var pools []admin.PoolStatus
	for _, p := range s.index.Bundle.Pools {
		status := admin.PoolStatus{Name: p.Name, MaxUnavailable: p.Budget.MaxUnavailable}
		for _, a := range s.record.Assignments {
			if a.Pool != p.Name {
				continue
			}
			status.Hosts++
			if a.State != control.InService {
				status.Unavailable++
			}
		}
		pools = append(pools, status)
	}
	return pools
}

func (inc *incarnation) teamStatus(s *state) []admin.TeamStatus {
	use := inc.fleetUse(time.Now())
	var teams []admin.TeamStatus
	for _, t := range s.index.Bundle.Teams {
		teams = append(teams, admin.TeamStatus{
			Name: t.Name, Share: t.Share, Cap: t.Cap, InUse: use[t.Name].InUse, Queued: use[t.Name].Unmet,
		})
	}
	return teams
}

// Bundle implements admin.Backend.
func (b adminBackend) Bundle(ctx context.Context, version uint64) ([]byte, error) {
	s := b.d.inc.Load().loop.state.Load()
	if s == nil || s.index == nil {
		return nil, result.Errorf(result.AdminNotFound, "no bundle is in force")
	}
	if version == 0 || version == s.record.BundleVersion {
		return s.signed, nil
	}
	ctx, cancel := context.WithTimeout(ctx, rolloutStoreTimeout)
	defer cancel()
	digest, err := b.d.store.Get(ctx, historyKey(version))
	if err != nil {
		return nil, storeError(err, "version", version)
	}
	if len(digest.Value) != len(s.record.BundleDigest) {
		return nil, result.Errorf(result.DigestMismatch, "history of version %d", version)
	}
	stored, err := b.d.store.Get(ctx, bundleKey(version, [32]byte(digest.Value)))
	if err != nil {
		return nil, storeError(err, "bundle", version)
	}
	return stored.Value, nil
}

// Rollout implements admin.Backend.
func (b adminBackend) Rollout(ctx context.Context, signed []byte) (admin.RolloutReport, error) {
	index, err := b.d.verifySigned(signed)
	if err != nil {
		return admin.RolloutReport{}, err
	}
	inc := b.d.inc.Load()
	b.d.log.Info("roll-out asked for", "component", "admin", "operator", admin.Operator(ctx), "version", index.Bundle.Version,
		"author", index.Bundle.Author, "reason", index.Bundle.Reason)
	if err := inc.rollOut(ctx, index, signed); err != nil {
		return admin.RolloutReport{}, err
	}
	return b.RolloutProgress(ctx, index.Bundle.Version), nil
}

// RolloutProgress implements admin.Backend.
func (b adminBackend) RolloutProgress(ctx context.Context, version uint64) admin.RolloutReport {
	inc := b.d.inc.Load()
	report := admin.RolloutReport{Version: version, SinceCommitMS: unknownMS, ConfirmedMS: unknownMS, AcceptedMS: unknownMS}
	s := inc.loop.state.Load()
	if s == nil {
		return report
	}
	report.Committed = version != 0 && s.record.BundleVersion >= version
	report.Accepted = version != 0 && s.record.AcceptedVersion >= version
	if s.record.BundleVersion == version {
		report.Digest = hex.EncodeToString(s.record.BundleDigest[:])
	}
	if times, ok := inc.rollouts.get(version); ok {
		report.SinceCommitMS = time.Since(times.committed).Milliseconds()
		report.ConfirmedMS = since(times.committed, times.confirmed)
		report.AcceptedMS = since(times.committed, times.accepted)
	}
	if s.record.BundleVersion == version && !report.Accepted {
		report.Zones = inc.zoneProgress(ctx)
	}
	return report
}

func since(start, end time.Time) int64 {
	if end.IsZero() {
		return unknownMS
	}
	return end.Sub(start).Milliseconds()
}

func (inc *incarnation) zoneProgress(ctx context.Context) []admin.ZoneProgress {
	var zones []admin.ZoneProgress
	_ = inc.loop.call(ctx, func(now time.Time) {
		for _, z := range inc.loop.core.Progress(now).Zones {
			progress := admin.ZoneProgress{
				Zone: z.Zone, Members: len(z.Confirmed) + len(z.Waiting), Confirmed: len(z.Confirmed), WaitingFor: z.Waiting,
				LatestEndMS: unknownMS,
			}
			if !z.Until.IsZero() {
				progress.LatestEndMS = max(0, z.Until.Sub(now).Milliseconds())
			}
			zones = append(zones, progress)
		}
	})
	return zones
}

// Assignments implements admin.Backend.
func (b adminBackend) Assignments(context.Context) []admin.AssignmentReport {
	s := b.d.inc.Load().loop.state.Load()
	if s == nil {
		return nil
	}
	reports := make([]admin.AssignmentReport, 0, len(s.record.Assignments))
	for _, a := range s.record.Assignments {
		report := admin.AssignmentReport{Host: a.Host, Pool: a.Pool, Epoch: a.Epoch, State: a.State, MoveTo: a.MoveTo}
		if a.State != control.InService {
			report.Unavailable = true
			report.Reason = string(a.State)
		}
		reports = append(reports, report)
	}
	return reports
}

// Explain implements admin.Backend.
func (b adminBackend) Explain(_ context.Context, kind, name string) admin.Explanation {
	e := admin.Explanation{Kind: kind, Name: name}
	inc := b.d.inc.Load()
	s := inc.loop.state.Load()
	if s == nil || s.index == nil {
		return e
	}
	switch kind {
	case "host":
		e.Lines = explainHost(s, name)
	case "team":
		e.Lines = inc.explainTeam(s, name)
	case "queue":
		e.Lines = explainQueue(s, name)
	}
	e.Found = len(e.Lines) > 0
	return e
}

func explainHost(s *state, name string) []string {
	host := s.index.Host(name)
	if host == nil {
		return nil
	}
	lines := []string{fmt.Sprintf("availability zone %s, rack %s", host.Zone, host.Rack)}
	if zone := s.index.Zone(host.Zone); zone != nil && zone.OutOfService {
		lines = append(lines, "its availability zone is out of service")
	}
	a, ok := s.assignments[name]
	if !ok {
		return append(lines, "it has no pool assignment yet")
	}
	lines = append(lines, fmt.Sprintf("pool %s, epoch %d, state %s", a.Pool, a.Epoch, a.State))
	pool := s.index.Pool(a.Pool)
	if pool == nil || a.State != control.InService {
		return lines
	}
	for _, status := range poolStatus(s) {
		if status.Name == a.Pool && status.Unavailable >= status.MaxUnavailable {
			lines = append(lines, fmt.Sprintf("it is not drained: %d of at most %d hosts of the pool are unavailable", status.Unavailable, status.MaxUnavailable))
		}
	}
	return lines
}

func (inc *incarnation) explainTeam(s *state, name string) []string {
	team := s.index.Team(name)
	if team == nil {
		return nil
	}
	use := inc.fleetUse(time.Now())[name]
	lines := []string{
		fmt.Sprintf("share %d permille, cap %d slots", team.Share, team.Cap),
		fmt.Sprintf("in use %d slots, not granted %d slots, fleet-wide as far as this host knows", use.InUse, use.Unmet),
		fmt.Sprintf("this host holds %d slots and may hold %d", inc.account.InUse(name), inc.account.Limit(name)),
	}
	if use.InUse >= team.Cap {
		lines = append(lines, "requests wait because the cap is reached")
	}
	return lines
}

func explainQueue(s *state, name string) []string {
	queue := s.index.Queue(name)
	if queue == nil {
		return nil
	}
	lines := []string{fmt.Sprintf("pool %s, at most %d waiting for each team and host", queue.Pool, queue.MaxQueued)}
	if queue.Open {
		lines = append(lines, "open to all; runs for team "+queue.OpenTeam)
	}
	return lines
}
