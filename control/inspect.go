package control

import "time"

// FreshAt returns the time at or after which the store's record was at the held revision for certain, or the zero
// time. It belongs to the goroutine of Step.
func (c *Core) FreshAt() time.Time { return c.freshAt }

// ZoneSeen returns for each availability zone the time at or after which a majority of it held the revision in force,
// the zero time for never. It belongs to the goroutine of Step.
func (c *Core) ZoneSeen() map[string]time.Time {
	seen := make(map[string]time.Time)
	if c.rec == nil {
		return seen
	}
	for i, zone := range c.layout.zones {
		seen[zone] = c.zoneSeen[i]
	}
	return seen
}

// HeardAt returns the time at which a member was last heard, by this host or by one that reported it, and the zero
// time if that is not known. It belongs to the goroutine of Step.
func (c *Core) HeardAt(id string) time.Time {
	if p := c.peers[id]; p != nil {
		return p.reportedAt
	}
	return time.Time{}
}
