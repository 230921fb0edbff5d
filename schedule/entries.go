package schedule

import (
	"time"

	"citrongauge.example/citrongauge/platform"
)

// Which upstreams there are: their entries in the store, the roster of earlier owners, and new lives.

// SetUpstream applies an upstream's entry in the store.
func (c *Core) SetUpstream(entry platform.Upstream) {
	up := c.upstreams.get(entry.ID)
	if up != nil && up.terminated && entry.StartedMS <= up.StartedMS && up.Address == entry.Address {
		return // a stale entry of an upstream that has terminated
	}
	if up != nil && (up.Address != entry.Address || up.Pool != entry.Pool) {
		isNew := c.isNewLife(up, entry)
		if !isNew || up.Address == entry.Address && up.mayRunOnNextLife() {
			if isNew {
				up.leftPoolMS = entry.StartedMS
			}
			c.Log("entry contradicts its upstream", "upstream", entry.ID, "pool", entry.Pool, "address", entry.Address,
				"born", entry.StartedMS, "known_pool", up.Pool, "known_address", up.Address, "known_born", up.StartedMS)
			c.UnlistUpstream(entry.ID)
			up.contradiction = &entry
			return
		}
		up.contradiction = nil
		c.noteLoss(up, true)
		c.loseAllRuns(up, "its entry names another address or pool")
		c.removeUpstream(up)
		up = nil
	}
	if up == nil {
		up = c.newUpstream()
		up.Upstream, up.storedStartMS, up.addedAt = entry, entry.StartedMS, c.now
		up.cordoned = c.mayEndByCommand(up)
		c.upstreams.set(entry.ID, up)
		c.pool(entry.Pool).addUpstream(up)
		c.roster.set(up.ID, up)
		c.Log("upstream added", "upstream", entry.ID, "machine", entry.Machine, "labels", entry.Labels,
			"cpu", entry.Capacity.MilliCPU, "pool", entry.Pool, "zone", entry.Zone,
			"draining", entry.Draining, "cordoned", up.cordoned)
	}
	if up.isEnded(entry.StartedMS) {
		c.Log("entry of an earlier life", "upstream", up.ID, "born", entry.StartedMS, "known_born", up.StartedMS)
		return
	}
	c.noteEntryLife(up, entry.StartedMS)
	if entry.Draining && !up.Draining {
		c.Log("upstream draining", "upstream", entry.ID, "remaining_ms", entry.DrainRemaining.Milliseconds(), "runs", up.runs.len())
	}
	startedMS := up.StartedMS
	up.Upstream = entry
	up.StartedMS = startedMS
	up.rack = platform.RackOf(entry.Labels)
	if !up.listed {
		c.noteAlive(up)
	}
	up.listed, up.contradiction = true, nil
	c.noteNewestUpstream(up)
}

// isNewLife reports whether an entry with another address or pool can be the upstream's own: it has started since,
// in a pool of the configuration. Otherwise another program has written the entry, and the upstream may work on.
func (c *Core) isNewLife(up *upstream, entry platform.Upstream) bool {
	return entry.StartedMS > up.StartedMS && (!c.bundleSet || c.isConfigured(entry.Pool))
}

// isConfigured reports whether the current bundle has the pool.
func (c *Core) isConfigured(pool string) bool {
	if _, ok := c.spare[pool]; ok {
		return true
	}
	for _, queue := range c.queues {
		if queue.Pool == pool {
			return true
		}
	}
	return false
}

// UnlistUpstream records that an upstream's entry was removed from the store. No task starts there any more. Its runs
// are followed until they end or its lease expires, because the upstream may only be partitioned from the store. An
// earlier entry that contradicts the upstream is void as well.
func (c *Core) UnlistUpstream(id string) {
	up := c.upstreams.get(id)
	if up == nil {
		return
	}
	up.contradiction = nil
	if !up.listed {
		return
	}
	up.listed = false
	c.noteUnlisted(up)
	c.Log("entry of upstream removed from the store", "upstream", id, "runs", up.runs.len(), "fenced", up.fenced)
}

// ListedUpstreams returns the IDs of the upstreams that have an entry in the store.
func (c *Core) ListedUpstreams() []string {
	var ids []string
	for id, up := range c.upstreams.all() {
		if up.listed {
			ids = append(ids, id)
		}
	}
	return ids
}

// InheritUpstream adds an upstream from the roster that an earlier owner stored. It may be running that owner's tasks.
func (c *Core) InheritUpstream(entry platform.Upstream) {
	if up := c.upstreams.get(entry.ID); up != nil {
		up.stored, up.storedZone, up.rosterZone = true, entry.Zone, entry.Zone
		return
	}
	up := c.newUpstream()
	up.Upstream, up.rack = entry, platform.RackOf(entry.Labels)
	up.stored, up.inherited, up.storedStartMS = true, true, entry.StartedMS
	up.storedZone, up.rosterZone = entry.Zone, entry.Zone
	up.earlierLeaseEnd = c.earlierLeaseEnd(entry.ID)
	_, up.leasesKnown = c.KnownLeaseEnds[entry.ID]
	up.unrecordedLeaseEnd = c.unrecordedLeaseEnd(up)
	c.upstreams.set(entry.ID, up)
	c.pool(entry.Pool).addUpstream(up)
	c.noteNewestUpstream(up)
}

// earlierLeaseEnd returns the time by which the leases of earlier owners on an upstream of the stored roster have expired.
func (c *Core) earlierLeaseEnd(id string) time.Duration {
	if end, known := c.KnownLeaseEnds[id]; known {
		return end
	}
	return c.InheritedLeaseEnd()
}

// InheritOldUpstream adds an upstream as InheritUpstream does, and has it stored again.
func (c *Core) InheritOldUpstream(entry platform.Upstream) {
	c.InheritUpstream(entry)
	c.roster.set(entry.ID, c.upstreams.get(entry.ID))
}

// RosterChange is a change of the roster, the stored set of upstreams on which tasks may run.
type RosterChange struct {
	Added   []platform.Upstream
	Removed []string // IDs
}

// IsEmpty reports whether the change has no effect.
func (r RosterChange) IsEmpty() bool { return len(r.Added) == 0 && len(r.Removed) == 0 }

// TakeRosterChange returns the change of the roster since the last call.
func (c *Core) TakeRosterChange() RosterChange {
	var change RosterChange
	for id, up := range c.roster.all() {
		if up == nil {
			change.Removed = append(change.Removed, id)
		} else {
			change.Added = append(change.Added, up.Upstream)
		}
		c.roster.delete(id)
	}
	return change
}

// RosterStored confirms that a change of the roster is stored. Tasks may now start on the added upstreams, unless an upstream has moved to
// another pool or address since: its new entry is still to be stored.
func (c *Core) RosterStored(change RosterChange) {
	for _, entry := range change.Added {
		if up := c.upstreams.get(entry.ID); up != nil && up.Pool == entry.Pool && up.Address == entry.Address {
			up.stored, up.storedZone = true, entry.Zone
		}
	}
}
