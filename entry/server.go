// Package entry is an entry host on the platform: it accepts clients' jobs, answers for their state, and competes for
// the ownership of the fleet. Everything that lasts is in the platform's store, so that any host can answer any call.
package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/announce"
	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/operator"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/steady"
)

const (
	// defaultPatience is how long a client waits that does not say so.
	defaultPatience = 3 * time.Second
	// answerReserve is the part of a client's patience that is kept for the way of the answer.
	answerReserve = 150 * time.Millisecond
	// storePatience bounds how long a call waits for the store. A client that gets no certain answer in this time is
	// told so and asks another host.
	storePatience = 1800 * time.Millisecond
	// retryAfter is when a client that was refused should come back.
	retryAfter = time.Second
	// maxBody bounds a job's body if the bundle does not.
	maxBody = 256 << 10
	// bundleTries bounds how often a submission is decided anew because the bundle changed meanwhile.
	bundleTries = 4
	// defaultDowngrade stands in for a bound that the settings do not name.
	defaultDowngrade = 250 * time.Millisecond
	// arrivalReserve is the part of that bound that is kept for a call's way to this host.
	arrivalReserve = 50 * time.Millisecond
	// storeSilence is how long the store may be silent before calls are refused without asking it.
	storeSilence = 2500 * time.Millisecond
)

// server answers clients.
type server struct {
	ledger   *ledger.Ledger
	operator *operator.Follower
	metrics  *metrics
	announce func(announce.Message)
	log      func(event string, fields ...any)
	draining func() bool
	// bundlePatience bounds how long after its arrival a call may still be decided by a newer bundle. Calls that come
	// meanwhile are decided by the older one, and this host must not seem to go back.
	bundlePatience time.Duration
}

// bundlePatience returns how long a call may wait for the newest bundle.
func bundlePatience(bounds platform.Bounds) time.Duration {
	downgrade := bounds.Downgrade
	if downgrade <= 0 {
		downgrade = defaultDowngrade
	}
	return max(downgrade-arrivalReserve, arrivalReserve)
}

// reply is the answer to one call.
type reply struct {
	outcome
	body   []byte // nil: the outcome's own
	inputs []any  // what decided it, for the log
}

func (s *server) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	begin := time.Now()
	r := s.handle(request)
	header := w.Header()
	if r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests {
		header.Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
	}
	if r.body == nil {
		r.body = r.outcome.body()
	}
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(r.body)))
	if s.draining() {
		header.Set("Connection", "close")
	}
	w.WriteHeader(r.status)
	if _, err := w.Write(r.body); err != nil {
		s.log("answer not delivered", "path", request.URL.Path, "error", err.Error())
	}
	s.metrics.answered(request.Method, r.status, time.Since(begin))
}

// handle decides a call and logs the decision.
func (s *server) handle(request *http.Request) reply {
	ctx, cancel := context.WithTimeout(request.Context(), s.patience(request))
	defer cancel()
	begin := time.Now()
	refresh, stop := context.WithTimeout(ctx, s.bundlePatience)
	defer stop()
	c, refused := s.admit(refresh, request)
	if refused != nil {
		s.logCall(request, "", *refused, begin)
		return *refused
	}
	var r reply
	switch {
	case c.rest == "" && request.Method == http.MethodGet:
		r = s.pending(ctx, c)
	case request.Method == http.MethodPost:
		r = s.submit(ctx, refresh, c, request)
	case request.Method == http.MethodGet:
		r = s.state(ctx, c)
	case request.Method == http.MethodDelete:
		r = s.cancel(ctx, c)
	default:
		r = reply{outcome: badMethod}
	}
	if request.Method != http.MethodGet || r.status >= http.StatusBadRequest {
		s.logCall(request, c.rest, r, begin)
	}
	return r
}

func (s *server) logCall(request *http.Request, rest string, r reply, begin time.Time) {
	fields := append([]any{
		"job", rest, "method", request.Method, "path", request.URL.Path, "status", r.status, "code", r.code, "reason", r.text,
		"took_ms", time.Since(begin).Milliseconds(), "store_age_ms", s.operator.Age().Milliseconds(),
	}, r.inputs...)
	s.log("call", fields...)
}

func (s *server) patience(request *http.Request) time.Duration {
	patience := platform.PatienceOf(request.Header, defaultPatience)
	return min(max(patience-answerReserve, answerReserve), storePatience)
}

// call is an admitted call.
type call struct {
	queue  platform.BundleQueue
	team   string
	rest   string // of the path, after the queue's prefix
	bundle *platform.Bundle
	key    string
}

// admit finds the queue and the team of a call. Before a call is refused for an unknown queue or key, the newest
// bundle is read: this host may be behind.
func (s *server) admit(ctx context.Context, request *http.Request) (call, *reply) {
	c, refused := s.match(s.operator.State().Bundle, request)
	if refused == nil {
		return c, nil
	}
	if err := s.operator.Refresh(ctx); err != nil {
		return call{}, &reply{
			outcome: bundleUnread,
			inputs:  []any{"error", err.Error(), "would_be", refused.status},
		}
	}
	c, refused = s.match(s.operator.State().Bundle, request)
	return c, refused
}

