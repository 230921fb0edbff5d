package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"citrongauge.example/citrongauge/result"
	"citrongauge.example/citrongauge/upstream"
)

var epoch = time.Unix(0, 0)

func atMS(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func unlimited(string, int) bool { return true }

func newScheduler(slots int, weights map[string]int) *Scheduler {
	s := New(unlimited)
	s.Configure(Config{
		Pools:   map[string]PoolConfig{"p": {Capacity: upstream.Size{Slots: slots}}},
		Weights: weights,
	})
	return s
}

func oneSlot(team string) Request {
	return Request{Team: team, Pool: "p", Size: upstream.Size{Slots: 1}, Deadline: atMS(600000), MaxQueued: 1000}
}

// Guards against lost or duplicated requests in the queues: each request ends exactly once, and the slots counted as
// used are those of the dispatched requests.
func TestSchedulerAccountsForEveryRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScheduler(6, map[string]int{"a": 1, "b": 3})
		now := 0
		waiting := make(map[*Ticket]bool)
		running := make(map[*Ticket]bool)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.IntRange(0, 40).Draw(t, "ms")
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0, 1:
				r := oneSlot(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"))
				r.Urgent = rapid.Bool().Draw(t, "urgent")
				r.Deadline = atMS(now + rapid.IntRange(1, 400).Draw(t, "deadline"))
				if ticket, err := s.Enqueue(atMS(now), r); err == nil {
					waiting[ticket] = true
				}
			case 2:
				for _, ticket := range s.Release(atMS(now)) {
					if !waiting[ticket] {
						t.Fatal("released a request that was not waiting")
					}
					delete(waiting, ticket)
					running[ticket] = true
				}
			case 3:
				for ticket := range running {
					delete(running, ticket)
					if rapid.Bool().Draw(t, "requeue") {
						s.Requeue(atMS(now), ticket)
						waiting[ticket] = true
					} else {
						s.End(atMS(now), ticket)
					}
					break
				}
			case 4:
				for ticket := range waiting {
					if !s.Cancel(ticket) {
						t.Fatal("a waiting request could not be cancelled")
					}
					delete(waiting, ticket)
					break
				}
			}
			checkLoads(t, s.Loads(atMS(now)), len(waiting), len(running))
		}
	})
}

func checkLoads(t *rapid.T, loads []Load, waiting, running int) {
	if running > 6 {
		t.Fatalf("%d tasks run on 6 slots", running)
	}
	sum := Load{}
	for _, l := range loads {
		sum = addLoad(sum, l)
	}
	if sum.WaitingTasks != waiting || sum.Waiting.Slots != waiting || sum.Use.Slots != running {
		t.Fatalf("%+v, want %d waiting and %d running", sum, waiting, running)
	}
}

// Guards against a team with many waiting requests starving a small one on a full pool.
func TestReleaseFollowsWeights(t *testing.T) {
	is := is.New(t)
	s := newScheduler(10, map[string]int{"large": 700, "small": 300})
	for range 100 {
		_, err := s.Enqueue(atMS(0), oneSlot("large"))
		is.True(err == nil)
	}
	for range 5 {
		_, err := s.Enqueue(atMS(0), oneSlot("small"))
		is.True(err == nil)
	}
	counts := make(map[string]int)
	for _, ticket := range s.Release(atMS(1)) {
		counts[ticket.Request.Team]++
	}
	is.Equal(counts, map[string]int{"large": 7, "small": 3})
}

// Guards against two hosts that each admit more than the local entitlements: together they must stay within the
// entitlements of the teams.
func TestHostsSplitEntitlements(t *testing.T) {
	is := is.New(t)
	weights := map[string]int{"a": 500, "b": 500}
	first, second := newScheduler(20, weights), newScheduler(20, weights)
	for range 60 {
		_, _ = first.Enqueue(atMS(0), oneSlot("a"))
		_, _ = second.Enqueue(atMS(0), oneSlot("b"))
	}
	first.SetPeerLoad("second", atMS(0), second.Loads(atMS(0)))
	second.SetPeerLoad("first", atMS(0), first.Loads(atMS(0)))
	is.Equal(len(first.Release(atMS(1))), 10)
	is.Equal(len(second.Release(atMS(1))), 10)
}

