// Command standins plays one case of the review on loopback: a small deployment with the project's own programs as
// processes, and stand-ins of the store, the list of machines, the workers and a client. It exits with 1 if the rule was
// broken, 0 if it held and 2 if the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns the breaks of the rule that it found.
var cases = map[string]struct {
	workers int
	play    func(d *deployment, trouble bool) (breaks []string, err error)
}{
	"many-ends":   {6, playManyEnds},
	"bad-jobs":    {3, playBadJobs},
	"late-write":  {6, playLateWrite},
	"power-flaps": {9, playPowerFlaps},
	"dark-rack":   {9, playDarkRack},
}

func main() {
	time.AfterFunc(110*time.Second, func() { // a case takes 120 seconds at most
		fmt.Println("not done in time")
		if current != nil {
			current.close()
		}
		os.Exit(2)
	})
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		if current != nil {
			current.close()
		}
		os.Exit(2)
	}()
	os.Exit(playCase())
}

// current is the deployment, once it has been started.
var current *deployment

func playCase() int {
	if len(os.Args) != 3 {
		fmt.Println("usage: standins CASE RECORD")
		return 2
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("no such case:", os.Args[1])
		return 2
	}
	log, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	log.add("case", "%s, TROUBLE=%t", os.Args[1], trouble)
	d, err := deploy(c.workers, log)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	current = d
	defer d.close()
	if os.Args[1] == "power-flaps" {
		d.setKind(rackKind)
	}
	if err := d.waitReady(); err != nil {
		fmt.Println(err)
		return 2
	}
	breaks, err := c.play(d, trouble)
	if err != nil {
		log.add("case", "could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	for i, b := range breaks {
		log.add("BREAK", "%s", b)
		if i < 5 {
			fmt.Println(b)
		}
	}
	log.add("case", "%d breaks", len(breaks))
	fmt.Println(len(breaks), "breaks")
	if len(breaks) > 0 {
		return 1
	}
	return 0
}

// twice returns the breaks of rule TWICE: two runs of a task at the same time on workers that are up, or a start after a
// run has ended done, if that end was taken note of then or later without a lapse of the worker's lease in between.
func (d *deployment) twice() []string {
	byTask := map[string][]run{}
	for _, w := range d.workers {
		for _, r := range w.runs() {
			byTask[r.task] = append(byTask[r.task], r)
		}
	}
	var breaks []string
	for task, runs := range byTask {
		sort.Slice(runs, func(i, j int) bool { return runs[i].begin.Before(runs[j].begin) })
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				describe := func(what string) string {
					return fmt.Sprintf("TWICE: task %s: run %d on %s (%.3f to %.3f, %s) and run %d on %s (%.3f to %.3f, %s): %s",
						task, a.attempt, a.worker, d.log.at(a.begin), d.log.at(a.end), a.how, b.attempt, b.worker, d.log.at(b.begin), d.log.at(b.end), b.how, what)
				}
				switch {
				case a.end.IsZero() || a.end.After(b.begin):
					breaks = append(breaks, describe("at the same time"))
				case a.how == "done" && a.acked:
					breaks = append(breaks, describe("started after it had ended done"))
				}
			}
		}
	}
	sort.Strings(breaks)
	return breaks
}

// playManyEnds: one worker carries 700 small tasks and is cut off, running on, for less than its lease. All its tasks end
// meanwhile. Afterwards it lists their ends, 500 at a time.
func playManyEnds(d *deployment, trouble bool) ([]string, error) {
	c := &client{d: d}
	const id = "00000000000a0001"
	const tasks = 700
	steps := []step{{Count: tasks, CPU: 20, MemMB: 16, EstimateMS: 2400}}
	if !c.submitUntil(id, "ms=1500-3300", steps) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	fullest := d.workers[0]
	for range 100 {
		time.Sleep(20 * time.Millisecond)
		running := 0
		for _, w := range d.workers {
			running += w.busy()
			if w.busy() > fullest.busy() {
				fullest = w
			}
		}
		if running == tasks {
			break
		}
	}
	d.log.add("case", "%d runs on %s", fullest.busy(), fullest.id)
	if trouble {
		time.Sleep(200 * time.Millisecond)
		fullest.cutOff()
		time.Sleep(3500 * time.Millisecond)
		fullest.heal()
	}
	for range 100 {
		time.Sleep(200 * time.Millisecond)
		if c.phase(id) == "succeeded" {
			break
		}
	}
	time.Sleep(time.Second)
	return d.twice(), nil
}

const heartbeat = 1500 * time.Millisecond

