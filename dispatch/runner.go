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

// Router selects upstreams. *routing.Table implements it.
type Router interface {
	Pick(pool string, size upstream.Size, exclude []string, now time.Time) (routing.Selection, error)
	Done(selection routing.Selection, report routing.Report, now time.Time)
	RetractFailure(host string)
}

// Config holds the dependencies of a Runner.
type Config struct {
	Router Router
	Budget *routing.RetryBudget
	Gate   Gate
	// Client returns the client of an upstream. It must not block.
	Client func(host, address string) upstream.Client
	// IncarnationID is the ID of this incarnation of the entry host. It is sent with each reservation.
	IncarnationID string
	// MayRenew is called right before each renewal of a task's lease and reports whether this host may renew. A host
	// without permission must not: once it is evicted, its grant returns to the fleet when the leases of its tasks
	// have expired. If MayRenew is nil, renewals are always allowed.
	MayRenew func() bool
	// OnUpstreamLeaving is called when an upstream rejects an attempt because it is leaving, so that peers can be
	// notified. It may be nil and must not block.
	OnUpstreamLeaving func(host string)
}

// Runner runs tasks on upstreams. It is safe for concurrent use.
type Runner struct {
	cfg Config
}

// NewRunner returns a Runner.
func NewRunner(cfg Config) *Runner {
	return &Runner{cfg: cfg}
}

// Run runs one task and returns its answer. When ctx ends, the caller has cancelled the task: Run stops it and returns
// as soon as it is known whether it ran, or after a bounded time. The end of ctx does not abort calls in progress.
func (r *Runner) Run(ctx context.Context, task *Task) Answer {
	if !task.Idempotent && task.RequestID == "" {
		// Upstreams detect a repeated request only by its request ID.
		return Answer{Code: result.RequestIDInvalid, Detail: "a request that is not idempotent needs a request ID"}
	}
	run := &taskRun{
		Runner:   r,
		task:     task,
		machine:  NewStateMachine(task, newAttemptID, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		callDone: make(chan CallDone),
	}
	var stop context.CancelFunc
	run.callsCtx, stop = context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	run.step(time.Now(), Begin{})
	run.loop(ctx)
	return run.answer
}

// taskRun is one execution of Run.
type taskRun struct {
	*Runner
	task     *Task
	machine  *StateMachine
	callsCtx context.Context
	cancel   context.CancelFunc // cancels the outstanding call other than CallRenew
	callDone chan CallDone
	finished bool
	answer   Answer
}

func (r *taskRun) loop(ctx context.Context) {
	cancelled := ctx.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !r.finished {
		timer.Reset(r.untilWake())
		select {
		case e := <-r.callDone:
			r.step(time.Now(), e)
		case <-cancelled:
			cancelled = nil
			r.step(time.Now(), Cancel{})
		case <-timer.C:
			r.step(time.Now(), Tick{})
		}
	}
}

func (r *taskRun) untilWake() time.Duration {
	const idle = time.Minute
	at := r.machine.NextWake()
	if at.IsZero() {
		return idle
	}
	return time.Until(at)
}

// step handles an event and performs its effects. If an effect has an immediate result, it handles that next.
func (r *taskRun) step(now time.Time, ev Event) {
	for ev != nil {
		effects := r.machine.Step(now, ev)
		ev = nil
		for _, effect := range effects {
			if next := r.perform(effect); next != nil {
				ev = next
			}
		}
		now = time.Now()
	}
}

// perform performs an effect and returns its result if that is available immediately, nil otherwise. At most one effect
// of a step has an immediate result.
func (r *taskRun) perform(effect Effect) Event {
	switch e := effect.(type) {
	case Acquire:
		return Acquired{r.cfg.Gate.Acquire(r.task)}
	case Pick:
		return r.pick(e)
	case Check:
		return Checked{r.cfg.Gate.Check(r.task, e.Host)}
	case ReleaseSlots:
		r.releaseSlots(e.After)
	case RecordStart:
		r.cfg.Budget.RecordStart(time.Now())
	case EndAttempt:
		r.cfg.Router.Done(e.Selection, e.Report, time.Now())
		if e.Report.Outcome == routing.Leaving && r.cfg.OnUpstreamLeaving != nil {
			r.cfg.OnUpstreamLeaving(e.Selection.Host)
		}
	case RetractFailure:
		r.cfg.Router.RetractFailure(e.Host)
	case Call:
		r.startCall(e)
	case Finish:
		r.finished, r.answer = true, e.Answer
	}
	return nil
}

func (r *taskRun) pick(e Pick) Event {
	now := time.Now()
	selection, err := r.cfg.Router.Pick(r.task.Pool, r.task.Size, e.Exclude, now)
	if err == nil && e.Retry && !r.cfg.Budget.Take(now) {
		r.cfg.Router.Done(selection, routing.Report{Outcome: routing.Neutral}, now)
		return Picked{Err: ErrRetryBudget}
	}
	return Picked{selection, err}
}

func (r *taskRun) releaseSlots(after time.Duration) {
	if after == 0 {
		r.cfg.Gate.Release(r.task)
		return
	}
	r.cfg.Gate.ReleaseAfter(r.task, after)
}

// startCall performs a call in the background. Its result arrives on callDone.
func (r *taskRun) startCall(c Call) {
	ctx, cancel := context.WithTimeout(r.callsCtx, c.Timeout)
	if c.Kind != CallRenew {
		if r.cancel != nil {
			r.cancel()
		}
		r.cancel = cancel
	}
	go func() {
		defer cancel()
		done := r.execute(ctx, c)
		select {
		case r.callDone <- done:
		case <-r.callsCtx.Done():
		}
	}()
}

func (r *taskRun) execute(ctx context.Context, c Call) CallDone {
	client := r.cfg.Client(c.Selection.Host, c.Selection.Address)
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
		d.UnknownAttempts, d.Err = client.Renew(ctx, []string{c.AttemptID})
	case CallRelease:
		d.Err = client.Release(ctx, c.AttemptID)
	case CallStop:
		d.Attempt, d.Err = client.Stop(ctx, c.AttemptID, false)
	case CallStatus:
		d.Status, d.Err = client.Status(ctx)
	}
	return d
}

func (r *taskRun) reservation(c Call) upstream.Reservation {
	return upstream.Reservation{
		AttemptID:       c.AttemptID,
		RequestID:       r.task.RequestID,
		Pool:            r.task.Pool,
		PoolEpoch:       c.Selection.Epoch,
		Team:            r.task.Team,
		ControlRevision: c.Selection.Revision,
		Owner:           r.cfg.IncarnationID,
		Size:            r.task.Size,
	}
}

const attemptIDBytes = 16

func newAttemptID() string {
	var b [attemptIDBytes]byte
	crand.Read(b[:]) // never returns an error
	return hex.EncodeToString(b[:])
}
