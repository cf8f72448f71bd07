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

	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/conf/rules"
	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/node/call"
	"fuchsiapier/internal/pipe/inlet"
	"fuchsiapier/internal/pipe/msg"
)

var names = msg.Names{
	Attempt:      "X-Attempt",
	Deadline:     "X-Deadline",
	Proof:        "X-Proof",
	Workspace:    "X-Workspace",
	ExpectTarget: "X-Expect",
	NotRun:       "X-Not-Run",
	Caller:       "X-Caller",
	TargetID:     "X-Target",
	Scheme:       "Token",
}

// world is an entry among fake nodes; each node answers as its script says.
type world struct {
	mu      sync.Mutex
	peers   *peers.Peers
	scripts map[string]func(c *call.Call) call.Result
	sent    []string
	heads   []string
	tokens  bool
	spends  int
	deep    bool
	// view is shown in place of one of the scripted nodes, where it is set.
	view     *peers.View
	returned int
	entry    *Entry
	rules    *rules.Rules
}

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

func newWorld() *world {
	self := node("home", "d1", "r1")
	w := &world{
		peers:   peers.New(self, func(string, []byte) error { return nil }),
		scripts: map[string]func(c *call.Call) call.Result{},
		tokens:  true,
		spends:  100,
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
	w.entry = New(Parts{
		Names:   names,
		Self:    self,
		Service: func() string { return "front" },
		Rules:   func() *rules.Rules { return w.rules },
		Fleet:   w,
		Gate:    w,
		Remote:  w,
		Tokens:  w,
		Repeats: w,
		Graph:   w,
		Meter:   w,
		Log:     zerolog.Nop(),
	})
	return w
}

func route(prefix string, idempotent bool) rules.Route {
	return rules.Route{
		Name:       prefix,
		Host:       "h.example",
		Prefix:     prefix,
		Parts:      []rules.Part{{Service: "quota", Weight: 1}},
		Idempotent: idempotent,
		Timeout:    600 * time.Millisecond,
		Objective:  200 * time.Millisecond,
		Attempts:   2,
	}
}

func publicRoute(prefix string) rules.Route {
	r := route(prefix, true)
	r.Public = true
	return r
}

func (w *world) View() *peers.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.view != nil {
		return w.view
	}
	others := []peers.Node{}
	for name := range w.scripts {
		if name != "home" {
			others = append(others, node(name, "d1", "r1"))
		}
	}
	return peers.NewView(node("home", "d1", "r1"), others)
}

func (w *world) play(name string, c *call.Call) call.Result {
	w.mu.Lock()
	w.sent = append(w.sent, name)
	w.heads = append(w.heads, string(c.Request.AppendHead(nil))+string(c.Extra))
	script := w.scripts[name]
	w.mu.Unlock()
	if script == nil {
		return notRun(call.NoTarget)
	}
	return script(c)
}

func (w *world) Serve(_ context.Context, c *call.Call) call.Result { return w.play("home", c) }

func (w *world) Send(_ context.Context, to peers.Node, c *call.Call) call.Result {
	return w.play(to.Name, c)
}

func (w *world) Take(context.Context, string) (bool, time.Duration) {
	return w.tokens, 300 * time.Millisecond
}

func (w *world) Return(string) { w.returned++ }

func (w *world) First(string) {}

func (w *world) Called(timer.Instant, string) {}

func (w *world) Ended(time.Time, string, bool) {}

func (w *world) Spend(string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spends--
	return w.spends >= 0
}

func (w *world) Deep(string) bool { return w.deep }

func (w *world) Answered(string, int, string, time.Duration) {}

// targets names the nodes that were sent to, in order.
func (w *world) targets() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string{}, w.sent...)
}

