package control

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"sort"
	"time"
)

// sim drives cores against a fake store and a fake network. Its checker knows only real time, what the store
// committed, and which starts the hosts' permission let through.
type sim struct {
	rng    *rand.Rand
	now    time.Duration // real time
	queue  []simEvent    // by time, the next one last
	hosts  []*simHost
	byID   map[string]*simHost
	epoch  time.Time
	faults faults
	faulty []string // violations

	storeRev  uint64
	stored    []byte
	bundles   map[uint64][]byte
	commits   map[uint64]string        // revision to nonce
	committed map[uint64]time.Duration // first commit of a version
	accepted  map[uint64]time.Duration // first commit of its acceptance
	current   Record                   // what the store holds
	results   map[string]WriteResult
	watches   map[*simHost]WatchStore
	versions  uint64
	evictions int
}

type faults struct {
	storeDown, storeSlow, loseAnswers bool
	messy                             bool            // delayed, reordered, duplicated messages
	cuts                              map[string]bool // pairs of zones, hosts or "store"
	away                              map[string]bool // hosts cut off together from the others and the store
}

type simHost struct {
	s         *sim
	core      *Core
	self      Member
	rate      float64
	frozen    bool
	dead      bool
	reports   bool // sends StartsEnded
	backlog   []func()
	inflight  map[uint64]int // starts by revision
	endedAt   uint64
	rev, ver  uint64
	granted   bool
	lost      int                      // permission checks refused after the first granted one
	adoptedAt map[uint64]time.Duration // by version
	modes     map[Mode]int
}

type simEvent struct {
	at  time.Duration
	run func()
}

func newSim(seed int64) *sim {
	s := &sim{rng: rand.New(rand.NewSource(seed)), byID: map[string]*simHost{}, epoch: time.Unix(1e9, 0),
		bundles: map[uint64][]byte{}, commits: map[uint64]string{}, committed: map[uint64]time.Duration{},
		accepted: map[uint64]time.Duration{}, results: map[string]WriteResult{}, watches: map[*simHost]WatchStore{}}
	s.noFaults()
	return s
}

func (s *sim) noFaults() {
	s.faults = faults{cuts: map[string]bool{}, away: map[string]bool{}}
}

// cutOff separates the hosts of a set from the others and from the store.
func (s *sim) cutOff(hosts ...*simHost) {
	for _, h := range hosts {
		s.faults.away[h.self.ID] = true
	}
}

func (s *sim) after(d time.Duration, run func()) {
	at := s.now + d
	i := sort.Search(len(s.queue), func(i int) bool { return s.queue[i].at <= at })
	s.queue = slices.Insert(s.queue, i, simEvent{at, run})
}

func (s *sim) runFor(d time.Duration) {
	end := s.now + d
	for n := len(s.queue) - 1; n >= 0 && s.queue[n].at <= end; n = len(s.queue) - 1 {
		ev := s.queue[n]
		s.queue = s.queue[:n]
		s.now = ev.at
		ev.run()
	}
	s.now = end
}

