package main

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/platform"
	platformfleet "citrongauge.example/citrongauge/testbed/fleet"
)

const (
	restartBound  = 9 * time.Second // longest time without a run
	calmBefore    = 7 * time.Second // how long it has to be calm before restartBound counts
	calmAfter     = 5 * time.Second // how long it stays calm then
	entryLifetime = 4500 * time.Millisecond
	maxHosts      = 9
	maxGone       = 4 // upstreams that are gone for good
	timeFormat    = "15:04:05.000"
	ciSeed        = 402       // a short series, which passes
	firstLongJob  = 1_000_000 // number of the first long-running job
)

// longRunningJobs have one step each, with the given numbers of tasks and limits.
var longRunningJobs = []struct {
	count  int
	limits string
}{{5, ""}, {8, `,"anti_affinity":1`}, {3, `,"anti_affinity":1,"may_miss":1`}}

// longRunning is a soak with long-running jobs and faults in series.
type longRunning struct {
	*soakRun
	jobs        int      // number of short jobs
	tasks       []string // of the long-running jobs
	submittedAt time.Time
	faults      sync.WaitGroup
	busy        [maxHosts]sync.Mutex     // by host: held while a fault stops its process
	gone        int                      // number of upstreams that are to be gone for good
	left        sync.Map                 // indices of those that are gone
	storeLink   platformfleet.ProxyFault // of the links of hosts to the store when there is no fault
	deadHosts   []int                    // their processes are not running
}

// TestLongRunningTasksAreStartedAgain guards against a long-running task that has nothing running for 9 s although the last
// 7 s were calm. Beside short jobs, series of overlapping faults hit the store, the hosts and the upstreams; a calm follows
// each series. LONGRUNNING_SEEDS sets the number of seeds, LONGRUNNING_FROM the first, LONGRUNNING_SERIES the number of
// series.
func TestLongRunningTasksAreStartedAgain(t *testing.T) {
	t.Parallel()
	for seed := range intFromEnvironment("LONGRUNNING_SEEDS", 1) {
		seed += intFromEnvironment("LONGRUNNING_FROM", ciSeed)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := &longRunning{soakRun: newSoak(t, uint64(seed), 4, 1)}
			for i, job := range longRunningJobs {
				s.submitLongRunning(firstLongJob+i, job.count, job.limits)
			}
			s.underLoad(submitInterval, func() {
				for range intFromEnvironment("LONGRUNNING_SERIES", 1) {
					s.series()
					s.checkCalm()
				}
			})
			s.verify()
		})
	}
}

func (s *longRunning) submitLongRunning(number, count int, limits string) {
	s.submitSteps(number, platformfleet.LongRunningSpec, fmt.Sprintf(`{"count":%d,"cpu":500,"mem_mb":50,"long_running":true%s}`, count, limits))
	if !s.accepted[jobID(number)] {
		s.t.Fatalf("job %d was not accepted", number)
	}
	delete(s.accepted, jobID(number)) // verify waits for the others to end
	s.submittedAt = time.Now()
	for index := range count {
		s.tasks = append(s.tasks, fmt.Sprintf("%s.0.0.%d", jobID(number), index))
	}
}

// underLoad carries out body while short jobs are submitted.
func (s *longRunning) underLoad(interval time.Duration, body func()) {
	done := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(interval):
				s.jobs++
				number := s.jobs
				load.Go(func() { s.submit(number) })
			}
		}
	})
	body()
	close(done)
	load.Wait()
}

// checkCalm waits without faults, and reports the tasks that have nothing running for restartBound or more. Tasks that it
// has reported are not checked again.
func (s *longRunning) checkCalm() {
	s.t.Logf("%s calm", time.Now().Format(timeFormat))
	time.Sleep(calmBefore)
	for end := time.Now().Add(calmAfter); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		last := s.lastRuns()
		s.tasks = slices.DeleteFunc(s.tasks, func(task string) bool {
			r := last[task]
			lost := time.Since(r.End) > restartBound
			if lost {
				s.t.Errorf("%s LOST: task %s has no run since %s (attempt %d %s on %s)", time.Now().Format(timeFormat), task,
					r.End.Format(timeFormat), r.Attempt, r.EndKind, r.Upstream)
			}
			return lost
		})
	}
}

