package fleet_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/entry"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/testbed/fleet"
)

const teamKey = "team-key"

// oneHost runs an entry host in this process against a fleet.
type oneHost struct {
	t       *testing.T
	fleet   *fleet.Fleet
	address string
	// internal is the address for metrics and operators.
	internal string
	stop     func()
}

func startFleet(t *testing.T) *fleet.Fleet {
	f, err := fleet.New(fleet.Options{Zones: 1, UpstreamsPerZone: 2, Duration: 50 * time.Millisecond, Key: teamKey})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func startHost(t *testing.T) *oneHost {
	f := startFleet(t)
	h := addHost(t, f, "edge-1", func(*platform.Settings) {})
	stopHost := h.stop
	h.stop = func() {
		stopHost()
		f.Close()
	}
	return h
}

// addHost starts an entry host whose settings are changed by change, and waits until it serves.
func addHost(t *testing.T, f *fleet.Fleet, name string, change func(*platform.Settings)) *oneHost {
	h := launchHost(t, f, name, change)
	h.waitServing()
	return h
}

// launchHost starts an entry host.
func launchHost(t *testing.T, f *fleet.Fleet, name string, change func(*platform.Settings)) *oneHost {
	callers, readiness, internal := freePort(t), freePort(t), freePort(t)
	text := f.Settings(name, fleet.ZoneName(0), address(callers), address(readiness), internal)
	settings, err := platform.ParseSettings(text)
	if err != nil {
		t.Fatal(err)
	}
	settings.Bounds.Grace = time.Second
	change(&settings)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	host := entry.New(settings, io.Discard)
	go func() { ended <- host.Run(ctx) }()
	h := &oneHost{t: t, fleet: f, address: address(callers), internal: address(internal)}
	h.stop = func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
	return h
}

func (h *oneHost) waitServing() {
	h.t.Helper()
	for range 200 {
		if status, _ := h.call(http.MethodGet, "", "", teamKey); status == http.StatusOK {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	h.t.Fatal("not ready")
}

func freePort(t *testing.T) int {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

func (h *oneHost) call(method, path, body, key string) (int, string) {
	request, err := http.NewRequest(method, "http://"+h.address+fleet.Prefix+path, bytes.NewBufferString(body))
	if err != nil {
		h.t.Fatal(err)
	}
	request.Host = fleet.QueueHost
	request.Header.Set("Authorization", "Token "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}

const oneTask = `{"spec":"s","steps":[{"count":1,"cpu":500,"mem_mb":10,"estimate_ms":50}]}`

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

func (h *oneHost) waitPhase(id, phase string) {
	h.t.Helper()
	last := ""
	for range 250 {
		_, last = h.call(http.MethodGet, id, "", teamKey)
		if strings.Contains(last, phase) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	h.t.Fatalf("job %s: %s, not %s", id, last, phase)
}

// Guards against the whole path not serving: submit, run, finish, show, repeat.
func TestJobIsServed(t *testing.T) {
	is := is.New(t)
	h := startHost(t)
	defer h.stop()
	status, _ := h.call(http.MethodPost, jobID(1), oneTask, teamKey)
	is.Equal(status, http.StatusOK)
	h.waitPhase(jobID(1), "succeeded")
	status, _ = h.call(http.MethodPost, jobID(1), oneTask, teamKey)
	is.Equal(status, http.StatusOK) // a repeat stays the one job
	h.waitPhase(jobID(1), "succeeded")
	is.Equal(len(h.fleet.Violations(map[string]string{jobID(1): "s"})), 0)
}

// Guards against a cancelled job that goes on, and against a 2xx for a job that is not known.
func TestCancelledJobStops(t *testing.T) {
	is := is.New(t)
	h := startHost(t)
	defer h.stop()
	endless := `{"spec":"s","steps":[{"count":2,"cpu":500,"mem_mb":10,"long_running":true}]}`
	status, _ := h.call(http.MethodPost, jobID(1), endless, teamKey)
	is.Equal(status, http.StatusOK)
	h.waitPhase(jobID(1), "active")
	status, _ = h.call(http.MethodDelete, jobID(1), "", teamKey)
	is.Equal(status, http.StatusOK)
	h.waitPhase(jobID(1), "cancelled")
	status, _ = h.call(http.MethodDelete, jobID(2), "", teamKey)
	is.Equal(status, http.StatusGone)
}

// Guards against 401 and 404 from a host that cannot know the newest configuration, and against 429 or 503 where the
// job may exist.
func TestRefusalsAreTrue(t *testing.T) {
	is := is.New(t)
	h := startHost(t)
	defer h.stop()
	status, _ := h.call(http.MethodPost, jobID(1), oneTask, "no-key")
	is.Equal(status, http.StatusUnauthorized)
	h.fleet.Store.SetFaults(fleet.StoreFaults{Down: true})
	status, _ = h.call(http.MethodPost, jobID(1), oneTask, "no-key")
	is.Equal(status, http.StatusServiceUnavailable)
	status, _ = h.call(http.MethodPost, jobID(1), oneTask, teamKey)
	is.Equal(status, http.StatusServiceUnavailable) // refused by the store: certain
	h.fleet.Store.SetFaults(fleet.StoreFaults{})
	status, _ = h.call(http.MethodGet, jobID(1), "", teamKey)
	is.Equal(status, http.StatusGone)
	h.fleet.Store.SetFaults(fleet.StoreFaults{LoseNth: 1})
	status, _ = h.call(http.MethodPost, jobID(2), oneTask, teamKey)
	is.True(status == http.StatusOK || status == http.StatusGatewayTimeout) // stored, though the answer was lost
	h.fleet.Store.SetFaults(fleet.StoreFaults{})
	h.waitPhase(jobID(2), "succeeded")
}

// Guards against a host that seems to go back to an older configuration: a call that waits long for the newest one is
// answered by it, while calls that came after it were answered by the older one.
func TestConfigurationIsNotAwaitedForLong(t *testing.T) {
	is := is.New(t)
	h := startHost(t)
	defer h.stop()
	h.fleet.Store.SetFaults(fleet.StoreFaults{Slowness: 600 * time.Millisecond})
	begin := time.Now()
	status, _ := h.call(http.MethodGet, "", "", "no-key")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(time.Since(begin) < 300*time.Millisecond)
}

// Guards against bad input that is accepted, or that ends the process.
func TestBadInputIsRefused(t *testing.T) {
	h := startHost(t)
	defer h.stop()
	cases := map[string]string{
		"not JSON":     `{`,
		"no steps":     `{"spec":"s"}`,
		"negative":     `{"spec":"s","steps":[{"count":-1}]}`,
		"huge":         `{"spec":"s","steps":[{"count":100000000}]}`,
		"forward step": `{"spec":"s","steps":[{"count":1,"after":[0]}]}`,
		"long spec":    `{"spec":"` + strings.Repeat("x", 4001) + `","steps":[{"count":1}]}`,
	}
	n := 0
	for name, body := range cases {
		n++
		status, answer := h.call(http.MethodPost, jobID(n), body, teamKey)
		var content struct{ Code int }
		if err := json.Unmarshal([]byte(answer), &content); err != nil || status != http.StatusBadRequest || content.Code != 5305 {
			t.Errorf("%s: %d %s", name, status, answer)
		}
	}
	if status, _ := h.call(http.MethodPost, "no-id", oneTask, teamKey); status != http.StatusBadRequest {
		t.Errorf("bad ID: %d", status)
	}
}

// Guards against tasks that stay on an upstream that went dark, and against a lost history of the store.
func TestDarkUpstreamAndLostHistory(t *testing.T) {
	is := is.New(t)
	h := startHost(t)
	defer h.stop()
	h.fleet.Upstreams[0].SetFaults(fleet.UpstreamFaults{Dark: true})
	h.fleet.Store.Compact()
	specs := map[string]string{}
	for i := range 5 {
		specs[jobID(i+1)] = "s"
		status, _ := h.call(http.MethodPost, jobID(i+1), oneTask, teamKey)
		is.Equal(status, http.StatusOK)
	}
	for i := range 5 {
		h.waitLong(jobID(i + 1))
	}
	is.Equal(len(h.fleet.Violations(specs)), 0)
}

// waitLong waits for longer than the lease of an upstream.
func (h *oneHost) waitLong(id string) {
	h.t.Helper()
	for range 3 {
		for range 150 {
			if _, body := h.call(http.MethodGet, id, "", teamKey); strings.Contains(body, "succeeded") {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	h.t.Fatalf("job %s has not ended", id)
}
