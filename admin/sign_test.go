package admin

import (
	"bytes"
	"crypto/ed25519"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"citrongauge.example/citrongauge/result"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

var (
	testKey       = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{1}, ed25519.SeedSize))
	otherKey      = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{2}, ed25519.SeedSize))
	testOperators = map[string]ed25519.PublicKey{"amara": testKey.Public().(ed25519.PublicKey)}
	testNow       = time.Unix(1_800_000_000, 0)
)

func newVerifier(hostID string, now *time.Time) *Verifier {
	return &Verifier{
		HostID:    func() string { return hostID },
		Operators: testOperators,
		Now:       func() time.Time { return *now },
	}
}

func newRequest(body string) *http.Request {
	return httptest.NewRequest(http.MethodPost, "/admin/v1/rollouts?x=1", bytes.NewReader([]byte(body)))
}

func codeOf(err error) result.Code {
	var coded *result.Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return 0
}

// TestVerify checks that Verify rejects requests that were altered, replayed, sent to another host, signed with another
// key, expired or malformed.
func TestVerify(t *testing.T) {
	set := func(header, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(header, value) }
	}
	unchanged := func(*http.Request) {}
	tests := []struct {
		name  string
		key   ed25519.PrivateKey
		host  string
		age   time.Duration
		alter func(*http.Request)
		body  string
		code  result.Code
	}{
		{"good", testKey, "h1", 0, unchanged, "body", 0},
		{"just in time", testKey, "h1", 30 * time.Second, unchanged, "body", 0},
		{"wrong host", testKey, "h2", 0, unchanged, "body", 5201},
		{"wrong key", otherKey, "h1", 0, unchanged, "body", 5201},
		{"altered body", testKey, "h1", 0, unchanged, "Body", 5201},
		{"altered path", testKey, "h1", 0, func(r *http.Request) { r.URL.Path = "/admin/v1/status" }, "body", 5201},
		{"altered query", testKey, "h1", 0, func(r *http.Request) { r.URL.RawQuery = "x=2" }, "body", 5201},
		{"altered method", testKey, "h1", 0, func(r *http.Request) { r.Method = http.MethodPut }, "body", 5201},
		{"altered time", testKey, "h1", time.Minute, set(headerTime, "1800000000000"), "body", 5201},
		{"altered nonce", testKey, "h1", 0, set(headerNonce, "AAAAAAAAAAAAAAAAAAAAAA"), "body", 5201},
		{"unknown operator", testKey, "h1", 0, set(headerOperator, "bo"), "body", 5201},
		{"no operator", testKey, "h1", 0, set(headerOperator, ""), "body", 5201},
		{"no signature", testKey, "h1", 0, set(headerSignature, ""), "body", 5201},
		{"old", testKey, "h1", 30*time.Second + time.Millisecond, unchanged, "body", 5202},
		{"from the future", testKey, "h1", -30*time.Second - time.Millisecond, unchanged, "body", 5202},
		{"malformed time", testKey, "h1", 0, set(headerTime, "now"), "body", 5203},
		{"malformed nonce", testKey, "h1", 0, set(headerNonce, "x"), "body", 5203},
		{"malformed signature", testKey, "h1", 0, set(headerSignature, "x"), "body", 5203},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			now := testNow
			verifier := newVerifier("h1", &now)
			r := newRequest("body")
			SignRequest(r, []byte("body"), test.key, "amara", test.host, now.Add(-test.age))
			test.alter(r)
			operator, err := verifier.Verify(r, []byte(test.body))
			is.Equal(codeOf(err), test.code)
			if test.code == 0 {
				is.Equal(operator, "amara")
				_, err = verifier.Verify(r, []byte(test.body))
				is.Equal(codeOf(err), result.AdminReplayed) // the same request again
			}
		})
	}
}

// TestReplayAfterNoncesAreDropped checks that requests are rejected while the memory for nonces is full, and that a
// request whose nonce was dropped cannot be replayed after the host's clock is set back.
func TestReplayAfterNoncesAreDropped(t *testing.T) {
	is := is.New(t)
	now := testNow
	verifier := newVerifier("h1", &now)
	first := newRequest("")
	SignRequest(first, nil, testKey, "amara", "h1", now)
	_, err := verifier.Verify(first, nil)
	is.NoErr(err)
	for i := 1; i < MaxNonces; i++ { // fill the memory without computing signatures
		verifier.nonces[string(rune(i))] = now.UnixMilli()
	}
	full := newRequest("")
	SignRequest(full, nil, testKey, "amara", "h1", now)
	_, err = verifier.Verify(full, nil)
	is.Equal(codeOf(err), result.AdminReplayed)

	now = now.Add(time.Minute)
	later := newRequest("")
	SignRequest(later, nil, testKey, "amara", "h1", now)
	_, err = verifier.Verify(later, nil)
	is.NoErr(err)
	is.Equal(len(verifier.nonces), 1)

	now = testNow
	_, err = verifier.Verify(first, nil)
	is.Equal(codeOf(err), result.AdminReplayed)
}
