// Package load is an open-loop load generator: it starts requests at a given rate
// whatever the responses are, from callers that resend a request whose response is
// slow or not good, and summarizes the results.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/admit/claim"
	"fuchsiapier/internal/base/check"
	"fuchsiapier/internal/conf/preset"
	"fuchsiapier/internal/edge/wire"
)

// Caller is a stream of requests of one workspace on one path.
type Caller struct {
	Workspace string `toml:"workspace"`
	// Key is the workspace's API key; requests carry none if it is empty.
	Key string `toml:"key"`
	// Entries are the addresses (ip:port) of the nodes that take the requests, one
	// of which is chosen at random for each send.
	Entries []string `toml:"entries"`
	Method  string   `toml:"method"`
	Path    string   `toml:"path"`
	// Rate is the number of requests per second; resends do not count.
	Rate float64 `toml:"rate"`
	// ResendAfter is the time without a response after which a request is sent
	// again with the same ID while the earlier sends are still in flight (hedged
	// request). 0 turns all resends off.
	ResendAfter preset.Duration `toml:"resend-after"`
	// Resends bounds the resends of a request.
	Resends int `toml:"resends"`
	// HonorsRetryAfter makes the caller wait for the time that the response asks for
	// (Retry-After) before it resends a request whose response is not good.
	HonorsRetryAfter bool `toml:"obeys"`
	// Important marks requests that a summary counts separately, since they are
	// to be shed last. It is not sent.
	Important bool `toml:"important"`
}

// Phase is a period of the run with a load of its own.
type Phase struct {
	Name     string          `toml:"name"`
	Duration preset.Duration `toml:"duration"`
	// Factor multiplies all rates; 0 stands for 1.
	Factor float64 `toml:"factor"`
	// Factors multiplies the rates of single workspaces in addition to Factor.
	Factors map[string]float64 `toml:"factors"`
}

// Script describes a load run: callers that all run in each of the phases, and
// phases that follow each other.
type Script struct {
	// Seed seeds the arrival times. The choice of an entry is not seeded.
	Seed    uint64   `toml:"seed"`
	Callers []Caller `toml:"callers"`
	Phases  []Phase  `toml:"phases"`
}

// Parse reads a script from a TOML file. Its error is that of reading the file or
// lists all findings in it.
func Parse(file string) (Script, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Script{}, err
	}
	var s Script
	c := check.DecodeTOML(file, data, &s)
	if err := c.Err(); err != nil {
		return Script{}, err
	}
	for i, caller := range s.Callers {
		if len(caller.Entries) == 0 || caller.Rate < 0 {
			c.Addf("callers", "%d: needs entries and a rate", i)
		}
	}
	for i, p := range s.Phases {
		if p.Duration <= 0 {
			c.Addf("phases", "%d: needs a positive duration", i)
		}
	}
	return s, c.Err()
}

// Result is the result of one request with all its resends.
type Result struct {
	ID        string
	Workspace string
	Path      string
	Phase     string
	Important bool
	// Sent is the time of the first send.
	Sent time.Time
	// Latency is the time from the first send to the first good response, or to the
	// last response if none was good.
	Latency time.Duration
	// Outcome, Reason and Status are those of that response.
	Outcome wire.Outcome
	Reason  wire.Reason
	Status  int
	// Outcomes are the outcomes of all sends whose response was read, in the order
	// of the responses.
	Outcomes []wire.Outcome
	// Wrong says that a response with status 200 had another body than the one
	// expected: it was incomplete or belonged to another request. Such a result is
	// not good, whatever later responses are.
	Wrong bool
}

// Good reports whether the request completed with the right response.
func (r Result) Good() bool {
	return r.Outcome == wire.Done && r.Status == fasthttp.StatusOK && !r.Wrong
}

const (
	// requestTimeout bounds the wait for the response to one send.
	requestTimeout = 30 * time.Second
	// minResendDelay keeps a caller whose requests are rejected from busy looping.
	minResendDelay = 20 * time.Millisecond
)

// Driver runs a script. It runs once; Send and SendBody are safe for concurrent
// use.
type Driver struct {
	script  Script
	client  *fasthttp.Client
	mu      sync.Mutex
	random  *rand.Rand
	results []Result
}

// New returns a driver for a script. Send and SendBody need no callers or phases
// in it.
func New(s Script) *Driver {
	return &Driver{
		script: s,
		client: &fasthttp.Client{
			MaxConnsPerHost:           4096,
			MaxIdemponentCallAttempts: 1,
			ReadTimeout:               requestTimeout,
		},
		random: rand.New(rand.NewPCG(s.Seed, s.Seed)),
	}
}

// Run performs all phases and returns the results of all requests, in the order
// in which they ended. It waits for the requests still in flight at the end. When
// ctx ends, the rest of the phases is skipped.
func (d *Driver) Run(ctx context.Context) []Result {
	var wg sync.WaitGroup
	for _, p := range d.script.Phases {
		phase, cancel := context.WithTimeout(ctx, p.Duration.D())
		for _, c := range d.script.Callers {
			wg.Go(func() { d.runArrivals(phase, p, c, &wg) })
		}
		<-phase.Done()
		cancel()
	}
	wg.Wait()
	return d.results
}

