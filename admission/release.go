package admission

import (
	"hash/maphash"
	"sort"
	"time"

	"citrongauge.example/citrongauge/upstream"
)

// poolView is the fleet-wide load of one pool, as far as this host knows it.
type poolView struct {
	capacity vector
	// own is the use of this host, exact; use is that of all hosts, as old as their reports.
	own    vector
	use    vector
	wanted vector
	teams  map[string]*teamView
	// urgentTeams are teams with urgent work that has waited too long.
	urgentTeams map[string]bool
}

type teamView struct {
	own   vector // use and waiting of this host
	total vector // use and waiting of all hosts
	use   vector // use of all hosts
	// portion is this host's part of the team's entitlement, as a dominant share of the pool.
	portion float64
	// entitled is the team's entitlement, as a dominant share of the pool.
	entitled float64
}

// Release returns the requests that may be dispatched now, in order. Their teams' slots are acquired.
func (s *Scheduler) Release(now time.Time) []*Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	var released []*Ticket
	for pool, view := range s.views(now) {
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
		s.dispatch(now, t)
		view.start(q.team, toVector(t.Request.Size))
		released = append(released, t)
	}
}

func (s *Scheduler) dispatch(now time.Time, t *Ticket) {
	q := t.queue
	q.remove(t)
	q.use = addSize(q.use, t.Request.Size)
	q.running[t] = struct{}{}
	t.state = ticketRunning
	t.started = now
	close(t.Ready)
}

func (v *poolView) start(team string, size vector) {
	v.own = v.own.add(size)
	v.use = v.use.add(size)
	v.teams[team].use = v.teams[team].use.add(size)
}

// nextQueue returns the queue whose team is furthest below its entitlement and may start its next request, or nil.
func (s *Scheduler) nextQueue(now time.Time, pool string, view *poolView, skipped map[string]bool) *teamQueue {
	var best *teamQueue
	bestRatio := 0.0
	for team, tv := range view.teams {
		q := s.queues[LoadKey{pool, team}]
		if q == nil || q.head() == nil || skipped[team] {
			continue
		}
		if !view.mayStart(now, s.seed, tv, q) {
			continue
		}
		ratio := toVector(q.use).dominant(view.capacity) / (tv.portion + shareEpsilon)
		if best == nil || ratio < bestRatio || (ratio == bestRatio && team < best.team) {
			best = q
			bestRatio = ratio
		}
	}
	return best
}

// mayStart states whether a team's next request may start now.
//
// On a contended pool, the team's use must stay within its fleet-wide entitlement and this host's within its part of
// it, both rounded to the nearest whole task: rounding down would leave up to one task for each team and host idle.
// Without the first condition, parts just above half a task would be rounded up on every host. A host that is below
// its part does not trust that the pool is full, since the reports of others are up to a second old; the upstreams
// refuse what does not fit.
//
// With many hosts a part can stay below half a task everywhere. Therefore a host also starts a task above its part in
// a share of the time that corresponds to it.
func (v *poolView) mayStart(now time.Time, seed maphash.Seed, tv *teamView, q *teamQueue) bool {
	size := toVector(q.head().Request.Size)
	if !v.contended() {
		return fits(v.use, size, v.capacity)
	}
	if tv.use.add(size.scale(roundingPart)).dominant(v.capacity) > tv.entitled+shareEpsilon {
		return false
	}
	own := toVector(q.use)
	if own.add(size.scale(roundingPart)).dominant(v.capacity) <= tv.portion+shareEpsilon {
		return fits(v.own, size, v.capacity)
	}
	if !fits(v.use, size, v.capacity) {
		return false
	}
	return own.add(size.scale(dither(now, seed, q.team))).dominant(v.capacity) <= tv.portion+shareEpsilon
}

// roundingPart is the part of a task that has to fit into an entitlement.
const roundingPart = 0.5

// ditherWindow is the time for which a host keeps the same rounding of a team's part.
const ditherWindow = 50 * time.Millisecond

// dither returns a number from 0 to 1 that differs between hosts, teams and time windows.
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

// fits states whether size can be added to use within capacity.
func fits(use, size, capacity vector) bool {
	for r := range size {
		if size[r] > 0 && use[r]+size[r] > capacity[r]+shareEpsilon {
			return false
		}
	}
	return true
}

// contended states whether the fleet wants more of the pool than it has.
func (v *poolView) contended() bool {
	for r := range v.wanted {
		if v.capacity[r] > 0 && v.wanted[r] > v.capacity[r] {
			return true
		}
	}
	return false
}

