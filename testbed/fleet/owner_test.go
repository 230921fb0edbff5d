package fleet_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
	"citrongauge.example/citrongauge/testbed/fleet"
)

func smallHost(s *platform.Settings) { s.Capacity = platform.HostCapacity{Cores: 0.192, LinkMbps: 10} }
func largeHost(s *platform.Settings) { s.Capacity = platform.HostCapacity{Cores: 0.8, LinkMbps: 200} }

// waitOwner waits until the named host owns the fleet.
func waitOwner(t *testing.T, f *fleet.Fleet, host string, patience time.Duration) {
	t.Helper()
	kv := platform.NewKV(f.StoreAddress(), func(string, error) {})
	owner := ""
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		item, err := kv.Get(t.Context(), ledger.OwnerKey, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		record, err := ledger.DecodeOwner(item)
		if err != nil {
			t.Fatal(err)
		}
		if owner = record.Host; owner == host {
			return
		}
	}
	t.Fatalf("the fleet is owned by %q, not by %s", owner, host)
}

// Guards against a fleet that stays with a host too small for it while a larger one is there: the owner of 350
// upstreams on 0.192 of a core and a link of 10 Mbit/s serves under half of the jobs.
func TestLargeHostTakesOverFromSmallOne(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	defer f.Close()
	small := addHost(t, f, "edge-small", smallHost)
	defer small.stop()
	waitOwner(t, f, "edge-small", 3*time.Second)
	large := addHost(t, f, "edge-large", largeHost)
	defer large.stop()
	waitOwner(t, f, "edge-large", 8*time.Second)
	status, _ := small.call("POST", jobID(1), oneTask, teamKey)
	is.Equal(status, 200)
	small.waitPhase(jobID(1), "succeeded")
	is.Equal(len(f.Violations(map[string]string{jobID(1): "s"})), 0)
}

// Guards against small hosts that win the race for an ownership which has become free.
func TestLargeHostClaimsFirst(t *testing.T) {
	f := startFleet(t)
	defer f.Close()
	first := addHost(t, f, "edge-first", largeHost)
	waitOwner(t, f, "edge-first", 3*time.Second)
	for _, name := range []string{"edge-small-1", "edge-small-2", "edge-small-3"} {
		defer addHost(t, f, name, smallHost).stop()
	}
	second := addHost(t, f, "edge-second", largeHost)
	defer second.stop()
	first.stop()
	waitOwner(t, f, "edge-second", 2*time.Second)
}

// explain asks a host what a job waits for.
func (h *oneHost) explain(id string) (int, schedule.Explanation) {
	h.t.Helper()
	response, err := http.Get("http://" + h.internal + "/explain/" + id)
	if err != nil {
		h.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var e schedule.Explanation
	if err := json.NewDecoder(response.Body).Decode(&e); err != nil {
		h.t.Fatal(err)
	}
	return response.StatusCode, e
}

// Guards against an operator who has to know which host owns the fleet to learn what a job waits for.
func TestAnyHostExplainsAJob(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	defer f.Close()
	owner := addHost(t, f, "edge-1", largeHost)
	defer owner.stop()
	other := addHost(t, f, "edge-2", largeHost)
	defer other.stop()
	huge := `{"spec":"s","steps":[{"count":2,"cpu":99000,"mem_mb":10}]}` // no upstream has room
	status, _ := other.call(http.MethodPost, jobID(1), huge, teamKey)
	is.Equal(status, http.StatusOK)
	for _, h := range []*oneHost{owner, other} {
		var e schedule.Explanation
		for range 100 {
			if status, e = h.explain(jobID(1)); status == http.StatusOK {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		is.Equal(status, http.StatusOK)
		is.Equal(e.Phase, "queued")
		is.Equal(len(e.Parts), 1)
		is.Equal(e.Parts[0].Waiting, map[string]int{"room on an upstream": 2})
	}
	status, _ = other.explain(jobID(2))
	is.Equal(status, http.StatusGone)
	status, _ = other.explain("no-id")
	is.Equal(status, http.StatusBadRequest)
}

// Guards against hosts that start together and do not learn which of them owns the fleet: those that lost the race sent
// it no announcements, and the owner learned of their jobs only by its watch.
func TestHostsThatStartTogetherKnowTheOwner(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	defer f.Close()
	var hosts []*oneHost
	for _, name := range []string{"edge-1", "edge-2", "edge-3"} {
		h := launchHost(t, f, name, largeHost)
		defer h.stop()
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		h.waitServing()
	}
	for _, h := range hosts {
		status := 0
		for range 50 {
			if status, _ = h.explain(jobID(1)); status == http.StatusGone {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		is.Equal(status, http.StatusGone) // the owner says that there is no such job
	}
}
