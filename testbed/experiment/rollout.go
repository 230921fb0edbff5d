package experiment

import (
	"math"
	"time"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
)

const (
	rolloutsPerRun = 5
	// pollInterval is the interval at which the hosts poll the store in the baseline.
	pollInterval = time.Second
	// partitionTime is how long a zone is partitioned. Every rollout is observed for this time.
	partitionTime = 30 * time.Second
	// maxAcceptSeconds is the target for the time until a version is accepted.
	maxAcceptSeconds = 3.0
)

// rolloutTimes holds the times of one rollout. Except for write, they are counted from the request at the entry host.
type rolloutTimes struct {
	write    time.Duration // duration of the store write
	commit   time.Duration // the store committed the record
	adopted  time.Duration // all reachable entry hosts have adopted the version
	accepted time.Duration // the store committed the acceptance
}

// measureRollout measures rollouts without faults, with a frozen host and with a partitioned zone.
func measureRollout(d Deployment, seed uint64) []sample {
	samples := rolloutsWithoutFaults(d, seed)
	samples = append(samples, rolloutWithFrozenHost(d, seed)...)
	samples = append(samples, rolloutWithPartition(d, seed, 0, "zone cut off, serve_for 0")...)
	return append(samples,
		rolloutWithPartition(d, seed, bundle.DefaultServeForMS*time.Millisecond, "zone cut off, serve_for 10 min")...)
}

// timeRollout starts a rollout at the given host, runs the fleet for partitionTime and returns the times of the
// rollout.
func (f *controlFleet) timeRollout(
	from *controlHost, serveFor time.Duration, reachable func(*controlHost) bool,
) rolloutTimes {
	start := f.now
	version := f.startRollout(from, serveFor)
	f.runUntil(start + partitionTime)
	t := rolloutTimes{write: f.writeDurations[version], commit: f.committedAt[version] - start, accepted: notReached}
	t.adopted = elapsed(start, f.adoptedByAll(version, reachable))
	if at, ok := f.acceptedAt[version]; ok {
		t.accepted = at - start
	}
	return t
}

// notReached is the value of a time or duration whose event did not occur during the run.
const notReached = time.Duration(math.MaxInt64)

func elapsed(start, at time.Duration) time.Duration {
	if at == notReached {
		return notReached
	}
	return at - start
}

// adoptedByAll returns the time at which the last of the reachable hosts adopted a version, or notReached.
func (f *controlFleet) adoptedByAll(version uint64, reachable func(*controlHost) bool) time.Duration {
	last := time.Duration(0)
	for _, h := range f.hosts {
		if !reachable(h) {
			continue
		}
		at, ok := h.adoptedAt[version]
		if !ok {
			return notReached
		}
		last = max(last, at)
	}
	return last
}

func allHosts(*controlHost) bool { return true }

// advanceRandomly advances the clock by a random time, so that rollouts start at different phases of the timers.
func (f *controlFleet) advanceRandomly() {
	f.runUntil(f.now + time.Duration(f.rng.Int64N(int64(time.Second))))
}

func rolloutsWithoutFaults(d Deployment, seed uint64) []sample {
	samples := rolloutsAt(d, seed, true, "at rest, at a relay")
	return append(samples, rolloutsAt(d, seed, false, "at rest, at another host")...)
}

// rolloutsAt measures rollouts that are requested either at relays or at other hosts. A relay knows the store revision
// of the record, while another host has to read it first.
func rolloutsAt(d Deployment, seed uint64, relay bool, name string) []sample {
	f := newControlFleet(d, seed, bundle.DefaultServeForMS*time.Millisecond)
	var adopted, afterCommit, roundTrips, accepted, polling, bounds []float64
	for range rolloutsPerRun {
		f.advanceRandomly()
		t := f.timeRollout(f.randomHost(relay), bundle.DefaultServeForMS*time.Millisecond, allHosts)
		adopted = append(adopted, millis(t.adopted))
		afterCommit = append(afterCommit, millis(elapsed(t.commit, t.adopted)))
		roundTrips = append(roundTrips, float64(elapsed(t.write, t.adopted))/float64(d.ZoneRTT))
		accepted = append(accepted, millis(t.accepted))
		polling = append(polling, millis(f.pollingTime()))
		bounds = append(bounds, millis(d.ZoneRTT/2+storeServiceTime+d.ZoneRTT/2))
	}
	request := name + ", request to held by all"
	return []sample{
		{request, Measured, "ms", median(adopted), target{}},
		{request, Baseline + ": poll every 1 s", "ms", median(polling), target{}},
		{request, Bound + ": store write and one-way delays", "ms", median(bounds), target{}},
		{name + ", commit to held by all", Measured, "ms", median(afterCommit), target{}},
		{request + " without the store write", Measured, "round trips", median(roundTrips), target{atMost: 4}},
		{name + ", request to accepted", Measured, "ms", median(accepted), target{}},
	}
}

