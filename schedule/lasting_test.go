package schedule_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

// fleet answers the calls of a core for upstreams of 16 cores that run whatever they are told to.
type fleet struct {
	*harness
	running map[string][]platform.CurrentRun
	ended   map[string][]platform.EndedRun
	silent  map[string]bool // upstreams that answer nothing
	bad     map[job.ID]bool // jobs whose runs fail at once
	tickets map[string]string
	asked   int  // upstreams named in the last request for advice
	loses   bool // starts are lost

	started      map[string]int64         // when upstreams started, in Unix milliseconds; 1 unless it is there
	bornAt       map[string]time.Duration // when clocks began that begin at 0; the others show the time of the harness
	drops        bool                     // starts are not carried out
	losesAnswers int                      // number of starts whose answers are lost
	keepsStarts  bool                     // the results of starts are not delivered, and the starts collected in inFlight
	inFlight     []schedule.Start
	startsSent   int
	lastStart    schedule.Start
}

func newFleet(t *testing.T, upstreams ...platform.Upstream) *fleet {
	f := &fleet{
		harness: newHarness(t), running: map[string][]platform.CurrentRun{}, ended: map[string][]platform.EndedRun{},
		silent: map[string]bool{}, bad: map[job.ID]bool{}, started: map[string]int64{}, bornAt: map[string]time.Duration{},
	}
	for _, entry := range upstreams {
		f.core.SetUpstream(entry)
	}
	f.core.RosterStored(f.core.TakeRosterChange())
	f.live(200 * time.Millisecond)
	return f
}

func entries(ids ...string) []platform.Upstream {
	var found []platform.Upstream
	for _, id := range ids {
		found = append(found, upstreamEntry(id, 16000))
	}
	return found
}

// live drives the core for a time.
func (f *fleet) live(d time.Duration) {
	for end := f.now + d; f.now < end; f.advance(50 * time.Millisecond) {
		for _, call := range f.core.Decide() {
			f.answer(call)
		}
		f.recordsStored(f.core.TakeRecords().Number)
	}
}

func (f *fleet) answer(call schedule.Call) {
	switch call := call.(type) {
	case schedule.Start:
		if f.silent[call.Target.ID] || f.loses {
			f.core.HandleStartResult(call, 0, lostStart)
			return
		}
		f.startsSent, f.lastStart = f.startsSent+1, call
		if !f.drops {
			f.start(call)
		}
		switch {
		case f.keepsStarts:
			f.inFlight = append(f.inFlight, call)
		case f.losesAnswers > 0:
			f.losesAnswers--
			f.core.HandleStartResult(call, 0, lostStart)
		default:
			f.core.HandleStartResult(call, f.clock(call.Target.ID), nil)
		}
	case schedule.Stop:
		if !f.silent[call.Target.ID] {
			f.stop(call)
			f.core.HandleStopResult(call, f.clock(call.Target.ID), nil)
		} else {
			f.core.HandleStopResult(call, 0, lostStart)
		}
	case schedule.Poll:
		if f.silent[call.Target.ID] {
			f.core.HandlePollResult(call, platform.PollResult{}, lostStart)
			return
		}
		id := call.Target.ID
		f.core.HandlePollResult(call, platform.PollResult{
			StartedMS: max(f.started[id], 1), ClockMS: f.clock(id), Running: f.running[id], Ended: f.ended[id],
		}, nil)
	case schedule.AdviceRequest:
		f.asked = len(call.Upstreams)
		tickets := maps.Clone(f.tickets)
		maps.DeleteFunc(tickets, func(id, _ string) bool { return !slices.Contains(call.Upstreams, id) })
		f.core.HandleAdviceResult(call, platform.Tickets{ByUpstream: tickets, Validity: time.Minute}, nil)
	}
}

// clock returns the upstream's clock in milliseconds.
func (f *fleet) clock(id string) int64 { return (f.now - f.bornAt[id]).Milliseconds() }

func (f *fleet) start(call schedule.Start) {
	id, command := call.Target.ID, call.Command
	if f.bad[command.Task.Job] {
		f.ended[id] = append(f.ended[id], platform.EndedRun{
			Seq: uint64(len(f.ended[id]) + 1), Task: command.Task, Attempt: command.Attempt, Kind: platform.EndFailed,
		})
		return
	}
	f.running[id] = append(f.running[id], platform.CurrentRun{Task: command.Task, Attempt: command.Attempt, Percent: 100})
}

