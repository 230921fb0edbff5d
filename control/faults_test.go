package control

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"citrongauge.example/citrongauge/result"
)

// TestAnyFaults guards the safety of section 4.3 against any interleaving of faults: no start under a lower
// version after acceptance, nothing held goes back, only committed records with genuine bundles are adopted. After
// the faults end, the fleet must recover and accept the last version.
func TestAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Int64Range(0, 1<<40).Draw(t, "seed"))
		zones := rapid.SampledFrom([]string{"ab", "abc"}).Draw(t, "zones")
		s.start(drawServeFor(t), zones, rapid.IntRange(2, 3).Draw(t, "hosts"))
		s.faults.messy = rapid.Bool().Draw(t, "messy")
		for range rapid.IntRange(5, 40).Draw(t, "actions") {
			s.act(t)
			s.runFor(time.Duration(rapid.SampledFrom([]int{0, 20, 300, 1000, 3000, 4000}).Draw(t, "gap")) * time.Millisecond)
			s.requireClean(t)
		}
		s.heal()
		for i := range 50 {
			s.runFor(time.Second)
			if s.unrecovered() == "" {
				break
			}
			if i > 25 {
				s.clearDead()
			}
		}
		s.checkResults()
		s.requireClean(t)
		if problem := s.unrecovered(); problem != "" {
			t.Fatal(problem)
		}
	})
}

func drawServeFor(t *rapid.T) time.Duration {
	return time.Duration(rapid.SampledFrom([]int{0, 500, 2000, 6000}).Draw(t, "serve_for")) * time.Millisecond
}

// act draws one fault or request.
func (s *sim) act(t *rapid.T) {
	h := s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")]
	other := s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "other")]
	flag := rapid.IntRange(0, 2).Draw(t, "flag") > 0
	switch kind := rapid.SampledFrom(simActions).Draw(t, "action"); kind {
	case "kill and replace":
		h.dead = true
		s.addHost(h.self.Zone)
	case "kill":
		h.dead = h.dead || len(s.live()) > 3
	case "freeze":
		h.frozen = true
	case "wake":
		h.wake()
	case "cut":
		pairs := []string{h.self.ID + "|" + other.self.ID, h.self.Zone + "|" + other.self.Zone, h.self.Zone + "|store", h.self.ID + "|store"}
		s.faults.cuts[rapid.SampledFrom(pairs).Draw(t, "cut")] = flag
	case "cut off":
		s.cutOffSome(h, rapid.Uint16().Draw(t, "set"))
	case "reconnect":
		clear(s.faults.away)
	case "store down":
		s.faults.storeDown = flag
	case "store slow":
		s.faults.storeSlow = flag
	case "answers lost":
		s.faults.loseAnswers = flag
	case "replace zone":
		s.replaceZone(h.self.Zone)
	case "roll out":
		for _, from := range s.live() { // by one that reaches the store, and sometimes by two at once
			if !s.storeCut(from.self) {
				s.rollOut(from, drawServeFor(t))
				break
			}
		}
		if !flag {
			s.rollOut(other, drawServeFor(t))
		}
	case "forge":
		s.forge(h, rapid.IntRange(0, 3).Draw(t, "forgery"))
	case "leave":
		h.deliver(Leave{})
	case "propose":
		h.deliver(Propose{ID: fmt.Sprint("p", s.now), Mutate: func(r *Record) error { r.PoolSeq++; return nil }})
	}
}

var simActions = []string{"kill and replace", "kill", "freeze", "wake", "wake", "cut", "cut", "cut", "cut off", "cut off", "cut off", "reconnect", "store down", "store slow",
	"answers lost", "replace zone", "roll out", "roll out", "roll out", "forge", "leave", "propose"}

// cutOffSome cuts off one host, its zone, its zone in part, or any set.
func (s *sim) cutOffSome(h *simHost, set uint16) {
	clear(s.faults.away)
	s.cutOff(h)
	for i, other := range s.hosts {
		inSet := set&(1<<(i%14)) != 0
		switch set >> 14 {
		case 1:
			inSet = other.self.Zone == h.self.Zone
		case 2:
			inSet = inSet && other.self.Zone == h.self.Zone
		case 3:
			inSet = false
		}
		if inSet {
			s.cutOff(other)
		}
	}
}

func (s *sim) replaceZone(zone string) {
	for _, h := range s.live() {
		if h.self.Zone == zone {
			h.dead = true
			s.addHost(zone)
		}
	}
}

