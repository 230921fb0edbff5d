package requestid

import (
	"fmt"
	"math/rand/v2"
	"time"

	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/result"
	"citrongauge.example/citrongauge/upstream"
)

// isolationTime is how long a host that is cut off may go on starting work.
const isolationTime = 8 * time.Second

// world is a model of hosts and upstreams with a fake clock. A frozen host goes on later where it stopped, before
// it learns anything.
type world struct {
	now       time.Time
	rng       *rand.Rand
	record    control.Record
	hosts     []*simHost
	upstreams map[string]*simUpstream
	network   []event
	evicted   map[string]time.Time
	ids       []ID
	runs      map[string]int         // executions of each ID
	refused   map[string]result.Code // answers that say "not run"
	lost      bool                   // answers and calls may be lost
	err       string
}

type event struct {
	at time.Time
	do func()
}

type simHost struct {
	w        *world
	id       string
	skew     time.Duration
	issuer   *Issuer
	table    *Table
	record   control.Record
	freshAt  time.Time
	lastSeen time.Time
	frozen   bool
	cut      bool // from the store and the peers
	isolated bool // was cut off since the last contact, and may start work for isolationTime
	dead     bool
	inbox    []event
}

type simUpstream struct {
	boot     time.Time
	attempts map[string]*upstream.Attempt
	expiry   map[string]time.Time
	fenced   map[string]bool
}

func newWorld(seed uint64) *world {
	w := &world{
		now: start, rng: rand.New(rand.NewPCG(seed, 1)), upstreams: map[string]*simUpstream{},
		evicted: map[string]time.Time{}, runs: map[string]int{}, refused: map[string]result.Code{},
	}
	for i := range 4 {
		host, pool := fmt.Sprintf("u%d", i), "p"
		if i == 3 {
			pool = "q"
		}
		w.boot(host)
		w.upstreams[host].boot = start.Add(-time.Hour)
		w.record.Assignments = append(w.record.Assignments, control.Assignment{Host: host, Pool: pool})
	}
	for range 3 {
		w.join()
	}
	return w
}

func (w *world) boot(host string) {
	w.upstreams[host] = &simUpstream{w.now, map[string]*upstream.Attempt{}, map[string]time.Time{}, map[string]bool{}}
}

func (w *world) join() {
	h := &simHost{w: w, id: fmt.Sprintf("h%d", len(w.hosts)), lastSeen: w.now}
	h.skew = time.Duration(w.rng.Int64N(int64(ClockError))) - ClockError/2
	h.issuer, _ = NewIssuer(h.id, h.clock(), secret)
	h.table = NewTable(h.id, h.clock(), 100, 1000)
	w.hosts = append(w.hosts, h)
	w.change(func(r *control.Record) { r.Roster = append(r.Roster, control.Member{ID: h.id}) })
	h.sync()
}

func (w *world) change(edit func(*control.Record)) {
	r := w.record
	r.Roster = append([]control.Member(nil), r.Roster...)
	r.Departed = append([]control.Member(nil), r.Departed...)
	r.Assignments = append([]control.Assignment(nil), r.Assignments...)
	edit(&r)
	r.Revision++
	w.record = r
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) send(do func()) {
	w.network = append(w.network, event{w.now.Add(time.Duration(w.rng.IntN(400)) * time.Millisecond), do})
}

func runDue(now time.Time, list *[]event) {
	all := *list
	*list = nil
	for _, e := range all {
		if now.Before(e.at) {
			*list = append(*list, e)
			continue
		}
		e.do()
	}
}

