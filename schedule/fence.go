package schedule

import "time"

// An upstream that starts anew under its ID takes calls that were meant for its life before, and a call without an answer may be carried
// out seconds later, by whichever life is there then. But it does nothing for a lower fencing token than the highest that it has seen. So
// a poll with a higher token than all calls that were sent there before bars these: what the response does not list cannot begin there any
// more, and none of them ends a run, acknowledges an end or extends a lease. Each life that follows a restart is isolated like this
// before tasks are started there, and a start that gets no answer is barred rather than stopped, since a stop ends the run if the start was
// carried out.
//
// Any revision at which this owner has stored something is a token of its own: a write succeeds only while the ownership lasts, so that the
// revision of the next claim, the first token of the next owner, is higher.

// maxLateness is the longest time after which a call without an answer is still carried out; the protocol says seconds.
const maxLateness = 30 * time.Second

// SetNewestWrite records the revision of a confirmed write of this owner.
func (c *Core) SetNewestWrite(revision uint64) { c.newestToken = max(c.newestToken, revision) }

// bar requests that all calls sent to the upstream so far are barred. If nothing was stored since its last token, its roster record is
// stored again.
func (c *Core) bar(up *upstream) {
	up.barUpTo, up.nextPoll = up.token, c.now
	if !c.hasHigherToken(up) {
		c.roster.set(up.ID, up)
	}
}

// hasHigherToken reports whether there is a higher token than that of all calls sent to the upstream.
func (c *Core) hasHigherToken(up *upstream) bool { return c.newestToken > up.token }

// awaitsBar reports whether calls are to be barred, and a poll can do it.
func (c *Core) awaitsBar(up *upstream) bool {
	return up.barUpTo > 0 && (up.token > up.barUpTo || c.hasHigherToken(up))
}

// raiseToken has the next poll bar the calls that are to be barred.
func (c *Core) raiseToken(up *upstream) {
	if up.barUpTo == up.token {
		up.token = max(up.token, c.newestToken)
	}
}

// noteBarred records that the known life has answered a poll with the given token, so that it carries out no call with a lower one. Its
// clock is in the response.
func (c *Core) noteBarred(up *upstream, token uint64, clockMS int64) {
	up.barredBelow = max(up.barredBelow, token)
	if up.barUpTo == 0 || token <= up.barUpTo {
		return
	}
	up.barUpTo = 0
	if !up.isolated {
		up.isolated = true
		c.allowForLostCalls(up, clockMS)
		c.Log("upstream isolated from calls to earlier lives", "upstream", up.ID, "born", up.StartedMS, "token", token,
			"restarted_ms_ago", c.msSince(up.restartedAt))
	}
}

// noteLost records the lease deadline in a call without an answer; 0: it has none.
func (c *Core) noteLost(up *upstream, deadlineMS int64) {
	if deadlineMS > 0 {
		up.lostDeadline, up.lostAt = max(up.lostDeadline, deadlineMS), c.now
	}
}

// allowForLostCalls allows for the lease that the known life may have been granted, before it was isolated, by calls to the earlier one
// that got no answer.
func (c *Core) allowForLostCalls(up *upstream, clockMS int64) {
	left := min(time.Duration(up.lostDeadline-clockMS)*time.Millisecond, c.Bounds.MaxLease)
	up.lostDeadline = 0
	if left > 0 && c.now < up.lostAt+maxLateness {
		c.allowForLateLease(up, left)
	}
}

// allowForLateLease allows for a lease that lasts for the given time from now on, by the upstream's clock.
func (c *Core) allowForLateLease(up *upstream, left time.Duration) {
	up.lateLeaseEnd = max(up.lateLeaseEnd, c.now+time.Duration(float64(left)/minClockRate)+leaseSlack)
	c.noteLongLease(up)
}

// allowForEarlierOwner allows for the lease that a life which the earlier owner's roster lacks may have been granted, before this owner has
// fenced it, by that owner's calls to the life before.
func (c *Core) allowForEarlierOwner(up *upstream) { c.allowForLateLease(up, c.Bounds.MaxLease) }

// isBarred reports whether no copy of the run's start can be carried out by an upstream that has seen the token.
func (r *run) isBarred(token uint64) bool { return r.startToken < token }

// barStart requests that the copies of a run's start are barred that got no answer. A poll then shows whether the run has begun.
func (c *Core) barStart(r *run) {
	if r.up.barUpTo < r.startToken {
		c.Log("start barred", "job", r.part.job.ID, "task", r.id().String(), "attempt", r.attempt, "upstream", r.up.ID,
			"copies_without_answer", r.lostStarts, "sent_ms_ago", c.msSince(r.sentAt))
		c.bar(r.up)
	}
}

// isOwnFence reports whether the upstream rejected a call because it has seen a higher token of this owner.
func (u *upstream) isOwnFence(token uint64) bool { return token < u.token }
