package schedule

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against a plan that gives away more capacity than there is, that serves a tier of one pool before a more
// urgent tier of another, or that leaves machines unused while some are needed.
func TestPlanTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := make([]*poolDemand, rapid.IntRange(1, 6).Draw(t, "pools"))
		var needed, granted int64
		for i := range demands {
			demands[i] = &poolDemand{}
			for tier := range tierCount {
				demands[i].need[tier] = rapid.Int64Range(0, 1_000_000).Draw(t, "need")
			}
			needed += demands[i].demand()
		}
		total := rapid.Int64Range(0, 8_000_000).Draw(t, "total")
		planTargets(demands, total)
		for _, d := range demands {
			if d.target > d.demand() {
				t.Fatalf("target %d exceeds the demand %d", d.target, d.demand())
			}
			granted += d.target
		}
		if granted > total {
			t.Fatalf("granted %d of %d", granted, total)
		}
		rounding := int64(len(demands)) * int64(tierCount)
		if granted < min(needed, total)-rounding {
			t.Fatalf("granted %d although %d are needed and %d available", granted, needed, total)
		}
		checkTiers(t, demands)
	})
}

// checkTiers fails if a pool lacks capacity for a tier while another one has capacity for a less urgent tier.
func checkTiers(t *rapid.T, demands []*poolDemand) {
	firstShort, lastServed := tierCount, tier(0)
	for _, d := range demands {
		var sum int64
		for t := range tierCount {
			if slack := int64(len(demands)); d.target > sum+slack && d.need[t] > 0 {
				lastServed = max(lastServed, t)
			}
			sum += d.need[t]
			if d.target < sum-int64(tierCount) {
				firstShort = min(firstShort, t)
			}
		}
	}
	if lastServed > firstShort {
		t.Fatalf("tier %d is served although tier %d is short: %v", lastServed, firstShort, demands)
	}
}
