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

// scripted is an upstream whose calls a test replaces one by one.
type scripted struct {
	upstream.Client
	reserve func() error
	start   func() error
	result  func(ctx context.Context, id string) (upstream.Attempt, error)
	stop    func(id string) (upstream.Attempt, error)
	renewed atomic.Int32
}

func (s *scripted) Reserve(context.Context, upstream.Reservation) error { return s.reserve() }
func (s *scripted) Start(context.Context, upstream.Task) error          { return s.start() }
func (s *scripted) Release(context.Context, string) error               { return nil }
func (s *scripted) Result(ctx context.Context, id string, _ time.Duration) (upstream.Attempt, error) {
	return s.result(ctx, id)
}
func (s *scripted) Stop(_ context.Context, id string, _ bool) (upstream.Attempt, error) {
	return s.stop(id)
}
func (s *scripted) Renew(context.Context, []string) ([]string, error) {
	s.renewed.Add(1)
	return nil, nil
}

// oneHost is a Router and a Gate of one host that allow everything.
type oneHost struct{ held, released atomic.Int32 }

func (*oneHost) Pick(_ string, _ upstream.Size, exclude []string, _ time.Time) (routing.Candidate, error) {
	if len(exclude) > 0 {
		return routing.Candidate{}, result.Errorf(result.NoUpstream, "")
	}
	return routing.Candidate{Host: "h", Zone: "z"}, nil
}
func (*oneHost) Done(routing.Candidate, routing.Report, time.Time) {}
func (*oneHost) Absolve(string)                                    {}
func (*oneHost) Check(*Task, string) error                         { return nil }
func (o *oneHost) Acquire(*Task) error                             { o.held.Add(1); return nil }
func (o *oneHost) Release(*Task)                                   { o.released.Add(1) }
func (o *oneHost) ReleaseAfter(*Task, time.Duration)               { o.released.Add(1) }

func newScripted() *scripted {
	ok := func() error { return nil }
	return &scripted{reserve: ok, start: ok}
}

func runAt(ctx context.Context, host *oneHost, s *scripted, deadline time.Duration) Answer {
	r := NewRunner(Config{
		Router: host, Gate: host, Budget: &routing.RetryBudget{},
		Client: func(string, string) upstream.Client { return s },
	})
	return r.Run(ctx, &Task{RequestID: "r", Deadline: time.Now().Add(deadline)})
}

// Guards against leases that lapse under a long task, and against an answer without its place and times.
func TestRunnerAnswersAndRenews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, host, s := is.New(t), &oneHost{}, newScripted()
		end := time.Now().Add(20 * time.Second)
		s.result = func(ctx context.Context, id string) (upstream.Attempt, error) {
			time.Sleep(min(resultWait, time.Until(end)))
			if time.Now().Before(end) {
				return upstream.Attempt{AttemptID: id, State: upstream.StateRunning}, nil
			}
			return upstream.Attempt{AttemptID: id, State: upstream.StateDone, Answer: []byte("a")}, nil
		}
		a := runAt(t.Context(), host, s, time.Minute)
		is.Equal(a.Code, result.OK)
		is.Equal(string(a.Payload), "a")
		is.Equal(a.Upstream, "h")
		is.Equal(a.Zone, "z")
		is.Equal(a.Times.Run, 20*time.Second)
		is.Equal(s.renewed.Load(), int32(6))
		is.Equal(host.held.Load(), host.released.Load())
	})
}

// Guards against a cancellation that waits for the end of a long poll, or that hides a result that came first.
func TestRunnerCancel(t *testing.T) {
	for _, c := range []struct {
		state upstream.State
		code  result.Code
	}{{upstream.StateStopped, result.CancelledRunning}, {upstream.StateDone, result.OK}} {
		synctest.Test(t, func(t *testing.T) {
			is, host, s := is.New(t), &oneHost{}, newScripted()
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
			is.Equal(runAt(ctx, host, s, time.Minute).Code, c.code)
			is.Equal(time.Since(began), time.Second)
			is.Equal(host.held.Load(), host.released.Load())
		})
	}
}

// Guards against a deadline that a silent upstream delays: the outcome is unknown, and is answered as such.
func TestRunnerDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, host, s := is.New(t), &oneHost{}, newScripted()
		s.start = func() error { time.Sleep(callTimeout); return upstream.ErrUnreachable }
		s.result = func(context.Context, string) (upstream.Attempt, error) {
			return upstream.Attempt{}, upstream.ErrUnreachable
		}
		began := time.Now()
		is.Equal(runAt(t.Context(), host, s, 2*time.Second).Code, result.StartAnswerLost)
		is.True(time.Since(began) <= 2*time.Second+settleTime+pollInterval)
		is.Equal(host.held.Load(), host.released.Load())
	})
}
