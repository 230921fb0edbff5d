package admission

import (
	"hash/maphash"
	"sort"
	"sync"
	"time"

	"citrongauge.example/citrongauge/result"
	"citrongauge.example/citrongauge/upstream"
)

// UrgentWaitLimit is how long an urgent request waits before running requests of teams above their entitlement are
// preempted for it.
const UrgentWaitLimit = 1500 * time.Millisecond

// poolFullBackoff is how long the release of requests for a pool pauses after one of them was requeued.
const poolFullBackoff = 20 * time.Millisecond

// PoolConfig is the configuration of a pool.
type PoolConfig struct {
	// Capacity is the total capacity of the hosts that are in service.
	Capacity upstream.Size
}

// Config is the part of the bundle and the control record that the scheduler uses.
type Config struct {
	Pools map[string]PoolConfig
	// Weights are the fairness weights of the teams.
	Weights map[string]int
}

// Request describes a request to the scheduler.
type Request struct {
	Team        string
	Pool        string
	Size        upstream.Size
	Urgent      bool
	Preemptible bool
	Deadline    time.Time
	MaxQueued   int // number of waiting requests of the team on the pool from which further ones are rejected
}

// Ticket tracks a request from Enqueue to End or Cancel.
type Ticket struct {
	Request Request
	// Ready is closed when the request may be dispatched.
	Ready chan struct{}
	// Preempt is closed when the running request is preempted: its team is above its entitlement and an urgent
	// request of another team needs the capacity.
	Preempt  chan struct{}
	state    ticketState
	enqueued time.Time
	started  time.Time
	queue    *teamQueue
}

type ticketState int

const (
	ticketWaiting ticketState = iota
	ticketRunning
	ticketEnded
)

// teamQueue holds the waiting and running requests of a team on one pool.
type teamQueue struct {
	pool    string
	team    string
	urgent  []*Ticket
	normal  []*Ticket
	running map[*Ticket]struct{}
	use     upstream.Size
	waiting upstream.Size
	// meanRunTime is the moving average of the run times, zero until the first request has ended.
	meanRunTime time.Duration
}

func (q *teamQueue) waitingCount() int { return len(q.urgent) + len(q.normal) }

func (q *teamQueue) head() *Ticket {
	if len(q.urgent) > 0 {
		return q.urgent[0]
	}
	if len(q.normal) > 0 {
		return q.normal[0]
	}
	return nil
}

// Scheduler holds the queues of one entry host. It is safe for concurrent use.
type Scheduler struct {
	mu     sync.Mutex
	config Config
	// acquire takes slots of a team's grant. It returns false if too few slots are left.
	acquire   func(team string, slots int) bool
	queues    map[LoadKey]*teamQueue
	peerLoads map[string]peerLoad
	// blockedUntil holds, per pool, the time until which no request is released after one was requeued.
	blockedUntil map[string]time.Time
	draining     bool
	ditherSeed   maphash.Seed
}

// New returns a scheduler that takes slots of a team's grant with acquire.
func New(acquire func(team string, slots int) bool) *Scheduler {
	return &Scheduler{
		acquire:      acquire,
		queues:       make(map[LoadKey]*teamQueue),
		peerLoads:    make(map[string]peerLoad),
		blockedUntil: make(map[string]time.Time),
		ditherSeed:   maphash.MakeSeed(),
	}
}

// Configure replaces the pools and the team weights.
func (s *Scheduler) Configure(config Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = config
}

// Drain makes the scheduler reject new requests.
func (s *Scheduler) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// SetPeerLoad replaces the load report of another host or zone.
func (s *Scheduler) SetPeerLoad(source string, receivedAt time.Time, loads []Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerLoads[source] = peerLoad{receivedAt: receivedAt, loads: loads}
}

// Enqueue adds a request to its queue. It rejects the request while draining, if its queue is full, and, unless it is
// urgent, if the expected wait exceeds its deadline.
func (s *Scheduler) Enqueue(now time.Time, r Request) (*Ticket, *result.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return nil, result.Errorf(result.ShuttingDown, "")
	}
	q := s.queue(LoadKey{r.Pool, r.Team})
	wait := s.estimateWait(q)
	if q.waitingCount() >= r.MaxQueued {
		err := result.Errorf(result.QueueFull, "%d requests of team %s wait for pool %s", q.waitingCount(), r.Team, r.Pool)
		err.RetryAfter = wait
		return nil, err
	}
	if !r.Urgent && now.Add(wait).After(r.Deadline) {
		err := result.Errorf(result.DeadlineTooShort, "expected wait %v, deadline in %v", wait, r.Deadline.Sub(now))
		err.RetryAfter = wait
		return nil, err
	}
	t := &Ticket{Request: r, Ready: make(chan struct{}), Preempt: make(chan struct{}), enqueued: now, queue: q}
	q.push(t)
	return t, nil
}

func (q *teamQueue) push(t *Ticket) {
	if t.Request.Urgent {
		q.urgent = append(q.urgent, t)
	} else {
		q.normal = append(q.normal, t)
	}
	q.waiting = addSize(q.waiting, t.Request.Size)
}

func (s *Scheduler) queue(key LoadKey) *teamQueue {
	q, ok := s.queues[key]
	if !ok {
		q = &teamQueue{pool: key.Pool, team: key.Team, running: make(map[*Ticket]struct{})}
		s.queues[key] = q
	}
	return q
}

