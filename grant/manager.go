package grant

import (
	"math/rand/v2"
	"sort"
	"time"

	"golang.org/x/time/rate"
)

const (
	// fleetReadRate and fleetWriteRate limit the sustained rates of store calls of all hosts together, per second.
	// callBurst is the number of calls that one host may make above its share of a rate; it suffices for one call for
	// each of 76 teams after a restart.
	fleetReadRate  = 200
	fleetWriteRate = 76
	callBurst      = 80
	// fleetBurstRate limits the rate of calls of all hosts together during bursts, per second. burstLimiterSize is the
	// bucket size of each host's limiter for it.
	fleetBurstRate   = 1000
	burstLimiterSize = 8
	// urgentCallReserve is the part of callBurst that only urgent calls may use.
	urgentCallReserve = 20

	// conflictBackoff is doubled for each consecutive rejected write, up to maxBackoffDoublings times. The delay
	// before the next call is random and shorter than the result.
	conflictBackoff     = 10 * time.Millisecond
	maxBackoffDoublings = 6
	// retryDelay is the mean delay after a failed call other than a rejected write, and the fixed delay after reading
	// a ledger that cannot be decoded.
	retryDelay = time.Second
	// clearedRetention is how long a cleared host that is in no ledger is remembered.
	clearedRetention = 10 * time.Minute
	// clearedScanInterval is the interval at which the ledgers are searched for cleared hosts.
	clearedScanInterval = time.Second
)

// Manager decides on the grants of one host incarnation for all teams. It must be used by a single goroutine, and its
// state changes only in Step.
type Manager struct {
	self       string
	limiter    *SlotLimiter
	random     *rand.Rand
	teams      map[string]*team
	teamOrder  []string // names of all teams, sorted
	roundStart int      // index in teamOrder at which the next tick starts, so that no team is always last

	revision    uint64 // of the last control record
	version     uint64 // bundle version of that record
	accepted    uint64 // accepted bundle version of that record
	isMember    bool
	leaving     bool
	rank        int // of this host in an order that alternates between the zones; see rank
	memberCount int
	listedHosts map[string]bool // hosts in the roster and departed hosts of the last record
	freshAt     time.Time       // latest Tick.StoreConfirmedAt
	// clearedSince maps each cleared host to the time at which this host found that it is cleared. A host is cleared
	// when it has left the control record and can no longer start work. Incarnations never return.
	clearedSince  map[string]time.Time
	clearedScanAt time.Time

	lastOp       uint64
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
	burstLimiter *rate.Limiter
}

// NewManager returns the manager of the given host incarnation. The seed is for jitter only.
func NewManager(self string, limiter *SlotLimiter, seed uint64) *Manager {
	return &Manager{
		self:         self,
		limiter:      limiter,
		random:       rand.New(rand.NewPCG(seed, 0)),
		teams:        map[string]*team{},
		clearedSince: map[string]time.Time{},
		readLimiter:  rate.NewLimiter(fleetReadRate, callBurst),
		writeLimiter: rate.NewLimiter(fleetWriteRate, callBurst),
		burstLimiter: rate.NewLimiter(fleetBurstRate, burstLimiterSize),
	}
}

// Step handles one event and returns the store calls to make. now is read from the host's monotonic clock and must
// never decrease.
func (m *Manager) Step(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case Tick:
		return m.handleTick(now, e)
	case Config:
		m.handleConfig(now, e)
	case Demand:
		return m.handleDemand(now, e)
	case PeerDemand:
		for name, t := range m.teams {
			t.peers = e.Teams[name]
		}
	case Leave:
		m.leaving = true
	case ReadDone:
		return m.completeOperation(now, e.Team, e.Op, func(t *team, op *operation) { m.handleRead(now, t, op, e) })
	case WriteDone:
		return m.completeOperation(now, e.Team, e.Op, func(t *team, op *operation) { m.handleWrite(now, t, op, e) })
	}
	return nil
}

