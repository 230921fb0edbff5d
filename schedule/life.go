package schedule

import (
	"slices"
	"time"

	"citrongauge.example/citrongauge/job"
)

// life is what the owner knows of one life of an upstream, which lasts from one of its starts to the next under the same ID. A new
// life knows nothing of the one before: it is replaced as a whole. Each call names the life that it is meant for, but the upstream
// does not see that: whichever life receives a call carries it out. So a result speaks for the life that it was meant for only if it
// proves that: a response to a poll by the start time in it. A response to a command has a clock only, which differs from life to
// life but may agree by chance: it can raise doubt, and it can prove nothing.
type life struct {
	fenced   bool // it has answered a poll with this owner's token
	fencedAt time.Duration
	// isolated is set once no call that was sent to an earlier life can be carried out by this one.
	isolated    bool
	barredBelow uint64 // highest token of the polls that it has answered
	// inDoubt is set while a response has shown a clock that cannot be this life's, until a poll shows which life answers. Nothing
	// is started, acknowledged or extended there meanwhile.
	inDoubt    bool
	doubtfulMS int64 // start time in an entry that raised the doubt; 0: none did
	// nextLeaseEnd is the time by which the leases have expired that a next life may have been granted before the doubt; 0: there is none.
	nextLeaseEnd time.Duration

	clock       clockReading
	maxDeadline int64 // latest lease deadline in any command that may have reached it, on its clock

	polling       bool
	pollDeadline  int64 // lease deadline in the poll in flight; 0: it does not extend the lease
	strayDeadline int64 // latest lease deadline in polls in flight that are not waited for any more
	reconnect     bool  // the next poll uses a new connection
	// keepsNoConnections is set if it closes each connection after a response, so that no start can be bound to it.
	keepsNoConnections bool

	lastHandledEnd uint64 // sequence number of the last end that was handled
	moreEnds       bool   // the last response may not have listed all ends
	ackable        uint64 // highest end that may be acknowledged
	ackConfirmed   uint64 // highest end whose acknowledgement was answered
	ackWithheld    bool   // the last poll could not acknowledge ends
	pendingAcks    []pendingAck

	health health
}

// meant identifies the life of an upstream that a call is meant for, and when the call was decided on.
type meant struct {
	life *life
	at   time.Duration
}

// meantFor marks a call to an upstream that is sent now.
func (c *Core) meantFor(up *upstream) meant { return meant{up.life, c.now} }

// readClock records the clock in a response from this life; 0 means that the response had none. Responses may overtake each other.
func (l *life) readClock(ms int64, sentAt, now time.Duration) {
	if ms > l.clock.ms || ms > 0 && !l.clock.agrees(ms, sentAt, now) {
		l.clock = clockReading{ms, sentAt, now}
	}
}

// maxEndedLives is how many earlier lives of an upstream are remembered, so that late entries of them are recognised.
const maxEndedLives = 8

// isEnded reports whether a start time is that of an earlier life.
func (u *upstream) isEnded(startedMS int64) bool { return slices.Contains(u.endedLives, startedMS) }

// noteEnded remembers the start time of an ended life.
func (u *upstream) noteEnded(startedMS int64) {
	u.endedLives = append(u.endedLives, startedMS)
	u.endedLives = u.endedLives[max(0, len(u.endedLives)-maxEndedLives):]
}

// noteNotEnded forgets that a life has ended: it has answered a poll, so a late entry was taken for that of a later one.
func (u *upstream) noteNotEnded(startedMS int64) {
	u.endedLives = slices.DeleteFunc(u.endedLives, func(ended int64) bool { return ended == startedMS })
}

