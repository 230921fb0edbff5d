package daemon

import (
	"context"
	"time"

	"citrongauge.example/citrongauge/admission"
	"citrongauge.example/citrongauge/api"
	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/dispatch"
	"citrongauge.example/citrongauge/requestid"
	"citrongauge.example/citrongauge/result"
)

const (
	defaultDeadline = 60 * time.Second
	// requeueMargin is the time before the deadline within which a request that found no upstream is refused
	// rather than queued again.
	requeueMargin = 50 * time.Millisecond
)

// request is a submission that passed all checks.
type request struct {
	submission api.Submission
	queue      *bundle.Queue
	team       *bundle.Team
	keyHash    string // empty on queues that are open to all
	received   time.Time
	deadline   time.Time
}

// check refuses what can be refused before anything is queued. Nothing has been run at that point, so each refusal
// is true.
func (inc *incarnation) check(key, queueName string, s api.Submission) (*request, *result.Error) {
	st, permission := inc.current()
	if st == nil {
		return nil, result.Errorf(result.NoPermission, "%s", permission.Reason)
	}
	r := &request{submission: s, received: time.Now()}
	r.queue = st.index.Queue(queueName)
	if r.queue == nil {
		return nil, result.Errorf(result.QueueUnknown, "%s", queueName)
	}
	if err := r.authenticate(st.index, key); err != nil {
		return nil, err
	}
	if err := r.checkLimits(); err != nil {
		return nil, err
	}
	if err := inc.d.table.TooLarge(r.queue.Pool, s.Size()); err != nil {
		return nil, result.As(err, result.RequestMalformed)
	}
	if !permission.OK {
		return nil, result.Errorf(result.NoPermission, "%s", permission.Reason)
	}
	return r, nil
}

func (r *request) authenticate(index *bundle.Index, key string) *result.Error {
	if key == "" && r.queue.Open {
		r.team = index.Team(r.queue.OpenTeam)
		return nil
	}
	team, entry := index.Key(key)
	if entry == nil {
		return result.Errorf(result.KeyUnknown, "")
	}
	if entry.Withdrawn {
		return result.Errorf(result.KeyWithdrawn, "%s", entry.ID)
	}
	if !r.queue.MayUse(team.Name) {
		return result.Errorf(result.TeamNotAllowed, "team %s, queue %s", team.Name, r.queue.Name)
	}
	r.team = team
	r.keyHash = entry.SHA256
	return nil
}

func (r *request) checkLimits() *result.Error {
	deadline := time.Duration(r.submission.DeadlineMS) * time.Millisecond
	longest := time.Duration(r.queue.MaxDeadlineMS) * time.Millisecond
	if deadline == 0 {
		deadline = min(defaultDeadline, longest)
	}
	if deadline > longest {
		return result.Errorf(result.DeadlineInvalid, "%v, queue %s allows %v", deadline, r.queue.Name, longest)
	}
	r.deadline = r.received.Add(deadline)
	if r.team.Cap == 0 {
		return result.Errorf(result.CapZero, "team %s", r.team.Name)
	}
	if r.submission.Slots > r.team.Cap {
		return result.Errorf(result.TaskTooLarge, "slots: %d, the cap of team %s is %d", r.submission.Slots, r.team.Name, r.team.Cap)
	}
	return nil
}

// run takes a request through queue and dispatch until its outcome is known.
func (inc *incarnation) run(ctx context.Context, id requestid.ID, r *request) requestid.Outcome {
	ticket, refusal := inc.scheduler.Enqueue(time.Now(), admission.Request{
		Team: r.team.Name, Pool: r.queue.Pool, Size: r.submission.Size(), Urgent: r.submission.Urgent,
		Preemptible: r.submission.Idempotent, Deadline: r.deadline, MaxQueued: r.queue.MaxQueued,
	})
	if refusal != nil {
		return outcomeOf(refusal)
	}
	for {
		inc.wakeScheduler()
		if refusal := inc.await(ctx, ticket, r); refusal != nil {
			return outcomeOf(refusal)
		}
		answer, stopped := inc.dispatch(ctx, ticket, id, r)
		if ctx.Err() != nil || !mayRequeue(ticket, r, answer.Code, stopped) || time.Until(r.deadline) < requeueMargin {
			inc.scheduler.End(time.Now(), ticket)
			inc.wakeScheduler()
			return outcomeOfAnswer(explainStop(answer, stopped))
		}
		inc.scheduler.Requeue(time.Now(), ticket)
	}
}