// estimateWait estimates the wait of a new request from the length of the queue, the number of running requests and
// the mean run time. It returns zero until the first request of the queue has ended.
func (s *Scheduler) estimateWait(q *teamQueue) time.Duration {
	if q.meanRunTime == 0 || q.waitingCount() == 0 {
		return 0
	}
	parallel := max(1, len(q.running))
	return q.meanRunTime * time.Duration(q.waitingCount()) / time.Duration(parallel)
}

// Cancel removes a waiting request. It returns false if the request was dispatched or has ended.
func (s *Scheduler) Cancel(t *Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.state != ticketWaiting {
		return false
	}
	t.queue.remove(t)
	t.state = ticketEnded
	return true
}

func (q *teamQueue) remove(t *Ticket) {
	list := &q.normal
	if t.Request.Urgent {
		list = &q.urgent
	}
	for i, other := range *list {
		if other == t {
			*list = append((*list)[:i], (*list)[i+1:]...)
			q.waiting = subSize(q.waiting, t.Request.Size)
			return
		}
	}
}

// Requeue puts a dispatched request whose slots were released back to the front of its queue and pauses the pool for
// poolFullBackoff, since its upstreams had no free capacity or the request was preempted. Requeue replaces Ready and
// Preempt, so only the goroutine that waits on them may call it.
func (s *Scheduler) Requeue(now time.Time, t *Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.state != ticketRunning {
		return
	}
	q := t.queue
	delete(q.running, t)
	q.use = subSize(q.use, t.Request.Size)
	t.state = ticketWaiting
	t.Ready = make(chan struct{})
	t.Preempt = make(chan struct{})
	if t.Request.Urgent {
		q.urgent = append([]*Ticket{t}, q.urgent...)
	} else {
		q.normal = append([]*Ticket{t}, q.normal...)
	}
	q.waiting = addSize(q.waiting, t.Request.Size)
	s.blockedUntil[q.pool] = now.Add(poolFullBackoff)
}

// End removes a dispatched request. It does not release the slots of the team's grant: the caller does that once it is
// certain that the work has ended.
func (s *Scheduler) End(now time.Time, t *Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.state != ticketRunning {
		return
	}
	t.state = ticketEnded
	q := t.queue
	delete(q.running, t)
	q.use = subSize(q.use, t.Request.Size)
	q.recordRunTime(now.Sub(t.started))
}

// runTimeSmoothingDivisor is the inverse of the weight of a new run time in the exponential moving average.
const runTimeSmoothingDivisor = 8

func (q *teamQueue) recordRunTime(d time.Duration) {
	if q.meanRunTime == 0 {
		q.meanRunTime = d
		return
	}
	q.meanRunTime += (d - q.meanRunTime) / runTimeSmoothingDivisor
}

// SetUse replaces the declared size of a running request by the measured one.
func (s *Scheduler) SetUse(t *Ticket, measured upstream.Size) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.state != ticketRunning {
		return
	}
	measured.Slots = t.Request.Size.Slots
	t.queue.use = addSize(subSize(t.queue.use, t.Request.Size), measured)
	t.Request.Size = measured
}

// HasWaiting reports whether any request is waiting.
func (s *Scheduler) HasWaiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range s.queues {
		if q.waitingCount() > 0 {
			return true
		}
	}
	return false
}

// TeamBacklog is the waiting demand of one team over all pools.
type TeamBacklog struct {
	Team  string
	Slots int
	// SmallestTask is the size in slots of the smallest request at the head of one of the team's queues.
	SmallestTask int
}

// Backlogs returns the waiting demand of each team that has any.
func (s *Scheduler) Backlogs() []TeamBacklog {
	s.mu.Lock()
	defer s.mu.Unlock()
	teams := make(map[string]TeamBacklog)
	for key, q := range s.queues {
		head := q.head()
		if head == nil {
			continue
		}
		backlog := teams[key.Team]
		backlog.Team = key.Team
		backlog.Slots += q.waiting.Slots
		if backlog.SmallestTask == 0 || head.Request.Size.Slots < backlog.SmallestTask {
			backlog.SmallestTask = head.Request.Size.Slots
		}
		teams[key.Team] = backlog
	}
	list := make([]TeamBacklog, 0, len(teams))
	for _, backlog := range teams {
		list = append(list, backlog)
	}
	return list
}

// Loads returns this host's non-empty loads, ordered by pool and team.
func (s *Scheduler) Loads(now time.Time) []Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads(now)
}

func (s *Scheduler) loads(now time.Time) []Load {
	var loads []Load
	for key, q := range s.queues {
		if q.waitingCount() == 0 && len(q.running) == 0 {
			continue
		}
		loads = append(loads, Load{
			Pool: key.Pool, Team: key.Team, Use: q.use, Waiting: q.waiting,
			WaitingTasks: q.waitingCount(), UrgentWaiting: q.overdueUrgentCount(now),
		})
	}
	sort.Slice(loads, func(i, j int) bool {
		if loads[i].Pool != loads[j].Pool {
			return loads[i].Pool < loads[j].Pool
		}
		return loads[i].Team < loads[j].Team
	})
	return loads
}

func (q *teamQueue) overdueUrgentCount(now time.Time) int {
	n := 0
	for _, t := range q.urgent {
		if now.Sub(t.enqueued) > UrgentWaitLimit {
			n++
		}
	}
	return n
}
