package owner

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/announce"
	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/steady"
)

const (
	// fitCores and fitLinkMbps are what an owner can use at several hundred upstreams.
	fitCores    = 0.4
	fitLinkMbps = 100.0
	// claimDelay is how long the least fit host leaves a free ownership to fitter ones.
	claimDelay = 300 * time.Millisecond
	// fitterBy is the difference of fitness for which a change of owner, which stops starts for some 100 ms, pays.
	fitterBy = 0.25
	// handoverAfter is the shortest age of an ownership that is handed over.
	handoverAfter = 2 * time.Second
	// askPause is how long a host that has lost the ownership does not ask for it: it may be out of reach of the store
	// or of the upstreams.
	askPause = 15 * time.Second
	// maxStoreAge is the longest silence of the store at which a host asks.
	maxStoreAge = time.Second
)

// errFitter is the reason for which an owner gives up when a larger host asks for the ownership.
var errFitter = errors.New("a larger host asks for the ownership")

// fitness rates a host as an owner, from 0 to 1, by what limits it most. Capacities that are not known do not.
func fitness(capacity platform.HostCapacity) float64 {
	fit := 1.0
	if capacity.Cores > 0 {
		fit = min(fit, capacity.Cores/fitCores)
	}
	if capacity.LinkMbps > 0 {
		fit = min(fit, capacity.LinkMbps/fitLinkMbps)
	}
	return fit
}

// leaveToFitter waits before a free ownership is claimed, so that fitter hosts claim it first.
func (o *Owner) leaveToFitter(ctx context.Context) {
	if delay := time.Duration((1 - o.fitness) * float64(claimDelay)); delay > 0 {
		steady.Sleep(ctx, delay)
	}
}

// askOwner asks a less fit owner for the ownership.
func (o *Owner) askOwner(record ledger.OwnerRecord) {
	if o.fitness < record.Fitness+fitterBy || o.Operator.Age() > maxStoreAge || steady.Now() < o.askAgain {
		return
	}
	o.Log("asks for the ownership", "owner", record.Host, "owner_fitness", record.Fitness, "fitness", o.fitness)
	o.Ask(announce.Message{FitterHost: o.Host})
}

// handOver ends the ownership if it is old enough.
func (r *session) handOver(fitter string) {
	if steady.Now() < r.claimed+handoverAfter || r.failure != nil {
		return
	}
	r.Log("ownership handed over", "to", fitter, "token", r.ownership.Token)
	r.failure = errFitter
}
