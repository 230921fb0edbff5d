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
	// idleInterval is the interval of observations while nothing is to be done.
	idleInterval   = 10 * time.Second
	observeTimeout = 500 * time.Millisecond
	// observeParallel bounds the status calls that are made at the same time.
	observeParallel = 32
	commitTimeout   = 3 * time.Second
)

// maintainer plans and carries out maintenance, pool moves and drains. Every host has one; only that of the first
// live host in the roster acts, to avoid conflicts. Safety does not depend on that: all changes of assignments are
// committed by compare-and-swap and checked against the record that they are applied to.
type maintainer struct {
	inc      *incarnation
	obs      maintenance.Observations
	counters maintenance.Counters
	lastAt   time.Time
	// settledSeq is the pool sequence number at which nothing was left to do at the last observation.
	settledSeq uint64
	observedAt time.Time
}

// run works until the incarnation ends.
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
			m.round(ctx)
		}
	}
}

// isPlanner states whether no neighbour comes before this host in the roster.
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
	err := inc.loop.call(ctx, func(now time.Time) {
		for _, m := range inc.loop.currentNeighbours(now) {
			if r := rank(m.ID); r >= 0 && r < own {
				first = false
			}
		}
	})
	return err == nil && first
}

func (m *maintainer) round(ctx context.Context) {
	s := m.inc.loop.state.Load()
	if !m.reconcile(ctx, s) {
		return
	}
	if !m.mustObserve(s) {
		return
	}
	m.observe(ctx, s)
	m.account(s)
	b := s.index.Bundle
	actions := maintenance.Actions(time.Now(), b, s.record, m.obs)
	if len(actions) == 0 {
		m.settledSeq = s.record.PoolSeq
	}
	changes := m.perform(ctx, s, actions)
	if len(changes) == 0 {
		changes = maintenance.Plan(time.Now(), b, s.record, m.obs)
	}
	if len(changes) > 0 {
		m.commit(ctx, changes)
	}
}

// mustObserve states whether upstreams have to be asked for their state in this round. Asking all of them each second
// is the largest part of a planner's work, so they are asked only if hosts are out of service, if assignments were
// changed, or if something would be planned if every host were available; and now and then.
func (m *maintainer) mustObserve(s *state) bool {
	now := time.Now()
	if m.settledSeq != s.record.PoolSeq || now.Sub(m.observedAt) >= idleInterval {
		m.observedAt = now
		return true
	}
	for _, a := range s.record.Assignments {
		if a.State != control.InService {
			return true
		}
	}
	hopeful := m.hopeful(now, s)
	m.obs.Loads = hopeful.Loads
	return len(maintenance.Plan(now, s.index.Bundle, s.record, hopeful)) > 0
}

// hopeful returns observations in which every host is available.
func (m *maintainer) hopeful(now time.Time, s *state) maintenance.Observations {
	obs := maintenance.Observations{RecordAt: now, HostListAt: now, Loads: m.obs.Loads}
	obs.Hosts = make(map[string]maintenance.HostObservation, len(s.record.Assignments))
	for _, a := range s.record.Assignments {
		obs.Hosts[a.Host] = maintenance.HostObservation{
			At: now, Listed: platform.HostLive, Status: upstream.Status{PoolEpoch: a.Epoch},
		}
	}
	obs.Loads = maintenance.ObserveLoads(now, s.index.Bundle, s.record, obs, m.inc.poolDemand(now))
	return obs
}

// account adds to the measures.
func (m *maintainer) account(s *state) {
	now := time.Now()
	if !m.lastAt.IsZero() {
		m.counters.AddBuffer(now, now.Sub(m.lastAt), s.index.Bundle, s.record, m.obs)
	}
	m.lastAt = now
	m.inc.d.metrics.maintained(m.counters)
}

// reconcile gives hosts that are new in the bundle an assignment. It returns false if the record is about to change.
func (m *maintainer) reconcile(ctx context.Context, s *state) bool {
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
		m.inc.d.log.Warn("assignments not reconciled", "component", "maintenance", "err", err)
	}
	return false
}

