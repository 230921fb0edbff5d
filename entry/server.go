// Package entry implements an entry host on the platform: it accepts jobs from clients, reports their state, and
// competes for the ownership of the fleet. All durable state is in the platform's store: any host can handle any call.
package entry

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/announce"
	"citrongauge.example/citrongauge/clock"
	"citrongauge.example/citrongauge/intake"
	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/operator"
	"citrongauge.example/citrongauge/platform"
)

const (
	// defaultClientTimeout is the assumed timeout of a client that does not send one.
	defaultClientTimeout = 3 * time.Second
	// responseReserve is the part of the client's timeout that is left for the response to reach the client.
	responseReserve = 150 * time.Millisecond
	// maxCallTimeout bounds how long a call other than a submission waits for the store. If the store has not given a definite
	// response by then, the client is told so and can ask another host.
	maxCallTimeout = 1800 * time.Millisecond
	// maxSubmitTimeout bounds how long the outcome of a submission is settled, whatever timeout the client sends.
	maxSubmitTimeout = 10 * time.Second
	// defaultMaxBodyBytes limits the size of a submission if the bundle does not.
	defaultMaxBodyBytes = 256 << 10
	// maxBundleAttempts bounds how often a submission is tried while the bundle keeps changing.
	maxBundleAttempts = 4
	// defaultDowngradeSlack is used if the settings do not set bounds.downgrade_slack_ms: how long after the first
	// response based on a new bundle a host may still send responses based on an older one.
	defaultDowngradeSlack = 250 * time.Millisecond
	// defaultConfigApply is used if the settings do not set bounds.config_apply_ms.
	defaultConfigApply = 2 * time.Second
	// bundleAgeReserve is the part of the time for applying a bundle that is left for inexact timers of the store, on
	// which a host relies when a watch ends without a change.
	bundleAgeReserve = 100 * time.Millisecond
	// arrivalReserve is the part of the downgrade slack that is left for a call to reach this host.
	arrivalReserve = 50 * time.Millisecond
	// maxSubmitStoreAge is the longest time since the store's last response at which submissions are still sent to
	// it. After that they are rejected at once.
	maxSubmitStoreAge = 2500 * time.Millisecond
)

// server handles the calls of clients.
type server struct {
	ledger   *ledger.Ledger
	operator *operator.Follower
	metrics  *metrics
	announce func(announce.Message)
	log      func(event string, fields ...any)
	draining func() bool
	// bundleRefreshTimeout bounds how long after its arrival a call may wait for a newer bundle and be decided by it.
	// Calls that arrive in the meantime may be decided by the older bundle. If the wait were longer, clients would
	// see this host return to an older bundle.
	bundleRefreshTimeout time.Duration
	// maxBundleAge is the longest time since the bundle was known to be the newest at which it may decide a call.
	maxBundleAge time.Duration
	// refusedSilent counts the submissions that were refused because the store is silent, since the last log line.
	refusedSilent atomic.Int64
	decoding      sync.Mutex // held while a large submission is decoded
}

// storeSilence returns for how long the store has answered no call of this host, or 0 if it is not known to be silent.
func (s *server) storeSilence() time.Duration { return s.ledger.StoreSilence() }

// bundleRefreshTimeout returns how long after its arrival a call may wait for the newest bundle.
func bundleRefreshTimeout(bounds platform.Bounds) time.Duration {
	downgrade := bounds.DowngradeSlack
	if downgrade <= 0 {
		downgrade = defaultDowngradeSlack
	}
	return max(downgrade-arrivalReserve, arrivalReserve)
}

// maxBundleAge returns how long a bundle that is no longer known to be the newest may decide calls.
func maxBundleAge(bounds platform.Bounds) time.Duration {
	apply := bounds.ConfigApply
	if apply <= 0 {
		apply = defaultConfigApply
	}
	return max(apply-bundleAgeReserve, apply/2)
}

// response is the outcome of one call with its body and log fields.
type response struct {
	outcome
	body      []byte // nil: outcome.body()
	team      string // of the caller; empty: not known
	logFields []any  // what the decision was based on
}

func (s *server) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	begin := time.Now()
	r := s.handle(request)
	header := w.Header()
	if r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests {
		after := retryAfter(r.team, request.URL.Path, s.storeSilence())
		header.Set("Retry-After", strconv.Itoa(int(after.Seconds())))
	}
	if r.body == nil {
		r.body = r.outcome.body()
	}
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(r.body)))
	if s.draining() {
		header.Set("Connection", "close")
	}
	intake.Answer(header, request)
	w.WriteHeader(r.status)
	if _, err := w.Write(r.body); err != nil {
		s.log("writing the response failed", "path", request.URL.Path, "error", err.Error())
	}
	s.metrics.observeCall(request.Method, r.outcome, time.Since(begin))
}

