package grant

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/upstream"
)

const (
	simStep = 50 * time.Millisecond
	// isolationTime is how long a partitioned host may continue to start work.
	isolationTime = 30 * time.Second
)

// simFleet simulates hosts, the store and upstreams with a fake clock. A host can freeze between any two of its
// actions, including between a check and the message that depends on it.
type simFleet struct {
	now       time.Time
	rng       *rand.Rand
	teams     []string
	taskSlots int // of each task
	store     map[string]platform.Entry
	storeDown bool
	storeSlow bool
	lossRate  float64 // probability that a store call is lost; half of it for the response to Start
	latency   time.Duration
	pending   []timedAction
	calls     int
	writes    int
	conflicts int

	record    control.Record
	caps      map[uint64]map[string]int
	evicted   map[string]time.Time
	hosts     []*simHost
	running   []*attempt
	nextID    int
	runTime   func() time.Duration
	violation string // the first violated property, or empty
}

type timedAction struct {
	at  time.Time
	run func()
}

type simHost struct {
	f            *simFleet
	member       control.Member
	m            *Manager
	limiter      *SlotLimiter
	heldRecord   *control.Record
	adoptedAt    time.Time // when the bundle version of heldRecord was adopted
	freshAt      time.Time // last sync; the permission to start work counts from it
	lastSeen     time.Time // last sync, as the control plane sees it
	dead         bool
	frozen       bool
	partitioned  bool // cannot reach the store and the peers
	isolated     bool // was partitioned since its last sync, and may start work for isolationTime
	inbox        []timedAction
	queue        map[string]int // number of waiting tasks of each team
	lastExchange time.Time
	lastRenewal  time.Time
	attempts     []*attempt
}

// attempt is one attempt to run a task at an upstream, with what its host knows of it.
type attempt struct {
	team           string
	version        uint64    // bundle version that the host had when it sent Start
	reservedUntil  time.Time // end of the reservation
	isRunning      bool
	leaseEnd       time.Time
	end            time.Time
	outcomeUnknown bool // the host lost the response to Start and does not track the attempt
	finished       bool
}

func newSimFleet(seed uint64, hosts, zones, taskSlots int, caps map[string]int) *simFleet {
	f := &simFleet{
		now:       time.Unix(1e6, 0),
		rng:       rand.New(rand.NewPCG(seed, 1)),
		taskSlots: taskSlots,
		teams:     sortedNames(caps),
		store:     map[string]platform.Entry{},
		caps:      map[uint64]map[string]int{1: caps},
		evicted:   map[string]time.Time{},
	}
	f.record = control.Record{Revision: 1, BundleVersion: 1, AcceptedVersion: 1}
	f.runTime = func() time.Duration { return time.Duration(f.rng.ExpFloat64() * float64(time.Second)) }
	for i := range hosts {
		f.join(fmt.Sprintf("z%d", i%zones))
	}
	return f
}

func (f *simFleet) join(zone string) *simHost {
	f.nextID++
	h := &simHost{f: f, limiter: NewSlotLimiter(), queue: map[string]int{}, lastSeen: f.now}
	h.member = control.Member{ID: fmt.Sprintf("h%d", f.nextID), Zone: zone}
	h.m = NewManager(h.member.ID, h.limiter, f.rng.Uint64())
	f.hosts = append(f.hosts, h)
	f.updateRecord(func(r *control.Record) { r.Roster = append(r.Roster, h.member) })
	h.sync()
	return h
}

// updateRecord commits an edited copy of the record. Hosts may continue to refer to earlier records.
func (f *simFleet) updateRecord(edit func(*control.Record)) {
	r := f.record
	r.Roster = append([]control.Member(nil), r.Roster...)
	r.Departed = append([]control.Member(nil), r.Departed...)
	edit(&r)
	r.Revision++
	f.record = r
}

func (f *simFleet) setCap(team string, newCap int) {
	next := map[string]int{}
	for name, c := range f.caps[f.record.BundleVersion] {
		next[name] = c
	}
	next[team] = newCap
	f.caps[f.record.BundleVersion+1] = next
	f.updateRecord(func(r *control.Record) { r.BundleVersion++ })
}

func (f *simFleet) chance(p float64) bool { return p > 0 && f.rng.Float64() < p }

func (f *simFleet) delay(longest time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(longest) + 1))
}

// step advances the clock by simStep and runs everything that is due.
func (f *simFleet) step() {
	f.now = f.now.Add(simStep)
	runDue(f.now, &f.pending)
	f.endTasks()
	f.stepControl()
	for _, h := range f.hosts {
		if !h.dead && !h.frozen {
			h.runStep()
		}
	}
}

// runDue runs the actions that are due. The actions may add more actions to the list.
func runDue(now time.Time, list *[]timedAction) {
	all := *list
	*list = nil
	for _, d := range all {
		if now.Before(d.at) {
			*list = append(*list, d)
			continue
		}
		d.run()
	}
}

func (f *simFleet) endTasks() {
	kept := f.running[:0]
	for _, a := range f.running {
		if f.now.Before(a.end) && f.now.Before(a.leaseEnd) {
			kept = append(kept, a)
			continue
		}
		a.isRunning, a.finished = false, true
	}
	f.running = kept
}

