package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"citrongauge.example/citrongauge/upstream"
)

// maxResultWait limits how long a call of OpResult waits for the end of the attempt.
const maxResultWait = time.Minute

// UpstreamFaults are the faults that an Upstream injects, and the body of PUT /control/faults. They do not affect
// requests under /control.
type UpstreamFaults struct {
	// FailAll makes every task fail when it is started.
	FailAll bool `json:"fail_all,omitempty"`
	// DelayMS delays every call: half of the delay is before the call takes effect, half after it.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// TruncateResponses closes the connection in the middle of every response.
	TruncateResponses bool `json:"cut_answers,omitempty"`
	// SwapResults makes calls of OpResult return another attempt, one of the last two tasks that ended, if there is
	// one.
	SwapResults bool `json:"cross_answers,omitempty"`
	// LoseResponses is the number of upcoming calls that take effect, but whose response is lost.
	LoseResponses int `json:"lose_answers,omitempty"`
	// Frozen blocks all calls until it is cleared; they take effect then. Reservations and leases expire meanwhile.
	Frozen bool `json:"frozen,omitempty"`
	// Leaving rejects all reservations and reports the upstream as draining.
	Leaving bool `json:"leaving,omitempty"`
	// RunFactor and UseFactor are the factors of actual to declared run times, and of measured usage to reserved size.
	// 0 stands for 1.
	RunFactor float64 `json:"run_factor,omitempty"`
	UseFactor float64 `json:"use_factor,omitempty"`
}

func (f UpstreamFaults) runFactor() float64 { return factorOrOne(f.RunFactor) }
func (f UpstreamFaults) useFactor() float64 { return factorOrOne(f.UseFactor) }

func factorOrOne(factor float64) float64 {
	if factor == 0 {
		return 1
	}
	return factor
}

// RebootRequest is the body of POST /control/reboot.
type RebootRequest struct {
	// DowntimeMS is the duration of the reboot, during which all calls are aborted.
	DowntimeMS int64 `json:"pause_ms"`
	// Planned distinguishes a reboot by the platform from a crash. A planned reboot is rejected unless the upstream is
	// drained, and preserves the pool epoch and the drain. A crash is never rejected and resets both.
	Planned bool `json:"planned"`
}

func (u *Upstream) registerRoutes() {
	u.router = mux.NewRouter()
	u.router.HandleFunc(upstream.PathPrefix+"{op}", u.handleCall).Methods(http.MethodPost)
	u.router.HandleFunc("/control/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults UpstreamFaults
		if decodeJSON(w, r, &faults) {
			u.SetFaults(faults)
		}
	}).Methods(http.MethodPut)
	u.router.HandleFunc("/control/reboot", func(w http.ResponseWriter, r *http.Request) {
		var request RebootRequest
		if decodeJSON(w, r, &request) && !u.Reboot(request) {
			http.Error(w, "upstream is not drained", http.StatusConflict)
		}
	}).Methods(http.MethodPost)
	u.router.HandleFunc("/control/executions", func(w http.ResponseWriter, r *http.Request) {
		encodeJSON(w, u.Executions())
	}).Methods(http.MethodGet)
	u.router.HandleFunc("/control/config", func(w http.ResponseWriter, r *http.Request) {
		encodeJSON(w, u.config)
	}).Methods(http.MethodGet)
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) { u.router.ServeHTTP(w, r) }

// SetFaults replaces all faults.
func (u *Upstream) SetFaults(f UpstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.faults.Frozen && !f.Frozen {
		close(u.unfrozen)
	}
	if !u.faults.Frozen && f.Frozen {
		u.unfrozen = make(chan struct{})
	}
	u.faults = f
}

// Reboot restarts the upstream; its running tasks fail. It returns false if the reboot is rejected.
func (u *Upstream) Reboot(r RebootRequest) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if r.Planned && (!u.draining || len(u.open) > 0) {
		return false
	}
	now := time.Now()
	u.boot(now)
	u.downUntil = now.Add(time.Duration(r.DowntimeMS) * time.Millisecond)
	if !r.Planned {
		u.poolEpoch, u.draining = 0, false
	}
	return true
}

// Executions returns the execution log, including executions before a reboot.
func (u *Upstream) Executions() []Execution {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Execution{}, u.executions...)
}

// handleCall handles a call of the upstream protocol.
func (u *Upstream) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r, upstream.MaxBodyBytes+1)
	if err != nil {
		return
	}
	if len(body) > upstream.MaxBodyBytes {
		http.Error(w, "request body is too large", http.StatusRequestEntityTooLarge)
		return
	}
	u.beginCall()
	reply, err := u.dispatch(r.Context(), upstream.Op(mux.Vars(r)["op"]), body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.respond(w, reply)
}

