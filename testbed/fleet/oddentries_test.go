package fleet_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/testbed/fleet"
)

// putOddEntries writes entries under the upstreams' prefix as another writer may leave them there. Most of them are like
// an upstream's but for one thing.
func putOddEntries(f *fleet.Fleet) {
	entry := string(f.Upstreams[0].StoreEntry())
	entry = strings.Replace(entry, f.Upstreams[0].ID, "odd", 1) // the machine
	address := `"` + f.Upstreams[0].Address + `"`
	nested := strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000)
	for id, value := range map[string]string{
		"odd-nested":                 strings.Repeat("[", 500_000),
		"odd-nested-field":           strings.Replace(strings.Replace(entry, address, `"127.0.0.1:1"`, 1), `{`, `{"x":`+nested+`,`, 1),
		"odd-number":                 strings.Replace(entry, "16000", "1e999", 1),
		"odd-capacity":               strings.Replace(entry, "16000", "9223372036854775807", 1),
		"odd-port":                   strings.Replace(entry, address, `"127.0.0.1:99999"`, 1),
		"odd-address":                strings.Replace(entry, address, `"127.0.0.1"`, 1),
		"odd-bytes":                  "\xff\xfe\x00",
		"odd/slash":                  entry,
		"":                           entry,
		strings.Repeat("odd", 192/3): entry, // the longest key that the store takes
	} {
		f.Store.Put("servers/"+id, []byte(value))
	}
}

// TestOddEntriesDoNotStopFleet guards against an entry of another writer that ends the hosts that read it, or stops them
// from following the upstreams: in the list at the start, in the watch, in the list after a compaction, and at a takeover.
func TestOddEntriesDoNotStopFleet(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	defer f.Close()
	putOddEntries(f)
	first := addHost(t, f, "edge-1", setLargeCapacity)
	waitOwner(t, f, "edge-1", 3*time.Second)
	n := 0
	checkServing := func(h *testHost) {
		t.Helper()
		n++
		status, _ := h.call(http.MethodPost, jobID(n), oneTaskJob, teamKey)
		is.Equal(status, http.StatusOK)
		h.waitPhase(jobID(n), "succeeded")
	}
	checkServing(first)
	putOddEntries(f)
	time.Sleep(400 * time.Millisecond) // longer than the owner's pause between two watch calls
	checkServing(first)
	f.Store.Compact()
	putOddEntries(f)
	checkServing(first)
	second := addHost(t, f, "edge-2", setLargeCapacity)
	defer second.stop()
	first.stop()
	waitOwner(t, f, "edge-2", 8*time.Second)
	checkServing(second)
}

// TestEntryOfAnotherWriterUnderAnIDInUse guards against tasks that run twice after another writer has replaced the entry of
// an upstream at work for a while (TWICE, review/REPORT.md).
func TestEntryOfAnotherWriterUnderAnIDInUse(t *testing.T) {
	is := is.New(t)
	f, err := fleet.New(fleet.Options{Zones: 1, UpstreamsPerZone: 2, TaskDuration: 1500 * time.Millisecond, TeamKey: teamKey})
	is.NoErr(err)
	defer f.Close()
	h := addHost(t, f, "edge-1", setLargeCapacity)
	defer h.stop()
	waitOwner(t, f, "edge-1", 3*time.Second)
	status, _ := h.call(http.MethodPost, jobID(1), `{"spec":"s","steps":[{"count":8,"cpu":500,"estimate_ms":1500}]}`, teamKey)
	is.Equal(status, http.StatusOK)
	time.Sleep(300 * time.Millisecond) // its tasks run
	u := f.Upstreams[0]
	if len(u.History()) == 0 {
		u = f.Upstreams[1]
	}
	f.Store.Put("servers/"+u.ID, []byte(strings.Replace(string(u.StoreEntry()), fleet.PoolName, "nobody-knows", 1)))
	time.Sleep(400 * time.Millisecond) // longer than the owner's pause between two watch calls
	f.Store.Put("servers/"+u.ID, u.StoreEntry())
	h.waitPhase(jobID(1), "succeeded")
	is.Equal(f.Violations(map[string]string{jobID(1): "s"}), nil)
}
