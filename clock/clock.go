// Package clock provides a monotonic clock that also advances while the host is suspended (CLOCK_BOOTTIME). Go's own
// monotonic clock stops during a suspension, so a lease checked against it may already have expired.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since an arbitrary fixed moment, usually the boot of the host.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // cannot happen: every Linux version that Go supports has this clock
	}
	return time.Duration(ts.Nano())
}

// Sleep waits for d or until ctx ends. It uses Go's timers, so a suspension of the host may prolong the wait.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// WallMS returns the wall-clock time in Unix milliseconds.
func WallMS() int64 { return time.Now().UnixMilli() }
