package bundle

import (
	"bytes"
	"crypto/ed25519"
	"fmt"
	"testing"
	"time"

	"citrongauge.example/citrongauge/result"
	"citrongauge.example/citrongauge/upstream"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	testKey       = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{1}, ed25519.SeedSize))
	otherKey      = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{2}, ed25519.SeedSize))
	testOperators = map[string]ed25519.PublicKey{"amara": testKey.Public().(ed25519.PublicKey)}
)

func drawRunningWork(t *rapid.T) RunningWorkPolicy {
	return rapid.SampledFrom([]RunningWorkPolicy{WorkFinish, WorkCheckpoint, WorkStop}).Draw(t, "work")
}

// drawBundle draws a valid, normalized bundle with all defaults filled in.
func drawBundle(t *rapid.T) *Bundle {
	text := rapid.StringMatching(`[ -~äß<>&→]{1,20}`)
	number := rapid.IntRange(1, 100_000)
	b := &Bundle{
		Version:   rapid.Uint64Min(5).Draw(t, "version"),
		Base:      rapid.Uint64Max(4).Draw(t, "base"),
		Author:    text.Draw(t, "author"),
		Reason:    text.Draw(t, "reason"),
		Isolation: Isolation{ServeForMS: rapid.Int64Range(0, maxDurationMS).Draw(t, "serve")},
		Zones: []Zone{
			{Name: "a", RunningWork: drawRunningWork(t), RampMS: rapid.Int64Range(0, maxRampMS).Draw(t, "ramp")},
			{Name: "b", Region: "west", OutOfService: rapid.Bool().Draw(t, "out"), RunningWork: WorkFinish},
		},
	}
	share := rapid.IntRange(0, totalSharePermille).Draw(t, "share")
	for i, share := range []int{share, totalSharePermille - share} {
		_, hash := NewTeamKey()
		key := Key{ID: fmt.Sprint("k", i), SHA256: hash, Withdrawn: rapid.Bool().Draw(t, "withdrawn"), RunningWork: drawRunningWork(t)}
		b.Teams = append(b.Teams, Team{Name: fmt.Sprint("t", i), Share: share, Cap: number.Draw(t, "cap"), Keys: []Key{key}, RunningWork: drawRunningWork(t)})
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "pools") {
		pool := Pool{Name: fmt.Sprint("p", i), DrainMS: minDrainMS, Spare: i == 0}
		size := rapid.IntRange(1, 4).Draw(t, "size")
		pool.Budget.MaxUnavailable = rapid.IntRange(0, size-1).Draw(t, "budget")
		for k := range size {
			id := fmt.Sprintf("u-%d-%d", i, k)
			pool.Hosts = append(pool.Hosts, id)
			b.Hosts = append(b.Hosts, Host{ID: id, Address: fmt.Sprintf("127.0.0.1:%d", 7000+10*i+k), Zone: "a", Rack: "r",
				Capacity: upstream.Size{Slots: number.Draw(t, "slots")}, Connections: 1})
		}
		b.Pools = append(b.Pools, pool)
		queue := Queue{Name: pool.Name, Pool: pool.Name, MaxQueued: number.Draw(t, "queued"), MaxDeadlineMS: 1}
		if rapid.Bool().Draw(t, "restricted") {
			queue.Teams = []string{"t1"}
		}
		b.Queues = append(b.Queues, queue)
	}
	if rapid.Bool().Draw(t, "intervened") {
		b.Interventions = []Intervention{{ID: "i", Kind: InterventionHold, Target: "p0", Author: "a", Reason: "r", Until: time.Unix(0, 0).UTC().Format(time.RFC3339)}}
	}
	return b
}

// TestCanonicalAndSignedRoundTrip checks that a bundle is unchanged after it is encoded in canonical form and parsed,
// and after it is signed and verified.
func TestCanonicalAndSignedRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		b := drawBundle(t)
		parsed, problems := Parse("canonical", b.Canonical())
		is.NoErr(problems.Err())
		is.Equal(parsed, b)
		is.Equal(parsed.Canonical(), b.Canonical())
		is.Equal(len(Diff(parsed, b)), 0)
		verified, err := VerifySigned(Sign(b, testKey, "amara").Encode(), testOperators)
		is.NoErr(err)
		is.Equal(verified, b)
		is.Equal(verified.Digest(), b.Digest())
	})
}

// TestVerifySignedRejectsChangedBytes checks that an envelope is rejected if any one of its bytes is changed.
func TestVerifySignedRejectsChangedBytes(t *testing.T) {
	data := Sign(mustParse(t, "testdata/good/full.jsonc"), testKey, "amara").Encode()
	rapid.Check(t, func(t *rapid.T) {
		changed := bytes.Clone(data)
		changed[rapid.IntRange(0, len(data)-1).Draw(t, "offset")] ^= rapid.ByteRange(1, 255).Draw(t, "bits")
		if _, err := VerifySigned(changed, testOperators); err == nil {
			t.Fatal("VerifySigned accepted a changed envelope")
		}
	})
}

