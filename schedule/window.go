package schedule

import "time"

// startWindow bounds the number of starts in flight. The owner's processor or link may be slower than the fleet takes
// starts: without a bound, starts and the responses to polls queue up until they time out, and a start without a
// response blocks its task for longer than a start that is sent later.
//
// Load pattern: after a takeover or at the beginning of a burst, thousands of tasks wait and all upstreams are free.
type startWindow struct {
	limit    float64
	inFlight int
	held     bool // stored starts wait until they may be sent
	// urgentAt is when work that can be on time was seen waiting last.
	urgentAt time.Duration
	// reducedAt is when limit was last reduced. Starts sent earlier say nothing about the present limit.
	reducedAt time.Duration
	// responseTime and storeTime are moving averages: of the time until a start has returned, and until a batch of records is
	// stored. 0: not known yet.
	responseTime, storeTime time.Duration
}

const (
	initialStartWindow = 256
	minStartWindow     = 16
	// slowResponse is the response time above which the window shrinks: a fraction of the timeout of a command.
	slowResponse = 150 * time.Millisecond
	// windowReduction is the factor by which the window shrinks, at most once for the starts of one window.
	windowReduction = 0.8
	// windowGrowth is by how much the window grows while as many starts as it allows are answered in time.
	windowGrowth = 16
	// storeRounds is how many times storeTime a planned start waits, on average: for a half of the batch that is being stored
	// and for the next one, which contains its record.
	storeRounds = 1.5
	// maxPlannedWindows bounds the planned starts, as a multiple of limit: they take capacity before they are sent.
	// maxHeldWindows does so while some of them are stored and wait until they may be sent, so that more would only wait longer.
	maxPlannedWindows = 4
	maxHeldWindows    = 1
	// urgentMemory is how long after the last work that could be on time no more starts are planned than the window allows in
	// flight: such work would wait behind them.
	urgentMemory = time.Second
	// averageWeight is the weight of a new measurement.
	averageWeight = 0.1
)

// maySend reports whether one more start may be sent.
func (w *startWindow) maySend() bool { return float64(w.inFlight) < w.limit }

// mayPlan reports whether one more start may be planned, besides those that wait until they are stored and may be sent. For work
// that is late in any case, as many may be planned as the window allows to send in the time until they are stored: if they
// counted as in flight, a store that takes longer than the starts would set their rate.
func (w *startWindow) mayPlan(now time.Duration, planned int) bool {
	return float64(w.inFlight+planned) < w.limit*(1+w.plannedWindows(now))
}

// plannedWindows returns how many starts may be planned in addition to limit, as a multiple of it.
func (w *startWindow) plannedWindows(now time.Duration) float64 {
	if w.responseTime == 0 || now < w.urgentAt+urgentMemory {
		return 0
	}
	most := float64(maxPlannedWindows)
	if w.held {
		most = maxHeldWindows
	}
	return min(storeRounds*float64(w.storeTime)/float64(w.responseTime), most)
}

// stored records how long a batch of records has taken to store.
func (w *startWindow) stored(took time.Duration) { w.storeTime = average(w.storeTime, took) }

func average(old, measured time.Duration) time.Duration {
	if old == 0 {
		return measured
	}
	return old + time.Duration(averageWeight*float64(measured-old))
}

// returned records that a start has returned. Its response time includes the time until the core handles it. A start
// without a response changes nothing: its upstream may be unreachable.
func (w *startWindow) returned(now, sentAt time.Duration, answered bool) {
	w.inFlight--
	if answered {
		w.responseTime = average(w.responseTime, now-sentAt)
	}
	switch {
	case !answered:
	case now-sentAt <= slowResponse:
		w.limit += windowGrowth / w.limit
	case sentAt >= w.reducedAt:
		w.limit = max(windowReduction*w.limit, minStartWindow)
		w.reducedAt = now
	}
}
