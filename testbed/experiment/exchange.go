package experiment

import (
	"maps"
	"slices"
	"time"

	"citrongauge.example/citrongauge/admission"
)

// tellInterval is the interval at which entry hosts report their load, as in daemon/loads.go.
const tellInterval = 500 * time.Millisecond

// loadReport is a report of an entry host or a zone as it was received.
type loadReport struct {
	at    time.Duration
	loads []admission.Load
}

// loadBook holds the reports of the hosts of the own zone and of other zones.
type loadBook struct {
	hosts map[string]loadReport
	zones map[string]loadReport
}

func newLoadBook() loadBook {
	return loadBook{hosts: make(map[string]loadReport), zones: make(map[string]loadReport)}
}

func (b loadBook) expire(now time.Duration) {
	for _, reports := range []map[string]loadReport{b.hosts, b.zones} {
		maps.DeleteFunc(reports, func(_ string, r loadReport) bool { return now-r.at > admission.LoadTTL })
	}
}

// tell sends the load of a host on: to its zone, and as a relay the sum of its zone to the other relays and their sums
// to its own zone. A report reaches every host in at most three hops.
func (h *entryHost) tell() {
	f := h.fleet
	h.book.expire(f.now)
	own := h.scheduler.Loads(f.time())
	lists := [][]admission.Load{own}
	for _, name := range slices.Sorted(maps.Keys(h.book.hosts)) {
		lists = append(lists, h.book.hosts[name].loads)
	}
	sum := admission.SumLoads(lists...)
	for _, other := range f.hosts {
		switch {
		case other == h:
		case other.zone == h.zone:
			f.report(h, other, h.id, false, own)
			if !h.relay {
				continue
			}
			for _, zone := range slices.Sorted(maps.Keys(h.book.zones)) {
				f.report(h, other, zone, true, h.book.zones[zone].loads)
			}
		case h.relay && other.relay:
			f.report(h, other, h.zone, true, sum)
		}
	}
}

// report sends a report. Empty ones are not sent.
func (f *fleet) report(from, to *entryHost, name string, isZone bool, loads []admission.Load) {
	if len(loads) == 0 {
		return
	}
	f.after(f.d.oneWay(from.zone, to.zone), func() {
		r := loadReport{at: f.now, loads: loads}
		if isZone {
			to.book.zones[name] = r
		} else {
			to.book.hosts[name] = r
		}
		to.scheduler.SetPeerLoad(name, f.time(), loads)
		to.wake()
	})
}
