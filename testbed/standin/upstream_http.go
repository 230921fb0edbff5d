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

// maxWait bounds the wait of a call for a result.
const maxWait = time.Minute

// UpstreamFaults are the switches of an Upstream, the body of PUT /control/faults.
type UpstreamFaults struct {
	// FailAll fails every task as it starts.
	FailAll bool `json:"fail_all,omitempty"`
	// DelayMS delays every call, half of it before and half of it after it takes effect.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// CutAnswers closes the connection in the middle of every answer.
	CutAnswers bool `json:"cut_answers,omitempty"`
	// CrossAnswers answers calls for a result with that of another attempt that has ended, if there is one.
	CrossAnswers bool `json:"cross_answers,omitempty"`
	// LoseAnswers is the number of next calls that take effect and are not answered.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// Frozen holds all calls; they take effect when it is cleared. The clocks go on.
	Frozen bool `json:"frozen,omitempty"`
	// Leaving refuses all reservations.
	Leaving bool `json:"leaving,omitempty"`
	// RunFactor and UseFactor multiply declared run times and sizes; 0 stands for 1.
	RunFactor float64 `json:"run_factor,omitempty"`
	UseFactor float64 `json:"use_factor,omitempty"`
}

func (f UpstreamFaults) runFactor() float64 { return orOne(f.RunFactor) }
func (f UpstreamFaults) useFactor() float64 { return orOne(f.UseFactor) }

func orOne(factor float64) float64 {
	if factor == 0 {
		return 1
	}
	return factor
}

// RebootRequest is the body of POST /control/reboot.
type RebootRequest struct {
	// PauseMS is the time during which no call is answered.
	PauseMS int64 `json:"pause_ms"`
	// Planned is set when the platform reboots the host. It is refused unless the upstream is drained, and keeps
	// the epoch and the drain. A crash is never refused and forgets both.
	Planned bool `json:"planned"`
}

func (u *Upstream) routes() {
	u.router = mux.NewRouter()
	u.router.HandleFunc(upstream.PathPrefix+"{op}", u.call).Methods(http.MethodPost)
	u.router.HandleFunc("/control/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults UpstreamFaults
		if decode(w, r, &faults) {
			u.SetFaults(faults)
		}
	}).Methods(http.MethodPut)
	u.router.HandleFunc("/control/reboot", func(w http.ResponseWriter, r *http.Request) {
		var request RebootRequest
		if decode(w, r, &request) && !u.Reboot(request) {
			http.Error(w, "not drained", http.StatusConflict)
		}
	}).Methods(http.MethodPost)
	u.router.HandleFunc("/control/executions", func(w http.ResponseWriter, r *http.Request) {
		encode(w, u.Executions())
	}).Methods(http.MethodGet)
	u.router.HandleFunc("/control/config", func(w http.ResponseWriter, r *http.Request) {
		encode(w, u.config)
	}).Methods(http.MethodGet)
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) { u.router.ServeHTTP(w, r) }

// SetFaults replaces all switches.
func (u *Upstream) SetFaults(f UpstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.faults.Frozen && !f.Frozen {
		close(u.thawed)
	}
	if !u.faults.Frozen && f.Frozen {
		u.thawed = make(chan struct{})
	}
	u.faults = f
}

// Reboot restarts the upstream, or returns false if that is refused. Its running tasks end as failed.
func (u *Upstream) Reboot(r RebootRequest) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if r.Planned && (!u.draining || len(u.open) > 0) {
		return false
	}
	now := time.Now()
	u.boot(now)
	u.downUntil = now.Add(time.Duration(r.PauseMS) * time.Millisecond)
	if !r.Planned {
		u.epoch, u.draining = 0, false
	}
	return true
}

// Executions returns the log of all executions, also those before a reboot.
func (u *Upstream) Executions() []Execution {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Execution{}, u.log...)
}

// call serves one call of the protocol.
func (u *Upstream) call(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r, upstream.MaxBodyBytes+1)
	if err != nil {
		return
	}
	if len(body) > upstream.MaxBodyBytes {
		http.Error(w, "body too large", http.StatusRequestEntityTooLarge)
		return
	}
	u.hold()
	reply, err := u.dispatch(r.Context(), upstream.Op(mux.Vars(r)["op"]), body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.answer(w, reply)
}

// hold waits while the upstream is frozen, aborts the call while it is down and applies half of the delay.
func (u *Upstream) hold() {
	u.mu.Lock()
	thawed := u.thawed
	u.mu.Unlock()
	<-thawed
	u.mu.Lock()
	down := time.Now().Before(u.downUntil)
	delay := u.faults.DelayMS
	u.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(time.Duration(delay) * time.Millisecond / 2)
}

// dispatch applies a call and returns its reply.
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
		u.await(ctx, c.AttemptID, min(maxWait, time.Duration(c.WaitMS)*time.Millisecond))
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

// perform applies the calls that concern attempts and the upstream as a whole.
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
		reply.Attempt = a.report(u.usedBy(a))
	case upstream.OpThrottle:
		return u.throttle(now, c.AttemptID, c.Fraction)
	case upstream.OpStatus:
		reply.Status = u.status(now)
	case upstream.OpDrain:
		return u.drain(now, c.Epoch, c.RefuseAll)
	default:
		return errMalformed
	}
	return nil
}

// apply runs a call under the lock. The error is set for malformed requests only.
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

// await waits for the end of an attempt.
func (u *Upstream) await(ctx context.Context, id string, wait time.Duration) {
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
	u.settle(now, a)
	if u.faults.CrossAnswers {
		a = u.other(a)
	}
	reply.Attempt = a.report(u.usedBy(a))
	return nil
}

// other returns an ended attempt other than a, or a if there is none.
func (u *Upstream) other(a *attempt) *attempt {
	for _, x := range []*attempt{u.lastEnded, u.previous} {
		if x != nil && x != a {
			return x
		}
	}
	return a
}

// answer writes a reply, subject to the faults.
func (u *Upstream) answer(w http.ResponseWriter, reply upstream.Reply) {
	u.mu.Lock()
	faults := u.faults
	if u.faults.LoseAnswers > 0 {
		u.faults.LoseAnswers--
	}
	u.mu.Unlock()
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond / 2)
	if faults.LoseAnswers > 0 {
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if faults.CutAnswers {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.Copy(w, bytes.NewReader(body))
}
