package schedule_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

// world plays upstreams, the store and successive owners around the core, and judges what the upstreams see by the
// users' rules. It never looks into an owner's books.
type world struct {
	t   *rapid.T
	now time.Duration

	hosts    []*host
	owner    *ownerSim
	calls    []*flight
	revision uint64
	stored   map[job.ID]*storedJob
	order    []job.ID
	roster   []platform.Upstream
	gen      uint64
	tasks    map[job.TaskID]*taskTruth
	caps     job.Resources
	broken   string
	healing  bool
	late     bool // the call that is being carried out was held back by its upstream
	starts   int
}

// storedJob is what the store holds of a job.
type storedJob struct {
	job       *job.Job
	created   uint64
	progress  *job.Progress
	cancelled bool
	cancelAt  time.Duration
}

// taskTruth is what upstreams have seen of a task.
type taskTruth struct {
	doneAcked bool // an end as done was acknowledged, with no lapse between
	done      bool
	failed    int // acknowledged ends as failed
}

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

type ownerSim struct {
	core    *schedule.Core
	token   uint64
	until   time.Duration // its lease
	storing bool
	dead    bool
}

// flight is a call on its way.
type flight struct {
	owner  *ownerSim
	call   schedule.Call
	at     time.Duration // when it is carried out
	life   int64         // of its upstream, for a call that an upstream holds and carries out late; 0: any
	lost   bool          // its answer is lost
	answer func(*ownerSim)
}

const (
	worldTTL   = 1500 * time.Millisecond
	worldLease = 5 * time.Second
	worldCPU   = 4000
)

func newWorld(t *rapid.T, hosts int) *world {
	w := &world{
		t: t, now: time.Hour, stored: map[job.ID]*storedJob{}, tasks: map[job.TaskID]*taskTruth{}, revision: 10,
		caps: job.Resources{MilliCPU: int64(rapid.SampledFrom([]int{0, 3000, 6000}).Draw(t, "cap"))},
	}
	for i := range hosts {
		h := &host{
			id: fmt.Sprintf("u-%d", i), speed: rapid.SampledFrom([]float64{0.981, 0.99, 1}).Draw(t, "speed"),
		}
		h.start(w, 1)
		w.hosts = append(w.hosts, h)
	}
	return w
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

func (w *world) fail(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
	}
}

