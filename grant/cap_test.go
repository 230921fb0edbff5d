package grant

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestCapIsNeverExceeded guards against exceeding a team's cap at the upstreams under any combination of faults: hosts
// are killed, frozen, partitioned and resumed, the store is down, slow or loses responses, and caps and demand change.
func TestCapIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		hosts := rapid.IntRange(2, 6).Draw(rt, "hosts")
		slots := rapid.IntRange(1, 3).Draw(rt, "slots")
		teamCap := rapid.IntRange(1, 40).Draw(rt, "cap")
		f := newSimFleet(seed, hosts, 2, slots, map[string]int{"a": teamCap})
		f.latency = time.Duration(rapid.SampledFrom([]int{20, 200}).Draw(rt, "latency in ms")) * time.Millisecond
		f.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(rt, "loss")
		longest := rapid.IntRange(100, 40000).Draw(rt, "longest run in ms")
		f.runTime = func() time.Duration { return f.delay(time.Duration(longest) * time.Millisecond) }
		for range rapid.IntRange(10, 80).Draw(rt, "actions") {
			f.injectAction(rt)
			for range rapid.IntRange(1, 60).Draw(rt, "steps") {
				f.step()
			}
			if f.violation != "" {
				rt.Fatal(f.violation)
			}
		}
	})
}

func (f *simFleet) injectAction(rt *rapid.T) {
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
		h.partitioned = !h.partitioned
		h.isolated = h.isolated || h.partitioned && !h.frozen && h.permitted()
	case 5:
		f.setCap("a", rapid.IntRange(0, 40).Draw(rt, "new cap"))
	case 6:
		f.setCap("a", rapid.IntRange(0, 40).Draw(rt, "new cap"))
		f.setCap("a", rapid.IntRange(0, 40).Draw(rt, "next cap"))
	case 7:
		f.storeDown = !f.storeDown
	case 8:
		f.storeSlow = !f.storeSlow
	case 9:
		if len(live) > 1 {
			h.dead = true
			f.join(h.member.Zone)
		}
	}
}

// TestDelayedRenewal guards against reclaiming a dead host's slots while its work still runs: the host freezes between
// checking its permission and sending a lease renewal, resumes just before the lease expires, sends the renewal, and
// dies.
func TestDelayedRenewal(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		f := newSimFleet(seed, 2, 2, 1, map[string]int{"a": 1})
		f.latency = simStep
		f.runTime = func() time.Duration { return time.Hour }
		h := f.hosts[0]
		h.queue["a"] = 1
		for len(f.running) == 0 || !h.lastRenewal.Equal(f.now) {
			f.step()
		}
		h.frozen = true
		f.hosts[1].queue["a"] = 1
		for leaseEnd := f.running[0].leaseEnd; f.now.Before(leaseEnd.Add(-4 * simStep)); {
			f.step()
		}
		h.frozen = false
		f.step()
		h.dead = true
		for range time.Minute / simStep {
			f.step()
		}
		is.Equal(f.violation, "")
		is.Equal(f.hosts[1].limiter.InUse("a"), 1) // the slot was reclaimed
	}
}

// TestSkippedVersion guards against starting work on the basis of an outdated cap: a host is idle or frozen while the
// cap is raised and another host uses the higher cap, and resumes work after the cap is lowered. The cap is lowered
// before or after the version that raised it is accepted.
func TestSkippedVersion(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(100) {
		f := newSimFleet(seed, 2, 2, 1, map[string]int{"a": 10})
		f.latency = simStep
		f.runTime = func() time.Duration { return simStep }
		runFor := func(d time.Duration) {
			for range d / simStep {
				f.step()
			}
		}
		idleHost, other := f.hosts[0], f.hosts[1]
		idleHost.queue["a"] = 5
		runFor(time.Second)
		idleHost.frozen = seed%2 == 0
		f.runTime = func() time.Duration { return time.Hour }
		f.setCap("a", 20)
		other.queue["a"] = 20
		runFor(time.Duration(1000+seed*40) * time.Millisecond)
		f.setCap("a", 10)
		runFor(2 * simStep)
		idleHost.queue["a"] = 5
		idleHost.frozen = false
		runFor(time.Second)
		is.Equal(f.violation, "")
	}
}
