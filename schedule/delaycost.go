package schedule

import "time"

// What delay costs a caller, and what the room that a job takes would save others. docs/design/too-little-room.md has the reasons.
//
// Load patterns: a short burst, a turn of demand or a lasting overload, in which the upstreams don't suffice for all that waits.

const (
	// lateValue is what a job is worth to its caller that ends after its objective, but within tooLateFactor objectives, as a fraction of
	// what it is worth on time.
	lateValue = 0.1
	// durationSpread is by how much a chain of steps may take longer than expected, as a fraction of the chain: the slowest of several
	// tasks takes about one and a half times as long as their mean, and starts and ends take their time.
	durationSpread = 0.75
	// begunWorth is by how much more the rest of a job is worth that has begun: what it has used is lost if others go first. In
	// simulations of a lasting overload 2 gives too many of them up, 8 delays short jobs in a short burst.
	begunWorth = 4
)

// likelihoodInTime returns how likely it is that work which needs a time ends before its limit: from 0 if it is expected to end just
// then to 1 if durationSpread is left. Both are durations from now.
func likelihoodInTime(limit, needed time.Duration) float64 {
	spread := durationSpread * float64(max(needed, time.Millisecond))
	return min(max(float64(limit-needed)/spread, 0), 1)
}

// prospect is when a part's occurrence is expected to end.
type prospect struct {
	timeliness int
	limit      time.Duration // from now, until the limit of its timeliness
	needed     time.Duration // expected time until its end
}

// worth returns what a job is worth that is expected to end as the prospect says: the cost that a caller is spared if it starts now.
func (p prospect) worth() float64 {
	likelihood := likelihoodInTime(p.limit, p.needed)
	switch p.timeliness {
	case onTime:
		return likelihood + (1-likelihood)*lateValue
	case late:
		return likelihood * lateValue
	}
	return 0
}

// worthOfWork returns the cost spared by each core-millisecond of a job that still needs the given number of them. Work of no value is
// ordered by its amount alone.
func (p prospect) worthOfWork(coreMS float64, begun bool) float64 {
	worth := p.worth()
	switch {
	case p.timeliness == tooLate:
		worth = 1
	case begun:
		worth *= begunWorth
	}
	return worth / max(coreMS, 1)
}
