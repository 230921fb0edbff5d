package schedule

import (
	"time"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

type runState uint8

const (
	runPlanned  runState = iota // the upstream is being recorded, or the start window is closed; the start has not been sent
	runStarting                 // a start is in flight
	runUnknown                  // a start was not answered
	runRunning
	runStopping // a stop is in flight or due to be sent
	runStopped  // the stop was answered; the end has not been reported yet
)

// run is one attempt of a task on one upstream.
type run struct {
	part     *part
	index    int
	attempt  uint64
	up       *upstream
	state    runState
	reserved job.Resources // capacity that it takes on the upstream

	plannedAt    time.Duration
	recordedAt   time.Duration // when its placement was stored; 0: not yet
	started      time.Duration // when its start was sent, or planned if it has not been sent
	sentAt       time.Duration // when the last copy of its start was sent; 0: none was
	checkpoint   string        // newest checkpoint of the run
	checkpointed bool          // started from a checkpoint
	adopted      bool          // found on the upstream, not started by this owner
	detached     bool          // detach was called

	// pollSeqAtReturn is the last poll sent before the newest command for the run returned. Polls up to it may not list
	// the run.
	pollSeqAtReturn uint64
	lastListed      uint64 // last poll whose response listed the run
	unanswered      int    // number of unanswered commands of the current kind
	retryAt         time.Duration
	commandInFlight bool          // a command for the run is in flight
	stoppedAt       time.Duration // when the stop was answered
	// lostStarts counts the copies of the start that got no answer. The upstream may still carry them out at any time.
	lostStarts    int
	startInFlight bool          // a copy of the start is in flight
	startAnswered bool          // a copy of the start was answered with success
	awaitsNewLife bool          // its upstream has started anew, and no poll has shown yet whether the new life has the run
	heldBy        *life         // the life of its upstream that has listed it; nil: none has
	startDeadline int64         // latest deadline of its copies, on the clock of the life for which they were meant
	startToken    uint64        // highest token of its copies
	charge        *charge       // for the loss of its upstream, not counted yet; nil: none
	answeredAt    time.Duration // when a copy of the start was answered with success; 0: none was
	answerClockMS int64         // the upstream's clock in that answer

	progress      int // percent; 100 for a long-running task that has finished its start-up
	confirmedPace int // percent, as confirmed by the upstream
	requestedPace int // percent, as last requested by this owner
	gauge         int // as last listed; see platform.CurrentRun
	overdue       bool
	begunMS       int64 // on the upstream's clock, when its start was answered or it was listed first; 0: not yet
}

const (
	// maxStartAttempts is how often a start is sent before the run is stopped.
	maxStartAttempts     = 3
	commandRetryDelay    = 100 * time.Millisecond
	maxCommandRetryDelay = time.Second
)

func (r *run) task() *task { return &r.part.tasks[r.index] }

// mayStillStart reports whether a copy of the run's start may still be carried out by the known life of its upstream.
func (r *run) mayStillStart() bool { return r.hasOpenCopies() && !r.isBarred(r.up.barredBelow) }

// hasOpenCopies reports whether a copy of the run's start may still be carried out, by whichever life: one that is in flight or got no
// answer, and is not known to be the one that the upstream has carried out, as its list shows.
func (r *run) hasOpenCopies() bool {
	copies := r.lostStarts
	if r.startInFlight {
		copies++
	}
	if r.lastListed > 0 && !r.startAnswered {
		copies--
	}
	return copies > 0
}

func (r *run) id() job.TaskID { return r.part.taskID(r.index) }

// startRun creates a run and sends its start, or defers the start until the placement is stored.
func (c *Core) startRun(p *part, index int, attempt uint64, up *upstream, ticket string) {
	t := &p.tasks[index]
	r := &run{
		part: p, index: index, attempt: attempt, up: up, state: runPlanned, reserved: p.step.ReservedResources(), plannedAt: c.now, started: c.now,
		checkpoint: t.checkpoint, checkpointed: t.checkpoint != "", confirmedPace: fullPercent, requestedPace: fullPercent,
	}
	t.lastAttempt = attempt
	c.attach(r)
	c.noteLongLease(up)
	up.health.noteStart(r)
	c.stats.Starts++
	c.Log("start", "job", p.job.ID, "task", r.id().String(), "attempt", attempt, "upstream", up.ID,
		"free_cpu", up.freeCapacity().MilliCPU, "waited_ms", (c.now - p.releasedAt).Milliseconds(),
		"failures", t.failures, "clock_age_ms", c.msSince(up.clock.readAt))
	stored := c.recordPlacement(p, index, up)
	if stored {
		c.noteRecorded(r)
	}
	if (stored || c.maySendUnrecorded(r)) && c.window.maySend() {
		c.noteSent(r)
		c.sendStart(r, ticket)
		return
	}
	c.plannedRuns = append(c.plannedRuns, r)
	c.window.held = c.window.held || stored
}

// recordPlacement reports whether the task's placement on the upstream is stored already. If it is not,
// recordPlacement marks it for storing with the next batch.
func (c *Core) recordPlacement(p *part, index int, up *upstream) bool {
	t := &p.tasks[index]
	bound := p.boundLife(up) != 0
	if startedAgain := p.noteStarted(index); t.placedOn == up.ID && t.bound == bound && !startedAgain {
		return t.placedBatch <= c.durableBatch
	}
	t.placedOn, t.placedBatch, t.bound = up.ID, c.lastBatch+1, bound
	c.markDirty(p.job)
	return false
}

// sendPlannedStarts sends the starts whose placements are stored, as far as the start window allows.
func (c *Core) sendPlannedStarts() {
	c.window.held = false
	waiting := c.plannedRuns[:0]
	for _, r := range c.plannedRuns {
		if c.isRecorded(r) && !r.detached {
			c.noteRecorded(r)
		}
		switch {
		case r.detached:
		case c.isPlannedAgain(r):
			c.detach(r)
			c.requeueUnstarted(r, "to be started in its outage zone", "")
		case !c.isRecorded(r) && !c.maySendUnrecorded(r):
			waiting = append(waiting, r)
		case !c.window.maySend():
			c.window.held = c.window.held || c.isRecorded(r)
			waiting = append(waiting, r)
		case !c.mayStartPlanned(r) || (r.part.job.Queue.NeedsAdvice && c.ticketFor(r.part, r.up) == ""):
			c.detach(r)
			c.requeueUnstarted(r, "its upstream is no longer usable", "")
		case r.up.isOverCapacity():
			c.detach(r)
			c.requeueUnstarted(r, "its upstream's capacity has shrunk", "")
		default:
			r.started = c.now
			c.noteSent(r)
			c.sendStart(r, c.ticketFor(r.part, r.up))
		}
	}
	c.plannedRuns = waiting
}

// mayStartPlanned reports whether the upstream of a planned run still takes it. A long-running task may be planned as the trial
// of an upstream in quarantine.
func (c *Core) mayStartPlanned(r *run) bool {
	if r.part.step.LongRunning {
		return c.isReady(r.up) && !r.up.released
	}
	return c.isUsable(r.up)
}

func (c *Core) sendStart(r *run, ticket string) {
	r.commandInFlight, r.startInFlight = true, true
	isUnrecorded := c.noteUnrecorded(r)
	r.state, r.sentAt = runStarting, c.now
	r.startDeadline, r.startToken = c.extendLease(r.up), r.up.token
	c.window.inFlight++
	call := Start{meant: c.meantFor(r.up), Target: r.up.target(), Unrecorded: isUnrecorded, LifeMS: r.lifeToStartOn()}
	call.Command = platform.StartCommand{
		Task: r.id(), Attempt: r.attempt, Spec: r.part.job.Spec, DeadlineMS: r.startDeadline, Token: r.startToken,
		Checkpoint: r.checkpoint, Ticket: ticket,
	}
	c.calls = append(c.calls, call)
}

// lifeToStartOn returns the start time of the life that alone may receive the run's start; 0: any may. A placement that is recorded as bound
// is never started on any life, whatever has been found of the upstream since.
func (r *run) lifeToStartOn() int64 {
	if r.task().bound {
		return r.up.StartedMS
	}
	return r.part.boundLife(r.up)
}

// boundLife returns the start time of the life that new starts of the part's tasks on the upstream are bound to; 0: they are not. A life that
// no owner knows may run a task for the platform's longest lease, for which the next owner would have to wait. A long-running task may
// not be without a run for that long.
func (p *part) boundLife(up *upstream) int64 {
	if !p.step.LongRunning || up.keepsNoConnections {
		return 0
	}
	return up.StartedMS
}

// noteKeepsNoConnections records that starts on the upstream cannot be bound to the life that a call was meant for.
func (c *Core) noteKeepsNoConnections(up *upstream, call meant) {
	if call.life != up.life || up.keepsNoConnections {
		return
	}
	up.keepsNoConnections = true
	c.Log("upstream keeps no connections: its starts reach any life", "upstream", up.ID, "born", up.StartedMS)
}

// attach adds a run to its upstream, its task and its team.
func (c *Core) attach(r *run) {
	t := r.task()
	t.runs = append(t.runs, r)
	r.up.runs.set(r.id(), r)
	r.up.used = r.up.used.Add(r.reserved)
	if r.part.step.LongRunning {
		r.up.usedLongRunning = r.up.usedLongRunning.Add(r.reserved)
		r.up.longRunning++
	}
	r.up.requestedCPU += r.part.step.Request.MilliCPU
	r.part.job.team.used = r.part.job.team.used.Add(r.part.step.Request)
	r.part.perUpstream[r.up.ID]++
}

// detach removes a run that is not running and never will be from its upstream, its task and its team.
func (c *Core) detach(r *run) {
	if r.detached {
		return
	}
	r.detached = true
	t := r.task()
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i:i], t.runs[i+1:]...)
			break
		}
	}
	if r.up.runs.get(r.id()) == r {
		r.up.runs.delete(r.id())
	}
	r.up.endHold(t)
	r.up.used = r.up.used.Sub(r.reserved)
	if r.part.step.LongRunning {
		r.up.usedLongRunning = r.up.usedLongRunning.Sub(r.reserved)
		r.up.longRunning--
	}
	r.up.requestedCPU -= r.part.step.Request.MilliCPU
	r.part.job.team.used = r.part.job.team.used.Sub(r.part.step.Request)
	r.part.perUpstream[r.up.ID]--
}

