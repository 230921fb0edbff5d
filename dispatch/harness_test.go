package dispatch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"citrongauge.example/citrongauge/result"
	"citrongauge.example/citrongauge/routing"
	"citrongauge.example/citrongauge/upstream"
)

// world runs machines against fake upstreams on one simulated clock.
type world struct {
	rng                *rand.Rand
	now, paused        time.Time
	queue              []action // in order of time
	faults, pauses     float64  // part of the calls that meet a fault, of the process's steps that meet a pause
	ups                map[string]*fakeUpstream
	tasks              []*simTask
	budget             routing.RetryBudget
	cap, held          int
	gateShut           time.Time // Check refuses from then on, with shutCode
	shutCode           result.Code
	attempts, refusals int // Reserve calls sent, and those refused for certain
	violation          string
}

type action struct {
	at time.Time
	do func()
}

// simTask is a task, its machine, and what the checker counts of it.
type simTask struct {
	Task
	m                        *Machine
	wake                     time.Time
	n, ids, held, executions int
	answer                   *Answer
}

var epoch = time.Unix(1_000_000, 0)

func newWorld(seed uint64, hosts int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, ups: map[string]*fakeUpstream{}, cap: 100}
	for i := range hosts {
		w.ups[fmt.Sprint("u", i)] = newFakeUpstream(w)
	}
	return w
}

// pick chooses any upstream that is not excluded, so that the tests do not rest on a good choice.
func (w *world) pick(e Pick) Event {
	for _, i := range w.rng.Perm(len(w.ups)) {
		if host := fmt.Sprint("u", i); !slices.Contains(e.Exclude, host) {
			if e.Retry && !w.budget.Take(w.now) {
				return Picked{Err: ErrRetryBudget}
			}
			return Picked{Candidate: routing.Candidate{Host: host}}
		}
	}
	return Picked{Err: result.Errorf(result.NoUpstream, "")}
}

func (w *world) at(t time.Time, do func()) {
	i, _ := slices.BinarySearchFunc(w.queue, t, func(a action, t time.Time) int {
		return cmp.Or(a.at.Compare(t), -1) // after those of the same time
	})
	w.queue = slices.Insert(w.queue, i, action{t, do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now.Add(d), do) }

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d))) }

// host runs a step of the process, which may be paused before it.
func (w *world) host(do func()) {
	if w.now.Before(w.paused) {
		w.at(w.paused, func() { w.host(do) })
		return
	}
	if w.rng.Float64() < w.pauses {
		w.paused = w.now.Add(w.upTo(30 * time.Second))
		w.at(w.paused, do)
		return
	}
	do()
}

// run simulates until nothing is left to happen, or until a violation.
func (w *world) run() {
	for len(w.queue) > 0 && w.violation == "" {
		next := w.queue[0]
		w.queue = w.queue[1:]
		w.now = next.at
		next.do()
		w.checkSlots()
	}
}

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("%v: ", w.now.Sub(epoch)) + fmt.Sprintf(format, args...)
	}
}

func (w *world) checkSlots() {
	running := map[*simTask]int{}
	for _, u := range w.ups {
		for _, a := range u.attempts {
			if u.settle(a).state == upstream.StateRunning {
				running[a.task]++
			}
		}
	}
	for t, n := range running {
		if n > t.held {
			w.fail("task %d runs %d times and holds %d slots", t.n, n, t.held)
		}
	}
}

// submit begins a task at a time from now, with the given deadline.
func (w *world) submit(in time.Duration, idempotent bool, deadline time.Duration) {
	t := &simTask{n: len(w.tasks)}
	t.Task = Task{
		Idempotent: idempotent, Payload: fmt.Appendf(nil, "payload %d", t.n), Deadline: w.now.Add(in + deadline),
	}
	if !idempotent {
		t.RequestID = fmt.Sprint("r", t.n)
	}
	newID := func() string { t.ids++; return fmt.Sprintf("%d.%d", t.n, t.ids) }
	t.m = NewMachine(&t.Task, newID, w.rng)
	w.tasks = append(w.tasks, t)
	w.after(in, func() { w.event(t, Begin{}) })
}

