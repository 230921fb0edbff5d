package admission

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func drawDemands(t *rapid.T) (vector, []demand) {
	var capacity vector
	for r := range capacity {
		capacity[r] = float64(rapid.IntRange(0, 200).Draw(t, "capacity"))
	}
	demands := make([]demand, rapid.IntRange(1, 8).Draw(t, "teams"))
	for i := range demands {
		demands[i].weight = float64(rapid.IntRange(1, 500).Draw(t, "weight"))
		for r := range capacity {
			demands[i].total[r] = float64(rapid.IntRange(0, 300).Draw(t, "demand"))
		}
	}
	return capacity, demands
}

// Guards against entitlements that exceed the capacity of the pool, or that leave capacity idle although a team has
// unmet demand for it.
func TestEntitlementsFitCapacityAndAreMaximal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity, demands := drawDemands(t)
		fractions := entitlements(capacity, demands)
		var used vector
		for i, f := range fractions {
			if f < 0 || f > 1+1e-6 {
				t.Fatalf("fraction %v", f)
			}
			used = used.add(demands[i].total.scale(f))
		}
		for r := range capacity {
			if capacity[r] > 0 && used[r] > capacity[r]*(1+1e-6) {
				t.Fatalf("resource %d: %v of %v", r, used[r], capacity[r])
			}
		}
		remaining := capacity.subClamped(used)
		for i, f := range fractions {
			if f < 1-1e-6 && satisfiable(demands[i].total, capacity) &&
				!usesExhaustedResourceWithin(demands[i].total, capacity, remaining, 1e-6) {
				t.Fatalf("team %d is granted %v of its demand although none of its resources is exhausted", i, f)
			}
		}
	})
}

func usesExhaustedResourceWithin(total, capacity, remaining vector, tolerance float64) bool {
	for r := range total {
		if total[r] > 0 && capacity[r] > 0 && remaining[r] <= capacity[r]*tolerance {
			return true
		}
	}
	return false
}

// Guards against a team with unmet demand that gets less than its weighted share of the pool, as when a large team
// starves a small one.
func TestEntitlementsGrantWeightedShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity, demands := drawDemands(t)
		weights := 0.0
		for _, d := range demands {
			weights += d.weight
		}
		for i, f := range entitlements(capacity, demands) {
			share := demands[i].total.scale(f).dominantShare(capacity)
			if f < 1-1e-6 && satisfiable(demands[i].total, capacity) && share < demands[i].weight/weights-1e-6 {
				t.Fatalf("team %d: dominant share %v, weighted share %v", i, share, demands[i].weight/weights)
			}
		}
	})
}

// Checks the example of the paper on dominant-resource fairness (Ghodsi et al., NSDI 2011): two teams with different
// dominant resources.
func TestEntitlementsOfDifferentDominantResources(t *testing.T) {
	is := is.New(t)
	capacity := vector{0, 9, 18, 0}
	fractions := entitlements(capacity, []demand{
		{weight: 1, total: vector{0, 1, 4, 0}.scale(100)},
		{weight: 1, total: vector{0, 3, 1, 0}.scale(100)},
	})
	is.True(fractions[0]*100 > 2.99 && fractions[0]*100 < 3.01) // 3 tasks of 1 processor and 4 GB
	is.True(fractions[1]*100 > 1.99 && fractions[1]*100 < 2.01) // 2 tasks of 3 processors and 1 GB
}