// stepControl evicts silent hosts, clears them and accepts bundle versions, with the delays of the real control plane.
func (f *simFleet) stepControl() {
	allAdopted := true
	for _, h := range f.hosts {
		wait := control.WithClockDrift(control.AttestTTL + upstream.ReservationTTL)
		if h.isolated {
			wait += control.WithClockDrift(isolationTime)
		}
		silent := f.now.Sub(h.lastSeen)
		_, isMember := f.record.Member(h.member.ID)
		if isMember && silent > control.EvictAfter && f.chance(0.05) {
			f.evicted[h.member.ID] = f.now
			f.updateRecord(func(r *control.Record) {
				r.Roster = without(r.Roster, h.member.ID)
				r.Departed = append(r.Departed, h.member)
			})
		}
		if at, ok := f.evicted[h.member.ID]; ok && f.now.Sub(at) > wait {
			delete(f.evicted, h.member.ID)
			f.updateRecord(func(r *control.Record) { r.Departed = without(r.Departed, h.member.ID) })
		}
		_, isMember = f.record.Member(h.member.ID)
		_, isDeparted := f.evicted[h.member.ID]
		mayStart := isMember || isDeparted
		heldLongEnough := h.heldRecord.BundleVersion >= f.record.BundleVersion && f.now.Sub(h.adoptedAt) > wait/2
		if mayStart && !heldLongEnough && silent < wait {
			allAdopted = false
		}
	}
	if allAdopted && f.record.AcceptedVersion < f.record.BundleVersion {
		f.updateRecord(func(r *control.Record) { r.AcceptedVersion = r.BundleVersion })
	}
}

func without(members []control.Member, id string) []control.Member {
	var rest []control.Member
	for _, m := range members {
		if m.ID != id {
			rest = append(rest, m)
		}
	}
	return rest
}

// sync makes the host adopt the current record, as it would receive it from its zone's relay.
func (h *simHost) sync() {
	h.freshAt, h.lastSeen, h.isolated = h.f.now, h.f.now, false
	if h.heldRecord != nil && h.heldRecord.Revision == h.f.record.Revision {
		return
	}
	r := h.f.record
	if h.heldRecord == nil || h.heldRecord.BundleVersion != r.BundleVersion {
		h.adoptedAt = h.f.now
	}
	h.heldRecord = &r
	h.m.Step(h.f.now, Config{Record: &r, Caps: h.f.caps[r.BundleVersion]})
}

func (h *simHost) permitted() bool {
	_, ok := h.heldRecord.Member(h.member.ID)
	ttl := control.PermitTTL
	if h.isolated {
		ttl = isolationTime
	}
	return ok && h.f.now.Sub(h.freshAt) < ttl
}

func (h *simHost) runStep() {
	f := h.f
	runDue(f.now, &h.inbox) // a resumed host first continues where it was frozen
	if !h.partitioned && f.chance(0.4) {
		h.sync()
	}
	if _, ok := h.heldRecord.Member(h.member.ID); !ok {
		h.dead = true // the process continues as a new incarnation
		f.join(h.member.Zone)
		return
	}
	h.exchangeReports()
	h.releaseEnded()
	demand := Demand{Teams: map[string]TeamDemand{}}
	for _, team := range f.teams {
		for h.queue[team] > 0 && h.permitted() && h.limiter.TryAcquire(team, f.taskSlots) {
			h.queue[team]--
			h.reserve(team)
		}
		demand.Teams[team] = TeamDemand{Slots: h.queue[team] * f.taskSlots, SmallestTask: f.taskSlots}
	}
	h.runEffects(h.m.Step(f.now, demand))
	h.runEffects(h.m.Step(f.now, Tick{StoreConfirmedAt: h.freshAt}))
	h.renew()
}

// exchangeReports passes the peers' reports to the manager every 500 ms.
func (h *simHost) exchangeReports() {
	if h.partitioned || h.f.now.Sub(h.lastExchange) < 500*time.Millisecond {
		return
	}
	h.lastExchange = h.f.now
	teams := map[string]PeerUse{}
	for _, p := range h.f.hosts {
		if p == h || p.dead || p.partitioned || p.frozen {
			continue
		}
		unmet := p.m.Unmet()
		for _, team := range h.f.teams {
			u := teams[team]
			u.InUse += p.limiter.InUse(team)
			u.Unmet += unmet[team]
			teams[team] = u
		}
	}
	h.m.Step(h.f.now, PeerDemand{Teams: teams})
}

// scheduleOnHost runs an action on the host after the given time, or later if the host is frozen then.
func (h *simHost) scheduleOnHost(after time.Duration, run func()) {
	h.inbox = append(h.inbox, timedAction{h.f.now.Add(after), run})
}

func (f *simFleet) schedule(d time.Duration, run func()) {
	f.pending = append(f.pending, timedAction{f.now.Add(d), run})
}

// Get, CompareAndSwap and Watch implement platform.Store. The calls are applied immediately.
func (f *simFleet) Get(_ context.Context, key string) (platform.Entry, error) {
	e, ok := f.store[key]
	if !ok {
		return e, platform.ErrNotFound
	}
	return e, nil
}

func (f *simFleet) CompareAndSwap(_ context.Context, key string, revision uint64, value []byte) (uint64, error) {
	if f.store[key].Revision != revision {
		f.conflicts++
		return 0, platform.ErrConflict
	}
	f.store[key] = platform.Entry{Value: value, Revision: revision + 1}
	return revision + 1, nil
}

func (f *simFleet) Watch(context.Context, string, uint64) (platform.Entry, error) {
	return platform.Entry{}, platform.ErrUnavailable
}
