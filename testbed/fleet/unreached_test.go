package fleet_test

import (
	"testing"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

// TestClaimTakesUnreachedUpstreamsOver guards against a record of unreached upstreams that is void after an ownership which ends
// before it has read its state, and against one of an earlier ownership that counts for the next one.
func TestClaimTakesUnreachedUpstreamsOver(t *testing.T) {
	is := is.New(t)
	_, kv, l := newLedger(t)
	record := func() (found schedule.UnreachedUpstreams) {
		is.NoErr(l.Unreached(t.Context(), &found, callTimeout))
		return found
	}
	next := func(process string) *ledger.Ownership {
		ownership, err := claim(t, kv, l, "edge-1", process)
		is.NoErr(err)
		return ownership
	}
	first := next("p1")
	left := map[string]int64{"u-1": 1200}
	write, err := ledger.UnreachedWrite(schedule.UnreachedUpstreams{Generation: first.Generation, LeaseLeftMS: left})
	is.NoErr(err)
	is.NoErr(first.Store(t.Context(), ledger.Write{Extra: []platform.Write{write}}))
	next("p2")
	third := next("p3")
	is.Equal(record(), schedule.UnreachedUpstreams{Generation: third.Generation, LeaseLeftMS: left})
	old, err := ledger.UnreachedWrite(schedule.UnreachedUpstreams{Generation: third.Generation - 1, LeaseLeftMS: left})
	is.NoErr(err)
	is.NoErr(third.Store(t.Context(), ledger.Write{Extra: []platform.Write{old}}))
	next("p4")
	is.Equal(record().Generation, third.Generation-1)
}
