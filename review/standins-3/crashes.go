//go:build review3

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { scenarios["crashes"] = crashes }

// crashes: workers crash one at a time, each 60 ms after it has begun a run of one job, four times at most, and are back
// 1.2 s later. No run ends failed.
func crashes(trouble bool) {
	r := newRig()
	r.configure(1, 3)
	for i := range 9 {
		zone := zones[i%3]
		r.addWorker(fmt.Sprintf("%08x", 0x5a10000+i*7919), "render", zone, fmt.Sprintf("r%d-1", i%3+1))
	}
	for i := range 3 {
		r.addHost(i)
	}
	r.waitReady()
	time.Sleep(3 * time.Second)
	const id = "00000000000000a1"
	crashed := 0
	r.onStart = func(w *worker, task string, attempt uint64) {
		if !trouble || !strings.HasPrefix(task, id) {
			return
		}
		r.mu.Lock()
		crashed++
		n := crashed
		r.mu.Unlock()
		if n > 4 {
			return
		}
		time.Sleep(60 * time.Millisecond)
		w.crash()
		time.Sleep(1200 * time.Millisecond)
		w.begin()
	}
	r.submit(queuePrefix+id, "work=1500", `[{"count":1,"cpu":1000,"mem_mb":512,"estimate_ms":1500}]`)
	seen := ""
	for deadline := time.Now().Add(70 * time.Second); time.Now().Before(deadline); {
		time.Sleep(time.Second)
		phase := r.phase(r.hosts[1], queuePrefix+id)
		if phase == "succeeded" || phase == "failed" || phase == "cancelled" {
			seen = phase
			break
		}
	}
	failedEnds := 0
	for _, e := range r.taken {
		if e.how == "failed" {
			failedEnds++
		}
	}
	r.note("result", "phase", seen, "ends_failed", failedEnds, "starts", len(r.starts))
	switch {
	case (seen == "failed" || seen == "cancelled") && failedEnds == 0:
		r.verdict("LOST: the job is shown as " + seen + "; none of its runs ended failed")
	case seen != "succeeded":
		r.verdict("LOST: the job did not end")
	}
	r.verdict("")
}
