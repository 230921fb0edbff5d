package requestid

import (
	"sort"
	"time"

	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/result"
	"citrongauge.example/citrongauge/upstream"
)

// FenceResponse is an upstream's response to Fence, or the error of the call.
type FenceResponse struct {
	Result upstream.FenceResult
	Err    error
}

// FenceTargets returns the upstreams at which an ID of a cleared issuer must be fenced before ResolveOutcome is
// called: all upstreams of the pool that serves the request's queue. If the issuer is not known to be cleared, fence is
// false and the code of outcome is result.OwnerUnreachable. The Fence calls must be sent after the record was read.
func FenceTargets(id ID, record *control.Record, pool string) (targets []string, outcome Outcome, fence bool) {
	if !isCleared(id, record) {
		return nil, Outcome{Code: result.OwnerUnreachable, Detail: "issued by host " + id.Issuer}, false
	}
	for _, a := range record.Assignments {
		if a.Pool == pool {
			targets = append(targets, a.Host)
		}
	}
	return targets, Outcome{}, true
}

// isCleared reports whether the issuer can no longer start work. The issuer was in the roster at the ID's revision, so
// a later record that does not contain it was written after it was cleared. An older record may not contain it yet.
func isCleared(id ID, record *control.Record) bool {
	if record.Revision < id.Revision {
		return false
	}
	if _, ok := record.Member(id.Issuer); ok {
		return false
	}
	for _, m := range record.Departed {
		if m.ID == id.Issuer {
			return false
		}
	}
	return true
}

// ResolveOutcome determines the outcome of a request whose issuer is cleared. record must be the one that was passed to
// FenceTargets, and responses must hold the responses of the upstreams that FenceTargets returned. now is this host's
// wall clock, read after the last response arrived.
//
// The request was not run if every upstream of the pool proves that it never ran it. An upstream cannot prove this if
// it may have restarted since the ID was issued. If the assignments have changed since then, the upstreams of the pool
// prove nothing, because another upstream may have run the request.
func ResolveOutcome(id ID, now time.Time, record *control.Record, pool string, responses map[string]FenceResponse) Outcome {
	targets, outcome, fence := FenceTargets(id, record, pool)
	if !fence {
		return outcome
	}
	sort.Strings(targets)
	for _, host := range targets {
		if outcome, ran := ranOutcome(host, responses[host]); ran {
			return outcome
		}
	}
	age := max(0, now.Sub(id.Issued)) + MaxClockSkew
	if age >= Retention+MaxClockSkew {
		return Outcome{Code: result.RequestIDForgotten}
	}
	if record.PoolSeq != id.PoolSeq {
		return ownerLost("the assignments of upstreams have changed since the ID was issued")
	}
	if len(targets) == 0 {
		return ownerLost("the pool has no upstreams")
	}
	for _, host := range targets {
		if reason := missingProof(responses, host, age); reason != "" {
			return ownerLost("upstream " + host + " " + reason)
		}
	}
	return Outcome{Code: result.RequestIDNotRun}
}

func ownerLost(detail string) Outcome {
	return Outcome{Code: result.OwnerLost, Detail: detail}
}

// missingProof returns the reason why an upstream does not prove that it never ran the request, or an empty string if
// it does.
func missingProof(responses map[string]FenceResponse, host string, age time.Duration) string {
	response, ok := responses[host]
	if !ok || response.Err != nil {
		return "did not answer"
	}
	if response.Result.Uptime <= age {
		return "may have been restarted since the ID was issued"
	}
	switch response.Result.Attempt.State {
	case upstream.StateUnseen, upstream.StateExpired:
		return ""
	default:
		return "reports the state " + string(response.Result.Attempt.State)
	}
}

// ranOutcome returns the outcome of the request if the upstream runs it or has run it.
func ranOutcome(host string, response FenceResponse) (Outcome, bool) {
	if response.Err != nil {
		return Outcome{}, false
	}
	attempt := response.Result.Attempt
	outcome := Outcome{Detail: attempt.Message, Upstream: host}
	switch attempt.State {
	case upstream.StateRunning:
		outcome.Code = result.Pending
	case upstream.StateDone:
		outcome.Code = result.OK
		outcome.Answer = attempt.Answer
	case upstream.StateFailed:
		outcome.Code = result.TaskFailed
	case upstream.StateStopped:
		outcome.Code = result.CancelledRunning
	case upstream.StateCheckpointed:
		outcome.Code = result.StoppedByDrain
	case upstream.StateLeaseExpired:
		outcome.Code = result.StoppedLeaseLapse
	default:
		return Outcome{}, false
	}
	return outcome, true
}
