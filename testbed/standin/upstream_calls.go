package standin

import (
	"time"

	"citrongauge.example/citrongauge/upstream"
)

// renew extends the leases of running attempts. Attempts that do not run are returned as unknown.
func (u *Upstream) renew(now time.Time, ids []string) []string {
	var unknown []string
	for _, id := range ids {
		a, ok := u.attempts[id]
		if ok {
			u.settle(now, a)
		}
		if !ok || a.state != upstream.StateRunning {
			unknown = append(unknown, id)
			continue
		}
		a.leaseUntil = now.Add(u.config.LeaseTTL)
		u.schedule(now, a)
	}
	return unknown
}

// release ends a reservation. It has no effect on one that lapsed or was started.
func (u *Upstream) release(now time.Time, id string) error {
	u.prune(now)
	a, ok := u.attempts[id]
	if !ok {
		return upstream.ErrAttemptNotFound
	}
	if a.state == upstream.StateReserved {
		u.end(now, a, upstream.StateLapsed)
	}
	return nil
}

// stop ends an attempt; one that has ended already keeps its state.
func (u *Upstream) stop(now time.Time, id string, checkpoint bool) (*attempt, error) {
	u.prune(now)
	a, ok := u.attempts[id]
	if !ok {
		return nil, upstream.ErrAttemptNotFound
	}
	u.settle(now, a)
	if !a.isOpen() {
		return a, nil
	}
	state := upstream.StateStopped
	if checkpoint {
		a.advance(now)
		state = upstream.StateCheckpointed
	}
	u.finish(now, a, state)
	return a, nil
}

// throttle sets the speed of a running attempt.
func (u *Upstream) throttle(now time.Time, id string, part float64) error {
	if part < 0 || part > 1 {
		return errMalformed
	}
	a, ok := u.attempts[id]
	if !ok {
		return upstream.ErrAttemptNotFound
	}
	u.settle(now, a)
	if a.state == upstream.StateRunning {
		a.advance(now)
		a.speed = part
		u.schedule(now, a)
	}
	return nil
}

// fence refuses a request ID from now on and returns what is known of it.
func (u *Upstream) fence(now time.Time, requestID string) *upstream.Attempt {
	u.prune(now)
	for id, at := range u.fences {
		if now.Sub(at) > upstream.RetentionTime {
			delete(u.fences, id)
		}
	}
	u.fences[requestID] = now
	a, ok := u.attempts[u.requests[requestID]]
	if !ok {
		return &upstream.Attempt{State: upstream.StateUnseen}
	}
	if a.state == upstream.StateReserved {
		u.end(now, a, upstream.StateLapsed)
	}
	u.settle(now, a)
	return a.report(u.usedBy(a))
}

// drain raises the epoch; with stop set it refuses all reservations until a later drain without stop.
func (u *Upstream) drain(now time.Time, epoch uint64, stop bool) error {
	u.prune(now)
	if epoch < u.epoch {
		return upstream.ErrStaleEpoch
	}
	u.raiseEpoch(now, epoch)
	u.draining = stop
	return nil
}

func (u *Upstream) status(now time.Time) *upstream.Status {
	u.prune(now)
	running := 0
	for _, a := range u.open {
		if a.state == upstream.StateRunning {
			running++
		}
	}
	return &upstream.Status{
		BootID:       u.bootID,
		Uptime:       now.Sub(u.bootedAt),
		PoolEpoch:    u.epoch,
		Draining:     u.draining || u.faults.Leaving,
		Capacity:     u.config.Capacity,
		Reserved:     u.reserved(),
		Used:         u.reportedUsage(now),
		Running:      running,
		StartedTotal: u.started,
	}
}

// usedBy returns the measured use of an attempt, zero until it has run for UsageLag.
func (u *Upstream) usedBy(a *attempt) upstream.Size {
	if !a.wasStarted() || time.Since(a.startedAt) < u.config.UsageLag {
		return upstream.Size{}
	}
	return scale(a.reservation.Size, u.faults.useFactor())
}

// noteUsage records the present use.
func (u *Upstream) noteUsage(now time.Time) {
	var used upstream.Size
	for _, a := range u.open {
		if a.state == upstream.StateRunning {
			used = add(used, scale(a.reservation.Size, u.faults.useFactor()))
		}
	}
	u.usage = append(u.usage, usageSample{since: now, used: used})
	for len(u.usage) > 1 && now.Sub(u.usage[1].since) > u.config.UsageLag {
		u.usage = u.usage[1:]
	}
}

// reportedUsage returns the use as it was before UsageLag.
func (u *Upstream) reportedUsage(now time.Time) upstream.Size {
	var used upstream.Size
	for _, s := range u.usage {
		if s.since.After(now.Add(-u.config.UsageLag)) {
			break
		}
		used = s.used
	}
	return used
}
