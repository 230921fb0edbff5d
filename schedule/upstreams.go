package schedule

import (
	"time"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

// upstream is the owner's view of one upstream.
type upstream struct {
	platform.Upstream         // StartedMS is of the known life
	*life                     // the known life
	endedLives        []int64 // start times of the lives before, at most maxEndedLives
	timeJumped        bool    // a life had an earlier start time than the one before
	rack              string
	slowness          slowness
	listed            bool // it has an entry in the store
	terminated        bool // it definitely runs nothing any more; kept until its runs are detached
	stored            bool // it is in the stored roster, so that a later owner polls it for runs
	// contradiction is the last entry under its ID that cannot be its own; nil: its own is newer. It is applied when this
	// upstream is removed.
	contradiction *platform.Upstream
	// leftPoolMS is the start time of a life that began in another pool while this pool's tasks may run there; 0: there is none.
	leftPoolMS int64
	// storedStartMS is its StartedMS in the stored roster.
	storedStartMS int64
	inherited     bool // from an earlier owner's roster and not reached yet
	// earlierLeaseEnd is the time by which the leases that earlier owners granted have expired; 0: they granted none.
	earlierLeaseEnd time.Duration
	reached         bool          // it has answered a poll of this owner, in whichever life
	restartedAt     time.Duration // when this owner noticed its last restart; 0: none
	regainedAt      time.Duration // when it answered a poll again after it had not; 0: it always has
	reconciled      bool          // the runs that an earlier owner may have started there are known or have ended

	cordoned     bool // excluded from placement because of its machine's upkeep or move
	released     bool // excluded from placement so that its machine can move to another pool
	pollWhenIdle bool // poll it although it has no runs
	addedAt      time.Duration

	// hasUnknownLife is set if an earlier owner may have granted leases to a life that the stored roster does not have.
	hasUnknownLife bool
	// storedZone is its zone in the stored roster, and rosterZone that in the roster that an earlier owner stored; empty: it was not in it.
	storedZone, rosterZone string
	// unrecordedLeaseEnd is the time by which the leases have expired that an earlier owner may have granted while it made unrecorded
	// starts; 0: there are none, or leasesKnown is set: earlierLeaseEnd allows for them.
	unrecordedLeaseEnd time.Duration
	leasesKnown        bool
	// minLeaseEnd is the earliest time by which the lease can be known to have expired, whatever maxDeadline is.
	minLeaseEnd time.Duration
	// lateLeaseEnd is the time by which the lease has expired that a late call to an earlier life may have granted before the known life was
	// isolated. Few calls do, so tasks do not avoid the upstream until then.
	lateLeaseEnd time.Duration

	token   uint64 // the highest in calls of this owner
	barUpTo uint64 // calls with tokens up to this one are to be barred; 0: none
	// lostDeadline is the latest lease deadline in calls without an answer that a later life may carry out before it is isolated, and lostAt
	// when the last of them was given up.
	lostDeadline   int64
	lostAt         time.Duration
	fencing        bool   // the poll in flight is counted in Core.fencing
	pollSeq        uint64 // of the last poll that was sent
	answeredSeq    uint64 // of the last poll that was answered
	nextPoll       time.Duration
	polledAt       time.Duration // when the last poll was sent
	askedAt        time.Duration // when it was last to be polled even without runs
	failedPolls    int
	silentSince    time.Duration // time of the first call without an answer since the last response
	lastResponseAt time.Duration // time of the last response to a poll

	runs            *orderedMap[job.TaskID, *run]
	used            job.Resources
	usedLongRunning job.Resources // the part of used that long-running runs take
	longRunning     int           // number of long-running runs
	// unknownRuns is the number of runs of unknown jobs in the last response to a poll. The capacity that they take is
	// not known.
	unknownRuns int
	// requestedCPU is the processor request of all runs, including best-effort ones.
	requestedCPU   int64
	hold           hold
	nextPaceChange time.Duration
}

// pendingAck is an end that may be acknowledged once a batch of records is stored.
type pendingAck struct {
	seq   uint64
	batch uint64
}

func (u *upstream) target() platform.Target { return platform.Target{ID: u.ID, Address: u.Address} }

func (u *upstream) freeCapacity() job.Resources { return u.Capacity.Sub(u.used) }

// isOverCapacity reports whether the runs on the upstream take more than its capacity, which may have shrunk.
func (u *upstream) isOverCapacity() bool { return !job.Resources{}.Fits(u.freeCapacity()) }

// hasLeftPool reports whether the known life, which has answered, is in another pool.
func (u *upstream) hasLeftPool() bool {
	return u.fenced && u.leftPoolMS != 0 && u.leftPoolMS == u.StartedMS
}

// isSettled reports whether, as far as this owner knows, the upstream has been there and answered for the time of one lease. One
// that has started anew or was silent often does so again soon.
func (c *Core) isSettled(up *upstream) bool {
	return c.now >= max(up.addedAt, up.restartedAt, up.regainedAt)+c.Lease
}

// leaseEnd returns the time by which the lease of all runs on the upstream has expired, whichever commands have
// reached it.
func (u *upstream) leaseEnd() time.Duration {
	if !u.fenced {
		return u.minLeaseEnd
	}
	left := float64(max(u.maxDeadline-u.clock.ms, 0)) / minClockRate
	return max(u.clock.readAt+time.Duration(left*float64(time.Millisecond))+leaseSlack, u.minLeaseEnd)
}

// lastLeaseEnd returns the time by which the leases of this owner and of earlier ones have expired, whichever life has them.
func (u *upstream) lastLeaseEnd() time.Duration { return max(u.knownLeaseEnd(), u.nextLeaseEnd) }

// knownLeaseEnd is lastLeaseEnd without the leases that only a next life may have.
func (u *upstream) knownLeaseEnd() time.Duration {
	return max(u.earlierLeaseEnd, u.unrecordedLeaseEnd, u.minLeaseEnd, u.lateLeaseEnd, u.leaseEnd())
}

// advanceAck allows the acknowledgement of the ends whose batches are stored; durable is the last stored batch.
func (u *upstream) advanceAck(durable uint64) {
	for len(u.pendingAcks) > 0 && u.pendingAcks[0].batch <= durable {
		u.ackable = u.pendingAcks[0].seq
		u.pendingAcks = u.pendingAcks[1:]
	}
}

// loseAllRuns detaches and requeues all runs of an upstream that cannot be running any more.
func (c *Core) loseAllRuns(up *upstream, reason string) {
	var all []*run
	for _, r := range up.runs.all() {
		all = append(all, r)
	}
	c.loseRuns(up, all, reason)
}

// loseRuns detaches and requeues runs of an upstream that cannot be running any more.
func (c *Core) loseRuns(up *upstream, runs []*run, reason string) {
	if len(runs) > 0 {
		c.Log("runs lost", "upstream", up.ID, "reason", reason, "runs", len(runs), "failed_looks", up.failedPolls,
			"heard_ms_ago", (c.now - up.lastResponseAt).Milliseconds())
	}
	for _, r := range runs {
		c.applyCharge(r)
		c.detach(r)
		c.requeue(r, "upstream lost", r.checkpoint)
	}
}

// removeUpstream removes an upstream without runs.
func (c *Core) removeUpstream(up *upstream) {
	c.fencingEnded(up)
	c.upstreams.delete(up.ID)
	c.pool(up.Pool).removeUpstream(up)
	c.roster.set(up.ID, nil)
	c.Log("upstream removed", "upstream", up.ID)
	if !c.isAddressInUse(up.Address) {
		c.calls = append(c.calls, CloseConnections{Address: up.Address})
	}
	if up.contradiction != nil {
		c.SetUpstream(*up.contradiction)
	}
}

// isAddressInUse reports whether a known upstream has the address.
func (c *Core) isAddressInUse(address string) bool {
	for _, up := range c.upstreams.all() {
		if up.Address == address {
			return true
		}
	}
	return false
}

// expireLeases handles upstreams whose lease must have expired, and removes those that are no longer needed.
func (c *Core) expireLeases() {
	for _, up := range c.upstreams.all() {
		if !up.reconciled && c.earlierLeaseExpired(up) {
			up.reconciled = true
			c.Log("lease of an earlier owner has expired", "upstream", up.ID, "claimed_ms_ago", (c.now - c.Claimed).Milliseconds(),
				"earlier_owner_ended_ms_ago", (c.now - c.EarlierEnded).Milliseconds())
			c.countUnseenCrash(up)
		}
		if up.failedPolls > 0 {
			c.endStoppedRuns(up)
		}
		if up.failedPolls > 0 && up.runs.len() > 0 && c.now > up.knownLeaseEnd() {
			c.loseExpiredRuns(up)
		}
		if !up.listed && up.reconciled && up.stored && up.runs.len() == 0 && (up.terminated || up.failedPolls > 0 || up.isIdle()) {
			c.removeUpstream(up)
		}
	}
}

// loseExpiredRuns loses the runs of a silent upstream whose lease has expired: those that only a next life may have later than others.
func (c *Core) loseExpiredRuns(up *upstream) {
	areAll := c.now > up.lastLeaseEnd()
	var expired []*run
	for _, r := range up.runs.all() {
		if areAll || !r.mayBeOfNextLife() {
			expired = append(expired, r)
		}
	}
	if len(expired) > 0 {
		c.prepareCharges(up, !up.listed)
		c.loseRuns(up, expired, "its lease has expired")
	}
}

// endStoppedRuns ends the long-running runs on an upstream that does not answer whose stop it has answered before: nothing of
// them runs after the longest time that a stop takes, and a start that arrives later is rejected. Other tasks may have been
// done before the stop.
func (c *Core) endStoppedRuns(up *upstream) {
	for _, r := range up.runs.all() {
		if r.part.step.LongRunning && r.state == runStopped && c.now > r.stoppedAt+c.Bounds.StopTimeout+stopMargin {
			c.detach(r)
			c.requeue(r, "stopped", r.checkpoint)
		}
	}
}

// isListingEnds reports whether the upstream answers, but has not listed all ends yet. A run that it lists nowhere may
// have ended.
func (u *upstream) isListingEnds() bool { return u.moreEnds && u.failedPolls == 0 }

// isIdle reports whether an upstream without runs of known jobs has no runs of unknown jobs, no end to be listed or
// acknowledged and no poll in flight. If it has no entry in the store either, nothing can start there: this owner
// starts nothing on it, and earlier owners are fenced off.
func (u *upstream) isIdle() bool {
	return u.fenced && !u.polling && u.unknownRuns == 0 && !u.moreEnds && u.ackable <= u.ackConfirmed
}

// earlierLeaseExpired reports whether nothing of an earlier owner runs on an upstream that has not been reached. If that has
// been known since the claim, the upstream is polled once before, since it may list a run that is done.
func (c *Core) earlierLeaseExpired(up *upstream) bool {
	return (!up.hasUnknownLife || c.now > c.unknownLifeLeaseEnd()) && c.rosterLeaseExpired(up)
}

// rosterLeaseExpired is earlierLeaseExpired for the life that the stored roster has.
func (c *Core) rosterLeaseExpired(up *upstream) bool {
	return !up.isListingEnds() && c.now > up.lastLeaseEnd() && (up.failedPolls > 0 || c.now > c.Claimed+inheritedLease(c.Lease))
}

// LeaseEnds returns for each known upstream the time by which all leases there have expired, whichever owner granted them and
// whichever commands have reached the upstream.
func (c *Core) LeaseEnds() map[string]time.Duration {
	ends := make(map[string]time.Duration, c.upstreams.len())
	for id, up := range c.upstreams.all() {
		ends[id] = up.lastLeaseEnd()
	}
	return ends
}

// InheritedLeaseEnd returns the time by which the leases that earlier owners granted have expired, as far as only the end of
// the last ownership is known. It does not change, and may be called from any goroutine.
func (c *Core) InheritedLeaseEnd() time.Duration {
	return c.EarlierEnded + inheritedLease(c.EarlierLease)
}

// inheritedLease returns how long runs may continue unseen under a lease that an earlier owner granted.
func inheritedLease(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/minClockRate) + takeoverMargin
}
