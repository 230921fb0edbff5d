package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/job"
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
	number            uint64 // of the command
	missingLists      int    // consecutive lists of machines without this one
}

const (
	// waveSafetyFactor divides the time that remains for a wave, so that it finishes early and a later fault does not
	// make it late.
	waveSafetyFactor = 1.6
	// upkeepOverhead is the time for draining and rejoining, added to the duration of an upkeep.
	upkeepOverhead = 600 * time.Millisecond
	// drainTimeout is how long the runs on a machine may take to end by themselves before they are stopped.
	drainTimeout        = 1500 * time.Millisecond
	stuckDrain          = 2 * time.Second
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

// expectedOutage is how long one machine of a wave is expected to be out of service.
func (c *Core) expectedOutage() time.Duration {
	return c.Bounds.UpkeepDuration + upkeepOverhead + drainTimeout/2
}

// requiredConcurrency returns how many machines have to be out of service at a time for the wave to finish in time.
func (c *Core) requiredConcurrency(w *wave) int {
	left := w.TimeLimit - time.Duration(c.wallMS-w.startedMS)*time.Millisecond
	left = max(time.Duration(float64(left)/waveSafetyFactor), c.expectedOutage())
	todo := w.machines.len() - w.count(machineDone)
	return max(1, int((time.Duration(todo)*c.expectedOutage()+left-1)/left))
}

// beginDrains starts to drain the machines for which an earlier owner may have sent an upkeep command, because they
// count as down until this owner has sent its own, and as many others as the wave needs. The machines whose pools and
// upstreams have the least load are drained first.
func (c *Core) beginDrains(w *wave) {
	var waiting []*waveMachine
	for _, m := range w.machines.all() {
		if m.state != machineWaiting || c.now < m.retryAt || !c.mayCommand(m.name) || c.moves.get(m.name) != nil || !c.isReachable(m) {
			continue
		}
		if c.inheritedCommands[m.name] {
			c.beginDrain(w, m)
		} else {
			waiting = append(waiting, m)
		}
	}
	draining, stuck := c.countDraining(w)
	need := c.requiredConcurrency(w) - draining - c.countMachinesDown(w, nil)
	need = min(need, w.MaxConcurrent-draining-stuck)
	if need <= 0 {
		return
	}
	cost := map[*waveMachine]float64{}
	loads := map[*pool]float64{}
	for _, m := range waiting {
		cost[m] = c.drainCost(m, loads)
	}
	slices.SortFunc(waiting, func(a, b *waveMachine) int {
		return cmp.Or(cmp.Compare(cost[a], cost[b]), cmp.Compare(a.name, b.name))
	})
	for _, m := range waiting {
		if need <= 0 {
			return
		}
		if c.mayDrain(m) {
			c.beginDrain(w, m)
			need--
		}
	}
}

// upkeepReserve returns how many machines the pool needs besides those for its load while machines of it are drained
// for their upkeep.
func (c *Core) upkeepReserve(p *pool) int {
	reserve := 0
	for _, w := range c.waves.all() {
		if w.succeeded {
			continue
		}
		inPool, waiting := 0, 0
		for _, m := range w.machines.all() {
			if m.state != machineWaiting {
				continue
			}
			waiting++
			if up := c.upstreamOf(m.name); up != nil && up.Pool == p.name {
				inPool++
			}
		}
		if inPool > 0 {
			reserve += (c.requiredConcurrency(w)*inPool + waiting - 1) / waiting
		}
	}
	return reserve
}

// mayDrain reports whether the machine's pool keeps enough capacity for its long-running tasks and at least one upstream
// if the machine is drained. A machine without runs may be drained if any other upstream is left.
func (c *Core) mayDrain(m *waveMachine) bool {
	up := c.upstreamOf(m.name)
	if up == nil || !c.isUsable(up) {
		return true
	}
	p := c.pool(up.Pool)
	var capacity, used job.Resources
	usable := 0
	for _, other := range p.byID {
		if !c.isUsable(other) {
			continue
		}
		usable++
		capacity = capacity.Add(other.Capacity)
		used = used.Add(other.longRunningResources())
	}
	if usable <= p.minUpstreams() || usable == 1 && p.parts.len() > 0 {
		return false
	}
	left := capacity.Sub(up.Capacity)
	return up.longRunningTasks() == 0 || float64(left.MilliCPU) >= (1+headroom)*float64(used.MilliCPU) &&
		float64(left.MemoryMB) >= (1+headroom)*float64(used.MemoryMB)
}

// countDraining returns how many machines of the wave are being drained, and apart from them how many have been for so
// long that others have to be drained meanwhile: their long-running tasks may stop only a few at a time.
func (c *Core) countDraining(w *wave) (draining, stuck int) {
	for _, m := range w.machines.all() {
		switch {
		case m.state != machineDraining:
		case c.now > m.since+stuckDrain:
			stuck++
		default:
			draining++
		}
	}
	return draining, stuck
}

// beginDrain starts to drain a machine for its upkeep.
func (c *Core) beginDrain(w *wave, m *waveMachine) {
	m.state, m.since = machineDraining, c.now
	if up := c.upstreamOf(m.name); up != nil {
		up.cordoned = true
	}
	c.Log("draining machine for its upkeep", "wave", w.Number, "machine", m.name, "preparing", w.count(machineDraining),
		"down", c.countMachinesDown(w, nil), "at_once", w.MaxConcurrent)
}

// isReachable reports whether the machine's upstream answers polls, or the machine has no upstream.
func (c *Core) isReachable(m *waveMachine) bool {
	up := c.upstreamOf(m.name)
	return up == nil || up.fenced && up.failedPolls == 0
}

// drainCost rates the cost of draining a machine now, from the load of its pool, which loads caches, and of its upstream.
func (c *Core) drainCost(m *waveMachine, loads map[*pool]float64) float64 {
	up := c.upstreamOf(m.name)
	if up == nil {
		return 0
	}
	p := c.pool(up.Pool)
	load, known := loads[p]
	if !known {
		load = c.loadOf(p)
		loads[p] = load
	}
	return load + float64(up.used.MilliCPU)/float64(max(up.Capacity.MilliCPU, 1))
}

// loadOf returns the share of the capacity of a pool's usable upstreams that is in use.
func (c *Core) loadOf(p *pool) float64 {
	var capacity, used int64
	for _, up := range p.byID {
		if c.isUsable(up) {
			capacity += up.Capacity.MilliCPU
			used += up.used.MilliCPU
		}
	}
	return float64(used) / float64(max(capacity, 1))
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
			if !up.fenced || up.failedPolls > 0 || !c.drainUpstream(up, m) {
				return
			}
		}
		if c.countMachinesDown(w, m) >= w.MaxConcurrent {
			return
		}
		m.previousUpstream, m.previousStartedMS = "", 0
		if up != nil {
			m.previousUpstream, m.previousStartedMS = up.ID, up.StartedMS
		}
		c.lastMachineCommand++
		m.number = c.lastMachineCommand
		c.issueUpkeep(w, m)
	case machineCommandSent:
		if m.retryAt > 0 && c.now >= m.retryAt {
			c.issueUpkeep(w, m)
		}
	case machineDown:
		up := c.upstreamOf(m.name)
		if up != nil && up.ID == m.previousUpstream && up.StartedMS == m.previousStartedMS && up.answeredSeq > m.pollSeqAtAccept {
			up.cordoned, up.pollWhenIdle = false, false
			c.completeUpkeep(w, m, "done before")
			return
		}
		if up != nil && (up.ID != m.previousUpstream || up.StartedMS > m.previousStartedMS) && c.now > m.since+c.Bounds.UpkeepDuration/2 {
			up.cordoned = false
			c.completeUpkeep(w, m, "entry")
		}
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

// drainUpstream reports whether a machine's upstream has no runs left. It stops long-running tasks as far as their
// steps' limits on unavailable tasks allow, and any other run after drainTimeout.
func (c *Core) drainUpstream(up *upstream, m *waveMachine) bool {
	mayFinish := c.now < m.since+drainTimeout
	for _, r := range up.runs.all() {
		switch {
		case r.state != runRunning:
		case r.part.step.LongRunning:
			if c.mayInterrupt(r) {
				c.stopRun(r, "upkeep of its machine")
			}
		case !mayFinish:
			c.stopRun(r, "upkeep of its machine")
		}
	}
	return up.runs.len() == 0
}

// stopOnDrainingUpstreams stops long-running tasks on upstreams that are about to leave, as far as their steps' limits
// on unavailable tasks allow, so that they are started elsewhere.
func (c *Core) stopOnDrainingUpstreams() {
	for _, up := range c.upstreams.all() {
		if !up.Draining || up.failedPolls > 0 {
			continue
		}
		for _, r := range up.runs.all() {
			if r.state == runRunning && r.part.step.LongRunning && c.mayInterrupt(r) {
				c.stopRun(r, "its upstream is draining")
			}
		}
	}
}

// mayInterrupt reports whether the step of a long-running task allows one more task to be unavailable.
func (c *Core) mayInterrupt(r *run) bool {
	if r.part.step.MaxUnavailable == 0 {
		return true
	}
	unavailable := 0
	for i := range r.part.tasks {
		if i != r.index && !c.isAvailable(&r.part.tasks[i]) {
			unavailable++
		}
	}
	return unavailable < r.part.step.MaxUnavailable
}

// stopMargin is added to the platform's longest duration of a stop.
const stopMargin = 100 * time.Millisecond

// isAvailable reports whether a long-running task has a run that has finished its start-up and is not being stopped.
// An earlier owner may have stopped a run shortly before it was adopted; the upstream lists such a run until it has
// ended.
func (c *Core) isAvailable(t *task) bool {
	for _, r := range t.runs {
		mayBeStopping := r.adopted && c.now < r.started+c.Bounds.StopTimeout+stopMargin
		if r.state == runRunning && r.progress >= fullPercent && r.up.failedPolls == 0 && !mayBeStopping {
			return true
		}
	}
	return false
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
	case isDefiniteFailure(err):
		// The command had no effect: the machine stays in service until it is tried again.
		m.state, m.retryAt = machineWaiting, c.now+rejectedUpkeepDelay
		c.uncordon(m.name)
		c.Log("upkeep refused", "wave", w.Number, "machine", m.name, "error", err.Error())
	default:
		m.retryAt = c.now + upkeepRetryDelay
		c.Log("upkeep got no answer", "wave", w.Number, "machine", m.name, "error", err.Error())
	}
}

// isDefiniteFailure reports whether an error means that the command was not carried out.
func isDefiniteFailure(err error) bool {
	for _, definite := range []error{
		platform.ErrNotExecuted, platform.ErrMachineBusy, platform.ErrMachineFenced, platform.ErrNotInWave, platform.ErrMachineNotFound,
	} {
		if errors.Is(err, definite) {
			return true
		}
	}
	return false
}
