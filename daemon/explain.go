package daemon

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"citrongauge.example/citrongauge/admin"
	"citrongauge.example/citrongauge/admission"
	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/grant"
	"citrongauge.example/citrongauge/maintenance"
	"citrongauge.example/citrongauge/upstream"
)

// Explain implements admin.Backend.
func (b adminBackend) Explain(ctx context.Context, kind, name string) admin.Explanation {
	e := admin.Explanation{Kind: kind, Name: name}
	inc := b.d.inc.Load()
	s := inc.loop.state.Load()
	if s == nil || s.index == nil {
		return e
	}
	switch kind {
	case "host":
		e.Lines = inc.explainHost(ctx, s, name)
	case "pool":
		e.Lines = inc.explainPool(ctx, s, name)
	case "team":
		e.Lines = inc.explainTeam(ctx, s, name)
	case "zone":
		e.Lines = inc.explainZone(ctx, s, name)
	case "queue":
		e.Lines = explainQueue(s, name)
	case "key":
		e.Lines = explainKey(s, name)
	}
	e.Found = len(e.Lines) > 0
	return e
}

func (inc *incarnation) explainHost(ctx context.Context, s *controlState, name string) []string {
	if s.index.Host(name) == nil {
		return nil
	}
	a, ok := s.assignments[name]
	if !ok {
		return []string{"it has no pool assignment yet"}
	}
	obs := inc.observePool(ctx, s, a.Pool)
	return hostLines(time.Now(), s, obs, a)
}

// hostLines describes the state of a host and why it is not being drained.
func hostLines(now time.Time, s *controlState, obs maintenance.Observations, a control.Assignment) []string {
	host := s.index.Host(a.Host)
	lines := []string{
		fmt.Sprintf("availability zone %s, rack %s", host.Zone, host.Rack),
		fmt.Sprintf("pool %s, epoch %d, state %s", a.Pool, a.Epoch, a.State),
	}
	if a.MoveTo != "" {
		lines = append(lines, "it moves to pool "+a.MoveTo)
	}
	if zone := s.index.Zone(host.Zone); zone != nil && zone.OutOfService {
		lines = append(lines, "its availability zone is out of service")
	}
	lines = append(lines, interventionLines(now, s.index.Bundle, a.Host, a.Pool)...)
	unavailable := maintenance.Unavailable(now, s.index.Bundle, s.record, obs)
	if reason := unavailable[a.Host]; reason != maintenance.Available {
		lines = append(lines, "it is unavailable: "+string(reason))
	}
	if a.State != control.InService {
		return append(lines, drainLine(now, s, obs, a))
	}
	lines = append(lines, notDrainedLine(now, s, obs, a))
	return append(lines, budgetLines(s, unavailable, a.Pool, host)...)
}

// interventionLines lists the interventions on the given hosts and pools that have not expired.
func interventionLines(now time.Time, b *bundle.Bundle, targets ...string) []string {
	var lines []string
	for _, n := range b.Interventions {
		until, err := time.Parse(time.RFC3339, n.Until)
		if err == nil && now.Before(until) && slices.Contains(targets, n.Target) {
			lines = append(lines, fmt.Sprintf("%s of %s until %s by %s: %s", n.Kind, n.Target, n.Until, n.Author, n.Reason))
		}
	}
	return lines
}

// drainLine describes the progress of a host's drain.
func drainLine(now time.Time, s *controlState, obs maintenance.Observations, a control.Assignment) string {
	line := fmt.Sprintf("in this state for %s", now.Sub(time.UnixMilli(a.SinceUnixMS)).Round(time.Second))
	if pool := s.index.Pool(a.Pool); pool != nil && a.State == control.Draining {
		line += fmt.Sprintf(", stuck after %s", time.Duration(pool.DrainMS)*time.Millisecond)
	}
	if seen, ok := obs.Hosts[a.Host]; ok {
		return line + fmt.Sprintf(", %d tasks run on it", seen.Status.Running)
	}
	return line + ", the upstream does not answer"
}

