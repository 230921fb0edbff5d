package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"sync"
	"time"

	"citrongauge.example/citrongauge/api"
	"citrongauge.example/citrongauge/peer"
	"citrongauge.example/citrongauge/requestid"
	"citrongauge.example/citrongauge/result"
	"citrongauge.example/citrongauge/upstream"
)

// forwardKind is the kind of a call that is forwarded to the owner of a request ID.
type forwardKind uint8

const (
	forwardSubmit forwardKind = iota + 1
	forwardStatus
	forwardCancel
)

// forwardMessage passes a caller's call on to the host that owns its request ID.
type forwardMessage struct {
	Kind       forwardKind    `cbor:"1,keyasint"`
	Key        string         `cbor:"2,keyasint,omitempty"`
	Queue      string         `cbor:"3,keyasint,omitempty"`
	RequestID  string         `cbor:"4,keyasint"`
	Submission api.Submission `cbor:"5,keyasint"`
	Wait       bool           `cbor:"6,keyasint,omitempty"`
}

const (
	// forwardMargin is added to a request's deadline for the way to the owner and back.
	forwardMargin = 2 * time.Second
	fenceTimeout  = 2 * time.Second
)

// IssueRequestIDs implements api.Backend.
func (d *Daemon) IssueRequestIDs(count int) ([]string, *result.Error) {
	inc := d.inc.Load()
	ids, err := inc.issue(count)
	if err != nil {
		return nil, err
	}
	texts := make([]string, len(ids))
	for i, id := range ids {
		texts[i] = id.String()
	}
	return texts, nil
}

func (inc *incarnation) issue(count int) ([]requestid.ID, *result.Error) {
	st, permission := inc.current()
	if st == nil {
		return nil, result.Errorf(result.NoPermission, "%s", permission.Reason)
	}
	ids, err := inc.issuer.Issue(time.Now(), st.record, count)
	if err != nil {
		return nil, result.As(err, result.RequestMalformed)
	}
	return ids, nil
}

// Submit implements api.Backend.
func (d *Daemon) Submit(ctx context.Context, key, queue string, s api.Submission, wait bool) api.Answer {
	inc := d.inc.Load()
	m := forwardMessage{Kind: forwardSubmit, Key: key, Queue: queue, RequestID: s.RequestID, Submission: s, Wait: wait}
	if s.RequestID == "" {
		return inc.submitNew(ctx, m)
	}
	id, err := requestid.Parse(s.RequestID, d.secret)
	if err != nil {
		return inc.answerOf(s.RequestID, outcomeOf(result.As(err, result.RequestMalformed)))
	}
	if id.Issuer == inc.self.ID {
		return inc.submitOwn(ctx, id, m)
	}
	return inc.submitForeign(ctx, id, m)
}

// submitNew issues an ID for a request that came without one. If the caller goes away before it has learnt the ID,
// nobody can ask for the outcome, so the request is cancelled.
func (inc *incarnation) submitNew(ctx context.Context, m forwardMessage) api.Answer {
	ids, refusal := inc.issue(1)
	if refusal != nil {
		return inc.answerOf("", outcomeOf(refusal))
	}
	a := inc.submitOwn(ctx, ids[0], m)
	if m.Wait && ctx.Err() != nil {
		_, _ = inc.table.Cancel(time.Now(), ids[0])
	}
	return a
}

// submitOwn runs a request whose ID this host issued, or joins an earlier submission with the same ID.
//
// A repeat is answered from the earlier submission before anything else is checked: refusing it because, say, the
// key was withdrawn meanwhile would say "not run" of work that was run. For the same reason a refusal uses the ID
// up, so that no submission that is on its way can run it afterwards. Only a refusal of an unknown key does not,
// since its sender may not be the owner of the ID.
func (inc *incarnation) submitOwn(ctx context.Context, id requestid.ID, m forwardMessage) api.Answer {
	r, refusal := inc.check(m.Key, m.Queue, m.Submission)
	if refusal != nil {
		inc.d.metrics.refused(m.Queue, refusal.Code)
		if refusal.Code == result.KeyUnknown {
			return inc.refuseKey(id, refusal)
		}
	}
	entry, first, err := inc.table.Begin(time.Now(), id, m.digest())
	if err != nil {
		return inc.answerOf(id.String(), outcomeOf(result.As(err, result.RequestMalformed)))
	}
	switch {
	case first && refusal != nil:
		entry.Finish(time.Now(), outcomeOf(refusal))
	case first:
		inc.tasks.Add(1)
		go inc.runEntry(id, entry, r)
	}
	if !m.Wait {
		return inc.answerNow(id, entry)
	}
	return inc.waitFor(ctx, id, entry)
}