// handle executes a call and logs its outcome, except for successful reads.
func (s *server) handle(request *http.Request) response {
	ctx, cancel := context.WithTimeout(request.Context(), s.callTimeout(request))
	defer cancel()
	begin := time.Now()
	refreshCtx, stop := context.WithTimeout(ctx, s.bundleRefreshTimeout)
	defer stop()
	c, rejection := s.refuseInSilence(request)
	if rejection == nil {
		c, rejection = s.admit(refreshCtx, request)
	}
	if rejection != nil {
		// The caller is refused for another reason, whether or not there is room for its connection.
		_ = intake.Identify(request, c.team != "")
		s.logCall(request, "", *rejection, begin)
		return *rejection
	}
	var r response
	switch err := intake.Identify(request, c.team != ""); {
	case err != nil:
		r = response{outcome: noRoom}
	case c.pathSuffix == "" && request.Method == http.MethodGet:
		r = s.pending(ctx, c)
	case request.Method == http.MethodPost:
		r = s.submit(ctx, refreshCtx, c, request)
	case request.Method == http.MethodGet:
		r = s.state(ctx, c)
	case request.Method == http.MethodDelete:
		r = s.cancel(ctx, c)
	default:
		r = response{outcome: badMethod}
	}
	r.team = c.team
	if request.Method != http.MethodGet || r.status >= http.StatusBadRequest {
		s.logCall(request, c.pathSuffix, r, begin)
	}
	return r
}

func (s *server) logCall(request *http.Request, pathSuffix string, r response, begin time.Time) {
	fields := append([]any{
		"job", pathSuffix, "method", request.Method, "path", request.URL.Path, "status", r.status, "code", r.code, "reason", r.text,
		"took_ms", time.Since(begin).Milliseconds(), "store_age_ms", s.operator.StoreAge().Milliseconds(),
	}, r.logFields...)
	s.log("call", fields...)
}

// callTimeout returns how long a call may take on this host.
func (s *server) callTimeout(request *http.Request) time.Duration {
	timeout := max(platform.TimeoutOf(request.Header, defaultClientTimeout)-responseReserve, responseReserve)
	if request.Method == http.MethodPost {
		// A submission waits this long only once the store may have executed it. Its outcome is then settled if the store
		// answers in time; another host could not tell it either.
		return min(timeout, maxSubmitTimeout)
	}
	return min(timeout, maxCallTimeout)
}

// refuseInSilence refuses a submission while the store is silent, before its body is read. The team is that of the known bundle.
func (s *server) refuseInSilence(request *http.Request) (call, *response) {
	if request.Method != http.MethodPost {
		return call{}, nil
	}
	silent, bundle := s.storeSilence(), s.operator.State().Bundle
	if bundle == nil || silent == 0 && s.operator.StoreAge() <= maxSubmitStoreAge {
		return call{}, nil
	}
	c, _ := s.match(bundle, request)
	s.refusedSilent.Add(1)
	return c, &response{outcome: storeUnresponsive, team: c.team, logFields: []any{"team", c.team, "silent_ms", silent.Milliseconds()}}
}

// call is a client's call for which the queue and the team are known.
type call struct {
	queue      platform.BundleQueue
	team       string
	pathSuffix string // path after the queue's prefix: empty or, in a valid call, a job ID
	bundle     *platform.Bundle
	key        string
}

// admit finds the queue and the team of a call. It reads the newest bundle before it rejects a call because of an
// unknown queue or key, and if the known bundle was confirmed too long ago. A submission needs no confirmed bundle,
// since the store accepts it only if the bundle has not changed.
func (s *server) admit(ctx context.Context, request *http.Request) (call, *response) {
	age := s.operator.BundleAge() // read before the state, which may be replaced in between
	c, rejection := s.match(s.operator.State().Bundle, request)
	if rejection == nil && (age <= s.maxBundleAge || request.Method == http.MethodPost) {
		return c, nil
	}
	if err := s.operator.Refresh(ctx); err != nil {
		logFields := []any{"error", err.Error(), "bundle_age_ms", age.Milliseconds()}
		if rejection != nil {
			logFields = append(logFields, "would_be", rejection.status)
		}
		return call{}, &response{outcome: bundleReadFailed, logFields: logFields}
	}
	c, rejection = s.match(s.operator.State().Bundle, request)
	return c, rejection
}

// match finds the queue and the team of a call in a bundle, or returns the response that rejects the call.
func (s *server) match(bundle *platform.Bundle, request *http.Request) (call, *response) {
	if bundle == nil {
		return call{}, &response{outcome: noBundle}
	}
	logFields := []any{"bundle", bundle.Version, "revision", bundle.Revision}
	queue, pathSuffix, ok := findQueue(bundle, request.Host, request.URL.Path)
	if !ok {
		return call{}, &response{outcome: noQueue, logFields: logFields}
	}
	c := call{queue: queue, pathSuffix: pathSuffix, bundle: bundle, key: platform.APIKeyOf(request.Header)}
	team, known := bundle.TeamOf(c.key)
	if !known && !queue.Public {
		return call{}, &response{outcome: unknownKey, logFields: logFields}
	}
	c.team = team
	return c, nil
}

// findQueue returns the queue with the HTTP host name and the longest prefix that matches path, and the rest of the
// path. host may include a port.
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