// notDrainedLine explains why the host is not drained. It runs the planner to find out whether it would begin a drain
// of the host with and without the budgets and holds.
func notDrainedLine(now time.Time, s *controlState, obs maintenance.Observations, a control.Assignment) string {
	_, observed := obs.Hosts[a.Host]
	switch {
	case now.Sub(obs.RecordConfirmedAt) > maintenance.MaxObservationAge:
		return "it is not drained: the control record in the store was not confirmed for 2 s, so nothing is stopped"
	case now.Sub(obs.HostListRequestedAt) > maintenance.MaxObservationAge:
		return "it is not drained: the platform's host list cannot be read, so nothing is stopped"
	case !observed:
		return "it is not drained: the upstream does not answer"
	}
	b := s.index.Bundle
	if reason := drainReason(now, s, obs, b, a.Host); reason != "" {
		return "the budget allows its drain for " + reason + "; for maintenance it waits while the pool is in a burst"
	}
	if reason := drainReason(now, s, obs, withoutBudgets(b), a.Host); reason != "" {
		return "it is not drained for " + reason + ": a budget has no room"
	}
	if drainReason(now, s, obs, withoutHolds(withoutBudgets(b)), a.Host) != "" {
		return "it is not drained for planned maintenance: the pool is on hold"
	}
	return "it is not drained: no intervention or change of pool asks for it, and no maintenance is due"
}

// drainReason returns the reason for which the planner would begin a drain of the host, or an empty string. Moves of
// hosts of spare pools are left out: they depend on loads that only the planning host measures.
func drainReason(now time.Time, s *controlState, obs maintenance.Observations, b *bundle.Bundle, host string) string {
	for _, change := range maintenance.Plan(now, b, s.record, obs) {
		home := s.index.PoolOf(host)
		isSpareMove := change.MoveTo != "" && home != nil && home.Spare
		if change.Kind == maintenance.BeginDrain && change.Host == host && !isSpareMove {
			return change.Reason
		}
	}
	return ""
}

func withoutBudgets(b *bundle.Bundle) *bundle.Bundle {
	copied := *b
	copied.Pools = slices.Clone(b.Pools)
	for i := range copied.Pools {
		copied.Pools[i].Budget = bundle.Budget{MaxUnavailable: len(b.Hosts)}
	}
	return &copied
}

func withoutHolds(b *bundle.Bundle) *bundle.Bundle {
	copied := *b
	copied.Interventions = slices.DeleteFunc(slices.Clone(b.Interventions), func(n bundle.Intervention) bool {
		return n.Kind == bundle.InterventionHold
	})
	return &copied
}

// budgetLines lists the budget of a pool and its unavailable hosts. If host is not nil, the budgets of its zone and
// rack are included.
func budgetLines(s *controlState, unavailable map[string]maintenance.Reason, pool string, host *bundle.Host) []string {
	p := s.index.Pool(pool)
	if p == nil {
		return nil
	}
	var inPool, inZone, inRack int
	var hosts []string
	for _, id := range slices.Sorted(maps.Keys(unavailable)) {
		other := s.index.Host(id)
		if other == nil || s.assignments[id].Pool != pool {
			continue
		}
		inPool++
		if host != nil && other.Zone == host.Zone {
			inZone++
			if other.Rack == host.Rack {
				inRack++
			}
		}
		hosts = append(hosts, fmt.Sprintf("  %s, zone %s, rack %s: %s", id, other.Zone, other.Rack, unavailable[id]))
	}
	lines := []string{fmt.Sprintf("budget of pool %s: %d unavailable, at most %d", pool, inPool, p.Budget.MaxUnavailable)}
	if host != nil && p.Budget.MaxUnavailablePerZone > 0 {
		lines = append(lines, fmt.Sprintf("budget of its zone %s: %d unavailable, at most %d", host.Zone, inZone, p.Budget.MaxUnavailablePerZone))
	}
	if host != nil && p.Budget.MaxUnavailablePerRack > 0 {
		lines = append(lines, fmt.Sprintf("budget of its rack %s: %d unavailable, at most %d", host.Rack, inRack, p.Budget.MaxUnavailablePerRack))
	}
	return append(lines, hosts...)
}