func (f *fleet) stop(call schedule.Stop) {
	f.running[call.Target.ID] = slices.DeleteFunc(slices.Clone(f.running[call.Target.ID]), func(r platform.CurrentRun) bool {
		return r.Task == call.Command.Task
	})
}

// runsOf returns the number of runs of a job on upstreams that answer.
func (f *fleet) runsOf(id job.ID) int {
	n := 0
	for upstream, runs := range f.running {
		for _, r := range runs {
			if r.Task.Job == id && !f.silent[upstream] {
				n++
			}
		}
	}
	return n
}

func lasting(count int, milliCPU int64) job.Step {
	return job.Step{Count: count, Request: job.Resources{MilliCPU: milliCPU}, LongRunning: true}
}

// mostWait is how long a long-running task may have nothing running although there is room.
const mostWait = 9 * time.Second

// Guards against a task that is never started again: its start was not answered, and its upstream has started anew and is
// gone before it answered a poll.
func TestTaskOfUpstreamThatRestartsAndIsGoneStartsElsewhere(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, entries("u-1", "u-2", "u-3")...)
	f.loses = true
	id := f.addJob(1, lasting(1, 1000))
	f.live(100 * time.Millisecond)
	is.Equal(f.core.Stats().Starts, 1) // on u-1
	f.loses, f.silent["u-1"] = false, true
	restarted := upstreamEntry("u-1", 16000)
	restarted.StartedMS = 2
	f.core.SetUpstream(restarted)
	f.live(time.Second)
	f.core.UnlistUpstream("u-1")
	f.live(2 * testBounds.MaxLease)
	is.Equal(f.runsOf(id), 1)
}

// Guards against a task that starts on an upstream whose lease may be the platform's longest, since it has started anew with
// a poll in flight, although another has room: the upstream was gone a second later, and the task waited for 10 s.
func TestTaskDoesNotStartWhereTheLeaseMayBeLong(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, entries("u-1", "u-2")...)
	f.addJob(1, lasting(1, 1000))
	f.live(time.Second)
	f.advance(100 * time.Millisecond)
	inFlight := callsOf[schedule.Poll](f.core.Decide())
	is.Equal(len(inFlight), 1) // to u-1
	restarted := upstreamEntry("u-1", 16000)
	restarted.StartedMS = 2
	f.core.SetUpstream(restarted)
	f.running = map[string][]platform.CurrentRun{}
	f.core.HandlePollResult(inFlight[0], platform.PollResult{StartedMS: 2, ClockMS: 1000}, nil)
	id := f.addJob(2, lasting(1, 1000))
	f.live(200 * time.Millisecond)
	f.silent["u-1"] = true
	f.live(mostWait)
	is.Equal(f.runsOf(id), 1)
}

// Guards against long-running tasks that wait although they fit: the upstreams were kept for larger ones, which can never
// fit beside the long-running tasks there.
func TestRoomIsNotKeptForTasksThatCannotUseIt(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, entries("u-1", "u-2")...)
	f.addJob(1, lasting(2, 10000))
	f.live(time.Second)
	f.addJob(2, lasting(2, 8000))
	f.live(2 * time.Second)
	id := f.addJob(3, lasting(20, 1000))
	f.live(mostWait)
	is.Equal(f.runsOf(id), 12) // in the room of 6 cores on each
}

// Guards against a suspect that waits for the upstream that was held for it, which a long-running task fills, although
// another one has become free.
func TestSuspectDoesNotWaitForFullUpstream(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, entries("u-1", "u-2")...)
	f.addJob(1, lasting(1, 10000))
	elsewhere := lasting(1, 500)
	elsewhere.Label = "gold"
	f.addJob(3, elsewhere)
	f.live(time.Second)
	short := f.addUniformJob(2, 1, 10000)
	f.live(500 * time.Millisecond)
	crashes := []job.TaskCrash{{Index: 0, Attempt: 1}, {Index: 0, Attempt: 2}}
	id := job.ID("00000000000000aa")
	f.inheritJob(id, lasting(1, 8000), job.Progress{Phase: job.Active, Parts: []job.PartProgress{{Crashes: crashes}}})
	f.live(500 * time.Millisecond)
	f.core.Cancel(short)
	f.live(mostWait)
	is.Equal(f.runsOf(id), 1)
}

