package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

// listTwoSpares lists two machines of the spare pool.
func (h *harness) listTwoSpares() {
	h.core.SetMachines([]platform.Machine{
		{Name: "m-u-1", Pool: testPool, Phase: platform.MachineUp, Upstream: "u-1"},
		{Name: "m-off", Pool: sparePool, Phase: platform.MachineUp},
		{Name: "m-off-2", Pool: sparePool, Phase: platform.MachineUp},
	})
}

// Guards against a pool that stays too small for 3 s after each change of owner. Machines for which no earlier owner
// has sent commands may move at once. In testbed run karri-sched-grown trouble-3, 5,000 tasks waited for capacity from
// 13.7 s to 16.7 s.
func TestMachinesWithoutEarlierCommandsMoveAfterTakeover(t *testing.T) {
	is := is.New(t)
	h := newSpareHarness(t)
	h.core.InheritCommands(schedule.CommandedMachines{Moves: []string{"m-off"}})
	h.listTwoSpares()
	h.addUniformJob(1, 48, 1000)
	moves := h.runAndCollectMoves(time.Second, nil)
	is.Equal(len(moves), 1)
	is.Equal(moves[0].Machine, "m-off-2")
	moves = h.runAndCollectMoves(4*time.Second, nil) // after the pause between holders
	is.True(len(moves) > 0)
	is.Equal(moves[0].Machine, "m-off")
}

// Guards against commands for machines while it is unknown for which machines an earlier owner has sent commands.
func TestUnknownCommandsDelayAllMachines(t *testing.T) {
	is := is.New(t)
	h := newSpareHarness(t)
	h.core.InheritUnknownCommands()
	h.listTwoSpares()
	h.addUniformJob(1, 48, 1000)
	is.Equal(len(h.runAndCollectMoves(2*time.Second, nil)), 0)
}

// Guards against a command that a later owner does not know of, so that two holders alternate on one machine.
func TestMachineIsStoredBeforeFirstCommand(t *testing.T) {
	is := is.New(t)
	h := newSpareHarness(t)
	h.listTwoSpares()
	h.addUniformJob(1, 48, 1000)
	for range 10 {
		for _, call := range h.core.Decide() {
			if _, ok := call.(schedule.Move); ok {
				t.Fatal("move sent before its machine was stored")
			}
		}
		h.advance(50 * time.Millisecond)
	}
	batch := h.core.TakeRecords()
	is.Equal(len(batch.CommandedMachines.Moves), 2)
	h.recordsStored(batch.Number)
	n := 0
	for _, call := range h.core.Decide() {
		if _, ok := call.(schedule.Move); ok {
			n++
		}
	}
	is.Equal(n, 2)
}

// Guards against machines that a new owner leaves alone long after the last command for them: the stored machines were
// only updated together with a newer command (testbed run karri-sched scale-1, 35.0 s to 38.3 s).
func TestExpiredCommandsAreRemovedFromStore(t *testing.T) {
	is := is.New(t)
	h := newSpareHarness(t)
	h.listTwoSpares()
	id := h.addUniformJob(1, 48, 1000)
	var stored schedule.CommandedMachines
	moves := 0
	for end := h.now + 10*time.Second; h.now < end; h.advance(50 * time.Millisecond) {
		for _, call := range h.core.Decide() {
			if move, ok := call.(schedule.Move); ok {
				h.core.HandleMoveResult(move, nil)
				h.core.Cancel(id)
				moves++
			}
		}
		if h.core.HasUnstoredRecords() {
			batch := h.core.TakeRecords()
			if batch.CommandedMachines != nil {
				stored = *batch.CommandedMachines
			}
			h.recordsStored(batch.Number)
		}
	}
	is.Equal(moves, 2)
	is.Equal(len(stored.Moves), 0)
}

// awaitFirstUpkeep returns the machine of the first upkeep command and the time until it was sent.
func (h *harness) awaitFirstUpkeep() (machine string, after time.Duration) {
	begin := h.now
	return h.awaitUpkeepCommand().upkeeps[0].Machine, h.now - begin
}

// newInheritedWaveHarness returns a harness with a wave of two machines. An earlier owner may have sent an upkeep
// command for one of them.
func newInheritedWaveHarness(t *testing.T, atOnce int) *harness {
	h := newHarness(t)
	h.core.InheritCommands(schedule.CommandedMachines{Upkeeps: []string{"m-u-1"}})
	h.addUpstream("u-1")
	h.addUpstream("u-2")
	wave := testWave(atOnce, "m-u-1", "m-u-2")
	wave[0].TimeLimit = 6 * time.Second
	h.core.SetWaves(wave, nil)
	h.fenceAll(platform.PollResult{})
	h.listMachines("u-1", "u-2")
	return h
}

// Guards against waves that pause for 3 s after each change of owner and finish late.
func TestWaveContinuesAfterTakeover(t *testing.T) {
	is := is.New(t)
	machine, after := newInheritedWaveHarness(t, 2).awaitFirstUpkeep()
	is.Equal(machine, "m-u-2")
	is.True(after < time.Second)
}

// Guards against more machines down than the wave allows (LIMIT): an earlier owner's command may be carried out late.
func TestInheritedUpkeepCommandsCountAsDown(t *testing.T) {
	is := is.New(t)
	machine, after := newInheritedWaveHarness(t, 1).awaitFirstUpkeep()
	is.Equal(machine, "m-u-1") // this owner's command replaces the earlier one
	is.True(after >= 3*time.Second)
}

// Guards against a panic when a wave is withdrawn while the command for one of its machines waits for a slow store.
func TestHeldCommandOfWithdrawnWaveIsDropped(t *testing.T) {
	is := is.New(t)
	h := newWaveHarness(t)
	for range 20 { // the command is held until its machine is stored
		h.core.Decide()
		h.advance(50 * time.Millisecond)
	}
	is.True(h.core.HasCallsAwaitingRecords())
	h.core.SetWaves(nil, nil)
	h.advance(10 * time.Second)
	h.recordsStored(h.core.TakeRecords().Number)
	for _, call := range h.core.Decide() {
		if _, ok := call.(schedule.Upkeep); ok {
			t.Fatal("command sent for a wave that was withdrawn")
		}
	}
	is.True(!h.core.HasCallsAwaitingRecords())
}
