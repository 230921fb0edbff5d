package control

import (
	"crypto/sha256"
	"errors"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/result"
)

// verifyBundle accepts the bundles that sim.makeBundle creates.
func verifyBundle(version uint64, digest [32]byte, data []byte) (BundleInfo, error) {
	parts := strings.Split(string(data), ":")
	if sha256.Sum256(data) != digest || len(parts) != 3 || parts[0] != "signed" || parts[1] != strconv.FormatUint(version, 10) {
		return BundleInfo{}, errors.New("invalid signature or digest")
	}
	ms, err := strconv.Atoi(parts[2])
	return BundleInfo{ServeFor: time.Duration(ms) * time.Millisecond}, err
}

func setOnce(times map[uint64]time.Duration, version uint64, at time.Duration) {
	if _, ok := times[version]; !ok {
		times[version] = at
	}
}

func (s *sim) requireNoViolations(t interface {
	Helper()
	Fatalf(string, ...any)
}) {
	t.Helper()
	if len(s.violations) > 0 {
		t.Fatalf("%d violations, first: %s", len(s.violations), s.violations[0])
	}
}

// TestHealthyRollout guards against loss of permission and slow rollouts in a fleet without faults.
func TestHealthyRollout(t *testing.T) {
	is := is.New(t)
	s := newSim(1)
	s.startFleet(20*time.Minute, "abc", 3)
	for i := range 5 {
		id := s.rollout(s.hosts[i], 10*time.Minute)
		s.runFor(3 * time.Second)
		is.Equal(s.results[id].Err, nil)
		version, slowest := s.lastVersion, time.Duration(0)
		for _, h := range s.hosts {
			is.True(h.adoptedAt[version] > 0)
			slowest = max(slowest, h.adoptedAt[version]-s.committedAt[version])
		}
		is.True(slowest < 3*time.Second)
		is.True(s.acceptedAt[version] > 0)
		t.Logf("version %d: held by all hosts %v after the commit, accepted after %v", version, slowest, s.acceptedAt[version]-s.committedAt[version])
	}
	for _, h := range s.hosts {
		is.Equal(h.deniedChecks, 0)
	}
	is.Equal(s.evictions, 0)
	is.Equal(s.current.MaxServeForMS, int64(10*60*1000)) // the longer isolation time of the first bundle no longer counts
	s.requireNoViolations(t)
}

// TestLostRollOut guards against reporting a rollout as not committed although it was committed: the store's
// response was lost, and the revision was replaced before the host could read it.
func TestLostRollOut(t *testing.T) {
	is := is.New(t)
	s := newSim(2)
	s.startFleet(0, "abc", 2)
	h := s.hosts[1]
	id := s.rollout(h, 0)
	for s.committedAt[s.lastVersion] == 0 {
		s.runFor(time.Microsecond) // the host is partitioned before the response arrives
	}
	s.partition(h)
	is.Equal(h.core.Record().BundleVersion, uint64(1))
	s.hosts[0].deliver(Propose{ID: "p", Mutate: func(r *Record) error { r.PoolSeq++; return nil }})
	s.runFor(500 * time.Millisecond)
	is.Equal(s.results["p"].Err, nil)
	s.clearFaults()
	s.faults.blockedLinks[h.self.ID+"|store"] = true
	s.runFor(6 * time.Second)
	is.Equal(s.results[id].Err.Code, result.RolloutUnresolved)
}

// TestResentWrite guards against computing freshness from the send time of a resent write whose first copy was
// applied: the store may have changed between the two.
func TestResentWrite(t *testing.T) {
	is := is.New(t)
	c, now := fullSizeCore(t), time.Unix(1e9, 0)
	record := c.record
	var reads, writes []uint64
	step := func(after time.Duration, ev Event) {
		now = now.Add(after)
		for _, effect := range c.Step(now, ev) {
			switch e := effect.(type) {
			case ReadStore:
				reads = append(reads, e.ID)
			case CompareAndSwap:
				writes = append(writes, e.ID)
			}
		}
	}
	read := func(after time.Duration) {
		step(after, StoreReadCompleted{ID: reads[len(reads)-1], Snapshot: Snapshot{StoreRevision: 1, Record: record}})
	}
	step(0, Propose{ID: "p", Mutate: func(r *Record) error { r.PoolSeq++; return nil }})
	read(0)
	step(StoreTimeout, Tick{})
	read(0)
	step(TickInterval, Tick{}) // sends the last read
	lastRead := now
	read(StoreTimeout / 2)
	is.Equal(len(writes), 2)
	step(0, CASCompleted{ID: writes[0], Outcome: CASApplied, StoreRevision: 2})
	is.True(c.Permission(lastRead.Add(PermitTTL - 1)).OK)
	is.True(!c.Permission(lastRead.Add(PermitTTL)).OK)
}

// TestLeaveBeforeJoin guards against a host that waits forever to leave a roster that it is not in.
func TestLeaveBeforeJoin(t *testing.T) {
	is := is.New(t)
	c := New(Options{Self: Member{ID: "a", Zone: "z"}})
	c.Step(time.Unix(1e9, 0), Leave{})
	effects := c.Step(time.Unix(1e9, 1), Tick{})
	is.Equal(effects[len(effects)-1], Left{})
}
