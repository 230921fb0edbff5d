package requestid

import (
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/result"
	"citrongauge.example/citrongauge/upstream"
)

var (
	start  = time.UnixMilli(1_800_000_000_000)
	secret = []byte("0123456789abcdef0123456789abcdef")
)

func issue(t testing.TB, now time.Time, record *control.Record, self string) ID {
	issuer, err := NewIssuer(self, start, secret)
	if err != nil {
		t.Fatal(err)
	}
	ids, err := issuer.Issue(now, record, 1)
	if err != nil {
		t.Fatal(err)
	}
	return ids[0]
}

func codeOf(err error) result.Code {
	var coded *result.Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return 0
}

func recordWith(issuer string) *control.Record {
	return &control.Record{
		Revision:    1 << 33,
		PoolSeq:     1 << 33,
		Roster:      []control.Member{{ID: issuer}},
		Assignments: []control.Assignment{{Host: "u1", Pool: "p"}, {Host: "u2", Pool: "p"}, {Host: "u3", Pool: "q"}},
	}
}

// TestIssueAndParse guards against accepting forged or altered IDs, and against issuing IDs that are too long or by a
// host that is not in the roster.
func TestIssueAndParse(t *testing.T) {
	is := is.New(t)
	self := strings.Repeat("h", maxIssuerBytes)
	id := issue(t, start.Add(300*24*time.Hour), recordWith(self), self)
	is.True(len(id.String()) <= MaxBytes)
	parsed, err := Parse(id.String(), secret)
	is.NoErr(err)
	is.True(parsed.Issued.Equal(id.Issued))
	parsed.Issued = id.Issued
	is.Equal(parsed, id)
	for i := range id.text {
		altered := id.text[:i] + string(id.text[i]^1) + id.text[i+1:]
		_, err := Parse(altered, secret)
		is.Equal(codeOf(err), result.RequestIDInvalid)
	}
	_, err = Parse(id.text, []byte("another secret of the fleet"))
	is.Equal(codeOf(err), result.RequestIDInvalid)
	issuer, err := NewIssuer("other", start, secret)
	is.NoErr(err)
	_, err = issuer.Issue(start, recordWith(self), 1)
	is.Equal(codeOf(err), result.NoPermission)
}

// TestTable guards against running an ID a second time when it is submitted again, was cancelled, has expired, or is
// submitted with another request.
func TestTable(t *testing.T) {
	is := is.New(t)
	table := NewTable("h", start, 3, 10)
	id := issue(t, start, recordWith("h"), "h")
	e, first, err := table.Begin(start, id, Digest{1})
	is.NoErr(err)
	is.True(first)
	_, first, err = table.Begin(start.Add(time.Hour), id, Digest{1}) // still running
	is.NoErr(err)
	is.True(!first)
	_, _, err = table.Begin(start, id, Digest{2})
	is.Equal(codeOf(err), result.RequestIDMismatch)
	is.Equal(e.Outcome().Code, result.Pending)
	end := start.Add(time.Hour)
	e.Finish(end, Outcome{Code: result.OK, Answer: []byte("12345678")})
	again, first, err := table.Begin(end.Add(Retention-1), id, Digest{1})
	is.NoErr(err)
	is.True(!first)
	<-again.Done()
	is.Equal(string(again.Outcome().Answer), "12345678")
	_, _, err = table.Begin(end.Add(Retention), id, Digest{1})
	is.Equal(codeOf(err), result.RequestIDForgotten)
	is.Equal(table.Len(), 0)

	now := end.Add(2 * Retention)
	early := issue(t, now, recordWith("h"), "h")
	_, err = table.Cancel(now, early)
	is.NoErr(err)
	e, first, err = table.Begin(now, early, Digest{7})
	is.NoErr(err)
	is.True(!first)
	is.Equal(e.Outcome().Code, result.CancelledBeforeRun)
	_, _, err = table.Begin(now, issue(t, now, recordWith("other"), "other"), Digest{})
	is.Equal(codeOf(err), result.OwnerUnreachable)
	for range 2 {
		e, _, err = table.Begin(now, issue(t, now, recordWith("h"), "h"), Digest{})
		is.NoErr(err)
		e.Finish(now, Outcome{Code: result.OK, Answer: []byte("12345678")})
	}
	is.True(table.answerBytes <= 10)
	_, _, err = table.Begin(now, issue(t, now, recordWith("h"), "h"), Digest{})
	is.Equal(codeOf(err), result.QueueFull)
}

