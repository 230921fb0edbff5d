package maintenance

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
)

// run lets one planner work without faults for a time.
func (w *world) run(length time.Duration) (counters Counters, p *driver) {
	p = &driver{}
	for end := w.now.Add(length); w.now.Before(end); w.now = w.now.Add(time.Second) {
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
	return counters, p
}

// Guards against maintenance that never ends or that leaves hosts out of service.
func TestEveryHostIsMaintained(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	began := w.now.UnixMilli()
	counters, d := w.run(10 * time.Minute)
	for _, a := range w.record.Assignments {
		is.Equal(a.State, control.InService)
		is.True(a.MaintainedUnixMS > began)
		is.True(!w.host(a.Host).draining)
	}
	counters.AddBuffer(w.now, time.Second, w.bundle, &w.record, d.obs)
	is.Equal(counters, Counters{Stops: 15, Maintained: 15, BufferIdle: 5 * time.Second})
}

// Guards against moves for short bursts, and against hosts that go back and forth with recurring bursts.
func TestLending(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	for i := range w.bundle.Pools {
		w.bundle.Pools[i].MaintainEveryHours = 0
	}
	w.run(5 * time.Second)
	load := Load{}.Observe(w.now, 10, 40)
	moves := func(demand int, d time.Duration) uint64 {
		load = load.Observe(w.now, demand, 40)
		w.loads["cut"] = load
		counters, _ := w.run(d)
		return counters.Moves
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
	w := newWorld(t)
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
	stale := Change{Kind: Withdraw, Host: "u00", Epoch: first.Epoch}
	for _, c := range []Change{first, stale, second, {Kind: Move, Host: "u00", Epoch: a.Epoch}, {Kind: Return, Host: "u01"}, {Host: "x"}} {
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
	w := newWorld(t)
	for i := range w.bundle.Pools {
		w.bundle.Pools[i].MaintainEveryHours = 0
	}
	w.bundle.Interventions = []bundle.Intervention{{
		Kind: bundle.InterventionDrain, Target: "u00", Until: w.now.Add(time.Minute).Format(time.RFC3339),
	}}
	w.hosts[0].running = []work{{pool: "cut"}}
	_, d := w.run(10 * time.Second)
	a, _ := w.record.Assignment("u00")
	is.Equal(a.State, control.Stuck)
	is.Equal(Unavailable(w.now, w.bundle, &w.record, d.obs)["u00"], OutOfService)
	w.hosts[0].running = nil
	w.run(time.Minute)
	a, _ = w.record.Assignment("u00")
	is.Equal(a.State, control.InService)
	is.True(!w.hosts[0].draining)
}
