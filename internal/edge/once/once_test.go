package once

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/admit/claim"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/conf/preset"
	"fuchsiapier/internal/edge/wire"
)

// network is a Mesh that connects the three nodes of one domain in memory.
type network struct {
	mu    sync.Mutex
	nodes map[string]*Once
	// unreachable contains nodes that receive no messages, replyLost those that
	// receive messages but whose replies are lost.
	unreachable map[string]bool
	replyLost   map[string]bool
}

func (n *network) Replica(_ string, slot int) string { return fmt.Sprint("n", slot) }

func (n *network) get(node string) (*Once, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.unreachable[node] {
		return nil, context.DeadlineExceeded
	}
	return n.nodes[node], nil
}

func (n *network) replyErr(node string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.replyLost[node] {
		return context.DeadlineExceeded
	}
	return nil
}

func (n *network) Claim(_ context.Context, node string, q claim.Request) (claim.Answer, error) {
	o, err := n.get(node)
	if err != nil {
		return claim.Answer{}, err
	}
	a := o.Claim(q)
	return a, n.replyErr(node)
}

func (n *network) Join(ctx context.Context, node string, j wire.Join) (wire.Reply, error) {
	o, err := n.get(node)
	if err != nil {
		return wire.Reply{}, err
	}
	return o.Join(ctx, j), n.replyErr(node)
}

func testPreset() preset.Preset {
	return preset.Preset{
		ClaimRetention: preset.Duration(time.Minute),
		ClockMargin:    preset.Duration(time.Second),
		Domains: map[string]preset.Domain{
			"a": {
				Region: "r",
				Share:  1,
				Slots:  3,
			},
		},
	}
}

// start adds a node with the given start time to the network, in place of any
// node of that name.
func (n *network) start(t *testing.T, name string, timers *timer.Service, startedAt time.Time) {
	t.Helper()
	o, _ := New(name, startedAt.UnixNano(), n, timers)
	o.Configure(testPreset())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[name] = o
}

func newNetwork(t *testing.T) (*network, *timer.Service) {
	t.Helper()
	timers, stop := timer.New()
	t.Cleanup(stop)
	n := &network{
		nodes:       map[string]*Once{},
		unreachable: map[string]bool{},
		replyLost:   map[string]bool{},
	}
	for i := range 3 {
		n.start(t, fmt.Sprint("n", i), timers, time.Now().Add(-time.Minute))
	}
	return n, timers
}

func newCall() wire.Call {
	id, err := claim.NewID("a")
	if err != nil {
		panic(err)
	}
	return wire.Call{
		ID:          id.Text,
		Home:        id.Home,
		Created:     id.Created,
		Workspace:   "w",
		Fingerprint: 7,
		LeftMillis:  2000,
	}
}

