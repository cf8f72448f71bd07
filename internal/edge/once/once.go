// Package once runs every non-idempotent call at most once, with the request ID
// as idempotency key. Before a call runs, a quorum of the replicas in its home
// domain must record its claim; retries join the running call or receive its
// cached reply.
package once

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiapier/internal/admit/claim"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/conf/preset"
	"fuchsiapier/internal/edge/wire"
	"fuchsiapier/internal/mesh/rank"
)

const (
	// claimTimeout bounds a claim or a release at the replicas.
	claimTimeout = 1 * time.Second
	// homeRetryAfter is when to retry after too few replicas of the home domain
	// could be reached.
	homeRetryAfter = 1 * time.Second
	// notHeldRetryAfter is when to retry while a released claim is removed from
	// the replicas, or while several nodes claim at the same time.
	notHeldRetryAfter = 50 * time.Millisecond
	// sweepPeriod is how often expired replies are removed.
	sweepPeriod = 1 * time.Second
)

// Mesh sends claims and joins to other nodes.
type Mesh interface {
	// Replica returns the name of the node in a slot of a failure domain, or ""
	// if none is known.
	Replica(domain string, slot int) string
	// Claim sends a claim or a release to a replica.
	Claim(ctx context.Context, node string, q claim.Request) (claim.Answer, error)
	// Join waits for the reply of the claim's holder. The reply is lost if the holder
	// has restarted and no longer has the incarnation in j.
	Join(ctx context.Context, node string, j wire.Join) (wire.Reply, error)
}

// Once runs calls at most once and is a replica for the claims of other nodes.
// It is safe for concurrent use.
type Once struct {
	self        string
	incarnation int64
	mesh        Mesh
	replyCache  *replyCache
	// attempts numbers the claims that this node makes.
	attempts atomic.Uint64
	mu       sync.Mutex
	replica  *claim.Replica
	preset   preset.Preset
}

// New returns the Once of the named node and the function that stops its timer.
// incarnation is the start time of the process in Unix nanoseconds.
func New(self string, incarnation int64, mesh Mesh, timers *timer.Service) (*Once, func()) {
	o := &Once{
		self:        self,
		incarnation: incarnation,
		mesh:        mesh,
		replyCache:  newReplyCache(),
		replica:     claim.NewReplica(time.Unix(0, incarnation)),
	}
	return o, timers.Every(sweepPeriod, o.sweep)
}

// Configure applies the preset in force: the slots of the failure domains, the
// claim retention and the clock margin.
func (o *Once) Configure(p preset.Preset) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.preset = p
	o.replica.Configure(time.Now(), claim.Rules{
		Layout:      p.Layout(),
		Retention:   p.ClaimRetention.D(),
		ClockMargin: p.ClockMargin.D(),
	})
}

func (o *Once) activePreset() preset.Preset {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.preset
}

func (o *Once) sweep(now timer.Instant) {
	retention := o.activePreset().ClaimRetention.D()
	if retention > 0 {
		o.replyCache.expire(now, retention)
	}
}

// key returns the key of a call's claim. It contains the workspace, so that equal
// IDs of two workspaces don't collide.
func key(c wire.Call) string {
	return c.Workspace + "|" + c.ID
}

// Do runs a call, or joins it if it is running or done already. For a
// non-idempotent call, run is called at most once over all retries on all nodes,
// except after a run whose outcome is not-run.
func (o *Once) Do(ctx context.Context, c wire.Call, run func(ctx context.Context) wire.Reply) wire.Reply {
	r, first := o.replyCache.getOrCreate(key(c), c.Fingerprint, !c.Idempotent)
	if !first {
		return o.replyCache.wait(ctx, r, c.Fingerprint)
	}
	// Requests that joined receive this reply if run panics.
	reply, forget := wire.UnknownOutcome(wire.ReasonInternal), false
	defer func() { o.replyCache.finish(timer.Now(), r, reply, forget) }()
	if c.Idempotent {
		o.replyCache.resolveClaim(r, false)
		reply, forget = run(ctx), true
		return reply
	}
	reply, forget = o.runClaimed(ctx, r, c, run)
	return reply
}

// runClaimed claims a call and runs it if the claim is granted. forget reports
// that the reply need not be cached here.
func (o *Once) runClaimed(ctx context.Context, r *Run, c wire.Call, run func(ctx context.Context) wire.Reply) (reply wire.Reply, forget bool) {
	q := o.request(c)
	verdict, holder := o.acquire(ctx, c, q)
	o.replyCache.resolveClaim(r, verdict != claim.Granted)
	switch verdict {
	case claim.Granted:
	case claim.Taken:
		return o.join(ctx, c, holder), true
	case claim.Reused:
		return wire.Refuse(wire.ReasonReused, 0).AsFinal(), true
	case claim.Unverifiable:
		return o.refuseUnverifiable(c), true
	default:
		return wire.Refuse(wire.ReasonClaimHome, homeRetryAfter), true
	}
	reply = run(ctx)
	if reply.Outcome != wire.NotRun {
		return reply, false
	}
	o.release(c, q)
	return reply, true
}

// refuseUnverifiable returns the reply for an ID for which the replicas can't
// rule out an earlier claim. An ID that a node generated for this request, because
// the caller sent none, can't have been used before, so the outcome is not-run. For
// any other ID it is unknown.
func (o *Once) refuseUnverifiable(c wire.Call) wire.Reply {
	if c.GeneratedID {
		return wire.Refuse(wire.ReasonUnverifiable, 2*o.activePreset().ClockMargin.D())
	}
	reply := wire.UnknownOutcome(wire.ReasonUnverifiable)
	return reply.AsFinal()
}

