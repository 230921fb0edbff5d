package main

import (
	"bytes"
	"encoding/json"
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
)

// fleet is a small deployment on loopback: a store, a list of machines, workers of one service, and entry hosts as processes of the
// project's own program.
type fleet struct {
	dir     string
	begin   time.Time
	record  *os.File
	mu      sync.Mutex
	store   *store
	address string // of the store
	cloud   string
	workers []*worker
	hosts   []*host
	jobs    []*job
	next    int
	client  *http.Client
}

type host struct {
	name, zone, front, ready string
	path                     string
	out                      *os.File
	command                  *exec.Cmd
	exited                   chan struct{}
}

// job is a job as its client sees it.
type job struct {
	id        string
	sent      time.Time
	accepted  time.Time // zero: not accepted
	rejected  bool      // all attempts were rejected
	cancelled time.Time
	tasks     int
	cpu       int
	spec      string
	lasts     bool
	hopeless  bool // it can never be done
}

const (
	service  = "pricing"
	hostName = "jobs.example"
	prefix   = "/prices/"
	key      = "key-1"
	finish   = 14 * time.Second // finish_s
)

var zones = []string{"prai", "bayan-lepas", "kulim"}

// log writes a line to the record.
func (f *fleet) log(what string, fields ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f %s", time.Since(f.begin).Seconds(), what)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(f.record, " %v=%v", fields[i], fields[i+1])
	}
	fmt.Fprintln(f.record)
}

func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go http.Serve(listener, handler)
	return listener.Addr().String(), nil
}

// newFleet starts the stand-ins of the platform.
func newFleet(dir, record string) (*fleet, error) {
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, begin: time.Now(), record: out, store: newStore()}
	f.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	if f.address, err = serve(f.store); err != nil {
		return nil, err
	}
	if f.cloud, err = serve(http.HandlerFunc(f.machines)); err != nil {
		return nil, err
	}
	f.store.set("op/config", map[string]any{
		"version": 4,
		"routes": []map[string]any{{
			"name": "q-1", "host": hostName, "prefix": prefix, "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 600,
			"priority": 0, "service": service, "max_attempts": 4, "stretch": 1.6, "public": false,
		}},
		"services": []map[string]any{{"name": service, "max_connections": 64, "rejects_overload": false, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144},
		"tenants": []map[string]any{{
			"name": "tenant-1", "api_keys": []string{key}, "weight": 1, "upper_bound": map[string]int{"cpu": 0},
		}},
	})
	return f, nil
}

// machines lists the machines; there is one service, so that none of them moves.
func (f *fleet) machines(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/-/machines" {
		respond(w, http.StatusBadRequest, nil)
		return
	}
	rows := []map[string]any{}
	for _, u := range f.workers {
		u.mu.Lock()
		row := map[string]any{
			"machine": u.machine, "pool": u.service, "phase": "up", "zone": u.zone, "labels": []string{u.kind, u.rack},
			"capacity": map[string]int64{"cpu": u.cpu, "mem_mb": u.mem, "gpu": 0}, "id": u.id,
		}
		if !u.up {
			row["phase"], row["id"] = "down", ""
		}
		u.mu.Unlock()
		rows = append(rows, row)
	}
	respond(w, http.StatusOK, map[string]any{"machines": rows, "next_token": ""})
}

// addWorker adds a worker, and starts it unless late is set.
func (f *fleet) addWorker(id, kind string, late bool) (*worker, error) {
	n := len(f.workers)
	u := &worker{
		id: id, service: service, kind: kind, zone: zones[n%len(zones)], rack: fmt.Sprintf("r%d", n/4+1), machine: fmt.Sprintf("m-%02d", n+1),
		cpu: 16000, mem: 65536, store: f.store, log: f.log, listen: "127.0.0.1:0", retry: heartbeat,
	}
	front, err := newProxy(func() string { return u.listen })
	if err != nil {
		return nil, err
	}
	u.proxy, u.address = front, front.address
	f.workers = append(f.workers, u)
	if late {
		return u, nil
	}
	return u, u.start()
}

