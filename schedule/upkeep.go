package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/platform"
)

type machineState uint8

const (
	machineWaiting   machineState = iota
	machinePreparing              // its upstream is being emptied
	machineOrdered                // an order is on its way, or got no answer
	machineDown                   // the order was accepted; the machine has not come back
	machineDone
)

// wave is the operator's request that machines have their upkeep, and how far it is.
type wave struct {
	platform.Wave
	startedMS int64
	machines  *ordered[string, *waveMachine]
	stored    bool // its state is in the store
	succeeded bool
}

type waveMachine struct {
	name    string
	state   machineState
	since   time.Duration
	old     string // upstream at the time of the order
	oldBorn int64
	asked   uint64 // the last look at it that was asked for when the order was accepted
	retryAt time.Duration
	number  uint64 // of the order
	missing int    // lists in a row that did not name it
}

const (
	// upkeepHaste divides the time of a wave: it is done early, so that a later fault does not make it late.
	upkeepHaste = 1.6
	// upkeepOverhead is added to the duration of an upkeep for emptying and coming back.
	upkeepOverhead = 600 * time.Millisecond
	// drainPatience is how long the runs on a machine may end by themselves before they are stopped.
	drainPatience = 1500 * time.Millisecond
	upkeepRetry   = 300 * time.Millisecond
	busyRetry     = time.Second
	holderMargin  = 300 * time.Millisecond
	missingIsGone = 3 // lists in a row
)

// Upkeep is a machine whose upkeep is to begin.
type Upkeep struct {
	Machine string
	Wave    int
	Number  uint64 // as in Move
}

func (Upkeep) isCall() {}

// WaveRecord is what is stored of a wave.
type WaveRecord struct {
	Number    int      `cbor:"1,keyasint"`
	StartedMS int64    `cbor:"2,keyasint"`
	Done      []string `cbor:"3,keyasint,omitempty"`
	Succeeded bool     `cbor:"4,keyasint,omitempty"`
}

// SetWaves takes over the operator's waves. recorded holds what is stored of them.
func (c *Core) SetWaves(waves []platform.Wave, recorded map[int]WaveRecord) {
	for _, w := range waves {
		if c.waves.get(w.Number) != nil {
			continue
		}
		state := &wave{Wave: w, startedMS: c.wallMS, machines: newOrdered[string, *waveMachine]()}
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
		c.Log("wave known", "wave", w.Number, "machines", len(w.Machines), "at_once", w.AtOnce,
			"within_ms", w.Within.Milliseconds(), "done", state.count(machineDone))
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
		if m.state == machinePreparing {
			c.uncordon(m.name)
		}
	}
	c.waves.delete(number)
}

// WavesOpen reports whether the list of machines is needed.
func (c *Core) WavesOpen() bool {
	for _, w := range c.waves.all() {
		if !w.succeeded {
			return true
		}
	}
	return false
}

// WaveRecords returns the waves whose state is to be stored.
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

// SetMachines takes over the platform's list of machines.
func (c *Core) SetMachines(machines []platform.Machine) {
	c.machines = make(map[string]platform.Machine, len(machines))
	for _, m := range machines {
		c.machines[m.Name] = m
	}
	for _, w := range c.waves.all() {
		for _, m := range w.machines.all() {
			c.compareMachine(w, m)
		}
	}
}

func (c *Core) compareMachine(w *wave, m *waveMachine) {
	listed, ok := c.machines[m.name]
	if ok {
		m.missing = 0
		// A machine of the spare pool is off: it comes back without an upstream.
		back := listed.Phase == platform.MachineUp && (listed.Upstream != m.old || c.spare[listed.Pool])
		if m.state == machineDown && back && c.now > m.since+c.Bounds.Upkeep {
			c.machineBack(w, m, "list")
		}
		return
	}
	m.missing++
	if m.missing >= missingIsGone && m.state != machineDone {
		c.Log("machine of a wave is gone", "wave", w.Number, "machine", m.name)
		c.machineBack(w, m, "gone")
	}
}

// upstreamOf returns the upstream that is the present life of a machine, or nil if nothing can run there. An upstream
// without an entry may run on: it may be cut off from the store only. The entry of the life before may be in the store
// for some heartbeats more.
func (c *Core) upstreamOf(machine string) *upstream {
	up := c.lives[machine]
	if up == nil || up.gone || c.upstreams.get(up.ID) != up {
		return nil
	}
	if !up.listed && up.settled && up.runs.len() == 0 {
		return nil
	}
	return up
}

// noteLife keeps the newest life of each machine.
func (c *Core) noteLife(up *upstream) {
	if up.Machine == "" {
		return
	}
	if known := c.upstreamOf(up.Machine); known == nil || up.Born >= known.Born {
		c.lives[up.Machine] = up
	}
}

// isOff reports whether no upstream is at work on a machine. One that was never reached may be the late entry of a life
// that has ended.
func (c *Core) isOff(machine string) bool {
	up := c.upstreamOf(machine)
	return up == nil || up.runs.len() == 0 && (!up.fenced || up.failedLooks > 0)
}

