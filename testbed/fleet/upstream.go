package fleet

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Run is a run of a task on an upstream, as recorded for Fleet.Violations.
type Run struct {
	Task     string
	Attempt  uint64
	Spec     string
	Upstream string
	Begin    time.Time
	End      time.Time // zero while the task is running
	EndKind  string    // as in platform.EndKind; empty while the task is running
	// Acknowledged is true if the end was acknowledged before the upstream's lease expired. Otherwise the task may be
	// started again, because the owner may not have learned of the end.
	Acknowledged bool
}

// LongRunningSpec begins the spec of tasks that run until they are stopped, lapse or crash.
const LongRunningSpec = "long-running"

// Upstream is the stand-in for one upstream. Each of its tasks runs for TaskDuration, but those with LongRunningSpec. It
// is safe for concurrent use.
type Upstream struct {
	ID           string
	Pool         string
	Zone         string
	Address      string
	TaskDuration time.Duration

	mu              sync.Mutex
	random          *rand.Rand
	life            int  // number of lives that have begun
	down            bool // it has crashed and not started again
	startedAt       time.Time
	bornMS          int64 // time of day at its start, as it reports it
	firstClockMS    int64 // of the clock of clockMS in this life
	fencingToken    uint64
	leaseDeadlineMS int64 // on the clock of clockMS; all runs end when it has passed
	running         map[string]*Run
	highestEnded    map[string]uint64 // by task: highest attempt that ended or was stopped; attempts up to it are rejected
	ends            []runEnd          // not acknowledged yet, in ascending order of seq
	lastSeq         uint64
	changed         chan struct{}
	history         []*Run
	faults          UpstreamFaults
	starts          int       // accepted starts, counted for DropNthResponse
	calls           int       // counted for LateNthCall
	polledAt        time.Time // when this life was first polled; zero: it has not been
}

// UpstreamFaults are faults that an Upstream injects. The zero value is no fault.
type UpstreamFaults struct {
	Unresponsive    bool          // requests get no response
	DropNthResponse int           // drops the response to each nth accepted start; 0 for none
	FailAll         bool          // tasks fail when their time is over
	ExtraDuration   time.Duration // added to TaskDuration
	LateNthCall     int           // gives each nth call no answer and carries it out LateBy later, in whichever life; 0 for none
	LateBy          time.Duration
	OnCall          func() // called at each call
}

// Faults returns the injected faults.
func (u *Upstream) Faults() UpstreamFaults {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.faults
}

// runEnd is the end of a run, which is listed in responses to polls until it is acknowledged.
type runEnd struct {
	seq          uint64
	task         string
	attempt      uint64
	kind         string
	run          *Run
	leaseExpired bool // the upstream's lease expired before the end was acknowledged
}

const (
	capacityMilliCPU = 16000
	capacityMemoryMB = 64000
	maxListedEnds    = 500 // in one response to a poll
	maxLeaseMS       = 10000
	maxFirstClockMS  = 60000 // of a new life's clock
	tickInterval     = 5 * time.Millisecond
)

// NewUpstream returns an upstream. The caller must call Tick regularly. The seed, with the ID, determines the clocks of its
// lives.
func NewUpstream(id, pool, zone, address string, duration time.Duration, seed uint64) *Upstream {
	u := &Upstream{
		ID: id, Pool: pool, Zone: zone, Address: address, TaskDuration: duration, random: rand.New(rand.NewPCG(seed, hash(id))),
		running: map[string]*Run{}, highestEnded: map[string]uint64{}, changed: make(chan struct{}),
	}
	u.begin(time.Now())
	return u
}

func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // never fails
	return h.Sum64()
}

// StoreEntry returns the entry with which the upstream registers itself in the store.
func (u *Upstream) StoreEntry() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	data, err := json.Marshal(map[string]any{
		"service": u.Pool, "address": u.Address, "zone": u.Zone, "version": "v1", "slots": 8, "phase": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": u.bornMS, "machine": "m-" + u.ID,
		"capacity": map[string]int{"cpu": capacityMilliCPU, "mem_mb": capacityMemoryMB, "gpu": 0},
		"labels":   []string{"a", "r-" + u.Zone},
	})
	if err != nil {
		panic(err) // cannot happen: only plain values are encoded
	}
	return data
}

// SetFaults replaces the injected faults.
func (u *Upstream) SetFaults(faults UpstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = faults
}

// Restart crashes the upstream and starts a new life under the given ID, which knows nothing of before.
func (u *Upstream) Restart(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crash()
	u.ID = id
	u.begin(time.Now())
}

// Crash ends the upstream's life. It answers nothing until Start.
func (u *Upstream) Crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crash()
}

// Start begins a new life under the same ID, which knows nothing of before. It reports that it was born at the given time of
// day, which may be wrong.
func (u *Upstream) Start(born time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.begin(born)
}

