package experiment

import (
	"citrongauge.example/citrongauge/maintenance"
)

// minCapUsePercent is the target for the use of a team's cap while the team has work in only one zone, in percent.
const minCapUsePercent = 95

// measureBuffer measures idle reserve capacity: idle spare hosts and unused grants.
func measureBuffer(d Deployment, seed uint64) []sample {
	samples := measureSpareHosts(d, seed, generateBursts(seed, false, moveMeasureTime), "bursts of 2 to 6 s")
	samples = append(samples,
		measureSpareHosts(d, seed, generateBursts(seed, true, moveMeasureTime), "bursts and surges of 1 to 3 min")...)
	samples = append(samples,
		measureGrants(d, seed, oneZoneLoad, "cap, load in one zone", target{atLeast: minCapUsePercent})...)
	return append(samples, measureGrants(d, seed, rotatingLoad, "cap, load moves between zones every 4 s", target{})...)
}

func measureSpareHosts(d Deployment, seed uint64, bursts []burst, load string) []sample {
	measured := runMoves(d, seed, bursts, plannerPolicy)
	static := newMoveFleet(d, seed, bursts, func(*moveFleet) []maintenance.Change { return nil })
	static.assignSparesStatically()
	static.runUntil(bursts[len(bursts)-1].end)
	idleFigure, idleWaitingFigure, waitingFigure :=
		load+", idle time of spare hosts", load+", spare slots idle while work waits", load+", waiting work"
	const baseline = Baseline + ": static split"
	return []sample{
		{idleFigure, Measured, "% of their slots", measured.spareIdlePercent(), target{}},
		{idleFigure, baseline, "% of their slots", static.spareIdlePercent(), target{}},
		{load + ", idle time in the spare pool", Measured, "% of their time", measured.sparePoolIdlePercent(), target{}},
		{idleWaitingFigure, Measured, "% of their slots", measured.idleWhileWaitingPercent(), target{}},
		{idleWaitingFigure, baseline, "% of their slots", static.idleWhileWaitingPercent(), target{}},
		{idleWaitingFigure, Bound + ": perfect split", "% of their slots", 0, target{}},
		{waitingFigure, Measured, "slots", measured.meanWaitingSlots(), target{}},
		{waitingFigure, baseline, "slots", static.meanWaitingSlots(), target{}},
	}
}

// assignSparesStatically assigns each spare host to a different service for the whole run.
func (f *moveFleet) assignSparesStatically() {
	next := 0
	for i := range f.record.Assignments {
		if a := &f.record.Assignments[i]; a.Pool == sparePool {
			a.Pool = serviceName(next)
			next++
		}
	}
}

// spareSlotSeconds returns the capacity of the spare hosts over the run so far, in slot-seconds.
func (f *moveFleet) spareSlotSeconds() float64 {
	return float64(f.totals.steps) * moveStep.Seconds() * spareHostCount * slotsPerHost
}

func (f *moveFleet) spareIdlePercent() float64 {
	return 100 * (1 - f.totals.spareWork/f.spareSlotSeconds())
}

func (f *moveFleet) idleWhileWaitingPercent() float64 {
	return 100 * f.totals.idleWhileWaiting / f.spareSlotSeconds()
}

func (f *moveFleet) meanWaitingSlots() float64 {
	return f.totals.waitingTime / (float64(f.totals.steps) * moveStep.Seconds())
}

func (f *moveFleet) sparePoolIdlePercent() float64 {
	return 100 * f.counters.SpareIdle.Seconds() / (f.now.Seconds() * spareHostCount)
}

func measureGrants(
	d Deployment, seed uint64, load func(*grantFleet, *grantHost) float64, name string, usedTarget target,
) []sample {
	var samples []sample
	for _, v := range []struct {
		name   string
		static bool
		target target
	}{{Measured, false, usedTarget}, {Baseline + ": static split", true, target{}}} {
		f := newGrantFleet(d, seed, v.static, load)
		f.runUntil(grantWarmUp + grantMeasureTime)
		usedPercent, idlePercent :=
			100*f.totals.usedSlots/f.totals.usableSlots, 100*f.totals.idleWhileWaiting/f.totals.steps/grantCap
		samples = append(samples,
			sample{name + ", reached part", v.name, "% of the cap", usedPercent, v.target},
			sample{name + ", granted slots idle while work waits", v.name, "% of the cap", idlePercent, target{}},
			sample{name + ", store calls", v.name, "per second", float64(f.totals.storeCalls) / f.now.Seconds(), target{}})
	}
	return append(samples, sample{name + ", reached part", Bound + ": perfect split", "% of the cap", 100, target{}})
}
