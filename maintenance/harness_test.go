package maintenance

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/upstream"
)

const (
	listLag = time.Second // delay until the platform's host list shows a change
	sendLag = time.Second // maximum time from RecheckDrain to the drain
	// detectionLag is the time after which every entry host that begins a drain knows of a change. Its first term is
	// MaxObservationAge.
	detectionLag   = 2*time.Second + listLag + sendLag
	maxUnavailable = 2 // unavailable hosts permitted per pool and per zone of a pool; half as many per rack
)

// poolEpoch is the pool and epoch of a reservation, of a task, or of an assignment as an owner knows it.
type poolEpoch struct {
	pool  string
	epoch uint64
}

// fakeHost is a simulated upstream and its entry in the platform's host list. It checks the invariants of the test.
type fakeHost struct {
	upstream.Client
	bundle.Host
	sim      *simulation
	epoch    uint64
	draining bool
	bootAt   time.Time
	reserved []poolEpoch
	running  []poolEpoch
	accepted string // pool of the last accepted reservation
	// conditionSince holds the start times of the conditions that make the host unavailable: down, by hand (drained
	// by hand), zone (out of service). joinedAt is the time of its last move to another pool.
	conditionSince map[string]time.Time
	joinedAt       time.Time
}

func (h *fakeHost) setCondition(condition string, holds bool) {
	if _, ok := h.conditionSince[condition]; !holds {
		delete(h.conditionSince, condition)
	} else if !ok {
		h.conditionSince[condition] = h.sim.now
	}
}

func (h *fakeHost) hasCondition(condition string) bool { return !h.conditionSince[condition].IsZero() }

func (h *fakeHost) status() upstream.Status {
	return upstream.Status{
		Uptime: h.sim.now.Sub(h.bootAt), PoolEpoch: h.epoch, Draining: h.draining,
		Running: len(h.running), Reserved: upstream.Size{Slots: len(h.running) + len(h.reserved)},
	}
}

// Drain implements upstream.Client.
func (h *fakeHost) Drain(_ context.Context, epoch uint64, rejectAll bool) error {
	if h.hasCondition("down") {
		return upstream.ErrUnreachable
	}
	if epoch < h.epoch {
		return upstream.ErrStaleEpoch
	}
	h.raiseEpoch(epoch)
	if rejectAll && !h.draining {
		h.draining = true
		h.sim.checkBudget(h)
	}
	h.draining = rejectAll
	return nil
}

func (h *fakeHost) raiseEpoch(epoch uint64) {
	if epoch > h.epoch {
		h.epoch, h.reserved = epoch, nil // reservations of lower epochs are dropped
	}
}

func (h *fakeHost) reserve(r poolEpoch) {
	if h.hasCondition("down") || h.draining || r.epoch < h.epoch {
		return
	}
	h.raiseEpoch(r.epoch)
	for _, t := range h.running {
		if t.pool != r.pool {
			h.sim.t.Fatalf("%s accepted work for %s while a task of %s runs", h.ID, r.pool, t.pool)
		}
	}
	h.accepted, h.reserved = r.pool, append(h.reserved, r)
}

func (h *fakeHost) start() {
	if len(h.reserved) == 0 || h.hasCondition("down") {
		return
	}
	if pool := h.reserved[0].pool; pool != h.accepted {
		h.sim.t.Fatalf("%s started a task of %s after it accepted work for %s", h.ID, pool, h.accepted)
	}
	h.running, h.reserved = append(h.running, h.reserved[0]), h.reserved[1:]
}

// simulation simulates the platform, the store and the upstreams.
type simulation struct {
	platform.HostList
	t             interface{ Fatalf(string, ...any) }
	now           time.Time
	bundle        *bundle.Bundle
	record        control.Record
	hosts         []*fakeHost
	loads         map[string]Load
	drains, moves int
}

// entryHost is an entry host that decides on its own observations, which may be outdated. changes are the changes that
// it will try to commit, and prepared is the action that it will perform next.
type entryHost struct {
	bundle     *bundle.Bundle
	record     control.Record
	obs        Observations
	changes    []Change
	prepared   *Action
	preparedAt time.Time
}

