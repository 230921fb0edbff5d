package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/clock"
	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/schedule"
)

// Guards against an ownership that goes on after a call was dropped since the lease was not valid at that moment, while
// the core waits for the call's result for ever: it polls the upstream no more, and its runs lapse. Seen with daemon
// processes that were stopped by SIGSTOP until shortly before their lease ended in the store (TestFrozenOwnerSendsAllCalls).
func TestDroppedCallReturnsOrEndsTheOwnership(t *testing.T) {
	is := is.New(t)
	o := &Owner{Options: Options{Log: func(string, ...any) {}}}
	s := &session{
		Owner: o, lease: &leaseKeeper{owner: o}, ownership: &ledger.Ownership{Token: 7}, events: make(chan func(*session), eventBuffer),
	}
	s.lease.extend(clock.Now() - time.Minute)
	s.send(t.Context(), schedule.Poll{})
	time.Sleep(200 * time.Millisecond)
	s.lease.extend(clock.Now()) // a renewal that was sent before the freeze is answered
	is.True(len(s.events) > 0 || !s.lease.valid() || s.failure != nil)
}
