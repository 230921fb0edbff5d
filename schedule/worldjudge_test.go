package schedule_test

import (
	"fmt"
	"time"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

// taskTruth is what upstreams have seen of a task.
type taskTruth struct {
	doneAcked bool // an end as done was acknowledged, with no lapse between
	done      bool
	failed    int // acknowledged ends as failed
}

func (w *world) fail(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
	}
}

func (w *world) truth(id job.TaskID) *taskTruth {
	if w.tasks[id] == nil {
		w.tasks[id] = &taskTruth{}
	}
	return w.tasks[id]
}

// judgeRemoval checks that only ended jobs are removed, after the time for which they are to be known.
func (w *world) judgeRemoval(s *storedJob) {
	if s.progress == nil || !s.progress.Phase.Terminal() {
		w.fail("LOST: job %s removed before its end was stored", s.job.ID)
		return
	}
	if w.now.Milliseconds() < s.progress.EndedMS+testBounds.Retention.Milliseconds() {
		w.fail("LOST: job %s removed too early", s.job.ID)
	}
}

// judgeAck notes that an end was acknowledged.
func (w *world) judgeAck(end hostEnd) {
	truth := w.truth(end.Task)
	switch end.Kind {
	case platform.EndDone:
		truth.doneAcked = truth.doneAcked || !end.lapsed
	case platform.EndFailed:
		truth.failed++
	}
}

// judgeStart checks a start against the rules.
func (w *world) judgeStart(h *host, o platform.StartOrder) {
	w.starts++
	truth := w.truth(o.Task)
	s := w.stored[o.Task.Job]
	if s == nil {
		w.fail("UNASKED: %s of a job that nobody submitted", o.Task)
		return
	}
	if o.Spec != s.job.Spec {
		w.fail("UNASKED: %s with another spec", o.Task)
	}
	for _, other := range w.hosts {
		if !other.dead && other.running[o.Task] != nil {
			w.fail("TWICE: %s attempt %d on %s while attempt %d runs on %s", o.Task, o.Attempt, h.id,
				other.running[o.Task].attempt, other.id)
		}
	}
	if truth.doneAcked {
		w.fail("TWICE: %s attempt %d on %s after an acknowledged end as done", o.Task, o.Attempt, h.id)
	}
	step := s.job.Steps[o.Task.Step]
	if !step.LongRunning && truth.failed >= testJobQueue().MaxAttempts {
		w.fail("BUDGET: %s attempt %d after %d failures", o.Task, o.Attempt, truth.failed)
	}
	// The users' bound does not hold for orders that an upstream carried out late.
	if s.cancelled && !w.late && w.now > s.cancelAt+3*time.Second {
		w.fail("UNASKED: %s started %v after its cancelling", o.Task, w.now-s.cancelAt)
	}
	for _, earlier := range step.After {
		for i := range s.job.Steps[earlier].Count {
			id := job.TaskID{Job: s.job.ID, Step: earlier, Index: i}
			if !w.truth(id).done {
				w.fail("ORDER: %s started before %s was done", o.Task, id)
			}
		}
	}
	w.judgeRoom(h, o, step)
}

func (w *world) judgeRoom(h *host, o platform.StartOrder, step job.Step) {
	used := step.Room()
	for _, r := range h.running {
		used = used.Add(r.room)
	}
	if used.MilliCPU > worldCPU {
		w.fail("LIMIT: %s on %s brings %d of %d", o.Task, h.id, used.MilliCPU, worldCPU)
	}
	total := step.Request
	for _, other := range w.hosts {
		if other.dead {
			continue
		}
		for _, r := range other.running {
			total = total.Add(r.step.Request)
		}
	}
	// The users allow a tenth and one task more.
	if w.caps.MilliCPU > 0 && total.MilliCPU > w.caps.MilliCPU*11/10+step.Request.MilliCPU {
		w.fail("QUOTA: %s brings %d of %d", o.Task, total.MilliCPU, w.caps.MilliCPU)
	}
}
