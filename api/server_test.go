package api

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"context"

	"github.com/gorilla/mux"
	"github.com/matryer/is"

	"citrongauge.example/citrongauge/result"
)

// fakeBackend returns the same code for every submission, status query and cancellation.
type fakeBackend struct{ code result.Code }

func (f fakeBackend) IssueRequestIDs(count int) ([]string, *result.Error) {
	return make([]string, count), nil
}

func (f fakeBackend) Submit(context.Context, string, string, Submission, bool) Answer {
	return AnswerFromError(result.Errorf(f.code, ""))
}

func (f fakeBackend) Status(context.Context, string, string, bool) Answer {
	return AnswerFromError(result.Errorf(f.code, ""))
}

func (f fakeBackend) Cancel(context.Context, string, string) Answer {
	return AnswerFromError(result.Errorf(f.code, ""))
}

func submit(code result.Code, body string) *httptest.ResponseRecorder {
	const maxBodyBytes = 1000
	router := mux.NewRouter()
	Register(router, fakeBackend{code}, maxBodyBytes)
	recorder := httptest.NewRecorder()
	router.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/queues/q/tasks", strings.NewReader(body)))
	return recorder
}

// Guards against accepting an invalid submission or rejecting it with the wrong code, and against rejecting a valid
// one.
func TestInvalidSubmissions(t *testing.T) {
	is := is.New(t)
	for body, code := range map[string]result.Code{
		``:                                    result.RequestMalformed,
		`{"slots": "two"}`:                    result.RequestMalformed,
		`{"slots": -1}`:                       result.RequestMalformed,
		`{"surprise": 1}`:                     result.RequestMalformed,
		`{"slots": 1, "SLOTS": 2}`:            result.RequestMalformed,
		`{} {}`:                               result.RequestMalformed,
		strings.Repeat(`[`, 100):              result.RequestMalformed,
		`{"deadline_ms": -1}`:                 result.DeadlineInvalid,
		`"` + strings.Repeat("x", 2000) + `"`: result.RequestTooLarge,
		`{"payload": "YQ=="}`:                 result.OK,
	} {
		var a Answer
		is.NoErr(json.Unmarshal(submit(result.OK, body).Body.Bytes(), &a))
		is.Equal(a.Code, code)
	}
}

// Guards against work that runs twice because a load balancer retries the request: no code of work that may have run
// may map to an HTTP status on which load balancers retry.
func TestLoadBalancersDoNotRetryWorkThatMayHaveRun(t *testing.T) {
	for _, info := range result.All() {
		status := submit(info.Code, `{}`).Code
		retried := status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
		if retried && info.Run != result.RunNo && info.Run != result.RunNotApplicable {
			t.Errorf("code %d, work run %q: status %d", info.Code, info.Run, status)
		}
	}
}

// FuzzParseSubmission checks that no input causes a panic and that the numbers of an accepted submission are in range.
func FuzzParseSubmission(f *testing.F) {
	f.Add([]byte(`{"payload": "YQ==", "slots": 2, "idempotent": true}`))
	f.Add([]byte(`[[[[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := ParseSubmission(data)
		if err == nil && (s.Slots < 1 || s.DeadlineMS < 0 || s.RunMS < 0) {
			t.Fatalf("accepted %+v", s)
		}
	})
}
