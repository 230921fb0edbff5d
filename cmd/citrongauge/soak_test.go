package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	platformfleet "citrongauge.example/citrongauge/testbed/fleet"
)

const (
	soakHosts    = 3
	soakLoad     = 6 * time.Second
	soakFinish   = 40 * time.Second
	soakKey      = "soak-key"
	submitEvery  = 120 * time.Millisecond
	patience     = 2 * time.Second
	defaultSeeds = 2
)

// TestSoak runs the daemon as separate processes against the stand-ins of the platform, while processes are killed,
// stopped and continued by signals, the store is down, slow, loses answers and forgets its history, upstreams go dark,
// lose answers and fail, and connections to both are delayed, reset, held back one way or both. Faults overlap. It checks that what was accepted is done, once, and was asked for. SOAK_SEEDS sets the
// number of seeds, SOAK_FROM the first one.
func TestSoak(t *testing.T) {
	for seed := range environment("SOAK_SEEDS", defaultSeeds) {
		seed += environment("SOAK_FROM", 1)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { soak(t, uint64(seed)) })
	}
}

func environment(name string, fallback int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return fallback
	}
	return n
}

// soakPorts holds the ports that were returned; the daemons listen on them only later.
var soakPorts sync.Map

type soakRun struct {
	t      *testing.T
	random *rand.Rand
	fleet  *platformfleet.Fleet
	hosts  []*soakHost
	client *http.Client

	mu       sync.Mutex
	specs    map[string]string // of all submitted jobs
	accepted map[string]bool
	refused  map[string]bool // by every try
}

type soakHost struct {
	address  string
	settings string
	logs     string
	process  *exec.Cmd
	store    *platformfleet.Link // to the store
}

func soak(t *testing.T, seed uint64) {
	f, err := platformfleet.New(platformfleet.Options{Zones: 3, UpstreamsPerZone: 2, Duration: 250 * time.Millisecond, Key: soakKey, Linked: true})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	s := &soakRun{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), fleet: f, client: &http.Client{Timeout: patience},
		specs: map[string]string{}, accepted: map[string]bool{}, refused: map[string]bool{},
	}
	directory := t.TempDir()
	for i := range soakHosts {
		s.hosts = append(s.hosts, s.newHost(directory, i))
	}
	defer s.stop()
	defer func() {
		if t.Failed() {
			s.keepLogs(seed)
		}
	}()
	s.waitReady()
	load := make(chan struct{})
	go s.load(load)
	s.faults(load)
	s.heal()
	s.check()
}

