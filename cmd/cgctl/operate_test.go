package main

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"encoding/json"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"citrongauge.example/citrongauge/admin"
	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/result"

	"github.com/charmbracelet/lipgloss"
	"github.com/matryer/is"
)

// fakeFleet is an entry host with a bundle that changes by compare-and-swap.
type fakeFleet struct {
	operators map[string]ed25519.PublicKey
	envelopes [][]byte // by version, from 1
	// other is committed by another operator just before the next roll-out arrives.
	other       []byte
	never       bool // accepts nothing
	assignments []admin.AssignmentReport
	members     []admin.MemberStatus
	cleared     []string
}

func (f *fakeFleet) version() uint64 { return uint64(len(f.envelopes)) }

func (f *fakeFleet) Status(context.Context) admin.StatusReport {
	return admin.StatusReport{HostID: "e1", BundleVersion: f.version(), AcceptedVersion: f.version(),
		Members: f.members, Settling: []admin.ZoneProgress{{Zone: "zone-2", WaitingFor: []string{"e9"}, LatestEndMS: 5000}},
		Teams: []admin.TeamStatus{{Name: "team-1", Share: 500}}, Notes: []string{"u-003 was drained by hand"}}
}

func (f *fakeFleet) Bundle(_ context.Context, version uint64) ([]byte, error) {
	if version == 0 {
		version = f.version()
	}
	if version == 0 || version > f.version() || f.envelopes[version-1] == nil {
		return nil, result.Errorf(result.AdminNotFound, "version %d", version)
	}
	return f.envelopes[version-1], nil
}

func (f *fakeFleet) Rollout(ctx context.Context, signed []byte) (admin.RolloutReport, error) {
	if f.other != nil {
		f.envelopes, f.other = append(f.envelopes, f.other), nil
	}
	b, err := bundle.VerifySigned(signed, f.operators)
	if err != nil {
		return admin.RolloutReport{}, err
	}
	if b.Base != f.version() {
		return admin.RolloutReport{}, result.Errorf(result.RolloutConflict, "base %d", b.Base)
	}
	f.envelopes = append(f.envelopes, signed)
	return f.RolloutProgress(ctx, b.Version), nil
}

func (f *fakeFleet) RolloutProgress(_ context.Context, version uint64) admin.RolloutReport {
	b, err := bundle.VerifySigned(f.envelopes[version-1], f.operators)
	if err != nil {
		return admin.RolloutReport{}
	}
	digest := b.Digest()
	zone := admin.ZoneProgress{Zone: "zone-2", Members: 2, Confirmed: 1, WaitingFor: []string{"e4"}, LatestEndMS: 5000}
	return admin.RolloutReport{Version: version, Digest: hex.EncodeToString(digest[:]), Committed: true, Accepted: !f.never,
		ConfirmedMS: 12, AcceptedMS: 34, Zones: []admin.ZoneProgress{zone}}
}

func (f *fakeFleet) ClearDeparted(ctx context.Context, request admin.ClearRequest) (admin.ClearReport, error) {
	f.cleared = append(f.cleared, strings.Join(request.Hosts, ",")+" by "+admin.Operator(ctx)+": "+request.Reason)
	return admin.ClearReport{Cleared: request.Hosts, Revision: 9}, nil
}

func (f *fakeFleet) Assignments(context.Context) []admin.AssignmentReport { return f.assignments }

func (f *fakeFleet) Explain(_ context.Context, kind, name string) admin.Explanation {
	return admin.Explanation{Kind: kind, Name: name, Found: true, Lines: []string{"because"}}
}

// bench runs the tool against a fake fleet.
type bench struct {
	t     *testing.T
	dir   string
	host  string
	fleet *fakeFleet
}

// newBench makes an operator's keys and a first bundle that is in force.
func newBench(t *testing.T) *bench {
	b := &bench{t: t, dir: t.TempDir(), fleet: &fakeFleet{operators: map[string]ed25519.PublicKey{}}}
	for _, operator := range []string{"amara", "bo"} {
		b.tool(exitOK, "keys", "operator", "--dir", b.dir, operator)
		key, err := bundle.ParsePublicKey(readText(t, b.file(operator+".pub")))
		if err != nil {
			t.Fatal(err)
		}
		b.fleet.operators[operator] = key
	}
	server := httptest.NewServer(admin.NewHandler(b.fleet, &admin.Verifier{
		HostID: func() string { return "e1" }, Operators: b.fleet.operators, Now: time.Now,
	}))
	t.Cleanup(server.Close)
	b.host = strings.TrimPrefix(server.URL, "http://")
	b.tool(exitOK, "bundle", "new", "--out", b.file("b.jsonc"))
	b.as("amara", exitOK, "rollout", b.file("b.jsonc"))
	return b
}

