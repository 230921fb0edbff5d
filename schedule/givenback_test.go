package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

// Guards against a wave that gives a machine back for ever to a long-running task that cannot start there: its zone is evacuated.
func TestMachineOfAnEvacuatedZoneIsNotGivenBack(t *testing.T) {
	is := is.New(t)
	far := entries("u-3")
	far[0].Zone = "b"
	f := newFleet(t, append(entries("u-1", "u-2"), far...)...)
	f.core.SetEvacuated([]string{"b"})
	f.addJob(1, lasting(3, 16000)) // one task has no place outside the evacuated zone
	f.live(6 * time.Second)
	f.core.SetWaves(testWave(1, "m-u-3"), nil)
	f.listMachines("u-1", "u-2", "u-3")
	is.True(f.liveWithUpkeep(40 * time.Second)) // twice the wave's time
}

// Guards against tasks that start on a machine which one wave gives back while the upkeep command of another wave may still be
// carried out there.
func TestMachineWithACommandIsNotGivenBack(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, entries("u-1", "u-2", "u-3")...)
	f.addJob(1, lasting(2, 16000))
	f.live(time.Second)
	free := "u-1"
	for _, id := range []string{"u-2", "u-3"} {
		if len(f.running[id]) == 0 {
			free = id
		}
	}
	wave := func(number int) platform.Wave {
		return platform.Wave{Number: number, Machines: []string{"m-" + free}, TimeLimit: 20 * time.Second, MaxConcurrent: 1}
	}
	f.core.SetWaves([]platform.Wave{wave(1)}, nil)
	f.listMachines("u-1", "u-2", "u-3")
	f.core.Decide()                // begins the drain
	f.addJob(2, lasting(1, 16000)) // its only place is on the machine
	sent := false
	for end := f.now + 12*time.Second; f.now < end; f.advance(50 * time.Millisecond) {
		if sent && f.now > end-6*time.Second {
			f.core.SetWaves([]platform.Wave{wave(1), wave(2)}, nil)
		}
		for _, call := range f.core.Decide() {
			switch call := call.(type) {
			case schedule.Upkeep:
				sent = true
				f.core.HandleUpkeepResult(call, platform.ErrOutcomeUnknown)
			case schedule.Start:
				is.True(call.Target.ID != free) // the command may be carried out at any time
			}
			f.answer(call)
		}
		f.recordsStored(f.core.TakeRecords().Number)
	}
	is.True(sent)
}

// Guards against a wave that gives a machine back for ever to a gang of long-running tasks that has room there for one of them only.
func TestMachineIsNotGivenBackToAGangThatDoesNotFit(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, entries("u-1", "u-2", "u-3")...)
	f.addJob(1, lasting(2, 16000))
	f.live(time.Second)
	gang := lasting(2, 16000)
	gang.Gang = true
	f.addJob(2, gang)
	f.live(6 * time.Second)
	f.core.SetWaves(testWave(1, "m-u-3"), nil)
	f.listMachines("u-1", "u-2", "u-3")
	is.True(f.liveWithUpkeep(40 * time.Second)) // twice the wave's time
}

// drainInVain has a wave drain an upstream with four tasks, two of which may be away, while one finds another place. It returns their
// job and the one whose end makes room.
func drainInVain(f *fleet) (id, other job.ID) {
	other = f.addJob(1, lastingGold(1, 12000))
	f.live(time.Second)
	filler := f.addJob(2, lastingGold(1, 4000))
	f.live(time.Second)
	step := lastingGold(4, 4000)
	step.MaxUnavailable = 2
	id = f.addJob(3, step)
	f.live(time.Second)
	f.core.Cancel(filler)
	f.live(time.Second)
	drained := "u-1"
	if len(f.running["u-1"]) < len(f.running["u-2"]) {
		drained = "u-2"
	}
	f.core.SetWaves(testWave(1, "m-"+drained), nil)
	f.listMachines("u-1", "u-2", "u-3", "u-4")
	return id, other
}

// Guards against a drain that ends the work of the same tasks again and again although nothing has changed since it was given back.
func TestDrainThatWasGivenBackStopsNoTasksInVainAgain(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, append(gold(entries("u-1", "u-2")), entries("u-3", "u-4")...)...)
	id, _ := drainInVain(f)
	f.live(mostWait)
	is.Equal(f.runsOf(id), 4) // given back
	for range 40 {
		f.live(500 * time.Millisecond)
		is.Equal(f.runsOf(id), 4)
	}
}

// Guards against a wave that does not drain a machine again which it gave back, once there is room for its tasks.
func TestDrainIsResumedAfterItWasGivenBack(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, append(gold(entries("u-1", "u-2")), entries("u-3", "u-4")...)...)
	givenBack := false
	log := f.core.Log
	f.core.Log = func(event string, fields ...any) {
		givenBack = givenBack || event == "drain ended: a long-running task has no other place"
		log(event, fields...)
	}
	id, other := drainInVain(f)
	f.live(mostWait)
	is.True(givenBack)
	is.Equal(f.runsOf(id), 4)
	f.core.Cancel(other)
	is.True(f.liveWithUpkeep(30 * time.Second))
}
