package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A worker as PROTOCOL.md describes it. The spec of a task says what it does: "work=MS" runs for so many milliseconds and ends
// done, "fail=MS" ends failed; "last" runs until it is stopped, "last fail=MS" lasts, too, and always fails.

const (
	maxHold    = 10 * time.Second        // hold_max_ms
	stopTime   = 120 * time.Millisecond  // at most stop_timeout_ms
	heartbeat  = 1500 * time.Millisecond // heartbeat_ms
	listedEnds = 500
)

// run is one run of a task on a worker.
type run struct {
	task    string
	attempt uint64
	spec    string
	worker  string
	life    int // number of the worker's life
	begin   time.Time
	end     time.Time // zero: it goes on
	how     string
	noted   bool // ack_cursor has reached its end
	lapsed  bool // the lease lapsed between its end and its acknowledgement, or ended it
}

type endRow struct {
	n   uint64
	run *run
}

type worker struct {
	id, service, kind, zone, rack, machine string
	cpu, mem                               int64
	store                                  *store
	retry                                  time.Duration // between two tries of a starting worker to register
	log                                    func(string, ...any)
	listen                                 string // address on which it listens itself
	proxy                                  *proxy // in front of it; its address is the registered one
	address                                string // address that it registers: its own or that of the proxy in front of it

	mu       sync.Mutex
	up       bool
	cutOff   bool // it doesn't reach the store
	life     int
	clockOff time.Duration // what its time of day is ahead of the true time
	started  time.Time     // steady
	bornMS   int64
	token    uint64
	leaseMS  int64
	running  map[string]*run
	gone     map[string]uint64 // by task: highest run that was stopped or ended there
	ends     []endRow
	lastEnd  uint64
	sequence int
	changed  chan struct{}
	history  []*run
	server   *http.Server
	stopBeat chan struct{}
}

// start begins a new life under the same id.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.listen)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listen = listener.Addr().String()
	w.life++
	w.up, w.started, w.bornMS = true, time.Now(), time.Now().Add(w.clockOff).UnixMilli()
	w.token, w.leaseMS, w.lastEnd, w.sequence = 0, 0, 0, 0
	w.running, w.gone, w.ends = map[string]*run{}, map[string]uint64{}, nil
	w.changed = make(chan struct{})
	w.server = &http.Server{Handler: w}
	w.stopBeat = make(chan struct{})
	go w.server.Serve(listener)
	go w.beat(w.stopBeat)
	go w.tick(w.life)
	w.log("worker starts", "worker", w.id, "life", w.life, "born", w.bornMS)
	return nil
}

// crash ends the life: everything that runs ends, and all connections are closed.
func (w *worker) crash() {
	w.mu.Lock()
	for _, r := range w.running {
		r.end, r.how = time.Now(), "crashed"
	}
	w.running = map[string]*run{}
	w.up = false
	close(w.stopBeat)
	close(w.changed)
	w.changed = make(chan struct{})
	server := w.server
	w.mu.Unlock()
	w.log("worker crashes", "worker", w.id, "life", w.life)
	_ = server.Close()
}

// stepClock moves its time of day; what it has said of its start stays.
func (w *worker) stepClock(ahead time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clockOff = ahead
	w.log("time of day of a worker's machine jumps", "worker", w.id, "ahead_ms", ahead.Milliseconds())
}

func (w *worker) setCutOff(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutOff = cut
}

