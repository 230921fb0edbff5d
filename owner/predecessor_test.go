package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/platform"
)

func ownerItem(t *testing.T, record ledger.OwnerRecord) platform.Item {
	value, err := job.Encode(record)
	if err != nil {
		t.Fatal(err)
	}
	return platform.Item{Key: ledger.OwnerKey, Value: value, Revision: 1 + record.Generation}
}

// Guards against a new owner that takes the end of another ownership for that of the one before it: leases that were granted
// in between may still run (TWICE).
func TestEndOfAnEarlierOwnershipCountsForTheNextOnly(t *testing.T) {
	const start, gone, claimed = time.Hour, time.Hour + 10*time.Second, time.Hour + 20*time.Second
	other := ledger.OwnerRecord{Host: "edge-2", Process: "p2", Generation: 4}
	again := ledger.OwnerRecord{Host: "edge-3", Process: "p3", Generation: 5}
	sameHost := ledger.OwnerRecord{Host: "edge-1", Process: "p0", Generation: 4}
	ownClaim := ledger.OwnerRecord{Host: "edge-1", Process: "p1", Generation: 4}
	deleted := platform.Event{Item: platform.Item{Key: ledger.OwnerKey}, Deleted: true}
	set := func(record ledger.OwnerRecord) platform.Event { return platform.Event{Item: ownerItem(t, record)} }
	for _, c := range []struct {
		name       string
		read       ledger.OwnerRecord
		events     []platform.Event
		generation uint64
		ended      time.Duration
	}{
		{"the key is seen to go", other, []platform.Event{deleted}, 5, gone},
		{"the key was seen by nobody", other, nil, 5, 0},
		{"another owner came between, unseen", other, []platform.Event{deleted}, 6, 0},
		{"another owner came between and went", other, []platform.Event{deleted, set(again), deleted}, 6, gone},
		{"another owner came between and may be there", other, []platform.Event{deleted, set(again)}, 6, 0},
		{"another key went", other, []platform.Event{{Item: platform.Item{Key: ledger.OwnerKey + "x"}, Deleted: true}}, 5, 0},
		{"an earlier process of the host", sameHost, nil, 5, start},
		{"this process's own key", ownClaim, []platform.Event{deleted}, 5, 0},
		{"an unreadable record", other, []platform.Event{{Item: platform.Item{Key: ledger.OwnerKey, Value: []byte{0xff}, Revision: 9}}, deleted}, 5, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			o := &Owner{Options: Options{Host: "edge-1", Process: "p1"}, startedAt: start}
			o.predecessor.noteKey(ownerItem(t, c.read), c.read, start+time.Second)
			o.predecessor.noteEvents(c.events, gone)
			ended, _, _ := o.endOfEarlier(&ledger.Ownership{Generation: c.generation})
			is.Equal(ended, c.ended)
			o.predecessor.noteKey(platform.Item{}, ledger.OwnerRecord{}, claimed)
			if c.ended > 0 {
				ended, _, _ = o.endOfEarlier(&ledger.Ownership{Generation: c.generation})
				is.Equal(ended, c.ended) // a later read of the missing key changes nothing
			}
		})
	}
}
