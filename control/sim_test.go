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

// sim runs cores against a simulated store and network. Its checks use only real time, the records that the store
// committed, and the starts that the hosts' permission allowed.
type sim struct {
	rng        *rand.Rand
	now        time.Duration // real time
	queue      []simEvent    // in descending order of time; the next event is last
	hosts      []*simHost
	byID       map[string]*simHost
	epoch      time.Time
	faults     faults
	violations []string // descriptions of violated properties

	storeRev     uint64
	stored       []byte
	bundles      map[uint64][]byte
	writerNonces map[uint64]string        // writer nonce by revision
	committedAt  map[uint64]time.Duration // time of the first commit, by version
	acceptedAt   map[uint64]time.Duration // time of the first commit of its acceptance, by version
	current      Record                   // the record in the store
	results      map[string]WriteResult
	watches      map[*simHost]WatchStore
	lastVersion  uint64
	evictions    int
}

type faults struct {
	storeDown, storeSlow, loseResponses bool
	unreliableNetwork                   bool            // delays, reorders, drops and duplicates messages
	blockedLinks                        map[string]bool // pairs of zones or hosts, or one with "store", joined by "|"
	partitioned                         map[string]bool // hosts separated together from all others and from the store
}

type simHost struct {
	s                       *sim
	core                    *Core
	self                    Member
	clockRate               float64 // the rates of any two hosts differ by less than clockDriftPercent
	frozen                  bool
	dead                    bool
	reportsStartsEnded      bool // whether the host sends StartsEnded
	backlog                 []func()
	inflight                map[uint64]int // pending starts by revision
	reportedRevision        uint64
	revision, bundleVersion uint64
	hadPermission           bool
	deniedChecks            int                      // permission checks denied after the first granted one
	adoptedAt               map[uint64]time.Duration // by version
	modes                   map[Mode]int
}

type simEvent struct {
	at  time.Duration
	run func()
}

func newSim(seed int64) *sim {
	s := &sim{rng: rand.New(rand.NewSource(seed)), byID: map[string]*simHost{}, epoch: time.Unix(1e9, 0),
		bundles: map[uint64][]byte{}, writerNonces: map[uint64]string{}, committedAt: map[uint64]time.Duration{},
		acceptedAt: map[uint64]time.Duration{}, results: map[string]WriteResult{}, watches: map[*simHost]WatchStore{}}
	s.clearFaults()
	return s
}

func (s *sim) clearFaults() {
	s.faults = faults{blockedLinks: map[string]bool{}, partitioned: map[string]bool{}}
}

// partition separates a set of hosts from all others and from the store.
func (s *sim) partition(hosts ...*simHost) {
	for _, h := range hosts {
		s.faults.partitioned[h.self.ID] = true
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

func (s *sim) addViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}

// makeBundle returns the next version and a bundle that verifyBundle accepts.
func (s *sim) makeBundle(serveFor time.Duration) (uint64, []byte) {
	s.lastVersion++
	data := []byte(fmt.Sprintf("signed:%d:%d", s.lastVersion, serveFor.Milliseconds()))
	s.bundles[s.lastVersion] = data
	return s.lastVersion, data
}

func (s *sim) addHost(zone string) *simHost {
	id := fmt.Sprintf("%s%d", zone, len(s.hosts))
	h := &simHost{s: s, self: Member{ID: id, Zone: zone, Address: id}, clockRate: []float64{0.9765, 1, 1.0245}[s.rng.Intn(3)],
		inflight: map[uint64]int{}, adoptedAt: map[uint64]time.Duration{}, reportsStartsEnded: s.rng.Intn(2) == 0, modes: map[Mode]int{}}
	nonce := 0
	opts := Options{Self: h.self, VerifyBundle: verifyBundle, NewNonce: func() string { nonce++; return fmt.Sprint(id, "-", nonce) }}
	for _, other := range s.hosts {
		opts.SeedAddresses = append(opts.SeedAddresses, other.self.Address)
	}
	h.core = New(opts)
	s.hosts = append(s.hosts, h)
	s.byID[id] = h
	h.deliver(Join{})
	h.tick()
	h.runWork()
	return h
}

// clock returns the host's own monotonic time.
func (h *simHost) clock() time.Time {
	return h.s.epoch.Add(time.Duration(float64(h.s.now) * h.clockRate))
}

// deliver passes an event to the core, or queues it until the host resumes if it is frozen.
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
		h.reportStartsEnded()
	}
	h.s.after(time.Duration(float64(TickInterval)/h.clockRate), h.tick)
}

// reportStartsEnded sends StartsEnded once per revision, when no start from a lower revision is pending.
func (h *simHost) reportStartsEnded() {
	rec := h.core.Record()
	if !h.reportsStartsEnded || rec == nil || h.reportedRevision == rec.Revision {
		return
	}
	for revision, n := range h.inflight {
		if revision < rec.Revision && n > 0 {
			return
		}
	}
	h.reportedRevision = rec.Revision
	h.deliver(StartsEnded{Revision: rec.Revision})
}

