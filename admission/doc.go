// Package admission schedules the waiting requests of an entry host.
//
// Each team has one queue per pool. When the demand for a pool exceeds its capacity, the teams share the pool by
// weighted dominant-resource fairness (Ghodsi et al., NSDI 2011) across the whole fleet: entry hosts exchange their
// use and waiting demand per pool and team (Load), and each computes the same entitlements from these reports. Each
// host takes a fraction of a team's entitlement equal to its fraction of the team's demand, without waiting for the
// other hosts.
//
// The scheduler only selects requests; package dispatch runs the released ones.
package admission
