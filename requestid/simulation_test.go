package requestid

import (
	"fmt"
	"math/rand/v2"
	"time"

	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/result"
	"citrongauge.example/citrongauge/upstream"
)

// isolationTime is how long a partitioned host may continue to start work.
const isolationTime = 8 * time.Second

// simulation simulates hosts and upstreams with a fake clock. A frozen host later continues where it was frozen,
// before it receives any new information.
type simulation struct {
	now            time.Time
	rng            *rand.Rand
	record         control.Record
	hosts          []*simHost
	upstreams      map[string]*simUpstream
	network        []timedAction
	evicted        map[string]time.Time
	ids            []ID
	executions     map[string]int         // number of executions of each ID
	reportedNotRun map[string]result.Code // codes of the outcomes that say "not run"
	lossy          bool                   // Fence calls and responses to Start may be lost
	violation      string                 // the first violated property, or empty
}

type timedAction struct {
	at  time.Time
	run func()
}

type simHost struct {
	sim         *simulation
	id          string
	skew        time.Duration
	issuer      *Issuer
	table       *Table
	record      control.Record
	freshAt     time.Time // last sync; the permission to start work counts from it
	lastSeen    time.Time // last sync, as the control plane sees it
	frozen      bool
	partitioned bool // cannot reach the store and the peers
	isolated    bool // was partitioned since its last sync, and may start work for isolationTime
	dead        bool
	inbox       []timedAction
}

type simUpstream struct {
	bootedAt time.Time
	attempts map[string]*upstream.Attempt
	expiry   map[string]time.Time
	fenced   map[string]bool
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		now: start, rng: rand.New(rand.NewPCG(seed, 1)), upstreams: map[string]*simUpstream{},
		evicted: map[string]time.Time{}, executions: map[string]int{}, reportedNotRun: map[string]result.Code{},
	}
	for i := range 4 {
		host, pool := fmt.Sprintf("u%d", i), "p"
		if i == 3 {
			pool = "q"
		}
		s.restartUpstream(host)
		s.upstreams[host].bootedAt = start.Add(-time.Hour)
		s.record.Assignments = append(s.record.Assignments, control.Assignment{Host: host, Pool: pool})
	}
	for range 3 {
		s.join()
	}
	return s
}

func (s *simulation) restartUpstream(host string) {
	s.upstreams[host] = &simUpstream{s.now, map[string]*upstream.Attempt{}, map[string]time.Time{}, map[string]bool{}}
}

func (s *simulation) join() {
	h := &simHost{sim: s, id: fmt.Sprintf("h%d", len(s.hosts)), lastSeen: s.now}
	h.skew = time.Duration(s.rng.Int64N(int64(MaxClockSkew))) - MaxClockSkew/2
	h.issuer, _ = NewIssuer(h.id, h.clock(), secret)
	h.table = NewTable(h.id, h.clock(), 100, 1000)
	s.hosts = append(s.hosts, h)
	s.updateRecord(func(r *control.Record) { r.Roster = append(r.Roster, control.Member{ID: h.id}) })
	h.sync()
}

func (s *simulation) updateRecord(edit func(*control.Record)) {
	r := s.record
	r.Roster = append([]control.Member(nil), r.Roster...)
	r.Departed = append([]control.Member(nil), r.Departed...)
	r.Assignments = append([]control.Assignment(nil), r.Assignments...)
	edit(&r)
	r.Revision++
	s.record = r
}

func (s *simulation) chance(p float64) bool { return s.rng.Float64() < p }

func (s *simulation) send(do func()) {
	s.network = append(s.network, timedAction{s.now.Add(time.Duration(s.rng.IntN(400)) * time.Millisecond), do})
}

func runDue(now time.Time, list *[]timedAction) {
	all := *list
	*list = nil
	for _, e := range all {
		if now.Before(e.at) {
			*list = append(*list, e)
			continue
		}
		e.run()
	}
}

func (s *simulation) step(d time.Duration) {
	s.now = s.now.Add(d)
	runDue(s.now, &s.network)
	for _, h := range s.hosts {
		if h.dead || h.frozen {
			continue
		}
		runDue(s.now, &h.inbox)
		if !h.partitioned && s.chance(0.5) {
			h.sync()
		}
		if _, ok := h.record.Member(h.id); !ok {
			h.dead = true // the process continues as a new incarnation
			s.join()
		}
	}
	for _, h := range s.hosts {
		wait := control.WithClockDrift(control.AttestTTL + upstream.ReservationTTL)
		if h.isolated {
			wait += control.WithClockDrift(isolationTime)
		}
		if _, ok := s.record.Member(h.id); ok && s.now.Sub(h.lastSeen) > control.EvictAfter {
			s.evicted[h.id] = s.now
			s.updateRecord(func(r *control.Record) {
				r.Roster = without(r.Roster, h.id)
				r.Departed = append(r.Departed, control.Member{ID: h.id})
			})
		}
		if at, ok := s.evicted[h.id]; ok && s.now.Sub(at) > wait {
			delete(s.evicted, h.id)
			s.updateRecord(func(r *control.Record) { r.Departed = without(r.Departed, h.id) })
		}
	}
}

func without(members []control.Member, id string) (rest []control.Member) {
	for _, m := range members {
		if m.ID != id {
			rest = append(rest, m)
		}
	}
	return rest
}