// upkeep moves the waves on.
func (c *Core) upkeep() {
	if c.machines == nil || c.unknownOrders && c.now < c.holdersPause() {
		return
	}
	for _, w := range c.waves.all() {
		if w.succeeded {
			continue
		}
		for _, m := range w.machines.all() {
			c.advanceMachine(w, m)
		}
		c.beginMachines(w)
		if w.count(machineDone) == w.machines.len() {
			w.succeeded, w.stored = true, false
			c.Log("wave done", "wave", w.Number, "took_ms", c.wallMS-w.startedMS)
		}
	}
}

// cycle is how long one machine of a wave is out of service.
func (c *Core) cycle() time.Duration { return c.Bounds.Upkeep + upkeepOverhead + drainPatience/2 }

// wanted returns how many machines should be out of service at once for the wave to be done in time.
func (c *Core) wanted(w *wave) int {
	left := w.Within - time.Duration(c.wallMS-w.startedMS)*time.Millisecond
	left = max(time.Duration(float64(left)/upkeepHaste), c.cycle())
	todo := w.machines.len() - w.count(machineDone)
	return max(1, int((time.Duration(todo)*c.cycle()+left-1)/left))
}

// beginMachines prepares the machines that an earlier owner may have ordered, which count as down until this owner has
// ordered them, and as many others as the wave needs, those of the pools with the most room first.
func (c *Core) beginMachines(w *wave) {
	var waiting []*waveMachine
	for _, m := range w.machines.all() {
		if m.state != machineWaiting || c.now < m.retryAt || !c.mayOrder(m.name) || c.moves.get(m.name) != nil || !c.isReachable(m) {
			continue
		}
		if c.inheritedOrders[m.name] {
			c.prepare(w, m)
		} else {
			waiting = append(waiting, m)
		}
	}
	need := c.wanted(w) - w.count(machinePreparing) - c.down(w, nil)
	if need <= 0 {
		return
	}
	cost := map[*waveMachine]float64{}
	for _, m := range waiting {
		cost[m] = c.emptyingCost(m)
	}
	slices.SortFunc(waiting, func(a, b *waveMachine) int {
		return cmp.Or(cmp.Compare(cost[a], cost[b]), cmp.Compare(a.name, b.name))
	})
	for _, m := range waiting[:min(need, len(waiting))] {
		c.prepare(w, m)
	}
}

// prepare has a machine emptied for its upkeep.
func (c *Core) prepare(w *wave, m *waveMachine) {
	m.state, m.since = machinePreparing, c.now
	if up := c.upstreamOf(m.name); up != nil {
		up.cordoned = true
	}
	c.Log("machine is emptied for its upkeep", "wave", w.Number, "machine", m.name, "preparing", w.count(machinePreparing),
		"down", c.down(w, nil), "at_once", w.AtOnce)
}

// isReachable reports whether a machine's upstream answers, or there is none.
func (c *Core) isReachable(m *waveMachine) bool {
	up := c.upstreamOf(m.name)
	return up == nil || up.fenced && up.failedLooks == 0
}

// emptyingCost rates how much it hurts to take a machine out now: the load of its pool, and what runs on it.
func (c *Core) emptyingCost(m *waveMachine) float64 {
	up := c.upstreamOf(m.name)
	if up == nil {
		return 0
	}
	var capacity, used int64
	for _, other := range c.pool(up.Pool).upstreams.all() {
		if c.isUsable(other) {
			capacity += other.Capacity.MilliCPU
			used += other.used.MilliCPU
		}
	}
	return float64(used)/float64(max(capacity, 1)) + float64(up.used.MilliCPU)/float64(max(up.Capacity.MilliCPU, 1))
}

func (c *Core) uncordon(machine string) {
	if up := c.upstreamOf(machine); up != nil {
		up.cordoned = false
	}
}

func (c *Core) advanceMachine(w *wave, m *waveMachine) {
	switch m.state {
	case machinePreparing:
		up := c.upstreamOf(m.name)
		if up != nil {
			up.cordoned = true
			if !up.fenced || up.failedLooks > 0 || !c.emptied(up, m) {
				return
			}
		}
		if c.down(w, m) >= w.AtOnce {
			return
		}
		m.old, m.oldBorn = "", 0
		if up != nil {
			m.old, m.oldBorn = up.ID, up.Born
		}
		c.machineOrders++
		m.number = c.machineOrders
		c.orderUpkeep(w, m)
	case machineOrdered:
		if m.retryAt > 0 && c.now >= m.retryAt {
			c.orderUpkeep(w, m)
		}
	case machineDown:
		up := c.upstreamOf(m.name)
		if up != nil && up.ID == m.old && up.Born == m.oldBorn && up.answeredSeq > m.asked {
			up.cordoned, up.probe = false, false
			c.machineBack(w, m, "done before")
			return
		}
		if up != nil && (up.ID != m.old || up.Born > m.oldBorn) && c.now > m.since+c.Bounds.Upkeep/2 {
			up.cordoned = false
			c.machineBack(w, m, "entry")
		}
	}
}

