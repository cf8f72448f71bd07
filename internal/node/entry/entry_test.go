package entry

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/admit/poison"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/conf/rules"
	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/node/call"
	"fuchsiapier/internal/node/watch"
	"fuchsiapier/internal/pipe/httpd"
	"fuchsiapier/internal/pipe/msg"
)

var names = msg.Names{
	Attempt:      "X-Attempt",
	Deadline:     "X-Deadline",
	Signature:    "X-Proof",
	Workspace:    "X-Workspace",
	ExpectTarget: "X-Expect",
	NotRun:       "X-Not-Run",
	Caller:       "X-Caller",
	TargetID:     "X-Target",
	Scheme:       "Token",
}

// fakeFleet is an Entry together with fakes of everything that it depends on. Each fake
// node responds as its handler does.
type fakeFleet struct {
	crashes  *poison.Tracker
	mu       sync.Mutex
	peers    *peers.Peers
	handlers map[string]func(c *call.Call) call.Result
	sent     []string
	headers  []string
	// tokens says that each workspace has a token left.
	tokens         bool
	retriesLeft    int
	chargesCallees bool
	// view replaces the view of the nodes that have handlers, where it is set.
	view *peers.View
	// paid counts the tokens that were taken and not returned.
	paid  int
	entry *Entry
	rules *rules.Rules
}

// node returns the record of a node whose target runs the service "quota".
func node(name, domain, region string) peers.Node {
	return peers.Node{
		Name:    name,
		Domain:  domain,
		Region:  region,
		Service: "quota",
		Slots:   10,
		Open:    true,
		IP:      "127.0.0.1",
		Seq:     1,
	}
}

func newFakeFleet() *fakeFleet {
	self := node("home", "d1", "r1")
	f := &fakeFleet{
		peers:       peers.New(self, func(string, []byte) error { return nil }),
		handlers:    map[string]func(c *call.Call) call.Result{},
		crashes:     poison.New(func(crash.Crash) {}, poison.WithRules(crash.WithTwoCrashes())),
		tokens:      true,
		retriesLeft: 100,
		rules: rules.New(rules.Content{
			Version: 3,
			Routes: []rules.Route{
				route("/safe/", true),
				route("/once/", false),
				publicRoute("/public/"),
			},
			Keyrings: []rules.Keyring{
				{
					Workspace: rules.Workspace{Name: "acme"},
					Keys:      []rules.Digest{rules.DigestOf("secret")},
				},
			},
		}),
	}
	f.entry = New(Config{
		Names:       names,
		Self:        self,
		Service:     func() string { return "front" },
		Rules:       func() *rules.Rules { return f.rules },
		Freshness:   func() watch.Freshness { return watch.Freshness{} },
		Fleet:       f,
		Gate:        f,
		Remote:      f,
		Tokens:      f,
		RetryBudget: f,
		Crashes:     f.crashes,
		Graph:       f,
		Meter:       f,
		Log:         zerolog.Nop(),
	})
	return f
}

func route(prefix string, idempotent bool) rules.Route {
	return rules.Route{
		Name:         prefix,
		Host:         "h.example",
		Prefix:       prefix,
		Destinations: []rules.Destination{{Service: "quota", Weight: 1}},
		Idempotent:   idempotent,
		Timeout:      600 * time.Millisecond,
		Objective:    200 * time.Millisecond,
		Attempts:     2,
	}
}

func publicRoute(prefix string) rules.Route {
	r := route(prefix, true)
	r.Public = true
	return r
}

func (f *fakeFleet) View() *peers.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view != nil {
		return f.view
	}
	others := []peers.Node{}
	for name := range f.handlers {
		if name != "home" {
			others = append(others, node(name, "d1", "r1"))
		}
	}
	return peers.NewView(node("home", "d1", "r1"), others)
}

func (f *fakeFleet) respond(name string, c *call.Call) call.Result {
	f.mu.Lock()
	f.sent = append(f.sent, name)
	f.headers = append(f.headers, string(c.Request.AppendHead(nil))+string(c.Extra))
	handler := f.handlers[name]
	f.mu.Unlock()
	if handler == nil {
		return notRun(call.NoTarget)
	}
	return handler(c)
}

