package schedule_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

// simUpstream simulates an upstream by the platform's specification of runs, fencing, leases and lists.
type simUpstream struct {
	id            string
	startedMS     int64
	startedAt     time.Duration
	clockRate     float64
	token         uint64
	deadline      int64
	running       map[job.TaskID]*simRun
	endedAttempts map[job.TaskID]uint64 // highest attempt that was stopped or has ended
	ends          []simEnd
	seq           uint64
	unreachable   bool // calls and responses are lost
	dead          bool
	failsAll      bool // every run fails
}

type simRun struct {
	attempt  uint64
	until    time.Duration
	fails    bool
	reserved job.Resources
	step     *job.Step
}

type simEnd struct {
	platform.EndedRun
	expired bool // the lease has expired since the end
}

func (h *simUpstream) start(sim *simulation, startedMS int64) {
	h.startedMS, h.startedAt, h.token, h.deadline = startedMS, sim.now, 0, 0
	h.running, h.endedAttempts, h.ends, h.seq = map[job.TaskID]*simRun{}, map[job.TaskID]uint64{}, nil, 0
	h.dead = false
}

func (h *simUpstream) clock(sim *simulation) int64 {
	return 1000 + int64(h.clockRate*float64((sim.now-h.startedAt).Milliseconds()))
}

func (h *simUpstream) entry() platform.Upstream {
	return platform.Upstream{
		ID: h.id, Pool: testPool, Address: h.id + ":1", Zone: "a", StartedMS: h.startedMS, Machine: "m-" + h.id,
		Capacity: job.Resources{MilliCPU: simUpstreamCPU}, Labels: []string{"k", "r"},
	}
}

// end moves a run from the running list to the ends.
func (h *simUpstream) end(sim *simulation, id job.TaskID, kind platform.EndKind) {
	r := h.running[id]
	delete(h.running, id)
	h.seq++
	h.endedAttempts[id] = max(h.endedAttempts[id], r.attempt)
	h.ends = append(h.ends, simEnd{EndedRun: platform.EndedRun{Seq: h.seq, Task: id, Attempt: r.attempt, Kind: kind}})
	if kind == platform.EndDone {
		sim.historyOf(id).done = true
	}
}

// tick ends the runs that are due, and all runs once the lease has expired.
func (h *simUpstream) tick(sim *simulation) {
	if h.dead {
		return
	}
	for _, id := range sortedTasks(h.running) {
		if r := h.running[id]; sim.now >= r.until && !r.step.LongRunning {
			kind := platform.EndDone
			if r.fails {
				kind = platform.EndFailed
			}
			h.end(sim, id, kind)
		}
	}
	if h.clock(sim) > h.deadline {
		for _, id := range sortedTasks(h.running) {
			h.end(sim, id, platform.EndLeaseExpired)
		}
		for i := range h.ends {
			h.ends[i].expired = true
		}
	}
}

func sortedTasks(running map[job.TaskID]*simRun) []job.TaskID {
	ids := make([]job.TaskID, 0, len(running))
	for id := range running {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b job.TaskID) int {
		if a.String() < b.String() {
			return -1
		}
		return 1
	})
	return ids
}

func (h *simUpstream) checkToken(token uint64) error {
	if token < h.token {
		return &platform.RejectedError{Reason: platform.RejectedFence}
	}
	h.token = token
	return nil
}

func (h *simUpstream) startRun(sim *simulation, call schedule.Start) (int64, error) {
	command := call.Command
	if err := h.checkToken(command.Token); err != nil {
		return h.clock(sim), err
	}
	if r := h.running[command.Task]; r != nil && r.attempt == command.Attempt {
		return h.clock(sim), nil
	}
	if h.endedAttempts[command.Task] >= command.Attempt {
		return h.clock(sim), &platform.RejectedError{Reason: platform.RejectedOld, ClockMS: h.clock(sim)}
	}
	if command.DeadlineMS <= h.clock(sim) {
		return h.clock(sim), &platform.RejectedError{Reason: platform.RejectedLate, ClockMS: h.clock(sim)}
	}
	h.deadline = max(h.deadline, command.DeadlineMS)
	sim.checkStart(h, command)
	s := sim.stored[command.Task.Job]
	step := &s.job.Steps[command.Task.Step]
	duration := time.Duration(rapid.IntRange(100, 2500).Draw(sim.t, "ms")) * time.Millisecond
	h.running[command.Task] = &simRun{
		attempt: command.Attempt, until: sim.now + duration, reserved: step.ReservedResources(), step: step,
		fails: !sim.faultsEnded && (h.failsAll || rapid.IntRange(0, 19).Draw(sim.t, "fails") == 0),
	}
	return h.clock(sim), nil
}

func (h *simUpstream) stopRun(sim *simulation, call schedule.Stop) (int64, error) {
	command := call.Command
	if err := h.checkToken(command.Token); err != nil {
		return h.clock(sim), err
	}
	if r := h.running[command.Task]; r != nil && r.attempt <= command.Attempt {
		h.end(sim, command.Task, platform.EndStopped)
	}
	h.endedAttempts[command.Task] = max(h.endedAttempts[command.Task], command.Attempt)
	return h.clock(sim), nil
}

func (h *simUpstream) poll(sim *simulation, call schedule.Poll) (platform.PollResult, error) {
	command := call.Request
	if err := h.checkToken(command.Token); err != nil {
		return platform.PollResult{}, err
	}
	if command.DeadlineMS > 0 {
		h.deadline = max(h.deadline, command.DeadlineMS)
	}
	for len(h.ends) > 0 && h.ends[0].Seq <= command.AckedSeq {
		sim.recordAck(h.ends[0])
		h.ends = h.ends[1:]
	}
	lists := platform.PollResult{ClockMS: h.clock(sim), StartedMS: h.startedMS}
	for _, id := range sortedTasks(h.running) {
		lists.Running = append(lists.Running, platform.CurrentRun{Task: id, Attempt: h.running[id].attempt, Percent: 100})
	}
	for _, end := range h.ends {
		lists.Ended = append(lists.Ended, end.EndedRun)
	}
	return lists, nil
}
