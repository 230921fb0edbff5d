package main

import (
	"testing"
	"time"

	"citrongauge.example/citrongauge/ledger"
	platformfleet "citrongauge.example/citrongauge/testbed/fleet"
)

const (
	// outageTime is longer than the leases of upstreams, which have ended when the store is back.
	outageTime = 8 * time.Second
	// takeoverBound is the longest time from the end of an outage until a task runs whose upstream is gone: 2 s less than users
	// wait, for a claim that comes late.
	takeoverBound = calmBefore - 2*time.Second
)

// TestSilentStoreDoesNotProlongTheWaitForALease guards against a long-running task that waits for the lease on its upstream, which
// is gone, from the claim of a new owner. No host has seen the former owner's key go, but its process knows its leases.
func TestSilentStoreDoesNotProlongTheWaitForALease(t *testing.T) {
	t.Parallel()
	s := &longRunning{soakRun: newSoak(t, 5, 1, 0)}
	s.submitLongRunning(firstLongJob, 1, "")
	upstream, former := s.waitForRuns(1), s.owner()
	for _, h := range s.hosts {
		h.storeProxy.SetFault(platformfleet.ProxyFault{StallToTarget: true, StallFromTarget: true})
	}
	s.loseForGood(upstream)
	s.hosts[former].gate.SetClosed(true) // also when the others are served again, so that one of them claims
	time.Sleep(outageTime)
	for i, h := range s.hosts {
		if i != former {
			h.storeProxy.SetFault(platformfleet.ProxyFault{})
		}
	}
	s.waitForRestart(takeoverBound)
}

// TestFailedClaimsDoNotProlongTheWaitForALease guards against the same wait after the former owner's process is gone, if the
// other hosts see its key go but cannot claim.
func TestFailedClaimsDoNotProlongTheWaitForALease(t *testing.T) {
	t.Parallel()
	s := &longRunning{soakRun: newSoak(t, 6, 1, 0)}
	s.submitLongRunning(firstLongJob, 1, "")
	upstream, former := s.waitForRuns(1), s.owner()
	before := s.fleet.Store.Value(ledger.OwnerKey)
	s.loseForGood(upstream)
	s.fleet.Store.SetFaults(platformfleet.StoreFaults{SilentPrefix: "cg/chain"}) // which each claim reads
	_ = s.hosts[former].process.Process.Kill()
	_ = s.hosts[former].process.Wait()
	for deadline := time.Now().Add(5 * time.Second); string(s.fleet.Store.Value(ledger.OwnerKey)) == string(before); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the owner's key did not go")
		}
	}
	time.Sleep(outageTime)
	s.fleet.Store.SetFaults(platformfleet.StoreFaults{})
	s.waitForRestart(takeoverBound)
}

// loseForGood ends an upstream, and its entry.
func (s *longRunning) loseForGood(u int) {
	id := s.fleet.Upstreams[u].CurrentID()
	s.left.Store(u, true)
	s.fleet.Upstreams[u].Restart(id)
	s.fleet.Proxies[u].Close()
	s.fleet.Store.Delete("servers/" + id)
}

// waitForRestart waits until a second run has begun.
func (s *longRunning) waitForRestart(bound time.Duration) {
	from := time.Now()
	s.waitForRuns(2)
	took := time.Since(from)
	s.t.Logf("started again %v after the outage", took)
	if took > bound {
		s.t.Errorf("started again %v after the outage, bound %v", took, bound)
	}
}
