// Package call holds a request as it passes from the node that received it from
// the caller to the node beside the target that runs it, the result of the call,
// and the header fields that carry both between nodes.
package call

import (
	"context"
	"errors"
	"math"
	"strconv"
	"strings"
	"time"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/pipe/msg"
)

// Header fields of calls between nodes. They are removed before a request reaches
// a target.
const (
	// FieldCall carries the service, priority, flags and times of a call, as
	// Call.EncodeField writes them.
	FieldCall = "Fp-Call"
	// FieldLoad carries the expected queueing time of a new call at the gate and the
	// time that this request spent in the queue, both in milliseconds, and the rate limit of
	// the target, if it has one, in requests per second.
	FieldLoad = "Fp-Load"
	// FieldRefused marks a response that comes from the gate and not from the target.
	// It carries the Reason and the retry delay in milliseconds.
	FieldRefused = "Fp-Refused"
)

// Call is a request for a target of a service.
type Call struct {
	// Attempt is the caller's ID of this attempt.
	Attempt string
	// Service is the service whose targets can run the request.
	Service string
	// Request is the caller's request with only the header fields that are forwarded.
	Request *msg.Request
	// Extra holds the header lines that the first node adds, each ended by CRLF.
	Extra []byte
	// Workspace is the name of the workspace that the request's key belongs to, "" without a key.
	Workspace string
	// Deadline is when the request times out.
	Deadline time.Time
	// Due is when the response should be back. Queued calls start in the order of
	// their due times.
	Due time.Time
	// MaxWait bounds the queueing time: a gate that expects a longer wait refuses the
	// call at once.
	MaxWait time.Duration
	// TargetRateLimit is the rate limit of the target as the sending node has last seen it,
	// in requests per second, or 0 if it knows none. A gate that has just started takes it
	// over.
	TargetRateLimit float64
	// Priority ranks requests; 0 is the highest.
	Priority int
	// Nested marks a call that a target makes while it runs another request.
	Nested     bool
	Idempotent bool
	// Evidence is what the sending node knows of crashes during which the request ran.
	Evidence []crash.Crash
	// Withdrawn ends when the call is to be refused unless it was sent to the target, since the node
	// that took the request stops. It is nil if it never does.
	Withdrawn context.Context
}

// WithdrawnDone returns a channel that is closed when the call is withdrawn, nil if it never is.
func (c *Call) WithdrawnDone() <-chan struct{} {
	if c.Withdrawn == nil {
		return nil
	}
	return c.Withdrawn.Done()
}

// Fingerprint returns the hash of the request's workspace, method, host, URI and body, which
// all attempts of a request have in common, wherever they come in.
func (c *Call) Fingerprint() crash.Fingerprint {
	return crash.FingerprintOf(c.Workspace, c.Request.Method, c.Request.Host+c.Request.URI, c.Request.Body.Pieces()...)
}

// Outcome says whether a target responded to a request and whether it may have run.
type Outcome int

// The outcomes.
const (
	// Answered means that the target responded, with any status.
	Answered Outcome = iota
	// NotRun means that no target has run the request or will run it.
	NotRun
	// Unknown means that no response came and a target may have run the request.
	Unknown
	// Gone means that the caller disconnected before the response.
	Gone
)

var outcomeNames = []string{"answered", "not-run", "unknown", "gone"}

// String returns the name of the outcome in log lines.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Reason says why the Outcome of a request is not Answered. It is a value of
// FieldRefused, of log lines and of metrics.
type Reason string

// The reasons.
const (
	// Busy means that the expected queueing time was too long or the call was evicted
	// from the queue.
	Busy Reason = "busy"
	// Expired means that the time allowed in the queue, or the deadline, passed before
	// the call could start.
	Expired Reason = "expired"
	// NoTarget means that no ready target of the service is known.
	NoTarget Reason = "no-target"
	// Leaving means that the node beside the target, or the one that took the request, is shutting down.
	Leaving Reason = "leaving"
	// TargetDown means that the target could not be connected to, now or a moment ago.
	TargetDown Reason = "target-down"
	// Shed means that the target reported that it did not run the request.
	Shed Reason = "target-shed"
	// TargetMoved means that another target responded at the address, with status 421.
	TargetMoved Reason = "target-moved"
	// AnswerLost means that the connection broke before the response was complete.
	AnswerLost Reason = "answer-lost"
	// Malformed means that the target sent bytes that are no answer, or a success that is not its own.
	Malformed Reason = "malformed-answer"
	// Unreachable means that the node beside the target could not be connected to.
	Unreachable Reason = "node-unreachable"
	// CallerGone means that the caller disconnected.
	CallerGone Reason = "caller-gone"
	// Timeout means that no response came by the deadline.
	Timeout Reason = "timeout"
	// CrashesTargets means that the request is in quarantine because it crashed targets.
	CrashesTargets Reason = "crashes-targets"
	// NoMemory means that the node beside the target had no memory for the request's body.
	NoMemory Reason = "no-memory"
	// NoConnection means that a node may not open another connection to pass the request on.
	NoConnection Reason = "no-connection"
	// Overloaded means that the request was shed on arrival because the services on its
	// path are overloaded.
	Overloaded Reason = "path-overloaded"
)

