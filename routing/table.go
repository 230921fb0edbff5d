// Package routing selects an upstream host for each attempt at a task. It picks the better of two random eligible
// hosts by load and latency (power of two choices), and implements adaptive concurrency limits, ejection of failing
// hosts with a probation afterwards, and a retry budget.
//
// Each entry host has one Table and decides from its own observations. Entry hosts share only the notices that an
// upstream is leaving.
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
	// leavingTTL is how long an upstream is skipped after it rejected work because it is leaving, unless its status or
	// the control record makes it eligible earlier.
	leavingTTL = 30 * time.Second
	// statusTTL is the age after which a status is no longer used as the load from other entry hosts.
	statusTTL = 10 * time.Second
	// defaultRunTime is the initial mean run time of a pool.
	defaultRunTime = 100 * time.Millisecond
)

// Selection is the upstream that Pick selected for one attempt. Each Selection must be passed to Done exactly once.
type Selection struct {
	Host    string
	Address string
	Zone    string
	Pool    string
	// Epoch is the epoch of the host's assignment, Revision that of the control record with the assignment.
	Epoch    uint64
	Revision uint64
	Size     upstream.Size

	pickedAt time.Time
}

// Table holds the state of the upstreams as this entry host knows it. It is safe for concurrent use.
type Table struct {
	mu         sync.Mutex
	zone       string
	rng        *rand.Rand
	revision   uint64
	entryHosts int // number of entry hosts in the roster
	hosts      map[string]*host
	pools      map[string]*pool
	zones      map[string]*zone
	// local and remote are scratch slices that Pick reuses to avoid allocations.
	local, remote []*host
}

type zone struct {
	outOfService bool
	rampDuration time.Duration
	returnedAt   time.Time
}

type pool struct {
	hosts          []*host
	maxUnavailable int
	meanRunTime    time.Duration
	// teamFailedHosts holds, per team, the hosts on which its tasks have failed since its last success.
	teamFailedHosts map[string][]string
}

type host struct {
	id          string
	address     string
	zone        string
	pool        string
	epoch       uint64
	state       control.HostState
	capacity    upstream.Size
	connections int // maximum number of concurrent attempts of this entry host

	ownUse   upstream.Size // used by attempts of this entry host
	attempts int
	otherUse upstream.Size // used by other entry hosts at statusAt
	statusAt time.Time
	retained []retainedLoad

	leavingAt    time.Time
	leavingUntil time.Time
	rampOffset   float64 // random, from 0 to 1; see hasCapacity

	health health
	limit  limit
}

// retainedLoad is the load of a failed attempt that stays charged to its host, see Table.recordFailure.
type retainedLoad struct {
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

// Update replaces the control record and its bundle. It keeps the measured state of the hosts, pools and zones that
// remain.
func (t *Table) Update(record *control.Record, b *bundle.Bundle, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision = record.Revision
	t.entryHosts = max(1, len(record.Roster))
	t.updateZones(b, now)
	t.updateHosts(record, b)
	t.updatePools(b)
}

func (t *Table) updateZones(b *bundle.Bundle, now time.Time) {
	zones := make(map[string]*zone, len(b.Zones))
	for _, z := range b.Zones {
		next := &zone{outOfService: z.OutOfService, rampDuration: time.Duration(z.RampMS) * time.Millisecond}
		if old := t.zones[z.Name]; old != nil {
			next.returnedAt = old.returnedAt
			if old.outOfService && !next.outOfService {
				next.returnedAt = now
			}
		}
		zones[z.Name] = next
	}
	t.zones = zones
}

func (t *Table) updateHosts(record *control.Record, b *bundle.Bundle) {
	configured := make(map[string]bundle.Host, len(b.Hosts))
	for _, h := range b.Hosts {
		configured[h.ID] = h
	}
	hosts := make(map[string]*host, len(record.Assignments))
	for _, a := range record.Assignments {
		conf, ok := configured[a.Host]
		if !ok {
			continue
		}
		h := t.hosts[a.Host]
		if h == nil || h.address != conf.Address {
			h = &host{id: a.Host, rampOffset: t.rng.Float64()}
			h.limit.reset(conf)
		}
		if h.epoch != a.Epoch || h.state != a.State {
			h.leavingUntil = time.Time{}
		}
		h.address, h.zone, h.capacity, h.connections = conf.Address, conf.Zone, conf.Capacity, conf.Connections
		h.pool, h.epoch, h.state = a.Pool, a.Epoch, a.State
		h.limit.setMax(conf)
		hosts[a.Host] = h
	}
	t.hosts = hosts
}

func (t *Table) updatePools(b *bundle.Bundle) {
	pools := make(map[string]*pool, len(b.Pools))
	for _, p := range b.Pools {
		next := &pool{
			maxUnavailable: p.Budget.MaxUnavailable, meanRunTime: defaultRunTime, teamFailedHosts: map[string][]string{},
		}
		if old := t.pools[p.Name]; old != nil {
			next.meanRunTime, next.teamFailedHosts = old.meanRunTime, old.teamFailedHosts
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
		p.enforceMaxEjected()
	}
	t.pools = pools
}

// RecordLeaving records that an upstream rejected work because it is leaving, or that another entry host reported so.
// The host is not picked for leavingTTL, or until a later status or a new assignment makes it eligible again.
func (t *Table) RecordLeaving(hostID string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.hosts[hostID]; h != nil {
		h.markLeaving(now)
	}
}

// RecordStatus records an upstream's status, requested at requestedAt. A status that was requested before the host was
// last reported as leaving does not make it eligible again.
func (t *Table) RecordStatus(hostID string, s upstream.Status, requestedAt, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.hosts[hostID]
	if h == nil {
		return
	}
	switch {
	case s.Draining:
		h.markLeaving(now)
	case requestedAt.After(h.leavingAt):
		h.leavingUntil = time.Time{}
	}
	h.otherUse = subSizeClamped(s.Reserved, h.ownUse)
	h.statusAt = now
}

func (h *host) markLeaving(now time.Time) {
	h.leavingAt = now
	h.leavingUntil = now.Add(leavingTTL)
}

func addSize(a, b upstream.Size) upstream.Size {
	return upstream.Size{
		Slots:        a.Slots + b.Slots,
		CPUs:         a.CPUs + b.CPUs,
		MemoryMB:     a.MemoryMB + b.MemoryMB,
		Accelerators: a.Accelerators + b.Accelerators,
	}
}

func subSizeClamped(a, b upstream.Size) upstream.Size {
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
