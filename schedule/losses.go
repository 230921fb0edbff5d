package schedule

import (
	"slices"
	"time"

	"citrongauge.example/citrongauge/job"
)

// What the loss of an upstream says about the tasks that ran there. It is evidence against them only if the upstream
// crashed, and by itself: an upstream that was only cut off did not crash, and several that are lost together have a cause
// in common. As the others may be found lost a little later, or live on, each loss is judged after verdictDelay.

const (
	// verdictDelay is the time from the loss of an upstream until it is judged: a poll of the others of its rack takes less.
	verdictDelay = time.Second
	// lossMemory is how long a loss is remembered, in case that the upstream was only cut off.
	lossMemory = time.Minute
	// togetherSlack is how much later than an upstream has ended its last response may arrive.
	togetherSlack = 20 * time.Millisecond
	// clearlyLost bounds the time in which an upstream of another rack was lost, so that it counts as lost together.
	clearlyLost = 3 * time.Second
	// manyLost is the least number of upstreams that, if they are at least half of the pool, have a cause in common.
	manyLost = 3
	// otherRacks is the number of other racks that have to lose upstreams without suspects for a cause in common.
	otherRacks = 2
)

// loss is an upstream that was lost, or whose entry was removed.
type loss struct {
	upstream  *upstream
	startedMS int64         // of its lost life
	from, to  time.Duration // it was heard last at from and was silent or known to have ended at to
	suspects  []suspectRun
	explained bool // one of its runs could be the cause
	crashed   bool // it has ended, rather than being out of reach
	notedAt   time.Duration
	judgeAt   time.Duration // 0: not to be judged
}

// suspectRun is a run that could be the cause of a loss.
type suspectRun struct {
	part    *part
	index   int
	attempt uint64
}

// noteLoss records that an upstream that this owner followed was lost, and counts it against the tasks whose runs could be
// the cause. An upstream that was expected to go has not crashed.
func (c *Core) noteLoss(up *upstream, crashed bool) {
	c.prepareCharges(up, crashed)
	for _, r := range up.runs.all() {
		c.applyCharge(r)
	}
}

// prepareCharges records the loss of an upstream and marks the runs that could be the cause.
func (c *Core) prepareCharges(up *upstream, crashed bool) {
	if up.Draining || up.cordoned || !up.fenced {
		return
	}
	l, suspects := c.recordLoss(up), up.suspects()
	if crashed && !l.crashed {
		l.crashed, l.judgeAt = true, c.now+verdictDelay
		c.askPeers(l)
	}
	for _, r := range suspects {
		r.charge = &charge{l, len(suspects) == 1, c.followsStart(l, r)}
	}
}

// charge is the loss of an upstream for which a run is to be charged, once it is known that the lost life had the run.
type charge struct {
	loss    *loss
	alone   bool // no other run could have caused it
	evident bool // the upstream had lived on without the run, and was lost at once when the run was started
}

// applyCharge counts the loss of the run's upstream, if there is one to be counted, against the run's task.
func (c *Core) applyCharge(r *run) {
	if r.charge == nil {
		return
	}
	l, alone, evident := r.charge.loss, r.charge.alone, r.charge.evident
	r.charge = nil
	l.suspects = append(l.suspects, suspectRun{r.part, r.index, r.attempt})
	c.suspect(r.part, job.TaskCrash{
		Index: r.index, Attempt: r.attempt, Alone: alone, Unproved: true, Evident: evident,
	}, l.upstream.ID)
}

// followsStart reports whether the upstream had lived on without the run, and was lost at once when the run was started. If it
// was not heard just before, or was silent already, it may have crashed before; if it fell silent later, for another cause. The
// start of a run that this owner did not start is not known.
func (c *Core) followsStart(l *loss, r *run) bool {
	return !r.adopted && (l.isAtOnceAfter(r.started) || l.isAtOnceAfter(r.sentAt)) && c.hasLived(r.up, r.task(), r.started)
}

// isAtOnceAfter reports whether the upstream was heard just before or after a call was sent, and fell silent at once.
func (l *loss) isAtOnceAfter(sent time.Duration) bool {
	return l.from >= sent-atOnce && l.to >= sent && l.to <= sent+atOnce
}

