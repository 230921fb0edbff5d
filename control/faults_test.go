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

// TestAnyFaults guards the safety properties of docs/design.md, section 4.3, under random interleavings of faults:
// no host starts work under a lower version after acceptance, no held revision or version decreases, and only
// committed records with genuine bundles are adopted. After the faults end, the fleet must recover and accept the
// last version.
func TestAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Int64Range(0, 1<<40).Draw(t, "seed"))
		zones := rapid.SampledFrom([]string{"ab", "abc"}).Draw(t, "zones")
		s.startFleet(drawServeFor(t), zones, rapid.IntRange(2, 3).Draw(t, "hosts"))
		s.faults.unreliableNetwork = rapid.Bool().Draw(t, "unreliable network")
		for range rapid.IntRange(5, 40).Draw(t, "actions") {
			s.applyRandomAction(t)
			s.runFor(time.Duration(rapid.SampledFrom([]int{0, 20, 300, 1000, 3000, 4000}).Draw(t, "gap")) * time.Millisecond)
			s.requireNoViolations(t)
		}
		s.recoverFleet()
		for i := range 50 {
			s.runFor(time.Second)
			if s.recoveryProblem() == "" {
				break
			}
			if i > 25 {
				s.clearDeadHosts()
			}
		}
		s.checkResults()
		s.requireNoViolations(t)
		if problem := s.recoveryProblem(); problem != "" {
			t.Fatal(problem)
		}
	})
}

func drawServeFor(t *rapid.T) time.Duration {
	return time.Duration(rapid.SampledFrom([]int{0, 500, 2000, 6000}).Draw(t, "serve_for")) * time.Millisecond
}

// applyRandomAction draws one fault or request and applies it.
func (s *sim) applyRandomAction(t *rapid.T) {
	h := s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")]
	other := s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "other")]
	flag := rapid.IntRange(0, 2).Draw(t, "flag") > 0
	switch kind := rapid.SampledFrom(simActions).Draw(t, "action"); kind {
	case "kill and replace":
		h.dead = true
		s.addHost(h.self.Zone)
	case "kill":
		h.dead = h.dead || len(s.liveHosts()) > 3
	case "freeze":
		h.frozen = true
	case "resume":
		h.resume()
	case "block link":
		pairs := []string{h.self.ID + "|" + other.self.ID, h.self.Zone + "|" + other.self.Zone, h.self.Zone + "|store", h.self.ID + "|store"}
		s.faults.blockedLinks[rapid.SampledFrom(pairs).Draw(t, "link")] = flag
	case "partition":
		s.partitionSome(h, rapid.Uint16().Draw(t, "set"))
	case "reconnect":
		clear(s.faults.partitioned)
	case "store down":
		s.faults.storeDown = flag
	case "store slow":
		s.faults.storeSlow = flag
	case "lose responses":
		s.faults.loseResponses = flag
	case "replace zone":
		s.replaceZone(h.self.Zone)
	case "roll out":
		for _, from := range s.liveHosts() { // by a host that reaches the store, and sometimes by two hosts at once
			if !s.storeUnreachable(from.self) {
				s.rollout(from, drawServeFor(t))
				break
			}
		}
		if !flag {
			s.rollout(other, drawServeFor(t))
		}
	case "push forged record":
		s.pushForgedRecord(h, rapid.IntRange(0, 3).Draw(t, "forgery"))
	case "leave":
		h.deliver(Leave{})
	case "propose":
		h.deliver(Propose{ID: fmt.Sprint("p", s.now), Mutate: func(r *Record) error { r.PoolSeq++; return nil }})
	}
}

// simActions lists the actions of applyRandomAction. A repeated action is drawn more often.
var simActions = []string{"kill and replace", "kill", "freeze", "resume", "resume",
	"block link", "block link", "block link", "partition", "partition", "partition", "reconnect",
	"store down", "store slow", "lose responses", "replace zone", "roll out", "roll out", "roll out", "push forged record", "leave", "propose"}

// partitionSome partitions one host, its zone, part of its zone, or an arbitrary set of hosts.
func (s *sim) partitionSome(h *simHost, hostSet uint16) {
	clear(s.faults.partitioned)
	s.partition(h)
	for i, other := range s.hosts {
		inSet := hostSet&(1<<(i%14)) != 0
		switch hostSet >> 14 {
		case 1:
			inSet = other.self.Zone == h.self.Zone
		case 2:
			inSet = inSet && other.self.Zone == h.self.Zone
		case 3:
			inSet = false
		}
		if inSet {
			s.partition(other)
		}
	}
}

