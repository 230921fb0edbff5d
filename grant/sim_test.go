package grant

import (
	"context"
	"fmt"
	"time"

	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/upstream"
)

// runEffects runs store calls. A call is either applied and its response delivered, or it is lost: the host then gets
// an error after StoreTimeout, and the call is applied late or never.
func (h *simHost) runEffects(effects []Effect) {
	f := h.f
	for _, e := range effects {
		f.calls++
		if _, ok := e.(Write); ok {
			f.writes++
		}
		if f.storeDown || h.partitioned || f.chance(f.lossRate) {
			h.loseCall(e)
			continue
		}
		if f.latency == 0 {
			h.runEffects(h.m.Step(f.now, e.Run(context.Background(), f)))
			continue
		}
		wait := f.delay(f.latency)
		if f.storeSlow {
			wait = f.delay(StoreTimeout)
		}
		f.schedule(wait/2, func() {
			response := e.Run(context.Background(), f)
			h.scheduleOnHost(wait/2, func() { h.runEffects(h.m.Step(f.now, response)) })
		})
	}
}

func (h *simHost) loseCall(e Effect) {
	f := h.f
	var response Event
	switch e := e.(type) {
	case Read:
		response = ReadDone{Team: e.Team, Op: e.Op, Err: platform.ErrUnavailable}
	case Write:
		response = WriteDone{Team: e.Team, Op: e.Op, Err: platform.ErrUnavailable}
	}
	if f.chance(0.7) {
		f.schedule(f.delay(4*time.Second), func() { e.Run(context.Background(), f) })
	}
	h.scheduleOnHost(StoreTimeout, func() { h.runEffects(h.m.Step(f.now, response)) })
}

// reserve begins an attempt. The host may freeze between the check before Start and the sending of Start.
func (h *simHost) reserve(team string) {
	f := h.f
	a := &attempt{team: team}
	f.schedule(f.delay(f.latency), func() { a.reservedUntil = f.now.Add(upstream.ReservationTTL) })
	h.scheduleOnHost(2*f.latency, func() {
		if a.reservedUntil.IsZero() || !h.permitted() || !h.limiter.WithinLimit(team) {
			h.limiter.Release(team, f.taskSlots)
			return
		}
		a.version = h.heldRecord.BundleVersion
		h.scheduleOnHost(0, func() { h.start(a) })
	})
}

func (h *simHost) start(a *attempt) {
	f := h.f
	sent := f.now
	f.schedule(f.delay(2*f.latency), func() {
		if f.now.After(a.reservedUntil) {
			a.finished = true
			return
		}
		a.isRunning = true
		a.leaseEnd, a.end = f.now.Add(upstream.TaskLeaseTTL), f.now.Add(f.runTime())
		f.running = append(f.running, a)
		f.checkCap(a)
	})
	if f.chance(f.lossRate / 2) {
		a.outcomeUnknown = true
		h.limiter.ReleaseAt(a.team, f.taskSlots, StartedReleaseTime(sent))
		return
	}
	h.attempts = append(h.attempts, a)
}

// renew extends the leases of running attempts if the host is permitted to start work. A long time may pass between
// the check and the arrival of the renewal, because the host may freeze in between.
func (h *simHost) renew() {
	f := h.f
	if !h.permitted() || f.now.Sub(h.lastRenewal) < 2*time.Second {
		return
	}
	h.lastRenewal = f.now
	attempts := append([]*attempt(nil), h.attempts...)
	h.scheduleOnHost(0, func() {
		f.schedule(f.delay(f.latency), func() {
			for _, a := range attempts {
				if a.isRunning {
					a.leaseEnd = f.now.Add(upstream.TaskLeaseTTL)
				}
			}
		})
	})
}

// releaseEnded releases the slots of attempts that have ended.
func (h *simHost) releaseEnded() {
	var rest []*attempt
	for _, a := range h.attempts {
		if a.finished {
			h.limiter.Release(a.team, h.f.taskSlots)
			continue
		}
		rest = append(rest, a)
	}
	h.attempts = rest
}

func (f *simFleet) runningSlots(team string) int {
	n := 0
	for _, a := range f.running {
		if a.team == team {
			n += f.taskSlots
		}
	}
	return n
}

// checkCap is called after each start and sets violation if the team exceeds its cap. The bound is the highest cap of
// all bundle versions since the oldest one that is still in use, either by the started attempt or by a host that may
// still start work.
func (f *simFleet) checkCap(started *attempt) {
	team := started.team
	lowest := started.version
	for _, h := range f.hosts {
		_, isMember := f.record.Member(h.member.ID)
		_, isDeparted := f.evicted[h.member.ID]
		if !isMember && !isDeparted {
			continue
		}
		lowest = min(lowest, h.heldRecord.BundleVersion)
	}
	bound := 0
	for v := lowest; v <= f.record.BundleVersion; v++ {
		bound = max(bound, f.caps[v][team])
	}
	if n := f.runningSlots(team); n > bound && f.violation == "" {
		f.violation = fmt.Sprintf("%v: team %s runs %d slots after a start, cap %d", f.now.Unix()-1e6, team, n, bound)
	}
}

func (f *simFleet) inUse(team string) int {
	n := 0
	for _, h := range f.hosts {
		if !h.dead {
			n += h.limiter.InUse(team)
		}
	}
	return n
}
