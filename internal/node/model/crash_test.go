package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/mesh/rank"
)

const (
	// services is the number of services; the nodes of a failure domain take them in turn.
	services = 4
	// maxLateSends is how many sends of a crashing request the page allows later than stableTime
	// after its third crash, and crashesAimed how many targets such a request may end where nothing
	// else is wrong.
	maxLateSends = 3
	crashesAimed = 3
	// targetDown is how long a target is away after a crash.
	targetDown = 2500 * time.Millisecond
	// maxDetection is the longest time until the gate notices a crash.
	maxDetection = 100 * time.Millisecond
	// loadPeriod is the time between two ordinary requests at a node.
	loadPeriod = 250 * time.Millisecond
	// popular is the number of ordinary requests that come again and again.
	popular = 40
	// crashRunTime is how long a simulation runs.
	crashRunTime = 40 * time.Second
	// firstDeadly is the fingerprint of the first request that crashes targets.
	firstDeadly = crash.Fingerprint(1 << 40)
)

// target is the simulated target beside a node.
type target struct {
	mu        sync.Mutex
	downUntil time.Time
	// start counts the starts.
	start int
	// running holds the requests that run, by a number of the run.
	running map[int]crash.Fingerprint
	lastRun int
	alone   bool
}

// up reports whether the target runs.
func (t *target) up() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !time.Now().Before(t.downUntil)
}

// begin starts a run, alone if exclusive is set, and returns its number and the start of the
// target that it runs on. It fails while the target is down or taken.
func (t *target) begin(f crash.Fingerprint, exclusive bool) (run, start int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Now().Before(t.downUntil) || t.alone || exclusive && len(t.running) > 0 {
		return 0, 0, false
	}
	t.alone = exclusive
	t.lastRun++
	if t.running == nil {
		t.running = map[int]crash.Fingerprint{}
	}
	t.running[t.lastRun] = f
	return t.lastRun, t.start, true
}

// end ends a run and reports whether the target lived as long.
func (t *target) end(run, start int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.start != start {
		return false
	}
	t.alone = false
	delete(t.running, run)
	return true
}

// started returns the number of the present start of the target.
func (t *target) started() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.start
}

// crash ends a start of the target and returns what ran on it, nothing if that start has ended before.
func (t *target) crash(start int) (running []crash.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.start != start {
		return nil
	}
	for _, f := range t.running {
		running = append(running, f)
	}
	t.start++
	t.running = nil
	t.alone = false
	t.downUntil = time.Now().Add(targetDown)
	return running
}

// targetStart is one start of the target beside a node.
type targetStart struct {
	node  string
	start int
}

// deadlySend is a run of a crashing request.
type deadlySend struct {
	at time.Time
	// on is the start that ended under the request.
	on      targetStart
	excused bool
}

// workload is the load of a simulation and what the checker sees of it.
type workload struct {
	fleet   *fleet
	targets map[string]*target

	mu sync.Mutex
	// sends holds the runs of each crashing request in order, refused how often it was refused.
	sends   map[crash.Fingerprint][]deadlySend
	refused map[crash.Fingerprint]int
	// innocent counts the ordinary requests, innocentRefused those that were refused as crashing.
	innocent        int
	innocentRefused int
	// exclusive counts the runs of ordinary requests that had to be alone.
	exclusive int
}

func newWorkload(f *fleet) *workload {
	w := &workload{
		fleet:   f,
		targets: map[string]*target{},
		sends:   map[crash.Fingerprint][]deadlySend{},
		refused: map[crash.Fingerprint]int{},
	}
	for _, n := range f.nodes {
		w.targets[n.name] = &target{}
	}
	return w
}

// pick returns the node beside a target of a service that an entry sends to: as node/entry does, the same
// one from everywhere for a suspected request, else one of its own failure domain if there is one.
func (w *workload) pick(from *node, service int, f crash.Fingerprint, suspected bool) *node {
	var near, far []*node
	var names []string
	for i, n := range w.fleet.nodes {
		switch {
		case i%services != service || !n.up() || !w.targets[n.name].up() || !w.fleet.reaches(from, n) || !w.fleet.reaches(n, from):
		case n.domain == from.domain:
			near = append(near, n)
		default:
			far = append(far, n)
		}
	}
	for _, n := range append(slices.Clone(near), far...) {
		names = append(names, n.name)
	}
	if suspected && len(names) > 0 {
		return w.fleet.byName[rank.Best(f.String(), names)]
	}
	if len(near) > 0 {
		return near[rand.IntN(len(near))]
	}
	if len(far) > 0 {
		return far[rand.IntN(len(far))]
	}
	return nil
}

