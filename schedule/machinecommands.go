package schedule

import "time"

// Commands for machines. The platform requires a pause before another holder (here: another owner) sends commands for
// the same machine. An owner therefore stores the names of the machines before it sends their first command, and the
// next owner sends no commands for these machines until the pause is over.

// CommandedMachines lists the machines for which an owner may have sent commands recently.
type CommandedMachines struct {
	Moves   []string `cbor:"1,keyasint,omitempty"`
	Upkeeps []string `cbor:"2,keyasint,omitempty"`
}

// machineCommands describes this owner's commands for one machine.
type machineCommands struct {
	upkeep bool          // at least one of them is for an upkeep
	batch  uint64        // batch of records that stores the machine
	last   time.Duration // time of the newest command
}

// heldCommand is a command that is not sent before its machine is stored.
type heldCommand struct {
	machine string
	call    Call
}

// InheritCommands sets the machines for which an earlier owner may have sent commands.
func (c *Core) InheritCommands(machines CommandedMachines) {
	for _, name := range machines.Moves {
		c.inheritedCommands[name] = false
	}
	for _, name := range machines.Upkeeps {
		c.inheritedCommands[name] = true
	}
}

// InheritUnknownCommands records that an earlier owner may have sent commands for any machine.
func (c *Core) InheritUnknownCommands() { c.unknownCommands = true }

// earlierCommandsEnd returns the end of the pause that the commands of an earlier owner require.
func (c *Core) earlierCommandsEnd() time.Duration {
	return c.Claimed + c.Bounds.HolderPause + holderMargin
}

// mayCommand reports whether a command for the machine is allowed now.
func (c *Core) mayCommand(machine string) bool {
	_, inherited := c.inheritedCommands[machine]
	return c.now >= c.earlierCommandsEnd() || !c.unknownCommands && !inherited
}

// issueCommand sends a command for a machine, or holds it until the machine is stored and the owner's lease is held.
func (c *Core) issueCommand(machine string, call Call) {
	_, upkeep := call.(Upkeep)
	commands := c.commands.get(machine)
	if commands == nil || upkeep && !commands.upkeep {
		commands = &machineCommands{batch: c.lastBatch + 1, upkeep: upkeep}
		c.commands.set(machine, commands)
		c.commandsDirty = true
	}
	commands.last = c.now
	if commands.batch <= c.durableBatch && c.store.LeaseHeld {
		c.calls = append(c.calls, call)
		return
	}
	c.heldCommands = append(c.heldCommands, heldCommand{machine, call})
}

// sendHeldCommands sends the held commands whose machines are stored now.
func (c *Core) sendHeldCommands() {
	if !c.store.LeaseHeld {
		return
	}
	waiting := c.heldCommands[:0]
	for _, h := range c.heldCommands {
		switch commands := c.commands.get(h.machine); {
		case commands == nil: // the wave was withdrawn while the command was held
			c.Log("machine command dropped because its wave was withdrawn", "machine", h.machine)
		case commands.batch > c.durableBatch:
			waiting = append(waiting, h)
		default:
			commands.last = c.now
			c.calls = append(c.calls, h.call)
		}
	}
	c.heldCommands = waiting
}

// takeCommandedMachines returns the machines to be stored, or nil if they have not changed. Machines without an open
// command whose last command is older than the pause between holders are left out. The machines of an earlier owner
// are included until the pause after its commands is over.
func (c *Core) takeCommandedMachines() *CommandedMachines {
	if !c.commandsDirty {
		return nil
	}
	c.commandsDirty = false
	machines := &CommandedMachines{}
	for name, commands := range c.commands.all() {
		if c.mayForgetCommands(name, commands) {
			c.commands.delete(name)
			continue
		}
		machines.add(name, commands.upkeep)
	}
	if c.now < c.earlierCommandsEnd() {
		for name, upkeep := range c.inheritedCommands {
			machines.add(name, upkeep)
		}
	}
	return machines
}

func (m *CommandedMachines) add(machine string, upkeep bool) {
	if upkeep {
		m.Upkeeps = append(m.Upkeeps, machine)
	} else {
		m.Moves = append(m.Moves, machine)
	}
}

// mayForgetCommands reports whether no command for a machine is open and the pause that its commands require of another
// holder is over.
func (c *Core) mayForgetCommands(machine string, commands *machineCommands) bool {
	return c.now > commands.last+c.Bounds.HolderPause+holderMargin && !c.hasOpenCommand(machine)
}

// markExpiredCommands marks the stored machines for an update once the commands for one of them can be forgotten.
func (c *Core) markExpiredCommands() {
	for name, commands := range c.commands.all() {
		if c.mayForgetCommands(name, commands) {
			c.commandsDirty = true
			return
		}
	}
}

// hasOpenCommand reports whether a move of the machine is in progress or an upkeep command for it is not accepted yet.
func (c *Core) hasOpenCommand(machine string) bool {
	if c.moves.get(machine) != nil {
		return true
	}
	for _, w := range c.waves.all() {
		if m := w.machines.get(machine); m != nil && m.state == machineCommandSent {
			return true
		}
	}
	return false
}
