package schedule

import (
	"maps"
	"slices"
)

// Shares apply when the machines do not suffice for all waiting tasks: of tasks of the same priority and timeliness,
// those of teams that use less than their share go first.
//
// Load pattern: one team sends several times its usual number of jobs while the others send theirs.

// shareSlack is the fraction by which a team may exceed its share before its tasks rank behind those of other teams.
const shareSlack = 0.1

// compareShares updates which teams use more than their share of the processors in use. A team's share is its weight
// among the teams that use any.
func (c *Core) compareShares() {
	var used int64
	weights := 0.0
	for _, name := range slices.Sorted(maps.Keys(c.teams)) { // sorted, so that the sum is always the same
		t := c.teams[name]
		if t.used.MilliCPU > 0 {
			used += t.used.MilliCPU
			weights += t.weight
		}
	}
	for _, t := range c.teams {
		t.overShare = weights > 0 && float64(t.used.MilliCPU) > (1+shareSlack)*float64(used)*t.weight/weights
	}
}
