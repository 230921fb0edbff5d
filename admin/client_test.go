package admin

import (
	"bytes"
	"context"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/result"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// fakeMu protects the state of all fake backends, which may share their committed versions. It is needed because a
// connection that is closed without a response does not order the handlers of two requests.
var fakeMu sync.Mutex

// fakeBackend records calls and the digests of committed versions.
type fakeBackend struct {
	calls         []string
	committed     map[uint64]string
	rollout       func(version uint64, digest string) error
	clearDeparted func() error
}

func (f *fakeBackend) Status(ctx context.Context) StatusReport {
	fakeMu.Lock()
	defer fakeMu.Unlock()
	f.calls = append(f.calls, "status by "+OperatorFromContext(ctx))
	return StatusReport{HostID: "h1", BundleVersion: 7}
}

func (f *fakeBackend) Bundle(_ context.Context, version uint64) ([]byte, error) {
	if version == 0 {
		return []byte{1, 2, 3}, nil
	}
	return nil, result.Errorf(result.AdminNotFound, "version %d", version)
}

func (f *fakeBackend) Rollout(_ context.Context, signed []byte) (RolloutReport, error) {
	fakeMu.Lock()
	defer fakeMu.Unlock()
	f.calls = append(f.calls, "rollout")
	b, err := bundle.VerifySigned(signed, testOperators)
	if err != nil {
		return RolloutReport{}, err
	}
	digest := b.Digest()
	if err := f.rollout(b.Version, hex.EncodeToString(digest[:])); err != nil {
		return RolloutReport{}, err
	}
	return f.progress(b.Version), nil
}

func (f *fakeBackend) RolloutProgress(_ context.Context, version uint64) RolloutReport {
	fakeMu.Lock()
	defer fakeMu.Unlock()
	return f.progress(version)
}

func (f *fakeBackend) progress(version uint64) RolloutReport {
	f.calls = append(f.calls, "progress")
	digest, ok := f.committed[version]
	return RolloutReport{Version: version, Digest: digest, Committed: ok}
}

func (f *fakeBackend) ClearDeparted(ctx context.Context, request ClearDepartedRequest) (ClearDepartedReport, error) {
	fakeMu.Lock()
	defer fakeMu.Unlock()
	f.calls = append(f.calls, "clear by "+OperatorFromContext(ctx)+": "+request.Reason)
	return ClearDepartedReport{Cleared: request.Hosts, Revision: 9}, f.clearDeparted()
}

func (f *fakeBackend) Assignments(context.Context) []AssignmentReport { return nil }

func (f *fakeBackend) Explain(_ context.Context, kind, name string) Explanation {
	return Explanation{Kind: kind, Name: name, Found: name == "u-01"}
}

// serve starts a server of the admin API with the backend and returns its address.
func serve(t *testing.T, backend Backend) string {
	server := httptest.NewServer(NewHandler(backend, &Verifier{HostID: t.Name, Operators: testOperators, Now: time.Now}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func newClient(t *testing.T, hosts ...string) *Client {
	t.Helper()
	client, err := NewClient(hosts, "amara", testKey)
	if err != nil {
		t.Fatal(err)
	}
	return client
}

func testBundle(t *testing.T) *bundle.Bundle {
	t.Helper()
	text := `{"version": 1, "author": "a", "reason": "r", "availability_zones": [{"name": "z"}], "queues": [],
		"hosts": [{"id": "u", "address": "127.0.0.1:7001", "zone": "z", "rack": "r", "capacity": {"slots": 1}}],
		"pools": [{"name": "p", "hosts": ["u"], "budget": {"max_unavailable": 0}}],
		"teams": [{"name": "t", "share_permille": 1000, "cap_slots": 4}]}`
	b, problems := bundle.Parse("test", []byte(text))
	if err := problems.Err(); err != nil {
		t.Fatal(err)
	}
	return b
}

// TestClientCalls checks that unsigned requests are rejected, and that the client decodes the responses and error codes
// correctly.
func TestClientCalls(t *testing.T) {
	is := is.New(t)
	backend := &fakeBackend{}
	host := serve(t, backend)
	ctx := context.Background()
	for _, path := range []string{"/status", "/assignments", "/bundles/0", "/rollouts/1", "/explain/host/u-01"} {
		response, err := http.Get("http://" + host + pathPrefix + path)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, http.StatusUnauthorized)
	}
	is.Equal(len(backend.calls), 0)

	client := newClient(t, "127.0.0.1:1", host) // no server listens on the first address
	status, err := client.Status(ctx)
	is.NoErr(err)
	is.Equal(status.BundleVersion, uint64(7))
	is.Equal(backend.calls, []string{"status by amara"})
	signed, err := client.Bundle(ctx, 0)
	is.NoErr(err)
	is.Equal(signed, []byte{1, 2, 3})
	_, err = client.Bundle(ctx, 3)
	is.Equal(codeOf(err), result.AdminNotFound)
	_, err = client.Explain(ctx, "host", "u/2")
	is.Equal(codeOf(err), result.AdminNotFound)
	explanation, err := client.Explain(ctx, "host", "u-01")
	is.NoErr(err)
	is.True(explanation.Found)
	_, err = newClient(t, "127.0.0.1:1").Status(ctx)
	is.True(errors.Is(err, ErrNoResponse))
	_, err = NewClient([]string{"localhost:80"}, "amara", testKey)
	is.True(err != nil) // a host name would need DNS
}

// TestOversizedBody checks that a request with a body above the size limit is rejected.
func TestOversizedBody(t *testing.T) {
	is := is.New(t)
	backend := &fakeBackend{}
	host := serve(t, backend)
	body := make([]byte, maxBodyBytes+1)
	r, _ := http.NewRequest(http.MethodPost, "http://"+host+pathPrefix+"/rollouts", bytes.NewReader(body))
	SignRequest(r, body, testKey, "amara", t.Name(), time.Now())
	w := httptest.NewRecorder()
	NewHandler(backend, &Verifier{HostID: t.Name, Operators: testOperators, Now: time.Now}).ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusBadRequest)
	is.Equal(len(backend.calls), 0)
}

var errConnectionClosed = errors.New("the connection was closed without a response")

// TestRolloutAfterUnknownOutcome checks that, if the outcome of a rollout is unknown, the client does not send it to a
// second host that knows it as committed, and does not mistake another operator's commit of the same version for its
// own.
func TestRolloutAfterUnknownOutcome(t *testing.T) {
	b := testBundle(t)
	unresolved := result.Errorf(result.RolloutUnresolved, "")
	conflict := result.Errorf(result.RolloutConflict, "")
	tests := []struct {
		name      string
		committed string // by the first host before it responds: "", "own" or "other"
		lag       bool   // the second host does not know the commit yet
		first     error
		second    error
		code      result.Code
		calls     []string // expected calls of the second host
	}{
		{"committed", "own", false, unresolved, nil, 0, []string{"progress"}},
		{"lost response, committed", "own", false, errConnectionClosed, nil, 0, []string{"progress"}},
		{"not committed", "", false, unresolved, nil, 0, []string{"progress", "rollout", "progress"}},
		{"other content", "other", false, unresolved, nil, result.RolloutConflict, []string{"progress"}},
		{"committed, second lags", "own", true, unresolved, conflict, 0, []string{"progress", "rollout"}},
		{"store down", "", false, result.Errorf(result.StoreUnavailable, ""), nil, 0, []string{"rollout", "progress"}},
		{"both outcomes unknown", "", false, unresolved, unresolved, result.RolloutUnresolved, []string{"progress", "rollout", "progress"}},
		{"rejected", "", false, conflict, nil, result.RolloutConflict, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			first := &fakeBackend{committed: map[uint64]string{}}
			second := &fakeBackend{committed: map[uint64]string{}}
			if !test.lag {
				second.committed = first.committed
			}
			first.rollout = func(version uint64, digest string) error {
				switch test.committed {
				case "own":
					first.committed[version] = digest
				case "other":
					first.committed[version] = "00"
				}
				if errors.Is(test.first, errConnectionClosed) {
					panic(http.ErrAbortHandler) // closes the connection without a response
				}
				return test.first
			}
			second.rollout = func(version uint64, digest string) error {
				if test.second == nil {
					second.committed[version] = digest
				}
				return test.second
			}
			client := newClient(t, serve(t, first), serve(t, second))
			report, err := client.Rollout(context.Background(), bundle.Sign(b, testKey, "amara"), b)
			is.Equal(codeOf(err), test.code)
			is.Equal(report.Committed && err == nil, test.code == 0)
			is.Equal(second.calls, test.calls)
		})
	}
}

// TestRolloutProblems checks that the client returns the list of problems of a rejected bundle.
func TestRolloutProblems(t *testing.T) {
	is := is.New(t)
	b := testBundle(t)
	b.Teams[0].Share = 1
	host := serve(t, &fakeBackend{})
	_, err := newClient(t, host).Rollout(context.Background(), bundle.Sign(b, testKey, "amara"), b)
	var problems bundle.Problems
	is.True(errors.As(err, &problems))
	is.Equal(problems[0].Path, "teams")
}
