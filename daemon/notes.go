package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/grant"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/result"
)

// storeError gives an error of the store a result code.
func storeError(err error, what string, version uint64) error {
	if errors.Is(err, platform.ErrNotFound) {
		return result.Errorf(result.AdminNotFound, "%s %d", what, version)
	}
	return result.Errorf(result.StoreUnavailable, "%v", err)
}

// fleetUse returns the slots in use and the unmet demand of each team, fleet-wide as far as this host knows.
func (inc *incarnation) fleetUse(now time.Time) map[string]grant.PeerUse {
	own := make(map[string]grant.PeerUse)
	for _, l := range inc.scheduler.Loads(now) {
		use := own[l.Team]
		use.InUse += l.Use.Slots
		use.Unmet += l.Waiting.Slots
		own[l.Team] = use
	}
	return sumTeams(own, inc.loads.peerUse(now))
}

// notes lists findings that need an operator's attention.
func (d *Daemon) notes(ctx context.Context, s *state) []string {
	var notes []string
	for _, h := range d.handDrained(ctx) {
		notes = append(notes, fmt.Sprintf("host %s was drained with the platform's tools; it counts as unavailable", h))
	}
	if s.record.AcceptedVersion < s.record.BundleVersion {
		notes = append(notes, fmt.Sprintf("version %d is not accepted yet", s.record.BundleVersion))
	}
	return notes
}

// handDrained returns the hosts that somebody drained outside the system, as far as the platform's list says.
func (d *Daemon) handDrained(ctx context.Context) []string {
	ctx, cancel := context.WithTimeout(ctx, rolloutStoreTimeout)
	defer cancel()
	list, err := d.hosts.Hosts(ctx)
	if err != nil {
		return nil
	}
	var drained []string
	for _, h := range list {
		if h.Drained {
			drained = append(drained, h.ID)
		}
	}
	return drained
}
