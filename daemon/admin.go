package daemon

import (
	"context"
	"encoding/hex"
	"slices"
	"time"

	"github.com/gorilla/mux"

	"citrongauge.example/citrongauge/admin"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/result"
)

// unknownMS stands for an unknown time in reports.
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
		HostID: inc.self.ID, Zone: inc.self.Zone, Mode: string(permission.Mode), StoreConfirmedAgeMS: unknownMS,
	}
	s := inc.loop.state.Load()
	if s == nil {
		return report
	}
	report.Revision = s.record.Revision
	report.BundleVersion = s.record.BundleVersion
	report.BundleDigest = hex.EncodeToString(s.record.BundleDigest[:])
	report.AcceptedVersion = s.record.AcceptedVersion
	if s.index != nil {
		for _, z := range s.index.Bundle.Zones {
			report.Zones = append(report.Zones, admin.ZoneStatus{Name: z.Name, OutOfService: z.OutOfService, AttestedAgeMS: unknownMS})
		}
	}
	report.Members = inc.memberStatus(ctx, s, &report)
	report.Settling = inc.zoneProgress(ctx)
	if s.index == nil {
		return report
	}
	report.Pools = poolStatus(s)
	report.Teams = inc.teamStatus(s)
	report.Notes = b.d.notes(ctx, s)
	return report
}

// memberStatus returns the status of the entry hosts. It also sets StoreConfirmedAgeMS and AttestedAgeMS in report.
func (inc *incarnation) memberStatus(ctx context.Context, s *controlState, report *admin.StatusReport) []admin.MemberStatus {
	view := inc.controlView(ctx, s)
	report.StoreConfirmedAgeMS = view.storeConfirmedAgeMS
	for i, z := range report.Zones {
		if age, ok := view.zoneAttestedAgeMS[z.Name]; ok {
			report.Zones[i].AttestedAgeMS = age
		}
	}
	var members []admin.MemberStatus
	for _, m := range s.record.Roster {
		member := newMemberStatus(m)
		member.HeardAgeMS = view.heardAgeMS[m.ID]
		member.Suspect = slices.Contains(s.record.Suspects, m.ID)
		member.Relay = view.isRelay && m.ID == inc.self.ID
		members = append(members, member)
	}
	for _, m := range s.record.Departed {
		departed := newMemberStatus(m)
		departed.Departed = true
		departed.DepartedMS = ageMS(time.Now(), inc.rolloutTimes.departedAt(m.ID))
		members = append(members, departed)
	}
	return members
}

func newMemberStatus(m control.Member) admin.MemberStatus {
	return admin.MemberStatus{ID: m.ID, Zone: m.Zone, Address: m.Address, DepartedMS: unknownMS, HeardAgeMS: unknownMS}
}

// controlView is what the control goroutine knows of other hosts and zones, as ages in milliseconds.
type controlView struct {
	isRelay             bool
	storeConfirmedAgeMS int64
	zoneAttestedAgeMS   map[string]int64
	heardAgeMS          map[string]int64
}

func (inc *incarnation) controlView(ctx context.Context, s *controlState) controlView {
	view := controlView{storeConfirmedAgeMS: unknownMS, zoneAttestedAgeMS: make(map[string]int64), heardAgeMS: make(map[string]int64)}
	for _, m := range s.record.Roster {
		view.heardAgeMS[m.ID] = unknownMS
	}
	_ = inc.loop.do(ctx, func(now time.Time) {
		core := inc.loop.core
		view.isRelay = core.IsRelay()
		view.storeConfirmedAgeMS = ageMS(now, core.StoreConfirmedAt())
		for zone, at := range core.ZoneAttestedAt() {
			view.zoneAttestedAgeMS[zone] = ageMS(now, at)
		}
		for _, m := range s.record.Roster {
			view.heardAgeMS[m.ID] = ageMS(now, core.HeardAt(m.ID))
		}
		view.heardAgeMS[inc.self.ID] = 0
	})
	return view
}

// ageMS returns the age of a time in milliseconds, or unknownMS for the zero time.
func ageMS(now, at time.Time) int64 {
	if at.IsZero() {
		return unknownMS
	}
	return now.Sub(at).Milliseconds()
}

func poolStatus(s *controlState) []admin.PoolStatus {
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

func (inc *incarnation) teamStatus(s *controlState) []admin.TeamStatus {
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
	b.d.log.Info("rollout requested", "component", "admin", "operator", admin.OperatorFromContext(ctx), "version", index.Bundle.Version,
		"author", index.Bundle.Author, "reason", index.Bundle.Reason)
	if err := inc.rollout(ctx, index, signed); err != nil {
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
	if times, ok := inc.rolloutTimes.get(version); ok {
		report.SinceCommitMS = time.Since(times.committed).Milliseconds()
		report.ConfirmedMS = elapsedMS(times.committed, times.confirmed)
		report.AcceptedMS = elapsedMS(times.committed, times.accepted)
	}
	if s.record.BundleVersion == version && !report.Accepted {
		report.Zones = inc.zoneProgress(ctx)
	}
	return report
}

// elapsedMS returns the time from start to end in milliseconds, or unknownMS if end is the zero time.
func elapsedMS(start, end time.Time) int64 {
	if end.IsZero() {
		return unknownMS
	}
	return end.Sub(start).Milliseconds()
}

func (inc *incarnation) zoneProgress(ctx context.Context) []admin.ZoneProgress {
	var zones []admin.ZoneProgress
	_ = inc.loop.do(ctx, func(now time.Time) {
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
