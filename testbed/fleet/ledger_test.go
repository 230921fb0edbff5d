package fleet_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/testbed/fleet"
)

const callTimeout = time.Second

func newLedger(t *testing.T) (*fleet.Store, *platform.KV, *ledger.Ledger) {
	store := fleet.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	kv := platform.NewKV(server.Listener.Addr().String(), func(string, error) {})
	return store, kv, ledger.New(kv)
}

func claim(t *testing.T, kv *platform.KV, l *ledger.Ledger, host, process string) (*ledger.Ownership, error) {
	lease, _, err := kv.GrantLease(t.Context(), time.Minute, callTimeout)
	if err != nil {
		t.Fatal(err)
	}
	return l.Claim(t.Context(), ledger.OwnerRecord{Host: host, Process: process}, lease, callTimeout)
}

// TestHostReclaimsOwnership guards against a host that cannot reclaim the ownership that it stopped using: no host
// scheduled tasks until the old lease expired (1.5 s after a store outage in testbed run trouble-2 of the karri deployment).
func TestHostReclaimsOwnership(t *testing.T) {
	is := is.New(t)
	_, kv, l := newLedger(t)
	first, err := claim(t, kv, l, "edge-1", "p1")
	is.NoErr(err)
	_, err = claim(t, kv, l, "edge-2", "p2")
	is.True(errors.Is(err, ledger.ErrOwnedByOther))
	reclaimed, err := claim(t, kv, l, "edge-1", "p1")
	is.NoErr(err)
	is.True(reclaimed.Token > first.Token)
	is.True(reclaimed.Generation > first.Generation)
	restarted, err := claim(t, kv, l, "edge-1", "p1-restarted")
	is.NoErr(err)
	is.True(restarted.Token > reclaimed.Token)
}

// TestOnlyTheOwnerWrites guards against writes of a previous owner, and delayed duplicates of an owner's own writes,
// that overwrite newer records.
func TestOnlyTheOwnerWrites(t *testing.T) {
	is := is.New(t)
	store, kv, l := newLedger(t)
	first, err := claim(t, kv, l, "edge-1", "p1")
	is.NoErr(err)
	id := job.ID("00000000000000aa")
	progress := func(phase job.Phase) ledger.Write {
		return ledger.Write{Progress: map[job.ID]job.Progress{id: {Phase: phase}}}
	}
	is.NoErr(first.Store(t.Context(), progress(job.Active)))
	store.SetFaults(fleet.StoreFaults{DropNthResponse: 1})
	done := make(chan error, 1)
	go func() { done <- first.Store(t.Context(), progress(job.Succeeded)) }()
	time.Sleep(200 * time.Millisecond)
	store.SetFaults(fleet.StoreFaults{})
	is.NoErr(<-done) // it detects that the write was committed although the response was lost
	second, err := claim(t, kv, l, "edge-1", "p2")
	is.NoErr(err)
	is.True(errors.Is(first.Store(t.Context(), progress(job.Active)), ledger.ErrOwnershipLost))
	is.NoErr(second.Store(t.Context(), progress(job.Failed)))
	var stored job.Progress
	is.NoErr(job.Decode(store.Value("cg/job/"+string(id)+"/progress"), &stored))
	is.Equal(stored.Phase, job.Failed)
}

// TestSubmitIsConditional guards against a job that is stored twice, or accepted under a configuration that has been
// replaced.
func TestSubmitIsConditional(t *testing.T) {
	is := is.New(t)
	store, kv, l := newLedger(t)
	store.Put("op/config", []byte("{}"))
	configuration, err := kv.Get(t.Context(), platform.BundleKey, callTimeout)
	is.NoErr(err)
	j := &job.Job{ID: "00000000000000aa", Steps: []job.Step{{Count: 1}}}
	created, err := l.Submit(t.Context(), j, configuration.Revision)
	is.NoErr(err)
	is.True(created > 0)
	created, err = l.Submit(t.Context(), j, configuration.Revision)
	is.NoErr(err)
	is.Equal(created, uint64(0)) // the job exists already
	store.Put("op/config", []byte("{ }"))
	secondJob := &job.Job{ID: "00000000000000bb", Steps: []job.Step{{Count: 1}}}
	_, err = l.Submit(t.Context(), secondJob, configuration.Revision)
	is.True(errors.Is(err, ledger.ErrStaleBundle))
	_, err = l.Lookup(t.Context(), secondJob.ID)
	is.True(errors.Is(err, ledger.ErrNoJob))
	is.NoErr(l.Cancel(t.Context(), j.ID, anyTeam))
	view, err := l.Lookup(t.Context(), j.ID)
	is.NoErr(err)
	is.Equal(view.Phase(), job.Cancelled)
}