func (b *bench) file(name string) string { return filepath.Join(b.dir, name) }

// tool runs the tool, checks its exit code and returns its output.
func (b *bench) tool(want int, args ...string) string {
	b.t.Helper()
	var out, errOut bytes.Buffer
	code := run(context.Background(), append([]string{"cgctl"}, args...), &out, &errOut)
	if code != want {
		b.t.Fatalf("%v: exit code %d, want %d\n%s%s", args, code, want, &out, &errOut)
	}
	return out.String()
}

// as runs the tool as an operator, with JSON output.
func (b *bench) as(operator string, want int, args ...string) outcome {
	b.t.Helper()
	text := b.tool(want, append([]string{"--host", b.host, "--operator-key", b.file(operator + ".key"), "--output", "json"}, args...)...)
	var out outcome
	if err := json.Unmarshal([]byte(text), &out); err != nil {
		b.t.Fatalf("%v: %v in %s", args, err, text)
	}
	return out
}

func paths(changes []bundle.Change) string {
	var paths []string
	for _, change := range changes {
		if !headerPaths[change.Path] {
			paths = append(paths, change.Path)
		}
	}
	return strings.Join(paths, " ")
}

// Guards against an edit that changes something else than asked for, or nothing.
func TestEdits(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	out := b.as("amara", exitOK, "zone", "out", "zone-1", "--reason", "switch", "--running-work", "stop")
	is.Equal(paths(out.Changes), "availability_zones[zone-1].out_of_service availability_zones[zone-1].running_work")
	is.Equal(out.Effects[0], "pool main: 24 of 40 slots stay in service")
	is.Equal(out.Report.AcceptedMS, int64(34))
	is.Equal(paths(b.as("bo", exitOK, "zone", "in", "zone-1", "--reason", "fixed", "--ramp", "0s").Changes),
		"availability_zones[zone-1].out_of_service availability_zones[zone-1].ramp_ms")
	is.Equal(paths(b.as("amara", exitOK, "host", "drain", "u-000", "--for", "1h", "--reason", "fan").Changes), "interventions")
	out = b.as("amara", exitBudget, "host", "drain", "u-002", "--for", "1h", "--reason", "fan")
	is.Equal(out.Error.Detail, "drain of u-002: pool main: 2 unavailable after the drain, 1 allowed")
	is.Equal(paths(b.as("bo", exitOK, "host", "return", "u-000", "--reason", "done").Changes), "interventions")
	is.True(b.as("bo", exitOK, "host", "return", "u-000", "--reason", "done").Unchanged)
	out = b.as("amara", exitOK, "key", "grant", "team-1", "k1", "--reason", "new customer")
	index := bundle.NewIndex(b.current())
	team, key := index.Key(out.NewKey)
	is.Equal(team.Name, "team-1")
	is.Equal(key.ID, "k1")
	is.Equal(paths(b.as("amara", exitOK, "key", "withdraw", "team-1", "k1", "--reason", "leak").Changes), "teams[team-1].keys[k1].withdrawn")
	is.Equal(paths(b.as("amara", exitOK, "key", "grant", "team-1", "k1", "--reason", "no leak").Changes), "teams[team-1].keys[k1].withdrawn")
	before := b.fleet.version()
	out = b.as("amara", exitOK, "zone", "out", "zone-2", "--reason", "test", "--dry-run")
	is.True(out.DryRun && len(out.Changes) > 0)
	b.as("amara", exitFailed, "zone", "out", "zone-9", "--reason", "x")
	b.as("amara", exitFailed, "zone", "out", "zone-2", "--reason", "x", "--running-work", "kill")
	is.Equal(b.fleet.version(), before) // neither a dry run nor a refused edit has changed anything

	var history []historyEntry
	text := b.tool(exitOK, "--host", b.host, "--operator-key", b.file("bo.key"), "--output", "json", "history", "-n", "2")
	is.NoErr(json.Unmarshal([]byte(text), &history))
	is.Equal(len(history), 2)
	is.Equal(history[1], historyEntry{Version: before - 1, Base: before - 2, Author: "amara", Reason: "leak"})
}

