package control

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

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
