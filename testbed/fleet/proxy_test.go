package fleet_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/testbed/fleet"
)

// TestProxyFaults guards against proxy faults that have no effect: TestSoak in cmd/citrongauge would then prove
// nothing.
func TestProxyFaults(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	defer server.Close()
	proxy, err := fleet.NewProxy(server.Listener.Addr().String())
	is.NoErr(err)
	defer proxy.Close()
	client := &http.Client{Timeout: 300 * time.Millisecond}
	get := func() error {
		response, err := client.Get("http://" + proxy.Address())
		if err == nil {
			err = response.Body.Close()
		}
		return err
	}
	is.NoErr(get())
	for name, fault := range map[string]fleet.ProxyFault{
		"reset": {Reset: true}, "stalled to the target": {StallToTarget: true}, "stalled from the target": {StallFromTarget: true}, "delayed": {Delay: 400 * time.Millisecond},
	} {
		proxy.SetFault(fault)
		if get() == nil {
			t.Errorf("%s: request succeeded during the fault", name)
		}
		proxy.SetFault(fleet.ProxyFault{})
		if err := get(); err != nil {
			t.Errorf("%s: request failed after the fault ended: %v", name, err)
		}
	}
}
