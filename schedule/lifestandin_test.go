package schedule_test

import (
	"slices"
	"time"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

// life is one life of an upstream.
type life struct {
	born        int64
	since       time.Duration
	clockAtBorn int64
	deadline    int64 // of its lease, on its clock
	running     []lifeRun
	ended       []platform.EndedRun
	seq         uint64 // of its last end
	listed      uint64 // last end that an answer has listed
	token       uint64 // highest that it has seen
	// barred are the highest attempts that have been stopped or ended; nil: none.
	barred map[job.TaskID]uint64
}

// bar has starts of a task rejected up to an attempt.
func (l *life) bar(task job.TaskID, attempt uint64) {
	if l.barred == nil {
		l.barred = map[job.TaskID]uint64{}
	}
	l.barred[task] = max(l.barred[task], attempt)
}

// sees reports whether the life carries out a call with the token.
func (l *life) sees(token uint64) bool {
	isNew := token >= l.token
	l.token = max(l.token, token)
	return isNew
}

var rejectedFence = &platform.RejectedError{Reason: platform.RejectedFence}

type lifeRun struct {
	task    job.TaskID
	attempt uint64
	until   time.Duration // 0: it does not end
}

func (l *life) stop(call schedule.Stop) error {
	if !l.sees(call.Command.Token) {
		return rejectedFence
	}
	l.endRuns(platform.EndStopped, func(r lifeRun) bool { return r.task == call.Command.Task && r.attempt <= call.Command.Attempt })
	l.bar(call.Command.Task, call.Command.Attempt)
	return nil
}

func (l *life) clock(now time.Duration) int64 { return l.clockAtBorn + (now - l.since).Milliseconds() }

func (l *life) extendLease(now time.Duration, deadline int64) {
	l.deadline = max(l.deadline, min(deadline, l.clock(now)+testBounds.MaxLease.Milliseconds()))
}

func (l *life) runs(id job.TaskID) bool {
	return slices.ContainsFunc(l.running, func(r lifeRun) bool { return r.task == id })
}

func (l *life) list() []platform.CurrentRun {
	var rows []platform.CurrentRun
	for _, r := range l.running {
		rows = append(rows, platform.CurrentRun{Task: r.task, Attempt: r.attempt, Percent: 100})
	}
	return rows
}

// tick ends the runs that are due, and all runs when the lease has expired.
func (l *life) tick(now time.Duration) {
	l.endRuns(platform.EndDone, func(r lifeRun) bool { return r.until > 0 && now >= r.until })
	if l.clock(now) > l.deadline {
		l.endRuns(platform.EndLeaseExpired, func(lifeRun) bool { return true })
	}
}

func (l *life) endRuns(kind platform.EndKind, ends func(lifeRun) bool) {
	running := l.running
	l.running = nil
	for _, r := range running {
		if !ends(r) {
			l.running = append(l.running, r)
			continue
		}
		l.seq++
		l.bar(r.task, r.attempt)
		l.ended = append(l.ended, platform.EndedRun{Seq: l.seq, Task: r.task, Attempt: r.attempt, Kind: kind})
	}
}
