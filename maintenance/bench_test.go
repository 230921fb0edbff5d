package maintenance

import (
	"fmt"
	"testing"
	"time"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/upstream"
)

// newBenchmarkFleet returns a fleet of 510 available hosts in 81 pools, 7 zones and racks of 4 hosts. Every eighth
// pool has a sustained burst.
func newBenchmarkFleet() (time.Time, *bundle.Bundle, *control.Record, Observations) {
	now := time.Unix(1_800_000_000, 0)
	b := &bundle.Bundle{Version: 1}
	for i := range 7 {
		b.Zones = append(b.Zones, bundle.Zone{Name: fmt.Sprint("z", i)})
	}
	for i := range 81 {
		b.Pools = append(b.Pools, bundle.Pool{
			Name: fmt.Sprint("p", i), Spare: i == 0, MaintainEveryHours: 336, DrainMS: 60000,
			Budget: bundle.Budget{MaxUnavailable: 1, MaxUnavailablePerRack: 1, MaxUnavailablePerZone: 1},
		})
	}
	obs := Observations{
		RecordConfirmedAt: now, HostListRequestedAt: now, Hosts: map[string]HostObservation{}, Loads: map[string]Load{},
	}
	for i := range 510 {
		id, p := fmt.Sprint("u", i), &b.Pools[i%81]
		p.Hosts = append(p.Hosts, id)
		b.Hosts = append(b.Hosts, bundle.Host{
			ID: id, Zone: fmt.Sprint("z", i%7), Rack: fmt.Sprint("r", i/28), Capacity: upstream.Size{Slots: 8},
		})
	}
	r := Reconcile(control.Record{BundleVersion: 1}, b)
	for i := range r.Assignments {
		a := &r.Assignments[i]
		a.MaintainedUnixMS = now.Add(-time.Duration(i) * 40 * time.Minute).UnixMilli()
		obs.Hosts[a.Host] = HostObservation{
			At: now, PlatformState: platform.HostLive, Status: upstream.Status{PoolEpoch: a.Epoch},
		}
	}
	for i := 1; i < 81; i += 8 {
		obs.Loads[b.Pools[i].Name] = Load{Demand: 100, Bursting: true, Since: now.Add(-time.Minute)}
	}
	return now, b, &r, obs
}

func BenchmarkPlan(b *testing.B) {
	now, bundle, record, obs := newBenchmarkFleet()
	b.ReportAllocs()
	for b.Loop() {
		if len(Plan(now, bundle, record, obs)) == 0 {
			b.Fatal("Plan proposed no change")
		}
	}
}

func BenchmarkActions(b *testing.B) {
	now, bundle, record, obs := newBenchmarkFleet()
	b.ReportAllocs()
	for b.Loop() {
		_ = Actions(now, bundle, record, obs)
	}
}
