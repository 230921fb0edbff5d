package schedule

import (
	"cmp"
	"slices"
	"time"

	"citrongauge.example/citrongauge/job"
)

// timeliness classes of waiting work: what can still be on time goes first, what is too late to earn anything last.
const (
	onTime = iota
	late
	tooLate
)

// lateFactor times the objective is when a job counts as too late.
const lateFactor = 3

// candidate is a part with waiting tasks, and what its order depends on.
type candidate struct {
	part     *part
	priority int
	class    int
	work     float64 // core-milliseconds that the job still needs
}

// place starts waiting tasks where there is room, the most valuable ones first.
func (c *Core) place() {
	if !c.bundleSet {
		return
	}
	c.reserve()
	for _, p := range c.pools.all() {
		if p.parts.len() > 0 {
			c.placePool(p)
		}
	}
}

func (c *Core) placePool(p *pool) {
	usable := c.usable(p)
	defer c.reportBacklog(p, len(usable))
	if len(usable) == 0 {
		return
	}
	candidates := c.candidates(p)
	c.wantedLabels = c.wantedLabels[:0]
	for _, candidate := range candidates {
		if label := candidate.part.step.Label; label != "" && !slices.Contains(c.wantedLabels, label) {
			c.wantedLabels = append(c.wantedLabels, label)
		}
	}
	for _, candidate := range candidates {
		part := candidate.part
		if part.step.Gang {
			c.placeGang(part, usable)
		} else {
			c.placeTasks(part, usable)
		}
	}
}

// candidates returns the pool's parts in the order in which they are served.
func (c *Core) candidates(p *pool) []candidate {
	work := map[*jobState]float64{}
	list := make([]candidate, 0, p.parts.len())
	for part := range p.parts.all() {
		if !part.hasWaiting(c.now) {
			continue
		}
		j := part.job
		if _, known := work[j]; !known {
			work[j] = c.workLeft(j)
		}
		list = append(list, candidate{part, j.Queue.Priority, c.class(part), work[j]})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.priority, b.priority),
			cmp.Compare(a.class, b.class),
			cmp.Compare(a.bound(), b.bound()),
			cmp.Compare(a.work, b.work),
			cmp.Compare(a.part.arrival, b.part.arrival),
			cmp.Compare(a.part.job.ID, b.part.job.ID),
			cmp.Compare(a.part.number, b.part.number),
		)
	})
	return list
}

// bound returns 0 for a part that can run on some upstreams only, which go to such parts first, and 1 for others.
func (c candidate) bound() int {
	if c.part.step.Label != "" {
		return 0
	}
	return 1
}

func (p *part) hasWaiting(now time.Duration) bool {
	for i := range p.tasks {
		if p.tasks[i].waits(now) {
			return true
		}
	}
	return false
}

func (t *task) waits(now time.Duration) bool {
	return !t.done && len(t.runs) == 0 && now >= t.notBefore
}

// class returns how timely the part's occurrence can still be.
func (c *Core) class(p *part) int {
	if p.step.LongRunning {
		return onTime
	}
	j := p.job
	base := p.occurrence * len(j.Steps)
	left := c.chain(j, func(step int) bool { return j.parts[base+step].isDone() })
	finish := c.now + left
	switch {
	case finish <= p.arrival+j.objective:
		return onTime
	case finish <= p.arrival+lateFactor*j.objective:
		return late
	}
	return tooLate
}

// workLeft returns the core-milliseconds that a job's due occurrences still need.
func (c *Core) workLeft(j *jobState) float64 {
	total := 0.0
	for _, p := range j.parts {
		total += c.workOf(p)
	}
	return total
}

// workOf returns the core-milliseconds that a part still needs.
func (c *Core) workOf(p *part) float64 {
	left := float64(len(p.tasks) - p.done)
	return left * float64(p.step.Request.MilliCPU) / 1000 * float64(c.expected(p.job, p.step).Milliseconds())
}

// usable returns the pool's upstreams on which something may start.
func (c *Core) usable(p *pool) []*upstream {
	var usable []*upstream
	for _, up := range p.upstreams.all() {
		if c.isUsable(up) {
			usable = append(usable, up)
		}
	}
	slices.SortFunc(usable, func(a, b *upstream) int { return cmp.Compare(a.ID, b.ID) })
	return usable
}

func (c *Core) isUsable(up *upstream) bool {
	return up.listed && up.fenced && up.stored && !up.gone && !up.Draining && up.failedLooks == 0 && up.foreign == 0 &&
		!c.evacuated[up.Zone] && !up.cordoned && !up.health.isQuarantined(c.now)
}

