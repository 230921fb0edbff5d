package main

import (
	"time"

	platformfleet "citrongauge.example/citrongauge/testbed/fleet"
)

const (
	earlyEntryMS = 400 // longest delay of half of the entries; the others: a heartbeat
	shortCut     = 600 * time.Millisecond
)

// restartPlan is a crash of an upstream whose connections are silent, and a start under its ID.
type restartPlan struct {
	upstream   int
	runsOn     time.Duration // from the beginning of the cut to the crash; 0: it goes dark with the crash
	down       time.Duration // from the crash to the start
	silent     time.Duration // from the start to the end of the cut
	resetOnUse bool          // old connections are reset when they are used; otherwise they stay silent
	bornBack   time.Duration // by how much `born` is lower than before; 0: it is the time of the start
	entry      time.Duration // from the end of the cut to its entry
	cutAfter   time.Duration // from the end of the cut to the next one; 0: never
	cut        time.Duration // of the next one
}

func (s *soakRun) randomRestart(upstream int) restartPlan {
	p := restartPlan{upstream: upstream, resetOnUse: s.rng.IntN(2) == 0, entry: s.between(0, earlyEntryMS)}
	if s.rng.IntN(2) == 0 {
		p.entry = s.between(0, int(platformfleet.Heartbeat.Milliseconds()))
	}
	if s.rng.IntN(2) == 0 {
		p.down = s.between(200, 900)
	} else {
		p.runsOn = s.between(50, 550)
		p.down = s.between(0, 50)
		p.silent = shortCut - p.runsOn - p.down
	}
	if s.rng.IntN(6) == 0 {
		p.cutAfter, p.cut = s.between(50, 500), s.between(200, 2500)
	}
	if s.rng.IntN(6) == 0 {
		p.bornBack = s.between(1, 5000)
	}
	return p
}

// restart carries out a restart, after those of the same upstream that have begun, and calls answers when the new life answers. It
// returns when the store has the new entry and the cut after the restart has ended.
func (s *soakRun) restart(p restartPlan, answers func()) {
	s.restarting[p.upstream].Lock()
	defer s.restarting[p.upstream].Unlock()
	u, proxy := s.fleet.Upstreams[p.upstream], s.fleet.Proxies[p.upstream]
	proxy.SetFault(stalled)
	proxy.Silence(p.resetOnUse)
	time.Sleep(p.runsOn)
	u.Crash()
	time.Sleep(p.down)
	u.Start(p.born(u))
	started := time.Now()
	time.Sleep(p.silent)
	proxy.SetFault(platformfleet.ProxyFault{})
	s.t.Logf("%s %s answers again: %+v", time.Now().Format(timeFormat), u.CurrentID(), p)
	s.fleet.RegisterAfter(u, p.entry)
	registered := time.Now().Add(p.entry)
	answers()
	if p.cutAfter > 0 {
		time.Sleep(p.cutAfter)
		proxy.SetFault(stalled)
		time.Sleep(p.cut)
		proxy.SetFault(platformfleet.ProxyFault{})
	}
	time.Sleep(time.Until(registered))
	s.t.Logf("%s %s is registered, %d runs began before", time.Now().Format(timeFormat), u.CurrentID(), runsBetween(u, started, registered))
}

// born returns the `born` of the next life.
func (p restartPlan) born(u *platformfleet.Upstream) time.Time {
	if p.bornBack > 0 {
		return u.Born().Add(-p.bornBack)
	}
	return time.Now()
}

func runsBetween(u *platformfleet.Upstream, from, to time.Time) (n int) {
	for _, r := range u.History() {
		if r.Begin.After(from) && r.Begin.Before(to) {
			n++
		}
	}
	return n
}
