//go:build review3

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"citrongauge.example/citrongauge/testbed/fleet"
)

// A small deployment on loopback: the project's store stand-in, workers, and entry hosts as processes.
type rig struct {
	store        *fleet.Store
	storeAddress string
	workers      []*worker
	hosts        []*host
	directory    string
	began        time.Time
	client       *http.Client

	recordMu sync.Mutex
	record   *os.File

	mu      sync.Mutex
	starts  []string // tasks but those of bulk jobs, once for each start
	onStart func(w *worker, task string, attempt uint64)

	runs map[string][]*runRecord // by task, in the order of their begins

	bulk       string         // IDs with this prefix are of bulk jobs, whose runs are recorded as counts; empty: none
	bulkStarts map[string]int // by worker
}

type runRecord struct {
	worker     string
	attempt    uint64
	begin, end time.Time // end is zero while it runs
	how        string
	taken      time.Time // when its end was taken note of, while the lease had not lapsed
}

type host struct {
	name, zone, clients, readiness, settings, log string
	storeProxy                                    *fleet.Proxy
	process                                       *exec.Cmd
}

const (
	teamKey     = "review-key"
	queueHost   = "jobs.example"
	queuePrefix = "/renders/" // its service is render
	labelPrefix = "/labels/"  // its service is label
)

var zones = []string{"prai", "bayan-lepas", "kulim"}

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		os.Exit(2)
	}
}

func newRig() *rig {
	r := &rig{store: fleet.NewStore(), began: time.Now(), bulkStarts: map[string]int{}, runs: map[string][]*runRecord{}, client: &http.Client{Timeout: 3 * time.Second}}
	directory, err := os.MkdirTemp("", "review3-")
	must(err)
	r.directory = directory
	r.record, err = os.Create(os.Getenv("RECORD"))
	must(err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	r.storeAddress = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: r.store}).Serve(listener) }()
	go func() {
		for range time.Tick(workerTick) {
			for _, w := range r.workers {
				w.tick()
			}
		}
	}()
	return r
}

// note writes a line to record.txt.
func (r *rig) note(what string, pairs ...any) {
	line := fmt.Sprintf("%8.3f %s", time.Since(r.began).Seconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		line += fmt.Sprintf(" %v=%v", pairs[i], pairs[i+1])
	}
	r.recordMu.Lock()
	defer r.recordMu.Unlock()
	fmt.Fprintln(r.record, line)
}

func (r *rig) isBulk(task string) bool { return r.bulk != "" && strings.HasPrefix(task, r.bulk) }

// bulkCount returns the number of runs of bulk jobs that were started.
func (r *rig) bulkCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := 0
	for _, n := range r.bulkStarts {
		sum += n
	}
	return sum
}

// noteBulk records the number of runs of bulk jobs that each worker has begun.
func (r *rig) noteBulk() {
	for _, w := range r.workers {
		r.mu.Lock()
		n := r.bulkStarts[w.id]
		r.mu.Unlock()
		if n > 0 {
			r.note("bulk-starts", "worker", w.id, "so_far", n)
		}
	}
}

func (r *rig) noteStart(w *worker, body callBody) {
	r.mu.Lock()
	r.runs[body.Task] = append(r.runs[body.Task], &runRecord{worker: w.id, attempt: body.Attempt, begin: time.Now()})
	r.mu.Unlock()
	if r.isBulk(body.Task) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.bulkStarts[w.id]++
		return
	}
	r.note("run-start", "worker", w.id, "task", body.Task, "attempt", body.Attempt, "token", body.Token)
	r.mu.Lock()
	r.starts = append(r.starts, body.Task)
	hook := r.onStart
	r.mu.Unlock()
	if hook != nil {
		go hook(w, body.Task, body.Attempt)
	}
}

func (r *rig) runOf(w *worker, task string, attempt uint64) *runRecord {
	for _, run := range r.runs[task] {
		if run.worker == w.id && run.attempt == attempt {
			return run
		}
	}
	return nil
}

