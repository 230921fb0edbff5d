package owner

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/announce"
	"citrongauge.example/citrongauge/clock"
	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/platform"
)

const (
	// sufficientCores and sufficientLinkMbps are the processor time and network bandwidth that an owner of several
	// hundred upstreams can use. More does not raise a host's fitness.
	sufficientCores    = 0.4
	sufficientLinkMbps = 100.0
	// maxClaimDelay is how long a host of fitness 0 waits before it claims a free ownership. Fitter hosts wait less, so
	// they usually claim it first.
	maxClaimDelay = 300 * time.Millisecond
	// minFitnessGain is the difference in fitness that justifies a change of owner, during which no task is started for
	// about 100 ms.
	minFitnessGain = 0.25
	// minOwnershipAge is the time after the claim before which an owner ignores handover requests.
	minOwnershipAge = 2 * time.Second
	// handoverRequestPause is how long a host that has lost the ownership sends no handover request, since it may be
	// unable to reach the store or the upstreams.
	handoverRequestPause = 15 * time.Second
	// maxStoreAgeForHandover is the longest time since the store's last response at which a host still requests a
	// handover.
	maxStoreAgeForHandover = time.Second
)

// errHandedOver ends an ownership that is handed over to a fitter host.
var errHandedOver = errors.New("handed over to a fitter host")

// fitness rates a host as an owner from 0 to 1 by its scarcest resource. Resources of unknown capacity do not count.
func fitness(capacity platform.HostCapacity) float64 {
	fit := 1.0
	if capacity.Cores > 0 {
		fit = min(fit, capacity.Cores/sufficientCores)
	}
	if capacity.LinkMbps > 0 {
		fit = min(fit, capacity.LinkMbps/sufficientLinkMbps)
	}
	return fit
}

// delayClaim waits before a free ownership is claimed, for longer on a less fit host, so that fitter hosts claim it
// first.
func (o *Owner) delayClaim(ctx context.Context) {
	if delay := time.Duration((1 - o.fitness) * float64(maxClaimDelay)); delay > 0 {
		clock.Sleep(ctx, delay)
	}
}

// requestHandover requests a handover from the owner if this host is fitter by at least minFitnessGain.
func (o *Owner) requestHandover(record ledger.OwnerRecord) {
	if o.fitness < record.Fitness+minFitnessGain || o.Operator.StoreAge() > maxStoreAgeForHandover || clock.Now() < o.nextHandoverRequest {
		return
	}
	o.Log("asks for the ownership", "owner", record.Host, "owner_fitness", record.Fitness, "fitness", o.fitness)
	o.SendToOwner(announce.Message{HandoverTo: o.Host})
}

// handOver ends the ownership in favor of a fitter host, unless it is younger than minOwnershipAge.
func (s *session) handOver(fitterHost string) {
	if clock.Now() < s.claimedAt+minOwnershipAge || s.failure != nil {
		return
	}
	s.Log("ownership handed over", "to", fitterHost, "token", s.ownership.Token)
	s.failure = errHandedOver
}