// submit stores a job. Once a write has been sent, the job may exist; a rejection that says it does not requires a
// definite response from the store. refreshCtx bounds reads of the bundle.
func (s *server) submit(ctx, refreshCtx context.Context, c call, request *http.Request) response {
	id, err := job.ParseID(c.pathSuffix)
	if err != nil {
		return response{outcome: badID, logFields: []any{"error", err.Error()}}
	}
	bodyBegin := time.Now()
	data, rejection := s.receive(c, request)
	if rejection != nil {
		return *rejection
	}
	ctx, cancel := contextAfterBody(ctx, request, time.Since(bodyBegin))
	defer cancel()
	j, err := s.decode(data)
	if err != nil {
		return response{outcome: badRequest, logFields: []any{"error", err.Error()}}
	}
	if silent := s.storeSilence(); silent > 0 { // since the head of the request was read
		s.refusedSilent.Add(1)
		return response{outcome: storeUnresponsive, logFields: []any{"team", c.team, "silent_ms", silent.Milliseconds()}}
	}
	if ctx.Err() != nil {
		return response{outcome: notSent, logFields: []any{"error", ctx.Err().Error()}}
	}
	j.ID = id
	for range maxBundleAttempts {
		j.Team, j.Queue, j.AcceptedMS = c.team, c.queue.Queue, clock.WallMS()
		created, err := s.ledger.Submit(ctx, j, c.bundle.Revision)
		logFields := []any{"queue", c.queue.Name, "team", c.team, "bundle", c.bundle.Version, "tasks", j.Steps[0].Count,
			"steps", len(j.Steps), "created", created}
		switch {
		case err == nil:
			if created != 0 {
				s.announce(announce.Message{Job: j, Created: created})
			}
			return response{outcome: accepted, logFields: logFields}
		case errors.Is(err, ledger.ErrCancelled):
			return response{outcome: cancelledBefore, logFields: logFields}
		case errors.Is(err, ledger.ErrStaleBundle):
			if rejection := s.readmit(refreshCtx, &c, request); rejection != nil {
				return *rejection
			}
		case errors.Is(err, platform.ErrNotSent):
			return response{outcome: notSent, logFields: append(logFields, "error", err.Error())}
		case errors.Is(err, platform.ErrNotExecuted):
			return response{
				outcome:   storeRejected,
				logFields: append(logFields, "error", err.Error()),
			}
		default:
			return response{
				outcome:   jobUncertain,
				logFields: append(logFields, "error", err.Error()),
			}
		}
	}
	return response{outcome: bundleChanging}
}

// readmit reads the newest bundle and finds the queue and the team of a call in it.
func (s *server) readmit(ctx context.Context, c *call, request *http.Request) *response {
	if err := s.operator.Refresh(ctx); err != nil {
		return &response{
			outcome:   bundleReadFailed,
			logFields: []any{"error", err.Error()},
		}
	}
	next, rejection := s.match(s.operator.State().Bundle, request)
	if rejection == nil {
		*c = next
	}
	return rejection
}

// mayUse reports whether the call may show or cancel a job: its key is one of the job's team, or the job's queue is public. To
// any other team the job does not exist.
func (c call) mayUse(stored ledger.StoredJob) bool {
	isPublic := slices.ContainsFunc(c.bundle.Queues, func(queue platform.BundleQueue) bool {
		return queue.Name == stored.Queue && queue.Public
	})
	return isPublic || stored.Team == c.team
}

func (s *server) state(ctx context.Context, c call) response {
	id, err := job.ParseID(c.pathSuffix)
	if err != nil {
		return response{outcome: noJob}
	}
	stored, err := s.ledger.Lookup(ctx, id)
	switch {
	case errors.Is(err, ledger.ErrNoJob):
		return response{outcome: noJob}
	case err != nil:
		return s.storeFailed(err)
	case !c.mayUse(stored):
		return response{outcome: noJob, logFields: []any{"team", c.team, "job_team", stored.Team}}
	}
	return response{outcome: stateReturned, body: platform.EncodePhase(stored.Phase())}
}

func (s *server) cancel(ctx context.Context, c call) response {
	id, err := job.ParseID(c.pathSuffix)
	if err != nil {
		return response{outcome: noJob}
	}
	err = s.ledger.Cancel(ctx, id, c.mayUse)
	switch {
	case errors.Is(err, ledger.ErrNoJob):
		return response{outcome: noJob}
	case err != nil:
		return s.storeFailed(err)
	}
	s.announce(announce.Message{Cancelled: id})
	return response{outcome: cancelled}
}

func (s *server) pending(ctx context.Context, c call) response {
	pending, _, err := s.ledger.PendingJobs(ctx)
	if err != nil {
		return s.storeFailed(err)
	}
	return response{outcome: pendingReturned, body: platform.EncodePending(pending[c.queue.Name])}
}

// storeFailed returns the response to a call that could not use the store and that is a read or safe to repeat.
func (s *server) storeFailed(err error) response {
	return response{
		outcome:   storeUnavailable,
		logFields: []any{"error", err.Error()},
	}
}
