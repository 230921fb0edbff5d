package control

import "time"

// StoreConfirmedAt returns a time at or after which the store is known to have held the current revision, or the zero time.
// It must be called from the goroutine that calls Step.
func (c *Core) StoreConfirmedAt() time.Time { return c.freshAt }

// ZoneAttestedAt returns, for each availability zone, a time at or after which a majority of its members held the current
// revision, or the zero time if none is known. It must be called from the goroutine that calls Step.
func (c *Core) ZoneAttestedAt() map[string]time.Time {
	seen := make(map[string]time.Time)
	if c.record == nil {
		return seen
	}
	for i, zone := range c.roster.zones {
		seen[zone] = c.zoneAttestedAt[i]
	}
	return seen
}

// HeardAt returns the last time at which this host, or one that reported it, received a heartbeat from a member. It
// returns the zero time if that is not known. It must be called from the goroutine that calls Step.
func (c *Core) HeardAt(id string) time.Time {
	if p := c.peers[id]; p != nil {
		return p.reportedAt
	}
	return time.Time{}
}
