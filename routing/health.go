package routing

import (
	"math"
	"slices"
	"time"

	"citrongauge.example/citrongauge/bundle"
)

const (
	ejectAfter        = 5 // failed attempts in a row
	ejectBase         = 5 * time.Second
	ejectMax          = 60 * time.Second
	probationOK       = 3 // successes in a row that end the probation
	suspectHosts      = 2 // hosts on which a team's tasks fail before its failures stop counting against hosts
	cutInterval       = 100 * time.Millisecond
	refusalCut        = 0.8
	latencyCut        = 0.95
	latencySmoothing  = 0.2
	baselineDrift     = 1.001
	baselineTolerance = 2 * time.Millisecond
	runSmoothing      = 0.1
)

// Outcome is how an attempt ended, as far as it concerns the upstream.
type Outcome int

// The values of Outcome.
const (
	// Neutral says nothing about the upstream: cancelled, lapsed, or failed by the job.
	Neutral Outcome = iota
	// Succeeded: the task ran and was answered.
	Succeeded
	// Full: the upstream refused for lack of capacity.
	Full
	// Leaving: the upstream refused because it leaves.
	Leaving
	// Unreachable: the upstream did not answer or was lost.
	Unreachable
	// TaskFailed: the task ran and failed.
	TaskFailed
)

// Report is the end of an attempt.
type Report struct {
	Outcome Outcome
	Team    string
	// Latency is the round trip of Reserve, zero if it was not answered.
	Latency time.Duration
	// Run is the run time of the task, zero if it did not end.
	Run time.Duration
}

// health is the state of ejection and probation of a host.
type health struct {
	streak    int // failures in a row
	ejected   bool
	until     time.Time
	ejections int
	probation bool
	good      int // successes in a row on probation
}

// Done ends the charge of a candidate and learns from its outcome.
func (t *Table) Done(c Candidate, r Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, p := t.hosts[c.Host], t.pools[c.Pool]
	if h == nil {
		return
	}
	h.own = clampSub(h.own, c.Size)
	h.attempts = max(0, h.attempts-1)
	if p == nil {
		return
	}
	h.limit.observe(r, h.own.Slots+c.Size.Slots, now)
	switch r.Outcome {
	case Succeeded:
		delete(p.teamFails, r.Team)
		p.run = time.Duration(float64(p.run)*(1-runSmoothing) + float64(r.Run)*runSmoothing)
		h.health.success()
	case Leaving:
		h.leave(now)
	case Unreachable:
		t.failed(p, h, c, now)
	case TaskFailed:
		if !t.suspect(p, r.Team, h.id) {
			t.failed(p, h, c, now)
		}
	}
}

// Absolve takes back one failure that was counted against a host, because the same request has failed on another
// host too.
func (t *Table) Absolve(hostID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.hosts[hostID]
	if h != nil {
		h.health.absolve(1)
	}
}

// absolve takes back up to n failures. A host that was ejected for them goes to probation.
func (h *health) absolve(n int) {
	h.streak = max(0, h.streak-n)
	if h.ejected && h.streak < ejectAfter {
		h.endEjection()
	}
}

func (h *health) endEjection() {
	h.ejected, h.probation, h.good = false, true, 0
}

// failed counts a failure of the host. Its load stays on the books for the mean run time of the pool, so that a
// host that fails quickly does not look idle.
func (t *Table) failed(p *pool, h *host, c Candidate, now time.Time) {
	if until := c.pickedAt.Add(p.run); until.After(now) {
		h.shadows = append(h.shadows, shadow{until, c.Size})
	}
	h.health.streak++
	if h.health.streak < ejectAfter && !h.health.probation {
		return
	}
	if !h.health.ejected && p.ejected(now) < p.mayEject() {
		h.health.eject(now)
	}
}

