package schedule

import "citrongauge.example/citrongauge/platform"

// HandleNotSent handles a call that was not sent; err wraps platform.ErrNotExecuted. The core waits for the result of each
// call, so a caller of Decide that drops one must say so.
func (c *Core) HandleNotSent(call Call, err error) {
	switch call := call.(type) {
	case Start:
		c.HandleStartResult(call, 0, err)
	case Stop:
		c.HandleStopResult(call, 0, err)
	case Pace:
		c.HandlePaceResult(call, err)
	case Poll:
		c.HandlePollResult(call, platform.PollResult{}, err)
	case AdviceRequest:
		c.HandleAdviceResult(call, platform.Tickets{}, err)
	case Upkeep:
		c.HandleUpkeepResult(call, err)
	case Move:
		c.HandleMoveResult(call, err)
	case CloseConnections: // has no result
	}
}
