package schedule_test

import (
	"testing"
	"time"

	"citrongauge.example/citrongauge/job"
)

// turns returns a demand that is five times mean between from and to, and a twentieth of mean at other times.
func turns(mean float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return 5 * mean
		}
		return mean / 20
	}
}

// shortSteps returns a chain of two steps of eight tasks.
func shortSteps(queue string, milliCPU int64, estimate time.Duration) []job.Step {
	step := job.Step{Image: queue, Count: 8, Request: job.Resources{MilliCPU: milliCPU}, Estimate: estimate}
	next := step
	next.After = []int{0}
	return []job.Step{step, next}
}

// BenchmarkFleetUnderTurns measures the processor time of the decisions for 1,100 machines whose four pools have their
// bursts in turn.
func BenchmarkFleetUnderTurns(b *testing.B) {
	pools := []string{"p1", "p2", "p3", "p4", loadSpare}
	for b.Loop() {
		sim := newLoadSimulation(pools, []int{195, 219, 243, 266, 177}, turnsOfDemand(1))
		sim.run(20 * time.Second)
		b.ReportMetric(float64(sim.starts)/20, "starts/s")
		b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(sim.starts), "us/start")
	}
}

// turnsOfDemand returns four queues, each with its own pool, whose bursts of 8 s follow one another. scale is the
// fraction of the demand of a fleet of 1,100 machines.
func turnsOfDemand(scale float64) []loadQueue {
	const burst = 8 * time.Second
	queues := []loadQueue{
		{name: "q1", pool: "p1", steps: shortSteps("q1", 2100, 800*time.Millisecond)},
		{name: "q2", pool: "p2", steps: shortSteps("q2", 4500, 1700*time.Millisecond)},
		{name: "q3", pool: "p3", steps: shortSteps("q3", 2100, 800*time.Millisecond)},
		{name: "q4", pool: "p4", steps: shortSteps("q4", 4500, 1700*time.Millisecond)},
	}
	for i, mean := range []float64{40, 10, 50, 12} {
		queues[i].rate = turns(mean*scale, time.Duration(i)*burst, time.Duration(i+1)*burst)
	}
	return queues
}

// newBacklog returns a simulation in which 3,500 jobs with 28,000 tasks wait for 1,100 machines, which have room for all of them.
// An earlier owner has accepted the jobs a minute ago, so that all are late.
func newBacklog() *loadSimulation {
	const jobs = 3500
	late := loadQueue{name: "late", pool: "p1", steps: shortSteps("late", 500, 4*time.Second)[:1]}
	late.rate = func(time.Duration) float64 { return 0 }
	sim := newLoadSimulation([]string{"p1"}, []int{1100}, []loadQueue{late})
	for range jobs {
		sim.submitAt(late, sim.now-time.Minute, true)
	}
	return sim
}
