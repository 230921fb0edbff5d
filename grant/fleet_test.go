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
	// isolationTime is how long a host that is cut off may go on starting work.
	isolationTime = 30 * time.Second
)

// fleet is a model of hosts, store and upstreams with a fake clock. Freezes take effect between the steps of a
// host, also between a check and the message that rests on it.
type fleet struct {
	now     time.Time
	rng     *rand.Rand
	teams   []string
	slots   int // of a task
	store   map[string]platform.Entry
	down    bool
	slow    bool
	loss    float64 // chance that an answer is lost, and that a lost write is applied late
	latency time.Duration
	late    []delayed
	calls   int
	writes  int
	clashes int

	record  control.Record
	caps    map[uint64]map[string]int
	evicted map[string]time.Time
	hosts   []*simHost
	running []*attempt
	nextID  int
	runTime func() time.Duration
	err     string
}

type delayed struct {
	at time.Time
	do func()
}

type simHost struct {
	f        *fleet
	member   control.Member
	m        *Manager
	account  *Account
	rec      *control.Record
	adopted  time.Time
	freshAt  time.Time
	lastSeen time.Time
	dead     bool
	frozen   bool
	cut      bool // from the store and the peers
	isolated bool // was cut off since the last contact, and may start work for isolationTime
	inbox    []delayed
	queue    map[string]int // waiting tasks
	peers    time.Time
	renewAt  time.Time
	attempts []*attempt
}

// attempt is one task at an upstream, and what its host knows of it.
type attempt struct {
	team      string
	version   uint64    // of the bundle on which Start rests
	reserved  time.Time // end of the reservation
	isRunning bool
	lease     time.Time
	end       time.Time
	lost      bool // the host does not know of its state
	finished  bool
}

func newFleet(seed uint64, hosts, zones, slots int, caps map[string]int) *fleet {
	f := &fleet{
		now:     time.Unix(1e6, 0),
		rng:     rand.New(rand.NewPCG(seed, 1)),
		slots:   slots,
		teams:   sortedNames(caps),
		store:   map[string]platform.Entry{},
		caps:    map[uint64]map[string]int{1: caps},
		evicted: map[string]time.Time{},
	}
	f.record = control.Record{Revision: 1, BundleVersion: 1, AcceptedVersion: 1}
	f.runTime = func() time.Duration { return time.Duration(f.rng.ExpFloat64() * float64(time.Second)) }
	for i := range hosts {
		f.join(fmt.Sprintf("z%d", i%zones))
	}
	return f
}

func (f *fleet) join(zone string) *simHost {
	f.nextID++
	h := &simHost{f: f, account: NewAccount(), queue: map[string]int{}, lastSeen: f.now}
	h.member = control.Member{ID: fmt.Sprintf("h%d", f.nextID), Zone: zone}
	h.m = NewManager(h.member.ID, h.account, f.rng.Uint64())
	f.hosts = append(f.hosts, h)
	f.change(func(r *control.Record) { r.Roster = append(r.Roster, h.member) })
	h.sync()
	return h
}

// change commits a new record, which hosts may keep referring to.
func (f *fleet) change(edit func(*control.Record)) {
	r := f.record
	r.Roster = append([]control.Member(nil), r.Roster...)
	r.Departed = append([]control.Member(nil), r.Departed...)
	edit(&r)
	r.Revision++
	f.record = r
}

func (f *fleet) setCap(team string, limit int) {
	next := map[string]int{}
	for name, c := range f.caps[f.record.BundleVersion] {
		next[name] = c
	}
	next[team] = limit
	f.caps[f.record.BundleVersion+1] = next
	f.change(func(r *control.Record) { r.BundleVersion++ })
}

func (f *fleet) chance(p float64) bool { return p > 0 && f.rng.Float64() < p }

func (f *fleet) delay(longest time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(longest) + 1))
}

// step advances the clock by one step.
func (f *fleet) step() {
	f.now = f.now.Add(simStep)
	runDue(f.now, &f.late)
	f.endTasks()
	f.control()
	for _, h := range f.hosts {
		if !h.dead && !h.frozen {
			h.run()
		}
	}
}

// runDue performs what is due; the actions may add more to the list.
func runDue(now time.Time, list *[]delayed) {
	all := *list
	*list = nil
	for _, d := range all {
		if now.Before(d.at) {
			*list = append(*list, d)
			continue
		}
		d.do()
	}
}

func (f *fleet) endTasks() {
	kept := f.running[:0]
	for _, a := range f.running {
		if f.now.Before(a.end) && f.now.Before(a.lease) {
			kept = append(kept, a)
			continue
		}
		a.isRunning, a.finished = false, true
	}
	f.running = kept
}

