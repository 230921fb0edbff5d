package schedule

import (
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/platform"
)

// Polls of upstreams: when they are due, and what their responses show.

// pollUpstreams polls the upstreams whose state may have changed.
func (c *Core) pollUpstreams() {
	unstoredInterval := c.unstoredPollInterval()
	for _, up := range c.upstreams.all() {
		if up.polling || up.terminated || c.now < up.pollDue(unstoredInterval) || !c.needsPoll(up) {
			continue
		}
		if !up.fenced {
			if c.fencing >= maxFencing {
				continue
			}
			c.fencing++
			up.fencing = true
		}
		if up.fenced && up.failedPolls == 0 && up.runs.len() > 0 {
			c.pool(up.Pool).stages.unpolled.add(c.now - up.lastResponseAt)
		}
		up.polling = true
		up.pollSeq++
		up.polledAt = c.now
		up.pollDeadline = 0
		c.raiseToken(up)
		request := platform.PollRequest{Token: up.token, AckedSeq: c.ackToSend(up)}
		// A poll does not extend the lease of an upstream that does not answer, because its runs have to end at a
		// known time.
		if up.runs.len() > 0 && up.fenced && up.failedPolls == 0 && c.mayExtendLease(up) {
			request.DeadlineMS = c.extendLease(up)
			up.pollDeadline = request.DeadlineMS
			request.Wait = maxPollWait
			if up.ackable > up.ackConfirmed {
				request.Wait = maxPollWait / 2
			}
			if up.isHeld(c.now) {
				request.Wait = min(request.Wait, probation)
			}
			if up.barUpTo > 0 {
				request.Wait = 0 // starts wait for the response
			}
		}
		c.stats.Polls++
		c.calls = append(c.calls, Poll{
			Target: up.target(), Request: request, NewConnection: up.reconnect, seq: up.pollSeq, meant: c.meantFor(up),
		})
		up.reconnect = false
	}
}

// unstoredPollInterval returns the shortest time between two polls of an upstream whose ends wait for the store. While tasks start without
// records, its room is used as soon as the next end is known, so it is polled as often as unstoredPollRate allows.
func (c *Core) unstoredPollInterval() time.Duration {
	if !c.store.Unrecorded {
		return unstoredPollInterval
	}
	waiting := 0
	for _, up := range c.upstreams.all() {
		if up.awaitsStore() {
			waiting++
		}
	}
	interval := time.Duration(waiting) * time.Second / unstoredPollRate
	return min(max(interval, minPollInterval), unstoredPollInterval)
}

// awaitsStore reports whether the upstream lists ends that cannot be acknowledged yet, so that it answers a poll at once.
func (u *upstream) awaitsStore() bool {
	return len(u.pendingAcks) > 0 && u.failedPolls == 0 && !u.inDoubt && !u.ackWithheld && u.barUpTo == 0
}

// pollDue returns the earliest time of the next poll. While ends wait for the store, the next poll waits until they can be acknowledged,
// but at most for unstoredInterval.
func (u *upstream) pollDue(unstoredInterval time.Duration) time.Duration {
	if u.awaitsStore() {
		return max(u.nextPoll, u.lastResponseAt+unstoredInterval)
	}
	return u.nextPoll
}

func (c *Core) needsPoll(up *upstream) bool {
	switch {
	case !up.fenced || up.inDoubt || c.awaitsBar(up):
		return up.listed || up.stored
	case up.runs.len() > 0 || up.unknownRuns > 0 || up.moreEnds || up.pollWhenIdle:
		return true
	case up.askedAt > up.lastResponseAt:
		return true
	case up.failedPolls > 0 && up.listed:
		return true // the upstream is not used until it answers
	}
	return up.ackable > up.ackConfirmed
}

// extendLease returns the deadline, on the upstream's clock, of a lease that starts now.
func (c *Core) extendLease(up *upstream) int64 {
	lease := c.Lease
	if c.leasesEnd > 0 {
		lease = min(lease, c.leasesEnd-c.now)
	}
	deadline := up.clock.estimate(c.now) + lease.Milliseconds()
	up.maxDeadline = max(up.maxDeadline, deadline)
	return deadline
}

// fencingEnded records that the upstream's poll no longer counts against maxFencing.
func (c *Core) fencingEnded(up *upstream) {
	if up.fencing {
		up.fencing = false
		c.fencing--
	}
}

// HandlePollResult handles the result of a Poll.
func (c *Core) HandlePollResult(poll Poll, result platform.PollResult, err error) {
	up := c.upstreams.get(poll.Target.ID)
	if up == nil || up.Address != poll.Target.Address || poll.seq != up.pollSeq || poll.life != up.life {
		return // of another upstream, or not waited for any more
	}
	up.polling = false
	c.fencingEnded(up)
	if err != nil {
		c.pollFailed(up, poll, err)
		return
	}
	if up.terminated {
		return // late response from before the end
	}
	if up.failedPolls > 0 {
		c.Log("upstream answers again", "upstream", up.ID, "failed_looks", up.failedPolls)
		up.regainedAt = c.now
	}
	up.failedPolls, up.lastResponseAt, up.nextPoll = 0, c.now, c.now+minPollInterval
	up.answeredSeq = poll.seq
	c.notePolledLife(up, result.StartedMS)
	if result.MalformedRows > 0 {
		c.Log("unreadable rows in an upstream's lists", "upstream", up.ID, "rows", result.MalformedRows)
	}
	c.noteBarred(up, poll.Request.Token, result.ClockMS)
	c.noteAlive(up)
	first := !up.fenced
	if first {
		up.fencedAt = c.now
		c.noteFenced(up)
	}
	if result.MoreEnds && !up.moreEnds {
		c.Log("upstream has more ends than it lists", "upstream", up.ID, "listed", len(result.Ended), "runs", up.runs.len(),
			"reconciled", up.reconciled)
	}
	up.fenced, up.reached, up.moreEnds = true, true, result.MoreEnds
	up.reconciled = up.reconciled || !result.MoreEnds
	up.readClock(result.ClockMS, poll.at, c.now)
	if poll.life == up.life {
		up.ackConfirmed = max(up.ackConfirmed, poll.Request.AckedSeq)
	}
	c.handleEnds(up, result.Ended)
	c.handleRunning(up, result.Running, poll)
	c.noteStoredLife(up)
	if first {
		c.Log("upstream fenced", "upstream", up.ID, "token", poll.Request.Token, "born", up.StartedMS, "clock_ms", result.ClockMS, "running", len(result.Running),
			"ended", len(result.Ended))
	}
}

