package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	platformfleet "citrongauge.example/citrongauge/testbed/fleet"
)

const (
	ciRestartSeeds = 4
	afterRestarts  = 1200 * time.Millisecond // in which the faults' effects show
	ofLate         = 400 * time.Millisecond
	longerTasks    = 500 * time.Millisecond // added to the tasks' durations with half of the seeds
	earlyEntryMS   = 400                    // longest delay of half of the entries; the others: a heartbeat
)

// restartPlan is a crash of an upstream whose connections are silent, and a start under its ID.
type restartPlan struct {
	upstream   int
	runsOn     time.Duration // from the beginning of the cut to the crash; 0: it goes dark with the crash
	down       time.Duration // from the crash to the start
	silent     time.Duration // from the start to the end of the cut
	resetOnUse bool          // old connections are reset when they are used; otherwise they stay silent
	entry      time.Duration // from the end of the cut to its entry
	killOwner  time.Duration // after the end of the cut; 0: never
	cutAfter   time.Duration // from the end of the cut to the next one; 0: never
	cut        time.Duration // of the next one
}

// restarts is a longRunning whose faults are restarts of upstreams.
type restarts struct {
	*longRunning
	restarting []sync.Mutex // by upstream: held from the cut to the entry
}

// TestRestartedUpstreamRunsNoTaskTwice guards against a task that runs on two upstreams at the same time, or again after it is
// done: an upstream crashes behind a silent cut, starts again under its ID, and takes and answers starts before its entry shows
// that it has started anew. Such restarts follow each other and overlap. The owner may be killed before the entry arrives, and
// another cut may follow. RESTART_SEEDS sets the number of seeds, RESTART_FROM the first, RESTART_SERIES the number of series.
func TestRestartedUpstreamRunsNoTaskTwice(t *testing.T) {
	t.Parallel()
	for seed := range intFromEnvironment("RESTART_SEEDS", ciRestartSeeds) {
		seed += intFromEnvironment("RESTART_FROM", 1)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			s := newRestarts(t, uint64(seed))
			interval := s.chooseLoad()
			s.submitLongRunning(firstLongJob, 4, `,"anti_affinity":1`)
			s.underLoad(interval, func() {
				time.Sleep(time.Second)
				for range intFromEnvironment("RESTART_SERIES", 4) {
					s.restartSeries()
				}
			})
			s.clearFaults()
			s.verify()
		})
	}
}

func newRestarts(t *testing.T, seed uint64) *restarts {
	s := &restarts{longRunning: &longRunning{soakRun: newSoak(t, seed, 2, 0)}}
	s.restarting = make([]sync.Mutex, len(s.fleet.Upstreams))
	return s
}

// chooseLoad chooses the size and the duration of the short jobs' tasks, and returns the interval at which the jobs are submitted.
func (s *restarts) chooseLoad() time.Duration {
	interval := []time.Duration{40, 120, 250}[s.rng.IntN(3)] * time.Millisecond
	s.milliCPU = []int{300, 1000}[s.rng.IntN(2)]
	extra := longerTasks * time.Duration(s.rng.IntN(2))
	for _, u := range s.fleet.Upstreams {
		u.SetFaults(platformfleet.UpstreamFaults{ExtraDuration: extra})
	}
	s.t.Logf("a job each %v, %d of a core for each task, which take %v longer", interval, s.milliCPU, extra)
	return interval
}

// restartSeries restarts one to three upstreams, or one of them more than once, and waits until all are registered.
func (s *restarts) restartSeries() {
	for range 1 + s.rng.IntN(3) {
		s.begin(s.randomRestart())
		time.Sleep(s.between(0, 700))
	}
	s.faults.Wait()
	time.Sleep(afterRestarts)
}

func (s *restarts) randomRestart() restartPlan {
	p := restartPlan{upstream: s.upstreamAtWork(), resetOnUse: s.rng.IntN(2) == 0, entry: s.between(0, earlyEntryMS)}
	if s.rng.IntN(2) == 0 {
		p.entry = s.between(0, int(platformfleet.Heartbeat.Milliseconds()))
	}
	if s.rng.IntN(2) == 0 {
		p.down = s.between(200, 900)
	} else {
		p.runsOn = s.between(50, 550)
		p.down = s.between(0, 50)
		p.silent = 600*time.Millisecond - p.runsOn - p.down
	}
	switch s.rng.IntN(6) {
	case 0:
		p.killOwner = s.between(1, max(2, int(p.entry.Milliseconds())))
	case 1:
		p.cutAfter, p.cut = s.between(50, 500), s.between(200, 2500)
	}
	return p
}

