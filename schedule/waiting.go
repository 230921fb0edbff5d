package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// sortInterval is the shortest time between two sorts of a pool's waiting parts. In between, new parts are inserted.
const sortInterval = 100 * time.Millisecond

// waitingParts holds the parts of a pool that may have waiting tasks, in the order in which they are placed. The keys
// of a part may be up to sortInterval old.
type waitingParts struct {
	list       []candidate
	added      []*part // to be inserted into list
	nextSort   time.Duration
	labels     []string // labels that the parts require
	minRequest int64    // smallest processor request of a part, in thousandths of a core; best-effort parts excepted
}

// candidate is a part with waiting tasks and the keys by which candidates are sorted.
type candidate struct {
	part       *part
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
	w.nextSort = c.now + sortInterval
	for _, candidate := range w.list {
		candidate.part.queued = false
	}
	for _, part := range w.added {
		part.queued = false
	}
	clear(w.list)
	*w = waitingParts{list: w.list[:0], added: w.added[:0], labels: w.labels[:0], nextSort: w.nextSort, minRequest: math.MaxInt64}
	for part := range p.parts.all() {
		if part.hasWaiting(c.now) {
			w.append(c.candidate(part))
		}
	}
	slices.SortFunc(w.list, candidate.compare)
}

func (c *Core) candidate(p *part) candidate {
	return candidate{p, p.job.Queue.Priority, c.timeliness(p), c.remainingWork(p.job)}
}

func (w *waitingParts) append(added candidate) {
	step := added.part.step
	added.part.queued = true
	w.list = append(w.list, added)
	if step.Label != "" && !slices.Contains(w.labels, step.Label) {
		w.labels = append(w.labels, step.Label)
	}
	if !step.BestEffort {
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

func (a candidate) compare(b candidate) int {
	return cmp.Or(
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.timeliness, b.timeliness),
		cmp.Compare(a.labelRank(), b.labelRank()),
		cmp.Compare(a.jobWork, b.jobWork),
		cmp.Compare(a.part.arrival, b.part.arrival),
		cmp.Compare(a.part.job.ID, b.part.job.ID),
		cmp.Compare(a.part.stepIndex, b.part.stepIndex),
	)
}

// labelRank returns 0 for a part that requires a label and 1 for any other. Parts that can run on few upstreams are
// placed first.
func (a candidate) labelRank() int {
	if a.part.step.Label != "" {
		return 0
	}
	return 1
}
