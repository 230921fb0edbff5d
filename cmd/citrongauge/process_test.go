package main

import (
	"context"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/api"
	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/result"
	"citrongauge.example/citrongauge/testbed/standin"
)

// acceptanceBound is the longest time from the start of a rollout until it is accepted, that is, until no entry host
// can start tasks under an older bundle, even if a host does not respond.
const acceptanceBound = 3 * time.Second

// TestRequestIsServed guards against a break anywhere on the path of a request through real processes: the caller gets
// the output of its own request, and a request that is rejected before an upstream is chosen gets the right result code
// and is not run.
func TestRequestIsServed(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 1, 2, func(b *bundle.Bundle) {
		_, hash := bundle.NewTeamKey()
		b.Teams[0].Keys = append(b.Teams[0].Keys, bundle.Key{ID: "old", SHA256: hash, Withdrawn: true})
	})
	for _, h := range f.hosts {
		a, err := f.post(h, f.teamKeys["red"], "work", api.Submission{Payload: []byte("cut path 7"), RunMS: 20}, "")
		is.NoErr(err)
		is.Equal(a.Code, result.OK)
		is.True(strings.Contains(string(a.Output), "cut path 7"))
	}
	before := len(f.executions())
	rejections := []struct {
		key, queue string
		submission api.Submission
		code       result.Code
	}{
		{"cgk_wrong", "work", api.Submission{}, result.KeyUnknown},
		{f.teamKeys["red"], "nowhere", api.Submission{}, result.QueueUnknown},
		{f.teamKeys["red"], "work", api.Submission{Slots: 9}, result.TaskTooLarge},
		{f.teamKeys["red"], "work", api.Submission{DeadlineMS: 3600000}, result.DeadlineInvalid},
		{f.teamKeys["red"], "work", api.Submission{RequestID: "made-up"}, result.RequestIDInvalid},
	}
	for _, r := range rejections {
		a, err := f.post(f.hosts[0], r.key, r.queue, r.submission, "")
		is.NoErr(err)
		is.Equal(a.Code, r.code)
		is.Equal(a.Run, result.RunNo)
	}
	is.Equal(len(f.executions()), before)
}

// TestRepeatAfterKillRunsOnce guards against a second execution of a request that is not idempotent: the caller repeats
// it through another host after the host that issued its request ID and started its task was killed.
func TestRepeatAfterKillRunsOnce(t *testing.T) {
	is := is.New(t)
	// With two hosts in each zone, a killed host is not a majority of its zone and is cleared within seconds.
	f := newFleet(t, 3, 2, 2, nil)
	id := f.requestID(f.hosts[0])
	submission := api.Submission{RequestID: id, Payload: []byte("pylon sign"), RunMS: 1500}
	go func() { _, _ = f.post(f.hosts[1], f.teamKeys["red"], "work", submission, "") }()
	f.eventually("start", 10*time.Second, func() bool { return len(f.executions()) == 1 })
	f.hosts[0].signal(syscall.SIGKILL)
	deadline := time.Now().Add(20 * time.Second)
	var last api.Answer
	for time.Now().Before(deadline) {
		a, err := f.post(f.hosts[2], f.teamKeys["red"], "work", submission, "")
		is.NoErr(err)
		is.True(a.Run != result.RunNo) // the answer must not be "not run", because the task was started
		last = a
		if a.Run == result.RunYes {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	is.Equal(len(f.executions()), 1)
	is.Equal(last.Code, result.OK) // the result was recovered from the upstream that ran the task
}

// TestWithdrawnKeyWithFrozenHost guards against a withdrawn key that still works on a host whose process was stopped
// (SIGSTOP) during the rollout, and against an acceptance that such a host delays beyond acceptanceBound.
func TestWithdrawnKeyWithFrozenHost(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 2, 2, nil)
	paused := f.hosts[5]
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for _, h := range f.hosts {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				_, _ = f.post(h, f.teamKeys["red"], "work", api.Submission{RunMS: 5, DeadlineMS: 3000}, "")
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	paused.signal(syscall.SIGSTOP)
	elapsed := f.rollOut(func(b *bundle.Bundle) { b.Teams[0].Keys[0].Withdrawn = true })
	accepted := time.Now()
	t.Logf("accepted %v after the rollout was requested", elapsed)
	is.True(elapsed < acceptanceBound)
	paused.signal(syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	for _, e := range f.executions() {
		if e.Team == "red" && e.StartUnixNS > accepted.UnixNano() {
			t.Fatalf("task started %v after the withdrawal of its key was accepted", time.Duration(e.StartUnixNS-accepted.UnixNano()))
		}
	}
	a, err := f.post(f.hosts[0], f.teamKeys["red"], "work", api.Submission{}, "")
	is.NoErr(err)
	is.Equal(a.Code, result.KeyWithdrawn)
}

// TestRollingReplacementCutsOffNothing guards against requests that are interrupted when all entry hosts are replaced
// one after another under load.
func TestRollingReplacementCutsOffNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 1, 2, nil)
	oldHosts := append([]*entryHost(nil), f.hosts...)
	balancer := &balancer{hosts: append([]*entryHost(nil), f.hosts...)}
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := make(map[result.Code]int)
	stop := make(chan struct{})
	for range 8 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				h := balancer.next()
				a, err := f.post(h, f.teamKeys["blue"], "work", api.Submission{RunMS: 100, DeadlineMS: 20000}, "")
				if err == nil && a.Code == result.ShuttingDown && !balancer.has(h) {
					continue // the host was chosen before it left the rotation, and did not run the request; callers retry
				}
				mu.Lock()
				if err != nil {
					t.Errorf("request interrupted: %v", err)
				}
				counts[a.Code]++
				mu.Unlock()
			}
		})
	}
	for _, h := range oldHosts {
		time.Sleep(300 * time.Millisecond)
		next := f.startHost(h.zone)
		f.waitReady(next)
		balancer.add(next)
		balancer.remove(h)
		h.signal(syscall.SIGTERM)
		select {
		case err := <-h.exited:
			is.NoErr(err)
			h.exited <- nil
		case <-time.After(25 * time.Second):
			t.Fatal("entry host did not exit within 25 s of SIGTERM")
		}
	}
	close(stop)
	wg.Wait()
	t.Logf("answers by code: %v", counts)
	is.True(counts[result.OK] > 50)
	for code := range counts {
		is.Equal(code, result.OK)
	}
}