func (s *sim) replaceZone(zone string) {
	for _, h := range s.liveHosts() {
		if h.self.Zone == zone {
			h.dead = true
			s.addHost(zone)
		}
	}
}

// pushForgedRecord pushes a record that must be rejected: one with a forged or altered bundle, or with a lower
// version or revision.
func (s *sim) pushForgedRecord(h *simHost, forgery int) {
	if h.core.Record() == nil {
		return
	}
	record := h.core.Record().clone()
	record.WriterNonce = "forged"
	record.Revision += 5
	data := []byte(fmt.Sprintf("forged:%d:0", record.BundleVersion+1))
	switch forgery {
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

func (s *sim) recoverFleet() {
	s.clearFaults()
	for _, h := range s.hosts {
		if h.frozen && !h.dead {
			h.resume()
		}
	}
	if len(s.liveHosts()) == 0 {
		s.addHost("a")
	}
}

// clearDeadHosts acts as the operator who clears the dead hosts that settling waits for.
func (s *sim) clearDeadHosts() {
	event := ClearDeparted{ID: "clear"}
	for _, m := range s.current.Departed {
		if s.byID[m.ID].dead {
			event.Hosts = append(event.Hosts, m.ID)
		}
	}
	if len(event.Hosts) > 0 {
		s.liveHosts()[0].deliver(event)
	}
}

// checkResults compares the reported results of rollouts with what was committed.
func (s *sim) checkResults() {
	for version := range s.bundles {
		r, reported := s.results[fmt.Sprint("rollout-", version)]
		_, committed := s.committedAt[version]
		if reported && committed != (r.Err == nil) && (r.Err == nil || r.Err.Code != result.RolloutUnresolved) {
			s.addViolation("version %d: committed %v, reported %v", version, committed, r.Err)
		}
	}
}

// recoveryProblem describes why the fleet is not yet healthy, or returns the empty string.
func (s *sim) recoveryProblem() string {
	r := s.current
	if r.AcceptedVersion != r.BundleVersion || len(r.Departed)+len(r.PastRosters)+len(r.Suspects) > 0 {
		return fmt.Sprintf("current version %d, accepted %d; departed %v, past rosters %v", r.BundleVersion, r.AcceptedVersion, r.Departed, r.PastRosters)
	}
	for _, h := range s.liveHosts() {
		if p := h.core.Permission(h.clock()); h.revision != r.Revision || !p.OK {
			return fmt.Sprintf("%s holds revision %d of %d, permission %+v", h.self.ID, h.revision, r.Revision, p)
		}
	}
	if len(r.Roster) != len(s.liveHosts()) {
		return fmt.Sprintf("roster %v, live %d", r.Roster, len(s.liveHosts()))
	}
	return ""
}

// TestFrozenHost guards the limit of 3 s from commit to acceptance while one host is frozen. The host then resumes
// in a partition and reads store responses and heartbeats from before the commit, which must not give it permission.
func TestFrozenHost(t *testing.T) {
	for frozen := range 9 {
		s := newSim(int64(frozen))
		s.startFleet(10*time.Minute, "abc", 3)
		s.faults.storeSlow, s.faults.unreliableNetwork = true, true
		s.runFor(500 * time.Millisecond)
		s.hosts[frozen].frozen = true
		s.clearFaults()
		s.rollout(s.hosts[(frozen+1)%9], 10*time.Minute)
		s.runFor(6 * time.Second)
		s.requireNoViolations(t)
		wait := s.acceptedAt[s.lastVersion] - s.committedAt[s.lastVersion]
		t.Logf("host %d frozen at the commit: accepted %v later", frozen, wait)
		if s.acceptedAt[s.lastVersion] == 0 || wait > 3*time.Second {
			t.Errorf("host %d frozen: accepted %v after the commit", frozen, wait)
		}
		s.partition(s.hosts[frozen])
		s.hosts[frozen].resume()
		s.runFor(3 * time.Second)
		s.requireNoViolations(t)
	}
}

// TestRelayFailure guards against loss of permission in a zone whose relay dies. The isolation time is 0, so
// isolated mode cannot hide the loss.
func TestRelayFailure(t *testing.T) {
	is := is.New(t)
	for seed := range int64(20) {
		s := newSim(seed)
		s.startFleet(0, "abc", 3)
		s.runFor(time.Duration(s.rng.Intn(1000)) * time.Millisecond)
		s.hosts[0].dead = true
		s.runFor(8 * time.Second)
		for _, h := range s.liveHosts() {
			is.Equal(h.deniedChecks, 0)
		}
		is.Equal(len(s.current.Roster), 8)
		s.requireNoViolations(t)
	}
}

// TestStoreOutage guards against loss of permission while the store is down and all zones are connected.
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	for seed := range int64(20) {
		s := newSim(seed)
		s.startFleet(0, "abc", 3)
		s.rollout(s.hosts[0], 0)
		s.runFor(time.Duration(s.rng.Intn(1500)) * time.Millisecond)
		s.faults.storeDown = true
		s.runFor(20 * time.Second)
		for _, h := range s.hosts {
			is.Equal(h.deniedChecks, 0)
			is.True(h.modes[ModeOutage] > 0)
		}
		s.faults.storeDown = false
		s.runFor(5 * time.Second)
		is.Equal(s.evictions, 0)
		s.requireNoViolations(t)
	}
}

// TestPartitionedZone guards the isolation time: a partitioned zone keeps permission for serve_for and then loses
// it, and acceptance waits until then.
func TestPartitionedZone(t *testing.T) {
	is := is.New(t)
	const serveFor = 10 * time.Second
	for seed := range int64(10) {
		s := newSim(seed)
		s.startFleet(serveFor, "abc", 3)
		s.partition(s.hosts[0], s.hosts[3], s.hosts[6])
		s.runFor(time.Second)
		s.rollout(s.hosts[1], serveFor)
		s.runFor(serveFor - 2*time.Second)
		for _, h := range s.liveHosts() {
			is.Equal(h.deniedChecks, 0) // the zone keeps permission for serve_for
		}
		is.Equal(s.acceptedAt[s.lastVersion], time.Duration(0))
		s.runFor(7 * time.Second)
		is.True(!s.hosts[0].core.Permission(s.hosts[0].clock()).OK)
		is.True(s.acceptedAt[s.lastVersion] > 0)
		s.requireNoViolations(t)
	}
}

// TestReturningZone guards against two failures when a partitioned zone reconnects: its hosts need new incarnations
// and lose their running work, and a rollout waits serve_for for the evicted ones.
func TestReturningZone(t *testing.T) {
	is := is.New(t)
	const serveFor = 10 * time.Minute
	for seed := range int64(10) {
		s := newSim(seed)
		s.startFleet(serveFor, "abc", 3)
		s.partition(s.hosts[0], s.hosts[3], s.hosts[6])
		s.runFor(30 * time.Second)
		s.rollout(s.hosts[1], serveFor)
		s.runFor(5 * time.Second)
		is.Equal(s.acceptedAt[s.lastVersion], time.Duration(0)) // the zone still works under the old version
		s.clearFaults()
		s.runFor(3 * time.Second)
		is.True(s.acceptedAt[s.lastVersion] > 0)
		is.Equal(s.evictions, 0) // no host needed a new incarnation
		is.Equal(len(s.current.Departed), 0)
		s.requireNoViolations(t)
	}
}

// TestOldRosters guards against acceptance while partitioned hosts can still attest one another under an earlier
// roster. Each case partitions hosts that continue under version 1 and then rolls out version 2 elsewhere.
func TestOldRosters(t *testing.T) {
	cases := map[string]func(s *sim){
		"zone grows while half of it is partitioned": func(s *sim) {
			s.partition(s.hosts[0], s.hosts[2]) // a0 and a2; the other members of zone a are new
			for range 3 {
				s.addHost("a")
			}
			s.runFor(2 * time.Second)
		},
		"new zone while all others are partitioned": func(s *sim) {
			s.partition(s.hosts...)
			s.addHost("c")
			s.runFor(2 * time.Second)
		},
		"leaving host does not learn that it left": func(s *sim) {
			leaver := s.addHost("a")
			s.runFor(6 * time.Second)
			leaver.deliver(Leave{})
			s.faults.blockedLinks[s.hosts[0].self.ID+"|store"] = true
			for containsMember(s.current.Roster, leaver.self.ID) {
				s.runFor(100 * time.Microsecond)
			}
			s.partition(s.hosts[0], leaver)
		},
		"single host is partitioned": func(s *sim) { s.partition(s.hosts[0]) },
		"host is partitioned before it joined": func(s *sim) {
			joiner := s.addHost("a")
			for joiner.revision == 0 {
				s.runFor(100 * time.Microsecond)
			}
			s.runFor(5 * time.Millisecond)
			s.partition(joiner)
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSim(7)
			s.startFleet(8*time.Second, "ab", 2)
			prepare(s)
			for _, h := range s.hosts {
				if !s.faults.partitioned[h.self.ID] && !h.dead {
					s.rollout(h, 8*time.Second)
					break
				}
			}
			s.runFor(30 * time.Second)
			s.requireNoViolations(t)
			if s.current.BundleVersion < 2 {
				t.Fatal("version 2 was not committed")
			}
		})
	}
}
