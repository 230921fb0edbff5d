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

func testWave(atOnce int, machines ...string) []platform.Wave {
	return []platform.Wave{{Number: 1, Machines: machines, TimeLimit: 20 * time.Second, MaxConcurrent: atOnce}}
}

func (h *harness) listMachines(ids ...string) {
	var list []platform.Machine
	for _, id := range ids {
		list = append(list, platform.Machine{Name: "m-" + id, Pool: testPool, Phase: platform.MachineUp, Upstream: id})
	}
	h.core.SetMachines(list)
}

// newWaveHarness returns a harness with one fenced upstream whose machine is due for upkeep.
func newWaveHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.addUpstream("u-1")
	h.core.SetWaves(testWave(1, "m-u-1"), nil)
	h.fenceAll(platform.PollResult{})
	h.listMachines("u-1")
	return h
}

// awaitUpkeepCommand drives the core until it issues an upkeep command.
func (h *harness) awaitUpkeepCommand() calls {
	for range 200 {
		if next := h.decide(); len(next.upkeeps) > 0 {
			return next
		} else {
			h.answerAll(next, nil)
		}
		h.advance(50 * time.Millisecond)
	}
	h.t.Fatal("no upkeep command was issued")
	return calls{}
}

// answerAll answers polls with the given running rows by upstream, and starts and stops with success.
func (h *harness) answerAll(c calls, running map[string][]platform.CurrentRun) {
	for _, poll := range c.polls {
		h.answerPoll(poll, platform.PollResult{Running: running[poll.Target.ID]})
	}
	h.acceptStarts(c.starts)
	for _, stop := range c.stops {
		h.core.HandleStopResult(stop, 0, nil)
	}
}

// Guards against treating an upstream as terminated because the upkeep command for its machine was accepted. The
// platform also accepts the command if an earlier owner had the upkeep done. In testbed run karri trouble-1, seed
// 592788477009, tasks still running on the upstream were started elsewhere (TWICE).
func TestUpkeepDoneByEarlierOwnerKeepsUpstream(t *testing.T) {
	is := is.New(t)
	h := newWaveHarness(t)
	issued := h.awaitUpkeepCommand()
	h.core.HandleUpkeepResult(issued.upkeeps[0], nil)
	h.advance(50 * time.Millisecond)
	next := h.decide()
	is.Equal(len(next.polls), 1) // shows whether the upstream is still running
	h.answerPoll(next.polls[0], platform.PollResult{})
	h.advance(100 * time.Millisecond)
	h.addUniformJob(1, 1, 1000)
	h.decide()
	h.advance(100 * time.Millisecond)
	h.decide()
	records := h.core.WaveRecords()
	is.Equal(records[len(records)-1].Done, []string{"m-u-1"})
	known, _ := h.core.UpstreamCounts()
	is.Equal(known, 1)
}

// Guards against a wave that waits for the list of machines, read every 2 s, although the machine's new upstream is
// known. The entry of the previous upstream stays in the store for some heartbeats.
func TestNewUpstreamCompletesUpkeep(t *testing.T) {
	is := is.New(t)
	h := newWaveHarness(t)
	issued := h.awaitUpkeepCommand()
	h.core.HandleUpkeepResult(issued.upkeeps[0], nil)
	h.core.WaveRecords()
	h.advance(2100 * time.Millisecond)
	h.core.SetUpstream(platform.Upstream{
		ID: "u-1b", Pool: testPool, Address: "u-1b:1", Zone: "a", StartedMS: 2, Machine: "m-u-1", Capacity: job.Resources{MilliCPU: 16000},
	})
	h.decide()
	records := h.core.WaveRecords()
	is.Equal(len(records), 1)
	is.Equal(records[0].Done, []string{"m-u-1"})
}

// Guards against the upkeep of a machine whose upstream has not been reached since the claim and may be running an
// earlier owner's tasks.
func TestNoUpkeepOfUnreachableUpstream(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.addUpstream("u-1")
	h.core.SetWaves(testWave(1, "m-u-1"), nil)
	h.listMachines("u-1")
	for range 100 {
		next := h.decide()
		is.Equal(len(next.upkeeps), 0)
		for _, poll := range next.polls {
			h.core.HandlePollResult(poll, platform.PollResult{}, platform.ErrOutcomeUnknown)
		}
		h.advance(100 * time.Millisecond)
	}
}

