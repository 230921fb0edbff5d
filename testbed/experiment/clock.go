package experiment

import (
	"container/heap"
	"time"
)

// clock runs events in the order of a fake time. Events at the same time run in the order in which they were added.
type clock struct {
	now   time.Duration
	queue eventQueue
	order int
}

// clockEpoch is the wall time at the start of every experiment.
var clockEpoch = time.Unix(1_800_000_000, 0)

func (c *clock) time() time.Time { return clockEpoch.Add(c.now) }

func (c *clock) after(d time.Duration, run func()) {
	c.order++
	heap.Push(&c.queue, event{at: c.now + d, order: c.order, run: run})
}

// every calls run at the given phase and then in the given interval.
func (c *clock) every(phase, interval time.Duration, run func()) {
	c.after(phase, func() {
		run()
		c.every(interval, interval, run)
	})
}

// runUntil runs all events up to and including the given time.
func (c *clock) runUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.run()
	}
	c.now = end
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

// eventQueue implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
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
