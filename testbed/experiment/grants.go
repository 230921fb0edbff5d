package experiment

import (
	"context"
	"time"

	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/grant"
	"citrongauge.example/citrongauge/platform"
)

const (
	grantTeam   = "new"
	grantCap    = 120
	grantStep   = grant.TickInterval
	grantWarmUp = 10 * time.Second
	grantRun    = 60 * time.Second
)

// memoryStore is the platform's store for the ledgers.
type memoryStore struct {
	platform.Store
	entries map[string]platform.Entry
}

// Get implements platform.Store.
func (s *memoryStore) Get(_ context.Context, key string) (platform.Entry, error) {
	entry, ok := s.entries[key]
	if !ok {
		return platform.Entry{}, platform.ErrNotFound
	}
	return entry, nil
}

// CompareAndSwap implements platform.Store.
func (s *memoryStore) CompareAndSwap(_ context.Context, key string, revision uint64, value []byte) (uint64, error) {
	if s.entries[key].Revision != revision {
		return 0, platform.ErrConflict
	}
	s.entries[key] = platform.Entry{Value: value, Revision: revision + 1}
	return revision + 1, nil
}

// grantHost is an entry host with the tasks of one team.
type grantHost struct {
	fleet   *grantFleet
	zone    string
	relay   bool
	account *grant.Account
	manager *grant.Manager
	// limit is the fixed part of the cap if the cap is split statically, negative otherwise.
	limit   int
	waiting int
	ends    []time.Duration
	// said is the last report of this host, zones the last sums of other zones that reached it.
	said  grant.PeerUse
	zones map[string]grant.PeerUse
}

// grantFleet splits the cap of one team between the entry hosts.
type grantFleet struct {
	clock
	d     Deployment
	hosts []*grantHost
	store *memoryStore
	load  func(f *grantFleet, h *grantHost) float64
	tally grantTally
}

// grantTally holds sums over steps.
type grantTally struct {
	steps, used, possible, idleNeeded float64
	calls                             int
	// most is the highest number of slots in use.
	most int
}

func newGrantFleet(d Deployment, seed uint64, static bool, load func(*grantFleet, *grantHost) float64) *grantFleet {
	f := &grantFleet{d: d, store: &memoryStore{entries: make(map[string]platform.Entry)}, load: load}
	rng := newRand(seed)
	record := &control.Record{Revision: 1, BundleVersion: 1, AcceptedVersion: 1, Roster: d.members()}
	for i, m := range record.Roster {
		h := &grantHost{
			fleet: f, zone: m.Zone, relay: i < len(d.Zones), account: grant.NewAccount(), limit: -1,
			zones: make(map[string]grant.PeerUse),
		}
		if static {
			h.limit = grantCap / len(record.Roster)
		}
		h.manager = grant.NewManager(m.ID, h.account, seed+uint64(i))
		f.hosts = append(f.hosts, h)
		h.step(grant.Config{Record: record, Caps: map[string]int{grantTeam: grantCap}})
		phase := time.Duration(rng.Int64N(int64(grantStep)))
		f.every(phase, grantStep, func() { h.work(poisson(rng.Float64, load(f, h)*grantStep.Seconds()/taskRun.Seconds())) })
		f.every(time.Duration(rng.Int64N(int64(tellInterval))), tellInterval, h.tell)
	}
	f.every(grantWarmUp, grantStep, f.count)
	return f
}

func (h *grantHost) step(ev grant.Event) {
	f := h.fleet
	for _, effect := range h.manager.Step(f.time(), ev) {
		f.tally.calls++
		f.after(f.d.ZoneRTT/2+storeService, func() {
			answer := effect.Run(context.Background(), f.store)
			f.after(f.d.ZoneRTT/2, func() { h.step(answer) })
		})
	}
}

// work ends tasks, takes new ones and starts what the grant allows. All tasks take taskRun and one slot.
func (h *grantHost) work(arrived int) {
	f := h.fleet
	kept := h.ends[:0]
	for _, end := range h.ends {
		if end > f.now {
			kept = append(kept, end)
		} else if h.limit < 0 {
			h.account.Release(grantTeam, 1)
		}
	}
	h.ends = kept
	h.waiting = min(h.waiting+arrived, grantCap)
	for h.waiting > 0 && h.acquire() {
		h.waiting--
		h.ends = append(h.ends, f.now+taskRun)
	}
	if h.limit >= 0 {
		return
	}
	h.step(grant.Demand{Teams: map[string]grant.Waiting{grantTeam: {Slots: h.waiting, Next: min(1, h.waiting)}}})
	h.step(grant.PeerDemand{Teams: map[string]grant.PeerUse{grantTeam: h.peerUse()}})
	h.step(grant.Tick{FreshAt: f.time()})
}

func (h *grantHost) acquire() bool {
	if h.limit >= 0 {
		return len(h.ends) < h.limit
	}
	return h.account.TryAcquire(grantTeam, 1)
}

// tell reports to the own zone and, as a relay, passes sums of zones on. It stands for the messages of daemon/loads.go;
// their delays are small against the interval.
func (h *grantHost) tell() {
	h.said = grant.PeerUse{InUse: len(h.ends), Unmet: h.manager.Unmet()[grantTeam]}
	if !h.relay {
		return
	}
	sum := h.said
	for _, other := range h.fleet.hosts {
		if other != h && other.zone == h.zone {
			sum = addUse(sum, other.said)
			for zone, use := range h.zones {
				other.zones[zone] = use
			}
		}
	}
	for _, other := range h.fleet.hosts {
		if other.relay && other != h {
			other.zones[h.zone] = sum
		}
	}
}

func (h *grantHost) peerUse() grant.PeerUse {
	var sum grant.PeerUse
	for _, other := range h.fleet.hosts {
		if other != h && other.zone == h.zone {
			sum = addUse(sum, other.said)
		}
	}
	for _, use := range h.zones {
		sum = addUse(sum, use)
	}
	return sum
}

func addUse(a, b grant.PeerUse) grant.PeerUse {
	return grant.PeerUse{InUse: a.InUse + b.InUse, Unmet: a.Unmet + b.Unmet}
}

// count adds a step: slots in use, those that a perfect split would have in use, and the idle ones of grants.
func (f *grantFleet) count() {
	used, waiting, granted := 0, 0, 0
	for _, h := range f.hosts {
		used += len(h.ends)
		waiting += h.waiting
		if h.limit >= 0 {
			granted += h.limit
		} else {
			granted += h.manager.Granted(grantTeam)
		}
	}
	f.tally.most = max(f.tally.most, used)
	f.tally.steps++
	f.tally.used += float64(used)
	f.tally.possible += float64(min(grantCap, used+waiting))
	f.tally.idleNeeded += float64(min(waiting, granted-used))
}

// oneZone loads the hosts of the first zone beyond the cap; the other zones are idle.
func oneZone(f *grantFleet, h *grantHost) float64 {
	if h.zone == f.d.Zones[0] {
		return fullLoad * grantCap / entryHostsPerZone
	}
	return 0
}

// movingLoad loads the zones in turn.
func movingLoad(f *grantFleet, h *grantHost) float64 {
	if h.zone == f.d.Zones[int(f.now/burstTime)%len(f.d.Zones)] {
		return fullLoad * grantCap / entryHostsPerZone
	}
	return 0
}