// requeue makes a task eligible for another start after a run without success.
func (c *Core) requeue(r *run, reason, checkpoint string) {
	if t := r.task(); !t.runsElsewhere(r) {
		t.requeuedAt = c.now
	}
	c.requeueUnstarted(r, reason, checkpoint)
}

// requeueUnstarted is requeue for a run whose start was not sent or was refused: the task has waited since the run before.
func (c *Core) requeueUnstarted(r *run, reason, checkpoint string) {
	t := r.task()
	if checkpoint != "" {
		t.checkpoint = checkpoint
	}
	if t.done || r.part.job.phase.Terminal() || t.runsElsewhere(r) {
		return
	}
	c.queuePart(r.part)
	c.stats.Requeued++
	c.Log("task to be started again", "job", r.part.job.ID, "task", r.id().String(), "attempt", r.attempt,
		"upstream", r.up.ID, "reason", reason, "ran_ms", (c.now - r.started).Milliseconds(), "checkpoint", t.checkpoint != "")
}

// runsElsewhere reports whether the task has another run, beside which none is to be started.
func (t *task) runsElsewhere(r *run) bool { return len(t.runs) > 0 && !r.part.step.Speculative }

// stopRun ends a run that is no longer wanted.
func (c *Core) stopRun(r *run, reason string) {
	if r.detached || r.state == runStopping || r.state == runStopped {
		return
	}
	c.Log("stop", "job", r.part.job.ID, "task", r.id().String(), "attempt", r.attempt, "upstream", r.up.ID,
		"reason", reason, "ran_ms", (c.now - r.started).Milliseconds())
	c.stats.Stops++
	if r.state == runPlanned {
		c.detach(r)
		return
	}
	c.beginStop(r)
}