// runWork periodically checks permission and starts work up to ReservationTTL later, even if the host is frozen in
// between.
func (h *simHost) runWork() {
	if h.dead {
		return
	}
	if !h.frozen {
		h.checkPermission()
	}
	h.s.after(time.Duration(5+h.s.rng.Intn(20))*time.Millisecond, h.runWork)
}

func (h *simHost) checkPermission() {
	p := h.core.Permission(h.clock())
	h.modes[p.Mode]++
	if !p.OK {
		if h.hadPermission {
			h.deniedChecks++
		}
		return
	}
	h.hadPermission = true
	h.checkBundleVersion("permission", p)
	h.inflight[p.Revision]++
	delay := float64(ReservationTTL) / 0.9765 // the upstream's clock may be slow
	if h.s.rng.Intn(3) > 0 {
		delay *= h.s.rng.Float64()
	}
	h.s.after(time.Duration(delay), func() {
		h.inflight[p.Revision]--
		h.checkBundleVersion("start", p)
	})
}

// checkBundleVersion records a violation if a higher bundle version than that of the permission is already accepted.
// what names the checked step in the message.
func (h *simHost) checkBundleVersion(what string, p Permission) {
	for version, at := range h.s.acceptedAt {
		if p.BundleVersion < version {
			h.s.addViolation("%s of %s under version %d (revision %d, %s), %v after version %d was accepted",
				what, h.self.ID, p.BundleVersion, p.Revision, p.Mode, h.s.now-at, version)
		}
	}
}

