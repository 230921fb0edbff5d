package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/maintenance"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/upstream"
)

const (
	maintainInterval = time.Second
	// idleObserveInterval is the interval of observations while no action is pending.
	idleObserveInterval = 10 * time.Second
	// upstreamCallTimeout bounds a status call and a maintenance action.
	upstreamCallTimeout = 500 * time.Millisecond
	// maxParallelStatusCalls bounds the number of concurrent status calls.
	maxParallelStatusCalls = 32
	commitTimeout          = 3 * time.Second
)

// maintainer plans and carries out maintenance, pool moves and drains. Every entry host runs one, and only that of
// the first live host in the roster acts, to avoid conflicts. Safety does not depend on that: all changes of
// assignments are committed by compare-and-swap and checked against the record to which they are applied.
type maintainer struct {
	inc               *incarnation
	observations      maintenance.Observations
	counters          maintenance.Counters
	countersUpdatedAt time.Time
	// noActionPoolSeq is the record's PoolSeq at the last observation after which no action was pending. While PoolSeq
	// is the same, the assignments have not changed since.
	noActionPoolSeq uint64
	// periodicObservationAt is the time of the last observation that depended neither on the state of the hosts nor on
	// the plan.
	periodicObservationAt time.Time
}

// run plans and carries out maintenance until ctx ends.
func (m *maintainer) run(ctx context.Context) {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if m.inc.isPlanner(ctx) {
			m.runOnce(ctx)
		}
	}
}

// isPlanner reports whether this host plans maintenance: no live neighbour precedes it in the roster, it has a bundle and
// it is not shutting down.
func (inc *incarnation) isPlanner(ctx context.Context) bool {
	s := inc.loop.state.Load()
	if s == nil || s.index == nil || inc.d.draining.Load() {
		return false
	}
	rank := func(id string) int {
		return slices.IndexFunc(s.record.Roster, func(m control.Member) bool { return m.ID == id })
	}
	own := rank(inc.self.ID)
	if own < 0 {
		return false
	}
	first := true
	err := inc.loop.do(ctx, func(now time.Time) {
		for _, m := range inc.loop.currentNeighbours(now) {
			if r := rank(m.ID); r >= 0 && r < own {
				first = false
			}
		}
	})
	return err == nil && first
}

// runOnce reconciles the assignments with the bundle. If an observation is needed, it then observes the hosts, carries
// out pending actions, plans new changes unless an action produced some, and commits the changes.
func (m *maintainer) runOnce(ctx context.Context) {
	s := m.inc.loop.state.Load()
	if !m.reconcile(ctx, s) {
		return
	}
	if !m.needsObservation(s) {
		return
	}
	m.observe(ctx, s)
	m.updateCounters(s)
	b := s.index.Bundle
	actions := maintenance.Actions(time.Now(), b, s.record, m.observations)
	if len(actions) == 0 {
		m.noActionPoolSeq = s.record.PoolSeq
	}
	changes := m.performActions(ctx, s, actions)
	if len(changes) == 0 {
		changes = maintenance.Plan(time.Now(), b, s.record, m.observations)
	}
	if len(changes) > 0 {
		m.commit(ctx, changes)
	}
}

// needsObservation reports whether runOnce must poll the upstreams. Polling all of them every second is the largest
// part of the planner's work, so they are polled only if hosts are out of service, if assignments were changed, if the
// planner would act with every host available, and in any case every idleObserveInterval.
func (m *maintainer) needsObservation(s *controlState) bool {
	now := time.Now()
	if m.noActionPoolSeq != s.record.PoolSeq || now.Sub(m.periodicObservationAt) >= idleObserveInterval {
		m.periodicObservationAt = now
		return true
	}
	for _, a := range s.record.Assignments {
		if a.State != control.InService {
			return true
		}
	}
	ifAvailable := m.observationsIfAvailable(now, s)
	m.observations.Loads = ifAvailable.Loads
	return len(maintenance.Plan(now, s.index.Bundle, s.record, ifAvailable)) > 0
}

// observationsIfAvailable returns observations in which every host is available.
func (m *maintainer) observationsIfAvailable(now time.Time, s *controlState) maintenance.Observations {
	obs := maintenance.Observations{RecordConfirmedAt: now, HostListRequestedAt: now, Loads: m.observations.Loads}
	obs.Hosts = make(map[string]maintenance.HostObservation, len(s.record.Assignments))
	for _, a := range s.record.Assignments {
		obs.Hosts[a.Host] = maintenance.HostObservation{
			At: now, PlatformState: platform.HostLive, Status: upstream.Status{PoolEpoch: a.Epoch},
		}
	}
	obs.Loads = maintenance.ObserveLoads(now, s.index.Bundle, s.record, obs, m.inc.poolDemand(now))
	return obs
}

// updateCounters adds the time since the last call to the maintenance counters and exports them as metrics.
func (m *maintainer) updateCounters(s *controlState) {
	now := time.Now()
	if !m.countersUpdatedAt.IsZero() {
		m.counters.AddSpareIdle(now, now.Sub(m.countersUpdatedAt), s.index.Bundle, s.record, m.observations)
	}
	m.countersUpdatedAt = now
	m.inc.d.metrics.setMaintenanceCounters(m.counters)
}

// reconcile adds assignments for hosts that are new in the bundle and removes those of hosts that it no longer has.
// It returns false if the record has to change for that.
func (m *maintainer) reconcile(ctx context.Context, s *controlState) bool {
	next := maintenance.Reconcile(*s.record, s.index.Bundle)
	if next.PoolSeq == s.record.PoolSeq {
		return true
	}
	b := s.index.Bundle
	err := m.inc.propose(ctx, func(r *control.Record) error {
		if r.BundleVersion != b.Version {
			return control.ErrNoChange
		}
		*r = maintenance.Reconcile(*r, b)
		return nil
	})
	if err != nil {
		m.inc.d.log.Warn("reconciling assignments failed", "component", "maintenance", "err", err)
	}
	return false
}