func (o *Once) request(c wire.Call) claim.Request {
	return claim.Request{
		Key:         key(c),
		Created:     c.Created,
		Holder:      o.self,
		Incarnation: o.incarnation,
		Attempt:     o.attempts.Add(1),
		Fingerprint: c.Fingerprint,
		Layout:      o.activePreset().Layout(),
	}
}

// replicas returns the names of the nodes in the replica slots of a call, "" for
// empty slots. If the preset does not know the home domain of the ID, rendezvous
// hashing of the ID chooses one.
func (o *Once) replicas(c wire.Call) []string {
	p := o.activePreset()
	home := c.Home
	if _, ok := p.Domains[home]; !ok {
		home = rank.Best(c.ID, p.DomainNames())
	}
	slots := claim.Slots(key(c), p.Domains[home].Slots)
	nodes := make([]string, 0, len(slots))
	for _, slot := range slots {
		nodes = append(nodes, o.mesh.Replica(home, slot))
	}
	return nodes
}

// acquire sends a claim to all replicas concurrently and returns Granted once a
// quorum has granted it. Without a quorum it releases the claims that were
// granted and returns the verdict, with the holder of the claim if it is taken.
func (o *Once) acquire(ctx context.Context, c wire.Call, q claim.Request) (claim.Verdict, claim.Answer) {
	nodes := o.replicas(c)
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	results := make(chan claim.Answer, len(nodes))
	for _, node := range nodes {
		go func() {
			results <- o.ask(ctx, node, q)
		}()
	}
	t := tally{
		quorum: claim.Quorum(len(nodes)),
	}
	for range nodes {
		t = t.with(<-results)
		if t.granted >= t.quorum {
			return claim.Granted, claim.Answer{}
		}
	}
	if t.granted > 0 {
		o.release(c, q)
	}
	return t.verdict(), t.holder
}

// ask sends a claim or a release to one replica. The zero answer means that the
// slot is empty or the replica did not answer.
func (o *Once) ask(ctx context.Context, node string, q claim.Request) claim.Answer {
	if node == "" {
		return claim.Answer{}
	}
	if node == o.self {
		return o.Claim(q)
	}
	a, err := o.mesh.Claim(ctx, node, q)
	if err != nil {
		return claim.Answer{}
	}
	return a
}

// release withdraws a claim at all replicas in the background. A replica that
// the release does not reach still names the holder, which reports to a retry
// that the request did not run.
func (o *Once) release(c wire.Call, q claim.Request) {
	q.Release = true
	for _, node := range o.replicas(c) {
		if node == "" {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
			defer cancel()
			o.ask(ctx, node, q)
		}()
	}
}

// join waits for the reply of the claim's holder. A holder that has no run for
// the call has released its claim because the request did not run; join then
// releases the remaining records of the claim, so that the next retry can run.
// A holder of this node's name but another incarnation is a predecessor, whose
// replies are lost.
func (o *Once) join(ctx context.Context, c wire.Call, holder claim.Answer) wire.Reply {
	if holder.Holder == o.self {
		if holder.Incarnation != o.incarnation {
			return wire.UnknownOutcome(wire.ReasonPeerLost).AsFinal()
		}
		return wire.Refuse(wire.ReasonClaimWithdrawn, notHeldRetryAfter)
	}
	reply, err := o.mesh.Join(ctx, holder.Holder, wire.Join{
		Key:         key(c),
		Fingerprint: c.Fingerprint,
		Incarnation: holder.Incarnation,
		LeftMillis:  c.LeftMillis,
	})
	switch {
	case err == nil && reply.Reason == wire.ReasonClaimWithdrawn:
		o.release(c, claim.Request{
			Key:         key(c),
			Holder:      holder.Holder,
			Incarnation: holder.Incarnation,
			Attempt:     holder.Attempt,
		})
		return reply
	case err == nil:
		return reply
	case errors.Is(err, context.DeadlineExceeded):
		return wire.UnknownOutcome(wire.ReasonDeadline)
	}
	return wire.UnknownOutcome(wire.ReasonPeerLost)
}

// Claim handles a claim or a release as a replica.
func (o *Once) Claim(q claim.Request) claim.Answer {
	o.mu.Lock()
	defer o.mu.Unlock()
	if q.Release {
		o.replica.Release(q)
		return claim.Answer{
			Verdict: claim.Granted,
		}
	}
	return o.replica.Claim(timer.Now(), time.Now(), q)
}

// Join handles a peer's join: it waits for the reply of a run whose claim this
// node holds.
func (o *Once) Join(ctx context.Context, j wire.Join) wire.Reply {
	if j.Incarnation != o.incarnation {
		return wire.UnknownOutcome(wire.ReasonPeerLost).AsFinal()
	}
	r, ok := o.replyCache.get(j.Key)
	if !ok {
		return wire.Refuse(wire.ReasonClaimWithdrawn, notHeldRetryAfter)
	}
	return o.replyCache.waitAsHolder(ctx, r, j.Fingerprint)
}

// Len returns how many claims this node records as a replica.
func (o *Once) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.replica.Len()
}

// tally counts the answers of the replicas.
type tally struct {
	quorum       int
	granted      int
	taken        bool
	reused       bool
	unverifiable bool
	holder       claim.Answer
}

func (t tally) with(a claim.Answer) tally {
	switch a.Verdict {
	case claim.Granted:
		t.granted++
	case claim.Taken:
		t.taken = true
		t.holder = a
	case claim.Reused:
		t.reused = true
	case claim.Unverifiable:
		t.unverifiable = true
	}
	return t
}

// verdict returns the outcome without a quorum; "" means that too few replicas
// answered.
func (t tally) verdict() claim.Verdict {
	switch {
	case t.reused:
		return claim.Reused
	case t.taken:
		return claim.Taken
	case t.unverifiable:
		return claim.Unverifiable
	}
	return ""
}
