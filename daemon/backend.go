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

// forwardKind is the kind of a call that is forwarded to the issuer of a request ID.
type forwardKind uint8

const (
	forwardSubmit forwardKind = iota + 1
	forwardStatus
	forwardCancel
)

// forwardMessage forwards a caller's call to the entry host that issued its request ID. The issuer also holds the calls
// that it receives directly in this form, so that both kinds are handled alike.
type forwardMessage struct {
	Kind       forwardKind    `cbor:"1,keyasint"`
	Key        string         `cbor:"2,keyasint,omitempty"`
	Queue      string         `cbor:"3,keyasint,omitempty"`
	RequestID  string         `cbor:"4,keyasint"`
	Submission api.Submission `cbor:"5,keyasint"`
	Wait       bool           `cbor:"6,keyasint,omitempty"`
}

const (
	// forwardMargin is added to a request's deadline for the round trip to the issuer.
	forwardMargin = 2 * time.Second
	// fenceTimeout bounds the call that fences a request ID at one upstream.
	fenceTimeout = 2 * time.Second
)

// IssueRequestIDs implements api.Backend.
func (d *Daemon) IssueRequestIDs(count int) ([]string, *result.Error) {
	inc := d.inc.Load()
	ids, err := inc.issueRequestIDs(count)
	if err != nil {
		return nil, err
	}
	texts := make([]string, len(ids))
	for i, id := range ids {
		texts[i] = id.String()
	}
	return texts, nil
}

func (inc *incarnation) issueRequestIDs(count int) ([]requestid.ID, *result.Error) {
	state, permission := inc.currentState()
	if state == nil {
		return nil, result.Errorf(result.NoPermission, "%s", permission.Reason)
	}
	ids, err := inc.issuer.Issue(time.Now(), state.record, count)
	if err != nil {
		return nil, result.FromError(err, result.RequestMalformed)
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
		return inc.answerFromOutcome(s.RequestID, outcomeFromError(result.FromError(err, result.RequestMalformed)))
	}
	if id.Issuer == inc.self.ID {
		return inc.submitLocal(ctx, id, m)
	}
	return inc.submitRemote(ctx, id, m)
}

// submitNew issues an ID for a request that came without one. If the caller disconnects before it has received the
// ID, nobody can ask for the outcome, so the request is cancelled.
func (inc *incarnation) submitNew(ctx context.Context, m forwardMessage) api.Answer {
	ids, rejection := inc.issueRequestIDs(1)
	if rejection != nil {
		return inc.answerFromOutcome("", outcomeFromError(rejection))
	}
	a := inc.submitLocal(ctx, ids[0], m)
	if m.Wait && ctx.Err() != nil {
		_, _ = inc.requestTable.Cancel(time.Now(), ids[0])
	}
	return a
}

// submitLocal runs a request whose ID this host issued, or joins an earlier submission with the same ID.
//
// Unless the key is unknown, a repeat is answered from the earlier submission whatever the checks find: rejecting it,
// for example because the key was withdrawn in the meantime, would report work as not run that was run. For the same
// reason a rejection uses up the ID, so that a submission that is still in transit cannot run it afterwards. The
// rejection of an unknown key does not, since its sender may not be the caller to whom the ID was issued.
func (inc *incarnation) submitLocal(ctx context.Context, id requestid.ID, m forwardMessage) api.Answer {
	r, rejection := inc.checkSubmission(m.Key, m.Queue, m.Submission)
	if rejection != nil {
		inc.d.metrics.countRejection(m.Queue, rejection.Code)
		if rejection.Code == result.KeyUnknown {
			return inc.rejectUnknownKey(id, rejection)
		}
	}
	entry, first, err := inc.requestTable.Begin(time.Now(), id, m.digest())
	if err != nil {
		return inc.answerFromOutcome(id.String(), outcomeFromError(result.FromError(err, result.RequestMalformed)))
	}
	switch {
	case first && rejection != nil:
		entry.Finish(time.Now(), outcomeFromError(rejection))
	case first:
		inc.activeRequests.Add(1)
		go inc.runEntry(id, entry, r)
	}
	if !m.Wait {
		return inc.answerWithoutWaiting(id, entry)
	}
	return inc.waitForOutcome(ctx, id, entry)
}

