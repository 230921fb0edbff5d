package experiment

import (
	"citrongauge.example/citrongauge/maintenance"
)

// capReached is the part of its cap that a busy team reaches while other zones are idle, in percent.
const capReached = 95

// measureBuffer measures capacity that is held idle: the spare pool, and grants that are not used.
func measureBuffer(d Deployment, seed uint64) []sample {
	samples := spareBuffer(d, seed, burstList(seed, false, movesRun), "bursts of 2 to 6 s")
	samples = append(samples, spareBuffer(d, seed, burstList(seed, true, movesRun), "bursts and surges of 1 to 3 min")...)
	samples = append(samples, grantBuffer(d, seed, oneZone, "cap, load in one zone", target{atLeast: capReached})...)
	return append(samples, grantBuffer(d, seed, movingLoad, "cap, load moves between zones every 4 s", target{})...)
}

func spareBuffer(d Deployment, seed uint64, list []burst, load string) []sample {
	own := runMoves(d, seed, list, planPolicy)
	static := newMoveWorld(d, seed, list, func(*moveWorld) []maintenance.Change { return nil })
	static.splitSpares()
	static.runUntil(list[len(list)-1].end)
	idle, needed, waited := load+", idle time of spare hosts", load+", spare slots idle while work waits", load+", waiting work"
	const baseline = Baseline + ": static split"
	return []sample{
		{idle, Measured, "% of their slots", own.spareIdle(), target{}},
		{idle, baseline, "% of their slots", static.spareIdle(), target{}},
		{load + ", idle time in the spare pool", Measured, "% of their time", own.inSparePool(), target{}},
		{needed, Measured, "% of their slots", own.idleNeeded(), target{}},
		{needed, baseline, "% of their slots", static.idleNeeded(), target{}},
		{needed, Bound + ": perfect split", "% of their slots", 0, target{}},
		{waited, Measured, "slots", own.waited(), target{}},
		{waited, baseline, "slots", static.waited(), target{}},
	}
}

// splitSpares gives the spare hosts to services for good.
func (w *moveWorld) splitSpares() {
	next := 0
	for i := range w.record.Assignments {
		if a := &w.record.Assignments[i]; a.Pool == sparePool {
			a.Pool = serviceName(next)
			next++
		}
	}
}

// spareTime is the slot-seconds of the spare hosts so far.
func (w *moveWorld) spareTime() float64 {
	return float64(w.tally.steps) * moveStep.Seconds() * spareHosts * slotsPerHost
}

func (w *moveWorld) spareIdle() float64 { return 100 * (1 - w.tally.spareBusy/w.spareTime()) }

func (w *moveWorld) idleNeeded() float64 { return 100 * w.tally.idleNeeded / w.spareTime() }

func (w *moveWorld) waited() float64 {
	return w.tally.waited / (float64(w.tally.steps) * moveStep.Seconds())
}

func (w *moveWorld) inSparePool() float64 {
	return 100 * w.counters.BufferIdle.Seconds() / (w.now.Seconds() * spareHosts)
}

func grantBuffer(d Deployment, seed uint64, load func(*grantFleet, *grantHost) float64, name string, limit target) []sample {
	var samples []sample
	for _, v := range []struct {
		name   string
		static bool
		target target
	}{{Measured, false, limit}, {Baseline + ": static split", true, target{}}} {
		f := newGrantFleet(d, seed, v.static, load)
		f.runUntil(grantWarmUp + grantRun)
		reached, idle := 100*f.tally.used/f.tally.possible, 100*f.tally.idleNeeded/f.tally.steps/grantCap
		samples = append(samples,
			sample{name + ", reached part", v.name, "% of the cap", reached, v.target},
			sample{name + ", granted slots idle while work waits", v.name, "% of the cap", idle, target{}},
			sample{name + ", store calls", v.name, "per second", float64(f.tally.calls) / f.now.Seconds(), target{}})
	}
	return append(samples, sample{name + ", reached part", Bound + ": perfect split", "% of the cap", 100, target{}})
}
