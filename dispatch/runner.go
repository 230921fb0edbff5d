package dispatch

import (
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"math/rand/v2"
	"time"

	"citrongauge.example/citrongauge/result"
	"citrongauge.example/citrongauge/routing"
	"citrongauge.example/citrongauge/upstream"
)

// Router chooses upstreams; *routing.Table is one.
type Router interface {
	Pick(pool string, size upstream.Size, exclude []string, now time.Time) (routing.Candidate, error)
	Done(c routing.Candidate, r routing.Report, now time.Time)
	Absolve(host string)
}

// Config is what a Runner works with.
type Config struct {
	Router Router
	Budget *routing.RetryBudget
	Gate   Gate
	// Client returns the client of an upstream. It must not wait.
	Client func(host, address string) upstream.Client
	// Owner is the incarnation ID of this entry host.
	Owner string
	// MayRenew is asked right before each renewal of a task's lease. A host without permission must not renew: once
	// it was evicted, its grant returns to the fleet when the leases of its tasks have lapsed. Nil is always yes.
	MayRenew func() bool
	// OnLeaving is told of direct refusals by leaving upstreams, for notices to peers. It may be nil and must not
	// wait.
	OnLeaving func(host string)
}

// Runner runs tasks at upstreams. It is safe for concurrent use.
type Runner struct {
	cfg Config
}

// NewRunner returns a Runner.
func NewRunner(cfg Config) *Runner {
	return &Runner{cfg: cfg}
}

// Run runs one task and returns its answer. The end of ctx is the caller's cancellation: Run then stops the task,
// and returns once it is known whether it was run, or after a bounded time. ctx does not cut calls off.
func (r *Runner) Run(ctx context.Context, task *Task) Answer {
	if !task.Idempotent && task.RequestID == "" {
		// Upstreams can refuse a repeat only by its request ID.
		return Answer{Code: result.RequestIDInvalid, Detail: "a request that is not idempotent needs a request ID"}
	}
	run := &run{
		Runner:  r,
		task:    task,
		machine: NewMachine(task, newAttemptID, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		done:    make(chan CallDone),
	}
	var stop context.CancelFunc
	run.calls, stop = context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	run.step(time.Now(), Begin{})
	run.loop(ctx)
	return run.answer
}

// run is one execution of Run.
type run struct {
	*Runner
	task     *Task
	machine  *Machine
	calls    context.Context
	cancel   context.CancelFunc // of the outstanding call other than a renewal
	done     chan CallDone
	finished bool
	answer   Answer
}

func (r *run) loop(ctx context.Context) {
	cancelled := ctx.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !r.finished {
		timer.Reset(r.untilWake())
		select {
		case e := <-r.done:
			r.step(time.Now(), e)
		case <-cancelled:
			cancelled = nil
			r.step(time.Now(), Cancel{})
		case <-timer.C:
			r.step(time.Now(), Tick{})
		}
	}
}

func (r *run) untilWake() time.Duration {
	const idle = time.Minute
	at := r.machine.NextWake()
	if at.IsZero() {
		return idle
	}
	return time.Until(at)
}

// step performs the effects of an event, and those of the answers that effects have at once.
func (r *run) step(now time.Time, ev Event) {
	for ev != nil {
		effects := r.machine.Step(now, ev)
		ev = nil
		for _, effect := range effects {
			if answer := r.perform(effect); answer != nil {
				ev = answer
			}
		}
		now = time.Now()
	}
}

// perform performs an effect and returns its answer if it has one at once. At most one effect of a step has.
func (r *run) perform(effect Effect) Event {
	switch e := effect.(type) {
	case Acquire:
		return Acquired{r.cfg.Gate.Acquire(r.task)}
	case Pick:
		return r.pick(e)
	case Check:
		return Checked{r.cfg.Gate.Check(r.task, e.Host)}
	case FreeSlots:
		r.freeSlots(e.After)
	case NoteStart:
		r.cfg.Budget.NoteStart(time.Now())
	case EndAttempt:
		r.cfg.Router.Done(e.Candidate, e.Report, time.Now())
		if e.Report.Outcome == routing.Leaving && r.cfg.OnLeaving != nil {
			r.cfg.OnLeaving(e.Candidate.Host)
		}
	case Absolve:
		r.cfg.Router.Absolve(e.Host)
	case Call:
		r.call(e)
	case Finish:
		r.finished, r.answer = true, e.Answer
	}
	return nil
}

func (r *run) pick(e Pick) Event {
	now := time.Now()
	c, err := r.cfg.Router.Pick(r.task.Pool, r.task.Size, e.Exclude, now)
	if err == nil && e.Retry && !r.cfg.Budget.Take(now) {
		r.cfg.Router.Done(c, routing.Report{Outcome: routing.Neutral}, now)
		return Picked{Err: ErrRetryBudget}
	}
	return Picked{c, err}
}

func (r *run) freeSlots(after time.Duration) {
	if after == 0 {
		r.cfg.Gate.Release(r.task)
		return
	}
	r.cfg.Gate.ReleaseAfter(r.task, after)
}

func (r *run) call(c Call) {
	ctx, cancel := context.WithTimeout(r.calls, c.Timeout)
	if c.Kind != CallRenew {
		if r.cancel != nil {
			r.cancel()
		}
		r.cancel = cancel
	}
	go func() {
		defer cancel()
		answer := r.ask(ctx, c)
		select {
		case r.done <- answer:
		case <-r.calls.Done():
		}
	}()
}

func (r *run) ask(ctx context.Context, c Call) CallDone {
	client := r.cfg.Client(c.Candidate.Host, c.Candidate.Address)
	d := CallDone{ID: c.ID}
	switch c.Kind {
	case CallReserve:
		d.Err = client.Reserve(ctx, r.reservation(c))
	case CallStart:
		d.Err = client.Start(ctx, upstream.Task{
			AttemptID: c.AttemptID, Payload: r.task.Payload, RunMS: r.task.RunMS, Preemptible: r.task.Preemptible,
		})
	case CallResult:
		d.Attempt, d.Err = client.Result(ctx, c.AttemptID, c.Wait)
	case CallRenew:
		if r.cfg.MayRenew != nil && !r.cfg.MayRenew() {
			d.Err = upstream.ErrUnreachable
			return d
		}
		d.Unknown, d.Err = client.Renew(ctx, []string{c.AttemptID})
	case CallRelease:
		d.Err = client.Release(ctx, c.AttemptID)
	case CallStop:
		d.Attempt, d.Err = client.Stop(ctx, c.AttemptID, false)
	case CallStatus:
		d.Status, d.Err = client.Status(ctx)
	}
	return d
}

func (r *run) reservation(c Call) upstream.Reservation {
	return upstream.Reservation{
		AttemptID:       c.AttemptID,
		RequestID:       r.task.RequestID,
		Pool:            r.task.Pool,
		PoolEpoch:       c.Candidate.Epoch,
		Team:            r.task.Team,
		ControlRevision: c.Candidate.Revision,
		Owner:           r.cfg.Owner,
		Size:            r.task.Size,
	}
}

const attemptIDBytes = 16

func newAttemptID() string {
	var b [attemptIDBytes]byte
	crand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}
