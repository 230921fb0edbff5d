package admin

import (
	"context"
	"net/http"
	"testing"

	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/result"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// TestClearDepartedChecks verifies that a clear request is rejected if the operator has not confirmed each host, and
// that a single host that is not on the departed list causes the whole request to be rejected.
func TestClearDepartedChecks(t *testing.T) {
	record := &control.Record{
		Roster:   []control.Member{{ID: "e1", Zone: "z"}},
		Departed: []control.Member{{ID: "e8", Zone: "z"}, {ID: "e9", Zone: "z"}},
	}
	ids := func(list ...string) []string { return list }
	tests := []struct {
		name    string
		request ClearDepartedRequest
		code    result.Code
	}{
		{"departed", ClearDepartedRequest{ids("e8"), ids("e8"), "rack burnt"}, 0},
		{"other order", ClearDepartedRequest{ids("e8", "e9"), ids("e9", "e8"), "rack burnt"}, 0},
		{"no host", ClearDepartedRequest{nil, nil, "r"}, result.AdminMalformed},
		{"no reason", ClearDepartedRequest{ids("e8"), ids("e8"), " "}, result.AdminMalformed},
		{"not confirmed", ClearDepartedRequest{ids("e8"), nil, "r"}, result.AdminMalformed},
		{"confirmed in part", ClearDepartedRequest{ids("e8", "e9"), ids("e8"), "r"}, result.AdminMalformed},
		{"other host confirmed", ClearDepartedRequest{ids("e8"), ids("e9"), "r"}, result.AdminMalformed},
		{"named twice", ClearDepartedRequest{ids("e8", "e8"), ids("e8", "e8"), "r"}, result.AdminMalformed},
		{"member", ClearDepartedRequest{ids("e1"), ids("e1"), "r"}, result.AdminNotFound},
		{"unknown", ClearDepartedRequest{ids("e7"), ids("e7"), "r"}, result.AdminNotFound},
		{"one of two is a member", ClearDepartedRequest{ids("e8", "e1"), ids("e8", "e1"), "r"}, result.AdminNotFound},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			backend := &fakeBackend{}
			backend.clearDeparted = func() error { return CheckDeparted(record, test.request.Hosts) }
			report, err := newClient(t, serve(t, backend)).ClearDeparted(context.Background(), test.request)
			is.Equal(codeOf(err), test.code)
			is.Equal(len(backend.calls) == 0, test.code == result.AdminMalformed)
			if test.code == 0 {
				is.Equal(report, ClearDepartedReport{Cleared: test.request.Hosts, Revision: 9})
				is.Equal(backend.calls, []string{"clear by amara: rack burnt"})
			}
		})
	}
}

// TestClearDepartedAfterUnknownOutcome checks that an unsigned request is rejected, and that the client does not try a
// second host if the first one may have committed the request. The second host would report the cleared hosts as
// unknown.
func TestClearDepartedAfterUnknownOutcome(t *testing.T) {
	tests := []struct {
		name   string
		first  error
		code   result.Code
		second int // expected number of calls of the second host
	}{
		{"store down", result.Errorf(result.StoreUnavailable, ""), 0, 1},
		{"unresolved", result.Errorf(result.RolloutUnresolved, ""), result.RolloutUnresolved, 0},
		{"no code", errors.New("x"), result.RolloutUnresolved, 0},
		{"lost response", errConnectionClosed, result.RolloutUnresolved, 0},
		{"rejected", result.Errorf(result.AdminNotFound, ""), result.AdminNotFound, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			first, second := &fakeBackend{}, &fakeBackend{clearDeparted: func() error { return nil }}
			first.clearDeparted = func() error {
				if errors.Is(test.first, errConnectionClosed) {
					panic(http.ErrAbortHandler) // closes the connection without a response
				}
				return test.first
			}
			host := serve(t, first)
			response, err := http.Post("http://"+host+pathPrefix+clearDepartedPath, "application/json", nil)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.Equal(response.StatusCode, http.StatusUnauthorized)
			request := ClearDepartedRequest{Hosts: []string{"e8"}, Confirm: []string{"e8"}, Reason: "r"}
			_, err = newClient(t, host, serve(t, second)).ClearDeparted(context.Background(), request)
			is.Equal(codeOf(err), test.code)
			fakeMu.Lock()
			defer fakeMu.Unlock()
			is.Equal(len(first.calls), 1)
			is.Equal(len(second.calls), test.second)
		})
	}
}
