package schedule

import "time"

// Which ends a poll may acknowledge: none that a life has listed which the owner does not know.

const (
	// maxProofAge is how long after the response to a poll ends are acknowledged although tasks have been started since. In a longer
	// time the upstream may start anew, and end such a task under the same number.
	maxProofAge = 200 * time.Millisecond
	// promptResponse is the time in which an upstream that lives responds to a start.
	promptResponse = 100 * time.Millisecond
)

// ackToSend returns the highest end that a poll may acknowledge now, 0 if none. An upstream that has started anew would forget its
// own ends up to that number, which the owner has never seen. It has none if nothing was started there since its last response. A poll after
// a failed one may reach a later life late, on its new connection.
func (c *Core) ackToSend(up *upstream) uint64 {
	if up.ackable <= up.ackConfirmed {
		return 0
	}
	up.ackWithheld = up.inDoubt || up.failedPolls > 0 || c.mayHaveUnseenEnds(up)
	if up.ackWithheld {
		return 0
	}
	return up.ackable
}

// mayHaveUnseenEnds reports whether a later life of the upstream may have ends already.
func (c *Core) mayHaveUnseenEnds(up *upstream) bool {
	isOld := c.now > up.lastResponseAt+maxProofAge
	for _, r := range up.runs.all() {
		if r.state != runPlanned && r.heldBy != up.life && (isOld || r.mayHaveBegunUnseen(c.now)) {
			return true
		}
	}
	return false
}

// mayHaveBegunUnseen reports whether a copy of the run's start may have been carried out since the last response to a poll, by a life
// that is not known yet. A start that is in flight for long says so only if that response is as old: under load many are.
func (r *run) mayHaveBegunUnseen(now time.Duration) bool {
	isAwaited := r.startInFlight && now > max(r.started, r.up.lastResponseAt)+promptResponse
	return isAwaited || r.lostStarts > 0 && r.up.answeredSeq <= r.pollSeqAtReturn
}
