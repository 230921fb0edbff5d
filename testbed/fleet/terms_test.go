package fleet_test

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/platform"
)

const leaseAfterExpiry = 4500 * time.Millisecond

// storeTerms stores terms as the owner.
func storeTerms(t *testing.T, ownership *ledger.Ownership) {
	write, err := ownership.TermsWrite(leaseAfterExpiry)
	if err == nil {
		err = ownership.Store(t.Context(), ledger.Write{Extra: []platform.Write{write}})
	}
	if err != nil {
		t.Fatal(err)
	}
}

// TestTermsHoldIfTheKeyHasExpired guards against a next owner that takes the key of an owner which gave the fleet up for one that
// has expired, or the terms of an earlier ownership for those of the last one: it would start tasks beside their runs (TWICE).
func TestTermsHoldIfTheKeyHasExpired(t *testing.T) {
	is := is.New(t)
	_, kv, l := newLedger(t)
	expire := func(ownership *ledger.Ownership) { is.NoErr(kv.RevokeLease(t.Context(), ownership.Lease, callTimeout)) }
	first, err := claim(t, kv, l, "edge-1", "p1")
	is.NoErr(err)
	is.Equal(first.EarlierLease, time.Duration(0))
	storeTerms(t, first)
	expire(first)
	second, err := claim(t, kv, l, "edge-2", "p2")
	is.NoErr(err)
	is.Equal(second.EarlierLease, leaseAfterExpiry)
	expire(second) // without terms
	third, err := claim(t, kv, l, "edge-3", "p3")
	is.NoErr(err)
	is.Equal(third.EarlierLease, time.Duration(0))
	storeTerms(t, third)
	is.NoErr(third.Release(t.Context(), callTimeout))
	fourth, err := claim(t, kv, l, "edge-1", "p1") // at once
	is.NoErr(err)
	is.Equal(fourth.EarlierLease, time.Duration(0))
	is.True(errors.Is(third.Release(t.Context(), callTimeout), ledger.ErrOwnershipLost))
	storeTerms(t, fourth)
	again, err := claim(t, kv, l, "edge-1", "p1-restarted") // the key is there
	is.NoErr(err)
	is.Equal(again.EarlierLease, time.Duration(0))
}
