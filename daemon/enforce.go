package daemon

import (
	"context"
	"sort"
	"sync/atomic"
	"time"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
)

// runningTask is a dispatched task that a change of the bundle may have to stop.
type runningTask struct {
	keyHash string
	team    string
	slots   int
	started time.Time
	cancel  context.CancelFunc
	// host returns the upstream on which the task was last permitted to start.
	host func() string
	// stopped is why the bundle in force had the task stopped.
	stopped atomic.Int32
}

// Reasons for which a bundle stops running tasks.
const (
	notStopped int32 = iota
	stoppedByKey
	stoppedByZone
	stoppedByCap
)

// track registers a dispatched task until the returned function is called.
func (inc *incarnation) track(t *runningTask) (untrack func()) {
	inc.runningMu.Lock()
	defer inc.runningMu.Unlock()
	inc.running[t] = struct{}{}
	return func() {
		inc.runningMu.Lock()
		defer inc.runningMu.Unlock()
		delete(inc.running, t)
	}
}

// enforce stops running work as the bundle says when its key was withdrawn or its availability zone was taken out.
// Work is left to finish by default. Checkpointing is the upstream's part of a stop.
func (inc *incarnation) enforce(s *state) {
	inc.runningMu.Lock()
	defer inc.runningMu.Unlock()
	for t := range inc.running {
		if reason := mustStop(s, t); reason != notStopped {
			t.stopped.Store(reason)
			t.cancel()
		}
	}
}

func mustStop(s *state, t *runningTask) int32 {
	if _, key := s.index.KeyByHash(t.keyHash); key != nil && key.Withdrawn && stops(key.RunningWork) {
		return stoppedByKey
	}
	host := s.index.Host(t.host())
	if host == nil {
		return notStopped
	}
	zone := s.index.Zone(host.Zone)
	if zone != nil && zone.OutOfService && stops(zone.RunningWork) {
		return stoppedByZone
	}
	return notStopped
}

// capInterval is the interval at which running work is compared with lowered caps.
const capInterval = time.Second

// enforceCaps stops the youngest tasks of teams that run more than this host's part of a lowered cap, if the bundle
// asks for that. It runs on the control goroutine.
func (inc *incarnation) enforceCaps() {
	s := inc.loop.state.Load()
	if s == nil || s.index == nil {
		return
	}
	for _, team := range s.index.Bundle.Teams {
		if !stops(team.RunningWork) {
			continue
		}
		if excess := inc.account.InUse(team.Name) - inc.account.Limit(team.Name); excess > 0 {
			inc.stopYoungest(team.Name, excess)
		}
	}
}

func (inc *incarnation) stopYoungest(team string, excess int) {
	inc.runningMu.Lock()
	defer inc.runningMu.Unlock()
	var tasks []*runningTask
	for t := range inc.running {
		if t.team != team {
			continue
		}
		if t.stopped.Load() != notStopped {
			excess -= t.slots
			continue
		}
		tasks = append(tasks, t)
	}
	sort.Slice(tasks, func(i, j int) bool { return tasks[i].started.After(tasks[j].started) })
	for _, t := range tasks {
		if excess <= 0 {
			return
		}
		excess -= t.slots
		t.stopped.Store(stoppedByCap)
		t.cancel()
	}
}

func stops(w bundle.RunningWork) bool {
	return w == bundle.WorkStop || w == bundle.WorkCheckpoint
}

// leave shuts the incarnation down gracefully: no new work, running work ends, the place in the roster is given
// back. The others reclaim its grants. It returns when that is done or ctx ends.
func (inc *incarnation) leave(ctx context.Context) {
	inc.scheduler.Drain()
	inc.waitForTasks(ctx)
	inc.loop.post(control.Leave{})
	select {
	case <-inc.left:
	case <-ctx.Done():
	}
}

func (inc *incarnation) waitForTasks(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		inc.tasks.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