// refuseKey answers a submission with an unknown key.
func (inc *incarnation) refuseKey(id requestid.ID, refusal *result.Error) api.Answer {
	if entry, _ := inc.table.Lookup(time.Now(), id); entry != nil {
		return inc.answerOf(id.String(), requestid.Outcome{Code: result.Pending, Detail: "submitted before, with another key"})
	}
	return inc.answerOf(id.String(), outcomeOf(refusal))
}

// answerNow answers a submission that does not wait.
func (inc *incarnation) answerNow(id requestid.ID, entry *requestid.Entry) api.Answer {
	outcome := entry.Outcome()
	if outcome.Code == result.Pending {
		outcome.Code = result.Accepted
	}
	return inc.answerOf(id.String(), outcome)
}

func (inc *incarnation) runEntry(id requestid.ID, entry *requestid.Entry, r *request) {
	defer inc.tasks.Done()
	// The request goes on when its caller's connection ends, and is cancelled when this incarnation ends.
	ctx, cancel := context.WithCancel(inc.ctx)
	defer cancel()
	go func() {
		select {
		case <-entry.Cancelled():
			cancel()
		case <-ctx.Done():
		}
	}()
	outcome := inc.run(ctx, id, r)
	entry.Finish(time.Now(), outcome)
	inc.d.metrics.finished(r, outcome, time.Since(r.received))
	inc.d.log.Info("request ended", "component", "task", "request_id", id.String(), "team", r.team.Name, "queue", r.queue.Name,
		"code", int(outcome.Code), "upstream", outcome.Upstream, "ms", time.Since(r.received).Milliseconds())
}

func (inc *incarnation) waitFor(ctx context.Context, id requestid.ID, entry *requestid.Entry) api.Answer {
	select {
	case <-entry.Done():
		return inc.answerOf(id.String(), entry.Outcome())
	case <-ctx.Done():
		return inc.answerOf(id.String(), requestid.Outcome{Code: result.Pending})
	}
}

// digest identifies what is run, so that an ID cannot be used for two different requests. The deadline is left out,
// since a repeat may have a shorter one.
func (m forwardMessage) digest() requestid.Digest {
	s := m.Submission
	s.RequestID = ""
	s.DeadlineMS = 0
	identity, err := json.Marshal(struct {
		Queue      string
		Submission api.Submission
	}{m.Queue, s})
	if err != nil {
		panic(err) // the struct has no values that JSON cannot hold
	}
	return sha256.Sum256(identity)
}

// submitForeign passes a request on to the host that issued its ID. If that host is gone, the request is recovered
// at the upstreams, or run here if it is idempotent.
func (inc *incarnation) submitForeign(ctx context.Context, id requestid.ID, m forwardMessage) api.Answer {
	if a, ok := inc.forward(ctx, id, m, m.timeout()); ok {
		return a
	}
	if m.Submission.Idempotent {
		m.Submission.RequestID = ""
		return inc.submitNew(ctx, m)
	}
	return inc.answerOf(id.String(), inc.recover(ctx, id, m.Queue))
}

// timeout is how long the owner of an ID may take to answer.
func (m forwardMessage) timeout() time.Duration {
	if m.Submission.DeadlineMS == 0 {
		return defaultDeadline + forwardMargin
	}
	return time.Duration(m.Submission.DeadlineMS)*time.Millisecond + forwardMargin
}

