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

// drainEffect returns the effect of a drain on the budgets of the host's pool, and code 5107 if it would exceed
// one. The entry hosts check again with newer observations; this check lets the operator know beforehand.
func drainEffect(b *bundle.Bundle, assignments []admin.AssignmentReport, id string, now time.Time) ([]string, error) {
	index := bundle.NewIndex(b)
	host := index.Host(id)
	if host == nil {
		return nil, result.Errorf(result.BundleUnknownName, "no host has the ID %q", id)
	}
	pool := poolNow(index, assignments, id)
	if pool == nil {
		return nil, result.Errorf(result.BundleUnknownName, "the pool of host %q is not in the bundle", id)
	}
	unavailable := unavailableHosts(index, assignments, pool.Name, now)
	unavailable[id] = true
	var effects, exceeded []string
	for _, limit := range poolLimits(pool, host) {
		count := 0
		for other := range unavailable {
			if limit.counts(index.Host(other)) {
				count++
			}
		}
		text := fmt.Sprintf("%s: %d unavailable after the drain, %d allowed", limit.name, count, limit.most)
		effects = append(effects, text)
		if count > limit.most {
			exceeded = append(exceeded, text)
		}
	}
	if len(exceeded) > 0 {
		return nil, result.Errorf(result.BudgetExceeded, "drain of %s: %s", id, strings.Join(exceeded, "; "))
	}
	return effects, nil
}

// poolLimit is one budget that a drain counts against.
type poolLimit struct {
	name   string
	most   int
	counts func(*bundle.Host) bool
}

func poolLimits(pool *bundle.Pool, host *bundle.Host) []poolLimit {
	limits := []poolLimit{{"pool " + pool.Name, pool.Budget.MaxUnavailable, func(*bundle.Host) bool { return true }}}
	if most := pool.Budget.MaxUnavailablePerRack; most > 0 {
		limits = append(limits, poolLimit{"rack " + host.Rack + " of pool " + pool.Name, most,
			func(other *bundle.Host) bool { return other != nil && other.Rack == host.Rack }})
	}
	if most := pool.Budget.MaxUnavailablePerZone; most > 0 {
		limits = append(limits, poolLimit{"zone " + host.Zone + " of pool " + pool.Name, most,
			func(other *bundle.Host) bool { return other != nil && other.Zone == host.Zone }})
	}
	return limits
}

// poolNow returns the pool to which a host is assigned, that of the bundle if it has no assignment.
func poolNow(index *bundle.Index, assignments []admin.AssignmentReport, id string) *bundle.Pool {
	for _, assignment := range assignments {
		if assignment.Host == id {
			return index.Pool(assignment.Pool)
		}
	}
	return index.PoolOf(id)
}

// unavailableHosts returns the hosts of a pool that count against its budgets: those that the entry hosts report
// and those with a drain that has not ended.
func unavailableHosts(index *bundle.Index, assignments []admin.AssignmentReport, pool string, now time.Time) map[string]bool {
	unavailable := map[string]bool{}
	for _, a := range assignments {
		if a.Pool == pool && (a.Unavailable || a.State != control.InService) {
			unavailable[a.Host] = true
		}
	}
	for _, n := range index.Bundle.Interventions {
		if n.Kind != bundle.InterventionDrain || ended(n, now) {
			continue
		}
		if at := poolNow(index, assignments, n.Target); at != nil && at.Name == pool {
			unavailable[n.Target] = true
		}
	}
	return unavailable
}

// ended states whether an intervention takes no effect any more.
func ended(n bundle.Intervention, now time.Time) bool {
	until, err := time.Parse(time.RFC3339, n.Until)
	return err == nil && !until.After(now)
}

// zoneEffect returns what taking a zone out leaves of each pool.
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
