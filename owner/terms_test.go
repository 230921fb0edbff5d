package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/clock"
	"citrongauge.example/citrongauge/ledger"
)

// Guards against terms that are stored before the owner's key is certain to outlive the leases of the ownership before, which may have
// been granted until the claim (TWICE).
func TestTermsAreStoredOnceTheyHoldForEarlierLeases(t *testing.T) {
	for _, minLease := range []time.Duration{0, 3 * time.Second, 10 * time.Second, 20 * time.Second} {
		is := is.New(t)
		o := &Owner{}
		o.Settings.Store.MinLease = minLease
		s := &session{Owner: o, lease: &leaseKeeper{owner: o}, claimedAt: clock.Now()}
		// The key expires no sooner than leaseDuration after the renewal, and the terms promise the end of all leases from then on.
		promised := func(renewed time.Duration) time.Duration {
			return renewed + o.leaseDuration() + upstreamLease + o.leaseBeyondRenewal() - o.leaseDuration()
		}
		for back := 2 * o.leaseDuration(); back >= 0; back -= 10 * time.Millisecond {
			s.lease = &leaseKeeper{owner: o}
			s.lease.extend(s.claimedAt - back)
			if s.areTermsDue() {
				is.True(promised(s.lease.renewedAt()) >= s.claimedAt+upstreamLease)
			}
		}
		is.True(s.areTermsDue()) // after a renewal at the claim
		s.termsStored = true
		is.True(!s.areTermsDue())
	}
}

// Guards against a wait that is cut by the terms of an ownership whose key was replaced rather than expired (TWICE): its leases count
// from the start of this process in full.
func TestTermsDoNotHoldForAnEarlierProcessOfTheHost(t *testing.T) {
	is := is.New(t)
	record := ledger.OwnerRecord{Host: "edge-1", Process: "p0", Generation: 4}
	o := &Owner{Options: Options{Host: "edge-1", Process: "p1"}, startedAt: time.Hour}
	o.predecessor.noteKey(ownerItem(t, record), record, time.Hour+time.Second)
	ended, longest, _ := o.endOfEarlier(&ledger.Ownership{Generation: 5, EarlierLease: time.Second})
	is.Equal(ended, time.Hour)
	is.Equal(longest, time.Duration(0))
}
