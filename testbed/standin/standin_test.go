package standin_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/testbed/standin"
	"citrongauge.example/citrongauge/upstream"
)

func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func newPlatform(t *testing.T) (*standin.Platform, *platform.HTTPClient) {
	t.Helper()
	p := standin.NewPlatform()
	client := platform.NewHTTPClient(serve(t, p), "host-1")
	t.Cleanup(client.Close)
	return p, client
}

func newUpstream(t *testing.T) (*standin.Upstream, *upstream.HTTPClient) {
	t.Helper()
	u := standin.NewUpstream(standin.UpstreamConfig{
		ID:             "u1",
		Capacity:       upstream.Size{Slots: 2, CPUs: 4, MemoryMB: 1024},
		ReservationTTL: 100 * time.Millisecond,
		LeaseTTL:       300 * time.Millisecond,
	})
	return u, upstream.NewHTTPClient(serve(t, u), upstream.NewTransport())
}

func reservation(attempt, request string, epoch uint64) upstream.Reservation {
	return upstream.Reservation{
		AttemptID: attempt, RequestID: request, Pool: "p", PoolEpoch: epoch, Team: "t", Size: upstream.Size{Slots: 1},
	}
}

// TestStoreCompareAndSwap guards against a conflict being reported as success, and against a lost response being
// reported as a rejected write.
func TestStoreCompareAndSwap(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	p, client := newPlatform(t)
	_, err := client.Get(ctx, "bundles/1")
	is.True(errors.Is(err, platform.ErrNotFound))
	revision, err := client.CompareAndSwap(ctx, "bundles/1", 0, []byte("a"))
	is.NoErr(err)
	is.Equal(revision, uint64(1))
	_, err = client.CompareAndSwap(ctx, "bundles/1", 0, []byte("b"))
	is.True(errors.Is(err, platform.ErrConflict))
	_, err = client.CompareAndSwap(ctx, "bundles/1", 1, make([]byte, platform.MaxValueBytes+1))
	is.True(errors.Is(err, platform.ErrTooLarge))

	is.NoErr(p.SetFaults(standin.PlatformFaults{LoseWriteResponses: 1}))
	_, err = client.CompareAndSwap(ctx, "bundles/1", 1, []byte("c"))
	is.True(errors.Is(err, platform.ErrUnavailable))
	entry, err := client.Get(ctx, "bundles/1")
	is.NoErr(err)
	is.Equal(string(entry.Value), "c")
	is.Equal(entry.Revision, uint64(2))
}

// TestStoreWatchAndFaults guards against watches that miss a change or keep waiting during an outage, and against calls
// that succeed although their client is partitioned or the response is too late.
func TestStoreWatchAndFaults(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	p, client := newPlatform(t)
	type outcome struct {
		entry platform.Entry
		err   error
	}
	watch := func(after uint64) chan outcome {
		outcomes := make(chan outcome, 1)
		before := p.Counters().Watches
		go func() {
			entry, err := client.Watch(ctx, "control", after)
			outcomes <- outcome{entry, err}
		}()
		for p.Counters().Watches == before {
			time.Sleep(time.Millisecond)
		}
		return outcomes
	}
	first := watch(1)
	_, err := client.CompareAndSwap(ctx, "control", 0, []byte("a"))
	is.NoErr(err)
	_, err = client.CompareAndSwap(ctx, "control", 1, []byte("b"))
	is.NoErr(err)
	got := <-first
	is.NoErr(got.err)
	is.Equal(got.entry, platform.Entry{Value: []byte("b"), Revision: 2})

	second := watch(2)
	is.NoErr(p.SetFaults(standin.PlatformFaults{Outage: true}))
	is.True(errors.Is((<-second).err, platform.ErrUnavailable))
	is.NoErr(p.SetFaults(standin.PlatformFaults{PartitionedClients: []string{"host-1"}}))
	_, err = client.Get(ctx, "control")
	is.True(errors.Is(err, platform.ErrUnavailable))
	is.NoErr(p.SetFaults(standin.PlatformFaults{DelayMS: 1200}))
	_, err = client.Get(ctx, "control")
	is.True(errors.Is(err, platform.ErrUnavailable)) // the delay exceeds platform.CallTimeout
}

// TestForeignResponsesAreUncertain guards against a response by a server that is neither the platform nor an upstream
// being taken for a definite result.
func TestForeignResponsesAreUncertain(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	address := serve(t, http.NotFoundHandler())
	_, err := platform.NewHTTPClient(address, "x").Get(ctx, "control")
	is.True(errors.Is(err, platform.ErrUnavailable))
	err = upstream.NewHTTPClient(address, upstream.NewTransport()).Reserve(ctx, reservation("a", "", 0))
	is.True(errors.Is(err, upstream.ErrUnreachable))
}

