//go:build review3

package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"citrongauge.example/citrongauge/testbed/fleet"
)

func init() { scenarios["unknownlife"] = unknownLife }

const (
	shortCut = 200 * time.Millisecond
	longCut  = 5500 * time.Millisecond // node_cut in the site file
	ownerOff = 3 * time.Second         // from the kill of the owner to its next start; node_kill in the site file has 3.0 and 3.5 s
)

// unknownLife: a worker is cut off for a moment and starts anew behind the cut. Right after, the owner starts a task that lasts on it and
// is killed. The next owner cannot reach the worker, which is cut off once more when it takes over.
func unknownLife(trouble bool) {
	r := newRig()
	r.configure(1, 3)
	proxies := map[string]*fleet.Proxy{}
	for i := range 8 {
		w := r.addWorker(fmt.Sprintf("i-%08x", 0x5a10000+i*7919), "render", zones[i%3], fmt.Sprintf("r%d-1", i%3+1))
		proxy, err := fleet.NewProxy(w.address)
		must(err)
		w.mu.Lock()
		if i < 2 {
			w.kind = "b"
		}
		proxies[w.id], w.address = proxy, proxy.Address()
		w.register()
		w.mu.Unlock()
	}
	for i := range 3 {
		r.addHost(i)
	}
	r.waitReady()
	time.Sleep(3 * time.Second)

	// A job that ends fills one of the two workers of the kind b for a while, so that the other one gets the task that lasts.
	r.submit(queuePrefix+"f111000000000000", "work=5500", `[{"count":1,"cpu":15500,"mem_mb":10,"estimate_ms":5500,"requirements":"b"}]`)
	time.Sleep(3 * time.Second)
	w := r.workers[0]
	if w.isBusy() {
		w = r.workers[1]
	}
	if trouble {
		r.cut(w, proxies[w.id])
		time.Sleep(shortCut / 2)
		w.crash()
		proxies[w.id].Silence(false)
		w.quiet = true
		w.begin()
		time.Sleep(shortCut / 2)
		r.heal(w, proxies[w.id])
	}
	started := make(chan struct{}, 1)
	r.mu.Lock()
	r.onStart = func(_ *worker, task string, _ uint64) {
		if strings.HasPrefix(task, lasting) {
			select {
			case started <- struct{}{}:
			default:
			}
		}
	}
	r.mu.Unlock()
	r.submit(queuePrefix+lasting, "lasts0", `[{"count":1,"cpu":1000,"mem_mb":10,"estimate_ms":1000,"long_running":true,"requirements":"b"}]`)
	select {
	case <-started:
	case <-time.After(5 * time.Second):
		r.stop()
		must(fmt.Errorf("the task that lasts was not started"))
	}
	if trouble {
		h := r.owner()
		r.signal(h, syscall.SIGKILL)
		off := time.Now()
		time.Sleep(time.Until(r.store.LeaseExpiry("cg/owner")) - 30*time.Millisecond) // just before another host can take over
		r.cut(w, proxies[w.id])
		cutAt := time.Now()
		time.Sleep(time.Until(off.Add(ownerOff)))
		r.startHost(h)
		time.Sleep(time.Until(cutAt.Add(longCut)))
		r.heal(w, proxies[w.id])
	}
	time.Sleep(5 * time.Second)
	breaks := r.twice()
	for _, b := range breaks {
		r.note("twice", "task", b)
		fmt.Println(b)
	}
	if len(breaks) > 0 {
		r.verdict("TWICE: " + breaks[0])
	}
	r.verdict("")
}

func (w *worker) isBusy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running) > 0
}

// cut partitions the worker from all machines.
func (r *rig) cut(w *worker, proxy *fleet.Proxy) {
	w.mu.Lock()
	w.cut = true
	w.mu.Unlock()
	proxy.SetFault(fleet.ProxyFault{StallToTarget: true, StallFromTarget: true})
	r.note("cut", "worker", w.id)
}

// heal ends the cut. The worker registers itself with its next heartbeat.
func (r *rig) heal(w *worker, proxy *fleet.Proxy) {
	w.mu.Lock()
	w.cut, w.lastHeard = false, time.Now()
	w.mu.Unlock()
	proxy.SetFault(fleet.ProxyFault{})
	r.note("healed", "worker", w.id)
}