func (h *simHost) perform(effect Effect) {
	s := h.s
	switch e := effect.(type) {
	case ReadStore:
		s.storeCall(h, func() Event {
			return StoreReadCompleted{ID: e.ID, Snapshot: s.snapshot(e.KnownRevision, e.KnownBundleVersion)}
		},
			func() Event { return StoreReadCompleted{ID: e.ID, Err: errors.New("timeout")} })
	case WatchStore:
		s.watches[h] = e
		s.after(time.Millisecond, s.notifyWatches)
		s.after(5*time.Second, func() {
			if s.watches[h] == e {
				delete(s.watches, h)
				h.deliver(StoreWatchCompleted{ID: e.ID, Err: errors.New("timeout")})
			}
		})
	case CompareAndSwap:
		s.storeCall(h, func() Event { return s.compareAndSwap(h, e) }, func() Event { return CASCompleted{ID: e.ID, Outcome: CASUnknown} })
	case SendHeartbeat:
		data, err := EncodeHeartbeat(e.Heartbeat)
		decoded, failed := DecodeHeartbeat(data)
		if err != nil || failed != nil {
			s.addViolation("heartbeat: %v, %v", err, failed)
		}
		s.sendMessage(h, e.To, func(to *simHost) {
			to.deliver(HeartbeatReceived{From: h.self, Heartbeat: decoded})
		})
	case PushRecord:
		s.sendMessage(h, e.To, func(to *simHost) { to.deliver(RecordPushed{From: h.self, Record: *e.Record, Bundle: e.Bundle}) })
	case RecordAdopted:
		h.checkAdopted(e)
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

func (h *simHost) checkAdopted(e RecordAdopted) {
	if e.Record.Revision <= h.revision || e.Record.BundleVersion < h.bundleVersion {
		h.s.addViolation("%s went from revision %d version %d to %d, %d", h.self.ID, h.revision, h.bundleVersion, e.Record.Revision, e.Record.BundleVersion)
	}
	if h.s.writerNonces[e.Record.Revision] != e.Record.WriterNonce || !bytes.Equal(e.Bundle, h.s.bundles[e.Record.BundleVersion]) {
		h.s.addViolation("%s adopted a record at revision %d that was not committed", h.self.ID, e.Record.Revision)
	}
	h.revision, h.bundleVersion = e.Record.Revision, e.Record.BundleVersion
	setOnce(h.adoptedAt, h.bundleVersion, h.s.now)
}

func (s *sim) linkBlocked(a, b Member) bool {
	blocked := s.faults.blockedLinks
	return s.faults.partitioned[a.ID] != s.faults.partitioned[b.ID] || blocked[a.ID+"|"+b.ID] || blocked[b.ID+"|"+a.ID] || a.Zone != b.Zone && (blocked[a.Zone+"|"+b.Zone] || blocked[b.Zone+"|"+a.Zone])
}

func (s *sim) storeUnreachable(m Member) bool {
	return s.faults.storeDown || s.faults.partitioned[m.ID] || s.faults.blockedLinks[m.ID+"|store"] || s.faults.blockedLinks[m.Zone+"|store"]
}

func (s *sim) latency() time.Duration {
	if s.faults.unreliableNetwork && s.rng.Intn(8) == 0 {
		return time.Duration(s.rng.Intn(2500)) * time.Millisecond
	}
	return time.Duration(200+s.rng.Intn(1000)) * time.Microsecond
}

func (s *sim) sendMessage(from *simHost, to Member, deliver func(*simHost)) {
	target := s.byID[to.Address] // addresses are IDs in the simulation
	copies := 1
	if s.faults.unreliableNetwork {
		copies = []int{0, 1, 1, 1, 1, 1, 2}[s.rng.Intn(7)]
	}
	for range copies {
		if target == nil || s.linkBlocked(from.self, target.self) {
			return
		}
		s.after(s.latency(), func() { deliver(target) })
	}
}

// storeCall runs a store operation, which may be applied late, or be applied although its response is lost.
func (s *sim) storeCall(h *simHost, apply, lost func() Event) {
	if s.storeUnreachable(h.self) {
		s.after(StoreTimeout, func() { h.deliver(lost()) })
		return
	}
	delay := s.latency() + time.Millisecond
	if s.faults.storeSlow {
		delay += time.Duration(s.rng.Intn(2500)) * time.Millisecond
	}
	s.after(delay, func() {
		response := apply()
		if s.faults.loseResponses && s.rng.Intn(2) == 0 {
			response = lost()
		}
		s.after(s.latency(), func() {
			if s.storeUnreachable(h.self) {
				response = lost()
			}
			h.deliver(response)
		})
	})
}

func (s *sim) snapshot(known, knownVersion uint64) Snapshot {
	if s.storeRev == 0 || s.storeRev == known {
		return Snapshot{StoreRevision: s.storeRev}
	}
	record, err := DecodeRecord(s.stored)
	if err != nil {
		s.addViolation("stored record: %v", err)
	}
	snapshot := Snapshot{StoreRevision: s.storeRev, Record: &record}
	if record.BundleVersion != knownVersion {
		snapshot.Bundle = s.bundles[record.BundleVersion]
	}
	return snapshot
}

func (s *sim) compareAndSwap(h *simHost, e CompareAndSwap) Event {
	if e.Expected != s.storeRev {
		return CASCompleted{ID: e.ID, Outcome: CASConflict}
	}
	data, err := EncodeRecord(e.Record)
	if err != nil || e.Record.Revision != s.current.Revision+1 {
		s.addViolation("%s wrote revision %d: %v", h.self.ID, e.Record.Revision, err)
	}
	s.storeRev += 3 // unlike record revisions, store revisions need not be consecutive
	s.stored, s.current = data, e.Record
	s.writerNonces[e.Record.Revision] = e.Record.WriterNonce
	setOnce(s.committedAt, e.Record.BundleVersion, s.now)
	setOnce(s.acceptedAt, e.Record.AcceptedVersion, s.now)
	s.after(0, s.notifyWatches)
	return CASCompleted{ID: e.ID, Outcome: CASApplied, StoreRevision: s.storeRev}
}

// notifyWatches completes the watches for which a newer revision was written.
func (s *sim) notifyWatches() {
	for _, h := range s.hosts {
		if e, ok := s.watches[h]; ok && s.storeRev > e.KnownRevision && !s.storeUnreachable(h.self) {
			delete(s.watches, h)
			response := StoreWatchCompleted{ID: e.ID, Snapshot: s.snapshot(e.KnownRevision, e.KnownBundleVersion)}
			s.after(s.latency(), func() {
				if s.storeUnreachable(h.self) {
					response = StoreWatchCompleted{ID: e.ID, Err: errors.New("timeout")}
				}
				h.deliver(response)
			})
		}
	}
}

func (h *simHost) resume() {
	h.frozen = false
	backlog := h.backlog
	h.backlog = nil
	for _, run := range backlog {
		run()
	}
}

func (s *sim) rollout(h *simHost, serveFor time.Duration) string {
	version, data := s.makeBundle(serveFor)
	id := fmt.Sprint("rollout-", version)
	h.deliver(Rollout{ID: id, Base: h.core.heldBundleVersion(), Version: version, Digest: sha256.Sum256(data), Bundle: data})
	return id
}

func (s *sim) liveHosts() []*simHost {
	return slices.DeleteFunc(slices.Clone(s.hosts), func(h *simHost) bool { return h.dead || h.frozen })
}

// startFleet starts n hosts in each zone and rolls out a first bundle.
func (s *sim) startFleet(serveFor time.Duration, zones string, n int) {
	for i := range n * len(zones) {
		s.addHost(string(zones[i%len(zones)]))
	}
	s.runFor(100 * time.Millisecond)
	s.rollout(s.hosts[0], serveFor)
	s.runFor(5 * time.Second)
}
