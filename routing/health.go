package routing

import (
	"math"
	"slices"
	"time"

	"citrongauge.example/citrongauge/bundle"
)

const (
	ejectionThreshold   = 5 // consecutive failures
	baseEjectionTime    = 5 * time.Second
	maxEjectionTime     = 60 * time.Second
	probationSuccesses  = 3 // consecutive successes that end a probation
	teamFaultHosts      = 2 // failures on this many hosts are attributed to the team's tasks rather than to the hosts
	minDecreaseInterval = 100 * time.Millisecond
	rejectionFactor     = 0.8                  // applied to the limit, or to the use if lower, on Full
	latencyFactor       = 0.95                 // applied to the limit if the mean latency is too high
	latencySmoothing    = 0.2                  // weight of a new sample in the mean latency
	baselineGrowth      = 1.001                // factor per sample; lets the baseline follow a lasting increase
	baselineTolerance   = 2 * time.Millisecond // excess over twice the baseline that does not lower the limit
	runTimeSmoothing    = 0.1                  // weight of a new sample in the mean run time
)

// Outcome classifies the end of an attempt by what it says about the upstream.
type Outcome int

// The values of Outcome.
const (
	// Neutral: the outcome says nothing about the upstream. The attempt was cancelled, expired, or failed because of
	// the job.
	Neutral Outcome = iota
	// Succeeded: the task ran and its answer was received.
	Succeeded
	// Full: the upstream rejected the reservation because it has no free capacity for it.
	Full
	// Leaving: the upstream rejected the reservation because it is draining.
	Leaving
	// Unreachable: the upstream did not respond, or the connection to it was lost.
	Unreachable
	// TaskFailed: the task ran and failed.
	TaskFailed
)

// Report describes the end of an attempt.
type Report struct {
	Outcome Outcome
	Team    string
	// Latency is the round-trip time of Reserve, zero if it got no response.
	Latency time.Duration
	// RunTime is the run time of the task, zero if the task did not end.
	RunTime time.Duration
}

// health tracks the consecutive failures of a host, and its ejection and probation.
type health struct {
	failures     int // since the last success, without retracted ones
	ejected      bool
	ejectedUntil time.Time
	ejections    int // since the last completed probation
	probation    bool
	successes    int // successes since the probation began
}

// Done ends an attempt: it releases the size that Pick charged to the host, and updates the host's health and
// concurrency limit and the pool's mean run time from the outcome.
func (t *Table) Done(s Selection, r Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, p := t.hosts[s.Host], t.pools[s.Pool]
	if h == nil {
		return
	}
	h.ownUse = subSizeClamped(h.ownUse, s.Size)
	h.attempts = max(0, h.attempts-1)
	if p == nil {
		return
	}
	h.limit.observe(r, h.ownUse.Slots+s.Size.Slots, now)
	switch r.Outcome {
	case Succeeded:
		delete(p.teamFailedHosts, r.Team)
		p.meanRunTime = time.Duration(float64(p.meanRunTime)*(1-runTimeSmoothing) + float64(r.RunTime)*runTimeSmoothing)
		h.health.recordSuccess()
	case Leaving:
		h.markLeaving(now)
	case Unreachable:
		t.recordFailure(p, h, s, now)
	case TaskFailed:
		if !t.recordTeamFailure(p, r.Team, h.id) {
			t.recordFailure(p, h, s, now)
		}
	}
}

// RetractFailure retracts one failure that was counted against a host, because the same request has also failed on
// another host.
func (t *Table) RetractFailure(hostID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.hosts[hostID]
	if h != nil {
		h.health.retractFailures(1)
	}
}

// retractFailures retracts up to n failures. If an ejected host falls below the ejection threshold, its probation
// begins.
func (h *health) retractFailures(n int) {
	h.failures = max(0, h.failures-n)
	if h.ejected && h.failures < ejectionThreshold {
		h.endEjection()
	}
}

func (h *health) endEjection() {
	h.ejected, h.probation, h.successes = false, true, 0
}

// recordFailure counts a failure of the host. The load of the attempt stays charged to the host until the mean run
// time of the pool has passed since the pick, so that a host that fails quickly does not attract more work by
// appearing idle.
func (t *Table) recordFailure(p *pool, h *host, s Selection, now time.Time) {
	if until := s.pickedAt.Add(p.meanRunTime); until.After(now) {
		h.retained = append(h.retained, retainedLoad{until, s.Size})
	}
	h.health.failures++
	if h.health.failures < ejectionThreshold && !h.health.probation {
		return
	}
	if !h.health.ejected && p.ejectedCount(now) < p.maxEjected() {
		h.health.eject(now)
	}
}

