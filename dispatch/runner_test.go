package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/result"
	"citrongauge.example/citrongauge/routing"
	"citrongauge.example/citrongauge/upstream"
)

// scriptedUpstream is an upstream whose methods a test replaces one by one.
type scriptedUpstream struct {
	upstream.Client
	reserve  func() error
	start    func() error
	result   func(ctx context.Context, id string) (upstream.Attempt, error)
	stop     func(id string) (upstream.Attempt, error)
	renewals atomic.Int32
}

func (s *scriptedUpstream) Reserve(context.Context, upstream.Reservation) error { return s.reserve() }
func (s *scriptedUpstream) Start(context.Context, upstream.Task) error          { return s.start() }
func (s *scriptedUpstream) Release(context.Context, string) error               { return nil }
func (s *scriptedUpstream) Result(ctx context.Context, id string, _ time.Duration) (upstream.Attempt, error) {
	return s.result(ctx, id)
}
func (s *scriptedUpstream) Stop(_ context.Context, id string, _ bool) (upstream.Attempt, error) {
	return s.stop(id)
}
func (s *scriptedUpstream) Renew(context.Context, []string) ([]string, error) {
	s.renewals.Add(1)
	return nil, nil
}

// singleHostStub is a Router with one host and a Gate that allows everything.
type singleHostStub struct{ acquired, released atomic.Int32 }

func (*singleHostStub) Pick(_ string, _ upstream.Size, exclude []string, _ time.Time) (routing.Selection, error) {
	if len(exclude) > 0 {
		return routing.Selection{}, result.Errorf(result.NoUpstream, "")
	}
	return routing.Selection{Host: "h", Zone: "z"}, nil
}
func (*singleHostStub) Done(routing.Selection, routing.Report, time.Time) {}
func (*singleHostStub) RetractFailure(string)                             {}
func (*singleHostStub) Check(*Task, string) error                         { return nil }
func (s *singleHostStub) Acquire(*Task) error                             { s.acquired.Add(1); return nil }
func (s *singleHostStub) Release(*Task)                                   { s.released.Add(1) }
func (s *singleHostStub) ReleaseAfter(*Task, time.Duration)               { s.released.Add(1) }

func newScriptedUpstream() *scriptedUpstream {
	ok := func() error { return nil }
	return &scriptedUpstream{reserve: ok, start: ok}
}

func runTask(ctx context.Context, stub *singleHostStub, s *scriptedUpstream, deadline time.Duration) Answer {
	r := NewRunner(Config{
		Router: stub, Gate: stub, Budget: &routing.RetryBudget{},
		Client: func(string, string) upstream.Client { return s },
	})
	return r.Run(ctx, &Task{RequestID: "r", Deadline: time.Now().Add(deadline)})
}

// TestRunnerAnswersAndRenews checks that the lease of a long task is renewed and that the answer names the upstream,
// the zone and the run time.
func TestRunnerAnswersAndRenews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, stub, s := is.New(t), &singleHostStub{}, newScriptedUpstream()
		end := time.Now().Add(20 * time.Second)
		s.result = func(ctx context.Context, id string) (upstream.Attempt, error) {
			time.Sleep(min(resultWait, time.Until(end)))
			if time.Now().Before(end) {
				return upstream.Attempt{AttemptID: id, State: upstream.StateRunning}, nil
			}
			return upstream.Attempt{AttemptID: id, State: upstream.StateDone, Answer: []byte("a")}, nil
		}
		a := runTask(t.Context(), stub, s, time.Minute)
		is.Equal(a.Code, result.OK)
		is.Equal(string(a.Payload), "a")
		is.Equal(a.Upstream, "h")
		is.Equal(a.Zone, "z")
		is.Equal(a.Times.Run, 20*time.Second)
		is.Equal(s.renewals.Load(), int32(6))
		is.Equal(stub.acquired.Load(), stub.released.Load())
	})
}

// TestRunnerCancel checks that a cancellation does not wait for the end of a long poll, and that a result that was
// complete before the stop is returned.
func TestRunnerCancel(t *testing.T) {
	for _, c := range []struct {
		state upstream.State
		code  result.Code
	}{{upstream.StateStopped, result.CancelledRunning}, {upstream.StateDone, result.OK}} {
		synctest.Test(t, func(t *testing.T) {
			is, stub, s := is.New(t), &singleHostStub{}, newScriptedUpstream()
			s.result = func(ctx context.Context, id string) (upstream.Attempt, error) {
				<-ctx.Done()
				return upstream.Attempt{}, upstream.ErrUnreachable
			}
			s.stop = func(id string) (upstream.Attempt, error) {
				return upstream.Attempt{AttemptID: id, State: c.state}, nil
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			began := time.Now()
			is.Equal(runTask(ctx, stub, s, time.Minute).Code, c.code)
			is.Equal(time.Since(began), time.Second)
			is.Equal(stub.acquired.Load(), stub.released.Load())
		})
	}
}

// TestRunnerDeadline checks that an unresponsive upstream does not delay the answer much beyond the deadline, and that
// the outcome is returned as unknown.
func TestRunnerDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, stub, s := is.New(t), &singleHostStub{}, newScriptedUpstream()
		s.start = func() error { time.Sleep(callTimeout); return upstream.ErrUnreachable }
		s.result = func(context.Context, string) (upstream.Attempt, error) {
			return upstream.Attempt{}, upstream.ErrUnreachable
		}
		began := time.Now()
		is.Equal(runTask(t.Context(), stub, s, 2*time.Second).Code, result.StartAnswerLost)
		is.True(time.Since(began) <= 2*time.Second+resolveTimeout+pollInterval)
		is.Equal(stub.acquired.Load(), stub.released.Load())
	})
}