func (s *sim) violate(format string, args ...any) {
	s.faulty = append(s.faulty, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}

// makeBundle signs a bundle in the manner of verifyBundle.
func (s *sim) makeBundle(serveFor time.Duration) (uint64, []byte) {
	s.versions++
	data := []byte(fmt.Sprintf("signed:%d:%d", s.versions, serveFor.Milliseconds()))
	s.bundles[s.versions] = data
	return s.versions, data
}

func (s *sim) addHost(zone string) *simHost {
	id := fmt.Sprintf("%s%d", zone, len(s.hosts))
	h := &simHost{s: s, self: Member{ID: id, Zone: zone, Address: id}, rate: []float64{0.9765, 1, 1.0245}[s.rng.Intn(3)],
		inflight: map[uint64]int{}, adoptedAt: map[uint64]time.Duration{}, reports: s.rng.Intn(2) == 0, modes: map[Mode]int{}}
	nonce := 0
	opts := Options{Self: h.self, VerifyBundle: verifyBundle, Nonce: func() string { nonce++; return fmt.Sprint(id, "-", nonce) }}
	for _, other := range s.hosts {
		opts.Seeds = append(opts.Seeds, other.self.Address)
	}
	h.core = New(opts)
	s.hosts = append(s.hosts, h)
	s.byID[id] = h
	h.deliver(Join{})
	h.tick()
	h.work()
	return h
}

// clock is the host's own monotonic clock.
func (h *simHost) clock() time.Time {
	return h.s.epoch.Add(time.Duration(float64(h.s.now) * h.rate))
}

// deliver hands an event over, after the pause if the host is frozen.
func (h *simHost) deliver(ev Event) {
	if h.dead {
		return
	}
	if h.frozen {
		h.backlog = append(h.backlog, func() { h.deliver(ev) })
		return
	}
	for _, effect := range slices.Clone(h.core.Step(h.clock(), ev)) {
		h.perform(effect)
	}
}

func (h *simHost) tick() {
	if h.dead {
		return
	}
	if !h.frozen {
		h.deliver(Tick{})
		h.reportEnded()
	}
	h.s.after(time.Duration(float64(TickInterval)/h.rate), h.tick)
}

func (h *simHost) reportEnded() {
	rec := h.core.Record()
	if !h.reports || rec == nil || h.endedAt == rec.Revision {
		return
	}
	for revision, n := range h.inflight {
		if revision < rec.Revision && n > 0 {
			return
		}
	}
	h.endedAt = rec.Revision
	h.deliver(StartsEnded{Revision: rec.Revision})
}

// work checks permission and starts work up to ReservationTTL later, also if the host is frozen in between.
func (h *simHost) work() {
	if h.dead {
		return
	}
	if !h.frozen {
		h.checkPermission()
	}
	h.s.after(time.Duration(5+h.s.rng.Intn(20))*time.Millisecond, h.work)
}

func (h *simHost) checkPermission() {
	p := h.core.Permission(h.clock())
	h.modes[p.Mode]++
	if !p.OK {
		if h.granted {
			h.lost++
		}
		return
	}
	h.granted = true
	h.checkStart("permission", p)
	h.inflight[p.Revision]++
	delay := float64(ReservationTTL) / 0.9765 // the upstream's clock may be slow
	if h.s.rng.Intn(3) > 0 {
		delay *= h.s.rng.Float64()
	}
	h.s.after(time.Duration(delay), func() {
		h.inflight[p.Revision]--
		h.checkStart("start", p)
	})
}

func (h *simHost) checkStart(what string, p Permission) {
	for version, at := range h.s.accepted {
		if p.BundleVersion < version {
			h.s.violate("%s of %s under version %d (revision %d, %s), %v after version %d was accepted",
				what, h.self.ID, p.BundleVersion, p.Revision, p.Mode, h.s.now-at, version)
		}
	}
}

func (h *simHost) perform(effect Effect) {
	s := h.s
	switch e := effect.(type) {
	case ReadStore:
		s.call(h, func() Event { return StoreRead{ID: e.ID, Snapshot: s.snapshot(e.Known, e.KnownVersion)} },
			func() Event { return StoreRead{ID: e.ID, Err: errors.New("timeout")} })
	case WatchStore:
		s.watches[h] = e
		s.after(time.Millisecond, s.notify)
		s.after(5*time.Second, func() {
			if s.watches[h] == e {
				delete(s.watches, h)
				h.deliver(StoreWatched{ID: e.ID, Err: errors.New("timeout")})
			}
		})
	case CompareAndSwap:
		s.call(h, func() Event { return s.swap(h, e) }, func() Event { return CASAnswered{ID: e.ID, Outcome: CASUnknown} })
	case SendHeartbeat:
		data, err := EncodeHeartbeat(e.Heartbeat)
		decoded, failed := DecodeHeartbeat(data)
		if err != nil || failed != nil {
			s.violate("heartbeat: %v, %v", err, failed)
		}
		s.send(h, e.To, func(to *simHost) {
			to.deliver(HeartbeatReceived{From: h.self, Heartbeat: decoded})
		})
	case PushRecord:
		s.send(h, e.To, func(to *simHost) { to.deliver(RecordPushed{From: h.self, Record: *e.Record, Bundle: e.Bundle}) })
	case Adopted:
		h.adopted(e)
	case Evicted:
		s.evictions++
		h.dead = true
		s.addHost(h.self.Zone)
	case Left:
		h.dead = true
	case WriteResult:
		s.results[e.ID] = e
	}
}

func (h *simHost) adopted(e Adopted) {
	if e.Record.Revision <= h.rev || e.Record.BundleVersion < h.ver {
		h.s.violate("%s went from revision %d version %d to %d, %d", h.self.ID, h.rev, h.ver, e.Record.Revision, e.Record.BundleVersion)
	}
	if h.s.commits[e.Record.Revision] != e.Record.WriterNonce || !bytes.Equal(e.Bundle, h.s.bundles[e.Record.BundleVersion]) {
		h.s.violate("%s adopted revision %d, which is not the committed one", h.self.ID, e.Record.Revision)
	}
	h.rev, h.ver = e.Record.Revision, e.Record.BundleVersion
	setOnce(h.adoptedAt, h.ver, h.s.now)
}

func (s *sim) cut(a, b Member) bool {
	c := s.faults.cuts
	return s.faults.away[a.ID] != s.faults.away[b.ID] || c[a.ID+"|"+b.ID] || c[b.ID+"|"+a.ID] || a.Zone != b.Zone && (c[a.Zone+"|"+b.Zone] || c[b.Zone+"|"+a.Zone])
}

func (s *sim) storeCut(m Member) bool {
	return s.faults.storeDown || s.faults.away[m.ID] || s.faults.cuts[m.ID+"|store"] || s.faults.cuts[m.Zone+"|store"]
}

func (s *sim) latency() time.Duration {
	if s.faults.messy && s.rng.Intn(8) == 0 {
		return time.Duration(s.rng.Intn(2500)) * time.Millisecond
	}
	return time.Duration(200+s.rng.Intn(1000)) * time.Microsecond
}

func (s *sim) send(from *simHost, to Member, deliver func(*simHost)) {
	target := s.byID[to.Address] // addresses are IDs here
	copies := 1
	if s.faults.messy {
		copies = []int{0, 1, 1, 1, 1, 1, 2}[s.rng.Intn(7)]
	}
	for range copies {
		if target == nil || s.cut(from.self, target.self) {
			return
		}
		s.after(s.latency(), func() { deliver(target) })
	}
}

// call runs a store operation, which may take effect late, or although its answer is lost.
func (s *sim) call(h *simHost, apply, lost func() Event) {
	if s.storeCut(h.self) {
		s.after(StoreTimeout, func() { h.deliver(lost()) })
		return
	}
	delay := s.latency() + time.Millisecond
	if s.faults.storeSlow {
		delay += time.Duration(s.rng.Intn(2500)) * time.Millisecond
	}
	s.after(delay, func() {
		answer := apply()
		if s.faults.loseAnswers && s.rng.Intn(2) == 0 {
			answer = lost()
		}
		s.after(s.latency(), func() {
			if s.storeCut(h.self) {
				answer = lost()
			}
			h.deliver(answer)
		})
	})
}

func (s *sim) snapshot(known, knownVersion uint64) Snapshot {
	if s.storeRev == 0 || s.storeRev == known {
		return Snapshot{StoreRevision: s.storeRev}
	}
	record, err := DecodeRecord(s.stored)
	if err != nil {
		s.violate("stored record: %v", err)
	}
	snapshot := Snapshot{StoreRevision: s.storeRev, Record: &record}
	if record.BundleVersion != knownVersion {
		snapshot.Bundle = s.bundles[record.BundleVersion]
	}
	return snapshot
}

func (s *sim) swap(h *simHost, e CompareAndSwap) Event {
	if e.Expected != s.storeRev {
		return CASAnswered{ID: e.ID, Outcome: CASConflict}
	}
	data, err := EncodeRecord(e.Record)
	if err != nil || e.Record.Revision != s.current.Revision+1 {
		s.violate("%s wrote revision %d: %v", h.self.ID, e.Record.Revision, err)
	}
	s.storeRev += 3
	s.stored, s.current = data, e.Record
	s.commits[e.Record.Revision] = e.Record.WriterNonce
	setOnce(s.committed, e.Record.BundleVersion, s.now)
	setOnce(s.accepted, e.Record.AcceptedVersion, s.now)
	s.after(0, s.notify)
	return CASAnswered{ID: e.ID, Outcome: CASApplied, StoreRevision: s.storeRev}
}

// notify answers the watches that a write ends.
func (s *sim) notify() {
	for _, h := range s.hosts {
		if e, ok := s.watches[h]; ok && s.storeRev > e.Known && !s.storeCut(h.self) {
			delete(s.watches, h)
			answer := StoreWatched{ID: e.ID, Snapshot: s.snapshot(e.Known, e.KnownVersion)}
			s.after(s.latency(), func() {
				if s.storeCut(h.self) {
					answer = StoreWatched{ID: e.ID, Err: errors.New("timeout")}
				}
				h.deliver(answer)
			})
		}
	}
}

func (h *simHost) wake() {
	h.frozen = false
	backlog := h.backlog
	h.backlog = nil
	for _, run := range backlog {
		run()
	}
}

func (s *sim) rollOut(h *simHost, serveFor time.Duration) string {
	version, data := s.makeBundle(serveFor)
	id := fmt.Sprint("rollout-", version)
	h.deliver(RollOut{ID: id, Base: h.core.heldVersion(), Version: version, Digest: sha256.Sum256(data), Bundle: data})
	return id
}

func (s *sim) live() []*simHost {
	return slices.DeleteFunc(slices.Clone(s.hosts), func(h *simHost) bool { return h.dead || h.frozen })
}

// start brings up a fleet with n hosts in each zone under a first bundle.
func (s *sim) start(serveFor time.Duration, zones string, n int) {
	for i := range n * len(zones) {
		s.addHost(string(zones[i%len(zones)]))
	}
	s.runFor(100 * time.Millisecond)
	s.rollOut(s.hosts[0], serveFor)
	s.runFor(5 * time.Second)
}