// recordTeamFailure records that a task of a team failed on a host, and reports whether the team's tasks have failed
// on teamFaultHosts hosts since its last success. Such failures are attributed to the team's tasks and do not count
// against hosts. When the number is reached, all failures counted against these hosts are retracted.
func (t *Table) recordTeamFailure(p *pool, team, hostID string) bool {
	failedHosts := p.teamFailedHosts[team]
	if slices.Contains(failedHosts, hostID) || len(failedHosts) >= teamFaultHosts {
		return len(failedHosts) >= teamFaultHosts
	}
	failedHosts = append(failedHosts, hostID)
	p.teamFailedHosts[team] = failedHosts
	if len(failedHosts) < teamFaultHosts {
		return false
	}
	for _, id := range failedHosts {
		if h := t.hosts[id]; h != nil {
			h.health.retractFailures(h.health.failures)
		}
	}
	return true
}

// maxEjected returns the number of hosts of the pool that may be ejected at the same time: a third of them, or the
// pool's availability budget if that is lower.
func (p *pool) maxEjected() int {
	n := len(p.hosts) / 3
	if p.maxUnavailable > 0 {
		n = min(n, p.maxUnavailable)
	}
	return n
}

func (p *pool) ejectedCount(now time.Time) int {
	n := 0
	for _, h := range p.hosts {
		if h.health.ejected && now.Before(h.health.ejectedUntil) {
			n++
		}
	}
	return n
}

// Ejected returns the hosts that are currently ejected because of consecutive failures.
func (t *Table) Ejected(now time.Time) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	ejected := make(map[string]bool)
	for id, h := range t.hosts {
		if h.health.ejected && now.Before(h.health.ejectedUntil) {
			ejected[id] = true
		}
	}
	return ejected
}

// enforceMaxEjected moves ejected hosts to probation when more are ejected than the pool permits, for instance
// because it has shrunk.
func (p *pool) enforceMaxEjected() {
	n := 0
	for _, h := range p.hosts {
		if !h.health.ejected {
			continue
		}
		n++
		if n > p.maxEjected() {
			h.health.endEjection()
		}
	}
}

// eject ejects the host. The ejection time starts at baseEjectionTime and doubles with each ejection, up to
// maxEjectionTime. A completed probation resets it.
func (h *health) eject(now time.Time) {
	h.ejected, h.probation = true, false
	h.ejectedUntil = now.Add(min(maxEjectionTime, baseEjectionTime<<min(h.ejections, 4)))
	h.ejections++
}

func (h *health) recordSuccess() {
	h.failures = 0
	if !h.probation {
		return
	}
	h.successes++
	if h.successes >= probationSuccesses {
		h.probation, h.ejections = false, 0
	}
}

// admits reports whether the host may take another attempt. When its ejection has expired, the host is on probation
// and takes one attempt at a time.
func (h *health) admits(attempts int, now time.Time) bool {
	if h.ejected {
		if now.Before(h.ejectedUntil) {
			return false
		}
		h.endEjection()
	}
	return !h.probation || attempts == 0
}

// limit is the adaptive limit of the slots that this entry host uses on a host. It increases additively on success,
// and decreases multiplicatively on reservations rejected as Full and on latency well above its baseline.
type limit struct {
	slots       float64
	maxSlots    float64
	meanLatency time.Duration // exponential moving average
	baseline    time.Duration // lowest latency, raised by baselineGrowth with each sample
	decreasedAt time.Time
}

func (l *limit) reset(h bundle.Host) {
	l.setMax(h)
	l.slots = l.maxSlots
}

func (l *limit) setMax(h bundle.Host) {
	l.maxSlots = float64(max(1, min(h.Capacity.Slots, h.Connections)))
	l.slots = min(l.slots, l.maxSlots)
}

// admits reports whether a task of the given slots fits within the limit. The first task is admitted whatever its
// size, so that a low limit does not exclude large tasks.
func (l *limit) admits(used, slots int) bool {
	return used == 0 || used+slots <= int(math.Ceil(l.slots))
}

func (l *limit) observe(r Report, used int, now time.Time) {
	if r.Latency > 0 {
		l.recordLatency(r.Latency)
	}
	switch {
	case r.Outcome == Full:
		l.decrease(min(l.slots, float64(used))*rejectionFactor, now)
	case r.Outcome != Succeeded:
	case l.meanLatency > 2*l.baseline+baselineTolerance:
		l.decrease(l.slots*latencyFactor, now)
	default:
		l.slots = min(l.maxSlots, l.slots+1/max(1, l.slots))
	}
}

func (l *limit) recordLatency(sample time.Duration) {
	if l.meanLatency == 0 {
		l.meanLatency, l.baseline = sample, sample
		return
	}
	l.meanLatency += time.Duration(latencySmoothing * float64(sample-l.meanLatency))
	l.baseline = min(sample, time.Duration(float64(l.baseline)*baselineGrowth))
}

func (l *limit) decrease(to float64, now time.Time) {
	if now.Sub(l.decreasedAt) < minDecreaseInterval {
		return
	}
	l.decreasedAt = now
	l.slots = max(1, to)
}