// lastRuns returns, for each long-running task, the run that ended last. The end of a run that goes on is now.
func (s *longRunning) lastRuns() map[string]platformfleet.Run {
	last := map[string]platformfleet.Run{}
	for _, task := range s.tasks {
		last[task] = platformfleet.Run{End: s.submittedAt}
	}
	for _, u := range s.fleet.Upstreams {
		for _, r := range u.History() {
			if r.End.IsZero() {
				r.End = time.Now()
			}
			if known, ok := last[r.Task]; ok && r.End.After(known.End) {
				last[r.Task] = r
			}
		}
	}
	return last
}

// series injects two to six faults of random kinds that may overlap, and waits for their ends.
func (s *longRunning) series() {
	for range 2 + s.rng.IntN(5) {
		s.injectFault()
		time.Sleep(s.between(0, 2500))
	}
	s.faults.Wait()
	s.clearFaults()
}

func (s *longRunning) injectFault() {
	owner, u, d := s.owner(), s.rng.IntN(len(s.fleet.Upstreams)), s.between(2000, 10000)
	switch kind := s.rng.IntN(13); kind {
	case 0, 1:
		s.turnAway(s.between(100, 1500), d)
	case 2, 3:
		s.end(owner, []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[kind-2], d/4)
	case 4:
		s.freeze(owner, s.between(500, 6000))
	case 5:
		s.freeze(owner, s.between(1100, 1600)) // the owner's lease is 1.5 s
	case 6:
		for h := range s.hosts {
			s.end(h, syscall.SIGKILL, d/2)
		}
	case 7: // a zone
		fault, perZone := s.randomProxyFault(), len(s.fleet.Proxies)/3
		for _, proxy := range s.fleet.Proxies[u/perZone*perZone:][:perZone] {
			s.disturb(u, proxy, fault, d)
		}
	case 8, 9:
		s.flap(u, s.between(300, 1500), s.between(200, 1500), 1+s.rng.IntN(5))
	case 10:
		s.disturb(u, s.fleet.Proxies[u], s.randomProxyFault(), d)
	case 11:
		s.disturb(owner, s.hosts[owner].storeProxy, s.randomProxyFault(), d)
	case 12:
		faults := platformfleet.StoreFaults{Latency: s.between(0, 700), DropNthResponse: s.rng.IntN(6)}
		s.fault(fmt.Sprintf("store %+v", faults), func() { s.fleet.Store.SetFaults(faults); time.Sleep(d) })
	}
}

// fault carries out a fault in the background.
func (s *longRunning) fault(what string, body func()) {
	s.t.Logf("%s %s", time.Now().Format(timeFormat), what)
	s.faults.Go(body)
}

// owner returns the index of the host that the store names as the owner, or a random one.
func (s *longRunning) owner() int {
	record, err := ledger.DecodeOwner(platform.Item{Revision: 1, Value: s.fleet.Store.Value(ledger.OwnerKey)})
	for i := range s.hosts {
		if err == nil && record.Host == hostName(i) {
			return i
		}
	}
	return s.rng.IntN(len(s.hosts))
}

