package owner

import (
	"time"

	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/platform"
)

// The terms of an ownership bound the leases on upstreams by the expiry of the owner's key, so that the next owner can count
// from there: a lease on an upstream ends at most upstreamLease+leaseBeyondRenewal after the last renewal of the owner's lease,
// which the key outlives by leaseDuration.

// leaseBeyondRenewal returns how much longer than its own length a lease on an upstream can last after the last renewal of the
// owner's lease. Most leases that are still extended while renewals fail are not shortened by it.
func (o *Owner) leaseBeyondRenewal() time.Duration { return o.leaseDuration() * 2 / 3 }

// areTermsDue reports whether the terms are to be stored. They have to hold for leases as well that the ownership before granted
// until the claim: these end in time if the owner's key is certain to exist for long enough after it.
func (s *session) areTermsDue() bool {
	return !s.termsStored && s.claimedAt+leaseMargin <= s.lease.renewedAt()+s.leaseBeyondRenewal()
}

// appendTerms adds a write of the terms.
func (s *session) appendTerms(writes []ledger.Write) ([]ledger.Write, error) {
	s.termsStored = true
	write, err := s.ownership.TermsWrite(upstreamLease + s.leaseBeyondRenewal() - s.leaseDuration())
	return append(writes, ledger.Write{Extra: []platform.Write{write}}), err
}
