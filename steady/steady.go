// Package steady reads a clock that never jumps and that counts the time for which the machine was suspended. Go's
// monotonic time leaves that time out, so a lease that is checked with it may have ended.
package steady

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since an arbitrary moment in the past.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the clock exists on every Linux that Go supports
	}
	return time.Duration(ts.Nano())
}

// Sleep returns after d, or when ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// WallMS returns the time of day in Unix milliseconds.
func WallMS() int64 { return time.Now().UnixMilli() }
