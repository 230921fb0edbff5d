package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/result"

	"github.com/go-faster/errors"
)

const clearPath = "/entry-hosts/clear"

// ClearRequest takes evicted entry hosts off the departed list. Nothing verifies that they run no more: a host that
// does run may start work under an old bundle, and its grants are given to others, so that teams exceed their caps.
type ClearRequest struct {
	Hosts []string `json:"hosts"`
	// Confirm repeats Hosts, in any order.
	Confirm []string `json:"confirm"`
	Reason  string   `json:"reason"`
}

// ClearReport is the outcome of a ClearRequest.
type ClearReport struct {
	Cleared []string `json:"cleared"`
	// Revision is the control record's revision without the hosts.
	Revision uint64 `json:"revision"`
}

// Check refuses a request that is incomplete or not confirmed.
func (r ClearRequest) Check() error {
	hosts := slices.Sorted(slices.Values(r.Hosts))
	switch {
	case len(hosts) == 0:
		return result.Errorf(result.AdminMalformed, "no entry host is named")
	case len(slices.Compact(slices.Clone(hosts))) != len(hosts):
		return result.Errorf(result.AdminMalformed, "an entry host is named twice")
	case strings.TrimSpace(r.Reason) == "":
		return result.Errorf(result.AdminMalformed, "a reason is needed")
	case !slices.Equal(hosts, slices.Sorted(slices.Values(r.Confirm))):
		return result.Errorf(result.AdminMalformed, "the confirmation names other entry hosts")
	}
	return nil
}

// CheckDeparted refuses IDs that are not on the record's departed list. One such ID refuses all.
func CheckDeparted(r *control.Record, ids []string) error {
	for _, id := range ids {
		if slices.ContainsFunc(r.Departed, func(m control.Member) bool { return m.ID == id }) {
			continue
		}
		if _, isMember := r.Member(id); isMember {
			return result.Errorf(result.AdminNotFound, "entry host %q is still in the roster and not on the departed list", id)
		}
		return result.Errorf(result.AdminNotFound, "entry host %q is not on the departed list", id)
	}
	return nil
}

func (h *handler) clear(c call) (any, error) {
	var request ClearRequest
	if err := json.Unmarshal(c.body, &request); err != nil {
		return nil, result.Errorf(result.AdminMalformed, "%v", err)
	}
	if err := request.Check(); err != nil {
		return nil, err
	}
	report, err := h.backend.ClearDeparted(c.ctx, request)
	if err != nil {
		return nil, coded(err, result.RolloutUnresolved)
	}
	return report, nil
}

// ClearDeparted sends the request to the first host that takes it. After an answer that leaves open whether it was
// committed the error has code 5105 and no other host is asked.
func (c *Client) ClearDeparted(ctx context.Context, request ClearRequest) (ClearReport, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return ClearReport{}, errors.Wrap(err, "encode the request")
	}
	var last error
	for _, host := range c.Hosts {
		report, sent, err := c.sendClear(ctx, host, body)
		if err == nil || isFinal(err) {
			return report, err
		}
		if sent {
			return report, result.Errorf(result.RolloutUnresolved, "%s: %v; the status shows the departed list", host, err)
		}
		last = err
	}
	return ClearReport{}, errors.Wrap(last, ErrNoAnswer.Error())
}

// sendClear sends a request to one host. sent is as for sendRollout.
func (c *Client) sendClear(ctx context.Context, host string, body []byte) (report ClearReport, sent bool, err error) {
	hello, err := c.Hello(ctx, host)
	if err != nil {
		return report, false, err
	}
	text, err := c.call(ctx, host, hello.HostID, http.MethodPost, clearPath, body)
	if err != nil {
		return report, !hasCode(err, result.StoreUnavailable, result.AdminUnauthenticated), err
	}
	report, err = decode[ClearReport](text)
	return report, err != nil, err
}
