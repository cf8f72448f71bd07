package bank

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/quota/purse"
)

const (
	budget      = "workspace:one"
	perDomain   = 4
	testDomains = 3
)

// network connects banks directly; it stands in for the links between nodes.
type network struct {
	mu    sync.Mutex
	banks map[string]*Bank
	cut   map[string]bool
}

// view is the network as one node sees it.
type view struct {
	net    *network
	domain int
	index  int
}

func nodeName(domain, index int) string { return fmt.Sprintf("d%d-n%d", domain, index) }

func (v view) Broker(string) string { return nodeName(v.domain, 0) }

func (v view) Members() []string {
	var out []string
	for i := range perDomain {
		if i != v.index {
			out = append(out, nodeName(v.domain, i))
		}
	}
	return out
}

func (v view) Brokers(string) []string {
	var out []string
	for d := range testDomains {
		if d != v.domain {
			out = append(out, nodeName(d, 0))
		}
	}
	return out
}

func (v view) get(node string) (*Bank, error) {
	v.net.mu.Lock()
	defer v.net.mu.Unlock()
	if v.net.cut[node] || v.net.cut[nodeName(v.domain, v.index)] {
		return nil, context.DeadlineExceeded
	}
	return v.net.banks[node], nil
}

func (v view) Lend(ctx context.Context, node string, a Ask) (Answer, error) {
	b, err := v.get(node)
	if err != nil {
		return Answer{}, err
	}
	return b.Lend(ctx, a), nil
}

func (v view) Settle(node string, r Report) {
	if b, err := v.get(node); err == nil {
		b.Settle(r)
	}
}

func newNetwork(t *testing.T, rate, burst float64) *network {
	t.Helper()
	n := &network{
		banks: map[string]*Bank{},
		cut:   map[string]bool{},
	}
	timers, stop := timer.New()
	t.Cleanup(stop)
	part := 1.0 / (perDomain * testDomains)
	for d := range testDomains {
		for i := range perDomain {
			name := nodeName(d, i)
			b, _ := New(name, view{net: n, domain: d, index: i}, timers)
			b.Configure(timer.Now(), func(string) (purse.Slice, bool) {
				return purse.Slice{
					Rate:  rate * part,
					Burst: burst * part,
				}, true
			})
			n.mu.Lock()
			n.banks[name] = b
			n.mu.Unlock()
		}
	}
	return n
}

// sent is the outcome of one request for a token.
type sent struct {
	at time.Duration
	ok bool
}

// drive asks banks for tokens at a steady rate, each time another bank.
func drive(banks []*Bank, rate float64, d time.Duration) []sent {
	start := time.Now()
	random := rand.New(rand.NewPCG(1, 1))
	var wg sync.WaitGroup
	var mu sync.Mutex
	var out []sent
	for next := time.Duration(0); next < d; next += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
		time.Sleep(time.Until(start.Add(next)))
		b := banks[random.IntN(len(banks))]
		wg.Go(func() {
			at := time.Since(start)
			ok, _ := b.Take(context.Background(), budget, 1)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, sent{at: at, ok: ok})
		})
	}
	wg.Wait()
	return out
}

func count(out []sent) int {
	n := 0
	for _, s := range out {
		if s.ok {
			n++
		}
	}
	return n
}

// ideal counts what one bucket for the whole fleet would have let through.
func ideal(out []sent, rate, burst float64) int {
	sort.Slice(out, func(i, j int) bool { return out[i].at < out[j].at })
	level, last, n := burst, time.Duration(0), 0
	for _, s := range out {
		level = min(burst, level+rate*(s.at-last).Seconds())
		last = s.at
		if level >= 1 {
			level--
			n++
		}
	}
	return n
}

func TestFleetAgainstOneBucket(t *testing.T) {
	const seconds = 4 * time.Second
	cases := []struct {
		name   string
		rate   float64
		burst  float64
		demand float64
		nodes  int
	}{
		{name: "all traffic at one node, within the rate", rate: 60, burst: 60, demand: 54, nodes: 1},
		{name: "all traffic at one node, five times the rate", rate: 60, burst: 30, demand: 300, nodes: 1},
		{name: "spread over all nodes, five times the rate", rate: 60, burst: 30, demand: 300, nodes: perDomain * testDomains},
		{name: "slices of less than one token, within the rate", rate: 10, burst: 10, demand: 8, nodes: perDomain * testDomains},
		{name: "slices of less than one token, four times the rate", rate: 10, burst: 5, demand: 40, nodes: perDomain * testDomains},
		{name: "small burst, within the rate", rate: 10, burst: 5, demand: 8, nodes: perDomain * testDomains},
	}
	Convey("Given banks of three failure domains whose purses have filled", t, func() {
		for _, c := range cases {
			Convey(c.name+": never more than one bucket would give", func() {
				n := newNetwork(t, c.rate, c.burst)
				time.Sleep(settleIn + 2*time.Second)
				var banks []*Bank
				for i := range c.nodes {
					banks = append(banks, n.banks[nodeName(i%testDomains, i/testDomains)])
				}
				out := drive(banks, c.demand, seconds)
				limit := c.rate*(seconds+takeWait).Seconds() + c.burst + 1
				So(float64(count(out)), ShouldBeLessThanOrEqualTo, limit)
				t.Logf("%s: asked %d, got %d, one bucket %d", c.name, len(out), count(out), ideal(out, c.rate, c.burst))
			})
		}
	})
}
