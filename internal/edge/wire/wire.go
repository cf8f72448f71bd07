// Package wire defines the messages that carry calls between nodes, and the HTTP
// headers between a node and callers or targets.
package wire

import (
	"time"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/admit/level"
)

// Methods of the peer protocol that concern calls.
const (
	// MethodRun runs a Call on the target beside the receiver and returns a Reply.
	MethodRun = "run"
	// MethodCancel cancels a running call; its parameters are a Cancel.
	MethodCancel = "cancel"
	// MethodJoin waits for the result of a call whose claim the receiver holds. Its
	// parameters are a Join, its result is a Reply.
	MethodJoin = "join"
	// MethodClaim records or releases a claim at a replica.
	MethodClaim = "claim"
	// MethodCrash carries evidence of crashes.
	MethodCrash = "crash"
)

// Headers of requests and responses between a node and callers or targets.
const (
	// HeaderKey carries the caller's key as a bearer token.
	HeaderKey = "Authorization"
	// HeaderRequestID carries the request ID. Retries of a request carry the same ID.
	HeaderRequestID = "Fuchsiapier-Request-Id"
	// HeaderDeadline is the time left until the deadline, in milliseconds.
	HeaderDeadline = "Fuchsiapier-Deadline-Ms"
	// HeaderOutcome carries the Outcome of a request.
	HeaderOutcome = "Fuchsiapier-Outcome"
	// HeaderReason carries the Reason, if there is one.
	HeaderReason = "Fuchsiapier-Reason"
	// HeaderHandle carries a random token in place of the key. The target presents
	// it with nested calls to identify the request that it runs.
	HeaderHandle = "Fuchsiapier-Handle"
	// HeaderWorkspace tells the target the workspace of the request.
	HeaderWorkspace = "Fuchsiapier-Workspace"
	// HeaderDomain tells callers which failure domain to put into request IDs.
	HeaderDomain = "Fuchsiapier-Domain"
	// HeaderRetryAfter is the time after which to retry, in seconds.
	HeaderRetryAfter = "Retry-After"
	// HeaderRetryAfterMillis is Retry-After in milliseconds.
	HeaderRetryAfterMillis = "Fuchsiapier-Retry-After-Ms"
)

// StatusGone is the HTTP status for a retry of a request whose response is no
// longer stored.
const StatusGone = 410

// Outcome says whether a request ran.
type Outcome string

// The outcomes.
const (
	// Done means that the target responded, with any HTTP status.
	Done Outcome = "done"
	// NotRun means that no target ran the request.
	NotRun Outcome = "not-run"
	// Unknown means that a target may have run the request.
	Unknown Outcome = "unknown"
)

// Reason says why there is no response from the target.
type Reason string

