package schedule

import (
	"maps"
	"slices"
)

// Shares apply when the machines do not suffice for all waiting tasks: of tasks of the same priority and timeliness,
// those of teams that use less than their share go first.
//
// Load pattern: one team sends several times its usual number of jobs while the others send theirs.

// shareDegrees are the multiples of its share by which a team's tasks rank one degree further behind those of other teams: a team that
// exceeds its share a little for a large job does not rank with one that floods the pool.
var shareDegrees = [...]float64{1.1, 1.4, 2}

// degreeOver returns by how many degrees a team exceeds its share that uses the given multiple of it. A team without a weight
// that uses any is at the last degree.
func degreeOver(multiple float64) int {
	degree := 0
	for degree < len(shareDegrees) && multiple > shareDegrees[degree] {
		degree++
	}
	return degree
}

// compareShares updates by how much teams use more than their share of the processors in use. A team's share is its weight
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
		t.overShare = 0
		if weights > 0 {
			t.overShare = degreeOver(float64(t.used.MilliCPU) * weights / (float64(used) * t.weight))
		}
	}
}
