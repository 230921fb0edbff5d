package entry

import "time"

// The balancer asks each host once a second whether it is ready, and gives a host that twice was not no new connections. If no
// host of a zone is left, the zone's clients are connected to another zone.
//
// Load pattern: a zone is cut off from the store. Its clients use up their attempts within some seconds at hosts that can only
// refuse them, while the hosts of other zones could serve them.

const (
	// maxReadyStoreAge is the longest time since the store's last response at which the host reports itself ready. With the
	// balancer's two seconds, the attempts of a client that is refused first span the time until it is served elsewhere.
	maxReadyStoreAge = time.Second
	// idleProbeAge is the time since the store's last response after which a host without calls probes the store. It leaves half of
	// maxReadyStoreAge for the response.
	idleProbeAge = maxReadyStoreAge / 2
)

// readiness is what the answer to a readiness probe depends on.
type readiness struct {
	draining  bool
	hasBundle bool
	storeAge  time.Duration // since the store's last response
	silent    time.Duration // for how long the store is known not to answer; 0: it is not known to be silent
}

// isReady reports whether the host can serve new clients.
func (r readiness) isReady() bool {
	return !r.draining && r.hasBundle && r.silent == 0 && r.storeAge <= maxReadyStoreAge
}
