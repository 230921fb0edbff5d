package maintenance

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against drains beyond a budget, hosts that serve two pools, and work for a pool on a host that has moved to
// another one. Several entry hosts observe, plan, act and commit in single steps in random order, so that any step may
// be based on outdated observations.
func TestRacingPlanners(t *testing.T) {
	drains, moves, indices := 0, 0, make([]int, 1000)
	for i := range indices {
		indices[i] = i
	}
	rapid.Check(t, func(t *rapid.T) {
		sim, entryHosts, ownerViews := newSimulation(t), make([]entryHost, 3), map[*fakeHost][]poolEpoch{}
		// pick draws an index below n. It uses SampledFrom, because IntRange is biased towards small values.
		pick := func(n int) int { return rapid.SampledFrom(indices[:n]).Draw(t, "i") }
		steps := map[string]func(e *entryHost, h *fakeHost){
			"observe": func(e *entryHost, _ *fakeHost) { sim.observe(e) },
			"plan":    func(e *entryHost, _ *fakeHost) { e.changes = Plan(sim.now, e.bundle, &e.record, e.obs) },
			"act": func(e *entryHost, _ *fakeHost) {
				if actions := Actions(sim.now, e.bundle, &e.record, e.obs); len(actions) > 0 {
					sim.prepare(e, actions[pick(len(actions))])
				}
			},
			"commit":  func(e *entryHost, _ *fakeHost) { sim.commit(e, pick(4) == 0) },
			"deliver": func(e *entryHost, _ *fakeHost) { sim.deliver(e) },
			"wait":    func(*entryHost, *fakeHost) { sim.now = sim.now.Add(time.Duration(pick(800)) * time.Millisecond) },
			"pause":   func(*entryHost, *fakeHost) { sim.now = sim.now.Add(time.Duration(pick(1000)) * 8 * time.Millisecond) },
			// An owner reserves with the pool and epoch of an assignment that it has read now or at any time before.
			"reserve": func(_ *entryHost, h *fakeHost) {
				a, _ := sim.record.Assignment(h.ID)
				ownerViews[h] = append(ownerViews[h], poolEpoch{a.Pool, a.Epoch})
				h.reserve(ownerViews[h][pick(len(ownerViews[h]))])
			},
			"start": func(_ *entryHost, h *fakeHost) { h.start() },
			"end":   func(_ *entryHost, h *fakeHost) { h.running = nil },
			"burst": func(*entryHost, *fakeHost) {
				load := Load{Demand: 60, Bursting: pick(2) == 0, Since: sim.now.Add(-time.Hour)}
				sim.loads[sim.bundle.Pools[pick(2)].Name] = load
			},
			"fail":    func(_ *entryHost, h *fakeHost) { h.setCondition("down", true) },
			"by hand": func(_ *entryHost, h *fakeHost) { h.setCondition("by hand", true) },
			"rack": func(_ *entryHost, h *fakeHost) {
				for _, x := range sim.hosts {
					x.setCondition("down", x.hasCondition("down") || x.Rack == h.Rack)
				}
			},
			"zone": func(*entryHost, *fakeHost) { sim.setZone(pick(3), pick(10) == 0) },
			"repair": func(*entryHost, *fakeHost) {
				for _, x := range sim.hosts {
					x.setCondition("down", false)
					x.setCondition("by hand", false)
				}
			},
			// The entry host restarts: it loses its changes and the prepared action, and observes the fleet again.
			"kill": func(e *entryHost, _ *fakeHost) { sim.observe(e); e.changes, e.prepared = nil, nil },
		}
		var names []string
		for name, weight := range map[string]int{
			"observe": 16, "plan": 6, "act": 16, "commit": 12, "deliver": 16, "wait": 6, "pause": 1, "reserve": 8, "start": 6,
			"end": 3, "burst": 2, "fail": 1, "by hand": 1, "rack": 1, "zone": 1, "repair": 3, "kill": 1,
		} {
			names = append(names, slices.Repeat([]string{name}, weight)...)
		}
		slices.Sort(names)
		for i := range sim.record.Assignments {
			if pick(2) == 0 {
				sim.record.Assignments[i].MaintainedUnixMS = sim.now.UnixMilli()
			}
		}
		for i := range entryHosts {
			sim.observe(&entryHosts[i])
		}
		for range 200 + pick(800) {
			steps[names[pick(len(names))]](&entryHosts[pick(len(entryHosts))], sim.hosts[pick(len(sim.hosts))])
		}
		drains, moves = drains+sim.drains, moves+sim.moves
	})
	t.Logf("%d drains, %d moves", drains, moves)
}
