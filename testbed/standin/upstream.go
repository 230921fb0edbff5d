package standin

import (
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"citrongauge.example/citrongauge/upstream"
)

// UpstreamConfig describes an upstream stand-in.
type UpstreamConfig struct {
	ID       string        `json:"id"`
	Zone     string        `json:"zone"`
	Rack     string        `json:"rack"`
	Capacity upstream.Size `json:"capacity"`
	// Connections is the number of connections that it accepts, 0 for no limit.
	Connections int `json:"connections"`
	// UsageLag is the age of the usage that is reported.
	UsageLag time.Duration `json:"usage_lag_ns"`
	// ReservationTTL and LeaseTTL default to those of the protocol.
	ReservationTTL time.Duration `json:"reservation_ttl_ns"`
	LeaseTTL       time.Duration `json:"lease_ttl_ns"`
}

// Execution is a task that an upstream started. Checkers read the log of all executions.
type Execution struct {
	Upstream        string         `json:"upstream"`
	BootID          string         `json:"boot_id"`
	AttemptID       string         `json:"attempt_id"`
	RequestID       string         `json:"request_id,omitempty"`
	Team            string         `json:"team"`
	Pool            string         `json:"pool"`
	PoolEpoch       uint64         `json:"pool_epoch"`
	Owner           string         `json:"owner"`
	ControlRevision uint64         `json:"control_revision"`
	Size            upstream.Size  `json:"size"`
	State           upstream.State `json:"state"`
	StartUnixNS     int64          `json:"start_unix_ns"`
	EndUnixNS       int64          `json:"end_unix_ns,omitempty"` // 0 while it runs
}

// errMalformed: the request makes no sense. It has no code in the protocol.
var errMalformed = errors.New("malformed request")

// Upstream is a stand-in for an upstream. It is an http.Handler.
type Upstream struct {
	config UpstreamConfig
	router *mux.Router

	mu       sync.Mutex
	faults   UpstreamFaults
	thawed   chan struct{} // closed while the upstream is not frozen
	boots    int
	bootID   string
	bootedAt time.Time
	// downUntil is the end of the current reboot.
	downUntil time.Time
	epoch     uint64
	draining  bool
	attempts  map[string]*attempt
	open      map[string]*attempt  // reserved or running
	ended     []*attempt           // in the order in which they ended
	requests  map[string]string    // request ID to the ID of the attempt that reserved or started it last
	fences    map[string]time.Time // request ID to the time of its fence
	lastEnded *attempt             // the last two that ran and ended, for crossed answers
	previous  *attempt
	started   uint64
	usage     []usageSample
	log       []Execution
}

// usageSample is the use from a moment on.
type usageSample struct {
	since time.Time
	used  upstream.Size
}

// NewUpstream returns an upstream that runs no tasks.
func NewUpstream(config UpstreamConfig) *Upstream {
	if config.ReservationTTL == 0 {
		config.ReservationTTL = upstream.ReservationTTL
	}
	if config.LeaseTTL == 0 {
		config.LeaseTTL = upstream.TaskLeaseTTL
	}
	u := &Upstream{config: config, thawed: make(chan struct{})}
	close(u.thawed)
	u.boot(time.Now())
	u.routes()
	return u
}

// boot forgets everything but the log of executions.
func (u *Upstream) boot(now time.Time) {
	for _, a := range u.open {
		u.finish(now, a, upstream.StateFailed)
	}
	u.boots++
	u.bootID = fmt.Sprintf("%s-boot-%d", u.config.ID, u.boots)
	u.bootedAt = now
	u.attempts = map[string]*attempt{}
	u.open = map[string]*attempt{}
	u.ended = nil
	u.requests = map[string]string{}
	u.fences = map[string]time.Time{}
	u.lastEnded, u.previous = nil, nil
	u.started = 0
	u.usage = nil
}

// reserve holds capacity for ReservationTTL.
func (u *Upstream) reserve(now time.Time, r upstream.Reservation) error {
	u.prune(now)
	if r.AttemptID == "" || isNegative(r.Size) {
		return errMalformed
	}
	if a, ok := u.attempts[r.AttemptID]; ok {
		if a.state == upstream.StateReserved {
			return nil
		}
		return upstream.ErrDuplicate
	}
	if u.draining || u.faults.Leaving {
		return upstream.ErrLeaving
	}
	if r.PoolEpoch < u.epoch {
		return upstream.ErrStaleEpoch
	}
	if u.isRequestUsed(r.RequestID) {
		return upstream.ErrDuplicate
	}
	if !fits(add(u.reserved(), r.Size), u.config.Capacity) {
		return upstream.ErrFull
	}
	u.raiseEpoch(now, r.PoolEpoch)
	a := &attempt{
		reservation:   r,
		state:         upstream.StateReserved,
		reservedUntil: now.Add(u.config.ReservationTTL),
		ended:         make(chan struct{}),
	}
	u.attempts[r.AttemptID] = a
	u.open[r.AttemptID] = a
	if r.RequestID != "" {
		u.requests[r.RequestID] = r.AttemptID
	}
	return nil
}