func (f *fakeFleet) Serve(_ context.Context, c *call.Call) call.Result { return f.respond("home", c) }

func (f *fakeFleet) Send(_ context.Context, to peers.Node, c *call.Call) call.Result {
	return f.respond(to.Name, c)
}

func (f *fakeFleet) Take(context.Context, string) (bool, time.Duration) {
	if f.tokens {
		f.paid++
	}
	return f.tokens, 300 * time.Millisecond
}

func (f *fakeFleet) Return(string) { f.paid-- }

func (f *fakeFleet) Owner(string) string { return "owner" }

func (f *fakeFleet) RecordRequest(string) {}

func (f *fakeFleet) CountCall(timer.Instant, string) {}

func (f *fakeFleet) RecordOutcome(time.Time, string, bool) {}

func (f *fakeFleet) Spend(string) (func(), bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retriesLeft--
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.retriesLeft++
	}, f.retriesLeft >= 0
}

func (f *fakeFleet) ChargesCallees(string) bool { return f.chargesCallees }

func (f *fakeFleet) RecordResponse(string, int, string, time.Duration) {}

// attempts returns the names of the nodes that were sent the request, in order.
func (f *fakeFleet) attempts() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string{}, f.sent...)
}

// get sends a GET request with forged caller and workspace fields to the entry.
func (f *fakeFleet) get(path, key string) *msg.Response {
	h := &fasthttp.RequestHeader{}
	h.SetMethod("GET")
	h.Set("X-Attempt", "a1")
	h.Set("X-Deadline", "2000")
	h.Set("X-Caller", "forged")
	h.Set("X-Workspace", "forged")
	if key != "" {
		h.Set("Authorization", "Token "+key)
	}
	return f.entry.Handle(context.Background(), &httpd.Inbound{
		Request: msg.Request{
			Method: "GET",
			URI:    path,
			Host:   "h.example",
		},
		Header:  h,
		Arrived: time.Now(),
	})
}

func notRun(reason call.Reason) call.Result {
	return call.Result{
		Outcome:    call.NotRun,
		Reason:     reason,
		RetryAfter: 40 * time.Millisecond,
	}
}

func respondWith(status int) func(*call.Call) call.Result {
	return func(*call.Call) call.Result {
		return call.Result{
			Outcome: call.Answered,
			Reached: true,
			Answer:  msg.Plain(status, "done"),
		}
	}
}

func rejectWith(reason call.Reason) func(*call.Call) call.Result {
	return func(*call.Call) call.Result { return notRun(reason) }
}

func loseResponse(*call.Call) call.Result {
	return call.Result{
		Outcome: call.Unknown,
		Reason:  call.AnswerLost,
		Reached: true,
	}
}

// retryAfter returns the Retry-After field in seconds, -1 where it is missing.
func retryAfter(r *msg.Response) float64 {
	h := &fasthttp.ResponseHeader{}
	for line := range splitFields(r.Fields) {
		h.Set(line[0], line[1])
	}
	v, err := strconv.ParseFloat(string(h.Peek("Retry-After")), 64)
	if err != nil {
		return -1
	}
	return v
}

// TestLostResponseIsRetriedOnlyIfIdempotent guards against a request that runs twice
// because the connection broke after the target had run it, and against retries beyond
// the retry budget.
func TestLostResponseIsRetriedOnlyIfIdempotent(t *testing.T) {
	Convey("After a lost response a request that is not idempotent is not retried", t, func() {
		f := newFakeFleet()
		f.handlers["home"] = loseResponse
		f.handlers["other"] = respondWith(200)
		resp := f.get("/once/1", "secret")
		So(f.attempts(), ShouldResemble, []string{"home"})
		So(resp.Status, ShouldEqual, 502)
	})
	Convey("After a lost response an idempotent request is retried at another target", t, func() {
		f := newFakeFleet()
		f.handlers["home"] = loseResponse
		f.handlers["other"] = respondWith(200)
		resp := f.get("/safe/1", "secret")
		So(resp.Status, ShouldEqual, 200)
		So(f.attempts(), ShouldResemble, []string{"home", "other"})
	})
	Convey("After a lost response a request without retry budget is given up", t, func() {
		f := newFakeFleet()
		f.retriesLeft = 0
		f.handlers["home"] = loseResponse
		f.handlers["other"] = respondWith(200)
		So(f.get("/safe/1", "secret").Status, ShouldEqual, 502)
	})
}

