package maintenance

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a stop beyond a budget, a host of two pools, and work of a pool on a host that has moved on, while
// entry hosts take single steps in any order, so that each step may rest on what is no longer true.
func TestRacingPlanners(t *testing.T) {
	stops, moves, indices := 0, 0, make([]int, 1000)
	for i := range indices {
		indices[i] = i
	}
	rapid.Check(t, func(t *rapid.T) {
		w, drivers, owners := newWorld(t), make([]driver, 3), map[*fakeHost][]work{}
		// IntRange would favour small values.
		pick := func(n int) int { return rapid.SampledFrom(indices[:n]).Draw(t, "i") }
		steps := map[string]func(d *driver, h *fakeHost){
			"look": func(d *driver, _ *fakeHost) { w.look(d) },
			"plan": func(d *driver, _ *fakeHost) { d.changes = Plan(w.now, d.bundle, &d.record, d.obs) },
			"act": func(d *driver, _ *fakeHost) {
				if actions := Actions(w.now, d.bundle, &d.record, d.obs); len(actions) > 0 {
					w.prepare(d, actions[pick(len(actions))])
				}
			},
			"commit":  func(d *driver, _ *fakeHost) { w.commit(d, pick(4) == 0) },
			"deliver": func(d *driver, _ *fakeHost) { w.deliver(d) },
			"wait":    func(*driver, *fakeHost) { w.now = w.now.Add(time.Duration(pick(800)) * time.Millisecond) },
			"pause":   func(*driver, *fakeHost) { w.now = w.now.Add(time.Duration(pick(1000)) * 8 * time.Millisecond) },
			// An owner uses what it knows of an assignment, now or at any later time.
			"reserve": func(_ *driver, h *fakeHost) {
				a, _ := w.record.Assignment(h.ID)
				owners[h] = append(owners[h], work{a.Pool, a.Epoch})
				h.reserve(owners[h][pick(len(owners[h]))])
			},
			"start": func(_ *driver, h *fakeHost) { h.start() },
			"end":   func(_ *driver, h *fakeHost) { h.running = nil },
			"burst": func(*driver, *fakeHost) {
				load := Load{Demand: 60, Bursting: pick(2) == 0, Since: w.now.Add(-time.Hour)}
				w.loads[w.bundle.Pools[pick(2)].Name] = load
			},
			"fail":    func(_ *driver, h *fakeHost) { h.set("down", true) },
			"by hand": func(_ *driver, h *fakeHost) { h.set("by hand", true) },
			"rack": func(_ *driver, h *fakeHost) {
				for _, x := range w.hosts {
					x.set("down", x.is("down") || x.Rack == h.Rack)
				}
			},
			"zone": func(*driver, *fakeHost) { w.setZone(pick(3), pick(10) == 0) },
			"repair": func(*driver, *fakeHost) {
				for _, x := range w.hosts {
					x.set("down", false)
					x.set("by hand", false)
				}
			},
			"kill": func(d *driver, _ *fakeHost) { w.look(d); d.changes, d.send = nil, nil },
		}
		var names []string
		for name, weight := range map[string]int{
			"look": 16, "plan": 6, "act": 16, "commit": 12, "deliver": 16, "wait": 6, "pause": 1, "reserve": 8, "start": 6,
			"end": 3, "burst": 2, "fail": 1, "by hand": 1, "rack": 1, "zone": 1, "repair": 3, "kill": 1,
		} {
			names = append(names, slices.Repeat([]string{name}, weight)...)
		}
		slices.Sort(names)
		for i := range w.record.Assignments {
			if pick(2) == 0 {
				w.record.Assignments[i].MaintainedUnixMS = w.now.UnixMilli()
			}
		}
		for i := range drivers {
			w.look(&drivers[i])
		}
		for range 200 + pick(800) {
			steps[names[pick(len(names))]](&drivers[pick(len(drivers))], w.hosts[pick(len(w.hosts))])
		}
		stops, moves = stops+w.stops, moves+w.moves
	})
	t.Logf("%d stops, %d moves", stops, moves)
}
