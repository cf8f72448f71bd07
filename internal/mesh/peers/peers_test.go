package peers

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/admit/poison"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/quota/grant"
)

// network is a simulated network that delivers datagrams without delay between
// connected nodes.
type network struct {
	mu    sync.Mutex
	now   timer.Instant
	nodes map[string]*Peers
	// addresses maps mesh addresses to names of nodes, sources the names to the addresses that
	// they send from.
	addresses map[string]string
	sources   map[string]string
	inflight  sync.WaitGroup
	// disconnected nodes neither send nor receive.
	disconnected map[string]bool
	// lose reports whether a datagram is lost; nil for none.
	lose  func(from, to string, data []byte) bool
	bytes int
	// epochs holds the newest epoch of the store that was reported to a node, by its name.
	epochs map[string]int64
	// crashes holds the evidence of crashes on each node, by its name.
	crashes map[string]*poison.Tracker
}

// newNetwork starts the nodes d0-n0 and so on, which know each other from records of
// the store, and runs them for 3 s.
func newNetwork(domains, perDomain int) *network {
	net := &network{
		now:          timer.Instant(time.Hour),
		nodes:        map[string]*Peers{},
		disconnected: map[string]bool{},
		addresses:    map[string]string{},
		sources:      map[string]string{},
		epochs:       map[string]int64{},
		crashes:      map[string]*poison.Tracker{},
	}
	var all []Node
	for d := range domains {
		for n := range perDomain {
			all = append(all, net.start(d, n, 1))
		}
	}
	for _, p := range net.nodes {
		p.Learn(net.now, all)
	}
	net.run(3 * time.Second)
	return net
}

// start starts node n of domain d with the given incarnation and returns its record.
func (net *network) start(d, n int, incarnation int64) Node {
	name := fmt.Sprintf("d%d-n%d", d, n)
	self := Node{
		Name:        name,
		Domain:      fmt.Sprintf("d%d", d),
		Region:      fmt.Sprintf("r%d", d/2),
		IP:          fmt.Sprintf("10.%d.0.%d", d, n),
		MeshPort:    7000,
		GatePort:    8000,
		Incarnation: incarnation,
		Service:     "quota",
		Open:        true,
		Keeper:      name,
	}
	var p *Peers
	crashes := poison.New(func(c crash.Crash) { p.Broadcast(c) }, poison.WithClock(func() timer.Instant {
		net.mu.Lock()
		defer net.mu.Unlock()
		return net.now
	}))
	p = New(self, func(address string, data []byte) error {
		net.deliver(name, address, data)
		return nil
	}, WithCrashes(crashes), WithOnNewerEpoch(func(from Node) {
		net.mu.Lock()
		defer net.mu.Unlock()
		net.epochs[name] = max(net.epochs[name], from.StoreEpoch)
	}), WithTokenGranter(func(_ context.Context, r grant.Request) grant.Reply {
		return grant.Reply{
			Amount: r.Want,
		}
	}))
	net.mu.Lock()
	defer net.mu.Unlock()
	net.nodes[name] = p
	net.crashes[name] = crashes
	net.addresses[self.MeshAddress()] = name
	net.sources[name] = self.IP + ":50000"
	return self
}

// deliver delivers a datagram on a goroutine of its own, as a socket does.
func (net *network) deliver(from, address string, data []byte) {
	net.mu.Lock()
	defer net.mu.Unlock()
	to := net.addresses[address]
	p := net.nodes[to]
	if p == nil || net.disconnected[from] || net.disconnected[to] || net.lose != nil && net.lose(from, to, data) {
		return
	}
	net.bytes += len(data)
	now := net.now
	source := net.sources[from]
	net.inflight.Go(func() { _ = p.Receive(now, source, data) })
}