// playBadJobs: a job that lasts has a task on each worker, and other jobs come and are done. Then two jobs come whose
// tasks always fail, and after them one more job that can be done.
func playBadJobs(d *deployment, trouble bool) ([]string, error) {
	c := &client{d: d}
	lasting := step{Count: len(d.workers), CPU: 1000, MemMB: 1000, EstimateMS: 1000, AntiAffinity: 1, LongRunning: true, MayMiss: 1}
	if !c.submitUntil("00000000000d0001", "lasts", []step{lasting}) {
		return nil, fmt.Errorf("the job that lasts was not accepted")
	}
	time.Sleep(2 * time.Second)
	for number := range goodJobs {
		id := fmt.Sprintf("%016x", 0xd1000+number)
		if !c.submitUntil(id, "ms=100", []step{{Count: 3, CPU: 1000, MemMB: 500, EstimateMS: 100}}) {
			return nil, fmt.Errorf("a job was not accepted")
		}
		time.Sleep(goodInterval)
	}
	if trouble {
		for number := range badJobs {
			id := fmt.Sprintf("%016x", 0xd2000+number)
			if !c.submitUntil(id, "ms=100 fail", []step{{Count: 12, CPU: 3000, MemMB: 500, EstimateMS: 100}}) {
				return nil, fmt.Errorf("a job was not accepted")
			}
		}
	}
	time.Sleep(3 * time.Second)
	const last = "00000000000d3001"
	if !c.submitUntil(last, "ms=300", []step{{Count: 1, CPU: 1000, MemMB: 500, EstimateMS: 300}}) {
		return nil, fmt.Errorf("the last job was not accepted")
	}
	time.Sleep(finish)
	idle := time.Now()
	for time.Since(idle) < waitBound {
		if c.phase(last) == "succeeded" {
			return nil, nil
		}
		if d.runningOf(last) > 0 {
			idle = time.Now()
		}
		time.Sleep(100 * time.Millisecond)
	}
	used := 0
	for _, w := range d.workers {
		used += w.busy()
	}
	found := fmt.Sprintf("LOST: job %s was accepted, has had %d runs, and for 3 s has nothing running, from finish_s after the end of the traffic on; "+
		"%d workers of 16 cores run %d tasks of 1 core in all", last, d.runsOf(last), len(d.workers), used)
	time.Sleep(longer) // only to see whether it recovers
	d.log.add("case", "%s later the job is shown as %q and has had %d runs", longer, c.phase(last), d.runsOf(last))
	return []string{found}, nil
}

// Of the jobs of the last 3 s, 2 of 45 (0.044) can never be done.
const (
	goodJobs     = 43
	goodInterval = 50 * time.Millisecond
	badJobs      = 2
)

const (
	finish    = 14 * time.Second // finish_s
	waitBound = 3 * time.Second
	longer    = 12 * time.Second
)

// runsOf returns how many runs the job's tasks have had.
func (d *deployment) runsOf(id string) int {
	n := 0
	for _, w := range d.workers {
		for _, r := range w.runs() {
			if strings.HasPrefix(r.task, id) {
				n++
			}
		}
	}
	return n
}

// runningOf returns how many runs the job's tasks have now.
func (d *deployment) runningOf(id string) int {
	n := 0
	for _, w := range d.workers {
		for _, r := range w.runs() {
			if strings.HasPrefix(r.task, id) && r.end.IsZero() {
				n++
			}
		}
	}
	return n
}

