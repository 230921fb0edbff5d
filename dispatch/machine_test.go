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

// drawFaults draws upstream faults, cancellations and a time from which the Gate rejects all work.
func drawFaults(t *rapid.T, sim *simulation) {
	ms := func(name string, limit int) time.Duration {
		return time.Duration(rapid.IntRange(0, limit).Draw(t, name)) * time.Millisecond
	}
	for range rapid.IntRange(0, 5).Draw(t, "upstream faults") {
		u := sim.upstreams[fmt.Sprint("u", rapid.IntRange(0, len(sim.upstreams)-1).Draw(t, "upstream"))]
		kind, duration := rapid.IntRange(0, 3).Draw(t, "kind"), ms("long", 15_000)
		sim.after(ms("at", 10_000), func() {
			switch kind {
			case 0:
				u.crash(duration)
			case 1:
				u.frozenUntil = sim.now.Add(duration)
			case 2:
				u.leaving = true
				sim.after(duration, func() { u.leaving = false })
			case 3:
				u.failing = true
				sim.after(duration, func() { u.failing = false })
			}
		})
	}
	if rapid.Bool().Draw(t, "gate") {
		sim.gateClosedAt = sim.now.Add(ms("gate closes at", 10_000))
		sim.gateCode = rapid.SampledFrom([]result.Code{result.KeyWithdrawn, result.ZoneOutOfService}).Draw(t, "code")
	}
	for range rapid.IntRange(0, 2).Draw(t, "cancellations") { // each cancels the first task and every step-th after it
		at, step := ms("cancel at", 8_000), rapid.IntRange(1, 3).Draw(t, "step")
		sim.after(at, func() {
			for i := 0; i < len(sim.tasks); i += step {
				sim.sendEvent(sim.tasks[i], Cancel{})
			}
		})
	}
}

// TestTruthUnderFaults checks under random faults that a non-idempotent task never runs twice, that an answer never
// claims wrongly that the task ran or did not run, and never carries the output of another task. It also checks that no
// task starts later than the lifetime of a reservation after the Gate begins to reject, that slots are held as long as
// a task may run, and that each task gets an answer.
func TestTruthUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 4).Draw(t, "hosts"))
		sim.faultRate = rapid.SampledFrom([]float64{0, 0.02, 0.1, 0.3, 0.6}).Draw(t, "faults")
		sim.pauseRate = rapid.SampledFrom([]float64{0, 0.002, 0.02}).Draw(t, "pauses")
		sim.slotCap = rapid.IntRange(2, 12).Draw(t, "cap")
		runTime := rapid.SampledFrom([]time.Duration{0, 20 * time.Millisecond, time.Second, 25 * time.Second})
		for i := range len(sim.upstreams) {
			sim.upstreams[fmt.Sprint("u", i)].runTime = runTime.Draw(t, "run time")
		}
		for range rapid.IntRange(1, 8).Draw(t, "tasks") {
			sim.submit(time.Duration(rapid.IntRange(0, 8000).Draw(t, "in"))*time.Millisecond,
				rapid.Bool().Draw(t, "idempotent"),
				time.Duration(rapid.SampledFrom([]int{50, 1000, 5000, 60_000}).Draw(t, "deadline"))*time.Millisecond)
		}
		drawFaults(t, sim)
		sim.run()
		sim.checkAnswers()
		if sim.violation != "" {
			t.Fatal(sim.violation)
		}
	})
}

// TestRetriesInOutage checks that retries do not multiply the load in an outage: when every upstream fails, in any of
// three ways, the attempts beyond the first of each task stay within the retry budget.
func TestRetriesInOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tasks, spread = 60, 4 * time.Second
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), 12)
		kinds := rapid.SliceOfN(rapid.IntRange(0, 2), 12, 12).Draw(t, "kinds")
		for i := range len(sim.upstreams) {
			u := sim.upstreams[fmt.Sprint("u", i)]
			switch kinds[i] {
			case 0:
				u.crash(time.Hour)
			case 1:
				u.frozenUntil = sim.now.Add(time.Hour)
			case 2:
				u.failing = true
			}
		}
		for i := range tasks {
			sim.submit(spread*time.Duration(i)/tasks, true, 30*time.Second)
		}
		sim.run()
		sim.checkAnswers()
		// Tasks end long after the last one was submitted, so the 3 retries that the budget always allows apply in
		// several windows.
		const windows = 5
		if most := tasks + tasks/10 + 3*windows; sim.reserveCalls-sim.reserveRejections > most {
			t.Fatalf("%d attempts of %d tasks, %d rejected", sim.reserveCalls, tasks, sim.reserveRejections)
		}
		if sim.violation != "" {
			t.Fatal(sim.violation)
		}
	})
}

// TestNoFaults checks that without faults each task runs once and returns its result.
func TestNoFaults(t *testing.T) {
	sim := newSimulation(1, 3)
	for i := range 100 {
		sim.submit(time.Duration(i)*300*time.Millisecond, i%2 == 0, 10*time.Second)
	}
	sim.run()
	sim.checkAnswers()
	failed := slices.ContainsFunc(sim.tasks, func(t *simTask) bool {
		return t.answer == nil || t.answer.Code != result.OK || t.executions != 1
	})
	if failed || sim.violation != "" {
		t.Fatal("a task was not answered with its result: ", sim.violation)
	}
}

// TestRepeatedStartRejected checks that the rejection of a repeated Start is not taken as proof that the task did not
// run: the first Start may have taken effect before the upstream restarted. The simulation did not produce this order
// of events within 15000 runs.
func TestRepeatedStartRejected(t *testing.T) {
	now, starts := startTime, 0
	task := &Task{RequestID: "r", Deadline: now.Add(time.Minute)}
	m := NewStateMachine(task, func() string { return "a" }, rand.New(rand.NewPCG(1, 1)))
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
		step(CallDone{
			m.lastCallID, err, upstream.Attempt{AttemptID: "a", State: state}, upstream.Status{Uptime: uptime}, nil,
		})
	}
	step(Begin{})
	step(Acquired{})
	step(Picked{})
	step(Checked{})
	done(nil, "", 0) // Reserve
	step(Checked{})
	done(upstream.ErrUnreachable, "", 0)     // Start
	done(nil, upstream.StateReserved, 0)     // Result
	step(Checked{})                          // before the repeated Start
	done(upstream.ErrAttemptNotFound, "", 0) // Start
	done(upstream.ErrAttemptNotFound, "", 0) // Result
	done(nil, "", time.Millisecond)          // Status after a restart
	if answer.Code != result.StartAnswerLost || starts != 2 {
		t.Fatalf("answered %+v after %d starts", answer, starts)
	}
}

// TestLeaseEndAfterRepeatedRenewal checks that slots are not released while a task may still run because a renewal that
// got a response was delivered a second time.
func TestLeaseEndAfterRepeatedRenewal(t *testing.T) {
	a := attempt{}
	a.markRunning(startTime)
	a.renewSent = startTime.Add(renewInterval)
	a.leaseSetAt = a.renewSent
	if repeated := a.leaseSetAt.Add(2 * maxLeaseTTL); a.leaseEnd().Before(repeated) {
		t.Fatalf("lease end %v, may run until %v", a.leaseEnd(), repeated)
	}
}