// start starts the process of the host with the command of the deploy file.
func (h *host) start() error {
	h.command = exec.Command("target/citrongauge", "entry")
	h.command.Env = append(os.Environ(), "CITRONGAUGE_NODE_FILE="+h.path)
	h.command.Stdout, h.command.Stderr = h.out, h.out
	exited := make(chan struct{})
	h.exited = exited
	if err := h.command.Start(); err != nil {
		return err
	}
	command := h.command
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// freePorts returns ports that were free at the same time, from below those that the system gives to outgoing connections.
func freePorts(n int) ([]int, error) {
	var ports []int
	for tries := 0; len(ports) < n; tries++ {
		port := 15000 + rand.IntN(15000)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			if tries > 1000 {
				return nil, err
			}
			continue
		}
		defer listener.Close()
		ports = append(ports, port)
	}
	return ports, nil
}

// startHosts starts entry hosts with the command of the deploy file and waits until they are ready.
func (f *fleet) startHosts(n int) error {
	for i := range n {
		h := &host{name: fmt.Sprintf("edge-%s-1", zones[i]), zone: zones[i]}
		f.hosts = append(f.hosts, h)
		if err := f.startHost(h); err != nil {
			return err
		}
	}
	f.log("entry hosts are ready")
	return nil
}

// startHost starts a host and waits until it is ready. It takes other ports if the host ends at once, since a port that was free may
// be taken by then.
func (f *fleet) startHost(h *host) error {
	for range 8 {
		ports, err := freePorts(3)
		if err != nil {
			return err
		}
		h.front, h.ready = fmt.Sprintf("127.0.0.1:%d", ports[0]), fmt.Sprintf("127.0.0.1:%d", ports[1])
		h.path = filepath.Join(f.dir, h.name+".toml")
		if err := os.WriteFile(h.path, []byte(settings(f, h, ports[2])), 0o644); err != nil {
			return err
		}
		if h.out, err = os.Create(filepath.Join(f.dir, h.name+".log")); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
		for until := time.Now().Add(10 * time.Second); !h.hasExited() && time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
			if h.isReady() {
				return nil
			}
		}
		if !h.hasExited() {
			break
		}
	}
	return fmt.Errorf("%s is not ready", h.name)
}

func (h *host) hasExited() bool {
	select {
	case <-h.exited:
		return true
	default:
		return false
	}
}

