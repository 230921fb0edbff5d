package owner

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/clock"
	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

// Guards against a wave that learns of its first machines' return only when the list would have been read without it. In
// testbed run karri-sched-large quiet-1 120 spare machines counted as down for 8 s, so that few others were drained.
func TestMachineListIsReadMoreOftenFromTheStartOfAWave(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	s := &session{core: schedule.New(schedule.Options{Log: func(string, ...any) {}})}
	is.True(s.listDue(now)) // never read
	s.lastList = now
	is.True(!s.listDue(now + listInterval))
	is.True(s.listDue(now + idleListInterval))
	s.core.SetWaves([]platform.Wave{{Number: 1, Machines: []string{"m-1"}, MaxConcurrent: 1, TimeLimit: time.Minute}}, nil)
	is.True(s.listDue(now + listInterval))
	is.True(!s.listDue(now + listInterval - time.Millisecond))
}

// Guards against an owner that was paused between a decision and its calls, and sends them after its lease has expired:
// another host may own the fleet by then.
func TestNothingIsSentAfterTheLeaseHasExpired(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		_, _ = w.Write([]byte("{}"))
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	o := &Owner{Options: Options{
		Upstreams: platform.NewUpstreamClient(), Machines: platform.NewMachineClient(address, func(string, error) {}),
	}}
	s := &session{
		Owner: o, lease: &leaseKeeper{owner: o}, ownership: &ledger.Ownership{Token: 7}, events: make(chan func(*session), eventBuffer),
	}
	target := platform.Target{ID: "u-1", Address: address}
	calls := []schedule.Call{
		schedule.Start{Target: target}, schedule.Stop{Target: target}, schedule.Poll{Target: target}, schedule.Pace{Target: target},
		schedule.Move{Machine: "m-1", Pool: "p"}, schedule.Upkeep{Machine: "m-1", Wave: 1},
	}
	s.lease.extend(clock.Now() - time.Minute)
	for _, call := range calls {
		s.send(t.Context(), call)
	}
	for range len(calls) {
		<-s.events // the core learns of each that it was not sent
	}
	time.Sleep(200 * time.Millisecond)
	is.Equal(requests.Load(), int32(0))
	s.lease.extend(clock.Now())
	for _, call := range calls {
		s.send(t.Context(), call)
	}
	for range len(calls) {
		<-s.events
	}
	is.Equal(requests.Load(), int32(len(calls)))
}

// Guards against decisions that take the processor time of the calls to upstreams: on a large fleet each takes up to
// some milliseconds, and 300 a second took a quarter of the owner's time.
func TestDecisionsTakeATenthOfTheTime(t *testing.T) {
	is := is.New(t)
	for took := 100 * time.Microsecond; took <= maxDecisionPause/10; took += 100 * time.Microsecond {
		is.True(took*9 <= decisionPause(took))
	}
	is.Equal(decisionPause(time.Microsecond), minDecisionPause)
	is.Equal(decisionPause(time.Second), maxDecisionPause) // new work waits no longer than that
}
