package admission

import (
	"math"

	"citrongauge.example/citrongauge/upstream"
)

// resourceCount is the number of resource kinds in a vector: slots, processors, memory and accelerators.
const resourceCount = 4

// vector is an amount of each resource, in the order of toVector.
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

// subClamped returns v minus o. Negative amounts are replaced by zero.
func (v vector) subClamped(o vector) vector {
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

// dominantShare returns the largest fraction of capacity that v takes of any resource. Resources without capacity
// are ignored.
func (v vector) dominantShare(capacity vector) float64 {
	largest := 0.0
	for i := range v {
		if capacity[i] <= 0 {
			continue
		}
		largest = math.Max(largest, v[i]/capacity[i])
	}
	return largest
}

// demand is a team's fleet-wide demand for a pool.
type demand struct {
	weight float64
	// total is the size of the running and waiting requests.
	total vector
}

// entitlements returns for each demand the fraction of it, from 0 to 1, that weighted dominant-resource fairness
// grants within capacity. It uses progressive filling: all fractions grow at rates proportional to the team's weight
// divided by its dominant share, and a team's fraction stops growing when its demand is met or a resource that it
// uses is exhausted.
func entitlements(capacity vector, demands []demand) []float64 {
	fractions := make([]float64, len(demands))
	rates := make([]float64, len(demands))
	active := make([]bool, len(demands))
	for i, d := range demands {
		share := d.total.dominantShare(capacity)
		if !satisfiable(d.total, capacity) || d.weight <= 0 {
			continue
		}
		if share <= 0 {
			fractions[i] = 1
			continue
		}
		rates[i] = d.weight / share
		active[i] = true
	}
	remaining := capacity
	for anyActive(active) {
		step := nextStep(remaining, demands, rates, fractions, active)
		for i := range demands {
			if !active[i] {
				continue
			}
			growth := rates[i] * step
			fractions[i] += growth
			remaining = remaining.subClamped(demands[i].total.scale(growth))
		}
		deactivateFinished(capacity, remaining, demands, fractions, active)
	}
	return fractions
}

// satisfiable reports whether the pool has some capacity of every requested resource.
func satisfiable(total, capacity vector) bool {
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

// nextStep returns how far progressive filling may advance until a demand is met or a resource is exhausted.
func nextStep(remaining vector, demands []demand, rates, fractions []float64, active []bool) float64 {
	step := math.Inf(1)
	var growth vector
	for i, d := range demands {
		if !active[i] {
			continue
		}
		step = math.Min(step, (1-fractions[i])/rates[i])
		growth = growth.add(d.total.scale(rates[i]))
	}
	for r := range remaining {
		if growth[r] > 0 {
			step = math.Min(step, remaining[r]/growth[r])
		}
	}
	return math.Max(0, step)
}

// shareEpsilon absorbs rounding errors: a resource counts as exhausted when at most this fraction of its capacity
// remains, a demand as met from a fraction of one minus shareEpsilon. Comparisons of shares and of amounts with their
// limits tolerate the same difference.
const shareEpsilon = 1e-9

func deactivateFinished(capacity, remaining vector, demands []demand, fractions []float64, active []bool) {
	changed := false
	for i, d := range demands {
		if !active[i] {
			continue
		}
		if fractions[i] >= 1-shareEpsilon || usesExhaustedResource(d.total, capacity, remaining) {
			active[i] = false
			changed = true
		}
	}
	if changed {
		return
	}
	// A rounding error left a resource just above the threshold. Deactivating all teams ensures that the loop of
	// entitlements terminates.
	for i := range active {
		active[i] = false
	}
}

func usesExhaustedResource(total, capacity, remaining vector) bool {
	for r := range total {
		if total[r] > 0 && capacity[r] > 0 && remaining[r] <= capacity[r]*shareEpsilon {
			return true
		}
	}
	return false
}