// The reasons.
const (
	// ReasonNoConfig means that the node has no configuration yet.
	ReasonNoConfig Reason = "no-configuration"
	// ReasonNoRoute means that no route of the preset matches the path.
	ReasonNoRoute Reason = "no-route"
	// ReasonNoKey means that the request carries no key.
	ReasonNoKey Reason = "no-key"
	// ReasonBadKey means that the key is unknown or was withdrawn.
	ReasonBadKey Reason = "key-not-valid"
	// ReasonBadRequest means that the request ID or the deadline is malformed, or that
	// calls are nested too deeply.
	ReasonBadRequest Reason = "bad-request"
	// ReasonRate means that the workspace is over its rate.
	ReasonRate Reason = "rate"
	// ReasonBytes means that the budget of bytes to another region is used up.
	ReasonBytes Reason = "cross-region-bytes"
	// ReasonOverload means that the priority is below an admission level, or that the
	// target's queue had no room.
	ReasonOverload Reason = "overload"
	// ReasonDeadline means that the deadline passed.
	ReasonDeadline Reason = "deadline"
	// ReasonNoTarget means that no target is ready or reachable.
	ReasonNoTarget Reason = "no-target"
	// ReasonShed means that the target itself shed the request.
	ReasonShed Reason = "target-shed"
	// ReasonQuarantine means that requests like this one crash targets.
	ReasonQuarantine Reason = "quarantine"
	// ReasonUnverifiable means that the replicas can't rule out an earlier claim of
	// the ID, for instance because they restarted since the ID was generated.
	ReasonUnverifiable Reason = "id-not-vouched"
	// ReasonClaimHome means that too few replicas of the claim's home domain responded.
	ReasonClaimHome Reason = "claim-home-unreachable"
	// ReasonClaimWithdrawn means that an earlier attempt released its claim without
	// having run; the request can be retried.
	ReasonClaimWithdrawn Reason = "claim-withdrawn"
	// ReasonClaimRace means that attempts of one request on several nodes claimed at
	// the same time.
	ReasonClaimRace Reason = "claim-race"
	// ReasonReused means that the ID was used before for another request.
	ReasonReused Reason = "id-reused"
	// ReasonAnswerGone means that the request ran but its response is no longer stored.
	ReasonAnswerGone Reason = "answer-no-longer-kept"
	// ReasonTargetDied means that the target closed the connection without a response.
	ReasonTargetDied Reason = "target-died"
	// ReasonAnswerCut means that the target's response is incomplete.
	ReasonAnswerCut Reason = "answer-cut"
	// ReasonPeerLost means that the node beside the target, or the holder of the
	// claim, could not be reached, stopped responding or restarted.
	ReasonPeerLost Reason = "peer-lost"
	// ReasonInternal means that the node itself failed.
	ReasonInternal Reason = "internal"
	// ReasonStopping means that the node is shutting down.
	ReasonStopping Reason = "node-stopping"
	// ReasonCancelled means that the sender cancelled the call before it ran.
	ReasonCancelled Reason = "cancelled"
	// ReasonBadHandle means that a nested call carries no handle of a running request.
	ReasonBadHandle Reason = "handle-not-valid"
	// ReasonOffline means that the node has not been in contact with the platform's
	// log for longer than the preset allows, so that it can't tell whether a key was
	// withdrawn.
	ReasonOffline Reason = "offline-limit"
	// ReasonNotIdempotent means that a request that is not idempotent may have run.
	ReasonNotIdempotent Reason = "may-have-run"
)

// Call is one call to a service, as nodes send it to each other: a caller's request
// or a nested call that a target makes while it runs a request.
type Call struct {
	// Request is the ID of the whole request, shared by its nested calls.
	Request string `json:"request"`
	// ID identifies this call. Claims and joins use it as their key, together with
	// the workspace.
	ID string `json:"id"`
	// Home is the failure domain whose replicas record the claim, Created the time
	// at which the ID was generated.
	Home    string    `json:"home,omitempty"`
	Created time.Time `json:"birth"`
	// Serial identifies one attempt of a call, for cancellation.
	Serial    string `json:"serial,omitempty"`
	Service   string `json:"service"`
	Route     string `json:"route"`
	Workspace string `json:"workspace,omitempty"`
	// Priority is the priority of the request, as package level defines it. It is the
	// same on every hop.
	Priority int `json:"priority"`
	// Depth is 0 for a caller's request and 1 more than that of the parent for a
	// nested call.
	Depth int `json:"depth,omitempty"`
	// Retries is the retry allowance of the call and its nested calls.
	Retries int `json:"retries,omitempty"`
	// LeftMillis is the time until the deadline, in milliseconds.
	LeftMillis int64 `json:"left-millis"`
	Idempotent bool  `json:"idempotent,omitempty"`
	// GeneratedID says that a node generated the ID for this request, so that no
	// earlier attempt can have used it.
	GeneratedID bool `json:"fresh,omitempty"`
	// KeyID and Version let the node beside the target reject a key that was withdrawn
	// since the configuration version by which it was authenticated. The key itself
	// is never sent to another node.
	KeyID   string `json:"key-id,omitempty"`
	Version uint64 `json:"version,omitempty"`
	// Fingerprint is a hash of workspace, method, path and body.
	Fingerprint uint64 `json:"fingerprint,omitempty"`
	// Evidence is what the sender knows against the request if it ran during crashes: the node
	// beside the target may not have heard of them yet.
	Evidence    []crash.Crash `json:"evidence,omitempty"`
	Method      string        `json:"method"`
	Path        string        `json:"path"`
	ContentType string        `json:"content-type,omitempty"`
	// Headers are the other header fields that are forwarded to the target.
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
	// From is the region of the sending node. The bytes of a reply to another region
	// are charged to the budget of that region's link.
	From string `json:"from,omitempty"`
}