func (inc *incarnation) explainPool(ctx context.Context, s *controlState, name string) []string {
	if s.index.Pool(name) == nil {
		return nil
	}
	obs := inc.observePool(ctx, s, name)
	now := time.Now()
	lines := interventionLines(now, s.index.Bundle, name)
	unavailable := maintenance.Unavailable(now, s.index.Bundle, s.record, obs)
	return append(lines, budgetLines(s, unavailable, name, nil)...)
}

func (inc *incarnation) explainTeam(ctx context.Context, s *controlState, name string) []string {
	team := s.index.Team(name)
	if team == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, rolloutStoreTimeout)
	defer cancel()
	var ledger grant.Ledger
	entry, err := inc.d.store.Get(ctx, grant.LedgerKey(name))
	if err == nil {
		ledger, err = grant.DecodeLedger(entry.Value)
	}
	now := time.Now()
	view := teamView{
		team: *team, self: inc.self.ID, inUse: inc.slotLimiter.InUse(name), limit: inc.slotLimiter.Limit(name),
		ledger: ledger, ledgerErr: err, loads: inc.fleetLoads(now), pools: schedulerConfig(s).Pools,
	}
	for _, w := range inc.scheduler.Backlogs() {
		if w.Team == name {
			view.waiting = w
		}
	}
	lines := view.lines(s.record)
	if _, permission := inc.currentState(); !permission.OK {
		lines = append(lines, "this host may not start work: "+permission.Reason)
	}
	return lines
}

// teamView is what an entry host knows of a team.
type teamView struct {
	team         bundle.Team
	self         string
	inUse, limit int // slots in use and limit on this host
	waiting      admission.TeamBacklog
	ledger       grant.Ledger
	ledgerErr    error
	loads        []admission.Load // fleet-wide
	pools        map[string]admission.PoolConfig
}

// lines explains why requests of the team wait.
func (v teamView) lines(r *control.Record) []string {
	var use, waiting int
	for _, l := range v.loads {
		if l.Team == v.team.Name {
			use += l.Use.Slots
			waiting += l.WaitingTasks
		}
	}
	lines := []string{
		fmt.Sprintf("share %d permille, cap %d slots", v.team.Share, v.team.Cap),
		fmt.Sprintf("%d slots in use and %d requests waiting, fleet-wide as far as this host knows", use, waiting),
		fmt.Sprintf("this host holds %d slots and may hold %d; %d slots wait here", v.inUse, v.limit, v.waiting.Slots),
	}
	lines = append(lines, v.grantLines(r)...)
	if waiting == 0 && v.waiting.Slots == 0 {
		return append(lines, "no request of the team is known to wait")
	}
	if use >= v.team.Cap {
		lines = append(lines, "requests wait because the cap is reached")
	}
	if v.waiting.Slots > 0 && v.inUse+v.waiting.SmallestTask > v.limit {
		lines = append(lines, "requests wait on this host because its grant is used up")
	}
	for _, l := range v.loads {
		if l.Team == v.team.Name && l.WaitingTasks > 0 {
			lines = append(lines, v.poolLine(l))
		}
	}
	return lines
}

// grantLines lists the grants into which the team's cap is divided.
func (v teamView) grantLines(r *control.Record) []string {
	if v.ledgerErr != nil {
		return []string{fmt.Sprintf("the grants of other hosts are not known: %v", v.ledgerErr)}
	}
	lines := []string{fmt.Sprintf("%d of %d slots are granted", v.ledger.Sum(), v.ledger.Cap)}
	for _, id := range slices.Sorted(maps.Keys(v.ledger.Entries)) {
		holder := "is not in the roster; its grant returns after the leases of its work"
		if m, ok := r.Member(id); ok {
			holder = "zone " + m.Zone
		} else if slices.ContainsFunc(r.Departed, func(m control.Member) bool { return m.ID == id }) {
			holder = "is on the departed list; its grant returns some time after it was cleared"
		}
		if id == v.self {
			holder += ", this host"
		}
		lines = append(lines, fmt.Sprintf("  %d to entry host %s, %s", v.ledger.Entries[id], id, holder))
	}
	return lines
}

