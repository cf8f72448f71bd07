package model

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/node/depart"
	"fuchsiapier/internal/node/gate"
	"fuchsiapier/internal/node/starts"
	"fuchsiapier/internal/node/watch"
	"fuchsiapier/internal/pipe/msg"
)

const (
	// reportPeriod is the time between two reports of a target.
	reportPeriod = 1500 * time.Millisecond
	// drainBound is the time after the confirmation from which on a leaving target gets no requests,
	// ackBound the one within which its leaving must be confirmed.
	drainBound = 2500 * time.Millisecond
	ackBound   = 4 * time.Second
	// usedBound is the time from the start of a target until it must be used.
	usedBound = 4 * reportPeriod
	// downTime is how long a killed process is away.
	downTime = 500 * time.Millisecond
	// clockJump is how far the time of day jumps.
	clockJump = 2400 * time.Millisecond
	// departureRunTime is how long a simulation runs.
	departureRunTime = 45 * time.Second
	// withdrawnKey precedes the name of a node in the key of its departures.
	withdrawnKey = "withdrawn/"
)

// departures is the part of a process that decides on its target.
type departures struct {
	process   *process
	gate      *gate.Gate
	recorder  *depart.Recorder
	holder    *depart.Holder
	wasListed chan struct{}
	onListed  sync.Once
}

// startDepartures adds the departures to a process and returns the options of its watcher.
func (p *process) startDepartures(log zerolog.Logger) []watch.Option {
	d := &departures{
		process:   p,
		wasListed: make(chan struct{}),
	}
	key := withdrawnKey + p.node.name
	stopped := func(stop func()) { p.stops = append(p.stops, stop) }
	var stop func()
	d.gate, stop = gate.New(msg.Names{}, gate.WithBlocked(), gate.WithOnDeparture(func(all []starts.Departure) { d.recorder.Record(all) }), gate.WithTargetLog(log))
	stopped(stop)
	d.recorder, stop = depart.NewRecorder(p.node.name, departureLinks{node: p.node}, p.peers.View, p.node.fleet.domains, func(value []byte) {
		p.watcher.Store(watch.Record{
			Key:   key,
			Value: value,
		})
	}, depart.WithLog(log))
	stopped(stop)
	d.holder = depart.NewHolder(departureLinks{node: p.node}, p.peers.View, depart.WithHolderLog(log))
	p.departures = d
	return []watch.Option{
		watch.WithOwnKeys(key),
		watch.WithOnStored(func(r watch.Record) {
			if r.Key == key && !p.ended.Load() {
				d.recorder.Stored(r.Value)
			}
		}),
	}
}

// domains returns the number of failure domains.
func (f *fleet) domains() int {
	return f.nodes[len(f.nodes)-1].domain + 1
}

// recall starts to ask for the departures of an earlier process.
func (d *departures) recall(log zerolog.Logger) {
	n := d.process.node
	d.process.stops = append(d.process.stops, depart.StartRecall(n.name, departureLinks{node: n}, d.process.peers.View, n.fleet.domains,
		d.wasListed, d, depart.WithRecallLog(log)))
}

// listed restores the departures that the store holds.
func (d *departures) listed(records []watch.Record) {
	for _, r := range records {
		if r.Key != withdrawnKey+d.process.node.name {
			continue
		}
		if stored, err := depart.Decode(r.Value); err == nil {
			d.recorder.Restore(stored)
			d.gate.RestoreDepartures(stored)
		}
	}
	d.onListed.Do(func() { close(d.wasListed) })
}

// Restore and Done implement depart.Restart, as node/agent does.
func (d *departures) Restore(departures []starts.Departure, _ string) {
	d.gate.RestoreDepartures(departures)
	d.recorder.Record(departures)
}

func (d *departures) Done(complete bool) { d.gate.Unblock(complete) }

