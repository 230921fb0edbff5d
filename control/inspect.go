package control

import "time"

// FreshAt returns the time at or after which the store's record was at the held revision for certain, or the zero
// time. It belongs to the goroutine of Step.
func (c *Core) FreshAt() time.Time { return c.freshAt }
