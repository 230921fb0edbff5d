package bundle

import (
	"fmt"

	"citrongauge.example/citrongauge/result"
)

// checkPools checks that every host is in exactly one pool and that no budget allows a whole pool to be stopped.
func (v *validator) checkPools() {
	v.checkNotEmpty("pools", len(v.bundle.Pools))
	poolOf := map[string]string{}
	for i, pool := range v.bundle.Pools {
		path := fmt.Sprintf("pools[%d].", i)
		v.checkNotEmpty(path+"hosts", len(pool.Hosts))
		v.checkPoolHosts(path+"hosts", pool, poolOf)
		v.checkBudget(path+"budget.", pool)
		v.checkRange(path+"drain_ms", pool.DrainMS, minDrainMS, maxMillis)
		v.checkRange(path+"maintain_every_hours", int64(pool.MaintainEveryHours), 0, maxMaintainHours)
	}
	if v.poolsBroken() {
		return
	}
	for i, host := range v.bundle.Hosts {
		if _, ok := poolOf[host.ID]; !ok {
			v.fail(result.BundleMissing, fmt.Sprintf("hosts[%d].id", i), "host %s is in no pool", quote(host.ID))
		}
	}
}

// poolsBroken states whether the list of a pool's hosts could not be read, so that a host may be in it.
func (v *validator) poolsBroken() bool {
	for i, pool := range v.bundle.Pools {
		path := fmt.Sprintf("pools[%d].hosts", i)
		if v.isBroken(path) {
			return true
		}
		for k := range pool.Hosts {
			if v.isBroken(fmt.Sprintf("%s[%d]", path, k)) {
				return true
			}
		}
	}
	return v.isBroken("pools")
}

func (v *validator) checkPoolHosts(path string, pool Pool, poolOf map[string]string) {
	here := map[string]string{}
	for k, host := range pool.Hosts {
		hostPath := fmt.Sprintf("%s[%d]", path, k)
		if v.isBroken(hostPath) {
			continue
		}
		v.refer(v.hosts, "host", hostPath, host)
		_, twice := here[host]
		v.unique(here, result.BundleDuplicateName, hostPath, host)
		if other, ok := poolOf[host]; ok && !twice {
			v.fail(result.BundlePoolsOverlap, hostPath, "host %s is also in pool %s", quote(host), quote(other))
			continue
		}
		poolOf[host] = pool.Name
	}
}

func (v *validator) checkBudget(path string, pool Pool) {
	budget := pool.Budget
	limits := []struct {
		field string
		value int
	}{
		{"max_unavailable", budget.MaxUnavailable},
		{"max_unavailable_per_rack", budget.MaxUnavailablePerRack},
		{"max_unavailable_per_zone", budget.MaxUnavailablePerZone},
	}
	size := len(pool.Hosts)
	for _, limit := range limits {
		switch {
		case limit.value < 0:
			v.fail(result.BundleBadLimit, path+limit.field, "%d is negative", limit.value)
		case size > 0 && limit.value >= size:
			v.fail(result.BundleBadLimit, path+limit.field, "%d is not below the pool's size of %d hosts", limit.value, size)
		}
	}
}

func (v *validator) checkQueues() {
	for i, queue := range v.bundle.Queues {
		path := fmt.Sprintf("queues[%d].", i)
		v.refer(v.pools, "pool", path+"pool", queue.Pool)
		v.checkOpen(path, queue)
		if v.present(path+"teams") && len(queue.Teams) == 0 {
			v.fail(result.BundleMissing, path+"teams", "leave the field out to allow all teams")
		}
		seen := map[string]string{}
		for k, team := range queue.Teams {
			teamPath := fmt.Sprintf("%steams[%d]", path, k)
			v.refer(v.teams, "team", teamPath, team)
			v.unique(seen, result.BundleDuplicateName, teamPath, team)
		}
		v.checkRange(path+"max_queued", int64(queue.MaxQueued), 1, maxCount)
		v.checkRange(path+"max_deadline_ms", queue.MaxDeadlineMS, 1, maxMillis)
	}
}

// checkOpen checks that an open queue names the team that its tasks count for and excludes no team.
func (v *validator) checkOpen(path string, queue Queue) {
	switch {
	case queue.Open && queue.OpenTeam == "":
		v.fail(result.BundleMissing, path+"open_team", "an open queue needs the team that its tasks run for")
	case queue.Open:
		v.refer(v.teams, "team", path+"open_team", queue.OpenTeam)
	case queue.OpenTeam != "" && !v.isBroken(path+"open"):
		v.fail(result.BundleBadValue, path+"open_team", "the queue is not open")
	}
	if queue.Open && len(queue.Teams) > 0 {
		v.fail(result.BundleBadValue, path+"teams", "an open queue is open to all teams")
	}
}
