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

const clearDepartedPath = "/entry-hosts/clear"

// ClearDepartedRequest removes evicted entry hosts from the departed list. The system does not verify that these hosts
// have stopped. A host that is still running may start work under an old bundle, and because its grants are then given
// to other hosts, teams may exceed their caps.
type ClearDepartedRequest struct {
	Hosts []string `json:"hosts"`
	// Confirm repeats the IDs in Hosts, in any order.
	Confirm []string `json:"confirm"`
	Reason  string   `json:"reason"`
}

// ClearDepartedReport is the result of a ClearDepartedRequest.
type ClearDepartedReport struct {
	Cleared []string `json:"cleared"`
	// Revision is the revision of the control record from which the hosts have been removed.
	Revision uint64 `json:"revision"`
}

// Check returns an error if the request is incomplete, contains duplicates or is not confirmed.
func (r ClearDepartedRequest) Check() error {
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

// CheckDeparted returns an error if any of the IDs is not on the departed list of the record.
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

func (h *handler) clearDeparted(r verifiedRequest) (any, error) {
	var request ClearDepartedRequest
	if err := json.Unmarshal(r.body, &request); err != nil {
		return nil, result.Errorf(result.AdminMalformed, "%v", err)
	}
	if err := request.Check(); err != nil {
		return nil, err
	}
	report, err := h.backend.ClearDeparted(r.ctx, request)
	if err != nil {
		return nil, withDefaultCode(err, result.RolloutUnresolved)
	}
	return report, nil
}

// ClearDeparted sends the request to the entry hosts in turn until one accepts it. If it is unknown whether a host has
// committed the request, ClearDeparted does not try another host and returns an error with code RolloutUnresolved.
func (c *Client) ClearDeparted(ctx context.Context, request ClearDepartedRequest) (ClearDepartedReport, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return ClearDepartedReport{}, errors.Wrap(err, "encode the request")
	}
	var lastErr error
	for _, host := range c.Hosts {
		report, maybeCommitted, err := c.sendClearDeparted(ctx, host, body)
		if err == nil || isFinal(err) {
			return report, err
		}
		if maybeCommitted {
			return report, result.Errorf(result.RolloutUnresolved, "%s: %v; the status shows the departed list", host, err)
		}
		lastErr = err
	}
	return ClearDepartedReport{}, errors.Wrap(lastErr, ErrNoResponse.Error())
}

// sendClearDeparted sends the request to one host. maybeCommitted has the same meaning as for sendRollout.
func (c *Client) sendClearDeparted(ctx context.Context, host string, body []byte) (report ClearDepartedReport, maybeCommitted bool, err error) {
	hello, err := c.Hello(ctx, host)
	if err != nil {
		return report, false, err
	}
	text, err := c.call(ctx, host, hello.HostID, http.MethodPost, clearDepartedPath, body)
	if err != nil {
		return report, !hasCode(err, result.StoreUnavailable, result.AdminUnauthenticated), err
	}
	report, err = decodeJSON[ClearDepartedReport](text)
	return report, err != nil, err
}
