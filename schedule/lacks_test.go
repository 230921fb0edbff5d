package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

// withLabelledSpares lists two machines of the spare pool, of which one has the label x.
func (b *bench) withLabelledSpares() {
	capacity := job.Resources{MilliCPU: 16000, MemoryMB: 64000}
	b.core.SetMachines([]platform.Machine{
		{Name: "m-u-1", Pool: testPool, Phase: platform.MachineUp, Upstream: "u-1", Capacity: capacity, Labels: []string{"k", "r1"}},
		{Name: "m-off", Pool: sparePool, Phase: platform.MachineUp, Capacity: capacity, Labels: []string{"k", "r1"}},
		{Name: "m-off-x", Pool: sparePool, Phase: platform.MachineUp, Capacity: capacity, Labels: []string{"x", "r1"}},
	})
}

func labelledStep(label string, tasks int) job.Step {
	return job.Step{Count: tasks, Request: job.Resources{MilliCPU: 2000}, Label: label, Estimate: time.Second}
}

// Guards against a pool that pulls in one machine after another while its tasks wait for a label that these do not have
// (a calm day of a varied kainlena: 40 tasks kept 30 machines, and 500 tasks of another pool waited).
func TestPoolPullsTheMachineWithTheLabel(t *testing.T) {
	is := is.New(t)
	b := newSpareBench(t)
	b.withLabelledSpares()
	b.add(1, labelledStep("x", 4))
	moves := b.moves(3*time.Second, nil)
	is.Equal(len(moves), 1)
	is.Equal(moves[0].Machine, "m-off-x")
}

// Guards against the same where no machine has the label.
func TestNoMachineMovesForALabelThatNoneHas(t *testing.T) {
	is := is.New(t)
	b := newSpareBench(t)
	b.withLabelledSpares()
	b.add(1, labelledStep("y", 4))
	is.Equal(len(b.moves(3*time.Second, nil)), 0)
}

// Guards against tasks that may run anywhere taking the room that others, which require a label, have nowhere else.
func TestTasksThatRequireALabelGoFirst(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.upstream("u-1")
	b.fence(platform.Lists{})
	b.add(1, labelledStep("", 8)) // less work
	b.add(2, labelledStep("k", 8), labelledStep("k", 8))
	for _, start := range b.decide().starts {
		is.Equal(start.Order.Task.Job, job.ID("0000000000000002"))
	}
}
