//go:build review3

package main

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["memory"] = memory }

const (
	memoryMB = 284 // memory_mb of the settings
)

// anonymousMB returns the resident memory of a process without that of files.
func anonymousMB(pid int) int {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if name, value, _ := strings.Cut(lines.Text(), ":"); name == "RssAnon" {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb / 1024
		}
	}
	return 0
}

// memory: six large scheduled jobs come at once. The platform kills a process that exceeds its memory, and starts it again. Without
// the trouble the large jobs have as many tasks, but in one step and at one time.
func memory(trouble bool) {
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

	var mu sync.Mutex
	kills, highest := map[string]int{}, 0
	for _, h := range r.hosts {
		go func() {
			for {
				time.Sleep(50 * time.Millisecond)
				mb := anonymousMB(h.process.Process.Pid)
				mu.Lock()
				highest = max(highest, mb)
				if mb <= memoryMB {
					mu.Unlock()
					continue
				}
				kills[h.name]++
				r.note("memory-over", "host", h.name, "mb", mb, "kills", kills[h.name])
				mu.Unlock()
				r.signal(h, syscall.SIGKILL)
				time.Sleep(time.Second)
				r.startHost(h)
			}
		}()
	}

	one := `{"count":1,"cpu":8000,"mem_mb":1,"estimate_ms":5000}`
	all := "[" + one + strings.Repeat(","+one, 99) + "]"
	for n := range 6 {
		steps := `[{"count":100000,"cpu":8000,"mem_mb":1,"estimate_ms":5000}]`
		if trouble {
			steps = fmt.Sprintf(`%s,"repeat_count":1000,"start_at_ms":%d,"interval_ms":1`, all, time.Now().UnixMilli())
		}
		r.submit(fmt.Sprintf("%s%s%08x", queuePrefix, r.bulk, n), "work=5000", steps)
	}
	var small []string
	for n := 0; time.Since(r.began) < 85*time.Second; n++ {
		id := fmt.Sprintf("5a11000000000%03x", n)
		for k := range 5 {
			status, _ := r.call(r.hosts[(n+k)%len(r.hosts)], "POST", labelPrefix+id, `{"spec":"work=300","steps":[{"count":2,"cpu":1000,"mem_mb":10,"estimate_ms":300}]}`)
			if status/100 == 2 {
				small = append(small, id)
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(time.Second)
	}
	r.note("end-of-traffic")
	time.Sleep(finishTime)
	waiting := r.notBegun(small)
	time.Sleep(idleTime)
	waiting = r.notBegun(waiting)
	mu.Lock()
	defer mu.Unlock()
	r.note("result", "kills", kills, "highest_mb", highest, "small", len(small), "small_not_begun", len(waiting), "bulk_starts", r.bulkCount())
	fmt.Println("kills over memory:", kills, "highest MB:", highest, "small jobs not begun:", len(waiting), "of", len(small))
	if len(waiting) > 0 {
		r.verdict(fmt.Sprintf("LOST: %d accepted small jobs have nothing running %s after the end of the traffic; processes exceeded their memory: %v", len(waiting), finishTime+idleTime, kills))
	}
	r.verdict("")
}
