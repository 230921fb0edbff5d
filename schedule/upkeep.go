package schedule

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/platform"
)

type machineState uint8

const (
	machineWaiting     machineState = iota
	machineDraining                 // its upstream is being drained
	machineCommandSent              // the command is in flight or was not answered
	machineDown                     // the command was accepted; the machine is not back yet
	machineDone
)

// wave is an operator's request for the upkeep (maintenance) of a set of machines, and its progress.
type wave struct {
	platform.Wave
	startedMS int64
	machines  *orderedMap[string, *waveMachine]
	stored    bool // its current state has been taken for storing
	succeeded bool
}

type waveMachine struct {
	name              string
	state             machineState
	since             time.Duration
	previousUpstream  string // upstream at the time of the command
	previousStartedMS int64
	pollSeqAtAccept   uint64 // last poll of that upstream sent before the command was accepted
	retryAt           time.Duration
	givenBack         bool   // its drain has ended since a task had no other place
	unanswered        bool   // a copy of the command got no answer
	number            uint64 // of the command
	missingLists      int    // consecutive lists of machines without this one
}

const (
	upkeepRetryDelay    = 300 * time.Millisecond
	rejectedUpkeepDelay = time.Second
	holderMargin        = 300 * time.Millisecond // added to the platform's pause between holders
	maxMissingLists     = 3                      // consecutive lists
)

// Upkeep requests the upkeep of a machine.
type Upkeep struct {
	Machine string
	Wave    int
	Number  uint64 // as in Move
}

func (Upkeep) isCall() {}

// WaveRecord is the stored state of a wave.
type WaveRecord struct {
	Number    int      `cbor:"1,keyasint"`
	StartedMS int64    `cbor:"2,keyasint"`
	Done      []string `cbor:"3,keyasint,omitempty"`
	Succeeded bool     `cbor:"4,keyasint,omitempty"`
}

// SetWaves applies the operator's current waves. recorded holds their stored state.
func (c *Core) SetWaves(waves []platform.Wave, recorded map[int]WaveRecord) {
	for _, w := range waves {
		if c.waves.get(w.Number) != nil {
			continue
		}
		state := &wave{Wave: w, startedMS: c.wallMS, machines: newOrderedMap[string, *waveMachine]()}
		for _, name := range w.Machines {
			state.machines.set(name, &waveMachine{name: name})
		}
		if record, ok := recorded[w.Number]; ok {
			state.startedMS, state.succeeded, state.stored = record.StartedMS, record.Succeeded, true
			for _, name := range record.Done {
				if m := state.machines.get(name); m != nil {
					m.state = machineDone
				}
			}
		}
		c.waves.set(w.Number, state)
		c.Log("wave added", "wave", w.Number, "machines", len(w.Machines), "at_once", w.MaxConcurrent,
			"within_ms", w.TimeLimit.Milliseconds(), "done", state.count(machineDone))
	}
	for number := range c.waves.all() {
		if !slices.ContainsFunc(waves, func(w platform.Wave) bool { return w.Number == number }) {
			c.dropWave(number)
		}
	}
}

func (c *Core) dropWave(number int) {
	c.Log("wave withdrawn", "wave", number)
	for _, m := range c.waves.get(number).machines.all() {
		if m.state == machineDraining {
			c.uncordon(m.name)
		}
	}
	c.waves.delete(number)
}

// HasOpenWaves reports whether a wave is unfinished, for which the list of machines has to be read more often.
func (c *Core) HasOpenWaves() bool {
	for _, w := range c.waves.all() {
		if !w.succeeded {
			return true
		}
	}
	return false
}

// WaveRecords returns the waves whose state has changed and has to be stored.
func (c *Core) WaveRecords() []WaveRecord {
	var records []WaveRecord
	for _, w := range c.waves.all() {
		if w.stored {
			continue
		}
		w.stored = true
		record := WaveRecord{Number: w.Number, StartedMS: w.startedMS, Succeeded: w.succeeded}
		for _, m := range w.machines.all() {
			if m.state == machineDone {
				record.Done = append(record.Done, m.name)
			}
		}
		slices.Sort(record.Done)
		records = append(records, record)
	}
	return records
}

func (w *wave) count(state machineState) int {
	n := 0
	for _, m := range w.machines.all() {
		if m.state == state {
			n++
		}
	}
	return n
}

