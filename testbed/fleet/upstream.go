package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Run is one run that an upstream has begun, as the checks see it.
type Run struct {
	Task    string
	Attempt uint64
	Spec    string
	Host    string
	Begin   time.Time
	End     time.Time // zero while it runs
	How     string
	// Noted is set when the end was acknowledged before the upstream's lease expired. Otherwise the task may be started
	// again: nobody could know of the end.
	Noted bool
}

// Upstream is the stand-in of one upstream. Its tasks take Duration each. It is safe for concurrent use.
type Upstream struct {
	ID       string
	Pool     string
	Zone     string
	Address  string
	Duration time.Duration

	mu       sync.Mutex
	born     time.Time
	token    uint64
	deadline int64
	running  map[string]*Run
	barred   map[string]uint64
	ends     []endRow
	seq      uint64
	changed  chan struct{}
	history  []*Run
	faults   UpstreamFaults
	orders   int
}

// UpstreamFaults are switched on by tests.
type UpstreamFaults struct {
	Dark     bool // calls get no answer
	LoseNth  int  // the answer of each nth start is lost; 0: none
	FailAll  bool // tasks end as failed
	SlowDown time.Duration
}

type endRow struct {
	seq     uint64
	task    string
	attempt uint64
	how     string
	run     *Run
	lapsed  bool // the lease has expired since
}

const (
	capacityMilliCPU = 16000
	capacityMemoryMB = 64000
	upstreamTick     = 5 * time.Millisecond
)

// NewUpstream returns an upstream; Tick has to be called regularly.
func NewUpstream(id, pool, zone, address string, duration time.Duration) *Upstream {
	return &Upstream{
		ID: id, Pool: pool, Zone: zone, Address: address, Duration: duration, born: time.Now(),
		running: map[string]*Run{}, barred: map[string]uint64{}, changed: make(chan struct{}),
	}
}

// Entry returns the upstream's report about itself in the store.
func (u *Upstream) Entry() []byte {
	data, err := json.Marshal(map[string]any{
		"service": u.Pool, "address": u.Address, "zone": u.Zone, "version": "v1", "slots": 8, "phase": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": u.born.UnixMilli(), "machine": "m-" + u.ID,
		"capacity": map[string]int{"cpu": capacityMilliCPU, "mem_mb": capacityMemoryMB, "gpu": 0},
		"labels":   []string{"a", "r-" + u.Zone},
	})
	if err != nil {
		panic(err) // plain values
	}
	return data
}

// SetFaults replaces the faults.
func (u *Upstream) SetFaults(faults UpstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = faults
}

// History returns copies of all runs.
func (u *Upstream) History() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	runs := make([]Run, 0, len(u.history))
	for _, r := range u.history {
		runs = append(runs, *r)
	}
	return runs
}

func (u *Upstream) clock() int64 { return time.Since(u.born).Milliseconds() + 1 }

// Tick ends runs whose time has come, and all when the lease has expired.
func (u *Upstream) Tick() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.clock() > u.deadline {
		for i := range u.ends {
			u.ends[i].lapsed = true
		}
	}
	for task, r := range u.running {
		switch {
		case u.clock() > u.deadline:
			u.end(task, "lapsed")
		case time.Since(r.Begin) > u.Duration+u.faults.SlowDown:
			if u.faults.FailAll {
				u.end(task, "failed")
			} else {
				u.end(task, "done")
			}
		}
	}
}

func (u *Upstream) end(task, how string) {
	r := u.running[task]
	delete(u.running, task)
	r.End, r.How = time.Now(), how
	u.seq++
	u.barred[task] = max(u.barred[task], r.Attempt)
	u.ends = append(u.ends, endRow{seq: u.seq, task: task, attempt: r.Attempt, how: how, run: r})
	close(u.changed)
	u.changed = make(chan struct{})
}