// balancer is a stand-in for the platform's load balancer. It selects hosts round-robin.
type balancer struct {
	mu    sync.Mutex
	hosts []*entryHost
	turn  int
}

func (b *balancer) next() *entryHost {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn++
	return b.hosts[b.turn%len(b.hosts)]
}

func (b *balancer) has(h *entryHost) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Contains(b.hosts, h)
}

func (b *balancer) add(h *entryHost) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = append(b.hosts, h)
}

func (b *balancer) remove(h *entryHost) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.hosts {
		if other == h {
			b.hosts = append(b.hosts[:i], b.hosts[i+1:]...)
			return
		}
	}
}

// loadGenerator sends requests to all hosts of a fleet, one at a time to each, and counts the answers by code.
type loadGenerator struct {
	wg         sync.WaitGroup
	mu         sync.Mutex
	counts     map[result.Code]int
	unanswered int
	done       chan struct{}
}

func (f *fleet) startLoad(s api.Submission) *loadGenerator {
	l := &loadGenerator{counts: make(map[result.Code]int), done: make(chan struct{})}
	for _, h := range f.hosts {
		l.wg.Go(func() {
			for {
				select {
				case <-l.done:
					return
				default:
				}
				a, err := f.post(h, f.teamKeys["blue"], "work", s, "")
				l.mu.Lock()
				if err != nil {
					l.unanswered++
				}
				l.counts[a.Code]++
				l.mu.Unlock()
			}
		})
	}
	return l
}

// stop stops the load and returns the number of answers by code and the number of requests without an answer.
func (l *loadGenerator) stop() (map[result.Code]int, int) {
	close(l.done)
	l.wg.Wait()
	return l.counts, l.unanswered
}

// TestZoneTakenOutUnderLoad guards against tasks that start in an availability zone after its removal from service was
// accepted, and against requests that are interrupted or rejected while a zone leaves and returns.
func TestZoneTakenOutUnderLoad(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 1, 2, nil)
	l := f.startLoad(api.Submission{RunMS: 30, DeadlineMS: 10000})
	time.Sleep(300 * time.Millisecond)
	elapsed := f.rollOut(func(b *bundle.Bundle) { b.Zones[2].OutOfService = true })
	accepted := time.Now().UnixNano()
	is.True(elapsed < acceptanceBound)
	time.Sleep(500 * time.Millisecond)
	for id, u := range f.upstreams {
		for _, e := range u.Executions() {
			if strings.HasPrefix(id, "c") && e.StartUnixNS > accepted {
				t.Errorf("upstream %s started a task %v after acceptance", id, time.Duration(e.StartUnixNS-accepted))
			}
		}
	}
	f.rollOut(func(b *bundle.Bundle) { b.Zones[2].OutOfService, b.Zones[2].RampMS = false, 100 })
	returnedAt := time.Now().UnixNano()
	f.eventually("work in the zone again", 5*time.Second, func() bool {
		for id, u := range f.upstreams {
			for _, e := range u.Executions() {
				if strings.HasPrefix(id, "c") && e.StartUnixNS > returnedAt {
					return true
				}
			}
		}
		return false
	})
	counts, unanswered := l.stop()
	t.Logf("zone out of service accepted within %v; answers by code %v, requests without an answer %d", elapsed, counts, unanswered)
	is.Equal(unanswered, 0)
	is.Equal(len(counts), 1)
	is.True(counts[result.OK] > 0)
}

