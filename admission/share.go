package admission

import (
	"math"

	"citrongauge.example/citrongauge/upstream"
)

// resourceCount is the number of resources that shares are computed over: slots, processors, memory and
// accelerators.
const resourceCount = 4

// vector is an amount of each resource.
type vector [resourceCount]float64

func toVector(s upstream.Size) vector {
	return vector{float64(s.Slots), float64(s.CPUs), float64(s.MemoryMB), float64(s.Accelerators)}
}

func (v vector) add(o vector) vector {
	for i := range v {
		v[i] += o[i]
	}
	return v
}

func (v vector) sub(o vector) vector {
	for i := range v {
		v[i] = math.Max(0, v[i]-o[i])
	}
	return v
}

func (v vector) scale(f float64) vector {
	for i := range v {
		v[i] *= f
	}
	return v
}

// dominant returns the largest fraction of capacity that v takes. Resources without capacity are left out.
func (v vector) dominant(capacity vector) float64 {
	largest := 0.0
	for i := range v {
		if capacity[i] <= 0 {
			continue
		}
		largest = math.Max(largest, v[i]/capacity[i])
	}
	return largest
}

// demand is what a team wants of a pool, fleet-wide.
type demand struct {
	weight float64
	// total is the sum of what runs and what waits.
	total vector
}

// entitlements returns for each demand the fraction of it, from 0 to 1, that weighted dominant-resource fairness
// gives within capacity. The fractions are raised together in proportion to weight over dominant share; a team
// stops when its demand is met or when a resource that it uses is used up.
func entitlements(capacity vector, demands []demand) []float64 {
	fractions := make([]float64, len(demands))
	rates := make([]float64, len(demands))
	active := make([]bool, len(demands))
	for i, d := range demands {
		share := d.total.dominant(capacity)
		if !possible(d.total, capacity) || d.weight <= 0 {
			continue
		}
		if share <= 0 {
			fractions[i] = 1
			continue
		}
		rates[i] = d.weight / share
		active[i] = true
	}
	left := capacity
	for anyActive(active) {
		step := nextStep(left, demands, rates, fractions, active)
		for i := range demands {
			if !active[i] {
				continue
			}
			grow := rates[i] * step
			fractions[i] += grow
			left = left.sub(demands[i].total.scale(grow))
		}
		deactivate(capacity, left, demands, fractions, active)
	}
	return fractions
}

// possible states whether the pool has every resource that is asked for.
func possible(total, capacity vector) bool {
	for r := range total {
		if total[r] > 0 && capacity[r] <= 0 {
			return false
		}
	}
	return true
}

func anyActive(active []bool) bool {
	for _, a := range active {
		if a {
			return true
		}
	}
	return false
}

// nextStep returns how far the common level may rise until a demand is met or a resource is used up.
func nextStep(left vector, demands []demand, rates, fractions []float64, active []bool) float64 {
	step := math.Inf(1)
	var growth vector
	for i, d := range demands {
		if !active[i] {
			continue
		}
		step = math.Min(step, (1-fractions[i])/rates[i])
		growth = growth.add(d.total.scale(rates[i]))
	}
	for r := range left {
		if growth[r] > 0 {
			step = math.Min(step, left[r]/growth[r])
		}
	}
	return math.Max(0, step)
}

// shareEpsilon absorbs rounding: a resource counts as used up below this part of its capacity, a demand as met
// above one minus it.
const shareEpsilon = 1e-9

func deactivate(capacity, left vector, demands []demand, fractions []float64, active []bool) {
	changed := false
	for i, d := range demands {
		if !active[i] {
			continue
		}
		if fractions[i] >= 1-shareEpsilon || usesExhausted(d.total, capacity, left) {
			active[i] = false
			changed = true
		}
	}
	if changed {
		return
	}
	// Rounding left a resource just above the threshold; ending here keeps the loop finite.
	for i := range active {
		active[i] = false
	}
}

func usesExhausted(total, capacity, left vector) bool {
	for r := range total {
		if total[r] > 0 && capacity[r] > 0 && left[r] <= capacity[r]*shareEpsilon {
			return true
		}
	}
	return false
}
