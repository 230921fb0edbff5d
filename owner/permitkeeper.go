package owner

import (
	"math"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/witness"
)

const (
	// permitDuration is the duration of a permit. An owner that only its host is cut off from the store stops at most this long after
	// another host has claimed the fleet, so that a cancellation which was acknowledged meanwhile holds within 3 s.
	permitDuration = time.Second
	// permitMargin is how long before a permit's end its owner no longer uses it, since its clock may run slower than the witness's.
	permitMargin   = 100 * time.Millisecond
	permitInterval = permitDuration / 4
	// newJobInterval is the shortest time between two requests to a witness because of jobs that its last permit did not cover.
	newJobInterval = 50 * time.Millisecond
	// maxBeyondRenewal is how long after the last renewal of its lease an owner may act with permits. The next owner relies on it if no
	// witness responds.
	maxBeyondRenewal = 8 * time.Second
	// lateCall is the age from which a call to the store counts as late.
	lateCall = 100 * time.Millisecond
	// lateRejected replaces lateCall while the store rejects calls or resets their connections. If it serves other hosts, the owner gives the
	// fleet up before (turnedAwayAfter); a permit would then only make the next owner hold tasks back.
	lateRejected = turnedAwayAfter + 150*time.Millisecond
	// storeQuiet is how long no call may have been late before permits are returned. With a slow store, calls are late again and again.
	storeQuiet = time.Second
	// checkInterval is how often a witness is asked for a sign of life while no permits are needed, and lostAfter how long it may give none
	// before it is replaced.
	checkInterval = time.Second
	lostAfter     = 2500 * time.Millisecond
)

// permitPhase is what an owner does with permits.
type permitPhase string

// Phases, in their order.
const (
	permitsIdle      permitPhase = "idle"
	permitsUsed      permitPhase = "used"      // permits are requested; unrecorded starts may be made once all witnesses have granted one
	permitsEnding    permitPhase = "ending"    // no more unrecorded starts; the records of earlier ones are being stored
	permitsReturning permitPhase = "returning" // all starts are recorded
)

// namedWitness is a witness of the owner, with what is known of its permits.
type namedWitness struct {
	ledger.Witness
	zone        string
	validUntil  time.Duration // of its last permit, without the margin; 0: none
	lastPermit  uint64        // number of the last request for a permit
	lastReturn  uint64        // number of the last return
	owes        bool          // a permit may have been granted and not returned
	inFlight    bool
	nextRequest time.Duration
	askedAt     time.Duration // when the last request for a permit was sent
	askedJobs   uint64        // NewestJob of that request
	jobs        uint64        // NewestJob of its permits
	heardAt     time.Duration // last response of the named process, or when it was named
	gone        bool          // it is another process, or of an earlier version
}

// permitInput is what the decisions of a permitKeeper are based on.
type permitInput struct {
	now            time.Duration
	storeLate      bool          // a call to the store has been waiting for longer than lateCall
	leaseValid     bool          // the owner's lease
	renewedAt      time.Duration // when its last renewal was sent
	unrecorded     bool          // the record of a start is not stored yet
	earlierVersion bool          // a host of an earlier version is connected
	newestJob      uint64        // see schedule.Core.NewestJob
}

// permitKeeper decides when permits are requested, used and returned. It does no I/O and reads no clock.
type permitKeeper struct {
	generation uint64
	phase      permitPhase
	witnesses  []*namedWitness
	stored     bool // the store has the record of these witnesses
	number     uint64
	lastLate   time.Duration
	denied     bool // a later generation has asked a witness
}

// permitRequest is a request to a witness.
type permitRequest struct {
	to      *namedWitness
	request witness.Request
	sentAt  time.Duration
}

// step returns the requests that are due.
func (k *permitKeeper) step(in permitInput) []permitRequest {
	k.setPhase(in)
	var requests []permitRequest
	for _, w := range k.witnesses {
		if w.inFlight || in.now < w.nextRequest && !k.lacksJobs(w, in) || !k.stored {
			continue
		}
		if request, ok := k.requestTo(w, in); ok {
			w.inFlight = true
			requests = append(requests, permitRequest{w, request, in.now})
		}
	}
	return requests
}

// lacksJobs reports whether a witness is to be asked before it is due, since its last permit did not cover the newest job.
func (k *permitKeeper) lacksJobs(w *namedWitness, in permitInput) bool {
	return k.phase == permitsUsed && in.newestJob > w.askedJobs && in.now >= w.askedAt+newJobInterval
}