// TestOnce guards against a non-idempotent request that runs twice, or is reported
// as not-run although it ran, when it is retried at other nodes while nodes are
// replaced, unreachable or lose their replies.
func TestOnce(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var runs atomic.Int64
	respond := func(body string) func(context.Context) wire.Reply {
		return func(context.Context) wire.Reply {
			runs.Add(1)
			return wire.Reply{
				Outcome: wire.Done,
				Status:  200,
				Body:    []byte(body),
			}
		}
	}
	refuse := func(context.Context) wire.Reply { return wire.Refuse(wire.ReasonShed, 0) }
	Convey("Given three nodes that are the replicas for each other's claims", t, func() {
		n, timers := newNetwork(t)
		runs.Store(0)
		c := newCall()

		Convey("concurrent requests with one ID at all nodes run at most once and get the same reply or not-run", func() {
			for range 50 {
				c := newCall()
				runs.Store(0)
				var wg sync.WaitGroup
				replies := make(chan wire.Reply, 9)
				for i := range 9 {
					wg.Go(func() { replies <- n.nodes[fmt.Sprint("n", i%3)].Do(ctx, c, respond("x")) })
				}
				wg.Wait()
				So(runs.Load(), ShouldBeLessThanOrEqualTo, 1)
				for range 9 {
					r := <-replies
					if r.Outcome == wire.Done {
						So(string(r.Body), ShouldEqual, "x")
					} else {
						So(r.Outcome, ShouldEqual, wire.NotRun)
					}
				}
			}
		})
		Convey("a later retry at another node gets the cached reply", func() {
			So(n.nodes["n0"].Do(ctx, c, respond("x")).Outcome, ShouldEqual, wire.Done)
			r := n.nodes["n1"].Do(ctx, c, respond("y"))
			So(string(r.Body), ShouldEqual, "x")
			So(runs.Load(), ShouldEqual, 1)
		})
		Convey("the same ID for another request is refused with not-run", func() {
			n.nodes["n0"].Do(ctx, c, respond("x"))
			c.Fingerprint = 8
			r := n.nodes["n1"].Do(ctx, c, respond("y"))
			So(r.Reason, ShouldEqual, wire.ReasonReused)
			So(runs.Load(), ShouldEqual, 1)
		})
		Convey("a request that did not run can run at another node once its claim is released", func() {
			So(n.nodes["n0"].Do(ctx, c, refuse).Outcome, ShouldEqual, wire.NotRun)
			var r wire.Reply
			for range 100 {
				if r = n.nodes["n1"].Do(ctx, c, respond("y")); r.Outcome == wire.Done {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			So(r.Outcome, ShouldEqual, wire.Done)
			So(runs.Load(), ShouldEqual, 1)
		})
		Convey("when the holder is replaced, a retry is unknown and never runs again", func() {
			So(n.nodes["n0"].Do(ctx, c, respond("x")).Outcome, ShouldEqual, wire.Done)
			n.start(t, "n0", timers, time.Now())
			r := n.nodes["n1"].Do(ctx, c, respond("y"))
			So(r.Outcome, ShouldEqual, wire.Unknown)
			So(runs.Load(), ShouldEqual, 1)
		})
		Convey("when two replicas are replaced and the third is unreachable, an older ID is unknown and never runs again", func() {
			So(n.nodes["n0"].Do(ctx, c, respond("x")).Outcome, ShouldEqual, wire.Done)
			n.start(t, "n0", timers, time.Now())
			n.start(t, "n1", timers, time.Now())
			n.unreachable["n2"] = true
			r := n.nodes["n1"].Do(ctx, c, respond("y"))
			So(r.Outcome, ShouldEqual, wire.Unknown)
			So(r.Reason, ShouldEqual, wire.ReasonUnverifiable)
			So(runs.Load(), ShouldEqual, 1)
		})
		Convey("without a quorum of replicas the outcome is not-run", func() {
			n.unreachable["n1"], n.unreachable["n2"] = true, true
			r := n.nodes["n0"].Do(ctx, c, respond("x"))
			So(r.Outcome, ShouldEqual, wire.NotRun)
			So(r.Reason, ShouldEqual, wire.ReasonClaimHome)
			So(runs.Load(), ShouldEqual, 0)
		})
		Convey("when the replies of two replicas are lost the outcome is not-run, and retries elsewhere run it at most once", func() {
			n.replyLost["n1"], n.replyLost["n2"] = true, true
			So(n.nodes["n0"].Do(ctx, c, respond("x")).Outcome, ShouldEqual, wire.NotRun)
			n.mu.Lock()
			n.replyLost = map[string]bool{}
			n.mu.Unlock()
			for range 20 {
				n.nodes["n1"].Do(ctx, c, respond("y"))
				n.nodes["n2"].Do(ctx, c, respond("z"))
			}
			So(runs.Load(), ShouldBeLessThanOrEqualTo, 1)
		})
	})
}

// TestReplyCacheBounded guards against replies that exhaust the memory, and against
// requests that could run again because their replies were dropped to save it.
func TestReplyCacheBounded(t *testing.T) {
	Convey("Bodies beyond maxCacheBytes are dropped, the oldest first, and their requests still count as done", t, func() {
		c := newReplyCache()
		body := make([]byte, maxCacheBytes/4)
		for i := range 8 {
			r, first := c.getOrCreate(fmt.Sprint(i), 1, true)
			So(first, ShouldBeTrue)
			c.finish(timer.Instant(i), r, wire.Reply{Outcome: wire.Done, Status: 200, Body: body}, false)
		}
		So(c.size, ShouldBeLessThanOrEqualTo, maxCacheBytes)
		r, first := c.getOrCreate("0", 1, true)
		So(first, ShouldBeFalse)
		gone := c.wait(context.Background(), r, 1)
		So(gone.Outcome, ShouldEqual, wire.Done)
		So(gone.Status, ShouldEqual, wire.StatusGone)
		c.expire(timer.Instant(time.Hour), time.Minute)
		So(c.runs, ShouldBeEmpty)
		So(c.size, ShouldEqual, 0)
	})
}
