package ledger

import (
	"context"
	"sync"
	"time"

	"citrongauge.example/citrongauge/clock"
)

// inFlight are the writes that have no definite outcome yet. A write that waits on a connection that has fallen silent is sent again at
// once when another call shows that the store responds. It is safe for concurrent use.
type inFlight struct {
	mu     sync.Mutex
	writes map[*pendingWrite]struct{}
}

type pendingWrite struct {
	all    *inFlight
	begin  time.Duration
	sent   time.Duration // of the present attempt
	cancel context.CancelFunc
	again  bool // the present attempt was ended so that it is made again at once
}

func newInFlight() *inFlight { return &inFlight{writes: map[*pendingWrite]struct{}{}} }

// add adds a write. It has to be removed once its outcome is definite or it was given up.
func (f *inFlight) add() *pendingWrite {
	now := clock.Now()
	w := &pendingWrite{all: f, begin: now, sent: now, cancel: func() {}}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes[w] = struct{}{}
	return w
}

func (w *pendingWrite) remove() {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	w.cancel()
	delete(w.all.writes, w)
}

// attempt begins an attempt and returns its context.
func (w *pendingWrite) attempt(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	w.sent, w.cancel, w.again = clock.Now(), cancel, false
	return ctx
}

// end ends the attempt. It returns how long that took, and whether it is to be made again at once.
func (w *pendingWrite) end() (took time.Duration, again bool) {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	w.cancel()
	return clock.Now() - w.sent, w.again
}

// RetryBefore ends the attempts of writes that were sent before the given time, by the monotonic clock, and makes them again. It may be
// called in any goroutine.
func (o *Ownership) RetryBefore(sent time.Duration) {
	o.inFlight.mu.Lock()
	defer o.inFlight.mu.Unlock()
	for w := range o.inFlight.writes {
		if w.sent < sent {
			w.again = true
			w.cancel()
		}
	}
}

// OldestWrite returns since when the oldest write without a definite outcome has been going on, with all its attempts; ok is false if there
// is none. It may be called in any goroutine.
func (o *Ownership) OldestWrite() (since time.Duration, ok bool) {
	o.inFlight.mu.Lock()
	defer o.inFlight.mu.Unlock()
	for w := range o.inFlight.writes {
		if !ok || w.begin < since {
			since, ok = w.begin, true
		}
	}
	return since, ok
}

// noteResponse averages the time of a response with those before.
func (o *Ownership) noteResponse(took time.Duration) {
	known := o.responseTime.Load()
	if known == 0 {
		known = int64(took)
	}
	o.responseTime.Store((known + int64(took)) / 2)
}

// ResponseTime returns the mean time of the store's recent responses to writes; 0: there was none. It may be called in any goroutine.
func (o *Ownership) ResponseTime() time.Duration { return time.Duration(o.responseTime.Load()) }
