// Package admission decides which waiting request starts next on an entry host.
//
// Each team has a queue per pool. When a pool cannot run everything that is asked of it, the teams' parts follow
// weighted dominant-resource fairness (Ghodsi et al., NSDI 2011) over the whole fleet: entry hosts tell each other
// their use and waiting demand per pool and team (Load), each computes the same entitlements from it, and each
// takes the part of an entitlement that corresponds to its part of the team's demand. No host waits for another.
//
// The scheduler decides; package dispatch runs what it releases.
package admission
