package owner

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/clock"
	"citrongauge.example/citrongauge/leases"
)

const (
	// fetchLeasesTimeout bounds one request for the leases of the ownership before.
	fetchLeasesTimeout = 500 * time.Millisecond
	fetchLeasesPause   = 200 * time.Millisecond
)

// ReportLeases returns the leases of this process's last ownership. ok is false if there was none, or while it owns the fleet.
func (o *Owner) ReportLeases() (report leases.Report, ok bool) {
	last := o.last.Load()
	if last == nil || o.owning.Load() {
		return leases.Report{}, false
	}
	report = leases.Report{Generation: last.next - 1, LeftMS: make(map[string]int64, len(last.leaseEnds))}
	now := clock.Now()
	for id, end := range last.leaseEnds {
		report.LeftMS[id] = max((end - now + time.Millisecond - 1).Milliseconds(), 0)
	}
	return report, true
}

// fetchEarlierLeases asks the host that owned the fleet before for the leases that it granted, until it answers or they
// have ended in any case.
func (s *session) fetchEarlierLeases(ctx context.Context) {
	for clock.Now() < s.core.InheritedLeaseEnd() && ctx.Err() == nil {
		fetchCtx, cancel := context.WithTimeout(ctx, fetchLeasesTimeout)
		report, err := leases.Fetch(fetchCtx, s.earlier.Address)
		cancel()
		if err == nil && report.Generation+1 == s.ownership.Generation {
			s.post(ctx, func(s *session) { s.core.InheritLeases(report.LeftMS) })
			return
		}
		if err == nil || errors.Is(err, leases.ErrUnsupported) {
			return
		}
		clock.Sleep(ctx, fetchLeasesPause)
	}
}