// mayRequeue states whether a dispatched request goes back to its queue: no upstream had room, which proves that it
// was not run; or it is idempotent and was stopped to give lent capacity back, because its availability zone was taken
// out or because the team's cap was lowered.
func mayRequeue(t *admission.Ticket, r *request, code result.Code, stopped int32) bool {
	switch code {
	case result.NoUpstream, result.RetriesExhausted:
		return true
	case result.CancelledBeforeRun:
		return t.Preempted() || stopped == stoppedByZone || stopped == stoppedByCap
	case result.CancelledRunning:
		return r.submission.Idempotent && (t.Preempted() || stopped == stoppedByZone || stopped == stoppedByCap)
	}
	return false
}

// explainStop tells a caller why its running task was stopped.
func explainStop(a dispatch.Answer, stopped int32) dispatch.Answer {
	if a.Code != result.CancelledRunning {
		return a
	}
	switch stopped {
	case stoppedByKey:
		a.Detail = "the key was withdrawn"
	case stoppedByCap:
		a.Detail = "the team's cap was lowered"
	case stoppedByZone:
		a.Code = result.StoppedByDrain
		a.Detail = "availability zone " + a.Zone + " was taken out of service"
	}
	return a
}

// await waits until the scheduler releases the ticket. A refusal means that the request was not dispatched.
func (inc *incarnation) await(ctx context.Context, t *admission.Ticket, r *request) *result.Error {
	timer := time.NewTimer(time.Until(r.deadline))
	defer timer.Stop()
	var refusal *result.Error
	select {
	case <-t.Ready:
		return nil
	case <-ctx.Done():
		refusal = result.Errorf(result.CancelledBeforeRun, "")
	case <-timer.C:
		refusal = result.Errorf(result.DeadlinePassed, "waited %v for pool %s", time.Since(r.received).Round(time.Millisecond), r.queue.Pool)
	}
	if inc.scheduler.Cancel(t) {
		return refusal
	}
	return nil
}

// dispatch runs a released request at an upstream.
func (inc *incarnation) dispatch(ctx context.Context, t *admission.Ticket, id requestid.ID, r *request) (dispatch.Answer, int32) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go cancelOnPreempt(ctx, cancel, t)
	g := &gate{inc: inc, keyHash: r.keyHash, acquired: true}
	defer g.returnUnused(r.team.Name, r.submission.Slots)
	running := &runningTask{
		keyHash: r.keyHash, team: r.team.Name, slots: r.submission.Slots, started: time.Now(), cancel: cancel, host: g.host,
	}
	defer inc.track(running)()
	task := &dispatch.Task{
		Idempotent: r.submission.Idempotent, Team: r.team.Name, Queue: r.queue.Name, Pool: r.queue.Pool,
		Size: r.submission.Size(), Payload: r.submission.Payload, RunMS: r.submission.RunMS,
		Preemptible: r.submission.Idempotent, Deadline: r.deadline, Queued: time.Since(r.received),
	}
	if !task.Idempotent {
		task.RequestID = id.String()
	}
	answer := inc.newRunner(g).Run(ctx, task)
	return answer, running.stopped.Load()
}

// cancelOnPreempt cancels a task that runs on lent capacity which its owner needs for urgent work.
func cancelOnPreempt(ctx context.Context, cancel context.CancelFunc, t *admission.Ticket) {
	select {
	case <-ctx.Done():
	case <-t.Preempt:
		cancel()
	}
}

func (inc *incarnation) newRunner(g *gate) *dispatch.Runner {
	return dispatch.NewRunner(dispatch.Config{
		Router: inc.d.table, Budget: inc.d.budget, Gate: g, Client: inc.d.upstreamClient,
		Owner: inc.self.ID, OnLeaving: inc.tellLeaving,
		MayRenew: func() bool { return inc.loop.core.Permission(time.Now()).OK },
	})
}

func outcomeOf(err *result.Error) requestid.Outcome {
	return requestid.Outcome{Code: err.Code, Detail: err.Detail, RetryAfter: err.RetryAfter}
}

func outcomeOfAnswer(a dispatch.Answer) requestid.Outcome {
	return requestid.Outcome{
		Code: a.Code, Detail: a.Detail, RetryAfter: a.RetryAfter, Answer: a.Payload, Upstream: a.Upstream, Zone: a.Zone,
		Queue: a.Times.Queue, Reserve: a.Times.Reserve, Start: a.Times.Start, Run: a.Times.Run,
	}
}

func (inc *incarnation) answerOf(id string, o requestid.Outcome) api.Answer {
	a := api.AnswerOf(&result.Error{Code: o.Code, Detail: o.Detail, RetryAfter: o.RetryAfter})
	a.RequestID = id
	a.Host = inc.self.ID
	a.Upstream = o.Upstream
	a.Zone = o.Zone
	a.Output = o.Answer
	a.Steps = api.Steps{
		QueueUS: o.Queue.Microseconds(), ReserveUS: o.Reserve.Microseconds(),
		StartUS: o.Start.Microseconds(), RunUS: o.Run.Microseconds(),
	}
	return a
}