// TestVerifySignedRejects checks that VerifySigned rejects bundles without a valid signature of a known operator,
// signatures made for another purpose or in another name, and envelopes that are too large, malformed or not canonical.
func TestVerifySignedRejects(t *testing.T) {
	b := mustParse(t, "testdata/good/full.jsonc")
	signed := Sign(b, testKey, "amara")
	sharedKeyOperators := map[string]ed25519.PublicKey{"amara": testOperators["amara"], "bo": testOperators["amara"]}
	renamed := Signed{Operator: "bo", Text: signed.Text, Signature: signed.Signature}
	withoutDomain := Signed{Operator: "amara", Text: signed.Text, Signature: ed25519.Sign(testKey, signed.Text)}
	spacedText := append([]byte(" "), signed.Text...)
	nonCanonical := Signed{Operator: "amara", Text: spacedText, Signature: ed25519.Sign(testKey, signedMessage("amara", spacedText))}
	tests := []struct {
		name      string
		data      []byte
		operators map[string]ed25519.PublicKey
		code      result.Code
	}{
		{"other key", Sign(b, otherKey, "amara").Encode(), testOperators, result.SignatureInvalid},
		{"unknown operator", Sign(b, testKey, "bo").Encode(), testOperators, result.SignatureInvalid},
		{"other operator's name", renamed.Encode(), sharedKeyOperators, result.SignatureInvalid},
		{"no domain", withoutDomain.Encode(), testOperators, result.SignatureInvalid},
		{"short public key", signed.Encode(), map[string]ed25519.PublicKey{"amara": {1}}, result.SignatureInvalid},
		{"trailing byte", append(signed.Encode(), 0), testOperators, result.SignatureInvalid},
		{"not canonical", nonCanonical.Encode(), testOperators, result.DigestMismatch},
		{"too large", make([]byte, 1<<21), testOperators, result.BundleTooLarge},
		{"empty", nil, testOperators, result.SignatureInvalid},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := VerifySigned(test.data, test.operators)
			var coded *result.Error
			is.True(errors.As(err, &coded))
			is.Equal(coded.Code, test.code)
		})
	}
}

// TestVerifySignedValidates checks that VerifySigned rejects a correctly signed bundle that is not valid.
func TestVerifySignedValidates(t *testing.T) {
	is := is.New(t)
	b := mustParse(t, "testdata/good/full.jsonc")
	b.Teams[0].Share++
	_, err := VerifySigned(Sign(b, testKey, "amara").Encode(), testOperators)
	var problems Problems
	is.True(errors.As(err, &problems))
	is.Equal(problems.Code(), result.BundleSharesInvalid)
}

// FuzzParse checks that Parse does not panic, and that the canonical form of each accepted bundle parses to an equal
// bundle.
func FuzzParse(f *testing.F) {
	for _, file := range []string{"testdata/good/full.jsonc", "testdata/bad/types.jsonc", "testdata/bad/deep.jsonc"} {
		f.Add(readFile(f, file))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		b, problems := Parse("fuzz", text)
		if (b == nil) != (len(problems) > 0) {
			t.Fatal("want either a bundle or problems")
		}
		if b == nil {
			return
		}
		again, problems := Parse("canonical", b.Canonical())
		is := is.New(t)
		is.NoErr(problems.Err())
		is.Equal(again, b)
	})
}

// FuzzVerifySigned checks that VerifySigned does not panic and accepts no other encoding of the one valid envelope.
func FuzzVerifySigned(f *testing.F) {
	valid := Sign(mustParse(f, "testdata/good/full.jsonc"), testKey, "amara").Encode()
	f.Add(valid)
	f.Add([]byte{0xa3, 1, 0x60, 2, 0x40, 3, 0x40})
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := VerifySigned(data, testOperators); err == nil && !bytes.Equal(data, valid) {
			t.Fatal("VerifySigned accepted a second encoding of the envelope")
		}
	})
}

// BenchmarkVerifySigned measures the verification of a new bundle, which every entry host performs, with 510 hosts, 81
// pools and 76 teams.
func BenchmarkVerifySigned(b *testing.B) {
	target := &Bundle{Version: 1, Author: "a", Reason: "r", Zones: []Zone{{Name: "z", RunningWork: WorkFinish}}}
	for i := range 510 {
		target.Hosts = append(target.Hosts, Host{ID: fmt.Sprint("u", i), Address: fmt.Sprint("127.0.0.1:", 7000+i), Zone: "z",
			Rack: fmt.Sprint("r", i/4), Capacity: upstream.Size{Slots: 8, CPUs: 16, MemoryMB: 65536}, Connections: 64})
	}
	for i := range 81 {
		pool := Pool{Name: fmt.Sprint("p", i), DrainMS: DefaultDrainMS}
		for k := i; k < len(target.Hosts); k += 81 {
			pool.Hosts = append(pool.Hosts, target.Hosts[k].ID)
		}
		target.Pools = append(target.Pools, pool)
		target.Queues = append(target.Queues, Queue{Name: pool.Name, Pool: pool.Name, MaxQueued: 1, MaxDeadlineMS: 1})
	}
	for i := range 76 {
		_, hash := NewTeamKey()
		target.Teams = append(target.Teams, Team{Name: fmt.Sprint("t", i), Cap: 8, RunningWork: WorkFinish,
			Keys: []Key{{ID: fmt.Sprint("k", i), SHA256: hash, RunningWork: WorkFinish}}})
	}
	target.Teams[0].Share = totalSharePermille
	data := Sign(target, testKey, "amara").Encode()
	b.ReportMetric(float64(len(data)), "bytes")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := VerifySigned(data, testOperators); err != nil {
			b.Fatal(err)
		}
	}
}
