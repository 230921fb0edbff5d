package grant

import (
	"math/rand/v2"
	"sort"
	"time"

	"golang.org/x/time/rate"
)

const (
	// fleetReads and fleetWrites are the sustained rates of store calls of all hosts together, per second;
	// burstCalls is what one host may spend above its part, enough for each of 76 teams after a restart.
	fleetReads  = 200
	fleetWrites = 76
	burstCalls  = 80
	// fleetPeak bounds the rate of all hosts during bursts, per second.
	fleetPeak = 1000
	peakBurst = 8
	// reservedCalls is the part of a host's burst that only urgent calls may use.
	reservedCalls = 20

	backoffStep  = 10 * time.Millisecond
	maxConflicts = 6
	// retryAfter is the wait after a call without an answer.
	retryAfter = time.Second
	// goneMemory is how long a cleared host that no ledger names is remembered.
	goneMemory = 10 * time.Minute
	// noteInterval is the interval of the search for cleared hosts in the ledgers.
	noteInterval = time.Second
)

// Manager decides on the grants of one host incarnation for all teams. It is owned by one goroutine and changes
// only in Step.
type Manager struct {
	self    string
	account *Account
	random  *rand.Rand
	teams   map[string]*team
	order   []string // names of teams, sorted
	first   int      // index in order at which the next round begins, so that no team is always last

	revision uint64
	version  uint64
	accepted uint64
	member   bool
	leaving  bool
	rank     int // of this host, in an order that spreads over the zones
	members  int
	roster   map[string]bool // roster and departed hosts
	freshAt  time.Time
	// gone holds cleared hosts, with the time at which this host first saw them so. Incarnations never return.
	gone    map[string]time.Time
	notedAt time.Time

	lastOp uint64
	reads  *rate.Limiter
	writes *rate.Limiter
	paced  *rate.Limiter
}

// NewManager returns the manager of the given host incarnation. The seed is for jitter only.
func NewManager(self string, account *Account, seed uint64) *Manager {
	return &Manager{
		self:    self,
		account: account,
		random:  rand.New(rand.NewPCG(seed, 0)),
		teams:   map[string]*team{},
		gone:    map[string]time.Time{},
		reads:   rate.NewLimiter(fleetReads, burstCalls),
		writes:  rate.NewLimiter(fleetWrites, burstCalls),
		paced:   rate.NewLimiter(fleetPeak, peakBurst),
	}
}

// Step takes one event and returns the calls to make. now is on the host's monotonic clock and never goes back.
func (m *Manager) Step(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case Tick:
		return m.tick(now, e)
	case Config:
		m.config(now, e)
	case Demand:
		return m.demand(now, e)
	case PeerDemand:
		for name, t := range m.teams {
			t.peers = e.Teams[name]
		}
	case Leave:
		m.leaving = true
	case ReadDone:
		return m.answered(now, e.Team, e.Op, func(t *team, op *operation) { m.read(now, t, op, e) })
	case WriteDone:
		return m.answered(now, e.Team, e.Op, func(t *team, op *operation) { m.written(now, t, op, e) })
	}
	return nil
}

// Unmet returns, for each team, the waiting slots that lack a grant. Hosts report it to their peers.
func (m *Manager) Unmet() map[string]int {
	unmet := map[string]int{}
	for name, t := range m.teams {
		if n := t.unmet(m.account.InUse(name)); n > 0 {
			unmet[name] = n
		}
	}
	return unmet
}

// Granted returns the confirmed entry of this host for a team.
func (m *Manager) Granted(name string) int {
	if t := m.teams[name]; t != nil {
		return t.entry()
	}
	return 0
}

func (m *Manager) tick(now time.Time, e Tick) []Effect {
	if e.FreshAt.After(m.freshAt) {
		m.freshAt = e.FreshAt
	}
	m.account.expire(now)
	if now.Sub(m.notedAt) >= noteInterval {
		m.notedAt = now
		m.noteGone(now)
	}
	var effects []Effect
	for i := range m.order {
		t := m.teams[m.order[(m.first+i)%len(m.order)]]
		used, high := m.account.sample(t.name)
		t.surge.add(now, high)
		t.recent.add(now, high)
		t.relaxed.add(now, high)
		effects = m.decide(now, t, used, effects)
		m.apply(t)
	}
	m.first++
	return effects
}

func (m *Manager) demand(now time.Time, e Demand) []Effect {
	var effects []Effect
	for _, name := range sortedNames(e.Teams) {
		t := m.teams[name]
		if t == nil {
			continue
		}
		isNew := t.waiting.Slots == 0
		t.waiting = e.Teams[name]
		if isNew && t.waiting.Slots > 0 {
			// The others wait for the next tick, which treats all teams alike.
			effects = m.decide(now, t, m.account.InUse(name), effects)
			m.apply(t)
		}
	}
	return effects
}

