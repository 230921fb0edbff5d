package owner

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/clock"
	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/witness"
)

const (
	// queryTimeout bounds one query of a witness, and queryPause is the pause after one that failed.
	queryTimeout = 300 * time.Millisecond
	queryPause   = 50 * time.Millisecond
)

// earlierPermits combines the responses of the witnesses of an ownership before: until when that may have made unrecorded starts. A
// permit of all witnesses was needed for them, so the response of one can only shorten that time.
type earlierPermits struct {
	until   time.Duration // by the monotonic clock; 0: there were none
	jobs    uint64        // highest revision of a job that may have had some; 0: not known
	process map[string]string
}

// newEarlierPermits returns what is known before any witness has responded. An owner acts for maxBeyondRenewal after its last renewal at
// most, which was sent before the next claim.
func newEarlierPermits(record *ledger.WitnessRecord, claimed time.Duration) earlierPermits {
	if record == nil {
		return earlierPermits{}
	}
	e := earlierPermits{until: claimed + maxBeyondRenewal, process: map[string]string{}}
	for _, w := range record.Witnesses {
		e.process[w.Host] = w.Process
	}
	return e
}

// noteEnd records a time by which the ownership before had ended, with its process.
func (e *earlierPermits) noteEnd(at time.Duration) {
	e.until = min(e.until, at)
}

// zonesOf returns the zones of an ownership: those that the owner used whose unrecorded starts may not be resolved, since the zone of
// each job follows from them; otherwise those of the settings.
func zonesOf(record *ledger.WitnessRecord, settings []string) []string {
	if record == nil || len(record.Zones) == 0 {
		return settings
	}
	return record.Zones
}

// note records the response of a host. It reports whether that says anything. The process that was named has granted no permit since
// another one began.
func (e *earlierPermits) note(host string, response witness.Response, now time.Duration) bool {
	process := e.process[host]
	if process == "" {
		return false
	}
	if response.Process != process {
		began := now - time.Duration(response.AgeMS)*time.Millisecond
		e.until = min(e.until, began+witness.MaxDuration)
		return true
	}
	switch response.Outcome {
	case witness.None:
		e.until = 0
	case witness.Open:
		e.until = min(e.until, now+time.Duration(response.LeftMS)*time.Millisecond)
		if e.jobs == 0 || response.NewestJob < e.jobs {
			e.jobs = response.NewestJob
		}
	default:
		return false
	}
	return true
}

// queryWitnesses asks the witnesses of an ownership before about its permits, all of them at a time.
func (s *session) queryWitnesses(ctx context.Context) {
	record := s.ownership.EarlierWitnesses
	if record == nil {
		return
	}
	s.Log("earlier owner had witnesses", "generation", record.Generation, "witnesses", len(record.Witnesses),
		"unrecorded_until_ms", (s.earlierPermits.until - clock.Now()).Milliseconds())
	if len(record.Witnesses) == 0 {
		s.Log("unreadable record of the earlier owner's witnesses")
	}
	for _, w := range record.Witnesses {
		go s.queryWitness(ctx, w, record.Generation)
	}
}

// queryWitness asks one witness until it responds or its response can't matter any more.
func (s *session) queryWitness(ctx context.Context, w ledger.Witness, about uint64) {
	client := witness.NewClient(w.Address)
	defer client.Close()
	request := witness.Request{Kind: witness.Query, Generation: s.ownership.Generation, About: about}
	var failure error
	for ctx.Err() == nil && clock.Now() < s.claimedAt+maxBeyondRenewal {
		queryCtx, cancel := context.WithTimeout(ctx, queryTimeout)
		response, err := client.Do(queryCtx, request)
		cancel()
		if err == nil {
			s.post(ctx, func(s *session) { s.handleQuery(w, about, response) })
			return
		}
		failure = err
		if errors.Is(err, witness.ErrUnsupported) {
			break
		}
		clock.Sleep(ctx, queryPause)
	}
	if failure != nil && ctx.Err() == nil {
		s.Log("witness of the earlier owner not reached", "witness", w.Host, "generation", about, "error", failure.Error())
	}
}

func (s *session) handleQuery(w ledger.Witness, about uint64, response witness.Response) {
	known := s.earlierPermits.until
	isKnown := s.earlierPermits.note(w.Host, response, clock.Now())
	s.Log("witness of the earlier owner", "witness", w.Host, "generation", about, "outcome", response.Outcome.String(), "same_process", response.Process == w.Process,
		"left_ms", response.LeftMS)
	s.core.SetEarlierUnrecordedJobs(s.earlierPermits.jobs)
	if isKnown && s.earlierPermits.until != known {
		s.core.SetEarlierUnrecorded(s.earlierPermits.until)
	}
}
