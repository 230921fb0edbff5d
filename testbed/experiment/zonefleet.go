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

// Values as in package dispatch, whose state machine this experiment leaves out. The backoff is constant here; in package
// dispatch it increases with each attempt.
const (
	callTimeout       = 500 * time.Millisecond
	retryBackoff      = 10 * time.Millisecond
	maxNotRunAttempts = 6
)

// zoneFleet is a fleet with routing tables and individual upstreams, whose zones can leave and return.
type zoneFleet struct {
	*fleet
	bundle        *bundle.Bundle
	record        control.Record
	tables        map[*entryHost]*routing.Table
	upstreams     map[string]*zoneUpstream
	poolUpstreams []*zoneUpstream
	// interruptedTasks is the number of tasks that were running on upstreams when these became unreachable.
	interruptedTasks int
}

type zoneUpstream struct {
	id          string
	zone        string
	pool        string
	unreachable bool
	usedSlots   int
	// generation is incremented when the upstream becomes unreachable, so that the tasks it was running never succeed.
	generation int
}

func newZoneFleet(d Deployment, seed uint64) *zoneFleet {
	name := serviceName(0)
	z := &zoneFleet{
		fleet: newFleet(d, seed, exchangingLoads, []string{name}), bundle: d.bundle(),
		tables: make(map[*entryHost]*routing.Table), upstreams: make(map[string]*zoneUpstream),
	}
	z.dispatch = func(h *entryHost, t *task) { z.attempt(h, t, nil) }
	z.record = maintenance.Reconcile(control.Record{Revision: 1, BundleVersion: 1, Roster: d.roster()}, z.bundle)
	zones := make(map[string]string)
	for _, h := range z.bundle.Hosts {
		zones[h.ID] = h.Zone
	}
	for _, a := range z.record.Assignments {
		u := &zoneUpstream{id: a.Host, zone: zones[a.Host], pool: a.Pool}
		z.upstreams[a.Host] = u
		if a.Pool == name {
			z.poolUpstreams = append(z.poolUpstreams, u)
		}
	}
	for i, h := range z.hosts {
		z.tables[h] = routing.New(h.zone, seed+uint64(i))
		z.adoptBundle(h)
	}
	z.every(planInterval/2, planInterval, z.observe)
	return z
}

// adoptBundle applies the current bundle and control record at an entry host.
func (z *zoneFleet) adoptBundle(h *entryHost) {
	z.tables[h].Update(&z.record, z.bundle, z.time())
	config := admission.Config{Pools: make(map[string]admission.PoolConfig), Weights: z.d.weights()}
	for _, u := range z.poolUpstreams {
		if z.isOutOfService(u.zone) {
			continue
		}
		pool := config.Pools[u.pool]
		pool.Capacity = admission.SumSizes(pool.Capacity, z.d.hostCapacity())
		config.Pools[u.pool] = pool
	}
	h.scheduler.Configure(config)
	h.wake()
}

func (z *zoneFleet) isOutOfService(name string) bool {
	for _, zone := range z.bundle.Zones {
		if zone.Name == name {
			return zone.OutOfService
		}
	}
	return false
}

// setRamp sets the ramp of all zones in the bundle. It must be called before a zone leaves.
func (z *zoneFleet) setRamp(ramp time.Duration) {
	for i := range z.bundle.Zones {
		z.bundle.Zones[i].RampMS = ramp.Milliseconds()
	}
}

// setOutOfService rolls out a bundle that takes a zone out of service or returns it to service.
func (z *zoneFleet) setOutOfService(name string, out bool) {
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
		z.after(storeServiceTime+z.randomDuration(adoptionSpread), func() { z.adoptBundle(h) })
	}
}

// setUnreachable makes the upstreams of a zone unreachable, or reachable again without any tasks.
func (z *zoneFleet) setUnreachable(name string, unreachable bool) {
	for _, u := range z.poolUpstreams {
		if u.zone != name {
			continue
		}
		if unreachable {
			z.interruptedTasks += u.usedSlots
			u.generation++
		}
		u.unreachable, u.usedSlots = unreachable, 0
	}
}

// observe reports the status of all reachable upstreams to the first entry host, which runs the planner.
func (z *zoneFleet) observe() {
	for _, u := range z.poolUpstreams {
		if !u.unreachable {
			size := upstream.Size{Slots: u.usedSlots, CPUs: u.usedSlots}
			z.tables[z.hosts[0]].RecordStatus(u.id, upstream.Status{Reserved: size}, z.time(), z.time())
		}
	}
}

// attempt sends a task to an upstream that was not tried yet. It requeues the task after maxNotRunAttempts
// attempts, or if there is no such upstream.
func (z *zoneFleet) attempt(h *entryHost, t *task, tried []string) {
	if len(tried) == maxNotRunAttempts {
		h.requeue(t)
		return
	}
	selection, err := z.tables[h].Pick(t.request.Pool, t.request.Size, tried, z.time())
	if err != nil {
		h.requeue(t)
		return
	}
	tried = append(append([]string(nil), tried...), selection.Host)
	z.after(z.d.oneWayDelay(h.zone, selection.Zone), func() { z.handleAttempt(h, t, selection, tried) })
}

// handleAttempt handles the arrival of an attempt at an upstream: it runs the task, or arranges a retry if the upstream
// is unreachable or full.
func (z *zoneFleet) handleAttempt(h *entryHost, t *task, selection routing.Selection, tried []string) {
	u := z.upstreams[selection.Host]
	returnDelay, sentAt := z.d.oneWayDelay(h.zone, selection.Zone), z.now-z.d.oneWayDelay(h.zone, selection.Zone)
	retry := func(wait time.Duration, outcome routing.Outcome) {
		z.after(wait, func() {
			z.tables[h].Done(selection, routing.Report{Outcome: outcome, Team: t.request.Team}, z.time())
			z.after(retryBackoff, func() { z.attempt(h, t, tried) })
		})
	}
	switch {
	case u.unreachable:
		retry(sentAt+callTimeout-z.now, routing.Unreachable)
		return
	case u.usedSlots+t.request.Size.Slots > slotsPerHost:
		retry(returnDelay, routing.Full)
		return
	}
	u.usedSlots += t.request.Size.Slots
	generation := u.generation
	z.after(t.remaining, func() {
		if u.generation != generation {
			z.after(callTimeout, func() { z.endAttempt(h, t, selection, routing.Report{Outcome: routing.Unreachable}) })
			return
		}
		u.usedSlots -= t.request.Size.Slots
		z.after(returnDelay, func() {
			z.endAttempt(h, t, selection, routing.Report{Outcome: routing.Succeeded, Latency: 2 * returnDelay, RunTime: t.remaining})
		})
	})
}

// endAttempt reports the outcome of an attempt to the routing table and ends the request.
func (z *zoneFleet) endAttempt(h *entryHost, t *task, selection routing.Selection, r routing.Report) {
	r.Team = t.request.Team
	z.tables[h].Done(selection, r, z.time())
	h.endRequest(t)
}
