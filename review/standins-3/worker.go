//go:build review3

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

// A worker of PROTOCOL.md ("Running tasks"): it starts and stops runs, keeps a lease on its own clock, lists runs and ends,
// and registers itself in the store at each heartbeat. What a task does stands in its job's spec as words: "work=MS" for all
// steps, "lastsN" for step N.

const (
	holdMax    = 10 * time.Second
	stopTime   = 50 * time.Millisecond // stop_timeout_ms is 200
	heartbeat  = 1500 * time.Millisecond
	workerTick = 5 * time.Millisecond
	maxEnds    = 500
)

type activeRun struct {
	task    string
	attempt uint64
	work    time.Duration // 0: it lasts
	worked  time.Duration
	stopAt  time.Time // zero: it is not being stopped
}

type endRow struct {
	n       uint64
	task    string
	attempt uint64
	how     string
	lapsed  bool // the lease has lapsed since
}

type worker struct {
	rig     *rig
	id      string
	service string
	zone    string
	rack    string
	address string

	mu        sync.Mutex
	up        bool
	life      int
	startedAt time.Time
	bornMS    int64
	clockBase int64
	token     uint64
	deadline  int64
	running   map[string]*activeRun
	highest   map[string]uint64
	ends      []endRow
	lastEnd   uint64
	sequence  int
	changed   chan struct{}
	lastHeard time.Time // of the entry in the store
	listed    bool
	kind      string // the label before the rack
	cut       bool   // from all machines: it can't register
	quiet     bool   // it registers with its next heartbeat only
}

type callBody struct {
	Task       string `json:"task"`
	Attempt    uint64 `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      uint64 `json:"fencing_token"`
	AckCursor  uint64 `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

func (r *rig) addWorker(id, service, zone, rack string) *worker {
	w := &worker{rig: r, id: id, service: service, zone: zone, rack: rack, kind: "a", changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	w.address = listener.Addr().String()
	server := &http.Server{Handler: w}
	go func() { _ = server.Serve(listener) }()
	w.begin()
	r.workers = append(r.workers, w)
	return w
}

// begin begins a life that knows nothing of before.
func (w *worker) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life++
	w.up = true
	w.startedAt = time.Now()
	w.bornMS = w.startedAt.UnixMilli()
	w.clockBase = 1000 * int64(w.life)
	w.token, w.deadline, w.lastEnd, w.sequence = 0, 0, 0, 0
	w.running, w.highest, w.ends = map[string]*activeRun{}, map[string]uint64{}, nil
	w.rig.note("worker-begin", "worker", w.id, "born", w.bornMS)
	if !w.quiet {
		w.register()
	}
}

func (w *worker) clock() int64 { return w.clockBase + time.Since(w.startedAt).Milliseconds() }

func (w *worker) register() {
	w.sequence++
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "phase": "ready",
		"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.bornMS, "machine": "m-" + w.id,
		"capacity": map[string]int{"cpu": 16000, "mem_mb": 32768, "gpu": 0}, "labels": []string{w.kind, w.rack},
	}
	data, err := json.Marshal(entry)
	must(err)
	w.rig.store.Put("servers/"+w.id, data)
	w.lastHeard, w.listed = time.Now(), true
}

// crash ends the life. The entry goes after three heartbeats of silence, unless a new life has registered before.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, r := range w.running {
		w.rig.noteEnd(w, task, r.attempt, "crash")
	}
	w.rig.note("worker-crash", "worker", w.id, "runs", len(w.running))
	w.up = false
	w.running = map[string]*activeRun{}
	w.wake()
}

func (w *worker) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func words(spec string) map[string]string {
	values := map[string]string{}
	for _, word := range strings.Fields(spec) {
		name, value, _ := strings.Cut(word, "=")
		values[name] = value
	}
	return values
}

// workOf returns how long a task works, 0 for one that lasts.
func workOf(task, spec string) time.Duration {
	values := words(spec)
	parts := strings.Split(task, ".")
	if _, lasts := values["lasts"+parts[2]]; lasts {
		return 0
	}
	ms, err := strconv.Atoi(values["work"])
	if err != nil {
		ms = 500
	}
	return time.Duration(ms) * time.Millisecond
}

func (w *worker) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.cut {
		if w.listed && time.Since(w.lastHeard) > 3*heartbeat {
			w.listed = false
			w.rig.store.Delete("servers/" + w.id)
		}
		if !w.up {
			return
		}
	}
	if !w.cut && time.Since(w.lastHeard) > heartbeat {
		w.register()
	}
	now, expired := time.Now(), w.clock() > w.deadline
	if expired {
		for i := range w.ends {
			w.ends[i].lapsed = true
		}
	}
	for _, r := range w.running {
		r.worked += workerTick
		switch {
		case expired:
			w.end(r, "lapsed")
		case !r.stopAt.IsZero():
			if now.After(r.stopAt) {
				w.end(r, "stopped")
			}
		case r.work > 0 && r.worked >= r.work:
			w.end(r, "done")
		}
	}
}

