package fleet_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/testbed/fleet"
)

// claimWithout claims from a store that withholds or rejects reads of the terms, after an ownership whose key has expired.
func claimWithout(t *testing.T, serve func(store *fleet.Store, w http.ResponseWriter, r *http.Request)) error {
	store := fleet.NewStore()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("key") == "cg/terms" {
			serve(store, w, r)
			return
		}
		store.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	kv := platform.NewKV(server.Listener.Addr().String(), func(string, error) {})
	l := ledger.New(kv)
	first, err := claim(t, kv, l, "edge-1", "p1")
	if err != nil {
		t.Fatal(err)
	}
	if err := kv.RevokeLease(t.Context(), first.Lease, callTimeout); err != nil {
		t.Fatal(err)
	}
	_, err = claim(t, kv, l, "edge-2", "p2")
	return err
}

// Guards against a claim that fails since the store rejects one read of the terms, which all other reads of a claim outlive.
func TestClaimRepeatsARejectedReadOfTheTerms(t *testing.T) {
	is := is.New(t)
	var rejected atomic.Bool
	is.NoErr(claimWithout(t, func(store *fleet.Store, w http.ResponseWriter, r *http.Request) {
		if !rejected.Swap(true) {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		store.ServeHTTP(w, r)
	}))
}

// Guards against a fleet without a lasting owner while the store is slow: a claim makes so many calls one after another that
// its lease is over, or nearly so, when it succeeds.
func TestFleetHasAnOwnerWhileStoreIsSlow(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	defer f.Close()
	first := addHost(t, f, "edge-1", setLargeCapacity)
	waitOwner(t, f, "edge-1", 3*time.Second)
	defer addHost(t, f, "edge-2", setLargeCapacity).stop()
	f.Store.SetFaults(fleet.StoreFaults{Latency: 280 * time.Millisecond})
	first.stop()
	waitOwner(t, f, "edge-2", 10*time.Second)
	claimed := f.Store.Value(ledger.OwnerKey)
	time.Sleep(3 * time.Second)
	is.Equal(f.Store.Value(ledger.OwnerKey), claimed) // the first ownership goes on
}