// TestStoreOutage guards against a fleet that stops serving during a store outage, and against a rollout that is
// reported as committed although the store did not accept it.
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 1, 2, nil)
	for _, h := range f.hosts {
		// A host that has served a request of the team holds a grant and can serve within it during the outage.
		a, err := f.post(h, f.teamKeys["blue"], "work", api.Submission{RunMS: 20}, "")
		is.NoErr(err)
		is.Equal(a.Code, result.OK)
	}
	l := f.startLoad(api.Submission{RunMS: 20, DeadlineMS: 10000})
	time.Sleep(1500 * time.Millisecond)
	f.must(f.platform.SetFaults(standin.PlatformFaults{Outage: true}))
	time.Sleep(5 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	next := *f.bundle
	next.Base, next.Version = next.Version, next.Version+1
	_, err := f.client(f.hosts[0]).Rollout(ctx, bundle.Sign(&next, f.operatorKey, operatorName), &next)
	is.True(err != nil)
	counts, unanswered := l.stop()
	t.Logf("answers by code %v, requests without an answer %d", counts, unanswered)
	is.Equal(unanswered, 0)
	is.Equal(len(counts), 1)
	is.True(counts[result.OK] > 100)
	f.must(f.platform.SetFaults(standin.PlatformFaults{}))
	is.True(f.rollOut(func(b *bundle.Bundle) { b.Reason = "after the outage" }) < 10*time.Second)
}

// TestDrainsStayWithinBudgetAndCutOffNothing guards against a drain that interrupts running requests, and against a
// second drain that would exceed the pool's budget.
func TestDrainsStayWithinBudgetAndCutOffNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 1, 2, nil)
	l := f.startLoad(api.Submission{RunMS: 200, DeadlineMS: 10000})
	until := time.Now().Add(time.Hour).UTC().Format(time.RFC3339)
	f.rollOut(func(b *bundle.Bundle) {
		for _, host := range []string{"a0", "b0"} {
			b.Interventions = append(b.Interventions, bundle.Intervention{
				ID: host, Kind: bundle.InterventionDrain, Target: host, Author: operatorName, Reason: "two drains, budget of one", Until: until,
			})
		}
	})
	drained := func() (hosts []string) {
		for _, a := range f.assignments() {
			if a.Unavailable {
				hosts = append(hosts, a.Host)
			}
		}
		return hosts
	}
	f.eventually("first drain", 10*time.Second, func() bool { return len(drained()) == 1 })
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		is.True(len(drained()) <= 1) // the pool's budget is one unavailable upstream
	}
	counts, unanswered := l.stop()
	t.Logf("answers by code %v, requests without an answer %d", counts, unanswered)
	is.Equal(unanswered, 0)
	is.Equal(len(counts), 1)
	is.True(counts[result.OK] > 0)
}

// TestRunningWorkIsStoppedWithItsZone guards against a running_work setting that is ignored: when a zone with the value
// "stop" is taken out of service, its running tasks are stopped, idempotent requests are run in another zone, and the
// others are answered with the code that says that a drain stopped them.
func TestRunningWorkIsStoppedWithItsZone(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, 1, 1, func(b *bundle.Bundle) { b.Zones[0].OutOfService = true })
	answers := make(chan api.Answer, 2)
	for _, idempotent := range []bool{true, false} {
		go func() {
			a, err := f.post(f.hosts[1], f.teamKeys["red"], "work", api.Submission{RunMS: 4000, Idempotent: idempotent, DeadlineMS: 30000}, "")
			if err != nil {
				t.Error(err)
			}
			answers <- a
		}()
	}
	f.eventually("both run in zone b", 5*time.Second, func() bool { return len(f.upstreams["b0"].Executions()) == 2 })
	f.rollOut(func(b *bundle.Bundle) {
		b.Zones[0].OutOfService, b.Zones[0].RampMS = false, 100
		b.Zones[1].OutOfService, b.Zones[1].RunningWork = true, bundle.WorkStop
	})
	codes := make(map[result.Code]string)
	for range 2 {
		a := <-answers
		codes[a.Code] = a.Upstream
	}
	is.Equal(codes[result.OK], "a0")
	is.Equal(codes[result.StoppedByDrain], "b0")
}