func (k *permitKeeper) setPhase(in permitInput) {
	if in.storeLate {
		k.lastLate = in.now
	}
	mayAsk := k.stored && len(k.witnesses) > 0 && !in.earlierVersion && !k.denied
	isQuiet := in.leaseValid && in.now >= k.lastLate+storeQuiet
	switch {
	case k.phase != permitsUsed && in.storeLate && mayAsk:
		k.phase = permitsUsed
		for _, w := range k.witnesses {
			w.nextRequest = 0
		}
	case k.phase == permitsUsed && (isQuiet || !mayAsk):
		k.phase = permitsEnding
	case k.phase == permitsEnding && isQuiet && k.mayReturn(in):
		k.phase = permitsReturning
		for _, w := range k.witnesses {
			w.validUntil, w.nextRequest, w.jobs, w.askedJobs = 0, 0, 0, 0
		}
	case k.phase == permitsReturning && !k.owesAny():
		k.phase = permitsIdle
	}
}

// mayReturn reports whether nothing is left of what was done with permits: all starts are recorded, and the leases that were granted end
// no later than those that the owner's terms allow.
func (k *permitKeeper) mayReturn(in permitInput) bool {
	return !in.unrecorded && in.leaseValid && in.now <= in.renewedAt+leaseTTL*2/3
}

func (k *permitKeeper) owesAny() bool {
	for _, w := range k.witnesses {
		if w.owes {
			return true
		}
	}
	return false
}

// requestTo returns the request that is due to a witness.
func (k *permitKeeper) requestTo(w *namedWitness, in permitInput) (witness.Request, bool) {
	k.number++
	r := witness.Request{Kind: witness.Return, Generation: k.generation, Number: k.number}
	switch k.phase {
	case permitsUsed, permitsEnding:
		if in.earlierVersion || k.denied {
			return r, false
		}
		r.Kind, r.DurationMS = witness.Permit, permitDuration.Milliseconds()
		r.NewestJob = in.newestJob
		w.lastPermit, w.owes, w.askedAt, w.askedJobs = r.Number, true, in.now, in.newestJob
		w.nextRequest = in.now + permitInterval
	case permitsReturning:
		w.lastReturn = r.Number
		w.nextRequest = in.now + permitInterval
	default:
		w.lastReturn = r.Number
		w.nextRequest = in.now + checkInterval
	}
	return r, true
}

// handle handles the outcome of a request.
func (k *permitKeeper) handle(r permitRequest, response witness.Response, err error, now time.Duration) {
	w := r.to
	w.inFlight = false
	if err != nil {
		w.gone = w.gone || errors.Is(err, witness.ErrUnsupported)
		return
	}
	if response.Process != w.Process {
		w.gone, w.validUntil = true, 0
		return
	}
	w.heardAt = now
	switch response.Outcome {
	case witness.Granted:
		if r.request.Number > w.lastReturn && (k.phase == permitsUsed || k.phase == permitsEnding) {
			w.validUntil = max(w.validUntil, r.sentAt+permitDuration-permitMargin)
			w.jobs = max(w.jobs, r.request.NewestJob)
		}
	case witness.Returned:
		if r.request.Number > w.lastPermit {
			w.owes = false
		}
	case witness.Denied:
		k.denied = true
	}
}

// until returns until when the owner may act without its lease; 0: not at all.
func (k *permitKeeper) until(renewedAt time.Duration) time.Duration {
	if len(k.witnesses) == 0 || !k.stored || k.denied || k.phase != permitsUsed && k.phase != permitsEnding {
		return 0
	}
	until := renewedAt + maxBeyondRenewal
	for _, w := range k.witnesses {
		if w.gone {
			return 0
		}
		until = min(until, w.validUntil)
	}
	return until
}

// unrecordedJobs returns the highest revision of a job that the permits of all witnesses cover.
func (k *permitKeeper) unrecordedJobs() uint64 {
	jobs := uint64(math.MaxUint64)
	for _, w := range k.witnesses {
		jobs = min(jobs, w.jobs)
	}
	return jobs
}

// mayStartUnrecorded reports whether unrecorded starts may be made now.
func (k *permitKeeper) mayStartUnrecorded(now, renewedAt time.Duration) bool {
	return k.phase == permitsUsed && now < k.until(renewedAt)
}

// mayRename reports whether the witnesses may be replaced: the record is then true whichever of the two the store has.
func (k *permitKeeper) mayRename(in permitInput) bool {
	isOff := k.phase == permitsIdle || k.phase == permitsReturning
	return isOff && !in.storeLate && k.mayReturn(in)
}

// name sets the witnesses. The record has to be stored, and setStored to be called, before they are used.
func (k *permitKeeper) name(witnesses []*namedWitness) {
	k.witnesses, k.stored, k.phase = witnesses, false, permitsIdle
}

func (k *permitKeeper) setStored(now time.Duration) {
	k.stored = true
	for _, w := range k.witnesses {
		w.heardAt = max(w.heardAt, now)
	}
}

// isLost reports whether a witness is to be replaced.
func (w *namedWitness) isLost(now time.Duration) bool { return w.gone || now > w.heardAt+lostAfter }
