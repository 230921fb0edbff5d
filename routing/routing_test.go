package routing

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/result"
	"citrongauge.example/citrongauge/upstream"
)

var (
	start   = time.Unix(1000, 0)
	oneSlot = upstream.Size{Slots: 1, CPUs: 1}
)

// fleet returns a control record and a bundle with the given numbers of pools and hosts, spread over three zones.
func fleet(pools, hosts int) (*control.Record, *bundle.Bundle) {
	r, b := &control.Record{Revision: 1, Roster: make([]control.Member, 1)}, &bundle.Bundle{}
	for i := range 3 {
		b.Zones = append(b.Zones, bundle.Zone{Name: fmt.Sprint("z", i)})
	}
	for i := range pools {
		b.Pools = append(b.Pools, bundle.Pool{Name: fmt.Sprint("p", i)})
	}
	for i := range hosts {
		id, pool := fmt.Sprintf("h%03d", i), i%pools
		b.Hosts = append(b.Hosts, bundle.Host{
			ID: id, Address: "127.0.0.1:1", Zone: fmt.Sprint("z", i/pools%3), Connections: 64,
			Capacity: upstream.Size{Slots: 8, CPUs: 16, MemoryMB: 1000},
		})
		b.Pools[pool].Hosts = append(b.Pools[pool].Hosts, id)
		r.Assignments = append(r.Assignments, control.Assignment{
			Host: id, Pool: fmt.Sprint("p", pool), Epoch: 1, State: control.InService,
		})
	}
	return r, b
}

func newTable(hosts int) (*Table, *control.Record, *bundle.Bundle) {
	r, b := fleet(1, hosts)
	t := New("z0", 1)
	t.Update(r, b, start)
	return t, r, b
}

func codeOf(err error) result.Code {
	var e *result.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return 0
}

// Guards against picking hosts that the control record or the bundle takes out of service, and against an error that
// does not give the reason.
func TestPickOnlyInService(t *testing.T) {
	is := is.New(t)
	table, r, b := newTable(3)
	r.Assignments[0].State = control.Draining
	b.Zones[1].OutOfService = true
	table.Update(r, b, start)
	for range 8 {
		s, err := table.Pick("p0", oneSlot, nil, start)
		is.NoErr(err)
		is.Equal(s.Host, "h002")
	}
	_, err := table.Pick("p0", oneSlot, nil, start)
	is.Equal(codeOf(err), result.NoUpstream)
	b.Zones[0].OutOfService, b.Zones[2].OutOfService = true, true
	table.Update(r, b, start)
	_, err = table.Pick("p0", oneSlot, nil, start)
	is.Equal(codeOf(err), result.ZoneOutOfService)
}

// Guards against a leaving host becoming eligible again through a status that was requested before it was reported as
// leaving.
func TestLeavingHostIsNotPicked(t *testing.T) {
	is := is.New(t)
	table, r, b := newTable(1)
	pick := func(now time.Time) bool {
		s, err := table.Pick("p0", oneSlot, nil, now)
		if err == nil {
			table.Done(s, Report{}, now)
		}
		return err == nil
	}
	later := start.Add(time.Second)
	table.RecordLeaving("h000", later)
	is.True(!pick(later))
	table.RecordStatus("h000", upstream.Status{}, start, later)
	is.True(!pick(later.Add(29 * time.Second)))
	is.True(pick(later.Add(30 * time.Second)))
	table.RecordLeaving("h000", later)
	table.RecordStatus("h000", upstream.Status{}, later.Add(1), later.Add(2))
	is.True(pick(later.Add(3)))
	table.RecordLeaving("h000", later)
	r.Assignments[0].Epoch++
	table.Update(r, b, later)
	is.True(pick(later))
}

// Guards against a size error that does not name the violated constraint or names one that is not violated.
func TestCheckSizeNamesViolatedConstraint(t *testing.T) {
	is := is.New(t)
	table, r, b := newTable(2)
	is.NoErr(table.CheckSize("p0", upstream.Size{Slots: 8, CPUs: 16, MemoryMB: 1000}))
	err := table.CheckSize("p0", upstream.Size{Slots: 1, MemoryMB: 1001})
	is.Equal(codeOf(err), result.TaskTooLarge)
	is.Equal(err.(*result.Error).Detail, "memory_mb: 1001 asked, at most 1000 on a host of pool p0")
	b.Hosts[0].Capacity, b.Hosts[1].Capacity = upstream.Size{Slots: 8, CPUs: 1}, upstream.Size{Slots: 1, CPUs: 8}
	table.Update(r, b, start)
	is.Equal(codeOf(table.CheckSize("p0", upstream.Size{Slots: 8, CPUs: 8})), result.TaskTooLarge)
}

// Guards against a zone taking its full load immediately after its return to service.
func TestReturningZoneIsRampedUp(t *testing.T) {
	is := is.New(t)
	table, r, b := newTable(3)
	b.Zones[1].OutOfService, b.Zones[1].RampMS = true, 10_000
	table.Update(r, b, start)
	b.Zones[1].OutOfService = false
	table.Update(r, b, start)
	maxPicks := func(now time.Time) (n int) {
		for {
			s, err := table.Pick("p0", oneSlot, []string{"h000", "h002"}, now)
			if err != nil {
				return n
			}
			n++
			defer table.Done(s, Report{}, now)
		}
	}
	is.Equal(maxPicks(start), 0)
	is.True(maxPicks(start.Add(5*time.Second)) <= 4)
	is.Equal(maxPicks(start.Add(10*time.Second)), 8)
}

// Guards against more retries than 10% of the starts of the last 10 s plus 3.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	var b RetryBudget
	for range 100 {
		b.RecordStart(start)
	}
	take := func(now time.Time) (n int) {
		for b.Take(now) {
			n++
		}
		return n
	}
	is.Equal(take(start.Add(time.Second)), 13)
	is.Equal(take(start.Add(9*time.Second)), 0)
	is.Equal(take(start.Add(30*time.Second)), 3)
}
