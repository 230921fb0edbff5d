package owner

import (
	"context"
	"time"

	"citrongauge.example/citrongauge/clock"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

const (
	// reclaimDelay is how long another host that has seen the store fail waits before it claims the fleet, so that its owner can reclaim it.
	reclaimDelay = 400 * time.Millisecond
	// recentTrouble is how long ago it may have seen that. A silent store fails a call of each host within this time.
	recentTrouble = 3 * time.Second
)

// leaveTimeForReclaim waits before a claim if the store has just failed and another process was the owner, as item, the owner's, shows.
func (o *Owner) leaveTimeForReclaim(ctx context.Context, item platform.Item) {
	last := o.predecessor.record
	if !o.usesWitnesses() || item.Revision != 0 || !o.predecessor.seen || last.Process == o.Process ||
		!o.storeHealth.hadTrouble(clock.Now()-recentTrouble) || o.hadTimeToRenew() {
		return
	}
	o.Log("claim delayed for a reclaim", "owner", last.Host, "generation", last.Generation)
	clock.Sleep(ctx, reclaimDelay)
}

// hadTimeToRenew reports whether the owner's key has expired although it existed for reclaimDelay after the trouble that this host has
// seen: its owner could have renewed the lease.
func (o *Owner) hadTimeToRenew() bool {
	p := o.predecessor
	return p.seenAt > 0 && p.endedAt >= p.seenAt+reclaimDelay && !o.storeHealth.hadTrouble(p.seenAt)
}

// leasesEnd returns the latest end of the leases that may be granted on upstreams now.
func (s *session) leasesEnd() time.Duration {
	end := s.lease.renewedAt() + upstreamLease + s.leaseBeyondRenewal()
	if s.permits.valid() {
		end = max(end, time.Duration(s.permits.until.Load())+upstreamLease)
	}
	return end
}

// rightTo returns the check that a call may be made. It is made again immediately before the call, since the process may have been paused.
func (s *session) rightTo(call schedule.Call) func() bool {
	switch call := call.(type) {
	case schedule.Upkeep, schedule.Move:
		return s.lease.valid
	case schedule.Start:
		if call.Unrecorded {
			return s.permits.valid // the lease alone permits no unrecorded start
		}
	}
	return s.mayAct
}

// minRetryAge is the age below which a write is not sent again although a later renewal was answered.
const minRetryAge = 50 * time.Millisecond

// noteRenewal sends writes again that wait for much longer than a renewal has taken that was sent after them: their connections may
// have fallen silent. Watches that may wait on such connections begin anew.
func (s *session) noteRenewal(sent, took time.Duration, isOvertaken bool) {
	s.ownership.RetryBefore(min(sent, clock.Now()-3*took-minRetryAge))
	if isOvertaken {
		s.watches.restart(sent)
	}
}
