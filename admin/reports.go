// Package admin implements the HTTP API for operators under /admin/v1: request signing, handlers and a client.
//
// Every request except /hello is signed with an operator's Ed25519 key. The signature covers the method, path, body,
// time, a nonce and the ID of the entry host to which the request is sent. See docs/design.md, section 3.4.
package admin

import (
	"context"
	"time"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/result"
)

// HelloResponse is the response of /hello, the only endpoint that requires no signature. A client needs the ID of the
// entry host to sign all other requests.
type HelloResponse struct {
	HostID string `json:"host_id"`
	// UnixMS is the time of the host's clock in Unix milliseconds.
	UnixMS int64 `json:"unix_ms"`
}

// StatusReport is an entry host's view of the system.
type StatusReport struct {
	HostID string `json:"host_id"`
	Zone   string `json:"zone"`
	// Mode is the mode in which the host may start work, "none" if it may not.
	Mode            string `json:"mode"`
	Revision        uint64 `json:"revision"`
	BundleVersion   uint64 `json:"bundle_version"`
	BundleDigest    string `json:"bundle_digest"`
	AcceptedVersion uint64 `json:"accepted_version"`
	// StoreConfirmedAgeMS is the time since the host last knew that the store's control record was at this revision;
	// -1 for never.
	StoreConfirmedAgeMS int64          `json:"fresh_age_ms"`
	Members             []MemberStatus `json:"members"`
	Zones               []ZoneStatus   `json:"zones"`
	Pools               []PoolStatus   `json:"pools"`
	Teams               []TeamStatus   `json:"teams"`
	// Notes are conditions that need an operator's attention, such as a host that was drained manually.
	Notes []string `json:"notes,omitempty"`
	// Settling is the progress, by zone, of a change of the control record that not all members have confirmed yet. It
	// is empty if there is no such change.
	Settling []ZoneProgress `json:"settling,omitempty"`
}

// MemberStatus is the status of one entry host.
type MemberStatus struct {
	ID       string `json:"id"`
	Zone     string `json:"zone"`
	Address  string `json:"address"`
	Departed bool   `json:"departed,omitempty"`
	// DepartedMS is the time since the reporting host first saw this member on the departed list; -1 if it is not
	// listed.
	DepartedMS int64 `json:"departed_ms"`
	// Suspect means that a relay has not heard from the member. The member is evicted unless the suspicion is refuted.
	Suspect bool `json:"suspect,omitempty"`
	Relay   bool `json:"relay,omitempty"`
	// HeardAgeMS is the time since the member was last heard from, by the reporting host or by a host that told it; -1
	// if unknown.
	HeardAgeMS int64 `json:"heard_age_ms"`
}

// ZoneStatus is the status of one availability zone.
type ZoneStatus struct {
	Name         string `json:"name"`
	OutOfService bool   `json:"out_of_service,omitempty"`
	// AttestedAgeMS is the time since a majority of the zone's members was last known to hold this revision; -1 if
	// unknown.
	AttestedAgeMS int64 `json:"seen_age_ms"`
}

// PoolStatus is the status of one pool.
type PoolStatus struct {
	Name           string `json:"name"`
	Hosts          int    `json:"hosts"`
	Unavailable    int    `json:"unavailable"`
	MaxUnavailable int    `json:"max_unavailable"`
}

// TeamStatus is the status of one team. InUse and Queued cover the whole fleet, as far as known to the reporting host.
type TeamStatus struct {
	Name   string `json:"name"`
	Share  int    `json:"share_permille"`
	Cap    int    `json:"cap_slots"`
	InUse  int    `json:"in_use_slots"`
	Queued int    `json:"queued"`
}

// RolloutReport is the rollout progress of one bundle version.
type RolloutReport struct {
	Version uint64 `json:"version"`
	// Digest is the digest of the committed bundle with this version, or empty if it is unknown.
	Digest string `json:"digest,omitempty"`
	// Committed means that the control record contains this version, or a later one whose history contains it.
	Committed bool `json:"committed"`
	// Accepted means that no entry host can start work under a lower version any more.
	Accepted bool `json:"accepted"`
	// SinceCommitMS is the time since the commit. ConfirmedMS and AcceptedMS are the times from the commit until every
	// member confirmed the version and until it was accepted. They are -1 if this has not happened or is unknown.
	SinceCommitMS int64          `json:"since_commit_ms"`
	ConfirmedMS   int64          `json:"confirmed_ms"`
	AcceptedMS    int64          `json:"accepted_ms"`
	Zones         []ZoneProgress `json:"zones"`
}

