package daemon

import (
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"citrongauge.example/citrongauge/admin"
	"citrongauge.example/citrongauge/admission"
	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/grant"
	"citrongauge.example/citrongauge/maintenance"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/upstream"
)

// TestHostLines guards against an explanation that names another cause than the one that prevents the drain of a host,
// or that has wrong numbers.
func TestHostLines(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	until := now.Add(time.Hour).UTC().Format(time.RFC3339)
	drain := bundle.Intervention{Kind: bundle.InterventionDrain, Target: "u1", Author: "amara", Reason: "fan", Until: until}
	hold := bundle.Intervention{Kind: bundle.InterventionHold, Target: "p", Author: "bo", Reason: "sale", Until: until}
	tests := []struct {
		name  string
		edit  func(b *bundle.Bundle, r *control.Record, obs *maintenance.Observations)
		lines []string
	}{
		{"nothing asked", nil, []string{"no intervention or change of pool asks for it", "budget of pool p: 0 unavailable, at most 1"}},
		{"allowed", func(b *bundle.Bundle, _ *control.Record, _ *maintenance.Observations) {
			b.Interventions = []bundle.Intervention{drain}
		}, []string{"the budget allows its drain for intervention", "drain of u1 until " + until + " by amara: fan"}},
		{"budget", func(b *bundle.Bundle, _ *control.Record, obs *maintenance.Observations) {
			b.Interventions = []bundle.Intervention{drain}
			delete(obs.Hosts, "u2")
		}, []string{"not drained for intervention: a budget has no room", "at most 1", "  u2, zone z, rack r2: no observation within 2 s"}},
		{"rack", func(b *bundle.Bundle, _ *control.Record, obs *maintenance.Observations) {
			b.Interventions = []bundle.Intervention{drain}
			b.Pools[0].Budget = bundle.Budget{MaxUnavailable: 3, MaxUnavailablePerRack: 1}
			seen := obs.Hosts["u3"]
			seen.DrainedByHand = true
			obs.Hosts["u3"] = seen
		}, []string{"a budget has no room", "budget of its rack r1: 1 unavailable, at most 1", "  u3, zone z, rack r1: drained by hand"}},
		{"hold", func(b *bundle.Bundle, r *control.Record, _ *maintenance.Observations) {
			b.Interventions = []bundle.Intervention{hold}
			b.Pools[0].MaintainEveryHours = 1
			r.Assignments[0].MaintainedUnixMS = now.Add(-2 * time.Hour).UnixMilli()
		}, []string{"the pool is on hold", "hold of p until " + until + " by bo: sale"}},
		{"no host list", func(_ *bundle.Bundle, _ *control.Record, obs *maintenance.Observations) {
			obs.HostListRequestedAt = time.Time{}
		},
			[]string{"the platform's host list cannot be read"}},
		{"store down", func(_ *bundle.Bundle, _ *control.Record, obs *maintenance.Observations) {
			obs.RecordConfirmedAt = now.Add(-3 * time.Second)
		}, []string{"was not confirmed for 2 s"}},
		{"zone out", func(b *bundle.Bundle, _ *control.Record, _ *maintenance.Observations) { b.Zones[0].OutOfService = true },
			[]string{"its availability zone is out of service", "budget of pool p: 3 unavailable"}},
		{"draining", func(_ *bundle.Bundle, r *control.Record, _ *maintenance.Observations) {
			r.Assignments[0].State, r.Assignments[0].SinceUnixMS = control.Draining, now.Add(-5*time.Second).UnixMilli()
		}, []string{"in this state for 5s, stuck after 10s, 2 tasks run on it"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := &bundle.Bundle{Version: 1, Zones: []bundle.Zone{{Name: "z"}},
				Hosts: []bundle.Host{{ID: "u1", Zone: "z", Rack: "r1"}, {ID: "u2", Zone: "z", Rack: "r2"}, {ID: "u3", Zone: "z", Rack: "r1"}},
				Pools: []bundle.Pool{{Name: "p", Hosts: []string{"u1", "u2", "u3"}, Budget: bundle.Budget{MaxUnavailable: 1}, DrainMS: 10000}}}
			r := &control.Record{BundleVersion: 1}
			obs := maintenance.Observations{RecordConfirmedAt: now, HostListRequestedAt: now, Hosts: map[string]maintenance.HostObservation{}}
			for _, h := range b.Hosts {
				r.Assignments = append(r.Assignments, control.Assignment{Host: h.ID, Pool: "p", Epoch: 1, State: control.InService})
				obs.Hosts[h.ID] = maintenance.HostObservation{At: now, PlatformState: platform.HostLive, Status: upstream.Status{PoolEpoch: 1, Running: 2}}
			}
			if test.edit != nil {
				test.edit(b, r, &obs)
			}
			s := newControlState(r, nil, bundle.NewIndex(b))
			expectLines(t, hostLines(now, s, obs, r.Assignments[0]), test.lines)
		})
	}
}

