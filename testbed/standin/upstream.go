package standin

import (
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"citrongauge.example/citrongauge/upstream"
)

// UpstreamConfig is the configuration of an upstream stand-in.
type UpstreamConfig struct {
	ID       string        `json:"id"`
	Zone     string        `json:"zone"`
	Rack     string        `json:"rack"`
	Capacity upstream.Size `json:"capacity"`
	// Connections is the maximum number of open connections, 0 for no limit. The caller passes it to NewServer.
	Connections int `json:"connections"`
	// UsageLag is the lag of the reported resource usage.
	UsageLag time.Duration `json:"usage_lag_ns"`
	// ReservationTTL and LeaseTTL default to upstream.ReservationTTL and upstream.TaskLeaseTTL.
	ReservationTTL time.Duration `json:"reservation_ttl_ns"`
	LeaseTTL       time.Duration `json:"lease_ttl_ns"`
}

// Execution is an entry in the execution log of an upstream, which has one for each started task. Tests check from it
// which tasks ran, and when.
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

// errMalformed reports an invalid request. The protocol has no code for it; the response has status 400.
var errMalformed = errors.New("malformed request")

// Upstream is a stand-in for an upstream.
type Upstream struct {
	config UpstreamConfig
	router *mux.Router

	mu        sync.Mutex
	faults    UpstreamFaults
	unfrozen  chan struct{} // closed while the upstream is not frozen
	bootCount int
	bootID    string
	bootedAt  time.Time
	// downUntil is the end of the last reboot.
	downUntil        time.Time
	poolEpoch        uint64
	draining         bool
	attempts         map[string]*attempt
	open             map[string]*attempt  // reserved or running
	ended            []*attempt           // in the order in which they ended
	attemptByRequest map[string]string    // request ID to the ID of the last attempt that reserved it
	fenceTimes       map[string]time.Time // request ID to the time at which it was last fenced
	lastEnded        *attempt             // the last two tasks that ended, for SwapResults
	previousEnded    *attempt
	startedTotal     uint64
	usageHistory     []usageSample
	executions       []Execution
}

// usageSample is the resource usage from the given time until the next sample.
type usageSample struct {
	since time.Time
	used  upstream.Size
}

// NewUpstream returns an upstream without reservations and tasks.
func NewUpstream(config UpstreamConfig) *Upstream {
	if config.ReservationTTL == 0 {
		config.ReservationTTL = upstream.ReservationTTL
	}
	if config.LeaseTTL == 0 {
		config.LeaseTTL = upstream.TaskLeaseTTL
	}
	u := &Upstream{config: config, unfrozen: make(chan struct{})}
	close(u.unfrozen)
	u.boot(time.Now())
	u.registerRoutes()
	return u
}

// boot ends all open attempts and resets the state that is lost in a reboot. The execution log and the injected faults
// are kept; Reboot decides on the pool epoch and the drain.
func (u *Upstream) boot(now time.Time) {
	for _, a := range u.open {
		u.finish(now, a, upstream.StateFailed)
	}
	u.bootCount++
	u.bootID = fmt.Sprintf("%s-boot-%d", u.config.ID, u.bootCount)
	u.bootedAt = now
	u.attempts = map[string]*attempt{}
	u.open = map[string]*attempt{}
	u.ended = nil
	u.attemptByRequest = map[string]string{}
	u.fenceTimes = map[string]time.Time{}
	u.lastEnded, u.previousEnded = nil, nil
	u.startedTotal = 0
	u.usageHistory = nil
}

// reserve reserves capacity for ReservationTTL. A repeated call has no effect while the reservation exists.
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
	if r.PoolEpoch < u.poolEpoch {
		return upstream.ErrStaleEpoch
	}
	if u.isRequestIDUsed(r.RequestID) {
		return upstream.ErrDuplicate
	}
	if !fits(addSizes(u.reservedSize(), r.Size), u.config.Capacity) {
		return upstream.ErrFull
	}
	u.raiseEpoch(now, r.PoolEpoch)
	a := &attempt{
		reservation:          r,
		state:                upstream.StateReserved,
		reservationExpiresAt: now.Add(u.config.ReservationTTL),
		ended:                make(chan struct{}),
	}
	u.attempts[r.AttemptID] = a
	u.open[r.AttemptID] = a
	if r.RequestID != "" {
		u.attemptByRequest[r.RequestID] = r.AttemptID
	}
	return nil
}

// isRequestIDUsed reports whether a request ID is fenced or belongs to an attempt that was started or may still be
// started.
func (u *Upstream) isRequestIDUsed(requestID string) bool {
	if requestID == "" {
		return false
	}
	if _, fenced := u.fenceTimes[requestID]; fenced {
		return true
	}
	a, ok := u.attempts[u.attemptByRequest[requestID]]
	return ok && a.state != upstream.StateExpired
}