// upstreamAtWork returns the upstream that has begun the most runs of late, or a random one.
func (s *restarts) upstreamAtWork() int {
	upstream, most := s.rng.IntN(len(s.fleet.Upstreams)), 0
	if s.rng.IntN(4) == 0 {
		return upstream
	}
	now := time.Now()
	for i, u := range s.fleet.Upstreams {
		if n := runsBetween(u, now.Add(-ofLate), now); n > most {
			upstream, most = i, n
		}
	}
	return upstream
}

// begin carries out a restart in the background, after those of the same upstream that have begun.
func (s *restarts) begin(p restartPlan) {
	s.fault(fmt.Sprintf("restart %+v", p), func() {
		s.restarting[p.upstream].Lock()
		defer s.restarting[p.upstream].Unlock()
		s.restart(p)
	})
}

// restart carries out a restart, and returns when the store has the new entry and the cut after it has ended.
func (s *restarts) restart(p restartPlan) {
	u, proxy := s.fleet.Upstreams[p.upstream], s.fleet.Proxies[p.upstream]
	s.silence(p)
	time.Sleep(p.runsOn)
	u.Crash()
	time.Sleep(p.down)
	u.Start(time.Now())
	started := time.Now()
	time.Sleep(p.silent)
	proxy.SetFault(platformfleet.ProxyFault{})
	s.t.Logf("%s %s answers again, entry in %v", time.Now().Format(timeFormat), u.CurrentID(), p.entry)
	s.fleet.RegisterAfter(u, p.entry)
	registered := time.Now().Add(p.entry)
	if p.killOwner > 0 {
		time.Sleep(p.killOwner)
		s.end(s.owner(), syscall.SIGKILL, time.Millisecond)
	}
	if p.cutAfter > 0 {
		time.Sleep(p.cutAfter)
		proxy.SetFault(stalled)
		time.Sleep(p.cut)
		proxy.SetFault(platformfleet.ProxyFault{})
	}
	time.Sleep(time.Until(registered))
	s.t.Logf("%s %s is registered, %d runs began before", time.Now().Format(timeFormat), u.CurrentID(), runsBetween(u, started, registered))
}

func runsBetween(u *platformfleet.Upstream, from, to time.Time) (n int) {
	for _, r := range u.History() {
		if r.Begin.After(from) && r.Begin.Before(to) {
			n++
		}
	}
	return n
}

// silence cuts an upstream off. Its connections stay silent after the cut.
func (s *restarts) silence(p restartPlan) {
	proxy := s.fleet.Proxies[p.upstream]
	proxy.SetFault(stalled)
	proxy.Silence(p.resetOnUse)
}

// TestUpstreamWithALowerBornIsUsed guards against jobs that do not end (LOST) because an upstream starts again with a `born`
// that is lower than before, since its machine's time of day was ahead.
func TestUpstreamWithALowerBornIsUsed(t *testing.T) {
	t.Parallel()
	s := newRestarts(t, 1)
	u := s.fleet.Upstreams[0]
	u.Crash()
	u.Start(time.Now().Add(2 * time.Second))
	s.register(0)
	s.underLoad(submitInterval/3, func() {
		time.Sleep(time.Second)
		s.fleet.Proxies[0].SetFault(platformfleet.ProxyFault{Reset: true})
		u.Crash()
		u.Start(time.Now())
		s.fleet.Proxies[0].SetFault(platformfleet.ProxyFault{})
		s.fleet.RegisterAfter(u, platformfleet.Heartbeat/2)
		time.Sleep(3 * time.Second)
	})
	born := u.Born()
	s.verify()
	for _, r := range u.History() {
		if r.Begin.After(born) && r.EndKind == "done" && !r.Acknowledged && !strings.HasPrefix(r.Spec, platformfleet.LongRunningSpec) {
			t.Errorf("the end of task %s, attempt %d, is not acknowledged", r.Task, r.Attempt)
		}
	}
}
