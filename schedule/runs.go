package schedule

import (
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

type runState uint8

const (
	runPlanned  runState = iota // the upstream is being recorded; the start has not been sent
	runStarting                 // a start is on its way
	runUnknown                  // a start got no answer
	runRunning
	runStopping // a stop is to be sent, or is on its way
	runStopped  // the stop was answered; the end is not listed yet
)

// run is one attempt of a task on one upstream.
type run struct {
	part    *part
	index   int
	attempt uint64
	up      *upstream
	state   runState
	room    job.Resources // what it takes of the upstream's capacity

	started      time.Duration
	checkpoint   string // the newest one of the run
	checkpointed bool   // it was started from a checkpoint
	adopted      bool   // it was found on the upstream, not started by this owner
	dead         bool   // settled

	asked   uint64 // the last look that was asked for before the newest order for the run was answered
	seenAt  uint64 // the last look that listed it
	orders  int    // orders of the present kind that got no answer
	retryAt time.Duration
	pending bool // an order is on its way
	// floating is set once a copy of the start got no answer: it may be carried out at any time from then on.
	floating bool

	progress int // percent; 100 for a long-running task that is at work
	pace     int // percent that was confirmed
	paced    int // percent that was ordered
	gauge    int
	overdue  bool
}

const (
	// maxStartTries is how often a start is sent before the run is given up and stopped.
	maxStartTries = 3
	orderRetry    = 100 * time.Millisecond
	orderRetryMax = time.Second
)

func (r *run) task() *task { return &r.part.tasks[r.index] }

// mayStartYet reports whether a copy of the run's start is on its way, or got no answer.
func (r *run) mayStartYet() bool { return r.floating || r.pending && r.state == runStarting }

func (r *run) id() job.TaskID { return r.part.taskID(r.index) }

// start creates a run and the call that starts it.
func (c *Core) start(p *part, index int, attempt uint64, up *upstream, ticket string) {
	t := &p.tasks[index]
	r := &run{
		part: p, index: index, attempt: attempt, up: up, state: runPlanned, room: p.step.Room(), started: c.now,
		checkpoint: t.checkpoint, checkpointed: t.checkpoint != "", pace: fullPace, paced: fullPace,
	}
	t.lastAttempt = attempt
	c.attach(r)
	if !p.job.begun {
		p.job.begun = true
	}
	c.stats.Starts++
	c.Log("start", "job", p.job.ID, "task", r.id().String(), "attempt", attempt, "upstream", up.ID,
		"free_cpu", up.room().MilliCPU, "waited_ms", (c.now - p.releasedAt).Milliseconds(),
		"failures", t.failures, "clock_age_ms", (c.now - up.clockAt).Milliseconds())
	if c.recordPlace(p, t, up.ID) {
		c.sendStart(r, ticket)
	} else {
		c.planned = append(c.planned, r)
	}
}

// recordPlace reports whether it is stored that the task may run on the upstream. If not, it has it stored.
func (c *Core) recordPlace(p *part, t *task, id string) bool {
	if t.placed == id {
		return t.placedRound <= c.durable
	}
	t.placed, t.placedRound = id, c.round+1
	c.touch(p.job)
	return false
}

// sendPlanned sends the starts whose upstreams are recorded.
func (c *Core) sendPlanned() {
	waiting := c.planned[:0]
	for _, r := range c.planned {
		switch {
		case r.dead:
		case r.task().placedRound > c.durable:
			waiting = append(waiting, r)
		case !c.isUsable(r.up) || (r.part.job.Queue.Advised && c.ticketFor(r.part, r.up) == ""):
			c.settle(r)
			c.requeue(r, "its upstream cannot be used any more", "")
		default:
			r.started = c.now
			c.sendStart(r, c.ticketFor(r.part, r.up))
		}
	}
	c.planned = waiting
}

func (c *Core) sendStart(r *run, ticket string) {
	r.pending = true
	r.state = runStarting
	c.calls = append(c.calls, Start{Target: r.up.target(), Order: platform.StartOrder{
		Task: r.id(), Attempt: r.attempt, Spec: r.part.job.Spec, DeadlineMS: c.extendLease(r.up), Token: c.Token,
		Checkpoint: r.checkpoint, Ticket: ticket,
	}})
}

// attach books a run on its upstream, its task and its team.
func (c *Core) attach(r *run) {
	t := r.task()
	t.runs = append(t.runs, r)
	r.up.runs.set(r.id(), r)
	r.up.used = r.up.used.Add(r.room)
	r.up.demand += r.part.step.Request.MilliCPU
	r.part.job.team.used = r.part.job.team.used.Add(r.part.step.Request)
	r.part.perHost[r.up.ID]++
}

// settle takes a run off the books: it does not run and never will.
func (c *Core) settle(r *run) {
	if r.dead {
		return
	}
	r.dead = true
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
	r.up.used = r.up.used.Sub(r.room)
	r.up.demand -= r.part.step.Request.MilliCPU
	r.part.job.team.used = r.part.job.team.used.Sub(r.part.step.Request)
	r.part.perHost[r.up.ID]--
}

// requeue lets a task whose run ended without success be started again.
func (c *Core) requeue(r *run, reason, checkpoint string) {
	t := r.task()
	if checkpoint != "" {
		t.checkpoint = checkpoint
	}
	if t.done || r.part.job.phase.Terminal() {
		return
	}
	t.requeuedAt = c.now
	c.stats.Requeued++
	c.Log("task to be started again", "job", r.part.job.ID, "task", r.id().String(), "attempt", r.attempt,
		"upstream", r.up.ID, "reason", reason, "ran_ms", (c.now - r.started).Milliseconds(), "checkpoint", t.checkpoint != "")
}

// stop ends a run that is no longer wanted.
func (c *Core) stop(r *run, reason string) {
	if r.dead || r.state == runStopping || r.state == runStopped {
		return
	}
	c.Log("stop", "job", r.part.job.ID, "task", r.id().String(), "attempt", r.attempt, "upstream", r.up.ID,
		"reason", reason, "ran_ms", (c.now - r.started).Milliseconds())
	c.stats.Stops++
	if r.state == runPlanned {
		c.settle(r)
		return
	}
	r.floating = r.mayStartYet()
	r.state, r.orders = runStopping, 0
	c.sendStop(r)
}

func (c *Core) sendStop(r *run) {
	r.pending = true
	c.calls = append(c.calls, Stop{Target: r.up.target(), Order: platform.StopOrder{
		Task: r.id(), Attempt: r.attempt, Token: c.Token,
	}})
}

// retryLater notes an order without an answer, which is sent again after a growing pause.
func (r *run) retryLater(now time.Duration) {
	r.orders++
	r.retryAt = now + min(orderRetry<<min(r.orders, 5), orderRetryMax)
}

// retryOrders sends orders again that got no answer.
func (c *Core) retryOrders() {
	for _, up := range c.upstreams.all() {
		for _, r := range up.runs.all() {
			if r.pending || c.now < r.retryAt || up.failedLooks > 0 {
				continue
			}
			switch r.state {
			case runUnknown:
				if r.orders >= maxStartTries {
					c.stop(r, "its start got no answer")
				} else {
					c.sendStart(r, c.ticketFor(r.part, up))
				}
			case runStopping:
				c.sendStop(r)
			}
		}
	}
}

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

// answered notes that an order for a run was answered, and returns the run if it is still known.
func (c *Core) answered(target platform.Target, id job.TaskID, attempt uint64, clockMS int64) *run {
	r := c.findRun(target, id, attempt)
	if r != nil {
		r.pending = false
		r.asked = r.up.lookSeq
		r.up.readClock(clockMS, c.now)
	}
	return r
}

// Started handles the answer to a Start.
func (c *Core) Started(start Start, clockMS int64, err error) {
	r := c.answered(start.Target, start.Order.Task, start.Order.Attempt, clockMS)
	if r == nil {
		return
	}
	var refused *platform.RefusedError
	switch {
	case err == nil:
		if r.state == runStarting || r.state == runUnknown {
			r.state = runRunning
		}
	case errors.As(err, &refused):
		c.startRefused(r, refused)
	case errors.Is(err, platform.ErrNotDone):
		r.up.suspect(c, "no connection")
		c.notStarted(r, "start did not leave this host")
	default:
		c.startUnanswered(r, err)
	}
}

func (c *Core) startUnanswered(r *run, err error) {
	r.floating = true
	if r.state == runStarting {
		r.state = runUnknown
	}
	r.retryLater(c.now)
	c.Log("start got no answer", "job", r.part.job.ID, "task", r.id().String(), "attempt", r.attempt,
		"upstream", r.up.ID, "tries", r.orders, "error", err.Error())
}

// startRefused handles a start that the upstream rejected: the run is not there.
func (c *Core) startRefused(r *run, refused *platform.RefusedError) {
	c.stats.Refused++
	c.Log("start refused", "job", r.part.job.ID, "task", r.id().String(), "attempt", r.attempt, "upstream", r.up.ID,
		"reason", refused.Reason, "clock_age_ms", (c.now - r.up.clockAt).Milliseconds())
	switch refused.Reason {
	case platform.RefusedFence:
		c.superseded = true
	case platform.RefusedOtherLife:
		c.replaced(r.up)
		return
	case platform.RefusedRoom, platform.RefusedUnhealthy:
		r.up.suspect(c, string(refused.Reason))
	case platform.RefusedTicket:
		r.part.tickets = nil
	case platform.RefusedInvalid:
		r.task().notBefore = c.now + invalidPause
	}
	stopping := r.state == runStopping || r.state == runStopped
	if refused.Reason == platform.RefusedOld && r.orders > 0 && !stopping {
		// An earlier copy of this start was carried out and has ended; the look lists the end.
		r.state = runRunning
		return
	}
	c.notStarted(r, "start refused: "+string(refused.Reason))
}

// notStarted handles a start that did nothing. If an earlier copy of it got no answer, that one may still be carried
// out: the run is stopped, after which no copy starts it.
func (c *Core) notStarted(r *run, reason string) {
	if r.floating {
		c.stop(r, reason+", and an earlier copy got no answer")
		return
	}
	c.settle(r)
	c.requeue(r, reason, "")
}

// invalidPause is how long a task waits whose start was called malformed.
const invalidPause = 2 * time.Second

// Stopped handles the answer to a Stop.
func (c *Core) Stopped(stop Stop, clockMS int64, err error) {
	r := c.answered(stop.Target, stop.Order.Task, stop.Order.Attempt, clockMS)
	if r == nil {
		return
	}
	var refused *platform.RefusedError
	switch {
	case err == nil:
		r.state = runStopped
	case errors.As(err, &refused) && refused.Reason == platform.RefusedFence:
		c.superseded = true
	case errors.As(err, &refused) && refused.Reason == platform.RefusedOtherLife:
		c.replaced(r.up)
	case errors.As(err, &refused) && refused.Reason == platform.RefusedOld:
		r.state = runStopped
	default:
		r.retryLater(c.now)
		if r.orders == 1 {
			c.Log("stop got no answer", "job", r.part.job.ID, "task", r.id().String(), "attempt", r.attempt,
				"upstream", r.up.ID, "error", err.Error())
		}
	}
}

// Paced handles the answer to a Pace.
func (c *Core) Paced(pace Pace, err error) {
	r := c.findRun(pace.Target, pace.Order.Task, pace.Order.Attempt)
	if r == nil {
		return
	}
	r.pending = false
	if err == nil {
		r.pace = pace.Order.Percent
		return
	}
	r.paced = r.pace // ordered again at the next decision
	c.Log("pace not confirmed", "task", r.id().String(), "upstream", r.up.ID, "percent", pace.Order.Percent,
		"error", err.Error())
}
