// Package send sends calls, callers' requests as well as nested calls, to targets.
// It does the load balancing, retries within the request's allowance, and reports
// for every call whether it ran, did not run or may have run.
package send

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/admit/level"
	"fuchsiapier/internal/admit/poison"
	"fuchsiapier/internal/admit/retry"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/edge/once"
	"fuchsiapier/internal/edge/wire"
	"fuchsiapier/internal/mesh/roster"
)

const (
	// maxUnchargedRetries bounds the retries of a call that are not charged to the
	// retry allowance, since the previous target was unavailable and did no work.
	maxUnchargedRetries = 3
	// overloadRetryAfter is the mean Retry-After of calls refused for overload.
	overloadRetryAfter = 1 * time.Second
	// noTargetRetryAfter is the mean Retry-After of calls for which no target is
	// ready or reachable.
	noTargetRetryAfter = 1 * time.Second
	// bytesRetryAfter is the mean Retry-After while the budget of cross-region bytes
	// is used up.
	bytesRetryAfter = 1 * time.Second
)

// Peers sends calls to the nodes beside targets.
type Peers interface {
	// Run runs a call on the target beside a node. sent is false only if the call
	// can't have reached the node. If the node stops responding, Run returns an
	// error before the deadline.
	Run(ctx context.Context, e roster.Entry, c wire.Call) (reply wire.Reply, sent bool, err error)
	// Cancel cancels the attempt with the given serial.
	Cancel(e roster.Entry, serial string)
	// Reachable reports whether a node can be connected to, as far as this node knows.
	Reachable(e roster.Entry) bool
	// Reserve takes the estimated bytes of a call to another region from the budget
	// of the link and reports whether they were there. release returns them after
	// the call, whose actual bytes are charged separately.
	Reserve(ctx context.Context, region string, c wire.Call) (release func(), ok bool)
}

// Policy enables parts of the overload control, so that baselines can run without
// them.
type Policy struct {
	// Levels refuses calls whose priority is below an admission level.
	Levels bool
	// SharedAllowance bounds the retries of a request over its whole call chain, and
	// those of each service by its retry budget. Without it every hop has the full
	// number of retries, as uncoordinated clients do.
	SharedAllowance bool
}

// Sender sends calls to targets. It is safe for concurrent use.
type Sender struct {
	self        string
	peers       Peers
	once        *once.Once
	poison      *poison.Tracker
	levels      *level.Table
	retryBudget *retry.RatioBudget
	picker      *picker
	policy      Policy
	serial      atomic.Uint64
	// Retries counts the retries that were charged to allowances.
	Retries atomic.Uint64
}

// Option configures a Sender.
type Option func(*Sender)

// WithPolicy sets which parts of the overload control apply; the default is all.
func WithPolicy(p Policy) Option {
	return func(s *Sender) {
		s.policy = p
	}
}

// New returns the sender of a node.
func New(self roster.Entry, peers Peers, o *once.Once, tracker *poison.Tracker, options ...Option) *Sender {
	s := &Sender{
		self:        fmt.Sprintf("%s.%x", self.Name, self.Incarnation),
		peers:       peers,
		once:        o,
		poison:      tracker,
		levels:      level.NewTable(),
		retryBudget: retry.NewRatioBudget(),
		picker:      newPicker(self.Domain, self.Region),
		policy: Policy{
			Levels:          true,
			SharedAllowance: true,
		},
	}
	for _, opt := range options {
		opt(s)
	}
	return s
}

// SetTargets replaces the nodes and targets that the sender knows.
func (s *Sender) SetTargets(entries []roster.Entry) {
	s.picker.rebuild(entries)
}

// Targets returns the number of targets that calls can be sent to.
func (s *Sender) Targets() int {
	return s.picker.size()
}

// Levels returns the current admission levels of services, as reported in replies.
func (s *Sender) Levels() level.Levels {
	return s.levels.Services(timer.Now())
}

// Call performs a nested call. c.Retries is the part of its parent's retry allowance
// that it may use; the reply returns the unused part.
func (s *Sender) Call(ctx context.Context, c wire.Call) wire.Reply {
	return s.CallWithAdmission(ctx, c, func(context.Context) wire.Reply { return wire.Reply{} })
}