func (b *bench) current() *bundle.Bundle {
	envelope := b.fleet.envelopes[b.fleet.version()-1]
	current, err := bundle.VerifySigned(envelope, b.fleet.operators)
	if err != nil {
		b.t.Fatal(err)
	}
	return current
}

// Guards against a lost race that overwrites the other operator's change or does not show it.
func TestConflict(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	theirs := b.current()
	theirs.Version, theirs.Base, theirs.Author = 2, 1, "bo"
	theirs.Zones[2].OutOfService = true
	key, err := bundle.ParsePrivateKey(readText(t, b.file("bo.key")))
	is.NoErr(err)
	b.fleet.other = bundle.Sign(theirs, key, "bo").Encode()
	out := b.as("amara", exitConflict, "zone", "out", "zone-1", "--reason", "switch")
	is.Equal(paths(out.Conflict), "availability_zones[zone-3].out_of_service")
	is.Equal(out.Error.Code, result.RolloutConflict)
	is.Equal(b.current().Author, "bo")
	b.as("amara", exitConflict, "rollout", b.file("b.jsonc")) // version 1, based on 0
	is.Equal(b.fleet.version(), uint64(2))
}

// Guards against success being reported before the roll-out is accepted.
func TestNotAccepted(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.fleet.never = true
	out := b.as("amara", exitNotAccepted, "--timeout", "300ms", "zone", "out", "zone-1", "--reason", "switch")
	is.True(out.Report.Committed && !out.Report.Accepted)
	is.True(strings.HasSuffix(out.Error.Detail, "waiting for zones: zone-2"))
	text := b.tool(exitNotAccepted, "--host", b.host, "--operator-key", b.file("amara.key"), "--timeout", "300ms", "zone", "in", "zone-1", "--reason", "x")
	is.True(strings.Contains(text, "1/2 waiting for e4, at the latest until 5s from now"))
}

// Guards against an operator signing a bundle that an entry host has made up.
func TestUntrustedBundle(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	_, stranger, _ := ed25519.GenerateKey(nil)
	b.fleet.envelopes[0] = bundle.Sign(b.current(), stranger, "amara").Encode()
	out := b.as("amara", exitFailed, "zone", "out", "zone-1", "--reason", "switch")
	is.Equal(out.Error.Code, result.SignatureInvalid)
	is.Equal(b.fleet.version(), uint64(1))
}

// Guards against a signed bundle that cannot be rolled out by another operator, and against views that fail.
func TestSignedFileAndViews(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.fleet.envelopes = nil
	b.tool(exitOK, "--operator-key", b.file("amara.key"), "bundle", "sign", "--out", b.file("b.signed"), b.file("b.jsonc"))
	b.as("bo", exitOK, "rollout", b.file("b.signed"))
	global := []string{"--host", b.host, "--operator-key", b.file("bo.key")}
	text := b.tool(exitOK, append(global, "status")...)
	is.True(strings.Contains(text, "bundle version 1, accepted") && strings.Contains(text, "note: u-003 was drained by hand"))
	is.Equal(b.tool(exitOK, append(global, "explain", "host", "u-000")...), "because\n")
}

// Guards against an age that was not measured being shown as "never" or as 0s.
func TestStatusAges(t *testing.T) {
	tests := []struct {
		name   string
		status admin.StatusReport
		line   string
	}{
		{"member not known", admin.StatusReport{Members: []admin.MemberStatus{{ID: "e2", Zone: "z", Address: "a", HeardAgeMS: -1}}}, "e2 z a - member"},
		{"member measured", admin.StatusReport{Members: []admin.MemberStatus{{ID: "e2", Zone: "z", Address: "a"}}}, "e2 z a 0s member"},
		{"suspect", admin.StatusReport{Members: []admin.MemberStatus{{ID: "e2", Zone: "z", Address: "a", HeardAgeMS: 1600, Suspect: true}}}, "e2 z a 1.6s suspect"},
		{"departed", admin.StatusReport{Members: []admin.MemberStatus{{ID: "e2", Zone: "z", Address: "a", HeardAgeMS: -1, Departed: true, DepartedMS: 3000}}}, "e2 z a - departed for 3s"},
		{"zone not known", admin.StatusReport{Zones: []admin.ZoneStatus{{Name: "z", SeenAgeMS: -1}}}, "z - in service"},
		{"zone measured", admin.StatusReport{Zones: []admin.ZoneStatus{{Name: "z", SeenAgeMS: 250, OutOfService: true}}}, "z 250ms out of service"},
		{"no store", admin.StatusReport{HostID: "e1", Zone: "z", Mode: "none", FreshAgeMS: -1}, "host e1 in z, mode none, record revision 0, never confirmed by the store"},
		{"settling", admin.StatusReport{Settling: []admin.ZoneProgress{{Zone: "z", Members: 2, Confirmed: 1, WaitingFor: []string{"e4"}, LatestEndMS: -1}}}, "z 1/2 waiting for e4"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			style := lipgloss.NewRenderer(&out).NewStyle()
			p := &printer{out: &out, good: style, warn: style, head: style}
			p.printStatus(test.status)
			for line := range strings.Lines(out.String()) {
				if strings.Join(strings.Fields(line), " ") == test.line {
					return
				}
			}
			t.Errorf("no line %q in\n%s", test.line, &out)
		})
	}
}

