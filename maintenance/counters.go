package maintenance

import (
	"time"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
)

// Counters are the measures of maintenance. The owner adds to them after each commit.
type Counters struct {
	// Stops counts planned stops, Withdrawn those that were withdrawn, Moves the pool moves that were completed.
	Stops      uint64
	Withdrawn  uint64
	Moves      uint64
	Maintained uint64
	Stuck      uint64
	// Refused counts changes that did not fit the record any more.
	Refused uint64
	// BufferIdle is the sum over spare hosts of the time in which they were available and idle.
	BufferIdle time.Duration
}

// Committed counts changes that were committed.
func (c *Counters) Committed(changes []Change) {
	for _, change := range changes {
		switch change.Kind {
		case Stop:
			c.Stops++
		case Withdraw:
			c.Withdrawn++
		case Move:
			c.Moves++
		case Return:
			c.Maintained++
		case GiveUp:
			c.Stuck++
		}
	}
}

// AddBuffer accounts for the idle spare hosts over the time since the last call.
func (c *Counters) AddBuffer(now time.Time, elapsed time.Duration, b *bundle.Bundle, r *control.Record, obs Observations) {
	f := assess(now, b, r, &obs)
	for _, v := range f.hosts {
		if v.reason == Available && f.pools[v.assignment.Pool].Spare && isIdle(v.seen.Status) {
			c.BufferIdle += elapsed
		}
	}
}