// request sends a request in at a node. deadly says that it crashes the target that runs it.
func (w *workload) request(from *node, service int, f crash.Fingerprint, deadly bool) {
	from.waitWhileFrozen()
	entry := from.process.Load()
	if entry == nil {
		return
	}
	standing, _ := entry.crashes.Lookup(f)
	if standing == crash.Quarantined {
		w.countRefusal(f, deadly)
		return
	}
	to := w.pick(from, service, f, standing == crash.Suspected)
	if to == nil {
		return
	}
	time.Sleep(w.fleet.latency(from, to))
	to.waitWhileFrozen()
	gate := to.process.Load()
	if gate == nil {
		return
	}
	t := w.targets[to.name]
	var run, start int
	for began := time.Now(); ; time.Sleep(2 * time.Millisecond) {
		standing, _ := gate.crashes.Lookup(f)
		if standing == crash.Quarantined {
			w.countRefusal(f, deadly)
			return
		}
		var ok bool
		exclusive := standing == crash.Suspected
		if run, start, ok = t.begin(f, exclusive); ok {
			w.countExclusive(exclusive, deadly)
			break
		}
		if time.Since(began) > 300*time.Millisecond {
			return
		}
	}
	if deadly {
		w.recordSend(f, from, to, start)
		w.crash(to, start)
		return
	}
	time.Sleep(time.Duration(5+rand.IntN(50)) * time.Millisecond)
	if t.end(run, start) {
		gate.crashes.RecordSuccess(f)
	}
}

// crash ends a start of the target beside a node, whose gate notices that a moment later if anything ran. It does
// nothing if that start has ended before.
func (w *workload) crash(n *node, start int) {
	running := w.targets[n.name].crash(start)
	if len(running) == 0 {
		return
	}
	p := n.process.Load()
	w.fleet.note("target of %s crashes; %d requests ran", n.name, len(running))
	time.AfterFunc(time.Duration(rand.Int64N(int64(maxDetection))), func() {
		n.waitWhileFrozen()
		if p != nil && !p.ended.Load() {
			p.crashes.RecordCrash(crash.NewID(), running)
		}
	})
}

func (w *workload) countRefusal(f crash.Fingerprint, deadly bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if deadly {
		w.refused[f]++
		return
	}
	w.innocentRefused++
}

func (w *workload) countExclusive(exclusive, deadly bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !deadly {
		w.innocent++
	}
	if exclusive && !deadly {
		w.exclusive++
	}
}

// recordSend records that a crashing request was sent to a target, which has the given start. It is
// excused unless both nodes are in touch.
func (w *workload) recordSend(f crash.Fingerprint, from, to *node, start int) {
	w.fleet.note("crashing request %d, at %s, runs beside %s", f-firstDeadly, from.name, to.name)
	excused := !w.fleet.inTouch(from) || !w.fleet.inTouch(to)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sends[f] = append(w.sends[f], deadlySend{
		at:      time.Now(),
		on:      targetStart{node: to.name, start: start},
		excused: excused,
	})
}

// inTouch reports whether a node has been without disturbance for stableTime.
func (f *fleet) inTouch(n *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	return !now.Before(f.disturbedUntil[""].Add(stableTime)) && !now.Before(f.disturbedUntil[n.name].Add(stableTime))
}

// late returns how many sends of a crashing request nodes in touch made later than stableTime after
// its third crash.
func late(sends []deadlySend) (n int) {
	if len(sends) < 3 {
		return 0
	}
	from := sends[2].at.Add(stableTime)
	for _, s := range sends {
		if s.at.After(from) && !s.excused {
			n++
		}
	}
	return n
}

