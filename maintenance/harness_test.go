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
	listLag    = time.Second // of the platform's host list
	sendLag    = time.Second // longest time from Recheck to the drain
	observable = 2*time.Second + listLag + sendLag
	limit      = 2 // unavailable hosts of a pool and of its part in a zone; half of it in a rack
)

// work is a reservation or a task, or what an owner knows of an assignment.
type work struct {
	pool  string
	epoch uint64
}

// fakeHost is an upstream with its line of the host list. The checkers count here.
type fakeHost struct {
	upstream.Client
	bundle.Host
	w        *world
	epoch    uint64
	draining bool
	bootAt   time.Time
	reserved []work
	running  []work
	accepted string // pool of the last accepted reservation
	// away has the starts of conditions that make the host unavailable: down, by hand, zone. joinedAt is the time
	// of its last change of pool.
	away     map[string]time.Time
	joinedAt time.Time
}

func (h *fakeHost) set(condition string, holds bool) {
	if _, ok := h.away[condition]; !holds {
		delete(h.away, condition)
	} else if !ok {
		h.away[condition] = h.w.now
	}
}

func (h *fakeHost) is(condition string) bool { return !h.away[condition].IsZero() }

func (h *fakeHost) status() upstream.Status {
	return upstream.Status{
		Uptime: h.w.now.Sub(h.bootAt), PoolEpoch: h.epoch, Draining: h.draining,
		Running: len(h.running), Reserved: upstream.Size{Slots: len(h.running) + len(h.reserved)},
	}
}

// Drain implements upstream.Client.
func (h *fakeHost) Drain(_ context.Context, epoch uint64, stop bool) error {
	if h.is("down") {
		return upstream.ErrUnreachable
	}
	if epoch < h.epoch {
		return upstream.ErrStaleEpoch
	}
	h.raise(epoch)
	if stop && !h.draining {
		h.draining = true
		h.w.checkBudget(h)
	}
	h.draining = stop
	return nil
}

func (h *fakeHost) raise(epoch uint64) {
	if epoch > h.epoch {
		h.epoch, h.reserved = epoch, nil // reservations of lower epochs lapse
	}
}

func (h *fakeHost) reserve(r work) {
	if h.is("down") || h.draining || r.epoch < h.epoch {
		return
	}
	h.raise(r.epoch)
	for _, t := range h.running {
		if t.pool != r.pool {
			h.w.t.Fatalf("%s accepted work for %s while a task of %s runs", h.ID, r.pool, t.pool)
		}
	}
	h.accepted, h.reserved = r.pool, append(h.reserved, r)
}

func (h *fakeHost) start() {
	if len(h.reserved) == 0 || h.is("down") {
		return
	}
	if pool := h.reserved[0].pool; pool != h.accepted {
		h.w.t.Fatalf("%s started a task of %s after it accepted work for %s", h.ID, pool, h.accepted)
	}
	h.running, h.reserved = append(h.running, h.reserved[0]), h.reserved[1:]
}

// world is the platform, the store and the upstreams.
type world struct {
	platform.HostList
	t            interface{ Fatalf(string, ...any) }
	now          time.Time
	bundle       *bundle.Bundle
	record       control.Record
	hosts        []*fakeHost
	loads        map[string]Load
	stops, moves int
}

// driver is an entry host that decides on its own view, which may be outdated.
type driver struct {
	bundle  *bundle.Bundle
	record  control.Record
	obs     Observations
	changes []Change
	send    *Action
	sendAt  time.Time
}