// Result is the outcome of a call, with its response or the reason for its failure
// and the load at the gate.
type Result struct {
	Outcome Outcome
	// Reason is empty where Outcome is Answered.
	Reason Reason
	// Answer is the target's response, set where Outcome is Answered.
	Answer *msg.Response
	// RetryAfter is how long to wait before the refused request is sent again.
	RetryAfter time.Duration
	// Wait is the expected queueing time of a new call at the gate.
	Wait time.Duration
	// LoadKnown says that Wait came from the gate. The results of calls that were cancelled,
	// or whose responses were lost, carry no load.
	LoadKnown bool
	// RateLimit is the rate limit of the target, in requests per second, or 0 for none.
	RateLimit float64
	// TargetLeaving says that the target's response names it as about to stop.
	TargetLeaving bool
	// Queued is how long the request waited at the gate.
	Queued time.Duration
	// Reached says that the request was, or may have been, sent to a target.
	Reached bool
	// Evidence is what the gate knows of crashes during which the request ran. It is set where the
	// response was lost or the request was refused for that.
	Evidence []crash.Crash
}

// Flags in the third part of FieldCall.
const (
	flagNested     = "n"
	flagIdempotent = "i"
)

// EncodeField returns the value of FieldCall: service, priority, flags, and the
// milliseconds of queueing time allowed, to the deadline and to the due time, and the
// rate limit of the target if one is known, separated by commas. Times are relative to
// now, so that the clocks of nodes need not agree.
func (c *Call) EncodeField(now time.Time) string {
	flags := ""
	if c.Nested {
		flags += flagNested
	}
	if c.Idempotent {
		flags += flagIdempotent
	}
	parts := []string{
		c.Service,
		strconv.Itoa(c.Priority),
		flags,
		strconv.FormatInt(c.MaxWait.Milliseconds(), 10),
		strconv.FormatInt(c.Deadline.Sub(now).Milliseconds(), 10),
		strconv.FormatInt(c.Due.Sub(now).Milliseconds(), 10),
	}
	if c.TargetRateLimit > 0 {
		parts = append(parts, formatRate(c.TargetRateLimit))
	}
	return strings.Join(parts, ",")
}

// formatRate returns the text of a rate, in requests per second.
func formatRate(perSecond float64) string {
	return strconv.FormatFloat(perSecond, 'g', -1, 64)
}

// parseRate parses a rate in requests per second, and returns 0 for text that is none.
func parseRate(text string) float64 {
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) {
		return 0
	}
	return max(rate, 0)
}

var errMalformedCall = errors.New("malformed " + FieldCall)

// fieldParts is the number of parts of a value of FieldCall without a rate limit.
const fieldParts = 6

// DecodeField parses a value of FieldCall that arrived at now. Attempt, Request,
// Extra, Workspace, Evidence and Withdrawn are not part of the field and stay empty. The error says that the
// value is malformed.
func DecodeField(value string, now time.Time) (*Call, error) {
	parts := strings.Split(value, ",")
	if len(parts) < fieldParts || len(parts) > fieldParts+1 || parts[0] == "" {
		return nil, errMalformedCall
	}
	priority, err1 := strconv.Atoi(parts[1])
	maxWait, err2 := strconv.ParseInt(parts[3], 10, 32)
	left, err3 := strconv.ParseInt(parts[4], 10, 32)
	due, err4 := strconv.ParseInt(parts[5], 10, 32)
	if err := errors.Join(err1, err2, err3, err4); err != nil {
		return nil, errors.Join(errMalformedCall, err)
	}
	rateLimit := 0.0
	if len(parts) > fieldParts {
		rateLimit = parseRate(parts[fieldParts])
	}
	return &Call{
		Service:    parts[0],
		Priority:   priority,
		Nested:     strings.Contains(parts[2], flagNested),
		Idempotent: strings.Contains(parts[2], flagIdempotent),
		MaxWait:    time.Duration(maxWait) * time.Millisecond,
		Deadline:   now.Add(time.Duration(left) * time.Millisecond),
		Due:        now.Add(time.Duration(due) * time.Millisecond),

		TargetRateLimit: rateLimit,
	}, nil
}

// EncodeLoad returns the value of FieldLoad, Wait, Queued and, if it is not 0, RateLimit,
// separated by commas, or an empty string where all are 0.
func EncodeLoad(r Result) string {
	wait, queued := r.Wait.Milliseconds(), r.Queued.Milliseconds()
	if wait == 0 && queued == 0 && r.RateLimit == 0 {
		return ""
	}
	value := strconv.FormatInt(wait, 10) + "," + strconv.FormatInt(queued, 10)
	if r.RateLimit == 0 {
		return value
	}
	return value + "," + formatRate(r.RateLimit)
}

// DecodeLoad parses a value of FieldLoad into Wait, Queued and RateLimit of a result; a
// malformed number counts as 0.
func DecodeLoad(value string) Result {
	first, rest, _ := strings.Cut(value, ",")
	second, third, _ := strings.Cut(rest, ",")
	return Result{
		LoadKnown: true,
		Wait:      millis(first),
		Queued:    millis(second),
		RateLimit: parseRate(third),
	}
}

// millis parses a number of milliseconds and returns 0 for malformed text.
func millis(text string) time.Duration {
	n, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// EncodeRefused returns the value of FieldRefused, Reason and RetryAfter separated
// by a comma.
func EncodeRefused(r Result) string {
	return string(r.Reason) + "," + strconv.FormatInt(r.RetryAfter.Milliseconds(), 10)
}

// DecodeRefused parses a value of FieldRefused into the reason and the retry delay;
// a malformed delay counts as 0.
func DecodeRefused(value string) (Reason, time.Duration) {
	reason, after, _ := strings.Cut(value, ",")
	return Reason(reason), millis(after)
}