func (w *worker) beat(stop chan struct{}) {
	registered := false
	for {
		w.mu.Lock()
		cut := w.cutOff
		w.sequence++
		entry := map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "phase": "ready",
			"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.bornMS, "machine": w.machine,
			"capacity": map[string]int64{"cpu": w.cpu, "mem_mb": w.mem, "gpu": 0}, "labels": []string{w.kind, w.rack},
		}
		w.mu.Unlock()
		pause := heartbeat
		if cut {
			if !registered {
				pause = w.retry
			}
		} else {
			w.store.set("servers/"+w.id, entry)
			registered = true
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

func (w *worker) clockMS() int64 { return time.Since(w.started).Milliseconds() + 1 }

// workOf returns how long a task runs if it ends by itself.
func workOf(spec string) (time.Duration, bool) {
	text, ok := strings.CutPrefix(spec, "work=")
	if !ok {
		text, ok = strings.CutPrefix(strings.TrimPrefix(spec, "last "), "fail=")
	}
	if !ok {
		return 0, false
	}
	text, _, _ = strings.Cut(text, " ")
	ms, err := strconv.Atoi(text)
	return time.Duration(ms) * time.Millisecond, err == nil
}

func (w *worker) tick(life int) {
	for range time.Tick(5 * time.Millisecond) {
		w.mu.Lock()
		if !w.up || w.life != life {
			w.mu.Unlock()
			return
		}
		lapsed := w.clockMS() > w.leaseMS
		for _, e := range w.ends {
			e.run.lapsed = e.run.lapsed || lapsed
		}
		for _, r := range w.running {
			work, ends := workOf(r.spec)
			switch {
			case lapsed:
				w.finish(r, "lapsed")
			case ends && time.Since(r.begin) >= work && strings.Contains(r.spec, "fail="):
				w.finish(r, "failed")
			case ends && time.Since(r.begin) >= work:
				w.finish(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) finish(r *run, how string) {
	r.end, r.how = time.Now(), how
	delete(w.running, r.task)
	w.gone[r.task] = max(w.gone[r.task], r.attempt)
	w.lastEnd++
	w.ends = append(w.ends, endRow{w.lastEnd, r})
	close(w.changed)
	w.changed = make(chan struct{})
}

type order struct {
	Task     string  `json:"task"`
	Attempt  uint64  `json:"attempt"`
	Spec     string  `json:"spec"`
	Deadline float64 `json:"deadline_ms"`
	Token    uint64  `json:"fencing_token"`
	Ack      uint64  `json:"ack_cursor"`
	WaitMS   int64   `json:"wait_ms"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Expected-Instance") != w.id {
		respond(rw, http.StatusMisdirectedRequest, nil)
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		respond(rw, http.StatusBadRequest, nil)
		return
	}
	w.mu.Lock()
	if o.Token < w.token {
		defer w.mu.Unlock()
		w.refuse(rw, "fence")
		return
	}
	w.token = o.Token
	life := w.life
	w.mu.Unlock()
	switch strings.TrimPrefix(r.URL.Path, "/-/") {
	case "run-start":
		w.runStart(rw, o, life)
	case "run-stop":
		w.runStop(rw, o)
	case "hold":
		w.hold(rw, r, o, life)
	case "pace":
		w.mu.Lock()
		defer w.mu.Unlock()
		respond(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMS()})
	default:
		respond(rw, http.StatusNotFound, nil)
	}
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	respond(rw, http.StatusConflict, map[string]any{"clock_ms": w.clockMS(), "reason": reason})
}

func (w *worker) extend(deadlineMS float64) {
	w.leaseMS = max(w.leaseMS, min(int64(deadlineMS), w.clockMS()+maxHold.Milliseconds()))
}

func (w *worker) runStart(rw http.ResponseWriter, o order, life int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.life != life {
		panic(http.ErrAbortHandler)
	}
	if r := w.running[o.Task]; r != nil && r.attempt == o.Attempt {
		respond(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMS()})
		return
	}
	if w.gone[o.Task] >= o.Attempt {
		w.extend(o.Deadline)
		w.refuse(rw, "old")
		return
	}
	if int64(o.Deadline) <= w.clockMS() {
		w.refuse(rw, "late")
		return
	}
	w.extend(o.Deadline)
	r := &run{task: o.Task, attempt: o.Attempt, spec: o.Spec, worker: w.id, life: w.life, begin: time.Now()}
	w.running[o.Task] = r
	w.history = append(w.history, r)
	w.log("run begins", "worker", w.id, "life", w.life, "task", o.Task, "attempt", o.Attempt)
	respond(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMS()})
}

func (w *worker) runStop(rw http.ResponseWriter, o order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone[o.Task] = max(w.gone[o.Task], o.Attempt)
	if r := w.running[o.Task]; r != nil && r.attempt <= o.Attempt {
		w.log("run is stopped", "worker", w.id, "task", o.Task, "attempt", o.Attempt)
		life := w.life
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.up && w.life == life && w.running[o.Task] == r {
				w.finish(r, "stopped")
			}
		})
	}
	respond(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMS()})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order, life int) {
	timeout := time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	waited := o.WaitMS == 0
	for {
		w.mu.Lock()
		if !w.up || w.life != life {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		w.extend(o.Deadline)
		for len(w.ends) > 0 && w.ends[0].n <= o.Ack {
			w.ends[0].run.noted = !w.ends[0].run.lapsed
			w.ends = w.ends[1:]
		}
		changed := w.changed
		if len(w.ends) > 0 || waited {
			body := w.lists()
			w.mu.Unlock()
			respond(rw, http.StatusOK, body)
			return
		}
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

func (w *worker) lists() map[string]any {
	running := [][]any{}
	for task, r := range w.running {
		percent, gauge := 50, int64(100)
		if strings.HasPrefix(r.spec, "last") && time.Since(r.begin) > 700*time.Millisecond {
			percent = 100
		}
		running = append(running, []any{task, r.attempt, "", percent, gauge})
	}
	sort.Slice(running, func(i, j int) bool { return fmt.Sprint(running[i][0]) < fmt.Sprint(running[j][0]) })
	finished := [][]any{}
	for _, e := range w.ends[:min(len(w.ends), listedEnds)] {
		finished = append(finished, []any{e.n, e.run.task, e.run.attempt, e.run.how, ""})
	}
	return map[string]any{"clock_ms": w.clockMS(), "born": w.bornMS, "running": running, "finished": finished}
}

func (w *worker) runs() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []run
	for _, r := range w.history {
		all = append(all, *r)
	}
	return all
}
