package experiment

import (
	"math"
	"time"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
)

const (
	rollOutsAtRest = 5
	pollInterval   = time.Second
	// cutFor is how long a zone is cut off.
	cutFor = 30 * time.Second
	// acceptLimit is the time within which a version has to be accepted.
	acceptLimit = 3.0
)

// rollOutTimes are the times of one roll-out, counted from the request at the entry host.
type rollOutTimes struct {
	write    time.Duration // duration of the store write
	commit   time.Duration // the store took the record
	held     time.Duration // held by all entry hosts that can be reached
	accepted time.Duration // the store took the acceptance
}

// measureRollOut measures roll-outs at rest, with a frozen host and with a zone cut off.
func measureRollOut(d Deployment, seed uint64) []sample {
	samples := rollOutAtRest(d, seed)
	samples = append(samples, rollOutWithFrozenHost(d, seed)...)
	samples = append(samples, rollOutWithZoneCut(d, seed, 0, "zone cut off, serve_for 0")...)
	return append(samples, rollOutWithZoneCut(d, seed, bundle.DefaultServeForMS*time.Millisecond, "zone cut off, serve_for 10 min")...)
}

func (f *controlFleet) measure(from *controlHost, serveFor time.Duration, reachable func(*controlHost) bool) rollOutTimes {
	start := f.now
	version := f.rollOut(from, serveFor)
	f.runUntil(start + cutFor)
	t := rollOutTimes{write: f.writes[version], commit: f.committed[version] - start, accepted: never}
	t.held = since(start, f.heldBy(version, reachable))
	if at, ok := f.accepted[version]; ok {
		t.accepted = at - start
	}
	return t
}

// never stands for a time that was not reached.
const never = time.Duration(math.MaxInt64)

func since(start, at time.Duration) time.Duration {
	if at == never {
		return never
	}
	return at - start
}

// heldBy returns the time at which the last of the hosts adopted a version.
func (f *controlFleet) heldBy(version uint64, reachable func(*controlHost) bool) time.Duration {
	last := time.Duration(0)
	for _, h := range f.hosts {
		if !reachable(h) {
			continue
		}
		at, ok := h.held[version]
		if !ok {
			return never
		}
		last = max(last, at)
	}
	return last
}

func everyHost(*controlHost) bool { return true }

// pause lets a random time pass, so that roll-outs begin at different phases of the timers.
func (f *controlFleet) pause() {
	f.runUntil(f.now + time.Duration(f.rng.Int64N(int64(time.Second))))
}

func rollOutAtRest(d Deployment, seed uint64) []sample {
	samples := rollOutsFrom(d, seed, true, "at rest, at a relay")
	return append(samples, rollOutsFrom(d, seed, false, "at rest, at another host")...)
}

// rollOutsFrom makes roll-outs at hosts that are relays or at those that are none. A relay knows the store's revision of
// the record; another host has to read it first.
func rollOutsFrom(d Deployment, seed uint64, relay bool, name string) []sample {
	f := newControlFleet(d, seed, bundle.DefaultServeForMS*time.Millisecond)
	var held, spread, trips, accepted, polled, least []float64
	for range rollOutsAtRest {
		f.pause()
		t := f.measure(f.randomHost(relay), bundle.DefaultServeForMS*time.Millisecond, everyHost)
		held = append(held, millis(t.held))
		spread = append(spread, millis(since(t.commit, t.held)))
		trips = append(trips, float64(since(t.write, t.held))/float64(d.ZoneRTT))
		accepted = append(accepted, millis(t.accepted))
		polled = append(polled, millis(f.pollingHeld()))
		least = append(least, millis(d.ZoneRTT/2+storeService+d.ZoneRTT/2))
	}
	request := name + ", request to held by all"
	return []sample{
		{request, Measured, "ms", median(held), target{}},
		{request, Baseline + ": poll every 1 s", "ms", median(polled), target{}},
		{request, Bound + ": store write and one-way delays", "ms", median(least), target{}},
		{name + ", commit to held by all", Measured, "ms", median(spread), target{}},
		{request + " without the store write", Measured, "round trips", median(trips), target{atMost: 4}},
		{name + ", request to accepted", Measured, "ms", median(accepted), target{}},
	}
}

func (f *controlFleet) randomHost(relay bool) *controlHost {
	for {
		if h := f.hosts[f.rng.IntN(len(f.hosts))]; h.core.IsRelay() == relay {
			return h
		}
	}
}

// pollingHeld is the time from the request until all hosts hold a version if each one polls the store.
func (f *controlFleet) pollingHeld() time.Duration {
	call := func() time.Duration { return f.delay(f.d.ZoneRTT) + f.delay(storeService) }
	commit := call()
	last := time.Duration(0)
	for range f.hosts {
		last = max(last, time.Duration(f.rng.Int64N(int64(pollInterval)))+call()+call())
	}
	return commit + last
}

func rollOutWithFrozenHost(d Deployment, seed uint64) []sample {
	f := newControlFleet(d, seed, bundle.DefaultServeForMS*time.Millisecond)
	f.pause()
	frozen := f.rng.IntN(len(f.hosts))
	from := (frozen + 1 + f.rng.IntN(len(f.hosts)-1)) % len(f.hosts)
	f.hosts[frozen].frozen = true
	t := f.measure(f.hosts[from], bundle.DefaultServeForMS*time.Millisecond, func(h *controlHost) bool { return !h.frozen })
	return []sample{
		{"host frozen, request to held by all others", Measured, "ms", millis(t.held), target{}},
		{"host frozen, request to accepted", Measured, "s", seconds(t.accepted), target{atMost: acceptLimit}},
	}
}

// rollOutWithZoneCut cuts the last zone off. With an isolation time longer than the cut, acceptance has to wait for the
// return of the zone; its time is counted from then.
func rollOutWithZoneCut(d Deployment, seed uint64, serveFor time.Duration, name string) []sample {
	f := newControlFleet(d, seed, serveFor)
	f.pause()
	f.cutZone = d.Zones[len(d.Zones)-1]
	f.runUntil(f.now + time.Duration(f.rng.Int64N(int64(control.EvictAfter))))
	start := f.now
	from := f.hosts[f.rng.IntN(len(d.Zones)-1)]
	t := f.measure(from, serveFor, func(h *controlHost) bool { return h.self.Zone != f.cutZone })
	samples := []sample{{name + ", request to held by all others", Measured, "ms", millis(t.held), target{}}}
	if serveFor == 0 {
		return append(samples, sample{name + ", request to accepted", Measured, "s", seconds(t.accepted), target{atMost: acceptLimit}})
	}
	f.cutZone = ""
	returned := f.now
	f.runUntil(returned + serveFor + cutFor)
	held, accepted := f.heldBy(f.record.BundleVersion, everyHost), never
	if at, ok := f.accepted[f.record.BundleVersion]; ok && at > returned {
		accepted = at - returned
	}
	return append(samples,
		sample{name + ", held back while the zone is cut off", Measured, "s", seconds(returned - start), target{}},
		sample{name + ", return of the zone to held by all", Measured, "s", seconds(since(returned, held)), target{}},
		sample{name + ", return of the zone to accepted", Measured, "s", seconds(accepted), target{}})
}

// seconds returns NaN for a time that was not reached.
func seconds(d time.Duration) float64 {
	if d == never {
		return math.NaN()
	}
	return d.Seconds()
}

func millis(d time.Duration) float64 { return seconds(d) * 1000 }
