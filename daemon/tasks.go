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
	// requeueMargin is the time before the deadline within which a request that found no upstream, or that was stopped
	// and could be requeued, is ended instead of being requeued.
	requeueMargin = 50 * time.Millisecond
)

// request is a submission that passed all checks.
type request struct {
	submission api.Submission
	queue      *bundle.Queue
	team       *bundle.Team
	keyHash    string // empty if the caller gave no key, which open queues allow
	received   time.Time
	deadline   time.Time
}

// checkSubmission makes the checks that are possible before a request is queued. Nothing has been run at that point,
// so every rejection can state this.
func (inc *incarnation) checkSubmission(key, queueName string, s api.Submission) (*request, *result.Error) {
	state, permission := inc.currentState()
	if state == nil {
		return nil, result.Errorf(result.NoPermission, "%s", permission.Reason)
	}
	r := &request{submission: s, received: time.Now()}
	r.queue = state.index.Queue(queueName)
	if r.queue == nil {
		return nil, result.Errorf(result.QueueUnknown, "%s", queueName)
	}
	if err := r.authenticate(state.index, key); err != nil {
		return nil, err
	}
	if err := r.checkLimits(); err != nil {
		return nil, err
	}
	if err := inc.d.routingTable.CheckSize(r.queue.Pool, s.Size()); err != nil {
		return nil, result.FromError(err, result.RequestMalformed)
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
	maxDeadline := time.Duration(r.queue.MaxDeadlineMS) * time.Millisecond
	if deadline == 0 {
		deadline = min(defaultDeadline, maxDeadline)
	}
	if deadline > maxDeadline {
		return result.Errorf(result.DeadlineInvalid, "%v, queue %s allows %v", deadline, r.queue.Name, maxDeadline)
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

// runRequest queues and dispatches a request until its outcome is known.
func (inc *incarnation) runRequest(ctx context.Context, id requestid.ID, r *request) requestid.Outcome {
	ticket, rejection := inc.scheduler.Enqueue(time.Now(), admission.Request{
		Team: r.team.Name, Pool: r.queue.Pool, Size: r.submission.Size(), Urgent: r.submission.Urgent,
		Preemptible: r.submission.Idempotent, Deadline: r.deadline, MaxQueued: r.queue.MaxQueued,
	})
	if rejection != nil {
		return outcomeFromError(rejection)
	}
	for {
		inc.wakeScheduler()
		if err := inc.awaitRelease(ctx, ticket, r); err != nil {
			return outcomeFromError(err)
		}
		answer, stopCause := inc.dispatch(ctx, ticket, id, r)
		if ctx.Err() != nil || !mayRequeue(ticket, r, answer.Code, stopCause) || time.Until(r.deadline) < requeueMargin {
			inc.scheduler.End(time.Now(), ticket)
			inc.wakeScheduler()
			return outcomeFromAnswer(withStopDetail(answer, stopCause))
		}
		inc.scheduler.Requeue(time.Now(), ticket)
	}
}

// mayRequeue reports whether a dispatched request goes back to its queue. It does if no upstream had room, which
// proves that it was not run. It also does if it was stopped by preemption, because its availability zone was taken
// out of service or because the team's cap was lowered, provided that it was not run or is idempotent.
func mayRequeue(t *admission.Ticket, r *request, code result.Code, stopCause int32) bool {
	switch code {
	case result.NoUpstream, result.RetriesExhausted:
		return true
	case result.CancelledBeforeRun:
		return t.Preempted() || stopCause == stoppedByZone || stopCause == stoppedByCap
	case result.CancelledRunning:
		return r.submission.Idempotent && (t.Preempted() || stopCause == stoppedByZone || stopCause == stoppedByCap)
	}
	return false
}

// withStopDetail adds to the answer the reason for which a running task was stopped.
func withStopDetail(a dispatch.Answer, stopCause int32) dispatch.Answer {
	if a.Code != result.CancelledRunning {
		return a
	}
	switch stopCause {
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

// awaitRelease waits until the scheduler releases the ticket. An error means that the request was not dispatched.
func (inc *incarnation) awaitRelease(ctx context.Context, t *admission.Ticket, r *request) *result.Error {
	timer := time.NewTimer(time.Until(r.deadline))
	defer timer.Stop()
	var err *result.Error
	select {
	case <-t.Ready:
		return nil
	case <-ctx.Done():
		err = result.Errorf(result.CancelledBeforeRun, "")
	case <-timer.C:
		err = result.Errorf(result.DeadlinePassed, "waited %v for pool %s", time.Since(r.received).Round(time.Millisecond), r.queue.Pool)
	}
	if inc.scheduler.Cancel(t) {
		return err
	}
	return nil
}

// dispatch runs a released request on an upstream.
func (inc *incarnation) dispatch(ctx context.Context, t *admission.Ticket, id requestid.ID, r *request) (dispatch.Answer, int32) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go cancelOnPreempt(ctx, cancel, t)
	g := &gate{inc: inc, keyHash: r.keyHash, acquired: true}
	defer g.releaseUnused(r.team.Name, r.submission.Slots)
	running := &runningTask{
		keyHash: r.keyHash, team: r.team.Name, slots: r.submission.Slots, started: time.Now(), cancel: cancel, upstreamHost: g.upstreamHost,
	}
	defer inc.track(running)()
	task := &dispatch.Task{
		Idempotent: r.submission.Idempotent, Team: r.team.Name, Queue: r.queue.Name, Pool: r.queue.Pool,
		Size: r.submission.Size(), Payload: r.submission.Payload, RunMS: r.submission.RunMS,
		Preemptible: r.submission.Idempotent, Deadline: r.deadline, QueueTime: time.Since(r.received),
	}
	if !task.Idempotent {
		task.RequestID = id.String()
	}
	answer := inc.newRunner(g).Run(ctx, task)
	return answer, running.stopCause.Load()
}

// cancelOnPreempt cancels a task that runs on borrowed capacity when the team that is entitled to the capacity needs
// it for urgent work.
func cancelOnPreempt(ctx context.Context, cancel context.CancelFunc, t *admission.Ticket) {
	select {
	case <-ctx.Done():
	case <-t.Preempt:
		cancel()
	}
}

func (inc *incarnation) newRunner(g *gate) *dispatch.Runner {
	return dispatch.NewRunner(dispatch.Config{
		Router: inc.d.routingTable, Budget: inc.d.retryBudget, Gate: g, Client: inc.d.upstreamClient,
		IncarnationID: inc.self.ID, OnUpstreamLeaving: inc.notifyLeaving,
		MayRenew: func() bool { return inc.loop.core.Permission(time.Now()).OK },
	})
}

func outcomeFromError(err *result.Error) requestid.Outcome {
	return requestid.Outcome{Code: err.Code, Detail: err.Detail, RetryAfter: err.RetryAfter}
}

func outcomeFromAnswer(a dispatch.Answer) requestid.Outcome {
	return requestid.Outcome{
		Code: a.Code, Detail: a.Detail, RetryAfter: a.RetryAfter, Answer: a.Payload, Upstream: a.Upstream, Zone: a.Zone,
		QueueDuration: a.Times.Queue, ReserveDuration: a.Times.Reserve, StartDuration: a.Times.Start, RunDuration: a.Times.Run,
	}
}

func (inc *incarnation) answerFromOutcome(id string, o requestid.Outcome) api.Answer {
	a := api.AnswerFromError(&result.Error{Code: o.Code, Detail: o.Detail, RetryAfter: o.RetryAfter})
	a.RequestID = id
	a.Host = inc.self.ID
	a.Upstream = o.Upstream
	a.Zone = o.Zone
	a.Output = o.Answer
	a.Steps = api.StepTimes{
		QueueUS: o.QueueDuration.Microseconds(), ReserveUS: o.ReserveDuration.Microseconds(),
		StartUS: o.StartDuration.Microseconds(), RunUS: o.RunDuration.Microseconds(),
	}
	return a
}