func (p *pool) hasUnsettled() bool {
	for _, up := range p.upstreams.all() {
		if !up.settled {
			return true
		}
	}
	return false
}

// mayRunUnseen reports whether a task that is not seen anywhere may run all the same: an earlier owner may have started it
// on an upstream that was not reached since the claim.
func (c *Core) mayRunUnseen(p *part, t *task) bool {
	if !p.job.inherited || !c.anyUnsettled || t.done || len(t.runs) > 0 || t.placed == "" {
		return false
	}
	up := c.upstreams.get(t.placed)
	return up != nil && !up.settled
}

// mayStart reports whether a task waits and certainly has no run.
func (c *Core) mayStart(p *part, t *task) bool { return t.waits(c.now) && !c.mayRunUnseen(p, t) }

// reserve estimates, for each team, what an earlier owner's tasks may use unseen: at most their requests, and at most
// what the upstreams hold that were not reached since the claim.
func (c *Core) reserve() {
	for _, t := range c.teams {
		t.reserved = job.Resources{}
	}
	c.anyUnsettled = false
	for _, p := range c.pools.all() {
		if !p.hasUnsettled() {
			continue
		}
		c.anyUnsettled = true
		var hidden job.Resources
		for _, up := range p.upstreams.all() {
			if !up.settled {
				hidden = hidden.Add(up.Capacity)
			}
		}
		for t, sum := range c.unseenIn(p) {
			t.reserved = t.reserved.Add(job.Resources{
				MilliCPU: min(sum.MilliCPU, hidden.MilliCPU), MemoryMB: min(sum.MemoryMB, hidden.MemoryMB),
				GPU: min(sum.GPU, hidden.GPU),
			})
		}
	}
}

// unseenIn returns, for each team, the requests of the tasks that may run unseen in a pool, those of ended jobs too.
func (c *Core) unseenIn(p *pool) map[*team]job.Resources {
	unseen := map[*team]job.Resources{}
	for _, j := range c.jobs.all() {
		if !j.inherited || j.Queue.Pool != p.name {
			continue
		}
		for _, part := range j.parts {
			for i := range part.tasks {
				if c.mayRunUnseen(part, &part.tasks[i]) {
					unseen[j.team] = unseen[j.team].Add(part.step.Request)
				}
			}
		}
	}
	return unseen
}

// allows reports whether a team may have more running.
func (t *team) allows(request job.Resources) bool {
	total := t.used.Add(t.reserved).Add(request)
	return withinCap(total.MilliCPU, t.cap.MilliCPU) && withinCap(total.MemoryMB, t.cap.MemoryMB) &&
		withinCap(total.GPU, t.cap.GPU)
}

func withinCap(amount, limit int64) bool { return limit == 0 || amount <= limit }

// placeTasks starts as many waiting tasks of a part as there is room for.
func (c *Core) placeTasks(p *part, usable []*upstream) {
	room := p.step.Room()
	for i := range p.tasks {
		t := &p.tasks[i]
		if !c.mayStart(p, t) {
			continue
		}
		if !p.job.team.allows(p.step.Request) {
			return
		}
		up := c.choose(p, t, usable, room)
		if up == nil {
			return
		}
		c.start(p, i, c.nextAttempt(t), up, c.ticketFor(p, up))
	}
}

// nextAttempt returns an attempt number above all that were used for the task, by any owner.
func (c *Core) nextAttempt(t *task) uint64 {
	return max(t.lastAttempt, c.Generation*attemptsPerOwner) + 1
}

// placeGang starts all tasks of a gang, or none.
func (c *Core) placeGang(p *part, usable []*upstream) {
	attempt := uint64(0)
	for i := range p.tasks {
		t := &p.tasks[i]
		if !c.mayStart(p, t) {
			return // an earlier attempt has not ended everywhere
		}
		attempt = max(attempt, c.nextAttempt(t))
	}
	total := job.Resources{}
	for range p.tasks {
		total = total.Add(p.step.Request)
	}
	if !p.job.team.allows(total) {
		return
	}
	hosts := c.chooseGang(p, usable)
	if hosts == nil {
		return
	}
	checkpoint := ""
	for i := range p.tasks {
		checkpoint = max(checkpoint, p.tasks[i].checkpoint)
	}
	for i, up := range hosts {
		p.tasks[i].checkpoint = checkpoint
		c.start(p, i, attempt, up, c.ticketFor(p, up))
	}
}