// noteEntryLife follows what an upstream's entry says of its life, which is none that has ended. A later start than that of the known
// life proves that this has ended, unless the time of day has jumped back there before. An earlier one may be that of a newer life whose
// time of day is behind, or of an older entry: a poll decides.
func (c *Core) noteEntryLife(up *upstream, startedMS int64) {
	switch {
	case startedMS == 0 || startedMS == up.StartedMS:
	case up.StartedMS == 0:
		up.StartedMS = startedMS
	case startedMS > up.StartedMS && !up.timeJumped:
		c.handleRestart(up, startedMS, "entry")
	case startedMS != up.doubtfulMS:
		up.doubtfulMS = startedMS
		c.doubtLife(up, "entry", "born", startedMS)
		c.abandonPoll(up) // in a doubt from before; one sent earlier may show a life that has ended since
	}
}

// doubtLife notes that another life than the known one may answer, and has the upstream polled at once.
func (c *Core) doubtLife(up *upstream, shownBy string, fields ...any) {
	if up.inDoubt || up.terminated {
		return
	}
	up.inDoubt = true
	c.stats.Doubts++
	c.Log("upstream may have started anew", append([]any{"upstream", up.ID, "shown_by", shownBy, "known_born", up.StartedMS,
		"known_clock_ms", up.clock.ms, "clock_age_ms", c.msSince(up.clock.readAt), "heard_ms_ago", c.msSince(up.lastResponseAt),
		"poll_in_flight", up.polling}, fields...)...)
	up.nextLeaseEnd = max(up.nextLeaseEnd, c.staleLeaseEnd(up))
	c.noteUnknownToRoster(up)
	c.noteLongLease(up)
	c.abandonPoll(up)
}

// abandonPoll gives the poll in flight up, which may wait on a connection of an earlier life, and has the next one sent at once on
// a new connection.
func (c *Core) abandonPoll(up *upstream) {
	if up.polling {
		up.strayDeadline = max(up.strayDeadline, up.pollDeadline)
		c.noteLost(up, up.pollDeadline)
		up.pollSeq++ // the response is not handled
	}
	c.fencingEnded(up)
	up.polling, up.reconnect, up.nextPoll = false, true, c.now
}

// noteCommandClock compares the clock in a response to a command with that of the life for which it was meant, which it reads if
// they agree. It reports whether they do.
func (c *Core) noteCommandClock(up *upstream, call meant, clockMS int64) bool {
	if call.life != up.life {
		return false
	}
	if !up.clock.agrees(clockMS, call.at, c.now) {
		c.doubtLife(up, "clock", "clock_ms", clockMS, "sent_ms_ago", c.msSince(call.at))
		return false
	}
	if clockMS > up.clock.ms {
		up.readClock(clockMS, call.at, c.now)
	}
	return true
}

// handleRestart handles the restart of an upstream under the same ID. Runs that its earlier life has listed have ended. Others may
// be those of the new life, which may have received their starts.
func (c *Core) handleRestart(up *upstream, startedMS int64, shownBy string) {
	c.logRestart(up, startedMS, shownBy)
	c.prepareCharges(up, true)
	up.minLeaseEnd = max(up.minLeaseEnd, up.nextLeaseEnd, c.staleLeaseEnd(up))
	c.noteUnknownToRoster(up)
	isCalled := up.pollSeq > 0 // nothing is sent before the first poll
	c.abandonPoll(up)
	var lost, unproved []*run
	for _, r := range up.runs.all() {
		if r.heldBy == up.life || !r.startAnswered {
			c.applyCharge(r)
		}
		if r.mayBeOfNextLife() {
			unproved = append(unproved, r)
		} else {
			lost = append(lost, r)
		}
	}
	c.loseRuns(up, lost, "it has started anew")
	earlier := up.life
	up.timeJumped = up.timeJumped || startedMS < up.StartedMS
	up.noteEnded(up.StartedMS)
	up.noteNotEnded(startedMS)
	up.StartedMS, up.life = startedMS, &life{reconnect: true, isolated: !isCalled}
	if isCalled {
		c.bar(up)
	}
	for _, r := range unproved {
		c.keepOverRestart(r)
	}
	up.restartedAt = c.now
	// An upstream that this owner has not fenced yet may have restarted before an earlier owner started tasks there.
	up.reconciled = up.reconciled || earlier.fenced
	up.terminated = false
	up.cordoned = c.mayEndByCommand(up)
	c.dropTickets(up)
	c.noteLongLease(up)
}

