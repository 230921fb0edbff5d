package experiment

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"citrongauge.example/citrongauge/control"
)

// maxJitter is the maximum jitter of a delay, as a fraction of the delay without jitter.
const maxJitter = 0.2

// watchTimeout is the time after which a watch whose response was lost fails.
const watchTimeout = 5 * time.Second

var errNoResponse = errors.New("store did not answer")

// controlFleet runs the control.Core of each entry host against a fake store and a fake network.
type controlFleet struct {
	fakeClock
	d     Deployment
	rng   *rand.Rand
	hosts []*controlHost
	// partitionedZone is the zone that is partitioned from the store and from the other zones, or empty.
	partitionedZone string

	revision uint64
	record   control.Record
	bundles  map[uint64][]byte
	watches  []*storeWatch
	// committedAt maps bundle versions to the times at which the store committed them, acceptedAt to the times at
	// which the store committed their acceptance.
	committedAt    map[uint64]time.Duration
	acceptedAt     map[uint64]time.Duration
	writeDurations map[uint64]time.Duration // duration of the store write of each bundle version
}

type storeWatch struct {
	host          *controlHost
	incarnationID string
	request       control.WatchStore
}

// controlHost is an entry host with its control core.
type controlHost struct {
	fleet      *controlFleet
	self       control.Member
	core       *control.Core
	frozen     bool
	nonceCount int
	// incarnationCount is the number of incarnations so far. Each has a core of its own.
	incarnationCount int
	// adoptedAt maps bundle versions to the times at which the host adopted them.
	adoptedAt map[uint64]time.Duration
}

func newControlFleet(d Deployment, seed uint64, serveFor time.Duration) *controlFleet {
	f := &controlFleet{
		d: d, rng: newRand(seed), bundles: make(map[uint64][]byte), committedAt: make(map[uint64]time.Duration),
		acceptedAt: make(map[uint64]time.Duration), writeDurations: make(map[uint64]time.Duration),
	}
	for _, m := range d.roster() {
		h := &controlHost{fleet: f, self: m, adoptedAt: make(map[uint64]time.Duration)}
		f.hosts = append(f.hosts, h)
		h.join()
		f.every(time.Duration(f.rng.Int64N(int64(control.TickInterval))), control.TickInterval, h.tick)
	}
	f.runUntil(100 * time.Millisecond)
	f.startRollout(f.hosts[0], serveFor)
	f.runUntil(10 * time.Second)
	return f
}

// join starts a new incarnation of the host.
func (h *controlHost) join() {
	h.incarnationCount++
	h.self.ID = fmt.Sprint(h.self.Address, ".", h.incarnationCount)
	var seeds []string
	for _, m := range h.fleet.d.roster() {
		seeds = append(seeds, m.Address)
	}
	h.core = control.New(control.Options{
		Self: h.self, VerifyBundle: verifyFakeBundle, SeedAddresses: seeds,
		NewNonce: func() string { h.nonceCount++; return fmt.Sprint(h.self.ID, "-", h.nonceCount) },
	})
	h.step(control.Join{})
}

// verifyFakeBundle replaces the verification of the bundle's signature. A fake bundle has the form
// "version:isolation time".
func verifyFakeBundle(version uint64, digest [32]byte, data []byte) (control.BundleInfo, error) {
	versionText, serveFor, ok := strings.Cut(string(data), ":")
	if !ok || versionText != strconv.FormatUint(version, 10) || sha256.Sum256(data) != digest {
		return control.BundleInfo{}, errors.New("bundle does not match its version or digest")
	}
	d, err := time.ParseDuration(serveFor)
	return control.BundleInfo{ServeFor: d}, err
}

// startRollout submits the next bundle version at an entry host and returns the version.
func (f *controlFleet) startRollout(h *controlHost, serveFor time.Duration) uint64 {
	version := f.record.BundleVersion + 1
	data := []byte(fmt.Sprintf("%d:%v", version, serveFor))
	f.bundles[version] = data
	h.step(control.Rollout{
		ID: fmt.Sprint(version), Base: version - 1, Version: version, Digest: sha256.Sum256(data), Bundle: data,
	})
	return version
}

func (h *controlHost) tick() { h.step(control.Tick{}) }

// eventFunc returns a function that passes an event to the core, unless the host has started a new incarnation by then.
func (h *controlHost) eventFunc(ev control.Event) func() {
	id := h.self.ID
	return func() {
		if h.self.ID == id {
			h.step(ev)
		}
	}
}

// step passes an event to the core and performs the resulting effects. A frozen host drops the event.
func (h *controlHost) step(ev control.Event) {
	if h.frozen {
		return
	}
	effects := append([]control.Effect(nil), h.core.Step(h.fleet.time(), ev)...)
	for _, e := range effects {
		h.perform(e)
	}
}

