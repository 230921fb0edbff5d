package schedule

import (
	"slices"
	"time"

	"citrongauge.example/citrongauge/job"
)

// A task may crash each upstream that starts it, which ends all other runs there. The tasks whose runs were in probation
// at a crash are suspects. A suspect is started apart from other runs in probation, so that the next crash shows which
// task is at fault. A run that outlives its probation clears its task. Long-running tasks are restarted however they end:
// they are never given up, and wait for an upstream of their own for a short time only.

const (
	// probation is how long an upstream has to work on after a run has begun until a later crash is not put down to the
	// run's task.
	probation = 200 * time.Millisecond
	// isolatedAfter is the number of losses after which a task waits for an upstream without other runs in probation.
	isolatedAfter = 2
	// lossesToGiveUp is the number of losses after which a task is given up if it was alone in probation at aloneToGiveUp
	// of them, and maxLosses the number after which it is given up in any case.
	lossesToGiveUp = 3
	aloneToGiveUp  = 2
	maxLosses      = 4
	// maxHold is the longest time for which an upstream is held for a suspect.
	maxHold = 3 * time.Second
)

// suspicion counts the losses of upstreams that a task may have caused.
type suspicion struct {
	losses int // all
	seen   int // those that an owner followed
	alone  int // those that no other run could have caused
}

func (s *suspicion) add(crash job.TaskCrash) {
	s.losses++
	if !crash.Unseen {
		s.seen++
	}
	if crash.Alone {
		s.alone++
	}
}

// isGivenUp reports whether the task has lost so many upstreams that it is not started again, unless it is long-running.
func (t *task) isGivenUp() bool {
	s := t.suspicion
	return s.losses >= lossesToGiveUp && s.alone >= aloneToGiveUp || s.seen >= maxLosses
}

// isSuspect reports whether the task may have caused the loss of an upstream.
func (t *task) isSuspect() bool { return t.suspicion.losses > 0 }

// hold closes an upstream to all tasks but one.
type hold struct {
	task  *task
	until time.Duration
}

func (u *upstream) isHeld(now time.Duration) bool { return u.hold.task != nil && now < u.hold.until }

// isOpen reports whether the upstream is not held for another task. A long-running task that has waited for starvedAfter
// does not wait for holds.
func (u *upstream) isOpen(p *part, t *task, now time.Duration) bool {
	return !u.isHeld(now) || u.hold.task == t || p.step.LongRunning && p.isStarving(t, now)
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
		return r.up.clockMS-r.begunMS < probation.Milliseconds()
	case r.startUnresolved:
		return r.up.answeredSeq <= r.pollSeqAtReturn
	}
	return true
}