func (w *world) ask(path, key string) *msg.Response {
	h := &fasthttp.RequestHeader{}
	h.SetMethod("GET")
	h.Set("X-Attempt", "a1")
	h.Set("X-Deadline", "2000")
	h.Set("X-Caller", "forged")
	h.Set("X-Workspace", "forged")
	if key != "" {
		h.Set("Authorization", "Token "+key)
	}
	return w.entry.Handle(context.Background(), &inlet.Inbound{
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

func answers(status int) func(*call.Call) call.Result {
	return func(*call.Call) call.Result {
		return call.Result{
			Outcome: call.Answered,
			Reached: true,
			Answer:  msg.Plain(status, "done"),
		}
	}
}

func refuses(reason call.Reason) func(*call.Call) call.Result {
	return func(*call.Call) call.Result { return notRun(reason) }
}

func loses(*call.Call) call.Result {
	return call.Result{
		Outcome: call.Unknown,
		Reason:  call.Lost,
		Reached: true,
	}
}

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

func TestLostAnswerRunsOnceOnly(t *testing.T) {
	Convey("Answers lost: a request that may run once only is not sent again", t, func() {
		w := newWorld()
		w.scripts["home"] = loses
		w.scripts["other"] = answers(200)
		resp := w.ask("/once/1", "secret")
		So(w.targets(), ShouldResemble, []string{"home"})
		So(resp.Status, ShouldEqual, 502)
	})
	Convey("Answers lost: one that may be repeated goes to another target", t, func() {
		w := newWorld()
		w.scripts["home"] = loses
		w.scripts["other"] = answers(200)
		resp := w.ask("/safe/1", "secret")
		So(resp.Status, ShouldEqual, 200)
		So(w.targets(), ShouldResemble, []string{"home", "other"})
	})
	Convey("Answers lost: without budget it is given up", t, func() {
		w := newWorld()
		w.spends = 0
		w.scripts["home"] = loses
		w.scripts["other"] = answers(200)
		So(w.ask("/safe/1", "secret").Status, ShouldEqual, 502)
	})
}

func TestCommonFailuresAreNotRepeated(t *testing.T) {
	Convey("Deep failures: where a target fails most requests, they are not sent again from above", t, func() {
		w := newWorld()
		w.scripts["home"] = answers(500)
		w.scripts["other"] = answers(500)
		for range 12 {
			w.ask("/safe/1", "secret")
		}
		before := len(w.targets())
		So(w.ask("/safe/1", "secret").Status, ShouldEqual, 500)
		So(len(w.targets())-before, ShouldEqual, 1)
	})
	Convey("A single failure is tried again elsewhere", t, func() {
		w := newWorld()
		w.scripts["home"] = answers(500)
		w.scripts["other"] = answers(200)
		So(w.ask("/safe/1", "secret").Status, ShouldEqual, 200)
	})
}

func TestRefusalsAreTruthful(t *testing.T) {
	Convey("A request that every gate refuses is answered 503 with a time to come back", t, func() {
		w := newWorld()
		w.scripts["home"] = refuses(call.Busy)
		w.scripts["other"] = refuses(call.Busy)
		resp := w.ask("/once/1", "secret")
		So(resp.Status, ShouldEqual, 503)
		So(retryAfter(resp), ShouldBeBetween, 0.03, 1)
		So(len(w.targets()), ShouldEqual, 3)
	})
	Convey("A refusal moves even a request that may run once only to another node", t, func() {
		w := newWorld()
		w.scripts["home"] = refuses(call.Leaving)
		w.scripts["other"] = answers(201)
		So(w.ask("/once/1", "secret").Status, ShouldEqual, 201)
	})
	Convey("A send that was broken off midway is never said not to have run", t, func() {
		w := newWorld()
		w.scripts["home"] = func(*call.Call) call.Result {
			return call.Result{
				Outcome: call.Gone,
				Reason:  call.Stopped,
				Reached: true,
			}
		}
		So(w.ask("/once/1", "secret").Status, ShouldEqual, 502)
	})
	Convey("No target at all is a refusal, not a failure", t, func() {
		w := newWorld()
		w.scripts["home"] = refuses(call.NoTarget)
		So(w.ask("/once/1", "secret").Status, ShouldEqual, 503)
	})
}

func TestCrashingRequestIsNotPassedAround(t *testing.T) {
	Convey("A request convicted of crashing targets is refused at the first gate", t, func() {
		w := newWorld()
		w.scripts["home"] = refuses(call.Suspect)
		w.scripts["other"] = answers(200)
		So(w.ask("/safe/1", "secret").Status, ShouldEqual, 503)
		So(w.targets(), ShouldResemble, []string{"home"})
	})
}

func TestKeysStayBehind(t *testing.T) {
	Convey("The target gets the workspace and the caller's service, never the key or what the caller claims", t, func() {
		w := newWorld()
		w.scripts["home"] = answers(200)
		So(w.ask("/safe/1", "secret").Status, ShouldEqual, 200)
		So(w.heads[0], ShouldContainSubstring, "X-Workspace: acme\r\n")
		So(w.heads[0], ShouldContainSubstring, "X-Caller: front\r\n")
		So(w.heads[0], ShouldNotContainSubstring, "secret")
		So(w.heads[0], ShouldNotContainSubstring, "forged")
	})
	Convey("Unknown keys and paths are refused for good", t, func() {
		w := newWorld()
		w.scripts["home"] = answers(200)
		So(w.ask("/safe/1", "wrong").Status, ShouldEqual, 401)
		So(w.ask("/safe/1", "").Status, ShouldEqual, 401)
		So(w.ask("/nowhere/1", "secret").Status, ShouldEqual, 404)
		So(w.targets(), ShouldBeEmpty)
	})
	Convey("A node without a configuration refuses for a moment", t, func() {
		w := newWorld()
		w.rules = nil
		So(w.ask("/safe/1", "secret").Status, ShouldEqual, 503)
	})
	Convey("A workspace over its rate is told when to come back", t, func() {
		w := newWorld()
		w.tokens = false
		resp := w.ask("/safe/1", "secret")
		So(resp.Status, ShouldEqual, 429)
		So(retryAfter(resp), ShouldBeBetween, 0.25, 1)
	})
}

func TestSilentTarget(t *testing.T) {
	Convey("A silent target: a request that may be repeated goes to a second one", t, func() {
		w := newWorld()
		release := make(chan struct{})
		defer close(release)
		w.scripts["home"] = func(c *call.Call) call.Result {
			<-release
			return loses(c)
		}
		w.scripts["other"] = answers(200)
		So(w.ask("/safe/1", "secret").Status, ShouldEqual, 200)
	})
	Convey("A silent target: one that runs once only ends at the route's time", t, func() {
		w := newWorld()
		release := make(chan struct{})
		defer close(release)
		w.scripts["home"] = func(c *call.Call) call.Result {
			<-release
			return loses(c)
		}
		w.scripts["other"] = answers(200)
		So(w.ask("/once/1", "secret").Status, ShouldEqual, 504)
		So(w.targets(), ShouldResemble, []string{"home"})
	})
}

func TestSplitKeepsItsShares(t *testing.T) {
	Convey("A split route keeps its weights", t, func() {
		w := newWorld()
		r := route("/split/", true)
		r.Parts = []rules.Part{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}
		seen := map[string]int{}
		for range 200 {
			seen[w.entry.part(&r)]++
		}
		So(seen["b"], ShouldBeBetween, 18, 22)
	})
}