// TestHostListLagAndReboot guards against a host list without the configured lag, and against a reboot that is not
// forwarded to the upstream.
func TestHostListLagAndReboot(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	p, client := newPlatform(t)
	u := standin.NewUpstream(standin.UpstreamConfig{ID: "u1"})
	address := serve(t, u)
	upstreamClient := upstream.NewHTTPClient(address, upstream.NewTransport())
	p.SetHost("u1", standin.Host{State: platform.HostLive, Upstream: address})
	is.NoErr(p.SetFaults(standin.PlatformFaults{HostListLagMS: 200, RebootMS: 50}))
	time.Sleep(250 * time.Millisecond)
	p.SetHost("u1", standin.Host{State: platform.HostLive, Drained: true, Upstream: address})
	hosts, err := client.Hosts(ctx)
	is.NoErr(err)
	is.Equal(hosts, []platform.HostStatus{{ID: "u1", State: platform.HostLive}})
	time.Sleep(250 * time.Millisecond)
	hosts, err = client.Hosts(ctx)
	is.NoErr(err)
	is.Equal(hosts, []platform.HostStatus{{ID: "u1", State: platform.HostLive, Drained: true}})

	is.True(errors.Is(client.Reboot(ctx, "u1"), platform.ErrConflict)) // not drained
	is.NoErr(upstreamClient.Drain(ctx, 3, true))
	before, err := upstreamClient.Status(ctx)
	is.NoErr(err)
	is.NoErr(client.Reboot(ctx, "u1"))
	is.True(errors.Is(client.Reboot(ctx, "u2"), platform.ErrNotFound))
	time.Sleep(150 * time.Millisecond)
	after, err := upstreamClient.Status(ctx)
	is.NoErr(err)
	is.True(after.BootID != before.BootID)
	is.True(after.Draining && after.PoolEpoch == 3) // a planned reboot preserves the drain
	is.True(u.Reboot(standin.RebootRequest{}))
	crashed, err := upstreamClient.Status(ctx)
	is.NoErr(err)
	is.True(!crashed.Draining && crashed.PoolEpoch == 0)
}

// TestEndedReservationsCannotStart guards against a start under a reservation that has expired, was fenced or released,
// or has a stale pool epoch.
func TestEndedReservationsCannotStart(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	_, upstreamClient := newUpstream(t)
	start := func(id string) error { return upstreamClient.Start(ctx, upstream.Task{AttemptID: id}) }
	is.NoErr(upstreamClient.Reserve(ctx, reservation("lapse", "", 1)))
	time.Sleep(120 * time.Millisecond)
	is.True(errors.Is(start("lapse"), upstream.ErrReservationExpired))

	is.NoErr(upstreamClient.Reserve(ctx, reservation("fence", "r1", 1)))
	is.True(errors.Is(upstreamClient.Reserve(ctx, reservation("again", "r1", 1)), upstream.ErrDuplicate))
	fenced, err := upstreamClient.Fence(ctx, "r1")
	is.NoErr(err)
	is.Equal(fenced.Attempt.State, upstream.StateExpired)
	is.True(errors.Is(start("fence"), upstream.ErrReservationExpired))
	is.True(errors.Is(upstreamClient.Reserve(ctx, reservation("later", "r1", 1)), upstream.ErrDuplicate))
	unseen, err := upstreamClient.Fence(ctx, "r2")
	is.NoErr(err)
	is.Equal(unseen.Attempt.State, upstream.StateUnseen)

	is.NoErr(upstreamClient.Reserve(ctx, reservation("release", "r3", 1)))
	is.NoErr(upstreamClient.Release(ctx, "release"))
	is.True(errors.Is(start("release"), upstream.ErrReservationExpired))
	is.NoErr(upstreamClient.Reserve(ctx, reservation("retry", "r3", 1))) // allowed, since the request was never started

	is.NoErr(upstreamClient.Drain(ctx, 2, true))
	is.True(errors.Is(start("retry"), upstream.ErrReservationExpired))
	is.True(errors.Is(upstreamClient.Reserve(ctx, reservation("drained", "", 2)), upstream.ErrLeaving))
	is.NoErr(upstreamClient.Drain(ctx, 3, false))
	is.True(errors.Is(upstreamClient.Drain(ctx, 2, true), upstream.ErrStaleEpoch))
	is.True(errors.Is(upstreamClient.Reserve(ctx, reservation("old", "", 2)), upstream.ErrStaleEpoch))
	is.True(errors.Is(start("unknown"), upstream.ErrAttemptNotFound))
}