// noteEnd records the end of a run.
func (r *rig) noteEnd(w *worker, task string, attempt uint64, how string) {
	r.mu.Lock()
	if run := r.runOf(w, task, attempt); run != nil {
		run.end, run.how = time.Now(), how
	}
	r.mu.Unlock()
	if !r.isBulk(task) {
		r.note("run-end", "worker", w.id, "task", task, "attempt", attempt, "how", how)
	}
}

// twice returns the breaks of TWICE: two runs of a task at the same time, or a start after an end done that was taken note of.
func (r *rig) twice() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var breaks []string
	for task, runs := range r.runs {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				switch {
				case a.end.IsZero() || a.end.After(b.begin):
					breaks = append(breaks, fmt.Sprintf("%s: attempt %d on %s and attempt %d on %s at the same time", task, a.attempt, a.worker, b.attempt, b.worker))
				case a.how == "done" && !a.taken.IsZero():
					breaks = append(breaks, fmt.Sprintf("%s: attempt %d on %s was done, attempt %d on %s was started", task, a.attempt, a.worker, b.attempt, b.worker))
				}
			}
		}
	}
	return breaks
}

func (r *rig) noteTaken(w *worker, e endRow) {
	r.mu.Lock()
	if run := r.runOf(w, e.task, e.attempt); run != nil && !e.lapsed {
		run.taken = time.Now()
	}
	r.mu.Unlock()
	r.note("end-taken", "worker", w.id, "task", e.task, "attempt", e.attempt, "how", e.how, "lapsed", e.lapsed)
}

// configure writes a version of the operator's configuration.
func (r *rig) configure(version int, maxAttempts int) {
	data, err := json.Marshal(map[string]any{
		"version": version,
		"routes":  []map[string]any{route("renders", queuePrefix, "render", maxAttempts), route("labels", labelPrefix, "label", maxAttempts)},
		"services": []map[string]any{
			{"name": "render", "max_connections": 64, "rejects_overload": false, "standby": false},
			{"name": "label", "max_connections": 64, "rejects_overload": false, "standby": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144},
		"tenants": []map[string]any{{"name": "buyers", "api_keys": []string{teamKey}, "weight": 10, "upper_bound": map[string]int{"cpu": 0, "mem_mb": 0, "gpu": 0}}},
	})
	must(err)
	r.store.Put("op/config", data)
}

func route(name, prefix, service string, maxAttempts int) map[string]any {
	return map[string]any{
		"name": name, "host": queueHost, "prefix": prefix, "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 600,
		"priority": 0, "service": service, "max_attempts": maxAttempts, "stretch": 2, "public": false,
	}
}

// freePort returns a free port below those that the system gives to outgoing connections, so that none of these takes it before the
// host listens on it.
func freePort() int {
	for range 1000 {
		port := 12000 + rand.IntN(18000)
		if listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			must(listener.Close())
			return port
		}
	}
	must(errors.New("no free port"))
	return 0
}

