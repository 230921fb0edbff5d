package daemon

import (
	"sync"
	"time"

	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/dispatch"

	"citrongauge.example/citrongauge/result"
)

// gate decides for one task whether work may start. It implements dispatch.Gate.
type gate struct {
	inc *incarnation
	// keyHash identifies the caller's key; empty on queues that are open to all.
	keyHash string
	mu      sync.Mutex
	// acquired is set while the slots that the scheduler took are not handed to an attempt yet.
	acquired bool
	// lastHost is the upstream that was checked last.
	lastHost string
}

// publishWait bounds the wait for the state of a record that the control goroutine has just adopted.
const (
	publishWait = 50 * time.Millisecond
	publishPoll = time.Millisecond
)

// current returns the state and the permission of the same revision. The core publishes a new permission shortly
// before the daemon publishes the state that belongs to it; a start under the new permission and the old state
// would ignore a key that was just withdrawn.
func (inc *incarnation) current() (*state, control.Permission) {
	deadline := time.Now().Add(publishWait)
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
		time.Sleep(publishPoll)
	}
}

// Check implements dispatch.Gate. It is asked before Reserve and again right before Start.
func (g *gate) Check(task *dispatch.Task, upstreamHost string) error {
	g.setHost(upstreamHost)
	s, permission := g.inc.current()
	if !permission.OK {
		return result.Errorf(result.NoPermission, "%s", permission.Reason)
	}
	if err := g.checkKey(s, task); err != nil {
		return err
	}
	if err := checkUpstream(s, task, upstreamHost); err != nil {
		return err
	}
	if !g.inc.account.Allowed(task.Team) {
		return result.Errorf(result.NoUpstream, "the grant of team %s was lowered", task.Team)
	}
	return nil
}

func (g *gate) setHost(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastHost = host
}

func (g *gate) host() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastHost
}

func (g *gate) checkKey(s *state, task *dispatch.Task) error {
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

// checkUpstream refuses upstreams that were taken out of service since they were chosen.
func checkUpstream(s *state, task *dispatch.Task, host string) error {
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

// Acquire implements dispatch.Gate. The first attempt uses the slots that the scheduler took.
func (g *gate) Acquire(task *dispatch.Task) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.acquired {
		g.acquired = false
		return nil
	}
	if !g.inc.account.TryAcquire(task.Team, task.Size.Slots) {
		return dispatch.ErrNoSlots
	}
	return nil
}

// Release implements dispatch.Gate.
func (g *gate) Release(task *dispatch.Task) {
	g.inc.account.Release(task.Team, task.Size.Slots)
	g.inc.wakeScheduler()
}

// ReleaseAfter implements dispatch.Gate.
func (g *gate) ReleaseAfter(task *dispatch.Task, d time.Duration) {
	g.inc.account.ReleaseAfter(task.Team, task.Size.Slots, time.Now().Add(d))
}

// returnUnused gives slots back that the scheduler took and no attempt used.
func (g *gate) returnUnused(team string, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.acquired {
		return
	}
	g.acquired = false
	g.inc.account.Release(team, slots)
}

var _ dispatch.Gate = (*gate)(nil)