// noteBegun records that the run has begun: its start was answered, or it was listed.
func (c *Core) noteBegun(r *run) {
	if r.begunMS == 0 {
		r.begunMS = r.up.clockMS
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

// countCrash counts the loss of an upstream against the tasks whose runs there could be its cause, and ends the jobs of
// those that are given up. An upstream that was expected to go has not crashed, and a start whose response is still
// awaited is not known to have arrived.
func (c *Core) countCrash(up *upstream) {
	if up.Draining || up.cordoned {
		return
	}
	var suspects []*run
	for _, r := range up.runs.all() {
		if r.inProbation() && (r.begunMS != 0 || r.startUnresolved) {
			suspects = append(suspects, r)
		}
	}
	for _, r := range suspects {
		c.suspect(r.part, job.TaskCrash{Index: r.index, Attempt: r.attempt, Alone: len(suspects) == 1}, up.ID)
	}
}

// countUnseenCrash counts the loss of an upstream that an earlier owner used against the tasks that it started there and
// that have not been found. Which of them were in probation is not known; those that had to wait for an upstream were
// alone.
func (c *Core) countUnseenCrash(up *upstream) {
	if !up.inherited {
		return
	}
	up.inherited = false
	for _, j := range c.jobs.all() {
		for _, p := range j.parts {
			for i := range p.tasks {
				if t := &p.tasks[i]; j.inherited && t.placedOn == up.ID && len(t.runs) == 0 && !p.isLossCounted(i) {
					alone := t.suspicion.losses >= isolatedAfter
					c.suspect(p, job.TaskCrash{Index: i, Attempt: c.Generation * attemptsPerOwner, Alone: alone, Unseen: true}, up.ID)
				}
			}
		}
	}
}

// suspect counts the loss of an upstream against a task, once for each attempt.
func (c *Core) suspect(p *part, crash job.TaskCrash, upstream string) {
	t := &p.tasks[crash.Index]
	if t.done || p.job.phase.Terminal() || slices.ContainsFunc(p.progress.Crashes, func(counted job.TaskCrash) bool {
		return counted.Index == crash.Index && counted.Attempt == crash.Attempt
	}) {
		return
	}
	crash.Unstarted = true
	p.progress.Crashes = append(p.progress.Crashes, crash)
	t.suspicion.add(crash)
	c.markDirty(p.job)
	c.Log("upstream lost under a task", "job", p.job.ID, "task", p.taskID(crash.Index).String(), "attempt", crash.Attempt,
		"upstream", upstream, "unseen", crash.Unseen, "alone", crash.Alone, "losses", t.suspicion.losses)
	switch {
	case p.step.LongRunning:
		t.apartUntil = c.now + t.suspicion.apartTime()
	case t.isGivenUp():
		c.endJob(p.job, job.Failed, "a task crashed the upstreams that started it")
	}
}

// apartTime returns how long a long-running task waits at most for an upstream without other runs: longer with each loss,
// so that a task that does crash its upstreams takes few other runs with it.
func (s *suspicion) apartTime() time.Duration {
	if s.losses < isolatedAfter {
		return 0
	}
	return min(restartDelay<<min(s.losses, 5), maxRestartDelay)
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
// beside the suspect. At most half of the usable upstreams are held. If there is none, a task with a single loss starts
// where the fewest runs are in probation; others wait for an upstream that is held for them, for half of the time: its runs
// may last.
func (c *Core) chooseApart(p *part, t *task, usable []*upstream) *upstream {
	best, held := c.leastInProbation(p, t, usable)
	if best == nil {
		return nil
	}
	if p.step.LongRunning {
		return c.startLastingApart(p, t, best, held < max(1, len(usable)/2))
	}
	fits := p.step.ReservedResources().Fits(best.freeCapacity())
	canHold := best.hold.task == t || held < max(1, len(usable)/2)
	waits := t.suspicion.losses >= isolatedAfter
	switch {
	case fits && canHold && best.inProbation() == 0:
		best.hold = hold{t, c.now + maxHold}
		return best
	case fits && !waits:
		return best
	case waits && canHold && c.now >= t.nextHold:
		best.hold = hold{t, c.now + maxHold}
		t.nextHold = c.now + 2*maxHold
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
		best.hold = hold{t, c.now + maxHold}
	}
	return best
}

// leastInProbation returns the upstream on which a suspect would start beside the fewest runs in probation, and the number
// of upstreams that are held for other tasks.
func (c *Core) leastInProbation(p *part, t *task, usable []*upstream) (best *upstream, held int) {
	reserved := p.step.ReservedResources()
	var bestKey [3]int
	for _, up := range usable {
		if !up.isOpen(p, t, c.now) {
			held++
			continue
		}
		if !c.mayHold(p, up) {
			continue
		}
		key := [3]int{1, 0, up.runs.len()}
		switch fits := reserved.Fits(up.freeCapacity()); {
		case fits && up.hold.task == t:
			key[0] = -2
		case fits:
			key[0], key[1] = -1, up.inProbation()
		case up.hold.task == t:
			key[0] = 0
		}
		if best == nil || slices.Compare(key[:], bestKey[:]) < 0 {
			best, bestKey = up, key
		}
	}
	return best, held
}
