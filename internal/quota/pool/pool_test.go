package pool

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/base/timer"
)

// fleet is a set of pools that call each other directly, with a shared clock.
type fleet struct {
	mu    sync.Mutex
	now   timer.Instant
	nodes map[string]*member
	limit Limit
	cut   map[string]bool
}

type member struct {
	fleet  *fleet
	name   string
	domain string
	pool   *Pool
}

func newFleet(limit Limit, domains, perDomain int) *fleet {
	f := &fleet{
		now:   timer.Instant(1e12),
		nodes: map[string]*member{},
		limit: limit,
		cut:   map[string]bool{},
	}
	for d := range domains {
		for n := range perDomain {
			m := &member{
				fleet:  f,
				domain: fmt.Sprintf("d%d", d),
				name:   fmt.Sprintf("d%d-n%d", d, n),
			}
			m.pool = New(m.name, m, func(string) (Limit, bool) { return f.slice(domains), true }, WithClock(f.clock))
			f.nodes[m.name] = m
		}
	}
	return f
}

func (f *fleet) slice(domains int) Limit {
	return f.limit.times(1 / float64(domains))
}

func (f *fleet) clock() timer.Instant {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fleet) advance(d timer.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now += d
}

// attached lists the nodes of a domain that see each other with m.
func (m *member) attached() []string {
	var out []string
	if m.fleet.cut[m.name] {
		return []string{m.name}
	}
	for name, o := range m.fleet.nodes {
		if o.domain == m.domain && !m.fleet.cut[name] {
			out = append(out, name)
		}
	}
	return out
}

func (m *member) size() int {
	n := 0
	for _, o := range m.fleet.nodes {
		if o.domain == m.domain {
			n++
		}
	}
	return n
}

func (m *member) Keeper() string {
	best := m.name
	for _, n := range m.attached() {
		best = min(best, n)
	}
	return best
}

func (m *member) Share() float64 {
	return float64(len(m.attached())) / float64(m.size())
}

func (m *member) Alone() float64 {
	return 1 / float64(m.size())
}

func (m *member) Keepers() []string {
	seen := map[string]bool{}
	var out []string
	for _, o := range m.fleet.nodes {
		if o.domain != m.domain && !m.fleet.cut[o.name] && !seen[o.domain] {
			seen[o.domain] = true
			out = append(out, o.Keeper())
		}
	}
	return out
}

func (m *member) Ask(ctx context.Context, node string, a Ask) (Grant, error) {
	if m.fleet.cut[m.name] || m.fleet.cut[node] {
		return Grant{}, errors.New("cut off")
	}
	return m.fleet.nodes[node].pool.Lend(ctx, a), nil
}

const step = timer.Instant(10e6)

// play offers demand(node) requests a second at each node for so many seconds
// and returns how many were let through.
func (f *fleet) play(seconds int, demand func(name string) float64) int {
	owed := map[string]float64{}
	for name := range f.nodes {
		owed[name] = f.phase(name)
	}
	passed := 0
	for range seconds * 100 {
		f.advance(step)
		for name, m := range f.nodes {
			owed[name] += demand(name) / 100
			for ; owed[name] >= 1; owed[name]-- {
				if ok, _ := m.pool.Take(context.Background(), "w"); ok {
					passed++
				}
			}
		}
	}
	return passed
}

// phase spreads the callers of the nodes over time.
func (f *fleet) phase(name string) float64 {
	before := 0
	for other := range f.nodes {
		if other < name {
			before++
		}
	}
	return float64(before) / float64(len(f.nodes))
}

func TestHotWorkspaceStaysWithinItsLimit(t *testing.T) {
	Convey("A workspace that sends many times its rate gets rate and burst, not more and hardly less", t, func() {
		f := newFleet(Limit{Rate: 60, Burst: 60}, 6, 4)
		passed := f.play(5, func(string) float64 { return 20 })
		So(passed, ShouldBeLessThanOrEqualTo, 60*5+60)
		So(passed, ShouldBeGreaterThanOrEqualTo, 270)
	})
}

func TestCutOffNodesKeepTheirPart(t *testing.T) {
	Convey("Nodes that see nobody spend no more than one slice together with the rest", t, func() {
		f := newFleet(Limit{Rate: 60, Burst: 60}, 6, 4)
		f.play(2, func(string) float64 { return 20 })
		for d := range 6 {
			f.cut[fmt.Sprintf("d%d-n3", d)] = true
			f.cut[fmt.Sprintf("d%d-n0", d)] = true
		}
		passed := f.play(5, func(string) float64 { return 20 })
		So(passed, ShouldBeLessThanOrEqualTo, 60*5+60)
	})
}

func TestOneDomainSendsAll(t *testing.T) {
	Convey("A workspace within its rate is served although all its callers are in one domain", t, func() {
		f := newFleet(Limit{Rate: 60, Burst: 60}, 6, 4)
		demand := func(name string) float64 {
			if name[:2] == "d2" {
				return 10
			}
			return 0
		}
		f.play(2, demand)
		passed := f.play(5, demand)
		So(passed, ShouldBeGreaterThanOrEqualTo, 190)
	})
}

func TestSmallWorkspaceOverManyNodes(t *testing.T) {
	Convey("A small workspace within its rate is served at every node", t, func() {
		f := newFleet(Limit{Rate: 12, Burst: 12}, 6, 4)
		f.play(2, func(string) float64 { return 0.3 })
		passed := f.play(10, func(string) float64 { return 0.3 })
		So(passed, ShouldBeGreaterThanOrEqualTo, 69)
	})
}

func TestClumpAtOneNode(t *testing.T) {
	Convey("Callers repeat at once: a clump at one node within rate and burst passes", t, func() {
		f := newFleet(Limit{Rate: 34, Burst: 34}, 6, 4)
		f.play(2, func(string) float64 { return 0.5 })
		passed := 0
		for range 24 {
			f.advance(step)
			if ok, _ := f.nodes["d3-n2"].pool.Take(context.Background(), "w"); ok {
				passed++
			}
		}
		So(passed, ShouldBeGreaterThanOrEqualTo, 23)
	})
}

func TestReturnedTokens(t *testing.T) {
	Convey("A token given back is spent once more, and not after its time", t, func() {
		f := newFleet(Limit{Rate: 1, Burst: 4}, 1, 2)
		p := f.nodes["d0-n1"].pool
		passed := 0
		for range 10 {
			if ok, _ := p.Take(context.Background(), "w"); ok {
				passed++
			}
		}
		p.Return("w")
		ok, _ := p.Take(context.Background(), "w")
		So(ok, ShouldBeTrue)
		ok, _ = p.Take(context.Background(), "w")
		So(ok, ShouldBeFalse)
		So(passed, ShouldBeLessThanOrEqualTo, 4)
	})
}

func TestUnlimited(t *testing.T) {
	Convey("A workspace without a limit is never refused", t, func() {
		f := newFleet(Limit{}, 1, 1)
		p := New("d0-n0", f.nodes["d0-n0"], func(string) (Limit, bool) { return Limit{}, false })
		for range 100 {
			ok, _ := p.Take(context.Background(), "w")
			So(ok, ShouldBeTrue)
		}
	})
}
