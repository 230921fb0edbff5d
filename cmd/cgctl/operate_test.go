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

// fakeEntryHost is a fake entry host that accepts a bundle only if its base is the current version.
type fakeEntryHost struct {
	operators     map[string]ed25519.PublicKey
	signedBundles [][]byte // index: version - 1; nil: no longer stored
	// concurrentRollout is a signed bundle of another operator, committed just before the next rollout arrives.
	concurrentRollout []byte
	neverAccepts      bool // rollouts are committed but never accepted
	assignments       []admin.AssignmentReport
	members           []admin.MemberStatus
	cleared           []string
}

func (f *fakeEntryHost) version() uint64 { return uint64(len(f.signedBundles)) }

func (f *fakeEntryHost) Status(context.Context) admin.StatusReport {
	return admin.StatusReport{HostID: "e1", BundleVersion: f.version(), AcceptedVersion: f.version(),
		Members: f.members, Settling: []admin.ZoneProgress{{Zone: "zone-2", WaitingFor: []string{"e9"}, LatestEndMS: 5000}},
		Teams: []admin.TeamStatus{{Name: "team-1", Share: 500}}, Notes: []string{"u-003 was drained by hand"}}
}

func (f *fakeEntryHost) Bundle(_ context.Context, version uint64) ([]byte, error) {
	if version == 0 {
		version = f.version()
	}
	if version == 0 || version > f.version() || f.signedBundles[version-1] == nil {
		return nil, result.Errorf(result.AdminNotFound, "version %d", version)
	}
	return f.signedBundles[version-1], nil
}

func (f *fakeEntryHost) Rollout(ctx context.Context, signed []byte) (admin.RolloutReport, error) {
	if f.concurrentRollout != nil {
		f.signedBundles, f.concurrentRollout = append(f.signedBundles, f.concurrentRollout), nil
	}
	b, err := bundle.VerifySigned(signed, f.operators)
	if err != nil {
		return admin.RolloutReport{}, err
	}
	if b.Base != f.version() {
		return admin.RolloutReport{}, result.Errorf(result.RolloutConflict, "base %d", b.Base)
	}
	f.signedBundles = append(f.signedBundles, signed)
	return f.RolloutProgress(ctx, b.Version), nil
}

func (f *fakeEntryHost) RolloutProgress(_ context.Context, version uint64) admin.RolloutReport {
	b, err := bundle.VerifySigned(f.signedBundles[version-1], f.operators)
	if err != nil {
		return admin.RolloutReport{}
	}
	digest := b.Digest()
	zone := admin.ZoneProgress{Zone: "zone-2", Members: 2, Confirmed: 1, WaitingFor: []string{"e4"}, LatestEndMS: 5000}
	return admin.RolloutReport{Version: version, Digest: hex.EncodeToString(digest[:]), Committed: true, Accepted: !f.neverAccepts,
		ConfirmedMS: 12, AcceptedMS: 34, Zones: []admin.ZoneProgress{zone}}
}

func (f *fakeEntryHost) ClearDeparted(ctx context.Context, request admin.ClearDepartedRequest) (admin.ClearDepartedReport, error) {
	f.cleared = append(f.cleared, strings.Join(request.Hosts, ",")+" by "+admin.OperatorFromContext(ctx)+": "+request.Reason)
	return admin.ClearDepartedReport{Cleared: request.Hosts, Revision: 9}, nil
}

func (f *fakeEntryHost) Assignments(context.Context) []admin.AssignmentReport { return f.assignments }

func (f *fakeEntryHost) Explain(_ context.Context, kind, name string) admin.Explanation {
	return admin.Explanation{Kind: kind, Name: name, Found: true, Lines: []string{"because"}}
}

// harness runs cgctl against a fake entry host.
type harness struct {
	t         *testing.T
	dir       string
	host      string
	entryHost *fakeEntryHost
}

// newHarness generates the keys of two operators and rolls out a first bundle.
func newHarness(t *testing.T) *harness {
	h := &harness{t: t, dir: t.TempDir(), entryHost: &fakeEntryHost{operators: map[string]ed25519.PublicKey{}}}
	for _, operator := range []string{"amara", "bo"} {
		h.runTool(exitOK, "keys", "operator", "--dir", h.dir, operator)
		key, err := bundle.ParsePublicKey(readText(t, h.file(operator+".pub")))
		if err != nil {
			t.Fatal(err)
		}
		h.entryHost.operators[operator] = key
	}
	server := httptest.NewServer(admin.NewHandler(h.entryHost, &admin.Verifier{
		HostID: func() string { return "e1" }, Operators: h.entryHost.operators, Now: time.Now,
	}))
	t.Cleanup(server.Close)
	h.host = strings.TrimPrefix(server.URL, "http://")
	h.runTool(exitOK, "bundle", "new", "--out", h.file("b.jsonc"))
	h.runAs("amara", exitOK, "rollout", h.file("b.jsonc"))
	return h
}

func (h *harness) file(name string) string { return filepath.Join(h.dir, name) }

