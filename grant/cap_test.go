package grant

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against more work than a team's cap at the upstreams, whatever fails: hosts are killed, frozen, cut off
// and woken, the store is down, slow or loses answers, and caps and demand change.
func TestCapIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		hosts := rapid.IntRange(2, 6).Draw(rt, "hosts")
		slots := rapid.IntRange(1, 3).Draw(rt, "slots")
		limit := rapid.IntRange(1, 40).Draw(rt, "cap")
		f := newFleet(seed, hosts, 2, slots, map[string]int{"a": limit})
		f.latency = time.Duration(rapid.SampledFrom([]int{20, 200}).Draw(rt, "latency in ms")) * time.Millisecond
		f.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(rt, "loss")
		longest := rapid.IntRange(100, 40000).Draw(rt, "longest run in ms")
		f.runTime = func() time.Duration { return f.delay(time.Duration(longest) * time.Millisecond) }
		for range rapid.IntRange(10, 80).Draw(rt, "actions") {
			f.act(rt)
			for range rapid.IntRange(1, 60).Draw(rt, "steps") {
				f.step()
			}
			if f.err != "" {
				rt.Fatal(f.err)
			}
		}
	})
}

func (f *fleet) act(rt *rapid.T) {
	var live []*simHost
	for _, h := range f.hosts {
		if !h.dead {
			live = append(live, h)
		}
	}
	h := live[rapid.IntRange(0, len(live)-1).Draw(rt, "host")]
	switch rapid.IntRange(0, 9).Draw(rt, "action") {
	case 0, 1, 2:
		h.queue["a"] = rapid.IntRange(0, 60).Draw(rt, "queue")
	case 3:
		h.frozen = !h.frozen
	case 4:
		h.cut = !h.cut
		h.isolated = h.isolated || h.cut && !h.frozen && h.permitted()
	case 5:
		f.setCap("a", rapid.IntRange(0, 40).Draw(rt, "new cap"))
	case 6:
		f.setCap("a", rapid.IntRange(0, 40).Draw(rt, "new cap"))
		f.setCap("a", rapid.IntRange(0, 40).Draw(rt, "next cap"))
	case 7:
		f.down = !f.down
	case 8:
		f.slow = !f.slow
	case 9:
		if len(live) > 1 {
			h.dead = true
			f.join(h.member.Zone)
		}
	}
}

// Guards against a grant that returns while the dead host's work still runs: the host is frozen between the check
// and the sending of a renewal, wakes just before the lease lapses, and is gone for good after that.
func TestDelayedRenewal(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		f := newFleet(seed, 2, 2, 1, map[string]int{"a": 1})
		f.latency = simStep
		f.runTime = func() time.Duration { return time.Hour }
		h := f.hosts[0]
		h.queue["a"] = 1
		for len(f.running) == 0 || !h.renewAt.Equal(f.now) {
			f.step()
		}
		h.frozen = true
		f.hosts[1].queue["a"] = 1
		for lease := f.running[0].lease; f.now.Before(lease.Add(-4 * simStep)); {
			f.step()
		}
		h.frozen = false
		f.step()
		h.dead = true
		for range time.Minute / simStep {
			f.step()
		}
		is.Equal(f.err, "")
		is.Equal(f.hosts[1].account.InUse("a"), 1) // the slot has returned
	}
}

// Guards against starts that rest on an old cap: a host is idle or frozen while the cap is raised and used by
// another host, and works again when it was lowered, before or after the raised version was accepted.
func TestSkippedVersion(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(100) {
		f := newFleet(seed, 2, 2, 1, map[string]int{"a": 10})
		f.latency = simStep
		f.runTime = func() time.Duration { return simStep }
		steps := func(d time.Duration) {
			for range d / simStep {
				f.step()
			}
		}
		sleeper, other := f.hosts[0], f.hosts[1]
		sleeper.queue["a"] = 5
		steps(time.Second)
		sleeper.frozen = seed%2 == 0
		f.runTime = func() time.Duration { return time.Hour }
		f.setCap("a", 20)
		other.queue["a"] = 20
		steps(time.Duration(1000+seed*40) * time.Millisecond)
		f.setCap("a", 10)
		steps(2 * simStep)
		sleeper.queue["a"] = 5
		sleeper.frozen = false
		steps(time.Second)
		is.Equal(f.err, "")
	}
}
