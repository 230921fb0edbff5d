package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// CallTimeout limits the duration of every call in addition to its context. For Result, it is added to the wait.
const CallTimeout = 2 * time.Second

// An upstream accepts 64 connections, which six or seven entry hosts share. Ten connections per entry host allow one
// call to wait for the result of the task in each of the upstream's eight slots, plus two other calls.
const (
	maxConnections     = 10
	maxIdleConnections = 2
)

// NewTransport returns a transport that the clients of any number of upstreams can share.
func NewTransport() *http.Transport {
	return &http.Transport{
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		MaxIdleConns:        1024,
		IdleConnTimeout:     30 * time.Second,
	}
}

// HTTPClient is a Client that uses HTTP. It is safe for concurrent use.
type HTTPClient struct {
	base   string
	client *http.Client
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client of the upstream at address (IP:port).
func NewHTTPClient(address string, transport http.RoundTripper) *HTTPClient {
	return &HTTPClient{
		base: "http://" + address + PathPrefix,
		client: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Reserve implements Client.
func (h *HTTPClient) Reserve(ctx context.Context, r Reservation) error {
	_, err := h.command(ctx, OpReserve, r.AttemptID, r)
	return err
}

// Start implements Client.
func (h *HTTPClient) Start(ctx context.Context, t Task) error {
	_, err := h.command(ctx, OpStart, t.AttemptID, t)
	return err
}

// Result implements Client.
func (h *HTTPClient) Result(ctx context.Context, attemptID string, wait time.Duration) (Attempt, error) {
	body := Request{AttemptID: attemptID, WaitMS: wait.Milliseconds()}
	return h.attemptCall(ctx, OpResult, attemptID, body, CallTimeout+max(0, wait))
}

// Renew implements Client.
func (h *HTTPClient) Renew(ctx context.Context, attemptIDs []string) ([]string, error) {
	reply, err := h.command(ctx, OpRenew, "", Request{AttemptIDs: attemptIDs})
	return reply.Unknown, err
}

// Release implements Client.
func (h *HTTPClient) Release(ctx context.Context, attemptID string) error {
	_, err := h.command(ctx, OpRelease, attemptID, Request{AttemptID: attemptID})
	return err
}

// Stop implements Client.
func (h *HTTPClient) Stop(ctx context.Context, attemptID string, checkpoint bool) (Attempt, error) {
	return h.attemptCall(ctx, OpStop, attemptID, Request{AttemptID: attemptID, Checkpoint: checkpoint}, CallTimeout)
}

// Throttle implements Client.
func (h *HTTPClient) Throttle(ctx context.Context, attemptID string, fraction float64) error {
	_, err := h.command(ctx, OpThrottle, attemptID, Request{AttemptID: attemptID, Fraction: fraction})
	return err
}

// Fence implements Client.
func (h *HTTPClient) Fence(ctx context.Context, requestID string) (FenceResult, error) {
	reply, err := h.command(ctx, OpFence, requestID, Request{RequestID: requestID})
	if err != nil {
		return FenceResult{}, err
	}
	if reply.Attempt == nil {
		return FenceResult{}, errors.Wrap(ErrUnreachable, "response contains no attempt")
	}
	attempt, err := reply.verify(reply.Attempt.AttemptID)
	return FenceResult{Attempt: attempt, Uptime: reply.UptimeNS}, err
}

// Status implements Client.
func (h *HTTPClient) Status(ctx context.Context) (Status, error) {
	reply, err := h.command(ctx, OpStatus, "", Request{})
	if err != nil {
		return Status{}, err
	}
	if reply.Status == nil {
		return Status{}, errors.Wrap(ErrUnreachable, "response contains no status")
	}
	return *reply.Status, nil
}

// Drain implements Client.
func (h *HTTPClient) Drain(ctx context.Context, epoch uint64, rejectAll bool) error {
	_, err := h.command(ctx, OpDrain, "", Request{Epoch: epoch, RejectAll: rejectAll})
	return err
}

// command performs a call and returns its reply. All errors other than definite responses are returned as
// ErrUnreachable.
func (h *HTTPClient) command(ctx context.Context, op Op, subject string, body any) (Reply, error) {
	reply, err := h.call(ctx, op, subject, body, CallTimeout)
	if errors.Is(err, ErrIncomplete) || errors.Is(err, ErrMismatched) {
		return Reply{}, errors.Wrap(ErrUnreachable, err.Error())
	}
	return reply, err
}

// attemptCall performs a call whose response contains an attempt, and verifies the attempt and its answer. Unlike
// command, it can return ErrIncomplete and ErrMismatched.
func (h *HTTPClient) attemptCall(ctx context.Context, op Op, attemptID string, body Request, timeout time.Duration) (Attempt, error) {
	reply, err := h.call(ctx, op, attemptID, body, timeout)
	if err != nil {
		return Attempt{}, err
	}
	return reply.verify(attemptID)
}

func (h *HTTPClient) call(ctx context.Context, op Op, subject string, body any, timeout time.Duration) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	data, err := h.post(ctx, op, body)
	if err != nil {
		return Reply{}, err
	}
	var reply Reply
	if err := json.Unmarshal(data, &reply); err != nil {
		return Reply{}, errors.Wrap(ErrIncomplete, err.Error())
	}
	if reply.Op != op || reply.Subject != subject {
		return Reply{}, errors.Wrapf(ErrMismatched, "requested %s %q, got %s %q", op, subject, reply.Op, reply.Subject)
	}
	if reply.Code == CodeOK {
		return reply, nil
	}
	if err := errorByCode[reply.Code]; err != nil {
		return Reply{}, err
	}
	return Reply{}, errors.Wrapf(ErrUnreachable, "unknown code %q", reply.Code)
}

// post sends a request and returns the body of the response. It returns ErrIncomplete if the body is truncated or too
// large.
func (h *HTTPClient) post(ctx context.Context, op Op, body any) ([]byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, h.base+string(op), bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := h.client.Do(request)
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, MaxBodyBytes+1))
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, errors.Wrap(ErrIncomplete, "connection closed before the end of the response")
	case err != nil:
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	case response.StatusCode != http.StatusOK:
		return nil, errors.Wrapf(ErrUnreachable, "unexpected status %d", response.StatusCode)
	case len(content) > MaxBodyBytes:
		return nil, errors.Wrapf(ErrIncomplete, "response exceeds %d bytes", MaxBodyBytes)
	}
	return content, nil
}
