package peers

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/quota/pool"
)

// network delivers datagrams at once between the nodes that can reach each other.
type network struct {
	mu    sync.Mutex
	now   timer.Instant
	nodes map[string]*Peers
	// addresses maps where datagrams go to the nodes' names.
	addresses map[string]string
	inflight  sync.WaitGroup
	// silent nodes neither send nor receive.
	silent map[string]bool
	bytes  int
}

// newNetwork starts nodes d0-n0 and so on that know each other from the store.
func newNetwork(domains, perDomain int) *network {
	w := &network{
		now:       timer.Instant(time.Hour),
		nodes:     map[string]*Peers{},
		silent:    map[string]bool{},
		addresses: map[string]string{},
	}
	var all []Node
	for d := range domains {
		for n := range perDomain {
			all = append(all, w.start(d, n, 1))
		}
	}
	for _, p := range w.nodes {
		p.Learn(w.now, all)
	}
	w.run(3 * time.Second)
	return w
}

func (w *network) start(d, n int, boot int64) Node {
	name := fmt.Sprintf("d%d-n%d", d, n)
	self := Node{
		Name:     name,
		Domain:   fmt.Sprintf("d%d", d),
		Region:   fmt.Sprintf("r%d", d/2),
		IP:       fmt.Sprintf("10.%d.0.%d", d, n),
		MeshPort: 7000,
		GatePort: 8000,
		Boot:     boot,
		Service:  "quota",
		Open:     true,
		Keeper:   name,
	}
	p := New(self, func(address string, data []byte) error {
		w.deliver(name, address, data)
		return nil
	}, WithLender(func(_ context.Context, a pool.Ask) pool.Grant {
		return pool.Grant{
			Amount: a.Want,
		}
	}))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[name] = p
	w.addresses[self.MeshAddress()] = name
	return self
}

// deliver hands a datagram over on a goroutine of its own, as a socket does.
func (w *network) deliver(from, address string, data []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	to := w.addresses[address]
	p := w.nodes[to]
	if p == nil || w.silent[from] || w.silent[to] {
		return
	}
	w.bytes += len(data)
	now := w.now
	w.inflight.Go(func() { _ = p.Receive(now, address, data) })
}

// run lets time pass in steps of the tick.
func (w *network) run(d time.Duration) {
	const tick = 100 * time.Millisecond
	for ; d > 0; d -= tick {
		w.mu.Lock()
		w.now = w.now.Add(tick)
		now := w.now
		var all []*Peers
		for name, p := range w.nodes {
			if !w.silent[name] {
				all = append(all, p)
			}
		}
		w.mu.Unlock()
		for _, p := range all {
			p.Tick(now)
		}
		w.inflight.Wait()
	}
}

// silence cuts nodes off from all others, or brings them back.
func (w *network) silence(cut bool, names ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range names {
		w.silent[n] = cut
	}
}

// sees lists whom a node takes for alive.
func (w *network) sees(name string) string {
	var names []string
	for _, n := range w.nodes[name].View().Nodes() {
		names = append(names, n.Name)
	}
	sort.Strings(names)
	return strings.Join(names, " ")
}

const everyone = "d0-n0 d0-n1 d0-n2 d1-n0 d1-n1 d1-n2 d2-n0 d2-n1 d2-n2"

func TestNodesFindEachOther(t *testing.T) {
	Convey("All nodes see all others, one keeper a domain", t, func() {
		w := newNetwork(3, 3)
		keepers := map[string]string{}
		for name, p := range w.nodes {
			So(w.sees(name), ShouldEqual, everyone)
			So(p.Share() == 1 || p.Keeper() != name, ShouldBeTrue)
			So(len(p.Keepers()), ShouldEqual, 2)
			domain := name[:2]
			if keepers[domain] != "" {
				So(p.Keeper(), ShouldEqual, keepers[domain])
			}
			keepers[domain] = p.Keeper()
		}
	})
	Convey("A node that only some have read of in the store is known to all", t, func() {
		w := newNetwork(3, 3)
		late := w.start(1, 3, 1)
		w.nodes[late.Name].Learn(w.now, []Node{w.nodes["d1-n0"].Self()})
		w.run(3 * time.Second)
		for name := range w.nodes {
			So(w.sees(name), ShouldContainSubstring, "d1-n3")
		}
		So(w.sees("d1-n3"), ShouldContainSubstring, "d2-n0")
	})
}