// SetMachines applies the platform's list of machines.
func (c *Core) SetMachines(machines []platform.Machine) {
	c.machines = make(map[string]platform.Machine, len(machines))
	for _, m := range machines {
		c.machines[m.Name] = m
	}
	for _, w := range c.waves.all() {
		for _, m := range w.machines.all() {
			c.updateWaveMachine(w, m)
		}
	}
}

func (c *Core) updateWaveMachine(w *wave, m *waveMachine) {
	listed, ok := c.machines[m.name]
	if ok {
		m.missingLists = 0
		// A machine of the spare pool is switched off and therefore comes back without an upstream.
		back := listed.Phase == platform.MachineUp && (listed.Upstream != m.previousUpstream || c.spare[listed.Pool])
		if m.state == machineDown && back && c.now > m.since+c.Bounds.UpkeepDuration {
			c.completeUpkeep(w, m, "list")
		}
		return
	}
	m.missingLists++
	if m.missingLists >= maxMissingLists && m.state != machineDone {
		c.Log("machine of a wave is no longer listed", "wave", w.Number, "machine", m.name)
		c.completeUpkeep(w, m, "gone")
	}
}

// upstreamOf returns the newest upstream of a machine, or nil if nothing can be running on the machine. An upstream
// without an entry in the store may still be running, because it may only be partitioned from the store. An entry does
// not show which upstream is the newest: that of the machine's previous one may stay in the store for some heartbeats.
func (c *Core) upstreamOf(machine string) *upstream {
	up := c.newestUpstreams[machine]
	if up == nil || up.terminated || c.upstreams.get(up.ID) != up {
		return nil
	}
	if !up.listed && up.reconciled && up.runs.len() == 0 {
		return nil
	}
	return up
}

// noteNewestUpstream records the upstream as its machine's newest one if no newer one is known.
func (c *Core) noteNewestUpstream(up *upstream) {
	if up.Machine == "" {
		return
	}
	if known := c.upstreamOf(up.Machine); known == nil || up.StartedMS >= known.StartedMS {
		c.newestUpstreams[up.Machine] = up
	}
}

// isOff reports whether no upstream is active on the machine. An upstream that was never reached may be a late entry
// of one that has ended.
func (c *Core) isOff(machine string) bool {
	up := c.upstreamOf(machine)
	return up == nil || up.runs.len() == 0 && (!up.fenced || up.failedPolls > 0)
}

// advanceWaves advances the upkeep of the machines of all open waves.
func (c *Core) advanceWaves() {
	if c.machines == nil || c.unknownCommands && c.now < c.earlierCommandsEnd() {
		return
	}
	for _, w := range c.waves.all() {
		if w.succeeded {
			continue
		}
		for _, m := range w.machines.all() {
			c.advanceMachine(w, m)
		}
		c.beginDrains(w)
		if w.count(machineDone) == w.machines.len() {
			w.succeeded, w.stored = true, false
			c.Log("wave completed", "wave", w.Number, "took_ms", c.wallMS-w.startedMS)
		}
	}
}

func (c *Core) uncordon(machine string) {
	if up := c.upstreamOf(machine); up != nil {
		up.cordoned = false
	}
}

func (c *Core) advanceMachine(w *wave, m *waveMachine) {
	switch m.state {
	case machineDraining:
		up := c.upstreamOf(m.name)
		if up != nil {
			up.cordoned = true
			if !up.fenced || up.failedPolls > 0 {
				return
			}
			if !c.inheritedCommands[m.name] && !c.mayEndByCommand(up) && c.keepsTaskWaiting(up) {
				c.giveBack(w, m, up)
				return
			}
			if !c.drainUpstream(up, m) {
				return
			}
		}
		if c.countMachinesDown(w, m) >= w.MaxConcurrent || !c.store.LeaseHeld {
			return
		}
		m.previousUpstream, m.previousStartedMS = "", 0
		if up != nil {
			m.previousUpstream, m.previousStartedMS = up.ID, up.StartedMS
		}
		c.lastMachineCommand++
		m.number, m.unanswered = c.lastMachineCommand, false
		c.issueUpkeep(w, m)
	case machineCommandSent:
		if m.retryAt > 0 && c.now >= m.retryAt && c.store.LeaseHeld {
			c.issueUpkeep(w, m)
		}
	case machineDown:
		c.advanceDown(w, m)
	}
}