// TestUnusedRetryIsReturned guards against a retry budget that is used up by retries for
// which no target was left.
func TestUnusedRetryIsReturned(t *testing.T) {
	Convey("A retry that no other target could take is returned to the budget", t, func() {
		f := newFakeFleet()
		f.handlers["home"] = loseResponse
		before := f.retriesLeft
		So(f.get("/safe/1", "secret").Status, ShouldEqual, 502)
		So(f.attempts(), ShouldResemble, []string{"home"})
		So(f.retriesLeft, ShouldEqual, before)
	})
}

// TestFrequentFailuresAreNotRetried guards against retries that multiply at each hop
// where a service further down fails.
func TestFrequentFailuresAreNotRetried(t *testing.T) {
	Convey("Server errors of a target that fails most requests are not retried", t, func() {
		f := newFakeFleet()
		f.handlers["home"] = respondWith(500)
		f.handlers["other"] = respondWith(500)
		for range 12 {
			f.get("/safe/1", "secret")
		}
		before := len(f.attempts())
		So(f.get("/safe/1", "secret").Status, ShouldEqual, 500)
		So(len(f.attempts())-before, ShouldEqual, 1)
	})
	Convey("A single server error is retried at another target", t, func() {
		f := newFakeFleet()
		f.handlers["home"] = respondWith(500)
		f.handlers["other"] = respondWith(200)
		So(f.get("/safe/1", "secret").Status, ShouldEqual, 200)
	})
}

// TestNotRunIsReportedOnlyWhenCertain guards against callers that repeat a request which
// may have run because the response said that it had not, and against failures reported
// for requests that were not sent to a target.
func TestNotRunIsReportedOnlyWhenCertain(t *testing.T) {
	Convey("A request that every gate refuses is answered 503 with a retry delay", t, func() {
		f := newFakeFleet()
		f.handlers["home"] = rejectWith(call.Busy)
		f.handlers["other"] = rejectWith(call.Busy)
		resp := f.get("/once/1", "secret")
		So(resp.Status, ShouldEqual, 503)
		So(retryAfter(resp), ShouldBeBetween, 0.03, 1)
		So(len(f.attempts()), ShouldEqual, 3)
	})
	Convey("After a refusal even a request that is not idempotent goes to another node", t, func() {
		f := newFakeFleet()
		f.handlers["home"] = rejectWith(call.Leaving)
		f.handlers["other"] = respondWith(201)
		So(f.get("/once/1", "secret").Status, ShouldEqual, 201)
	})
	Convey("A request whose send was cancelled midway is not reported as not run", t, func() {
		f := newFakeFleet()
		f.handlers["home"] = func(*call.Call) call.Result {
			return call.Result{
				Outcome: call.Gone,
				Reason:  call.CallerGone,
				Reached: true,
			}
		}
		So(f.get("/once/1", "secret").Status, ShouldEqual, 502)
	})
	Convey("A request for a service without a target is reported as not run", t, func() {
		f := newFakeFleet()
		f.handlers["home"] = rejectWith(call.NoTarget)
		So(f.get("/once/1", "secret").Status, ShouldEqual, 503)
	})
}

// TestQuarantinedRequestIsNotRetried guards against a request that crashes targets being
// sent from one node to the next until it has crashed them all.
func TestQuarantinedRequestIsNotRetried(t *testing.T) {
	Convey("A quarantined request is given up after the first gate refuses it", t, func() {
		f := newFakeFleet()
		f.handlers["home"] = rejectWith(call.CrashesTargets)
		f.handlers["other"] = respondWith(200)
		So(f.get("/safe/1", "secret").Status, ShouldEqual, 503)
		So(f.attempts(), ShouldResemble, []string{"home"})
	})
}

