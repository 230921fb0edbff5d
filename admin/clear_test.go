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

// Guards against clearing hosts that the operator did not name twice, and against one ID of several being let through.
func TestClearChecks(t *testing.T) {
	record := &control.Record{
		Roster:   []control.Member{{ID: "e1", Zone: "z"}},
		Departed: []control.Member{{ID: "e8", Zone: "z"}, {ID: "e9", Zone: "z"}},
	}
	ids := func(list ...string) []string { return list }
	tests := []struct {
		name    string
		request ClearRequest
		code    result.Code
	}{
		{"departed", ClearRequest{ids("e8"), ids("e8"), "rack burnt"}, 0},
		{"other order", ClearRequest{ids("e8", "e9"), ids("e9", "e8"), "rack burnt"}, 0},
		{"no host", ClearRequest{nil, nil, "r"}, result.AdminMalformed},
		{"no reason", ClearRequest{ids("e8"), ids("e8"), " "}, result.AdminMalformed},
		{"not confirmed", ClearRequest{ids("e8"), nil, "r"}, result.AdminMalformed},
		{"confirmed in part", ClearRequest{ids("e8", "e9"), ids("e8"), "r"}, result.AdminMalformed},
		{"other host confirmed", ClearRequest{ids("e8"), ids("e9"), "r"}, result.AdminMalformed},
		{"named twice", ClearRequest{ids("e8", "e8"), ids("e8", "e8"), "r"}, result.AdminMalformed},
		{"member", ClearRequest{ids("e1"), ids("e1"), "r"}, result.AdminNotFound},
		{"unknown", ClearRequest{ids("e7"), ids("e7"), "r"}, result.AdminNotFound},
		{"one of two is a member", ClearRequest{ids("e8", "e1"), ids("e8", "e1"), "r"}, result.AdminNotFound},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			backend := &fakeBackend{}
			backend.clear = func() error { return CheckDeparted(record, test.request.Hosts) }
			report, err := newClient(t, serve(t, backend)).ClearDeparted(context.Background(), test.request)
			is.Equal(codeOf(err), test.code)
			is.Equal(len(backend.calls) == 0, test.code == result.AdminMalformed)
			if test.code == 0 {
				is.Equal(report, ClearReport{Cleared: test.request.Hosts, Revision: 9})
				is.Equal(backend.calls, []string{"clear by amara: rack burnt"})
			}
		})
	}
}

// Guards against a request that works without a signature, and against a second host being asked although the first
// one may have committed it: that one would report the hosts as unknown.
func TestClearAfterUnclearAnswer(t *testing.T) {
	tests := []struct {
		name   string
		first  error
		code   result.Code
		second int // calls
	}{
		{"store down", result.Errorf(result.StoreUnavailable, ""), 0, 1},
		{"unresolved", result.Errorf(result.RolloutUnresolved, ""), result.RolloutUnresolved, 0},
		{"no code", errors.New("x"), result.RolloutUnresolved, 0},
		{"lost answer", errLost, result.RolloutUnresolved, 0},
		{"refused", result.Errorf(result.AdminNotFound, ""), result.AdminNotFound, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			first, second := &fakeBackend{}, &fakeBackend{clear: func() error { return nil }}
			first.clear = func() error {
				if errors.Is(test.first, errLost) {
					panic(http.ErrAbortHandler) // closes the connection
				}
				return test.first
			}
			host := serve(t, first)
			response, err := http.Post("http://"+host+pathPrefix+clearPath, "application/json", nil)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.Equal(response.StatusCode, http.StatusUnauthorized)
			request := ClearRequest{Hosts: []string{"e8"}, Confirm: []string{"e8"}, Reason: "r"}
			_, err = newClient(t, host, serve(t, second)).ClearDeparted(context.Background(), request)
			is.Equal(codeOf(err), test.code)
			fakeMu.Lock()
			defer fakeMu.Unlock()
			is.Equal(len(first.calls), 1)
			is.Equal(len(second.calls), test.second)
		})
	}
}
