package maintenance

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
)

// run lets a single entry host plan and act without faults for the given time.
func (sim *simulation) run(length time.Duration) (counters Counters, e *entryHost) {
	e = &entryHost{}
	for end := sim.now.Add(length); sim.now.Before(end); sim.now = sim.now.Add(time.Second) {
		sim.observe(e)
		e.changes = Plan(sim.now, e.bundle, &e.record, e.obs)
		counters.Committed(e.changes)
		sim.commit(e, false)
		sim.observe(e)
		for _, a := range Actions(sim.now, e.bundle, &e.record, e.obs) {
			sim.prepare(e, a)
			counters.Committed(e.changes)
			sim.commit(e, false)
			sim.deliver(e)
			e.prepared = nil
		}
	}
	return counters, e
}

// Guards against maintenance that does not finish or leaves hosts out of service.
func TestMaintenanceCoversEveryHost(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	began := sim.now.UnixMilli()
	counters, e := sim.run(10 * time.Minute)
	for _, a := range sim.record.Assignments {
		is.Equal(a.State, control.InService)
		is.True(a.MaintainedUnixMS > began)
		is.True(!sim.host(a.Host).draining)
	}
	counters.AddSpareIdle(sim.now, time.Second, sim.bundle, &sim.record, e.obs)
	is.Equal(counters, Counters{DrainsBegun: 15, Maintained: 15, SpareIdle: 5 * time.Second})
}

// Guards against moves for short bursts, and against lent hosts that are returned and lent again with each recurring
// burst.
func TestLendingHasHysteresis(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	for i := range sim.bundle.Pools {
		sim.bundle.Pools[i].MaintainEveryHours = 0
	}
	sim.run(5 * time.Second)
	load := Load{}.Observe(sim.now, 10, 40)
	moves := func(demand int, d time.Duration) uint64 {
		load = load.Observe(sim.now, demand, 40)
		sim.loads["cut"] = load
		counters, _ := sim.run(d)
		return counters.Moves
	}
	is.Equal(moves(48, 2*time.Second), uint64(0))   // the burst is shorter than a move
	is.Equal(moves(10, 10*time.Second), uint64(0))  // the burst is over
	is.Equal(moves(48, 20*time.Second), uint64(1))  // one more host is needed
	is.Equal(moves(10, 9*time.Minute), uint64(0))   // the lent host is kept for the next burst
	is.Equal(moves(48, 20*time.Second), uint64(0))  // the lent host still serves the pool
	is.Equal(moves(10, 18*time.Minute), uint64(0))  // less than twice the time between the last two bursts
	is.Equal(moves(10, 120*time.Minute), uint64(1)) // the host is returned
}

// Guards against a BeginDrain that is committed although it was planned from an outdated record, and against reuse of
// an epoch.
func TestApplyRefuses(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	beginDrain := func(host string) Change {
		a, _ := sim.record.Assignment(host)
		return Change{Kind: BeginDrain, Host: host, Epoch: a.Epoch, PoolSeq: sim.record.PoolSeq, BundleVersion: 1}
	}
	first, second := beginDrain("u00"), beginDrain("u01")
	next, err := Apply(sim.record, []Change{first})
	is.NoErr(err)
	a, _ := next.Assignment("u00")
	is.Equal(a.State, control.Draining)
	is.Equal(a.Epoch, sim.record.PoolSeq+1)
	stale := Change{Kind: CancelDrain, Host: "u00", Epoch: first.Epoch}
	for _, c := range []Change{
		first, stale, second, {Kind: CompleteMove, Host: "u00", Epoch: a.Epoch}, {Kind: EndMaintenance, Host: "u01"}, {Host: "x"},
	} {
		_, err = Apply(next, []Change{c})
		is.True(errors.Is(err, ErrRejected))
	}
	otherBundle := sim.record
	otherBundle.BundleVersion = 2
	_, err = Apply(otherBundle, []Change{first})
	is.True(errors.Is(err, ErrRejected)) // the budgets may have changed

	smaller := *sim.bundle
	smaller.Pools = []bundle.Pool{{Name: "cut", Hosts: []string{"u01"}}}
	removed := Reconcile(next, &smaller)
	is.Equal(len(removed.Assignments), 1)
	added, ok := func() (control.Assignment, bool) { r := Reconcile(removed, sim.bundle); return r.Assignment("u00") }()
	is.True(ok && added.Epoch > a.Epoch)
}

// Guards against drain interventions that have no effect or do not end, and against stuck hosts that are not counted
// as unavailable.
func TestInterventionDrainAndStuckHost(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	for i := range sim.bundle.Pools {
		sim.bundle.Pools[i].MaintainEveryHours = 0
	}
	sim.bundle.Interventions = []bundle.Intervention{{
		Kind: bundle.InterventionDrain, Target: "u00", Until: sim.now.Add(time.Minute).Format(time.RFC3339),
	}}
	sim.hosts[0].running = []poolEpoch{{pool: "cut"}}
	_, e := sim.run(10 * time.Second)
	a, _ := sim.record.Assignment("u00")
	is.Equal(a.State, control.Stuck)
	is.Equal(Unavailable(sim.now, sim.bundle, &sim.record, e.obs)["u00"], OutOfService)
	sim.hosts[0].running = nil
	sim.run(time.Minute)
	a, _ = sim.record.Assignment("u00")
	is.Equal(a.State, control.InService)
	is.True(!sim.hosts[0].draining)
}
