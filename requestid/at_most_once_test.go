package requestid

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"citrongauge.example/citrongauge/control"
)

// TestAtMostOnce guards against running an ID twice and against reporting "not run" for an ID that was or will be run,
// under any combination of faults.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(rt, "seed"))
		s.lossy = rapid.Bool().Draw(rt, "lost responses")
		for range rapid.IntRange(10, 60).Draw(rt, "actions") {
			s.injectAction(rt)
			for range rapid.IntRange(0, 30).Draw(rt, "steps") {
				s.step(100 * time.Millisecond)
			}
			if s.violation != "" {
				rt.Fatal(s.violation)
			}
		}
	})
}

func (s *simulation) injectAction(rt *rapid.T) {
	var live []*simHost
	for _, h := range s.hosts {
		if !h.dead {
			live = append(live, h)
		}
	}
	h := live[rapid.IntRange(0, len(live)-1).Draw(rt, "host")]
	switch action := rapid.IntRange(0, 14).Draw(rt, "action"); {
	case action < 2 && !h.frozen:
		if ids, err := h.issuer.Issue(h.clock(), &h.record, 1); err == nil {
			s.ids = append(s.ids, ids[0])
		}
	case action < 8 && !h.frozen && len(s.ids) > 0:
		h.submit(s.ids[rapid.IntRange(max(0, len(s.ids)-3), len(s.ids)-1).Draw(rt, "id")])
	case action < 10:
		h.frozen = !h.frozen
	case action == 10:
		h.partitioned = !h.partitioned
		h.isolated = h.isolated || h.partitioned && !h.frozen && h.permitted()
	case action == 11 && len(live) > 1:
		h.dead = true
		s.join()
	case action == 12:
		s.restartUpstream(fmt.Sprintf("u%d", rapid.IntRange(0, 3).Draw(rt, "upstream")))
	case action == 13:
		n := rapid.IntRange(1, 3).Draw(rt, "upstream")
		s.updateRecord(func(r *control.Record) {
			r.PoolSeq++
			r.Assignments[n].Pool = map[string]string{"p": "q", "q": "p"}[r.Assignments[n].Pool]
		})
	case action == 14:
		for range rapid.IntRange(1, 700).Draw(rt, "seconds") {
			s.step(time.Second)
		}
	}
}
