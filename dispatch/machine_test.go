package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"citrongauge.example/citrongauge/result"
	"citrongauge.example/citrongauge/upstream"
)

// schedule draws faults of upstreams, cancellations and a withdrawal.
func schedule(t *rapid.T, w *world) {
	ms := func(name string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
	}
	for range rapid.IntRange(0, 5).Draw(t, "upstream faults") {
		u := w.ups[fmt.Sprint("u", rapid.IntRange(0, len(w.ups)-1).Draw(t, "upstream"))]
		kind, long := rapid.IntRange(0, 3).Draw(t, "kind"), ms("long", 15_000)
		w.after(ms("at", 10_000), func() {
			switch kind {
			case 0:
				u.kill(long)
			case 1:
				u.frozen = w.now.Add(long)
			case 2:
				u.leaving = true
				w.after(long, func() { u.leaving = false })
			case 3:
				u.failing = true
				w.after(long, func() { u.failing = false })
			}
		})
	}
	if rapid.Bool().Draw(t, "gate") {
		w.gateShut = w.now.Add(ms("shut at", 10_000))
		w.shutCode = rapid.SampledFrom([]result.Code{result.KeyWithdrawn, result.ZoneOutOfService}).Draw(t, "code")
	}
	for range rapid.IntRange(0, 2).Draw(t, "waves") {
		at, part := ms("wave at", 8_000), rapid.IntRange(1, 3).Draw(t, "part")
		w.after(at, func() {
			for i := 0; i < len(w.tasks); i += part {
				w.event(w.tasks[i], Cancel{})
			}
		})
	}
}

// Guards against: a second run of a non-idempotent task, a false "not run" or "was run", an answer of another task,
// a start on a stale check, slots given back while the task may run, and a task without an answer.
func TestTruthUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 4).Draw(t, "hosts"))
		w.faults = rapid.SampledFrom([]float64{0, 0.02, 0.1, 0.3, 0.6}).Draw(t, "faults")
		w.pauses = rapid.SampledFrom([]float64{0, 0.002, 0.02}).Draw(t, "pauses")
		w.cap = rapid.IntRange(2, 12).Draw(t, "cap")
		runTime := rapid.SampledFrom([]time.Duration{0, 20 * time.Millisecond, time.Second, 25 * time.Second})
		for i := range len(w.ups) {
			w.ups[fmt.Sprint("u", i)].runTime = runTime.Draw(t, "run time")
		}
		for range rapid.IntRange(1, 8).Draw(t, "tasks") {
			w.submit(time.Duration(rapid.IntRange(0, 8000).Draw(t, "in"))*time.Millisecond,
				rapid.Bool().Draw(t, "idempotent"),
				time.Duration(rapid.SampledFrom([]int{50, 1000, 5000, 60_000}).Draw(t, "deadline"))*time.Millisecond)
		}
		schedule(t, w)
		w.run()
		w.checkAnswers()
		if w.violation != "" {
			t.Fatal(w.violation)
		}
	})
}

// Guards against retries that multiply an outage: when every upstream fails, in whichever way, the attempts beyond
// the first of each task stay within the retry budget.
func TestRetriesInOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tasks, spread = 60, 4 * time.Second
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 12)
		kinds := rapid.SliceOfN(rapid.IntRange(0, 2), 12, 12).Draw(t, "kinds")
		for i := range len(w.ups) {
			u := w.ups[fmt.Sprint("u", i)]
			switch kinds[i] {
			case 0:
				u.kill(time.Hour)
			case 1:
				u.frozen = w.now.Add(time.Hour)
			case 2:
				u.failing = true
			}
		}
		for i := range tasks {
			w.submit(spread*time.Duration(i)/tasks, true, 30*time.Second)
		}
		w.run()
		w.checkAnswers()
		// Tasks end long after the spread, so the budget's extra applies to several windows.
		const windows = 5
		if most := tasks + tasks/10 + 3*windows; w.attempts-w.refusals > most {
			t.Fatalf("%d attempts of %d tasks, %d refused", w.attempts, tasks, w.refusals)
		}
		if w.violation != "" {
			t.Fatal(w.violation)
		}
	})
}

// Guards against tasks that fail although nothing does.
func TestNoFaults(t *testing.T) {
	w := newWorld(1, 3)
	for i := range 100 {
		w.submit(time.Duration(i)*300*time.Millisecond, i%2 == 0, 10*time.Second)
	}
	w.run()
	w.checkAnswers()
	failed := slices.ContainsFunc(w.tasks, func(t *simTask) bool {
		return t.answer == nil || t.answer.Code != result.OK || t.executions != 1
	})
	if failed || w.violation != "" {
		t.Fatal("a task was not answered with its result: ", w.violation)
	}
}

// Guards against taking the refusal of a repeated Start as proof: the first may have run before a restart of the
// upstream. The simulation does not meet this order of events within 15000 runs.
func TestRepeatedStartRefused(t *testing.T) {
	now, starts := epoch, 0
	task := &Task{RequestID: "r", Deadline: now.Add(time.Minute)}
	m := NewMachine(task, func() string { return "a" }, rand.New(rand.NewPCG(1, 1)))
	var answer Answer
	step := func(ev Event) {
		now = now.Add(time.Second)
		for _, e := range m.Step(now, ev) {
			switch e := e.(type) {
			case Call:
				if e.Kind == CallStart {
					starts++
				}
			case Finish:
				answer = e.Answer
			}
		}
	}
	done := func(err error, state upstream.State, uptime time.Duration) {
		step(CallDone{m.lastCall, err, upstream.Attempt{AttemptID: "a", State: state}, upstream.Status{Uptime: uptime}, nil})
	}
	step(Begin{})
	step(Acquired{})
	step(Picked{})
	step(Checked{})
	done(nil, "", 0) // Reserve
	step(Checked{})
	done(upstream.ErrUnreachable, "", 0)     // Start
	done(nil, upstream.StateReserved, 0)     // Result
	step(Checked{})                          // repeats Start
	done(upstream.ErrAttemptNotFound, "", 0) // Start
	done(upstream.ErrAttemptNotFound, "", 0) // Result
	done(nil, "", time.Millisecond)          // Status after a restart
	if answer.Code != result.StartAnswerLost || starts != 2 {
		t.Fatalf("answered %+v after %d starts", answer, starts)
	}
}

// Guards against slots given back while a task runs under a renewal that was answered and then delivered again.
func TestLeaseEndAfterRepeatedRenewal(t *testing.T) {
	a := attempt{}
	a.noteRunning(epoch)
	a.renewSent = epoch.Add(renewInterval)
	a.leaseAt = a.renewSent
	if repeated := a.leaseAt.Add(2 * leaseWait); a.leaseEnd().Before(repeated) {
		t.Fatalf("lease end %v, may run until %v", a.leaseEnd(), repeated)
	}
}
