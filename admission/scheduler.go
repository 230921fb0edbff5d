package admission

import (
	"hash/maphash"
	"sort"
	"sync"
	"time"

	"citrongauge.example/citrongauge/result"
	"citrongauge.example/citrongauge/upstream"
)

// UrgentPatience is how long an urgent request waits before hosts that run lent work are asked to return it.
const UrgentPatience = 1500 * time.Millisecond

// fullBackoff is the pause after an upstream pool refused a reservation for lack of room.
const fullBackoff = 20 * time.Millisecond

// PoolConfig is a pool as the scheduler sees it.
type PoolConfig struct {
	// Capacity is the sum of the hosts that are in service.
	Capacity upstream.Size
}

// Config is what the scheduler takes from the bundle and the control record.
type Config struct {
	Pools map[string]PoolConfig
	// Weights are the teams' shares.
	Weights map[string]int
}

// Request is what the scheduler needs to know of a request.
type Request struct {
	Team        string
	Pool        string
	Size        upstream.Size
	Urgent      bool
	Preemptible bool
	Deadline    time.Time
	MaxQueued   int
}

// Ticket is a request's place in the scheduler.
type Ticket struct {
	Request Request
	// Ready is closed when the request may be dispatched.
	Ready chan struct{}
	// Preempt is closed when the request runs on lent capacity that has to be returned.
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

// teamQueue holds a team's work on one pool.
type teamQueue struct {
	pool    string
	team    string
	urgent  []*Ticket
	normal  []*Ticket
	running map[*Ticket]struct{}
	use     upstream.Size
	waiting upstream.Size
	// runTime is the moving average of run times, zero before the first end.
	runTime time.Duration
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

// Scheduler holds the queues of one entry host. Its methods may be called from any goroutine.
type Scheduler struct {
	mu     sync.Mutex
	config Config
	// acquire takes slots of a team's grant.
	acquire func(team string, slots int) bool
	queues  map[LoadKey]*teamQueue
	peers   map[string]peerLoad
	// blockedUntil holds pools whose upstreams were full at the last attempt.
	blockedUntil map[string]time.Time
	draining     bool
	seed         maphash.Seed
}

// New returns a scheduler that takes slots of a team's grant with acquire.
func New(acquire func(team string, slots int) bool) *Scheduler {
	return &Scheduler{
		acquire:      acquire,
		queues:       make(map[LoadKey]*teamQueue),
		peers:        make(map[string]peerLoad),
		blockedUntil: make(map[string]time.Time),
		seed:         maphash.MakeSeed(),
	}
}

// Configure replaces pools and weights.
func (s *Scheduler) Configure(config Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = config
}

// Drain makes the scheduler refuse new requests.
func (s *Scheduler) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// SetPeerLoad takes the last report of another host or zone.
func (s *Scheduler) SetPeerLoad(peer string, at time.Time, loads []Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers[peer] = peerLoad{at: at, loads: loads}
}

// Enqueue adds a request, or refuses it with a result code.
func (s *Scheduler) Enqueue(now time.Time, r Request) (*Ticket, *result.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return nil, result.Errorf(result.ShuttingDown, "")
	}
	q := s.queue(LoadKey{r.Pool, r.Team})
	wait := s.expectedWait(q)
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

// expectedWait estimates the wait of a new request from the queue's length, what runs at once and the average run
// time. It is zero while nothing is known.
func (s *Scheduler) expectedWait(q *teamQueue) time.Duration {
	if q.runTime == 0 || q.waitingCount() == 0 {
		return 0
	}
	parallel := max(1, len(q.running))
	return q.runTime * time.Duration(q.waitingCount()) / time.Duration(parallel)
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

// Requeue puts a dispatched request whose slots were released back to the front of its queue and pauses the pool, since
// its upstreams had no room or are needed for others. Only the goroutine that waits on Ready and Preempt may call it.
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
	s.blockedUntil[q.pool] = now.Add(fullBackoff)
}

// End removes a dispatched request. The caller releases the slots when it is proved that the work has ended.
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
	q.observe(now.Sub(t.started))
}

// runTimeWeight is the weight of a new run time in the moving average, as one part of this number.
const runTimeWeight = 8

func (q *teamQueue) observe(d time.Duration) {
	if q.runTime == 0 {
		q.runTime = d
		return
	}
	q.runTime += (d - q.runTime) / runTimeWeight
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

// HasWaiting states whether any request waits.
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

// TeamWaiting is what waits of one team, over all pools.
type TeamWaiting struct {
	Team  string
	Slots int
	// Smallest is the size of the smallest request at the head of a queue, in slots.
	Smallest int
}

// Waiting returns what waits, by team.
func (s *Scheduler) Waiting() []TeamWaiting {
	s.mu.Lock()
	defer s.mu.Unlock()
	teams := make(map[string]TeamWaiting)
	for key, q := range s.queues {
		head := q.head()
		if head == nil {
			continue
		}
		w := teams[key.Team]
		w.Team = key.Team
		w.Slots += q.waiting.Slots
		if w.Smallest == 0 || head.Request.Size.Slots < w.Smallest {
			w.Smallest = head.Request.Size.Slots
		}
		teams[key.Team] = w
	}
	list := make([]TeamWaiting, 0, len(teams))
	for _, w := range teams {
		list = append(list, w)
	}
	return list
}

// Loads returns this host's load in a stable order, without empty entries.
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
			WaitingTasks: q.waitingCount(), UrgentWaiting: q.urgentOverdue(now),
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

func (q *teamQueue) urgentOverdue(now time.Time) int {
	n := 0
	for _, t := range q.urgent {
		if now.Sub(t.enqueued) > UrgentPatience {
			n++
		}
	}
	return n
}
