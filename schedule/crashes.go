package schedule

import (
	"slices"
	"time"

	"citrongauge.example/citrongauge/job"
)

// A task may crash each upstream that starts it, which ends all other runs there. The tasks whose runs were in probation
// at a crash are suspects. A suspect is started apart from other runs in probation, so that the next crash shows which
// task is at fault. A run that outlives its probation clears its task.
//
// An upstream may also crash by itself, again and again. So a suspect is started only on an upstream that has lived on
// without it for some time, longer with each loss, and was heard just before. A crash that follows at once is evidence
// against the task; any other is not, and only delays its next start. Long-running tasks are restarted however they end:
// they are never given up, and wait for an upstream of their own for a short time only.

const (
	// probation is how long an upstream has to work on after a run has begun until a later crash is not put down to the
	// run's task.
	probation = 200 * time.Millisecond
	// isolatedAfter is the number of losses after which a task waits for an upstream without other runs in probation.
	isolatedAfter = 2
	// evidentToGiveUp is the number of losses with evidence against a task after which it is given up if it was alone in
	// probation in aloneToGiveUp of them. At maxEvident it is given up in any case.
	evidentToGiveUp = 3
	aloneToGiveUp   = 2
	maxEvident      = 4
	// baseLife is how long an upstream has to have lived when a task with one loss starts there. It doubles with each
	// further loss, up to maxLife: an upstream that crashes in a loop after some fixed time is then tried only once. So does the
	// wait of a task that has lost maxEvident upstreams.
	baseLife = time.Second
	maxLife  = 4 * time.Second
	// atOnce is the longest time from the last sign of an upstream to the start of a run, and from there to the first call
	// that is not answered, so that the crash is known to have come with the start.
	atOnce = 300 * time.Millisecond
	// maxHold is the longest time for which an upstream is held for a suspect.
	maxHold = 3 * time.Second
)

// suspicion counts the losses of upstreams that a task may have caused.
type suspicion struct {
	losses  int // all
	proved  int // those of upstreams that crashed, without a cause in common with others
	evident int // those of them that are evidence against the task
	alone   int // those of the evident ones that no other run could have caused
}

func (s *suspicion) add(crash job.TaskCrash) {
	s.losses++
	if crash.Unseen || crash.Unproved {
		return
	}
	s.proved++
	if crash.Evident {
		s.addEvident(1, crash.Alone)
	}
}

func (s *suspicion) addEvident(losses int, alone bool) {
	s.evident += losses
	if alone {
		s.alone += losses
	}
}

// isGivenUp reports whether the task has crashed so many upstreams that it is not started again, unless it is long-running.
func (s suspicion) isGivenUp() bool {
	return s.evident >= evidentToGiveUp && s.alone >= aloneToGiveUp || s.evident >= maxEvident
}

// backOff returns how long the task waits at least after a loss. One that has lost more upstreams than it is given up for, without
// evidence, may yet crash each of them.
func (s suspicion) backOff() time.Duration {
	if s.losses < maxEvident {
		return 0
	}
	return min(baseLife<<min(s.losses-maxEvident, 2), maxLife)
}

// isSuspect reports whether the task may have caused the loss of an upstream.
func (t *task) isSuspect() bool { return t.suspicion.losses > 0 }

// needsRack reports whether nothing else may be started in the task's rack: of a loss it is not known whether the task caused
// it, since others were lost at the same time. Tasks that crash their upstreams together would excuse one another.
func (t *task) needsRack() bool {
	return t.suspicion.losses >= isolatedAfter && t.suspicion.proved < t.suspicion.losses
}

// hold closes an upstream to all tasks but one.
type hold struct {
	task  *task
	until time.Duration
	alone bool // nothing else is started in its rack until the run has begun, or has crashed its upstream
}

// place returns where upstreams may be lost together: the rack, or the zone of one without a rack.
func (u *upstream) place() string {
	if u.rack == "" {
		return u.Zone
	}
	return u.rack
}

func (u *upstream) isHeld(now time.Duration) bool { return u.hold.task != nil && now < u.hold.until }

// closesRack reports whether nothing else may be started in the upstream's rack.
func (u *upstream) closesRack(now time.Duration) bool {
	return u.isHeld(now) && u.hold.alone && u.failedPolls == 0 && u.silentSince <= u.heardAt()
}