// forge pushes a record that must be refused: with a forged or altered bundle, or one that goes back.
func (s *sim) forge(h *simHost, kind int) {
	if h.core.Record() == nil {
		return
	}
	record := h.core.Record().clone()
	record.WriterNonce = "forged"
	record.Revision += 5
	data := []byte(fmt.Sprintf("forged:%d:0", record.BundleVersion+1))
	switch kind {
	case 0: // not signed by an operator
		record.BundleVersion++
		record.BundleDigest = sha256.Sum256(data)
	case 1: // altered after signing
		record.BundleVersion++
		record.BundleDigest = sha256.Sum256([]byte("signed"))
	case 2: // lower version
		record.BundleVersion--
		data = s.bundles[record.BundleVersion]
		record.BundleDigest = sha256.Sum256(data)
	case 3: // lower revision
		record.Revision -= 5
	}
	h.deliver(RecordPushed{From: s.hosts[0].self, Record: record, Bundle: data})
}

func (s *sim) heal() {
	s.noFaults()
	for _, h := range s.hosts {
		if h.frozen && !h.dead {
			h.wake()
		}
	}
	if len(s.live()) == 0 {
		s.addHost("a")
	}
}

// clearDead stands for the operator who is told which hosts are waited for.
func (s *sim) clearDead() {
	clear := Clear{ID: "clear"}
	for _, m := range s.current.Departed {
		if s.byID[m.ID].dead {
			clear.Hosts = append(clear.Hosts, m.ID)
		}
	}
	if len(clear.Hosts) > 0 {
		s.live()[0].deliver(clear)
	}
}

// checkResults compares what operators were told with what was committed.
func (s *sim) checkResults() {
	for version := range s.bundles {
		r, told := s.results[fmt.Sprint("rollout-", version)]
		_, committed := s.committed[version]
		if told && committed != (r.Err == nil) && (r.Err == nil || r.Err.Code != result.RolloutUnresolved) {
			s.violate("version %d: committed %v, reported %v", version, committed, r.Err)
		}
	}
}

// unrecovered says what is missing for a healthy fleet.
func (s *sim) unrecovered() string {
	r := s.current
	if r.AcceptedVersion != r.BundleVersion || len(r.Departed)+len(r.PastRosters)+len(r.Suspects) > 0 {
		return fmt.Sprintf("version %d is in force, %d accepted; departed %v, past rosters %v", r.BundleVersion, r.AcceptedVersion, r.Departed, r.PastRosters)
	}
	for _, h := range s.live() {
		if p := h.core.Permission(h.clock()); h.rev != r.Revision || !p.OK {
			return fmt.Sprintf("%s holds revision %d of %d, permission %+v", h.self.ID, h.rev, r.Revision, p)
		}
	}
	if len(r.Roster) != len(s.live()) {
		return fmt.Sprintf("roster %v, live %d", r.Roster, len(s.live()))
	}
	return ""
}

// TestFrozenHost guards the bound of 3 s from commit to acceptance with one host frozen. The host wakes up cut off,
// with store answers and heartbeats from before the commit still to be read, which must not give it permission.
func TestFrozenHost(t *testing.T) {
	for frozen := range 9 {
		s := newSim(int64(frozen))
		s.start(10*time.Minute, "abc", 3)
		s.faults.storeSlow, s.faults.messy = true, true
		s.runFor(500 * time.Millisecond)
		s.hosts[frozen].frozen = true
		s.noFaults()
		s.rollOut(s.hosts[(frozen+1)%9], 10*time.Minute)
		s.runFor(6 * time.Second)
		s.requireClean(t)
		wait := s.accepted[s.versions] - s.committed[s.versions]
		t.Logf("host %d frozen at the commit: accepted %v after it", frozen, wait)
		if s.accepted[s.versions] == 0 || wait > 3*time.Second {
			t.Errorf("host %d frozen: accepted %v after the commit", frozen, wait)
		}
		s.cutOff(s.hosts[frozen])
		s.hosts[frozen].wake()
		s.runFor(3 * time.Second)
		s.requireClean(t)
	}
}

// TestKilledRelay guards against lost permission in a zone whose relay dies; no isolated mode helps out.
func TestKilledRelay(t *testing.T) {
	is := is.New(t)
	for seed := range int64(20) {
		s := newSim(seed)
		s.start(0, "abc", 3)
		s.runFor(time.Duration(s.rng.Intn(1000)) * time.Millisecond)
		s.hosts[0].dead = true
		s.runFor(8 * time.Second)
		for _, h := range s.live() {
			is.Equal(h.lost, 0)
		}
		is.Equal(len(s.current.Roster), 8)
		s.requireClean(t)
	}
}

