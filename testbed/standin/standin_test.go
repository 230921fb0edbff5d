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

// Guards against a conflict that is taken for a success, and against a lost answer that is taken for a refusal.
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

	is.NoErr(p.SetFaults(standin.PlatformFaults{LoseWriteAnswers: 1}))
	_, err = client.CompareAndSwap(ctx, "bundles/1", 1, []byte("c"))
	is.True(errors.Is(err, platform.ErrUnavailable))
	entry, err := client.Get(ctx, "bundles/1")
	is.NoErr(err)
	is.Equal(string(entry.Value), "c")
	is.Equal(entry.Revision, uint64(2))
}

// Guards against watches that survive an outage or miss a change.
func TestStoreWatchAndFaults(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	p, client := newPlatform(t)
	type outcome struct {
		entry platform.Entry
		err   error
	}
	watch := func(after uint64) chan outcome {
		c := make(chan outcome, 1)
		before := p.Counters().Watches
		go func() {
			entry, err := client.Watch(ctx, "control", after)
			c <- outcome{entry, err}
		}()
		for p.Counters().Watches == before {
			time.Sleep(time.Millisecond)
		}
		return c
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
	is.NoErr(p.SetFaults(standin.PlatformFaults{CutClients: []string{"host-1"}}))
	_, err = client.Get(ctx, "control")
	is.True(errors.Is(err, platform.ErrUnavailable))
	is.NoErr(p.SetFaults(standin.PlatformFaults{DelayMS: 1200}))
	_, err = client.Get(ctx, "control")
	is.True(errors.Is(err, platform.ErrUnavailable)) // slower than CallTimeout
}

// Guards against an answer of something else than the platform that is taken for a certain one.
func TestForeignAnswersAreNotCertain(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	address := serve(t, http.NotFoundHandler())
	_, err := platform.NewHTTPClient(address, "x").Get(ctx, "control")
	is.True(errors.Is(err, platform.ErrUnavailable))
	err = upstream.NewHTTPClient(address, upstream.NewTransport()).Reserve(ctx, reservation("a", "", 0))
	is.True(errors.Is(err, upstream.ErrUnreachable))
}

// Guards against a host list without its lag and a reboot that does not reach the upstream.
func TestHostListLagAndReboot(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	p, client := newPlatform(t)
	u := standin.NewUpstream(standin.UpstreamConfig{ID: "u1"})
	address := serve(t, u)
	up := upstream.NewHTTPClient(address, upstream.NewTransport())
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
	is.NoErr(up.Drain(ctx, 3, true))
	before, err := up.Status(ctx)
	is.NoErr(err)
	is.NoErr(client.Reboot(ctx, "u1"))
	is.True(errors.Is(client.Reboot(ctx, "u2"), platform.ErrNotFound))
	time.Sleep(150 * time.Millisecond)
	after, err := up.Status(ctx)
	is.NoErr(err)
	is.True(after.BootID != before.BootID)
	is.True(after.Draining && after.PoolEpoch == 3) // a platform reboot keeps the drain
	is.True(u.Reboot(standin.RebootRequest{}))
	crashed, err := up.Status(ctx)
	is.NoErr(err)
	is.True(!crashed.Draining && crashed.PoolEpoch == 0)
}

// Guards against a start under a reservation that lapsed, was fenced, released or overtaken by a higher epoch.
func TestReservationsEnd(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	_, up := newUpstream(t)
	start := func(id string) error { return up.Start(ctx, upstream.Task{AttemptID: id}) }
	is.NoErr(up.Reserve(ctx, reservation("lapse", "", 1)))
	time.Sleep(120 * time.Millisecond)
	is.True(errors.Is(start("lapse"), upstream.ErrLapsed))

	is.NoErr(up.Reserve(ctx, reservation("fence", "r1", 1)))
	is.True(errors.Is(up.Reserve(ctx, reservation("again", "r1", 1)), upstream.ErrDuplicate))
	fenced, err := up.Fence(ctx, "r1")
	is.NoErr(err)
	is.Equal(fenced.Attempt.State, upstream.StateLapsed)
	is.True(errors.Is(start("fence"), upstream.ErrLapsed))
	is.True(errors.Is(up.Reserve(ctx, reservation("later", "r1", 1)), upstream.ErrDuplicate))
	unseen, err := up.Fence(ctx, "r2")
	is.NoErr(err)
	is.Equal(unseen.Attempt.State, upstream.StateUnseen)

	is.NoErr(up.Reserve(ctx, reservation("release", "r3", 1)))
	is.NoErr(up.Release(ctx, "release"))
	is.True(errors.Is(start("release"), upstream.ErrLapsed))
	is.NoErr(up.Reserve(ctx, reservation("retry", "r3", 1))) // it never ran

	is.NoErr(up.Drain(ctx, 2, true))
	is.True(errors.Is(start("retry"), upstream.ErrLapsed))
	is.True(errors.Is(up.Reserve(ctx, reservation("drained", "", 2)), upstream.ErrLeaving))
	is.NoErr(up.Drain(ctx, 3, false))
	is.True(errors.Is(up.Drain(ctx, 2, true), upstream.ErrStaleEpoch))
	is.True(errors.Is(up.Reserve(ctx, reservation("old", "", 2)), upstream.ErrStaleEpoch))
	is.True(errors.Is(start("unknown"), upstream.ErrAttemptNotFound))
}

// Guards against a second run after a repeated start, and against tasks that outlive their lease.
func TestTasks(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	u, up := newUpstream(t)
	is.NoErr(up.Reserve(ctx, reservation("a", "r", 0)))
	is.NoErr(up.Reserve(ctx, reservation("b", "", 0)))
	is.True(errors.Is(up.Reserve(ctx, reservation("c", "", 0)), upstream.ErrFull))
	u.SetFaults(standin.UpstreamFaults{LoseAnswers: 1})
	task := upstream.Task{AttemptID: "a", Payload: []byte("x"), RunMS: 20}
	is.True(errors.Is(up.Start(ctx, task), upstream.ErrUnreachable))
	is.NoErr(up.Start(ctx, task))
	attempt, err := up.Result(ctx, "a", time.Second)
	is.NoErr(err)
	is.Equal(attempt.State, upstream.StateDone)
	is.Equal(attempt.Answer, standin.Answer([]byte("x"), "u1", "a"))
	is.Equal(len(u.Executions()), 1)

	is.NoErr(up.Start(ctx, upstream.Task{AttemptID: "b", RunMS: 60000}))
	time.Sleep(200 * time.Millisecond)
	unknown, err := up.Renew(ctx, []string{"b", "z"})
	is.NoErr(err)
	is.Equal(unknown, []string{"z"})
	time.Sleep(200 * time.Millisecond)
	attempt, err = up.Result(ctx, "b", 0)
	is.NoErr(err)
	is.Equal(attempt.State, upstream.StateRunning) // it was renewed
	attempt, err = up.Result(ctx, "b", time.Second)
	is.NoErr(err)
	is.Equal(attempt.State, upstream.StateLeaseLapsed)
	log := u.Executions()
	is.True(log[1].AttemptID == "b" && log[1].EndUnixNS > log[1].StartUnixNS && log[0].RequestID == "r")
}

// Guards against a cut or swapped answer that is delivered, and against a checkpoint or throttle without effect.
func TestAnswersAreChecked(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	u, up := newUpstream(t)
	for _, id := range []string{"a", "b"} {
		is.NoErr(up.Reserve(ctx, reservation(id, "", 0)))
		is.NoErr(up.Start(ctx, upstream.Task{AttemptID: id, Payload: []byte(id), RunMS: 1}))
		_, err := up.Result(ctx, id, time.Second)
		is.NoErr(err)
	}
	u.SetFaults(standin.UpstreamFaults{CutAnswers: true})
	_, err := up.Result(ctx, "a", 0)
	is.True(errors.Is(err, upstream.ErrIncomplete))
	is.True(errors.Is(up.Reserve(ctx, reservation("c", "", 0)), upstream.ErrUnreachable))
	u.SetFaults(standin.UpstreamFaults{CrossAnswers: true})
	_, err = up.Result(ctx, "a", 0)
	is.True(errors.Is(err, upstream.ErrMismatched))

	u.SetFaults(standin.UpstreamFaults{})
	is.NoErr(up.Start(ctx, upstream.Task{AttemptID: "c", RunMS: 100}))
	is.NoErr(up.Throttle(ctx, "c", 0))
	time.Sleep(150 * time.Millisecond)
	attempt, err := up.Stop(ctx, "c", true)
	is.NoErr(err)
	is.Equal(attempt.State, upstream.StateCheckpointed)
}

// Guards against a conditional read that hides a change, or that sends the value each time.
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
	for _, known := range []uint64{first, second + 1} { // an unexpected revision is a change as well
		entry, changed, err = store.GetIfChanged(ctx, "k", known)
		is.NoErr(err)
		is.True(changed)
		is.Equal(string(entry.Value), "two")
	}
}