// runArrivals starts the requests of a caller in a phase as a Poisson process.
func (d *Driver) runArrivals(ctx context.Context, p Phase, c Caller, wg *sync.WaitGroup) {
	rate := c.Rate * p.factor(c.Workspace)
	if rate <= 0 {
		return
	}
	next := time.Now()
	for {
		next = next.Add(time.Duration(d.expVariate() / rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		wg.Go(func() { d.addResult(d.perform(p, c)) })
	}
}

// factor returns the factor on the rates of a workspace.
func (p Phase) factor(workspace string) float64 {
	f := 1.0
	if p.Factor > 0 {
		f = p.Factor
	}
	if workspaceFactor, ok := p.Factors[workspace]; ok {
		f *= workspaceFactor
	}
	return f
}

// expVariate draws from the exponential distribution with mean 1.
func (d *Driver) expVariate() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.ExpFloat64()
}

func (d *Driver) addResult(r Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.results = append(d.results, r)
}

// perform performs one request with its resends and returns at the first good
// response. Without a good one the last response is the result. A request is
// resent when no response came within ResendAfter, or after a response that is
// not good while no other send is in flight.
func (d *Driver) perform(p Phase, c Caller) Result {
	entry := c.Entries[rand.IntN(len(c.Entries))]
	id, err := claim.NewID(Home(entry))
	if err != nil {
		return Result{}
	}
	r := Result{
		ID:        id.Text,
		Workspace: c.Workspace,
		Path:      c.Path,
		Phase:     p.Name,
		Important: c.Important,
		Sent:      time.Now(),
	}
	responses := make(chan Response, c.Resends+1)
	send := func() {
		go func() { responses <- d.Send(c, c.Entries[rand.IntN(len(c.Entries))], id.Text) }()
	}
	send()
	pending, resendsLeft := 1, c.Resends
	for pending > 0 {
		var resend <-chan time.Time
		if resendsLeft > 0 && c.ResendAfter > 0 {
			resend = time.After(c.ResendAfter.D())
		}
		select {
		case resp := <-responses:
			pending--
			r = r.withResponse(resp)
			if r.Good() {
				r.Latency = time.Since(r.Sent)
				return r
			}
			if resendsLeft > 0 && pending == 0 && resp.shouldResend(c) {
				resendsLeft--
				pending++
				time.Sleep(resp.resendDelay(c))
				send()
			}
		case <-resend:
			resendsLeft--
			pending++
			send()
		}
	}
	r.Latency = time.Since(r.Sent)
	return r
}

// withResponse returns the result updated by the response to one send.
func (r Result) withResponse(resp Response) Result {
	r.Outcome = resp.Outcome
	r.Reason = resp.Reason
	r.Status = resp.Status
	r.Wrong = r.Wrong || resp.Wrong
	r.Outcomes = append(r.Outcomes, resp.Outcome)
	return r
}

// shouldResend reports whether a caller resends a request after a response that
// is not good. Requests that would be rejected for the same reason again are not
// resent.
func (r Response) shouldResend(c Caller) bool {
	switch r.Reason {
	case wire.ReasonBadKey, wire.ReasonNoKey, wire.ReasonNoRoute, wire.ReasonBadRequest, wire.ReasonQuarantine:
		return false
	default:
		return c.ResendAfter > 0
	}
}

// resendDelay returns how long a caller waits before it resends a request.
func (r Response) resendDelay(c Caller) time.Duration {
	if c.HonorsRetryAfter {
		return max(r.RetryAfter, minResendDelay)
	}
	return minResendDelay
}

// Response is the response to one send of a request. Without a response the
// outcome is wire.Unknown and the reason holds the error.
type Response struct {
	Outcome wire.Outcome
	Reason  wire.Reason
	Status  int
	// RetryAfter is the delay before a retry that the response asks for, 0 if none.
	RetryAfter time.Duration
	// Wrong says that the response had status 200 and another body than expected.
	Wrong bool
	Body  string
}

// homes maps the address of an entry to its failure domain, which request IDs
// must name. It is filled from responses and, in tests, from the plan.
var homes sync.Map

// SetHome records the failure domain of an entry.
func SetHome(entry, domain string) {
	homes.Store(entry, domain)
}

// Home returns the failure domain of an entry, "anywhere" if it is not known yet.
func Home(entry string) string {
	if domain, ok := homes.Load(entry); ok {
		return domain.(string)
	}
	return "anywhere"
}

// Send sends one request once and returns its response. The body of a POST holds
// the workspace and the request ID, so that each request has a body of its own.
func (d *Driver) Send(c Caller, entry, id string) Response {
	body := ""
	if c.Method == fasthttp.MethodPost {
		body = fmt.Sprintf("%s %s", c.Workspace, id)
	}
	return d.SendBody(c, entry, id, body)
}

// SendBody sends one request with a given body once and returns its response.
func (d *Driver) SendBody(c Caller, entry, id, body string) Response {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(c.Method)
	req.SetRequestURI("http://" + entry + c.Path)
	if c.Key != "" {
		req.Header.Set(wire.HeaderKey, "Bearer "+c.Key)
	}
	req.Header.Set(wire.HeaderRequestID, id)
	req.SetBodyString(body)
	if err := d.client.DoTimeout(req, resp, requestTimeout); err != nil {
		return Response{
			Outcome: wire.Unknown,
			Reason:  wire.Reason("no answer: " + err.Error()),
		}
	}
	SetHome(entry, string(resp.Header.Peek(wire.HeaderDomain)))
	retry, _ := time.ParseDuration(string(resp.Header.Peek(wire.HeaderRetryAfterMillis)) + "ms")
	r := Response{
		Outcome:    wire.Outcome(resp.Header.Peek(wire.HeaderOutcome)),
		Reason:     wire.Reason(resp.Header.Peek(wire.HeaderReason)),
		Status:     resp.StatusCode(),
		RetryAfter: retry,
		Body:       string(resp.Body()),
	}
	r.Wrong = r.Status == fasthttp.StatusOK && r.Body != "ok "+body
	return r
}
