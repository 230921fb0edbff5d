package maintenance

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/upstream"
)

const (
	// listLag is the lag of the platform's host list, sendLag the longest time from Recheck to the drain.
	listLag = time.Second
	sendLag = time.Second
	// observable is the time after which the system could have known of a change that it did not make.
	observable = FreshFor + listLag + sendLag
)

// failer is the part of rapid.T that the checkers need.
type failer interface {
	Fatalf(format string, args ...any)
}

// work is a reservation or a task at a fake upstream.
type work struct {
	pool  string
	epoch uint64
}

// fakeHost is an upstream and its line of the host list. It counts what the checkers need.
type fakeHost struct {
	upstream.Client
	w        *world
	id       string
	epoch    uint64
	draining bool
	bootAt   time.Time
	reserved []work
	running  []work
	accepted string // pool of the last reservation that was accepted
	// downAt, byHandAt and zoneOutAt are set while the host is unavailable for this reason.
	downAt, byHandAt, zoneOutAt time.Time
	// joinedAt is the time at which the record gave it to its pool.
	joinedAt time.Time
}

func (h *fakeHost) status() upstream.Status {
	return upstream.Status{
		Uptime:    h.w.now.Sub(h.bootAt),
		PoolEpoch: h.epoch,
		Draining:  h.draining,
		Running:   len(h.running),
		Reserved:  upstream.Size{Slots: len(h.running) + len(h.reserved)},
	}
}

// Drain implements upstream.Client.
func (h *fakeHost) Drain(_ context.Context, epoch uint64, stop bool) error {
	if !h.downAt.IsZero() {
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
		h.reserved = nil // they are all of a lower epoch
	}
	h.epoch = max(h.epoch, epoch)
}

func (h *fakeHost) reserve(r work) bool {
	if !h.downAt.IsZero() || h.draining || r.epoch < h.epoch {
		return false
	}
	h.raise(r.epoch)
	for _, t := range h.running {
		if t.pool != r.pool {
			h.w.t.Fatalf("%s accepted work for %s while a task of %s runs", h.id, r.pool, t.pool)
		}
	}
	h.accepted = r.pool
	h.reserved = append(h.reserved, r)
	return true
}

func (h *fakeHost) start() {
	if len(h.reserved) == 0 || !h.downAt.IsZero() {
		return
	}
	r := h.reserved[0]
	if r.pool != h.accepted {
		h.w.t.Fatalf("%s started a task of %s after it accepted work for %s", h.id, r.pool, h.accepted)
	}
	h.reserved, h.running = h.reserved[1:], append(h.running, r)
}

// world is the platform, the store and the upstreams.
type world struct {
	t        failer
	now      time.Time
	bundle   *bundle.Bundle
	record   control.Record
	hosts    map[string]*fakeHost
	loads    map[string]Load
	planners []*driver
	stops    int
}

// driver is an entry host that plans and acts on its own, possibly outdated, view.
type driver struct {
	bundle  *bundle.Bundle
	record  control.Record
	obs     Observations
	changes []Change
	send    *Action
	sendAt  time.Time
}

