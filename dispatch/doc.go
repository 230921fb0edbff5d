// Package dispatch runs one task at an upstream after admission has chosen it: reserve, check again, start, wait for
// the result while renewing the lease, and answer.
//
// Machine is the pure state machine of one task: Step takes an event and a time and returns effects. Runner performs
// the effects with upstream.Client calls. An attempt is one reservation at one upstream, under a new random ID; every
// answer is bound to its call and its attempt.
//
// A non-idempotent task has at most one attempt whose Start was sent and not proved void. Every other path ends with
// that attempt's outcome or with a 3xxx code.
//
// # Refusals
//
// Each 2xxx answer, and why it is true that no attempt was run or will be. A task whose earlier attempt ran, or may
// have run, never gets one: the outcome of that attempt is answered instead.
//
//	path                                        code                        why it was not run
//	Gate.Acquire refuses                        the Gate's                  no attempt exists
//	no candidate, retries used up               NoUpstream or               no attempt has a Start
//	                                            ZoneOutOfService
//	Gate.Check refuses before Reserve           the Gate's                  no Start was sent
//	Reserve refused: full, leaving, stale epoch RetriesExhausted            nothing was reserved, no Start was sent
//	Reserve not answered                        RetriesExhausted            no Start was sent; a reservation that took
//	                                                                        effect late lapses unused
//	Gate.Check refuses after Reserve            the Gate's                  no Start was sent; Release was answered or
//	                                                                        the reservation has lapsed
//	Gate.Check refuses a repeated Start         the Gate's                  Result said lapsed after the Release
//	Start refused, reservation lapsed           RetriesExhausted            the upstream cannot start it any more
//	first Start refused for another reason      RetriesExhausted            the only Start sent was refused
//	Start not answered, Result says lapsed      RetriesExhausted            the upstream cannot start it any more
//	Start not answered, attempt not found       RetriesExhausted            the upstream has been up since before the
//	after the lapse                                                         reservation, and it remembers what it runs
//	cancelled or deadline passed before Start   CancelledBeforeRun or       no Start was sent; an answered reservation
//	                                            DeadlinePassed              was released or has lapsed
//	cancelled or deadline passed while the      CancelledBeforeRun or       as for the Start not answered
//	answer to Start was awaited                 DeadlinePassed
//
// ErrDuplicate from Reserve is not proof: the request ID was used by another entry host, and the answer is OwnerLost.
//
// # Slots
//
// The slots of an attempt are given back at once when its end, or that it was never started, is proved. Otherwise
// they are held until the reservation must have lapsed, if no Start was sent, or until the lease must have lapsed. A
// renewal without an answer may take effect at any time while the lease holds, so each one adds a whole lease to
// that time, and so does a second delivery of the last answered one.
package dispatch
