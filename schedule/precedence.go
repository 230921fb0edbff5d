package schedule

// Reasons for which a waiting task goes before another one, as shown to operators.
const (
	aheadByWait       = "long-running tasks that have waited too long"
	aheadByPriority   = "a higher priority"
	aheadByTimeliness = "jobs that can end earlier within their limits: on time, or not too late"
	aheadByShare      = "teams that use less of their share"
	aheadByLongRun    = "long-running tasks"
	aheadByLabel      = "tasks that require a label"
	aheadByBegun      = "large jobs that have begun"
	aheadBySize       = "jobs of a size that is served too rarely"
	aheadByWorth      = "jobs that need less work for what they are worth to their callers"
	aheadByArrival    = "jobs that arrived earlier"
)

// reasonAhead returns why a goes before b in the order of their pool.
func (a candidate) reasonAhead(b candidate) string {
	switch {
	case a.starving != b.starving:
		return aheadByWait
	case a.part.job.Queue.Priority != b.part.job.Queue.Priority:
		return aheadByPriority
	case a.timeliness != b.timeliness:
		return aheadByTimeliness
	case a.overShare != b.overShare:
		return aheadByShare
	case a.part.step.LongRunning != b.part.step.LongRunning:
		return aheadByLongRun
	case a.class != b.class:
		return aheadByLabel
	case a.virtualStart != b.virtualStart && a.virtualStart == goesFirst:
		return aheadByBegun
	case a.virtualStart != b.virtualStart && a.owed:
		return aheadBySize
	case a.virtualStart != b.virtualStart || a.worth != b.worth:
		return aheadByWorth
	}
	return aheadByArrival
}

// ahead returns the number of waiting tasks that go before the part in its pool, by the reason, and the reason of most of them.
func (c *Core) ahead(p *part) (byReason map[string]int, most string) {
	byReason = map[string]int{}
	pool := c.pool(p.job.Queue.Pool)
	list := pool.waiting.list
	own := -1
	for i := range list {
		if list[i].part == p {
			own = i
			break
		}
	}
	for i := 0; i < own; i++ {
		if pool.has(list[i].part) {
			if waiting, _ := c.countWaitingTasks(list[i].part); waiting > 0 {
				byReason[list[i].reasonAhead(list[own])] += waiting
			}
		}
	}
	for reason, tasks := range byReason {
		if most == "" || tasks > byReason[most] || tasks == byReason[most] && reason < most {
			most = reason
		}
	}
	return byReason, most
}