// endedTargets returns how many targets ended under the runs of a crashing request. Several runs at once on one
// target end it once.
func endedTargets(sends []deadlySend) int {
	starts := map[targetStart]bool{}
	for _, s := range sends {
		starts[s.on] = true
	}
	return len(starts)
}

// ordinaryLoad sends ordinary requests at a node until the end: some of them once, some again and
// again.
func (w *workload) ordinaryLoad(n *node, end time.Duration) {
	for unique := crash.Fingerprint(rand.Uint64()); w.fleet.elapsed() < end; unique++ {
		f := unique
		if rand.IntN(2) == 0 {
			f = crash.Fingerprint(rand.IntN(popular))
		}
		go w.request(n, rand.IntN(services), f, false)
		time.Sleep(time.Duration(rand.Int64N(int64(2 * loadPeriod))))
	}
}

// crashPlan is what a simulation plays.
type crashPlan struct {
	// deadly is the number of crashing requests; each comes again after a gap of up to maxGap, sometimes
	// several times at once if burst is set.
	deadly int
	minGap time.Duration
	maxGap time.Duration
	burst  bool
	// crashes is the number of crashes for other causes.
	crashes      int
	from         []scenario
	disturbances int
}

// crashResult is the outcome of one simulation.
type crashResult struct {
	report          string
	ended           []int
	late            int
	innocent        int
	innocentRefused int
	exclusive       int
}

// simulateCrashes runs a fleet with crashing requests.
func simulateCrashes(t *testing.T, seed uint64, size int, plan crashPlan) (r crashResult) {
	synctest.Test(t, func(*testing.T) {
		f := newFleet(seed, sizes[size][0], sizes[size][1])
		f.publish(1)
		w := newWorkload(f)
		for _, n := range f.nodes {
			time.AfterFunc(time.Duration(f.random(300))*time.Millisecond, n.start)
			time.AfterFunc(settleTime, func() { w.ordinaryLoad(n, crashRunTime-time.Second) })
		}
		for range plan.disturbances {
			s := plan.from[f.random(len(plan.from))]
			time.AfterFunc(settleTime+time.Duration(f.random(15_000))*time.Millisecond, func() { s(f) })
		}
		for range plan.crashes {
			n := f.nodes[f.random(len(f.nodes))]
			time.AfterFunc(settleTime+time.Duration(f.random(25_000))*time.Millisecond, func() { w.crash(n, w.targets[n.name].started()) })
		}
		for i := range plan.deadly {
			service := f.random(services)
			at := settleTime + time.Duration(f.random(4000))*time.Millisecond
			for at < crashRunTime-time.Second {
				times := 1
				if plan.burst && f.random(3) == 0 {
					times += f.random(3)
				}
				for range times {
					n := f.nodes[f.random(len(f.nodes))]
					time.AfterFunc(at, func() { w.request(n, service, firstDeadly+crash.Fingerprint(i), true) })
				}
				at += plan.minGap + time.Duration(f.random(int(plan.maxGap-plan.minGap)))
			}
		}
		time.Sleep(crashRunTime)
		for _, n := range f.nodes {
			n.stop()
		}
		time.Sleep(15 * time.Second)
		r = w.result()
	})
	return r
}

// result checks what was played.
func (w *workload) result() crashResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := crashResult{
		innocent:        w.innocent,
		innocentRefused: w.innocentRefused,
		exclusive:       w.exclusive,
	}
	worst := crash.Fingerprint(0)
	for f, sends := range w.sends {
		r.ended = append(r.ended, endedTargets(sends))
		if n := late(sends); n > r.late {
			r.late, worst = n, f
		}
	}
	if r.late <= maxLateSends {
		return r
	}
	r.report = fmt.Sprintf("request %d was sent %d times later than %v after its third crash; %d targets ended under it", worst-firstDeadly, r.late, stableTime, endedTargets(w.sends[worst]))
	for _, e := range w.fleet.events {
		if e.node == "" {
			r.report += "\n" + e.text
		}
	}
	return r
}

