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

// simulation runs state machines against fake upstreams on one simulated clock.
type simulation struct {
	rng                             *rand.Rand
	now, pausedUntil                time.Time
	actions                         []action // ordered by time
	faultRate, pauseRate            float64  // probability of a fault per call, and of a pause per step of the process
	upstreams                       map[string]*fakeUpstream
	tasks                           []*simTask
	budget                          routing.RetryBudget
	slotCap, slotsHeld              int
	gateClosedAt                    time.Time // Check rejects with gateCode from then on
	gateCode                        result.Code
	reserveCalls, reserveRejections int // Reserve calls sent, and those that an upstream rejected
	violation                       string
}

type action struct {
	at time.Time
	do func()
}

// simTask is a task with its state machine and the counts that the checks use. n is its index, and ids is the number of
// attempt IDs that it was given.
type simTask struct {
	Task
	machine                       *StateMachine
	wakeAt                        time.Time
	n, ids, slotsHeld, executions int
	answer                        *Answer
}

var startTime = time.Unix(1_000_000, 0)

func newSimulation(seed uint64, hosts int) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), now: startTime, upstreams: map[string]*fakeUpstream{}, slotCap: 100,
	}
	for i := range hosts {
		sim.upstreams[fmt.Sprint("u", i)] = newFakeUpstream(sim)
	}
	return sim
}

// pick returns a random upstream that is not excluded, so that the tests do not depend on good routing.
func (sim *simulation) pick(e Pick) Event {
	for _, i := range sim.rng.Perm(len(sim.upstreams)) {
		if host := fmt.Sprint("u", i); !slices.Contains(e.Exclude, host) {
			if e.Retry && !sim.budget.Take(sim.now) {
				return Picked{Err: ErrRetryBudget}
			}
			return Picked{Selection: routing.Selection{Host: host}}
		}
	}
	return Picked{Err: result.Errorf(result.NoUpstream, "")}
}

func (sim *simulation) at(t time.Time, do func()) {
	i, _ := slices.BinarySearchFunc(sim.actions, t, func(a action, t time.Time) int {
		return cmp.Or(a.at.Compare(t), -1) // after actions with the same time
	})
	sim.actions = slices.Insert(sim.actions, i, action{t, do})
}

func (sim *simulation) after(d time.Duration, do func()) { sim.at(sim.now.Add(d), do) }

func (sim *simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(d)))
}

// runOnHost runs a step of the entry host's process. The process may be paused before it.
func (sim *simulation) runOnHost(do func()) {
	if sim.now.Before(sim.pausedUntil) {
		sim.at(sim.pausedUntil, func() { sim.runOnHost(do) })
		return
	}
	if sim.rng.Float64() < sim.pauseRate {
		sim.pausedUntil = sim.now.Add(sim.randomDuration(30 * time.Second))
		sim.at(sim.pausedUntil, do)
		return
	}
	do()
}

// run runs the simulation until no action is left or a check fails.
func (sim *simulation) run() {
	for len(sim.actions) > 0 && sim.violation == "" {
		next := sim.actions[0]
		sim.actions = sim.actions[1:]
		sim.now = next.at
		next.do()
		sim.checkSlots()
	}
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf("%v: ", sim.now.Sub(startTime)) + fmt.Sprintf(format, args...)
	}
}

// checkSlots checks that no task has more running attempts than it holds slots.
func (sim *simulation) checkSlots() {
	running := map[*simTask]int{}
	for _, u := range sim.upstreams {
		for _, a := range u.attempts {
			if u.updateState(a).state == upstream.StateRunning {
				running[a.task]++
			}
		}
	}
	for t, n := range running {
		if n > t.slotsHeld {
			sim.fail("task %d runs %d times and holds %d slots", t.n, n, t.slotsHeld)
		}
	}
}

// submit submits a task after the given delay. Its deadline is counted from then.
func (sim *simulation) submit(delay time.Duration, idempotent bool, deadline time.Duration) {
	t := &simTask{n: len(sim.tasks)}
	t.Task = Task{
		Idempotent: idempotent, Payload: fmt.Appendf(nil, "payload %d", t.n), Deadline: sim.now.Add(delay + deadline),
	}
	if !idempotent {
		t.RequestID = fmt.Sprint("r", t.n)
	}
	newID := func() string { t.ids++; return fmt.Sprintf("%d.%d", t.n, t.ids) }
	t.machine = NewStateMachine(&t.Task, newID, sim.rng)
	sim.tasks = append(sim.tasks, t)
	sim.after(delay, func() { sim.sendEvent(t, Begin{}) })
}

