package schedule

import "time"

// Orders for machines. Two holders of one machine must not take turns within the platform's pause between holders. So
// the machines that an owner gives orders for are stored before the first order, and the next owner leaves just those
// alone for the pause.

// Ordered names the machines for which an owner may have given orders lately.
type Ordered struct {
	Moves   []string `cbor:"1,keyasint,omitempty"`
	Upkeeps []string `cbor:"2,keyasint,omitempty"`
}

// machineOrders are this owner's orders for one machine.
type machineOrders struct {
	upkeep bool          // an upkeep is among them
	round  uint64        // with which the machine is stored
	last   time.Duration // when the newest order was given
}

// heldOrder waits until its machine is stored.
type heldOrder struct {
	machine string
	call    Call
}

// InheritOrders names the machines that an earlier owner may have given orders for.
func (c *Core) InheritOrders(ordered Ordered) {
	for _, name := range ordered.Moves {
		c.inheritedOrders[name] = false
	}
	for _, name := range ordered.Upkeeps {
		c.inheritedOrders[name] = true
	}
}

// InheritUnknownOrders notes that an earlier owner may have given orders for any machine.
func (c *Core) InheritUnknownOrders() { c.unknownOrders = true }

// holdersPause returns until when the orders of an earlier owner hinder new ones.
func (c *Core) holdersPause() time.Duration { return c.Claimed + c.Bounds.Holder + holderMargin }

// mayOrder reports whether an order for the machine may be given now.
func (c *Core) mayOrder(machine string) bool {
	_, inherited := c.inheritedOrders[machine]
	return c.now >= c.holdersPause() || !c.unknownOrders && !inherited
}

// order gives an order for a machine, at once if the machine is stored.
func (c *Core) order(machine string, call Call) {
	_, upkeep := call.(Upkeep)
	o := c.orders.get(machine)
	if o == nil || upkeep && !o.upkeep {
		o = &machineOrders{round: c.round + 1, upkeep: upkeep}
		c.orders.set(machine, o)
		c.ordersDirty = true
	}
	o.last = c.now
	if o.round <= c.durable {
		c.calls = append(c.calls, call)
		return
	}
	c.held = append(c.held, heldOrder{machine, call})
}

// sendHeld gives the orders whose machines are stored now.
func (c *Core) sendHeld() {
	waiting := c.held[:0]
	for _, h := range c.held {
		switch o := c.orders.get(h.machine); {
		case o == nil: // its wave was withdrawn while it waited
			c.Log("order for a machine dropped", "machine", h.machine)
		case o.round > c.durable:
			waiting = append(waiting, h)
		default:
			o.last = c.now
			c.calls = append(c.calls, h.call)
		}
	}
	c.held = waiting
}

// takeOrders returns the machines to be stored, or nil if they are unchanged. Those without an order for longer than
// the pause between holders are left out.
func (c *Core) takeOrders() *Ordered {
	if !c.ordersDirty {
		return nil
	}
	c.ordersDirty = false
	ordered := &Ordered{}
	for name, o := range c.orders.all() {
		if c.isOver(name, o) {
			c.orders.delete(name)
			continue
		}
		ordered.add(name, o.upkeep)
	}
	if c.now < c.holdersPause() {
		for name, upkeep := range c.inheritedOrders {
			ordered.add(name, upkeep)
		}
	}
	return ordered
}

func (o *Ordered) add(machine string, upkeep bool) {
	if upkeep {
		o.Upkeeps = append(o.Upkeeps, machine)
	} else {
		o.Moves = append(o.Moves, machine)
	}
}

// isOver reports whether no other holder has to leave the machine alone any more.
func (c *Core) isOver(machine string, o *machineOrders) bool {
	return c.now > o.last+c.Bounds.Holder+holderMargin && !c.isOrdered(machine)
}

// releaseOrders has the stored machines brought up to date when the pause after the orders for some of them is over.
func (c *Core) releaseOrders() {
	for name, o := range c.orders.all() {
		if c.isOver(name, o) {
			c.ordersDirty = true
			return
		}
	}
}

// isOrdered reports whether an order for the machine is open.
func (c *Core) isOrdered(machine string) bool {
	if c.moves.get(machine) != nil {
		return true
	}
	for _, w := range c.waves.all() {
		if m := w.machines.get(machine); m != nil && m.state == machineOrdered {
			return true
		}
	}
	return false
}