// Guards against stopping more tasks of a long-running step at a time than the step allows to be unavailable (AVAIL).
func TestUpkeepRespectsUnavailableTaskLimit(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	for _, id := range []string{"u-1", "u-2", "u-3", "u-4"} {
		h.addUpstream(id)
	}
	h.fenceAll(platform.PollResult{})
	h.addJob(1, job.Step{
		Count: 3, Request: job.Resources{MilliCPU: 6000}, LongRunning: true, MaxPerUpstream: 1, MaxUnavailable: 1,
		Estimate: time.Second,
	})
	running := map[string][]platform.CurrentRun{}
	first := h.decide()
	is.Equal(len(first.starts), 3)
	for _, start := range first.starts {
		running[start.Target.ID] = []platform.CurrentRun{{Task: start.Command.Task, Attempt: start.Command.Attempt, Percent: 100}}
	}
	h.answerAll(first, nil)
	h.core.SetWaves(testWave(4, "m-u-1", "m-u-2", "m-u-3", "m-u-4"), nil)
	h.listMachines("u-1", "u-2", "u-3", "u-4")
	stopped := 0
	for range 100 {
		h.advance(100 * time.Millisecond)
		next := h.decide()
		stopped += len(next.stops)
		h.answerAll(next, running)
	}
	is.True(stopped <= 1) // no replacement has finished its start-up meanwhile
}

// Guards against long-running tasks that stay on a draining upstream until it leaves and ends them all at once.
func TestLongRunningTasksLeaveDrainingUpstreamOneByOne(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.addUpstream("u-1")
	h.fenceAll(platform.PollResult{})
	h.addJob(1, job.Step{
		Count: 2, Request: job.Resources{MilliCPU: 1000}, LongRunning: true, MaxUnavailable: 1, Estimate: time.Second,
	})
	first := h.decide()
	is.Equal(len(first.starts), 2)
	var rows []platform.CurrentRun
	for _, start := range first.starts {
		rows = append(rows, platform.CurrentRun{Task: start.Command.Task, Attempt: start.Command.Attempt, Percent: 100})
	}
	h.answerAll(first, map[string][]platform.CurrentRun{"u-1": rows})
	h.advance(100 * time.Millisecond)
	h.addUpstream("u-2")
	draining := platform.Upstream{
		ID: "u-1", Pool: testPool, Address: "u-1:1", Zone: "a", StartedMS: 1, Machine: "m-u-1", Draining: true,
		Capacity: job.Resources{MilliCPU: 16000, MemoryMB: 64000}, Labels: []string{"k", "r1"},
	}
	h.core.SetUpstream(draining)
	next := h.decide()
	is.Equal(len(next.stops), 1) // the other task keeps running until the first one is replaced
	is.Equal(next.stops[0].Target.ID, "u-1")
}

// Guards against new jobs that count as late because the clocks of hosts differ by seconds.
func TestAgeOfNewJobsIsBounded(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.addUpstream("u-1")
	h.fenceAll(platform.PollResult{})
	// Only one of the two jobs fits: the job from the host whose clock is 30 s behind must not count as too late.
	for number, behind := range []time.Duration{30 * time.Second, 0} {
		j := &job.Job{
			ID: job.ID(fmt.Sprintf("%016x", number+1)), Team: testTeam, Queue: testJobQueue(), Spec: "s",
			Steps:      []job.Step{{Count: 1, Request: job.Resources{MilliCPU: 10000}, Estimate: time.Second}},
			AcceptedMS: (h.now - behind).Milliseconds(),
		}
		h.core.AddJob(j, uint64(100+number), false, nil, false)
	}
	starts := h.decide().starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Command.Task.Job, job.ID("0000000000000001"))
}

