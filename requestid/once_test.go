package requestid

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"citrongauge.example/citrongauge/control"
)

// Guards against two runs of one ID and against "not run" for an ID that was or will be run, whatever fails.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(rt, "seed"))
		w.lost = rapid.Bool().Draw(rt, "lost answers")
		for range rapid.IntRange(10, 60).Draw(rt, "actions") {
			w.act(rt)
			for range rapid.IntRange(0, 30).Draw(rt, "steps") {
				w.step(100 * time.Millisecond)
			}
			if w.err != "" {
				rt.Fatal(w.err)
			}
		}
	})
}

func (w *world) act(rt *rapid.T) {
	var live []*simHost
	for _, h := range w.hosts {
		if !h.dead {
			live = append(live, h)
		}
	}
	h := live[rapid.IntRange(0, len(live)-1).Draw(rt, "host")]
	switch action := rapid.IntRange(0, 14).Draw(rt, "action"); {
	case action < 2 && !h.frozen:
		if ids, err := h.issuer.Issue(h.clock(), &h.record, 1); err == nil {
			w.ids = append(w.ids, ids[0])
		}
	case action < 8 && !h.frozen && len(w.ids) > 0:
		h.submit(w.ids[rapid.IntRange(max(0, len(w.ids)-3), len(w.ids)-1).Draw(rt, "id")])
	case action < 10:
		h.frozen = !h.frozen
	case action == 10:
		h.cut = !h.cut
		h.isolated = h.isolated || h.cut && !h.frozen && h.permitted()
	case action == 11 && len(live) > 1:
		h.dead = true
		w.join()
	case action == 12:
		w.boot(fmt.Sprintf("u%d", rapid.IntRange(0, 3).Draw(rt, "upstream")))
	case action == 13:
		n := rapid.IntRange(1, 3).Draw(rt, "upstream")
		w.change(func(r *control.Record) {
			r.PoolSeq++
			r.Assignments[n].Pool = map[string]string{"p": "q", "q": "p"}[r.Assignments[n].Pool]
		})
	case action == 14:
		for range rapid.IntRange(1, 700).Draw(rt, "seconds") {
			w.step(time.Second)
		}
	}
}
