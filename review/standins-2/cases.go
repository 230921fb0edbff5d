package main

import (
	"fmt"
	"time"
)

const workers = 8

// deploy starts workers and entry hosts. One worker has the label b, the others have a.
func deploy(f *fleet) error { return deployKinds(f, 1) }

// deployKinds starts workers and entry hosts. As many workers as special have the label b.
func deployKinds(f *fleet, special int) error {
	for i := range workers {
		kind := "a"
		if i >= 2 && i < 2+special {
			kind = "b"
		}
		if _, err := f.addWorker(fmt.Sprintf("i-%08x", 0x3c0a1d57*uint32(i+1)), kind, false); err != nil {
			return err
		}
	}
	if err := f.startHosts(3); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	f.log("traffic begins")
	return nil
}

// at sleeps until the given time of the traffic.
func at(begin time.Time, seconds float64) {
	time.Sleep(time.Until(begin.Add(time.Duration(seconds * float64(time.Second)))))
}

// bornBack: a worker is added while the time of day of its machine is 2 s ahead. Just after the jump is over it crashes and starts
// again, and by what it says this life was born before the first one.
func bornBack(f *fleet, trouble bool) ([]string, error) {
	if err := deploy(f); err != nil {
		return nil, err
	}
	begin := time.Now()
	// Each job takes a quarter of a worker for 1 s; seven eighths of all workers are in use.
	traffic := f.traffic(begin.Add(14*time.Second), 36*time.Millisecond, 1, 4000, "work=1000")
	u, err := f.addWorker("i-5b7d21e4", "a", true)
	if err != nil {
		return nil, err
	}
	if trouble {
		at(begin, 4)
		u.stepClock(2 * time.Second)
	}
	at(begin, 5.5)
	if err := u.start(); err != nil {
		return nil, err
	}
	if trouble {
		at(begin, 6.5)
		u.stepClock(0)
		at(begin, 6.6)
		u.crash()
		at(begin, 7.1)
		if err := u.start(); err != nil {
			return nil, err
		}
	}
	traffic.Wait()
	f.log("traffic ends")
	time.Sleep(finish)
	return f.stuck(), nil
}

// cutReborn cuts a worker off from all machines for 0.6 s. In the middle it crashes and starts again behind the cut.
func cutReborn(f *fleet, u *worker) error {
	f.log("a worker is cut off", "worker", u.id)
	u.setCutOff(true)
	u.proxy.cut()
	time.Sleep(300 * time.Millisecond)
	u.crash()
	if err := u.start(); err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	u.setCutOff(false)
	u.proxy.heal()
	f.log("the cut ends", "worker", u.id)
	return nil
}

// reborn: tasks of the given length arrive five times a second and run on one worker, which is cut off and reborn. It registers again
// at the first try after the cut; retry is the time between two tries.
func reborn(f *fleet, trouble bool, workMS int, retry time.Duration) ([]string, error) {
	if err := deploy(f); err != nil {
		return nil, err
	}
	begin := time.Now()
	// A task of some length on one worker; the others follow it there while they fit.
	first := f.submit(1, 4000, "work=30000", "")
	u, err := f.workerOf(first)
	if err != nil {
		return nil, err
	}
	u.mu.Lock()
	u.retry = retry
	u.mu.Unlock()
	traffic := f.traffic(begin.Add(10*time.Second), 200*time.Millisecond, 1, 500, fmt.Sprintf("work=%d", workMS))
	if trouble {
		at(begin, 4)
		if err := cutReborn(f, u); err != nil {
			return nil, err
		}
	}
	traffic.Wait()
	f.log("traffic ends")
	time.Sleep(finish)
	return f.twice(), nil
}

// startAnswered: the new life takes starts before its entry tells that it is a new one.
func startAnswered(f *fleet, trouble bool) ([]string, error) {
	return reborn(f, trouble, 1200, 250*time.Millisecond)
}

// ackCarried: short tasks end on the new life, which registers again with its next heartbeat.
func ackCarried(f *fleet, trouble bool) ([]string, error) { return reborn(f, trouble, 150, heartbeat) }

// crashLoop: the only worker with a label crashes and starts again many times in a row. Then it works on.
func crashLoop(f *fleet, trouble bool) ([]string, error) {
	if err := deploy(f); err != nil {
		return nil, err
	}
	begin := time.Now()
	special := f.workers[2]
	traffic := f.traffic(begin.Add(12*time.Second), 100*time.Millisecond, 1, 1000, "work=1000")
	labelled := f.trafficFor(begin.Add(12*time.Second), 2*time.Second, 1, 1000, "work=1500", special.kind)
	if trouble {
		at(begin, 3)
		for range 14 {
			special.crash()
			time.Sleep(time.Second)
			if err := special.start(); err != nil {
				return nil, err
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	traffic.Wait()
	labelled.Wait()
	f.log("traffic ends")
	time.Sleep(finish)
	return f.failedWithoutCause(), nil
}

// hopelessJobs: of three workers with a label two are full of tasks that last. Then a few jobs come that require the label and can
// never be done, one of 22 that last and four of about a hundred that end, and later one that can.
func hopelessJobs(f *fleet, trouble bool) ([]string, error) {
	if err := deployKinds(f, 3); err != nil {
		return nil, err
	}
	begin := time.Now()
	f.submit(2, 16000, "last", "b")
	at(begin, 3)
	traffic := f.traffic(begin.Add(6*time.Second), 28*time.Millisecond, 1, 500, "work=500")
	lasting := f.trafficFor(begin.Add(6*time.Second), 142*time.Millisecond, 1, 100, "last", "a")
	if trouble {
		at(begin, 3.5)
		f.submit(1, 1000, "last fail=200", "b")
		for range 4 {
			f.submit(1, 1000, "fail=200", "b")
		}
	}
	traffic.Wait()
	lasting.Wait()
	at(begin, 20)
	good := f.submit(1, 1000, "work=500", "b")
	f.log("traffic ends", "good", good.id)
	time.Sleep(finish)
	return f.stuck(), nil
}