// isOpen reports whether the upstream and its rack are not held for another task. A long-running task does not wait for racks,
// nor for an upstream once it has waited for starvedAfter.
func (c *Core) isOpen(p *part, t *task, up *upstream) bool {
	if p.step.LongRunning {
		return !up.isHeld(c.now) || up.hold.task == t || p.isStarving(t, c.now)
	}
	holder := c.rackHolders[poolPlace{up.Pool, up.place()}]
	return (!up.isHeld(c.now) || up.hold.task == t) && (holder == nil || holder == t)
}

// poolPlace is a rack of a pool.
type poolPlace struct{ pool, place string }

// findRackHolders finds the tasks for which racks are closed to others.
func (c *Core) findRackHolders() {
	c.rackHolders = nil
	for _, up := range c.upstreams.all() {
		if up.hold.task != nil {
			c.noteRackHolder(up)
		}
	}
}

func (c *Core) noteRackHolder(up *upstream) {
	if !up.closesRack(c.now) {
		return
	}
	if c.rackHolders == nil {
		c.rackHolders = map[poolPlace]*task{}
	}
	c.rackHolders[poolPlace{up.Pool, up.place()}] = up.hold.task
}

// holdFor holds the upstream for a suspect.
func (c *Core) holdFor(t *task, up *upstream) {
	up.hold = hold{t, c.now + maxHold, t.needsRack()}
	c.noteRackHolder(up)
}

// isRackQuiet reports whether no run is in probation on the other upstreams of the rack.
func (c *Core) isRackQuiet(up *upstream) bool {
	return !slices.ContainsFunc(c.pool(up.Pool).byID, func(other *upstream) bool {
		return other.isNear(up) && other.failedPolls == 0 && other.inProbation() > 0
	})
}

// endHold ends the upstream's hold if it is for the task.
func (u *upstream) endHold(t *task) {
	if u.hold.task == t {
		u.hold = hold{}
	}
}

// inProbation reports whether the run could be the cause of a crash of its upstream after the last response. A run whose
// start got no answer could be until a poll that was sent later is answered.
func (r *run) inProbation() bool {
	switch {
	case r.begunMS != 0:
		return r.up.clock.ms-r.begunMS < probation.Milliseconds()
	case r.lostStarts > 0:
		return r.up.answeredSeq <= r.pollSeqAtReturn
	}
	return true
}

// noteBegun records that the run has begun: its start was answered, or it was listed.
func (c *Core) noteBegun(r *run) {
	if r.begunMS == 0 {
		r.begunMS = r.up.clock.ms
	}
	c.noteJobBegun(r.part.job)
}

// inProbation returns the number of runs in probation on the upstream.
func (u *upstream) inProbation() int {
	n := 0
	for _, r := range u.runs.all() {
		if r.inProbation() {
			n++
		}
	}
	return n
}

// clearSuspicion clears the task of a listed run that has outlived its probation.
func (c *Core) clearSuspicion(r *run) {
	t := r.task()
	c.noteBegun(r)
	if !t.isSuspect() || r.inProbation() {
		return
	}
	r.up.endHold(t)
	c.Log("suspicion ended", "task", r.id().String(), "attempt", r.attempt, "upstream", r.up.ID, "losses", t.suspicion.losses)
	r.part.clearCrashes(r.index)
	c.markDirty(r.part.job)
}

// countUnseenCrash counts the loss of an upstream that an earlier owner used against the tasks that it started there and
// that have not been found. Which of them were in probation is not known, so that it is no evidence against them.
func (c *Core) countUnseenCrash(up *upstream) {
	if !up.inherited {
		return
	}
	up.inherited = false
	for _, j := range c.jobs.all() {
		for _, p := range j.parts {
			for i := range p.tasks {
				if t := &p.tasks[i]; j.inherited && t.placedOn == up.ID && len(t.runs) == 0 && !p.isLossCounted(i) {
					c.suspect(p, job.TaskCrash{Index: i, Attempt: c.Generation * attemptsPerOwner, Unseen: true}, up.ID)
				}
			}
		}
	}
}

// suspect counts the loss of an upstream against a task, once for each attempt. A task that may have to be given up waits
// for the verdict.
func (c *Core) suspect(p *part, crash job.TaskCrash, upstream string) {
	t := &p.tasks[crash.Index]
	if t.done || p.job.phase.Terminal() || p.isCounted(crash.Index, crash.Attempt) {
		return
	}
	crash.Unstarted = true
	p.progress.Crashes = append(p.progress.Crashes, crash)
	t.suspicion.add(crash)
	c.markDirty(p.job)
	c.Log("upstream lost under a task", "job", p.job.ID, "task", p.taskID(crash.Index).String(), "attempt", crash.Attempt,
		"upstream", upstream, "unseen", crash.Unseen, "alone", crash.Alone, "evident", crash.Evident,
		"losses", t.suspicion.losses, "proved", t.suspicion.proved, "evidence", t.suspicion.evident)
	if p.step.LongRunning {
		t.apartUntil = c.now + t.suspicion.apartTime()
		return
	}
	t.notBefore = max(t.notBefore, c.now+t.suspicion.backOff())
	worst := t.suspicion
	worst.addEvident(c.awaitedVerdicts(p, crash.Index), true)
	if worst.isGivenUp() {
		t.notBefore = max(t.notBefore, c.now+verdictDelay)
	}
}