// ZoneProgress is the progress of a rollout, or of another change of the control record, in one availability zone.
type ZoneProgress struct {
	Zone       string   `json:"zone"`
	Members    int      `json:"members"`
	Confirmed  int      `json:"confirmed"`
	WaitingFor []string `json:"waiting_for,omitempty"`
	// Blocked means that the zone is partitioned. The wait for it ends at the latest LatestEndMS from now; -1 if
	// unknown.
	Blocked     bool  `json:"blocked,omitempty"`
	LatestEndMS int64 `json:"latest_end_ms"`
}

// AssignmentReport is the pool assignment of one upstream host.
type AssignmentReport struct {
	Host   string            `json:"host"`
	Pool   string            `json:"pool"`
	Epoch  uint64            `json:"epoch"`
	State  control.HostState `json:"state"`
	MoveTo string            `json:"move_to,omitempty"`
	// Unavailable means that the host counts against the availability budgets. Reason is the cause.
	Unavailable bool   `json:"unavailable,omitempty"`
	Reason      string `json:"reason,omitempty"`
}

// Explanation explains the current state of a host, zone, pool, queue, team or key.
type Explanation struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Found is false if no object has this kind and name.
	Found bool     `json:"found"`
	Lines []string `json:"lines"`
}

// ErrorReport is the body of every error response.
type ErrorReport struct {
	Code         result.Code      `json:"code"`
	Name         string           `json:"name"`
	Message      string           `json:"message"`
	Detail       string           `json:"detail,omitempty"`
	RetryAfterMS int64            `json:"retry_after_ms,omitempty"`
	Problems     []bundle.Problem `json:"problems,omitempty"`
}

// Err returns the reported error, which is a *result.Error or bundle.Problems.
func (e ErrorReport) Err() error {
	if len(e.Problems) > 0 {
		return bundle.Problems(e.Problems)
	}
	return &result.Error{Code: e.Code, Detail: e.Detail, RetryAfter: time.Duration(e.RetryAfterMS) * time.Millisecond}
}

// Backend provides the operations behind the API, which the daemon implements. Errors are *result.Error or
// bundle.Problems. Every call is made on behalf of an operator whose signature was verified. OperatorFromContext
// returns the operator's name.
type Backend interface {
	// Status returns this host's view of the system.
	Status(ctx context.Context) StatusReport
	// Bundle returns the signed envelope of a bundle version, or of the current version if version is 0.
	Bundle(ctx context.Context, version uint64) ([]byte, error)
	// Rollout verifies and commits a signed bundle. If the same bundle is already committed, it returns its progress.
	// Code StoreUnavailable means that this call has not committed and will not commit anything. Code RolloutUnresolved
	// means that this is not known.
	Rollout(ctx context.Context, signed []byte) (RolloutReport, error)
	// RolloutProgress returns the rollout progress of a bundle version.
	RolloutProgress(ctx context.Context, version uint64) RolloutReport
	// Assignments returns the pool assignment of every upstream host.
	Assignments(ctx context.Context) []AssignmentReport
	// ClearDeparted removes evicted entry hosts from the departed list. The caller has validated the request with its
	// Check method. Codes StoreUnavailable and RolloutUnresolved have the same meaning as for Rollout.
	ClearDeparted(ctx context.Context, request ClearDepartedRequest) (ClearDepartedReport, error)
	// Explain explains the current state of a host, zone, pool, queue, team or key.
	Explain(ctx context.Context, kind, name string) Explanation
}

// operatorContextKey is the context key of the operator's name.
type operatorContextKey struct{}

// OperatorFromContext returns the name of the operator who signed the request that the context belongs to.
func OperatorFromContext(ctx context.Context) string {
	name, _ := ctx.Value(operatorContextKey{}).(string)
	return name
}
