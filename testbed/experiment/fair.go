package experiment

import (
	"citrongauge.example/citrongauge/admission"
	"citrongauge.example/citrongauge/upstream"
)

// fairSteps is the number of steps in which the weights are filled.
const fairSteps = 200

// fairUse returns the dominant shares that weighted dominant-resource fairness gives within the capacity, by filling all
// teams step by step. It is independent of the computation in package admission.
func fairUse(d Deployment, capacity upstream.Size, demand map[string]upstream.Size) map[string]float64 {
	total := amounts(capacity)
	wanted, whole, got := make([][3]float64, len(d.Teams)), make([]float64, len(d.Teams)), make([]float64, len(d.Teams))
	for i, t := range d.Teams {
		wanted[i] = amounts(demand[t.Name])
		whole[i] = dominant(wanted[i], total)
	}
	var used [3]float64
	for filling := true; filling; {
		filling = false
		for i, t := range d.Teams {
			step := min(float64(t.Share)/1000/fairSteps, whole[i]-got[i])
			if step <= 1e-9 || !addWithin(&used, wanted[i], step/whole[i], total) {
				continue
			}
			got[i] += step
			filling = true
		}
	}
	shares := make(map[string]float64, len(d.Teams))
	for i, t := range d.Teams {
		shares[t.Name] = got[i]
	}
	return shares
}

func addWithin(used *[3]float64, wanted [3]float64, part float64, total [3]float64) bool {
	for r := range used {
		if wanted[r] > 0 && used[r]+wanted[r]*part > total[r] {
			return false
		}
	}
	for r := range used {
		used[r] += wanted[r] * part
	}
	return true
}

func amounts(s upstream.Size) [3]float64 {
	return [3]float64{float64(s.Slots), float64(s.CPUs), float64(s.MemoryMB)}
}

func dominant(v, total [3]float64) float64 {
	most := 0.0
	for r := range v {
		most = max(most, v[r]/total[r])
	}
	return most
}

func dominantShare(s, capacity upstream.Size) float64 { return dominant(amounts(s), amounts(capacity)) }

// wholeDemand adds up the demand of all teams.
func wholeDemand(demand map[string]upstream.Size) upstream.Size {
	var sum upstream.Size
	for _, s := range demand {
		sum = admission.Sizes(sum, s)
	}
	return sum
}