// raiseEpoch raises the pool epoch and cancels the reservations of lower epochs, so that none of them can start after
// a task of the new epoch.
func (u *Upstream) raiseEpoch(now time.Time, poolEpoch uint64) {
	if poolEpoch <= u.poolEpoch {
		return
	}
	u.poolEpoch = poolEpoch
	for _, a := range u.open {
		if a.state == upstream.StateReserved && a.reservation.PoolEpoch < poolEpoch {
			u.end(now, a, upstream.StateExpired)
		}
	}
}

// start runs a task under its reservation. Repeated calls have no effect.
func (u *Upstream) start(now time.Time, t upstream.Task) error {
	u.prune(now)
	a, ok := u.attempts[t.AttemptID]
	switch {
	case !ok:
		return upstream.ErrAttemptNotFound
	case a.state == upstream.StateExpired:
		return upstream.ErrReservationExpired
	case a.wasStarted():
		return nil
	}
	a.state = upstream.StateRunning
	a.payload = t.Payload
	a.startedAt = now
	a.leaseExpiresAt = now.Add(u.config.LeaseTTL)
	a.remaining = time.Duration(float64(t.RunMS) * u.faults.runFactor() * float64(time.Millisecond))
	a.progressUpdatedAt = now
	a.speed = 1
	a.executionIndex = len(u.executions)
	u.startedTotal++
	u.logStart(now, a.reservation)
	u.recordUsage(now)
	if u.faults.FailAll || a.willFail() {
		u.finish(now, a, upstream.StateFailed)
		return nil
	}
	u.scheduleEnd(now, a)
	return nil
}

// scheduleEnd sets the timer of a running attempt to its end.
func (u *Upstream) scheduleEnd(now time.Time, a *attempt) {
	if a.timer != nil {
		a.timer.Stop()
	}
	a.timer = time.AfterFunc(a.endsAt().Sub(now), func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.endIfDue(time.Now(), a)
	})
}

// endIfDue ends a running attempt that has completed or whose lease has expired; otherwise it resets the timer.
func (u *Upstream) endIfDue(now time.Time, a *attempt) {
	if a.state != upstream.StateRunning {
		return
	}
	if now.Before(a.endsAt()) {
		u.scheduleEnd(now, a)
		return
	}
	a.updateProgress(now)
	if a.remaining > 0 {
		u.finish(now, a, upstream.StateLeaseExpired)
		return
	}
	u.finish(now, a, upstream.StateDone)
}

// finish ends an open attempt. A running one gets the given state and its answer, and its end is logged. A reservation
// is cancelled.
func (u *Upstream) finish(now time.Time, a *attempt, state upstream.State) {
	wasRunning := a.state == upstream.StateRunning
	if !wasRunning {
		u.end(now, a, upstream.StateExpired)
		return
	}
	switch state {
	case upstream.StateDone:
		a.answer = TaskAnswer(a.payload, u.config.ID, a.reservation.AttemptID)
	case upstream.StateCheckpointed:
		a.answer = fmt.Appendf(nil, "checkpoint with %d ms to go", a.remaining.Milliseconds())
	case upstream.StateFailed:
		a.message = "the task failed"
	}
	u.end(now, a, state)
	u.executions[a.executionIndex].State = state
	u.executions[a.executionIndex].EndUnixNS = now.UnixNano()
	u.previousEnded, u.lastEnded = u.lastEnded, a
	u.recordUsage(now)
}

func (u *Upstream) logStart(now time.Time, r upstream.Reservation) {
	u.executions = append(u.executions, Execution{
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

// end sets the final state of an attempt and removes it from the open ones.
func (u *Upstream) end(now time.Time, a *attempt, state upstream.State) {
	a.end(now, state)
	delete(u.open, a.reservation.AttemptID)
	u.ended = append(u.ended, a)
}

// prune ends expired reservations and removes attempts that ended more than RetentionTime ago.
func (u *Upstream) prune(now time.Time) {
	for _, a := range u.open {
		if a.state == upstream.StateReserved && !now.Before(a.reservationExpiresAt) {
			u.end(now, a, upstream.StateExpired)
		}
	}
	for len(u.ended) > 0 && now.Sub(u.ended[0].endedAt) > upstream.RetentionTime {
		u.forget(u.ended[0])
		u.ended = u.ended[1:]
	}
}

// forget removes an ended attempt and its request ID.
func (u *Upstream) forget(a *attempt) {
	id, requestID := a.reservation.AttemptID, a.reservation.RequestID
	delete(u.attempts, id)
	if u.attemptByRequest[requestID] == id {
		delete(u.attemptByRequest, requestID)
	}
}

// reservedSize returns the total size of all open attempts.
func (u *Upstream) reservedSize() upstream.Size {
	var sum upstream.Size
	for _, a := range u.open {
		sum = addSizes(sum, a.reservation.Size)
	}
	return sum
}
