package schedule_test

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

// Guards against looks without an answer extending the lease of an upstream for ever: its tasks were never started
// elsewhere (LOST on a drawn day of kainlena: a long-running task did not run for 14 s).
func TestUnansweredLooksDoNotExtendTheLease(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.upstream("u-1")
	b.fence(platform.Lists{})
	b.job(1, 1, 1000)
	first := b.decide()
	is.Equal(len(first.starts), 1)
	b.accept(first.starts)
	b.upstream("u-2")
	deadline := b.now + testLease + time.Second
	restarted := false
	looks := first.looks
	for b.now < deadline && !restarted {
		for _, look := range looks {
			if look.Target.ID == "u-1" {
				b.core.Looked(look, platform.Lists{}, errors.Wrap(platform.ErrUnanswered, "dark"))
			} else {
				b.answer(look, platform.Lists{})
			}
		}
		b.at(50 * time.Millisecond)
		next := b.decide()
		looks = next.looks
		for _, start := range next.starts {
			is.Equal(start.Target.ID, "u-2")
			is.True(start.Order.Attempt > first.starts[0].Order.Attempt)
			restarted = true
		}
	}
	is.True(restarted) // within the lease and a second
}

// Guards against starts beside runs whose room is not known: an upstream that still ran tasks of ended jobs after a
// change of owner was brought over its capacity (LIMIT on karri trouble-3).
func TestRunsOfUnknownJobsKeepStartsAway(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.upstream("u-1")
	foreign := platform.Running{Task: job.TaskID{Job: "00000000000000ff"}, Attempt: 1}
	b.fence(platform.Lists{Running: []platform.Running{foreign}})
	b.job(1, 1, 1000)
	next := b.decide()
	is.Equal(len(next.starts), 0)
	is.Equal(len(next.looks), 1) // until it has ended
	b.answer(next.looks[0], platform.Lists{})
	b.at(100 * time.Millisecond)
	is.Equal(len(b.decide().starts), 1)
}

// Guards against an owner that takes upstreams for unreachable that are gone: it yielded every 1.6 s, to itself, and
// what may have run unseen was never started (LOST on hunt-11bb-3 of kainlena).
func TestUpstreamsWithoutAnEntryAreNotMissed(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	for _, id := range []string{"gone-1", "gone-2", "gone-3"} {
		b.core.Inherit(platform.Upstream{ID: id, Pool: testPool, Address: id + ":1"})
	}
	b.upstream("u-1")
	for _, look := range b.decide().looks {
		if look.Target.ID == "u-1" {
			b.answer(look, platform.Lists{})
		} else {
			b.core.Looked(look, platform.Lists{}, platform.ErrUnanswered)
		}
	}
	listed, answering := b.core.Upstreams()
	is.Equal(listed, 1)
	is.Equal(answering, 1)
}

// Guards against tasks that wait for the lease of an earlier owner though they cannot run anywhere: one unreachable
// upstream held up all tasks of the steps that had a task there (karri-sched scale-1, 35 s to 40 s).
func TestOnlyUnseenTasksWaitAfterATakeover(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.upstream("u-1")
	dark := platform.Upstream{
		ID: "u-dark", Pool: testPool, Address: "u-dark:1", Zone: "a", Born: 1, Capacity: job.Resources{MilliCPU: 16000, MemoryMB: 64000},
	}
	b.core.Inherit(dark)
	progress := job.Progress{Phase: job.Active, Parts: []job.PartProgress{{}}}
	progress.Parts[0].Place(0, "u-dark")
	progress.Parts[0].Place(1, "u-1")
	id := job.ID("0000000000000001")
	b.core.AddJob(&job.Job{
		ID: id, Team: testTeam, Queue: testJobQueue(), Spec: "s", AcceptedMS: b.now.Milliseconds(),
		Steps: []job.Step{{Count: 3, Request: job.Resources{MilliCPU: 1000}, Estimate: time.Second}},
	}, 1, true, &progress, false)
	started := map[int]time.Duration{}
	for end := b.now + testLease + 2*time.Second; b.now < end; b.at(50 * time.Millisecond) {
		next := b.decide()
		for _, start := range next.starts {
			if _, known := started[start.Order.Task.Index]; !known {
				started[start.Order.Task.Index] = b.now
			}
		}
		for _, look := range next.looks {
			if look.Target.ID == "u-dark" {
				b.core.Looked(look, platform.Lists{}, errors.Wrap(platform.ErrUnanswered, "dark"))
			} else {
				b.answer(look, platform.Lists{})
			}
		}
	}
	is.Equal(len(started), 3)
	is.True(started[1] < time.Hour+time.Second)
	is.True(started[2] < time.Hour+time.Second)
	is.True(started[0] > time.Hour+testLease) // it may have run on u-dark until then
}