// TestLateWriteOfCancelledJobChangesNothing guards against a job that is created after its cancellation was answered with
// 410: the store executed a copy of the submission late (UNASKED, review/4).
func TestLateWriteOfCancelledJobChangesNothing(t *testing.T) {
	is := is.New(t)
	store, _, l := newLedger(t)
	j := &job.Job{ID: "00000000000000aa", Steps: []job.Step{{Count: 1}}}
	store.SetFaults(fleet.StoreFaults{LateBy: 600 * time.Millisecond, LatePrefix: ledger.JobPrefix})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := l.Submit(ctx, j, 0)
	is.True(errors.Is(err, platform.ErrOutcomeUnknown))
	store.SetFaults(fleet.StoreFaults{})
	is.True(errors.Is(l.Cancel(t.Context(), j.ID, anyTeam), ledger.ErrNoJob))
	is.True(errors.Is(l.Cancel(t.Context(), j.ID, anyTeam), ledger.ErrNoJob)) // a repeat is answered alike
	time.Sleep(time.Second)
	is.Equal(store.Value(ledger.JobPrefix+string(j.ID)), nil)
	_, err = l.Lookup(t.Context(), j.ID)
	is.True(errors.Is(err, ledger.ErrNoJob))
	_, err = l.Submit(t.Context(), j, 0)
	is.True(errors.Is(err, ledger.ErrCancelled))
}

// TestCancelMeetsSubmission guards against the same with a submission in progress: whichever of the two the store executes
// first, a job that it has is cancelled.
func TestCancelMeetsSubmission(t *testing.T) {
	is := is.New(t)
	_, _, l := newLedger(t)
	var calls sync.WaitGroup
	unknown := 0
	for n := range 60 {
		j := &job.Job{ID: job.ID(jobID(n)), Steps: []job.Step{{Count: 1}}}
		var submitted, cancelled error
		calls.Go(func() { _, submitted = l.Submit(t.Context(), j, 0) })
		calls.Go(func() { cancelled = l.Cancel(t.Context(), j.ID, anyTeam) })
		calls.Wait()
		stored, err := l.Lookup(t.Context(), j.ID)
		if errors.Is(cancelled, ledger.ErrNoJob) {
			unknown++
			is.True(errors.Is(submitted, ledger.ErrCancelled))
			is.True(errors.Is(err, ledger.ErrNoJob))
			continue
		}
		is.NoErr(cancelled)
		is.NoErr(submitted)
		is.NoErr(err)
		is.Equal(stored.Phase(), job.Cancelled)
	}
	t.Logf("%d of 60 cancels came before the submission", unknown)
}

// TestLongListWhileStoreRejectsCalls guards against a list of many pages that is never complete while the store rejects a
// part of the calls, because it begins anew after each.
func TestLongListWhileStoreRejectsCalls(t *testing.T) {
	is := is.New(t)
	store, kv, _ := newLedger(t)
	const items = 10_000 // 20 pages
	for i := range items {
		store.Put(fmt.Sprintf("x/%05d", i), nil)
	}
	store.SetFaults(fleet.StoreFaults{RejectedShare: 0.3})
	var listed []platform.Item
	waitUntil(t, 5*time.Second, "list", func() bool {
		var err error
		listed, _, err = kv.ListAll(t.Context(), "x/", callTimeout)
		return err == nil
	})
	is.Equal(len(listed), items)
}

func anyTeam(ledger.StoredJob) bool { return true }