// views computes the fleet-wide load and the entitlements of all pools in which this host has work.
func (s *Scheduler) views(now time.Time) map[string]*poolView {
	views := make(map[string]*poolView)
	for _, l := range s.loads(now) {
		view := s.view(views, l.Pool)
		tv := view.team(l.Team)
		tv.own = toVector(addSize(l.Use, l.Waiting))
		view.own = view.own.add(toVector(l.Use))
		view.addLoad(l)
	}
	for peer, report := range s.peers {
		if now.Sub(report.at) > LoadTTL {
			delete(s.peers, peer)
			continue
		}
		for _, l := range report.loads {
			if view, ok := views[l.Pool]; ok {
				view.addLoad(l)
			}
		}
	}
	for _, view := range views {
		s.entitle(view)
	}
	return views
}

func (s *Scheduler) view(views map[string]*poolView, pool string) *poolView {
	view, ok := views[pool]
	if !ok {
		view = &poolView{
			capacity:    toVector(s.config.Pools[pool].Capacity),
			teams:       make(map[string]*teamView),
			urgentTeams: make(map[string]bool),
		}
		views[pool] = view
	}
	return view
}

func (v *poolView) team(name string) *teamView {
	tv, ok := v.teams[name]
	if !ok {
		tv = &teamView{}
		v.teams[name] = tv
	}
	return tv
}

func (v *poolView) addLoad(l Load) {
	tv := v.team(l.Team)
	tv.use = tv.use.add(toVector(l.Use))
	tv.total = tv.total.add(toVector(addSize(l.Use, l.Waiting)))
	v.use = v.use.add(toVector(l.Use))
	v.wanted = v.wanted.add(toVector(addSize(l.Use, l.Waiting)))
	if l.UrgentWaiting > 0 {
		v.urgentTeams[l.Team] = true
	}
}

// entitle computes each team's entitlement and this host's part of it.
func (s *Scheduler) entitle(view *poolView) {
	names := make([]string, 0, len(view.teams))
	for name := range view.teams {
		names = append(names, name)
	}
	sort.Strings(names)
	demands := make([]demand, len(names))
	for i, name := range names {
		demands[i] = demand{weight: float64(s.config.Weights[name]), total: view.teams[name].total}
	}
	for i, fraction := range entitlements(view.capacity, demands) {
		tv := view.teams[names[i]]
		tv.entitled = tv.total.scale(fraction).dominant(view.capacity)
		tv.portion = tv.own.scale(fraction).dominant(view.capacity)
	}
}

// Preempt returns running requests that have to give their capacity back: a team has urgent work that waited too
// long and is below its entitlement, and this host runs preemptible work of teams above theirs. The Preempt channel
// of each is closed.
func (s *Scheduler) Preempt(now time.Time) []*Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.urgentWaits(now) {
		return nil
	}
	var victims []*Ticket
	for pool, view := range s.views(now) {
		if !view.urgentBelowEntitlement() {
			continue
		}
		victims = append(victims, s.preemptPool(pool, view)...)
	}
	return victims
}

// urgentWaits states whether urgent work anywhere has waited too long, as far as this host knows.
func (s *Scheduler) urgentWaits(now time.Time) bool {
	for _, q := range s.queues {
		if q.urgentOverdue(now) > 0 {
			return true
		}
	}
	for _, report := range s.peers {
		for _, l := range report.loads {
			if l.UrgentWaiting > 0 {
				return true
			}
		}
	}
	return false
}

func (v *poolView) urgentBelowEntitlement() bool {
	for team := range v.urgentTeams {
		tv := v.teams[team]
		if tv.use.dominant(v.capacity) < tv.entitled-shareEpsilon {
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
		excess := toVector(q.use).sub(q.returning()).dominant(view.capacity) - tv.portion
		for _, t := range youngestPreemptible(q) {
			part := toVector(t.Request.Size).dominant(view.capacity)
			if excess < part*roundingPart {
				break
			}
			excess -= part
			close(t.Preempt)
			victims = append(victims, t)
		}
	}
	return victims
}

// returning is the size of the running requests that were preempted and have not ended yet.
func (q *teamQueue) returning() vector {
	var sum vector
	for t := range q.running {
		if t.Preempted() {
			sum = sum.add(toVector(t.Request.Size))
		}
	}
	return sum
}

// Preempted states whether the request was asked to give its capacity back since it was last released.
func (t *Ticket) Preempted() bool {
	select {
	case <-t.Preempt:
		return true
	default:
		return false
	}
}

// youngestPreemptible returns the preemptible requests of a queue that were not preempted yet, youngest first, so
// that the least work is lost.
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

// Sizes adds sizes up.
func Sizes(sizes ...upstream.Size) upstream.Size {
	var sum upstream.Size
	for _, s := range sizes {
		sum = addSize(sum, s)
	}
	return sum
}