// playLateWrite: clients submit jobs that last, and cancel at once the ones for which they got no definite answer, since
// they have no more use for them. Meanwhile a third of the writes to the store get no answer and are done late.
func playLateWrite(d *deployment, trouble bool) ([]string, error) {
	if trouble {
		d.store.lose(lostShare)
		d.log.add("store", "from now on, %.2f of the writes get no answer and are done 1 to 6 s later", lostShare)
		time.AfterFunc(lostFor, func() {
			d.store.lose(0)
			d.log.add("store", "all writes are answered again")
		})
	}
	var mu sync.Mutex
	cancelled := map[string]time.Time{} // when the cancel of the job was acknowledged
	var clients sync.WaitGroup
	for number := range lastingJobs {
		clients.Go(func() {
			c := &client{d: d, next: number}
			id := fmt.Sprintf("%016x", 0xe0000+number)
			status := c.submit(id, "lasts", []step{{Count: 1, CPU: 100, MemMB: 100, EstimateMS: 500, LongRunning: true}})
			if status == http.StatusOK || status == http.StatusServiceUnavailable {
				return // accepted, or said not to run ever
			}
			for range 20 {
				status, _ := c.call(http.MethodDelete, id, nil)
				if status/100 == 2 || status == http.StatusGone {
					mu.Lock()
					cancelled[id] = time.Now()
					mu.Unlock()
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
		time.Sleep(lostFor / lastingJobs)
	}
	clients.Wait()
	// Long after the disruption: the late writes come until 6 s after it.
	time.Sleep(20 * time.Second)
	var breaks []string
	now := time.Now()
	for id, at := range cancelled {
		for _, w := range d.workers {
			for _, r := range w.runs() {
				if strings.HasPrefix(r.task, id) && r.end.IsZero() && now.Sub(at) > cancelBound {
					breaks = append(breaks, fmt.Sprintf("UNASKED: the cancel of job %s was acknowledged at %.3f; its task %s runs on %s since %.3f, and still at %.3f",
						id, d.log.at(at), r.task, w.id, d.log.at(r.begin), d.log.at(now)))
				}
			}
		}
	}
	d.log.add("case", "%d jobs were cancelled after no definite answer", len(cancelled))
	sort.Strings(breaks)
	return breaks, nil
}

const (
	lostShare   = 0.35
	lostFor     = 4500 * time.Millisecond
	lastingJobs = 300
	cancelBound = 3200 * time.Millisecond // cancel_ms + stop_timeout_ms
)

// playPowerFlaps: one of three racks, whose workers are the only ones of their kind, loses its power some times in a row. The
// jobs require this kind.
func playPowerFlaps(d *deployment, trouble bool) ([]string, error) {
	c := &client{d: d}
	var ids []string
	for number := range 4 {
		ids = append(ids, fmt.Sprintf("%016x", 0xf0000+number))
		if !c.submitUntil(ids[number], "ms=1500", []step{{Count: 2, CPU: 2000, MemMB: 1000, EstimateMS: 1500, Requirements: rackKind}}) {
			return nil, fmt.Errorf("a job was not accepted")
		}
	}
	if trouble {
		for range outages {
			time.Sleep(powerFor)
			for _, w := range d.workers[:rackSize] {
				w.crash()
			}
			time.Sleep(outageFor)
			for _, w := range d.workers[:rackSize] {
				if err := w.start(); err != nil {
					return nil, err
				}
			}
		}
	}
	time.Sleep(finish)
	var breaks []string
	for _, id := range ids {
		phase, failed := c.phase(id), 0
		for _, w := range d.workers {
			for _, r := range w.runs() {
				if strings.HasPrefix(r.task, id) && r.how == "failed" {
					failed++
				}
			}
		}
		if phase == "failed" && failed < maxAttempts {
			breaks = append(breaks, fmt.Sprintf("LOST: job %s was accepted and is shown as failed; %d runs of its tasks have ended failed, of %d attempts that a task has", id, failed, maxAttempts))
		}
	}
	return breaks, nil
}

const (
	outages   = 4
	powerFor  = 450 * time.Millisecond
	outageFor = 400 * time.Millisecond
)

// playDarkRack: one of three racks goes dark. Some jobs come right after it, and a client asks how many are pending.
func playDarkRack(d *deployment, trouble bool) ([]string, error) {
	c := &client{d: d}
	rack := d.workers[:rackSize]
	if trouble {
		for _, w := range rack {
			w.goDark()
		}
	}
	time.Sleep(500 * time.Millisecond)
	dark := time.Now()
	accepted := map[string]time.Time{}
	for number := range 8 {
		id := fmt.Sprintf("%016x", 0xb0000+number)
		if !c.submitUntil(id, "ms=500", []step{{Count: 3, CPU: 1000, MemMB: 500, EstimateMS: 500}}) {
			return nil, fmt.Errorf("a job was not accepted")
		}
		accepted[id] = time.Now()
		time.Sleep(50 * time.Millisecond)
	}
	var breaks []string
	for time.Since(dark) < darkFor {
		time.Sleep(50 * time.Millisecond)
		asked, waiting := time.Now(), 0
		for id, at := range accepted {
			if asked.Sub(at) > pendingBound && d.runsOf(id) == 0 {
				waiting++
			}
		}
		if status, text := c.call(http.MethodGet, "", nil); status == http.StatusOK && waiting > 0 {
			var body struct {
				Pending int `json:"pending"`
			}
			if err := json.Unmarshal([]byte(text), &body); err == nil && 2*body.Pending < waiting {
				breaks = append(breaks, fmt.Sprintf("MIXED: at %.3f, %d jobs accepted over 5 s before have not begun, and %d are given as pending", d.log.at(asked), waiting, body.Pending))
			}
		}
	}
	if trouble {
		for _, w := range rack {
			if err := w.comeBack(); err != nil {
				return nil, err
			}
		}
	}
	return breaks, nil
}

const (
	darkFor      = 6500 * time.Millisecond
	pendingBound = 5 * time.Second // visible_ms + 2 s
)
