// Package admin is the operators' HTTP API under /admin/v1: request signing, handlers and a client.
//
// Every request but hello is signed with an operator's Ed25519 key. The signature covers method, path, body, time,
// a nonce and the ID of the entry host that is addressed. See docs/design.md, section 3.4.
package admin

import (
	"context"
	"time"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/result"
)

// Hello is the answer to the one call that needs no signature. A client needs the host's ID to sign the others.
type Hello struct {
	HostID string `json:"host_id"`
	// UnixMS is the host's clock.
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
	// FreshAgeMS is the time since the store's record was known to be at this revision; -1 for never.
	FreshAgeMS int64          `json:"fresh_age_ms"`
	Members    []MemberStatus `json:"members"`
	Zones      []ZoneStatus   `json:"zones"`
	Pools      []PoolStatus   `json:"pools"`
	Teams      []TeamStatus   `json:"teams"`
	// Notes are findings that need an operator's attention, such as a host that was drained by hand.
	Notes []string `json:"notes,omitempty"`
	// Settling is the progress of the change that is being settled, by zone; empty if there is none.
	Settling []ZoneProgress `json:"settling,omitempty"`
}

// MemberStatus is one entry host.
type MemberStatus struct {
	ID       string `json:"id"`
	Zone     string `json:"zone"`
	Address  string `json:"address"`
	Departed bool   `json:"departed,omitempty"`
	// DepartedMS is the time since this host first saw it on the departed list; -1 if it is not there.
	DepartedMS int64 `json:"departed_ms"`
	// Suspect: a relay does not hear it; it is evicted unless it objects.
	Suspect bool `json:"suspect,omitempty"`
	Relay   bool `json:"relay,omitempty"`
	// HeardAgeMS is the time since the host was last heard from; -1 if that is not known.
	HeardAgeMS int64 `json:"heard_age_ms"`
}

// ZoneStatus is one availability zone.
type ZoneStatus struct {
	Name         string `json:"name"`
	OutOfService bool   `json:"out_of_service,omitempty"`
	// SeenAgeMS is the time since a majority of the zone held this revision; -1 if that is not known.
	SeenAgeMS int64 `json:"seen_age_ms"`
}

// PoolStatus is one pool.
type PoolStatus struct {
	Name           string `json:"name"`
	Hosts          int    `json:"hosts"`
	Unavailable    int    `json:"unavailable"`
	MaxUnavailable int    `json:"max_unavailable"`
}

// TeamStatus is one team. InUse and Queued are fleet-wide as far as the host knows.
type TeamStatus struct {
	Name   string `json:"name"`
	Share  int    `json:"share_permille"`
	Cap    int    `json:"cap_slots"`
	InUse  int    `json:"in_use_slots"`
	Queued int    `json:"queued"`
}

// RolloutReport is the progress of one bundle version.
type RolloutReport struct {
	Version uint64 `json:"version"`
	// Digest is the digest of the committed bundle with this version, empty if none is known.
	Digest string `json:"digest,omitempty"`
	// Committed: the control record carries this version or a later one whose history contains it.
	Committed bool `json:"committed"`
	// Accepted: no entry host can start work under a lower version.
	Accepted bool `json:"accepted"`
	// SinceCommitMS is the time since the commit; ConfirmedMS and AcceptedMS are the times from the commit until
	// every member confirmed it and until it was accepted, -1 for not yet or not known.
	SinceCommitMS int64          `json:"since_commit_ms"`
	ConfirmedMS   int64          `json:"confirmed_ms"`
	AcceptedMS    int64          `json:"accepted_ms"`
	Zones         []ZoneProgress `json:"zones"`
}

// ZoneProgress is the progress of a roll-out in one availability zone.
type ZoneProgress struct {
	Zone       string   `json:"zone"`
	Members    int      `json:"members"`
	Confirmed  int      `json:"confirmed"`
	WaitingFor []string `json:"waiting_for,omitempty"`
	// Blocked: the zone is cut off; its wait ends after LatestEndMS from now at the latest, -1 if that is not known.
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
	// Unavailable counts against the budgets; Reason says why.
	Unavailable bool   `json:"unavailable,omitempty"`
	Reason      string `json:"reason,omitempty"`
}

// Explanation says why something is as it is.
type Explanation struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Found is false if there is no such thing.
	Found bool     `json:"found"`
	Lines []string `json:"lines"`
}

// ErrorReport is the body of every answer that is not a success.
type ErrorReport struct {
	Code         result.Code      `json:"code"`
	Name         string           `json:"name"`
	Message      string           `json:"message"`
	Detail       string           `json:"detail,omitempty"`
	RetryAfterMS int64            `json:"retry_after_ms,omitempty"`
	Problems     []bundle.Problem `json:"problems,omitempty"`
}

// Err returns the report as an error.
func (e ErrorReport) Err() error {
	if len(e.Problems) > 0 {
		return bundle.Problems(e.Problems)
	}
	return &result.Error{Code: e.Code, Detail: e.Detail, RetryAfter: time.Duration(e.RetryAfterMS) * time.Millisecond}
}

// Backend is what the API needs of the daemon. Errors are *result.Error or bundle.Problems. Every call is made
// for an operator whose signature was verified; Operator returns the name.
type Backend interface {
	// Status returns the host's view.
	Status(ctx context.Context) StatusReport
	// Bundle returns the signed envelope of a version, of the one in force for 0.
	Bundle(ctx context.Context, version uint64) ([]byte, error)
	// Rollout verifies and commits a signed bundle. A repeat of the committed bundle reports its progress. Code 5301
	// says that nothing was or will be committed by this call, 5105 that this is not known.
	Rollout(ctx context.Context, signed []byte) (RolloutReport, error)
	// RolloutProgress returns the progress of a version.
	RolloutProgress(ctx context.Context, version uint64) RolloutReport
	// Assignments returns the pool assignment of every upstream host.
	Assignments(ctx context.Context) []AssignmentReport
	// ClearDeparted takes evicted entry hosts off the departed list. The request was checked. Code 5301 says that
	// nothing was or will be committed by this call, 5105 that this is not known.
	ClearDeparted(ctx context.Context, request ClearRequest) (ClearReport, error)
	// Explain says why a host, zone, pool, queue, team or key is as it is.
	Explain(ctx context.Context, kind, name string) Explanation
}

type operatorKey struct{}

// Operator returns the name of the operator who signed the request of this context.
func Operator(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}