// run advances the time in steps of 100 ms, and calls Tick of all connected nodes at
// each step.
func (net *network) run(d time.Duration) {
	const tick = 100 * time.Millisecond
	for ; d > 0; d -= tick {
		net.mu.Lock()
		net.now = net.now.Add(tick)
		now := net.now
		var all []*Peers
		for name, p := range net.nodes {
			if !net.disconnected[name] {
				all = append(all, p)
			}
		}
		net.mu.Unlock()
		for _, p := range all {
			p.Tick(now)
		}
		net.inflight.Wait()
	}
}

// setDisconnected disconnects nodes from all others, or connects them again.
func (net *network) setDisconnected(off bool, names ...string) {
	net.mu.Lock()
	defer net.mu.Unlock()
	for _, n := range names {
		net.disconnected[n] = off
	}
}

// liveNodes returns the sorted names of the nodes that are alive in the view of a node.
func (net *network) liveNodes(name string) string {
	var names []string
	for _, n := range net.nodes[name].View().Nodes() {
		names = append(names, n.Name)
	}
	sort.Strings(names)
	return strings.Join(names, " ")
}

const allNodes = "d0-n0 d0-n1 d0-n2 d1-n0 d1-n1 d1-n2 d2-n0 d2-n1 d2-n2"

// TestDiscovery guards against nodes that stay unknown to a part of the fleet, which
// then neither calls them nor agrees on the keepers. A node that starts late is known
// only to the nodes that it has read from the store.
func TestDiscovery(t *testing.T) {
	Convey("All nodes see all others and agree on one keeper per domain", t, func() {
		net := newNetwork(3, 3)
		keepers := map[string]string{}
		for name, p := range net.nodes {
			So(net.liveNodes(name), ShouldEqual, allNodes)
			So(p.AttachedShare() == 1 || p.Keeper() != name, ShouldBeTrue)
			So(len(p.Keepers()), ShouldEqual, 2)
			domain := name[:2]
			if keepers[domain] != "" {
				So(p.Keeper(), ShouldEqual, keepers[domain])
			}
			keepers[domain] = p.Keeper()
		}
	})
	Convey("A node whose record only some have read from the store becomes known to all", t, func() {
		net := newNetwork(3, 3)
		joined := net.start(1, 3, 1)
		net.nodes[joined.Name].Learn(net.now, []Node{net.nodes["d1-n0"].Self()})
		net.run(3 * time.Second)
		for name := range net.nodes {
			So(net.liveNodes(name), ShouldContainSubstring, "d1-n3")
		}
		So(net.liveNodes("d1-n3"), ShouldContainSubstring, "d2-n0")
	})
}

// TestFailureDetection guards against failed nodes that are still called, and domains
// that stay without a keeper after theirs fails. An isolated node must not spend the
// tokens of its whole domain, and must rejoin when it is connected again.
func TestFailureDetection(t *testing.T) {
	Convey("A silent node is suspect after 0.7 s and lost after 1.2 s, and soon after in other domains", t, func() {
		net := newNetwork(3, 3)
		net.setDisconnected(true, "d0-n1")
		net.run(900 * time.Millisecond)
		So(net.nodes["d0-n0"].View().Suspect("d0-n1"), ShouldBeTrue)
		net.run(600 * time.Millisecond)
		So(net.liveNodes("d0-n0"), ShouldNotContainSubstring, "d0-n1")
		net.run(700 * time.Millisecond)
		So(net.liveNodes("d2-n2"), ShouldNotContainSubstring, "d0-n1")
	})
	Convey("A domain whose keeper is silent gets another keeper, and other domains learn of it", t, func() {
		net := newNetwork(3, 3)
		keeper := net.nodes["d0-n0"].Keeper()
		net.setDisconnected(true, keeper)
		net.run(3 * time.Second)
		for name, p := range net.nodes {
			if name[:2] == "d0" && name != keeper {
				So(p.Keeper(), ShouldNotEqual, keeper)
			}
		}
		So(net.liveNodes("d1-n1"), ShouldContainSubstring, "d0-n")
		So(net.liveNodes("d1-n1"), ShouldNotContainSubstring, keeper)
	})
	Convey("A node that receives nothing reports itself isolated, has only its own share, and rejoins", t, func() {
		net := newNetwork(3, 3)
		net.setDisconnected(true, "d0-n1")
		for range 20 {
			net.mu.Lock()
			net.now = net.now.Add(100 * time.Millisecond)
			net.mu.Unlock()
			net.nodes["d0-n1"].Tick(net.now)
		}
		So(net.nodes["d0-n1"].Isolated(), ShouldBeTrue)
		So(net.nodes["d0-n1"].AttachedShare(), ShouldAlmostEqual, 1.0/3)
		So(net.nodes["d0-n1"].Shares().Fleet, ShouldAlmostEqual, 1.0/9)
		So(net.nodes["d0-n1"].Shares().Domain, ShouldAlmostEqual, 1.0/9)
		net.setDisconnected(false, "d0-n1")
		net.run(2 * time.Second)
		So(net.nodes["d0-n1"].Isolated(), ShouldBeFalse)
		So(net.nodes["d0-n1"].Shares().Fleet, ShouldAlmostEqual, 1)
		So(net.liveNodes("d2-n1"), ShouldEqual, allNodes)
	})
}