// turnAway has the store reject some hosts with 503 and then answer nobody. Some entries of upstreams expire and return
// late; leases pause or expire.
func (s *longRunning) turnAway(rejected, silent time.Duration) {
	pause, some := s.rng.IntN(2) == 0, s.rng.IntN(1<<len(s.hosts))
	lost := s.rng.Perm(len(s.fleet.Upstreams))[:s.rng.IntN(len(s.fleet.Upstreams))]
	s.fault(fmt.Sprintf("store rejects hosts %03b for %v, silent for %v, leases pause %v, entries lost %v", some, rejected, silent, pause, lost), func() {
		for i, h := range s.hosts {
			h.gate.SetClosed(some&(1<<i) != 0)
		}
		time.Sleep(rejected)
		for _, h := range s.hosts {
			h.storeProxy.SetFault(platformfleet.ProxyFault{StallToTarget: true, StallFromTarget: true})
		}
		time.Sleep(silent)
		for _, u := range lost {
			s.fleet.Store.Delete("servers/" + s.fleet.Upstreams[u].CurrentID())
		}
		if pause {
			s.fleet.Store.ExtendLeases(silent)
		}
		for _, h := range s.hosts {
			h.gate.SetClosed(false)
			h.storeProxy.SetFault(platformfleet.ProxyFault{})
		}
		time.Sleep(1500 * time.Millisecond)
		for _, u := range lost {
			if _, left := s.left.Load(u); !left {
				s.register(u)
			}
		}
	})
}

func (s *longRunning) register(u int) {
	s.fleet.Store.Put("servers/"+s.fleet.Upstreams[u].CurrentID(), s.fleet.Upstreams[u].StoreEntry())
}

// leave registers an upstream that is gone from then on. Its entry expires.
func (s *longRunning) leave(u int) {
	s.register(u)
	s.left.Store(u, true)
	s.fleet.Proxies[u].Close()
	s.expire(s.fleet.Upstreams[u].CurrentID())
}

func (s *longRunning) expire(id string) {
	time.AfterFunc(entryLifetime, func() { s.fleet.Store.Delete("servers/" + id) })
}

// end ends a host's process and starts it again later.
func (s *longRunning) end(host int, signal syscall.Signal, down time.Duration) {
	s.stopProcess(host, fmt.Sprintf("%v, again after %v", signal, down), func(h *soakHost) {
		_ = h.process.Process.Signal(signal)
		_ = h.process.Wait()
		time.Sleep(down)
		s.start(h)
	})
}

func (s *longRunning) freeze(host int, duration time.Duration) {
	s.stopProcess(host, fmt.Sprintf("frozen for %v", duration), func(h *soakHost) {
		_ = h.process.Process.Signal(syscall.SIGSTOP)
		time.Sleep(duration)
		_ = h.process.Process.Signal(syscall.SIGCONT)
	})
}

// stopProcess carries out a fault of a host's process unless there is one already.
func (s *longRunning) stopProcess(host int, what string, body func(*soakHost)) {
	s.fault(hostName(host)+" "+what, func() {
		if s.busy[host].TryLock() {
			defer s.busy[host].Unlock()
			body(s.hosts[host])
		}
	})
}

func (s *longRunning) disturb(index int, proxy *platformfleet.Proxy, fault platformfleet.ProxyFault, duration time.Duration) {
	s.fault(fmt.Sprintf("connections to %d, %s: %+v for %v", index, proxy.Address(), fault, duration), func() {
		proxy.SetFault(fault)
		time.Sleep(duration)
		proxy.SetFault(platformfleet.ProxyFault{})
	})
}

// flap crashes an upstream several times. Each time it registers itself, answers for a while and is gone for a while,
// under its ID or, if it is replaced, under another one. At the end it is up or gone for good.
func (s *longRunning) flap(u int, up, down time.Duration, times int) {
	replaced, gone := s.rng.IntN(3) == 0, s.rng.IntN(2) == 0 && s.gone < maxGone
	if gone {
		s.gone++
	}
	s.fault(fmt.Sprintf("upstream %d crashes %d times, up %v, down %v, replaced %v, gone %v", u, times, up, down, replaced, gone), func() {
		proxy, upstream := s.fleet.Proxies[u], s.fleet.Upstreams[u]
		for i := range times {
			proxy.SetFault(platformfleet.ProxyFault{Reset: true})
			id := upstream.CurrentID()
			if replaced {
				s.expire(id)
				id += "x"
			}
			upstream.Restart(id)
			time.Sleep(down)
			if gone && i == times-1 {
				s.leave(u)
				return
			}
			s.register(u)
			proxy.SetFault(platformfleet.ProxyFault{})
			time.Sleep(up)
		}
	})
}
