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
	labels     []string // labels that the parts require
	unbounded  int      // number of parts in list whose placement does not depend on minRequest
	minRequest int64    // smallest processor request of the other parts, in thousandths of a core
}

// candidate is a part with waiting tasks and the keys by which candidates are sorted.
type candidate struct {
	part       *part
	starving   bool // a long-running task has waited for longer than starvedAfter
	overShare  bool // the job's team uses more than its share; long-running parts excepted
	priority   int
	timeliness int
	jobWork    float64 // core-milliseconds that the job still needs
}

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
		for _, part := range w.added {
			w.insert(c.candidate(part))
		}
		w.added = w.added[:0]
		return
	}
	w.nextSort = c.now + sortInterval*time.Duration(1+len(w.list)/sortIntervalParts)
	c.rateAgain(p)
	slices.SortFunc(w.list, candidate.compare)
}

// rateAgain updates the keys of the waiting parts. Those that are too late keep theirs.
func (c *Core) rateAgain(p *pool) {
	w := &p.waiting
	for _, part := range w.added {
		part.queued = false // the part is added with all others below
	}
	old := w.list
	*w = waitingParts{list: old[:0], added: w.added[:0], labels: w.labels[:0], nextSort: w.nextSort, minRequest: math.MaxInt64}
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
	starving := false
	if p.step.LongRunning {
		_, starving = c.countWaitingTasks(p)
	}
	overShare := p.job.team.overShare && !p.step.LongRunning
	timeliness := c.timeliness(p)
	if timeliness == onTime && !p.step.LongRunning {
		c.window.urgentAt = c.now
	}
	return candidate{p, starving, overShare, p.job.Queue.Priority, timeliness, c.remainingWork(p.job)}
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

func (w *waitingParts) insert(added candidate) {
	i, _ := slices.BinarySearchFunc(w.list, added, candidate.compare)
	w.append(added)
	copy(w.list[i+1:], w.list[i:])
	w.list[i] = added
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

// compare orders candidates: work of the same urgency by whether its team is within its share, long-running tasks before others, since they earn as long as they run, and parts that
// require a label before others, since they can run on few upstreams.
func (a candidate) compare(b candidate) int {
	return cmp.Or(
		cmp.Compare(rank(!a.starving), rank(!b.starving)),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.timeliness, b.timeliness),
		cmp.Compare(rank(a.overShare), rank(b.overShare)),
		cmp.Compare(rank(!a.part.step.LongRunning), rank(!b.part.step.LongRunning)),
		cmp.Compare(rank(a.part.step.Label == ""), rank(b.part.step.Label == "")),
		cmp.Compare(a.jobWork, b.jobWork),
		cmp.Compare(a.part.arrival, b.part.arrival),
		cmp.Compare(a.part.job.ID, b.part.job.ID),
		cmp.Compare(a.part.stepIndex, b.part.stepIndex),
	)
}

// rank returns 0 for a candidate that goes first and 1 for one that goes last.
func rank(last bool) int {
	if last {
		return 1
	}
	return 0
}
