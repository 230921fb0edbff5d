package experiment

import (
	"time"

	"citrongauge.example/citrongauge/bundle"
)

const (
	zoneLeavesAt = 10 * time.Second
	// zoneNotice is the time between the rollout that takes the zone out of service and the failure of its upstreams.
	zoneNotice    = time.Second
	zoneReturnsAt = 25 * time.Second
	zoneRamp      = bundle.DefaultRampMS * time.Millisecond
	zoneEnd       = zoneReturnsAt + zoneRamp + 10*time.Second
	// zoneWarmUp is the time at the start of a run that is not measured.
	zoneWarmUp   = 5 * time.Second
	zoneInterval = 20 * time.Millisecond
	// minWorkPercent is the target for the work done, in percent of the usable capacity.
	minWorkPercent = 95
	// adoptionSpread is the maximum difference between the times at which the entry hosts adopt a bundle.
	adoptionSpread = 10 * time.Millisecond
)

// zoneWork holds the used and the usable capacity over a period, in slot-seconds. In used and usable, the returned zone
// counts fully at once; in rampUsed and rampUsable, it counts up to its ramp.
type zoneWork struct {
	used, usable, rampUsed, rampUsable float64
}

func (w zoneWork) percent() float64     { return 100 * w.used / w.usable }
func (w zoneWork) rampPercent() float64 { return 100 * w.rampUsed / w.rampUsable }

func (w zoneWork) add(o zoneWork) zoneWork {
	return zoneWork{w.used + o.used, w.usable + o.usable, w.rampUsed + o.rampUsed, w.rampUsable + o.rampUsable}
}

// zoneMeter adds up the work of the pool. Work in the zone that leaves counts only up to the capacity that may be used
// there at the time.
type zoneMeter struct {
	fleet *zoneFleet
	zone  string
	// before, out and returned cover the periods before the zone leaves, while it is out, and after its return.
	before, out, returned zoneWork
}

func (m *zoneMeter) sample() {
	now := m.fleet.now
	switch {
	case now < zoneWarmUp:
	case now < zoneLeavesAt:
		m.addSample(&m.before, 1, 1)
	case now < zoneReturnsAt:
		m.addSample(&m.out, 0, 0)
	default:
		m.addSample(&m.returned, 1, min(1, float64(now-zoneReturnsAt)/float64(zoneRamp)))
	}
}

// addSample adds one interval, in which the given fractions of the zone's slots may be used: usableFraction without and
// rampFraction with the ramp.
func (m *zoneMeter) addSample(w *zoneWork, usableFraction, rampFraction float64) {
	var otherSlots, zoneSlots, zoneUsed, otherUsed float64
	for _, u := range m.fleet.poolUpstreams {
		if u.zone == m.zone {
			zoneSlots += slotsPerHost
			zoneUsed += float64(u.usedSlots)
		} else {
			otherSlots += slotsPerHost
			otherUsed += float64(u.usedSlots)
		}
	}
	dt := zoneInterval.Seconds()
	w.used += (otherUsed + min(zoneUsed, usableFraction*zoneSlots)) * dt
	w.usable += (otherSlots + usableFraction*zoneSlots) * dt
	w.rampUsed += (otherUsed + min(zoneUsed, rampFraction*zoneSlots)) * dt
	w.rampUsable += (otherSlots + rampFraction*zoneSlots) * dt
}

// runZone overloads a pool while a zone leaves and returns. Unless aware is set, no bundle takes the zone out of
// service, and the entry hosts notice its absence only by failed attempts.
func runZone(d Deployment, seed uint64, aware bool, ramp, length time.Duration) (*zoneFleet, *zoneMeter) {
	z := newZoneFleet(d, seed)
	z.setRamp(ramp)
	meter := &zoneMeter{fleet: z, zone: d.Zones[len(d.Zones)-1]}
	load := overloadFactor * hostsPerService * slotsPerHost
	generator := newRequestGenerator(z.fleet, serviceName(0), taskRunTime, func(time.Duration) float64 { return load })
	generator.unitTasks = true
	generator.start()
	z.every(0, zoneInterval, meter.sample)
	z.after(zoneLeavesAt+zoneNotice, func() { z.setUnreachable(meter.zone, true) })
	z.after(zoneReturnsAt, func() { z.setUnreachable(meter.zone, false) })
	if aware {
		z.after(zoneLeavesAt, func() { z.setOutOfService(meter.zone, true) })
		z.after(zoneReturnsAt, func() { z.setOutOfService(meter.zone, false) })
	}
	z.runUntil(length)
	return z, meter
}

// measureZone measures the work done while a zone leaves and returns, in percent of the usable capacity.
func measureZone(d Deployment, seed uint64) []sample {
	var samples []sample
	for _, v := range []struct {
		name  string
		aware bool
		ramp  time.Duration
	}{
		{Measured, true, zoneRamp},
		{Trial + ": ramp_ms 0", true, 0},
		{Baseline + ": no awareness", false, zoneRamp},
	} {
		z, meter := runZone(d, seed, v.aware, v.ramp, zoneEnd)
		all := meter.out.add(meter.returned)
		const unit = "% of what is allowed"
		if v.name == Measured {
			samples = append(samples,
				sample{
					"leave and return, ramp counted as not allowed", v.name, unit, all.rampPercent(),
					target{atLeast: minWorkPercent},
				},
				sample{"after the return, ramp counted as not allowed", v.name, unit, meter.returned.rampPercent(), target{}})
		}
		samples = append(samples,
			sample{"leave and return", v.name, unit, all.percent(), target{}},
			sample{"before the leave", v.name, unit, meter.before.percent(), target{}},
			sample{"while the zone is out", v.name, unit, meter.out.percent(), target{}},
			sample{"after the return", v.name, unit, meter.returned.percent(), target{}},
			sample{"tasks cut off by the end of the zone", v.name, "tasks", float64(z.interruptedTasks), target{}})
	}
	return append(samples, sample{"leave and return", Bound + ": all-knowing", "% of what is allowed", 100, target{}})
}
