package main

import (
	"context"
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

// run is one run of a task on a worker.
type run struct {
	task    string
	attempt uint64
	worker  string
	spec    string
	begin   time.Time
	end     time.Time // zero while it runs
	how     string
	acked   bool // the end was taken note of before the worker's lease lapsed
	takes   time.Duration
	fails   bool
	lasts   bool
	seq     uint64
	lapsed  bool      // the lease has lapsed since the end
	stopBy  time.Time // when its stop is complete; zero if it is not being stopped
}

// worker is a stand-in of a worker, as PROTOCOL.md describes it ("Running tasks"). It never rejects for want of room
// (rejects_overload is false). A task's spec says how long it runs, for example "ms=800", "ms=800 fail" or "lasts".
type worker struct {
	id, service, zone, address string
	machine, rack, kind        string
	store                      *store
	log                        *record

	mu        sync.Mutex
	born      time.Time
	fence     uint64
	deadline  int64
	running   map[string]*run
	highest   map[string]uint64
	ends      []*run
	seq       uint64
	changed   chan struct{}
	history   []*run // of all incarnations
	listener  net.Listener
	up        bool
	netMu     sync.Mutex // of the connections
	cut       chan struct{}
	conns     map[net.Conn]struct{}
	silence   *time.Timer
	breakFrom time.Time // lasting tasks fail from here ...
	breakTo   time.Time // ... to here
}

const (
	maxListedEnds = 500 // "The others are returned again (500 at a time)"
	holdMax       = 10 * time.Second
	stopTakes     = 100 * time.Millisecond // "A stop takes at most `stop_timeout_ms`", which is 200
	workerCPU     = 16000
	workerMemMB   = 65536
)

func newWorker(id, service, zone, rack string, s *store, log *record) *worker {
	w := &worker{id: id, service: service, zone: zone, rack: rack, kind: "a", machine: "m-" + id, store: s, log: log, conns: map[net.Conn]struct{}{}}
	go func() {
		for range time.Tick(5 * time.Millisecond) {
			w.tick()
		}
	}()
	return w
}

// begin starts an incarnation of the worker, at the address of the one before if there was one. It registers itself as
// soon as it can be reached.
func (w *worker) start() error {
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	w.mu.Lock()
	w.born, w.fence, w.deadline, w.seq = time.Now(), 0, 0, 0
	w.running, w.highest, w.ends = map[string]*run{}, map[string]uint64{}, nil
	w.changed = make(chan struct{})
	w.up = true
	w.mu.Unlock()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.address = listener.Addr().String()
	w.listener = listener
	server := &http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(gateListener{listener, w}) }() // ends when the listener is closed
	w.log.add("worker", "%s is up at %s", w.id, w.address)
	w.register()
	return nil
}

// entry is what the worker writes about itself.
func (w *worker) entry() map[string]any {
	return map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "phase": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": w.born.UnixMilli(), "machine": w.machine,
		"capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemMB, "gpu": 0},
		"labels":   []string{w.kind, w.rack},
	}
}

func (w *worker) register() { w.store.put("servers/"+w.id, w.entry()) }

// crash ends the worker's process: all that runs there ends, and its connections are reset.
func (w *worker) crash() {
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up = false
	for _, r := range w.running {
		r.end, r.how = time.Now(), "gone"
		w.log.add("run", "%s run %d on %s: gone", r.task, r.attempt, w.id)
	}
	w.running, w.ends = map[string]*run{}, nil
	w.netMu.Lock()
	defer w.netMu.Unlock()
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(w.conns)
	w.log.add("worker", "%s crashes", w.id)
}

// cutOff holds back all bytes between the worker and the entry hosts until heal.
func (w *worker) cutOff() {
	w.netMu.Lock()
	defer w.netMu.Unlock()
	w.cut = make(chan struct{})
	w.log.add("worker", "%s is cut off", w.id)
}

