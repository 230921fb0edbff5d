package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/operator"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/testbed/fleet"
)

// configurationApplyBound is the value of config_apply_ms in the settings of every Fleet.
const configurationApplyBound = 2 * time.Second

// largeConfiguration returns a configuration of about 200 bytes for each queue, without the queue of the Fleet.
func largeConfiguration(t *testing.T, version, queues int) []byte {
	routes := make([]map[string]any, queues)
	for i := range routes {
		routes[i] = map[string]any{
			"name": fmt.Sprintf("queue-%05d", i), "host": fleet.QueueHost, "prefix": fmt.Sprintf("/queue-%05d/", i), "kind": "unsafe",
			"timeout_ms": 3000, "target_latency_ms": 600, "priority": 0, "service": fleet.PoolName, "max_attempts": 3, "stretch": 1.6,
		}
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{{"name": fleet.PoolName}},
		"tenants": []map[string]any{{"name": fleet.TeamName, "api_keys": []string{teamKey}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestLargeConfigurationOverSlowLink guards against reads of the configuration that are cut off while their bytes still
// arrive, so that a host on a slow link never gets a large configuration.
func TestLargeConfigurationOverSlowLink(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	defer f.Close()
	proxy, err := fleet.NewProxy(f.StoreAddress())
	is.NoErr(err)
	defer proxy.Close()
	follower := operator.New(platform.NewKV(proxy.Address(), func(string, error) {}), func(string, ...any) {})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go follower.Run(ctx)
	version := func() int64 {
		if bundle := follower.State().Bundle; bundle != nil {
			return bundle.Version
		}
		return 0
	}
	waitUntil(t, 5*time.Second, "first configuration", func() bool { return version() == 1 })
	proxy.SetFault(fleet.ProxyFault{Delay: 50 * time.Millisecond}) // 32 KB in 50 ms: 5 Mbit/s
	const transferTime = 2500 * time.Millisecond                   // 1.5 MB at 5 Mbit/s
	f.Store.Put(platform.BundleKey, largeConfiguration(t, 2, 5500))
	time.Sleep(time.Second) // the next change comes before this one has been read
	f.Store.Put(platform.BundleKey, largeConfiguration(t, 3, 5500))
	waitUntil(t, configurationApplyBound+2*transferTime, "large configuration", func() bool { return version() == 3 })
}

// TestUnconfirmedConfigurationIsNotServed guards against a host that answers a call from a configuration that it has
// not been able to confirm for so long that a newer one must be applied.
func TestUnconfirmedConfigurationIsNotServed(t *testing.T) {
	h := startFleetWithHost(t)
	defer h.stop()
	h.fleet.Store.SetFaults(fleet.StoreFaults{SilentPrefix: platform.OperatorPrefix})
	time.Sleep(1300 * time.Millisecond) // until the watch that waits now has ended
	h.fleet.Store.Put(platform.BundleKey, largeConfiguration(t, 2, 1))
	time.Sleep(configurationApplyBound)
	for path, method := range map[string]string{"": http.MethodGet, jobID(1): http.MethodGet, jobID(2): http.MethodDelete, jobID(3): http.MethodPost} {
		status, body := h.call(method, path, oneTaskJob, teamKey)
		if status != http.StatusServiceUnavailable {
			t.Errorf("%s %s: status %d, response %s", method, path, status, body)
		}
	}
	h.fleet.Store.SetFaults(fleet.StoreFaults{})
	waitUntil(t, 2*configurationApplyBound, "404 for the removed queue", func() bool {
		status, _ := h.call(http.MethodGet, "", "", teamKey)
		return status == http.StatusNotFound
	})
}

// TestRejectionWithLargeConfiguration guards against a host on a slow link that reads the whole configuration again
// before it rejects a call, and cannot do so in time.
func TestRejectionWithLargeConfiguration(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	defer f.Close()
	proxy, err := fleet.NewProxy(f.StoreAddress())
	is.NoErr(err)
	defer proxy.Close()
	h := addHost(t, f, "edge-1", func(s *platform.Settings) { s.Store.Address = proxy.Address() })
	defer h.stop()
	f.Store.Put(platform.BundleKey, largeConfiguration(t, 2, 5500))
	rejected := func() int {
		status, _ := h.call(http.MethodGet, "", "", teamKey)
		return status
	}
	waitUntil(t, configurationApplyBound, "404 for the removed queue", func() bool { return rejected() == http.StatusNotFound })
	proxy.SetFault(fleet.ProxyFault{Delay: 20 * time.Millisecond}) // 1.5 MB take 0.9 s
	for range 10 {
		is.Equal(rejected(), http.StatusNotFound)
	}
}

// waitUntil fails the test if the condition does not hold within limit.
func waitUntil(t *testing.T, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	for begin := time.Now(); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Since(begin) > limit {
			t.Fatalf("%s: not within %v", what, limit)
		}
	}
}