// rejectUnknownKey answers a submission with an unknown key. It does not use up the request ID.
func (inc *incarnation) rejectUnknownKey(id requestid.ID, rejection *result.Error) api.Answer {
	if entry, _ := inc.requestTable.Lookup(time.Now(), id); entry != nil {
		return inc.answerFromOutcome(id.String(), requestid.Outcome{Code: result.Pending, Detail: "submitted before, with another key"})
	}
	return inc.answerFromOutcome(id.String(), outcomeFromError(rejection))
}

// answerWithoutWaiting answers a submission that does not wait for its outcome.
func (inc *incarnation) answerWithoutWaiting(id requestid.ID, entry *requestid.Entry) api.Answer {
	outcome := entry.Outcome()
	if outcome.Code == result.Pending {
		outcome.Code = result.Accepted
	}
	return inc.answerFromOutcome(id.String(), outcome)
}

// runEntry runs the request of a new entry of the request table and records its outcome.
func (inc *incarnation) runEntry(id requestid.ID, entry *requestid.Entry, r *request) {
	defer inc.activeRequests.Done()
	// The request continues when its caller disconnects, and is cancelled when this incarnation ends.
	ctx, cancel := context.WithCancel(inc.ctx)
	defer cancel()
	go func() {
		select {
		case <-entry.Cancelled():
			cancel()
		case <-ctx.Done():
		}
	}()
	outcome := inc.runRequest(ctx, id, r)
	entry.Finish(time.Now(), outcome)
	inc.d.metrics.observeOutcome(r, outcome, time.Since(r.received))
	inc.d.log.Info("request ended", "component", "task", "request_id", id.String(), "team", r.team.Name, "queue", r.queue.Name,
		"code", int(outcome.Code), "upstream", outcome.Upstream, "ms", time.Since(r.received).Milliseconds())
}

func (inc *incarnation) waitForOutcome(ctx context.Context, id requestid.ID, entry *requestid.Entry) api.Answer {
	select {
	case <-entry.Done():
		return inc.answerFromOutcome(id.String(), entry.Outcome())
	case <-ctx.Done():
		return inc.answerFromOutcome(id.String(), requestid.Outcome{Code: result.Pending})
	}
}

// digest identifies the work of a submission, so that an ID cannot be used for two different requests. The deadline
// is left out, since a repeat may have a shorter one.
func (m forwardMessage) digest() requestid.Digest {
	s := m.Submission
	s.RequestID = ""
	s.DeadlineMS = 0
	identity, err := json.Marshal(struct {
		Queue      string
		Submission api.Submission
	}{m.Queue, s})
	if err != nil {
		panic(err) // cannot happen: JSON can represent all fields
	}
	return sha256.Sum256(identity)
}

// submitRemote forwards a request to the host that issued its ID. If that host does not respond, an idempotent request
// is run here under a new ID; the outcome of any other is determined at the upstreams.
func (inc *incarnation) submitRemote(ctx context.Context, id requestid.ID, m forwardMessage) api.Answer {
	if a, ok := inc.forward(ctx, id, m, m.timeout()); ok {
		return a
	}
	if m.Submission.Idempotent {
		m.Submission.RequestID = ""
		return inc.submitNew(ctx, m)
	}
	return inc.answerFromOutcome(id.String(), inc.resolveOutcome(ctx, id, m.Queue))
}

// timeout returns how long to wait for the issuer's response.
func (m forwardMessage) timeout() time.Duration {
	if m.Submission.DeadlineMS == 0 {
		return defaultDeadline + forwardMargin
	}
	return time.Duration(m.Submission.DeadlineMS)*time.Millisecond + forwardMargin
}