// suspect notes a failed task of a team, and says whether the team's tasks fail on several hosts. Once they do,
// the failures of these hosts that were counted before are taken back.
func (t *Table) suspect(p *pool, team, hostID string) bool {
	fails := p.teamFails[team]
	if slices.Contains(fails, hostID) || len(fails) >= suspectHosts {
		return len(fails) >= suspectHosts
	}
	fails = append(fails, hostID)
	p.teamFails[team] = fails
	if len(fails) < suspectHosts {
		return false
	}
	for _, id := range fails {
		if h := t.hosts[id]; h != nil {
			h.health.absolve(h.health.streak)
		}
	}
	return true
}

// mayEject is the number of hosts of the pool that may be ejected at once.
func (p *pool) mayEject() int {
	n := len(p.hosts) / 3
	if p.budget > 0 {
		n = min(n, p.budget)
	}
	return n
}

func (p *pool) ejected(now time.Time) int {
	n := 0
	for _, h := range p.hosts {
		if h.health.ejected && now.Before(h.health.until) {
			n++
		}
	}
	return n
}

// Ejected returns the hosts that get no work now because they failed what they were given.
func (t *Table) Ejected(now time.Time) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	ejected := make(map[string]bool)
	for id, h := range t.hosts {
		if h.health.ejected && now.Before(h.health.until) {
			ejected[id] = true
		}
	}
	return ejected
}

// trimEjections returns hosts to probation when the pool has shrunk below its number of ejections.
func (p *pool) trimEjections() {
	n := 0
	for _, h := range p.hosts {
		if !h.health.ejected {
			continue
		}
		n++
		if n > p.mayEject() {
			h.health.endEjection()
		}
	}
}

func (h *health) eject(now time.Time) {
	h.ejected, h.probation = true, false
	h.until = now.Add(min(ejectMax, ejectBase<<min(h.ejections, 4)))
	h.ejections++
}

func (h *health) success() {
	h.streak = 0
	if !h.probation {
		return
	}
	h.good++
	if h.good >= probationOK {
		h.probation, h.ejections = false, 0
	}
}

// admits says whether the host may take another attempt. An ejection that has ended turns into probation, with one
// task at a time.
func (h *health) admits(attempts int, now time.Time) bool {
	if h.ejected {
		if now.Before(h.until) {
			return false
		}
		h.endEjection()
	}
	return !h.probation || attempts == 0
}

// limit is the adaptive concurrency limit of a host in slots of this entry host: additive increase on success,
// multiplicative decrease on refusals and on latency well above its baseline.
type limit struct {
	slots    float64
	most     float64
	latency  time.Duration // smoothed
	baseline time.Duration
	cutAt    time.Time
}

func (l *limit) reset(h bundle.Host) {
	l.bound(h)
	l.slots = l.most
}

func (l *limit) bound(h bundle.Host) {
	l.most = float64(max(1, min(h.Capacity.Slots, h.Connections)))
	l.slots = min(l.slots, l.most)
}

// admits lets one task pass however large it is, so that a low limit does not rule out large tasks.
func (l *limit) admits(used, slots int) bool {
	return used == 0 || used+slots <= int(math.Ceil(l.slots))
}

func (l *limit) observe(r Report, used int, now time.Time) {
	if r.Latency > 0 {
		l.measure(r.Latency)
	}
	switch {
	case r.Outcome == Full:
		l.cut(min(l.slots, float64(used))*refusalCut, now)
	case r.Outcome != Succeeded:
	case l.latency > 2*l.baseline+baselineTolerance:
		l.cut(l.slots*latencyCut, now)
	default:
		l.slots = min(l.most, l.slots+1/max(1, l.slots))
	}
}

func (l *limit) measure(sample time.Duration) {
	if l.latency == 0 {
		l.latency, l.baseline = sample, sample
		return
	}
	l.latency += time.Duration(latencySmoothing * float64(sample-l.latency))
	l.baseline = min(sample, time.Duration(float64(l.baseline)*baselineDrift))
}

func (l *limit) cut(to float64, now time.Time) {
	if now.Sub(l.cutAt) < cutInterval {
		return
	}
	l.cutAt = now
	l.slots = max(1, to)
}
