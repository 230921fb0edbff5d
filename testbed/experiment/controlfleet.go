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

// jitter is the largest part by which the delay of a message exceeds the mean of its way.
const jitter = 0.2

// watchTimeout is the time after which a watch whose answer was lost ends.
const watchTimeout = 5 * time.Second

var errStore = errors.New("no answer from the store")

// controlFleet runs the control cores of all entry hosts against a fake store and a fake network.
type controlFleet struct {
	clock
	d     Deployment
	rng   *rand.Rand
	hosts []*controlHost
	// cutZone is a zone that is cut off from the store and from the other zones.
	cutZone string

	revision uint64
	record   control.Record
	bundles  map[uint64][]byte
	watches  []*storeWatch
	// committed is the time at which the store took a bundle version, accepted that of its acceptance.
	committed map[uint64]time.Duration
	accepted  map[uint64]time.Duration
	writes    map[uint64]time.Duration // duration of the write of a bundle version
}

type storeWatch struct {
	host  *controlHost
	id    string // of the incarnation
	watch control.WatchStore
}

// controlHost is an entry host.
type controlHost struct {
	fleet  *controlFleet
	self   control.Member
	core   *control.Core
	frozen bool
	nonces int
	// incarnations counts the cores of this host.
	incarnations int
	// held is the time at which the host adopted a bundle version.
	held map[uint64]time.Duration
}

func newControlFleet(d Deployment, seed uint64, serveFor time.Duration) *controlFleet {
	f := &controlFleet{
		d: d, rng: newRand(seed), bundles: make(map[uint64][]byte), committed: make(map[uint64]time.Duration),
		accepted: make(map[uint64]time.Duration), writes: make(map[uint64]time.Duration),
	}
	for _, m := range d.members() {
		h := &controlHost{fleet: f, self: m, held: make(map[uint64]time.Duration)}
		f.hosts = append(f.hosts, h)
		h.join()
		f.every(time.Duration(f.rng.Int64N(int64(control.TickInterval))), control.TickInterval, h.tick)
	}
	f.runUntil(100 * time.Millisecond)
	f.rollOut(f.hosts[0], serveFor)
	f.runUntil(10 * time.Second)
	return f
}

// join starts a new incarnation.
func (h *controlHost) join() {
	h.incarnations++
	h.self.ID = fmt.Sprint(h.self.Address, ".", h.incarnations)
	var seeds []string
	for _, m := range h.fleet.d.members() {
		seeds = append(seeds, m.Address)
	}
	h.core = control.New(control.Options{
		Self: h.self, VerifyBundle: verifyFake, Seeds: seeds,
		Nonce: func() string { h.nonces++; return fmt.Sprint(h.self.ID, "-", h.nonces) },
	})
	h.step(control.Join{})
}

// verifyFake stands for the check of a signature. A fake bundle is its version and its isolation time.
func verifyFake(version uint64, digest [32]byte, data []byte) (control.BundleInfo, error) {
	number, serveFor, ok := strings.Cut(string(data), ":")
	if !ok || number != strconv.FormatUint(version, 10) || sha256.Sum256(data) != digest {
		return control.BundleInfo{}, errors.New("digest of the bundle")
	}
	d, err := time.ParseDuration(serveFor)
	return control.BundleInfo{ServeFor: d}, err
}

// rollOut gives the next bundle version to an entry host and returns the version.
func (f *controlFleet) rollOut(h *controlHost, serveFor time.Duration) uint64 {
	version := f.record.BundleVersion + 1
	data := []byte(fmt.Sprintf("%d:%v", version, serveFor))
	f.bundles[version] = data
	h.step(control.RollOut{
		ID: fmt.Sprint(version), Base: version - 1, Version: version, Digest: sha256.Sum256(data), Bundle: data,
	})
	return version
}

func (h *controlHost) tick() { h.step(control.Tick{}) }

// answer returns a function that hands an event to the present incarnation, if it still lives then.
func (h *controlHost) answer(ev control.Event) func() {
	id := h.self.ID
	return func() {
		if h.self.ID == id {
			h.step(ev)
		}
	}
}

