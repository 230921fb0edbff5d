package routing

import (
	"sync"
	"time"
)

const (
	budgetWindow  = 10 // seconds
	budgetPercent = 10
	budgetExtra   = 3
)

// RetryBudget bounds the retries of an entry host to 10% of the starts of the last 10 s, plus 3. It is safe for
// concurrent use. The first attempts of tasks count as starts; retries do not, so that they earn no more retries.
type RetryBudget struct {
	mu      sync.Mutex
	second  [budgetWindow + 1]int64
	starts  [budgetWindow + 1]int
	retries [budgetWindow + 1]int
	epoch   time.Time
}

// NoteStart counts the first attempt of a task.
func (b *RetryBudget) NoteStart(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts[b.bucket(now)]++
}

// Take takes one retry from the budget and says whether it may be made.
func (b *RetryBudget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.bucket(now)
	oldest := b.second[i] - budgetWindow
	starts, retries := 0, 0
	for j, second := range b.second {
		// The bucket in which the window begins counts for retries, but not for starts.
		if second > oldest {
			starts += b.starts[j]
		}
		if second >= oldest {
			retries += b.retries[j]
		}
	}
	if retries >= starts*budgetPercent/100+budgetExtra {
		return false
	}
	b.retries[i]++
	return true
}

func (b *RetryBudget) bucket(now time.Time) int {
	if b.epoch.IsZero() {
		b.epoch = now
		for i := range b.second {
			b.second[i] = -2 * budgetWindow
		}
	}
	second := int64(max(0, now.Sub(b.epoch)) / time.Second)
	i := int(second % int64(len(b.second)))
	if b.second[i] != second {
		b.second[i], b.starts[i], b.retries[i] = second, 0, 0
	}
	return i
}