func newWorld(t interface{ Fatalf(string, ...any) }) *world {
	w := &world{t: t, now: time.Unix(1_800_000_000, 0), loads: map[string]Load{}}
	w.bundle = &bundle.Bundle{Version: 1, Zones: []bundle.Zone{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
	for _, p := range []string{"cut", "label", "spare"} {
		w.bundle.Pools = append(w.bundle.Pools, bundle.Pool{
			Name: p, Spare: p == "spare", DrainMS: 5000, MaintainEveryHours: 1,
			Budget: bundle.Budget{MaxUnavailable: limit, MaxUnavailablePerRack: limit / 2, MaxUnavailablePerZone: limit},
		})
	}
	for i := range 15 {
		zone := string(rune('a' + i/5))
		h := bundle.Host{ID: fmt.Sprintf("u%02d", i), Zone: zone, Rack: fmt.Sprint(zone, i%2), Capacity: upstream.Size{Slots: 8}}
		w.bundle.Pools[i%3].Hosts = append(w.bundle.Pools[i%3].Hosts, h.ID)
		w.bundle.Hosts = append(w.bundle.Hosts, h)
		w.hosts = append(w.hosts, &fakeHost{Host: h, w: w, bootAt: w.now, away: map[string]time.Time{}})
	}
	w.record = Reconcile(control.Record{BundleVersion: 1}, w.bundle)
	for i := range w.hosts {
		w.record.Assignments[i].MaintainedUnixMS = w.now.Add(-time.Hour).UnixMilli()
		w.hosts[i].epoch = w.record.Assignments[i].Epoch
	}
	return w
}

func (w *world) host(id string) *fakeHost {
	return w.hosts[slices.IndexFunc(w.hosts, func(h *fakeHost) bool { return h.ID == id })]
}

func (w *world) poolOf(h *fakeHost) string {
	a, _ := w.record.Assignment(h.ID)
	return a.Pool
}

// checkBudget counts the unavailable hosts of the pool of a host that the system has just stopped: those that the
// system stopped, and those that have been unavailable, or in this pool, for long enough that it could know.
func (w *world) checkBudget(stopped *fakeHost) {
	w.stops++
	known := func(at time.Time) bool { return w.now.Sub(at) > observable }
	var all, inZone, inRack int
	for _, h := range w.hosts {
		isAway := h.draining || slices.ContainsFunc(slices.Collect(maps.Values(h.away)), known)
		if w.poolOf(h) != w.poolOf(stopped) || h != stopped && !(isAway && known(h.joinedAt)) {
			continue
		}
		all++
		if h.Zone == stopped.Zone {
			inZone++
		}
		if h.Rack == stopped.Rack {
			inRack++
		}
	}
	if all > limit || inZone > limit || inRack > limit/2 {
		w.t.Fatalf("stop of %s: %d unavailable in its pool, %d in its zone, %d in its rack", stopped.ID, all, inZone, inRack)
	}
}

// look refreshes the view of a driver. Hosts that are down keep their last observation.
func (w *world) look(d *driver) {
	seen := maps.Clone(d.obs.Hosts)
	if seen == nil {
		seen = map[string]HostObservation{}
	}
	for _, h := range w.hosts {
		o := seen[h.ID]
		if !h.is("down") {
			o.At, o.Status = w.now, h.status()
		}
		o.Listed, o.DrainedByHand = platform.HostLive, h.is("by hand") && w.now.Sub(h.away["by hand"]) >= listLag
		seen[h.ID] = o
	}
	d.bundle, d.record = w.bundle, w.record
	d.obs = Observations{RecordAt: w.now, HostListAt: w.now, Hosts: seen, Loads: maps.Clone(w.loads)}
}

// commit is a compare-and-swap after a read. If its answer is lost, the driver tries again later.
func (w *world) commit(d *driver, isAnswerLost bool) {
	if next, err := Apply(w.record, d.changes); err == nil {
		out := map[string]int{}
		for i, a := range next.Assignments {
			if a.Pool != w.record.Assignments[i].Pool {
				w.hosts[i].joinedAt = w.now
				w.moves++
			}
			if a.State != control.InService {
				out[a.Pool]++
			}
			if a.Host != w.hosts[i].ID || a.Epoch > next.PoolSeq || out[a.Pool] > limit {
				w.t.Fatalf("assignment %+v, %d out of service in its pool", a, out[a.Pool])
			}
		}
		w.record = next
	}
	if !isAnswerLost {
		d.changes = nil
	}
}

// prepare decides on an action of a driver, deliver performs it. It drops a drain that was held up for too long.
func (w *world) prepare(d *driver, a Action) {
	if a.Kind == Commit {
		d.changes = []Change{a.Change}
		return
	}
	if a.Kind == Drain {
		if withdrawal, ok := Recheck(w.now, d.bundle, &d.record, d.obs, a.Host); !ok {
			d.changes = []Change{withdrawal}
			return
		}
	}
	d.send, d.sendAt = &a, w.now
}

func (w *world) deliver(d *driver) {
	if d.send != nil && (d.send.Kind != Drain || w.now.Sub(d.sendAt) <= sendLag) {
		err := Perform(context.Background(), *d.send, w.host(d.send.Host), w)
		if err != nil && !errors.Is(err, upstream.ErrUnreachable) {
			w.t.Fatalf("%+v: %v", *d.send, err)
		}
	}
}

// Reboot implements platform.HostList. The platform reboots drained hosts only.
func (w *world) Reboot(_ context.Context, id string) error {
	h := w.host(id)
	if len(h.running) > 0 && h.draining {
		w.t.Fatalf("reboot of %s cuts off %d tasks", id, len(h.running))
	}
	if h.draining && !h.is("down") {
		h.bootAt = w.now
	}
	return nil
}

// setZone takes a zone out of service or returns it, with a new bundle.
func (w *world) setZone(i int, out bool) {
	next := *w.bundle
	next.Version++
	next.Zones = slices.Clone(next.Zones)
	next.Zones[i].OutOfService = out
	w.bundle, w.record.BundleVersion = &next, next.Version
	for _, h := range w.hosts {
		if h.Zone == next.Zones[i].Name {
			h.set("zone", out)
		}
	}
}
