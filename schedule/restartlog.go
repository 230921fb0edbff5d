package schedule

import "time"

// logRestart logs that an upstream is known to have started anew, what has shown it (its entry or a poll), and what is known of
// each of its runs: whether the earlier life has listed it, and when and with which clock its start was answered.
func (c *Core) logRestart(up *upstream, bornMS int64, shownBy string) {
	c.stats.Restarts++
	c.Log("upstream started anew", "upstream", up.ID, "born", bornMS, "earlier_born", up.StartedMS, "shown_by", shownBy,
		"fenced", up.fenced, "clock_ms", up.clock.ms, "clock_age_ms", c.msSince(up.clock.readAt), "heard_ms_ago", c.msSince(up.lastResponseAt),
		"poll_in_flight", up.polling, "polled_ms_ago", c.msSince(up.polledAt), "runs", up.runs.len())
	for _, r := range up.runs.all() {
		c.Log("run at a restart", "task", r.id().String(), "attempt", r.attempt, "upstream", up.ID, "state", runStateNames[r.state],
			"sent_ms_ago", c.msSince(r.started), "listed", r.lastListed > 0, "answered_ms_ago", c.msSince(r.answeredAt),
			"answer_clock_ms", r.answerClockMS, "copies_without_answer", r.lostStarts, "start_in_flight", r.startInFlight)
	}
}

// msSince returns the milliseconds since a time of this owner; -1 if it is 0, which means that the event has not happened.
func (c *Core) msSince(at time.Duration) int64 {
	if at == 0 {
		return -1
	}
	return (c.now - at).Milliseconds()
}
