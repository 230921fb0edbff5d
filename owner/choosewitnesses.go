package owner

import (
	"cmp"
	"slices"

	"citrongauge.example/citrongauge/announce"
	"citrongauge.example/citrongauge/ledger"
)

// witnessCount is the number of witnesses of an owner: any one of them can tell the next owner that there were no permits, and all of them
// have to respond before any is used.
const witnessCount = 2

// chooseWitnesses returns the witnesses of an owner in the given zone: those in kept, and then connected hosts in other zones, each in a
// zone of its own as far as these exist. Hosts in lost are not chosen.
func chooseWitnesses(kept []*namedWitness, connected []announce.Identity, host, zone string, lost map[string]bool) []*namedWitness {
	chosen := slices.Clone(kept)
	candidates := slices.Clone(connected)
	slices.SortFunc(candidates, func(a, b announce.Identity) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Process, b.Process))
	})
	for _, sameZone := range []bool{false, true} {
		for _, c := range candidates {
			if len(chosen) >= witnessCount {
				return chosen
			}
			isTaken := func(w *namedWitness) bool { return w.Host == c.Host || !sameZone && w.zone == c.Zone }
			if c.Host == host || c.Zone == zone || lost[c.Process] || slices.ContainsFunc(chosen, isTaken) {
				continue
			}
			chosen = append(chosen, &namedWitness{Witness: ledger.Witness{Host: c.Host, Process: c.Process, Address: c.Address}, zone: c.Zone})
		}
	}
	return chosen
}
