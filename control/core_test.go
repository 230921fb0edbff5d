package control

import (
	"crypto/sha256"
	"errors"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// verifyBundle accepts the bundles of makeBundle.
func verifyBundle(version uint64, digest [32]byte, data []byte) (BundleInfo, error) {
	parts := strings.Split(string(data), ":")
	if sha256.Sum256(data) != digest || len(parts) != 3 || parts[0] != "signed" || parts[1] != strconv.FormatUint(version, 10) {
		return BundleInfo{}, errors.New("signature or digest")
	}
	ms, err := strconv.Atoi(parts[2])
	return BundleInfo{ServeFor: time.Duration(ms) * time.Millisecond}, err
}

func setOnce(times map[uint64]time.Duration, version uint64, at time.Duration) {
	if _, ok := times[version]; !ok {
		times[version] = at
	}
}

func (s *sim) requireClean(t interface {
	Helper()
	Fatalf(string, ...any)
}) {
	t.Helper()
	if len(s.faulty) > 0 {
		t.Fatalf("%d violations, the first: %s", len(s.faulty), s.faulty[0])
	}
}

// TestHealthyRollOut guards against lost permission and slow roll-outs while nothing fails.
func TestHealthyRollOut(t *testing.T) {
	is := is.New(t)
	s := newSim(1)
	s.start(10*time.Minute, "abc", 3)
	for i := range 5 {
		id := s.rollOut(s.hosts[i], 10*time.Minute)
		s.runFor(3 * time.Second)
		is.Equal(s.results[id].Err, nil)
		version := s.versions
		for _, h := range s.hosts {
			is.True(h.adoptedAt[version] > 0)
			is.True(h.adoptedAt[version]-s.committed[version] < 3*time.Second)
		}
		is.True(s.accepted[version] > 0)
		t.Logf("version %d: accepted %v after commit", version, s.accepted[version]-s.committed[version])
	}
	for _, h := range s.hosts {
		is.Equal(h.lost, 0)
	}
	is.Equal(s.evictions, 0)
	s.requireClean(t)
}
