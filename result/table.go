package result

import (
	"sort"
	"time"
)

// Values of Info.RetryAfter. shortRetryAfter is for conditions that may pass quickly, such as a full queue.
// failoverRetryAfter is for those that last until a host, an availability zone or the store is available again.
const (
	shortRetryAfter    = 200 * time.Millisecond
	failoverRetryAfter = 3 * time.Second
)

var table = map[Code]Info{
	OK:                   {OK, "ok", "done", RunYes, RetryNever, 0},
	Accepted:             {Accepted, "accepted", "accepted, fetch the outcome with the request ID", RunUnknown, RetrySameID, 0},
	Pending:              {Pending, "pending", "queued or running", RunUnknown, RetrySameID, 0},
	KeyUnknown:           {KeyUnknown, "key_unknown", "no team has this key", RunNo, RetryNever, 0},
	KeyWithdrawn:         {KeyWithdrawn, "key_withdrawn", "the key was withdrawn", RunNo, RetryNever, 0},
	QueueUnknown:         {QueueUnknown, "queue_unknown", "no such queue", RunNo, RetryNever, 0},
	TeamNotAllowed:       {TeamNotAllowed, "team_not_allowed", "the team may not use this queue", RunNo, RetryNever, 0},
	TaskTooLarge:         {TaskTooLarge, "task_too_large", "no upstream of the pool can hold the task", RunNo, RetryNever, 0},
	RequestMalformed:     {RequestMalformed, "request_malformed", "the request could not be read", RunNo, RetryNever, 0},
	DeadlineInvalid:      {DeadlineInvalid, "deadline_invalid", "the deadline is out of range", RunNo, RetryNever, 0},
	RequestTooLarge:      {RequestTooLarge, "request_too_large", "the request is larger than allowed", RunNo, RetryNever, 0},
	RequestIDInvalid:     {RequestIDInvalid, "request_id_invalid", "the request ID was not issued by this system", RunNo, RetryNever, 0},
	RequestIDMismatch:    {RequestIDMismatch, "request_id_mismatch", "the request ID was used with another request", RunNo, RetryNever, 0},
	RequestIDNotRun:      {RequestIDNotRun, "request_id_not_run", "proved not run; send the request with a new request ID", RunNo, RetryAny, 0},
	QueueFull:            {QueueFull, "queue_full", "the team's queue is full", RunNo, RetryAny, shortRetryAfter},
	DeadlineTooShort:     {DeadlineTooShort, "deadline_too_short", "the queue is too long for the deadline", RunNo, RetryAny, shortRetryAfter},
	DeadlinePassed:       {DeadlinePassed, "deadline_passed", "the deadline passed before a start", RunNo, RetryAny, shortRetryAfter},
	ZoneOutOfService:     {ZoneOutOfService, "zone_out_of_service", "no availability zone of the pool is in service", RunNo, RetryAny, failoverRetryAfter},
	NoPermission:         {NoPermission, "no_permission", "this host may not start work now; try another", RunNo, RetryAny, shortRetryAfter},
	ShuttingDown:         {ShuttingDown, "shutting_down", "this host is shutting down; try another", RunNo, RetryAny, shortRetryAfter},
	CancelledBeforeRun:   {CancelledBeforeRun, "cancelled_before_run", "cancelled before it was run", RunNo, RetryAny, 0},
	NoUpstream:           {NoUpstream, "no_upstream", "no upstream of the pool takes work now", RunNo, RetryAny, shortRetryAfter},
	RetriesExhausted:     {RetriesExhausted, "retries_exhausted", "every attempt was refused before its start", RunNo, RetryAny, shortRetryAfter},
	CapZero:              {CapZero, "cap_zero", "the team's cap is zero", RunNo, RetryNever, 0},
	StartAnswerLost:      {StartAnswerLost, "start_answer_lost", "the answer to the start was lost", RunUnknown, RetrySameID, shortRetryAfter},
	OwnerUnreachable:     {OwnerUnreachable, "owner_unreachable", "the host that owns the request ID cannot be reached", RunUnknown, RetrySameID, failoverRetryAfter},
	OwnerLost:            {OwnerLost, "owner_lost", "the host that owned the request ID is gone and the upstreams cannot prove the outcome", RunUnknown, RetrySameID, failoverRetryAfter},
	UpstreamLost:         {UpstreamLost, "upstream_lost", "the upstream was lost while it ran the task", RunUnknown, RetrySameID, 0},
	AnswerIncomplete:     {AnswerIncomplete, "answer_incomplete", "the upstream's answer was cut short", RunUnknown, RetrySameID, 0},
	AnswerMismatched:     {AnswerMismatched, "answer_mismatched", "the upstream answered another attempt", RunUnknown, RetrySameID, 0},
	RequestIDForgotten:   {RequestIDForgotten, "request_id_forgotten", "the request ID is older than its retention time", RunUnknown, RetryNever, 0},
	RequestNotRead:       {RequestNotRead, "request_not_read", "this host had no room to read the request and did not run it; an earlier one with its ID may have run", RunUnknown, RetrySameID, shortRetryAfter},
	TaskFailed:           {TaskFailed, "task_failed", "the task ran and failed", RunYes, RetryNever, 0},
	CancelledRunning:     {CancelledRunning, "cancelled_running", "cancelled while it ran", RunYes, RetryNever, 0},
	StoppedLeaseLapse:    {StoppedLeaseLapse, "stopped_lease_lapse", "stopped at the upstream when its lease lapsed", RunYes, RetryNever, 0},
	FailsEverywhere:      {FailsEverywhere, "fails_everywhere", "the task failed on several upstreams and is not tried further", RunYes, RetryNever, 0},
	StoppedByDrain:       {StoppedByDrain, "stopped_by_drain", "stopped at the end of its upstream's drain", RunYes, RetryNever, 0},
	BundleSyntax:         {BundleSyntax, "bundle_syntax", "the bundle is not valid JSON with comments", RunNotApplicable, RetryNever, 0},
	BundleUnknownField:   {BundleUnknownField, "bundle_unknown_field", "unknown field", RunNotApplicable, RetryNever, 0},
	BundleDuplicateField: {BundleDuplicateField, "bundle_duplicate_field", "field given twice", RunNotApplicable, RetryNever, 0},
	BundleTooLarge:       {BundleTooLarge, "bundle_too_large", "larger or more deeply nested than allowed", RunNotApplicable, RetryNever, 0},
	BundleBadValue:       {BundleBadValue, "bundle_bad_value", "value of the wrong type or form", RunNotApplicable, RetryNever, 0},
	BundleBadLimit:       {BundleBadLimit, "bundle_bad_limit", "limit out of range", RunNotApplicable, RetryNever, 0},
	BundleDuplicateName:  {BundleDuplicateName, "bundle_duplicate_name", "name given twice", RunNotApplicable, RetryNever, 0},
	BundleUnknownName:    {BundleUnknownName, "bundle_unknown_name", "name is not defined", RunNotApplicable, RetryNever, 0},
	BundlePoolsOverlap:   {BundlePoolsOverlap, "bundle_pools_overlap", "a host is in more than one pool", RunNotApplicable, RetryNever, 0},
	BundleSharesInvalid:  {BundleSharesInvalid, "bundle_shares_invalid", "shares do not add up", RunNotApplicable, RetryNever, 0},
	BundleKeyRepeated:    {BundleKeyRepeated, "bundle_key_repeated", "key given twice", RunNotApplicable, RetryNever, 0},
	BundleMissing:        {BundleMissing, "bundle_missing", "required field is missing", RunNotApplicable, RetryNever, 0},
	SignatureInvalid:     {SignatureInvalid, "signature_invalid", "no valid signature of a known operator", RunNotApplicable, RetryNever, 0},
	DigestMismatch:       {DigestMismatch, "digest_mismatch", "the content does not match its digest", RunNotApplicable, RetryNever, 0},
	VersionNotHigher:     {VersionNotHigher, "version_not_higher", "the version is not higher than the one in force", RunNotApplicable, RetryNever, 0},
	RolloutConflict:      {RolloutConflict, "rollout_conflict", "another change was committed from the same base", RunNotApplicable, RetryAny, 0},
	RolloutUnresolved:    {RolloutUnresolved, "rollout_unresolved", "the store did not confirm whether the change was committed", RunNotApplicable, RetrySameID, shortRetryAfter},
	RolloutWaiting:       {RolloutWaiting, "rollout_waiting", "committed; some availability zones have not confirmed", RunNotApplicable, RetryNever, 0},
	BudgetExceeded:       {BudgetExceeded, "budget_exceeded", "the change would exceed an availability budget", RunNotApplicable, RetryNever, 0},
	AdminUnauthenticated: {AdminUnauthenticated, "admin_unauthenticated", "no valid operator signature", RunNotApplicable, RetryNever, 0},
	AdminReplayed:        {AdminReplayed, "admin_replayed", "the request is too old or was seen before", RunNotApplicable, RetryNever, 0},
	AdminMalformed:       {AdminMalformed, "admin_malformed", "the administration request could not be read", RunNotApplicable, RetryNever, 0},
	AdminNotFound:        {AdminNotFound, "admin_not_found", "not found", RunNotApplicable, RetryNever, 0},
	StoreUnavailable:     {StoreUnavailable, "store_unavailable", "the store cannot be reached", RunNotApplicable, RetryAny, failoverRetryAfter},
	SettingsInvalid:      {SettingsInvalid, "settings_invalid", "the settings are invalid", RunNotApplicable, RetryNever, 0},
	PeerProtocol:         {PeerProtocol, "peer_protocol", "a peer's message is malformed", RunNotApplicable, RetryNever, 0},
	PeerVersion:          {PeerVersion, "peer_version", "a peer's protocol version is not supported", RunNotApplicable, RetryNever, 0},
}

// Lookup returns the description of a code. An unknown code gets the name "undefined" and RunUnknown, since nothing is
// known about its work.
func Lookup(code Code) Info {
	info, ok := table[code]
	if !ok {
		return Info{Code: code, Name: "undefined", Message: "undefined code", Run: RunUnknown, Retry: RetryNever}
	}
	return info
}

// All returns the descriptions of all codes, in ascending order of code.
func All() []Info {
	infos := make([]Info, 0, len(table))
	for _, info := range table {
		infos = append(infos, info)
	}
	sort.Slice(infos, func(i, j int) bool { return infos[i].Code < infos[j].Code })
	return infos
}
