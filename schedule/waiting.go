package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// sortInterval is the shortest time between two sorts of a pool's waiting parts. It grows by itself with each
	// sortIntervalParts parts. In between, new parts are inserted.
	sortInterval      = 100 * time.Millisecond
	sortIntervalParts = 1000
)

// waitingParts holds the parts of a pool that may have waiting tasks, in the order in which they are placed. The keys
// of a part may be up to sortInterval old.
type waitingParts struct {
	list       []candidate
	added      []*part // to be inserted into list
	nextSort   time.Duration
	sorts      uint64              // number of sorts
	labels     []string            // labels that the parts require
	unbounded  int                 // number of parts in list whose placement does not depend on minRequest
	minRequest int64               // smallest processor request of the other parts, in thousandths of a core
	milliCPU   int64               // processors of the pool's usable upstreams as of the last sort
	shares     map[int]*sizeShares // by priority
	byWorth    []startByWorth      // the virtual starts that follow from the worth alone, in the order of list
}

// candidate is a part with waiting tasks and the keys by which candidates are sorted.
type candidate struct {
	part         *part
	starving     bool // a long-running task has waited for longer than starvedAfter
	overShare    int  // by how many degrees the job's team uses more than its share; 0 for long-running parts
	owed         bool // its virtual start is due to its size class, not to its worth
	timeliness   int
	class        uint64  // the keys that precede the virtual start
	virtualStart float64 // goesFirst, or the share of the pool's jobs that have begun when this one begins
	worth        float64 // cost spared by each core-millisecond that the job still needs
}

// goesFirst is the virtual start of jobs that have begun because their size class was owed it, and can still end in time: by their worth they
// would not go on.
const goesFirst = -1

// queuePart adds a part to its pool's waiting parts unless it is among them.
func (c *Core) queuePart(p *part) {
	if !p.inPool || p.queued {
		return
	}
	p.queued = true
	waiting := &c.pool(p.job.Queue.Pool).waiting
	waiting.added = append(waiting.added, p)
}

// sortWaiting brings the pool's waiting parts up to date.
func (c *Core) sortWaiting(p *pool) {
	w := &p.waiting
	if c.now < w.nextSort {
		w.insert(c.candidates(w.added))
		w.added = w.added[:0]
		return
	}
	w.nextSort = c.now + sortInterval*time.Duration(1+len(w.list)/sortIntervalParts)
	c.rateAgain(p)
	slices.SortFunc(w.list, candidate.compareWorth)
	w.setVirtualStarts()
	slices.SortFunc(w.list, candidate.compare)
}

// rateAgain updates the keys of the waiting parts. Those that are too late keep theirs.
func (c *Core) rateAgain(p *pool) {
	w := &p.waiting
	for _, part := range w.added {
		part.queued = false // the part is added with all others below
	}
	old := w.list
	*w = waitingParts{
		list: old[:0], added: w.added[:0], labels: w.labels[:0], nextSort: w.nextSort, minRequest: math.MaxInt64,
		sorts: w.sorts + 1, milliCPU: c.usableCPU(p), shares: w.shares, byWorth: w.byWorth[:0],
	}
	for _, shares := range w.shares {
		shares.age(c.now)
	}
	for _, known := range old {
		switch part := known.part; {
		case !p.has(part) || !part.hasWaiting(c.now):
			part.queued = false
		case part.tooLate:
			w.append(known)
		default:
			w.append(c.candidate(part))
		}
	}
	clear(old[len(w.list):])
	for part := range p.parts.all() {
		if !part.queued && part.hasWaiting(c.now) {
			w.append(c.candidate(part))
		}
	}
}

func (c *Core) candidate(p *part) candidate {
	w := &c.pool(p.job.Queue.Pool).waiting
	a := candidate{part: p}
	if p.step.LongRunning {
		_, a.starving = c.countWaitingTasks(p)
		a.class = a.classKey()
		return a
	}
	prospect, coreMS := c.prospect(p), c.remainingWork(p.job)
	isNext := p.job.isBegun() && p.job.owed && prospect.timeliness != tooLate && prospect.needed <= prospect.limit
	if w.milliCPU > 0 {
		// All upstreams of the pool together need this time for the job's other tasks.
		beside := coreMS * (1 - 1/float64(len(p.tasks)))
		alone := time.Duration(beside * 1000 / float64(w.milliCPU) * float64(time.Millisecond))
		isNext = isNext && alone <= prospect.limit
		prospect.needed += alone
	}
	if prospect.timeliness == onTime {
		c.window.urgentAt = c.now
	}
	a.timeliness, a.worth = prospect.timeliness, prospect.worthOfWork(coreMS, p.job.isBegun())
	a.overShare = p.job.team.overShare
	a.class = a.classKey()
	w.count(p.job, a.timeliness)
	if isNext {
		a.virtualStart = goesFirst
	}
	return a
}