// runCrashes simulates all seeds, and reports those that break the rule; most bounds the targets that a
// request may end, 0 for no bound.
func runCrashes(t *testing.T, plan crashPlan, most int, few uint64) {
	t.Helper()
	first, last := seedsToRun(t, few)
	nodes := size(t)
	var mu sync.Mutex
	var ended, lates []int
	innocent, innocentRefused, exclusive, failed := 0, 0, 0, 0
	t.Run("seeds", func(t *testing.T) {
		for seed := first; seed <= last; seed++ {
			t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
				t.Parallel()
				r := simulateCrashes(t, seed, nodes, plan)
				mu.Lock()
				defer mu.Unlock()
				ended = append(ended, r.ended...)
				lates = append(lates, r.late)
				innocent += r.innocent
				innocentRefused += r.innocentRefused
				exclusive += r.exclusive
				if most > 0 && len(r.ended) > 0 && slices.Max(r.ended) > most && r.report == "" {
					r.report = fmt.Sprintf("%d targets ended under one request, %d are aimed at", slices.Max(r.ended), most)
				}
				if r.report != "" {
					failed++
					t.Errorf("seed %d: %s", seed, r.report)
				}
			})
		}
	})
	slices.Sort(ended)
	t.Logf("%d nodes, %d seeds, %d broken; of %d other requests %d refused, %d alone", nodes, last-first+1, failed, innocent, innocentRefused, exclusive)
	if n := len(ended); n > 0 {
		t.Logf("targets ended by a request: median %d, 99 in 100 %d, most %d; late sends: most %d", ended[n/2], ended[n*99/100], ended[n-1], slices.Max(lates))
	}
	if innocentRefused*1000 > innocent {
		t.Errorf("%d of %d other requests were refused as crashing, 0.1%% are allowed", innocentRefused, innocent)
	}
}

// TestCrashingRequestEndsThree guards against a request that ends more than three targets although nothing
// else is wrong: each failure domain would have to see it for itself.
func TestCrashingRequestEndsThree(t *testing.T) {
	runCrashes(t, crashPlan{
		deadly: 2,
		minGap: 700 * time.Millisecond,
		maxGap: 5 * time.Second,
	}, crashesAimed, 4)
}

// TestCrashingRequestAmongDisturbances guards against a request that is sent on after it has ended three
// targets, where nodes are cut off, frozen, killed or lose messages as it spreads.
func TestCrashingRequestAmongDisturbances(t *testing.T) {
	runCrashes(t, crashPlan{
		deadly:       3,
		minGap:       200 * time.Millisecond,
		maxGap:       4 * time.Second,
		burst:        true,
		crashes:      6,
		from:         []scenario{cutOneWay, frozen, readersKilled, readersSqueezed},
		disturbances: 3,
	}, 0, 4)
}

// TestInnocentsAmongCrashes guards against the refusal of requests that only ran beside others as targets
// crashed for other causes.
func TestInnocentsAmongCrashes(t *testing.T) {
	runCrashes(t, crashPlan{
		crashes:      40,
		from:         []scenario{frozen, readersKilled},
		disturbances: 2,
	}, 0, 2)
}

// TestCrashingRequestAtOnce guards against a request that comes in at several nodes at once and ends a target of each, again and
// again. Three may meet it before any word has spread, and one more in the exclusive run.
func TestCrashingRequestAtOnce(t *testing.T) {
	runCrashes(t, crashPlan{
		deadly: 2,
		minGap: 700 * time.Millisecond,
		maxGap: 5 * time.Second,
		burst:  true,
	}, crashesAimed+1, 4)
}

// TestRunsAtOnceEndOneTarget guards against a checker that takes several runs of a crashing request at once on one
// target for several targets that ended.
func TestRunsAtOnceEndOneTarget(t *testing.T) {
	f := newFleet(1, 1, 1)
	w := newWorkload(f)
	n := f.nodes[0]
	beside := w.targets[n.name]
	var starts []int
	for range 3 {
		_, start, ok := beside.begin(firstDeadly, false)
		if !ok {
			t.Fatal("the target does not take a run")
		}
		starts = append(starts, start)
	}
	for _, start := range starts {
		w.recordSend(firstDeadly, n, n, start)
		w.crash(n, start)
	}
	if got := endedTargets(w.sends[firstDeadly]); got != 1 {
		t.Errorf("%d targets ended, want 1", got)
	}
	if got := beside.started(); got != 1 {
		t.Errorf("the target has ended %d times, want 1", got)
	}
}
