package daemon

import (
	"context"
	"sort"
	"sync/atomic"
	"time"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
)

// runningTask is a dispatched task that a change of the bundle may stop.
type runningTask struct {
	keyHash string
	team    string
	slots   int
	started time.Time
	cancel  context.CancelFunc
	// upstreamHost returns the upstream host that the gate checked last.
	upstreamHost func() string
	// stopCause is the reason for which the task was stopped, or notStopped.
	stopCause atomic.Int32
}

// Causes for which a running task is stopped.
const (
	notStopped int32 = iota
	stoppedByKey
	stoppedByZone
	stoppedByCap
)

// track registers a dispatched task. The returned function removes it.
func (inc *incarnation) track(t *runningTask) (untrack func()) {
	inc.runningMu.Lock()
	defer inc.runningMu.Unlock()
	inc.runningTasks[t] = struct{}{}
	return func() {
		inc.runningMu.Lock()
		defer inc.runningMu.Unlock()
		delete(inc.runningTasks, t)
	}
}

// enforceWithdrawals stops running tasks whose key was withdrawn or whose availability zone was taken out of service,
// if the bundle asks for that. By default running work is left to finish. Checkpointing is done by the upstream as
// part of a stop.
func (inc *incarnation) enforceWithdrawals(s *controlState) {
	inc.runningMu.Lock()
	defer inc.runningMu.Unlock()
	for t := range inc.runningTasks {
		if cause := findStopCause(s, t); cause != notStopped {
			t.stopCause.Store(cause)
			t.cancel()
		}
	}
}

// findStopCause returns the reason for which the bundle requires a running task to be stopped, or notStopped.
func findStopCause(s *controlState, t *runningTask) int32 {
	if _, key := s.index.KeyByHash(t.keyHash); key != nil && key.Withdrawn && mustStopWork(key.RunningWork) {
		return stoppedByKey
	}
	host := s.index.Host(t.upstreamHost())
	if host == nil {
		return notStopped
	}
	zone := s.index.Zone(host.Zone)
	if zone != nil && zone.OutOfService && mustStopWork(zone.RunningWork) {
		return stoppedByZone
	}
	return notStopped
}

// capCheckInterval is the interval at which running work is compared with lowered caps.
const capCheckInterval = time.Second

// enforceCaps stops the youngest tasks of teams that hold more slots than this host's limit because their cap was
// lowered, if the bundle asks for that. It runs on the control goroutine.
func (inc *incarnation) enforceCaps() {
	s := inc.loop.state.Load()
	if s == nil || s.index == nil {
		return
	}
	for _, team := range s.index.Bundle.Teams {
		if !mustStopWork(team.RunningWork) {
			continue
		}
		if excess := inc.slotLimiter.InUse(team.Name) - inc.slotLimiter.Limit(team.Name); excess > 0 {
			inc.stopYoungest(team.Name, excess)
		}
	}
}

func (inc *incarnation) stopYoungest(team string, excess int) {
	inc.runningMu.Lock()
	defer inc.runningMu.Unlock()
	var tasks []*runningTask
	for t := range inc.runningTasks {
		if t.team != team {
			continue
		}
		if t.stopCause.Load() != notStopped {
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
		t.stopCause.Store(stoppedByCap)
		t.cancel()
	}
}

// mustStopWork reports whether a policy requires running work to be stopped, with or without a checkpoint.
func mustStopWork(w bundle.RunningWorkPolicy) bool {
	return w == bundle.WorkStop || w == bundle.WorkCheckpoint
}

// leave shuts the incarnation down gracefully: it rejects new requests, waits for running work to finish and leaves
// the roster. The other hosts then reclaim its grants. It returns when that is done or ctx ends.
func (inc *incarnation) leave(ctx context.Context) {
	inc.scheduler.Drain()
	inc.waitForRequests(ctx)
	inc.loop.post(control.Leave{})
	select {
	case <-inc.leftRoster:
	case <-ctx.Done():
	}
}

func (inc *incarnation) waitForRequests(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		inc.activeRequests.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
