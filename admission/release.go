package admission

import (
	"hash/maphash"
	"sort"
	"time"

	"citrongauge.example/citrongauge/upstream"
)

// poolView is the fleet-wide load of one pool, computed from this host's load and the last reports of the others.
type poolView struct {
	capacity vector
	// ownUse is the exact use by this host. fleetUse is the use by all hosts; it is as old as their reports.
	ownUse      vector
	fleetUse    vector
	fleetDemand vector
	teams       map[string]*teamView
	// overdueUrgentTeams are the teams with urgent requests that have waited longer than UrgentWaitLimit.
	overdueUrgentTeams map[string]bool
}

type teamView struct {
	ownDemand   vector // use and waiting demand of this host
	fleetDemand vector // use and waiting demand of all hosts
	fleetUse    vector // use of all hosts
	// localEntitlement is the fraction of the team's entitlement that this host may use without waiting for the other
	// hosts, as a dominant share of the pool.
	localEntitlement float64
	// entitlement is the team's fleet-wide entitlement, as a dominant share of the pool.
	entitlement float64
}

// Release returns the requests that may be dispatched now, in dispatch order. It has acquired slots of the teams'
// grants for them.
func (s *Scheduler) Release(now time.Time) []*Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	var released []*Ticket
	for pool, view := range s.poolViews(now) {
		if now.Before(s.blockedUntil[pool]) {
			continue
		}
		released = append(released, s.releasePool(now, pool, view)...)
	}
	return released
}

func (s *Scheduler) releasePool(now time.Time, pool string, view *poolView) []*Ticket {
	var released []*Ticket
	skipped := make(map[string]bool)
	for {
		q := s.nextQueue(now, pool, view, skipped)
		if q == nil {
			return released
		}
		t := q.head()
		if !s.acquire(q.team, t.Request.Size.Slots) {
			skipped[q.team] = true
			continue
		}
		s.markRunning(now, t)
		view.recordStart(q.team, toVector(t.Request.Size))
		released = append(released, t)
	}
}

func (s *Scheduler) markRunning(now time.Time, t *Ticket) {
	q := t.queue
	q.remove(t)
	q.use = addSize(q.use, t.Request.Size)
	q.running[t] = struct{}{}
	t.state = ticketRunning
	t.started = now
	close(t.Ready)
}

func (v *poolView) recordStart(team string, size vector) {
	v.ownUse = v.ownUse.add(size)
	v.fleetUse = v.fleetUse.add(size)
	v.teams[team].fleetUse = v.teams[team].fleetUse.add(size)
}

// nextQueue returns the queue to start the next request from, or nil if no team may start one. Among the teams that
// may, it selects the one with the smallest ratio of its use by this host to its local entitlement.
func (s *Scheduler) nextQueue(now time.Time, pool string, view *poolView, skipped map[string]bool) *teamQueue {
	var best *teamQueue
	bestRatio := 0.0
	for team, tv := range view.teams {
		q := s.queues[LoadKey{pool, team}]
		if q == nil || q.head() == nil || skipped[team] {
			continue
		}
		if !view.mayStart(now, s.ditherSeed, tv, q) {
			continue
		}
		ratio := toVector(q.use).dominantShare(view.capacity) / (tv.localEntitlement + shareEpsilon)
		if best == nil || ratio < bestRatio || (ratio == bestRatio && team < best.team) {
			best = q
			bestRatio = ratio
		}
	}
	return best
}

