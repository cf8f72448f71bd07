package model

import (
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiapier/lab/seeds"
)

const (
	// settleTime is how long a simulation runs before the first disturbance, and lastChange and
	// runTime when the last change is made and when it ends.
	settleTime = 3 * time.Second
	lastChange = 15 * time.Second
	runTime    = 20 * time.Second
)

// scenario is a disturbance that begins at the time of its call.
type scenario func(f *fleet)

// some returns n random nodes.
func (f *fleet) some(n int) []*node {
	var out []*node
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range f.rng.Perm(len(f.nodes))[:n] {
		out = append(out, f.nodes[i])
	}
	return out
}

// span returns a random length of a disturbance.
func (f *fleet) span() time.Duration {
	return 200*time.Millisecond + time.Duration(f.random(6000))*time.Millisecond
}

// readers returns the nodes that read the store by their own view.
func (f *fleet) readers() []*node {
	var out []*node
	for _, n := range f.nodes {
		p := n.process.Load()
		if p == nil {
			continue
		}
		if readers := p.peers.View().Readers(); len(readers) > 0 && readers[0] == n.name {
			out = append(out, n)
		}
	}
	return out
}

// silentStore makes the store silent: calls that arrive meanwhile never get an answer.
func silentStore(f *fleet) {
	d := f.span() / 3
	f.note("store silent for %v", d)
	f.disturb("", d)
	f.store.setAll(silent)
	time.AfterFunc(d, func() { f.store.setAll(serves) })
}

// silentConns makes all open connections to the store go silent. Configurations pass between nodes
// on new ones.
func silentConns(f *fleet) {
	f.note("open connections go silent")
	f.disturb("", 0)
	f.store.mu.Lock()
	f.store.silenced = time.Now()
	f.store.mu.Unlock()
}

// slowStore makes the store answer late, as on the sites.
func slowStore(f *fleet) {
	d := f.span()
	slow := storeDelay * time.Duration(50+f.random(25))
	f.note("store slow by %v for %v", slow, d)
	f.disturb("", d)
	set := func(slow time.Duration) {
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		f.store.slow = slow
	}
	set(slow)
	time.AfterFunc(d, func() { set(0) })
}

// readersRefused makes the store refuse all readers and some other nodes. Nobody is excused.
func readersRefused(f *fleet) {
	how := []refusal{busy, silent}[f.random(2)]
	d := f.span()
	nodes := append(f.readers(), f.some(len(f.nodes)/5)...)
	f.note("store refuses %d nodes for %v (%d), all readers among them", len(nodes), d, how)
	f.store.mu.Lock()
	for _, n := range nodes {
		f.store.refused[n.name] = how
	}
	f.store.mu.Unlock()
	time.AfterFunc(d, func() {
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		clear(f.store.refused)
	})
}

// cutOneWay lets nothing pass from some nodes to the others, or to them. All reach the store.
func cutOneWay(f *fleet) {
	inbound := f.random(2) == 0
	d := f.span()
	nodes := f.some(max(len(f.nodes)/8, 1))
	set := func(cut bool) {
		for _, n := range nodes {
			for _, o := range f.nodes {
				if inbound {
					f.setCut(o, n, cut)
				} else {
					f.setCut(n, o, cut)
				}
			}
		}
	}
	f.note("%d nodes cut one way (%t) for %v", len(nodes), inbound, d)
	set(true)
	time.AfterFunc(d, func() { set(false) })
}

// domainAlone cuts a failure domain off from the others. It reaches the store.
func domainAlone(f *fleet) {
	domain, d := f.nodes[f.random(len(f.nodes))].domain, f.span()
	set := func(cut bool) {
		for _, n := range f.nodes {
			for _, o := range f.nodes {
				if (n.domain == domain) != (o.domain == domain) {
					f.setCut(n, o, cut)
				}
			}
		}
	}
	f.note("failure domain %d alone for %v", domain, d)
	set(true)
	time.AfterFunc(d, func() { set(false) })
}

// readersSqueezed narrows the links of the readers, which excuses them alone.
func readersSqueezed(f *fleet) {
	d := f.span()
	nodes := f.readers()
	f.note("readers squeezed for %v", d)
	set := func(rate int) {
		for _, n := range nodes {
			n.mu.Lock()
			n.bytesPerSecond = rate
			n.mu.Unlock()
		}
	}
	for _, n := range nodes {
		f.disturb(n.name, d)
	}
	set(configBytes / 3)
	time.AfterFunc(d, func() { set(0) })
}

// frozen stops readers and some other nodes for a while, which excuses them alone.
func frozen(f *fleet) {
	d := f.span()
	nodes := f.some(max(len(f.nodes)/10, 1))
	if readers := f.readers(); f.random(2) == 0 && len(readers) > 0 {
		nodes = readers[:len(readers)/2+1]
	}
	f.note("%d nodes frozen for %v", len(nodes), d)
	for _, n := range nodes {
		f.disturb(n.name, d)
		n.mu.Lock()
		stopped := n.frozen != nil
		n.mu.Unlock()
		if !stopped {
			n.freeze(d)
		}
	}
}