// Guards against a stall with many hosts: each local entitlement is well below one task, and a host that only rounds to
// the nearest task would never start one.
func TestManyHostsWithOneRequestEachFillPool(t *testing.T) {
	is := is.New(t)
	const hosts, slots = 28, 3
	fleet := make([]*Scheduler, hosts)
	for i := range fleet {
		fleet[i] = newScheduler(slots, map[string]int{"a": 1000})
		_, err := fleet[i].Enqueue(atMS(0), oneSlot("a"))
		is.True(err == nil)
	}
	running := 0
	for ms := 0; ms <= 2000; ms += 50 {
		for i, s := range fleet {
			for j, other := range fleet {
				if i != j {
					s.SetPeerLoad(fmt.Sprint(j), atMS(ms), other.Loads(atMS(ms)))
				}
			}
			running += len(s.Release(atMS(ms)))
		}
	}
	is.Equal(running, slots)
}

// Guards against urgent requests of a team below its entitlement that keep waiting while preemptible requests of a team
// above its entitlement hold the capacity.
func TestUrgentRequestPreemptsTeamAboveEntitlement(t *testing.T) {
	is := is.New(t)
	s := newScheduler(4, map[string]int{"borrower": 500, "owner": 500})
	for range 8 {
		r := oneSlot("borrower")
		r.Preemptible = true
		_, _ = s.Enqueue(atMS(0), r)
	}
	is.Equal(len(s.Release(atMS(0))), 4)
	urgent := oneSlot("owner")
	urgent.Urgent = true
	_, err := s.Enqueue(atMS(10), urgent)
	is.True(err == nil)
	is.Equal(len(s.Preempt(atMS(100))), 0)
	victims := s.Preempt(atMS(2000))
	is.Equal(len(victims), 1) // one slot is needed, so one request is preempted
	is.Equal(len(s.Preempt(atMS(2001))), 0)
	s.End(atMS(2100), victims[0])
	released := s.Release(atMS(2101))
	is.Equal(len(released), 1)
	is.Equal(released[0].Request.Team, "owner")
}

// Guards against queueing requests whose deadline cannot be met.
func TestEnqueueRejectsUnmeetableDeadline(t *testing.T) {
	is := is.New(t)
	s := newScheduler(1, map[string]int{"a": 1})
	for range 3 {
		_, err := s.Enqueue(atMS(0), oneSlot("a"))
		is.True(err == nil)
	}
	ticket := s.Release(atMS(0))[0]
	s.End(atMS(1000), ticket) // sets the mean run time to 1 s
	r := oneSlot("a")
	r.Deadline = atMS(1500)
	_, err := s.Enqueue(atMS(1000), r)
	is.Equal(err.Code, result.DeadlineTooShort)
	is.Equal(err.RetryAfter, 2*time.Second)
}

func BenchmarkRelease(b *testing.B) {
	for _, size := range []struct{ teams, pools int }{{6, 5}, {30, 30}, {76, 81}} {
		b.Run(fmt.Sprintf("teams=%d/pools=%d", size.teams, size.pools), func(b *testing.B) {
			s := New(func(string, int) bool { return false })
			config := Config{Pools: make(map[string]PoolConfig), Weights: make(map[string]int)}
			for p := range size.pools {
				config.Pools[fmt.Sprint(p)] = PoolConfig{Capacity: upstream.Size{Slots: 48}}
			}
			s.Configure(config)
			for team := range size.teams {
				name := fmt.Sprint(team)
				config.Weights[name] = 1 + team
				for p := range 2 {
					r := oneSlot(name)
					r.Pool = fmt.Sprint((team + p) % size.pools)
					_, _ = s.Enqueue(atMS(0), r)
				}
			}
			b.ResetTimer()
			for range b.N {
				s.Release(atMS(1))
			}
		})
	}
}
