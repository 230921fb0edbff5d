package routing

import (
	"sync"
	"time"
)

const (
	retryWindowSeconds = 10
	retryPercent       = 10
	retryAllowance     = 3
)

// RetryBudget limits the retries of an entry host to 10% of the starts of the last 10 s, plus 3. Only first attempts
// of tasks count as starts, so that retries do not permit further retries. It is safe for concurrent use.
type RetryBudget struct {
	mu sync.Mutex
	// starts and retries are counted in buckets of one second, which form a ring. bucketSeconds holds the second since
	// origin to which each bucket belongs.
	bucketSeconds [retryWindowSeconds + 1]int64
	starts        [retryWindowSeconds + 1]int
	retries       [retryWindowSeconds + 1]int
	origin        time.Time // time of the first call
}

// RecordStart counts the first attempt of a task.
func (b *RetryBudget) RecordStart(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts[b.bucket(now)]++
}

// Take reports whether the budget permits a retry now, and counts the retry if it does.
func (b *RetryBudget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.bucket(now)
	windowStart := b.bucketSeconds[i] - retryWindowSeconds
	starts, retries := 0, 0
	for j, second := range b.bucketSeconds {
		// The bucket that is only partly inside the window counts for retries, but not for starts, so that the
		// budget is not exceeded.
		if second > windowStart {
			starts += b.starts[j]
		}
		if second >= windowStart {
			retries += b.retries[j]
		}
	}
	if retries >= starts*retryPercent/100+retryAllowance {
		return false
	}
	b.retries[i]++
	return true
}

// bucket returns the index of the bucket for now. It first resets the bucket if it belongs to an earlier second.
func (b *RetryBudget) bucket(now time.Time) int {
	if b.origin.IsZero() {
		b.origin = now
		// Unused buckets get a second that is outside the window, so that they are not counted.
		for i := range b.bucketSeconds {
			b.bucketSeconds[i] = -2 * retryWindowSeconds
		}
	}
	second := int64(max(0, now.Sub(b.origin)) / time.Second)
	i := int(second % int64(len(b.bucketSeconds)))
	if b.bucketSeconds[i] != second {
		b.bucketSeconds[i], b.starts[i], b.retries[i] = second, 0, 0
	}
	return i
}