// advanceDown completes the upkeep of a machine whose command was accepted once an upstream shows that the machine is back. Another life
// of the upstream that was there may have begun before the command, unnoticed, unless it has answered a poll sent later.
func (c *Core) advanceDown(w *wave, m *waveMachine) {
	up := c.upstreamOf(m.name)
	if up == nil {
		return
	}
	isPrevious := up.ID == m.previousUpstream && up.addedAt <= m.since
	if isPrevious && up.answeredSeq <= m.pollSeqAtAccept {
		return
	}
	if isPrevious && up.StartedMS == m.previousStartedMS {
		up.cordoned, up.pollWhenIdle = false, false
		c.completeUpkeep(w, m, "done before")
		return
	}
	if c.now > m.since+c.Bounds.UpkeepDuration/2 {
		up.cordoned, up.pollWhenIdle = false, false
		c.completeUpkeep(w, m, "entry")
	}
}

// countMachinesDown counts the machines of the wave, except the given one, that are down for their upkeep or may go
// down at any time: those with a command from this owner, those that the list of machines shows in upkeep, and those
// for which an earlier owner may have sent a command, because it may be carried out late.
func (c *Core) countMachinesDown(w *wave, except *waveMachine) int {
	n := 0
	for _, m := range w.machines.all() {
		switch {
		case m == except || m.state == machineDone:
		case m.state == machineCommandSent, m.state == machineDown, c.inheritedCommands[m.name],
			c.machines[m.name].Phase == platform.MachineUpkeep:
			n++
		}
	}
	return n
}

func (c *Core) issueUpkeep(w *wave, m *waveMachine) {
	m.state, m.retryAt, m.since = machineCommandSent, 0, c.now
	c.Log("upkeep command issued", "wave", w.Number, "machine", m.name, "upstream", m.previousUpstream, "down", w.count(machineDown))
	c.issueCommand(m.name, Upkeep{Machine: m.name, Wave: w.Number, Number: m.number})
}

// completeUpkeep marks a machine of a wave as done. evidence is what showed that the machine is back or gone.
func (c *Core) completeUpkeep(w *wave, m *waveMachine, evidence string) {
	c.Log("machine back from upkeep", "wave", w.Number, "machine", m.name, "how", evidence,
		"took_ms", (c.now - m.since).Milliseconds(), "left", w.machines.len()-w.count(machineDone)-1)
	m.state = machineDone
	w.stored = false
}

// HandleUpkeepResult handles the result of an Upkeep.
func (c *Core) HandleUpkeepResult(call Upkeep, err error) {
	w := c.waves.get(call.Wave)
	if w == nil || w.machines.get(call.Machine) == nil || w.machines.get(call.Machine).state != machineCommandSent {
		return
	}
	m := w.machines.get(call.Machine)
	switch {
	case err == nil:
		// The platform gives the same response if an earlier owner had the upkeep done already. The upstream then keeps
		// running, and the next poll shows it.
		m.state, m.since = machineDown, c.now
		if up := c.upstreams.get(m.previousUpstream); up != nil {
			up.pollWhenIdle, m.pollSeqAtAccept = true, up.pollSeq
		}
	case isDefiniteFailure(err, m.unanswered):
		// The command had no effect: the machine stays in service until it is tried again.
		m.state, m.retryAt = machineWaiting, c.now+rejectedUpkeepDelay
		c.uncordon(m.name)
		c.Log("upkeep refused", "wave", w.Number, "machine", m.name, "error", err.Error())
	default:
		m.unanswered, m.retryAt = true, c.now+upkeepRetryDelay
		c.Log("upkeep got no answer", "wave", w.Number, "machine", m.name, "error", err.Error())
	}
}

// isDefiniteFailure reports whether an error means that no copy of the command was carried out. If an earlier copy got no
// answer, a copy that was rejected unseen or not sent says nothing about it.
func isDefiniteFailure(err error, unanswered bool) bool {
	if errors.Is(err, platform.ErrNotExecuted) {
		return !unanswered
	}
	for _, definite := range []error{
		platform.ErrMachineBusy, platform.ErrMachineFenced, platform.ErrNotInWave, platform.ErrMachineNotFound,
	} {
		if errors.Is(err, definite) {
			return true
		}
	}
	return false
}