// TestLostNodeOfLargeDomain guards against a lost node that other domains keep sending
// calls and token requests to for seconds, when its domain has more nodes than one
// datagram names.
func TestLostNodeOfLargeDomain(t *testing.T) {
	Convey("Other domains learn within 2 s that a node of a domain of 20 nodes is lost", t, func() {
		net := newNetwork(2, 20)
		So(net.liveNodes("d0-n5"), ShouldContainSubstring, "d1-n3 ")
		net.setDisconnected(true, "d1-n3")
		net.run(2 * time.Second)
		So(net.liveNodes("d0-n5"), ShouldNotContainSubstring, "d1-n3 ")
		So(net.liveNodes("d0-n5"), ShouldContainSubstring, "d1-n4 ")
	})
}

// TestLeaveAndRestart guards against calls to a node that is shutting down, and against
// a restarted node that is ignored because its clock was set back and its incarnation
// is therefore lower than before.
func TestLeaveAndRestart(t *testing.T) {
	Convey("A leaving node is removed from views at once in its domain and within 0.5 s elsewhere", t, func() {
		net := newNetwork(3, 3)
		net.nodes["d1-n1"].Update(net.now, true, func(n *Node) { n.Leaving = true })
		net.inflight.Wait()
		So(net.liveNodes("d1-n0"), ShouldNotContainSubstring, "d1-n1")
		net.run(500 * time.Millisecond)
		So(net.liveNodes("d0-n2"), ShouldNotContainSubstring, "d1-n1")
	})
	Convey("A restarted node is alive again, even if its clock was set back", t, func() {
		net := newNetwork(3, 3)
		net.setDisconnected(true, "d1-n1")
		net.run(2 * time.Second)
		net.setDisconnected(false, "d1-n1")
		restarted := net.start(1, 1, 0)
		net.nodes["d1-n1"].Learn(net.now, []Node{net.nodes["d1-n0"].Self(), net.nodes["d0-n0"].Self()})
		net.run(3 * time.Second)
		So(net.liveNodes("d1-n0"), ShouldContainSubstring, restarted.Name)
		So(net.liveNodes("d0-n2"), ShouldContainSubstring, restarted.Name)
	})
}

// TestTokenRequests guards against grants that do not reach the requesting node, and
// requests that never return because the other node is silent.
func TestTokenRequests(t *testing.T) {
	Convey("A token request returns the grant, or an error if the other node is silent", t, func() {
		net := newNetwork(2, 2)
		request := grant.Request{
			Budget: "acme",
			Want:   3,
		}
		g, err := net.nodes["d0-n0"].Request(context.Background(), "d1-n1", request)
		So(err, ShouldBeNil)
		So(g.Amount, ShouldEqual, 3)
		net.setDisconnected(true, "d1-n1")
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, err = net.nodes["d0-n0"].Request(ctx, "d1-n1", request)
		So(err, ShouldNotBeNil)
	})
}