// runTool runs cgctl, checks its exit code and returns its standard output.
func (h *harness) runTool(want int, args ...string) string {
	h.t.Helper()
	var out, errOut bytes.Buffer
	code := run(context.Background(), append([]string{"cgctl"}, args...), &out, &errOut)
	if code != want {
		h.t.Fatalf("%v: exit code %d, want %d\n%s%s", args, code, want, &out, &errOut)
	}
	return out.String()
}

// runAs runs cgctl as the given operator and returns its decoded JSON output.
func (h *harness) runAs(operator string, want int, args ...string) rolloutOutput {
	h.t.Helper()
	text := h.runTool(want, append([]string{"--host", h.host, "--operator-key", h.file(operator + ".key"), "--output", "json"}, args...)...)
	var out rolloutOutput
	if err := json.Unmarshal([]byte(text), &out); err != nil {
		h.t.Fatalf("%v: %v in %s", args, err, text)
	}
	return out
}

func changedPaths(changes []bundle.Change) string {
	var paths []string
	for _, change := range changes {
		if !headerPaths[change.Path] {
			paths = append(paths, change.Path)
		}
	}
	return strings.Join(paths, " ")
}

// TestEdits checks that each edit command changes exactly the requested fields, and that dry runs and rejected edits
// change nothing.
func TestEdits(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	out := h.runAs("amara", exitOK, "zone", "out", "zone-1", "--reason", "switch", "--running-work", "stop")
	is.Equal(changedPaths(out.Changes), "availability_zones[zone-1].out_of_service availability_zones[zone-1].running_work")
	is.Equal(out.Effects[0], "pool main: 24 of 40 slots stay in service")
	is.Equal(out.Report.AcceptedMS, int64(34))
	is.Equal(changedPaths(h.runAs("bo", exitOK, "zone", "in", "zone-1", "--reason", "fixed", "--ramp", "0s").Changes),
		"availability_zones[zone-1].out_of_service availability_zones[zone-1].ramp_ms")
	is.Equal(changedPaths(h.runAs("amara", exitOK, "host", "drain", "u-000", "--for", "1h", "--reason", "fan").Changes), "interventions")
	out = h.runAs("amara", exitBudget, "host", "drain", "u-002", "--for", "1h", "--reason", "fan")
	is.Equal(out.Error.Detail, "drain of u-002: pool main: 2 unavailable after the drain, 1 allowed")
	is.Equal(changedPaths(h.runAs("bo", exitOK, "host", "return", "u-000", "--reason", "done").Changes), "interventions")
	is.True(h.runAs("bo", exitOK, "host", "return", "u-000", "--reason", "done").Unchanged)
	out = h.runAs("amara", exitOK, "key", "grant", "team-1", "k1", "--reason", "new customer")
	index := bundle.NewIndex(h.currentBundle())
	team, key := index.Key(out.NewKey)
	is.Equal(team.Name, "team-1")
	is.Equal(key.ID, "k1")
	is.Equal(changedPaths(h.runAs("amara", exitOK, "key", "withdraw", "team-1", "k1", "--reason", "leak").Changes), "teams[team-1].keys[k1].withdrawn")
	is.Equal(changedPaths(h.runAs("amara", exitOK, "key", "grant", "team-1", "k1", "--reason", "no leak").Changes), "teams[team-1].keys[k1].withdrawn")
	before := h.entryHost.version()
	out = h.runAs("amara", exitOK, "zone", "out", "zone-2", "--reason", "test", "--dry-run")
	is.True(out.DryRun && len(out.Changes) > 0)
	h.runAs("amara", exitFailed, "zone", "out", "zone-9", "--reason", "x")
	h.runAs("amara", exitFailed, "zone", "out", "zone-2", "--reason", "x", "--running-work", "kill")
	is.Equal(h.entryHost.version(), before) // the dry run and the rejected edits have changed nothing

	var history []historyEntry
	text := h.runTool(exitOK, "--host", h.host, "--operator-key", h.file("bo.key"), "--output", "json", "history", "-n", "2")
	is.NoErr(json.Unmarshal([]byte(text), &history))
	is.Equal(len(history), 2)
	is.Equal(history[1], historyEntry{Version: before - 1, Base: before - 2, Author: "amara", Reason: "leak"})
}

func (h *harness) currentBundle() *bundle.Bundle {
	envelope := h.entryHost.signedBundles[h.entryHost.version()-1]
	current, err := bundle.VerifySigned(envelope, h.entryHost.operators)
	if err != nil {
		h.t.Fatal(err)
	}
	return current
}

// TestConflict checks that a rollout that loses the race against another operator does not overwrite the other change,
// and reports it.
func TestConflict(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	theirs := h.currentBundle()
	theirs.Version, theirs.Base, theirs.Author = 2, 1, "bo"
	theirs.Zones[2].OutOfService = true
	key, err := bundle.ParsePrivateKey(readText(t, h.file("bo.key")))
	is.NoErr(err)
	h.entryHost.concurrentRollout = bundle.Sign(theirs, key, "bo").Encode()
	out := h.runAs("amara", exitConflict, "zone", "out", "zone-1", "--reason", "switch")
	is.Equal(changedPaths(out.Conflict), "availability_zones[zone-3].out_of_service")
	is.Equal(out.Error.Code, result.RolloutConflict)
	is.Equal(h.currentBundle().Author, "bo")
	h.runAs("amara", exitConflict, "rollout", h.file("b.jsonc")) // version 1 with base 0
	is.Equal(h.entryHost.version(), uint64(2))
}