func (w *world) step(d time.Duration) {
	w.now = w.now.Add(d)
	runDue(w.now, &w.network)
	for _, h := range w.hosts {
		if h.dead || h.frozen {
			continue
		}
		runDue(w.now, &h.inbox)
		if !h.cut && w.chance(0.5) {
			h.sync()
		}
		if _, ok := h.record.Member(h.id); !ok {
			h.dead = true // goes on as a new incarnation
			w.join()
		}
	}
	for _, h := range w.hosts {
		wait := control.Stretch(control.AttestTTL + upstream.ReservationTTL)
		if h.isolated {
			wait += control.Stretch(isolationTime)
		}
		if _, ok := w.record.Member(h.id); ok && w.now.Sub(h.lastSeen) > control.EvictAfter {
			w.evicted[h.id] = w.now
			w.change(func(r *control.Record) {
				r.Roster = without(r.Roster, h.id)
				r.Departed = append(r.Departed, control.Member{ID: h.id})
			})
		}
		if at, ok := w.evicted[h.id]; ok && w.now.Sub(at) > wait {
			delete(w.evicted, h.id)
			w.change(func(r *control.Record) { r.Departed = without(r.Departed, h.id) })
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

func (h *simHost) clock() time.Time { return h.w.now.Add(h.skew) }

func (h *simHost) sync() {
	h.record, h.freshAt, h.lastSeen, h.isolated = h.w.record, h.w.now, h.w.now, false
}

func (h *simHost) permitted() bool {
	_, ok := h.record.Member(h.id)
	ttl := control.PermitTTL
	if h.isolated {
		ttl = isolationTime
	}
	return ok && h.w.now.Sub(h.freshAt) < ttl
}

func (h *simHost) later(do func()) { h.inbox = append(h.inbox, event{h.w.now, do}) }

// submit is a call with an ID at a host, which forwards it to the issuer or recovers it.
func (h *simHost) submit(id ID) {
	w := h.w
	for _, owner := range w.hosts {
		if owner.id == id.Issuer && !owner.dead && !owner.frozen && (owner == h || !owner.cut && !h.cut) {
			owner.own(id)
			return
		}
	}
	record := h.record
	targets, outcome, fence := Targets(id, &record, "p")
	if !fence {
		w.answer(id, outcome)
		return
	}
	answers := map[string]FenceAnswer{}
	for _, host := range targets {
		w.send(func() {
			answers[host] = w.fence(host, id)
			if len(answers) == len(targets) {
				h.later(func() { w.answer(id, Recover(id, h.clock(), &record, "p", answers)) })
			}
		})
	}
}

func (w *world) fence(host string, id ID) FenceAnswer {
	if w.lost && w.chance(0.1) {
		return FenceAnswer{Err: upstream.ErrUnreachable}
	}
	u := w.upstreams[host]
	u.fenced[id.String()] = true
	attempt := upstream.Attempt{State: upstream.StateUnseen}
	if a := u.attempts[id.String()]; a != nil {
		if a.State == upstream.StateReserved {
			a.State = upstream.StateLapsed
		}
		attempt = *a
	}
	return FenceAnswer{Result: upstream.FenceResult{Attempt: attempt, Uptime: w.now.Sub(u.boot)}}
}

func (h *simHost) own(id ID) {
	e, first, err := h.table.Begin(h.clock(), id, Digest{1})
	if err != nil {
		return
	}
	if first {
		h.attempt(id, e, 3)
		return
	}
	h.w.answer(id, e.Outcome())
}

func (h *simHost) finish(id ID, e *Entry, code result.Code) {
	e.Finish(h.clock(), Outcome{Code: code})
	h.w.answer(id, e.Outcome())
}

// attempt reserves at an upstream of the pool, checks again and starts. A refusal that is certain leads to the
// next attempt.
func (h *simHost) attempt(id ID, e *Entry, tries int) {
	w := h.w
	if tries == 0 || !h.permitted() {
		h.finish(id, e, result.RetriesExhausted)
		return
	}
	var pool []string
	for _, a := range h.record.Assignments {
		if a.Pool == "p" {
			pool = append(pool, a.Host)
		}
	}
	host, key := pool[w.rng.IntN(len(pool))], id.String()
	again := func() { h.later(func() { h.attempt(id, e, tries-1) }) }
	w.send(func() {
		u := w.upstreams[host]
		if u.attempts[key] != nil || u.fenced[key] {
			again()
			return
		}
		a := &upstream.Attempt{State: upstream.StateReserved}
		u.attempts[key], u.expiry[key] = a, w.now.Add(upstream.ReservationTTL)
		h.later(func() {
			if !h.permitted() {
				again()
				return
			}
			h.later(func() { w.send(func() { h.begin(host, a, id, e, again) }) })
		})
	})
}

// begin is Start at the upstream and its answer.
func (h *simHost) begin(host string, a *upstream.Attempt, id ID, e *Entry, again func()) {
	w, key := h.w, id.String()
	u := w.upstreams[host]
	if u.attempts[key] != a || a.State != upstream.StateReserved || w.now.After(u.expiry[key]) {
		a.State = upstream.StateLapsed
		again()
		return
	}
	a.State = upstream.StateRunning
	w.runs[key]++
	w.check()
	w.send(func() {
		a.State = upstream.StateDone
		code := result.OK
		if w.lost && w.chance(0.3) {
			code = result.StartAnswerLost
		}
		h.later(func() { h.finish(id, e, code) })
	})
}

func (w *world) answer(id ID, outcome Outcome) {
	if result.Lookup(outcome.Code).Run == result.RunNo {
		w.refused[id.String()] = outcome.Code
	}
	w.check()
}

func (w *world) check() {
	for key, n := range w.runs {
		if code, refused := w.refused[key]; w.err == "" && (n > 1 || refused && n > 0) {
			w.err = fmt.Sprintf("an ID was run %d times, not run: %v (code %d)", n, refused, code)
		}
	}
}
