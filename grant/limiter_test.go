package grant

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/upstream"
)

// TestSlotLimiterLimit guards against acquiring slots above the limit, and against starting an attempt after the limit
// was lowered below the use.
func TestSlotLimiterLimit(t *testing.T) {
	is := is.New(t)
	l := NewSlotLimiter()
	is.True(!l.TryAcquire("a", 1)) // unknown team
	l.setLimit("a", 3)
	is.True(l.TryAcquire("a", 3))
	is.True(!l.TryAcquire("a", 1))
	is.True(l.WithinLimit("a"))
	is.Equal(l.lowerLimit("a", 1), 3) // the limit is not lowered below the use
	l.setLimit("a", 1)
	is.True(!l.WithinLimit("a"))
	l.Release("a", 2)
	is.True(l.WithinLimit("a"))
	is.True(!l.TryAcquire("a", 1))
}

// TestReleaseAt guards against freeing the slots of an attempt with an unknown state before the upstream must have
// stopped it.
func TestReleaseAt(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	l := NewSlotLimiter()
	l.setLimit("a", 2)
	is.True(l.TryAcquire("a", 2))
	until := StartedReleaseTime(now)
	is.True(until.Sub(now) > 2*upstream.TaskLeaseTTL)
	is.Equal(UnstartedReleaseTime(now).Sub(now), control.WithClockDrift(upstream.ReservationTTL))
	l.ReleaseAt("a", 2, until)
	l.releaseExpired(until.Add(-1))
	is.Equal(l.InUse("a"), 2)
	l.releaseExpired(until)
	is.Equal(l.InUse("a"), 0)
}

// TestLedgerDecode guards against accepting malformed ledgers.
func TestLedgerDecode(t *testing.T) {
	is := is.New(t)
	l := Ledger{Cap: 8, Version: 3, Entries: map[string]int{"b": 2, "a": 1}}
	data, err := l.Encode()
	is.NoErr(err)
	decoded, err := DecodeLedger(data)
	is.NoErr(err)
	is.Equal(decoded, l)
	bad := Ledger{Cap: 8, Entries: map[string]int{"a": -1}}
	data, err = bad.Encode()
	is.NoErr(err)
	_, err = DecodeLedger(data)
	is.True(err != nil)
	_, err = DecodeLedger([]byte("no ledger"))
	is.True(err != nil)
}

// TestUsableCountsEarlierCaps guards against exceeding the cap with an outdated view: the cap is raised and lowered
// again, and other hosts may have used the higher cap since the view was read.
func TestUsableCountsEarlierCaps(t *testing.T) {
	is := is.New(t)
	view := Ledger{Cap: 10, Version: 1, Entries: map[string]int{"h": 6}}
	a := newTeam("a", "h")
	a.setCap(10, 1, false, 0)
	a.adoptLedger(view, 1, &operation{id: 1}, 1)
	a.setCap(20, 2, false, 1)
	is.Equal(a.usable(), 6)
	a.setCap(10, 3, false, 1)
	is.Equal(a.usable(), 0) // the others may use 14
	view.Version = 3
	a.adoptLedger(view, 2, &operation{id: 2}, 3)
	is.Equal(a.usable(), 6)
}
