package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

const (
	testPool  = "render"
	testQueue = "renders"
	testTeam  = "shopfitters"
	testLease = 5 * time.Second
)

var testBounds = platform.Bounds{
	MaxLease: 10 * time.Second, Retention: 120 * time.Second,
	Upkeep: 2 * time.Second, Holder: 3 * time.Second, Stop: 900 * time.Millisecond,
}

// bench drives a core by hand: time, answers and lost answers are the test's choice.
type bench struct {
	t    *testing.T
	core *schedule.Core
	now  time.Duration
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, now: time.Hour}
	b.core = schedule.New(schedule.Options{
		Bounds: testBounds, Lease: testLease, Token: 7, Claimed: b.now,
		Log:     func(event string, fields ...any) { t.Log(append([]any{b.now, event}, fields...)...) },
		Observe: func(string, string, string, time.Duration) {},
	})
	b.at(0)
	b.core.SetBundle(&platform.Bundle{
		Version: 1, Revision: 1,
		Queues: []platform.BundleQueue{{Queue: testJobQueue()}},
		Teams:  []platform.BundleTeam{{Name: testTeam, Weight: 1}},
	})
	return b
}

func testJobQueue() job.Queue {
	return job.Queue{Name: testQueue, Pool: testPool, MaxAttempts: 3, Stretch: 2, TargetLatency: time.Second}
}

// at moves the time on.
func (b *bench) at(d time.Duration) {
	b.now += d
	b.core.At(b.now, b.now.Milliseconds())
}

// upstream adds an upstream with 16 cores, stored in the roster.
func (b *bench) upstream(id string) {
	entry := platform.Upstream{
		ID: id, Pool: testPool, Address: id + ":1", Zone: "a", Born: 1, Machine: "m-" + id,
		Capacity: job.Resources{MilliCPU: 16000, MemoryMB: 64000}, Labels: []string{"k", "r1"},
	}
	b.core.SetUpstream(entry)
	b.core.RosterStored([]platform.Upstream{entry})
}

// job adds a job of one step, with tasks of the given processor request.
func (b *bench) job(number, tasks int, milliCPU int64) job.ID {
	return b.add(number, job.Step{Count: tasks, Request: job.Resources{MilliCPU: milliCPU}, Estimate: time.Second})
}

func (b *bench) add(number int, steps ...job.Step) job.ID {
	id := job.ID(fmt.Sprintf("%016x", number))
	b.core.AddJob(&job.Job{
		ID: id, Team: testTeam, Queue: testJobQueue(), Spec: "s", Steps: steps, AcceptedMS: b.now.Milliseconds(),
	}, uint64(100+number), false, nil, false)
	return id
}

// decide returns the calls of one decision, with those that were waiting for records to be stored.
func (b *bench) decide() calls {
	var c calls
	all := b.core.Decide()
	if b.core.NeedsStoring() {
		round := b.core.Take().Number
		b.core.Stored(round)
		all = append(all, b.core.Decide()...)
	}
	for _, call := range all {
		switch call := call.(type) {
		case schedule.Start:
			c.starts = append(c.starts, call)
		case schedule.Stop:
			c.stops = append(c.stops, call)
		case schedule.Look:
			c.looks = append(c.looks, call)
		case schedule.Upkeep:
			c.upkeeps = append(c.upkeeps, call)
		}
	}
	return c
}

type calls struct {
	starts  []schedule.Start
	stops   []schedule.Stop
	looks   []schedule.Look
	upkeeps []schedule.Upkeep
}

// fence answers the first look at each upstream with the given lists.
func (b *bench) fence(lists platform.Lists) {
	for _, look := range b.decide().looks {
		b.answer(look, lists)
	}
	b.at(100 * time.Millisecond)
}

func (b *bench) answer(look schedule.Look, lists platform.Lists) {
	lists.Born = 1
	lists.ClockMS = b.now.Milliseconds()
	b.core.Looked(look, lists, nil)
}

// accept answers starts with success.
func (b *bench) accept(starts []schedule.Start) {
	for _, start := range starts {
		b.core.Started(start, b.now.Milliseconds(), nil)
	}
}