// Guards against a new owner that counts runs as available although the earlier owner has just stopped them, and
// stops one more task of their step (AVAIL in random testbed run fresh-6631 on deployment kainlena-sched-grown, 0.2 s
// after a change of owner).
func TestAdoptedRunsMayBeStopping(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	id := job.ID("0000000000000001")
	h.core.AddJob(&job.Job{
		ID: id, Team: testTeam, Queue: testJobQueue(), Spec: "s", AcceptedMS: h.now.Milliseconds(),
		Steps: []job.Step{{
			Count: 3, Request: job.Resources{MilliCPU: 6000}, LongRunning: true, MaxPerUpstream: 1, MaxUnavailable: 1, Estimate: time.Second,
		}},
	}, 1, true, nil, false)
	running := map[string][]platform.CurrentRun{}
	for i, name := range []string{"u-1", "u-2", "u-3"} {
		h.addUpstream(name)
		running[name] = []platform.CurrentRun{{Task: job.TaskID{Job: id, Index: i}, Attempt: 1, Percent: 100}}
	}
	h.core.SetUpstream(platform.Upstream{
		ID: "u-1", Pool: testPool, Address: "u-1:1", Zone: "a", StartedMS: 1, Machine: "m-u-1", Draining: true,
		Capacity: job.Resources{MilliCPU: 16000, MemoryMB: 64000},
	})
	begin := h.now
	for range 40 {
		next := h.decide()
		if len(next.stops) > 0 {
			is.Equal(next.stops[0].Target.ID, "u-1")
			is.True(h.now-begin >= 900*time.Millisecond)
			return
		}
		h.answerAll(next, running)
		h.advance(50 * time.Millisecond)
	}
	t.Fatal("the task on the draining upstream was never moved")
}

// Guards against an upkeep that ends the runs of an upstream without an entry, which may only be partitioned from the
// store. In testbed run karri-sched-grown trouble-2, from 13.8 s on, the platform rejected the command.
func TestNoUpkeepWhileUnlistedUpstreamMayRun(t *testing.T) {
	for name, inherited := range map[string]bool{"this owner's run": false, "an earlier owner's run": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			if inherited {
				h.core.InheritUpstream(platform.Upstream{ID: "u-1", Pool: testPool, Address: "u-1:1", Zone: "a", Machine: "m-u-1"})
			} else {
				h.addUpstream("u-1")
				h.fenceAll(platform.PollResult{})
				h.addUniformJob(1, 1, 1000)
				h.acceptStarts(h.decide().starts)
				h.core.UnlistUpstream("u-1")
			}
			h.core.SetWaves(testWave(1, "m-u-1"), nil)
			h.listMachines("u-1")
			for range 60 { // shorter than the lease
				next := h.decide()
				is.Equal(len(next.upkeeps), 0)
				for _, poll := range next.polls {
					h.core.HandlePollResult(poll, platform.PollResult{}, platform.ErrOutcomeUnknown)
				}
				h.advance(50 * time.Millisecond)
			}
		})
	}
}

// Guards against concluding that an upkeep was done before from a poll that was in flight when the command was
// accepted: the upstream had answered it before it went down.
func TestPollSentBeforeUpkeepDoesNotCompleteIt(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.addUpstream("u-1")
	h.fenceAll(platform.PollResult{})
	id := h.addUniformJob(1, 1, 1000)
	begun := h.decide()
	h.acceptStarts(begun.starts)
	h.core.SetWaves(testWave(1, "m-u-1"), nil)
	h.listMachines("u-1")
	task := job.TaskID{Job: id}
	for _, poll := range begun.polls {
		h.answerPoll(poll, platform.PollResult{Running: []platform.CurrentRun{{Task: task, Attempt: 1}}})
	}
	var acknowledging []schedule.Poll // polls in flight
	var issued []schedule.Upkeep
	for range 40 {
		h.advance(100 * time.Millisecond)
		next := h.decide()
		for _, poll := range next.polls {
			if poll.Request.AckedSeq > 0 {
				acknowledging = append(acknowledging, poll)
				continue
			}
			h.answerPoll(poll, platform.PollResult{Ended: []platform.EndedRun{{Seq: 1, Task: task, Attempt: 1, Kind: platform.EndDone}}})
		}
		if issued = next.upkeeps; len(issued) > 0 {
			break
		}
	}
	is.Equal(len(issued), 1)
	is.Equal(len(acknowledging), 1)
	h.core.WaveRecords()
	h.core.HandleUpkeepResult(issued[0], nil)
	h.advance(20 * time.Millisecond)
	h.answerPoll(acknowledging[0], platform.PollResult{})
	h.decide()
	is.Equal(len(h.core.WaveRecords()), 0) // the upkeep is not done yet
}
