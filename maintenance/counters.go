package maintenance

import (
	"time"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
)

// Counters are cumulative counters for the maintenance metrics. The caller updates them after each commit.
type Counters struct {
	// DrainsBegun counts the drains that were begun, DrainsCancelled those that were cancelled, Moves the completed
	// pool moves, Maintained the completed maintenance of hosts, and Stuck the hosts that did not drain in time.
	DrainsBegun     uint64
	DrainsCancelled uint64
	Moves           uint64
	Maintained      uint64
	Stuck           uint64
	// RejectedChanges counts the changes that conflicted with the record.
	RejectedChanges uint64
	// SpareIdle is the total time that hosts of spare pools were available and idle, summed over the hosts.
	SpareIdle time.Duration
}

// Committed counts committed changes by kind.
func (c *Counters) Committed(changes []Change) {
	for _, change := range changes {
		switch change.Kind {
		case BeginDrain:
			c.DrainsBegun++
		case CancelDrain:
			c.DrainsCancelled++
		case CompleteMove:
			c.Moves++
		case EndMaintenance:
			c.Maintained++
		case MarkStuck:
			c.Stuck++
		}
	}
}

// AddSpareIdle increases SpareIdle by elapsed, the time since the last call, for each available idle host in a spare
// pool.
func (c *Counters) AddSpareIdle(
	now time.Time, elapsed time.Duration, b *bundle.Bundle, r *control.Record, obs Observations,
) {
	f := newFleet(now, b, r, &obs)
	for _, v := range f.hosts {
		if v.reason == Available && f.pools[v.assignment.Pool].Spare && isIdle(v.observation.Status) {
			c.SpareIdle += elapsed
		}
	}
}