// isCounted reports whether the loss of the upstream on which the attempt ran is counted.
func (p *part) isCounted(index int, attempt uint64) bool {
	return slices.ContainsFunc(p.progress.Crashes, func(crash job.TaskCrash) bool {
		return crash.Index == index && crash.Attempt == attempt
	})
}

// countCrashes counts the recorded losses of a task again.
func (p *part) countCrashes(index int) {
	t := &p.tasks[index]
	t.suspicion = suspicion{}
	for _, crash := range p.progress.Crashes {
		if crash.Index == index {
			t.suspicion.add(crash)
		}
	}
}

// endIfGivenUp ends the job of a task that crashes its upstreams.
func (c *Core) endIfGivenUp(p *part, index int) {
	if t := &p.tasks[index]; !t.done && !p.step.LongRunning && !p.job.phase.Terminal() && t.suspicion.isGivenUp() {
		c.endJob(p.job, job.Failed, "a task crashed the upstreams that started it")
	}
}

// apartTime returns how long a long-running task waits at most for an upstream without other runs: longer with each proved
// loss, so that a task that does crash its upstreams takes few other runs with it.
func (s *suspicion) apartTime() time.Duration {
	if s.proved == 0 {
		return 0
	}
	return min(restartDelay<<min(s.proved, 5), maxRestartDelay)
}

// noteStarted records that a task starts again after a loss that was counted against it, and reports whether it has to
// be stored.
func (p *part) noteStarted(index int) bool {
	changed := false
	for i := range p.progress.Crashes {
		if crash := &p.progress.Crashes[i]; crash.Index == index && crash.Unstarted {
			crash.Unstarted, changed = false, true
		}
	}
	return changed
}

// isLossCounted reports whether the loss of the upstream on which the task was started last is counted.
func (p *part) isLossCounted(index int) bool {
	return slices.ContainsFunc(p.progress.Crashes, func(crash job.TaskCrash) bool { return crash.Index == index && crash.Unstarted })
}

func (p *part) clearCrashes(index int) {
	p.progress.Crashes = slices.DeleteFunc(p.progress.Crashes, func(crash job.TaskCrash) bool { return crash.Index == index })
	p.tasks[index].suspicion = suspicion{}
}

// chooseApart returns an upstream without runs in probation for a suspect and holds it, so that nothing else starts
// beside the suspect. At most half of the usable upstreams are held. If it may not be held, a task with a single loss starts
// where the fewest runs are in probation; others wait for an upstream that is held for them, for half of the time: its runs
// may last. All wait for an upstream that has lived on; see also onceHeard.
func (c *Core) chooseApart(p *part, t *task, usable []*upstream) *upstream {
	best, held := c.leastInProbation(p, t, usable)
	if best == nil {
		return nil
	}
	mayHold := held < max(1, len(usable)/2)
	if p.step.LongRunning {
		return c.startLastingApart(p, t, best, mayHold)
	}
	if !c.hasLived(best, t, c.now) {
		return nil
	}
	fits := p.step.ReservedResources().Fits(best.freeCapacity())
	canHold := best.hold.task == t || mayHold
	waits := t.suspicion.losses >= isolatedAfter
	isApart := best.inProbation() == 0 && (!t.needsRack() || c.isRackQuiet(best))
	switch {
	case fits && canHold && isApart:
		c.holdFor(t, best)
		return c.onceHeard(t, best)
	case fits && !waits:
		return best
	case waits && canHold && c.now >= t.nextHold:
		c.holdFor(t, best)
		t.nextHold = c.now + 2*maxHold
	}
	return nil
}

// livesSince returns since when the upstream lives as far as this owner has followed it; 0: since before the claim.
func (u *upstream) livesSince() time.Duration { return max(u.addedAt, u.restartedAt) }

