package control

import "time"

// StoreConfirmedAt returns a time at or after which the store is known to have held the current revision, or the zero
// time if none is known. It must be called from the goroutine that calls Step.
func (c *Core) StoreConfirmedAt() time.Time { return c.freshAt }

// ZoneAttestedAt returns, for each availability zone, a time at or after which a majority of its members held the
// current revision, or the zero time if none is known. It must be called from the goroutine that calls Step.
func (c *Core) ZoneAttestedAt() map[string]time.Time {
	attested := make(map[string]time.Time)
	if c.record == nil {
		return attested
	}
	for i, zone := range c.roster.zones {
		attested[zone] = c.zoneAttestedAt[i]
	}
	return attested
}

// HeardAt returns the last time at which this host received a heartbeat from the member, or a report that another host
// had received one. It returns the zero time if there is none. It must be called from the goroutine that calls Step.
func (c *Core) HeardAt(id string) time.Time {
	if p := c.peers[id]; p != nil {
		return p.reportedAt
	}
	return time.Time{}
}