// TestResolveOutcome guards against reporting "not run" without proof. Each case removes one part of the proof.
func TestResolveOutcome(t *testing.T) {
	is := is.New(t)
	record := recordWith("h")
	id := issue(t, start, record, "h")
	now := start.Add(time.Minute)
	unseen := FenceResponse{Result: upstream.FenceResult{
		Attempt: upstream.Attempt{State: upstream.StateUnseen}, Uptime: time.Minute + MaxClockSkew + 1}}
	codeFor := func(change func(r *control.Record, byHost map[string]FenceResponse)) result.Code {
		r := *record
		r.Roster, r.Revision = nil, r.Revision+1
		responses := map[string]FenceResponse{"u1": unseen, "u2": unseen}
		change(&r, responses)
		return ResolveOutcome(id, now, &r, "p", responses).Code
	}
	withState := func(s upstream.State) FenceResponse {
		response := unseen
		response.Result.Attempt.State = s
		return response
	}
	is.Equal(codeFor(func(*control.Record, map[string]FenceResponse) {}), result.RequestIDNotRun)
	is.Equal(codeFor(func(r *control.Record, _ map[string]FenceResponse) { r.PoolSeq++ }), result.OwnerLost)
	is.Equal(codeFor(func(r *control.Record, _ map[string]FenceResponse) { r.Roster = record.Roster }), result.OwnerUnreachable)
	is.Equal(codeFor(func(r *control.Record, _ map[string]FenceResponse) { r.Departed = record.Roster }), result.OwnerUnreachable)
	is.Equal(codeFor(func(r *control.Record, _ map[string]FenceResponse) { r.Revision -= 2 }), result.OwnerUnreachable)
	is.Equal(codeFor(func(_ *control.Record, byHost map[string]FenceResponse) { delete(byHost, "u2") }), result.OwnerLost)
	is.Equal(codeFor(func(_ *control.Record, byHost map[string]FenceResponse) {
		byHost["u1"] = FenceResponse{Err: upstream.ErrUnreachable}
	}), result.OwnerLost)
	is.Equal(codeFor(func(_ *control.Record, byHost map[string]FenceResponse) {
		restarted := unseen
		restarted.Result.Uptime--
		byHost["u1"] = restarted
	}), result.OwnerLost)
	for s, code := range map[upstream.State]result.Code{
		upstream.StateExpired:      result.RequestIDNotRun,
		upstream.StateReserved:     result.OwnerLost,
		upstream.StateRunning:      result.Pending,
		upstream.StateDone:         result.OK,
		upstream.StateFailed:       result.TaskFailed,
		upstream.StateStopped:      result.CancelledRunning,
		upstream.StateCheckpointed: result.StoppedByDrain,
		upstream.StateLeaseExpired: result.StoppedLeaseLapse,
	} {
		got := codeFor(func(_ *control.Record, byHost map[string]FenceResponse) {
			byHost["u1"] = FenceResponse{Err: upstream.ErrUnreachable}
			if s == upstream.StateExpired {
				byHost["u1"] = unseen
			}
			byHost["u2"] = withState(s)
		})
		is.Equal(got, code)
	}
	now = start.Add(Retention)
	unseen.Result.Uptime = time.Hour
	is.Equal(codeFor(func(*control.Record, map[string]FenceResponse) {}), result.RequestIDForgotten)
}