// TestIdleTraffic guards against heartbeats and digests that become too large or too
// frequent: every node sends them at all times, also without load.
func TestIdleTraffic(t *testing.T) {
	Convey("Idle nodes send less than 6 KB per second each", t, func() {
		net := newNetwork(6, 4)
		net.mu.Lock()
		net.bytes = 0
		net.mu.Unlock()
		net.run(10 * time.Second)
		So(net.bytes/10/24, ShouldBeLessThan, 6000)
	})
}

// FuzzReceive guards against datagrams that crash a node, when they are received or at
// the next tick.
func FuzzReceive(f *testing.F) {
	f.Add(encode(message{
		From:  "d0-n1",
		Kind:  kindHeartbeat,
		Nodes: []Node{{Name: "d0-n1", Domain: "d0"}},
	}))
	f.Add([]byte{0x87})
	f.Fuzz(func(_ *testing.T, data []byte) {
		p := New(Node{Name: "d0-n0", Domain: "d0"}, func(string, []byte) error { return nil })
		_ = p.Receive(timer.Instant(time.Hour), "127.0.0.1:1", data)
		p.Tick(timer.Instant(time.Hour + time.Second))
	})
}

// TestDigestsOfChangingLoad guards against bytes between domains that grow with what nodes
// rarely change: under load each record changes all the time, but only its load.
func TestDigestsOfChangingLoad(t *testing.T) {
	Convey("A record whose load changes costs other domains less than 50 bytes a second", t, func() {
		const perDomain = 20
		net := newNetwork(2, perDomain)
		net.run(4 * time.Second)
		sent := func() (bytes uint64) {
			for _, p := range net.nodes {
				for _, s := range p.Sent() {
					if s.Kind == "digest" && s.Reach != "domain" {
						bytes += s.Read()
					}
				}
			}
			return bytes
		}
		before := sent()
		const seconds = 20
		for i := range seconds {
			for _, p := range net.nodes {
				p.Update(net.now, false, func(n *Node) { n.WaitMillis = uint16(i) })
			}
			net.run(time.Second)
		}
		So(float64(sent()-before)/seconds/(2*perDomain), ShouldBeLessThan, 50)
		for _, n := range net.nodes["d0-n3"].View().Nodes() {
			So(n.WaitMillis, ShouldBeBetweenOrEqual, seconds-3, seconds-1)
		}
	})
}

// TestMissedRecords guards against a node that other domains do not see for long because the
// digests with its whole record were lost.
func TestMissedRecords(t *testing.T) {
	Convey("A domain that missed a new node's record learns it soon from a digest that lacks it", t, func() {
		net := newNetwork(2, 20)
		net.lose = func(from, to string, data []byte) bool {
			return from[:2] != to[:2] && bytes.Contains(data, []byte("d1-n22"))
		}
		joined := net.start(1, 22, 1)
		net.nodes[joined.Name].Learn(net.now, []Node{net.nodes["d1-n0"].Self()})
		net.run(5 * time.Second)
		So(net.liveNodes("d0-n7"), ShouldNotContainSubstring, "d1-n22")
		net.mu.Lock()
		net.lose = nil
		net.mu.Unlock()
		net.run(2 * time.Second)
		So(net.liveNodes("d0-n7"), ShouldContainSubstring, "d1-n22")
		So(net.liveNodes("d1-n22"), ShouldContainSubstring, "d0-n7")
	})
}

// TestViewBeforeFirstMessage guards against a node that crashes at its start: two messages that
// arrive at once both ask for the first view, and one gets none while the other takes it.
func TestViewBeforeFirstMessage(t *testing.T) {
	Convey("There is a view from the start, also while a newer one is taken", t, func() {
		p := New(Node{Name: "a", Domain: "d"}, func(string, []byte) error { return nil })
		So(p.view.Load(), ShouldNotBeNil)
		p.publish()
		p.mu.Lock()
		p.stale.Store(false)
		v := p.View()
		p.mu.Unlock()
		So(v, ShouldNotBeNil)
		So(v.Self().Name, ShouldEqual, "a")
	})
}

