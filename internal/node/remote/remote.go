// Package remote carries calls between nodes: as HTTP/1.1 requests over kept
// connections, raw, with one more field for what the gate must know.
package remote

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/node/call"
	"fuchsiapier/internal/pipe/inlet"
	"fuchsiapier/internal/pipe/msg"
	"fuchsiapier/internal/pipe/outlet"
)

const (
	// dialTimeout bounds opening a connection to a node; regions are 60 ms apart
	// there and back.
	dialTimeout = 300 * time.Millisecond
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
	filter  msg.Filter
	mu      sync.Mutex
	outlets map[string]*outlet.Outlet
}

// New returns links from a node, and their clean-up.
func New(self peers.Node, names msg.Names) (*Links, func()) {
	l := &Links{
		self:    self,
		attempt: names.Attempt,
		filter:  msg.NewFilter(call.FieldLoad, call.FieldRefused),
		outlets: map[string]*outlet.Outlet{},
	}
	return l, l.close
}

func (l *Links) outlet(address string) *outlet.Outlet {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, ok := l.outlets[address]
	if !ok {
		o, _ = outlet.New(address,
			outlet.WithDialTimeout(dialTimeout),
			outlet.WithAttemptHeader(l.attempt),
			outlet.WithFilter(l.filter),
		)
		l.outlets[address] = o
	}
	return o
}

// Trim closes idle connections and forgets nodes that are not named.
func (l *Links) Trim(now time.Time, live map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, o := range l.outlets {
		o.Trim(now)
		if !live[address] {
			o.Close()
			delete(l.outlets, address)
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
	encoded := make([]byte, 0, len(c.Head)+len(c.Request.Body)+128)
	encoded = append(encoded, c.Head...)
	encoded = msg.AppendField(encoded, call.FieldCall, sent.EncodeField(time.Now()))
	encoded = c.Request.AppendBody(encoded)
	answer, err := l.outlet(to.GateAddress()).Do(ctx, encoded, c.Request.Method, c.Attempt)
	switch {
	case err == nil:
		return read(answer)
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
func read(a *outlet.Answer) call.Result {
	r := call.Result{}
	r.Wait, r.Queued = call.DecodeLoad(string(a.Header.Peek(call.FieldLoad)))
	refused := a.Header.Peek(call.FieldRefused)
	if len(refused) == 0 {
		r.Outcome = call.Answered
		r.Answer = &a.Response
		r.Reached = true
		return r
	}
	r.Reason, r.RetryAfter = call.DecodeRefused(string(refused))
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
	request := []byte("GET " + RulesPath + " HTTP/1.1\r\nHost: " + from.GateAddress() + "\r\n\r\n")
	answer, err := l.outlet(from.GateAddress()).Do(ctx, request, fasthttp.MethodGet, "")
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
	// filter drops what the gate sets anew.
	filter msg.Filter
}

// NewReceiver returns a receiver for a gate; rules returns the record of the
// configuration in force, nil before the first.
func NewReceiver(gate Gate, names msg.Names, rules func() []byte) *Receiver {
	return &Receiver{
		gate:   gate,
		names:  names,
		rules:  rules,
		filter: msg.NewFilter(call.FieldCall, names.Deadline, names.ExpectTarget),
	}
}

// Handle answers one call of another node.
func (r *Receiver) Handle(ctx context.Context, in *inlet.Inbound) *msg.Response {
	field := string(in.Header.Peek(call.FieldCall))
	if field == "" {
		return r.handRules(in)
	}
	c, err := call.DecodeField(field, in.Arrived)
	if err != nil {
		return msg.Plain(fasthttp.StatusBadRequest, err.Error())
	}
	in.Fields = r.filter.RequestFields(in.Header)
	c.Attempt = string(in.Header.Peek(r.names.Attempt))
	c.Request = &in.Request
	c.Head = in.AppendHead(make([]byte, 0, 512))
	return encode(r.gate.Serve(ctx, c), c.Attempt, r.names.Attempt)
}

func (r *Receiver) handRules(in *inlet.Inbound) *msg.Response {
	raw := r.rules()
	if in.URI != RulesPath || raw == nil {
		return msg.Plain(fasthttp.StatusNotFound, "nothing here")
	}
	return &msg.Response{
		Status: fasthttp.StatusOK,
		Body:   raw,
	}
}

// encode turns a result into an answer that the sending node can tell apart.
func encode(r call.Result, attempt, attemptField string) *msg.Response {
	var out *msg.Response
	switch r.Outcome {
	case call.Answered:
		out = r.Answer
	case call.Gone:
		return nil
	case call.NotRun:
		out = own(fasthttp.StatusServiceUnavailable, r, attempt, attemptField)
	default:
		out = own(fasthttp.StatusBadGateway, r, attempt, attemptField)
	}
	if load := call.EncodeLoad(r); load != "" {
		out = out.With(call.FieldLoad, load)
	}
	return out
}

func own(status int, r call.Result, attempt, attemptField string) *msg.Response {
	out := &msg.Response{
		Status: status,
		Fields: msg.AppendField(nil, call.FieldRefused, call.EncodeRefused(r)),
	}
	return out.With(attemptField, attempt)
}
