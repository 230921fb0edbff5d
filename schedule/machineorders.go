package schedule

import "time"

// Orders for machines. The platform requires a pause before another holder (here: another owner) gives orders for the
// same machine. An owner therefore stores the names of the machines before it sends their first order, and the next
// owner leaves only these machines alone for the duration of the pause.

// OrderedMachines lists the machines for which an owner may have sent orders recently.
type OrderedMachines struct {
	Moves   []string `cbor:"1,keyasint,omitempty"`
	Upkeeps []string `cbor:"2,keyasint,omitempty"`
}

// machineOrders describes this owner's orders for one machine.
type machineOrders struct {
	upkeep bool          // at least one of them is for an upkeep
	batch  uint64        // batch of records that stores the machine
	last   time.Duration // time of the newest order
}

// heldOrder is an order that is not sent before its machine is stored.
type heldOrder struct {
	machine string
	call    Call
}

// InheritOrders sets the machines for which an earlier owner may have sent orders.
func (c *Core) InheritOrders(ordered OrderedMachines) {
	for _, name := range ordered.Moves {
		c.inheritedOrders[name] = false
	}
	for _, name := range ordered.Upkeeps {
		c.inheritedOrders[name] = true
	}
}

// InheritUnknownOrders records that an earlier owner may have sent orders for any machine.
func (c *Core) InheritUnknownOrders() { c.unknownOrders = true }

// earlierOrdersEnd returns the end of the pause that the orders of an earlier owner require.
func (c *Core) earlierOrdersEnd() time.Duration {
	return c.Claimed + c.Bounds.HolderPause + holderMargin
}

// mayOrder reports whether an order for the machine is allowed now.
func (c *Core) mayOrder(machine string) bool {
	_, inherited := c.inheritedOrders[machine]
	return c.now >= c.earlierOrdersEnd() || !c.unknownOrders && !inherited
}

// issueOrder sends an order for a machine, or holds it until the machine is stored.
func (c *Core) issueOrder(machine string, call Call) {
	_, upkeep := call.(Upkeep)
	o := c.orders.get(machine)
	if o == nil || upkeep && !o.upkeep {
		o = &machineOrders{batch: c.lastBatch + 1, upkeep: upkeep}
		c.orders.set(machine, o)
		c.ordersDirty = true
	}
	o.last = c.now
	if o.batch <= c.durableBatch {
		c.calls = append(c.calls, call)
		return
	}
	c.heldOrders = append(c.heldOrders, heldOrder{machine, call})
}

// sendHeldOrders sends the held orders whose machines are stored now.
func (c *Core) sendHeldOrders() {
	waiting := c.heldOrders[:0]
	for _, h := range c.heldOrders {
		switch o := c.orders.get(h.machine); {
		case o == nil: // the wave was withdrawn while the order was held
			c.Log("machine order dropped because its wave was withdrawn", "machine", h.machine)
		case o.batch > c.durableBatch:
			waiting = append(waiting, h)
		default:
			o.last = c.now
			c.calls = append(c.calls, h.call)
		}
	}
	c.heldOrders = waiting
}

// takeOrderedMachines returns the machines to be stored, or nil if they have not changed. Machines whose last order
// is older than the pause between holders are left out.
func (c *Core) takeOrderedMachines() *OrderedMachines {
	if !c.ordersDirty {
		return nil
	}
	c.ordersDirty = false
	ordered := &OrderedMachines{}
	for name, o := range c.orders.all() {
		if c.mayForgetOrders(name, o) {
			c.orders.delete(name)
			continue
		}
		ordered.add(name, o.upkeep)
	}
	if c.now < c.earlierOrdersEnd() {
		for name, upkeep := range c.inheritedOrders {
			ordered.add(name, upkeep)
		}
	}
	return ordered
}

func (o *OrderedMachines) add(machine string, upkeep bool) {
	if upkeep {
		o.Upkeeps = append(o.Upkeeps, machine)
	} else {
		o.Moves = append(o.Moves, machine)
	}
}

// mayForgetOrders reports whether the pause that the orders for a machine require of another holder is over.
func (c *Core) mayForgetOrders(machine string, o *machineOrders) bool {
	return c.now > o.last+c.Bounds.HolderPause+holderMargin && !c.hasOpenOrder(machine)
}

// markExpiredOrders has the stored machines updated once the orders for one of them can be forgotten.
func (c *Core) markExpiredOrders() {
	for name, o := range c.orders.all() {
		if c.mayForgetOrders(name, o) {
			c.ordersDirty = true
			return
		}
	}
}

// hasOpenOrder reports whether an order for the machine has not been completed.
func (c *Core) hasOpenOrder(machine string) bool {
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
