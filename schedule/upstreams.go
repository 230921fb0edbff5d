package schedule

import (
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

// upstream is the owner's view of one upstream.
type upstream struct {
	platform.Upstream
	rack       string
	listed     bool // it has an entry in the store
	terminated bool // it definitely runs nothing any more; kept until its runs are detached
	stored     bool // it is in the stored roster, so that a later owner polls it for runs
	// contradiction is the last entry under its ID that cannot be its own; nil: its own is newer. It is applied when this
	// upstream is removed.
	contradiction *platform.Upstream
	// storedStartMS is its StartedMS in the stored roster.
	storedStartMS int64
	inherited     bool // from an earlier owner's roster and not reached yet
	fenced        bool // it has answered a poll with this owner's token
	reconciled    bool // the runs that an earlier owner may have started there are known or have ended

	cordoned     bool // excluded from placement because of its machine's upkeep or move
	released     bool // excluded from placement so that its machine can move to another pool
	pollWhenIdle bool // poll it although it has no runs
	addedAt      time.Duration

	// clockMS is the upstream's clock as read at clockAt. Since then it has advanced by the elapsed time or by up to
	// 2% less.
	clockMS     int64
	clockAt     time.Duration
	maxDeadline int64 // latest lease deadline in any command that may have reached the upstream
	// minLeaseEnd is the earliest time by which the lease can be known to have expired, whatever maxDeadline is.
	minLeaseEnd time.Duration

	polling        bool
	pollExtends    bool   // the poll in flight extends the lease
	fencing        bool   // the poll in flight is counted in Core.fencing
	pollSeq        uint64 // of the last poll that was sent
	answeredSeq    uint64 // of the last poll that was answered
	nextPoll       time.Duration
	failedPolls    int
	lastResponseAt time.Duration // time of the last response to a poll

	lastHandledEnd uint64 // sequence number of the last end that was handled
	moreEnds       bool   // the last response may not have listed all ends
	ackable        uint64 // highest end that may be acknowledged
	ackConfirmed   uint64 // highest end whose acknowledgement was answered
	pendingAcks    []pendingAck

	runs *orderedMap[job.TaskID, *run]
	used job.Resources
	// unknownRuns is the number of runs of unknown jobs in the last response to a poll. The capacity that they take is
	// not known.
	unknownRuns int
	// requestedCPU is the processor request of all runs, including best-effort ones.
	requestedCPU   int64
	health         health
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

// estimateClock returns a lower bound of the upstream's current clock.
func (u *upstream) estimateClock(now time.Duration) int64 {
	return u.clockMS + int64(minClockRate*float64((now-u.clockAt).Milliseconds()))
}

// readClock records the upstream's clock from a response; 0 means that the response had none.
func (u *upstream) readClock(clockMS int64, now time.Duration) {
	if clockMS > u.clockMS {
		u.clockMS, u.clockAt = clockMS, now
	}
}

// leaseEnd returns the time by which the lease of all runs on the upstream has expired, whichever commands have
// reached it.
func (u *upstream) leaseEnd() time.Duration {
	if !u.fenced {
		return 0
	}
	left := float64(max(u.maxDeadline-u.clockMS, 0)) / minClockRate
	return max(u.clockAt+time.Duration(left*float64(time.Millisecond))+leaseSlack, u.minLeaseEnd)
}

// advanceAck allows the acknowledgement of the ends whose batches are stored; durable is the last stored batch.
func (u *upstream) advanceAck(durable uint64) {
	for len(u.pendingAcks) > 0 && u.pendingAcks[0].batch <= durable {
		u.ackable = u.pendingAcks[0].seq
		u.pendingAcks = u.pendingAcks[1:]
	}
}

// SetUpstream applies an upstream's entry in the store.
func (c *Core) SetUpstream(entry platform.Upstream) {
	up := c.upstreams.get(entry.ID)
	if up != nil && up.terminated && entry.StartedMS <= up.StartedMS && up.Address == entry.Address {
		return // a stale entry of an upstream that has terminated
	}
	if up != nil && (up.Address != entry.Address || up.Pool != entry.Pool) {
		if !c.isNewIncarnation(up, entry) {
			c.Log("entry contradicts its upstream", "upstream", entry.ID, "pool", entry.Pool, "address", entry.Address,
				"born", entry.StartedMS, "known_pool", up.Pool, "known_address", up.Address, "known_born", up.StartedMS)
			c.UnlistUpstream(entry.ID)
			up.contradiction = &entry
			return
		}
		up.contradiction = nil
		c.loseRuns(up, "its entry names another address or pool")
		c.removeUpstream(up)
		up = nil
	}
	if up == nil {
		up = &upstream{Upstream: entry, storedStartMS: entry.StartedMS, addedAt: c.now, runs: newOrderedMap[job.TaskID, *run]()}
		up.cordoned = c.mayEndByCommand(up)
		c.upstreams.set(entry.ID, up)
		c.pool(entry.Pool).addUpstream(up)
		c.roster.set(up.ID, up)
		c.Log("upstream added", "upstream", entry.ID, "machine", entry.Machine, "labels", entry.Labels, "cpu", entry.Capacity.MilliCPU, "pool", entry.Pool, "zone", entry.Zone, "draining", entry.Draining, "cordoned", up.cordoned)
	}
	if up.StartedMS != 0 && entry.StartedMS != 0 && entry.StartedMS > up.StartedMS {
		c.handleRestart(up, entry.StartedMS)
	}
	if entry.Draining && !up.Draining {
		c.Log("upstream draining", "upstream", entry.ID, "remaining_ms", entry.DrainRemaining.Milliseconds(), "runs", up.runs.len())
	}
	startedMS := max(up.StartedMS, entry.StartedMS)
	up.Upstream = entry
	up.StartedMS = startedMS
	up.rack = platform.RackOf(entry.Labels)
	up.listed, up.contradiction = true, nil
	c.noteNewestUpstream(up)
}

// isNewIncarnation reports whether an entry with another address or pool can be the upstream's own: it has started since,
// in a pool of the configuration. Otherwise another program has written the entry, and the upstream may work on.
func (c *Core) isNewIncarnation(up *upstream, entry platform.Upstream) bool {
	return entry.StartedMS > up.StartedMS && (!c.bundleSet || c.isConfigured(entry.Pool))
}

// isConfigured reports whether the current bundle has the pool.
func (c *Core) isConfigured(pool string) bool {
	if _, ok := c.spare[pool]; ok {
		return true
	}
	for _, queue := range c.queues {
		if queue.Pool == pool {
			return true
		}
	}
	return false
}

// UnlistUpstream records that an upstream's entry was removed from the store. No task starts there any more. Its runs
// are followed until they end or its lease expires, because the upstream may only be partitioned from the store.
func (c *Core) UnlistUpstream(id string) {
	up := c.upstreams.get(id)
	if up == nil {
		return
	}
	up.contradiction = nil
	if !up.listed {
		return
	}
	up.listed = false
	c.Log("entry of upstream removed from the store", "upstream", id, "runs", up.runs.len(), "fenced", up.fenced)
}

// ListedUpstreams returns the IDs of the upstreams that have an entry in the store.
func (c *Core) ListedUpstreams() []string {
	var ids []string
	for id, up := range c.upstreams.all() {
		if up.listed {
			ids = append(ids, id)
		}
	}
	return ids
}

// InheritUpstream adds an upstream from the roster that an earlier owner stored. It may be running that owner's tasks.
func (c *Core) InheritUpstream(entry platform.Upstream) {
	if c.upstreams.get(entry.ID) != nil {
		c.upstreams.get(entry.ID).stored = true
		return
	}
	up := &upstream{
		Upstream: entry, runs: newOrderedMap[job.TaskID, *run](), stored: true, rack: platform.RackOf(entry.Labels),
		inherited: true, storedStartMS: entry.StartedMS,
	}
	c.upstreams.set(entry.ID, up)
	c.pool(entry.Pool).addUpstream(up)
	c.noteNewestUpstream(up)
}

// InheritOldUpstream adds an upstream as InheritUpstream does, and has it stored again.
func (c *Core) InheritOldUpstream(entry platform.Upstream) {
	c.InheritUpstream(entry)
	c.roster.set(entry.ID, c.upstreams.get(entry.ID))
}

// RosterChange is a change of the roster, the stored set of upstreams on which tasks may run.
type RosterChange struct {
	Added   []platform.Upstream
	Removed []string // IDs
}

// IsEmpty reports whether the change has no effect.
func (r RosterChange) IsEmpty() bool { return len(r.Added) == 0 && len(r.Removed) == 0 }

// TakeRosterChange returns the change of the roster since the last call.
func (c *Core) TakeRosterChange() RosterChange {
	var change RosterChange
	for id, up := range c.roster.all() {
		if up == nil {
			change.Removed = append(change.Removed, id)
		} else {
			change.Added = append(change.Added, up.Upstream)
		}
		c.roster.delete(id)
	}
	return change
}

// RosterStored confirms that a change of the roster is stored. Tasks may now start on the added upstreams.
func (c *Core) RosterStored(change RosterChange) {
	for _, entry := range change.Added {
		if up := c.upstreams.get(entry.ID); up != nil {
			up.stored = true
		}
	}
}

// handleRestart handles the restart of an upstream under the same ID: its earlier runs have ended, and the sequence
// numbers of its ends begin again.
func (c *Core) handleRestart(up *upstream, startedMS int64) {
	c.countCrash(up)
	c.allowForStaleDeadline(up)
	var mayStart []*run
	for _, r := range up.runs.all() {
		if r.mayStillStart() {
			mayStart = append(mayStart, r)
			up.runs.delete(r.id())
		}
	}
	c.loseRuns(up, "it has started anew")
	// A start does not say for which incarnation of the upstream it is meant, so the new one may carry out a start
	// that is in flight.
	for _, r := range mayStart {
		up.runs.set(r.id(), r)
		c.stopRun(r, "its upstream has started anew")
	}
	up.StartedMS = startedMS
	up.lastHandledEnd, up.ackable, up.ackConfirmed, up.pendingAcks = 0, 0, 0, nil
	// An upstream that this owner has not fenced yet may have restarted before an earlier owner started tasks there.
	up.reconciled = up.reconciled || up.fenced
	up.fenced, up.terminated, up.moreEnds, up.maxDeadline, up.clockMS = false, false, false, 0, 0
	up.cordoned = c.mayEndByCommand(up)
	up.nextPoll = c.now
	up.health = health{}
}

// allowForStaleDeadline allows for a longer lease of an upstream that has started anew if a command with a deadline is in
// flight. The new incarnation may execute it, and the deadline is on the clock of the earlier one.
func (c *Core) allowForStaleDeadline(up *upstream) {
	inFlight := up.polling && up.pollExtends
	for _, r := range up.runs.all() {
		inFlight = inFlight || r.commandInFlight && r.state == runStarting
	}
	if inFlight {
		up.minLeaseEnd = c.now + maxCommandTime + time.Duration(float64(c.Bounds.MaxLease)/minClockRate) + leaseSlack
	}
}

// loseRuns detaches and requeues all runs of an upstream that cannot be running any more.
func (c *Core) loseRuns(up *upstream, reason string) {
	if up.runs.len() > 0 {
		c.Log("runs lost", "upstream", up.ID, "reason", reason, "runs", up.runs.len(), "failed_looks", up.failedPolls,
			"heard_ms_ago", (c.now - up.lastResponseAt).Milliseconds())
	}
	c.countCrash(up)
	for _, r := range up.runs.all() {
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
		if !up.reconciled && !up.isListingEnds() && c.now > c.Claimed+c.inheritedLease() {
			up.reconciled = true
			c.Log("lease of an earlier owner has expired", "upstream", up.ID)
			c.countUnseenCrash(up)
		}
		if up.failedPolls > 0 && up.fenced && up.runs.len() > 0 && c.now > up.leaseEnd() {
			c.loseRuns(up, "its lease has expired")
		}
		if !up.listed && up.reconciled && up.stored && up.runs.len() == 0 && (up.terminated || up.failedPolls > 0 || up.isIdle()) {
			c.removeUpstream(up)
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

// inheritedLease returns how long after the claim an earlier owner's runs may continue unseen.
func (c *Core) inheritedLease() time.Duration {
	return time.Duration(float64(c.Lease)/minClockRate) + takeoverMargin
}

// pollUpstreams polls the upstreams whose state may have changed.
func (c *Core) pollUpstreams() {
	for _, up := range c.upstreams.all() {
		if up.polling || up.terminated || c.now < up.pollDue() || !c.needsPoll(up) {
			continue
		}
		if !up.fenced {
			if c.fencing >= maxFencing {
				continue
			}
			c.fencing++
			up.fencing = true
		}
		up.polling = true
		up.pollSeq++
		up.pollExtends = false
		request := platform.PollRequest{Token: c.Token, AckedSeq: up.ackable}
		// A poll does not extend the lease of an upstream that does not answer, because its runs have to end at a
		// known time.
		if up.runs.len() > 0 && up.fenced && up.failedPolls == 0 {
			request.DeadlineMS = c.extendLease(up)
			up.pollExtends = true
			request.Wait = maxPollWait
			if up.ackable > up.ackConfirmed {
				request.Wait = maxPollWait / 2
			}
			if up.isHeld(c.now) {
				request.Wait = min(request.Wait, probation)
			}
		}
		c.stats.Polls++
		c.calls = append(c.calls, Poll{Target: up.target(), Request: request, seq: up.pollSeq})
	}
}

// pollDue returns the earliest time of the next poll. An upstream answers a poll at once while it lists ends that are
// not acknowledged, so the next poll waits until they can be acknowledged, but at most for unstoredPollInterval.
func (u *upstream) pollDue() time.Duration {
	if len(u.pendingAcks) > 0 && u.failedPolls == 0 {
		return max(u.nextPoll, u.lastResponseAt+unstoredPollInterval)
	}
	return u.nextPoll
}

func (c *Core) needsPoll(up *upstream) bool {
	switch {
	case !up.fenced:
		return up.listed || up.stored
	case up.runs.len() > 0 || up.unknownRuns > 0 || up.moreEnds || up.pollWhenIdle:
		return true
	case up.failedPolls > 0 && up.listed:
		return true // the upstream is not used until it answers
	}
	return up.ackable > up.ackConfirmed
}

// extendLease returns the deadline, on the upstream's clock, of a lease that starts now.
func (c *Core) extendLease(up *upstream) int64 {
	deadline := up.estimateClock(c.now) + c.Lease.Milliseconds()
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
	if up == nil || up.Address != poll.Target.Address || poll.seq != up.pollSeq {
		return
	}
	up.polling = false
	c.fencingEnded(up)
	if err != nil {
		c.pollFailed(up, err)
		return
	}
	if up.failedPolls > 0 {
		c.Log("upstream answers again", "upstream", up.ID, "failed_looks", up.failedPolls)
	}
	up.failedPolls, up.lastResponseAt, up.nextPoll = 0, c.now, c.now+minPollInterval
	up.answeredSeq = poll.seq
	if result.StartedMS != 0 && up.StartedMS != 0 && result.StartedMS < up.StartedMS {
		return // late response from before a restart
	}
	if result.StartedMS != 0 && up.StartedMS != 0 && result.StartedMS > up.StartedMS {
		c.handleRestart(up, result.StartedMS)
	}
	if result.StartedMS != 0 {
		up.StartedMS = result.StartedMS
	}
	if result.MalformedRows > 0 {
		c.Log("unreadable rows in an upstream's lists", "upstream", up.ID, "rows", result.MalformedRows)
	}
	first := !up.fenced
	if result.MoreEnds && !up.moreEnds {
		c.Log("upstream has more ends than it lists", "upstream", up.ID, "listed", len(result.Ended), "runs", up.runs.len(),
			"reconciled", up.reconciled)
	}
	up.fenced, up.moreEnds = true, result.MoreEnds
	up.reconciled = up.reconciled || !result.MoreEnds
	up.readClock(result.ClockMS, c.now)
	up.ackConfirmed = max(up.ackConfirmed, poll.Request.AckedSeq)
	c.handleEnds(up, result.Ended)
	c.handleRunning(up, result.Running, poll.seq)
	c.noteIncarnation(up)
	if first {
		c.Log("upstream fenced", "upstream", up.ID, "token", c.Token, "born", up.StartedMS, "running", len(result.Running),
			"ended", len(result.Ended))
	}
}

// noteIncarnation compares the incarnation of an upstream that has answered with the one in the stored roster, which it
// updates.
func (c *Core) noteIncarnation(up *upstream) {
	if up.StartedMS > up.storedStartMS {
		c.countUnseenCrash(up)
		up.storedStartMS = up.StartedMS
		c.roster.set(up.ID, up)
	}
	up.inherited = false
}

func (c *Core) pollFailed(up *upstream, err error) {
	var rejected *platform.RejectedError
	if errors.As(err, &rejected) {
		switch rejected.Reason {
		case platform.RejectedFence:
			c.superseded = true
			c.Log("superseded by another owner", "upstream", up.ID, "token", c.Token)
			return
		case platform.RejectedOtherInstance:
			c.handleReplaced(up)
			return
		}
	}
	up.failedPolls++
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
	c.loseRuns(up, reason)
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
		if c.handleEnd(up, end) {
			batch = c.lastBatch + 1
		}
		up.pendingAcks = append(up.pendingAcks, pendingAck{end.Seq, batch})
	}
	up.advanceAck(c.durableBatch)
}

// handleRunning compares an upstream's running list with the known runs. Runs that are not listed are left alone while
// there may be more ends.
func (c *Core) handleRunning(up *upstream, running []platform.CurrentRun, seq uint64) {
	up.unknownRuns = 0
	for _, row := range running {
		r := up.runs.get(row.Task)
		if r == nil || r.attempt != row.Attempt {
			r = c.adopt(up, row)
		}
		if r == nil {
			continue
		}
		r.updateFromList(c, row, seq)
	}
	if up.moreEnds {
		return
	}
	for _, r := range up.runs.all() {
		if r.lastListed == seq || r.pollSeqAtReturn >= seq || r.state == runPlanned {
			continue
		}
		c.handleUnlisted(r)
	}
}
