//go:build review3

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() {
	scenarios["backlog"] = backlog
	scenarios["nocpu"] = noCPU
}

const (
	lastingRest = 6 * time.Second // of LOST: from the last run of a task that lasts
	largeJobs   = 4
)

// backlog: large scheduled jobs come, more than their service holds. Beside them there are a job that lasts and small jobs on
// another queue, whose workers have room. Without the trouble the large jobs have as many tasks, but in one step and at one time.
func backlog(trouble bool) {
	r := smallDeployment()

	r.submitLasting()
	one := `{"count":1,"cpu":8000,"mem_mb":1,"estimate_ms":5000}`
	all := "[" + one + strings.Repeat(","+one, 99) + "]"
	submitted := 0
	var small []string
	for n := 0; time.Since(r.began) < 60*time.Second; n++ {
		for n == 2 && submitted < 1 || n == 7 && submitted < 2 || n == 18 && submitted < 3 || n == 26 && submitted < largeJobs {
			steps := `[{"count":100000,"cpu":8000,"mem_mb":1,"estimate_ms":5000}]`
			if trouble {
				steps = fmt.Sprintf(`%s,"repeat_count":1000,"start_at_ms":%d,"interval_ms":1`, all, time.Now().UnixMilli())
			}
			r.submit(fmt.Sprintf("%s%s%08x", queuePrefix, r.bulk, submitted), "work=5000", steps)
			submitted++
		}
		small = append(small, r.submitSmall(n))
		time.Sleep(time.Second)
	}
	r.judge(small)
}

// noCPU: one large scheduled job comes, whose tasks ask for memory only and most of which wait. Without the trouble they ask for a
// thousandth of a core besides.
func noCPU(trouble bool) {
	r := smallDeployment()
	r.submitLasting()
	one := `{"count":1,"mem_mb":16000,"estimate_ms":5000}`
	if !trouble {
		one = `{"count":1,"cpu":1,"mem_mb":16000,"estimate_ms":5000}`
	}
	var small []string
	for n := 0; time.Since(r.began) < 60*time.Second; n++ {
		if n == 2 {
			r.submit(queuePrefix+r.bulk+"00000000", "work=5000", fmt.Sprintf(`[%s],"repeat_count":1000,"start_at_ms":%d,"interval_ms":1`,
				one+strings.Repeat(","+one, 29), time.Now().UnixMilli()))
		}
		small = append(small, r.submitSmall(n))
		time.Sleep(time.Second)
	}
	r.judge(small)
}

// smallDeployment starts three hosts, nine workers for the large jobs, and three for the others.
func smallDeployment() *rig {
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
	return r
}

const lasting = "1a57000000000000" // ID of the job that lasts

func (r *rig) submitLasting() {
	r.submit(labelPrefix+lasting, "lasts0", `[{"count":3,"cpu":1000,"mem_mb":10,"estimate_ms":1000,"long_running":true,"may_miss":1}]`)
}

func (r *rig) submitSmall(n int) string {
	id := fmt.Sprintf("5a11000000000%03x", n)
	r.submit(labelPrefix+id, "work=300", `[{"count":2,"cpu":1000,"mem_mb":10,"estimate_ms":300}]`)
	return id
}

// judge ends the traffic and judges the tasks that last and the small jobs.
func (r *rig) judge(small []string) {
	r.note("end-of-traffic")
	time.Sleep(finishTime)
	waiting := r.notBegun(small)
	time.Sleep(idleTime)
	waiting = r.notBegun(waiting)
	r.noteBulk()
	idle := r.longestIdle(lasting)
	r.note("result", "lasting_idle", idle, "small", len(small), "small_not_begun", len(waiting), "bulk_starts", r.bulkCount())
	fmt.Println("lasting tasks idle for", idle, "small jobs not begun:", len(waiting), "of", len(small))
	if idle > lastingRest+idleTime {
		r.verdict(fmt.Sprintf("LOST: a task that lasts has not run for %s, with room for it on three workers", idle))
	}
	if len(waiting) > 0 {
		r.verdict(fmt.Sprintf("LOST: %d accepted small jobs have nothing running %s after the end of the traffic", len(waiting), finishTime+idleTime))
	}
	r.verdict("")
}

// longestIdle returns the longest time from the end of a run of a task of the job until its next run, or until now.
func (r *rig) longestIdle(job string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var longest time.Duration
	for task, runs := range r.runs {
		if !strings.HasPrefix(task, job) {
			continue
		}
		for i, run := range runs {
			switch {
			case run.end.IsZero():
			case i+1 < len(runs):
				longest = max(longest, runs[i+1].begin.Sub(run.end))
			default:
				longest = max(longest, time.Since(run.end))
			}
		}
	}
	return longest.Round(time.Millisecond)
}