// control evicts silent hosts, clears them and accepts bundle versions, with the waits of the design.
func (f *fleet) control() {
	settled := true
	for _, h := range f.hosts {
		wait := control.Stretch(control.AttestTTL + upstream.ReservationTTL)
		if h.isolated {
			wait += control.Stretch(isolationTime)
		}
		silent := f.now.Sub(h.lastSeen)
		_, isMember := f.record.Member(h.member.ID)
		if isMember && silent > control.EvictAfter && f.chance(0.05) {
			f.evicted[h.member.ID] = f.now
			f.change(func(r *control.Record) {
				r.Roster = without(r.Roster, h.member.ID)
				r.Departed = append(r.Departed, h.member)
			})
		}
		if at, ok := f.evicted[h.member.ID]; ok && f.now.Sub(at) > wait {
			delete(f.evicted, h.member.ID)
			f.change(func(r *control.Record) { r.Departed = without(r.Departed, h.member.ID) })
		}
		_, isMember = f.record.Member(h.member.ID)
		_, isDeparted := f.evicted[h.member.ID]
		mayStart := isMember || isDeparted
		held := h.rec.BundleVersion >= f.record.BundleVersion && f.now.Sub(h.adopted) > wait/2
		if mayStart && !held && silent < wait {
			settled = false
		}
	}
	if settled && f.record.AcceptedVersion < f.record.BundleVersion {
		f.change(func(r *control.Record) { r.AcceptedVersion = r.BundleVersion })
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

// sync lets the host adopt the record, as its zone relay would.
func (h *simHost) sync() {
	h.freshAt, h.lastSeen, h.isolated = h.f.now, h.f.now, false
	if h.rec != nil && h.rec.Revision == h.f.record.Revision {
		return
	}
	r := h.f.record
	if h.rec == nil || h.rec.BundleVersion != r.BundleVersion {
		h.adopted = h.f.now
	}
	h.rec = &r
	h.m.Step(h.f.now, Config{Record: &r, Caps: h.f.caps[r.BundleVersion]})
}

func (h *simHost) permitted() bool {
	_, ok := h.rec.Member(h.member.ID)
	ttl := control.PermitTTL
	if h.isolated {
		ttl = isolationTime
	}
	return ok && h.f.now.Sub(h.freshAt) < ttl
}

func (h *simHost) run() {
	f := h.f
	runDue(f.now, &h.inbox) // a woken host first goes on where it stopped
	if !h.cut && f.chance(0.4) {
		h.sync()
	}
	if _, ok := h.rec.Member(h.member.ID); !ok {
		h.dead = true // the process goes on as a new incarnation
		f.join(h.member.Zone)
		return
	}
	h.exchange()
	h.collect()
	demand := Demand{Teams: map[string]Waiting{}}
	for _, team := range f.teams {
		for h.queue[team] > 0 && h.permitted() && h.account.TryAcquire(team, f.slots) {
			h.queue[team]--
			h.reserve(team)
		}
		demand.Teams[team] = Waiting{Slots: h.queue[team] * f.slots, Next: f.slots}
	}
	h.perform(h.m.Step(f.now, demand))
	h.perform(h.m.Step(f.now, Tick{FreshAt: h.freshAt}))
	h.renew()
}

// exchange takes over the peers' reports every 500 ms.
func (h *simHost) exchange() {
	if h.cut || h.f.now.Sub(h.peers) < 500*time.Millisecond {
		return
	}
	h.peers = h.f.now
	teams := map[string]PeerUse{}
	for _, p := range h.f.hosts {
		if p == h || p.dead || p.cut || p.frozen {
			continue
		}
		unmet := p.m.Unmet()
		for _, team := range h.f.teams {
			u := teams[team]
			u.InUse += p.account.InUse(team)
			u.Unmet += unmet[team]
			teams[team] = u
		}
	}
	h.m.Step(h.f.now, PeerDemand{Teams: teams})
}

// later runs do on the host, which is delayed while the host is frozen.
func (h *simHost) later(after time.Duration, do func()) {
	h.inbox = append(h.inbox, delayed{h.f.now.Add(after), do})
}

func (f *fleet) after(d time.Duration, do func()) {
	f.late = append(f.late, delayed{f.now.Add(d), do})
}

// Get and CompareAndSwap serve the calls at the moment at which they are applied.
func (f *fleet) Get(_ context.Context, key string) (platform.Entry, error) {
	e, ok := f.store[key]
	if !ok {
		return e, platform.ErrNotFound
	}
	return e, nil
}

func (f *fleet) CompareAndSwap(_ context.Context, key string, revision uint64, value []byte) (uint64, error) {
	if f.store[key].Revision != revision {
		f.clashes++
		return 0, platform.ErrConflict
	}
	f.store[key] = platform.Entry{Value: value, Revision: revision + 1}
	return revision + 1, nil
}

func (f *fleet) Watch(context.Context, string, uint64) (platform.Entry, error) {
	return platform.Entry{}, platform.ErrUnavailable
}
