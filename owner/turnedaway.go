package owner

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/announce"
	"citrongauge.example/citrongauge/clock"
)

// The store may turn the owner's host away while it serves the others. The owner then gives the fleet up through one of them,
// since no task starts before its lease has ended.

const (
	// turnedAwayAfter is how long, and turnedAwayCalls how many times without a success in between, the store fails the calls of
	// a host that counts as turned away.
	turnedAwayAfter = 250 * time.Millisecond
	turnedAwayCalls = 4
	// announcementDelay is how long after the store has accepted a job its announcement may arrive.
	announcementDelay = 200 * time.Millisecond
	// releaseRequests is the number of hosts that are asked to give the ownership up.
	releaseRequests      = 3
	requestReleaseExpiry = 300 * time.Millisecond
	// maxHelpers bounds the number of hosts that an owner remembers for this.
	maxHelpers = 1024
)

// errTurnedAway ends an ownership whose host the store turns away while it serves others.
var errTurnedAway = errors.New("the store turns this host away")

// storeHealth counts the failures of calls to the store since the last one that succeeded. It is safe for concurrent use.
type storeHealth struct {
	mu       sync.Mutex
	failures int
	since    time.Duration // time of the first of them
	trouble  time.Duration // when a call failed or was late last; 0: none
}

// note records the outcome of a call.
func (h *storeHealth) note(now time.Duration, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.trouble = now
	}
	switch {
	case err == nil:
		h.failures = 0
	case h.failures == 0:
		h.failures, h.since = 1, now
	default:
		h.failures++
	}
}

// noteTrouble records that a call was late.
func (h *storeHealth) noteTrouble(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.trouble = now
}

// hadTrouble reports whether a call failed or was late since the given time.
func (h *storeHealth) hadTrouble(since time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.trouble > 0 && h.trouble >= since
}

// isFailing reports whether a call has failed since the last one that succeeded.
func (h *storeHealth) isFailing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures > 0
}

// failingSince returns since when the store has failed all calls. ok is false if it has not done so for turnedAwayAfter.
func (h *storeHealth) failingSince(now time.Duration) (since time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.since, h.failures >= turnedAwayCalls && now >= h.since+turnedAwayAfter
}

// NoteStoreCall records the outcome of a call that the owner has made to the store.
func (o *Owner) NoteStoreCall(err error) { o.storeHealth.note(clock.Now(), err) }

// helpers are the hosts that have announced a job, which the store had accepted from them, with the time of the last one.
type helpers map[*announce.Peer]time.Duration

func (h helpers) note(peer *announce.Peer, now time.Duration) {
	h[peer] = now
	if len(h) > maxHelpers {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(h)), func(a, b *announce.Peer) int { return cmp.Compare(h[a], h[b]) })
		delete(h, oldest)
	}
}

// since returns the hosts that have announced a job since the given time, the last one first.
func (h helpers) since(from time.Duration) []*announce.Peer {
	var found []*announce.Peer
	for peer, at := range h {
		if at >= from {
			found = append(found, peer)
		}
	}
	slices.SortFunc(found, func(a, b *announce.Peer) int { return cmp.Compare(h[b], h[a]) })
	return found
}

// isTurnedAway reports whether the store fails all calls of this host and has served another host meanwhile.
func (s *session) isTurnedAway() bool {
	now := clock.Now()
	since, failing := s.storeHealth.failingSince(now)
	if !failing || now < s.claimedAt+minOwnershipAge {
		return false
	}
	return len(s.helpers.since(since+announcementDelay)) > 0
}

// requestRelease asks other hosts to give up the ownership, which has ended here.
func (s *session) requestRelease(ctx context.Context) {
	asked := s.helpers.since(0)
	asked = asked[:min(len(asked), releaseRequests)]
	ctx, cancel := context.WithTimeout(ctx, requestReleaseExpiry)
	defer cancel()
	var requests sync.WaitGroup
	for _, peer := range asked {
		requests.Go(func() {
			if err := peer.RequestRelease(ctx, s.ownership.Generation); err != nil {
				s.Log("asking a host to give the ownership up failed", "generation", s.ownership.Generation, "error", err.Error())
			}
		})
	}
	requests.Wait()
	s.Log("hosts asked to give the ownership up", "generation", s.ownership.Generation, "hosts", len(asked))
}

// ReleaseFor gives up the ownership of a generation for its owner, which has stopped and cannot reach the store.
func (o *Owner) ReleaseFor(ctx context.Context, generation uint64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := o.Ledger.Release(ctx, generation, callTimeout); err != nil {
		o.Log("ownership not given up for its owner", "generation", generation, "error", err.Error())
		return
	}
	o.Log("ownership given up for its owner", "generation", generation)
}
