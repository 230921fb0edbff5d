// Package routing chooses the upstream of each attempt: power of two choices by load and latency among the
// hosts that may take work, with a concurrency limit per upstream, ejection with probation, and a retry budget.
//
// Every entry host has one Table. It decides from its own view; nothing is shared with other entry hosts except
// notices that an upstream is leaving.
package routing

import (
	"math/rand/v2"
	"sync"
	"time"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/upstream"
)

const (
	// leavingTTL bounds how long a direct refusal keeps an upstream out if nothing else is heard of it.
	leavingTTL = 30 * time.Second
	// statusTTL is the age after which a status no longer says what other entry hosts use.
	statusTTL = 10 * time.Second
	// defaultRun stands for the mean run time of a pool until a task of the pool has ended.
	defaultRun = 100 * time.Millisecond
)

// Candidate is the chosen upstream of one attempt. Each Candidate from Pick must be given back by exactly one
// call of Done.
type Candidate struct {
	Host    string
	Address string
	Zone    string
	Pool    string
	// Epoch is the pool epoch of the assignment, Revision the control record's revision.
	Epoch    uint64
	Revision uint64
	Size     upstream.Size

	pickedAt time.Time
}

// Table holds the upstreams that this entry host knows. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	zone     string
	rng      *rand.Rand
	revision uint64
	entries  int // entry hosts in the roster
	hosts    map[string]*host
	pools    map[string]*pool
	zones    map[string]*zone
	// local and remote are reused by Pick.
	local, remote []*host
}

type zone struct {
	out        bool
	ramp       time.Duration
	returnedAt time.Time
}

type pool struct {
	hosts  []*host
	budget int
	run    time.Duration
	// teamFails holds, per team, the hosts that failed its tasks since its last success.
	teamFails map[string][]string
}

type host struct {
	id          string
	address     string
	zone        string
	pool        string
	epoch       uint64
	state       control.HostState
	capacity    upstream.Size
	connections int

	own      upstream.Size // used by attempts of this entry host
	attempts int
	other    upstream.Size // used by other entry hosts at statusAt
	statusAt time.Time
	shadows  []shadow

	leavingAt    time.Time
	leavingUntil time.Time
	rampOffset   float64

	health health
	limit  limit
}

// shadow is load that is kept on the books after a quick failure.
type shadow struct {
	until time.Time
	size  upstream.Size
}

// New returns an empty table for an entry host in the given availability zone.
func New(zoneName string, seed uint64) *Table {
	return &Table{
		zone:  zoneName,
		rng:   rand.New(rand.NewPCG(seed, 0)),
		hosts: map[string]*host{},
		pools: map[string]*pool{},
		zones: map[string]*zone{},
	}
}

// Update adopts a control record and its bundle. What was learnt about hosts that are still listed is kept.
func (t *Table) Update(record *control.Record, b *bundle.Bundle, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision = record.Revision
	t.entries = max(1, len(record.Roster))
	t.updateZones(b, now)
	t.updateHosts(record, b)
	t.updatePools(b)
}

func (t *Table) updateZones(b *bundle.Bundle, now time.Time) {
	zones := make(map[string]*zone, len(b.Zones))
	for _, z := range b.Zones {
		next := &zone{out: z.OutOfService, ramp: time.Duration(z.RampMS) * time.Millisecond}
		if old := t.zones[z.Name]; old != nil {
			next.returnedAt = old.returnedAt
			if old.out && !next.out {
				next.returnedAt = now
			}
		}
		zones[z.Name] = next
	}
	t.zones = zones
}

func (t *Table) updateHosts(record *control.Record, b *bundle.Bundle) {
	static := make(map[string]bundle.Host, len(b.Hosts))
	for _, h := range b.Hosts {
		static[h.ID] = h
	}
	hosts := make(map[string]*host, len(record.Assignments))
	for _, a := range record.Assignments {
		s, ok := static[a.Host]
		if !ok {
			continue
		}
		h := t.hosts[a.Host]
		if h == nil || h.address != s.Address {
			h = &host{id: a.Host, rampOffset: t.rng.Float64()}
			h.limit.reset(s)
		}
		if h.epoch != a.Epoch || h.state != a.State {
			h.leavingUntil = time.Time{}
		}
		h.address, h.zone, h.capacity, h.connections = s.Address, s.Zone, s.Capacity, s.Connections
		h.pool, h.epoch, h.state = a.Pool, a.Epoch, a.State
		h.limit.bound(s)
		hosts[a.Host] = h
	}
	t.hosts = hosts
}

func (t *Table) updatePools(b *bundle.Bundle) {
	pools := make(map[string]*pool, len(b.Pools))
	for _, p := range b.Pools {
		next := &pool{budget: p.Budget.MaxUnavailable, run: defaultRun, teamFails: map[string][]string{}}
		if old := t.pools[p.Name]; old != nil {
			next.run, next.teamFails = old.run, old.teamFails
		}
		pools[p.Name] = next
	}
	for _, h := range t.hosts {
		if p := pools[h.pool]; p != nil {
			p.hosts = append(p.hosts, h)
		}
	}
	for _, p := range pools {
		sortHosts(p.hosts)
		p.trimEjections()
	}
	t.pools = pools
}

// NoteLeaving records a direct refusal by an upstream that is leaving, or a peer's notice of one. The host is not
// picked again for 30 s, or until its status or the record says otherwise.
func (t *Table) NoteLeaving(hostID string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.hosts[hostID]; h != nil {
		h.leave(now)
	}
}

// NoteStatus records an upstream's status. askedAt is the time at which the status was asked for: an older
// status does not overrule a later refusal.
func (t *Table) NoteStatus(hostID string, s upstream.Status, askedAt, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.hosts[hostID]
	if h == nil {
		return
	}
	switch {
	case s.Draining:
		h.leave(now)
	case askedAt.After(h.leavingAt):
		h.leavingUntil = time.Time{}
	}
	h.other = clampSub(s.Reserved, h.own)
	h.statusAt = now
}

func (h *host) leave(now time.Time) {
	h.leavingAt = now
	h.leavingUntil = now.Add(leavingTTL)
}

func add(a, b upstream.Size) upstream.Size {
	return upstream.Size{
		Slots:        a.Slots + b.Slots,
		CPUs:         a.CPUs + b.CPUs,
		MemoryMB:     a.MemoryMB + b.MemoryMB,
		Accelerators: a.Accelerators + b.Accelerators,
	}
}

func clampSub(a, b upstream.Size) upstream.Size {
	return upstream.Size{
		Slots:        max(0, a.Slots-b.Slots),
		CPUs:         max(0, a.CPUs-b.CPUs),
		MemoryMB:     max(0, a.MemoryMB-b.MemoryMB),
		Accelerators: max(0, a.Accelerators-b.Accelerators),
	}
}

func fits(a, capacity upstream.Size) bool {
	return a.Slots <= capacity.Slots && a.CPUs <= capacity.CPUs && a.MemoryMB <= capacity.MemoryMB &&
		a.Accelerators <= capacity.Accelerators
}