// TestNotAccepted checks that a rollout that is committed but not accepted before the timeout is not reported as a
// success.
func TestNotAccepted(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.entryHost.neverAccepts = true
	out := h.runAs("amara", exitNotAccepted, "--timeout", "300ms", "zone", "out", "zone-1", "--reason", "switch")
	is.True(out.Report.Committed && !out.Report.Accepted)
	is.True(strings.HasSuffix(out.Error.Detail, "waiting for zones: zone-2"))
	text := h.runTool(exitNotAccepted, "--host", h.host, "--operator-key", h.file("amara.key"), "--timeout", "300ms", "zone", "in", "zone-1", "--reason", "x")
	is.True(strings.Contains(text, "1/2 waiting for e4, at the latest until 5s from now"))
}

// TestUntrustedBundle checks that an edit is rejected if the bundle from the entry host is not signed with a trusted
// key; otherwise the operator would sign content that the host has made up.
func TestUntrustedBundle(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	_, untrustedKey, _ := ed25519.GenerateKey(nil)
	h.entryHost.signedBundles[0] = bundle.Sign(h.currentBundle(), untrustedKey, "amara").Encode()
	out := h.runAs("amara", exitFailed, "zone", "out", "zone-1", "--reason", "switch")
	is.Equal(out.Error.Code, result.SignatureInvalid)
	is.Equal(h.entryHost.version(), uint64(1))
}

// TestSignedFileAndViews checks that an operator can roll out a bundle that another operator has signed, and the text
// output of the status and explain commands.
func TestSignedFileAndViews(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.entryHost.signedBundles = nil
	h.runTool(exitOK, "--operator-key", h.file("amara.key"), "bundle", "sign", "--out", h.file("b.signed"), h.file("b.jsonc"))
	h.runAs("bo", exitOK, "rollout", h.file("b.signed"))
	global := []string{"--host", h.host, "--operator-key", h.file("bo.key")}
	text := h.runTool(exitOK, append(global, "status")...)
	is.True(strings.Contains(text, "bundle version 1, accepted") && strings.Contains(text, "note: u-003 was drained by hand"))
	is.Equal(h.runTool(exitOK, append(global, "explain", "host", "u-000")...), "because\n")
}

// TestStatusAges checks that an unknown age is printed as "-", not as "never" or 0s, and that a host without any
// confirmation by the store is printed as never confirmed.
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
		{"zone not known", admin.StatusReport{Zones: []admin.ZoneStatus{{Name: "z", AttestedAgeMS: -1}}}, "z - in service"},
		{"zone measured", admin.StatusReport{Zones: []admin.ZoneStatus{{Name: "z", AttestedAgeMS: 250, OutOfService: true}}}, "z 250ms out of service"},
		{"no store", admin.StatusReport{HostID: "e1", Zone: "z", Mode: "none", StoreConfirmedAgeMS: -1}, "host e1 in z, mode none, record revision 0, never confirmed by the store"},
		{"settling", admin.StatusReport{Settling: []admin.ZoneProgress{{Zone: "z", Members: 2, Confirmed: 1, WaitingFor: []string{"e4"}, LatestEndMS: -1}}}, "z 1/2 waiting for e4"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			style := lipgloss.NewRenderer(&out).NewStyle()
			p := &printer{out: &out, okStyle: style, warnStyle: style, headingStyle: style}
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

// TestDrainEffect checks that a drain is rejected if it exceeds the budget of the rack, zone or pool, that expired
// drains are not counted, and that a host that is both drained and unavailable counts once.
func TestDrainEffect(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	at := func(offset time.Duration) string { return now.Add(offset).UTC().Format(time.RFC3339) }
	drain := func(host, until string) bundle.Intervention {
		return bundle.Intervention{ID: host, Kind: bundle.InterventionDrain, Target: host, Until: until}
	}
	unavailable := func(host, pool string) admin.AssignmentReport {
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
		{"expired drain", bundle.Budget{MaxUnavailable: 1}, []bundle.Intervention{drain("u2", at(0))}, nil, 0},
		{"unavailable host", bundle.Budget{MaxUnavailable: 1}, nil, []admin.AssignmentReport{unavailable("u2", "p")}, result.BudgetExceeded},
		{"host drained and unavailable", bundle.Budget{MaxUnavailable: 1}, []bundle.Intervention{drain("u1", at(time.Minute))}, []admin.AssignmentReport{unavailable("u1", "p")}, 0},
		{"host assigned to other pool", bundle.Budget{MaxUnavailable: 1}, nil, []admin.AssignmentReport{unavailable("u2", "other")}, 0},
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