// chooseGang returns an upstream for each task of a gang, on one rack where the step asks for it and one has room.
func (c *Core) chooseGang(p *part, usable []*upstream) []*upstream {
	if p.step.SameRack {
		byRack := map[string][]*upstream{}
		for _, up := range usable {
			byRack[up.rack] = append(byRack[up.rack], up)
		}
		for _, up := range usable {
			if hosts := c.fitGang(p, byRack[up.rack]); hosts != nil {
				return hosts
			}
		}
	}
	return c.fitGang(p, usable)
}

func (c *Core) fitGang(p *part, usable []*upstream) []*upstream {
	room := p.step.Room()
	taken := map[*upstream]int64{}
	var hosts []*upstream
	for range p.tasks {
		var best *upstream
		for _, up := range usable {
			n := taken[up]
			if !c.admits(p, up) || (p.step.PerHost > 0 && p.perHost[up.ID]+int(n) >= p.step.PerHost) {
				continue
			}
			next := job.Resources{MilliCPU: room.MilliCPU * (n + 1), MemoryMB: room.MemoryMB * (n + 1), GPU: room.GPU * (n + 1)}
			if !next.Fits(up.room()) {
				continue
			}
			if best == nil || up.room().MilliCPU-n*room.MilliCPU > best.room().MilliCPU-taken[best]*room.MilliCPU {
				best = up
			}
		}
		if best == nil {
			return nil
		}
		taken[best]++
		hosts = append(hosts, best)
	}
	return hosts
}

// admits reports whether the part's tasks may run on the upstream at all.
func (c *Core) admits(p *part, up *upstream) bool {
	if p.step.Label != "" && !slices.Contains(up.Labels, p.step.Label) {
		return false
	}
	return !p.job.Queue.Advised || c.ticketFor(p, up) != ""
}

// choose returns the best upstream for a task, or nil.
func (c *Core) choose(p *part, t *task, usable []*upstream, room job.Resources) *upstream {
	var best *upstream
	var bestScore float64
	local := p.step.Rack != "" && c.now-p.releasedAt < c.expected(p.job, p.step)
	for _, up := range usable {
		if !room.Fits(up.room()) || !c.admits(p, up) {
			continue
		}
		if p.step.PerHost > 0 && p.perHost[up.ID] >= p.step.PerHost {
			continue
		}
		if local && up.rack != p.step.Rack && hasRack(usable, p.step.Rack) {
			continue // waits for room near its data for as long as the work takes there
		}
		if !up.health.mayTry(up.runs.len()) {
			continue
		}
		score := c.score(p, t, up)
		if best == nil || score > bestScore {
			best, bestScore = up, score
		}
	}
	return best
}

func hasRack(usable []*upstream, rack string) bool {
	return slices.ContainsFunc(usable, func(up *upstream) bool { return up.rack == rack })
}

// Weights of the criteria by which upstreams are compared, in shares of an upstream's processors.
const (
	rackBonus    = 2.0
	badHostCost  = 1.0
	fillNearCost = 0.5
	// wantedCost keeps tasks that may run anywhere off upstreams with a label that waiting tasks require.
	wantedCost = 2.0
	// packBonus keeps long-running tasks together, so that the pool's other machines can move.
	packBonus = 1.0
)

// score rates an upstream for a task; more is better. Load is packed, so that whole machines stay free to move to
// another pool or to be parked. Tasks that fill or that have a bound on their tail latency are spread: they take no room
// of their own, or suffer from their neighbours.
func (c *Core) score(p *part, t *task, up *upstream) float64 {
	capacity := float64(max(up.Capacity.MilliCPU, 1))
	score := float64(up.demand) / capacity
	if p.step.Fills || p.step.TailLimit > 0 {
		score = -score
	}
	if p.step.Rack != "" && up.rack == p.step.Rack {
		score += rackBonus
	}
	if t.lostOn == up.ID {
		score -= badHostCost
	}
	if p.step.Fills && up.serves() {
		score -= fillNearCost
	}
	if up.Cold > 0 {
		score -= badHostCost
	}
	if p.step.Label == "" && slices.ContainsFunc(c.wantedLabels, func(l string) bool { return slices.Contains(up.Labels, l) }) {
		score -= wantedCost
	}
	if p.step.LongRunning && up.longRunning() > 0 {
		score += packBonus
	}
	return score - up.health.penalty()
}

// longRunning returns the number of long-running tasks on the upstream.
func (u *upstream) longRunning() int {
	n := 0
	for _, r := range u.runs.all() {
		if r.part.step.LongRunning {
			n++
		}
	}
	return n
}

// serves reports whether a task with a bound on its tail latency runs on the upstream.
func (u *upstream) serves() bool {
	for _, r := range u.runs.all() {
		if r.part.step.TailLimit > 0 {
			return true
		}
	}
	return false
}
