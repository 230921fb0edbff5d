package maintenance

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
)

// Guards against a stop beyond a budget, a host of two pools, and work of a pool on a host that has moved on, while
// planners race on old views and hosts, racks and zones go.
func TestRacingPlanners(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(1, 3).Draw(t, "planners"))
		ids := make([]string, 0, len(w.bundle.Hosts))
		for _, h := range w.bundle.Hosts {
			ids = append(ids, h.ID)
		}
		var owners []work
		var ownerHosts []string
		host := func(t *rapid.T) *fakeHost { return w.hosts[rapid.SampledFrom(ids).Draw(t, "host")] }
		one := func(t *rapid.T) *driver { return w.planners[rapid.IntRange(0, len(w.planners)-1).Draw(t, "planner")] }
		act := func(t *rapid.T) {
			d := one(t)
			if d.bundle == nil {
				return
			}
			if actions := Actions(w.now, d.bundle, &d.record, d.obs); len(actions) > 0 {
				w.prepare(d, actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")])
			}
		}
		// Entry hosts take single steps in any order, so that each step may rest on what is no longer true.
		steps := map[string]func(*rapid.T){
			"look": func(t *rapid.T) { w.look(one(t)) },
			"plan": func(t *rapid.T) {
				if d := one(t); d.bundle != nil {
					d.changes = Plan(w.now, d.bundle, &d.record, d.obs)
				}
			},
			"commit":  func(t *rapid.T) { w.commit(one(t), rapid.IntRange(0, 4).Draw(t, "lost") == 0) },
			"act":     act,
			"deliver": func(t *rapid.T) { w.deliver(one(t)) },
			"wait": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(10, 1200).Draw(t, "ms")) * time.Millisecond)
			},
		}
		names := []string{"look", "look", "plan", "commit", "act", "act", "deliver", "deliver", "wait"}
		race := func(t *rapid.T) {
			for _, name := range rapid.SliceOfN(rapid.SampledFrom(names), 20, 60).Draw(t, "steps") {
				steps[name](t)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"":     w.checkRecord,
			"race": race, "race2": race, "race3": race, "race4": race, "race5": race, "race6": race,
			"kill": func(t *rapid.T) { *one(t) = driver{} },
			"fail": func(t *rapid.T) {
				h := host(t)
				h.downAt = since(w.now, h.downAt.IsZero(), h.downAt)
			},
			"by hand": func(t *rapid.T) {
				h := host(t)
				h.byHandAt = since(w.now, h.byHandAt.IsZero(), h.byHandAt)
			},
			"rack": func(t *rapid.T) {
				rack, down := w.hostOf(host(t).id).Rack, rapid.Bool().Draw(t, "down")
				for _, h := range w.hosts {
					if w.hostOf(h.id).Rack == rack {
						h.downAt = since(w.now, down, h.downAt)
					}
				}
			},
			"zone": func(t *rapid.T) {
				w.setZone(rapid.IntRange(0, 2).Draw(t, "zone"), rapid.IntRange(0, 3).Draw(t, "out") == 0)
			},
			"burst": func(t *rapid.T) {
				bursting := rapid.Bool().Draw(t, "bursting")
				w.loads[rapid.SampledFrom([]string{"cut", "label"}).Draw(t, "pool")] =
					Load{Demand: 60, Bursting: bursting, Since: w.now.Add(-time.Hour)}
			},
			// An owner takes its view of an assignment and uses it at any later time.
			"owner": func(t *rapid.T) {
				a := w.record.Assignments[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "assignment")]
				owners, ownerHosts = append(owners, work{a.Pool, a.Epoch}), append(ownerHosts, a.Host)
			},
			"reserve": func(t *rapid.T) {
				if len(owners) > 0 {
					i := rapid.IntRange(0, len(owners)-1).Draw(t, "owner")
					w.hosts[ownerHosts[i]].reserve(owners[i])
				}
			},
			"start": func(t *rapid.T) { host(t).start() },
			"end": func(t *rapid.T) {
				for _, h := range w.hosts {
					h.running = nil
				}
			},
			"recover": func(t *rapid.T) {
				for _, h := range w.hosts {
					h.downAt, h.byHandAt = time.Time{}, time.Time{}
				}
			},
		})
		total += w.stops
	})
	t.Logf("%d stops", total)
}