// readersKilled kills the readers and starts them again.
func readersKilled(f *fleet) {
	nodes := f.readers()
	f.note("%d readers killed", len(nodes))
	for _, n := range nodes {
		n.stop()
		f.disturb(n.name, time.Second)
		time.AfterFunc(500*time.Millisecond, func() {
			f.mu.Lock()
			f.last[n.name] = 0
			f.mu.Unlock()
			n.start()
		})
	}
}

// scenarios are all disturbances.
var scenarios = []scenario{
	silentStore,
	silentConns,
	readersRefused,
	cutOneWay,
	domainAlone,
	readersSqueezed,
	frozen,
	readersKilled,
}

// sizes are the numbers of failure domains and of nodes in each, by the sites.
var sizes = map[int][2]int{
	24:  {6, 4},
	78:  {6, 13},
	195: {9, 22},
}

// result is the outcome of one simulation.
type result struct {
	report string
	delays []time.Duration
	calls  int
}

// simulate runs a fleet with the disturbances that the seed chooses out of the given ones, each
// preceded by a change and followed by some.
func simulate(t *testing.T, seed uint64, size int, from []scenario, disturbances int) (r result) {
	synctest.Test(t, func(*testing.T) {
		f := newFleet(seed, sizes[size][0], sizes[size][1])
		version := int64(1)
		f.publish(version)
		for _, n := range f.nodes {
			time.AfterFunc(time.Duration(f.random(300))*time.Millisecond, n.start)
		}
		at := func(d time.Duration, run func()) { time.AfterFunc(d, run) }
		for range disturbances {
			s := from[f.random(len(from))]
			begin := settleTime + time.Duration(f.random(7000))*time.Millisecond
			at(begin, func() { s(f) })
			// Readers poll again 0.2 s after a change.
			at(begin-time.Duration(f.random(400))*time.Millisecond, func() { f.next(&version) })
		}
		for range 6 {
			at(settleTime+time.Duration(f.random(int(lastChange-settleTime))), func() { f.next(&version) })
		}
		for f.elapsed() < runTime {
			time.Sleep(checkPeriod)
			f.check()
		}
		r = result{
			report: f.report(),
			delays: f.delays,
			calls:  f.store.calls,
		}
		for _, n := range f.nodes {
			n.stop()
		}
		time.Sleep(15 * time.Second)
	})
	return r
}

// next publishes the next version.
func (f *fleet) next(version *int64) {
	f.mu.Lock()
	*version += 1 + f.rng.Int64N(3)
	v := *version
	f.mu.Unlock()
	f.publish(v)
}

// seedsToRun returns the seeds of FUCHSIAPIER_MODEL (first-last), else the first few.
func seedsToRun(t *testing.T, few uint64) (first, last uint64) {
	t.Helper()
	return seeds.Range(t, "FUCHSIAPIER_MODEL", 1, few)
}

// size returns the number of nodes: FUCHSIAPIER_MODEL_SIZE, else that of the smallest site.
func size(t *testing.T) int {
	t.Helper()
	value := os.Getenv("FUCHSIAPIER_MODEL_SIZE")
	if value == "" {
		return 24
	}
	n, err := strconv.Atoi(value)
	if _, ok := sizes[n]; err != nil || !ok {
		t.Fatalf("FUCHSIAPIER_MODEL_SIZE: want one of 24, 78 and 195, got %q", value)
	}
	return n
}

// run simulates all seeds, and reports those that break a bound and how long changes took.
func run(t *testing.T, from []scenario, disturbances int, few uint64) {
	t.Helper()
	first, last := seedsToRun(t, few)
	nodes := size(t)
	var mu sync.Mutex
	var delays []time.Duration
	calls, failed := 0, 0
	t.Run("seeds", func(t *testing.T) {
		for seed := first; seed <= last; seed++ {
			t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
				t.Parallel()
				r := simulate(t, seed, nodes, from, disturbances)
				mu.Lock()
				defer mu.Unlock()
				delays = append(delays, r.delays...)
				calls += r.calls
				if r.report != "" {
					failed++
					t.Errorf("seed %d: %s", seed, r.report)
				}
			})
		}
	})
	slices.Sort(delays)
	if n := len(delays); n > 0 {
		t.Logf("%d nodes, %d seeds, %d broken; confirmed to in force: median %v, 99 in 100 %v, most %v; %d calls of the store a seed", nodes,
			last-first+1, failed, delays[n/2].Round(time.Millisecond), delays[n*99/100].Round(time.Millisecond), delays[n-1].Round(time.Millisecond), calls/int(last-first+1))
	}
}