func (sim *simulation) sendEvent(t *simTask, ev Event) {
	sim.runOnHost(func() {
		for _, e := range t.machine.Step(sim.now, ev) {
			sim.after(0, func() { sim.runOnHost(func() { sim.perform(t, e) }) })
		}
		if at := t.machine.NextWake(); !at.IsZero() && !at.Equal(t.wakeAt) {
			t.wakeAt = at
			sim.at(at, func() { sim.sendEvent(t, Tick{}) })
		}
	})
}

func (sim *simulation) perform(t *simTask, effect Effect) {
	switch e := effect.(type) {
	case Acquire:
		if sim.slotsHeld >= sim.slotCap {
			sim.sendEvent(t, Acquired{ErrNoSlots})
			return
		}
		sim.slotsHeld++
		t.slotsHeld++
		sim.sendEvent(t, Acquired{})
	case ReleaseSlots:
		sim.after(e.After, func() { sim.slotsHeld--; t.slotsHeld-- })
	case Pick:
		sim.sendEvent(t, sim.pick(e))
	case Check:
		if !sim.gateClosedAt.IsZero() && !sim.now.Before(sim.gateClosedAt) {
			sim.sendEvent(t, Checked{result.Errorf(sim.gateCode, "")})
			return
		}
		sim.sendEvent(t, Checked{})
	case RecordStart:
		sim.budget.RecordStart(sim.now)
	case Call:
		sim.call(t, e)
	case Finish:
		t.answer = &e.Answer
	}
}

// call sends a call over a network that may lose, delay or duplicate it, truncate the response or return the response
// of another attempt.
func (sim *simulation) call(t *simTask, c Call) {
	if c.Kind == CallReserve {
		sim.reserveCalls++
	}
	u := sim.upstreams[c.Selection.Host]
	callDelay, responseDelay := sim.randomDuration(3*time.Millisecond), sim.randomDuration(3*time.Millisecond)
	respond := func(d CallDone) { sim.after(responseDelay, func() { sim.sendEvent(t, d) }) }
	if sim.rng.Float64() < sim.faultRate {
		switch sim.rng.IntN(7) {
		case 0: // the call is lost
			callDelay = -1
		case 1: // the response is lost
			respond = func(CallDone) {}
		case 2: // the call takes effect late
			callDelay = sim.randomDuration(20 * time.Second)
		case 3: // the response is late
			responseDelay = sim.randomDuration(20 * time.Second)
		case 4: // the call is delivered twice, and each delivery gets a response
			u.deliver(t, c, sim.randomDuration(5*time.Second), respond)
		case 5, 6: // the response of another attempt, detected by the client or not, or a truncated one
			original, err := respond, []error{nil, upstream.ErrMismatched, upstream.ErrIncomplete}[sim.rng.IntN(3)]
			state := []upstream.State{upstream.StateDone, upstream.StateExpired, upstream.StateFailed}[sim.rng.IntN(3)]
			if c.Kind != CallResult && c.Kind != CallStop && err == nil {
				err = upstream.ErrMismatched
			}
			other := upstream.Attempt{AttemptID: "other", State: state}
			respond = func(CallDone) { original(CallDone{ID: c.ID, Err: err, Attempt: other}) }
		}
	}
	if callDelay >= 0 {
		u.deliver(t, c, callDelay, respond)
	}
	sim.after(c.Timeout, func() { sim.sendEvent(t, CallDone{ID: c.ID, Err: upstream.ErrUnreachable}) })
}

// checkAnswers compares each answer with what happened on the upstreams. It is called after run.
func (sim *simulation) checkAnswers() {
	for _, t := range sim.tasks {
		if t.answer == nil {
			sim.fail("task %d has no answer", t.n)
			return
		}
		a := t.answer
		run, ownID := result.Lookup(a.Code).Run, strings.HasPrefix(a.AttemptID, fmt.Sprint(t.n, "."))
		switch {
		case run == result.RunNo && t.executions > 0, run == result.RunYes && t.executions == 0:
			sim.fail("task %d got code %d and ran %d times", t.n, a.Code, t.executions)
		case a.Code == result.OK && (!ownID || string(a.Payload) != "answer to "+string(t.Payload)):
			sim.fail("task %d got output %q from attempt %s", t.n, a.Payload, a.AttemptID)
		case t.slotsHeld != 0:
			sim.fail("task %d holds %d slots after its end", t.n, t.slotsHeld)
		}
	}
}