// randomHost returns a random host that is a relay, or one that is not.
func (f *controlFleet) randomHost(relay bool) *controlHost {
	for {
		if h := f.hosts[f.rng.IntN(len(f.hosts))]; h.core.IsRelay() == relay {
			return h
		}
	}
}

// pollingTime returns the time from the request until all hosts have adopted a version if each host polls the store. It
// models the baseline.
func (f *controlFleet) pollingTime() time.Duration {
	call := func() time.Duration { return f.delay(f.d.ZoneRTT) + f.delay(storeServiceTime) }
	commit := call()
	last := time.Duration(0)
	for range f.hosts {
		last = max(last, time.Duration(f.rng.Int64N(int64(pollInterval)))+call()+call())
	}
	return commit + last
}

func rolloutWithFrozenHost(d Deployment, seed uint64) []sample {
	f := newControlFleet(d, seed, bundle.DefaultServeForMS*time.Millisecond)
	f.advanceRandomly()
	frozen := f.rng.IntN(len(f.hosts))
	from := (frozen + 1 + f.rng.IntN(len(f.hosts)-1)) % len(f.hosts)
	f.hosts[frozen].frozen = true
	t := f.timeRollout(f.hosts[from], bundle.DefaultServeForMS*time.Millisecond,
		func(h *controlHost) bool { return !h.frozen })
	return []sample{
		{"host frozen, request to held by all others", Measured, "ms", millis(t.adopted), target{}},
		{"host frozen, request to accepted", Measured, "s", seconds(t.accepted), target{atMost: maxAcceptSeconds}},
	}
}

// rolloutWithPartition measures a rollout while the last zone is partitioned. The isolation time must be 0 or longer
// than partitionTime. In the latter case, acceptance has to wait for the return of the zone, and its time is counted
// from the return.
func rolloutWithPartition(d Deployment, seed uint64, serveFor time.Duration, name string) []sample {
	f := newControlFleet(d, seed, serveFor)
	f.advanceRandomly()
	f.partitionedZone = d.Zones[len(d.Zones)-1]
	f.runUntil(f.now + time.Duration(f.rng.Int64N(int64(control.EvictAfter))))
	start := f.now
	from := f.hosts[f.rng.IntN(len(d.Zones)-1)]
	t := f.timeRollout(from, serveFor, func(h *controlHost) bool { return h.self.Zone != f.partitionedZone })
	samples := []sample{{name + ", request to held by all others", Measured, "ms", millis(t.adopted), target{}}}
	if serveFor == 0 {
		return append(samples, sample{
			name + ", request to accepted", Measured, "s", seconds(t.accepted), target{atMost: maxAcceptSeconds},
		})
	}
	f.partitionedZone = ""
	returned := f.now
	f.runUntil(returned + serveFor + partitionTime)
	adopted, accepted := f.adoptedByAll(f.record.BundleVersion, allHosts), notReached
	if at, ok := f.acceptedAt[f.record.BundleVersion]; ok && at > returned {
		accepted = at - returned
	}
	return append(samples,
		sample{name + ", held back while the zone is cut off", Measured, "s", seconds(returned - start), target{}},
		sample{name + ", return of the zone to held by all", Measured, "s", seconds(elapsed(returned, adopted)), target{}},
		sample{name + ", return of the zone to accepted", Measured, "s", seconds(accepted), target{}})
}

// seconds returns d in seconds, or NaN for notReached.
func seconds(d time.Duration) float64 {
	if d == notReached {
		return math.NaN()
	}
	return d.Seconds()
}

func millis(d time.Duration) float64 { return seconds(d) * 1000 }
