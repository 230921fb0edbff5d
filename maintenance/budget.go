package maintenance

import (
	"citrongauge.example/citrongauge/bundle"
)

// scope is a set of hosts with a limit on unavailable ones: a pool, or its hosts in one availability zone or rack.
type scope struct {
	pool, zone, rack string
	kind             scopeKind
}

type scopeKind int

const (
	wholePool scopeKind = iota
	inZone
	inRack
)

// scopes returns the three scopes that a host belongs to. Rack names are unique only within a zone.
func scopes(pool string, h bundle.Host) [3]scope {
	return [3]scope{
		wholePool: {pool: pool},
		inZone:    {pool: pool, zone: h.Zone, kind: inZone},
		inRack:    {pool: pool, zone: h.Zone, rack: h.Rack, kind: inRack},
	}
}

// budgetCounts counts the unavailable hosts of each scope against the availability budgets of the pools.
type budgetCounts struct {
	budgets map[string]bundle.Budget
	counts  map[scope]int
	counted map[string]bool
}

func newBudgetCounts(pools []bundle.Pool) budgetCounts {
	budgets := make(map[string]bundle.Budget, len(pools))
	for _, p := range pools {
		budgets[p.Name] = p.Budget
	}
	return budgetCounts{budgets: budgets, counts: map[scope]int{}, counted: map[string]bool{}}
}

// add counts a host as unavailable. Adding a host again has no effect.
func (c *budgetCounts) add(pool string, h bundle.Host) {
	if c.counted[h.ID] {
		return
	}
	c.counted[h.ID] = true
	for _, s := range scopes(pool, h) {
		c.counts[s]++
	}
}

// allows reports whether the budget of the pool permits the host to be unavailable. There is no limit for a pool that
// the bundle no longer has.
func (c *budgetCounts) allows(pool string, h bundle.Host) bool {
	budget, ok := c.budgets[pool]
	if !ok {
		return true
	}
	added := 1
	if c.counted[h.ID] {
		added = 0
	}
	limits := [3]int{budget.MaxUnavailable, budget.MaxUnavailablePerZone, budget.MaxUnavailablePerRack}
	for i, s := range scopes(pool, h) {
		isUnlimited := limits[i] == 0 && scopeKind(i) != wholePool
		if !isUnlimited && c.counts[s]+added > limits[i] {
			return false
		}
	}
	return true
}