// observe asks the platform and all upstreams for their state.
func (m *maintainer) observe(ctx context.Context, s *state) {
	ctx, cancel := context.WithTimeout(ctx, maintainInterval)
	defer cancel()
	listAt := time.Now()
	listed := make(map[string]platform.HostStatus)
	if list, err := m.inc.d.hosts.Hosts(ctx); err == nil {
		m.obs.HostListAt = listAt
		for _, h := range list {
			listed[h.ID] = h
		}
	}
	_ = m.inc.loop.call(ctx, func(time.Time) { m.obs.RecordAt = m.inc.loop.core.FreshAt() })
	seen := m.statuses(ctx, s.index.Bundle.Hosts)
	ejected := m.inc.d.table.Ejected(time.Now())
	for id, o := range seen {
		o.Failing = ejected[id]
		o.Listed = listed[id].State
		o.DrainedByHand = listed[id].Drained
		seen[id] = o
	}
	m.obs.Hosts = seen
	m.obs.Loads = maintenance.ObserveLoads(time.Now(), s.index.Bundle, s.record, m.obs, m.inc.poolDemand(time.Now()))
}

// statuses asks upstreams for their status. Those that do not answer are left out.
func (m *maintainer) statuses(ctx context.Context, hosts []bundle.Host) map[string]maintenance.HostObservation {
	seen := make(map[string]maintenance.HostObservation, len(hosts))
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, observeParallel)
	for _, h := range hosts {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			at := time.Now()
			status, err := m.status(ctx, h)
			if err != nil {
				return
			}
			m.inc.d.table.NoteStatus(h.ID, status, at, time.Now())
			mu.Lock()
			defer mu.Unlock()
			seen[h.ID] = maintenance.HostObservation{At: at, Status: status}
		})
	}
	wg.Wait()
	return seen
}

func (m *maintainer) status(ctx context.Context, h bundle.Host) (upstream.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	return m.inc.d.upstreamClient(h.ID, h.Address).Status(ctx)
}

// poolDemand returns what runs and waits on each pool, fleet-wide as far as this host knows, in slots.
func (inc *incarnation) poolDemand(now time.Time) map[string]int {
	demand := make(map[string]int)
	sum := inc.loads.zoneSum(now, loadReport{loads: inc.scheduler.Loads(now)}).loads
	for _, l := range sum {
		demand[l.Pool] += l.Use.Slots + l.Waiting.Slots
	}
	for _, r := range inc.loads.zoneReports(now) {
		for _, l := range r.loads {
			demand[l.Pool] += l.Use.Slots + l.Waiting.Slots
		}
	}
	return demand
}

// perform carries out actions outside the record and returns the changes to commit. Drains are checked again with
// new observations, since hosts may have failed since the stop was committed.
func (m *maintainer) perform(ctx context.Context, s *state, actions []maintenance.Action) []maintenance.Change {
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
			change, allowed := maintenance.Recheck(time.Now(), s.index.Bundle, s.record, m.obs, a.Host)
			if !allowed {
				if change.Host != "" {
					changes = append(changes, change)
				}
				continue
			}
		}
		m.performOne(ctx, s, a)
	}
	return changes
}

func (m *maintainer) performOne(ctx context.Context, s *state, a maintenance.Action) {
	host := s.index.Host(a.Host)
	if host == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	err := maintenance.Perform(ctx, a, m.inc.d.upstreamClient(host.ID, host.Address), m.inc.d.hosts)
	m.inc.d.log.Info("maintenance action", "component", "maintenance", "action", string(a.Kind), "host", a.Host, "epoch", a.Epoch, "err", err)
}

// commit applies changes to the record in force at the time of the write.
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
		m.counters.Refused += uint64(len(changes))
		m.inc.d.log.Info("maintenance plan not committed", "component", "maintenance", "changes", len(changes), "err", err)
		return
	}
	m.counters.Committed(changes)
	for _, c := range changes {
		m.inc.d.log.Info("maintenance committed", "component", "maintenance", "change", string(c.Kind), "host", c.Host, "reason", c.Reason)
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
