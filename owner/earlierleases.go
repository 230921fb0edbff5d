package owner

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/clock"
	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/leases"
)

const (
	// fetchLeasesTimeout bounds one request for the leases of the ownership before.
	fetchLeasesTimeout = 500 * time.Millisecond
	fetchLeasesPause   = 200 * time.Millisecond
)

// lastOwnership is what the next ownership can rely on, of this process or of another one that asks for it. It is not changed.
type lastOwnership struct {
	next       uint64                   // generation of the ownership that follows it
	leaseEnds  map[string]time.Duration // by upstream, see schedule.Core.LeaseEnds
	unrecorded map[job.TaskID]string    // see schedule.Core.UnrecordedPlacements
}

// newLastOwnership describes the ownership of a session that has ended.
func newLastOwnership(s *session) *lastOwnership {
	return &lastOwnership{next: s.ownership.Generation + 1, leaseEnds: s.core.LeaseEnds(), unrecorded: s.core.UnrecordedPlacements()}
}

// knownLeaseEnds returns the lease ends of the last ownership if no other one came between; otherwise nil.
func (l *lastOwnership) knownLeaseEnds(generation uint64) map[string]time.Duration {
	if l == nil || l.next != generation {
		return nil
	}
	return l.leaseEnds
}

// leftMS returns for each upstream how much longer the leases there last, rounded up to milliseconds.
func (l *lastOwnership) leftMS() map[string]int64 {
	left, now := make(map[string]int64, len(l.leaseEnds)), clock.Now()
	for id, end := range l.leaseEnds {
		left[id] = max((end - now + time.Millisecond - 1).Milliseconds(), 0)
	}
	return left
}

// ended returns the last ownership of this process. ok is false if there was none, or while it owns the fleet.
func (o *Owner) ended() (last *lastOwnership, ok bool) {
	last = o.last.Load()
	return last, last != nil && !o.owning.Load()
}

// ReportLeases returns the leases of this process's last ownership. ok is false if there was none, or while it owns the fleet.
func (o *Owner) ReportLeases() (report leases.Report, ok bool) {
	last, ok := o.ended()
	if !ok {
		return leases.Report{}, false
	}
	return leases.Report{Generation: last.next - 1, LeftMS: last.leftMS()}, true
}

// ReportOwnership is ReportLeases with the unrecorded starts of the ownership.
func (o *Owner) ReportOwnership() (report leases.OwnershipReport, ok bool) {
	last, ok := o.ended()
	if !ok {
		return leases.OwnershipReport{}, false
	}
	unrecorded := make(map[string]string, len(last.unrecorded))
	for task, upstream := range last.unrecorded {
		unrecorded[task.String()] = upstream
	}
	return leases.OwnershipReport{Generation: last.next - 1, LeftMS: last.leftMS(), Unrecorded: unrecorded}, true
}

// inheritLastOwnership applies what this process knows of the ownership before, if it held that ownership, too.
func (s *session) inheritLastOwnership() {
	last := s.last.Load()
	if last != nil && last.next == s.ownership.Generation {
		s.inheritUnrecorded(last.unrecorded)
	}
}

// inheritUnrecorded applies the unrecorded starts of the ownership before. They are all that matter only if it had taken over none of an
// earlier one, whose witnesses are then still stored.
func (s *session) inheritUnrecorded(placements map[job.TaskID]string) {
	if record := s.ownership.EarlierWitnesses; record == nil || record.Generation+1 != s.ownership.Generation {
		return
	}
	s.earlierPermits.until = 0
	s.core.InheritUnrecorded(placements)
}

// fetchEarlierLeases asks the host that owned the fleet before for the leases that it granted and its unrecorded starts, until it
// answers or the leases have ended in any case.
func (s *session) fetchEarlierLeases(ctx context.Context) {
	for clock.Now() < s.core.InheritedLeaseEnd() && ctx.Err() == nil {
		fetchCtx, cancel := context.WithTimeout(ctx, fetchLeasesTimeout)
		report, err := s.fetchReport(fetchCtx)
		cancel()
		if err == nil && report.Generation+1 == s.ownership.Generation {
			s.post(ctx, func(s *session) { s.handleReport(report) })
			return
		}
		if err == nil || errors.Is(err, leases.ErrUnsupported) {
			return
		}
		clock.Sleep(ctx, fetchLeasesPause)
	}
}

// fetchReport returns the report of the earlier owner's host. A host of an earlier version knows of no unrecorded starts.
func (s *session) fetchReport(ctx context.Context) (leases.OwnershipReport, error) {
	report, err := leases.FetchOwnership(ctx, s.earlier.Address)
	if !errors.Is(err, leases.ErrUnsupported) {
		return report, err
	}
	known, err := leases.Fetch(ctx, s.earlier.Address)
	return leases.OwnershipReport{Generation: known.Generation, LeftMS: known.LeftMS}, err
}

func (s *session) handleReport(report leases.OwnershipReport) {
	s.core.InheritLeases(report.LeftMS)
	placements := make(map[job.TaskID]string, len(report.Unrecorded))
	for text, upstream := range report.Unrecorded {
		task, err := job.ParseTaskID(text)
		if err != nil {
			s.Log("unreadable report of the earlier owner", "task", text, "error", err.Error())
			return
		}
		placements[task] = upstream
	}
	s.inheritUnrecorded(placements)
}
