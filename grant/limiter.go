package grant

import (
	"fmt"
	"sync"
	"time"
)

// SlotLimiter counts the slots that one host uses for each team and rejects requests above the host's limit. It is safe
// for concurrent use. A SlotLimiter belongs to one incarnation of the host, like its Manager. The leases of work that
// an earlier incarnation started must not be renewed, because the slots granted to that incarnation return to the
// fleet.
//
// For each attempt, call TryAcquire before Reserve, WithinLimit right before Start, and Release once the attempt is
// known to have ended or never to have started. If its state is unknown, call ReleaseAt, which keeps the slots in use
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

// NewSlotLimiter returns a limiter in which every team has a limit of 0 slots.
func NewSlotLimiter() *SlotLimiter {
	return &SlotLimiter{teams: map[string]*teamUsage{}}
}

// TryAcquire acquires slots for an attempt of the team. It returns false if they would exceed the host's limit.
func (l *SlotLimiter) TryAcquire(team string, slots int) (ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.teams[team]
	if u == nil || slots <= 0 || u.used+slots > u.limit {
		return false
	}
	u.used += slots
	u.peak = max(u.peak, u.used)
	return true
}

// WithinLimit reports whether the team's slots in use are within its limit. Callers check it right before Start,
// because the limit may have been lowered since TryAcquire.
func (l *SlotLimiter) WithinLimit(team string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.teams[team]
	return u != nil && u.used <= u.limit
}

// Release frees the slots of an attempt that is known to have ended or never to have started.
func (l *SlotLimiter) Release(team string, slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.release(team, slots)
}

// ReleaseAt frees the slots of an attempt with an unknown state at the given time. UnstartedReleaseTime and
// StartedReleaseTime compute such times.
func (l *SlotLimiter) ReleaseAt(team string, slots int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.teams[team]
	u.timedReleases = append(u.timedReleases, timedRelease{slots: slots, releaseAt: at})
}

// InUse returns the number of slots in use for the team.
func (l *SlotLimiter) InUse(team string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u := l.teams[team]; u != nil {
		return u.used
	}
	return 0
}

// Limit returns the number of slots that the host may use for the team.
func (l *SlotLimiter) Limit(team string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u := l.teams[team]; u != nil {
		return u.limit
	}
	return 0
}

func (l *SlotLimiter) release(team string, slots int) {
	u := l.teams[team]
	if u == nil || slots > u.used {
		// Releasing the same slots twice would let the team exceed its cap.
		panic(fmt.Sprintf("grant: release of %d slots of team %s that are not held", slots, team))
	}
	u.used -= slots
}

// releaseExpired frees the slots whose release time has come.
func (l *SlotLimiter) releaseExpired(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for team, u := range l.teams {
		kept := u.timedReleases[:0]
		for _, r := range u.timedReleases {
			if now.Before(r.releaseAt) {
				kept = append(kept, r)
				continue
			}
			l.release(team, r.slots)
		}
		u.timedReleases = kept
	}
}

func (l *SlotLimiter) setLimit(team string, limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.teamUsage(team).limit = limit
}

// lowerLimit lowers the limit to target, or to the number of slots in use if that is higher, and returns the resulting
// number. No slots above it can be acquired afterwards, so an entry of this size may be written to the ledger.
func (l *SlotLimiter) lowerLimit(team string, target int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.teamUsage(team)
	target = max(target, u.used)
	u.limit = min(u.limit, target)
	return target
}

// sampleUse returns the current use and the highest use since the previous call.
func (l *SlotLimiter) sampleUse(team string) (used, peak int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.teamUsage(team)
	peak = u.peak
	u.peak = u.used
	return u.used, peak
}

func (l *SlotLimiter) teamUsage(team string) *teamUsage {
	u := l.teams[team]
	if u == nil {
		u = &teamUsage{}
		l.teams[team] = u
	}
	return u
}

// removeIfUnused removes a team that has no slots in use. It reports whether the team was removed.
func (l *SlotLimiter) removeIfUnused(team string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u := l.teams[team]; u != nil && u.used > 0 {
		return false
	}
	delete(l.teams, team)
	return true
}