func newWorld(t failer, planners int) *world {
	w := &world{t: t, now: time.Unix(1_800_000_000, 0), hosts: map[string]*fakeHost{}, loads: map[string]Load{}}
	w.bundle = &bundle.Bundle{Version: 1, Zones: []bundle.Zone{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
	for _, p := range []string{"cut", "label", "spare"} {
		w.bundle.Pools = append(w.bundle.Pools, bundle.Pool{
			Name: p, Spare: p == "spare", DrainMS: 5000, MaintainEveryHours: 1,
			Budget: bundle.Budget{MaxUnavailable: 2, MaxUnavailablePerRack: 1, MaxUnavailablePerZone: 2},
		})
	}
	for i := range 15 {
		id := fmt.Sprintf("u%02d", i)
		p := &w.bundle.Pools[i%3]
		p.Hosts = append(p.Hosts, id)
		zone := string(rune('a' + i/5))
		rack := fmt.Sprintf("%s%d", zone, i%2)
		w.bundle.Hosts = append(w.bundle.Hosts, bundle.Host{ID: id, Zone: zone, Rack: rack, Capacity: upstream.Size{Slots: 8}})
		w.hosts[id] = &fakeHost{w: w, id: id, bootAt: w.now}
	}
	w.record = Reconcile(control.Record{BundleVersion: 1}, w.bundle)
	for i := range w.record.Assignments {
		a := &w.record.Assignments[i]
		a.MaintainedUnixMS = w.now.Add(-time.Hour).UnixMilli()
		w.hosts[a.Host].epoch = a.Epoch
	}
	for range planners {
		w.planners = append(w.planners, &driver{})
	}
	return w
}

// checkBudget counts, for a host that the system has just stopped, its pool's unavailable hosts.
func (w *world) checkBudget(stopped *fakeHost) {
	w.stops++
	pool, host := w.poolOf(stopped.id), w.hostOf(stopped.id)
	var all, inZone, inRack int
	for id, h := range w.hosts {
		if w.poolOf(id) != pool || !w.isKnownUnavailable(h, h == stopped) {
			continue
		}
		other := w.hostOf(id)
		all++
		if other.Zone == host.Zone {
			inZone++
			if other.Rack == host.Rack {
				inRack++
			}
		}
	}
	if all > 2 || inZone > 2 || inRack > 1 {
		w.t.Fatalf("stop of %s: %d unavailable in pool %s, %d in its zone, %d in its rack", stopped.id, all, pool, inZone, inRack)
	}
}

// isKnownUnavailable reports whether the system stopped the host or could have observed that it is unavailable. A
// host that has just joined the pool is one that a view of the record within FreshFor may not show there.
func (w *world) isKnownUnavailable(h *fakeHost, isStopped bool) bool {
	known := func(at time.Time) bool { return !at.IsZero() && w.now.Sub(at) > observable }
	if !isStopped && !h.joinedAt.IsZero() && !known(h.joinedAt) {
		return false
	}
	return isStopped || h.draining || known(h.downAt) || known(h.byHandAt) || known(h.zoneOutAt)
}

func (w *world) poolOf(id string) string {
	a, _ := w.record.Assignment(id)
	return a.Pool
}

func (w *world) hostOf(id string) bundle.Host {
	i := slices.IndexFunc(w.bundle.Hosts, func(h bundle.Host) bool { return h.ID == id })
	return w.bundle.Hosts[i]
}

// look refreshes the view of a driver. Hosts that are down keep their last observation.
func (w *world) look(d *driver) {
	d.bundle, d.record = w.bundle, w.record
	hosts := maps.Clone(d.obs.Hosts)
	if hosts == nil {
		hosts = map[string]HostObservation{}
	}
	for id, h := range w.hosts {
		seen := hosts[id]
		if h.downAt.IsZero() {
			seen.At, seen.Status = w.now, h.status()
		}
		seen.Listed = platform.HostLive
		seen.DrainedByHand = !h.byHandAt.IsZero() && w.now.Sub(h.byHandAt) >= listLag
		hosts[id] = seen
	}
	d.obs = Observations{RecordAt: w.now, HostListAt: w.now, Hosts: hosts, Loads: maps.Clone(w.loads)}
}

// commit is the compare-and-swap of a driver that reads the record first. After a lost answer it tries again.
func (w *world) commit(d *driver, isAnswerLost bool) {
	next, err := Apply(w.record, d.changes)
	if err == nil {
		for i, a := range next.Assignments {
			if a.Pool != w.record.Assignments[i].Pool {
				w.hosts[a.Host].joinedAt = w.now
			}
		}
		w.record = next
	}
	if !isAnswerLost {
		d.changes = nil
	}
}

// prepare decides on one of the next actions of a driver.
func (w *world) prepare(d *driver, a Action) {
	switch a.Kind {
	case Commit:
		d.changes = []Change{a.Change}
		return
	case Drain:
		withdrawal, ok := Recheck(w.now, d.bundle, &d.record, d.obs, a.Host)
		if !ok {
			d.changes = []Change{withdrawal}
			return
		}
	}
	d.send, d.sendAt = &a, w.now
}

// deliver performs the action that a driver has decided on. A drain that was held up for too long is dropped.
func (w *world) deliver(d *driver) {
	if d.send == nil || d.send.Kind == Drain && w.now.Sub(d.sendAt) > sendLag {
		d.send = nil
		return
	}
	_ = Perform(context.Background(), *d.send, w.hosts[d.send.Host], w)
}

// Hosts implements platform.HostList.
func (w *world) Hosts(context.Context) ([]platform.HostStatus, error) { return nil, nil }

// Reboot implements platform.HostList. The platform reboots drained hosts only.
func (w *world) Reboot(_ context.Context, id string) error {
	h := w.hosts[id]
	if h.draining && h.downAt.IsZero() {
		if len(h.running) > 0 {
			w.t.Fatalf("reboot of %s cuts off %d tasks", id, len(h.running))
		}
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
	w.bundle = &next
	w.record.BundleVersion = next.Version
	for id, h := range w.hosts {
		if w.hostOf(id).Zone == next.Zones[i].Name {
			h.zoneOutAt = since(w.now, out, h.zoneOutAt)
		}
	}
}

// since returns the start of a condition.
func since(now time.Time, holds bool, before time.Time) time.Time {
	if !holds {
		return time.Time{}
	}
	if before.IsZero() {
		return now
	}
	return before
}

// checkRecord checks that each host has exactly one assignment.
func (w *world) checkRecord(t *rapid.T) {
	seen := map[string]bool{}
	for _, a := range w.record.Assignments {
		if seen[a.Host] || a.Epoch > w.record.PoolSeq {
			t.Fatalf("assignment %+v", a)
		}
		seen[a.Host] = true
	}
	if len(seen) != len(w.hosts) {
		t.Fatalf("%d hosts have an assignment", len(seen))
	}
}
