package maintenance

import (
	"citrongauge.example/citrongauge/bundle"
)

// scope is a part of a pool that has a limit: the pool, or its hosts in one zone or rack.
type scope struct {
	pool, zone, rack string
	part             part
}

type part int

const (
	wholePool part = iota
	inZone
	inRack
)

// scopes returns the pool, its part in the host's zone and that in the host's rack. Racks are named within zones.
func scopes(pool string, h bundle.Host) [3]scope {
	return [3]scope{
		wholePool: {pool: pool},
		inZone:    {pool: pool, zone: h.Zone, part: inZone},
		inRack:    {pool: pool, zone: h.Zone, rack: h.Rack, part: inRack},
	}
}

// ledger counts the unavailable hosts of each scope.
type ledger struct {
	budgets map[string]bundle.Budget
	counts  map[scope]int
	counted map[string]bool
}

func newLedger(pools []bundle.Pool) ledger {
	budgets := make(map[string]bundle.Budget, len(pools))
	for _, p := range pools {
		budgets[p.Name] = p.Budget
	}
	return ledger{budgets: budgets, counts: map[scope]int{}, counted: map[string]bool{}}
}

// add counts a host once.
func (l *ledger) add(pool string, h bundle.Host) {
	if l.counted[h.ID] {
		return
	}
	l.counted[h.ID] = true
	for _, s := range scopes(pool, h) {
		l.counts[s]++
	}
}

// allows reports whether the budget holds with the host counted. A pool that the bundle no longer has has no limit.
func (l *ledger) allows(pool string, h bundle.Host) bool {
	budget, ok := l.budgets[pool]
	if !ok {
		return true
	}
	more := 1
	if l.counted[h.ID] {
		more = 0
	}
	limits := [3]int{budget.MaxUnavailable, budget.MaxUnavailablePerZone, budget.MaxUnavailablePerRack}
	for i, s := range scopes(pool, h) {
		isUnlimited := limits[i] == 0 && part(i) != wholePool
		if !isUnlimited && l.counts[s]+more > limits[i] {
			return false
		}
	}
	return true
}
