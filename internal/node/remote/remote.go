// Package remote carries calls between nodes, raw, with one more field for what
// the gate must know.
package remote

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/node/call"
	"fuchsiapier/internal/pipe/frame"
	"fuchsiapier/internal/pipe/msg"
	"fuchsiapier/internal/pipe/outlet"
)

const (
	// dialTimeout bounds opening a connection to a node; regions are 60 ms apart
	// there and back.
	dialTimeout = 300 * time.Millisecond
	// nearSilence and farSilence bound how long bytes sent to a node of the own or
	// another region may stay unacknowledged: some retransmissions on a lossy link.
	nearSilence = 500 * time.Millisecond
	farSilence  = 900 * time.Millisecond
	// domainMargin and regionMargin are taken off the time left at another node, for the
	// way back.
	domainMargin = 5 * time.Millisecond
	regionMargin = 70 * time.Millisecond
	// RulesPath is where a node hands out the configuration in force on it.
	RulesPath = "/fuchsiapier/rules"
	// RulesTimeout bounds fetching it.
	RulesTimeout = 1 * time.Second
)

// Links holds the connections to other nodes; it is safe for concurrent use.
type Links struct {
	self    peers.Node
	attempt string
	mu      sync.Mutex
	clients map[string]*frame.Client
}

// New returns links from a node, and their clean-up.
func New(self peers.Node, names msg.Names) (*Links, func()) {
	l := &Links{
		self:    self,
		attempt: names.Attempt,
		clients: map[string]*frame.Client{},
	}
	return l, l.close
}

func (l *Links) client(to *peers.Node) *frame.Client {
	address := to.GateAddress()
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.clients[address]
	if !ok {
		silence := nearSilence
		if to.Region != l.self.Region {
			silence = farSilence
		}
		c = frame.NewClient(address, dialTimeout, silence, l.attempt, call.FieldCall)
		l.clients[address] = c
	}
	return c
}

// Trim closes idle connections and forgets nodes that are not named.
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

func (l *Links) close() {
	l.Trim(time.Now(), nil)
}

func (l *Links) margin(to *peers.Node) time.Duration {
	if to.Region != l.self.Region {
		return regionMargin
	}
	return domainMargin
}

// Send hands a call to the gate of another node and returns what became of it.
func (l *Links) Send(ctx context.Context, to peers.Node, c *call.Call) call.Result {
	sent := *c
	sent.Deadline = c.Deadline.Add(-l.margin(&to))
	extra := msg.AppendField(c.Extra, call.FieldCall, sent.EncodeField(time.Now()))
	answer, err := l.client(&to).Do(ctx, c.Request, extra)
	switch {
	case err == nil:
		return l.read(answer, c.Attempt)
	case errors.Is(err, outlet.ErrRefused), errors.Is(err, outlet.ErrNotSent):
		return call.Result{
			Outcome: call.NotRun,
			Reason:  call.Unreachable,
		}
	case errors.Is(err, outlet.ErrStopped):
		return call.Result{
			Outcome: call.Gone,
			Reason:  call.Stopped,
			Reached: true,
		}
	}
	return call.Result{
		Outcome: call.Unknown,
		Reason:  call.Lost,
		Reached: true,
	}
}

// read tells the gate's own answers from those of its target.
func (l *Links) read(a *frame.Answer, attempt string) call.Result {
	r := call.Result{}
	r.Wait, r.Queued = call.DecodeLoad(a.Header.Get(call.FieldLoad))
	refused := a.Header.Get(call.FieldRefused)
	if refused == "" {
		r.Outcome = call.Answered
		r.Answer = &msg.Response{
			Status: a.Status,
			Fields: msg.AppendField(a.Header.Lines(call.FieldLoad), l.attempt, attempt),
			Body:   a.Body,
		}
		r.Reached = true
		return r
	}
	r.Reason, r.RetryAfter = call.DecodeRefused(refused)
	r.Outcome = call.NotRun
	r.Reached = r.Reason == call.Shed || r.Reason == call.Moved
	if a.Status != fasthttp.StatusServiceUnavailable {
		r.Outcome = call.Unknown
		r.Reached = true
	}
	return r
}

var errNoRules = errors.New("node has no configuration to hand out")

// FetchRules reads the configuration in force on another node.
func (l *Links) FetchRules(from peers.Node) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), RulesTimeout)
	defer cancel()
	request := &msg.Request{
		Method: fasthttp.MethodGet,
		URI:    RulesPath,
	}
	answer, err := l.client(&from).Do(ctx, request, nil)
	if err != nil {
		return nil, err
	}
	if answer.Status != fasthttp.StatusOK {
		return nil, errNoRules
	}
	return answer.Body, nil
}

// Gate is the target beside the receiving node.
type Gate interface {
	Serve(ctx context.Context, c *call.Call) call.Result
}

// Receiver answers what other nodes send.
type Receiver struct {
	gate  Gate
	names msg.Names
	rules func() []byte
}

// NewReceiver returns a receiver for a gate; rules returns the record of the
// configuration in force, nil before the first.
func NewReceiver(gate Gate, names msg.Names, rules func() []byte) *Receiver {
	return &Receiver{
		gate:  gate,
		names: names,
		rules: rules,
	}
}

// Handle answers one call of another node.
func (r *Receiver) Handle(ctx context.Context, in *frame.Request) *msg.Response {
	field := in.Header.Get(call.FieldCall)
	if field == "" {
		return r.handRules(in)
	}
	c, err := call.DecodeField(field, time.Now())
	if err != nil {
		return msg.Plain(fasthttp.StatusBadRequest, err.Error())
	}
	in.Fields = in.Header.Lines(call.FieldCall)
	c.Attempt = in.Header.Get(r.names.Attempt)
	c.Origin = in.Header.Get(r.names.Caller) + "/" + in.Header.Get(r.names.Workspace)
	c.Request = &in.Request
	return r.encode(r.gate.Serve(ctx, c))
}

func (r *Receiver) handRules(in *frame.Request) *msg.Response {
	raw := r.rules()
	if in.URI != RulesPath || raw == nil {
		return msg.Plain(fasthttp.StatusNotFound, "nothing here")
	}
	return &msg.Response{
		Status: fasthttp.StatusOK,
		Body:   raw,
	}
}

// encode turns a result into an answer that the sending node can tell apart. The
// target's echo of the attempt is checked here and left out.
func (r *Receiver) encode(result call.Result) *msg.Response {
	var out *msg.Response
	switch result.Outcome {
	case call.Answered:
		out = result.Answer.Without(r.names.Attempt)
	case call.Gone:
		return nil
	case call.NotRun:
		out = own(fasthttp.StatusServiceUnavailable, result)
	default:
		out = own(fasthttp.StatusBadGateway, result)
	}
	if load := call.EncodeLoad(result); load != "" {
		out = out.With(call.FieldLoad, load)
	}
	return out
}

func own(status int, r call.Result) *msg.Response {
	return &msg.Response{
		Status: status,
		Fields: msg.AppendField(nil, call.FieldRefused, call.EncodeRefused(r)),
	}
}