func (h *simHost) clock() time.Time { return h.sim.now.Add(h.skew) }

func (h *simHost) sync() {
	h.record, h.freshAt, h.lastSeen, h.isolated = h.sim.record, h.sim.now, h.sim.now, false
}

func (h *simHost) permitted() bool {
	_, ok := h.record.Member(h.id)
	ttl := control.PermitTTL
	if h.isolated {
		ttl = isolationTime
	}
	return ok && h.sim.now.Sub(h.freshAt) < ttl
}

func (h *simHost) schedule(run func()) { h.inbox = append(h.inbox, timedAction{h.sim.now, run}) }

// submit submits an ID to the host, which forwards it to the issuer. If the issuer cannot be reached, the host fences
// the ID at the upstreams and resolves its outcome.
func (h *simHost) submit(id ID) {
	sim := h.sim
	for _, issuer := range sim.hosts {
		if issuer.id == id.Issuer && !issuer.dead && !issuer.frozen && (issuer == h || !issuer.partitioned && !h.partitioned) {
			issuer.submitAsIssuer(id)
			return
		}
	}
	record := h.record
	targets, outcome, fence := FenceTargets(id, &record, "p")
	if !fence {
		sim.recordOutcome(id, outcome)
		return
	}
	responses := map[string]FenceResponse{}
	for _, host := range targets {
		sim.send(func() {
			responses[host] = sim.fence(host, id)
			if len(responses) == len(targets) {
				h.schedule(func() { sim.recordOutcome(id, ResolveOutcome(id, h.clock(), &record, "p", responses)) })
			}
		})
	}
}

func (s *simulation) fence(host string, id ID) FenceResponse {
	if s.lossy && s.chance(0.1) {
		return FenceResponse{Err: upstream.ErrUnreachable}
	}
	u := s.upstreams[host]
	u.fenced[id.String()] = true
	attempt := upstream.Attempt{State: upstream.StateUnseen}
	if a := u.attempts[id.String()]; a != nil {
		if a.State == upstream.StateReserved {
			a.State = upstream.StateExpired
		}
		attempt = *a
	}
	return FenceResponse{Result: upstream.FenceResult{Attempt: attempt, Uptime: s.now.Sub(u.bootedAt)}}
}

func (h *simHost) submitAsIssuer(id ID) {
	entry, first, err := h.table.Begin(h.clock(), id, Digest{1})
	if err != nil {
		return
	}
	if first {
		h.reserveAndStart(id, entry, 3)
		return
	}
	h.sim.recordOutcome(id, entry.Outcome())
}

func (h *simHost) finishEntry(id ID, entry *Entry, code result.Code) {
	entry.Finish(h.clock(), Outcome{Code: code})
	h.sim.recordOutcome(id, entry.Outcome())
}

// reserveAndStart reserves at a random upstream of the pool, checks the permission again and sends Start. It retries
// only if the request was definitely not started.
func (h *simHost) reserveAndStart(id ID, entry *Entry, attemptsLeft int) {
	sim := h.sim
	if attemptsLeft == 0 || !h.permitted() {
		h.finishEntry(id, entry, result.RetriesExhausted)
		return
	}
	var pool []string
	for _, a := range h.record.Assignments {
		if a.Pool == "p" {
			pool = append(pool, a.Host)
		}
	}
	host, key := pool[sim.rng.IntN(len(pool))], id.String()
	retry := func() { h.schedule(func() { h.reserveAndStart(id, entry, attemptsLeft-1) }) }
	sim.send(func() {
		u := sim.upstreams[host]
		if u.attempts[key] != nil || u.fenced[key] {
			retry()
			return
		}
		a := &upstream.Attempt{State: upstream.StateReserved}
		u.attempts[key], u.expiry[key] = a, sim.now.Add(upstream.ReservationTTL)
		h.schedule(func() {
			if !h.permitted() {
				retry()
				return
			}
			h.schedule(func() { sim.send(func() { h.startAttempt(host, a, id, entry, retry) }) })
		})
	})
}

// startAttempt handles Start at the upstream and sends the response to the host.
func (h *simHost) startAttempt(host string, a *upstream.Attempt, id ID, entry *Entry, retry func()) {
	sim, key := h.sim, id.String()
	u := sim.upstreams[host]
	if u.attempts[key] != a || a.State != upstream.StateReserved || sim.now.After(u.expiry[key]) {
		a.State = upstream.StateExpired
		retry()
		return
	}
	a.State = upstream.StateRunning
	sim.executions[key]++
	sim.checkAtMostOnce()
	sim.send(func() {
		a.State = upstream.StateDone
		code := result.OK
		if sim.lossy && sim.chance(0.3) {
			code = result.StartAnswerLost
		}
		h.schedule(func() { h.finishEntry(id, entry, code) })
	})
}

func (s *simulation) recordOutcome(id ID, outcome Outcome) {
	if result.Lookup(outcome.Code).Run == result.RunNo {
		s.reportedNotRun[id.String()] = outcome.Code
	}
	s.checkAtMostOnce()
}

func (s *simulation) checkAtMostOnce() {
	for key, n := range s.executions {
		if code, reportedNotRun := s.reportedNotRun[key]; s.violation == "" && (n > 1 || reportedNotRun && n > 0) {
			s.violation = fmt.Sprintf("an ID was run %d times, reported as not run: %v (code %d)", n, reportedNotRun, code)
		}
	}
}
