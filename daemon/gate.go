package daemon

import (
	"sync"
	"time"

	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/dispatch"

	"citrongauge.example/citrongauge/result"
)

// gate decides whether one task may start work. It implements dispatch.Gate.
type gate struct {
	inc *incarnation
	// keyHash is the hash of the caller's key. It is empty if there is none, which open queues allow.
	keyHash string
	mu      sync.Mutex
	// acquired is set while the slots that the scheduler acquired are not used by an attempt yet.
	acquired bool
	// lastUpstream is the upstream host that was checked last.
	lastUpstream string
}

// statePublishTimeout bounds the wait until the control goroutine has published the state of a record that the core
// has just adopted.
const (
	statePublishTimeout      = 50 * time.Millisecond
	statePublishPollInterval = time.Millisecond
)

// currentState returns the state and the permission of the same revision. The core publishes a new permission shortly
// before the daemon publishes the state that belongs to it. A start under the new permission and the old state would
// ignore a key that was just withdrawn.
func (inc *incarnation) currentState() (*controlState, control.Permission) {
	deadline := time.Now().Add(statePublishTimeout)
	for {
		s := inc.loop.state.Load()
		permission := inc.loop.core.Permission(time.Now())
		if s == nil || s.index == nil {
			return nil, control.Permission{Reason: "no bundle"}
		}
		if permission.Revision == s.record.Revision {
			return s, permission
		}
		if time.Now().After(deadline) {
			return s, control.Permission{Reason: "a new record is being adopted"}
		}
		time.Sleep(statePublishPollInterval)
	}
}

// Check implements dispatch.Gate. It is called before Reserve and again right before Start.
func (g *gate) Check(task *dispatch.Task, upstreamHost string) error {
	g.setUpstreamHost(upstreamHost)
	s, permission := g.inc.currentState()
	if !permission.OK {
		return result.Errorf(result.NoPermission, "%s", permission.Reason)
	}
	if err := g.checkAccess(s, task); err != nil {
		return err
	}
	if err := checkUpstream(s, task, upstreamHost); err != nil {
		return err
	}
	if !g.inc.slotLimiter.WithinLimit(task.Team) {
		return result.Errorf(result.NoUpstream, "the grant of team %s was lowered", task.Team)
	}
	return nil
}

func (g *gate) setUpstreamHost(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastUpstream = host
}

func (g *gate) upstreamHost() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastUpstream
}

// checkAccess checks that the queue still belongs to the task's pool and that the caller may still use it.
func (g *gate) checkAccess(s *controlState, task *dispatch.Task) error {
	queue := s.index.Queue(task.Queue)
	if queue == nil || queue.Pool != task.Pool {
		return result.Errorf(result.QueueUnknown, "%s", task.Queue)
	}
	if g.keyHash == "" {
		if !queue.Open || queue.OpenTeam != task.Team {
			return result.Errorf(result.KeyUnknown, "queue %s is not open to all", queue.Name)
		}
		return nil
	}
	team, key := s.index.KeyByHash(g.keyHash)
	switch {
	case key == nil || team.Name != task.Team:
		return result.Errorf(result.KeyUnknown, "")
	case key.Withdrawn:
		return result.Errorf(result.KeyWithdrawn, "%s", key.ID)
	case !queue.MayUse(team.Name):
		return result.Errorf(result.TeamNotAllowed, "team %s, queue %s", team.Name, queue.Name)
	}
	return nil
}

// checkUpstream rejects an upstream host that was taken out of service after it was chosen.
func checkUpstream(s *controlState, task *dispatch.Task, host string) error {
	a, ok := s.assignments[host]
	if !ok || a.Pool != task.Pool || a.State != control.InService {
		return result.Errorf(result.NoUpstream, "host %s is not in service in pool %s", host, task.Pool)
	}
	h := s.index.Host(host)
	if h == nil {
		return result.Errorf(result.NoUpstream, "host %s is not in the bundle", host)
	}
	zone := s.index.Zone(h.Zone)
	if zone == nil || zone.OutOfService {
		return result.Errorf(result.ZoneOutOfService, "availability zone %s", h.Zone)
	}
	return nil
}

// Acquire implements dispatch.Gate. The first attempt uses the slots that the scheduler acquired.
func (g *gate) Acquire(task *dispatch.Task) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.acquired {
		g.acquired = false
		return nil
	}
	if !g.inc.slotLimiter.TryAcquire(task.Team, task.Size.Slots) {
		return dispatch.ErrNoSlots
	}
	return nil
}

// Release implements dispatch.Gate.
func (g *gate) Release(task *dispatch.Task) {
	g.inc.slotLimiter.Release(task.Team, task.Size.Slots)
	g.inc.wakeScheduler()
}

// ReleaseAfter implements dispatch.Gate.
func (g *gate) ReleaseAfter(task *dispatch.Task, d time.Duration) {
	g.inc.slotLimiter.ReleaseAt(task.Team, task.Size.Slots, time.Now().Add(d))
}

// releaseUnused releases the slots that the scheduler acquired if no attempt used them.
func (g *gate) releaseUnused(team string, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.acquired {
		return
	}
	g.acquired = false
	g.inc.slotLimiter.Release(team, slots)
}

var _ dispatch.Gate = (*gate)(nil)