// Left returns the time until the deadline, counted from the receipt of the call.
func (c Call) Left() time.Duration {
	return time.Duration(c.LeftMillis) * time.Millisecond
}

// WithLeft returns a copy of the call with the given time until its deadline.
func (c Call) WithLeft(left time.Duration) Call {
	c.LeftMillis = left.Milliseconds()
	return c
}

// Reply is the result of a call: the target's response, or why there is none.
type Reply struct {
	Outcome     Outcome `json:"outcome"`
	Reason      Reason  `json:"reason,omitempty"`
	Status      int     `json:"status,omitempty"`
	ContentType string  `json:"content-type,omitempty"`
	// Headers are the other header fields that are forwarded to the caller.
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
	// RetryMillis is the time after which to retry a refused request, in
	// milliseconds; 0 for none.
	RetryMillis int64 `json:"retry-millis,omitempty"`
	// Final tells the services upstream that a retry would not help.
	Final bool `json:"final,omitempty"`
	// Crash is the evidence of the crash of the target, if it has crashed.
	Crash []crash.Crash `json:"crash,omitempty"`
	// RetriesLeft is the unused part of the call's retry allowance.
	RetriesLeft int `json:"retries-left,omitempty"`
	// Level is the target's admission level. Levels are those of the services that
	// the call reached downstream.
	Level  int          `json:"level,omitempty"`
	Levels level.Levels `json:"levels,omitempty"`
	// Load is the number of running and queued requests over the concurrency limit.
	Load float64 `json:"load,omitempty"`
}

// Refuse returns the reply to a request that did not run, which may be retried after
// the given time.
func Refuse(r Reason, retry time.Duration) Reply {
	return Reply{
		Outcome:     NotRun,
		Reason:      r,
		RetryMillis: max(retry.Milliseconds(), 0),
	}
}

// UnknownOutcome returns the reply to a request that may have run.
func UnknownOutcome(r Reason) Reply {
	return Reply{
		Outcome: Unknown,
		Reason:  r,
	}
}

// AsFinal returns a copy of the reply that is marked final.
func (r Reply) AsFinal() Reply {
	r.Final = true
	return r
}

// WithRetriesLeft returns a copy of the reply with n unused retries.
func (r Reply) WithRetriesLeft(n int) Reply {
	r.RetriesLeft = n
	return r
}

// HTTPStatus returns the status of the HTTP response: the target's own if the outcome
// is Done, otherwise one that follows from the reason.
func (r Reply) HTTPStatus() int {
	if r.Outcome == Done {
		return r.Status
	}
	switch r.Reason {
	case ReasonNoKey, ReasonBadKey, ReasonBadHandle:
		return 401
	case ReasonNoRoute:
		return 404
	case ReasonBadRequest, ReasonUnverifiable:
		return 400
	case ReasonReused, ReasonNotIdempotent:
		return 409
	case ReasonAnswerGone:
		return 410
	case ReasonQuarantine:
		return 422
	case ReasonRate:
		return 429
	case ReasonDeadline, ReasonCancelled:
		return 504
	case ReasonTargetDied, ReasonAnswerCut, ReasonPeerLost:
		return 502
	default:
		return 503
	}
}

// Cancel cancels an attempt whose sender no longer waits for it.
type Cancel struct {
	// Serial is that of the Call.
	Serial string `json:"serial"`
}

// Join asks the holder of a claim for the result of the call.
type Join struct {
	// Key is the key of the claim.
	Key         string `json:"key"`
	Fingerprint uint64 `json:"fingerprint"`
	// Incarnation is that of the holder at the time of the claim. A holder that
	// restarted since then no longer knows the call.
	Incarnation int64 `json:"incarnation"`
	LeftMillis  int64 `json:"left-millis"`
}
