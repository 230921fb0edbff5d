package owner

import (
	"context"
	"sync"
	"time"

	"citrongauge.example/citrongauge/clock"
)

// watchCalls are the watch calls in flight. Each may wait for 2.3 s on a connection that has fallen silent, in which the owner learns
// of no new job and no new upstream. It is safe for concurrent use.
type watchCalls struct {
	mu    sync.Mutex
	calls map[*watchCall]struct{}
}

type watchCall struct {
	sent    time.Duration
	cancel  context.CancelFunc
	isStale bool
}

// begin returns the context of a call, and the function to call at its end. That reports whether the call was ended by restart.
func (w *watchCalls) begin(ctx context.Context) (context.Context, func() (isStale bool)) {
	ctx, cancel := context.WithCancel(ctx)
	call := &watchCall{sent: clock.Now(), cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calls == nil {
		w.calls = map[*watchCall]struct{}{}
	}
	w.calls[call] = struct{}{}
	return ctx, func() bool {
		cancel()
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.calls, call)
		return call.isStale
	}
}

// restart ends the calls that were sent before the given time, by the monotonic clock. They are made again.
func (w *watchCalls) restart(sent time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for call := range w.calls {
		if call.sent < sent {
			call.isStale = true
			call.cancel()
		}
	}
}