// announce takes a report and returns whether it is confirmed.
func (d *departures) announce(r starts.Report) bool {
	t := gate.Target{
		ID:        r.ID,
		Service:   "s",
		Address:   d.process.node.address + ":80",
		Slots:     4,
		Ready:     r.Ready,
		StartedAt: r.StartedAt,
		Seq:       r.Seq,
	}
	d.gate.Announce(t)
	return r.Ready || d.gate.Departed(t) && d.confirm()
}

// withdraw takes a withdrawal and returns whether it is confirmed.
func (d *departures) withdraw(id string) bool {
	d.gate.Withdraw(id)
	return d.confirm()
}

// confirm waits until the departures are durable, as node/agent does.
func (d *departures) confirm() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
	defer cancel()
	return d.recorder.Await(ctx) != depart.Unconfirmed && !d.process.ended.Load()
}

// departureLinks implements depart.Links over new connections.
type departureLinks struct {
	node *node
}

// reach connects to a node and returns its process.
func (l departureLinks) reach(ctx context.Context, to peers.Node) (*process, error) {
	f, n := l.node.fleet, l.node
	other := f.byName[to.Name]
	if !f.reaches(n, other) || !f.reaches(other, n) || !other.up() {
		sleepCtx(ctx, dialTimeout)
		return nil, errLost
	}
	if !sleepCtx(ctx, 4*f.latency(n, other)) || !waitWhileFrozen(ctx, other) {
		return nil, errLost
	}
	p := other.process.Load()
	if p == nil || !f.reaches(other, n) {
		return nil, errLost
	}
	return p, nil
}

func (l departureLinks) Hold(ctx context.Context, at peers.Node, r depart.Record, reach depart.Reach) error {
	l.node.fleet.departureSent(r)
	p, err := l.reach(ctx, at)
	if err != nil {
		return err
	}
	return p.departures.holder.Hold(ctx, r, reach)
}

func (l departureLinks) Recall(ctx context.Context, from peers.Node, owner string, reach depart.Reach) ([]starts.Departure, error) {
	p, err := l.reach(ctx, from)
	if err != nil {
		return nil, err
	}
	return p.departures.holder.Recall(ctx, owner, reach), nil
}

// leaver is a target that leaves and starts again, under the same ID or another one.
type leaver struct {
	node *node

	mu sync.Mutex
	// last is the last report that the target has sent, startedAt when it has started by true time.
	last      starts.Report
	startedAt time.Time
	// leavingSince is when it began to leave, confirmedAt when that was confirmed, zero before.
	leavingSince time.Time
	confirmedAt  time.Time
	down         bool
}

// start starts the target by a time of day that has jumped, and lets it report until it ends.
func (l *leaver) start(id string, jump time.Duration) {
	l.mu.Lock()
	l.last = starts.Report{
		ID:        id,
		StartedAt: time.Now().Add(jump).UnixMilli(),
		Ready:     true,
	}
	l.startedAt, l.leavingSince, l.confirmedAt, l.down = time.Now(), time.Time{}, time.Time{}, false
	started := l.last
	l.mu.Unlock()
	go func() {
		for {
			l.mu.Lock()
			running := l.last.StartedAt == started.StartedAt && !l.down && l.leavingSince.IsZero()
			if running {
				l.last.Seq++
			}
			r := l.last
			l.mu.Unlock()
			if !running {
				return
			}
			go l.send(r)
			if l.node.fleet.random(10) == 0 {
				late := time.Second + time.Duration(l.node.fleet.random(3000))*time.Millisecond
				time.AfterFunc(late, func() { l.send(r) })
			}
			time.Sleep(reportPeriod)
		}
	}()
}

// send sends a report to the node and returns whether it is confirmed.
func (l *leaver) send(r starts.Report) bool {
	l.node.waitWhileFrozen()
	p := l.node.process.Load()
	return p != nil && p.departures.announce(r)
}