// CallWithAdmission performs a call like Call, for the request of a caller. admit is
// called after all other checks, before the request is sent; if it returns a refusal,
// that is the reply. All checks that can refuse a request come after its claim, so that
// a retry of a request that is running, or has run, on another node never gets the
// outcome NotRun.
func (s *Sender) CallWithAdmission(ctx context.Context, c wire.Call, admit func(ctx context.Context) wire.Reply) wire.Reply {
	return s.once.Do(ctx, c, func(ctx context.Context) wire.Reply {
		if refusal, refused := s.refused(c); refused {
			return refusal.WithRetriesLeft(c.Retries)
		}
		if refusal := admit(ctx); refusal.Outcome != "" {
			return refusal
		}
		return s.sendWithRetries(ctx, c)
	})
}

// refused returns the refusal of a call that is quarantined, or, on the first hop,
// whose priority is below the admission level of a service along its route.
func (s *Sender) refused(c wire.Call) (wire.Reply, bool) {
	standing, left := s.poison.Lookup(crash.Fingerprint(c.Fingerprint))
	if standing == crash.Quarantined {
		return wire.Refuse(wire.ReasonQuarantine, left).AsFinal(), true
	}
	if !s.policy.Levels || c.Depth > 0 {
		return wire.Reply{}, false
	}
	if c.Priority < s.levels.RouteLevel(timer.Now(), c.Route) {
		return wire.Refuse(wire.ReasonOverload, jitter(overloadRetryAfter)).AsFinal(), true
	}
	return wire.Reply{}, false
}

// sendWithRetries sends a call to one target after another, until a reply is not
// retryable, no retry is left or the context ends.
func (s *Sender) sendWithRetries(ctx context.Context, c wire.Call) wire.Reply {
	allowance := retry.NewAllowance(c.Retries)
	tried := map[string]bool{}
	uncharged := maxUnchargedRetries
	s.retryBudget.RecordRequest(c.Service)
	var last wire.Reply
	for {
		target, release, refusal := s.choose(ctx, c, tried)
		if refusal.Outcome != "" {
			return preferEarlier(last, refusal).WithRetriesLeft(allowance.Left())
		}
		tried[target.Name] = true
		last = s.attempt(ctx, c, target, allowance)
		release()
		switch {
		case ctx.Err() != nil || !s.retryable(c, last):
			return last.WithRetriesLeft(allowance.Left())
		case targetUnavailable(last) && uncharged > 0:
			uncharged--
		case s.spendRetry(c, allowance):
			s.Retries.Add(1)
		default:
			return last.WithRetriesLeft(allowance.Left())
		}
	}
}

// preferEarlier returns the reply of an earlier attempt if there was one, else the
// refusal for lack of a target.
func preferEarlier(last, refusal wire.Reply) wire.Reply {
	if last.Outcome == "" {
		return refusal
	}
	return last
}

// retryable reports whether a retry could help and is safe: the call did not run, or
// it is idempotent.
func (s *Sender) retryable(c wire.Call, r wire.Reply) bool {
	switch {
	case r.Final || r.Outcome == wire.Done:
		return false
	case r.Outcome == wire.NotRun:
		return true
	}
	return c.Idempotent
}

// targetUnavailable reports whether the target was unavailable before it received the
// call, so that sending the call to another one repeats no work.
func targetUnavailable(r wire.Reply) bool {
	if r.Outcome != wire.NotRun {
		return false
	}
	switch r.Reason {
	case wire.ReasonStopping, wire.ReasonNoTarget, wire.ReasonPeerLost:
		return true
	default:
		return false
	}
}

// spendRetry takes one retry from the request's allowance and from the service's
// retry budget, and reports whether both allow it. Without SharedAllowance only the
// allowance counts.
func (s *Sender) spendRetry(c wire.Call, a *retry.Allowance) bool {
	if !a.Spend() {
		return false
	}
	return !s.policy.SharedAllowance || s.retryBudget.Spend(c.Service)
}