func sortedNames[V any](byName map[string]V) []string {
	names := make([]string, 0, len(byName))
	for name := range byName {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// apply publishes the team's limit to the traffic goroutines.
func (m *Manager) apply(t *team) {
	limit := 0
	if m.member {
		limit = t.limit()
	}
	m.account.setLimit(t.name, limit)
}

// decide starts at most one call for a team. A team has one call on its way at most.
func (m *Manager) decide(now time.Time, t *team, used int, effects []Effect) []Effect {
	if t.op != nil || !m.member || now.Before(t.notBefore) {
		return effects
	}
	floor := m.floor(t.cap)
	if !t.known {
		if t.waiting.Slots == 0 && floor == 0 {
			return effects
		}
		return m.startRead(now, t, t.waiting.Slots > 0, effects)
	}
	want, why := m.plan(now, t, used, floor)
	if !m.isDue(now, t, why) {
		return effects
	}
	if why == refresh {
		if now.Sub(t.viewAt) < t.refreshAfter(used) {
			return effects
		}
		return m.startRead(now, t, true, effects)
	}
	if t.stale || now.Sub(t.viewAt) > viewAge {
		return m.startRead(now, t, why.urgent(), effects)
	}
	return m.startWrite(now, t, want, why, effects)
}

// plan returns the entry to write and the reason.
func (m *Manager) plan(now time.Time, t *team, used, floor int) (int, reason) {
	limit, _ := t.nextCap(m.version, m.accepted)
	entry := t.entry()
	sum := entry + m.others(now, t)
	s := sizing{
		now:   now,
		used:  used,
		floor: floor,
		cap:   limit,
		sum:   sum,
		room:  limit - (sum - entry),
		raise: m.version >= t.view.Version && (!t.suspended || entry == 0),
	}
	if m.leaving {
		s.raise = false
		s.room = min(s.room, 0)
		s.cap = 0
	}
	want, why := t.want(s)
	if t.mustRecord(m.version) || t.doubt || t.suspended && entry > 0 {
		return min(want, entry), lower
	}
	if why == lower && want == entry {
		why = nothing
		if t.unmet(used) > 0 {
			why = refresh
		}
	}
	return want, why
}

// counts says whether the entry of another host still counts.
func (m *Manager) counts(now time.Time, host string) bool {
	since, isGone := m.gone[host]
	return host != m.self && !(isGone && now.Sub(since) >= ReclaimAfter)
}

// others returns the sum of the other hosts' entries that count.
func (m *Manager) others(now time.Time, t *team) int {
	if !t.namesGone {
		return t.sum - t.entry()
	}
	sum := 0
	for host, slots := range t.view.Entries {
		if m.counts(now, host) {
			sum += slots
		}
	}
	return sum
}

// isDue delays a planned call by its jitter, counted from the first time it was planned.
func (m *Manager) isDue(now time.Time, t *team, why reason) bool {
	if why == nothing {
		t.planned = nothing
		return false
	}
	if why == ask && now.Sub(t.lastAsk) < askInterval {
		return false
	}
	if t.planned != why {
		t.planned = why
		t.due = now.Add(m.jitter(why.jitter()))
	}
	return !now.Before(t.due)
}

func (m *Manager) jitter(longest time.Duration) time.Duration {
	if longest <= 0 {
		return 0
	}
	return time.Duration(m.random.Int64N(int64(longest)))
}

func (m *Manager) config(now time.Time, e Config) {
	if e.Record.Revision < m.revision {
		return
	}
	skipped := m.version > 0 && e.Record.AcceptedVersion > m.version
	m.setRoster(now, e.Record)
	m.revision = e.Record.Revision
	m.accepted = e.Record.AcceptedVersion
	if e.Record.BundleVersion != m.version {
		m.version = e.Record.BundleVersion
		m.setCaps(e.Caps, skipped)
	}
	for _, t := range m.teams {
		m.apply(t)
	}
}

func (m *Manager) setCaps(caps map[string]int, skipped bool) {
	for name := range caps {
		if m.teams[name] == nil {
			m.teams[name] = newTeam(name, m.self)
		}
	}
	for name, t := range m.teams {
		_, listed := caps[name]
		if !listed && t.entry() == 0 && t.op == nil && !t.doubt && m.account.drop(name) {
			delete(m.teams, name)
			continue
		}
		t.setCap(caps[name], m.version, skipped, m.lastOp)
	}
	m.order = sortedNames(m.teams)
}
