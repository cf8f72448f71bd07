// Package remote forwards calls to the gates of other nodes and receives theirs.
// The request of a call is forwarded unchanged, with one more header field,
// call.FieldCall, which carries what the receiving gate needs to know. Nodes also
// fetch the configuration in force from each other, and hold the departures of each
// other's targets.
package remote

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/base/budget"
	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/node/call"
	"fuchsiapier/internal/pipe/body"
	"fuchsiapier/internal/pipe/frame"
	"fuchsiapier/internal/pipe/httpc"
	"fuchsiapier/internal/pipe/msg"
)

const (
	// dialTimeout bounds opening a connection to a node; the round-trip time between
	// regions is 60 ms.
	dialTimeout = 300 * time.Millisecond
	// sameRegionAckTimeout and crossRegionAckTimeout bound how long bytes sent to a
	// node of the same or another region may stay unacknowledged (TCP_USER_TIMEOUT).
	// They leave time for some retransmissions on a lossy link.
	sameRegionAckTimeout  = 500 * time.Millisecond
	crossRegionAckTimeout = 900 * time.Millisecond
	// sameRegionMargin and crossRegionMargin are subtracted from the deadline that
	// another node gets, for the time that its response takes to arrive.
	sameRegionMargin  = 5 * time.Millisecond
	crossRegionMargin = 70 * time.Millisecond
	// noMemoryRetryAfter is the retry delay where this node had no memory for a call.
	noMemoryRetryAfter = 500 * time.Millisecond
	// RulesPath is the path at which a node serves the configuration in force on it.
	RulesPath = "/fuchsiapier/rules"
)

// Links holds the connections to other nodes. It is safe for concurrent use.
type Links struct {
	self peers.Node
	// attempt is the name of the header field that carries the attempt's ID, leaving that of
	// the one in responses of a target that is about to stop.
	attempt string
	leaving string
	// bodies bounds the memory of frames that are read.
	bodies *httpc.Bodies
	mu     sync.Mutex
	// connections bounds the connections to other nodes; nil for no bound.
	connections *budget.Budget
	// clients holds the client of each node by its gate address.
	clients map[string]*frame.Client
}

// Option configures Links.
type Option func(*Links)

// WithConnections sets the bound on connections to other nodes, which others may share.
func WithConnections(b *budget.Budget) Option {
	return func(l *Links) {
		l.connections = b
	}
}

// New returns the links of a node, and a function that closes them.
func New(self peers.Node, names msg.Names, bodies *httpc.Bodies, options ...Option) (*Links, func()) {
	l := &Links{
		self:    self,
		attempt: names.Attempt,
		leaving: names.Leaving,
		bodies:  bodies,
		clients: map[string]*frame.Client{},
	}
	for _, o := range options {
		o(l)
	}
	return l, l.close
}

// client returns the client for a node, which it creates if there is none.
func (l *Links) client(to *peers.Node) *frame.Client {
	address := to.GateAddress()
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.clients[address]
	if !ok {
		ackTimeout := sameRegionAckTimeout
		if to.Region != l.self.Region {
			ackTimeout = crossRegionAckTimeout
		}
		options := []httpc.Option{
			httpc.WithDialTimeout(dialTimeout),
			httpc.WithTCPUserTimeout(ackTimeout),
			httpc.WithOnSilence(l.closeUnproven),
			httpc.WithConnections(l.connections),
		}
		c = frame.NewClient(address, options, l.bodies, l.attempt, call.FieldCall)
		l.clients[address] = c
	}
	return c
}

// Trim closes connections that have been idle for too long, and all connections to
// addresses that are not live. It is to be called periodically.
func (l *Links) Trim(now time.Time, live map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, c := range l.clients {
		c.Trim(now)
		if !live[address] {
			c.Close()
			delete(l.clients, address)
		}
	}
}

