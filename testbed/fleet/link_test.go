package fleet_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/testbed/fleet"
)

// Guards against a link whose faults have no effect: the soak would prove nothing.
func TestLinkFaults(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	defer server.Close()
	link, err := fleet.NewLink(server.Listener.Addr().String())
	is.NoErr(err)
	defer link.Close()
	client := &http.Client{Timeout: 300 * time.Millisecond}
	get := func() error {
		response, err := client.Get("http://" + link.Address())
		if err == nil {
			err = response.Body.Close()
		}
		return err
	}
	is.NoErr(get())
	for name, fault := range map[string]fleet.LinkFault{
		"reset": {Reset: true}, "held up": {HoldUp: true}, "held down": {HoldDown: true}, "delayed": {Delay: 400 * time.Millisecond},
	} {
		link.SetFault(fault)
		if get() == nil {
			t.Errorf("%s: answered", name)
		}
		link.SetFault(fleet.LinkFault{})
		if err := get(); err != nil {
			t.Errorf("after %s: %v", name, err)
		}
	}
}