// notePolledLife follows what the response to a poll says of the life that answered. The poll was sent after the known life was, so
// another one that answers is a later one, whichever start time it has.
func (c *Core) notePolledLife(up *upstream, startedMS int64) {
	switch {
	case startedMS == 0:
	case up.StartedMS == 0:
		up.StartedMS = startedMS
	case startedMS != up.StartedMS:
		up.polling = true // the new life has carried out this poll
		c.handleRestart(up, startedMS, "poll")
		up.reconnect = false
	case up.inDoubt:
		c.Log("upstream has not started anew", "upstream", up.ID, "born", up.StartedMS)
		if up.doubtfulMS != 0 {
			up.noteEnded(up.doubtfulMS)
		}
	}
	up.inDoubt, up.doubtfulMS, up.nextLeaseEnd = false, 0, 0
}

// noteStoredLife compares the life of an upstream that has answered with the one in the stored roster, which it
// updates.
func (c *Core) noteStoredLife(up *upstream) {
	if up.StartedMS != up.storedStartMS {
		if up.inherited {
			c.allowForEarlierOwner(up)
		}
		c.countUnseenCrash(up)
		up.storedStartMS = up.StartedMS
		c.roster.set(up.ID, up)
	}
	up.inherited = false
}

func (c *Core) pollFailed(up *upstream, poll Poll, err error) {
	var rejected *platform.RejectedError
	if errors.As(err, &rejected) {
		switch rejected.Reason {
		case platform.RejectedFence:
			c.superseded = true
			c.Log("superseded by another owner", "upstream", up.ID, "token", poll.Request.Token)
			return
		case platform.RejectedOtherInstance:
			c.handleReplaced(up)
			return
		}
	}
	up.failedPolls++
	c.noteLost(up, poll.Request.DeadlineMS)
	up.noteUnanswered(c.now)
	if up.failedPolls == 1 {
		c.Log("upstream does not answer", "upstream", up.ID, "error", err.Error(), "runs", up.runs.len(),
			"lease_left_ms", (up.leaseEnd() - c.now).Milliseconds())
	}
	delay := min(pollRetryDelay<<min(up.failedPolls-1, 6), maxPollRetryDelay)
	up.nextPoll = c.now + delay
}

// handleReplaced handles the response of another upstream at an upstream's address, which proves that the expected one
// has terminated.
func (c *Core) handleReplaced(up *upstream) {
	c.Log("another upstream answers at the address", "upstream", up.ID, "address", up.Address)
	c.markTerminated(up, "another upstream is at its address")
}

// markTerminated records that an upstream definitely runs nothing any more, and requeues its runs.
func (c *Core) markTerminated(up *upstream, reason string) {
	c.noteLoss(up, true)
	c.loseAllRuns(up, reason)
	c.countUnseenCrash(up)
	up.terminated, up.reconciled, up.listed = true, true, false
}

// handleEnds processes the ends that have not been handled before, in order.
func (c *Core) handleEnds(up *upstream, ends []platform.EndedRun) {
	for _, end := range ends {
		if end.Seq <= up.lastHandledEnd {
			continue
		}
		up.lastHandledEnd = end.Seq
		batch := c.lastBatch // a batch that is being stored may contain the record that covers the end
		isKnown := up.runs.get(end.Task) != nil
		if c.handleEnd(up, end) {
			batch = c.lastBatch + 1
		}
		if !isKnown {
			c.foundBatch = max(c.foundBatch, batch)
		}
		up.pendingAcks = append(up.pendingAcks, pendingAck{end.Seq, batch})
	}
	up.advanceAck(c.durableBatch)
}

// handleRunning compares an upstream's running list with the known runs. Runs that are not listed are left alone while
// there may be more ends.
func (c *Core) handleRunning(up *upstream, running []platform.CurrentRun, poll Poll) {
	up.unknownRuns = 0
	for _, row := range running {
		r := up.runs.get(row.Task)
		if r == nil || r.attempt != row.Attempt {
			r = c.adopt(up, row)
		}
		if r == nil {
			continue
		}
		r.updateFromList(c, row, poll.seq)
	}
	if up.moreEnds {
		return
	}
	for _, r := range up.runs.all() {
		switch {
		case r.lastListed == poll.seq || r.state == runPlanned:
		case r.isBarred(poll.Request.Token):
			c.handleNeverBegun(r)
		case r.pollSeqAtReturn < poll.seq:
			c.handleUnlisted(r)
		}
	}
}
