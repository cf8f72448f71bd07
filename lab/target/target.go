// Package target is a stand-in for a target, a back end server: it runs requests
// in a fixed number of slots, calls other services through the node on its VM,
// and sheds load, drains, starts cold and crashes as a test requires.
package target

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/edge/runner"
	"fuchsiapier/internal/edge/wire"
)

const (
	announcePeriod  = 500 * time.Millisecond
	announceTimeout = 2 * time.Second
	// crashMarker in a request body makes the target exit at once.
	crashMarker = "crash-the-target"
	// backlogFactor bounds the requests that wait for a slot, in multiples of the
	// slots.
	backlogFactor = 20
	crashExitCode = 7
)

// Config describes a target.
type Config struct {
	// Service is the name of the service that the target runs.
	Service string
	// Listen is the address (ip:port) on which the target takes requests.
	Listen string
	// Node is the address (ip:port) of the node on the same VM. The target sends
	// its announcements and its nested calls there.
	Node string
	// Slots is the number of requests that run at once.
	Slots int
	// Connections is the number of connections that the target announces; it
	// enforces no such limit.
	Connections int
	// ServiceTime is the mean service time of a request without its nested calls.
	ServiceTime time.Duration
	// ColdStart is how long after the start the mean service time is ten times
	// as long.
	ColdStart time.Duration
	// Calls maps a path to the paths of its nested calls, which are made one after
	// the other.
	Calls map[string][]string
	// Journal records the requests; it must not be nil.
	Journal *Journal
}

// Overrides is the body of a POST to /lab/knobs and changes how a running target
// behaves.
type Overrides struct {
	// SlowFactor multiplies the mean service time; 0 leaves the factor in force.
	SlowFactor float64 `json:"slow"`
	// State is the state to announce, "ready" or "draining"; empty leaves the
	// state as it is.
	State string `json:"state"`
	// Shed makes the target refuse every request; false ends that.
	Shed bool `json:"shed"`
}

// Target is a running stand-in for a back end server. It is safe for concurrent
// use.
type Target struct {
	config     Config
	instance   string
	started    time.Time
	slots      chan struct{}
	waiting    atomic.Int64
	slowFactor atomic.Uint64
	shed       atomic.Bool
	state      atomic.Value
	client     *fasthttp.Client
}

// New returns a target that does not listen yet. Its instance ID is random, so
// that every start is a new instance.
func New(c Config) *Target {
	t := &Target{
		config:   c,
		instance: uuid.NewString(),
		started:  time.Now(),
		slots:    make(chan struct{}, c.Slots),
		client: &fasthttp.Client{
			MaxConnsPerHost:           c.Slots * 4,
			MaxIdemponentCallAttempts: 1,
		},
	}
	t.slowFactor.Store(slowFactorScale)
	t.state.Store("ready")
	return t
}

// slowFactorScale is the fixed-point scale of slowFactor: the value that stands
// for a factor of 1.
const slowFactorScale = 1000

// Run listens, announces the target to the node periodically and serves requests
// until the listener fails. It returns the error of listening or serving.
func (t *Target) Run() error {
	l, err := net.Listen("tcp", t.config.Listen)
	if err != nil {
		return err
	}
	go t.announceLoop()
	server := &fasthttp.Server{
		Handler: t.handle,
	}
	return server.Serve(l)
}

func (t *Target) announceLoop() {
	for {
		t.announce()
		time.Sleep(announcePeriod)
	}
}

// announce sends one announcement and ignores its failure, since the next one
// follows soon.
func (t *Target) announce() {
	body, err := json.Marshal(runner.Announcement{
		Service:     t.config.Service,
		Address:     t.config.Listen,
		Instance:    t.instance,
		State:       t.state.Load().(string),
		Slots:       t.config.Slots,
		Connections: t.config.Connections,
	})
	if err != nil {
		return
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + t.config.Node + "/fuchsiapier/announce")
	req.SetBody(body)
	_ = t.client.DoTimeout(req, resp, announceTimeout)
}