// beginCall blocks while the upstream is frozen, aborts the call if the upstream is rebooting and waits for the first
// half of the delay.
func (u *Upstream) beginCall() {
	u.mu.Lock()
	unfrozen := u.unfrozen
	u.mu.Unlock()
	<-unfrozen
	u.mu.Lock()
	down := time.Now().Before(u.downUntil)
	delay := u.faults.DelayMS
	u.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(time.Duration(delay) * time.Millisecond / 2)
}

// dispatch decodes and applies a call and returns the reply. An error means that the request is malformed.
func (u *Upstream) dispatch(ctx context.Context, op upstream.Op, body []byte) (upstream.Reply, error) {
	switch op {
	case upstream.OpReserve:
		var r upstream.Reservation
		if err := json.Unmarshal(body, &r); err != nil {
			return upstream.Reply{}, err
		}
		return u.apply(op, r.AttemptID, func(now time.Time, _ *upstream.Reply) error { return u.reserve(now, r) })
	case upstream.OpStart:
		var t upstream.Task
		if err := json.Unmarshal(body, &t); err != nil {
			return upstream.Reply{}, err
		}
		return u.apply(op, t.AttemptID, func(now time.Time, _ *upstream.Reply) error { return u.start(now, t) })
	}
	var c upstream.Request
	if err := json.Unmarshal(body, &c); err != nil {
		return upstream.Reply{}, err
	}
	switch op {
	case upstream.OpResult:
		u.awaitEnd(ctx, c.AttemptID, min(maxResultWait, time.Duration(c.WaitMS)*time.Millisecond))
		return u.apply(op, c.AttemptID, func(now time.Time, reply *upstream.Reply) error { return u.result(now, c.AttemptID, reply) })
	case upstream.OpFence:
		return u.apply(op, c.RequestID, func(now time.Time, reply *upstream.Reply) error {
			reply.Attempt = u.fence(now, c.RequestID)
			reply.UptimeNS = now.Sub(u.bootedAt)
			return nil
		})
	}
	return u.apply(op, c.AttemptID, func(now time.Time, reply *upstream.Reply) error { return u.perform(now, op, c, reply) })
}

// perform applies the operations that dispatch does not handle itself.
func (u *Upstream) perform(now time.Time, op upstream.Op, c upstream.Request, reply *upstream.Reply) error {
	switch op {
	case upstream.OpRenew:
		reply.Unknown = u.renew(now, c.AttemptIDs)
	case upstream.OpRelease:
		return u.release(now, c.AttemptID)
	case upstream.OpStop:
		a, err := u.stop(now, c.AttemptID, c.Checkpoint)
		if err != nil {
			return err
		}
		reply.Attempt = a.snapshot(u.attemptUsage(a))
	case upstream.OpThrottle:
		return u.throttle(now, c.AttemptID, c.Fraction)
	case upstream.OpStatus:
		reply.Status = u.status(now)
	case upstream.OpDrain:
		return u.drain(now, c.Epoch, c.RejectAll)
	default:
		return errMalformed
	}
	return nil
}

// apply runs a call under the lock and returns the reply with its code and digest. The error is non-nil only for
// malformed requests, which have no code.
func (u *Upstream) apply(op upstream.Op, subject string, effect func(time.Time, *upstream.Reply) error) (upstream.Reply, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	reply := upstream.Reply{Op: op, Subject: subject}
	err := effect(time.Now(), &reply)
	reply.Code = upstream.CodeOf(err)
	if reply.Code == "" {
		return reply, err
	}
	reply.SetDigest()
	return reply, nil
}

// awaitEnd waits for the end of an attempt, for at most the given time.
func (u *Upstream) awaitEnd(ctx context.Context, id string, wait time.Duration) {
	u.mu.Lock()
	a, ok := u.attempts[id]
	u.mu.Unlock()
	if !ok || wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-a.ended:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (u *Upstream) result(now time.Time, id string, reply *upstream.Reply) error {
	u.prune(now)
	a, ok := u.attempts[id]
	if !ok {
		return upstream.ErrAttemptNotFound
	}
	u.endIfDue(now, a)
	if u.faults.SwapResults {
		a = u.otherEnded(a)
	}
	reply.Attempt = a.snapshot(u.attemptUsage(a))
	return nil
}

// otherEnded returns one of the last two tasks that ended, but not a itself. If there is none, it returns a.
func (u *Upstream) otherEnded(a *attempt) *attempt {
	for _, candidate := range []*attempt{u.lastEnded, u.previousEnded} {
		if candidate != nil && candidate != a {
			return candidate
		}
	}
	return a
}

// respond waits for the second half of the delay and sends the reply, unless it is lost or cut short by a fault.
func (u *Upstream) respond(w http.ResponseWriter, reply upstream.Reply) {
	u.mu.Lock()
	faults := u.faults
	if u.faults.LoseResponses > 0 {
		u.faults.LoseResponses--
	}
	u.mu.Unlock()
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond / 2)
	if faults.LoseResponses > 0 {
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if faults.TruncateResponses {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.Copy(w, bytes.NewReader(body))
}
