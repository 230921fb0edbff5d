package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/result"
)

// fullSizeRecord returns a record of the size given in docs/design.md, section 1.6: 28 hosts in 7 zones, 510
// assignments.
func fullSizeRecord() Record {
	r := Record{Revision: 7, BundleVersion: 3, AcceptedVersion: 2, PoolSeq: 9, WriterNonce: "n"}
	for i := range 28 {
		zone := fmt.Sprint("zone-", i%7)
		r.Roster = append(r.Roster, Member{ID: fmt.Sprintf("host-%02d-0123456789ab", i), Zone: zone, Address: "10.0.0.1:7000"})
	}
	for i := range 510 {
		r.Assignments = append(r.Assignments, Assignment{Host: fmt.Sprint("upstream-", i), Pool: fmt.Sprint("pool-", i%81), Epoch: 5,
			State: InService, SinceUnixMS: 1.7e12, MaintainedUnixMS: 1.7e12})
	}
	return r
}

// TestRefusedEncodings guards against accepting ambiguous or oversized records.
func TestRefusedEncodings(t *testing.T) {
	is := is.New(t)
	data, err := EncodeRecord(fullSizeRecord())
	is.NoErr(err)
	decoded, err := DecodeRecord(data)
	is.NoErr(err)
	is.Equal(decoded, fullSizeRecord())
	twice := fullSizeRecord()
	twice.Assignments = append(twice.Assignments, twice.Assignments[0])
	_, err = EncodeRecord(twice)
	is.Equal(result.FromError(err, 0).Code, result.PeerProtocol)
	for name, rejected := range map[string][]byte{
		"duplicate key":   {0xa2, 0x01, 0x01, 0x01, 0x02},
		"unknown field":   {0xa1, 0x18, 0x63, 0x01},
		"nesting":         {0xa1, 0x06, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x01},
		"array length":    {0xa1, 0x06, 0x9a, 0x7f, 0xff, 0xff, 0xff},
		"size":            make([]byte, MaxRecordBytes+1),
		"truncated":       data[:len(data)-1],
		"extraneous data": append(data, 0),
	} {
		_, err := DecodeRecord(rejected)
		if err == nil || result.FromError(err, 0).Code != result.PeerProtocol {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// FuzzDecode guards against panics on malformed input, also in Core.Step when a decoded heartbeat holds arbitrary values,
// and against accepting a record that cannot be encoded again.
func FuzzDecode(f *testing.F) {
	record, _ := EncodeRecord(Record{Revision: 1, Roster: []Member{{ID: "a", Zone: "z"}}})
	heartbeat, _ := EncodeHeartbeat(Heartbeat{Seq: 1, Revision: 2, ZoneAges: []Age{1, 2}, Held: 3})
	f.Add(record)
	f.Add(heartbeat)
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := DecodeRecord(data); err == nil {
			if _, err := EncodeRecord(r); err != nil {
				t.Fatal(err)
			}
		}
		hb, err := DecodeHeartbeat(data)
		if err != nil {
			return
		}
		c := fullSizeCore(t)
		c.Step(time.Unix(1e9, 0), HeartbeatReceived{From: c.record.Roster[1], Heartbeat: hb})
	})
}

// fullSizeCore returns a core that holds the full-size record and becomes the relay of its zone at the first Tick.
func fullSizeCore(t testing.TB) *Core {
	record := fullSizeRecord()
	c := New(Options{Self: record.Roster[0], NewNonce: func() string { return "n" },
		VerifyBundle: func(uint64, [32]byte, []byte) (BundleInfo, error) { return BundleInfo{}, nil }})
	c.Step(time.Unix(1e9, 0), RecordPushed{Record: record})
	if c.record == nil {
		t.Fatal("record rejected")
	}
	return c
}

func BenchmarkTick(b *testing.B) {
	c, now := fullSizeCore(b), time.Unix(1e9, 0)
	for b.Loop() {
		now = now.Add(TickInterval)
		c.Step(now, Tick{})
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	c, now := fullSizeCore(b), time.Unix(1e9, 0)
	hb := Heartbeat{Revision: 7, FreshAge: 100, ZoneAges: make([]Age, 7), Held: 15, Drained: 15, Heard: 15, Flags: FlagRelay}
	for b.Loop() {
		hb.Seq++
		now = now.Add(time.Millisecond)
		from := c.record.Roster[1+hb.Seq%27]
		hb.Echo = c.peers[from.ID].sentSeq
		c.Step(now, HeartbeatReceived{From: from, Heartbeat: hb})
	}
}

func BenchmarkDecodeRecord(b *testing.B) {
	data, _ := EncodeRecord(fullSizeRecord())
	for b.Loop() {
		if _, err := DecodeRecord(data); err != nil {
			b.Fatal(err)
		}
	}
}
