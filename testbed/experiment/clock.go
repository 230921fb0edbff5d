package experiment

import (
	"container/heap"
	"time"
)

// fakeClock is a discrete-event scheduler. It runs events in the order of their times; events with the same time run in
// the order in which they were added.
type fakeClock struct {
	now   time.Duration
	queue eventQueue
	seq   int
}

// clockStart is the wall-clock time at the start of every experiment.
var clockStart = time.Unix(1_800_000_000, 0)

func (c *fakeClock) time() time.Time { return clockStart.Add(c.now) }

func (c *fakeClock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.queue, event{at: c.now + d, seq: c.seq, run: run})
}

// every calls run after the given phase and then at the given interval.
func (c *fakeClock) every(phase, interval time.Duration, run func()) {
	c.after(phase, func() {
		run()
		c.every(interval, interval, run)
	})
}

// runUntil runs all events up to and including the given time and advances the clock to it.
func (c *fakeClock) runUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.run()
	}
	c.now = end
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventQueue implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}