func (w *worker) heal() {
	w.netMu.Lock()
	defer w.netMu.Unlock()
	close(w.cut)
	w.cut = nil
	w.log.add("worker", "%s is reached again", w.id)
}

// goDark ends the worker's process without a sign: nothing is answered any more, and its entry is removed after three
// heartbeat intervals of silence.
func (w *worker) goDark() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up = false
	for _, r := range w.running {
		r.end, r.how = time.Now(), "gone"
		w.log.add("run", "%s run %d on %s: gone", r.task, r.attempt, w.id)
	}
	w.running, w.ends = map[string]*run{}, nil
	w.cutOff()
	w.silence = time.AfterFunc(3*heartbeat, func() { w.store.remove("servers/" + w.id) })
}

// comeBack starts the worker again after goDark.
func (w *worker) comeBack() error {
	w.silence.Stop()
	w.crash()
	w.heal()
	return w.start()
}

// gateListener and gateConn hold back bytes while the worker is cut off.
type gateListener struct {
	net.Listener
	w *worker
}

func (l gateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.w.netMu.Lock()
	l.w.conns[c] = struct{}{}
	l.w.netMu.Unlock()
	return gateConn{c, l.w}, nil
}

type gateConn struct {
	net.Conn
	w *worker
}

func (c gateConn) wait() {
	for {
		c.w.netMu.Lock()
		cut := c.w.cut
		c.w.netMu.Unlock()
		if cut == nil {
			return
		}
		<-cut
	}
}

func (c gateConn) Read(b []byte) (int, error) {
	c.wait()
	n, err := c.Conn.Read(b)
	if c.isCut() { // what comes in during a cut is lost, and the connection with it
		c.wait()
		return 0, net.ErrClosed
	}
	return n, err
}

func (c gateConn) isCut() bool {
	c.w.netMu.Lock()
	defer c.w.netMu.Unlock()
	return c.w.cut != nil
}

func (c gateConn) Write(b []byte) (int, error) {
	c.wait()
	return c.Conn.Write(b)
}

func (c gateConn) Close() error {
	c.w.netMu.Lock()
	delete(c.w.conns, c.Conn)
	c.w.netMu.Unlock()
	return c.Conn.Close()
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

// tick ends the runs whose time has come, or all of them if the lease has lapsed.
func (w *worker) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	now, lapsed := time.Now(), w.clock() > w.deadline
	if lapsed {
		for _, r := range w.ends {
			r.lapsed = true
		}
	}
	for _, r := range w.running {
		switch {
		case lapsed:
			w.endRun(r, "lapsed")
		case !r.stopBy.IsZero() && now.After(r.stopBy):
			w.endRun(r, "stopped")
		case r.lasts && now.After(w.breakFrom) && now.Before(w.breakTo):
			w.endRun(r, "failed")
		case !r.lasts && now.Sub(r.begin) >= r.takes && r.fails:
			w.endRun(r, "failed")
		case !r.lasts && now.Sub(r.begin) >= r.takes:
			w.endRun(r, "done")
		}
	}
}