// TestStoreEpoch guards against nodes that never learn that the store was restored, since they don't
// read it, and against a report to nodes that know.
func TestStoreEpoch(t *testing.T) {
	Convey("The epoch that one node has observed is reported to the nodes of its domain, but not to those that have observed it", t, func() {
		net := newNetwork(2, 3)
		setEpoch := func(name string, epoch int64) {
			net.nodes[name].Update(net.now, true, func(n *Node) { n.StoreEpoch = epoch })
		}
		// Messages are delivered at once: the node that is not to be told must know first.
		setEpoch("d0-n1", 3)
		setEpoch("d0-n0", 2)
		net.run(time.Second)
		net.mu.Lock()
		defer net.mu.Unlock()
		So(net.epochs["d0-n0"], ShouldEqual, 3)
		So(net.epochs["d0-n2"], ShouldEqual, 3)
		_, told := net.epochs["d0-n1"]
		So(told, ShouldBeFalse)
	})
}

// TestConfigurationHeardAtStart guards against a starting node that serves with an old configuration, or
// waits for long, because the others don't tell at once which one they have in force.
func TestConfigurationHeardAtStart(t *testing.T) {
	Convey("A node that starts hears at once which configuration its own and the other domains have", t, func() {
		net := newNetwork(3, 2)
		var all []Node
		for _, p := range net.nodes {
			p.Update(net.now, true, func(n *Node) { n.Rules = 4 })
			all = append(all, p.Self())
		}
		net.run(time.Second)
		net.setDisconnected(true, "d1-n0")
		net.run(time.Second)
		net.setDisconnected(false, "d1-n0")
		net.start(1, 0, 2)
		p := net.nodes["d1-n0"]
		So(p.View().Known(), ShouldEqual, 1)
		p.Learn(net.now, all)
		net.inflight.Wait()
		So(p.View().Known(), ShouldEqual, len(all))
		So(p.View().AllHeard(), ShouldBeTrue)
		So(p.View().NewestConfig(), ShouldEqual, 4)
	})
}

// TestStartWithoutRecords guards against a node that can't be found by its domain's callers for 10 s: it starts
// without records of the other nodes, and knows those of other domains from digests that name
// them by their loads only.
func TestStartWithoutRecords(t *testing.T) {
	Convey("Each node that starts without records knows all nodes soon, and they know it", t, func() {
		for _, perDomain := range []int{1, 2, 3} {
			for n := range perDomain {
				net := newNetwork(2, perDomain)
				restarted := fmt.Sprintf("d0-n%d", n)
				net.setDisconnected(true, restarted)
				net.run(4 * time.Second)
				net.setDisconnected(false, restarted)
				net.start(0, n, 2)
				net.run(3 * time.Second)
				for _, p := range net.nodes {
					So(len(p.View().Nodes()), ShouldEqual, 2*perDomain)
				}
			}
		}
	})
}

// TestDomainStartsWithoutRecords guards against the nodes of a failure domain that start at the same time
// while the store is away, and hear of each other and of the other domains only after seconds.
func TestDomainStartsWithoutRecords(t *testing.T) {
	const perDomain = 4
	names := make([]string, perDomain)
	for n := range names {
		names[n] = fmt.Sprintf("d0-n%d", n)
	}
	Convey("They know each other and a node of each other domain within 1.5 s", t, func() {
		net := newNetwork(4, perDomain)
		net.setDisconnected(true, names...)
		net.run(500 * time.Millisecond)
		net.setDisconnected(false, names...)
		for n := range names {
			net.start(0, n, 2)
		}
		net.run(1500 * time.Millisecond)
		for _, name := range names {
			v := net.nodes[name].View()
			_, domains := v.Size()
			So(domains, ShouldEqual, 4)
			So(v.localAlive, ShouldEqual, perDomain)
		}
	})
	Convey("So do the keepers of all domains", t, func() {
		net := newNetwork(4, perDomain)
		var keepers []string
		for _, p := range net.nodes {
			if p.Self().Keeper == p.Self().Name {
				keepers = append(keepers, p.Self().Name)
			}
		}
		So(keepers, ShouldHaveLength, 4)
		net.setDisconnected(true, keepers...)
		net.run(500 * time.Millisecond)
		net.setDisconnected(false, keepers...)
		for _, name := range keepers {
			var d, n int
			_, err := fmt.Sscanf(name, "d%d-n%d", &d, &n)
			So(err, ShouldBeNil)
			net.start(d, n, 2)
		}
		net.run(1500 * time.Millisecond)
		for _, name := range keepers {
			_, domains := net.nodes[name].View().Size()
			So(domains, ShouldEqual, 4)
		}
	})
}

