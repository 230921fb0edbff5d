package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

// listLabelledSpares lists two machines of the spare pool, one of them with the label x.
func (h *harness) listLabelledSpares() {
	capacity := job.Resources{MilliCPU: 16000, MemoryMB: 64000}
	h.core.SetMachines([]platform.Machine{
		{Name: "m-u-1", Pool: testPool, Phase: platform.MachineUp, Upstream: "u-1", Capacity: capacity, Labels: []string{"k", "r1"}},
		{Name: "m-off", Pool: sparePool, Phase: platform.MachineUp, Capacity: capacity, Labels: []string{"k", "r1"}},
		{Name: "m-off-x", Pool: sparePool, Phase: platform.MachineUp, Capacity: capacity, Labels: []string{"x", "r1"}},
	})
}

func labelledStep(label string, tasks int) job.Step {
	return job.Step{Count: tasks, Request: job.Resources{MilliCPU: 2000}, Label: label, Estimate: time.Second}
}

// Guards against a pool that acquires machine after machine without the label that its waiting tasks require. In a
// calm testbed run on a variant of deployment kainlena, 40 tasks kept 30 machines while 500 of another pool waited.
func TestPoolAcquiresMachineWithRequiredLabel(t *testing.T) {
	is := is.New(t)
	h := newSpareHarness(t)
	h.listLabelledSpares()
	h.addJob(1, labelledStep("x", 4))
	moves := h.runAndCollectMoves(3*time.Second, nil)
	is.Equal(len(moves), 1)
	is.Equal(moves[0].Machine, "m-off-x")
}

// Guards against moving machines for a label that no machine has.
func TestNoMachineMovesForUnavailableLabel(t *testing.T) {
	is := is.New(t)
	h := newSpareHarness(t)
	h.listLabelledSpares()
	h.addJob(1, labelledStep("y", 4))
	is.Equal(len(h.runAndCollectMoves(3*time.Second, nil)), 0)
}

// Guards against tasks without a required label taking the only capacity on which labelled tasks can run.
func TestTasksRequiringLabelAreStartedFirst(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.addUpstream("u-1")
	h.fenceAll(platform.PollResult{})
	h.addJob(1, labelledStep("", 8)) // less work than the other job, which would otherwise put it first
	h.addJob(2, labelledStep("k", 8), labelledStep("k", 8))
	for _, start := range h.decide().starts {
		is.Equal(start.Command.Task.Job, job.ID("0000000000000002"))
	}
}
