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
	"citrongauge.example/citrongauge/testbed/ports"
)

const teamKey = "team-key"

// testHost is an entry host that runs in the test process against a fleet.
type testHost struct {
	t       *testing.T
	fleet   *fleet.Fleet
	address string
	// internalAddress serves metrics and the operators' API.
	internalAddress string
	stop            func()
}

func startFleet(t *testing.T) *fleet.Fleet {
	f, err := fleet.New(fleet.Options{Zones: 1, UpstreamsPerZone: 2, TaskDuration: 50 * time.Millisecond, TeamKey: teamKey})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func startFleetWithHost(t *testing.T) *testHost {
	f := startFleet(t)
	h := addHost(t, f, "edge-1", func(*platform.Settings) {})
	stopHost := h.stop
	h.stop = func() {
		stopHost()
		f.Close()
	}
	return h
}

// addHost starts an entry host with the settings that modify has changed, and waits until it serves requests.
func addHost(t *testing.T, f *fleet.Fleet, name string, modify func(*platform.Settings)) *testHost {
	h := launchHost(t, f, name, modify)
	h.waitServing()
	return h
}

// launchHost starts an entry host without waiting for it to serve requests.
func launchHost(t *testing.T, f *fleet.Fleet, name string, modify func(*platform.Settings)) *testHost {
	clientPort, readinessPort, internalPort := freePort(t), freePort(t), freePort(t)
	text := f.Settings(name, fleet.ZoneName(0), address(clientPort), address(readinessPort), internalPort)
	settings, err := platform.ParseSettings(text)
	if err != nil {
		t.Fatal(err)
	}
	settings.Bounds.Grace = time.Second
	modify(&settings)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	host := entry.New(settings, io.Discard)
	go func() { ended <- host.Run(ctx) }()
	h := &testHost{t: t, fleet: f, address: address(clientPort), internalAddress: address(internalPort)}
	h.stop = func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
	return h
}

func (h *testHost) waitServing() {
	h.t.Helper()
	for range 200 {
		if status, _ := h.call(http.MethodGet, "", "", teamKey); status == http.StatusOK {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	h.t.Fatal("entry host does not serve requests")
}

func freePort(t *testing.T) int {
	port, err := ports.Free()
	if err != nil {
		t.Fatal(err)
	}
	return port
}

func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

func (h *testHost) call(method, path, body, key string) (int, string) {
	request, err := http.NewRequest(method, "http://"+h.address+fleet.QueuePrefix+path, bytes.NewBufferString(body))
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

const oneTaskJob = `{"spec":"s","steps":[{"count":1,"cpu":500,"mem_mb":10,"estimate_ms":50}]}`

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

func (h *testHost) waitPhase(id, phase string) {
	h.t.Helper()
	last := ""
	for range 250 {
		_, last = h.call(http.MethodGet, id, "", teamKey)
		if strings.Contains(last, phase) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	h.t.Fatalf("job %s: last response %s does not contain phase %s", id, last, phase)
}

// TestJobIsServed guards against a break anywhere on the path of a job: submit, run, finish, query, and submit again
// under the same ID.
func TestJobIsServed(t *testing.T) {
	is := is.New(t)
	h := startFleetWithHost(t)
	defer h.stop()
	status, _ := h.call(http.MethodPost, jobID(1), oneTaskJob, teamKey)
	is.Equal(status, http.StatusOK)
	h.waitPhase(jobID(1), "succeeded")
	status, _ = h.call(http.MethodPost, jobID(1), oneTaskJob, teamKey)
	is.Equal(status, http.StatusOK) // submitting the same ID again creates no second job
	h.waitPhase(jobID(1), "succeeded")
	is.Equal(len(h.fleet.Violations(map[string]string{jobID(1): "s"})), 0)
}

// TestCancelledJobStops guards against a cancelled job that keeps running, and against a 2xx status for an unknown job.
func TestCancelledJobStops(t *testing.T) {
	is := is.New(t)
	h := startFleetWithHost(t)
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
	status, body := h.call(http.MethodPost, jobID(2), endless, teamKey) // a copy that was under way when it was cancelled
	is.Equal(status, http.StatusGone)
	is.True(strings.Contains(body, "2311"))
	status, _ = h.call(http.MethodGet, jobID(2), "", teamKey)
	is.Equal(status, http.StatusGone)
}

// TestRejectionStatusCodes guards against 401 or 404 from a host that cannot read the newest configuration, and against
// 429 or 503 when the job may have been stored.
func TestRejectionStatusCodes(t *testing.T) {
	is := is.New(t)
	h := startFleetWithHost(t)
	defer h.stop()
	status, _ := h.call(http.MethodPost, jobID(1), oneTaskJob, "no-key")
	is.Equal(status, http.StatusUnauthorized)
	h.fleet.Store.SetFaults(fleet.StoreFaults{Unavailable: true})
	status, _ = h.call(http.MethodPost, jobID(1), oneTaskJob, "no-key")
	is.Equal(status, http.StatusServiceUnavailable)
	status, _ = h.call(http.MethodPost, jobID(1), oneTaskJob, teamKey)
	is.Equal(status, http.StatusServiceUnavailable) // the store rejected the write, so the job certainly does not exist
	h.fleet.Store.SetFaults(fleet.StoreFaults{})
	status, _ = h.call(http.MethodGet, jobID(1), "", teamKey)
	is.Equal(status, http.StatusGone)
	h.fleet.Store.SetFaults(fleet.StoreFaults{DropNthResponse: 1})
	status, _ = h.call(http.MethodPost, jobID(2), oneTaskJob, teamKey)
	is.True(status == http.StatusOK || status == http.StatusGatewayTimeout) // stored, but the store's response was lost
	h.fleet.Store.SetFaults(fleet.StoreFaults{})
	h.waitPhase(jobID(2), "succeeded")
}

// TestWaitForConfigurationIsBounded guards against a request that waits long for the newest configuration: it is
// answered under that configuration after later requests were answered under the older one, so that the host appears to
// revert to an older configuration.
func TestWaitForConfigurationIsBounded(t *testing.T) {
	is := is.New(t)
	h := startFleetWithHost(t)
	defer h.stop()
	h.fleet.Store.SetFaults(fleet.StoreFaults{Latency: 600 * time.Millisecond})
	begin := time.Now()
	status, _ := h.call(http.MethodGet, "", "", "no-key")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(time.Since(begin) < 300*time.Millisecond)
}

// TestInvalidJobsAreRejected guards against invalid jobs that are accepted or crash the process.
func TestInvalidJobsAreRejected(t *testing.T) {
	h := startFleetWithHost(t)
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
		status, response := h.call(http.MethodPost, jobID(n), body, teamKey)
		var content struct{ Code int }
		if err := json.Unmarshal([]byte(response), &content); err != nil || status != http.StatusBadRequest || content.Code != 5305 {
			t.Errorf("%s: status %d, response %s", name, status, response)
		}
	}
	if status, _ := h.call(http.MethodPost, "no-id", oneTaskJob, teamKey); status != http.StatusBadRequest {
		t.Errorf("invalid job ID: status %d", status)
	}
}

// TestUnresponsiveUpstreamAndCompactedHistory guards against tasks that stay assigned to an unresponsive upstream, and
// against a host that stops following the store when the store has compacted its event history.
func TestUnresponsiveUpstreamAndCompactedHistory(t *testing.T) {
	is := is.New(t)
	h := startFleetWithHost(t)
	defer h.stop()
	h.fleet.Upstreams[0].SetFaults(fleet.UpstreamFaults{Unresponsive: true})
	h.fleet.Store.Compact()
	specs := map[string]string{}
	for i := range 5 {
		specs[jobID(i+1)] = "s"
		status, _ := h.call(http.MethodPost, jobID(i+1), oneTaskJob, teamKey)
		is.Equal(status, http.StatusOK)
	}
	for i := range 5 {
		h.waitSucceeded(jobID(i + 1))
	}
	is.Equal(len(h.fleet.Violations(specs)), 0)
}

// waitSucceeded waits until a job has succeeded. Its limit is longer than the lease of an upstream, which has to expire
// before the tasks of an unresponsive upstream are started elsewhere.
func (h *testHost) waitSucceeded(id string) {
	h.t.Helper()
	for range 3 {
		for range 150 {
			if _, body := h.call(http.MethodGet, id, "", teamKey); strings.Contains(body, "succeeded") {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	h.t.Fatalf("job %s has not succeeded", id)
}

// TestCancellationWithoutJobLeavesTheStore guards against cancellations of jobs that the store never had and that stay there
// for ever: one that the owner finds when it reads the state, of an earlier version, and one that its watch delivers.
func TestCancellationWithoutJobLeavesTheStore(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	defer f.Close()
	found, watched := "cg/job/"+jobID(1)+"/cancel", "cg/job/"+jobID(2)+"/cancel"
	f.Store.Put(found, []byte{1})
	h := addHost(t, f, "edge-1", func(s *platform.Settings) { s.Bounds.Retention = 500 * time.Millisecond })
	defer h.stop()
	status, _ := h.call(http.MethodDelete, jobID(2), "", teamKey)
	is.Equal(status, http.StatusGone)
	is.True(f.Store.Value(watched) != nil)
	for range 250 {
		if f.Store.Value(found) == nil && f.Store.Value(watched) == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("still stored 5 s later")
}
