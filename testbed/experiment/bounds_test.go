package experiment

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const moveTestTime = time.Minute

// TestMoveBoundMatchesExhaustiveSearch guards against a bound on host moves that is too high or too low, by comparison
// with an exhaustive search over the moves of one host during a few bursts.
func TestMoveBoundMatchesExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bursts := make([]burst, rapid.IntRange(1, 6).Draw(t, "bursts"))
		for i := range bursts {
			bursts[i].service = rapid.IntRange(0, 2).Draw(t, "service")
			bursts[i].overloaded = time.Duration(rapid.IntRange(0, 9).Draw(t, "seconds")) * time.Second
		}
		bestByMoves := make([]float64, len(bursts)+1)
		searchMoves(bursts, -1, 0, 0, bestByMoves)
		for m := 1; m < len(bestByMoves); m++ {
			bestByMoves[m] = max(bestByMoves[m], bestByMoves[m-1])
		}
		for m, bound := range maxWorkOfOneHost(bursts) {
			if bound != bestByMoves[m] {
				t.Fatalf("bound for %d moves is %v, exhaustive search found %v", m, bound, bestByMoves[m])
			}
		}
	})
}

// searchMoves sets bestByMoves[n] to the most work that one host can do with exactly n moves. Before each burst, the
// host either stays where it is or moves to the service with the burst.
func searchMoves(bursts []burst, service, moves int, work float64, bestByMoves []float64) {
	bestByMoves[moves] = max(bestByMoves[moves], work)
	if len(bursts) == 0 {
		return
	}
	b := bursts[0]
	if service == b.service {
		searchMoves(bursts[1:], service, moves, work+b.maxLentWork(), bestByMoves)
		return
	}
	searchMoves(bursts[1:], service, moves, work, bestByMoves)
	searchMoves(bursts[1:], b.service, moves+1, work+b.maxLentWork(), bestByMoves)
}

// TestMovePoliciesDoNotBeatBound guards against a bound that a policy beats, idle time that exceeds the time of the
// spare hosts, and runs that differ although they have the same seed.
func TestMovePoliciesDoNotBeatBound(t *testing.T) {
	is := is.New(t)
	for _, policy := range []movePolicy{plannerPolicy, eagerPolicy, trialPolicy} {
		load := generateBursts(5, false, moveTestTime)
		first, second := runMoves(Karri(), 5, load, policy), runMoves(Karri(), 5, load, policy)
		is.Equal(first.totals, second.totals)
		is.Equal(first.counters, second.counters)
		bound := newMoveBound(runMoves(Karri(), 5, load, noMovePolicy).bursts)
		is.True(bound.minMoves(first.totals.lentWork) <= int(first.counters.Moves))
		is.True(first.totals.idleWhileWaiting+first.totals.spareWork <= first.spareSlotSeconds()*(1+1e-9))
	}
}

// TestZoneWorkStaysWithinCapacity guards against upstreams that run more tasks than they have slots, lost tasks, and
// work that exceeds the usable capacity.
func TestZoneWorkStaysWithinCapacity(t *testing.T) {
	is := is.New(t)
	for _, aware := range []bool{true, false} {
		z, meter := runZone(KainLena(), 2, aware, zoneRamp, zoneLeavesAt+3*time.Second)
		for _, w := range []zoneWork{meter.before, meter.out} {
			is.True(w.percent() > 50 && w.percent() <= 100)
		}
		released, known, usedSlots := 0, 0, 0
		for _, u := range z.poolUpstreams {
			usedSlots += u.usedSlots
			is.True(u.usedSlots <= slotsPerHost)
		}
		for _, h := range z.hosts {
			known += len(h.tickets)
			for _, l := range h.scheduler.Loads(z.time()) {
				released += l.Use.Slots
				known -= l.WaitingTasks + l.Use.Slots
			}
		}
		is.Equal(known, 0) // each request is waiting or released
		is.True(usedSlots <= released)
	}
}

// TestGrantsStayWithinCap guards against entry hosts that together exceed the cap, use above what is possible, and runs
// that differ although they have the same seed.
func TestGrantsStayWithinCap(t *testing.T) {
	is := is.New(t)
	for _, load := range []func(*grantFleet, *grantHost) float64{oneZoneLoad, rotatingLoad} {
		var runs []grantTotals
		for range 2 {
			f := newGrantFleet(Karri(), 4, false, load)
			f.runUntil(grantWarmUp + 10*time.Second)
			runs = append(runs, f.totals)
		}
		is.Equal(runs[0], runs[1])
		is.True(runs[0].maxUsedSlots <= grantCap)
		is.True(runs[0].usedSlots <= runs[0].usableSlots)
	}
}