func (w *world) event(t *simTask, ev Event) {
	w.host(func() {
		for _, e := range t.m.Step(w.now, ev) {
			w.after(0, func() { w.host(func() { w.perform(t, e) }) })
		}
		if at := t.m.NextWake(); !at.IsZero() && !at.Equal(t.wake) {
			t.wake = at
			w.at(at, func() { w.event(t, Tick{}) })
		}
	})
}

func (w *world) perform(t *simTask, effect Effect) {
	switch e := effect.(type) {
	case Acquire:
		if w.held >= w.cap {
			w.event(t, Acquired{ErrNoSlots})
			return
		}
		w.held++
		t.held++
		w.event(t, Acquired{})
	case FreeSlots:
		w.after(e.After, func() { w.held--; t.held-- })
	case Pick:
		w.event(t, w.pick(e))
	case Check:
		if !w.gateShut.IsZero() && !w.now.Before(w.gateShut) {
			w.event(t, Checked{result.Errorf(w.shutCode, "")})
			return
		}
		w.event(t, Checked{})
	case NoteStart:
		w.budget.NoteStart(w.now)
	case Call:
		w.call(t, e)
	case Finish:
		t.answer = &e.Answer
	}
}

// call sends a call over a network that may lose, delay, repeat, cross or cut it.
func (w *world) call(t *simTask, c Call) {
	if c.Kind == CallReserve {
		w.attempts++
	}
	u := w.ups[c.Candidate.Host]
	there, back := w.upTo(3*time.Millisecond), w.upTo(3*time.Millisecond)
	answer := func(d CallDone) { w.after(back, func() { w.event(t, d) }) }
	if w.rng.Float64() < w.faults {
		switch w.rng.IntN(7) {
		case 0: // lost on its way
			there = -1
		case 1: // the answer is lost
			answer = func(CallDone) {}
		case 2: // takes effect late, the answer is late
			there = w.upTo(20 * time.Second)
		case 3: // the answer is late
			back = w.upTo(20 * time.Second)
		case 4: // sent twice, the first answer or both arrive
			u.deliver(t, c, w.upTo(5*time.Second), answer)
		case 5, 6: // the answer of another attempt, compared by the client or not, or one that was cut short
			reply, err := answer, []error{nil, upstream.ErrMismatched, upstream.ErrIncomplete}[w.rng.IntN(3)]
			state := []upstream.State{upstream.StateDone, upstream.StateLapsed, upstream.StateFailed}[w.rng.IntN(3)]
			if c.Kind != CallResult && c.Kind != CallStop && err == nil {
				err = upstream.ErrMismatched
			}
			other := upstream.Attempt{AttemptID: "other", State: state}
			answer = func(CallDone) { reply(CallDone{ID: c.ID, Err: err, Attempt: other}) }
		}
	}
	if there >= 0 {
		u.deliver(t, c, there, answer)
	}
	w.after(c.Timeout, func() { w.event(t, CallDone{ID: c.ID, Err: upstream.ErrUnreachable}) })
}

// checkAnswers compares each answer with what happened at the upstreams. It is called after run.
func (w *world) checkAnswers() {
	for _, t := range w.tasks {
		if t.answer == nil {
			w.fail("task %d has no answer", t.n)
			return
		}
		a := t.answer
		run, ownID := result.Lookup(a.Code).Run, strings.HasPrefix(a.AttemptID, fmt.Sprint(t.n, "."))
		switch {
		case run == result.RunNo && t.executions > 0, run == result.RunYes && t.executions == 0:
			w.fail("task %d was answered %d and was run %d times", t.n, a.Code, t.executions)
		case a.Code == result.OK && (!ownID || string(a.Payload) != "answer to "+string(t.Payload)):
			w.fail("task %d was answered %q by attempt %s", t.n, a.Payload, a.AttemptID)
		case t.held != 0:
			w.fail("task %d holds %d slots after its end", t.n, t.held)
		}
	}
}
