package main

import (
	"fmt"
	"strings"
	"time"

	"citrongauge.example/citrongauge/admin"
	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/result"
)

// drainEffect returns the effect of a drain on the availability budgets of the host's pool, or an error with code
// result.BudgetExceeded if the drain would exceed one. The entry hosts check the budgets again with newer observations; this check tells the
// operator before the rollout.
func drainEffect(b *bundle.Bundle, assignments []admin.AssignmentReport, id string, now time.Time) ([]string, error) {
	index := bundle.NewIndex(b)
	host := index.Host(id)
	if host == nil {
		return nil, result.Errorf(result.BundleUnknownName, "no host with ID %q in the bundle", id)
	}
	pool := assignedPool(index, assignments, id)
	if pool == nil {
		return nil, result.Errorf(result.BundleUnknownName, "the pool of host %q is not in the bundle", id)
	}
	unavailable := unavailableHosts(index, assignments, pool.Name, now)
	unavailable[id] = true
	var effects, exceeded []string
	for _, limit := range budgetLimits(pool, host) {
		count := 0
		for other := range unavailable {
			if limit.includes(index.Host(other)) {
				count++
			}
		}
		text := fmt.Sprintf("%s: %d unavailable after the drain, %d allowed", limit.name, count, limit.maxUnavailable)
		effects = append(effects, text)
		if count > limit.maxUnavailable {
			exceeded = append(exceeded, text)
		}
	}
	if len(exceeded) > 0 {
		return nil, result.Errorf(result.BudgetExceeded, "drain of %s: %s", id, strings.Join(exceeded, "; "))
	}
	return effects, nil
}

// budgetLimit is one availability budget that applies to a drain: that of the pool, or its limit per rack or per zone.
type budgetLimit struct {
	name           string
	maxUnavailable int
	includes       func(*bundle.Host) bool
}

func budgetLimits(pool *bundle.Pool, host *bundle.Host) []budgetLimit {
	limits := []budgetLimit{{"pool " + pool.Name, pool.Budget.MaxUnavailable, func(*bundle.Host) bool { return true }}}
	if maximum := pool.Budget.MaxUnavailablePerRack; maximum > 0 {
		limits = append(limits, budgetLimit{"rack " + host.Rack + " of pool " + pool.Name, maximum,
			func(other *bundle.Host) bool { return other != nil && other.Rack == host.Rack }})
	}
	if maximum := pool.Budget.MaxUnavailablePerZone; maximum > 0 {
		limits = append(limits, budgetLimit{"zone " + host.Zone + " of pool " + pool.Name, maximum,
			func(other *bundle.Host) bool { return other != nil && other.Zone == host.Zone }})
	}
	return limits
}

// assignedPool returns the pool to which a host is currently assigned, or its pool in the bundle if it has no
// assignment.
func assignedPool(index *bundle.Index, assignments []admin.AssignmentReport, id string) *bundle.Pool {
	for _, assignment := range assignments {
		if assignment.Host == id {
			return index.Pool(assignment.Pool)
		}
	}
	return index.PoolOf(id)
}

// unavailableHosts returns the hosts of a pool that count against its budgets: those that the entry hosts report as
// unavailable or not in service, and those with a drain that has not expired.
func unavailableHosts(index *bundle.Index, assignments []admin.AssignmentReport, pool string, now time.Time) map[string]bool {
	unavailable := map[string]bool{}
	for _, a := range assignments {
		if a.Pool == pool && (a.Unavailable || a.State != control.InService) {
			unavailable[a.Host] = true
		}
	}
	for _, n := range index.Bundle.Interventions {
		if n.Kind != bundle.InterventionDrain || expired(n, now) {
			continue
		}
		if assigned := assignedPool(index, assignments, n.Target); assigned != nil && assigned.Name == pool {
			unavailable[n.Target] = true
		}
	}
	return unavailable
}

// expired reports whether an intervention has reached its end time and no longer takes effect.
func expired(n bundle.Intervention, now time.Time) bool {
	until, err := time.Parse(time.RFC3339, n.Until)
	return err == nil && !until.After(now)
}

// zoneEffect returns, for each pool, the slots that stay in service when a zone is taken out of service.
func zoneEffect(b *bundle.Bundle, zone string) []string {
	index := bundle.NewIndex(b)
	var effects []string
	for _, pool := range b.Pools {
		all, left := 0, 0
		for _, id := range pool.Hosts {
			host := index.Host(id)
			all += host.Capacity.Slots
			if host.Zone != zone && !index.Zone(host.Zone).OutOfService {
				left += host.Capacity.Slots
			}
		}
		effects = append(effects, fmt.Sprintf("pool %s: %d of %d slots stay in service", pool.Name, left, all))
	}
	return effects
}
