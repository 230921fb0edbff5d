package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

// contradictions are entries under the ID of an upstream that the upstream itself cannot have written.
func contradictions() map[string]platform.Upstream {
	entries := map[string]platform.Upstream{}
	for name, change := range map[string]func(*platform.Upstream){
		"unknown pool":                func(u *platform.Upstream) { u.Pool = "nobody-knows" },
		"unknown pool, later start":   func(u *platform.Upstream) { u.Pool, u.StartedMS = "nobody-knows", 2 },
		"another pool, same start":    func(u *platform.Upstream) { u.Pool = "other" },
		"another pool, no start":      func(u *platform.Upstream) { u.Pool, u.StartedMS = "other", 0 },
		"another address, same start": func(u *platform.Upstream) { u.Address = "u-9:1" },
	} {
		entry := upstreamEntry("u-1", 16000)
		change(&entry)
		entries[name] = entry
	}
	return entries
}

func (h *harness) setPools() {
	h.core.SetBundle(&platform.Bundle{
		Version: 2, Revision: 2, Queues: []platform.BundleQueue{{Queue: testJobQueue()}},
		Pools: []platform.BundlePool{{Name: testPool}, {Name: "other"}}, Teams: []platform.BundleTeam{{Name: testTeam, Weight: 1}},
	})
}

// Guards against an entry of another writer under the ID of an upstream at work: its runs were given up and their tasks
// started elsewhere, while the upstream still worked on them (TWICE, review/REPORT.md).
func TestEntryOfAnotherWriterDoesNotEndRuns(t *testing.T) {
	for name, odd := range contradictions() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			h.setPools()
			h.addUpstream("u-1")
			h.fenceAll(platform.PollResult{})
			h.addUniformJob(1, 2, 1000)
			first := h.decide()
			is.Equal(len(first.starts), 2)
			h.acceptStarts(first.starts)
			h.addUpstream("u-2")
			running := map[string][]platform.CurrentRun{}
			answer := func(c calls) {
				for _, start := range c.starts {
					run := platform.CurrentRun{Task: start.Command.Task, Attempt: start.Command.Attempt}
					running[start.Target.ID] = append(running[start.Target.ID], run)
				}
				for _, poll := range c.polls {
					h.answerPoll(poll, platform.PollResult{Running: running[poll.Target.ID]})
				}
				h.advance(100 * time.Millisecond)
			}
			answer(first)
			h.core.SetUpstream(odd)
			h.addUniformJob(2, 1, 1000)
			for range 20 {
				c := h.decide()
				for _, start := range c.starts {
					is.Equal(start.Target.ID, "u-2") // the upstream is not used while its entry is odd
					is.Equal(start.Command.Task.Job, job.ID("0000000000000002"))
				}
				h.acceptStarts(c.starts)
				answer(c)
			}
			is.Equal(h.core.Stats().Starts, 3)
			h.core.SetUpstream(upstreamEntry("u-1", 16000)) // its own entry
			h.addUniformJob(3, 2, 13000)
			is.Equal(len(h.decide().starts), 2) // one on each upstream
		})
	}
}

// Guards against the same at a change of owner: the new one knows the upstream from the roster.
func TestEntryOfAnotherWriterDoesNotHideInheritedUpstream(t *testing.T) {
	for name, odd := range contradictions() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			h.setPools()
			h.core.InheritUpstream(upstreamEntry("u-1", 16000))
			h.addUpstream("u-2")
			progress := job.Progress{Parts: []job.PartProgress{{}}}
			progress.Parts[0].RecordPlacement(0, "u-1")
			h.inheritJob("00000000000000aa", job.Step{Count: 1, Request: job.Resources{MilliCPU: 1000}, Estimate: time.Second}, progress)
			h.core.SetUpstream(odd)
			adopted := platform.CurrentRun{Task: job.TaskID{Job: "00000000000000aa"}, Attempt: 1}
			for range 20 {
				c := h.decide()
				is.Equal(len(c.starts), 0)
				for _, poll := range c.polls {
					switch poll.Target {
					case platform.Target{ID: "u-1", Address: "u-1:1"}:
						h.answerPoll(poll, platform.PollResult{Running: []platform.CurrentRun{adopted}})
					default:
						h.answerPoll(poll, platform.PollResult{})
					}
				}
				h.advance(100 * time.Millisecond)
			}
		})
	}
}

// Guards against an upstream that has started anew in another pool, or at another address, and is never used.
func TestUpstreamThatStartsAnewElsewhereIsUsed(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.setPools()
	h.addUpstream("u-1")
	h.fenceAll(platform.PollResult{})
	h.addUniformJob(1, 1, 1000)
	h.acceptStarts(h.decide().starts)
	restarted := upstreamEntry("u-1", 16000)
	restarted.Address, restarted.StartedMS = "u-9:1", 2
	h.core.SetUpstream(restarted)
	h.core.RosterStored(h.core.TakeRosterChange())
	for _, poll := range h.decide().polls {
		h.core.HandlePollResult(poll, platform.PollResult{StartedMS: 2, ClockMS: 1}, nil)
	}
	starts := h.decide().starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Target.Address, "u-9:1")
}

// Guards against an upstream that is never used because its first entry seen was another writer's: it takes the place of
// that one once nothing runs there.
func TestOwnEntryTakesThePlaceOfAnotherWriters(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.setPools()
	odd := upstreamEntry("u-1", 16000)
	odd.Address, odd.StartedMS = "u-9:1", 0
	own := odd
	own.Address = "u-1:1"
	h.core.SetUpstream(odd)
	h.core.RosterStored(h.core.TakeRosterChange())
	h.core.SetUpstream(own)
	for range 100 {
		h.core.RosterStored(h.core.TakeRosterChange())
		for _, poll := range h.decide().polls {
			if poll.Target.Address == "u-1:1" {
				h.answerPoll(poll, platform.PollResult{})
			} else {
				h.core.HandlePollResult(poll, platform.PollResult{}, lostStart)
			}
		}
		h.advance(100 * time.Millisecond)
	}
	h.addUniformJob(1, 1, 1000)
	starts := h.decide().starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Target.Address, "u-1:1")
}
