package grant

import (
	"fmt"
	"sync"
	"time"
)

// Account counts the slots that one host holds for each team and refuses more than the host's limit. It is safe
// for concurrent use. An account belongs to one incarnation of the host, like its Manager: work of an earlier
// incarnation of the same process must not be renewed, since its grant returns to the fleet.
//
// The order of calls for an attempt is: TryAcquire before Reserve, Allowed right before Start, and Release once
// it is proved that the attempt ended or was never started. If that proof is missing, ReleaseAfter holds the
// slots until the upstream has stopped the attempt by itself.
type Account struct {
	mu    sync.Mutex
	teams map[string]*balance
}

type balance struct {
	limit int
	used  int
	peak  int // highest use since the last sample
	holds []hold
}

type hold struct {
	slots int
	until time.Time
}

// NewAccount returns an account without limits, which refuses everything.
func NewAccount() *Account {
	return &Account{teams: map[string]*balance{}}
}

// TryAcquire takes slots for an attempt of the team if they are within the host's limit.
func (a *Account) TryAcquire(team string, slots int) (ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.teams[team]
	if b == nil || slots <= 0 || b.used+slots > b.limit {
		return false
	}
	b.used += slots
	b.peak = max(b.peak, b.used)
	return true
}

// Allowed reports whether all slots held for the team are within its limit, which may have been lowered since
// TryAcquire. It is asked again right before Start.
func (a *Account) Allowed(team string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.teams[team]
	return b != nil && b.used <= b.limit
}

// Release returns the slots of an attempt that is proved to have ended or never to have started.
func (a *Account) Release(team string, slots int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.release(team, slots)
}

// ReleaseAfter returns the slots of an attempt with an unknown state at the given time. HoldUnstarted and
// HoldStarted compute it.
func (a *Account) ReleaseAfter(team string, slots int, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.teams[team]
	b.holds = append(b.holds, hold{slots: slots, until: at})
}

// InUse returns the slots held for the team.
func (a *Account) InUse(team string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b := a.teams[team]; b != nil {
		return b.used
	}
	return 0
}

// Limit returns the slots that the host may hold for the team.
func (a *Account) Limit(team string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b := a.teams[team]; b != nil {
		return b.limit
	}
	return 0
}

func (a *Account) release(team string, slots int) {
	b := a.teams[team]
	if b == nil || slots > b.used {
		// A second release of the same slots would let the team exceed its cap.
		panic(fmt.Sprintf("grant: release of %d slots of team %s that are not held", slots, team))
	}
	b.used -= slots
}

// expire returns the slots whose hold has ended.
func (a *Account) expire(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for team, b := range a.teams {
		kept := b.holds[:0]
		for _, h := range b.holds {
			if now.Before(h.until) {
				kept = append(kept, h)
				continue
			}
			a.release(team, h.slots)
		}
		b.holds = kept
	}
}

func (a *Account) setLimit(team string, limit int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.balance(team).limit = limit
}

// lower brings the limit down to want, or to the use if that is higher, and returns the new value. No slots above
// it can be taken afterwards, so a grant of this size may be written.
func (a *Account) lower(team string, want int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.balance(team)
	want = max(want, b.used)
	b.limit = min(b.limit, want)
	return want
}

// sample returns the use and the highest use since the last sample.
func (a *Account) sample(team string) (used, peak int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.balance(team)
	peak = b.peak
	b.peak = b.used
	return b.used, peak
}

func (a *Account) balance(team string) *balance {
	b := a.teams[team]
	if b == nil {
		b = &balance{}
		a.teams[team] = b
	}
	return b
}

// drop forgets a team without use. It reports whether it did.
func (a *Account) drop(team string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b := a.teams[team]; b != nil && b.used > 0 {
		return false
	}
	delete(a.teams, team)
	return true
}
