package schedule

import "time"

// Turns of demand recur: after a turn of one pool that of another one begins, always the same. What earlier turns needed, and when
// they began, predicts the next one, so that its machines can be there when it begins.
//
// Load pattern: four queues, each with its own pool, take turns of some seconds in a fixed order. Without such an order predictions are
// made and compared with what happens, but move no machines.

const (
	// minTurnTolerance, turnToleranceShare and maxTurnTolerance are by how much the begin of a turn may differ from the prediction.
	// A begin is noticed with a delay of 0.15 to 0.75 s.
	minTurnTolerance   = 700 * time.Millisecond
	turnToleranceShare = 0.1 // of the delay after the turn before
	maxTurnTolerance   = 1500 * time.Millisecond
	// nearTolerance is how many times the tolerance a begin may differ for the succession to be kept, with less trust.
	nearTolerance = 2
	// maxSuccession is the longest time between the begins of two turns that are taken for a succession.
	maxSuccession = 60 * time.Second
	// initialTrust lets the first prediction move machines. Each confirmed prediction adds one, a wrong one takes two away and leaves
	// none: then one or two in a row have to be confirmed before machines move for the next.
	initialTrust = 1
	maxTrust     = 3
	wrongTrust   = 2
	minTrust     = -1
	// maxHeightRatio bounds the predicted height where the heights of turns differ much.
	maxHeightRatio = 1.25
)

// turnShares are the shares of the earlier turn's height for which machines are moved, by the trust in predictions.
var turnShares = []float64{0.5, 0.8, 1}

// poolTurns is what is known about the turns of one pool.
type poolTurns struct {
	heights [2]int64         // of the last two turns, in thousandths of a core, the newest first; 0: none
	lengths [2]time.Duration // of these turns
	next    succession
	begin   time.Duration // of the turn in progress
	active  bool
	assumed bool // the turn in progress was not noticed but follows from the record of an earlier owner
}

// succession is which pool's turn begins after one of this pool, and how much later.
type succession struct {
	pool      string // empty: not known
	delay     time.Duration
	confirmed int // predictions in a row
}

// turnForecast is the prediction of the next turn.
type turnForecast struct {
	pool, after string
	at          time.Duration
	share       float64 // of the earlier height; 0: machines are not moved for it
}

func (f *turnForecast) tolerance(delay time.Duration) time.Duration {
	share := time.Duration(turnToleranceShare * float64(delay))
	return min(max(share, minTurnTolerance), maxTurnTolerance)
}

// turnBook has the turns of all pools. It is pure: times are given by its caller.
type turnBook struct {
	pools    map[string]*poolTurns
	last     string // pool of the last turn that began; empty: none is known
	lastAt   time.Duration
	forecast *turnForecast
	trust    int
}

func newTurnBook() *turnBook { return &turnBook{pools: map[string]*poolTurns{}, trust: initialTrust} }

func (b *turnBook) pool(name string) *poolTurns {
	t := b.pools[name]
	if t == nil {
		t = &poolTurns{}
		b.pools[name] = t
	}
	return t
}

// knows reports whether the pool has had a turn.
func (b *turnBook) knows(pool string) bool {
	t := b.pools[pool]
	return t != nil && t.heights[0] > 0
}

// height returns the demand of the pool's next turn, in thousandths of a core: the mean of the last two, at most maxHeightRatio times the
// lower one.
func (t *poolTurns) height() int64 {
	if t.heights[1] == 0 {
		return t.heights[0]
	}
	lower := min(t.heights[0], t.heights[1])
	return min((t.heights[0]+t.heights[1])/2, int64(maxHeightRatio*float64(lower)))
}

// length returns the length of the pool's next turn: the shorter one of the last two.
func (t *poolTurns) length() time.Duration {
	if t.lengths[1] == 0 {
		return t.lengths[0]
	}
	return min(t.lengths[0], t.lengths[1])
}

// forecastOutcome is what has become of a prediction.
type forecastOutcome int

const (
	forecastPending forecastOutcome = iota
	forecastConfirmed
	forecastNear // the right pool, earlier or later than the tolerance allows, but not by twice as much
	forecastWrong
)

// began records that a turn of the pool has begun, and returns the prediction that was pending and its outcome. forecastPending:
// there was none.
func (b *turnBook) began(pool string, at time.Duration) (*turnForecast, forecastOutcome) {
	if b.isAssumed(pool, at) {
		b.confirmAssumed(pool, at)
		return nil, forecastPending
	}
	checked, outcome := b.forecast, forecastPending
	if checked != nil {
		outcome = b.compare(checked, pool, at)
	}
	b.settle(checked, outcome)
	b.learnSuccession(pool, at, outcome == forecastConfirmed || outcome == forecastNear)
	t := b.pool(pool)
	t.active, t.assumed, t.begin = true, false, at
	b.last, b.lastAt = pool, at
	b.predict()
	return checked, outcome
}