// match decides a call by a bundle.
func (s *server) match(bundle *platform.Bundle, request *http.Request) (call, *reply) {
	if bundle == nil {
		return call{}, &reply{outcome: noBundle}
	}
	inputs := []any{"bundle", bundle.Version, "revision", bundle.Revision}
	queue, rest, ok := findQueue(bundle, request.Host, request.URL.Path)
	if !ok {
		return call{}, &reply{outcome: noQueue, inputs: inputs}
	}
	c := call{queue: queue, rest: rest, bundle: bundle, key: platform.KeyOf(request.Header)}
	team, known := bundle.TeamOf(c.key)
	if !known && !queue.Public {
		return call{}, &reply{outcome: unknownKey, inputs: inputs}
	}
	c.team = team
	return c, nil
}

// findQueue returns the queue with the longest prefix of the path.
func findQueue(bundle *platform.Bundle, host, path string) (platform.BundleQueue, string, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	best := -1
	for i := range bundle.Queues {
		queue := &bundle.Queues[i]
		if strings.EqualFold(queue.Host, host) && strings.HasPrefix(path, queue.Prefix) &&
			(best < 0 || len(queue.Prefix) > len(bundle.Queues[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return platform.BundleQueue{}, "", false
	}
	return bundle.Queues[best], strings.TrimPrefix(path, bundle.Queues[best].Prefix), true
}

// submit stores a job. Once a write has been sent, the job may exist: only a certain answer of the store allows a
// refusal that says it does not. refresh bounds readings of the bundle.
func (s *server) submit(ctx, refresh context.Context, c call, request *http.Request) reply {
	id, err := job.ParseID(c.rest)
	if err != nil {
		return reply{outcome: badID, inputs: []any{"error", err.Error()}}
	}
	limit := c.bundle.Limits.BodyBytes
	if limit <= 0 {
		limit = maxBody
	}
	data, err := io.ReadAll(io.LimitReader(request.Body, limit+1))
	if err != nil {
		return reply{outcome: badBody, inputs: []any{"error", err.Error()}}
	}
	if int64(len(data)) > limit {
		return reply{outcome: largeBody}
	}
	j, err := platform.DecodeSubmission(data)
	if err != nil {
		return reply{outcome: badRequest, inputs: []any{"error", err.Error()}}
	}
	if s.operator.Age() > storeSilence {
		return reply{outcome: storeSilent}
	}
	j.ID = id
	for range bundleTries {
		j.Team, j.Queue, j.AcceptedMS = c.team, c.queue.Queue, steady.WallMS()
		created, err := s.ledger.Submit(ctx, j, c.bundle.Revision)
		inputs := []any{"queue", c.queue.Name, "team", c.team, "bundle", c.bundle.Version, "tasks", j.Steps[0].Count,
			"steps", len(j.Steps), "created", created}
		switch {
		case err == nil:
			if created != 0 {
				s.announce(announce.Message{Job: j, Created: created})
			}
			return reply{outcome: accepted, inputs: inputs}
		case errors.Is(err, ledger.ErrStaleBundle):
			if refused := s.readmit(refresh, &c, request); refused != nil {
				return *refused
			}
		case errors.Is(err, platform.ErrNotDone):
			return reply{
				outcome: storeRefused,
				inputs:  append(inputs, "error", err.Error()),
			}
		default:
			return reply{
				outcome: jobUncertain,
				inputs:  append(inputs, "error", err.Error()),
			}
		}
	}
	return reply{outcome: bundleChanging}
}

// readmit decides a call again by the newest bundle.
func (s *server) readmit(ctx context.Context, c *call, request *http.Request) *reply {
	if err := s.operator.Refresh(ctx); err != nil {
		return &reply{
			outcome: bundleUnread,
			inputs:  []any{"error", err.Error()},
		}
	}
	next, refused := s.match(s.operator.State().Bundle, request)
	if refused == nil {
		*c = next
	}
	return refused
}

func (s *server) state(ctx context.Context, c call) reply {
	id, err := job.ParseID(c.rest)
	if err != nil {
		return reply{outcome: noJob}
	}
	view, err := s.ledger.Lookup(ctx, id)
	switch {
	case errors.Is(err, ledger.ErrNoJob):
		return reply{outcome: noJob}
	case err != nil:
		return s.storeFailed(err)
	}
	return reply{outcome: stateShown, body: platform.EncodePhase(view.Phase())}
}

func (s *server) cancel(ctx context.Context, c call) reply {
	id, err := job.ParseID(c.rest)
	if err != nil {
		return reply{outcome: noJob}
	}
	err = s.ledger.Cancel(ctx, id)
	switch {
	case errors.Is(err, ledger.ErrNoJob):
		return reply{outcome: noJob}
	case err != nil:
		return s.storeFailed(err)
	}
	s.announce(announce.Message{Cancelled: id})
	return reply{outcome: cancelled}
}

func (s *server) pending(ctx context.Context, c call) reply {
	pending, _, err := s.ledger.Pending(ctx)
	if err != nil {
		return s.storeFailed(err)
	}
	return reply{outcome: pendingShown, body: platform.EncodePending(pending[c.queue.Name])}
}

// storeFailed answers a call that changes nothing, or that may be repeated, when the store cannot be used.
func (s *server) storeFailed(err error) reply {
	return reply{
		outcome: storeFailed,
		inputs:  []any{"error", err.Error()},
	}
}