// poolLine describes the load of a pool for which requests of the team wait.
func (v teamView) poolLine(waiting admission.Load) string {
	capacity := v.pools[waiting.Pool].Capacity
	if capacity.Slots == 0 {
		return fmt.Sprintf("%d requests wait for pool %s, which has no host in service", waiting.WaitingTasks, waiting.Pool)
	}
	var use upstream.Size
	for _, l := range v.loads {
		if l.Pool == waiting.Pool {
			use = admission.SumSizes(use, l.Use)
		}
	}
	text := fmt.Sprintf("%d requests wait for pool %s: %d of its %d slots are in use, %d of them by the team, whose share is %d",
		waiting.WaitingTasks, waiting.Pool, use.Slots, capacity.Slots, waiting.Use.Slots, capacity.Slots*v.team.Share/1000)
	if exhausted := exhaustedResources(use, capacity); len(exhausted) > 0 {
		return text + "; used up: " + strings.Join(exhausted, ", ")
	}
	return text
}

func (inc *incarnation) explainZone(ctx context.Context, s *controlState, name string) []string {
	zone := s.index.Zone(name)
	if zone == nil {
		return nil
	}
	lines := []string{"in service"}
	if zone.OutOfService {
		lines[0] = "out of service, running work: " + string(cmp.Or(zone.RunningWork, bundle.WorkFinish))
	}
	return append(lines, zoneLines(s, name, inc.zoneProgress(ctx))...)
}

// zoneLines lists the entry hosts of a zone that the change in progress waits for, and why.
func zoneLines(s *controlState, name string, zones []admin.ZoneProgress) []string {
	lines := []string{fmt.Sprintf("%d entry hosts in the roster", len(s.record.ZoneMembers(name)))}
	i := slices.IndexFunc(zones, func(z admin.ZoneProgress) bool { return z.Zone == name })
	if i < 0 || len(zones[i].WaitingFor) == 0 {
		return append(lines, "nothing is waited for in this zone, as far as this host knows")
	}
	for _, id := range zones[i].WaitingFor {
		lines = append(lines, fmt.Sprintf("waiting for entry host %s: %s", id, waitReason(s.record, id)))
	}
	if zones[i].LatestEndMS >= 0 {
		end := time.Duration(zones[i].LatestEndMS) * time.Millisecond
		return append(lines, fmt.Sprintf("the wait ends within %s, also if they never confirm", end))
	}
	serveFor := time.Duration(s.record.MaxServeForMS) * time.Millisecond
	return append(lines, fmt.Sprintf("the end is not known: as a majority of the zone they could be cut off together and go on; "+
		"it is about %s after a zone without such a majority is found", serveFor))
}

func waitReason(r *control.Record, id string) string {
	if _, ok := r.Member(id); !ok {
		return "it was evicted and may still run; if it certainly does not, see cgctl entry clear"
	}
	if slices.Contains(r.Suspects, id) {
		return "it is suspect, since a relay does not hear it"
	}
	return "it has not confirmed the revision, or starts from before it may still come"
}

func explainQueue(s *controlState, name string) []string {
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

func explainKey(s *controlState, id string) []string {
	var lines []string
	for _, team := range s.index.Bundle.Teams {
		for _, key := range team.Keys {
			if key.ID != id {
				continue
			}
			state := "valid"
			if key.Withdrawn {
				state = "withdrawn"
			}
			lines = append(lines, fmt.Sprintf("key of team %s, %s", team.Name, state))
		}
	}
	return lines
}