// mayStart reports whether a team's next request may start now.
//
// On a contended pool, the team's use must stay within its fleet-wide entitlement, and its use by this host within its
// local entitlement. Both limits are rounded to the nearest whole task: rounding down would leave capacity for up to
// one task per team and host idle. Without the fleet-wide condition, local entitlements just above half a task would be
// rounded up on every host. A host whose use is below the local entitlement compares only its own use with the capacity
// of the pool, since the reports of other hosts are up to a second old; the upstreams reject what does not fit.
//
// With many hosts, the local entitlement can be less than half a task on every host. Each host therefore also rounds it
// up in some time windows, chosen at random with a probability equal to the fraction of a task (see dither).
func (v *poolView) mayStart(now time.Time, seed maphash.Seed, tv *teamView, q *teamQueue) bool {
	size := toVector(q.head().Request.Size)
	if !v.contended() {
		return fits(v.fleetUse, size, v.capacity)
	}
	if tv.fleetUse.add(size.scale(roundingFraction)).dominantShare(v.capacity) > tv.entitlement+shareEpsilon {
		return false
	}
	ownUse := toVector(q.use)
	if ownUse.add(size.scale(roundingFraction)).dominantShare(v.capacity) <= tv.localEntitlement+shareEpsilon {
		return fits(v.ownUse, size, v.capacity)
	}
	if !fits(v.fleetUse, size, v.capacity) {
		return false
	}
	return ownUse.add(size.scale(dither(now, seed, q.team))).dominantShare(v.capacity) <= tv.localEntitlement+shareEpsilon
}

// roundingFraction is the fraction of a task that has to fit into an entitlement for the whole task to be admitted.
const roundingFraction = 0.5

// ditherWindow is the time for which a host keeps the same rounding threshold for a team.
const ditherWindow = 50 * time.Millisecond

// dither returns a pseudo-random rounding threshold between 0 and 1 for a host (by its seed), team and time window.
func dither(now time.Time, seed maphash.Seed, team string) float64 {
	window := now.UnixNano() / int64(ditherWindow)
	hash := maphash.Comparable(seed, ditherKey{team, window})
	const mantissaBits = 53
	return float64(hash>>(64-mantissaBits)) / (1 << mantissaBits)
}

type ditherKey struct {
	team   string
	window int64
}

// fits reports whether size can be added to use without exceeding capacity.
func fits(use, size, capacity vector) bool {
	for r := range size {
		if size[r] > 0 && use[r]+size[r] > capacity[r]+shareEpsilon {
			return false
		}
	}
	return true
}

// contended reports whether the fleet-wide demand exceeds the pool's capacity in any resource.
func (v *poolView) contended() bool {
	for r := range v.fleetDemand {
		if v.capacity[r] > 0 && v.fleetDemand[r] > v.capacity[r] {
			return true
		}
	}
	return false
}

// poolViews computes the fleet-wide load and the entitlements for each pool on which this host has running or waiting
// requests.
func (s *Scheduler) poolViews(now time.Time) map[string]*poolView {
	views := make(map[string]*poolView)
	for _, l := range s.loads(now) {
		view := s.ensurePoolView(views, l.Pool)
		tv := view.ensureTeamView(l.Team)
		tv.ownDemand = toVector(addSize(l.Use, l.Waiting))
		view.ownUse = view.ownUse.add(toVector(l.Use))
		view.addLoad(l)
	}
	for peer, report := range s.peerLoads {
		if now.Sub(report.receivedAt) > LoadTTL {
			delete(s.peerLoads, peer)
			continue
		}
		for _, l := range report.loads {
			if view, ok := views[l.Pool]; ok {
				view.addLoad(l)
			}
		}
	}
	for _, view := range views {
		s.computeEntitlements(view)
	}
	return views
}

func (s *Scheduler) ensurePoolView(poolViews map[string]*poolView, pool string) *poolView {
	view, ok := poolViews[pool]
	if !ok {
		view = &poolView{
			capacity:           toVector(s.config.Pools[pool].Capacity),
			teams:              make(map[string]*teamView),
			overdueUrgentTeams: make(map[string]bool),
		}
		poolViews[pool] = view
	}
	return view
}

func (v *poolView) ensureTeamView(name string) *teamView {
	tv, ok := v.teams[name]
	if !ok {
		tv = &teamView{}
		v.teams[name] = tv
	}
	return tv
}

func (v *poolView) addLoad(l Load) {
	tv := v.ensureTeamView(l.Team)
	tv.fleetUse = tv.fleetUse.add(toVector(l.Use))
	tv.fleetDemand = tv.fleetDemand.add(toVector(addSize(l.Use, l.Waiting)))
	v.fleetUse = v.fleetUse.add(toVector(l.Use))
	v.fleetDemand = v.fleetDemand.add(toVector(addSize(l.Use, l.Waiting)))
	if l.UrgentWaiting > 0 {
		v.overdueUrgentTeams[l.Team] = true
	}
}