// down counts the machines of the wave, but for self, that are down for their upkeep or may be at any time: those that
// this owner has ordered, those that the list shows in upkeep, and those that an earlier owner may have ordered, whose
// order may be carried out late.
func (c *Core) down(w *wave, self *waveMachine) int {
	n := 0
	for _, m := range w.machines.all() {
		switch {
		case m == self || m.state == machineDone:
		case m.state == machineOrdered, m.state == machineDown, c.inheritedOrders[m.name],
			c.machines[m.name].Phase == platform.MachineUpkeep:
			n++
		}
	}
	return n
}

func (c *Core) orderUpkeep(w *wave, m *waveMachine) {
	m.state, m.retryAt, m.since = machineOrdered, 0, c.now
	c.Log("upkeep ordered", "wave", w.Number, "machine", m.name, "upstream", m.old, "down", w.count(machineDown))
	c.order(m.name, Upkeep{Machine: m.name, Wave: w.Number, Number: m.number})
}

// emptied reports whether nothing runs on a machine's upstream. It moves long-running tasks away, one of a step at a
// time, and stops the others after a while.
func (c *Core) emptied(up *upstream, m *waveMachine) bool {
	patient := c.now < m.since+drainPatience
	for _, r := range up.runs.all() {
		switch {
		case r.state != runRunning:
		case r.part.step.LongRunning:
			if c.maySpare(r) {
				c.stop(r, "upkeep of its machine")
			}
		case !patient:
			c.stop(r, "upkeep of its machine")
		}
	}
	return up.runs.len() == 0
}

// leaveDraining moves long-running tasks away from upstreams that are about to leave, one of a step at a time.
func (c *Core) leaveDraining() {
	for _, up := range c.upstreams.all() {
		if !up.Draining || up.failedLooks > 0 {
			continue
		}
		for _, r := range up.runs.all() {
			if r.state == runRunning && r.part.step.LongRunning && c.maySpare(r) {
				c.stop(r, "its upstream is draining")
			}
		}
	}
}

// maySpare reports whether one more task of a long-running step may be away.
func (c *Core) maySpare(r *run) bool {
	if r.part.step.MayMiss == 0 {
		return true
	}
	away := 0
	for i := range r.part.tasks {
		if i != r.index && !c.atWork(&r.part.tasks[i]) {
			away++
		}
	}
	return away < r.part.step.MayMiss
}

// stopSlack is added to the longest duration of a stop.
const stopSlack = 100 * time.Millisecond

// atWork reports whether a run of a long-running task has passed its start-up and is not being stopped. An earlier owner
// may have stopped a run that was adopted a moment ago; it is listed until it has ended.
func (c *Core) atWork(t *task) bool {
	for _, r := range t.runs {
		mayEnd := r.adopted && c.now < r.started+c.Bounds.Stop+stopSlack
		if r.state == runRunning && r.progress >= fullPace && r.up.failedLooks == 0 && !mayEnd {
			return true
		}
	}
	return false
}

func (c *Core) machineBack(w *wave, m *waveMachine, how string) {
	c.Log("machine back from upkeep", "wave", w.Number, "machine", m.name, "how", how,
		"took_ms", (c.now - m.since).Milliseconds(), "left", w.machines.len()-w.count(machineDone)-1)
	m.state = machineDone
	w.stored = false
}

// UpkeepAnswered handles the answer to an Upkeep.
func (c *Core) UpkeepAnswered(call Upkeep, err error) {
	w := c.waves.get(call.Wave)
	if w == nil || w.machines.get(call.Machine) == nil || w.machines.get(call.Machine).state != machineOrdered {
		return
	}
	m := w.machines.get(call.Machine)
	switch {
	case err == nil:
		// The answer is the same if the upkeep was done before, by an earlier owner: then the upstream lives on, and
		// a look shows it.
		m.state, m.since = machineDown, c.now
		if up := c.upstreams.get(m.old); up != nil {
			up.probe, m.asked = true, up.lookSeq
		}
	case isCertain(err):
		// Nothing was done: the machine stays in service until another try.
		m.state, m.retryAt = machineWaiting, c.now+busyRetry
		c.uncordon(m.name)
		c.Log("upkeep refused", "wave", w.Number, "machine", m.name, "error", err.Error())
	default:
		m.retryAt = c.now + upkeepRetry
		c.Log("upkeep got no answer", "wave", w.Number, "machine", m.name, "error", err.Error())
	}
}

// isCertain reports whether an error means that nothing was done.
func isCertain(err error) bool {
	for _, certain := range []error{
		platform.ErrNotDone, platform.ErrMachineBusy, platform.ErrMachineFenced, platform.ErrNotOfWave, platform.ErrNoMachine,
	} {
		if errors.Is(err, certain) {
			return true
		}
	}
	return false
}
