package experiment

import (
	"context"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"citrongauge.example/citrongauge/admission"
	"citrongauge.example/citrongauge/upstream"
)

// valueOf returns the figure of one run. The name may be shortened to its beginning.
func valueOf(t *testing.T, samples []sample, name, variant string) float64 {
	t.Helper()
	for _, s := range samples {
		if strings.HasPrefix(s.name, name) && strings.HasPrefix(s.variant, variant) {
			return s.value
		}
	}
	t.Fatalf("no figure %q of %q", name, variant)
	return 0
}

// Guards against experiments that cannot be repeated. The share experiment is left out: the scheduler rounds with a hash
// whose seed differs between processes.
func TestSameSeedGivesTheSameResult(t *testing.T) {
	is := is.New(t)
	for _, run := range []func(Deployment, uint64) []sample{
		func(d Deployment, seed uint64) []sample { return rollOutsFrom(d, seed, false, "rest") },
		rollOutWithFrozenHost,
		func(d Deployment, seed uint64) []sample { return rollOutWithZoneCut(d, seed, 40*time.Second, "cut") },
	} {
		first, second := run(KainLena(), 7), run(KainLena(), 7)
		is.Equal(len(first), len(second))
		for i := range first {
			if first[i] != second[i] && !(math.IsNaN(first[i].value) && math.IsNaN(second[i].value)) {
				t.Errorf("%+v and %+v", first[i], second[i])
			}
		}
	}
}

// Guards against a fake network or store that is faster than its own delays.
func TestRollOutIsNotFasterThanItsBound(t *testing.T) {
	is := is.New(t)
	for _, d := range Deployments() {
		samples := rollOutsFrom(d, 3, true, "at rest, at a relay")
		const name = "at rest, at a relay, request to held by all"
		measured, bound := valueOf(t, samples, name, Measured), valueOf(t, samples, name, Bound)
		is.True(measured >= bound)
		is.True(valueOf(t, samples, name, Baseline) > bound)
	}
}

// Guards against a reference that is not fair: fair use fits into the pool, leaves nothing idle that somebody could use,
// and gives every team that wants it at least its share.
func TestFairUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Karri()
		capacity := d.poolSize(hostsPerService)
		demand := make(map[string]upstream.Size)
		for _, team := range d.Teams {
			n := rapid.IntRange(0, 120).Draw(t, team.Name)
			demand[team.Name] = upstream.Size{Slots: n, CPUs: n * team.Size.CPUs, MemoryMB: n * team.Size.MemoryMB}
		}
		use := fairUse(d, capacity, demand)
		var total [3]float64
		for _, team := range d.Teams {
			whole := dominantShare(demand[team.Name], capacity)
			if whole > 0 {
				addWithin(&total, amounts(demand[team.Name]), use[team.Name]/whole, [3]float64{math.Inf(1), math.Inf(1), math.Inf(1)})
			}
			if use[team.Name] < min(whole, float64(team.Share)/1000)-0.01 {
				t.Fatalf("team %s gets %v of %v", team.Name, use[team.Name], whole)
			}
		}
		scarcest := dominant(total, amounts(capacity))
		wanted := dominantShare(wholeDemand(demand), capacity)
		if scarcest > 1+1e-9 || scarcest < min(1, wanted)-0.02 {
			t.Fatalf("%v of the scarcest resource is used, %v wanted", scarcest, wanted)
		}
	})
}

// Guards against a fleet that loses tasks, runs one twice or overfills a pool, in each way of working together.
func TestFleetAccountsForEveryTask(t *testing.T) {
	for _, mode := range []cooperation{exchanging, alone, central} {
		f := newFleet(Karri(), 3, mode, []string{"service-1"})
		p := f.pools["service-1"]
		newArrivals(f, p.name, taskRun, func(time.Duration) float64 { return 120 }).start()
		f.every(0, 10*time.Millisecond, func() {
			if !within(p.used, p.capacity) {
				t.Fatalf("%+v of %+v is used", p.used, p.capacity)
			}
		})
		f.runUntil(2 * time.Second)
		var held upstream.Size
		known, listed := 0, 0
		for _, h := range f.hosts {
			known += len(h.tickets)
			for _, l := range h.scheduler.Loads(f.time()) {
				listed += l.WaitingTasks
			}
			for ticket, task := range h.tickets {
				if task.held {
					held = admission.Sizes(held, ticket.Request.Size)
				}
			}
		}
		if held != p.used || listed == 0 || listed > known {
			t.Errorf("mode %d: tasks hold %+v, the pool %+v; %d of %d tasks wait", mode, held, p.used, listed, known)
		}
	}
}

// Guards against a command that reports figures for a selection that does not exist.
func TestRunRefusesUnknownSelections(t *testing.T) {
	is := is.New(t)
	for _, o := range []Options{{Only: "x", Seeds: 1}, {Deployment: "x", Seeds: 1}, {}} {
		_, err := Run(context.Background(), o)
		is.True(err != nil)
	}
}

// Guards against medians, ranges and verdicts that do not belong to the figures.
func TestRowsSummarizeSeeds(t *testing.T) {
	is := is.New(t)
	run := func(v float64) []sample { return []sample{{"x", Measured, "s", v, target{atMost: 2}}} }
	row := rows("m", "d", [][]sample{run(1), run(9), run(math.NaN()), run(3)})[0]
	is.Equal([]float64{row.Median, row.Min, row.Max, float64(row.Runs)}, []float64{3, 1, 9, 3})
	is.Equal(row.Verdict, "met in 1 of 3 runs")
	is.Equal(target{atMost: 1}.verdict([]float64{2, 3}), "missed")
	is.Equal(target{atLeast: 2}.verdict([]float64{2, 3}), "met")
	is.Equal(target{}.verdict([]float64{2, 3}), "")
}