// mayBeOfNextLife reports whether the run may be one of the life after the known one, which may have received its start.
func (r *run) mayBeOfNextLife() bool {
	return r.hasOpenCopies() || r.startAnswered && r.heldBy != r.up.life
}

// mayRunOnNextLife reports whether the life after the known one may have runs already.
func (u *upstream) mayRunOnNextLife() bool {
	for _, r := range u.runs.all() {
		if r.mayBeOfNextLife() {
			return true
		}
	}
	return false
}

// keepOverRestart keeps a run that the new life of its upstream may have, until a poll shows whether it has.
func (c *Core) keepOverRestart(r *run) {
	r.begunMS, r.confirmedPace, r.requestedPace = 0, fullPercent, fullPercent
	if r.state == runStopped || r.state == runStopping {
		c.beginStop(r) // the new life knows nothing of the stop
		return
	}
	r.awaitsNewLife = true
}

// staleLeaseEnd returns the time by which the leases have expired that the next life of the upstream may have been granted: it may have
// carried out a poll or a start with a deadline on the clock of the life before. Stops and changes of pace carry no deadline.
func (c *Core) staleLeaseEnd(up *upstream) time.Duration {
	var end time.Duration
	deadline := up.strayDeadline
	if up.polling {
		deadline = max(deadline, up.pollDeadline)
	}
	for _, r := range up.runs.all() {
		if r.hasOpenCopies() {
			deadline = max(deadline, r.startDeadline)
		}
		if r.startAnswered && r.heldBy != up.life {
			end = max(end, c.answeredLeaseEnd(r))
		}
	}
	if deadline > 0 {
		end = max(end, c.now+c.longestStaleLease(deadline)+leaseSlack)
	}
	return end
}

// noteUnknownToRoster allows for the lease that the earlier owner may have granted to a life that the stored roster does not have: it
// may have started tasks there with a deadline on the clock of the life before.
func (c *Core) noteUnknownToRoster(up *upstream) {
	up.hasUnknownLife = up.hasUnknownLife || up.inherited && up.earlierLeaseEnd > 0
}

// unknownLifeLeaseEnd returns the time by which the leases have expired that the earlier owner may have granted to a life that the stored
// roster does not have.
func (c *Core) unknownLifeLeaseEnd() time.Duration {
	return c.earlierEnd() + c.longestStaleLease(c.Bounds.MaxLease.Milliseconds()) + leaseSlack
}

// answeredLeaseEnd returns the time by which the lease has ended that an answered start may have granted, whichever life answered.
func (c *Core) answeredLeaseEnd(r *run) time.Duration {
	lease := c.Bounds.MaxLease
	if r.answerClockMS > 0 {
		lease = min(lease, time.Duration(max(r.startDeadline-r.answerClockMS, 0))*time.Millisecond)
	}
	return r.answeredAt + time.Duration(float64(lease)/minClockRate) + leaseSlack
}

// longestStaleLease returns how long runs may go on, from when the restart of their upstream is known, if a new life executes
// a command with a deadline of the earlier clock: it does so within maxCommandTime, and its runs then last for the platform's
// longest lease, but only until its own clock, which has begun at 0 or later, shows the deadline.
func (c *Core) longestStaleLease(deadlineMS int64) time.Duration {
	lease := min(c.Bounds.MaxLease, time.Duration(deadlineMS)*time.Millisecond)
	return maxCommandTime + time.Duration(float64(lease)/minClockRate)
}

// newUpstream returns an upstream of which nothing but its entry is known. This owner may have called it under the same ID before, with any
// of its tokens. Its first poll bars the calls of earlier owners.
func (c *Core) newUpstream() *upstream {
	return &upstream{life: &life{isolated: true}, token: c.newestToken, runs: newOrderedMap[job.TaskID, *run]()}
}