func (w *world) truth(id job.TaskID) *taskTruth {
	if w.tasks[id] == nil {
		w.tasks[id] = &taskTruth{}
	}
	return w.tasks[id]
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

// carryOut lets an upstream handle a call, and returns how its answer is handed over.
func (w *world) carryOut(f *flight) func(*ownerSim) {
	switch call := f.call.(type) {
	case schedule.Start:
		h := w.host(call.Target.ID)
		clock, err := h.startRun(w, call)
		return func(o *ownerSim) { o.core.Started(call, clock, err) }
	case schedule.Stop:
		h := w.host(call.Target.ID)
		clock, err := h.stopRun(w, call)
		return func(o *ownerSim) { o.core.Stopped(call, clock, err) }
	case schedule.Look:
		h := w.host(call.Target.ID)
		lists, err := h.look(w, call)
		return func(o *ownerSim) { o.core.Looked(call, lists, err) }
	}
	return func(*ownerSim) {}
}

func (w *world) host(id string) *host {
	for _, h := range w.hosts {
		if h.id == id {
			return h
		}
	}
	panic("no host " + id)
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

// judgeRemoval checks that only ended jobs are removed, after the time for which they are to be known.
func (w *world) judgeRemoval(s *storedJob) {
	if s.progress == nil || !s.progress.Phase.Terminal() {
		w.fail("LOST: job %s removed before its end was stored", s.job.ID)
		return
	}
	if w.now.Milliseconds() < s.progress.EndedMS+testBounds.Retention.Milliseconds() {
		w.fail("LOST: job %s removed too early", s.job.ID)
	}
}

// judgeAck notes that an end was acknowledged.
func (w *world) judgeAck(end hostEnd) {
	truth := w.truth(end.Task)
	switch end.Kind {
	case platform.EndDone:
		truth.doneAcked = truth.doneAcked || !end.lapsed
	case platform.EndFailed:
		truth.failed++
	}
}

// judgeStart checks a start against the rules.
func (w *world) judgeStart(h *host, o platform.StartOrder) {
	w.starts++
	truth := w.truth(o.Task)
	s := w.stored[o.Task.Job]
	if s == nil {
		w.fail("UNASKED: %s of a job that nobody submitted", o.Task)
		return
	}
	if o.Spec != s.job.Spec {
		w.fail("UNASKED: %s with another spec", o.Task)
	}
	for _, other := range w.hosts {
		if !other.dead && other.running[o.Task] != nil {
			w.fail("TWICE: %s attempt %d on %s while attempt %d runs on %s", o.Task, o.Attempt, h.id,
				other.running[o.Task].attempt, other.id)
		}
	}
	if truth.doneAcked {
		w.fail("TWICE: %s attempt %d on %s after an acknowledged end as done", o.Task, o.Attempt, h.id)
	}
	step := s.job.Steps[o.Task.Step]
	if !step.LongRunning && truth.failed >= testJobQueue().MaxAttempts {
		w.fail("BUDGET: %s attempt %d after %d failures", o.Task, o.Attempt, truth.failed)
	}
	// The users' bound does not hold for orders that an upstream carried out late.
	if s.cancelled && !w.late && w.now > s.cancelAt+3*time.Second {
		w.fail("UNASKED: %s started %v after its cancelling", o.Task, w.now-s.cancelAt)
	}
	for _, earlier := range step.After {
		for i := range s.job.Steps[earlier].Count {
			id := job.TaskID{Job: s.job.ID, Step: earlier, Index: i}
			if !w.truth(id).done {
				w.fail("ORDER: %s started before %s was done", o.Task, id)
			}
		}
	}
	w.judgeRoom(h, o, step)
}

func (w *world) judgeRoom(h *host, o platform.StartOrder, step job.Step) {
	used := step.Room()
	for _, r := range h.running {
		used = used.Add(r.room)
	}
	if used.MilliCPU > worldCPU {
		w.fail("LIMIT: %s on %s brings %d of %d", o.Task, h.id, used.MilliCPU, worldCPU)
	}
	total := step.Request
	for _, other := range w.hosts {
		if other.dead {
			continue
		}
		for _, r := range other.running {
			total = total.Add(r.step.Request)
		}
	}
	// The users allow a tenth and one task more.
	if w.caps.MilliCPU > 0 && total.MilliCPU > w.caps.MilliCPU*11/10+step.Request.MilliCPU {
		w.fail("QUOTA: %s brings %d of %d", o.Task, total.MilliCPU, w.caps.MilliCPU)
	}
}

// claim makes a new owner, which reads what is stored.
func (w *world) claim() {
	w.revision++
	o := &ownerSim{token: w.revision, until: w.now + worldTTL}
	generation := w.gen
	w.gen++
	o.core = schedule.New(schedule.Options{
		Bounds: testBounds, Lease: worldLease, Generation: generation, Token: o.token, Claimed: w.now,
		Log:     w.log,
		Observe: func(string, string, string, time.Duration) {},
	})
	o.core.At(w.now, w.now.Milliseconds())
	o.core.SetBundle(&platform.Bundle{
		Version: 1, Revision: 1, Queues: []platform.BundleQueue{{Queue: testJobQueue()}},
		Teams: []platform.BundleTeam{{Name: testTeam, Weight: 1, Cap: w.caps}},
	})
	for _, entry := range w.roster {
		o.core.Inherit(entry)
	}
	for _, h := range w.hosts {
		if !h.dead {
			o.core.SetUpstream(h.entry())
		}
	}
	for _, id := range w.order {
		w.show(o, w.stored[id])
	}
	w.owner = o
}

// log shows the owners' decisions with -rapid.v.
func (w *world) log(event string, fields ...any) {
	if testing.Verbose() {
		w.t.Logf("%v %s %v", w.now-time.Hour, event, fields)
	}
}

func (w *world) show(o *ownerSim, s *storedJob) {
	var progress *job.Progress
	if s.progress != nil {
		copied := *s.progress
		copied.Parts = slices.Clone(s.progress.Parts)
		for i := range copied.Parts {
			copied.Parts[i].Done = slices.Clone(copied.Parts[i].Done)
			copied.Parts[i].Failures = slices.Clone(copied.Parts[i].Failures)
			copied.Parts[i].Hosts = slices.Clone(copied.Parts[i].Hosts)
			copied.Parts[i].Placed = slices.Clone(copied.Parts[i].Placed)
		}
		progress = &copied
	}
	j := *s.job
	o.core.AddJob(&j, s.created, s.created < o.token, progress, s.cancelled)
}

// decide lets the owner decide, if its lease is valid, and sends its calls.
func (w *world) decide() {
	o := w.owner
	if o == nil || o.dead {
		return
	}
	o.core.At(w.now, w.now.Milliseconds())
	if w.now >= o.until || o.core.Superseded() {
		return
	}
	for _, call := range o.core.Decide() {
		if _, ok := call.(schedule.Forget); ok {
			continue // nothing of the world depends on connections
		}
		f := &flight{owner: o, call: call, at: w.now + w.delay("way", 30)}
		if !w.healing {
			switch rapid.IntRange(0, 29).Draw(w.t, "fate") {
			case 0:
				f.lost = true
			case 1:
				f.lost = true
				f.at += w.delay("late", 12_000)
				f.life = w.host(targetOf(call)).born
			}
		}
		w.calls = append(w.calls, f)
	}
	if !o.storing && (o.core.NeedsStoring() || w.rosterChanged(o)) {
		w.store(o)
	}
}

func (w *world) delay(name string, most int) time.Duration {
	return time.Duration(rapid.IntRange(1, most).Draw(w.t, name)) * time.Millisecond
}

var noRoster []platform.Upstream

func (w *world) rosterChanged(o *ownerSim) bool {
	roster, changed := o.core.Roster()
	if changed {
		noRoster = roster
	}
	return changed
}

// store writes a round. Until it is confirmed the records are either there or not; a dead owner's round may be there.
func (w *world) store(o *ownerSim) {
	o.storing = true
	round := o.core.Take()
	roster := noRoster
	noRoster = nil
	applied := false
	w.calls = append(w.calls, &flight{owner: o, at: w.now + w.delay("write", 60), answer: func(o *ownerSim) {
		if w.owner != o || applied {
			return // another owner has claimed: the condition does not hold
		}
		applied = true
		for _, record := range round.Jobs {
			if record.Remove {
				w.judgeRemoval(w.stored[record.ID])
				continue
			}
			progress := record.Progress
			w.stored[record.ID].progress = &progress
		}
		if roster != nil {
			w.roster = roster
		}
		if !o.dead {
			o.storing = false
			o.core.RosterStored(roster)
			o.core.Stored(round.Number)
		}
	}})
}

// advance moves time on and carries out the calls whose time has come.
func (w *world) advance(d time.Duration) {
	end := w.now + d
	for w.now < end && w.broken == "" {
		w.now += 10 * time.Millisecond
		for _, h := range w.hosts {
			h.tick(w)
		}
		if w.owner != nil && !w.owner.dead && w.now < w.owner.until {
			w.owner.until = w.now + worldTTL // renewed
		}
		w.deliver()
		w.decide()
	}
}

func (w *world) deliver() {
	due := w.calls
	w.calls = nil
	for _, f := range due {
		if f.at > w.now {
			w.calls = append(w.calls, f)
			continue
		}
		w.finish(f)
	}
}

func (w *world) finish(f *flight) {
	if f.answer != nil {
		f.answer(f.owner)
		return
	}
	h := w.host(targetOf(f.call))
	answer := lostAnswer(f.call)
	if !h.cut && !h.dead && (f.life == 0 || f.life == h.born) {
		w.late = f.life != 0
		answered := w.carryOut(f)
		if !f.lost {
			answer = answered
		}
	}
	if f.owner == w.owner && !f.owner.dead {
		f.owner.core.At(w.now, w.now.Milliseconds())
		answer(f.owner)
	}
}

func targetOf(call schedule.Call) string {
	switch call := call.(type) {
	case schedule.Start:
		return call.Target.ID
	case schedule.Stop:
		return call.Target.ID
	case schedule.Look:
		return call.Target.ID
	}
	return ""
}

func lostAnswer(call schedule.Call) func(*ownerSim) {
	lost := errors.Wrap(platform.ErrUnanswered, "lost")
	switch call := call.(type) {
	case schedule.Start:
		return func(o *ownerSim) { o.core.Started(call, 0, lost) }
	case schedule.Stop:
		return func(o *ownerSim) { o.core.Stopped(call, 0, lost) }
	case schedule.Look:
		return func(o *ownerSim) { o.core.Looked(call, platform.Lists{}, lost) }
	}
	return func(*ownerSim) {}
}