// compare returns the outcome of a prediction when a turn of the pool begins.
func (b *turnBook) compare(f *turnForecast, pool string, at time.Duration) forecastOutcome {
	off, tolerance := (at - f.at).Abs(), f.tolerance(b.pool(f.after).next.delay)
	switch {
	case pool != f.pool || off > nearTolerance*tolerance:
		return forecastWrong
	case off > tolerance:
		return forecastNear
	}
	return forecastConfirmed
}

// learnSuccession records that a turn of the pool followed the last one, as was known or not.
func (b *turnBook) learnSuccession(pool string, at time.Duration, known bool) {
	if b.last == "" || at-b.lastAt > maxSuccession {
		return
	}
	before := &b.pool(b.last).next
	delay := at - b.lastAt
	if known {
		before.delay = (before.delay + delay) / 2
		return
	}
	*before = succession{pool: pool, delay: delay}
}

// settle updates the trust in predictions.
func (b *turnBook) settle(f *turnForecast, outcome forecastOutcome) {
	if f == nil {
		return
	}
	b.forecast = nil
	next := &b.pool(f.after).next
	switch outcome {
	case forecastConfirmed:
		b.trust = min(b.trust+1, maxTrust)
		next.confirmed++
	case forecastNear:
		b.trust = max(b.trust-1, min(b.trust, initialTrust))
	case forecastWrong:
		b.trust = max(min(b.trust-wrongTrust, 0), minTrust)
		*next = succession{}
	case forecastPending:
	}
}

// predict sets the prediction that follows from the last turn; nil: there is none.
func (b *turnBook) predict() {
	b.forecast = nil
	next := b.pool(b.last).next
	if next.pool == "" || b.pool(next.pool).height() == 0 {
		return
	}
	b.forecast = &turnForecast{pool: next.pool, after: b.last, at: b.lastAt + next.delay, share: b.share()}
}

// share returns the share of the earlier height for which machines are moved.
func (b *turnBook) share() float64 {
	if b.trust <= 0 {
		return 0
	}
	return turnShares[min(b.trust, len(turnShares))-1]
}

// expire ends the pending prediction if its turn has not begun in time, and returns it.
func (b *turnBook) expire(now time.Duration) *turnForecast {
	b.endAssumed(now)
	f := b.forecast
	if f == nil || now <= f.at+nearTolerance*f.tolerance(b.pool(f.after).next.delay)+turnRiseWindow {
		return nil
	}
	b.settle(f, forecastWrong)
	return f
}

// ended records that a turn of the pool has ended.
func (b *turnBook) ended(pool string, length time.Duration, height int64) {
	t := b.pool(pool)
	t.active = false
	t.heights = [2]int64{height, t.heights[0]}
	t.lengths = [2]time.Duration{length, t.lengths[0]}
}

// abandoned records that what had begun was no turn.
func (b *turnBook) abandoned(pool string) { b.pool(pool).active = false }

// inTurn returns the demand of the turn that is in progress in the pool, as the earlier ones had it, or 0. Machines that are moved
// now can be used after lead; none is moved for a turn that will have ended by then.
func (b *turnBook) inTurn(pool string, now, lead time.Duration) int64 {
	t := b.pools[pool]
	if t == nil || !t.active || now+lead > t.begin+t.length() {
		return 0
	}
	return t.height()
}

// endsWithin reports whether the turn in progress in the pool ends within the given time, if it is as long as the longer one of the last
// two. A turn that has gone on for longer is unlike them.
func (b *turnBook) endsWithin(pool string, now, within time.Duration) bool {
	t := b.pools[pool]
	if t == nil || !t.active || t.heights[0] == 0 {
		return false
	}
	end := t.begin + max(t.lengths[0], t.lengths[1])
	return now+within > end && now < end+minTurnTolerance
}

// expected returns the demand for which machines are to be moved to the pool before its next turn begins, or 0.
func (b *turnBook) expected(pool string, now, lead time.Duration) int64 {
	f := b.forecast
	if f == nil || f.pool != pool || now+lead < f.at {
		return 0
	}
	return int64(f.share * float64(b.pool(pool).height()))
}

// isRegular reports whether the last predictions were right, so that the length and the height of turns are known too.
func (b *turnBook) isRegular() bool { return b.trust > initialTrust }

// isBetweenTurns reports whether the pool's turns are known and none is in progress or about to begin.
func (b *turnBook) isBetweenTurns(pool string, now, lead time.Duration) bool {
	t := b.pools[pool]
	return t != nil && b.isRegular() && t.heights[0] != 0 && !t.active && b.expected(pool, now, lead) == 0
}
