package grant

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/upstream"
)

// Guards against slots above the limit, and against a start with slots that a lowered limit no longer covers.
func TestAccountLimit(t *testing.T) {
	is := is.New(t)
	a := NewAccount()
	is.True(!a.TryAcquire("a", 1)) // unknown team
	a.setLimit("a", 3)
	is.True(a.TryAcquire("a", 3))
	is.True(!a.TryAcquire("a", 1))
	is.True(a.Allowed("a"))
	is.Equal(a.lower("a", 1), 3) // the use is kept in the grant
	a.setLimit("a", 1)
	is.True(!a.Allowed("a"))
	a.Release("a", 2)
	is.True(a.Allowed("a"))
	is.True(!a.TryAcquire("a", 1))
}

// Guards against slots of an attempt with an unknown state that return before the upstream has stopped it.
func TestAccountHold(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	a := NewAccount()
	a.setLimit("a", 2)
	is.True(a.TryAcquire("a", 2))
	until := HoldStarted(now)
	is.True(until.Sub(now) > 2*upstream.TaskLeaseTTL)
	is.Equal(HoldUnstarted(now).Sub(now), control.Stretch(upstream.ReservationTTL))
	a.ReleaseAfter("a", 2, until)
	a.expire(until.Add(-1))
	is.Equal(a.InUse("a"), 2)
	a.expire(until)
	is.Equal(a.InUse("a"), 0)
}

// Guards against malformed ledgers that would be taken for grants.
func TestLedgerDecode(t *testing.T) {
	is := is.New(t)
	l := Ledger{Cap: 8, Version: 3, Entries: map[string]int{"b": 2, "a": 1}}
	data, err := l.Encode()
	is.NoErr(err)
	back, err := Decode(data)
	is.NoErr(err)
	is.Equal(back, l)
	bad := Ledger{Cap: 8, Entries: map[string]int{"a": -1}}
	data, err = bad.Encode()
	is.NoErr(err)
	_, err = Decode(data)
	is.True(err != nil)
	_, err = Decode([]byte("no ledger"))
	is.True(err != nil)
}

// Guards against a host that takes an old view for the truth after a cap was raised, used by others and lowered.
func TestPartCountsHeldCaps(t *testing.T) {
	is := is.New(t)
	view := Ledger{Cap: 10, Version: 1, Entries: map[string]int{"h": 6}}
	a := newTeam("a", "h")
	a.setCap(10, 1, false, 0)
	a.see(view, 1, &operation{id: 1}, 1)
	a.setCap(20, 2, false, 1)
	is.Equal(a.part(), 6)
	a.setCap(10, 3, false, 1)
	is.Equal(a.part(), 0) // the others may hold 14
	view.Version = 3
	a.see(view, 2, &operation{id: 2}, 3)
	is.Equal(a.part(), 6)
}