// Born returns the time of day at which the present life was born, as the upstream reports it.
func (u *Upstream) Born() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.UnixMilli(u.bornMS)
}

// Life returns the number of the present life; 0 if the upstream has crashed and not started again.
func (u *Upstream) Life() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.down {
		return 0
	}
	return u.life
}

// crash ends all runs, and the calls in flight. The caller must hold the lock.
func (u *Upstream) crash() {
	for task := range u.running {
		u.endRun(task, "crashed")
	}
	u.down = true
	u.notify()
}

// begin begins a life, which knows nothing of before. The caller must hold the lock.
func (u *Upstream) begin(born time.Time) {
	firstClockMS := u.newClockMS()
	u.life++
	u.down = false
	u.startedAt, u.bornMS, u.firstClockMS = time.Now(), born.UnixMilli(), firstClockMS
	u.fencingToken, u.leaseDeadlineMS, u.lastSeq, u.ends, u.polledAt = 0, 0, 0, nil, time.Time{}
	clear(u.highestEnded)
}

// newClockMS returns the first value of the next life's clock. One in eight goes on as that of the present life.
func (u *Upstream) newClockMS() int64 {
	if u.random.IntN(8) == 0 && u.life > 0 {
		return u.clockMS()
	}
	return 1 + u.random.Int64N(maxFirstClockMS)
}

// lockLife locks the upstream for a call that the given life has received. A call of a life that has ended is dropped.
func (u *Upstream) lockLife(life int) {
	u.mu.Lock()
	if u.down || u.life != life {
		u.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
}

// notify wakes the polls that wait for a change. The caller must hold the lock.
func (u *Upstream) notify() {
	close(u.changed)
	u.changed = make(chan struct{})
}

// CurrentID returns the ID of the upstream's present incarnation.
func (u *Upstream) CurrentID() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ID
}

// extendLease extends the lease to a deadline on the clock of clockMS. The caller must hold the lock.
func (u *Upstream) extendLease(deadlineMS int64) {
	u.leaseDeadlineMS = max(u.leaseDeadlineMS, min(deadlineMS, u.clockMS()+maxLeaseMS))
}

// History returns copies of all runs that were started.
func (u *Upstream) History() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	runs := make([]Run, 0, len(u.history))
	for _, r := range u.history {
		runs = append(runs, *r)
	}
	return runs
}

// clockMS returns the upstream's own clock, to which lease deadlines refer. It begins anywhere in each life.
func (u *Upstream) clockMS() int64 { return u.firstClockMS + time.Since(u.startedAt).Milliseconds() }

// Tick ends the runs whose task duration has passed, or all runs if the lease has expired.
func (u *Upstream) Tick() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.clockMS() > u.leaseDeadlineMS {
		for i := range u.ends {
			u.ends[i].leaseExpired = true
		}
	}
	for task, r := range u.running {
		switch {
		case u.clockMS() > u.leaseDeadlineMS:
			u.endRun(task, "lapsed")
		case !strings.HasPrefix(r.Spec, LongRunningSpec) && time.Since(r.Begin) > u.TaskDuration+u.faults.ExtraDuration:
			if u.faults.FailAll {
				u.endRun(task, "failed")
			} else {
				u.endRun(task, "done")
			}
		}
	}
}

func (u *Upstream) endRun(task, kind string) {
	r := u.running[task]
	delete(u.running, task)
	r.End, r.EndKind = time.Now(), kind
	u.lastSeq++
	u.highestEnded[task] = max(u.highestEnded[task], r.Attempt)
	u.ends = append(u.ends, runEnd{seq: u.lastSeq, task: task, attempt: r.Attempt, kind: kind, run: r})
	u.notify()
}