// nodesAware returns the number of nodes that know of a crash during which a request ran.
func (net *network) nodesAware(f crash.Fingerprint) (n int) {
	for _, c := range net.crashes {
		if standing, _ := c.Lookup(f); standing != crash.Clear {
			n++
		}
	}
	return n
}

// TestEvidenceOfCrashesReachesAllNodes guards against nodes that never hear of a crash since a datagram was lost, they
// were cut off or started later, or only the keeper of their failure domain was told.
func TestEvidenceOfCrashesReachesAllNodes(t *testing.T) {
	const request = crash.Fingerprint(7)
	running := make([]crash.Fingerprint, 250)
	for i := range running {
		running[i] = request + crash.Fingerprint(i)
	}
	lost := func(kinds ...kind) func(from, to string, data []byte) bool {
		return func(_, _ string, data []byte) bool {
			var m message
			return cbor.Unmarshal(data, &m) == nil && slices.Contains(kinds, m.Kind)
		}
	}
	Convey("Given nine nodes in three failure domains", t, func() {
		net := newNetwork(3, 3)
		Convey("all know of a crash as soon as the messages have arrived, with all that ran", func() {
			net.crashes["d0-n1"].RecordCrash(1, running)
			net.inflight.Wait()
			So(net.nodesAware(request), ShouldEqual, 9)
			So(net.nodesAware(request+249), ShouldEqual, 9)
			_, first := net.crashes["d0-n1"].Sums()
			_, other := net.crashes["d2-n2"].Sums()
			So(other, ShouldEqual, first)
		})
		Convey("where all datagrams about it were lost, all know soon after", func() {
			net.lose = lost(kindCrash)
			net.crashes["d0-n1"].RecordCrash(1, running)
			net.inflight.Wait()
			So(net.nodesAware(request), ShouldEqual, 1)
			net.lose = nil
			net.run(2 * time.Second)
			So(net.nodesAware(request), ShouldEqual, 9)
			So(net.nodesAware(request+249), ShouldEqual, 9)
		})
		Convey("nodes that were cut off, and nodes that have started since, know soon after", func() {
			net.setDisconnected(true, "d1-n0", "d1-n1", "d1-n2", "d2-n0")
			net.crashes["d0-n1"].RecordCrash(1, running)
			net.run(2 * time.Second)
			So(net.nodesAware(request), ShouldEqual, 5)
			net.setDisconnected(false, "d1-n0", "d1-n1", "d1-n2", "d2-n0")
			var all []Node
			for _, p := range net.nodes {
				all = append(all, p.Self())
			}
			net.start(2, 0, 2)
			net.nodes["d2-n0"].Learn(net.now, all)
			net.run(3 * time.Second)
			So(net.nodesAware(request), ShouldEqual, 9)
		})
		Convey("nodes that know the same of crashes exchange no more of it", func() {
			net.crashes["d0-n1"].RecordCrash(1, running)
			net.run(2 * time.Second)
			exchanged := 0
			about := lost(kindCrash, kindCrashPull)
			net.lose = func(from, to string, data []byte) bool {
				if about(from, to, data) {
					exchanged++
				}
				return false
			}
			net.run(3 * time.Second)
			So(exchanged, ShouldEqual, 0)
		})
	})
}
