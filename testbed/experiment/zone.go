package experiment

import (
	"time"

	"citrongauge.example/citrongauge/bundle"
)

const (
	zoneOut = 10 * time.Second
	// zoneNotice is the time between the roll-out that takes the zone out and its end.
	zoneNotice    = time.Second
	zoneBack      = 25 * time.Second
	zoneRamp      = bundle.DefaultRampMS * time.Millisecond
	zoneRun       = zoneBack + zoneRamp + 10*time.Second
	zoneSettled   = 5 * time.Second
	zoneStep      = 20 * time.Millisecond
	workAllowed   = 95
	rollOutSpread = 10 * time.Millisecond
)

// zoneWork holds the work of a stretch of time, in slot-seconds.
type zoneWork struct {
	done, allowed, ramped, rampedAllowed float64
}

func (w zoneWork) part() float64       { return 100 * w.done / w.allowed }
func (w zoneWork) rampedPart() float64 { return 100 * w.ramped / w.rampedAllowed }

func (w zoneWork) plus(o zoneWork) zoneWork {
	return zoneWork{w.done + o.done, w.allowed + o.allowed, w.ramped + o.ramped, w.rampedAllowed + o.rampedAllowed}
}

// zoneMeter adds work up. Work on a zone that is out or ramps up counts up to what is allowed there.
type zoneMeter struct {
	fleet *zoneFleet
	zone  string
	// before, away and back are the stretches before the zone leaves, while it is out and after its return.
	before, away, back zoneWork
}

func (m *zoneMeter) step() {
	now := m.fleet.now
	switch {
	case now < zoneSettled:
	case now < zoneOut:
		m.add(&m.before, 1, 1)
	case now < zoneBack:
		m.add(&m.away, 0, 0)
	default:
		m.add(&m.back, 1, min(1, float64(now-zoneBack)/float64(zoneRamp)))
	}
}

// add counts a step in which the zone may be used up to a part of its slots, without and with the ramp.
func (m *zoneMeter) add(w *zoneWork, part, rampedPart float64) {
	var remaining, inZone, zoneUsed, used float64
	for _, u := range m.fleet.order {
		if u.zone == m.zone {
			inZone += slotsPerHost
			zoneUsed += float64(u.used)
		} else {
			remaining += slotsPerHost
			used += float64(u.used)
		}
	}
	dt := zoneStep.Seconds()
	w.done += (used + min(zoneUsed, part*inZone)) * dt
	w.allowed += (remaining + part*inZone) * dt
	w.ramped += (used + min(zoneUsed, rampedPart*inZone)) * dt
	w.rampedAllowed += (remaining + rampedPart*inZone) * dt
}

// runZone loads a pool beyond its capacity while a zone leaves and returns. Unaware entry hosts get no bundle that says
// so; they learn from failed attempts only.
func runZone(d Deployment, seed uint64, aware bool, ramp, length time.Duration) (*zoneFleet, *zoneMeter) {
	z := newZoneFleet(d, seed)
	z.setRamp(ramp)
	m := &zoneMeter{fleet: z, zone: d.Zones[len(d.Zones)-1]}
	load := fullLoad * hostsPerService * slotsPerHost
	a := newArrivals(z.fleet, serviceName(0), taskRun, func(time.Duration) float64 { return load })
	a.plain = true
	a.start()
	z.every(0, zoneStep, m.step)
	z.after(zoneOut+zoneNotice, func() { z.setGone(m.zone, true) })
	z.after(zoneBack, func() { z.setGone(m.zone, false) })
	if aware {
		z.after(zoneOut, func() { z.setZone(m.zone, true) })
		z.after(zoneBack, func() { z.setZone(m.zone, false) })
	}
	z.runUntil(length)
	return z, m
}

// measureZone measures the work done while a zone leaves and returns, as a part of what the remaining capacity allows.
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
		z, m := runZone(d, seed, v.aware, v.ramp, zoneRun)
		all := m.away.plus(m.back)
		const unit = "% of what is allowed"
		if v.name == Measured {
			samples = append(samples,
				sample{"leave and return, ramp counted as not allowed", v.name, unit, all.rampedPart(), target{atLeast: workAllowed}},
				sample{"after the return, ramp counted as not allowed", v.name, unit, m.back.rampedPart(), target{}})
		}
		samples = append(samples,
			sample{"leave and return", v.name, unit, all.part(), target{}},
			sample{"before the leave", v.name, unit, m.before.part(), target{}},
			sample{"while the zone is out", v.name, unit, m.away.part(), target{}},
			sample{"after the return", v.name, unit, m.back.part(), target{}},
			sample{"tasks cut off by the end of the zone", v.name, "tasks", float64(z.cutOff), target{}})
	}
	return append(samples, sample{"leave and return", Bound + ": all-knowing", "% of what is allowed", 100, target{}})
}