// soakAddress returns an address on loopback that was free a moment ago, with a port below those that the kernel gives
// to outgoing connections: a client of this or another test may have taken one of these until the daemon listens. No
// port is returned twice.
func soakAddress(t *testing.T) string {
	for range 100 {
		port := 10_000 + rand.IntN(20_000)
		if _, taken := soakPorts.LoadOrStore(port, true); taken {
			continue
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err == nil {
			_ = listener.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

func (s *soakRun) newHost(directory string, i int) *soakHost {
	internal := soakAddress(s.t)
	port, err := strconv.Atoi(internal[strings.LastIndex(internal, ":")+1:])
	if err != nil {
		s.t.Fatal(err)
	}
	h := &soakHost{
		address: soakAddress(s.t), settings: filepath.Join(directory, fmt.Sprintf("host%d.toml", i)),
		logs: filepath.Join(directory, fmt.Sprintf("host%d.log", i)),
	}
	name := fmt.Sprintf("edge-%d", i+1)
	link, err := platformfleet.NewLink(s.fleet.StoreAddress())
	if err != nil {
		s.t.Fatal(err)
	}
	h.store = link
	content := s.fleet.Settings(name, platformfleet.ZoneName(i), h.address, soakAddress(s.t), port)
	content = strings.Replace(content, s.fleet.StoreAddress(), link.Address(), 1)
	if err := os.WriteFile(h.settings, []byte(content), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.start(h)
	return h
}

func (s *soakRun) start(h *soakHost) {
	logs, err := os.OpenFile(h.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = logs.Close() }() // the process has its own descriptor
	h.process = exec.Command(daemonBinary, "entry", "--settings", h.settings)
	h.process.Stdout, h.process.Stderr = logs, logs
	if err := h.process.Start(); err != nil {
		s.t.Fatal(err)
	}
}

func (s *soakRun) stop() {
	for _, h := range s.hosts {
		_ = h.process.Process.Signal(syscall.SIGCONT)
		_ = h.process.Process.Kill()
		_ = h.process.Wait()
		h.store.Close()
	}
}

func (s *soakRun) waitReady() {
	deadline := time.Now().Add(10 * time.Second)
	for _, h := range s.hosts {
		for s.call(h, http.MethodGet, "", "") != http.StatusOK {
			if time.Now().After(deadline) {
				s.t.Fatal("not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// call returns the status of the answer, or 0 for none.
func (s *soakRun) call(h *soakHost, method, id, body string) int {
	status, _ := s.callBody(h, method, id, body)
	return status
}

func (s *soakRun) callBody(h *soakHost, method, id, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+h.address+platformfleet.Prefix+id, bytes.NewBufferString(body))
	if err != nil {
		s.t.Error(err)
		return 0, ""
	}
	request.Host = platformfleet.QueueHost
	request.Header.Set("Authorization", "Token "+soakKey)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	response, err := s.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(data)
}

// load submits jobs and repeats what got no certain answer at other hosts.
func (s *soakRun) load(done chan struct{}) {
	defer close(done)
	var clients sync.WaitGroup
	end := time.Now().Add(soakLoad)
	for number := 1; time.Now().Before(end); number++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			s.submit(number)
		}()
		time.Sleep(submitEvery)
	}
	clients.Wait()
}

func (s *soakRun) submit(number int) {
	id := fmt.Sprintf("%016x", number)
	spec := fmt.Sprintf("job %d", number)
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":3,"cpu":1000,"mem_mb":100,"estimate_ms":250},`+
		`{"count":2,"cpu":1500,"mem_mb":100,"estimate_ms":250,"after":[0]}]}`, spec)
	s.mu.Lock()
	s.specs[id] = spec
	s.mu.Unlock()
	certain := true
	for try := range 12 {
		h := s.hosts[(number+try)%len(s.hosts)]
		switch status := s.call(h, http.MethodPost, id, body); status {
		case http.StatusOK:
			s.mu.Lock()
			s.accepted[id] = true
			s.mu.Unlock()
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			certain = false
		}
		time.Sleep(300 * time.Millisecond)
	}
	s.mu.Lock()
	s.refused[id] = certain
	s.mu.Unlock()
}

// faults injects random faults until the load is over.
func (s *soakRun) faults(load chan struct{}) {
	for {
		select {
		case <-load:
			return
		case <-time.After(time.Duration(200+s.random.IntN(700)) * time.Millisecond):
			s.fault()
		}
	}
}

func (s *soakRun) fault() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	n := s.random.IntN(len(s.fleet.Upstreams))
	u := s.fleet.Upstreams[n]
	span := time.Duration(200+s.random.IntN(2500)) * time.Millisecond
	kind := s.random.IntN(13)
	s.t.Logf("fault %d for %v on %s or %s", kind, span, filepath.Base(h.settings), u.ID)
	switch kind {
	case 0:
		_ = h.process.Process.Kill()
		_ = h.process.Wait()
		s.start(h)
	case 1:
		_ = h.process.Process.Signal(syscall.SIGSTOP)
		time.Sleep(span)
		_ = h.process.Process.Signal(syscall.SIGCONT)
	case 2:
		_ = h.process.Process.Signal(syscall.SIGTERM)
		_ = h.process.Wait()
		s.start(h)
	case 3:
		s.fleet.Store.SetFaults(platformfleet.StoreFaults{Down: true})
		time.Sleep(span)
		s.fleet.Store.SetFaults(platformfleet.StoreFaults{})
	case 4:
		s.fleet.Store.SetFaults(platformfleet.StoreFaults{LoseNth: 2 + s.random.IntN(4)})
	case 5:
		s.fleet.Store.SetFaults(platformfleet.StoreFaults{Slowness: 150 * time.Millisecond})
	case 6:
		s.fleet.Store.Compact()
	case 7:
		u.SetFaults(platformfleet.UpstreamFaults{Dark: true})
	case 8:
		u.SetFaults(platformfleet.UpstreamFaults{LoseNth: 2, FailAll: s.random.IntN(2) == 0})
	case 9, 10:
		disturb(h.store, s.linkFault(), span)
	case 11, 12:
		disturb(s.fleet.Links[n], s.linkFault(), span)
	}
}

// linkFault draws a fault of a connection.
func (s *soakRun) linkFault() platformfleet.LinkFault {
	faults := []platformfleet.LinkFault{
		{Reset: true}, {HoldUp: true}, {HoldDown: true}, {HoldUp: true, HoldDown: true}, {Delay: 250 * time.Millisecond},
	}
	fault := faults[s.random.IntN(len(faults))]
	s.t.Logf("link fault %+v", fault)
	return fault
}

// disturb sets a fault that ends after span, while other faults go on.
func disturb(link *platformfleet.Link, fault platformfleet.LinkFault, span time.Duration) {
	link.SetFault(fault)
	time.AfterFunc(span, func() { link.SetFault(platformfleet.LinkFault{}) })
}

func (s *soakRun) heal() {
	for _, link := range s.fleet.Links {
		link.SetFault(platformfleet.LinkFault{})
	}
	for _, h := range s.hosts {
		h.store.SetFault(platformfleet.LinkFault{})
	}
	s.fleet.Store.SetFaults(platformfleet.StoreFaults{})
	for _, u := range s.fleet.Upstreams {
		u.SetFaults(platformfleet.UpstreamFaults{})
	}
}

// check waits for all accepted jobs to end and judges what the upstreams saw.
func (s *soakRun) check() {
	deadline := time.Now().Add(soakFinish)
	for id := range s.accepted {
		for {
			status, body := s.callBody(s.hosts[0], http.MethodGet, id, "")
			if status == http.StatusOK && (strings.Contains(body, "succeeded") || strings.Contains(body, "failed")) {
				break
			}
			if status == http.StatusGone {
				s.t.Errorf("LOST: accepted job %s is not known", id)
				break
			}
			if time.Now().After(deadline) {
				s.t.Errorf("LOST: job %s has not ended: %d %s", id, status, body)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for _, violation := range s.fleet.Violations(s.specs) {
		s.t.Error(violation)
	}
	started := map[string]bool{}
	for _, u := range s.fleet.Upstreams {
		for _, r := range u.History() {
			id, _, _ := strings.Cut(r.Task, ".")
			started[id] = true
		}
	}
	for id, certain := range s.refused {
		if certain && started[id] {
			s.t.Errorf("REFUSED: job %s ran, though every answer said it did not", id)
		}
	}
	s.t.Logf("%d jobs, %d accepted", len(s.specs), len(s.accepted))
}

// keepLogs copies the daemons' logs to where they outlive the test.
func (s *soakRun) keepLogs(seed uint64) {
	directory, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		s.t.Error(err)
		return
	}
	for _, h := range s.hosts {
		data, err := os.ReadFile(h.logs)
		if err == nil {
			err = os.WriteFile(filepath.Join(directory, filepath.Base(h.logs)), data, 0o600)
		}
		if err != nil {
			s.t.Error(err)
		}
	}
	s.t.Logf("logs kept in %s", directory)
}
