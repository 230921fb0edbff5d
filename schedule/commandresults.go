package schedule

import (
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

// What the results of commands to upstreams say of runs.

func (c *Core) findRun(target platform.Target, id job.TaskID, attempt uint64) *run {
	up := c.upstreams.get(target.ID)
	if up == nil || up.Address != target.Address {
		return nil
	}
	r := up.runs.get(id)
	if r == nil || r.attempt != attempt {
		return nil
	}
	return r
}

// commandReturned records that a command for a run is no longer in flight, whether or not it was answered, and returns
// the run if it is still known, and whether the life for which the command was meant can have answered. The clock of another
// instance at the address is not the upstream's.
func (c *Core) commandReturned(target platform.Target, id job.TaskID, attempt uint64, call meant, clockMS int64, err error) (r *run, isMeant bool) {
	r = c.findRun(target, id, attempt)
	if r == nil {
		return nil, false
	}
	r.commandInFlight = false
	r.pollSeqAtReturn = r.up.pollSeq
	var rejected *platform.RejectedError
	if errors.As(err, &rejected) && rejected.Reason == platform.RejectedOtherInstance {
		return r, false
	}
	return r, c.noteCommandClock(r.up, call, clockMS)
}

// HandleStartResult handles the result of a Start.
func (c *Core) HandleStartResult(start Start, clockMS int64, err error) {
	c.window.returned(c.now, start.at, err == nil)
	r, isMeant := c.commandReturned(start.Target, start.Command.Task, start.Command.Attempt, start.meant, clockMS, err)
	if r == nil {
		return
	}
	r.startInFlight = false
	var rejected *platform.RejectedError
	switch {
	case err == nil:
		r.startAnswered, r.answeredAt, r.answerClockMS = true, c.now, clockMS
		c.stages(r).response.add(c.now - start.at)
		c.noteAnswered(r, start.meant, isMeant)
		if r.state == runStarting || r.state == runUnknown {
			r.state = runRunning
		}
	case errors.As(err, &rejected):
		c.startRejected(r, start, rejected)
	case errors.Is(err, platform.ErrConnectionsBusy) && r.lostStarts > 0 && r.state == runStarting:
		c.startUnanswered(r, err) // the upstream is not at fault, and an earlier copy may have been carried out
	case errors.Is(err, platform.ErrConnectionNotKept):
		c.noteKeepsNoConnections(r.up, start.meant)
		c.startNotExecuted(r, "its upstream keeps no connections")
	case errors.Is(err, platform.ErrNotExecuted):
		r.up.suspend(c, "no connection")
		c.startNotExecuted(r, "start was not sent")
	default:
		r.lostStarts++
		c.noteLost(r.up, start.Command.DeadlineMS)
		c.startUnanswered(r, err)
	}
}

// noteAnswered records that a life of the run's upstream has begun the run: if isMeant the known one, as far as its clock tells.
func (c *Core) noteAnswered(r *run, call meant, isMeant bool) {
	if isMeant {
		c.noteBegun(r)
		return
	}
	c.noteJobBegun(r.part.job)
	if call.life == r.up.life {
		r.up.nextLeaseEnd = max(r.up.nextLeaseEnd, c.answeredLeaseEnd(r))
	} else {
		r.up.minLeaseEnd = max(r.up.minLeaseEnd, c.answeredLeaseEnd(r))
	}
	c.noteLongLease(r.up)
}

func (c *Core) startUnanswered(r *run, err error) {
	r.up.noteUnanswered(c.now)
	if r.state == runStarting {
		r.state = runUnknown
		c.unresolvedRuns.set(r, struct{}{})
	}
	r.scheduleRetry(c.now)
	c.Log("start got no answer", "job", r.part.job.ID, "task", r.id().String(), "attempt", r.attempt,
		"upstream", r.up.ID, "tries", r.unanswered, "error", err.Error())
}

// startRejected handles a start that the upstream rejected, so that the run does not exist there.
func (c *Core) startRejected(r *run, start Start, rejected *platform.RejectedError) {
	c.stats.RejectedStarts++
	c.Log("start refused", "job", r.part.job.ID, "task", r.id().String(), "attempt", r.attempt, "upstream", r.up.ID,
		"reason", rejected.Reason, "clock_age_ms", c.msSince(r.up.clock.readAt))
	switch rejected.Reason {
	case platform.RejectedFence:
		c.superseded = c.superseded || !r.up.isOwnFence(start.Command.Token)
	case platform.RejectedOtherInstance:
		c.handleReplaced(r.up)
		return
	case platform.RejectedNoCapacity, platform.RejectedUnhealthy:
		r.up.suspend(c, string(rejected.Reason))
	case platform.RejectedTicket:
		r.part.tickets = nil
	case platform.RejectedOtherLife:
		c.doubtLife(r.up, "poll before a start")
	case platform.RejectedInvalid:
		r.task().notBefore = c.now + invalidStartDelay
	}
	stopping := r.state == runStopping || r.state == runStopped
	if rejected.Reason == platform.RejectedOldAttempt && r.unanswered > 0 && !stopping {
		// An earlier copy of this start was carried out and its run has ended; the next poll reports the end.
		r.state = runRunning
		return
	}
	c.startNotExecuted(r, "start refused: "+string(rejected.Reason))
}

// startNotExecuted handles a start that had no effect. If an earlier copy was not answered, that copy may still be
// carried out: no more copies are sent then, and all are barred.
func (c *Core) startNotExecuted(r *run, reason string) {
	isResolved := r.state != runStarting && r.state != runUnknown
	switch {
	case r.heldBy == r.up.life && !isResolved:
		r.state = runRunning // a list has shown that an earlier copy was carried out
	case r.heldBy == r.up.life || r.lostStarts > 0 && isResolved:
		// its list, or that of a later poll, shows what becomes of it
	case r.lostStarts > 0 && !r.isBarred(r.up.barredBelow):
		r.state, r.unanswered, r.retryAt = runUnknown, maxStartAttempts, c.now
		c.unresolvedRuns.set(r, struct{}{})
	default:
		c.detach(r)
		c.requeueUnstarted(r, reason, "")
	}
}

// invalidStartDelay is how long a task waits after an upstream rejected its start as invalid.
const invalidStartDelay = 2 * time.Second

// HandleStopResult handles the result of a Stop.
func (c *Core) HandleStopResult(stop Stop, clockMS int64, err error) {
	r, isMeant := c.commandReturned(stop.Target, stop.Command.Task, stop.Command.Attempt, stop.meant, clockMS, err)
	if r == nil {
		return
	}
	var rejected *platform.RejectedError
	isStopped := err == nil || errors.As(err, &rejected) && rejected.Reason == platform.RejectedOldAttempt
	switch {
	case isStopped && isMeant:
		r.state, r.stoppedAt = runStopped, c.now
	case isStopped: // another life has answered
		r.scheduleRetry(c.now)
	case errors.As(err, &rejected) && rejected.Reason == platform.RejectedFence && !r.up.isOwnFence(stop.Command.Token):
		c.superseded = true
	case errors.As(err, &rejected) && rejected.Reason == platform.RejectedOtherInstance:
		c.handleReplaced(r.up)
	default:
		r.scheduleRetry(c.now)
		if r.unanswered == 1 {
			c.Log("stop got no answer", "job", r.part.job.ID, "task", r.id().String(), "attempt", r.attempt,
				"upstream", r.up.ID, "error", err.Error())
		}
	}
}

// HandlePaceResult handles the result of a Pace.
func (c *Core) HandlePaceResult(pace Pace, err error) {
	r := c.findRun(pace.Target, pace.Command.Task, pace.Command.Attempt)
	if r == nil {
		return
	}
	r.commandInFlight = false
	if err == nil && pace.life == r.up.life {
		r.confirmedPace = pace.Command.Percent
		return
	}
	r.requestedPace = r.confirmedPace // sent again at the next decision
	if err == nil {
		return
	}
	c.Log("change of pace failed", "task", r.id().String(), "upstream", r.up.ID, "percent", pace.Command.Percent,
		"error", err.Error())
}