// observe reads the platform's host list and the status of all upstreams.
func (m *maintainer) observe(ctx context.Context, s *controlState) {
	ctx, cancel := context.WithTimeout(ctx, maintainInterval)
	defer cancel()
	listRequestedAt := time.Now()
	listed := make(map[string]platform.HostStatus)
	if list, err := m.inc.d.hostList.Hosts(ctx); err == nil {
		m.observations.HostListRequestedAt = listRequestedAt
		for _, h := range list {
			listed[h.ID] = h
		}
	}
	_ = m.inc.loop.do(ctx, func(time.Time) { m.observations.RecordConfirmedAt = m.inc.loop.core.StoreConfirmedAt() })
	seen := m.pollStatuses(ctx, s.index.Bundle.Hosts)
	ejected := m.inc.d.routingTable.Ejected(time.Now())
	for id, o := range seen {
		o.Failing = ejected[id]
		o.PlatformState = listed[id].State
		o.DrainedByHand = listed[id].Drained
		seen[id] = o
	}
	m.observations.Hosts = seen
	m.observations.Loads = maintenance.ObserveLoads(time.Now(), s.index.Bundle, s.record, m.observations, m.inc.poolDemand(time.Now()))
}

// pollStatuses polls the status of upstreams. Those that do not respond are left out.
func (m *maintainer) pollStatuses(ctx context.Context, hosts []bundle.Host) map[string]maintenance.HostObservation {
	seen := make(map[string]maintenance.HostObservation, len(hosts))
	var mu sync.Mutex
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxParallelStatusCalls)
	for _, h := range hosts {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			at := time.Now()
			status, err := m.pollStatus(ctx, h)
			if err != nil {
				return
			}
			m.inc.d.routingTable.RecordStatus(h.ID, status, at, time.Now())
			mu.Lock()
			defer mu.Unlock()
			seen[h.ID] = maintenance.HostObservation{At: at, Status: status}
		})
	}
	wg.Wait()
	return seen
}

func (m *maintainer) pollStatus(ctx context.Context, h bundle.Host) (upstream.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, upstreamCallTimeout)
	defer cancel()
	return m.inc.d.upstreamClient(h.ID, h.Address).Status(ctx)
}

// poolDemand returns the slots in use and waited for on each pool, fleet-wide as far as this host knows.
func (inc *incarnation) poolDemand(now time.Time) map[string]int {
	demand := make(map[string]int)
	sum := inc.peerLoads.zoneSum(now, loadReport{loads: inc.scheduler.Loads(now)}).loads
	for _, l := range sum {
		demand[l.Pool] += l.Use.Slots + l.Waiting.Slots
	}
	for _, r := range inc.peerLoads.zoneReports(now) {
		for _, l := range r.loads {
			demand[l.Pool] += l.Use.Slots + l.Waiting.Slots
		}
	}
	return demand
}

// performActions carries out the actions that take effect outside the record and returns the changes to commit.
// Drains are checked again with new observations, since hosts may have failed after the change to draining was
// committed.
func (m *maintainer) performActions(ctx context.Context, s *controlState, actions []maintenance.Action) []maintenance.Change {
	var changes []maintenance.Change
	observedAgain := false
	for _, a := range actions {
		switch a.Kind {
		case maintenance.Commit:
			changes = append(changes, a.Change)
			continue
		case maintenance.Drain:
			if !observedAgain {
				m.observe(ctx, s)
				observedAgain = true
			}
			change, allowed := maintenance.RecheckDrain(time.Now(), s.index.Bundle, s.record, m.observations, a.Host)
			if !allowed {
				if change.Host != "" {
					changes = append(changes, change)
				}
				continue
			}
		}
		m.performAction(ctx, s, a)
	}
	return changes
}

func (m *maintainer) performAction(ctx context.Context, s *controlState, a maintenance.Action) {
	host := s.index.Host(a.Host)
	if host == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, upstreamCallTimeout)
	defer cancel()
	err := maintenance.Perform(ctx, a, m.inc.d.upstreamClient(host.ID, host.Address), m.inc.d.hostList)
	m.inc.d.log.Info("maintenance action", "component", "maintenance", "action", string(a.Kind), "host", a.Host, "epoch", a.Epoch, "err", err)
}

// commit applies changes to the record that is current at the time of the write.
func (m *maintainer) commit(ctx context.Context, changes []maintenance.Change) {
	err := m.inc.propose(ctx, func(r *control.Record) error {
		next, err := maintenance.Apply(*r, changes)
		if err != nil {
			return err
		}
		*r = next
		return nil
	})
	if err != nil {
		m.counters.RejectedChanges += uint64(len(changes))
		m.inc.d.log.Info("maintenance changes not committed", "component", "maintenance", "changes", len(changes), "err", err)
		return
	}
	m.counters.Committed(changes)
	for _, c := range changes {
		m.inc.d.log.Info("maintenance change committed", "component", "maintenance", "change", string(c.Kind), "host", c.Host, "reason", c.Reason)
	}
}

// propose commits a change of the record's assignments.
func (inc *incarnation) propose(ctx context.Context, mutate func(*control.Record) error) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	id := newNonce()
	_, err := inc.write(ctx, id, control.Propose{ID: id, Mutate: mutate})
	return err
}
