// Package maintenance decides which upstream hosts are taken out of service, moved between pools and returned to
// service. See docs/design.md, section 8.
//
// A host is taken out of service by a change of kind BeginDrain: its assignment becomes draining, and then a drain
// command is sent to the upstream. Decisions are pure functions. Plan proposes such changes within the availability
// budgets; Apply applies them to a control record and rejects those that were planned from another state of the record;
// RecheckDrain cancels a drain that its budget no longer allows, right before the command is sent; Actions returns the
// further steps until the host is back in service. Several entry hosts may do this concurrently.
//
// Epochs order the drains of a host: each change into or out of service assigns a new epoch, and an upstream rejects a
// drain with a lower epoch. A host counts as available only once its upstream has confirmed the epoch of its
// assignment, since until then a cancelled drain may still arrive.
package maintenance
