package bundle

import (
	"fmt"

	"citrongauge.example/citrongauge/result"
)

// checkPools checks that every host is in exactly one pool and that no budget allows all hosts of a pool to be
// unavailable at the same time.
func (v *validator) checkPools() {
	v.checkNotEmpty("pools", len(v.bundle.Pools))
	poolOf := map[string]string{}
	for i, pool := range v.bundle.Pools {
		path := fmt.Sprintf("pools[%d].", i)
		v.checkNotEmpty(path+"hosts", len(pool.Hosts))
		v.checkPoolHosts(path+"hosts", pool, poolOf)
		v.checkBudget(path+"budget.", pool)
		v.checkRange(path+"drain_ms", pool.DrainMS, minDrainMS, maxDurationMS)
		v.checkRange(path+"maintain_every_hours", int64(pool.MaintainEveryHours), 0, maxMaintenanceIntervalHours)
	}
	if v.poolHostsIncomplete() {
		return
	}
	for i, host := range v.bundle.Hosts {
		if _, ok := poolOf[host.ID]; !ok {
			v.fail(result.BundleMissing, fmt.Sprintf("hosts[%d].id", i), "host %s is in no pool", quote(host.ID))
		}
	}
}

// poolHostsIncomplete reports whether part of a pool's host list failed to decode. A host that seems to be in no pool
// may then be in that list.
func (v *validator) poolHostsIncomplete() bool {
	for i, pool := range v.bundle.Pools {
		path := fmt.Sprintf("pools[%d].hosts", i)
		if v.failedToDecode(path) {
			return true
		}
		for k := range pool.Hosts {
			if v.failedToDecode(fmt.Sprintf("%s[%d]", path, k)) {
				return true
			}
		}
	}
	return v.failedToDecode("pools")
}

// checkPoolHosts checks the host list of a pool. It reports hosts that are listed twice or are in another pool, and
// adds the others to poolOf.
func (v *validator) checkPoolHosts(path string, pool Pool, poolOf map[string]string) {
	inPool := map[string]string{}
	for k, host := range pool.Hosts {
		hostPath := fmt.Sprintf("%s[%d]", path, k)
		if v.failedToDecode(hostPath) {
			continue
		}
		v.checkReference(v.hosts, "host", hostPath, host)
		_, repeated := inPool[host]
		v.checkUnique(inPool, result.BundleDuplicateName, hostPath, host)
		if other, ok := poolOf[host]; ok && !repeated {
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
		v.checkReference(v.pools, "pool", path+"pool", queue.Pool)
		v.checkOpenQueue(path, queue)
		if v.present(path+"teams") && len(queue.Teams) == 0 {
			v.fail(result.BundleMissing, path+"teams", "leave the field out to allow all teams")
		}
		seen := map[string]string{}
		for k, team := range queue.Teams {
			teamPath := fmt.Sprintf("%steams[%d]", path, k)
			v.checkReference(v.teams, "team", teamPath, team)
			v.checkUnique(seen, result.BundleDuplicateName, teamPath, team)
		}
		v.checkRange(path+"max_queued", int64(queue.MaxQueued), 1, maxCount)
		v.checkRange(path+"max_deadline_ms", queue.MaxDeadlineMS, 1, maxDurationMS)
	}
}

// checkOpenQueue checks that an open queue names the team that its tasks run for and does not restrict its teams.
func (v *validator) checkOpenQueue(path string, queue Queue) {
	switch {
	case queue.Open && queue.OpenTeam == "":
		v.fail(result.BundleMissing, path+"open_team", "an open queue needs the team that its tasks run for")
	case queue.Open:
		v.checkReference(v.teams, "team", path+"open_team", queue.OpenTeam)
	case queue.OpenTeam != "" && !v.failedToDecode(path+"open"):
		v.fail(result.BundleBadValue, path+"open_team", "the queue is not open")
	}
	if queue.Open && len(queue.Teams) > 0 {
		v.fail(result.BundleBadValue, path+"teams", "an open queue is open to all teams")
	}
}