// noteUnlisted records that an upstream has lost its entry. A lease that has expired was then that of a crash.
func (c *Core) noteUnlisted(up *upstream) {
	switch l := c.lossOf(up); {
	case l != nil:
		c.noteLoss(up, true)
	case up.fenced && !up.Draining && !up.cordoned:
		c.recordLoss(up)
	}
}

// recordLoss returns the record of the upstream's loss, which it adds if there is none.
func (c *Core) recordLoss(up *upstream) *loss {
	l := c.lossOf(up)
	if l == nil {
		l = &loss{upstream: up, startedMS: up.StartedMS, from: up.heardAt(), to: up.silentBy(c.now), notedAt: c.now}
		l.explained = len(up.suspects()) > 0
		c.losses = append(c.losses, l)
	}
	return l
}

// awaitedVerdicts returns the number of losses of a task that are still to be judged.
func (c *Core) awaitedVerdicts(p *part, index int) int {
	n := 0
	for _, l := range c.losses {
		if l.judgeAt > 0 && slices.ContainsFunc(l.suspects, func(s suspectRun) bool { return s.part == p && s.index == index }) {
			n++
		}
	}
	return n
}

// lossOf returns the recorded loss of the upstream's life, or nil.
func (c *Core) lossOf(up *upstream) *loss {
	for _, l := range c.losses {
		if l.isOfLife(up) {
			return l
		}
	}
	return nil
}

// isOfLife reports whether the loss is that of the upstream's incarnation.
func (l *loss) isOfLife(up *upstream) bool {
	return l.upstream.ID == up.ID && l.startedMS == up.StartedMS
}

// heardAt returns when the upstream was last known to live.
func (u *upstream) heardAt() time.Duration { return max(u.lastResponseAt, u.clock.readAt) }

// noteUnanswered records that a call to the upstream was not answered.
func (u *upstream) noteUnanswered(now time.Duration) {
	if u.silentSince <= u.heardAt() {
		u.silentSince = now
	}
}

// silentBy returns since when the upstream does not answer; now if it was not asked in vain.
func (u *upstream) silentBy(now time.Duration) time.Duration {
	if u.silentSince > u.heardAt() {
		return u.silentSince
	}
	return now
}

// suspects returns the runs on the upstream that could have crashed it and were not counted yet. A start whose response is
// still awaited is not known to have arrived.
func (u *upstream) suspects() []*run {
	var suspects []*run
	for _, r := range u.runs.all() {
		if r.inProbation() && (r.begunMS != 0 || r.lostStarts > 0) && !r.part.isCounted(r.index, r.attempt) {
			suspects = append(suspects, r)
		}
	}
	return suspects
}

// askPeers has the other upstreams near a lost one polled, whether or not they have runs.
func (c *Core) askPeers(l *loss) {
	for _, other := range c.upstreams.all() {
		if other.isNear(l.upstream) {
			other.askedAt = c.now
		}
	}
}

// isNear reports whether both upstreams are in the same rack, whichever their pools are.
func (u *upstream) isNear(other *upstream) bool {
	return u.ID != other.ID && u.place() == other.place()
}

// judgeLosses judges the losses that are due and forgets old ones.
func (c *Core) judgeLosses() {
	for _, l := range c.losses {
		if l.judgeAt > 0 && c.now >= l.judgeAt {
			l.judgeAt = 0
			c.judge(l)
		}
	}
	for len(c.losses) > 0 && c.now > c.losses[0].notedAt+lossMemory {
		c.losses = c.losses[1:]
	}
}

// judge makes a loss evidence against its suspects unless it has a cause in common with others.
func (c *Core) judge(l *loss) {
	if len(l.suspects) == 0 {
		return
	}
	if cause := c.commonCause(l); cause != "" {
		c.Log("loss without evidence", "upstream", l.upstream.ID, "reason", cause, "suspects", len(l.suspects))
		return
	}
	for _, s := range l.suspects {
		c.setProved(s, true)
	}
}