// Unmet returns, for each team with unmet demand, the slots of its waiting tasks. Hosts report it to their peers.
func (m *Manager) Unmet() map[string]int {
	unmet := map[string]int{}
	for name, t := range m.teams {
		if n := t.unmet(m.limiter.InUse(name)); n > 0 {
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

func (m *Manager) handleTick(now time.Time, e Tick) []Effect {
	if e.StoreConfirmedAt.After(m.freshAt) {
		m.freshAt = e.StoreConfirmedAt
	}
	m.limiter.releaseExpired(now)
	if now.Sub(m.clearedScanAt) >= clearedScanInterval {
		m.clearedScanAt = now
		m.findClearedHosts(now)
	}
	var effects []Effect
	for i := range m.teamOrder {
		t := m.teams[m.teamOrder[(m.roundStart+i)%len(m.teamOrder)]]
		used, peak := m.limiter.sampleUse(t.name)
		t.contendedPeak.add(now, peak)
		t.scarcePeak.add(now, peak)
		t.amplePeak.add(now, peak)
		effects = m.startDueCall(now, t, used, effects)
		m.publishLimit(t)
	}
	m.roundStart++
	return effects
}

func (m *Manager) handleDemand(now time.Time, e Demand) []Effect {
	var effects []Effect
	for _, name := range sortedNames(e.Teams) {
		t := m.teams[name]
		if t == nil {
			continue
		}
		isNew := t.waiting.Slots == 0
		t.waiting = e.Teams[name]
		if isNew && t.waiting.Slots > 0 {
			// Demand that merely changed waits for the next tick, which treats all teams equally.
			effects = m.startDueCall(now, t, m.limiter.InUse(name), effects)
			m.publishLimit(t)
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

// publishLimit sets the team's limit in the SlotLimiter, which the goroutines that handle traffic use.
func (m *Manager) publishLimit(t *team) {
	limit := 0
	if m.isMember {
		limit = t.limit()
	}
	m.limiter.setLimit(t.name, limit)
}

// startDueCall starts a store call for the team if one is due. A team has at most one outstanding call.
func (m *Manager) startDueCall(now time.Time, t *team, used int, effects []Effect) []Effect {
	if t.op != nil || !m.isMember || now.Before(t.notBefore) {
		return effects
	}
	minEntry := m.minEntry(t.cap)
	if !t.hasView {
		if t.waiting.Slots == 0 && minEntry == 0 {
			return effects
		}
		return m.startRead(now, t, t.waiting.Slots > 0, effects)
	}
	target, why := m.plan(now, t, used, minEntry)
	if !m.isDue(now, t, why) {
		return effects
	}
	if why == reasonRefresh {
		if now.Sub(t.viewSentAt) < t.refreshAge(used) {
			return effects
		}
		return m.startRead(now, t, true, effects)
	}
	if t.stale || now.Sub(t.viewSentAt) > maxViewAge {
		return m.startRead(now, t, why.urgent(), effects)
	}
	return m.startWrite(now, t, target, why, effects)
}

// plan returns the entry to write for this host and the reason for the change.
func (m *Manager) plan(now time.Time, t *team, used, minEntry int) (int, reason) {
	newCap, _ := t.capToWrite(m.version, m.accepted)
	entry := t.entry()
	sum := entry + m.otherEntries(now, t)
	s := sizeInputs{
		now:      now,
		used:     used,
		minEntry: minEntry,
		cap:      newCap,
		sum:      sum,
		maxEntry: newCap - (sum - entry),
		mayGrow:  m.version >= t.view.Version && (!t.suspended || entry == 0),
	}
	if m.leaving {
		s.mayGrow = false
		s.maxEntry = min(s.maxEntry, 0)
		s.cap = 0
	}
	target, why := t.targetEntry(s)
	if t.mustWriteVersion(m.version) || t.uncertainWrite || t.suspended && entry > 0 {
		return min(target, entry), reasonReduce
	}
	if why == reasonReduce && target == entry {
		why = reasonNone
		if t.unmet(used) > 0 {
			why = reasonRefresh
		}
	}
	return target, why
}

// entryCounts reports whether host is another host whose entry still counts towards the cap, that is, whose slots have
// not been reclaimed.
func (m *Manager) entryCounts(now time.Time, host string) bool {
	since, isCleared := m.clearedSince[host]
	return host != m.self && !(isCleared && now.Sub(since) >= ReclaimAfter)
}

// otherEntries returns the sum of the other hosts' entries that count towards the cap.
func (m *Manager) otherEntries(now time.Time, t *team) int {
	if !t.hasClearedEntry {
		return t.sum - t.entry()
	}
	sum := 0
	for host, slots := range t.view.Entries {
		if m.entryCounts(now, host) {
			sum += slots
		}
	}
	return sum
}

// isDue reports whether a planned call may start. A call is delayed by a random jitter from the time at which it was
// first planned for this reason.
func (m *Manager) isDue(now time.Time, t *team, why reason) bool {
	if why == reasonNone {
		t.plannedReason = reasonNone
		return false
	}
	if why == reasonRequest && now.Sub(t.lastRequestAt) < requestInterval {
		return false
	}
	if t.plannedReason != why {
		t.plannedReason = why
		t.dueAt = now.Add(m.jitter(why.jitter()))
	}
	return !now.Before(t.dueAt)
}

func (m *Manager) jitter(longest time.Duration) time.Duration {
	if longest <= 0 {
		return 0
	}
	return time.Duration(m.random.Int64N(int64(longest)))
}

func (m *Manager) handleConfig(now time.Time, e Config) {
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
		m.publishLimit(t)
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
		if !listed && t.entry() == 0 && t.op == nil && !t.uncertainWrite && m.limiter.removeIfUnused(name) {
			delete(m.teams, name)
			continue
		}
		t.setCap(caps[name], m.version, skipped, m.lastOp)
	}
	m.teamOrder = sortedNames(m.teams)
}
