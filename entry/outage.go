package entry

import (
	"context"
	"hash/fnv"
	"time"

	"citrongauge.example/citrongauge/clock"
)

const (
	// retrySoon is the Retry-After of a refusal in calm, and of what is refused first in an outage of the store.
	retrySoon = time.Second
	// spreadAfter is the age of an outage from which refused callers return after different times.
	spreadAfter = time.Second
	// retryChoices is the number of different times, whole seconds from retrySoon on. A caller retries up to four times: a
	// mean of 1.5 s lets it outlast an outage of 5 s, and the shortest brings it back within its objective.
	retryChoices = 2
)

// retryAfter returns how long a caller that is refused should wait. silent is for how long the store has not answered; 0: it
// answers. In an outage callers alternate between the choices, so that none of them uses up its attempts with the shortest.
func retryAfter(team, job string, silent time.Duration) time.Duration {
	if silent < spreadAfter {
		return retrySoon
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(team + "/" + job)) // does not fail
	turn := uint64(hash.Sum32()) + uint64(silent/time.Second)
	return retrySoon + time.Duration(turn%retryChoices)*time.Second
}

const (
	// probeInterval is how often a silent store is probed, and so how late its return is noticed at least: as often as the
	// slowest store that still serves answers. All hosts of a large fleet together need a tenth of the store's limit on reads.
	probeInterval  = 200 * time.Millisecond
	probeCheck     = 50 * time.Millisecond
	maxProbes      = 4 // in flight; each ends after 800 ms without a response
	silenceLogStep = 5 * time.Second
)

// probes decides when the store is probed. It is not safe for concurrent use.
type probes struct {
	inFlight int
	next     time.Duration
}

// due reports whether a probe is to be sent now, and counts it: the store is silent, or its last response is idleProbeAge old.
func (p *probes) due(now, silent, storeAge time.Duration) bool {
	if silent == 0 && storeAge < idleProbeAge || now < p.next || p.inFlight >= maxProbes {
		return false
	}
	p.inFlight++
	p.next = now + probeInterval
	return true
}

// silenceLog decides which lines are logged about a silence of the store: its begin, its end and one for each silenceLogStep.
type silenceLog struct {
	active bool
	logged time.Duration // length of the silence at the last line
}

// event returns the event to log, or an empty string.
func (l *silenceLog) event(silent time.Duration) string {
	switch {
	case silent == 0 && l.active:
		l.active = false
		return "store answers again"
	case silent > 0 && !l.active:
		l.active, l.logged = true, silent
		return "store silent"
	case silent > 0 && silent >= l.logged+silenceLogStep:
		l.logged = silent
		return "store still silent"
	}
	return ""
}

// probeStore probes the store while it is silent or this host has no other calls, until ctx ends. Submissions are refused during a
// silence, so that without it a host would notice the store's return only at its next read of the operator's entries, and a silence
// only when a watch ends.
func (s *server) probeStore(ctx context.Context) {
	var probes probes
	var lines silenceLog
	ended := make(chan struct{}, maxProbes)
	ticker := time.NewTicker(probeCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ended:
			probes.inFlight--
		case <-ticker.C:
		}
		silent := s.storeSilence()
		if event := lines.event(silent); event != "" {
			s.log(event, "silent_ms", silent.Milliseconds(), "longest_ms", lines.logged.Milliseconds(), "refused", s.refusedSilent.Swap(0))
		}
		if probes.due(clock.Now(), silent, s.operator.StoreAge()) {
			go func() {
				s.operator.Probe(ctx)
				ended <- struct{}{}
			}()
		}
	}
}
