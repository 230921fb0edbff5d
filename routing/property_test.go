package routing

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against ejecting more hosts than a third of a pool or its budget, and against picking hosts that are leaving,
// whose zone is out of service, that are ejected, or that are on probation and already have an attempt.
func TestPickRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 12).Draw(t, "hosts")
		table, r, b := newTable(hosts)
		b.Pools[0].Budget.MaxUnavailable = rapid.IntRange(0, 3).Draw(t, "budget")
		table.Update(r, b, start)
		now, leaving, running := start, map[string]time.Time{}, []Selection{}
		hostIDs := rapid.IntRange(0, hosts-1)
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				s, err := table.Pick("p0", oneSlot, nil, now)
				if err != nil {
					return
				}
				running = append(running, s)
				h := table.hosts[s.Host]
				if now.Before(leaving[s.Host].Add(leavingTTL)) || table.zones[s.Zone].outOfService ||
					h.health.ejected || h.health.probation && h.attempts > 1 || !fits(h.ownUse, h.capacity) {
					t.Fatalf("picked %+v", h)
				}
			},
			"done": func(t *rapid.T) {
				if len(running) == 0 {
					return
				}
				s := running[0]
				running = running[1:]
				o := Outcome(rapid.IntRange(int(Neutral), int(TaskFailed)).Draw(t, "outcome"))
				table.Done(s, Report{Outcome: o, Team: fmt.Sprint(len(running)), Latency: time.Millisecond}, now)
				if o == Leaving {
					leaving[s.Host] = now
				}
			},
			"fail": func(t *rapid.T) {
				id := fmt.Sprintf("h%03d", hostIDs.Draw(t, "host"))
				for range ejectionThreshold {
					table.Done(Selection{Host: id, Pool: "p0"}, Report{Outcome: Unreachable}, now)
				}
			},
			"zone": func(t *rapid.T) {
				z := &b.Zones[rapid.IntRange(0, 2).Draw(t, "zone")]
				z.OutOfService = !z.OutOfService
				table.Update(r, b, now)
			},
			"leave": func(t *rapid.T) {
				id := fmt.Sprintf("h%03d", hostIDs.Draw(t, "host"))
				table.RecordLeaving(id, now)
				leaving[id] = now
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				p := table.pools["p0"]
				n, maxEjected := p.ejectedCount(now), hosts/3
				if p.maxUnavailable > 0 {
					maxEjected = min(maxEjected, p.maxUnavailable)
				}
				if n > maxEjected {
					t.Fatalf("%d of %d hosts ejected, budget %d", n, hosts, p.maxUnavailable)
				}
			},
		})
	})
}

// Guards against a host that fails its tasks immediately attracting more work than the other hosts of its zone because
// it appears idle. Every fifth task succeeds on it, so that it is not ejected.
func TestFastFailingHostGetsNoExtraWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tasks, run = 1500, 100 * time.Millisecond
		table, _, _ := newTable(9)
		interval := time.Duration(rapid.IntRange(2, 10).Draw(t, "interval")) * time.Millisecond
		now, picks, running := start, map[string]int{}, []Selection{}
		for i := range tasks {
			now = now.Add(interval)
			for len(running) > 0 && !now.Before(running[0].pickedAt.Add(run)) {
				table.Done(running[0], Report{Outcome: Succeeded, RunTime: run}, now)
				running = running[1:]
			}
			s, err := table.Pick("p0", oneSlot, nil, now)
			if err != nil {
				continue
			}
			picks[s.Host]++
			if s.Host == "h000" && picks[s.Host]%5 != 0 {
				table.Done(s, Report{Outcome: TaskFailed, Team: fmt.Sprint(i)}, now)
				continue
			}
			running = append(running, s)
		}
		// h000, h003 and h006 are the hosts of the zone. h000 may get up to 1.2 times the mean of the other two.
		if maxPicks := (picks["h003"] + picks["h006"]) * 6 / 10; picks["h000"] > maxPicks {
			t.Fatalf("%v picks", picks)
		}
	})
}

// Guards against ejecting healthy hosts because of a team whose tasks fail on every host.
func TestFailingTeamEjectsNoHost(t *testing.T) {
	table, _, _ := newTable(9)
	for range 500 {
		s, err := table.Pick("p0", oneSlot, nil, start)
		if err != nil {
			t.Fatal(err)
		}
		table.Done(s, Report{Outcome: TaskFailed, Team: "bad"}, start.Add(time.Second))
	}
	if n := table.pools["p0"].ejectedCount(start); n > 0 {
		t.Fatalf("%d hosts ejected", n)
	}
}

func BenchmarkPick(b *testing.B) {
	r, bundle := fleet(81, 510)
	table := New("z0", 1)
	table.Update(r, bundle, start)
	pools := make([]string, 81)
	for i := range pools {
		pools[i] = fmt.Sprint("p", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s, err := table.Pick(pools[i%81], oneSlot, nil, start)
		if err != nil {
			b.Fatal(err)
		}
		table.Done(s, Report{Outcome: Succeeded, Latency: time.Millisecond, RunTime: time.Second}, start)
	}
}