// run lets one planner work without faults for a time.
func (w *world) run(d time.Duration) (counters Counters) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(time.Second) {
		p := w.planners[0]
		w.look(p)
		p.changes = Plan(w.now, p.bundle, &p.record, p.obs)
		counters.Committed(p.changes)
		w.commit(p, false)
		w.look(p)
		for _, a := range Actions(w.now, p.bundle, &p.record, p.obs) {
			w.prepare(p, a)
			counters.Committed(p.changes)
			w.commit(p, false)
			w.deliver(p)
			p.send = nil
		}
	}
	return counters
}

// Guards against maintenance that never ends or that leaves hosts out of service.
func TestEveryHostIsMaintained(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	began := w.now.UnixMilli()
	counters := w.run(10 * time.Minute)
	for _, a := range w.record.Assignments {
		is.Equal(a.State, control.InService)
		is.True(a.MaintainedUnixMS > began)
		is.True(!w.hosts[a.Host].draining)
	}
	is.Equal(counters, Counters{Stops: 15, Maintained: 15})
}

// Guards against moves for short bursts, and against hosts that go back and forth with recurring bursts.
func TestLending(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	for i := range w.bundle.Pools {
		w.bundle.Pools[i].MaintainEveryHours = 0
	}
	w.run(5 * time.Second)
	load := Load{}.Observe(w.now, 10, 40)
	moves := func(demand int, d time.Duration) uint64 {
		load = load.Observe(w.now, demand, 40)
		w.loads["cut"] = load
		return w.run(d).Moves
	}
	is.Equal(moves(48, 2*time.Second), uint64(0))   // shorter than a move
	is.Equal(moves(10, 10*time.Second), uint64(0))  // over
	is.Equal(moves(48, 20*time.Second), uint64(1))  // one host is missing
	is.Equal(moves(10, 9*time.Minute), uint64(0))   // kept for the next burst
	is.Equal(moves(48, 20*time.Second), uint64(0))  // which finds it there
	is.Equal(moves(10, 18*time.Minute), uint64(0))  // twice the gap between the last two bursts
	is.Equal(moves(10, 120*time.Minute), uint64(1)) // not needed any more
}

// Guards against a stop that is committed on an outdated plan, and against reuse of an epoch.
func TestApplyRefuses(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	stop := func(host string) Change {
		a, _ := w.record.Assignment(host)
		return Change{Kind: Stop, Host: host, Epoch: a.Epoch, PoolSeq: w.record.PoolSeq, BundleVersion: 1}
	}
	first, second := stop("u00"), stop("u01")
	next, err := Apply(w.record, []Change{first})
	is.NoErr(err)
	a, _ := next.Assignment("u00")
	is.Equal(a.State, control.Draining)
	is.Equal(a.Epoch, w.record.PoolSeq+1)
	for _, c := range []Change{first, second, {Kind: Move, Host: "u00", Epoch: a.Epoch}, {Kind: Return, Host: "u01"}, {Host: "x"}} {
		_, err = Apply(next, []Change{c})
		is.True(errors.Is(err, ErrRefused))
	}
	rolled := w.record
	rolled.BundleVersion = 2
	_, err = Apply(rolled, []Change{first})
	is.True(errors.Is(err, ErrRefused)) // the budgets may have changed

	smaller := *w.bundle
	smaller.Pools = []bundle.Pool{{Name: "cut", Hosts: []string{"u01"}}}
	removed := Reconcile(next, &smaller)
	is.Equal(len(removed.Assignments), 1)
	added, ok := func() (control.Assignment, bool) { r := Reconcile(removed, w.bundle); return r.Assignment("u00") }()
	is.True(ok && added.Epoch > a.Epoch)
}

// Guards against interventions that have no effect or no end, and against stuck hosts that are not counted.
func TestInterventionAndStuck(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	for i := range w.bundle.Pools {
		w.bundle.Pools[i].MaintainEveryHours = 0
	}
	w.bundle.Interventions = []bundle.Intervention{{
		Kind: bundle.InterventionDrain, Target: "u00", Until: w.now.Add(time.Minute).Format(time.RFC3339),
	}}
	w.hosts["u00"].running = []work{{pool: "cut"}}
	w.run(10 * time.Second)
	a, _ := w.record.Assignment("u00")
	is.Equal(a.State, control.Stuck)
	is.Equal(Unavailable(w.now, w.bundle, &w.record, w.planners[0].obs)["u00"], OutOfService)
	w.hosts["u00"].running = nil
	w.run(time.Minute)
	a, _ = w.record.Assignment("u00")
	is.Equal(a.State, control.InService)
	is.True(!w.hosts["u00"].draining)
}
