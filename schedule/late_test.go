package schedule_test

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

// Guards against starting a task elsewhere while a first copy of its start may still be carried out: the first copy
// got no answer, the second one was refused.
func TestRefusalOfASecondCopyDoesNotClearTheFirst(t *testing.T) {
	refusals := map[string]error{
		"unhealthy": &platform.RefusedError{Reason: platform.RefusedUnhealthy},
		"room":      &platform.RefusedError{Reason: platform.RefusedRoom},
		"late":      &platform.RefusedError{Reason: platform.RefusedLate},
		"not sent":  errors.Wrap(platform.ErrNotDone, "dial"),
	}
	for name, refusal := range refusals {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			b.upstream("u-1")
			b.upstream("u-2")
			b.fence(platform.Lists{})
			b.job(1, 1, 1000)
			first := b.decide()
			is.Equal(len(first.starts), 1)
			start := first.starts[0]
			b.core.Started(start, 0, errors.Wrap(platform.ErrUnanswered, "lost"))
			b.at(300 * time.Millisecond)
			second := b.decide()
			is.Equal(len(second.starts), 1)
			is.Equal(second.starts[0].Order.Attempt, start.Order.Attempt)
			b.core.Started(second.starts[0], 0, refusal)
			b.at(300 * time.Millisecond)
			third := b.decide()
			is.Equal(len(third.starts), 0)
			is.Equal(len(third.stops), 1) // makes the first copy harmless
			b.core.Stopped(third.stops[0], 0, nil)
			b.at(100 * time.Millisecond)
			for range 4 {
				next := b.decide()
				for _, look := range append(next.looks, first.looks...) {
					b.answer(look, platform.Lists{})
				}
				first.looks = nil
				b.at(100 * time.Millisecond)
				if len(next.starts) == 1 {
					is.True(next.starts[0].Order.Attempt > start.Order.Attempt)
					return
				}
			}
			t.Fatal("not started again")
		})
	}
}

// Guards against a lease that outlasts what a later owner waits for: the clock of an idle upstream may run 2% slow, so
// a deadline computed from an old reading of it must not be ahead of it.
func TestDeadlinesAreNotAheadOfASlowClock(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.upstream("u-1")
	looks := b.decide().looks
	is.Equal(len(looks), 1)
	const clockMS = 1_000_000
	b.core.Looked(looks[0], platform.Lists{ClockMS: clockMS, Born: 1}, nil)
	const idle = 100 * time.Second
	b.at(idle)
	b.job(1, 1, 1000)
	starts := b.decide().starts
	is.Equal(len(starts), 1)
	slowClock := int64(clockMS + 0.98*float64(idle.Milliseconds()))
	is.True(starts[0].Order.DeadlineMS <= slowClock+testLease.Milliseconds())
}

// Guards against connections to upstreams that are gone, which stay until they idle out: each move of a machine brings a
// new address.
func TestConnectionsToForgottenUpstreamsAreClosed(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.upstream("u-1")
	b.fence(platform.Lists{})
	b.core.UnlistUpstream("u-1")
	var forgotten []schedule.Forget
	for range 40 {
		for _, call := range b.core.Decide() {
			switch call := call.(type) {
			case schedule.Look:
				b.core.Looked(call, platform.Lists{}, platform.ErrUnanswered)
			case schedule.Forget:
				forgotten = append(forgotten, call)
			}
		}
		b.at(100 * time.Millisecond)
	}
	is.Equal(forgotten, []schedule.Forget{{Address: "u-1:1"}})
}
