// Package dispatch runs one task on an upstream after admission has selected it: it reserves capacity, checks again
// that work may start, starts the task, renews its lease while it waits for the result, and returns the answer.
//
// StateMachine decides the steps of one task and performs no I/O: Step takes an event and a time and returns effects.
// Runner performs the effects by calling upstream.Client. An attempt is one reservation on one upstream, with its own
// random ID. Each response is matched to its call by call ID and to its attempt by attempt ID.
//
// A result code 2xxx states that the task did not run, and a code 3xxx that it is unknown whether it ran.
//
// A non-idempotent task has at most one attempt whose Start was sent and was not proved to be without effect. Every
// path that is not in the table below returns the outcome of that attempt or a 3xxx code.
//
// # Rejections
//
// The table lists each path that returns a 2xxx code and the proof that no attempt ran or can still run. A task with an
// earlier attempt that ran, or may have run, never gets a 2xxx code: the outcome of that attempt is returned instead.
//
//	path                                        code                        proof that the task did not run
//	non-idempotent task without a request ID    RequestIDInvalid            no attempt exists
//	Gate.Acquire rejects                        the Gate's                  no attempt exists
//	no upstream found, retries exhausted        NoUpstream or               no Start was sent for any attempt
//	                                            ZoneOutOfService
//	Gate.Check rejects before Reserve           the Gate's                  no Start was sent
//	Reserve rejects: full, leaving, stale epoch RetriesExhausted            nothing was reserved, no Start was sent
//	no response to Reserve                      RetriesExhausted            no Start was sent; a reservation that is
//	                                                                        made late expires unused
//	Gate.Check rejects after Reserve            the Gate's                  no Start was sent; Release succeeded or
//	                                                                        the reservation has expired
//	Gate.Check rejects a repeated Start         the Gate's                  Result reports expired after the Release
//	Start rejected, reservation expired         RetriesExhausted            the upstream can no longer start it
//	first Start rejected for another reason     RetriesExhausted            the only Start sent was rejected
//	no response to Start, Result says expired   RetriesExhausted            the upstream can no longer start it
//	no response to Start, attempt not found     RetriesExhausted            the upstream has been up since before the
//	after the reservation expired                                           reservation and remembers what it runs
//	cancelled or deadline passed before Start   CancelledBeforeRun or       no Start was sent; a confirmed reservation
//	                                            DeadlinePassed              was released or has expired
//	cancelled or deadline passed while the      CancelledBeforeRun or       same as for no response to Start
//	response to Start was pending               DeadlinePassed
//
// ErrDuplicate from Reserve is no such proof: another entry host has used the request ID, and the code is OwnerLost.
//
// # Slots
//
// The slots of an attempt are released at once when the attempt is proved to have ended or never to have started.
// Otherwise they are held until the reservation must have expired, if no Start was sent, or until the lease must have
// expired. A renewal without a response may take effect at any time while the lease is valid, so each such renewal
// extends the hold by a full lease. So does a duplicate delivery of the last renewal that got a response.
package dispatch