// TestTaskRunsOnceUnderLease guards against a second execution after a repeated start, and against tasks that outlive
// their lease.
func TestTaskRunsOnceUnderLease(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	u, upstreamClient := newUpstream(t)
	is.NoErr(upstreamClient.Reserve(ctx, reservation("a", "r", 0)))
	is.NoErr(upstreamClient.Reserve(ctx, reservation("b", "", 0)))
	is.True(errors.Is(upstreamClient.Reserve(ctx, reservation("c", "", 0)), upstream.ErrFull))
	u.SetFaults(standin.UpstreamFaults{LoseResponses: 1})
	task := upstream.Task{AttemptID: "a", Payload: []byte("x"), RunMS: 20}
	is.True(errors.Is(upstreamClient.Start(ctx, task), upstream.ErrUnreachable))
	is.NoErr(upstreamClient.Start(ctx, task))
	attempt, err := upstreamClient.Result(ctx, "a", time.Second)
	is.NoErr(err)
	is.Equal(attempt.State, upstream.StateDone)
	is.Equal(attempt.Answer, standin.TaskAnswer([]byte("x"), "u1", "a"))
	is.Equal(len(u.Executions()), 1)

	is.NoErr(upstreamClient.Start(ctx, upstream.Task{AttemptID: "b", RunMS: 60000}))
	time.Sleep(200 * time.Millisecond)
	unknown, err := upstreamClient.Renew(ctx, []string{"b", "z"})
	is.NoErr(err)
	is.Equal(unknown, []string{"z"})
	time.Sleep(200 * time.Millisecond)
	attempt, err = upstreamClient.Result(ctx, "b", 0)
	is.NoErr(err)
	is.Equal(attempt.State, upstream.StateRunning) // its lease was renewed
	attempt, err = upstreamClient.Result(ctx, "b", time.Second)
	is.NoErr(err)
	is.Equal(attempt.State, upstream.StateLeaseExpired)
	executions := u.Executions()
	is.True(executions[1].AttemptID == "b" && executions[1].EndUnixNS > executions[1].StartUnixNS && executions[0].RequestID == "r")
}

// TestFaultyResponsesAreDetected guards against accepting a response that is truncated or belongs to another attempt,
// and against a checkpoint or throttle without effect.
func TestFaultyResponsesAreDetected(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	u, upstreamClient := newUpstream(t)
	for _, id := range []string{"a", "b"} {
		is.NoErr(upstreamClient.Reserve(ctx, reservation(id, "", 0)))
		is.NoErr(upstreamClient.Start(ctx, upstream.Task{AttemptID: id, Payload: []byte(id), RunMS: 1}))
		_, err := upstreamClient.Result(ctx, id, time.Second)
		is.NoErr(err)
	}
	u.SetFaults(standin.UpstreamFaults{TruncateResponses: true})
	_, err := upstreamClient.Result(ctx, "a", 0)
	is.True(errors.Is(err, upstream.ErrIncomplete))
	is.True(errors.Is(upstreamClient.Reserve(ctx, reservation("c", "", 0)), upstream.ErrUnreachable))
	u.SetFaults(standin.UpstreamFaults{SwapResults: true})
	_, err = upstreamClient.Result(ctx, "a", 0)
	is.True(errors.Is(err, upstream.ErrMismatched))

	u.SetFaults(standin.UpstreamFaults{})
	is.NoErr(upstreamClient.Start(ctx, upstream.Task{AttemptID: "c", RunMS: 100}))
	is.NoErr(upstreamClient.Throttle(ctx, "c", 0))
	time.Sleep(150 * time.Millisecond)
	attempt, err := upstreamClient.Stop(ctx, "c", true)
	is.NoErr(err)
	is.Equal(attempt.State, upstream.StateCheckpointed)
}

// TestConditionalRead guards against a conditional read that misses a change or that returns an unchanged value.
func TestConditionalRead(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := platform.NewHTTPClient(serve(t, standin.NewPlatform()), "test")
	defer store.Close()
	_, _, err := store.GetIfChanged(ctx, "k", 7)
	is.True(errors.Is(err, platform.ErrNotFound))
	first, err := store.CompareAndSwap(ctx, "k", 0, []byte("one"))
	is.NoErr(err)
	entry, changed, err := store.GetIfChanged(ctx, "k", first)
	is.NoErr(err)
	is.True(!changed && entry.Revision == first && len(entry.Value) == 0)
	second, err := store.CompareAndSwap(ctx, "k", first, []byte("two"))
	is.NoErr(err)
	for _, known := range []uint64{first, second + 1} { // a revision that the store does not have also counts as a change
		entry, changed, err = store.GetIfChanged(ctx, "k", known)
		is.NoErr(err)
		is.True(changed)
		is.Equal(string(entry.Value), "two")
	}
}
