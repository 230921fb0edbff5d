package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

// withTwoSpares adds a second machine to the spare pool.
func (b *bench) withTwoSpares() {
	b.core.SetMachines([]platform.Machine{
		{Name: "m-u-1", Pool: testPool, Phase: platform.MachineUp, Upstream: "u-1"},
		{Name: "m-off", Pool: sparePool, Phase: platform.MachineUp},
		{Name: "m-off-2", Pool: sparePool, Phase: platform.MachineUp},
	})
}

// Guards against a pool that stays too small for 3 s after each change of owner: machines that no earlier owner has
// given orders for may move at once (13.7 s to 16.7 s of karri-sched-grown trouble-3, with 5,000 tasks waiting for room).
func TestMachinesWithoutOrdersMoveAfterATakeover(t *testing.T) {
	is := is.New(t)
	b := newSpareBench(t)
	b.core.InheritOrders(schedule.Ordered{Moves: []string{"m-off"}})
	b.withTwoSpares()
	b.job(1, 48, 1000)
	moves := b.moves(time.Second, nil)
	is.Equal(len(moves), 1)
	is.Equal(moves[0].Machine, "m-off-2")
	moves = b.moves(4*time.Second, nil) // after the pause between holders
	is.True(len(moves) > 0)
	is.Equal(moves[0].Machine, "m-off")
}

// Guards against orders for machines when it is not known which an earlier owner has given orders for.
func TestUnreadableOrdersHoldAllMachines(t *testing.T) {
	is := is.New(t)
	b := newSpareBench(t)
	b.core.InheritUnknownOrders()
	b.withTwoSpares()
	b.job(1, 48, 1000)
	is.Equal(len(b.moves(2*time.Second, nil)), 0)
}

// Guards against an order that a later owner does not know of: the two would take turns on one machine.
func TestMachineIsStoredBeforeItsFirstOrder(t *testing.T) {
	is := is.New(t)
	b := newSpareBench(t)
	b.withTwoSpares()
	b.job(1, 48, 1000)
	for range 10 {
		for _, call := range b.core.Decide() {
			if _, ok := call.(schedule.Move); ok {
				t.Fatal("moved before its machine was stored")
			}
		}
		b.at(50 * time.Millisecond)
	}
	round := b.core.Take()
	is.Equal(len(round.Ordered.Moves), 2)
	b.core.Stored(round.Number)
	n := 0
	for _, call := range b.core.Decide() {
		if _, ok := call.(schedule.Move); ok {
			n++
		}
	}
	is.Equal(n, 2)
}

// Guards against machines that a new owner leaves alone though the last order for them is long past: the stored machines
// were written only with a newer order (35.0 s to 38.3 s of karri-sched scale-1).
func TestOrdersThatArePastAreForgotten(t *testing.T) {
	is := is.New(t)
	b := newSpareBench(t)
	b.withTwoSpares()
	id := b.job(1, 48, 1000)
	var stored schedule.Ordered
	ordered := 0
	for end := b.now + 10*time.Second; b.now < end; b.at(50 * time.Millisecond) {
		for _, call := range b.core.Decide() {
			if move, ok := call.(schedule.Move); ok {
				b.core.MoveAnswered(move, nil)
				b.core.Cancel(id)
				ordered++
			}
		}
		if b.core.NeedsStoring() {
			round := b.core.Take()
			if round.Ordered != nil {
				stored = *round.Ordered
			}
			b.core.Stored(round.Number)
		}
	}
	is.Equal(ordered, 2)
	is.Equal(len(stored.Moves), 0)
}

// firstUpkeep returns the machine of the first upkeep that is ordered, and when.
func (b *bench) firstUpkeep() (machine string, after time.Duration) {
	begin := b.now
	return b.order().upkeeps[0].Machine, b.now - begin
}

// inheritedWave is a wave of two machines, for one of which an earlier owner may have ordered the upkeep.
func inheritedWave(t *testing.T, atOnce int) *bench {
	b := newBench(t)
	b.core.InheritOrders(schedule.Ordered{Upkeeps: []string{"m-u-1"}})
	b.upstream("u-1")
	b.upstream("u-2")
	wave := testWave(atOnce, "m-u-1", "m-u-2")
	wave[0].Within = 6 * time.Second
	b.core.SetWaves(wave, nil)
	b.fence(platform.Lists{})
	b.machines("u-1", "u-2")
	return b
}

// Guards against waves that stand still for 3 s after each change of owner, and are late.
func TestWaveGoesOnAfterATakeover(t *testing.T) {
	is := is.New(t)
	machine, after := inheritedWave(t, 2).firstUpkeep()
	is.Equal(machine, "m-u-2")
	is.True(after < time.Second)
}

// Guards against more machines down than the wave allows (LIMIT): an earlier owner's order may be carried out late.
func TestOrdersOfAnEarlierOwnerCountAsDown(t *testing.T) {
	is := is.New(t)
	machine, after := inheritedWave(t, 1).firstUpkeep()
	is.Equal(machine, "m-u-1") // this owner's order replaces the earlier one
	is.True(after >= 3*time.Second)
}

// Guards against a panic when a wave is withdrawn while the order for one of its machines waits for a slow store.
func TestOrderOfAWithdrawnWaveIsDropped(t *testing.T) {
	is := is.New(t)
	b := newWaveBench(t)
	for range 20 { // the order is given, and waits to be stored
		b.core.Decide()
		b.at(50 * time.Millisecond)
	}
	is.True(b.core.StartsWait())
	b.core.SetWaves(nil, nil)
	b.at(10 * time.Second)
	b.core.Stored(b.core.Take().Number)
	for _, call := range b.core.Decide() {
		if _, ok := call.(schedule.Upkeep); ok {
			t.Fatal("ordered for a wave that was withdrawn")
		}
	}
	is.True(!b.core.StartsWait())
}