type orderBody struct {
	Task       string `json:"task"`
	Attempt    uint64 `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      uint64 `json:"fencing_token"`
	AckCursor  uint64 `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

// ServeHTTP implements the upstreams' protocol.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	dark := u.faults.Dark
	u.mu.Unlock()
	if dark {
		<-r.Context().Done()
		return
	}
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != u.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var body orderBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch strings.TrimPrefix(r.URL.Path, "/-/") {
	case "run-start":
		u.start(w, body)
	case "run-stop":
		u.stop(w, body)
	case "hold":
		u.hold(w, r, body)
	case "pace":
		reply(w, map[string]any{"clock_ms": u.clock()})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// fenced answers a call with a token that is too low. The caller holds the lock.
func (u *Upstream) fenced(w http.ResponseWriter, token uint64) bool {
	if token < u.token {
		u.refuse(w, "fence")
		return true
	}
	u.token = token
	return false
}

func (u *Upstream) refuse(w http.ResponseWriter, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusConflict)
	reply(w, map[string]any{"clock_ms": u.clock(), "reason": reason})
}

func (u *Upstream) start(w http.ResponseWriter, body orderBody) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.fenced(w, body.Token) {
		return
	}
	if r := u.running[body.Task]; r != nil && r.Attempt == body.Attempt {
		reply(w, map[string]any{"clock_ms": u.clock()})
		return
	}
	switch {
	case u.barred[body.Task] >= body.Attempt:
		u.refuse(w, "old")
		return
	case body.DeadlineMS <= u.clock():
		u.refuse(w, "late")
		return
	}
	u.deadline = max(u.deadline, body.DeadlineMS)
	r := &Run{Task: body.Task, Attempt: body.Attempt, Spec: body.Spec, Host: u.ID, Begin: time.Now()}
	u.running[body.Task] = r
	u.history = append(u.history, r)
	u.orders++
	if u.faults.LoseNth > 0 && u.orders%u.faults.LoseNth == 0 {
		panic(http.ErrAbortHandler) // the connection breaks before the answer
	}
	reply(w, map[string]any{"clock_ms": u.clock()})
}

func (u *Upstream) stop(w http.ResponseWriter, body orderBody) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.fenced(w, body.Token) {
		return
	}
	if r := u.running[body.Task]; r != nil && r.Attempt <= body.Attempt {
		u.end(body.Task, "stopped")
	}
	u.barred[body.Task] = max(u.barred[body.Task], body.Attempt)
	reply(w, map[string]any{"clock_ms": u.clock()})
}

func (u *Upstream) hold(w http.ResponseWriter, r *http.Request, body orderBody) {
	deadline := time.After(time.Duration(body.WaitMS) * time.Millisecond)
	for {
		u.mu.Lock()
		if u.fenced(w, body.Token) {
			u.mu.Unlock()
			return
		}
		u.deadline = max(u.deadline, body.DeadlineMS)
		for len(u.ends) > 0 && u.ends[0].seq <= body.AckCursor {
			u.ends[0].run.Noted = !u.ends[0].lapsed
			u.ends = u.ends[1:]
		}
		changed := u.changed
		if len(u.ends) > 0 || body.WaitMS == 0 {
			u.list(w)
			u.mu.Unlock()
			return
		}
		u.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			body.WaitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}

// list writes both lists. The caller holds the lock.
func (u *Upstream) list(w http.ResponseWriter) {
	running := [][]any{}
	for task, r := range u.running {
		running = append(running, []any{task, r.Attempt, "", 100, 0})
	}
	sort.Slice(running, func(i, j int) bool { return fmt.Sprint(running[i][0]) < fmt.Sprint(running[j][0]) })
	finished := [][]any{}
	for _, e := range u.ends {
		finished = append(finished, []any{e.seq, e.task, e.attempt, e.how, ""})
	}
	reply(w, map[string]any{
		"clock_ms": u.clock(), "born": u.born.UnixMilli(), "running": running, "finished": finished,
	})
}