// choose returns a target that was not tried yet and a function that releases the
// bytes reserved for a call to another region, or the refusal if there is no target.
func (s *Sender) choose(ctx context.Context, c wire.Call, tried map[string]bool) (roster.Entry, func(), wire.Reply) {
	now := timer.Now()
	exhausted := map[string]bool{}
	for {
		belowLevel := false
		e, ok := s.picker.pick(now, c.Service, func(e *roster.Entry) bool {
			if tried[e.Name] || exhausted[e.Region] || !s.peers.Reachable(*e) {
				return false
			}
			if s.policy.Levels && s.levels.Target(now, e.Name) > c.Priority {
				belowLevel = true
				return false
			}
			return true
		})
		if ok && e.Region == s.picker.region {
			return e, func() {}, wire.Reply{}
		}
		if ok {
			if release, ok := s.peers.Reserve(ctx, e.Region, c); ok {
				return e, release, wire.Reply{}
			}
			exhausted[e.Region] = true
			continue
		}
		return e, nil, noTargetReply(belowLevel, len(exhausted) > 0)
	}
}

// noTargetReply returns the refusal of a call without a target. belowLevel says that
// its priority is below the level of a target, exhausted that a region's budget of
// bytes is used up.
func noTargetReply(belowLevel, exhausted bool) wire.Reply {
	switch {
	case belowLevel:
		return wire.Refuse(wire.ReasonOverload, jitter(overloadRetryAfter)).AsFinal()
	case exhausted:
		return wire.Refuse(wire.ReasonBytes, jitter(bytesRetryAfter))
	}
	return wire.Refuse(wire.ReasonNoTarget, jitter(noTargetRetryAfter))
}

// jitter returns a random time between half and one and a half of d, so that requests
// refused together are not retried together.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// attempt sends a call to one target once and returns the reply. With a shared
// allowance it passes a part of it along and takes back what is unused.
func (s *Sender) attempt(ctx context.Context, c wire.Call, e roster.Entry, a *retry.Allowance) wire.Reply {
	granted := c.Retries
	if s.policy.SharedAllowance {
		granted = a.Split()
	}
	c.Retries = granted
	c.Evidence = s.poison.Evidence(crash.Fingerprint(c.Fingerprint))
	c.Serial = fmt.Sprintf("%s.%d", s.self, s.serial.Add(1))
	deadline, _ := ctx.Deadline()
	s.picker.begin(e.Name)
	reply, sent, err := s.peers.Run(ctx, e, c.WithLeft(time.Until(deadline)))
	s.picker.end(e.Name)
	if err != nil {
		return s.errorReply(ctx, c, e, sent)
	}
	s.recordFeedback(c, e, reply)
	if s.policy.SharedAllowance {
		a.Return(granted, reply.RetriesLeft)
	}
	return reply
}

// errorReply returns the reply to an attempt that failed with an error. The outcome is
// NotRun only if the call was not sent.
func (s *Sender) errorReply(ctx context.Context, c wire.Call, e roster.Entry, sent bool) wire.Reply {
	s.picker.avoid(timer.Now(), e.Name)
	if !sent {
		return wire.Refuse(wire.ReasonPeerLost, jitter(noTargetRetryAfter))
	}
	if ctx.Err() != nil {
		go s.peers.Cancel(e, c.Serial)
		return wire.UnknownOutcome(wire.ReasonDeadline)
	}
	return wire.UnknownOutcome(wire.ReasonPeerLost)
}

// recordFeedback records the load, the admission levels and the evidence of a crash that a
// reply carries.
func (s *Sender) recordFeedback(c wire.Call, e roster.Entry, r wire.Reply) {
	now := timer.Now()
	s.picker.report(now, e.Name, r.Load)
	s.levels.Report(now, c.Route, e.Name, r.Level, r.Levels)
	s.poison.Learn(e.Name, r.Crash)
	if r.Outcome == wire.Done {
		s.poison.RecordSuccess(crash.Fingerprint(c.Fingerprint))
	}
}

// ServiceLevel returns the lowest admission level among the targets of a service in
// the local region, 0 if there are none. A request with a lower priority is refused
// by each of them.
func (s *Sender) ServiceLevel(service string) int {
	now := timer.Now()
	entries := (*s.picker.index.Load())[service]
	if len(entries) == 0 {
		return 0
	}
	lowest := level.PriorityCount
	for _, e := range entries {
		if e.Region == s.picker.region {
			lowest = min(lowest, s.levels.Target(now, e.Name))
		}
	}
	if lowest == level.PriorityCount {
		return 0
	}
	return lowest
}