func TestSilentNodes(t *testing.T) {
	Convey("A silent node is suspected after 0.7 s and lost after 1.2 s, elsewhere soon after", t, func() {
		w := newNetwork(3, 3)
		w.silence(true, "d0-n1")
		w.run(900 * time.Millisecond)
		So(w.nodes["d0-n0"].View().Suspect("d0-n1"), ShouldBeTrue)
		w.run(600 * time.Millisecond)
		So(w.sees("d0-n0"), ShouldNotContainSubstring, "d0-n1")
		w.run(700 * time.Millisecond)
		So(w.sees("d2-n2"), ShouldNotContainSubstring, "d0-n1")
	})
	Convey("A domain whose keeper is silent gets another, and the others hear of it", t, func() {
		w := newNetwork(3, 3)
		keeper := w.nodes["d0-n0"].Keeper()
		w.silence(true, keeper)
		w.run(3 * time.Second)
		for name, p := range w.nodes {
			if name[:2] == "d0" && name != keeper {
				So(p.Keeper(), ShouldNotEqual, keeper)
			}
		}
		So(w.sees("d1-n1"), ShouldContainSubstring, "d0-n")
		So(w.sees("d1-n1"), ShouldNotContainSubstring, keeper)
	})
	Convey("A node cut off from all says so, keeps only its own part, and returns", t, func() {
		w := newNetwork(3, 3)
		w.silence(true, "d0-n1")
		for range 20 {
			w.mu.Lock()
			w.now = w.now.Add(100 * time.Millisecond)
			w.mu.Unlock()
			w.nodes["d0-n1"].Tick(w.now)
		}
		So(w.nodes["d0-n1"].Isolated(), ShouldBeTrue)
		So(w.nodes["d0-n1"].Share(), ShouldAlmostEqual, 1.0/3)
		w.silence(false, "d0-n1")
		w.run(2 * time.Second)
		So(w.nodes["d0-n1"].Isolated(), ShouldBeFalse)
		So(w.sees("d2-n1"), ShouldEqual, everyone)
	})
}

func TestLeavingAndReturning(t *testing.T) {
	Convey("A node that leaves is out at once, everywhere within half a second", t, func() {
		w := newNetwork(3, 3)
		w.nodes["d1-n1"].Update(w.now, true, func(n *Node) { n.Leaving = true })
		w.inflight.Wait()
		So(w.sees("d1-n0"), ShouldNotContainSubstring, "d1-n1")
		w.run(500 * time.Millisecond)
		So(w.sees("d0-n2"), ShouldNotContainSubstring, "d1-n1")
	})
	Convey("A node that starts again counts anew, also when its clock was set back", t, func() {
		w := newNetwork(3, 3)
		w.silence(true, "d1-n1")
		w.run(2 * time.Second)
		w.silence(false, "d1-n1")
		again := w.start(1, 1, 0)
		w.nodes["d1-n1"].Learn(w.now, []Node{w.nodes["d1-n0"].Self(), w.nodes["d0-n0"].Self()})
		w.run(3 * time.Second)
		So(w.sees("d1-n0"), ShouldContainSubstring, again.Name)
		So(w.sees("d0-n2"), ShouldContainSubstring, again.Name)
	})
}

func TestAsks(t *testing.T) {
	Convey("Tokens are asked for by datagrams; a silent node gives none", t, func() {
		w := newNetwork(2, 2)
		ask := pool.Ask{
			Workspace: "acme",
			Want:      3,
		}
		g, err := w.nodes["d0-n0"].Ask(context.Background(), "d1-n1", ask)
		So(err, ShouldBeNil)
		So(g.Amount, ShouldEqual, 3)
		w.silence(true, "d1-n1")
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, err = w.nodes["d0-n0"].Ask(ctx, "d1-n1", ask)
		So(err, ShouldNotBeNil)
	})
}

func TestControlBytes(t *testing.T) {
	Convey("An idle fleet tells each other little: under 6 KB a second for each node", t, func() {
		w := newNetwork(6, 4)
		w.mu.Lock()
		w.bytes = 0
		w.mu.Unlock()
		w.run(10 * time.Second)
		So(w.bytes/10/24, ShouldBeLessThan, 6000)
	})
}

func FuzzReceive(f *testing.F) {
	f.Add(encode(message{
		From:  "d0-n1",
		Kind:  kindBeat,
		Nodes: []Node{{Name: "d0-n1", Domain: "d0"}},
	}))
	f.Add([]byte{0x87})
	f.Fuzz(func(_ *testing.T, data []byte) {
		p := New(Node{Name: "d0-n0", Domain: "d0"}, func(string, []byte) error { return nil })
		_ = p.Receive(timer.Instant(time.Hour), "127.0.0.1:1", data)
		p.Tick(timer.Instant(time.Hour + time.Second))
	})
}
