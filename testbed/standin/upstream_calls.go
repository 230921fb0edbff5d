package standin

import (
	"time"

	"citrongauge.example/citrongauge/upstream"
)

// renew extends the leases of running attempts and returns the IDs of all others.
func (u *Upstream) renew(now time.Time, ids []string) []string {
	var unknown []string
	for _, id := range ids {
		a, ok := u.attempts[id]
		if ok {
			u.endIfDue(now, a)
		}
		if !ok || a.state != upstream.StateRunning {
			unknown = append(unknown, id)
			continue
		}
		a.leaseExpiresAt = now.Add(u.config.LeaseTTL)
		u.scheduleEnd(now, a)
	}
	return unknown
}

// release cancels a reservation. It has no effect if the reservation has already ended or the task was started.
func (u *Upstream) release(now time.Time, id string) error {
	u.prune(now)
	a, ok := u.attempts[id]
	if !ok {
		return upstream.ErrAttemptNotFound
	}
	if a.state == upstream.StateReserved {
		u.end(now, a, upstream.StateExpired)
	}
	return nil
}

// stop stops an attempt, after a checkpoint if requested. An attempt that has already ended keeps its state.
func (u *Upstream) stop(now time.Time, id string, checkpoint bool) (*attempt, error) {
	u.prune(now)
	a, ok := u.attempts[id]
	if !ok {
		return nil, upstream.ErrAttemptNotFound
	}
	u.endIfDue(now, a)
	if !a.isOpen() {
		return a, nil
	}
	state := upstream.StateStopped
	if checkpoint {
		a.updateProgress(now)
		state = upstream.StateCheckpointed
	}
	u.finish(now, a, state)
	return a, nil
}

// throttle limits a running attempt to a fraction of its processors.
func (u *Upstream) throttle(now time.Time, id string, fraction float64) error {
	if fraction < 0 || fraction > 1 {
		return errMalformed
	}
	a, ok := u.attempts[id]
	if !ok {
		return upstream.ErrAttemptNotFound
	}
	u.endIfDue(now, a)
	if a.state == upstream.StateRunning {
		a.updateProgress(now)
		a.speed = fraction
		u.scheduleEnd(now, a)
	}
	return nil
}

// fence rejects further reservations with a request ID and returns the attempt that used it last, or one in
// StateUnseen. A reservation that was not started is cancelled. Fences older than RetentionTime are removed.
func (u *Upstream) fence(now time.Time, requestID string) *upstream.Attempt {
	u.prune(now)
	for id, fencedAt := range u.fenceTimes {
		if now.Sub(fencedAt) > upstream.RetentionTime {
			delete(u.fenceTimes, id)
		}
	}
	u.fenceTimes[requestID] = now
	a, ok := u.attempts[u.attemptByRequest[requestID]]
	if !ok {
		return &upstream.Attempt{State: upstream.StateUnseen}
	}
	if a.state == upstream.StateReserved {
		u.end(now, a, upstream.StateExpired)
	}
	u.endIfDue(now, a)
	return a.snapshot(u.attemptUsage(a))
}

// drain raises the pool epoch. If rejectReservations is set, all reservations are rejected until a later call without
// it.
func (u *Upstream) drain(now time.Time, poolEpoch uint64, rejectReservations bool) error {
	u.prune(now)
	if poolEpoch < u.poolEpoch {
		return upstream.ErrStaleEpoch
	}
	u.raiseEpoch(now, poolEpoch)
	u.draining = rejectReservations
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
		PoolEpoch:    u.poolEpoch,
		Draining:     u.draining || u.faults.Leaving,
		Capacity:     u.config.Capacity,
		Reserved:     u.reservedSize(),
		Used:         u.reportedUsage(now),
		Running:      running,
		StartedTotal: u.startedTotal,
	}
}

// attemptUsage returns the resource usage of an attempt, which is zero until UsageLag after its start.
func (u *Upstream) attemptUsage(a *attempt) upstream.Size {
	if !a.wasStarted() || time.Since(a.startedAt) < u.config.UsageLag {
		return upstream.Size{}
	}
	return scaleUsage(a.reservation.Size, u.faults.useFactor())
}

// recordUsage appends the current resource usage and drops the samples that are no longer needed.
func (u *Upstream) recordUsage(now time.Time) {
	var used upstream.Size
	for _, a := range u.open {
		if a.state == upstream.StateRunning {
			used = addSizes(used, scaleUsage(a.reservation.Size, u.faults.useFactor()))
		}
	}
	u.usageHistory = append(u.usageHistory, usageSample{since: now, used: used})
	for len(u.usageHistory) > 1 && now.Sub(u.usageHistory[1].since) > u.config.UsageLag {
		u.usageHistory = u.usageHistory[1:]
	}
}

// reportedUsage returns the resource usage as it was UsageLag ago.
func (u *Upstream) reportedUsage(now time.Time) upstream.Size {
	var used upstream.Size
	for _, s := range u.usageHistory {
		if s.since.After(now.Add(-u.config.UsageLag)) {
			break
		}
		used = s.used
	}
	return used
}