// leave drains or withdraws the target, calls confirmed when that is confirmed, and ends it some seconds
// later.
func (l *leaver) leave(drains bool, confirmed func()) {
	l.mu.Lock()
	l.leavingSince = time.Now()
	before := l.last
	l.mu.Unlock()
	l.node.fleet.noteOf(l.node.name, fmt.Sprintf("target %s leaves, draining %t", before.ID, drains))
	ask := func() bool {
		if !drains {
			p := l.node.process.Load()
			return p != nil && p.departures.withdraw(before.ID)
		}
		l.mu.Lock()
		l.last.Ready = false
		l.last.Seq++
		r := l.last
		l.mu.Unlock()
		return l.send(r)
	}
	for !ask() {
		time.Sleep(100 * time.Millisecond)
		if l.node.fleet.elapsed() > departureRunTime {
			return
		}
	}
	now := time.Now()
	l.mu.Lock()
	l.confirmedAt = now
	l.mu.Unlock()
	l.node.fleet.noteOf(l.node.name, "leaving is confirmed")
	time.AfterFunc(500*time.Millisecond+time.Duration(l.node.fleet.random(3500))*time.Millisecond, func() { l.send(before) })
	confirmed()
	time.Sleep(drainBound + time.Duration(l.node.fleet.random(3000))*time.Millisecond)
	if drains {
		l.node.fleet.noteOf(l.node.name, "target is withdrawn")
		if p := l.node.process.Load(); p != nil {
			p.departures.withdraw(before.ID)
		}
	}
	l.mu.Lock()
	l.down = true
	l.mu.Unlock()
}

// check looks for a target that is used after its leaving was confirmed, one whose leaving is not
// confirmed in time, and one that works and is not used.
func (l *leaver) check(now time.Time) string {
	p := l.node.process.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	if p == nil || l.down || l.last.ID == "" {
		return ""
	}
	state := p.departures.gate.State()
	used := state.Open && state.Target.ID == l.last.ID
	steady := now.Sub(p.startedAt) > usedBound+2*time.Second
	switch {
	case !l.confirmedAt.IsZero() && now.Sub(l.confirmedAt) > drainBound && used:
		return "target " + l.last.ID + " is used after its leaving was confirmed"
	case !l.leavingSince.IsZero() && l.confirmedAt.IsZero() && now.Sub(l.leavingSince) > ackBound && now.Sub(p.startedAt) > ackBound:
		return "leaving of target " + l.last.ID + " is not confirmed in time"
	case l.leavingSince.IsZero() && now.Sub(l.startedAt) > usedBound && steady && !used:
		return "target " + l.last.ID + " works and is not used"
	}
	return ""
}

// kill kills nodes at once and starts them again.
func (f *fleet) kill(nodes []*node) {
	for _, n := range nodes {
		n.stop()
		f.disturb(n.name, time.Second)
		time.AfterFunc(downTime, n.start)
	}
}

// domainOf returns the nodes of a failure domain.
func (f *fleet) domainOf(domain int) []*node {
	var out []*node
	for _, n := range f.nodes {
		if n.domain == domain {
			out = append(out, n)
		}
	}
	return out
}

// killAround kills the node of a target, its whole failure domain or another one, or none.
func (f *fleet) killAround(n *node) {
	time.Sleep(time.Duration(f.random(30)) * time.Millisecond)
	switch f.random(5) {
	case 0:
		f.note("%s is killed", n.name)
		f.kill([]*node{n})
	case 1, 2:
		f.note("failure domain %d is killed", n.domain)
		f.kill(f.domainOf(n.domain))
	case 3:
		other := (n.domain + 1 + f.random(f.domains()-1)) % f.domains()
		f.note("failure domain %d and %s are killed", other, n.name)
		f.kill(append(f.domainOf(other), n))
	}
}

// storeTrouble makes the store refuse all calls, or answer none, or late, for a while.
func (f *fleet) storeTrouble() {
	d := f.span()
	how := f.random(4)
	f.note("trouble of the store: %d for %v", how, d)
	switch how {
	case 0:
		f.store.setAll(busy)
	case 1:
		f.store.setAll(silent)
	case 2:
		slowStore(f)
		return
	default:
		return
	}
	time.AfterFunc(d, func() { f.store.setAll(serves) })
}