func expectLines(t *testing.T, lines, want []string) {
	t.Helper()
	text := strings.Join(lines, "\n")
	for _, line := range want {
		if !strings.Contains(text, line) {
			t.Errorf("no %q in\n%s", line, text)
		}
	}
}

// TestTeamLines guards against an explanation that names another cause than the one for which requests of a team wait.
func TestTeamLines(t *testing.T) {
	record := &control.Record{Roster: []control.Member{{ID: "e1", Zone: "z"}}, Departed: []control.Member{{ID: "e9", Zone: "z"}}}
	load := func(team string, slots, tasks int) admission.Load {
		return admission.Load{Pool: "p", Team: team, Use: upstream.Size{Slots: slots, CPUs: slots}, WaitingTasks: tasks}
	}
	tests := []struct {
		name     string
		view     teamView
		lines    []string
		unwanted string
	}{
		{"nothing waits", teamView{loads: []admission.Load{load("t", 3, 0)}}, []string{"3 slots in use and 0 requests", "no request of the team is known to wait"}, "wait because"},
		{"cap", teamView{loads: []admission.Load{load("t", 10, 4)}}, []string{"requests wait because the cap is reached", "4 requests wait for pool p"}, "grant is used up"},
		{"grant", teamView{inUse: 2, limit: 2, waiting: admission.TeamBacklog{Slots: 3, SmallestTask: 1}, loads: []admission.Load{load("t", 2, 3)}},
			[]string{"this host holds 2 slots and may hold 2; 3 slots wait here", "its grant is used up"}, "the cap is reached"},
		{"pool full", teamView{limit: 9, waiting: admission.TeamBacklog{Slots: 3, SmallestTask: 1}, loads: []admission.Load{load("t", 6, 3), load("other", 14, 0)}},
			[]string{"20 of its 20 slots are in use, 6 of them by the team, whose share is 5; used up: slots"}, "grant is used up"},
		{"processors", teamView{limit: 9, loads: []admission.Load{load("t", 1, 3), {Pool: "p", Team: "other", Use: upstream.Size{CPUs: 39}}}},
			[]string{"used up: processors"}, "used up: slots"},
		{"pool out", teamView{loads: []admission.Load{{Pool: "q", Team: "t", WaitingTasks: 1}}}, []string{"pool q, which has no host in service"}, "used up"},
		{"ledger", teamView{ledger: grant.Ledger{Cap: 10, Entries: map[string]int{"e1": 4, "e8": 1, "e9": 3}}},
			[]string{"8 of 10 slots are granted", "4 to entry host e1, zone z, this host", "1 to entry host e8, is not in the roster", "3 to entry host e9, is on the departed list"}, "not known"},
		{"store down", teamView{ledgerErr: errors.New("timeout")}, []string{"the grants of other hosts are not known: timeout"}, "are granted"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			test.view.team, test.view.self = bundle.Team{Name: "t", Share: 250, Cap: 10}, "e1"
			test.view.pools = map[string]admission.PoolConfig{"p": {Capacity: upstream.Size{Slots: 20, CPUs: 40}}}
			lines := test.view.lines(record)
			expectLines(t, lines, test.lines)
			is.True(!strings.Contains(strings.Join(lines, "\n"), test.unwanted))
		})
	}
}

// TestZoneLines guards against an explanation of a wait that does not name its cause, or that gives an end that is not
// known.
func TestZoneLines(t *testing.T) {
	record := &control.Record{MaxServeForMS: 600000, Suspects: []string{"e2"}, Departed: []control.Member{{ID: "e9", Zone: "z"}},
		Roster: []control.Member{{ID: "e1", Zone: "z"}, {ID: "e2", Zone: "z"}, {ID: "e3", Zone: "y"}}}
	s := &controlState{record: record}
	tests := []struct {
		name     string
		progress []admin.ZoneProgress
		lines    []string
	}{
		{"settled", nil, []string{"2 entry hosts in the roster", "nothing is waited for"}},
		{"other zone", []admin.ZoneProgress{{Zone: "y", WaitingFor: []string{"e3"}}}, []string{"nothing is waited for"}},
		{"known end", []admin.ZoneProgress{{Zone: "z", WaitingFor: []string{"e2"}, LatestEndMS: 1500}},
			[]string{"waiting for entry host e2: it is suspect", "the wait ends within 1.5s"}},
		{"no end", []admin.ZoneProgress{{Zone: "z", WaitingFor: []string{"e1", "e9"}, LatestEndMS: -1}},
			[]string{"e1: it has not confirmed the revision", "e9: it was evicted", "the end is not known", "about 10m0s"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { expectLines(t, zoneLines(s, "z", test.progress), test.lines) })
	}
}