type requestBody struct {
	Task       string `json:"task"`
	Attempt    uint64 `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      uint64 `json:"fencing_token"`
	AckCursor  uint64 `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

// ServeHTTP implements the protocol of the platform's upstreams.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	unresponsive, onCall, id, life, down := u.faults.Unresponsive, u.faults.OnCall, u.ID, u.life, u.down
	u.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if onCall != nil {
		onCall()
	}
	if unresponsive {
		<-r.Context().Done()
		return
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var body requestBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name := strings.TrimPrefix(r.URL.Path, "/-/")
	if u.holdsBack(name, body, life) {
		<-r.Context().Done()
		return
	}
	switch name {
	case "run-start":
		u.startRun(w, body, life)
	case "run-stop":
		u.stopRun(w, body, life)
	case "hold": // polls the runs and renews the lease
		u.poll(w, r, body, life)
	case "pace": // throttles a run; accepted without effect
		u.lockLife(life)
		defer u.mu.Unlock()
		writeJSON(w, map[string]any{"clock_ms": u.clockMS()})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// rejectStaleToken rejects a request whose fencing token is lower than one seen before and returns true. Otherwise it
// records the token and returns false. The caller must hold the lock.
func (u *Upstream) rejectStaleToken(w http.ResponseWriter, token uint64) bool {
	if token < u.fencingToken {
		u.reject(w, "fence")
		return true
	}
	u.fencingToken = token
	return false
}

func (u *Upstream) reject(w http.ResponseWriter, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusConflict)
	writeJSON(w, map[string]any{"clock_ms": u.clockMS(), "reason": reason})
}

func (u *Upstream) startRun(w http.ResponseWriter, body requestBody, life int) {
	u.lockLife(life)
	defer u.mu.Unlock()
	begun := len(u.history)
	u.beginRun(w, body)
	if len(u.history) == begun {
		return
	}
	u.starts++
	if u.faults.DropNthResponse > 0 && u.starts%u.faults.DropNthResponse == 0 {
		panic(http.ErrAbortHandler) // closes the connection after the start without a response
	}
}

// beginRun begins a run, or answers why it does not. The caller must hold the lock.
func (u *Upstream) beginRun(w http.ResponseWriter, body requestBody) {
	if u.rejectStaleToken(w, body.Token) {
		return
	}
	if r := u.running[body.Task]; r != nil && r.Attempt == body.Attempt {
		writeJSON(w, map[string]any{"clock_ms": u.clockMS()})
		return
	}
	switch {
	case u.highestEnded[body.Task] >= body.Attempt:
		u.extendLease(body.DeadlineMS)
		u.reject(w, "old")
		return
	case body.DeadlineMS <= u.clockMS():
		u.reject(w, "late")
		return
	}
	u.extendLease(body.DeadlineMS)
	r := &Run{Task: body.Task, Attempt: body.Attempt, Spec: body.Spec, Upstream: u.ID, Begin: time.Now()}
	u.running[body.Task] = r
	u.history = append(u.history, r)
	writeJSON(w, map[string]any{"clock_ms": u.clockMS()})
}

func (u *Upstream) stopRun(w http.ResponseWriter, body requestBody, life int) {
	u.lockLife(life)
	defer u.mu.Unlock()
	u.stop(w, body)
}

// stop ends a run and bars its start. The caller must hold the lock.
func (u *Upstream) stop(w http.ResponseWriter, body requestBody) {
	if u.rejectStaleToken(w, body.Token) {
		return
	}
	if r := u.running[body.Task]; r != nil && r.Attempt <= body.Attempt {
		u.endRun(body.Task, "stopped")
	}
	u.highestEnded[body.Task] = max(u.highestEnded[body.Task], body.Attempt)
	writeJSON(w, map[string]any{"clock_ms": u.clockMS()})
}

// poll acknowledges ends up to the cursor and extends the lease. It responds with the run lists at once if there are
// unacknowledged ends, otherwise when a run ends or the wait time is over.
func (u *Upstream) poll(w http.ResponseWriter, r *http.Request, body requestBody, life int) {
	timeout := time.After(time.Duration(body.WaitMS) * time.Millisecond)
	for {
		u.lockLife(life)
		if u.rejectStaleToken(w, body.Token) {
			u.mu.Unlock()
			return
		}
		if u.polledAt.IsZero() {
			u.polledAt = time.Now()
		}
		u.takePoll(body)
		changed := u.changed
		if len(u.ends) > 0 || body.WaitMS == 0 {
			u.writeRunLists(w)
			u.mu.Unlock()
			return
		}
		u.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			body.WaitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}

// takePoll extends the lease and discards acknowledged ends. The caller must hold the lock.
func (u *Upstream) takePoll(body requestBody) {
	u.extendLease(body.DeadlineMS)
	for len(u.ends) > 0 && u.ends[0].seq <= body.AckCursor {
		u.ends[0].run.Acknowledged = !u.ends[0].leaseExpired
		u.ends = u.ends[1:]
	}
}

// writeRunLists writes the lists of running tasks and of unacknowledged ends. Their elements are decoded by
// platform.UpstreamClient: [task, attempt, checkpoint, percent, gauge] and [sequence, task, attempt, kind, checkpoint].
// The caller must hold the lock.
func (u *Upstream) writeRunLists(w http.ResponseWriter) {
	running := [][]any{}
	for task, r := range u.running {
		running = append(running, []any{task, r.Attempt, "", 100, 0})
	}
	sort.Slice(running, func(i, j int) bool { return fmt.Sprint(running[i][0]) < fmt.Sprint(running[j][0]) })
	finished := [][]any{}
	for _, e := range u.ends[:min(len(u.ends), maxListedEnds)] {
		finished = append(finished, []any{e.seq, e.task, e.attempt, e.kind, ""})
	}
	writeJSON(w, map[string]any{
		"clock_ms": u.clockMS(), "born": u.bornMS, "running": running, "finished": finished,
	})
}