func (h *host) isReady() bool {
	response, err := http.Get("http://" + h.ready + "/-/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func settings(f *fleet, h *host, internal int) string {
	return fmt.Sprintf(`node_name = %q
role = "entry"
machine_class = "edge"
serves = ["edge", "control"]
ip = "127.0.0.1"
zone = %q
region = "my-north"
internal_ports = [%d, %d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "tenants", "quota", "places", "platform", "upkeep", "sharing"]
orders = "invocation"
recommendation = ""
[listen]
frontend = %q
readiness = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
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
[cloud]
address = %q
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
`, h.name, h.zone, internal, internal, h.front, h.ready, f.address, f.cloud)
}

// close ends all processes that the fleet has started.
func (f *fleet) close() {
	for _, h := range f.hosts {
		if h.command == nil || h.command.Process == nil {
			continue
		}
		_ = h.command.Process.Signal(syscall.SIGTERM)
	}
	for _, h := range f.hosts {
		if h.exited == nil || h.command.Process == nil {
			continue
		}
		select {
		case <-h.exited:
		case <-time.After(8 * time.Second):
			_ = h.command.Process.Kill()
			<-h.exited
		}
	}
	f.record.Close()
}

func (f *fleet) call(method string, h *host, path string, body []byte) (int, string) {
	request, _ := http.NewRequest(method, "http://"+h.front+path, bytes.NewReader(body))
	request.Host = hostName
	request.Header.Set("Authorization", "Token "+key)
	request.Header.Set("X-Deadline-Ms", "3000")
	request.Header.Set("Content-Type", "application/json")
	client := *f.client
	client.Timeout = 3 * time.Second
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(data)
}

// submit hands a job with one step in, at most five times.
func (f *fleet) submit(tasks, cpu int, spec, label string) *job {
	work, _ := workOf(spec)
	j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), sent: time.Now(), tasks: tasks, cpu: cpu, spec: spec, lasts: strings.HasPrefix(spec, "last"), hopeless: strings.Contains(spec, "fail=")}
	step := map[string]any{"count": tasks, "cpu": cpu, "mem_mb": 512, "estimate_ms": work.Milliseconds()}
	if label != "" {
		step["requirements"] = label
	}
	if j.lasts {
		step["estimate_ms"], step["long_running"] = 700, true
	}
	body, _ := json.Marshal(map[string]any{"spec": spec, "steps": []any{step}})
	f.mu.Lock()
	f.jobs = append(f.jobs, j)
	first := f.next
	f.next++
	f.mu.Unlock()
	j.rejected = true
	for try := range 5 {
		h := f.hosts[(first+try)%len(f.hosts)]
		status, text := f.call("POST", h, prefix+j.id, body)
		f.log("job is handed in", "job", j.id, "spec", spec, "tasks", tasks, "cpu", cpu, "host", h.name, "status", status)
		if status/100 == 2 {
			j.accepted, j.rejected = time.Now(), false
			return j
		}
		if status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable {
			j.rejected = false
			_ = text
		}
		time.Sleep(300 * time.Millisecond)
	}
	return j
}

func (f *fleet) cancel(j *job) {
	for try := range 5 {
		status, _ := f.call("DELETE", f.hosts[try%len(f.hosts)], prefix+j.id, nil)
		f.log("job is cancelled", "job", j.id, "status", status)
		if status/100 == 2 || status == http.StatusGone {
			j.cancelled = time.Now()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// phase asks for a job's state until a host answers; "410": there is no such job.
func (f *fleet) phase(j *job) string {
	for try := range 6 {
		status, text := f.call("GET", f.hosts[try%len(f.hosts)], prefix+j.id, nil)
		if status == http.StatusGone {
			return "410"
		}
		var body struct {
			Phase string `json:"phase"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(text), &body) == nil {
			return body.Phase
		}
		time.Sleep(100 * time.Millisecond)
	}
	return "no answer"
}

// traffic hands jobs in at even times until the given time, in the background.
func (f *fleet) traffic(until time.Time, every time.Duration, tasks, cpu int, spec string) *sync.WaitGroup {
	return f.trafficFor(until, every, tasks, cpu, spec, "")
}

// trafficFor is traffic whose tasks require a label.
func (f *fleet) trafficFor(until time.Time, every time.Duration, tasks, cpu int, spec, label string) *sync.WaitGroup {
	var all sync.WaitGroup
	all.Add(1)
	go func() {
		defer all.Done()
		for time.Now().Before(until) {
			all.Add(1)
			go func() {
				defer all.Done()
				f.submit(tasks, cpu, spec, label)
			}()
			time.Sleep(every)
		}
	}()
	return &all
}

// workerOf returns the worker on which a job's first task runs.
func (f *fleet) workerOf(j *job) (*worker, error) {
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		for _, u := range f.workers {
			for _, r := range u.runs() {
				if r.task == j.id+".0.0.0" && r.end.IsZero() {
					return u, nil
				}
			}
		}
	}
	return nil, fmt.Errorf("job %s does not run", j.id)
}

func (f *fleet) allRuns() map[string][]run {
	all := map[string][]run{}
	for _, u := range f.workers {
		for _, r := range u.runs() {
			all[r.task] = append(all[r.task], r)
		}
	}
	return all
}