// isRequestUsed reports whether a request ID is fenced, was started, or is reserved by an attempt that may still be
// started.
func (u *Upstream) isRequestUsed(requestID string) bool {
	if requestID == "" {
		return false
	}
	if _, fenced := u.fences[requestID]; fenced {
		return true
	}
	a, ok := u.attempts[u.requests[requestID]]
	return ok && a.state != upstream.StateLapsed
}

// raiseEpoch lapses the reservations of lower epochs, so that none of them starts after work of the new one.
func (u *Upstream) raiseEpoch(now time.Time, epoch uint64) {
	if epoch <= u.epoch {
		return
	}
	u.epoch = epoch
	for _, a := range u.open {
		if a.state == upstream.StateReserved && a.reservation.PoolEpoch < epoch {
			u.end(now, a, upstream.StateLapsed)
		}
	}
}

// start runs the task of a reservation. Repeats have no effect.
func (u *Upstream) start(now time.Time, t upstream.Task) error {
	u.prune(now)
	a, ok := u.attempts[t.AttemptID]
	switch {
	case !ok:
		return upstream.ErrAttemptNotFound
	case a.state == upstream.StateLapsed:
		return upstream.ErrLapsed
	case a.wasStarted():
		return nil
	}
	a.state = upstream.StateRunning
	a.payload = t.Payload
	a.startedAt = now
	a.leaseUntil = now.Add(u.config.LeaseTTL)
	a.remaining = time.Duration(float64(t.RunMS) * u.faults.runFactor() * float64(time.Millisecond))
	a.progressAt = now
	a.speed = 1
	a.execution = len(u.log)
	u.started++
	u.logStart(now, a.reservation)
	u.noteUsage(now)
	if u.faults.FailAll || a.willFail() {
		u.finish(now, a, upstream.StateFailed)
		return nil
	}
	u.schedule(now, a)
	return nil
}

// schedule sets the timer of a running attempt.
func (u *Upstream) schedule(now time.Time, a *attempt) {
	if a.timer != nil {
		a.timer.Stop()
	}
	a.timer = time.AfterFunc(a.runsUntil().Sub(now), func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.settle(time.Now(), a)
	})
}

// settle ends a running attempt that is done or whose lease lapsed.
func (u *Upstream) settle(now time.Time, a *attempt) {
	if a.state != upstream.StateRunning {
		return
	}
	if now.Before(a.runsUntil()) {
		u.schedule(now, a)
		return
	}
	a.advance(now)
	if a.remaining > 0 {
		u.finish(now, a, upstream.StateLeaseLapsed)
		return
	}
	u.finish(now, a, upstream.StateDone)
}

// finish ends an attempt and writes its answer.
func (u *Upstream) finish(now time.Time, a *attempt, state upstream.State) {
	wasRunning := a.state == upstream.StateRunning
	if !wasRunning {
		u.end(now, a, upstream.StateLapsed)
		return
	}
	switch state {
	case upstream.StateDone:
		a.answer = Answer(a.payload, u.config.ID, a.reservation.AttemptID)
	case upstream.StateCheckpointed:
		a.answer = fmt.Appendf(nil, "checkpoint with %d ms to go", a.remaining.Milliseconds())
	case upstream.StateFailed:
		a.message = "the task failed"
	}
	u.end(now, a, state)
	u.log[a.execution].State = state
	u.log[a.execution].EndUnixNS = now.UnixNano()
	u.previous, u.lastEnded = u.lastEnded, a
	u.noteUsage(now)
}

func (u *Upstream) logStart(now time.Time, r upstream.Reservation) {
	u.log = append(u.log, Execution{
		Upstream:        u.config.ID,
		BootID:          u.bootID,
		AttemptID:       r.AttemptID,
		RequestID:       r.RequestID,
		Team:            r.Team,
		Pool:            r.Pool,
		PoolEpoch:       r.PoolEpoch,
		Owner:           r.Owner,
		ControlRevision: r.ControlRevision,
		Size:            r.Size,
		State:           upstream.StateRunning,
		StartUnixNS:     now.UnixNano(),
	})
}

// end moves an attempt to its last state.
func (u *Upstream) end(now time.Time, a *attempt, state upstream.State) {
	a.end(now, state)
	delete(u.open, a.reservation.AttemptID)
	u.ended = append(u.ended, a)
}

// prune lapses reservations and forgets what is older than RetentionTime.
func (u *Upstream) prune(now time.Time) {
	for _, a := range u.open {
		if a.state == upstream.StateReserved && !now.Before(a.reservedUntil) {
			u.end(now, a, upstream.StateLapsed)
		}
	}
	for len(u.ended) > 0 && now.Sub(u.ended[0].endedAt) > upstream.RetentionTime {
		u.forget(u.ended[0])
		u.ended = u.ended[1:]
	}
}

// forget removes an ended attempt.
func (u *Upstream) forget(a *attempt) {
	id, requestID := a.reservation.AttemptID, a.reservation.RequestID
	delete(u.attempts, id)
	if u.requests[requestID] == id {
		delete(u.requests, requestID)
	}
}

// reserved returns the sum of all open attempts.
func (u *Upstream) reserved() upstream.Size {
	var sum upstream.Size
	for _, a := range u.open {
		sum = add(sum, a.reservation.Size)
	}
	return sum
}