// closeUnproven closes the idle connections to all nodes on which none has answered since a point in
// time: a connection to one of them has been silent from then on.
func (l *Links) closeUnproven(since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.clients {
		c.CloseUnproven(since)
	}
}

func (l *Links) close() {
	l.Trim(time.Now(), nil)
}

// returnMargin returns the time reserved for the response of a node to arrive.
func (l *Links) returnMargin(to *peers.Node) time.Duration {
	if to.Region != l.self.Region {
		return crossRegionMargin
	}
	return sameRegionMargin
}

// Send forwards a call to the gate of another node and returns the result. NotRun
// with reason Unreachable means that the node did not take the call.
func (l *Links) Send(ctx context.Context, to peers.Node, c *call.Call) call.Result {
	forwarded := *c
	forwarded.Deadline = c.Deadline.Add(-l.returnMargin(&to))
	extra := msg.AppendField(c.Extra, call.FieldCall, forwarded.EncodeField(time.Now()))
	if known := call.EncodeEvidence(c.Evidence); known != "" {
		extra = msg.AppendField(extra, call.FieldCrash, known)
	}
	answer, err := l.client(&to).DoWithdrawable(ctx, c.Withdrawn, c.Request, extra)
	switch {
	case err == nil:
		return l.decode(answer, c)
	case errors.Is(err, httpc.ErrNoConnection):
		return call.Result{
			Outcome: call.NotRun,
			Reason:  call.NoConnection,
		}
	case errors.Is(err, httpc.ErrRefused), errors.Is(err, httpc.ErrNotSent):
		return call.Result{
			Outcome: call.NotRun,
			Reason:  call.Unreachable,
		}
	case errors.Is(err, httpc.ErrContextDone):
		return call.Result{
			Outcome: call.Gone,
			Reason:  call.CallerGone,
			Reached: true,
		}
	}
	return call.Result{
		Outcome: call.Unknown,
		Reason:  call.AnswerLost,
		Reached: true,
	}
}

// decode turns the response of another node into a result. A response with
// FieldRefused comes from the gate: status 503 means that the call was not run, any
// other status that the outcome is unknown. All other responses come from the
// target; the echo of the attempt's ID, which the receiving node left out, is added
// to them again.
func (l *Links) decode(a *frame.Answer, c *call.Call) call.Result {
	r := call.DecodeLoad(a.Header.Get(call.FieldLoad))
	refused := a.Header.Get(call.FieldRefused)
	if refused == "" {
		r.Outcome = call.Answered
		r.Answer = &msg.Response{
			Status: a.Status,
			Fields: msg.AppendField(a.Header.Lines(call.FieldLoad), l.attempt, c.Attempt),
			Body:   a.Body,
		}
		r.Reached = true
		r.TargetLeaving = a.Header.Get(l.leaving) == msg.LeavingValue
		return r
	}
	r.Reason, r.RetryAfter = call.DecodeRefused(refused)
	if known := a.Header.Get(call.FieldCrash); known != "" {
		r.Evidence = call.DecodeEvidence(known, c.Fingerprint())
	}
	r.Outcome = call.NotRun
	r.Reached = r.Reason == call.Shed || r.Reason == call.TargetMoved
	if a.Status != fasthttp.StatusServiceUnavailable {
		r.Outcome = call.Unknown
		r.Reached = true
	}
	return r
}

var errNoRules = errors.New("peer served no configuration")

// FetchRules returns the encoded configuration in force on another node. It fails
// if the node does not respond before ctx ends or serves no configuration. It opens a new
// connection, since open ones may be dead without a sign.
func (l *Links) FetchRules(ctx context.Context, from peers.Node) ([]byte, error) {
	request := &msg.Request{
		Method: fasthttp.MethodGet,
		URI:    RulesPath,
	}
	answer, err := l.client(&from).DoOnNewConn(ctx, request, nil)
	if err != nil {
		return nil, err
	}
	if answer.Status != fasthttp.StatusOK {
		return nil, errNoRules
	}
	return answer.Body.Bytes(), nil
}