// computeEntitlements sets each team's entitlement and local entitlement.
func (s *Scheduler) computeEntitlements(view *poolView) {
	names := make([]string, 0, len(view.teams))
	for name := range view.teams {
		names = append(names, name)
	}
	sort.Strings(names)
	demands := make([]demand, len(names))
	for i, name := range names {
		demands[i] = demand{weight: float64(s.config.Weights[name]), total: view.teams[name].fleetDemand}
	}
	for i, fraction := range entitlements(view.capacity, demands) {
		tv := view.teams[names[i]]
		tv.entitlement = tv.fleetDemand.scale(fraction).dominantShare(view.capacity)
		tv.localEntitlement = tv.ownDemand.scale(fraction).dominantShare(view.capacity)
	}
}

// Preempt selects running requests to preempt and closes the Preempt channel of each. It selects requests on pools
// where a team below its entitlement has urgent requests that have waited longer than UrgentWaitLimit: preemptible
// requests of teams whose use by this host exceeds their local entitlement.
func (s *Scheduler) Preempt(now time.Time) []*Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasOverdueUrgent(now) {
		return nil
	}
	var victims []*Ticket
	for pool, view := range s.poolViews(now) {
		if !view.hasUrgentBelowEntitlement() {
			continue
		}
		victims = append(victims, s.preemptPool(pool, view)...)
	}
	return victims
}

// hasOverdueUrgent reports whether an urgent request on this host, or on another according to its last report, has
// waited longer than UrgentWaitLimit.
func (s *Scheduler) hasOverdueUrgent(now time.Time) bool {
	for _, q := range s.queues {
		if q.overdueUrgentCount(now) > 0 {
			return true
		}
	}
	for _, report := range s.peerLoads {
		for _, l := range report.loads {
			if l.UrgentWaiting > 0 {
				return true
			}
		}
	}
	return false
}

func (v *poolView) hasUrgentBelowEntitlement() bool {
	for team := range v.overdueUrgentTeams {
		tv := v.teams[team]
		if tv.fleetUse.dominantShare(v.capacity) < tv.entitlement-shareEpsilon {
			return true
		}
	}
	return false
}

func (s *Scheduler) preemptPool(pool string, view *poolView) []*Ticket {
	var victims []*Ticket
	for team, tv := range view.teams {
		q := s.queues[LoadKey{pool, team}]
		if q == nil {
			continue
		}
		excess := toVector(q.use).subClamped(q.preemptedUse()).dominantShare(view.capacity) - tv.localEntitlement
		for _, t := range youngestPreemptible(q) {
			share := toVector(t.Request.Size).dominantShare(view.capacity)
			if excess < share*roundingFraction {
				break
			}
			excess -= share
			close(t.Preempt)
			victims = append(victims, t)
		}
	}
	return victims
}

// preemptedUse returns the total size of the running requests that were preempted and have not ended yet.
func (q *teamQueue) preemptedUse() vector {
	var sum vector
	for t := range q.running {
		if t.Preempted() {
			sum = sum.add(toVector(t.Request.Size))
		}
	}
	return sum
}

// Preempted reports whether the request has been preempted since it was last released.
func (t *Ticket) Preempted() bool {
	select {
	case <-t.Preempt:
		return true
	default:
		return false
	}
}

// youngestPreemptible returns the running preemptible requests of a queue that were not preempted yet, the last
// started first, so that preemption loses the least work.
func youngestPreemptible(q *teamQueue) []*Ticket {
	var list []*Ticket
	for t := range q.running {
		if t.Request.Preemptible && !t.Preempted() {
			list = append(list, t)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].started.After(list[j].started) })
	return list
}

// SumSizes returns the sum of sizes.
func SumSizes(sizes ...upstream.Size) upstream.Size {
	var sum upstream.Size
	for _, s := range sizes {
		sum = addSize(sum, s)
	}
	return sum
}