func (w *worker) endRun(r *run, how string) {
	delete(w.running, r.task)
	w.seq++
	r.end, r.how, r.seq = time.Now(), how, w.seq
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	w.ends = append(w.ends, r)
	w.log.add("run", "%s run %d on %s: %s", r.task, r.attempt, w.id, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

type order struct {
	Task     string `json:"task"`
	Attempt  uint64 `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	Ack      uint64 `json:"ack_cursor"`
	WaitMS   int64  `json:"wait_ms"`
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	var reply reply
	switch r.URL.Path {
	case "/-/run-start":
		reply = w.startRun(o)
	case "/-/run-stop":
		reply = w.stopRun(o)
	case "/-/hold":
		reply = w.hold(r.Context(), o)
	case "/-/pace":
		reply = w.accept()
	default:
		out.WriteHeader(http.StatusNotFound)
		return
	}
	answer(out, reply.status, reply.body)
}

type reply struct {
	status int
	body   map[string]any
}

func (w *worker) accept() reply { return reply{http.StatusOK, map[string]any{"clock_ms": w.clock()}} }

func (w *worker) reject(reason string) reply {
	return reply{http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason}}
}

// isFenced reports whether an order has a lower token than one seen before. The caller holds the lock.
func (w *worker) isFenced(o order) bool {
	w.fence = max(w.fence, o.Token)
	return o.Token < w.fence
}

func (w *worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+holdMax.Milliseconds()))
}

func (w *worker) startRun(o order) reply {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isFenced(o) {
		return w.reject("fence")
	}
	known := w.running[o.Task]
	switch {
	case known != nil && known.attempt >= o.Attempt:
		return w.accept()
	case w.highest[o.Task] >= o.Attempt:
		return w.reject("old")
	case o.Deadline <= w.clock():
		return w.reject("late")
	}
	w.extend(o.Deadline)
	r := &run{task: o.Task, attempt: o.Attempt, worker: w.id, spec: o.Spec, begin: time.Now()}
	for _, word := range strings.Fields(o.Spec) {
		switch {
		case strings.HasPrefix(word, "ms="): // "ms=1800-3200": spread over the tasks by their index
			r.takes = duration(word[3:], o.Task)
		case word == "fail":
			r.fails = true
		case word == "lasts":
			r.lasts = true
		}
	}
	w.running[o.Task] = r
	w.history = append(w.history, r)
	w.log.add("run", "%s run %d on %s: begins", r.task, r.attempt, w.id)
	return w.accept()
}

// duration reads "800" or "1800-3200"; the latter is spread evenly over the tasks.
func duration(text, task string) time.Duration {
	low, high, spread := strings.Cut(text, "-")
	from, _ := strconv.Atoi(low)
	if !spread {
		return time.Duration(from) * time.Millisecond
	}
	to, _ := strconv.Atoi(high)
	index, _ := strconv.Atoi(task[strings.LastIndexByte(task, '.')+1:])
	return time.Duration(from+index*7919%(to-from)) * time.Millisecond
}

func (w *worker) stopRun(o order) reply {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isFenced(o) {
		return w.reject("fence")
	}
	if r := w.running[o.Task]; r != nil && r.attempt <= o.Attempt && r.stopBy.IsZero() {
		r.stopBy = time.Now().Add(stopTakes)
		w.log.add("run", "%s run %d on %s: is being stopped", r.task, r.attempt, w.id)
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
	return w.accept()
}

func (w *worker) hold(ctx context.Context, o order) reply {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isFenced(o) {
		return w.reject("fence")
	}
	w.extend(o.Deadline)
	for len(w.ends) > 0 && w.ends[0].seq <= o.Ack {
		w.ends[0].acked = !w.ends[0].lapsed
		w.ends = w.ends[1:]
	}
	timeout := time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for waiting := o.WaitMS > 0; len(w.ends) == 0 && waiting; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
		w.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.running {
		percent := 50
		if r.lasts && time.Since(r.begin) > 300*time.Millisecond {
			percent = 100
		}
		running = append(running, []any{r.task, r.attempt, "", percent, 0})
	}
	sort.Slice(running, func(i, j int) bool { return fmt.Sprint(running[i][0]) < fmt.Sprint(running[j][0]) })
	for _, r := range w.ends {
		if len(finished) < maxListedEnds {
			finished = append(finished, []any{r.seq, r.task, r.attempt, r.how, ""})
		}
	}
	return reply{http.StatusOK, map[string]any{
		"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "finished": finished,
	}}
}

// runs returns the worker's runs of all its incarnations.
func (w *worker) runs() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make([]run, 0, len(w.history))
	for _, r := range w.history {
		all = append(all, *r)
	}
	return all
}

func (w *worker) busy() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}
