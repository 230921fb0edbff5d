package experiment

import (
	"time"

	"citrongauge.example/citrongauge/admission"
	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/maintenance"
	"citrongauge.example/citrongauge/routing"
	"citrongauge.example/citrongauge/upstream"
)

// Times of package dispatch, whose machine the experiment leaves out.
const (
	callTimeout  = 500 * time.Millisecond
	retryBackoff = 10 * time.Millisecond
	maxRefusals  = 6
)

// zoneFleet is a fleet with routing tables and single upstreams, of which those of one zone leave and return.
type zoneFleet struct {
	*fleet
	bundle *bundle.Bundle
	record control.Record
	tables map[*entryHost]*routing.Table
	ups    map[string]*zoneUpstream
	order  []*zoneUpstream
	// cutOff counts tasks that were running when their upstream left.
	cutOff int
}

type zoneUpstream struct {
	id   string
	zone string
	pool string
	gone bool
	used int
	// epoch rises when the upstream leaves, so that its tasks do not end later.
	epoch int
}

func newZoneFleet(d Deployment, seed uint64) *zoneFleet {
	name := serviceName(0)
	z := &zoneFleet{
		fleet: newFleet(d, seed, exchanging, []string{name}), bundle: d.bundle(),
		tables: make(map[*entryHost]*routing.Table), ups: make(map[string]*zoneUpstream),
	}
	z.place = func(h *entryHost, t *task) { z.try(h, t, nil) }
	z.record = maintenance.Reconcile(control.Record{Revision: 1, BundleVersion: 1, Roster: d.members()}, z.bundle)
	zones := make(map[string]string)
	for _, h := range z.bundle.Hosts {
		zones[h.ID] = h.Zone
	}
	for _, a := range z.record.Assignments {
		u := &zoneUpstream{id: a.Host, zone: zones[a.Host], pool: a.Pool}
		z.ups[a.Host] = u
		if a.Pool == name {
			z.order = append(z.order, u)
		}
	}
	for i, h := range z.hosts {
		z.tables[h] = routing.New(h.zone, seed+uint64(i))
		z.adopt(h)
	}
	z.every(planInterval/2, planInterval, z.observe)
	return z
}

// adopt gives the bundle to an entry host.
func (z *zoneFleet) adopt(h *entryHost) {
	z.tables[h].Update(&z.record, z.bundle, z.time())
	config := admission.Config{Pools: make(map[string]admission.PoolConfig), Weights: z.d.weights()}
	for _, u := range z.order {
		if z.isOut(u.zone) {
			continue
		}
		pool := config.Pools[u.pool]
		pool.Capacity = admission.Sizes(pool.Capacity, z.d.hostSize())
		config.Pools[u.pool] = pool
	}
	h.scheduler.Configure(config)
	h.wake()
}

func (z *zoneFleet) isOut(name string) bool {
	for _, zone := range z.bundle.Zones {
		if zone.Name == name {
			return zone.OutOfService
		}
	}
	return false
}

// setRamp sets the ramp of all zones in the bundle. It is called before the zones leave.
func (z *zoneFleet) setRamp(ramp time.Duration) {
	for i := range z.bundle.Zones {
		z.bundle.Zones[i].RampMS = ramp.Milliseconds()
	}
}

// setZone rolls out a bundle that takes a zone out of service or returns it.
func (z *zoneFleet) setZone(name string, out bool) {
	next := *z.bundle
	next.Version++
	next.Zones = append([]bundle.Zone(nil), next.Zones...)
	for i := range next.Zones {
		if next.Zones[i].Name == name {
			next.Zones[i].OutOfService = out
		}
	}
	z.bundle = &next
	z.record.Revision++
	z.record.BundleVersion++
	for _, h := range z.hosts {
		z.after(storeService+z.random(rollOutSpread), func() { z.adopt(h) })
	}
}

// setGone makes the upstreams of a zone unreachable, or reachable again without tasks.
func (z *zoneFleet) setGone(name string, gone bool) {
	for _, u := range z.order {
		if u.zone != name {
			continue
		}
		if gone {
			z.cutOff += u.used
			u.epoch++
		}
		u.gone, u.used = gone, 0
	}
}

// observe gives the planner's host, which asks all upstreams for their status, what they hold.
func (z *zoneFleet) observe() {
	for _, u := range z.order {
		if !u.gone {
			size := upstream.Size{Slots: u.used, CPUs: u.used}
			z.tables[z.hosts[0]].NoteStatus(u.id, upstream.Status{Reserved: size}, z.time(), z.time())
		}
	}
}

// try makes one attempt and, if it is refused, the next one.
func (z *zoneFleet) try(h *entryHost, t *task, tried []string) {
	if len(tried) == maxRefusals {
		h.requeue(t)
		return
	}
	c, err := z.tables[h].Pick(t.request.Pool, t.request.Size, tried, z.time())
	if err != nil {
		h.requeue(t)
		return
	}
	tried = append(append([]string(nil), tried...), c.Host)
	z.after(z.d.oneWay(h.zone, c.Zone), func() { z.arrive(h, t, c, tried) })
}

func (z *zoneFleet) arrive(h *entryHost, t *task, c routing.Candidate, tried []string) {
	u := z.ups[c.Host]
	back, sent := z.d.oneWay(h.zone, c.Zone), z.now-z.d.oneWay(h.zone, c.Zone)
	again := func(wait time.Duration, outcome routing.Outcome) {
		z.after(wait, func() {
			z.tables[h].Done(c, routing.Report{Outcome: outcome, Team: t.request.Team}, z.time())
			z.after(retryBackoff, func() { z.try(h, t, tried) })
		})
	}
	switch {
	case u.gone:
		again(sent+callTimeout-z.now, routing.Unreachable)
		return
	case u.used+t.request.Size.Slots > slotsPerHost:
		again(back, routing.Full)
		return
	}
	u.used += t.request.Size.Slots
	epoch := u.epoch
	z.after(t.run, func() {
		if u.epoch != epoch {
			z.after(callTimeout, func() { z.done(h, t, c, routing.Report{Outcome: routing.Unreachable}) })
			return
		}
		u.used -= t.request.Size.Slots
		z.after(back, func() { z.done(h, t, c, routing.Report{Outcome: routing.Succeeded, Latency: 2 * back, Run: t.run}) })
	})
}

func (z *zoneFleet) done(h *entryHost, t *task, c routing.Candidate, r routing.Report) {
	r.Team = t.request.Team
	z.tables[h].Done(c, r, z.time())
	h.forget(t)
}