// Guards against a drain that is let through although rack, zone or pool have no room, and against counting ended
// drains or one host twice.
func TestDrainEffect(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	at := func(offset time.Duration) string { return now.Add(offset).UTC().Format(time.RFC3339) }
	drain := func(host, until string) bundle.Intervention {
		return bundle.Intervention{ID: host, Kind: bundle.InterventionDrain, Target: host, Until: until}
	}
	down := func(host, pool string) admin.AssignmentReport {
		return admin.AssignmentReport{Host: host, Pool: pool, State: control.InService, Unavailable: true}
	}
	tests := []struct {
		name        string
		budget      bundle.Budget
		drains      []bundle.Intervention
		assignments []admin.AssignmentReport
		code        result.Code
	}{
		{"free", bundle.Budget{MaxUnavailable: 1}, nil, nil, 0},
		{"none allowed", bundle.Budget{}, nil, nil, result.BudgetExceeded},
		{"other drain", bundle.Budget{MaxUnavailable: 1}, []bundle.Intervention{drain("u2", at(time.Minute))}, nil, result.BudgetExceeded},
		{"ended drain", bundle.Budget{MaxUnavailable: 1}, []bundle.Intervention{drain("u2", at(0))}, nil, 0},
		{"failed host", bundle.Budget{MaxUnavailable: 1}, nil, []admin.AssignmentReport{down("u2", "p")}, result.BudgetExceeded},
		{"same host twice", bundle.Budget{MaxUnavailable: 1}, []bundle.Intervention{drain("u1", at(time.Minute))}, []admin.AssignmentReport{down("u1", "p")}, 0},
		{"lent host", bundle.Budget{MaxUnavailable: 1}, nil, []admin.AssignmentReport{down("u2", "other")}, 0},
		{"stuck host", bundle.Budget{MaxUnavailable: 1}, nil, []admin.AssignmentReport{{Host: "u3", Pool: "p", State: control.Stuck}}, result.BudgetExceeded},
		{"same rack", bundle.Budget{MaxUnavailable: 2, MaxUnavailablePerRack: 1}, []bundle.Intervention{drain("u2", at(time.Minute))}, nil, result.BudgetExceeded},
		{"other rack", bundle.Budget{MaxUnavailable: 2, MaxUnavailablePerRack: 1}, []bundle.Intervention{drain("u3", at(time.Minute))}, nil, 0},
		{"same zone", bundle.Budget{MaxUnavailable: 2, MaxUnavailablePerZone: 1}, []bundle.Intervention{drain("u3", at(time.Minute))}, nil, result.BudgetExceeded},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := &bundle.Bundle{
				Hosts:         []bundle.Host{{ID: "u1", Zone: "z", Rack: "r1"}, {ID: "u2", Zone: "z", Rack: "r1"}, {ID: "u3", Zone: "z", Rack: "r2"}},
				Pools:         []bundle.Pool{{Name: "p", Hosts: []string{"u1", "u2", "u3"}, Budget: test.budget}, {Name: "other"}},
				Interventions: test.drains,
			}
			_, err := drainEffect(b, test.assignments, "u1", now)
			is.Equal(hasCode(err, result.BudgetExceeded), test.code == result.BudgetExceeded)
			is.Equal(err == nil, test.code == 0)
		})
	}
}