func (w *worker) end(r *activeRun, how string) {
	delete(w.running, r.task)
	w.lastEnd++
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	w.ends = append(w.ends, endRow{n: w.lastEnd, task: r.task, attempt: r.attempt, how: how})
	w.rig.noteEnd(w, r.task, r.attempt, how)
	w.wake()
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, request *http.Request) {
	w.mu.Lock()
	up, life := w.up, w.life
	w.mu.Unlock()
	if !up {
		panic(http.ErrAbortHandler)
	}
	if expected := request.Header.Get("X-Expected-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var body callBody
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	name := strings.TrimPrefix(request.URL.Path, "/-/")
	if name == "hold" {
		w.poll(rw, request, body, life)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.life != life {
		panic(http.ErrAbortHandler)
	}
	status, reason := w.execute(name, body)
	w.answer(rw, status, reason)
}

func (w *worker) answer(rw http.ResponseWriter, status int, reason string) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	answer := map[string]any{"clock_ms": w.clock()}
	if reason != "" {
		answer["reason"] = reason
	}
	_ = json.NewEncoder(rw).Encode(answer)
}

// execute carries out a call other than hold. The caller holds the lock.
func (w *worker) execute(name string, body callBody) (status int, reason string) {
	if body.Token < w.token {
		return http.StatusConflict, "fence"
	}
	w.token = body.Token
	switch name {
	case "run-start":
		return w.start(body)
	case "run-stop":
		w.rig.note("stop", "worker", w.id, "task", body.Task, "attempt", body.Attempt)
		if r := w.running[body.Task]; r != nil && r.attempt <= body.Attempt && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTime)
		}
		w.highest[body.Task] = max(w.highest[body.Task], body.Attempt)
		return http.StatusOK, ""
	case "pace":
		return http.StatusOK, ""
	}
	return http.StatusNotFound, ""
}

func (w *worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+holdMax.Milliseconds()))
}

func (w *worker) start(body callBody) (status int, reason string) {
	if r := w.running[body.Task]; r != nil && r.attempt == body.Attempt {
		return http.StatusOK, ""
	}
	switch {
	case w.highest[body.Task] >= body.Attempt:
		w.extend(body.DeadlineMS)
		return http.StatusConflict, "old"
	case body.DeadlineMS <= w.clock():
		return http.StatusConflict, "late"
	case w.running[body.Task] != nil: // an earlier run of the task is still there: no room beside it
		w.extend(body.DeadlineMS)
		return http.StatusConflict, "room"
	}
	w.extend(body.DeadlineMS)
	w.running[body.Task] = &activeRun{task: body.Task, attempt: body.Attempt, work: workOf(body.Task, body.Spec)}
	w.rig.noteStart(w, body)
	return http.StatusOK, ""
}

func (w *worker) take(body callBody) {
	if body.DeadlineMS > 0 {
		w.extend(body.DeadlineMS)
	}
	for len(w.ends) > 0 && w.ends[0].n <= body.AckCursor {
		e := w.ends[0]
		w.ends = w.ends[1:]
		w.rig.noteTaken(w, e)
	}
}

func (w *worker) poll(rw http.ResponseWriter, request *http.Request, body callBody, life int) {
	timeout := time.After(time.Duration(min(body.WaitMS, 2000)) * time.Millisecond)
	for {
		w.mu.Lock()
		if !w.up || w.life != life {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if body.Token < w.token {
			w.answer(rw, http.StatusConflict, "fence")
			w.mu.Unlock()
			return
		}
		w.token = body.Token
		w.take(body)
		if len(w.ends) > 0 || body.WaitMS == 0 {
			w.writeLists(rw)
			w.mu.Unlock()
			return
		}
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			body.WaitMS = 0
		case <-request.Context().Done():
			return
		}
	}
}

func (w *worker) writeLists(rw http.ResponseWriter) {
	rows := [][]any{}
	for task, r := range w.running {
		percent := 100
		if r.work > 0 {
			percent = int(min(99, 100*r.worked/r.work))
		}
		rows = append(rows, []any{task, r.attempt, "", percent, 0})
	}
	sort.Slice(rows, func(i, j int) bool { return fmt.Sprint(rows[i][0]) < fmt.Sprint(rows[j][0]) })
	ends := [][]any{}
	for _, e := range w.ends[:min(len(w.ends), maxEnds)] {
		ends = append(ends, []any{e.n, e.task, e.attempt, e.how, ""})
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"clock_ms": w.clock(), "born": w.bornMS, "running": rows, "finished": ends})
}