func (c *Core) beginStop(r *run) {
	r.state, r.unanswered = runStopping, 0
	c.unresolvedRuns.set(r, struct{}{})
	c.sendStop(r)
}

func (c *Core) sendStop(r *run) {
	r.commandInFlight = true
	c.calls = append(c.calls, Stop{Target: r.up.target(), meant: c.meantFor(r.up), Command: platform.StopCommand{
		Task: r.id(), Attempt: r.attempt, Token: r.up.token,
	}})
}

// scheduleRetry counts an unanswered command and schedules its next copy with exponential backoff.
func (r *run) scheduleRetry(now time.Duration) {
	r.unanswered++
	r.retryAt = now + min(commandRetryDelay<<min(r.unanswered, 5), maxCommandRetryDelay)
}

// resendCommands sends unanswered commands again.
func (c *Core) resendCommands() {
	for r := range c.unresolvedRuns.all() {
		if r.detached || r.state != runUnknown && r.state != runStarting && r.state != runStopping {
			c.unresolvedRuns.delete(r)
			continue
		}
		if r.commandInFlight || c.now < r.retryAt || r.up.failedPolls > 0 {
			continue
		}
		switch r.state {
		case runUnknown:
			switch {
			case r.awaitsNewLife:
			case !c.mayExtendLease(r.up): // which a start would
			case !c.isRecorded(r) && !c.store.Unrecorded: // the next owner does not allow for a start that late
			case r.unanswered < maxStartAttempts && !r.up.isOverCapacity():
				c.sendStart(r, c.ticketFor(r.part, r.up))
			default:
				c.barStart(r)
			}
		case runStopping:
			c.sendStop(r)
		}
	}
}
