package daemon

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/admin"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/result"
)

// clearTimeout is longer than control.WriteTimeout, after which the control core reports a result in any case.
const clearTimeout = control.WriteTimeout + time.Second

// ClearDeparted implements admin.Backend.
func (b adminBackend) ClearDeparted(ctx context.Context, request admin.ClearDepartedRequest) (admin.ClearDepartedReport, error) {
	logger := b.d.log.With("component", "admin", "operator", admin.OperatorFromContext(ctx), "hosts", request.Hosts, "reason", request.Reason)
	logger.Warn("clearing of departed entry hosts requested")
	revision, err := b.d.inc.Load().clearDeparted(ctx, request.Hosts)
	if err != nil {
		logger.Warn("clearing departed entry hosts failed", "err", err)
		return admin.ClearDepartedReport{}, err
	}
	logger.Warn("departed entry hosts cleared", "revision", revision)
	return admin.ClearDepartedReport{Cleared: request.Hosts, Revision: revision}, nil
}

func (inc *incarnation) clearDeparted(ctx context.Context, ids []string) (uint64, error) {
	s := inc.loop.state.Load()
	if s == nil {
		return 0, result.Errorf(result.AdminNotFound, "this entry host holds no control record")
	}
	if err := admin.CheckDeparted(s.record, ids); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, clearTimeout)
	defer cancel()
	id := newNonce()
	revision, err := inc.write(ctx, id, control.ClearDeparted{ID: id, Hosts: ids})
	if errors.Is(err, errOutcomeUnknown) {
		return 0, result.Errorf(result.RolloutUnresolved, "clearing of %v", ids)
	}
	return revision, err
}
