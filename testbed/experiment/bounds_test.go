package experiment

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const testMoves = time.Minute

// Guards against a bound on host moves that is not the best: all ways of one host through a few bursts are tried.
func TestMoveBoundIsTheBestOfAllWays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := make([]burst, rapid.IntRange(1, 6).Draw(t, "bursts"))
		for i := range list {
			list[i].service = rapid.IntRange(0, 2).Draw(t, "service")
			list[i].crowded = time.Duration(rapid.IntRange(0, 9).Draw(t, "seconds")) * time.Second
		}
		best := make([]float64, len(list)+1)
		tryWays(list, -1, 0, 0, best)
		for m := 1; m < len(best); m++ {
			best[m] = max(best[m], best[m-1])
		}
		for m, most := range oneHost(list) {
			if most != best[m] {
				t.Fatalf("%d moves do %v, the best way does %v", m, most, best[m])
			}
		}
	})
}

// tryWays follows all choices of a host: before each burst it stays where it is or moves to the queue of the burst.
func tryWays(list []burst, at, moves int, work float64, best []float64) {
	best[moves] = max(best[moves], work)
	if len(list) == 0 {
		return
	}
	b := list[0]
	if at == b.service {
		tryWays(list[1:], at, moves, work+b.work(), best)
		return
	}
	tryWays(list[1:], at, moves, work, best)
	tryWays(list[1:], b.service, moves+1, work+b.work(), best)
}

// Guards against a bound that a policy beats, and against figures that a second run does not repeat.
func TestMovesStayBehindTheirBound(t *testing.T) {
	is := is.New(t)
	for _, policy := range []movePolicy{planPolicy, eagerPolicy, patientPolicy} {
		list := burstList(5, false, testMoves)
		w, again := runMoves(Karri(), 5, list, policy), runMoves(Karri(), 5, list, policy)
		is.Equal(w.tally, again.tally)
		is.Equal(w.counters, again.counters)
		bound := newMoveBound(runMoves(Karri(), 5, list, noMoves).bursts)
		is.True(bound.movesFor(w.tally.overflow) <= int(w.counters.Moves))
		is.True(w.tally.idleNeeded+w.tally.spareBusy <= w.spareTime()*(1+1e-9))
	}
}

// Guards against upstreams that take more than their slots, tasks that are lost, and work above what is allowed.
func TestZoneWorkStaysWithinTheCapacity(t *testing.T) {
	is := is.New(t)
	for _, aware := range []bool{true, false} {
		z, m := runZone(KainLena(), 2, aware, zoneRamp, zoneOut+3*time.Second)
		for _, w := range []zoneWork{m.before, m.away} {
			is.True(w.part() > 50 && w.part() <= 100)
		}
		released, known, used := 0, 0, 0
		for _, u := range z.order {
			used += u.used
			is.True(u.used <= slotsPerHost)
		}
		for _, h := range z.hosts {
			known += len(h.tickets)
			for _, l := range h.scheduler.Loads(z.time()) {
				released += l.Use.Slots
				known -= l.WaitingTasks + l.Use.Slots
			}
		}
		is.Equal(known, 0) // each request waits or was released
		is.True(used <= released)
	}
}

// Guards against a split of a cap that exceeds the cap, does less than it could, or is not repeatable.
func TestGrantsStayWithinTheCap(t *testing.T) {
	is := is.New(t)
	for _, load := range []func(*grantFleet, *grantHost) float64{oneZone, movingLoad} {
		var tallies []grantTally
		for range 2 {
			f := newGrantFleet(Karri(), 4, false, load)
			f.runUntil(grantWarmUp + 10*time.Second)
			tallies = append(tallies, f.tally)
		}
		is.Equal(tallies[0], tallies[1])
		is.True(tallies[0].most <= grantCap)
		is.True(tallies[0].used <= tallies[0].possible)
	}
}
