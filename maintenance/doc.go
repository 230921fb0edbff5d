// Package maintenance decides which upstream hosts are taken out of service, moved between pools and returned. See
// docs/design.md, section 8.
//
// Decisions are pure. Plan proposes stops within the availability budgets; Apply commits them to a control record
// and refuses those that were planned on another one; Recheck withdraws a stop whose budget no longer allows it,
// right before its drain is sent; Actions carries a stop through to its end. Any number of entry hosts may do this
// at the same time.
//
// Epochs order the drains of a host: each change into or out of service takes a new epoch, and an upstream refuses a
// drain with a lower one. A host counts as available only once its upstream has seen the epoch of its assignment,
// since until then a drain that was withdrawn may still arrive.
package maintenance