// commonCause returns why the loss had a cause in common with those of other upstreams; "": it had not.
func (c *Core) commonCause(l *loss) string {
	gone, goneOfPool := map[string]bool{l.upstream.ID: true}, map[string]bool{l.upstream.ID: true}
	near, racks := 0, map[string]bool{}
	for _, other := range c.lostTogether(l) {
		gone[other.upstream.ID] = true
		if other.upstream.Pool == l.upstream.Pool {
			goneOfPool[other.upstream.ID] = true
		}
		switch {
		case other.upstream.isNear(l.upstream) && !other.explained:
			return "another upstream of its rack was lost, too, without a suspect"
		case other.upstream.isNear(l.upstream):
			near++
		case !other.explained && other.to-other.from <= clearlyLost:
			racks[other.upstream.place()] = true
		}
	}
	livingNear, livingOfPool := c.livingOn(l, gone)
	switch {
	case near > 0 && livingNear == 0:
		return "its whole rack was lost"
	case len(racks) >= otherRacks:
		return "upstreams of other racks were lost, too, without suspects"
	case len(goneOfPool) >= max(manyLost, livingOfPool):
		return "half of the pool was lost"
	}
	return ""
}

// lostTogether returns the other upstreams of the rack and of the pool that were lost, or fell silent, at about the same time.
func (c *Core) lostTogether(l *loss) []*loss {
	var lost []*loss
	for _, other := range c.losses {
		if l.isComparable(other.upstream) && l.isTogetherWith(other) {
			lost = append(lost, other)
		}
	}
	for _, up := range c.upstreams.all() {
		if !l.isComparable(up) || !up.fenced || up.failedPolls == 0 || up.Draining || up.cordoned || c.lossOf(up) != nil {
			continue
		}
		other := &loss{upstream: up, from: up.heardAt(), to: up.silentBy(c.now), explained: len(up.suspects()) > 0}
		if l.isTogetherWith(other) {
			lost = append(lost, other)
		}
	}
	return lost
}

// isComparable reports whether another upstream may show a cause of the loss: it is of the same rack or of the same pool.
func (l *loss) isComparable(up *upstream) bool {
	return up.ID != l.upstream.ID && (up.Pool == l.upstream.Pool || up.isNear(l.upstream))
}

func (l *loss) isTogetherWith(other *loss) bool {
	return l.from <= other.to+togetherSlack && other.from <= l.to+togetherSlack
}

// livingOn returns the number of upstreams of the lost one's rack that have lived on, and of those of its pool that answer
// and are not gone.
func (c *Core) livingOn(l *loss, gone map[string]bool) (near, ofPool int) {
	for _, up := range c.upstreams.all() {
		if gone[up.ID] || !up.fenced || up.failedPolls > 0 {
			continue
		}
		if up.Pool == l.upstream.Pool {
			ofPool++
		}
		if up.isNear(l.upstream) && up.fencedAt <= l.to && up.lastResponseAt >= l.to {
			near++
		}
	}
	return near, ofPool
}

// noteAlive withdraws the loss of an upstream that answers, or has an entry again, in the same life: it was only cut
// off.
func (c *Core) noteAlive(up *upstream) {
	if len(c.losses) == 0 {
		return
	}
	l := c.lossOf(up)
	if l == nil || up.terminated {
		return
	}
	l.judgeAt = 0
	for _, s := range l.suspects {
		c.setProved(s, false)
	}
	c.forgetLoss(l)
}

func (c *Core) forgetLoss(l *loss) {
	for i, other := range c.losses {
		if other == l {
			c.losses = append(c.losses[:i:i], c.losses[i+1:]...)
			return
		}
	}
}

// setProved makes a counted loss evidence against its task, or withdraws it as such.
func (c *Core) setProved(s suspectRun, proved bool) {
	crashes := s.part.progress.Crashes
	for i := range crashes {
		if crashes[i].Index != s.index || crashes[i].Attempt != s.attempt || crashes[i].Unproved == !proved {
			continue
		}
		crashes[i].Unproved = !proved
		s.part.countCrashes(s.index)
		c.markDirty(s.part.job)
		c.endIfGivenUp(s.part, s.index)
	}
}
