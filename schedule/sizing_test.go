package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

const sparePool = "spare"

// moves drives the core for a while and returns the moves that it orders.
func (b *bench) moves(d time.Duration, running map[string][]platform.Running) []schedule.Move {
	var moves []schedule.Move
	for end := b.now + d; b.now < end; b.at(50 * time.Millisecond) {
		var c calls
		for _, call := range b.core.Decide() {
			switch call := call.(type) {
			case schedule.Move:
				moves = append(moves, call)
			case schedule.Look:
				c.looks = append(c.looks, call)
			case schedule.Start:
				c.starts = append(c.starts, call)
			}
		}
		if b.core.NeedsStoring() {
			round := b.core.Take().Number
			b.core.Stored(round)
		}
		b.answerAll(c, running)
	}
	return moves
}

// withSpare puts a bundle into force in which the spare pool's machines are off, and lists one of them.
func (b *bench) withSpare() {
	b.core.SetBundle(&platform.Bundle{
		Version: 2, Revision: 2, Queues: []platform.BundleQueue{{Queue: testJobQueue()}},
		Pools: []platform.BundlePool{{Name: testPool}, {Name: sparePool, Spare: true}},
		Teams: []platform.BundleTeam{{Name: testTeam, Weight: 1}},
	})
	b.core.SetMachines([]platform.Machine{
		{Name: "m-u-1", Pool: testPool, Phase: platform.MachineUp, Upstream: "u-1"},
		{Name: "m-off", Pool: sparePool, Phase: platform.MachineUp},
	})
}

// newSpareBench returns a bench with one upstream, fenced, and a spare pool.
func newSpareBench(t *testing.T) *bench {
	b := newBench(t)
	b.upstream("u-1")
	b.fence(platform.Lists{})
	b.withSpare()
	return b
}

// Guards against a pool that keeps too few upstreams for a step that has to spread, though processors are free: a
// long-running task was not started again for 14 s while the pool's other machines were parked (LOST on hunt-91d2-31
// of karri).
func TestPoolGetsAMachineForAStepThatSpreads(t *testing.T) {
	is := is.New(t)
	b := newSpareBench(t)
	b.at(4 * time.Second) // no order for machines within the pause between holders
	b.add(1, job.Step{
		Count: 2, Request: job.Resources{MilliCPU: 1000}, LongRunning: true, PerHost: 1, MayMiss: 1, Estimate: time.Second,
	})
	moves := b.moves(2*time.Second, nil)
	is.Equal(len(moves), 1)
	is.Equal(moves[0].Machine, "m-off")
	is.Equal(moves[0].Pool, testPool)
}

// Guards against machines that move while the pool has room for all that waits.
func TestNoMachineMovesWithoutNeed(t *testing.T) {
	is := is.New(t)
	b := newSpareBench(t)
	b.at(4 * time.Second)
	b.job(1, 4, 1000)
	is.Equal(len(b.moves(2*time.Second, nil)), 0)
}

// Guards against a job that no upstream can hold and that pulls all machines into its pool.
func TestImpossibleJobsMoveNoMachines(t *testing.T) {
	is := is.New(t)
	b := newSpareBench(t)
	b.at(4 * time.Second)
	b.job(1, 4, 17000)
	b.add(2, job.Step{Count: 2, Request: job.Resources{MemoryMB: 1 << 40}, Estimate: time.Second})
	is.Equal(len(b.moves(3*time.Second, nil)), 0)
	b.job(3, 1, 1000)
	is.Equal(len(b.decide().starts), 1) // the others are served
}

// Guards against a large pool that stays on for 10 s and more without work: machines were parked one at a time.
func TestLargePoolIsParkedInTime(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	listed := []platform.Machine{{Name: "m-off", Pool: sparePool, Phase: platform.MachineUp}}
	for i := range 70 {
		id := fmt.Sprintf("u-%02d", i)
		b.upstream(id)
		listed = append(listed, platform.Machine{Name: "m-" + id, Pool: testPool, Phase: platform.MachineUp, Upstream: id})
	}
	b.fence(platform.Lists{})
	b.withSpare()
	b.core.SetMachines(listed)
	parked := b.moves(6*time.Second, nil)
	is.True(len(parked) >= 50) // 3 s without work, then 3 s of parking
	for _, move := range parked {
		is.Equal(move.Pool, sparePool)
	}
}

// Guards against load that is spread so thinly that no machine of a pool with much room is free to move: 178 upstreams
// lent one machine a second to a pool with 2,188 waiting tasks (karri-sched-grown trouble-2, 52 s to 56 s).
func TestTasksArePacked(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	for i := range 4 {
		b.upstream(fmt.Sprintf("u-%d", i))
	}
	b.fence(platform.Lists{})
	used := map[string]bool{}
	for i := range 4 {
		b.job(i+1, 2, 1000)
		for _, start := range b.decide().starts {
			used[start.Target.ID] = true
		}
		b.at(20 * time.Millisecond)
	}
	is.Equal(len(used), 1)
}

// Guards against filling tasks that pile up on one upstream, as they take no room of its capacity.
func TestFillingTasksAreSpread(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	for i := range 4 {
		b.upstream(fmt.Sprintf("u-%d", i))
	}
	b.fence(platform.Lists{})
	b.add(1, job.Step{Count: 4, Request: job.Resources{MilliCPU: 8000}, Fills: true, Estimate: time.Second})
	used := map[string]bool{}
	for _, start := range b.decide().starts {
		used[start.Target.ID] = true
	}
	is.Equal(len(used), 4)
}

// Guards against moving a machine with everything that runs on it: the list of machines was read before a move, and showed
// a machine in the spare pool that had joined a pool (AVAIL on karri-sched-grown trouble-2: two long-running tasks ended).
func TestMachineThatHasJoinedIsNotSpare(t *testing.T) {
	is := is.New(t)
	b := newSpareBench(t)
	b.core.SetMachines([]platform.Machine{
		{Name: "m-u-1", Pool: sparePool, Phase: platform.MachineUp},
		{Name: "m-off", Pool: sparePool, Phase: platform.MachineUp},
	})
	b.job(1, 32, 1000)
	moves := b.moves(2*time.Second, map[string][]platform.Running{})
	is.Equal(len(moves), 1)
	is.Equal(moves[0].Machine, "m-off")
}