// usableCPU returns the processors of the pool's usable upstreams, in thousandths of a core.
func (c *Core) usableCPU(p *pool) int64 {
	var sum int64
	for _, up := range p.byID {
		if c.isUsable(up) {
			sum += up.Capacity.MilliCPU
		}
	}
	return sum
}

func (w *waitingParts) append(added candidate) {
	step := added.part.step
	added.part.queued = true
	w.list = append(w.list, added)
	if step.Label != "" && !slices.Contains(w.labels, step.Label) {
		w.labels = append(w.labels, step.Label)
	}
	if step.BestEffort || step.Gang {
		w.unbounded++
	} else {
		w.minRequest = min(w.minRequest, step.Request.MilliCPU)
	}
}

// candidates returns the candidates of parts that are added between two sorts, in their order.
func (c *Core) candidates(parts []*part) []candidate {
	added := make([]candidate, 0, len(parts))
	for _, part := range parts {
		a := c.candidate(part)
		c.pool(part.job.Queue.Pool).waiting.setVirtualStart(&a)
		added = append(added, a)
	}
	return added
}

// insert inserts candidates into the list in one pass, however many there are.
func (w *waitingParts) insert(added []candidate) {
	slices.SortStableFunc(added, candidate.compare)
	old := len(w.list)
	for _, a := range added {
		w.append(a)
	}
	for to := len(w.list) - 1; len(added) > 0; to-- {
		last := len(added) - 1
		if old > 0 && w.list[old-1].compare(added[last]) >= 0 {
			old--
			w.list[to] = w.list[old]
			continue
		}
		w.list[to] = added[last]
		added = added[:last]
	}
}

// setVirtualStart sets the virtual start of a candidate that is added between two sorts.
func (w *waitingParts) setVirtualStart(added *candidate) {
	if !added.hasVirtualStart() {
		return
	}
	j := added.part.job
	byWorth := j.size.virtualStartAmong(w.byWorth, added.class, added.worth)
	added.virtualStart = j.setVirtualStart(byWorth)
	added.owed = j.owed && !j.isBegun()
}

// withRoom returns the upstreams on which the smallest request of a part fits.
func (w *waitingParts) withRoom(usable []*upstream) []*upstream {
	room := make([]*upstream, 0, len(usable))
	for _, up := range usable {
		if up.freeCapacity().MilliCPU >= w.minRequest {
			room = append(room, up)
		}
	}
	return room
}

// classKey returns the keys that precede the virtual start as one number: work of the same urgency by whether its team is within its share,
// long-running tasks before others, since they earn as long as they run, and parts that require a label before others, since they can
// run on few upstreams.
func (a candidate) classKey() uint64 {
	key := uint64(rank(!a.starving))
	key = key<<32 | uint64(uint32(int32(a.part.job.Queue.Priority))^1<<31)
	key = key<<2 | uint64(a.timeliness)
	key = key<<2 | uint64(a.overShare)
	key = key<<1 | uint64(rank(!a.part.step.LongRunning))
	return key<<1 | uint64(rank(a.part.step.Label == ""))
}

// compare orders candidates by their class, then by their virtual start.
func (a candidate) compare(b candidate) int {
	if a.class == b.class && a.virtualStart != b.virtualStart {
		return cmp.Compare(a.virtualStart, b.virtualStart)
	}
	return a.compareWorth(b)
}

// compareWorth orders candidates of the same class by the cost that their work spares.
func (a candidate) compareWorth(b candidate) int {
	switch {
	case a.class != b.class:
		return cmp.Compare(a.class, b.class)
	case a.worth != b.worth:
		return cmp.Compare(b.worth, a.worth)
	case a.part.arrival != b.part.arrival:
		return cmp.Compare(a.part.arrival, b.part.arrival)
	}
	return cmp.Or(cmp.Compare(a.part.job.ID, b.part.job.ID), cmp.Compare(a.part.stepIndex, b.part.stepIndex))
}

// rank returns 0 for a candidate that goes first and 1 for one that goes last.
func rank(last bool) int {
	if last {
		return 1
	}
	return 0
}
