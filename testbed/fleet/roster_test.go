package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

// maxRosterRecordBytes bounds what the store receives when one upstream joins or leaves.
const maxRosterRecordBytes = 300

// oldRosterEntry is an upstream in the roster as versions before this one stored it, all in one record.
type oldRosterEntry struct {
	ID      string `cbor:"1,keyasint"`
	Pool    string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	Zone    string `cbor:"4,keyasint"`
}

// TestRosterHasOneRecordPerUpstream guards against a write of the whole roster whenever an upstream joins or leaves,
// which takes most of a host's link on a large fleet: 200 kB for 1,100 upstreams, up to 40 times a second while
// machines move. It also guards against losing the roster that an earlier version stored.
func TestRosterHasOneRecordPerUpstream(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	defer f.Close()
	kv := platform.NewKV(f.StoreAddress(), func(string, error) {})
	value, err := job.Encode([]oldRosterEntry{{ID: "u-old", Pool: "p", Address: "127.0.0.1:1", Zone: "z"}})
	is.NoErr(err)
	_, err = kv.Txn(t.Context(), platform.Txn{Set: []platform.Write{{Key: "cg/roster", Value: value}}}, callTimeout)
	is.NoErr(err)
	defer addHost(t, f, "edge-1", func(*platform.Settings) {}).stop()

	const listed = 2 // upstreams of the fleet
	var items []platform.Item
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline) && len(items) < listed+1; time.Sleep(10 * time.Millisecond) {
		items, _, err = kv.ListAll(t.Context(), "cg/roster/", callTimeout)
		is.NoErr(err)
	}
	is.Equal(len(items), listed+1)
	for _, item := range items {
		is.True(len(item.Value) <= maxRosterRecordBytes)
	}
	old, err := kv.Get(t.Context(), "cg/roster", callTimeout)
	is.NoErr(err)
	is.Equal(old.Revision, uint64(0))
}