// step hands an event to the core. A frozen host takes none.
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
		f.call(h, func() control.Event {
			return control.StoreRead{ID: e.ID, Snapshot: f.snapshot(e.Known, e.KnownVersion)}
		},
			control.StoreRead{ID: e.ID, Err: errStore}, e.KnownVersion)
	case control.WatchStore:
		f.watches = append(f.watches, &storeWatch{h, h.self.ID, e})
		f.notify()
	case control.CompareAndSwap:
		sent := f.now
		f.call(h, func() control.Event { return f.swap(e, sent) }, control.CASAnswered{ID: e.ID, Outcome: control.CASUnknown}, e.Record.BundleVersion)
	case control.SendHeartbeat:
		f.send(h, e.To, control.HeartbeatReceived{From: h.self, Heartbeat: e.Heartbeat})
	case control.PushRecord:
		f.send(h, e.To, control.RecordPushed{From: h.self, Record: *e.Record, Bundle: e.Bundle})
	case control.Adopted:
		if _, ok := h.held[e.Record.BundleVersion]; !ok {
			h.held[e.Record.BundleVersion] = f.now
		}
	case control.Evicted:
		f.after(0, h.join)
	}
}

// delay returns the time that a message takes.
func (f *controlFleet) delay(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (1 + jitter*f.rng.Float64()))
}

func (f *controlFleet) isCut(a, b string) bool { return a != b && (a == f.cutZone || b == f.cutZone) }

func (f *controlFleet) send(from *controlHost, to control.Member, ev control.Event) {
	for _, h := range f.hosts {
		if h.self.Address != to.Address || h == from || f.isCut(from.self.Zone, h.self.Zone) {
			continue
		}
		f.after(f.delay(f.d.oneWay(from.self.Zone, h.self.Zone)), func() {
			if to.ID == "" || to.ID == h.self.ID {
				h.step(ev)
			}
		})
	}
}

// call makes a call to the store. An answer that brings a new bundle takes a second call, as in the daemon.
func (f *controlFleet) call(h *controlHost, apply func() control.Event, lost control.Event, knownVersion uint64) {
	if h.self.Zone == f.cutZone {
		f.after(control.StoreTimeout, h.answer(lost))
		return
	}
	id := h.self.ID
	f.after(f.delay(f.d.ZoneRTT/2)+f.delay(storeService), func() {
		answer := apply()
		back := f.delay(f.d.ZoneRTT / 2)
		if read, ok := answer.(control.StoreRead); ok {
			back += f.bundleRead(read.Snapshot, knownVersion)
		}
		if h.self.ID == id {
			f.after(back, h.answer(answer))
		}
	})
}

func (f *controlFleet) bundleRead(s control.Snapshot, knownVersion uint64) time.Duration {
	if s.Record == nil || s.Record.BundleVersion == knownVersion {
		return 0
	}
	return f.delay(f.d.ZoneRTT) + f.delay(storeService)
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

func (f *controlFleet) swap(e control.CompareAndSwap, sent time.Duration) control.Event {
	if e.Expected != f.revision {
		return control.CASAnswered{ID: e.ID, Outcome: control.CASConflict}
	}
	if e.Record.BundleVersion > f.record.BundleVersion {
		f.committed[e.Record.BundleVersion] = f.now
		f.writes[e.Record.BundleVersion] = f.now - sent + f.d.ZoneRTT/2
	}
	if e.Record.AcceptedVersion > f.record.AcceptedVersion {
		f.accepted[e.Record.AcceptedVersion] = f.now
	}
	f.revision++
	f.record = e.Record
	f.after(0, f.notify)
	return control.CASAnswered{ID: e.ID, Outcome: control.CASApplied, StoreRevision: f.revision}
}

// notify answers the watches for which there is a new record.
func (f *controlFleet) notify() {
	kept := f.watches[:0]
	for _, w := range f.watches {
		if w.host.self.ID != w.id {
			continue
		}
		if f.revision <= w.watch.Known {
			kept = append(kept, w)
			continue
		}
		if w.host.self.Zone == f.cutZone {
			f.after(watchTimeout, w.host.answer(control.StoreWatched{ID: w.watch.ID, Err: errStore}))
			continue
		}
		answer := control.StoreWatched{ID: w.watch.ID, Snapshot: f.snapshot(w.watch.Known, w.watch.KnownVersion)}
		back := f.delay(f.d.ZoneRTT/2) + f.bundleRead(answer.Snapshot, w.watch.KnownVersion)
		f.after(back, w.host.answer(answer))
	}
	f.watches = kept
}
