package experiment

import (
	"context"
	"time"

	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/grant"
	"citrongauge.example/citrongauge/platform"
)

const (
	grantTeam        = "new"
	grantCap         = 120
	grantStep        = grant.TickInterval
	grantWarmUp      = 10 * time.Second
	grantMeasureTime = 60 * time.Second
)

// memoryStore is an in-memory platform.Store for the grant ledgers.
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

// grantHost is an entry host that runs the tasks of one team under the team's cap.
type grantHost struct {
	fleet   *grantFleet
	zone    string
	isRelay bool
	limiter *grant.SlotLimiter
	manager *grant.Manager
	// staticLimit is the host's fixed portion of the cap if the cap is split statically, and negative otherwise.
	staticLimit int
	waiting     int
	taskEnds    []time.Duration
	// reported is the last report that this host sent. zoneSums holds the last sums of other zones that it received.
	reported grant.PeerUse
	zoneSums map[string]grant.PeerUse
}

// grantFleet is a set of entry hosts that share the cap of one team.
type grantFleet struct {
	fakeClock
	d      Deployment
	hosts  []*grantHost
	store  *memoryStore
	load   func(f *grantFleet, h *grantHost) float64
	totals grantTotals
}

// grantTotals holds sums over the steps of a run.
type grantTotals struct {
	steps, usedSlots, usableSlots, idleWhileWaiting float64
	storeCalls                                      int
	// maxUsedSlots is the highest number of slots in use at the same time.
	maxUsedSlots int
}

func newGrantFleet(d Deployment, seed uint64, static bool, load func(*grantFleet, *grantHost) float64) *grantFleet {
	f := &grantFleet{d: d, store: &memoryStore{entries: make(map[string]platform.Entry)}, load: load}
	rng := newRand(seed)
	record := &control.Record{Revision: 1, BundleVersion: 1, AcceptedVersion: 1, Roster: d.roster()}
	for i, m := range record.Roster {
		h := &grantHost{
			fleet: f, zone: m.Zone, isRelay: i < len(d.Zones), limiter: grant.NewSlotLimiter(), staticLimit: -1,
			zoneSums: make(map[string]grant.PeerUse),
		}
		if static {
			h.staticLimit = grantCap / len(record.Roster)
		}
		h.manager = grant.NewManager(m.ID, h.limiter, seed+uint64(i))
		f.hosts = append(f.hosts, h)
		h.step(grant.Config{Record: record, Caps: map[string]int{grantTeam: grantCap}})
		phase := time.Duration(rng.Int64N(int64(grantStep)))
		f.every(phase, grantStep, func() {
			h.simulateStep(poisson(rng.Float64, load(f, h)*grantStep.Seconds()/taskRunTime.Seconds()))
		})
		f.every(time.Duration(rng.Int64N(int64(loadInterval))), loadInterval, h.reportUse)
	}
	f.every(grantWarmUp, grantStep, f.addTotals)
	return f
}

// step passes an event to the manager and makes the store calls that it returns.
func (h *grantHost) step(ev grant.Event) {
	f := h.fleet
	for _, effect := range h.manager.Step(f.time(), ev) {
		f.totals.storeCalls++
		f.after(f.d.ZoneRTT/2+storeServiceTime, func() {
			completed := effect.Run(context.Background(), f.store)
			f.after(f.d.ZoneRTT/2, func() { h.step(completed) })
		})
	}
}

// simulateStep ends tasks, queues new ones and starts those that the grant allows. Every task runs for taskRunTime and
// takes one slot.
func (h *grantHost) simulateStep(newTasks int) {
	f := h.fleet
	kept := h.taskEnds[:0]
	for _, end := range h.taskEnds {
		if end > f.now {
			kept = append(kept, end)
		} else if h.staticLimit < 0 {
			h.limiter.Release(grantTeam, 1)
		}
	}
	h.taskEnds = kept
	h.waiting = min(h.waiting+newTasks, grantCap)
	for h.waiting > 0 && h.acquire() {
		h.waiting--
		h.taskEnds = append(h.taskEnds, f.now+taskRunTime)
	}
	if h.staticLimit >= 0 {
		return
	}
	h.step(grant.Demand{Teams: map[string]grant.TeamDemand{grantTeam: {Slots: h.waiting, SmallestTask: min(1, h.waiting)}}})
	h.step(grant.PeerDemand{Teams: map[string]grant.PeerUse{grantTeam: h.peerUse()}})
	h.step(grant.Tick{StoreConfirmedAt: f.time()})
}

func (h *grantHost) acquire() bool {
	if h.staticLimit >= 0 {
		return len(h.taskEnds) < h.staticLimit
	}
	return h.limiter.TryAcquire(grantTeam, 1)
}

// reportUse reports this host's use to its zone. On a relay, it also exchanges the sums of the zones. It replaces the
// messages of daemon/loads.go without their delays, which are short compared with the interval.
func (h *grantHost) reportUse() {
	h.reported = grant.PeerUse{InUse: len(h.taskEnds), Unmet: h.manager.Unmet()[grantTeam]}
	if !h.isRelay {
		return
	}
	sum := h.reported
	for _, other := range h.fleet.hosts {
		if other != h && other.zone == h.zone {
			sum = addUse(sum, other.reported)
			for zone, use := range h.zoneSums {
				other.zoneSums[zone] = use
			}
		}
	}
	for _, other := range h.fleet.hosts {
		if other.isRelay && other != h {
			other.zoneSums[h.zone] = sum
		}
	}
}

func (h *grantHost) peerUse() grant.PeerUse {
	var sum grant.PeerUse
	for _, other := range h.fleet.hosts {
		if other != h && other.zone == h.zone {
			sum = addUse(sum, other.reported)
		}
	}
	for _, use := range h.zoneSums {
		sum = addUse(sum, use)
	}
	return sum
}

func addUse(a, b grant.PeerUse) grant.PeerUse {
	return grant.PeerUse{InUse: a.InUse + b.InUse, Unmet: a.Unmet + b.Unmet}
}

// addTotals adds one step: the slots in use, the slots that would be in use if the cap were split perfectly, and the
// granted slots that are idle while tasks wait.
func (f *grantFleet) addTotals() {
	usedSlots, waiting, granted := 0, 0, 0
	for _, h := range f.hosts {
		usedSlots += len(h.taskEnds)
		waiting += h.waiting
		if h.staticLimit >= 0 {
			granted += h.staticLimit
		} else {
			granted += h.manager.Granted(grantTeam)
		}
	}
	f.totals.maxUsedSlots = max(f.totals.maxUsedSlots, usedSlots)
	f.totals.steps++
	f.totals.usedSlots += float64(usedSlots)
	f.totals.usableSlots += float64(min(grantCap, usedSlots+waiting))
	f.totals.idleWhileWaiting += float64(min(waiting, granted-usedSlots))
}

// oneZoneLoad is a load of overloadFactor times the cap in the first zone, and none in the others.
func oneZoneLoad(f *grantFleet, h *grantHost) float64 {
	if h.zone == f.d.Zones[0] {
		return overloadFactor * grantCap / entryHostsPerZone
	}
	return 0
}

// rotatingLoad is a load of overloadFactor times the cap in one zone at a time, which changes every burstLength.
func rotatingLoad(f *grantFleet, h *grantHost) float64 {
	if h.zone == f.d.Zones[int(f.now/burstLength)%len(f.d.Zones)] {
		return overloadFactor * grantCap / entryHostsPerZone
	}
	return 0
}
