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

func drawWork(t *rapid.T) RunningWork {
	return rapid.SampledFrom([]RunningWork{WorkFinish, WorkCheckpoint, WorkStop}).Draw(t, "work")
}

// drawBundle draws a valid bundle in normal form.
func drawBundle(t *rapid.T) *Bundle {
	text := rapid.StringMatching(`[ -~äß<>&→]{1,20}`)
	number := rapid.IntRange(1, 100_000)
	b := &Bundle{
		Version:   rapid.Uint64Min(5).Draw(t, "version"),
		Base:      rapid.Uint64Max(4).Draw(t, "base"),
		Author:    text.Draw(t, "author"),
		Reason:    text.Draw(t, "reason"),
		Isolation: Isolation{ServeForMS: rapid.Int64Range(0, maxMillis).Draw(t, "serve")},
		Zones: []Zone{
			{Name: "a", RunningWork: drawWork(t), RampMS: rapid.Int64Range(0, maxRampMS).Draw(t, "ramp")},
			{Name: "b", Region: "west", OutOfService: rapid.Bool().Draw(t, "out"), RunningWork: WorkFinish},
		},
	}
	share := rapid.IntRange(0, totalShares).Draw(t, "share")
	for i, share := range []int{share, totalShares - share} {
		_, hash := NewTeamKey()
		key := Key{ID: fmt.Sprint("k", i), SHA256: hash, Withdrawn: rapid.Bool().Draw(t, "withdrawn"), RunningWork: drawWork(t)}
		b.Teams = append(b.Teams, Team{Name: fmt.Sprint("t", i), Share: share, Cap: number.Draw(t, "cap"), Keys: []Key{key}, RunningWork: drawWork(t)})
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

// Guards against a canonical form that loses or changes a value, and against signing something else than what is
// verified.
func TestRoundTrip(t *testing.T) {
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

// Guards against altered envelopes, in any byte.
func TestAnyChangedByteFails(t *testing.T) {
	data := Sign(mustParse(t, "testdata/good/full.jsonc"), testKey, "amara").Encode()
	rapid.Check(t, func(t *rapid.T) {
		changed := bytes.Clone(data)
		changed[rapid.IntRange(0, len(data)-1).Draw(t, "offset")] ^= rapid.ByteRange(1, 255).Draw(t, "bits")
		if _, err := VerifySigned(changed, testOperators); err == nil {
			t.Fatal("an altered envelope was accepted")
		}
	})
}

// Guards against bundles that no operator signed, and against a signature made for another purpose or name.
func TestVerifySigned(t *testing.T) {
	b := mustParse(t, "testdata/good/full.jsonc")
	signed := Sign(b, testKey, "amara")
	other := map[string]ed25519.PublicKey{"amara": testOperators["amara"], "bo": testOperators["amara"]}
	renamed := Signed{Operator: "bo", Text: signed.Text, Signature: signed.Signature}
	bare := Signed{Operator: "amara", Text: signed.Text, Signature: ed25519.Sign(testKey, signed.Text)}
	spaced := append([]byte(" "), signed.Text...)
	loose := Signed{Operator: "amara", Text: spaced, Signature: ed25519.Sign(testKey, signedMessage("amara", spaced))}
	tests := []struct {
		name      string
		data      []byte
		operators map[string]ed25519.PublicKey
		code      result.Code
	}{
		{"other key", Sign(b, otherKey, "amara").Encode(), testOperators, result.SignatureInvalid},
		{"unknown operator", Sign(b, testKey, "bo").Encode(), testOperators, result.SignatureInvalid},
		{"other operator's name", renamed.Encode(), other, result.SignatureInvalid},
		{"no domain", bare.Encode(), testOperators, result.SignatureInvalid},
		{"short public key", signed.Encode(), map[string]ed25519.PublicKey{"amara": {1}}, result.SignatureInvalid},
		{"trailing byte", append(signed.Encode(), 0), testOperators, result.SignatureInvalid},
		{"not canonical", loose.Encode(), testOperators, result.DigestMismatch},
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

// Guards against a signed bundle that is not valid.
func TestVerifySignedValidates(t *testing.T) {
	is := is.New(t)
	b := mustParse(t, "testdata/good/full.jsonc")
	b.Teams[0].Share++
	_, err := VerifySigned(Sign(b, testKey, "amara").Encode(), testOperators)
	var problems Problems
	is.True(errors.As(err, &problems))
	is.Equal(problems.Code(), result.BundleSharesInvalid)
}

// FuzzParse guards against panics, and against a bundle whose canonical form is not valid.
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

// FuzzVerifySigned guards against panics, and against an envelope that is accepted in more than one form.
func FuzzVerifySigned(f *testing.F) {
	valid := Sign(mustParse(f, "testdata/good/full.jsonc"), testKey, "amara").Encode()
	f.Add(valid)
	f.Add([]byte{0xa3, 1, 0x60, 2, 0x40, 3, 0x40})
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := VerifySigned(data, testOperators); err == nil && !bytes.Equal(data, valid) {
			t.Fatal("a second form was accepted")
		}
	})
}

// BenchmarkVerifySigned measures what every entry host does with a new bundle: 510 hosts, 81 pools, 76 teams.
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
	target.Teams[0].Share = totalShares
	data := Sign(target, testKey, "amara").Encode()
	b.ReportMetric(float64(len(data)), "bytes")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := VerifySigned(data, testOperators); err != nil {
			b.Fatal(err)
		}
	}
}