// TestWorkspaceKeyIsNotForwarded guards against workspace keys that reach a target,
// against identity fields that a caller forges, and against requests that are sent
// without authorization.
func TestWorkspaceKeyIsNotForwarded(t *testing.T) {
	Convey("The target gets the workspace and the caller's service, but neither the key nor forged fields", t, func() {
		f := newFakeFleet()
		f.handlers["home"] = respondWith(200)
		So(f.get("/safe/1", "secret").Status, ShouldEqual, 200)
		So(f.headers[0], ShouldContainSubstring, "X-Workspace: acme\r\n")
		So(f.headers[0], ShouldContainSubstring, "X-Caller: front\r\n")
		So(f.headers[0], ShouldNotContainSubstring, "secret")
		So(f.headers[0], ShouldNotContainSubstring, "forged")
	})
	Convey("Unknown keys and paths are refused as errors of the caller", t, func() {
		f := newFakeFleet()
		f.handlers["home"] = respondWith(200)
		So(f.get("/safe/1", "wrong").Status, ShouldEqual, 401)
		So(f.get("/safe/1", "").Status, ShouldEqual, 401)
		So(f.get("/nowhere/1", "secret").Status, ShouldEqual, 404)
		So(f.attempts(), ShouldBeEmpty)
	})
	Convey("A node without a configuration answers 503", t, func() {
		f := newFakeFleet()
		f.rules = nil
		So(f.get("/safe/1", "secret").Status, ShouldEqual, 503)
	})
	Convey("A workspace over its rate is answered 429 with a retry delay", t, func() {
		f := newFakeFleet()
		f.tokens = false
		resp := f.get("/safe/1", "secret")
		So(resp.Status, ShouldEqual, 429)
		So(retryAfter(resp), ShouldBeBetween, 0.25, 1)
	})
}

// TestSilentTargetIsHedgedOnlyIfIdempotent guards against a caller that waits for a
// target that hangs, and against a request that runs twice because it was hedged.
func TestSilentTargetIsHedgedOnlyIfIdempotent(t *testing.T) {
	Convey("An idempotent request to a silent target is hedged at a second one", t, func() {
		f := newFakeFleet()
		release := make(chan struct{})
		defer close(release)
		f.handlers["home"] = func(c *call.Call) call.Result {
			<-release
			return loseResponse(c)
		}
		f.handlers["other"] = respondWith(200)
		So(f.get("/safe/1", "secret").Status, ShouldEqual, 200)
	})
	Convey("A request to a silent target that is not idempotent ends at the route's timeout", t, func() {
		f := newFakeFleet()
		release := make(chan struct{})
		defer close(release)
		f.handlers["home"] = func(c *call.Call) call.Result {
			<-release
			return loseResponse(c)
		}
		f.handlers["other"] = respondWith(200)
		So(f.get("/once/1", "secret").Status, ShouldEqual, 504)
		So(f.attempts(), ShouldResemble, []string{"home"})
	})
}

// TestSplitRouteKeepsWeights guards against a random choice of the service, by which a
// small part of a split route misses its weight.
func TestSplitRouteKeepsWeights(t *testing.T) {
	Convey("The services of a split route get requests by their weights", t, func() {
		f := newFakeFleet()
		r := route("/split/", true)
		r.Destinations = []rules.Destination{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}
		seen := map[string]int{}
		for range 200 {
			seen[f.entry.pickService(&r)]++
		}
		So(seen["b"], ShouldBeBetween, 18, 22)
	})
}

// TestCallsCarryRateLimitOfTarget guards against a target whose rate limit is forgotten when the
// node beside it restarts: the nodes that call it tell that node what they know.
func TestCallsCarryRateLimitOfTarget(t *testing.T) {
	Convey("A call carries the rate limit that its node reported last, and none to other nodes", t, func() {
		f := newFakeFleet()
		limit := 7.5
		carried := map[string][]float64{}
		for _, name := range []string{"home", "other"} {
			f.handlers[name] = func(c *call.Call) call.Result {
				carried[name] = append(carried[name], c.TargetRateLimit)
				r := respondWith(fasthttp.StatusOK)(c)
				if name == "home" {
					r = notRun(call.Busy)
					r.LoadKnown, r.RateLimit = true, limit
				}
				return r
			}
		}
		for _, next := range []float64{0, 0, 0} {
			So(f.get("/safe/x", "secret").Status, ShouldEqual, fasthttp.StatusOK)
			limit = next
		}
		So(carried["home"], ShouldResemble, []float64{0, 7.5, 0})
		So(carried["other"], ShouldResemble, []float64{0, 0, 0})
	})
}
