package schedule_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

// host is an upstream: it keeps to the platform's page on runs, fences, leases and lists.
type host struct {
	id       string
	born     int64
	bornAt   time.Duration
	speed    float64 // of its clock
	token    uint64
	deadline int64
	running  map[job.TaskID]*hostRun
	barred   map[job.TaskID]uint64 // highest attempt that was stopped or ended
	ends     []hostEnd
	seq      uint64
	cut      bool // calls and answers are lost
	dead     bool
	bad      bool // fails all that it starts
}

type hostRun struct {
	attempt uint64
	until   time.Duration
	fails   bool
	room    job.Resources
	step    *job.Step
}

type hostEnd struct {
	platform.Ended
	lapsed bool // the lease has expired since
}

func (h *host) start(w *world, born int64) {
	h.born, h.bornAt, h.token, h.deadline = born, w.now, 0, 0
	h.running, h.barred, h.ends, h.seq = map[job.TaskID]*hostRun{}, map[job.TaskID]uint64{}, nil, 0
	h.dead = false
}

func (h *host) clock(w *world) int64 {
	return 1000 + int64(h.speed*float64((w.now-h.bornAt).Milliseconds()))
}

func (h *host) entry() platform.Upstream {
	return platform.Upstream{
		ID: h.id, Pool: testPool, Address: h.id + ":1", Zone: "a", Born: h.born, Machine: "m-" + h.id,
		Capacity: job.Resources{MilliCPU: worldCPU}, Labels: []string{"k", "r"},
	}
}

// end moves a run from an upstream's running list to its ends.
func (h *host) end(w *world, id job.TaskID, kind platform.EndKind) {
	r := h.running[id]
	delete(h.running, id)
	h.seq++
	h.barred[id] = max(h.barred[id], r.attempt)
	h.ends = append(h.ends, hostEnd{Ended: platform.Ended{Seq: h.seq, Task: id, Attempt: r.attempt, Kind: kind}})
	if kind == platform.EndDone {
		w.truth(id).done = true
	}
}

// tick ends runs whose time has come, and everything when the lease has expired.
func (h *host) tick(w *world) {
	if h.dead {
		return
	}
	for _, id := range sortedTasks(h.running) {
		if r := h.running[id]; w.now >= r.until && !r.step.LongRunning {
			kind := platform.EndDone
			if r.fails {
				kind = platform.EndFailed
			}
			h.end(w, id, kind)
		}
	}
	if h.clock(w) > h.deadline {
		for _, id := range sortedTasks(h.running) {
			h.end(w, id, platform.EndLapsed)
		}
		for i := range h.ends {
			h.ends[i].lapsed = true
		}
	}
}

func sortedTasks(running map[job.TaskID]*hostRun) []job.TaskID {
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

func (h *host) fence(token uint64) error {
	if token < h.token {
		return &platform.RefusedError{Reason: platform.RefusedFence}
	}
	h.token = token
	return nil
}

func (h *host) startRun(w *world, call schedule.Start) (int64, error) {
	o := call.Order
	if err := h.fence(o.Token); err != nil {
		return h.clock(w), err
	}
	if r := h.running[o.Task]; r != nil && r.attempt == o.Attempt {
		return h.clock(w), nil
	}
	if h.barred[o.Task] >= o.Attempt {
		return h.clock(w), &platform.RefusedError{Reason: platform.RefusedOld, ClockMS: h.clock(w)}
	}
	if o.DeadlineMS <= h.clock(w) {
		return h.clock(w), &platform.RefusedError{Reason: platform.RefusedLate, ClockMS: h.clock(w)}
	}
	h.deadline = max(h.deadline, o.DeadlineMS)
	w.judgeStart(h, o)
	s := w.stored[o.Task.Job]
	step := &s.job.Steps[o.Task.Step]
	duration := time.Duration(rapid.IntRange(100, 2500).Draw(w.t, "ms")) * time.Millisecond
	h.running[o.Task] = &hostRun{
		attempt: o.Attempt, until: w.now + duration, room: step.Room(), step: step,
		fails: !w.healing && (h.bad || rapid.IntRange(0, 19).Draw(w.t, "fails") == 0),
	}
	return h.clock(w), nil
}

func (h *host) stopRun(w *world, call schedule.Stop) (int64, error) {
	o := call.Order
	if err := h.fence(o.Token); err != nil {
		return h.clock(w), err
	}
	if r := h.running[o.Task]; r != nil && r.attempt <= o.Attempt {
		h.end(w, o.Task, platform.EndStopped)
	}
	h.barred[o.Task] = max(h.barred[o.Task], o.Attempt)
	return h.clock(w), nil
}

func (h *host) look(w *world, call schedule.Look) (platform.Lists, error) {
	o := call.Order
	if err := h.fence(o.Token); err != nil {
		return platform.Lists{}, err
	}
	if o.DeadlineMS > 0 {
		h.deadline = max(h.deadline, o.DeadlineMS)
	}
	for len(h.ends) > 0 && h.ends[0].Seq <= o.AckedSeq {
		w.judgeAck(h.ends[0])
		h.ends = h.ends[1:]
	}
	lists := platform.Lists{ClockMS: h.clock(w), Born: h.born}
	for _, id := range sortedTasks(h.running) {
		lists.Running = append(lists.Running, platform.Running{Task: id, Attempt: h.running[id].attempt, Percent: 100})
	}
	for _, end := range h.ends {
		lists.Ended = append(lists.Ended, end.Ended)
	}
	return lists, nil
}
