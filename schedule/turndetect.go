package schedule

import (
	"math"
	"time"
)

// A turn is a time in which a pool's demand is several times what it was before. The detector tells its begin and its end from the
// work of the accepted jobs.
//
// Load pattern: a queue demands five times its mean for some seconds and a twentieth of it between these times, with random arrivals.

const (
	// turnRise is by how much the demand exceeds the level before in a turn, at least. A wave that rises as much more slowly, and
	// random arrivals at a constant rate, are no turns.
	turnRise = 4
	// turnChance is the number of standard deviations that count as chance.
	turnChance = 4.0
	// minTurnJobs is the number of jobs of equal work that show a rise, at least.
	minTurnJobs = 5
	// turnRiseWindow is the longest time over which a rise is looked for; a shorter one suffices if the rise is clear.
	turnRiseWindow = 1200 * time.Millisecond
	// turnEndJobs is the number of jobs that would be expected in the window of a turn's end if the turn went on, and
	// minTurnEndWindow and maxTurnEndWindow bound the window.
	turnEndJobs      = 12
	minTurnEndWindow = 450 * time.Millisecond
	maxTurnEndWindow = 1800 * time.Millisecond
	// minTurn and maxTurn bound the length of a turn. What lasts longer is a new level of demand.
	minTurn = time.Second
	maxTurn = 30 * time.Second
	// turnWarmUp is how long a new owner observes a pool before it detects a rise.
	turnWarmUp = 1500 * time.Millisecond
	// levelTime is the time constant of the level between turns.
	levelTime = 3 * time.Second
)

// turnEvent is what a detector has noticed.
type turnEvent int

const (
	noTurnEvent turnEvent = iota
	turnBegan
	turnEnded
	turnAbandoned // what seemed to be a turn was too short or too long
)

// loadBucket is the accepted work of a short time.
type loadBucket struct {
	windowSum
	length time.Duration
}

// turnDetector follows the demand of one pool, in cores.
type turnDetector struct {
	open     windowSum // work since the last call of tick
	tickedAt time.Duration
	buckets  []loadBucket // the last ones, the newest last; they cover maxTurnEndWindow
	observed time.Duration
	level    float64 // between turns
	active   bool
	begin    time.Duration // of the active turn, or of the last one
	end      time.Duration // of the last turn
	total    loadBucket    // of the active turn, or of the last one
	spoiled  bool          // a part of the active turn was not observed
}

// tick closes the present bucket and returns what it shows. A rise to less than least cores is no turn.
func (d *turnDetector) tick(now time.Duration, least float64) turnEvent {
	length := now - d.tickedAt
	first := d.tickedAt == 0
	bucket := loadBucket{d.open, length}
	d.open, d.tickedAt = windowSum{}, now
	if first || length <= 0 {
		return noTurnEvent
	}
	d.buckets = append(d.buckets, bucket)
	if d.active {
		d.total.include(bucket)
		return d.checkEnd(now)
	}
	return d.checkBegin(now, least)
}

func (b *loadBucket) include(other loadBucket) {
	b.work += other.work
	b.squares += other.squares
	b.length += other.length
}

// cores returns the average demand.
func (b *loadBucket) cores() float64 {
	if b.length <= 0 {
		return 0
	}
	return b.work / b.length.Seconds()
}

// recent returns the sum of the newest buckets that cover the window, or of all.
func (d *turnDetector) recent(window time.Duration) loadBucket {
	var sum loadBucket
	for i := len(d.buckets) - 1; i >= 0 && sum.length < window; i-- {
		sum.include(d.buckets[i])
	}
	return sum
}

func (d *turnDetector) checkBegin(now time.Duration, least float64) turnEvent {
	for len(d.buckets) > 0 && d.recent(math.MaxInt64).length-d.buckets[0].length >= turnRiseWindow {
		d.learnLevel(d.buckets[0])
		d.buckets = d.buckets[1:]
	}
	if d.observed < turnWarmUp {
		return noTurnEvent
	}
	var sum loadBucket
	for i := len(d.buckets) - 1; i >= 0; i-- {
		sum.include(d.buckets[i])
		if d.isRise(sum) && sum.cores() >= least {
			d.active, d.spoiled, d.begin, d.total = true, false, now-sum.length, sum
			return turnBegan
		}
	}
	return noTurnEvent
}

// isRise reports whether the work of some time is more than turnRise times the level before explains, and chance. The level may be one
// job in levelTime more than was seen: where jobs are rare, none may have come for long.
func (d *turnDetector) isRise(sum loadBucket) bool {
	if sum.work <= 0 || sum.work*sum.work < minTurnJobs*sum.squares {
		return false
	}
	perJob := sum.squares / sum.work
	expected := turnRise * (d.level + perJob/levelTime.Seconds()) * sum.length.Seconds()
	return sum.work > expected+turnChance*math.Sqrt(expected*perJob)
}

// learnLevel includes a bucket in the level between turns, which is the mean at first.
func (d *turnDetector) learnLevel(bucket loadBucket) {
	d.observed += bucket.length
	weight := max(bucket.length.Seconds()/d.observed.Seconds(), 1-math.Exp(-bucket.length.Seconds()/levelTime.Seconds()))
	d.level += weight * (bucket.cores() - d.level)
}

func (d *turnDetector) checkEnd(now time.Duration) turnEvent {
	for len(d.buckets) > 0 && d.recent(math.MaxInt64).length-d.buckets[0].length >= maxTurnEndWindow {
		d.buckets = d.buckets[1:]
	}
	if now-d.begin > maxTurn {
		d.active, d.level, d.buckets = false, d.total.cores(), nil
		return turnAbandoned
	}
	window := d.endWindow()
	recent := d.recent(window)
	if now-d.begin < window || recent.length < window || recent.cores() > d.total.cores()/turnRise {
		return noTurnEvent
	}
	// Of a window that shows a quarter of the demand, three quarters are after the end.
	d.end = now - recent.length*(turnRise-1)/turnRise
	d.active, d.buckets = false, nil
	d.total.length = max(d.end-d.begin, time.Millisecond)
	if d.end-d.begin < minTurn || d.spoiled {
		return turnAbandoned
	}
	return turnEnded
}

// endWindow returns the time in which some jobs would have come if the turn went on. Jobs of uneven work count as fewer.
func (d *turnDetector) endWindow() time.Duration {
	if d.total.work <= 0 {
		return maxTurnEndWindow
	}
	jobs := d.total.work * d.total.work / d.total.squares
	window := time.Duration(turnEndJobs / jobs * float64(d.total.length))
	return min(max(window, minTurnEndWindow), maxTurnEndWindow)
}