// Guards against a long-running task that waits for the end of a long quarantine, while all other upstreams are full.
func TestLongRunningTaskDoesNotWaitForLongQuarantine(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, entries("u-1", "u-2")...)
	f.addJob(1, lasting(1, 16000))
	for number := 2; number < 14; number++ {
		f.bad[f.addUniformJob(number, 1, 1000)] = true
	}
	f.live(time.Second)
	id := f.addJob(20, lasting(1, 1000))
	f.live(mostWait)
	is.Equal(f.runsOf(id), 1)
}

// Guards against a drain that stops tasks which can start nowhere else, and then waits for them for ever: the others may
// not stop while these are away, and the upstream that has room for them is the one that is drained.
func TestDrainDoesNotKeepTasksWithoutPlaceAway(t *testing.T) {
	is := is.New(t)
	labelled := entries("u-1", "u-2")
	for i := range labelled {
		labelled[i].Labels = []string{"k", "gold", "r1"}
	}
	f := newFleet(t, append(labelled, entries("u-3", "u-4")...)...)
	step := lasting(8, 4000)
	step.Label, step.MaxUnavailable = "gold", 2
	id := f.addJob(1, step)
	f.live(time.Second)
	is.Equal(f.runsOf(id), 8)
	f.core.SetWaves(testWave(1, "m-u-1"), nil)
	f.listMachines("u-1", "u-2", "u-3", "u-4")
	f.live(mostWait)
	is.Equal(f.runsOf(id), 8)
}

// Guards against a wave that does not drain a machine again which it gave back since tasks could start nowhere else.
func TestMachineThatWasGivenBackIsDrainedAgain(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, entries("u-1", "u-2")...)
	step := lasting(8, 4000)
	step.MaxUnavailable = 2
	id := f.addJob(1, step)
	f.live(time.Second)
	f.core.SetWaves(testWave(1, "m-u-1"), nil)
	f.listMachines("u-1", "u-2")
	is.True(!f.liveWithUpkeep(mostWait))
	f.core.Cancel(id)
	is.True(f.liveWithUpkeep(30 * time.Second))
}

// Guards against tickets for the upstreams that an owner reached first, which are full, that keep a task from all others
// for as long as they are valid.
func TestTicketsForFullUpstreamsDoNotKeepTaskWaiting(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, entries("u-1")...)
	f.addJob(1, lasting(1, 16000))
	f.live(time.Second)
	f.tickets = map[string]string{"u-1": "t1", "u-2": "t2"}
	id := f.addAdvisedJob(2, lasting(1, 1000))
	f.live(time.Second)
	is.Equal(f.asked, 1)
	f.addUpstream("u-2")
	f.live(mostWait)
	is.Equal(f.runsOf(id), 1)
}

// Guards against tasks that need advice and wait for ever, because it is asked for on the first 30 upstreams only, which
// are full.
func TestAdviceIsAskedForOnUpstreamsWithRoom(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.tickets = map[string]string{}
	for i := range 32 {
		id := fmt.Sprintf("u-%02d", i)
		f.addUpstream(id)
		f.tickets[id] = "t"
	}
	f.live(200 * time.Millisecond)
	f.addJob(1, lasting(30, 16000))
	f.live(time.Second)
	id := f.addAdvisedJob(2, lasting(1, 1000))
	f.live(mostWait)
	is.Equal(f.runsOf(id), 1)
}

// addAdvisedJob adds a job of a queue whose steps need advice.
func (f *fleet) addAdvisedJob(number int, step job.Step) job.ID {
	advised := testJobQueue()
	advised.Name, advised.NeedsAdvice = "advised", true
	f.core.SetBundle(&platform.Bundle{
		Version: 2, Revision: 2, Queues: []platform.BundleQueue{{Queue: testJobQueue()}, {Queue: advised}},
		Teams: []platform.BundleTeam{{Name: testTeam, Weight: 1}},
	})
	id := job.ID("00000000000000ff")
	f.core.AddJob(&job.Job{
		ID: id, Team: testTeam, Queue: advised, Spec: "s", Steps: []job.Step{step}, AcceptedMS: f.now.Milliseconds(),
	}, uint64(100+number), false, nil, false)
	return id
}

// Guards against a long-running task that waits for its data's rack, which is full, for as long as a task of its step is
// expected to run.
func TestLongRunningTaskDoesNotWaitForItsRack(t *testing.T) {
	is := is.New(t)
	far := upstreamEntry("u-2", 16000)
	far.Labels = []string{"k", "r2"}
	f := newFleet(t, upstreamEntry("u-1", 16000), far)
	full := lasting(1, 16000)
	full.Label = "r1"
	f.addJob(1, full)
	f.live(time.Second)
	step := lasting(1, 1000)
	step.Rack, step.Estimate = "r1", time.Minute
	id := f.addJob(2, step)
	f.live(mostWait)
	is.Equal(f.runsOf(id), 1)
}