// hasLived reports whether the upstream had lived on for long enough before a start of the task at the given time that its crash
// says something about the task. It need not if it is known to have crashed under the task only, once.
func (c *Core) hasLived(up *upstream, t *task, started time.Duration) bool {
	losses := t.suspicion.losses
	life := min(baseLife<<max(min(losses-1, 2), 0), maxLife)
	return started >= up.livesSince()+life || losses == 1 && c.hasCrashedOnlyUnder(t, up)
}

// hasCrashedOnlyUnder reports whether the upstream's machine is known to have crashed in an earlier life, and each time under a run
// of the task that had just begun.
func (c *Core) hasCrashedOnlyUnder(t *task, up *upstream) bool {
	found := false
	for _, l := range c.losses {
		if !l.crashed || !l.upstream.isSameMachine(up) || l.isOfLife(up) {
			continue
		}
		if !l.isUnder(t) {
			return false
		}
		found = true
	}
	return found
}

// isUnder reports whether a run of the task could be the cause of the loss.
func (l *loss) isUnder(t *task) bool {
	return slices.ContainsFunc(l.suspects, func(s suspectRun) bool { return &s.part.tasks[s.index] == t })
}

// isSameMachine reports whether both are lives of the same machine.
func (u *upstream) isSameMachine(other *upstream) bool {
	return u.ID == other.ID || u.Machine != "" && u.Machine == other.Machine
}

// onceHeard returns an upstream that is held for a suspect once it has been heard just now, so that its crash would come with the
// start. It has it polled otherwise, and waits for the response, but not for long: an upstream with runs may hold back a poll that is
// in flight. A task with a single loss does not wait there at all: most of these are not at fault.
func (c *Core) onceHeard(t *task, up *upstream) *upstream {
	hurries := up.runs.len() > 0 && t.suspicion.losses < isolatedAfter
	if hurries || up.heardAt() >= c.now-atOnce {
		return up
	}
	if up.askedAt <= up.heardAt() {
		up.askedAt = c.now
	}
	if c.now >= up.askedAt+atOnce {
		return up
	}
	return nil
}

// startLastingApart returns the upstream for a long-running suspect if it has room, and holds it if it may. The task waits
// only until apartUntil for an upstream without other runs.
func (c *Core) startLastingApart(p *part, t *task, best *upstream, canHold bool) *upstream {
	if !p.step.ReservedResources().Fits(best.freeCapacity()) {
		return nil
	}
	if best.runs.len() > 0 && c.now < t.apartUntil {
		return nil
	}
	if canHold {
		best.hold = hold{t, c.now + maxHold, false}
	}
	return best
}

// trials is what is tried in a rack.
type trials struct {
	suspects int
	alone    bool // one of them has to be the only one
}

// otherTrials returns the other suspects for which upstreams of the part's pool are held, by place. One that has crashed its
// upstream, which is not usable any more, counts as well.
func (c *Core) otherTrials(p *part, t *task) map[string]trials {
	var found map[string]trials
	for _, up := range c.pool(p.job.Queue.Pool).byID {
		if !up.isHeld(c.now) || up.hold.task == t {
			continue
		}
		if found == nil {
			found = map[string]trials{}
		}
		there := found[up.place()]
		found[up.place()] = trials{there.suspects + 1, there.alone || up.hold.alone}
	}
	return found
}

// isKeptFrom reports whether the task must not be tried beside the others in a rack.
func (t *task) isKeptFrom(others trials) bool {
	return others.alone || t.needsRack() && others.suspects > 0
}

// leastInProbation returns the upstream on which a suspect would start beside the fewest runs in probation, and the number
// of upstreams that are held for other tasks.
func (c *Core) leastInProbation(p *part, t *task, usable []*upstream) (best *upstream, held int) {
	reserved := p.step.ReservedResources()
	var bestKey [5]int
	trials := c.otherTrials(p, t)
	for _, up := range usable {
		if !c.isOpen(p, t, up) {
			held++
			continue
		}
		if !c.mayTry(p, t, up) || !p.step.LongRunning && t.isKeptFrom(trials[up.place()]) {
			continue
		}
		mayTell := p.step.LongRunning || c.hasLived(up, t, c.now)
		key := [5]int{1, rank(!mayTell), rank(c.avoids(p, t, up)), 0, up.runs.len()}
		switch fits := mayTell && reserved.Fits(up.freeCapacity()); {
		case fits && up.hold.task == t:
			key[0] = -2
		case fits:
			key[0], key[3] = -1, up.inProbation()
		case up.hold.task == t:
			key[0] = 0
		}
		if best == nil || slices.Compare(key[:], bestKey[:]) < 0 {
			best, bestKey = up, key
		}
	}
	return best, held
}
