package experiment

import (
	"citrongauge.example/citrongauge/admission"
	"citrongauge.example/citrongauge/upstream"
)

// fairSteps is the number of filling steps in which a team reaches its share.
const fairSteps = 200

// fairShares returns the dominant share of each team under weighted dominant-resource fairness. It computes them by
// progressive filling in small steps, independently of the algorithm in package admission.
func fairShares(d Deployment, capacity upstream.Size, demand map[string]upstream.Size) map[string]float64 {
	total := toVector(capacity)
	demands, demandShares, allocated :=
		make([][3]float64, len(d.Teams)), make([]float64, len(d.Teams)), make([]float64, len(d.Teams))
	for i, t := range d.Teams {
		demands[i] = toVector(demand[t.Name])
		demandShares[i] = maxFraction(demands[i], total)
	}
	var used [3]float64
	for filling := true; filling; {
		filling = false
		for i, t := range d.Teams {
			step := min(float64(t.Share)/1000/fairSteps, demandShares[i]-allocated[i])
			if step <= 1e-9 || !addIfFits(&used, demands[i], step/demandShares[i], total) {
				continue
			}
			allocated[i] += step
			filling = true
		}
	}
	shares := make(map[string]float64, len(d.Teams))
	for i, t := range d.Teams {
		shares[t.Name] = allocated[i]
	}
	return shares
}

// addIfFits adds a fraction of a demand to used, unless the result would exceed total, and reports whether it did.
func addIfFits(used *[3]float64, demand [3]float64, fraction float64, total [3]float64) bool {
	for r := range used {
		if demand[r] > 0 && used[r]+demand[r]*fraction > total[r] {
			return false
		}
	}
	for r := range used {
		used[r] += demand[r] * fraction
	}
	return true
}

func toVector(s upstream.Size) [3]float64 {
	return [3]float64{float64(s.Slots), float64(s.CPUs), float64(s.MemoryMB)}
}

// maxFraction returns the largest ratio of an element of v to that of total.
func maxFraction(v, total [3]float64) float64 {
	highest := 0.0
	for r := range v {
		highest = max(highest, v[r]/total[r])
	}
	return highest
}

func dominantShare(s, capacity upstream.Size) float64 {
	return maxFraction(toVector(s), toVector(capacity))
}

// totalDemand returns the sum of the demand of all teams.
func totalDemand(demand map[string]upstream.Size) upstream.Size {
	var sum upstream.Size
	for _, s := range demand {
		sum = admission.SumSizes(sum, s)
	}
	return sum
}