// Gate runs calls on the target beside the receiving node.
type Gate interface {
	Serve(ctx context.Context, c *call.Call) call.Result
}

// Receiver handles the requests of other nodes.
type Receiver struct {
	gate       Gate
	names      msg.Names
	rules      func() []byte
	departures Departures
}

// ReceiverOption configures a Receiver.
type ReceiverOption func(*Receiver)

// WithDepartures sets what holds the departures that other nodes have confirmed. Without it the
// node holds none.
func WithDepartures(d Departures) ReceiverOption {
	return func(r *Receiver) {
		r.departures = d
	}
}

// NewReceiver returns a receiver that runs calls on a gate. rules returns the
// encoded configuration in force, or nil before there is one.
func NewReceiver(gate Gate, names msg.Names, rules func() []byte, options ...ReceiverOption) *Receiver {
	r := &Receiver{
		gate:       gate,
		names:      names,
		rules:      rules,
		departures: noDepartures{},
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Handle handles one request of another node: a call where FieldCall is present, otherwise
// a request about departures or for the configuration. It returns nil where the sending node
// canceled the call.
func (r *Receiver) Handle(ctx context.Context, in *frame.Request) *msg.Response {
	if in.NoMemory {
		return gateResponse(fasthttp.StatusServiceUnavailable, call.Result{
			Outcome:    call.NotRun,
			Reason:     call.NoMemory,
			RetryAfter: noMemoryRetryAfter,
		})
	}
	field := in.Header.Get(call.FieldCall)
	if field == "" {
		if out := r.serveDepartures(ctx, in); out != nil {
			return out
		}
		return r.serveRules(in)
	}
	c, err := call.DecodeField(field, time.Now())
	if err != nil {
		return msg.Plain(fasthttp.StatusBadRequest, err.Error())
	}
	in.Fields = in.Header.Lines(call.FieldCall, call.FieldCrash)
	c.Attempt = in.Header.Get(r.names.Attempt)
	c.Workspace = in.Header.Get(r.names.Workspace)
	c.Request = &in.Request
	c.Withdrawn = in.Withdrawn
	if known := in.Header.Get(call.FieldCrash); known != "" {
		c.Evidence = call.DecodeEvidence(known, c.Fingerprint())
	}
	return r.encode(r.gate.Serve(ctx, c))
}

// serveRules serves the configuration in force.
func (r *Receiver) serveRules(in *frame.Request) *msg.Response {
	record := r.rules()
	if in.URI != RulesPath || record == nil {
		return msg.Plain(fasthttp.StatusNotFound, "nothing here")
	}
	return &msg.Response{
		Status: fasthttp.StatusOK,
		Body:   body.Of(record),
	}
}

// encode turns a result into a response that the sending node can decode. The
// target's echo of the attempt's ID, which the gate has checked, is left out.
func (r *Receiver) encode(result call.Result) *msg.Response {
	var out *msg.Response
	switch result.Outcome {
	case call.Answered:
		out = result.Answer.Without(r.names.Attempt)
	case call.Gone:
		return nil
	case call.NotRun:
		out = gateResponse(fasthttp.StatusServiceUnavailable, result)
	default:
		out = gateResponse(fasthttp.StatusBadGateway, result)
	}
	if known := call.EncodeEvidence(result.Evidence); known != "" {
		out = out.With(call.FieldCrash, known)
	}
	if load := call.EncodeLoad(result); load != "" {
		out = out.With(call.FieldLoad, load)
	}
	return out
}

// gateResponse returns a response of the gate itself, for a call to which the target
// did not respond.
func gateResponse(status int, r call.Result) *msg.Response {
	return &msg.Response{
		Status: status,
		Fields: msg.AppendField(nil, call.FieldRefused, call.EncodeRefused(r)),
	}
}
