// Package admission schedules the waiting requests of an entry host.
//
// Each team has one queue per pool. When the demand for a pool exceeds its capacity, the teams share the pool by
// weighted dominant-resource fairness (Ghodsi et al., NSDI 2011) across the whole fleet: entry hosts exchange their
// use and waiting demand per pool and team (Load), and each computes the same entitlements from these reports. The
// local entitlement of a host is the fraction of a team's entitlement that equals the host's fraction of the team's
// demand. The host uses it without waiting for the other hosts.
//
// The scheduler only selects requests; package dispatch runs the released ones.
package admission