// addHost starts an entry host with settings like those of DEPLOY.md.
func (r *rig) addHost(i int) *host {
	proxy, err := fleet.NewProxy(r.storeAddress)
	must(err)
	internal := freePort()
	h := &host{
		name: fmt.Sprintf("edge-%d", i+1), zone: zones[i%len(zones)], clients: fmt.Sprintf("127.0.0.1:%d", freePort()),
		readiness: fmt.Sprintf("127.0.0.1:%d", freePort()), storeProxy: proxy,
	}
	h.settings, h.log = filepath.Join(r.directory, h.name+".toml"), filepath.Join(r.directory, h.name+".log")
	text := fmt.Sprintf(`node_name = %q
role = "entry"
machine_class = "edge"
serves = ["edge","control"]
ip = "127.0.0.1"
zone = %q
region = "my-north"
internal_ports = [%d,%d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","places","platform","advice","upkeep","sharing"]
orders = "invocation"
[zones]
prai = "my-north"
bayan-lepas = "my-north"
kulim = "my-north"
[listen]
frontend = %q
readiness = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
max_stretch_ms = 5000
evacuate_ms = 5000
hold_max_ms = 10000
stop_timeout_ms = 200
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote_factor = 3
checkpoint_s = 0.5
restore_ms = 100
notice_ms = 4500
migrate_s = 1.5
maintenance_s = 2
fencing_enforced = true
lease_ms = 3000
pace_ms = 100
impact_ms = 4000
[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, h.name, h.zone, internal, internal, h.clients, h.readiness, proxy.Address())
	must(os.WriteFile(h.settings, []byte(text), 0o600))
	r.hosts = append(r.hosts, h)
	r.startHost(h)
	return h
}

func (r *rig) startHost(h *host) {
	logFile, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	h.process = exec.Command("target/citrongauge", "entry")
	h.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CITRONGAUGE_NODE_FILE=" + h.settings}
	h.process.Stdout, h.process.Stderr = logFile, logFile
	must(h.process.Start())
	logFile.Close()
	r.note("host-start", "host", h.name, "pid", h.process.Process.Pid)
}

func (r *rig) signal(h *host, s syscall.Signal) {
	r.note("host-signal", "host", h.name, "signal", s)
	_ = h.process.Process.Signal(s)
	if s == syscall.SIGKILL {
		_ = h.process.Wait()
	}
}

func (r *rig) waitReady() {
	deadline := time.Now().Add(15 * time.Second)
	for _, h := range r.hosts {
		for {
			response, err := r.client.Get("http://" + h.readiness + "/-/readyz")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				r.stop()
				must(fmt.Errorf("%s is not ready", h.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	r.note("ready")
}

// stop ends all processes that the rig started.
func (r *rig) stop() {
	for _, h := range r.hosts {
		_ = h.process.Process.Signal(syscall.SIGCONT)
		_ = h.process.Process.Kill()
		_ = h.process.Wait()
	}
	if to := os.Getenv("KEEP_LOGS"); to != "" {
		_ = os.RemoveAll(to)
		_ = os.Rename(r.directory, to)
	}
	_ = os.RemoveAll(r.directory)
}

// call sends a client's call and returns the status (0: no answer) and the body.
func (r *rig) call(h *host, method, path, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+h.clients+path, bytes.NewReader([]byte(body)))
	must(err)
	request.Host = queueHost
	request.Header.Set("Authorization", "Token "+teamKey)
	request.Header.Set("X-Deadline-Ms", "3000")
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := r.client.Do(request)
	if err != nil {
		r.note("call", "host", h.name, "method", method, "path", path, "error", err)
		return 0, ""
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	answer := strings.TrimSpace(string(text))
	r.note("call", "host", h.name, "method", method, "path", path, "sent", body, "status", response.StatusCode, "answer", answer)
	return response.StatusCode, answer
}

func (r *rig) phase(h *host, path string) string {
	status, text := r.call(h, http.MethodGet, path, "")
	if status != http.StatusOK {
		return fmt.Sprint("status ", status)
	}
	var body struct {
		Phase string `json:"phase"`
	}
	if json.Unmarshal([]byte(text), &body) != nil {
		return "unreadable"
	}
	return body.Phase
}

// submit hands a job in until it is accepted, as a client does.
func (r *rig) submit(path, spec string, steps string) {
	body := fmt.Sprintf(`{"spec":%q,"steps":%s}`, spec, steps)
	for n := range 10 {
		if status, _ := r.call(r.hosts[n%len(r.hosts)], http.MethodPost, path, body); status/100 == 2 {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	r.stop()
	must(fmt.Errorf("job %s was not accepted", path))
}

// verdict ends the case: 1 if a rule was broken, 0 if not.
func (r *rig) verdict(broken string) {
	r.stop()
	if broken != "" {
		r.note("BROKEN", "rule", broken)
		fmt.Println("broken:", broken)
		os.Exit(1)
	}
	r.note("HELD")
	fmt.Println("held")
	os.Exit(0)
}

// owner returns the host whose log says last that it owns the fleet.
func (r *rig) owner() *host {
	var owner *host
	newest := ""
	for _, h := range r.hosts {
		text, err := os.ReadFile(h.log)
		must(err)
		for _, line := range strings.Split(string(text), "\n") {
			if strings.Contains(line, `"msg":"state loaded"`) {
				if at := line[:min(len(line), 40)]; at > newest {
					owner, newest = h, at
				}
			}
		}
	}
	return owner
}
