package grant

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/platform"
)

// enqueueTasks adds tasks to the queues of the busy hosts at the given rate per host and second. Queues are limited to
// 20 tasks.
func (f *simFleet) enqueueTasks(busy func(*simHost) bool, team string, perSecond float64) {
	for _, h := range f.hosts {
		for n := perSecond * simStep.Seconds(); busy(h) && n > 0; n-- {
			if f.chance(min(n, 1)) && h.queue[team] < 20 {
				h.queue[team]++
			}
		}
	}
}

// TestSteadyUse guards against slots that remain granted to idle zones: a team that is busy in one zone only must use
// at least 95% of its cap.
func TestSteadyUse(t *testing.T) {
	for _, size := range []struct{ hosts, zones int }{{6, 3}, {28, 7}} {
		for _, teamCap := range []int{8, 40, 200} {
			for _, slots := range []int{1, 4} {
				name := fmt.Sprintf("%d hosts, cap %d, tasks of %d", size.hosts, teamCap, slots)
				t.Run(name, func(t *testing.T) {
					is := is.New(t)
					f := newSimFleet(7, size.hosts, size.zones, slots, map[string]int{"a": teamCap})
					everywhere := func(*simHost) bool { return true }
					oneZone := func(h *simHost) bool { return h.member.Zone == "z0" }
					perHost := 1.5 * float64(teamCap) / float64(slots)
					for range 10 * time.Second / simStep {
						f.enqueueTasks(everywhere, "a", perHost/float64(size.hosts))
						f.step()
					}
					for _, h := range f.hosts {
						h.queue["a"] = 0
					}
					used, steps := 0, 0
					for i := range 70 * time.Second / simStep {
						f.enqueueTasks(oneZone, "a", perHost/float64(size.hosts/size.zones))
						f.step()
						if i >= 10*time.Second/simStep {
							used += f.inUse("a")
							steps++
						}
					}
					share := float64(used) / float64(steps*teamCap)
					t.Logf("%.1f%% of the cap, %.1f store calls/s", 100*share, float64(f.calls)/80)
					is.Equal(f.violation, "")
					is.True(share >= 0.95)
				})
			}
		}
	}
}

// TestCallBudget guards against overloading the store: a host must stay within its share of the call rate even if all
// teams have unmet demand and every write fails with a conflict.
func TestCallBudget(t *testing.T) {
	is := is.New(t)
	caps, demand := map[string]int{}, Demand{Teams: map[string]TeamDemand{}}
	for i := range 76 {
		caps[fmt.Sprint(i)] = 40
		demand.Teams[fmt.Sprint(i)] = TeamDemand{Slots: 10, SmallestTask: 1}
	}
	f := newSimFleet(1, 28, 7, 1, caps)
	f.hosts[0].sync()
	m := f.hosts[0].m
	calls := 0
	var respond func(effects []Effect)
	respond = func(effects []Effect) {
		calls += len(effects)
		for _, e := range effects {
			switch e := e.(type) {
			case Read:
				respond(m.Step(f.now, ReadDone{Team: e.Team, Op: e.Op}))
			case Write:
				respond(m.Step(f.now, WriteDone{Team: e.Team, Op: e.Op, Err: platform.ErrConflict}))
			}
		}
	}
	const seconds = 60
	m.Step(f.now, demand)
	for range seconds * time.Second / simStep {
		f.now = f.now.Add(simStep)
		respond(m.Step(f.now, Tick{StoreConfirmedAt: f.now}))
	}
	is.True(calls > seconds)
	is.True(calls <= 2*callBurst+seconds*(fleetReadRate+fleetWriteRate)/28+1)
}

// BenchmarkFleet simulates 28 hosts and 76 teams for one second per operation. One team in four has more work than its
// cap, all in one zone; the others have work for half their cap, spread over all hosts.
func BenchmarkFleet(b *testing.B) {
	caps := map[string]int{}
	for i := range 76 {
		caps[fmt.Sprintf("t%02d", i)] = []int{8, 40, 40, 200}[i/4%4]
	}
	f := newSimFleet(7, 28, 7, 1, caps)
	second := func() {
		for range time.Second / simStep {
			for i, team := range f.teams {
				teamCap, zone := float64(caps[team]), fmt.Sprintf("z%d", i/4%7)
				if i%4 == 0 {
					f.enqueueTasks(func(h *simHost) bool { return h.member.Zone == zone }, team, 1.5*teamCap/4)
				} else {
					f.enqueueTasks(func(*simHost) bool { return true }, team, 0.5*teamCap/28)
				}
			}
			f.step()
		}
	}
	for range 20 {
		second()
	}
	f.calls, f.writes, f.conflicts = 0, 0, 0
	b.ResetTimer()
	for range b.N {
		second()
	}
	perSecond := func(n int) float64 { return float64(n) / float64(b.N) }
	b.ReportMetric(perSecond(f.calls), "calls/s")
	b.ReportMetric(perSecond(f.writes), "writes/s")
	b.ReportMetric(perSecond(f.conflicts), "conflicts/s")
}

// BenchmarkTick measures one tick of a host with 76 idle teams whose ledgers have entries of 28 hosts.
func BenchmarkTick(b *testing.B) {
	caps := map[string]int{}
	for i := range 76 {
		caps[fmt.Sprint(i)] = 40
	}
	f := newSimFleet(1, 28, 7, 1, caps)
	f.hosts[20].sync()
	m := f.hosts[20].m
	entries := map[string]int{}
	for _, h := range f.hosts {
		entries[h.member.ID] = 1
	}
	for _, t := range m.teams {
		t.adoptLedger(Ledger{Cap: 40, Version: 1, Entries: entries}, 1, &operation{id: 1, sent: f.now}, 1)
	}
	b.ResetTimer()
	for range b.N {
		m.Step(f.now, Tick{StoreConfirmedAt: f.now})
	}
}
