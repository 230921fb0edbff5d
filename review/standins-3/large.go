//go:build review3

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { scenarios["large"] = large }

const (
	finishTime = 14 * time.Second // finish_s
	idleTime   = 3 * time.Second  // of LOST
	loadTime   = 80 * time.Second // from the start of the deployment to the end of the traffic
)

// large: a large scheduled job is handed in on one queue, and small ones on another, whose workers are idle. Without the
// trouble the same tasks are handed in as 100 jobs.
func large(trouble bool) {
	r := newRig()
	r.bulk = "b16b0000"
	r.configure(1, 3)
	for i := range 9 {
		r.addWorker(fmt.Sprintf("i-%08x", 0x5a10000+i*7919), "render", zones[i%3], fmt.Sprintf("r%d-1", i%3+1))
	}
	for i := range 3 {
		r.addWorker(fmt.Sprintf("i-%08x", 0x3c10000+i*7919), "label", zones[i%3], fmt.Sprintf("r%d-2", i%3+1))
	}
	for i := range 3 {
		r.addHost(i)
	}
	r.waitReady()
	time.Sleep(2 * time.Second)

	const steps = 100
	one := `{"count":1,"cpu":1,"mem_mb":1,"estimate_ms":100000}`
	all := "[" + one + strings.Repeat(","+one, steps-1) + "]"
	jobs, times := 1, 1000
	if !trouble {
		jobs, times = 100, 10
	}
	startAt := time.Now().UnixMilli()
	for n := range jobs {
		r.submit(fmt.Sprintf("%s%s%08x", queuePrefix, r.bulk, n), "work=100000",
			fmt.Sprintf(`%s,"repeat_count":%d,"start_at_ms":%d,"interval_ms":10`, all, times, startAt))
	}
	var small []string
	for n := 0; time.Since(r.began) < loadTime; n++ {
		id := fmt.Sprintf("5a11000000000%03x", n)
		r.submit(labelPrefix+id, "work=300", `[{"count":2,"cpu":1000,"mem_mb":10,"estimate_ms":300}]`)
		small = append(small, id)
		time.Sleep(time.Second)
		if n%5 == 0 {
			r.noteBulk()
		}
	}
	r.note("end-of-traffic")
	time.Sleep(finishTime)
	waiting := r.notBegun(small)
	time.Sleep(idleTime)
	waiting = r.notBegun(waiting)
	shown := map[string]int{}
	for i, id := range small {
		shown[r.phase(r.hosts[i%len(r.hosts)], labelPrefix+id)]++
	}
	r.noteBulk()
	r.note("result", "bulk_starts", r.bulkCount(), "small", shown, "not_begun", strings.Join(waiting, ","))
	fmt.Println("bulk starts:", r.bulkCount(), "small jobs:", shown)
	if len(waiting) > 0 {
		r.verdict(fmt.Sprintf("LOST: %d of %d accepted small jobs have nothing running %s after the end of the traffic, though their service is idle",
			len(waiting), len(small), finishTime+idleTime))
	}
	r.verdict("")
}

// notBegun returns those of the jobs of which no task has been started.
func (r *rig) notBegun(ids []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	begun := map[string]bool{}
	for _, task := range r.starts {
		begun[task[:16]] = true
	}
	var waiting []string
	for _, id := range ids {
		if !begun[id] {
			waiting = append(waiting, id)
		}
	}
	return waiting
}
