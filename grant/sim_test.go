package grant

import (
	"context"
	"fmt"
	"time"

	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/upstream"
)

// perform makes store calls: applied, refused, lost after being applied, applied late, or never applied.
func (h *simHost) perform(effects []Effect) {
	f := h.f
	for _, e := range effects {
		f.calls++
		if _, ok := e.(Write); ok {
			f.writes++
		}
		if f.down || h.cut || f.chance(f.loss) {
			h.lose(e)
			continue
		}
		if f.latency == 0 {
			h.perform(h.m.Step(f.now, e.Run(context.Background(), f)))
			continue
		}
		wait := f.delay(f.latency)
		if f.slow {
			wait = f.delay(StoreTimeout)
		}
		f.after(wait/2, func() {
			answer := e.Run(context.Background(), f)
			h.later(wait/2, func() { h.perform(h.m.Step(f.now, answer)) })
		})
	}
}

func (h *simHost) lose(e Effect) {
	f := h.f
	var answer Event
	switch e := e.(type) {
	case Read:
		answer = ReadDone{Team: e.Team, Op: e.Op, Err: platform.ErrUnavailable}
	case Write:
		answer = WriteDone{Team: e.Team, Op: e.Op, Err: platform.ErrUnavailable}
	}
	if f.chance(0.7) {
		f.after(f.delay(4*time.Second), func() { e.Run(context.Background(), f) })
	}
	h.later(StoreTimeout, func() { h.perform(h.m.Step(f.now, answer)) })
}

// reserve begins an attempt. Between the check before Start and its arrival the host may freeze.
func (h *simHost) reserve(team string) {
	f := h.f
	a := &attempt{team: team}
	f.after(f.delay(f.latency), func() { a.reserved = f.now.Add(upstream.ReservationTTL) })
	h.later(2*f.latency, func() {
		if a.reserved.IsZero() || !h.permitted() || !h.account.Allowed(team) {
			h.account.Release(team, f.slots)
			return
		}
		a.version = h.rec.BundleVersion
		h.later(0, func() { h.start(a) })
	})
}

func (h *simHost) start(a *attempt) {
	f := h.f
	sent := f.now
	f.after(f.delay(2*f.latency), func() {
		if f.now.After(a.reserved) {
			a.finished = true
			return
		}
		a.isRunning = true
		a.lease, a.end = f.now.Add(upstream.TaskLeaseTTL), f.now.Add(f.runTime())
		f.running = append(f.running, a)
		f.check(a)
	})
	if f.chance(f.loss / 2) {
		a.lost = true
		h.account.ReleaseAfter(a.team, f.slots, HoldStarted(sent))
		return
	}
	h.attempts = append(h.attempts, a)
}

// renew extends leases with permission only. The last check and the arrival may be far apart.
func (h *simHost) renew() {
	f := h.f
	if !h.permitted() || f.now.Sub(h.renewAt) < 2*time.Second {
		return
	}
	h.renewAt = f.now
	attempts := append([]*attempt(nil), h.attempts...)
	h.later(0, func() {
		f.after(f.delay(f.latency), func() {
			for _, a := range attempts {
				if a.isRunning {
					a.lease = f.now.Add(upstream.TaskLeaseTTL)
				}
			}
		})
	})
}

// collect releases the slots of attempts that are proved to have ended.
func (h *simHost) collect() {
	var rest []*attempt
	for _, a := range h.attempts {
		if a.finished {
			h.account.Release(a.team, h.f.slots)
			continue
		}
		rest = append(rest, a)
	}
	h.attempts = rest
}

func (f *fleet) runningSlots(team string) int {
	n := 0
	for _, a := range f.running {
		if a.team == team {
			n += f.slots
		}
	}
	return n
}

// check is called after each start. The bound is the highest cap of all versions from the lowest one on which the
// start rests or that a host that may start still holds.
func (f *fleet) check(started *attempt) {
	team := started.team
	lowest := started.version
	for _, h := range f.hosts {
		_, isMember := f.record.Member(h.member.ID)
		_, isDeparted := f.evicted[h.member.ID]
		if !isMember && !isDeparted {
			continue
		}
		lowest = min(lowest, h.rec.BundleVersion)
	}
	bound := 0
	for v := lowest; v <= f.record.BundleVersion; v++ {
		bound = max(bound, f.caps[v][team])
	}
	if n := f.runningSlots(team); n > bound && f.err == "" {
		f.err = fmt.Sprintf("%v: team %s runs %d slots after a start, cap %d", f.now.Unix()-1e6, team, n, bound)
	}
}

func (f *fleet) inUse(team string) int {
	n := 0
	for _, h := range f.hosts {
		if !h.dead {
			n += h.account.InUse(team)
		}
	}
	return n
}
