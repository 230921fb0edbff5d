package schedule

import (
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

// upstream is what the owner knows of one upstream.
type upstream struct {
	platform.Upstream
	rack    string
	listed  bool // its entry is in the store
	gone    bool // it is known to run nothing any more; kept until its runs are settled
	stored  bool // it is in the stored roster, so that a later owner will look for what it runs
	fenced  bool // it has been looked at under this owner's token
	settled bool // what an earlier owner may have started there is known, or has ended

	cordoned bool // kept free for its machine's upkeep or move
	probe    bool // to be looked at though nothing runs there

	// clockMS was read at clockAt. The clock has advanced by the time that has passed since, or up to 2% less.
	clockMS     int64
	clockAt     time.Duration
	maxDeadline int64 // latest lease deadline in any order that may have reached it

	looking     bool
	lookSeq     uint64 // of the last look that was asked for
	answeredSeq uint64 // of the last look that was answered
	nextLook    time.Duration
	failedLooks int
	heardAt     time.Duration // of the last answer to a look

	endSeen uint64 // highest end that has been handled
	acked   uint64 // highest end that may be acknowledged
	ackSent uint64 // highest acknowledgement that was answered
	ends    []pendingAck

	runs *ordered[job.TaskID, *run]
	used job.Resources
	// foreign is the number of runs of unknown jobs that the last look listed. They take room that is not known.
	foreign int
	// demand is the processor request of all runs, the filling ones included.
	demand   int64
	health   health
	paceHold time.Duration
}

// pendingAck is an end that may be acknowledged once a round is stored.
type pendingAck struct {
	seq   uint64
	round uint64
}

func (u *upstream) target() platform.Target { return platform.Target{ID: u.ID, Address: u.Address} }

func (u *upstream) room() job.Resources { return u.Capacity.Sub(u.used) }

// clockNow returns a time that the upstream's clock has reached, however slow it runs.
func (u *upstream) clockNow(now time.Duration) int64 {
	return u.clockMS + int64(slowestClock*float64((now-u.clockAt).Milliseconds()))
}

// readClock notes the upstream's clock from an answer; 0 stands for none.
func (u *upstream) readClock(clockMS int64, now time.Duration) {
	if clockMS > u.clockMS {
		u.clockMS, u.clockAt = clockMS, now
	}
}

// leaseEnd returns the time by which everything on the upstream has lapsed, whichever orders reached it.
func (u *upstream) leaseEnd() time.Duration {
	if !u.fenced {
		return 0
	}
	left := float64(max(u.maxDeadline-u.clockMS, 0)) / slowestClock
	return u.clockAt + time.Duration(left*float64(time.Millisecond)) + leaseSlack
}

func (u *upstream) advanceAck(durable uint64) {
	for len(u.ends) > 0 && u.ends[0].round <= durable {
		u.acked = u.ends[0].seq
		u.ends = u.ends[1:]
	}
}

// SetUpstream takes over an upstream's entry in the store.
func (c *Core) SetUpstream(entry platform.Upstream) {
	up := c.upstreams.get(entry.ID)
	if up != nil && up.gone && entry.Born <= up.Born && up.Address == entry.Address {
		return // the entry outlives the upstream
	}
	if up != nil && (up.Address != entry.Address || up.Pool != entry.Pool) {
		c.lose(up, "its entry names another address or pool")
		c.remove(up)
		up = nil
	}
	if up == nil {
		up = &upstream{Upstream: entry, runs: newOrdered[job.TaskID, *run]()}
		c.upstreams.set(entry.ID, up)
		c.pool(entry.Pool).upstreams.set(entry.ID, up)
		c.rosterDirty = true
		c.Log("upstream known", "upstream", entry.ID, "machine", entry.Machine, "labels", entry.Labels, "cpu", entry.Capacity.MilliCPU, "pool", entry.Pool, "zone", entry.Zone, "draining", entry.Draining)
	}
	if up.Born != 0 && entry.Born != 0 && entry.Born > up.Born {
		c.reborn(up, entry.Born)
	}
	if entry.Draining && !up.Draining {
		c.Log("upstream draining", "upstream", entry.ID, "remaining_ms", entry.Remaining.Milliseconds(), "runs", up.runs.len())
	}
	born := max(up.Born, entry.Born)
	up.Upstream = entry
	up.Born = born
	up.rack = platform.RackOf(entry.Labels)
	up.listed = true
	c.noteLife(up)
}

// UnlistUpstream notes that an upstream's entry has gone from the store. Nothing more starts there. What runs there
// is followed until it ends or its lease expires: the upstream may be cut off from the store only.
func (c *Core) UnlistUpstream(id string) {
	up := c.upstreams.get(id)
	if up == nil || !up.listed {
		return
	}
	up.listed = false
	c.Log("upstream has no entry", "upstream", id, "runs", up.runs.len(), "fenced", up.fenced)
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

// Inherit adds an upstream of the roster that an earlier owner stored. It may run that owner's tasks.
func (c *Core) Inherit(entry platform.Upstream) {
	if c.upstreams.get(entry.ID) != nil {
		c.upstreams.get(entry.ID).stored = true
		return
	}
	up := &upstream{Upstream: entry, runs: newOrdered[job.TaskID, *run](), stored: true, rack: platform.RackOf(entry.Labels)}
	c.upstreams.set(entry.ID, up)
	c.pool(entry.Pool).upstreams.set(entry.ID, up)
	c.noteLife(up)
}

// Roster returns the upstreams to be stored, if they have changed since the last call.
func (c *Core) Roster() (roster []platform.Upstream, changed bool) {
	if !c.rosterDirty {
		return nil, false
	}
	c.rosterDirty = false
	for _, up := range c.upstreams.all() {
		roster = append(roster, up.Upstream)
	}
	return roster, true
}

// RosterStored confirms that the upstreams with these IDs are in the stored roster. Tasks may now start there.
func (c *Core) RosterStored(roster []platform.Upstream) {
	for _, entry := range roster {
		if up := c.upstreams.get(entry.ID); up != nil {
			up.stored = true
		}
	}
}

// reborn handles a new life of an upstream under its ID: nothing of before runs, and its counts start anew.
func (c *Core) reborn(up *upstream, born int64) {
	var unsure []*run
	for _, r := range up.runs.all() {
		if r.mayStartYet() {
			unsure = append(unsure, r)
			up.runs.delete(r.id())
		}
	}
	c.lose(up, "it has started anew")
	// A start that is on its way does not tell lives of an upstream apart: the new one may carry it out.
	for _, r := range unsure {
		up.runs.set(r.id(), r)
		c.stop(r, "its upstream has started anew")
	}
	up.Born = born
	up.endSeen, up.acked, up.ackSent, up.ends = 0, 0, 0, nil
	// What this owner has not fenced may have been this new life already when an earlier owner started tasks there.
	up.settled = up.settled || up.fenced
	up.fenced, up.gone, up.cordoned, up.maxDeadline, up.clockMS = false, false, false, 0, 0
	up.nextLook = c.now
	up.health = health{}
}

// lose settles all runs of an upstream that cannot run any more.
func (c *Core) lose(up *upstream, reason string) {
	if up.runs.len() > 0 {
		c.Log("runs lost", "upstream", up.ID, "reason", reason, "runs", up.runs.len(), "failed_looks", up.failedLooks,
			"heard_ms_ago", (c.now - up.heardAt).Milliseconds())
	}
	for _, r := range up.runs.all() {
		c.settle(r)
		c.requeue(r, "upstream lost", r.checkpoint)
	}
}

// remove forgets an upstream without runs.
func (c *Core) remove(up *upstream) {
	c.upstreams.delete(up.ID)
	c.pool(up.Pool).upstreams.delete(up.ID)
	c.rosterDirty = true
	c.Log("upstream forgotten", "upstream", up.ID)
	if !c.isInUse(up.Address) {
		c.calls = append(c.calls, Forget{Address: up.Address})
	}
}

// isInUse reports whether a known upstream has the address.
func (c *Core) isInUse(address string) bool {
	for _, up := range c.upstreams.all() {
		if up.Address == address {
			return true
		}
	}
	return false
}

// expireUpstreams settles what was on upstreams whose lease must have expired.
func (c *Core) expireUpstreams() {
	for _, up := range c.upstreams.all() {
		if !up.settled && c.now > c.Claimed+c.inheritedLease() {
			up.settled = true
			c.Log("lease of an earlier owner is over", "upstream", up.ID)
		}
		if up.failedLooks > 0 && up.fenced && up.runs.len() > 0 && c.now > up.leaseEnd() {
			c.lose(up, "its lease has expired")
		}
		if !up.listed && up.settled && up.stored && up.runs.len() == 0 && (up.gone || up.failedLooks > 0 || up.isQuiet()) {
			c.remove(up)
		}
	}
}

// isQuiet reports whether an upstream without runs of known jobs has none of others, no end to be acknowledged and no look
// under way. Nothing can start there: this owner starts nothing, and earlier owners are fenced off.
func (u *upstream) isQuiet() bool {
	return u.fenced && !u.looking && u.foreign == 0 && u.acked <= u.ackSent
}

// inheritedLease returns how long after the claim an earlier owner's runs may go on unseen.
func (c *Core) inheritedLease() time.Duration {
	return time.Duration(float64(c.Lease)/slowestClock) + ownerLookMargin
}

// look asks for the lists of the upstreams where something may have changed.
func (c *Core) look() {
	for _, up := range c.upstreams.all() {
		if up.looking || up.gone || c.now < up.nextLook || !c.needsLook(up) {
			continue
		}
		up.looking = true
		up.lookSeq++
		order := platform.LookOrder{Token: c.Token, AckedSeq: up.acked}
		// An upstream that does not answer keeps its lease as it is: what runs there has to end at a known time.
		if up.runs.len() > 0 && up.fenced && up.failedLooks == 0 {
			order.DeadlineMS = c.extendLease(up)
			order.Wait = lookWait
			if up.acked > up.ackSent {
				order.Wait = lookWait / 2
			}
		}
		c.stats.Looks++
		c.calls = append(c.calls, Look{Target: up.target(), Order: order, seq: up.lookSeq})
	}
}

func (c *Core) needsLook(up *upstream) bool {
	switch {
	case !up.fenced:
		return up.listed || up.stored
	case up.runs.len() > 0 || up.foreign > 0 || up.probe:
		return true
	case up.failedLooks > 0 && up.listed:
		return true // until it answers it is not used
	}
	return up.acked > up.ackSent
}

// extendLease returns the deadline of a lease that begins now, on the upstream's clock.
func (c *Core) extendLease(up *upstream) int64 {
	deadline := up.clockNow(c.now) + c.Lease.Milliseconds()
	up.maxDeadline = max(up.maxDeadline, deadline)
	return deadline
}

// Looked handles the answer to a Look.
func (c *Core) Looked(look Look, lists platform.Lists, err error) {
	up := c.upstreams.get(look.Target.ID)
	if up == nil || up.Address != look.Target.Address || look.seq != up.lookSeq {
		return
	}
	up.looking = false
	if err != nil {
		c.lookFailed(up, err)
		return
	}
	if up.failedLooks > 0 {
		c.Log("upstream answers again", "upstream", up.ID, "failed_looks", up.failedLooks)
	}
	up.failedLooks, up.heardAt, up.nextLook = 0, c.now, c.now+lookGap
	up.answeredSeq = look.seq
	if lists.Born != 0 && up.Born != 0 && lists.Born < up.Born {
		return // a late answer of an earlier life
	}
	if lists.Born != 0 && up.Born != 0 && lists.Born > up.Born {
		c.reborn(up, lists.Born)
	}
	if lists.Born != 0 {
		up.Born = lists.Born
	}
	if lists.Skipped > 0 {
		c.Log("unreadable rows in an upstream's lists", "upstream", up.ID, "rows", lists.Skipped)
	}
	first := !up.fenced
	up.fenced, up.settled = true, true
	up.readClock(lists.ClockMS, c.now)
	up.ackSent = max(up.ackSent, look.Order.AckedSeq)
	c.handleEnds(up, lists.Ended)
	c.handleRunning(up, lists.Running, look.seq)
	if first {
		c.Log("upstream fenced", "upstream", up.ID, "token", c.Token, "born", up.Born, "running", len(lists.Running),
			"ended", len(lists.Ended))
	}
}

func (c *Core) lookFailed(up *upstream, err error) {
	var refused *platform.RefusedError
	if errors.As(err, &refused) {
		switch refused.Reason {
		case platform.RefusedFence:
			c.superseded = true
			c.Log("superseded by another owner", "upstream", up.ID, "token", c.Token)
			return
		case platform.RefusedOtherLife:
			c.replaced(up)
			return
		}
	}
	up.failedLooks++
	if up.failedLooks == 1 {
		c.Log("upstream does not answer", "upstream", up.ID, "error", err.Error(), "runs", up.runs.len(),
			"lease_left_ms", (up.leaseEnd() - c.now).Milliseconds())
	}
	pause := min(lookRetry<<min(up.failedLooks-1, 6), lookRetryMax)
	up.nextLook = c.now + pause
}

// replaced handles the proof that another upstream is at an upstream's address.
func (c *Core) replaced(up *upstream) {
	c.Log("another upstream is at the address", "upstream", up.ID, "address", up.Address)
	c.markGone(up, "another upstream is at its address")
}

// markGone handles the proof that an upstream runs nothing any more.
func (c *Core) markGone(up *upstream, reason string) {
	c.lose(up, reason)
	up.gone, up.settled, up.listed = true, true, false
}

// handleEnds processes the ends that were not handled before, in order.
func (c *Core) handleEnds(up *upstream, ends []platform.Ended) {
	for _, end := range ends {
		if end.Seq <= up.endSeen {
			continue
		}
		up.endSeen = end.Seq
		round := c.round // a round on its way may hold the record that the end belongs to
		if c.ended(up, end) {
			round = c.round + 1
		}
		up.ends = append(up.ends, pendingAck{end.Seq, round})
	}
	up.advanceAck(c.durable)
}

// handleRunning compares an upstream's list with what the core knows.
func (c *Core) handleRunning(up *upstream, running []platform.Running, seq uint64) {
	up.foreign = 0
	for _, row := range running {
		r := up.runs.get(row.Task)
		if r == nil || r.attempt != row.Attempt {
			r = c.adopt(up, row)
		}
		if r == nil {
			continue
		}
		r.seen(c, row, seq)
	}
	for _, r := range up.runs.all() {
		if r.seenAt == seq || r.asked >= seq || r.state == runPlanned {
			continue
		}
		c.vanished(r)
	}
}
