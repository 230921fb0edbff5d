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