// simulateDepartures lets targets leave and start again among kills, troubles of the store, or drills of
// it, and clock steps, and returns what broke and what the departures took.
func simulateDepartures(t *testing.T, seed uint64, size int, drills bool) (broken string, costs *departureCosts) {
	synctest.Test(t, func(*testing.T) {
		f := newFleet(seed, sizes[size][0], sizes[size][1])
		costs = &f.departureCosts
		f.targets = map[string]*leaver{}
		f.publish(1)
		for _, n := range f.nodes {
			l := &leaver{
				node: n,
			}
			f.targets[n.name] = l
			time.AfterFunc(time.Duration(f.random(300))*time.Millisecond, n.start)
			time.AfterFunc(time.Second+time.Duration(f.random(500))*time.Millisecond, func() { l.start("t-"+n.name, 0) })
		}
		for round := range 3 {
			at := 8*time.Second + time.Duration(round)*11*time.Second
			around := f.killAround
			if drills {
				around = f.drillAround(at)
			} else {
				time.AfterFunc(at-time.Duration(f.random(500))*time.Millisecond, f.storeTrouble)
			}
			for _, n := range f.some(1 + f.random(3)) {
				l, drains := f.targets[n.name], f.random(2) == 0
				time.AfterFunc(at+time.Duration(f.random(1000))*time.Millisecond, func() {
					s := f.situationOf(n)
					l.leave(drains, func() {
						f.leavingConfirmed(s, l.confirmedAt.Sub(l.leavingSince))
						around(n)
					})
					time.Sleep(time.Duration(f.random(1500)) * time.Millisecond)
					if f.elapsed() > departureRunTime {
						return
					}
					jump := time.Duration(f.random(3)-1) * clockJump
					id := []string{"t-" + n.name, "u-" + n.name}[f.random(2)]
					f.noteOf(n.name, fmt.Sprintf("target %s starts, clock off by %v", id, jump))
					l.start(id, jump)
				})
			}
		}
		for f.elapsed() < departureRunTime {
			time.Sleep(checkPeriod)
			if broken == "" {
				broken = f.checkTargets()
			}
		}
		for _, n := range f.nodes {
			n.stop()
			l := f.targets[n.name]
			l.mu.Lock()
			l.down = true
			l.mu.Unlock()
		}
		time.Sleep(15 * time.Second)
	})
	return broken, costs
}

// checkTargets checks all targets, and returns what is broken with the timeline of its node.
func (f *fleet) checkTargets() string {
	for _, n := range f.nodes {
		what := f.targets[n.name].check(time.Now())
		if what == "" {
			continue
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		lines := []string{fmt.Sprintf("%8.3f %s: %s", f.elapsed().Seconds(), n.name, what)}
		for _, e := range f.events {
			if e.node == "" || e.node == n.name {
				lines = append(lines, e.text)
			}
		}
		return strings.Join(lines, "\n")
	}
	return ""
}

// TestDeparturesAmongDisturbances guards against a target that is used after its leaving was confirmed,
// one whose leaving is not confirmed, and one that works and is not used, where nodes and whole failure
// domains are killed right after a confirmation, the store fails, clocks jump and reports are late.
func TestDeparturesAmongDisturbances(t *testing.T) {
	playDepartures(t, false)
}

// playDepartures simulates departures with each seed, and reports what broke.
func playDepartures(t *testing.T, drills bool) {
	t.Helper()
	first, last := seedsToRun(t, 40)
	nodes := size(t)
	var mu sync.Mutex
	var costs departureCosts
	failed := 0
	t.Run("seeds", func(t *testing.T) {
		for seed := first; seed <= last; seed++ {
			t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
				t.Parallel()
				broken, c := simulateDepartures(t, seed, nodes, drills)
				mu.Lock()
				defer mu.Unlock()
				costs.add(c)
				if broken != "" {
					failed++
					t.Errorf("seed %d: %s", seed, broken)
				}
			})
		}
	})
	t.Logf("%d nodes, %d seeds, %d broken", nodes, last-first+1, failed)
	costs.report(t)
}
