package schedule

import "time"

// StoreState is what the owner may do without the store.
type StoreState struct {
	// Unrecorded permits starts whose records are not stored yet.
	Unrecorded bool
	// LeaseHeld reports that the owner's lease in the store is valid. Without it no command for a machine is issued.
	LeaseHeld bool
}

// stateReportInterval is the shortest time between two log lines about the state of the store, unless the lease is concerned. With a slow
// store, permissions come and go with each batch.
const stateReportInterval = time.Second

// stateReport is what the log has of the state of the store.
type stateReport struct {
	next    time.Duration // earliest time of the next line
	changes int           // since the last line
}

// SetStoreState sets what may be decided without the store from now on. A core begins with a lease and without permission for
// unrecorded starts.
func (c *Core) SetStoreState(state StoreState) {
	if state == c.store {
		return
	}
	if state.LeaseHeld != c.store.LeaseHeld {
		c.stateReport.next = 0
	}
	c.store = state
	c.stateReport.changes++
	c.reportStoreState()
	c.sendHeldCommands()
}

// reportStoreState logs the state of the store after it has changed.
func (c *Core) reportStoreState() {
	r := &c.stateReport
	if r.changes == 0 || c.now < r.next {
		return
	}
	outstanding := int64(0)
	if c.lastBatch > c.durableBatch {
		outstanding = (c.now - c.takenAt).Milliseconds()
	}
	c.Log("store state changed", "unrecorded", c.store.Unrecorded, "lease_held", c.store.LeaseHeld, "changes", r.changes,
		"batch_outstanding_ms", outstanding, "starts_waiting", len(c.plannedRuns), "commands_waiting", len(c.heldCommands),
		"unrecorded_starts", c.stats.UnrecordedStarts, "unstored", c.HasUnrecordedStarts())
	*r = stateReport{next: c.now + stateReportInterval}
}
