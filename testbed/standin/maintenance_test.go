package standin_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/maintenance"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/testbed/standin"
	"citrongauge.example/citrongauge/upstream"
)

// TestMaintenanceOverHTTP guards against differences between what package maintenance expects and what the HTTP
// protocols provide: a host is drained while a task runs, is rebooted after the task has ended, and accepts
// reservations again.
func TestMaintenanceOverHTTP(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	p, hosts := newPlatform(t)
	u := standin.NewUpstream(standin.UpstreamConfig{ID: "u1", Capacity: upstream.Size{Slots: 1}})
	address := serve(t, u)
	upstreamClient := upstream.NewHTTPClient(address, upstream.NewTransport())
	p.SetHost("u1", standin.Host{State: platform.HostLive, Upstream: address})
	is.NoErr(p.SetFaults(standin.PlatformFaults{RebootMS: 100}))
	b := &bundle.Bundle{
		Version: 1,
		Zones:   []bundle.Zone{{Name: "a"}},
		Hosts:   []bundle.Host{{ID: "u1", Zone: "a", Rack: "r"}},
		Pools: []bundle.Pool{{
			Name: "p", Hosts: []string{"u1"}, DrainMS: 5000, MaintainEveryHours: 1,
			Budget: bundle.Budget{MaxUnavailable: 1},
		}},
	}
	record := maintenance.Reconcile(control.Record{BundleVersion: 1}, b)
	began := time.Now()
	record.Assignments[0].MaintainedUnixMS = began.Add(-time.Hour).UnixMilli()
	observe := func() maintenance.Observations {
		now := time.Now()
		obs := maintenance.Observations{RecordConfirmedAt: now, HostListRequestedAt: now, Hosts: map[string]maintenance.HostObservation{}}
		list, err := hosts.Hosts(ctx)
		is.NoErr(err)
		if status, err := upstreamClient.Status(ctx); err == nil {
			obs.Hosts["u1"] = maintenance.HostObservation{At: now, Status: status, PlatformState: list[0].State}
		}
		return obs
	}
	apply := func(changes ...maintenance.Change) {
		var err error
		record, err = maintenance.Apply(record, changes)
		is.NoErr(err)
	}
	executeActions := func() {
		for _, a := range maintenance.Actions(time.Now(), b, &record, observe()) {
			if a.Kind == maintenance.Commit {
				apply(a.Change)
				continue
			}
			if a.Kind == maintenance.Drain {
				_, ok := maintenance.RecheckDrain(time.Now(), b, &record, observe(), a.Host)
				is.True(ok)
			}
			is.NoErr(maintenance.Perform(ctx, a, upstreamClient, hosts))
		}
	}
	executeActions() // opens the host for reservations of its pool epoch
	is.NoErr(upstreamClient.Reserve(ctx, reservation("a", "", record.Assignments[0].Epoch)))
	is.NoErr(upstreamClient.Start(ctx, upstream.Task{AttemptID: "a", RunMS: 300}))
	apply(maintenance.Plan(time.Now(), b, &record, observe())...)
	is.Equal(record.Assignments[0].State, control.Draining)
	for record.Assignments[0].State != control.InService && time.Since(began) < 10*time.Second {
		executeActions()
		time.Sleep(10 * time.Millisecond)
	}
	executeActions()
	is.True(record.Assignments[0].MaintainedUnixMS > began.UnixMilli())
	is.Equal(u.Executions()[0].State, upstream.StateDone) // the task was not interrupted by the drain
	is.NoErr(upstreamClient.Reserve(ctx, reservation("b", "", record.Assignments[0].Epoch)))
	status, err := upstreamClient.Status(ctx)
	is.NoErr(err)
	is.Equal(status.BootID, "u1-boot-2")
}
