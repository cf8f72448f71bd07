package tokens

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
	"fuchsiapier/internal/quota/bucket"
)

const (
	budget      = "workspace:one"
	perDomain   = 4
	testDomains = 3
)

// network connects the limiters of all nodes by direct calls, in place of the
// links between nodes.
type network struct {
	mu       sync.Mutex
	limiters map[string]*Limiter
	// partitioned names the nodes that can reach no other and be reached by none.
	partitioned map[string]bool
}

// view is the network as seen by one node.
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

func (v view) get(node string) (*Limiter, error) {
	v.net.mu.Lock()
	defer v.net.mu.Unlock()
	if v.net.partitioned[node] || v.net.partitioned[nodeName(v.domain, v.index)] {
		return nil, context.DeadlineExceeded
	}
	return v.net.limiters[node], nil
}

func (v view) Lend(ctx context.Context, node string, req LendRequest) (Answer, error) {
	l, err := v.get(node)
	if err != nil {
		return Answer{}, err
	}
	return l.Lend(ctx, req), nil
}

func (v view) Settle(node string, r SettleRequest) {
	if l, err := v.get(node); err == nil {
		l.Settle(r)
	}
}

func newNetwork(t *testing.T, rate, burst float64) *network {
	t.Helper()
	n := &network{
		limiters:    map[string]*Limiter{},
		partitioned: map[string]bool{},
	}
	timers, stop := timer.New()
	t.Cleanup(stop)
	part := 1.0 / (perDomain * testDomains)
	for d := range testDomains {
		for i := range perDomain {
			name := nodeName(d, i)
			l, _ := New(name, view{net: n, domain: d, index: i}, timers)
			l.Configure(timer.Now(), func(string) (bucket.Slice, bool) {
				return bucket.Slice{
					Rate:  rate * part,
					Burst: burst * part,
				}, true
			})
			n.mu.Lock()
			n.limiters[name] = l
			n.mu.Unlock()
		}
	}
	return n
}

// outcome is the outcome of one request for a token.
type outcome struct {
	// at is the time since the start of the load.
	at time.Duration
	ok bool
}

// offerLoad requests tokens from randomly chosen nodes at the given mean rate per
// second, with exponentially distributed gaps.
func offerLoad(limiters []*Limiter, rate float64, d time.Duration) []outcome {
	start := time.Now()
	random := rand.New(rand.NewPCG(1, 1))
	var wg sync.WaitGroup
	var mu sync.Mutex
	var out []outcome
	for next := time.Duration(0); next < d; next += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
		time.Sleep(time.Until(start.Add(next)))
		l := limiters[random.IntN(len(limiters))]
		wg.Go(func() {
			at := time.Since(start)
			ok, _ := l.Take(context.Background(), budget, 1)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, outcome{at: at, ok: ok})
		})
	}
	wg.Wait()
	return out
}

func granted(out []outcome) int {
	n := 0
	for _, s := range out {
		if s.ok {
			n++
		}
	}
	return n
}

// singleBucket returns how many of the requests a single token bucket for all
// nodes would have granted.
func singleBucket(out []outcome, rate, burst float64) int {
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

// TestFleetStaysWithinRateAndBurst guards against nodes that together grant more
// tokens than the rate and burst of a budget allow while they lend tokens to each
// other. It logs what a single token bucket would have granted, for comparison.
func TestFleetStaysWithinRateAndBurst(t *testing.T) {
	const duration = 4 * time.Second
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
	Convey("Given nodes in three failure domains whose buckets are full", t, func() {
		for _, c := range cases {
			Convey(c.name+": never more than one bucket would give", func() {
				n := newNetwork(t, c.rate, c.burst)
				time.Sleep(refillDelay + 2*time.Second)
				var limiters []*Limiter
				for i := range c.nodes {
					limiters = append(limiters, n.limiters[nodeName(i%testDomains, i/testDomains)])
				}
				out := offerLoad(limiters, c.demand, duration)
				limit := c.rate*(duration+takeTimeout).Seconds() + c.burst + 1
				So(float64(granted(out)), ShouldBeLessThanOrEqualTo, limit)
				t.Logf("%s: requested %d, granted %d, single bucket would grant %d", c.name, len(out), granted(out), singleBucket(out, c.rate, c.burst))
			})
		}
	})
}
