package experiment

import (
	"maps"
	"slices"
	"time"

	"citrongauge.example/citrongauge/admission"
)

// loadInterval is the interval at which entry hosts report their load, as in daemon/loads.go.
const loadInterval = 500 * time.Millisecond

// loadReport is the last load report that was received from an entry host or for a zone.
type loadReport struct {
	receivedAt time.Duration
	loads      []admission.Load
}

// loadReports holds the last reports of the other hosts of the same zone and of the other zones, by name.
type loadReports struct {
	hosts map[string]loadReport
	zones map[string]loadReport
}

func newLoadReports() loadReports {
	return loadReports{hosts: make(map[string]loadReport), zones: make(map[string]loadReport)}
}

func (l loadReports) removeExpired(now time.Duration) {
	for _, reports := range []map[string]loadReport{l.hosts, l.zones} {
		maps.DeleteFunc(reports, func(_ string, r loadReport) bool { return now-r.receivedAt > admission.LoadTTL })
	}
}

// reportLoad reports the host's load to the other hosts of its zone. A relay also sends the sum of its zone to the
// other relays and forwards their sums within its zone, so that each load reaches every host in at most three hops.
func (h *entryHost) reportLoad() {
	f := h.fleet
	h.received.removeExpired(f.now)
	own := h.scheduler.Loads(f.time())
	lists := [][]admission.Load{own}
	for _, name := range slices.Sorted(maps.Keys(h.received.hosts)) {
		lists = append(lists, h.received.hosts[name].loads)
	}
	sum := admission.SumLoads(lists...)
	for _, other := range f.hosts {
		switch {
		case other == h:
		case other.zone == h.zone:
			f.sendReport(h, other, h.id, false, own)
			if !h.isRelay {
				continue
			}
			for _, zone := range slices.Sorted(maps.Keys(h.received.zones)) {
				f.sendReport(h, other, zone, true, h.received.zones[zone].loads)
			}
		case h.isRelay && other.isRelay:
			f.sendReport(h, other, h.zone, true, sum)
		}
	}
}

// sendReport sends a report unless it is empty.
func (f *fleet) sendReport(from, to *entryHost, name string, isZoneSum bool, loads []admission.Load) {
	if len(loads) == 0 {
		return
	}
	f.after(f.d.oneWayDelay(from.zone, to.zone), func() {
		r := loadReport{receivedAt: f.now, loads: loads}
		if isZoneSum {
			to.received.zones[name] = r
		} else {
			to.received.hosts[name] = r
		}
		to.scheduler.SetPeerLoad(name, f.time(), loads)
		to.wake()
	})
}