// TestStoreOutage guards against lost permission while the store is down and all zones are connected.
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	for seed := range int64(20) {
		s := newSim(seed)
		s.start(0, "abc", 3)
		s.rollOut(s.hosts[0], 0)
		s.runFor(time.Duration(s.rng.Intn(1500)) * time.Millisecond)
		s.faults.storeDown = true
		s.runFor(20 * time.Second)
		for _, h := range s.hosts {
			is.Equal(h.lost, 0)
			is.True(h.modes[ModeOutage] > 0)
		}
		s.faults.storeDown = false
		s.runFor(5 * time.Second)
		is.Equal(s.evictions, 0)
		s.requireClean(t)
	}
}

// TestCutOffZone guards the isolation time: the zone keeps permission for serve_for and loses it then, and
// acceptance waits for it.
func TestCutOffZone(t *testing.T) {
	is := is.New(t)
	const serveFor = 10 * time.Second
	for seed := range int64(10) {
		s := newSim(seed)
		s.start(serveFor, "abc", 3)
		s.cutOff(s.hosts[0], s.hosts[3], s.hosts[6])
		s.runFor(time.Second)
		s.rollOut(s.hosts[1], serveFor)
		s.runFor(serveFor - 2*time.Second)
		for _, h := range s.live() {
			is.Equal(h.lost, 0) // the zone goes on for serve_for
		}
		is.Equal(s.accepted[s.versions], time.Duration(0))
		s.runFor(7 * time.Second)
		is.True(!s.hosts[0].core.Permission(s.hosts[0].clock()).OK)
		is.True(s.accepted[s.versions] > 0)
		s.requireClean(t)
	}
}

// TestReturningZone guards against a zone that comes back after a cut and loses its work to a new incarnation, and
// against a roll-out that then waits for the evicted one for serve_for.
func TestReturningZone(t *testing.T) {
	is := is.New(t)
	const serveFor = 10 * time.Minute
	for seed := range int64(10) {
		s := newSim(seed)
		s.start(serveFor, "abc", 3)
		s.cutOff(s.hosts[0], s.hosts[3], s.hosts[6])
		s.runFor(30 * time.Second)
		s.rollOut(s.hosts[1], serveFor)
		s.runFor(5 * time.Second)
		is.Equal(s.accepted[s.versions], time.Duration(0)) // the zone still serves under the old version
		s.noFaults()
		s.runFor(3 * time.Second)
		is.True(s.accepted[s.versions] > 0)
		is.Equal(s.evictions, 0) // no host needed a new incarnation
		is.Equal(len(s.current.Departed), 0)
		s.requireClean(t)
	}
}

// TestOldRosters guards against acceptance while hosts that are cut off can still attest one another under an
// earlier roster. Each case cuts off hosts that then work under version 1, and rolls out version 2 elsewhere.
func TestOldRosters(t *testing.T) {
	cases := map[string]func(s *sim){
		"zone grows while half of it is cut off": func(s *sim) {
			s.cutOff(s.hosts[0], s.hosts[2]) // a0, a2 and the rest of zone a is new
			for range 3 {
				s.addHost("a")
			}
			s.runFor(2 * time.Second)
		},
		"new zone while all others are cut off": func(s *sim) {
			s.cutOff(s.hosts...)
			s.addHost("c")
			s.runFor(2 * time.Second)
		},
		"leaving host does not learn that it left": func(s *sim) {
			leaver := s.addHost("a")
			s.runFor(6 * time.Second)
			leaver.deliver(Leave{})
			s.faults.cuts[s.hosts[0].self.ID+"|store"] = true
			for containsMember(s.current.Roster, leaver.self.ID) {
				s.runFor(100 * time.Microsecond)
			}
			s.cutOff(s.hosts[0], leaver)
		},
		"single host is cut off": func(s *sim) { s.cutOff(s.hosts[0]) },
		"host is cut off before it joined": func(s *sim) {
			joiner := s.addHost("a")
			for joiner.rev == 0 {
				s.runFor(100 * time.Microsecond)
			}
			s.runFor(5 * time.Millisecond)
			s.cutOff(joiner)
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSim(7)
			s.start(8*time.Second, "ab", 2)
			prepare(s)
			for _, h := range s.hosts {
				if !s.faults.away[h.self.ID] && !h.dead {
					s.rollOut(h, 8*time.Second)
					break
				}
			}
			s.runFor(30 * time.Second)
			s.requireClean(t)
			if s.current.BundleVersion < 2 {
				t.Fatal("version 2 was not committed")
			}
		})
	}
}