func newSimulation(t interface{ Fatalf(string, ...any) }) *simulation {
	sim := &simulation{t: t, now: time.Unix(1_800_000_000, 0), loads: map[string]Load{}}
	sim.bundle = &bundle.Bundle{Version: 1, Zones: []bundle.Zone{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
	for _, p := range []string{"cut", "label", "spare"} {
		sim.bundle.Pools = append(sim.bundle.Pools, bundle.Pool{
			Name: p, Spare: p == "spare", DrainMS: 5000, MaintainEveryHours: 1,
			Budget: bundle.Budget{
				MaxUnavailable: maxUnavailable, MaxUnavailablePerRack: maxUnavailable / 2, MaxUnavailablePerZone: maxUnavailable,
			},
		})
	}
	for i := range 15 {
		zone := string(rune('a' + i/5))
		h := bundle.Host{ID: fmt.Sprintf("u%02d", i), Zone: zone, Rack: fmt.Sprint(zone, i%2), Capacity: upstream.Size{Slots: 8}}
		sim.bundle.Pools[i%3].Hosts = append(sim.bundle.Pools[i%3].Hosts, h.ID)
		sim.bundle.Hosts = append(sim.bundle.Hosts, h)
		sim.hosts = append(sim.hosts, &fakeHost{Host: h, sim: sim, bootAt: sim.now, conditionSince: map[string]time.Time{}})
	}
	sim.record = Reconcile(control.Record{BundleVersion: 1}, sim.bundle)
	for i := range sim.hosts {
		sim.record.Assignments[i].MaintainedUnixMS = sim.now.Add(-time.Hour).UnixMilli()
		sim.hosts[i].epoch = sim.record.Assignments[i].Epoch
	}
	return sim
}

func (sim *simulation) host(id string) *fakeHost {
	return sim.hosts[slices.IndexFunc(sim.hosts, func(h *fakeHost) bool { return h.ID == id })]
}

func (sim *simulation) poolOf(h *fakeHost) string {
	a, _ := sim.record.Assignment(h.ID)
	return a.Pool
}

// checkBudget fails the test if the drain of a host exceeds the budget of its pool. It counts the hosts in the pool
// that are draining or otherwise unavailable. Conditions and moves count only after detectionLag, since the entry
// hosts cannot know of newer ones.
func (sim *simulation) checkBudget(drained *fakeHost) {
	sim.drains++
	isDetectable := func(at time.Time) bool { return sim.now.Sub(at) > detectionLag }
	var all, inZone, inRack int
	for _, h := range sim.hosts {
		isUnavailable := h.draining || slices.ContainsFunc(slices.Collect(maps.Values(h.conditionSince)), isDetectable)
		if sim.poolOf(h) != sim.poolOf(drained) || h != drained && !(isUnavailable && isDetectable(h.joinedAt)) {
			continue
		}
		all++
		if h.Zone == drained.Zone {
			inZone++
		}
		if h.Rack == drained.Rack {
			inRack++
		}
	}
	if all > maxUnavailable || inZone > maxUnavailable || inRack > maxUnavailable/2 {
		sim.t.Fatalf("drain of %s: %d unavailable in its pool, %d in its zone, %d in its rack", drained.ID, all, inZone, inRack)
	}
}

// observe refreshes the observations of an entry host. Hosts that are down keep their last observation.
func (sim *simulation) observe(e *entryHost) {
	observed := maps.Clone(e.obs.Hosts)
	if observed == nil {
		observed = map[string]HostObservation{}
	}
	for _, h := range sim.hosts {
		o := observed[h.ID]
		if !h.hasCondition("down") {
			o.At, o.Status = sim.now, h.status()
		}
		o.PlatformState, o.DrainedByHand = platform.HostLive,
			h.hasCondition("by hand") && sim.now.Sub(h.conditionSince["by hand"]) >= listLag
		observed[h.ID] = o
	}
	e.bundle, e.record = sim.bundle, sim.record
	e.obs = Observations{
		RecordConfirmedAt: sim.now, HostListRequestedAt: sim.now, Hosts: observed, Loads: maps.Clone(sim.loads),
	}
}

// commit applies the entry host's changes to the current record, as a read followed by a successful compare-and-swap.
// If the response is lost, the entry host keeps the changes and retries later.
func (sim *simulation) commit(e *entryHost, isResponseLost bool) {
	if next, err := Apply(sim.record, e.changes); err == nil {
		outOfService := map[string]int{}
		for i, a := range next.Assignments {
			if a.Pool != sim.record.Assignments[i].Pool {
				sim.hosts[i].joinedAt = sim.now
				sim.moves++
			}
			if a.State != control.InService {
				outOfService[a.Pool]++
			}
			if a.Host != sim.hosts[i].ID || a.Epoch > next.PoolSeq || outOfService[a.Pool] > maxUnavailable {
				sim.t.Fatalf("assignment %+v, %d out of service in its pool", a, outOfService[a.Pool])
			}
		}
		sim.record = next
	}
	if !isResponseLost {
		e.changes = nil
	}
}

// prepare starts an action of an entry host, deliver performs it. deliver drops a drain that was delayed for more than
// sendLag.
func (sim *simulation) prepare(e *entryHost, a Action) {
	if a.Kind == Commit {
		e.changes = []Change{a.Change}
		return
	}
	if a.Kind == Drain {
		if change, ok := RecheckDrain(sim.now, e.bundle, &e.record, e.obs, a.Host); !ok {
			e.changes = []Change{change}
			return
		}
	}
	e.prepared, e.preparedAt = &a, sim.now
}

func (sim *simulation) deliver(e *entryHost) {
	if e.prepared != nil && (e.prepared.Kind != Drain || sim.now.Sub(e.preparedAt) <= sendLag) {
		err := Perform(context.Background(), *e.prepared, sim.host(e.prepared.Host), sim)
		if err != nil && !errors.Is(err, upstream.ErrUnreachable) {
			sim.t.Fatalf("%+v: %v", *e.prepared, err)
		}
	}
}

// Reboot implements platform.HostList. The platform reboots only drained hosts.
func (sim *simulation) Reboot(_ context.Context, id string) error {
	h := sim.host(id)
	if len(h.running) > 0 && h.draining {
		sim.t.Fatalf("reboot of %s interrupts %d tasks", id, len(h.running))
	}
	if h.draining && !h.hasCondition("down") {
		h.bootAt = sim.now
	}
	return nil
}

// setZone takes a zone out of service or returns it to service with a new bundle version.
func (sim *simulation) setZone(i int, out bool) {
	next := *sim.bundle
	next.Version++
	next.Zones = slices.Clone(next.Zones)
	next.Zones[i].OutOfService = out
	sim.bundle, sim.record.BundleVersion = &next, next.Version
	for _, h := range sim.hosts {
		if h.Zone == next.Zones[i].Name {
			h.setCondition("zone", out)
		}
	}
}