// handle runs a request. It waits for a free slot until the deadline of the
// request at the latest.
func (t *Target) handle(ctx *fasthttp.RequestCtx) {
	defer func() {
		ctx.Response.Header.SetBytesV(wire.HeaderRequestID, ctx.Request.Header.Peek(wire.HeaderRequestID))
	}()
	if string(ctx.Path()) == "/lab/knobs" {
		t.handleControl(ctx)
		return
	}
	if t.shed.Load() || t.waiting.Load() > int64(backlogFactor*t.config.Slots) {
		t.record("refused", ctx)
		// ctx.Error resets the response, so the header must be set after it.
		ctx.Error("shed", fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(wire.HeaderOutcome, string(wire.NotRun))
		return
	}
	deadline := t.deadline(ctx)
	t.waiting.Add(1)
	select {
	case t.slots <- struct{}{}:
		t.waiting.Add(-1)
	case <-time.After(time.Until(deadline)):
		t.waiting.Add(-1)
		ctx.Error("deadline", fasthttp.StatusGatewayTimeout)
		return
	}
	defer func() { <-t.slots }()
	t.work(ctx, deadline)
}

// deadline returns the time by which a request must be done, 10 s from now if
// the request has no valid deadline header.
func (t *Target) deadline(ctx *fasthttp.RequestCtx) time.Time {
	millis, err := strconv.Atoi(string(ctx.Request.Header.Peek(wire.HeaderDeadline)))
	if err != nil {
		millis = 10_000
	}
	return time.Now().Add(time.Duration(millis) * time.Millisecond)
}

// handleControl applies the change in a request's body and announces a new state
// at once.
func (t *Target) handleControl(ctx *fasthttp.RequestCtx) {
	var o Overrides
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if o.SlowFactor > 0 {
		t.slowFactor.Store(uint64(o.SlowFactor * slowFactorScale))
	}
	t.shed.Store(o.Shed)
	if o.State != "" {
		t.state.Store(o.State)
		t.announce()
	}
}

// record adds an event of a request to the journal.
func (t *Target) record(event string, ctx *fasthttp.RequestCtx) {
	err := t.config.Journal.Add(Entry{
		Event:     event,
		At:        time.Now(),
		Instance:  t.instance,
		Service:   t.config.Service,
		Request:   string(ctx.Request.Header.Peek(wire.HeaderRequestID)),
		Workspace: string(ctx.Request.Header.Peek(wire.HeaderWorkspace)),
		Path:      string(ctx.Path()),
		Body:      string(ctx.PostBody()),
		KeySeen:   len(ctx.Request.Header.Peek(wire.HeaderKey)) > 0,
		State:     t.state.Load().(string),
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "journal:", err)
	}
}

// work runs a request: it sleeps for the service time, makes the nested calls and
// responds. The first nested call that fails fails the request.
func (t *Target) work(ctx *fasthttp.RequestCtx, deadline time.Time) {
	t.record("begin", ctx)
	if bytes.Contains(ctx.PostBody(), []byte(crashMarker)) {
		os.Exit(crashExitCode)
	}
	time.Sleep(t.sampleServiceTime())
	handle := string(ctx.Request.Header.Peek(wire.HeaderHandle))
	for _, path := range t.config.Calls[string(ctx.Path())] {
		if err := t.call(handle, path, deadline); err != nil {
			t.record("end", ctx)
			ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
			return
		}
	}
	t.record("end", ctx)
	ctx.Response.Header.Set("Lab-Instance", t.instance)
	ctx.SetBodyString("ok " + string(ctx.PostBody()))
}

// sampleServiceTime draws a service time from an exponential distribution,
// capped at four times its mean.
func (t *Target) sampleServiceTime() time.Duration {
	mean := float64(t.config.ServiceTime) * float64(t.slowFactor.Load()) / slowFactorScale
	if time.Since(t.started) < t.config.ColdStart {
		mean *= 10
	}
	return time.Duration(mean * min(rand.ExpFloat64(), 4))
}

// call makes a nested call through the node on the VM. The handle ties it to the
// request that makes it.
func (t *Target) call(handle, path string, deadline time.Time) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + t.config.Node + path)
	req.Header.Set(wire.HeaderHandle, handle)
	if err := t.client.DoDeadline(req, resp, deadline); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("%s: %d %s", path, resp.StatusCode(), resp.Header.Peek(wire.HeaderReason))
	}
	return nil
}