func (h *controlHost) perform(effect control.Effect) {
	f := h.fleet
	switch e := effect.(type) {
	case control.ReadStore:
		f.callStore(h, func() control.Event {
			return control.StoreReadCompleted{ID: e.ID, Snapshot: f.snapshot(e.KnownRevision, e.KnownBundleVersion)}
		}, control.StoreReadCompleted{ID: e.ID, Err: errNoResponse}, e.KnownBundleVersion)
	case control.WatchStore:
		f.watches = append(f.watches, &storeWatch{h, h.self.ID, e})
		f.notifyWatches()
	case control.CompareAndSwap:
		sentAt := f.now
		f.callStore(h, func() control.Event { return f.compareAndSwap(e, sentAt) },
			control.CASCompleted{ID: e.ID, Outcome: control.CASUnknown}, e.Record.BundleVersion)
	case control.SendHeartbeat:
		f.send(h, e.To, control.HeartbeatReceived{From: h.self, Heartbeat: e.Heartbeat})
	case control.PushRecord:
		f.send(h, e.To, control.RecordPushed{From: h.self, Record: *e.Record, Bundle: e.Bundle})
	case control.RecordAdopted:
		if _, ok := h.adoptedAt[e.Record.BundleVersion]; !ok {
			h.adoptedAt[e.Record.BundleVersion] = f.now
		}
	case control.Evicted:
		f.after(0, h.join)
	}
}

// delay adds random jitter to a delay.
func (f *controlFleet) delay(base time.Duration) time.Duration {
	return time.Duration(float64(base) * (1 + maxJitter*f.rng.Float64()))
}

func (f *controlFleet) isPartitioned(a, b string) bool {
	return a != b && (a == f.partitionedZone || b == f.partitionedZone)
}

// send delivers an event to the host with the address of to. If to names an incarnation, other incarnations drop it.
func (f *controlFleet) send(from *controlHost, to control.Member, ev control.Event) {
	for _, h := range f.hosts {
		if h.self.Address != to.Address || h == from || f.isPartitioned(from.self.Zone, h.self.Zone) {
			continue
		}
		f.after(f.delay(f.d.oneWayDelay(from.self.Zone, h.self.Zone)), func() {
			if to.ID == "" || to.ID == h.self.ID {
				h.step(ev)
			}
		})
	}
}

// callStore calls apply when the request reaches the store and passes the response to the core of h, or timedOut after
// a timeout if the host is partitioned. A new bundle takes a second call, as in the daemon.
func (f *controlFleet) callStore(
	h *controlHost, apply func() control.Event, timedOut control.Event, knownVersion uint64,
) {
	if h.self.Zone == f.partitionedZone {
		f.after(control.StoreTimeout, h.eventFunc(timedOut))
		return
	}
	id := h.self.ID
	f.after(f.delay(f.d.ZoneRTT/2)+f.delay(storeServiceTime), func() {
		response := apply()
		returnDelay := f.delay(f.d.ZoneRTT / 2)
		if read, ok := response.(control.StoreReadCompleted); ok {
			returnDelay += f.bundleReadTime(read.Snapshot, knownVersion)
		}
		if h.self.ID == id {
			f.after(returnDelay, h.eventFunc(response))
		}
	})
}

// bundleReadTime returns the duration of the call that reads the bundle, or 0 if the caller already has it.
func (f *controlFleet) bundleReadTime(s control.Snapshot, knownVersion uint64) time.Duration {
	if s.Record == nil || s.Record.BundleVersion == knownVersion {
		return 0
	}
	return f.delay(f.d.ZoneRTT) + f.delay(storeServiceTime)
}

func (f *controlFleet) snapshot(known, knownVersion uint64) control.Snapshot {
	s := control.Snapshot{StoreRevision: f.revision}
	if f.revision == 0 || f.revision == known {
		return s
	}
	record := f.record
	s.Record = &record
	if record.BundleVersion != knownVersion {
		s.Bundle = f.bundles[record.BundleVersion]
	}
	return s
}

func (f *controlFleet) compareAndSwap(e control.CompareAndSwap, sentAt time.Duration) control.Event {
	if e.Expected != f.revision {
		return control.CASCompleted{ID: e.ID, Outcome: control.CASConflict}
	}
	if e.Record.BundleVersion > f.record.BundleVersion {
		f.committedAt[e.Record.BundleVersion] = f.now
		f.writeDurations[e.Record.BundleVersion] = f.now - sentAt + f.d.ZoneRTT/2
	}
	if e.Record.AcceptedVersion > f.record.AcceptedVersion {
		f.acceptedAt[e.Record.AcceptedVersion] = f.now
	}
	f.revision++
	f.record = e.Record
	f.after(0, f.notifyWatches)
	return control.CASCompleted{ID: e.ID, Outcome: control.CASApplied, StoreRevision: f.revision}
}

// notifyWatches completes the watches for which there is a newer record than the one they know. Watches of partitioned
// hosts fail after watchTimeout, watches of earlier incarnations are dropped.
func (f *controlFleet) notifyWatches() {
	kept := f.watches[:0]
	for _, w := range f.watches {
		if w.host.self.ID != w.incarnationID {
			continue
		}
		if f.revision <= w.request.KnownRevision {
			kept = append(kept, w)
			continue
		}
		if w.host.self.Zone == f.partitionedZone {
			f.after(watchTimeout, w.host.eventFunc(control.StoreWatchCompleted{ID: w.request.ID, Err: errNoResponse}))
			continue
		}
		completed := control.StoreWatchCompleted{ID: w.request.ID, Snapshot: f.snapshot(w.request.KnownRevision, w.request.KnownBundleVersion)}
		returnDelay := f.delay(f.d.ZoneRTT/2) + f.bundleReadTime(completed.Snapshot, w.request.KnownBundleVersion)
		f.after(returnDelay, w.host.eventFunc(completed))
	}
	f.watches = kept
}