// forward calls the issuer of an ID. It returns false if the issuer did not respond; the outcome of the call is then
// unknown.
func (inc *incarnation) forward(ctx context.Context, id requestid.ID, m forwardMessage, timeout time.Duration) (api.Answer, bool) {
	state := inc.loop.state.Load()
	if state == nil {
		return api.Answer{}, false
	}
	issuer, ok := state.record.Member(id.Issuer)
	if !ok {
		return api.Answer{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var a api.Answer
	if err := inc.d.node.Call(ctx, issuer.Address, issuer.ID, peer.TypeForward, m, &a); err != nil {
		inc.d.log.Warn("issuer of the request ID did not respond", "component", "task", "request_id", id.String(), "owner", issuer.ID, "err", err)
		return api.Answer{}, false
	}
	return a, true
}

// resolveOutcome determines the outcome of a request whose issuer does not respond. It fences the request ID at the
// upstreams, after which they reject further reservations with this ID and report whether the request was run.
func (inc *incarnation) resolveOutcome(ctx context.Context, id requestid.ID, queueName string) requestid.Outcome {
	state := inc.loop.state.Load()
	if state == nil || state.index == nil || state.index.Queue(queueName) == nil {
		return requestid.Outcome{Code: result.OwnerLost, Detail: "queue " + queueName + " is not known"}
	}
	pool := state.index.Queue(queueName).Pool
	targets, outcome, fence := requestid.FenceTargets(id, state.record, pool)
	if !fence {
		return outcome
	}
	responses := make(map[string]requestid.FenceResponse, len(targets))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, target := range targets {
		host := state.index.Host(target)
		if host == nil {
			continue
		}
		client := inc.d.upstreamClient(host.ID, host.Address)
		wg.Go(func() {
			response := fenceRequest(ctx, client, id.String())
			mu.Lock()
			defer mu.Unlock()
			responses[host.ID] = response
		})
	}
	wg.Wait()
	return requestid.ResolveOutcome(id, time.Now(), state.record, pool, responses)
}

func fenceRequest(ctx context.Context, client upstream.Client, id string) requestid.FenceResponse {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	fenceResult, err := client.Fence(ctx, id)
	return requestid.FenceResponse{Result: fenceResult, Err: err}
}

// Status implements api.Backend.
func (d *Daemon) Status(ctx context.Context, key, requestID string, wait bool) api.Answer {
	return d.inc.Load().statusOrCancel(ctx, forwardMessage{Kind: forwardStatus, Key: key, RequestID: requestID, Wait: wait})
}

// Cancel implements api.Backend.
func (d *Daemon) Cancel(ctx context.Context, key, requestID string) api.Answer {
	return d.inc.Load().statusOrCancel(ctx, forwardMessage{Kind: forwardCancel, Key: key, RequestID: requestID, Wait: true})
}

// statusOrCancel answers a status call or a cancellation, here or through the issuer of the ID.
func (inc *incarnation) statusOrCancel(ctx context.Context, m forwardMessage) api.Answer {
	id, err := requestid.Parse(m.RequestID, inc.d.secret)
	if err != nil {
		return api.AnswerFromError(result.FromError(err, result.RequestMalformed))
	}
	state, permission := inc.currentState()
	if state == nil {
		return api.AnswerFromError(result.Errorf(result.OwnerUnreachable, "%s", permission.Reason))
	}
	if id.Issuer != inc.self.ID {
		if a, ok := inc.forward(ctx, id, m, defaultDeadline); ok {
			return a
		}
		return inc.answerFromOutcome(m.RequestID, requestid.Outcome{Code: result.OwnerUnreachable, Detail: "submit the request again to learn its outcome"})
	}
	return inc.statusOrCancelLocal(ctx, id, m)
}

// statusOrCancelLocal answers a status call or a cancellation for an ID that this host issued.
func (inc *incarnation) statusOrCancelLocal(ctx context.Context, id requestid.ID, m forwardMessage) api.Answer {
	find := inc.requestTable.Lookup
	if m.Kind == forwardCancel {
		find = inc.requestTable.Cancel
	}
	entry, err := find(time.Now(), id)
	if err != nil {
		return inc.answerFromOutcome(m.RequestID, outcomeFromError(result.FromError(err, result.RequestMalformed)))
	}
	if entry == nil {
		return inc.answerFromOutcome(m.RequestID, requestid.Outcome{Code: result.Pending, Detail: "not submitted yet"})
	}
	if m.Wait {
		return inc.waitForOutcome(ctx, id, entry)
	}
	return inc.answerFromOutcome(m.RequestID, entry.Outcome())
}
