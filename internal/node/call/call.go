// Package call describes a request on its way from the node that took it from
// its caller to the node beside the target that runs it, and what became of it.
package call

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/pipe/msg"
)

// Header fields between nodes; a target never sees them.
const (
	// FieldCall carries what the gate must know of a request.
	FieldCall = "Fp-Call"
	// FieldLoad carries the wait at the gate and how long this request waited there,
	// in milliseconds.
	FieldLoad = "Fp-Load"
	// FieldRefused marks an answer of the gate itself: a reason and the
	// milliseconds to come back after.
	FieldRefused = "Fp-Refused"
)

// Call is a request for a target of a service.
type Call struct {
	Attempt string
	Service string
	// Request is the caller's request; its fields are those to forward.
	Request *msg.Request
	// Extra are the header lines that the entry adds.
	Extra []byte
	// Origin is the service and the workspace that the request comes from.
	Origin string
	// Deadline ends the time in which an answer is of use.
	Deadline time.Time
	// Due is when the answer should be back; it orders what waits.
	Due time.Time
	// Patience bounds how long the request may wait for a slot.
	Patience time.Duration
	// Priority ranks requests; 0 is the highest.
	Priority int
	// Nested calls belong to a request that runs already.
	Nested     bool
	Idempotent bool
}

// Fingerprint identifies what the request asks, whatever its attempt.
func (c *Call) Fingerprint() crash.Fingerprint {
	return crash.Of(c.Origin, c.Request.Method, c.Request.Host+c.Request.URI, c.Request.Body)
}

// Outcome is what became of a request.
type Outcome int

// The outcomes.
const (
	// Answered means that the target answered, whatever its status.
	Answered Outcome = iota
	// NotRun means that no target has begun the request, or will.
	NotRun
	// Unknown means that a target may have run the request.
	Unknown
	// Gone means that the caller hung up.
	Gone
)

var outcomeNames = []string{"answered", "not-run", "unknown", "gone"}

// String names an outcome for the log.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Reason says why a request was not answered.
type Reason string

// The reasons.
const (
	Busy        Reason = "busy"
	Expired     Reason = "expired"
	NoTarget    Reason = "no-target"
	Leaving     Reason = "leaving"
	TargetDown  Reason = "target-down"
	Shed        Reason = "target-shed"
	Moved       Reason = "target-moved"
	Lost        Reason = "answer-lost"
	Unreachable Reason = "node-unreachable"
	Stopped     Reason = "caller-gone"
	Timeout     Reason = "timeout"
	Suspect     Reason = "crashes-targets"
	Overloaded  Reason = "path-overloaded"
)

// Result is the outcome of a call with what goes with it.
type Result struct {
	Outcome Outcome
	Reason  Reason
	// Answer is set where Outcome is Answered.
	Answer *msg.Response
	// RetryAfter is when the refused request may fare better.
	RetryAfter time.Duration
	// Wait is how long requests wait at the gate now.
	Wait time.Duration
	// Queued is how long the request waited at the gate.
	Queued time.Duration
	// Reached says that the request was handed to a target at least once.
	Reached bool
}

// Flags of FieldCall.
const (
	flagNested     = "n"
	flagIdempotent = "i"
)

// EncodeField returns the value of FieldCall.
func (c *Call) EncodeField(now time.Time) string {
	flags := ""
	if c.Nested {
		flags += flagNested
	}
	if c.Idempotent {
		flags += flagIdempotent
	}
	return strings.Join([]string{
		c.Service,
		strconv.Itoa(c.Priority),
		flags,
		strconv.FormatInt(c.Patience.Milliseconds(), 10),
		strconv.FormatInt(c.Deadline.Sub(now).Milliseconds(), 10),
		strconv.FormatInt(c.Due.Sub(now).Milliseconds(), 10),
	}, ",")
}

var errField = errors.New("malformed " + FieldCall)

const fieldParts = 6

// DecodeField reads FieldCall.
func DecodeField(value string, now time.Time) (*Call, error) {
	parts := strings.Split(value, ",")
	if len(parts) != fieldParts || parts[0] == "" {
		return nil, errField
	}
	priority, err1 := strconv.Atoi(parts[1])
	patience, err2 := strconv.ParseInt(parts[3], 10, 32)
	left, err3 := strconv.ParseInt(parts[4], 10, 32)
	due, err4 := strconv.ParseInt(parts[5], 10, 32)
	if err := errors.Join(err1, err2, err3, err4); err != nil {
		return nil, errors.Join(errField, err)
	}
	return &Call{
		Service:    parts[0],
		Priority:   priority,
		Nested:     strings.Contains(parts[2], flagNested),
		Idempotent: strings.Contains(parts[2], flagIdempotent),
		Patience:   time.Duration(patience) * time.Millisecond,
		Deadline:   now.Add(time.Duration(left) * time.Millisecond),
		Due:        now.Add(time.Duration(due) * time.Millisecond),
	}, nil
}

// EncodeLoad returns the value of FieldLoad, empty where there is nothing to say.
func EncodeLoad(r Result) string {
	wait, queued := r.Wait.Milliseconds(), r.Queued.Milliseconds()
	if wait == 0 && queued == 0 {
		return ""
	}
	return strconv.FormatInt(wait, 10) + "," + strconv.FormatInt(queued, 10)
}

// DecodeLoad reads FieldLoad; what is malformed counts as no wait.
func DecodeLoad(value string) (wait, queued time.Duration) {
	first, second, _ := strings.Cut(value, ",")
	return millis(first), millis(second)
}

func millis(text string) time.Duration {
	n, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// EncodeRefused returns the value of FieldRefused.
func EncodeRefused(r Result) string {
	return string(r.Reason) + "," + strconv.FormatInt(r.RetryAfter.Milliseconds(), 10)
}

// DecodeRefused reads FieldRefused; a malformed one gives no time.
func DecodeRefused(value string) (Reason, time.Duration) {
	reason, after, _ := strings.Cut(value, ",")
	return Reason(reason), millis(after)
}