// forward calls the issuer of an ID. It returns false if the issuer did not answer, in which case it is unknown
// what became of the call.
func (inc *incarnation) forward(ctx context.Context, id requestid.ID, m forwardMessage, timeout time.Duration) (api.Answer, bool) {
	st := inc.loop.state.Load()
	if st == nil {
		return api.Answer{}, false
	}
	owner, ok := st.record.Member(id.Issuer)
	if !ok {
		return api.Answer{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var a api.Answer
	if err := inc.d.node.Call(ctx, owner.Address, owner.ID, peer.TypeForward, m, &a); err != nil {
		inc.d.log.Warn("owner of a request ID not reached", "component", "task", "request_id", id.String(), "owner", owner.ID, "err", err)
		return api.Answer{}, false
	}
	return a, true
}

// recover finds out at the upstreams what became of a request whose issuer is gone.
func (inc *incarnation) recover(ctx context.Context, id requestid.ID, queueName string) requestid.Outcome {
	st := inc.loop.state.Load()
	if st == nil || st.index == nil || st.index.Queue(queueName) == nil {
		return requestid.Outcome{Code: result.OwnerLost, Detail: "queue " + queueName + " is not known"}
	}
	pool := st.index.Queue(queueName).Pool
	targets, outcome, fence := requestid.Targets(id, st.record, pool)
	if !fence {
		return outcome
	}
	answers := make(map[string]requestid.FenceAnswer, len(targets))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, target := range targets {
		host := st.index.Host(target)
		if host == nil {
			continue
		}
		client := inc.d.upstreamClient(host.ID, host.Address)
		wg.Go(func() {
			answer := fenceAt(ctx, client, id.String())
			mu.Lock()
			defer mu.Unlock()
			answers[host.ID] = answer
		})
	}
	wg.Wait()
	return requestid.Recover(id, time.Now(), st.record, pool, answers)
}

func fenceAt(ctx context.Context, client upstream.Client, id string) requestid.FenceAnswer {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	answer, err := client.Fence(ctx, id)
	return requestid.FenceAnswer{Result: answer, Err: err}
}

// Status implements api.Backend.
func (d *Daemon) Status(ctx context.Context, key, requestID string, wait bool) api.Answer {
	return d.inc.Load().lookup(ctx, forwardMessage{Kind: forwardStatus, Key: key, RequestID: requestID, Wait: wait})
}

// Cancel implements api.Backend.
func (d *Daemon) Cancel(ctx context.Context, key, requestID string) api.Answer {
	return d.inc.Load().lookup(ctx, forwardMessage{Kind: forwardCancel, Key: key, RequestID: requestID, Wait: true})
}

// lookup answers a status call or a cancellation, here or at the issuer of the ID.
func (inc *incarnation) lookup(ctx context.Context, m forwardMessage) api.Answer {
	id, err := requestid.Parse(m.RequestID, inc.d.secret)
	if err != nil {
		return api.AnswerOf(result.As(err, result.RequestMalformed))
	}
	st, permission := inc.current()
	if st == nil {
		return api.AnswerOf(result.Errorf(result.OwnerUnreachable, "%s", permission.Reason))
	}
	if id.Issuer != inc.self.ID {
		if a, ok := inc.forward(ctx, id, m, defaultDeadline); ok {
			return a
		}
		return inc.answerOf(m.RequestID, requestid.Outcome{Code: result.OwnerUnreachable, Detail: "submit the request again to learn its outcome"})
	}
	return inc.lookupOwn(ctx, id, m)
}

func (inc *incarnation) lookupOwn(ctx context.Context, id requestid.ID, m forwardMessage) api.Answer {
	find := inc.table.Lookup
	if m.Kind == forwardCancel {
		find = inc.table.Cancel
	}
	entry, err := find(time.Now(), id)
	if err != nil {
		return inc.answerOf(m.RequestID, outcomeOf(result.As(err, result.RequestMalformed)))
	}
	if entry == nil {
		return inc.answerOf(m.RequestID, requestid.Outcome{Code: result.Pending, Detail: "not submitted yet"})
	}
	if m.Wait {
		return inc.waitFor(ctx, id, entry)
	}
	return inc.answerOf(m.RequestID, entry.Outcome())
}