// Guards against an upstream that was released for another pool and stays closed because its own pool lacks machines:
// long-running tasks, for which it has room, waited until all pools had enough.
func TestReleasedUpstreamIsOpenedForItsOwnPool(t *testing.T) {
	is := is.New(t)
	other := upstreamEntry("o-1", 16000)
	other.Pool = "other"
	f := newFleet(t, append(entries("u-1", "u-2", "u-3"), other)...)
	otherQueue := testJobQueue()
	otherQueue.Name, otherQueue.Pool = "others", "other"
	f.core.SetBundle(&platform.Bundle{
		Version: 2, Revision: 2, Queues: []platform.BundleQueue{{Queue: testJobQueue()}, {Queue: otherQueue}},
		Pools: []platform.BundlePool{{Name: testPool}, {Name: "other"}}, Teams: []platform.BundleTeam{{Name: testTeam, Weight: 1}},
	})
	f.addJob(1, lasting(1, 16000))
	f.live(200 * time.Millisecond)
	slow := job.Step{Count: 2, Request: job.Resources{MilliCPU: 9000}, Estimate: time.Minute}
	f.addJob(2, slow) // one task on each of the other two
	f.live(200 * time.Millisecond)
	f.core.SetMachines([]platform.Machine{
		{Name: "m-u-1", Pool: testPool, Phase: platform.MachineUp, Upstream: "u-1"},
		{Name: "m-u-2", Pool: testPool, Phase: platform.MachineUp, Upstream: "u-2"},
		{Name: "m-u-3", Pool: testPool, Phase: platform.MachineUp, Upstream: "u-3"},
		{Name: "m-o-1", Pool: "other", Phase: platform.MachineUp, Upstream: "o-1"},
	})
	f.core.AddJob(&job.Job{
		ID: "00000000000000ee", Team: testTeam, Queue: otherQueue, Spec: "s", AcceptedMS: f.now.Milliseconds(),
		Steps: []job.Step{{Count: 20, Request: job.Resources{MilliCPU: 4000}, Estimate: time.Minute}},
	}, 150, false, nil, false)
	f.live(time.Second)
	id := f.addJob(3, lasting(3, 3500))
	f.live(mostWait)
	is.Equal(f.runsOf(id), 3)
}

// Guards against an owner that stores a cancelled job without the places of its tasks, while these may still run on an
// upstream that it has not reached: the next owner did not count them against the team's cap (QUOTA).
func TestCancelledJobKeepsPlacesOfUnseenRuns(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.core.InheritUpstream(upstreamEntry("u-1", 16000))
	progress := job.Progress{Phase: job.Active, Parts: []job.PartProgress{{}}}
	progress.Parts[0].RecordPlacement(0, "u-1")
	h.core.AddJob(&job.Job{
		ID: "0000000000000001", Team: testTeam, Queue: testJobQueue(), Spec: "s", Steps: []job.Step{lasting(1, 1000)},
	}, 1, true, &progress, true)
	h.core.Decide()
	records := h.core.TakeRecords().Jobs
	is.Equal(len(records), 1)
	is.Equal(len(records[0].Progress.Parts), 1)
}

// Guards against a long-running task that waits for the end of a lease on an upstream that has answered its stop and is silent
// since: nothing of it can run there (TestHistoriesKeepLongRunningTasksAtWork, seeds 14000001898 and 12000052010).
func TestStoppedTaskDoesNotWaitForSilentUpstream(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, entries("u-1", "u-2")...)
	id := f.addJob(1, lasting(1, 1000))
	f.live(500 * time.Millisecond)
	is.Equal(len(f.running["u-1"]), 1)
	f.drain("u-1")
	f.live(50 * time.Millisecond) // the stop is answered
	is.Equal(f.core.Stats().Stops, 1)
	f.silent["u-1"] = true
	f.live(3 * time.Second)
	is.Equal(f.runsOf(id), 1)
}

// drain delivers the entry of an upstream that is about to leave.
func (f *fleet) drain(id string) {
	entry := upstreamEntry(id, 16000)
	entry.StartedMS, entry.Draining = max(f.started[id], 1), true
	f.core.SetUpstream(entry)
}
