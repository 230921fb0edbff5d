package grant

import (
	"fmt"
	"sync"
	"time"
)

// SlotLimiter counts the slots that one host uses for each team and rejects requests above the host's limit. It is safe
// for concurrent use. An account belongs to one incarnation of the host, like its Manager. The leases of work that an
// earlier incarnation started must not be renewed, because the slots granted to that incarnation return to the fleet.
//
// For each attempt, call TryAcquire before Reserve, Allowed right before Start, and Release once the attempt is known
// to have ended or never to have started. If its state is unknown, call ReleaseAt, which keeps the slots in use
// until the upstream must have stopped the attempt.
type SlotLimiter struct {
	mu    sync.Mutex
	teams map[string]*teamUsage
}

type teamUsage struct {
	limit         int
	used          int
	peak          int // highest use since the last call of sampleUse
	timedReleases []timedRelease
}

type timedRelease struct {
	slots     int
	releaseAt time.Time
}

// NewSlotLimiter returns an account in which every team has a limit of 0 slots.
func NewSlotLimiter() *SlotLimiter {
	return &SlotLimiter{teams: map[string]*teamUsage{}}
}

// TryAcquire takes slots for an attempt of the team. It returns false if they would exceed the host's limit.
func (a *SlotLimiter) TryAcquire(team string, slots int) (ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.teams[team]
	if u == nil || slots <= 0 || u.used+slots > u.limit {
		return false
	}
	u.used += slots
	u.peak = max(u.peak, u.used)
	return true
}

// WithinLimit reports whether the team's slots in use are within its limit. Callers check it right before Start, because
// the limit may have been lowered since TryAcquire.
func (a *SlotLimiter) WithinLimit(team string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.teams[team]
	return u != nil && u.used <= u.limit
}

// Release frees the slots of an attempt that is known to have ended or never to have started.
func (a *SlotLimiter) Release(team string, slots int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.release(team, slots)
}

// ReleaseAt frees the slots of an attempt with an unknown state at the given time. UnstartedReleaseTime and
// StartedReleaseTime compute such times.
func (a *SlotLimiter) ReleaseAt(team string, slots int, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.teams[team]
	u.timedReleases = append(u.timedReleases, timedRelease{slots: slots, releaseAt: at})
}

// InUse returns the number of slots in use for the team.
func (a *SlotLimiter) InUse(team string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if u := a.teams[team]; u != nil {
		return u.used
	}
	return 0
}

// Limit returns the number of slots that the host may use for the team.
func (a *SlotLimiter) Limit(team string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if u := a.teams[team]; u != nil {
		return u.limit
	}
	return 0
}

func (a *SlotLimiter) release(team string, slots int) {
	u := a.teams[team]
	if u == nil || slots > u.used {
		// Releasing the same slots twice would let the team exceed its cap.
		panic(fmt.Sprintf("grant: release of %d slots of team %s that are not held", slots, team))
	}
	u.used -= slots
}

// releaseExpired frees the slots whose release time has come.
func (a *SlotLimiter) releaseExpired(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for team, u := range a.teams {
		kept := u.timedReleases[:0]
		for _, r := range u.timedReleases {
			if now.Before(r.releaseAt) {
				kept = append(kept, r)
				continue
			}
			a.release(team, r.slots)
		}
		u.timedReleases = kept
	}
}

func (a *SlotLimiter) setLimit(team string, limit int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.teamUsage(team).limit = limit
}

// lowerLimit lowers the limit to target, or to the slots in use if there are more, and returns that number. No slots
// above it can be taken afterwards, so an entry of this size may be written to the ledger.
func (a *SlotLimiter) lowerLimit(team string, target int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.teamUsage(team)
	target = max(target, u.used)
	u.limit = min(u.limit, target)
	return target
}

// sampleUse returns the current use and the highest use since the previous call.
func (a *SlotLimiter) sampleUse(team string) (used, peak int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.teamUsage(team)
	peak = u.peak
	u.peak = u.used
	return u.used, peak
}

func (a *SlotLimiter) teamUsage(team string) *teamUsage {
	u := a.teams[team]
	if u == nil {
		u = &teamUsage{}
		a.teams[team] = u
	}
	return u
}

// removeIfUnused removes a team that has no slots in use. It reports whether the team was removed.
func (a *SlotLimiter) removeIfUnused(team string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if u := a.teams[team]; u != nil && u.used > 0 {
		return false
	}
	delete(a.teams, team)
	return true
}
