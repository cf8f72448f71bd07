package test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"fuchsiapier/lab/backend"
	"fuchsiapier/lab/seeds"
	"fuchsiapier/lab/store"
	"fuchsiapier/platform"
)

const (
	// soakTime is the time of one run with faults, soakStep the mean time between two.
	soakTime = 11 * time.Second
	soakStep = 450 * time.Millisecond
	// soakCallers is the number of callers on each VM.
	soakCallers = 3
	// callerTimeout is how long a caller waits for a response.
	callerTimeout = 8 * time.Second
	// keyGrace is the time after which a withdrawn key must not work.
	keyGrace = 5 * time.Second
	// crashGap is the mean time between two arrivals of the request that crashes servers, and
	// serverDownTime how long a server is away after it has crashed.
	crashGap       = 800 * time.Millisecond
	serverDownTime = 500 * time.Millisecond
	// lastingDisturbance is how long a fault of a node may still show in lost responses.
	lastingDisturbance = 4 * time.Second
)

// lastSoakSeed is the last of the seeds, from 1 on, that CI runs. FUCHSIAPIER_SOAK=FIRST-LAST runs others, with
// FUCHSIAPIER_SOAK_SIZE servers of each service in each failure domain.
const lastSoakSeed = 3

// span is a time in which a node was stopped, starting or paused.
type span struct {
	from, to time.Time
	// planned says that the node was stopped by SIGTERM.
	planned bool
}

// sending is one attempt of a caller.
type sending struct {
	vm     *vm
	id     string
	once   bool
	key    string
	at     time.Time
	status int
	wrong  string
}

// naming is a time in which a server named a rate limit.
type naming struct {
	server   *backend.Backend
	value    string
	from, to time.Time
}

// soak is one run: callers that load all nodes, and faults that a seed draws.
type soak struct {
	*cluster
	random  *rand.Rand
	faults  sync.WaitGroup
	busy    map[*vm]*sync.Mutex
	mu      sync.Mutex
	sent    []sending
	spans   map[*vm][]span
	namings []*naming
	leaving map[*vm]bool
	// withdrawnAt is when the key key-2 was withdrawn, zero before.
	withdrawnAt time.Time
	version     int
	log         []string
	// copies are earlier contents of the store.
	copies []store.Copy
	// storeFaults is held for reading by each fault of the store, and for writing while a departure needs the
	// store to be away, so that none of them ends that.
	storeFaults sync.RWMutex
	// silenceAfter is when the open connections to the store go silent.
	silenceAfter time.Duration
	// arrivals decides when and where the request that crashes servers comes in.
	arrivals *rand.Rand
	// troubled decides which server sends malformed responses, and which is slow.
	troubled *rand.Rand
	// departing is the VM whose server withdraws itself, with the node that is killed right after.
	departing *departing
	// crowds let clients that don't behave come, if withCrowds is set.
	crowds     *crowds
	withCrowds bool
	// restoredAt are the times at which the store was restored.
	restoredAt []time.Time
}

// TestSoak guards against broken promises where faults overlap: restarts, kills and pauses of
// nodes, limits and departures that servers name in responses, a server that withdraws itself and
// whose failure domain is killed right after the confirmation, outages and restores of the store,
// connections to it that go silent, changes of the configuration, malformed responses, crowds of clients that don't behave
// (in some seeds), and a request that crashes the servers which run it, beside callers that use their connections until they end, some of which send ahead.
func TestSoak(t *testing.T) {
	first, last := seeds.Range(t, "FUCHSIAPIER_SOAK", 1, lastSoakSeed)
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			size, _ := strconv.Atoi(os.Getenv("FUCHSIAPIER_SOAK_SIZE"))
			s := newSoak(t, seed, max(size, 1))
			s.run()
			broken := append(s.check(), s.crowds.exceeded()...)
			for _, b := range broken {
				t.Error(b)
			}
			if len(broken) > 0 {
				t.Log("faults:\n" + strings.Join(s.log, "\n"))
			}
		})
	}
}

func newSoak(t *testing.T, seed uint64, size int) *soak {
	m := defaultMachine
	if hasCrowds(seed) {
		m = crowdMachine
	}
	s := &soak{
		cluster: newClusterOn(t, size, m),
		random:  rand.New(rand.NewPCG(seed, seed)),
		busy:    map[*vm]*sync.Mutex{},
		spans:   map[*vm][]span{},
		leaving: map[*vm]bool{},
		version: 1,
		// Not drawn from random, so that the other faults of a seed stay as they were.
		silenceAfter: time.Duration(rand.New(rand.NewPCG(seed, 1)).Int64N(int64(soakTime / 2))),
		arrivals:     rand.New(rand.NewPCG(seed, 2)),
		troubled:     rand.New(rand.NewPCG(seed, 4)),
	}
	s.crowds = newCrowds(s, seed)
	s.withCrowds = hasCrowds(seed)
	s.departing = newDeparting(rand.New(rand.NewPCG(seed, 3)), s.vms)
	s.leaving[s.departing.vm] = true
	s.copies = []store.Copy{s.initial, s.store.Copy()}
	for _, v := range s.vms {
		s.busy[v] = &sync.Mutex{}
	}
	s.waitForFleet()
	return s
}

// run loads the nodes and brings about faults for soakTime.
func (s *soak) run() {
	done := make(chan struct{})
	var callers sync.WaitGroup
	for _, v := range s.vms {
		for i := range soakCallers {
			callers.Go(func() { s.call(v, i, done) })
		}
		callers.Go(func() { s.callAhead(v, 0, done) })
	}
	if s.withCrowds {
		callers.Go(func() { s.crowds.run(done) })
		callers.Go(func() { s.crowds.measure(done) })
	}
	s.troubleServers()
	s.silenceConnections()
	s.faults.Go(s.depart)
	callers.Go(func() { s.sendCrashing(done) })
	for end := time.Now().Add(soakTime); time.Now().Before(end); {
		s.fault()
		time.Sleep(time.Duration(s.random.Int64N(int64(2 * soakStep))))
	}
	s.faults.Wait()
	close(done)
	callers.Wait()
	s.store.SetFault(store.NoFault)
	for _, v := range s.vms {
		s.waitFor("all nodes have the newest configuration", func() bool { return v.configVersion() == int64(s.version) })
		s.waitFor("all nodes serve again", func() bool { return v.requestStatus(http.MethodGet, "/safe/", "key-1") == http.StatusOK })
	}
}

// note adds a line to the log of faults.
func (s *soak) note(format string, arguments ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, time.Now().Format("05.000 ")+fmt.Sprintf(format, arguments...))
}

// fault brings about the next fault; most go on while others begin.
func (s *soak) fault() {
	v := s.vms[s.random.IntN(len(s.vms))]
	duration := 200*time.Millisecond + time.Duration(s.random.Int64N(int64(1300*time.Millisecond)))
	switch s.random.IntN(9) {
	case 0:
		s.disturb(v, "SIGTERM", true, func() { s.restart(v, syscall.SIGTERM) })
	case 1:
		s.disturb(v, "SIGKILL", false, func() { s.restart(v, syscall.SIGKILL) })
	case 2:
		s.disturb(v, "paused", false, func() {
			_ = v.node.Process.Signal(syscall.SIGSTOP)
			time.Sleep(duration)
			_ = v.node.Process.Signal(syscall.SIGCONT)
		})
	case 3, 4:
		s.nameLimit(v, []string{"2", "5.5", "10", "20", "0", ""}[s.random.IntN(6)])
	case 5:
		s.leave(v)
	case 6:
		fault := []store.Fault{store.Unavailable, store.NoResponse, store.ResponseLost}[s.random.IntN(3)]
		if !s.storeFaults.TryRLock() {
			return
		}
		s.note("store fault %d for %v", fault, duration)
		s.store.SetFault(fault)
		s.faults.Go(func() {
			defer s.storeFaults.RUnlock()
			time.Sleep(duration)
			s.store.SetFault(store.NoFault)
		})
	case 7:
		s.changeConfiguration(s.random.IntN(2) == 0)
	case 8:
		s.restoreStore(duration)
	}
}

// troubleServers makes a share of the responses of one server malformed, and another one slow.
func (s *soak) troubleServers() {
	v, each := s.vms[s.troubled.IntN(len(s.vms))], 20+s.troubled.IntN(30)
	s.note("one in %d responses of the server of %s is malformed", each, v.name)
	v.server.SpoilHeads(each)
	slow, took := s.vms[s.troubled.IntN(len(s.vms))], 200*time.Millisecond+time.Duration(s.troubled.Int64N(int64(300*time.Millisecond)))
	s.note("the server of %s takes %v", slow.name, took)
	slow.server.SetServiceTime(took)
}

// silenceConnections lets the open connections to the store go silent once, in the middle of the
// other faults, and changes the configuration just before and after.
func (s *soak) silenceConnections() {
	s.faults.Go(func() {
		time.Sleep(s.silenceAfter)
		s.changeConfiguration(false)
		s.note("the open connections to the store go silent")
		s.store.Silence()
		s.changeConfiguration(true)
	})
}

// sendCrashing sends the request that crashes servers, again and again at any node, and starts the
// crashed servers again.
func (s *soak) sendCrashing(done chan struct{}) {
	for i := 0; ; i++ {
		v := s.vms[s.arrivals.IntN(len(s.vms))]
		one := sending{
			vm:   v,
			id:   fmt.Sprintf("%s-crashing-%d", v.name, i),
			once: true,
			key:  "key-1",
			at:   time.Now(),
		}
		one.status, _, _ = v.sendBody(http.MethodPost, "/once/crashing", one.key, one.id, crashBody)
		s.mu.Lock()
		s.sent = append(s.sent, one)
		s.mu.Unlock()
		time.Sleep(serverDownTime)
		s.mu.Lock()
		crashed := s.restartCrashed()
		s.mu.Unlock()
		s.note("%s got status %d, %d servers crashed", one.id, one.status, crashed)
		select {
		case <-done:
			return
		case <-time.After(time.Duration(s.arrivals.Int64N(int64(2*crashGap - serverDownTime)))):
		}
	}
}

// restoreStore takes the store away for a while, after which it comes back from an earlier copy, which
// may be that of before the first node. The operator writes what was lost again, at times late.
func (s *soak) restoreStore(outage time.Duration) {
	older := s.copies[s.random.IntN(len(s.copies))]
	delay := time.Duration(s.random.IntN(2)) * outage
	if !s.storeFaults.TryRLock() {
		return
	}
	s.copies = append(s.copies, s.store.Copy())
	s.note("the store is away for %v and restored, the configuration %v later", outage, delay)
	s.store.SetFault(store.Unavailable)
	s.faults.Go(func() {
		time.Sleep(outage)
		s.mu.Lock()
		s.store.Restore(older)
		s.restoredAt = append(s.restoredAt, time.Now())
		s.mu.Unlock()
		s.store.SetFault(store.NoFault)
		s.storeFaults.RUnlock()
		time.Sleep(delay)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.publish()
	})
}

// disturb runs a fault of a VM's node in the background, after the earlier ones of that VM.
func (s *soak) disturb(v *vm, what string, planned bool, f func()) {
	s.faults.Go(func() {
		s.busy[v].Lock()
		defer s.busy[v].Unlock()
		from := time.Now()
		s.note("%s %s", v.name, what)
		f()
		s.note("%s is back", v.name)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.spans[v] = append(s.spans[v], span{
			from:    from,
			to:      time.Now(),
			planned: planned,
		})
	})
}

func (s *soak) restart(v *vm, signal syscall.Signal) {
	_ = v.node.Process.Signal(signal)
	<-v.exited
	v.startNode()
	s.waitFor("a restarted node is ready", v.ready)
}

// nameLimit makes a server name a rate limit; "" lifts it.
func (s *soak) nameLimit(v *vm, value string) {
	s.note("%s names the limit %q", v.name, value)
	s.mu.Lock()
	defer s.mu.Unlock()
	server := v.server
	server.NameRateLimit(value)
	now := time.Now()
	for _, n := range s.namings {
		if n.server == server && n.to.IsZero() {
			n.to = now
		}
	}
	if value != "" {
		s.namings = append(s.namings, &naming{
			server: server,
			value:  value,
			from:   now,
		})
	}
}

// leave makes a server say that it leaves, by its responses and at times by its reports too, and
// replaces it by its next start. One server of each service stays.
func (s *soak) leave(v *vm) {
	stays := false
	for _, o := range s.vms {
		stays = stays || o != v && o.service == v.service && !s.leaving[o]
	}
	if !stays || s.leaving[v] {
		return
	}
	s.leaving[v] = true
	s.mu.Lock()
	server := v.server
	s.mu.Unlock()
	reports := s.random.IntN(2) == 0
	s.note("the server of %s leaves, by its reports: %v", v.name, reports)
	server.NameLeaving()
	s.faults.Go(func() {
		if reports {
			server.Drain()
		}
		time.Sleep(drainTime + quietTime)
		s.note("the server of %s starts again", v.name)
		s.mu.Lock()
		defer s.mu.Unlock()
		v.stopServer()
		v.startServer()
	})
}

// changeConfiguration publishes a new version, at times one without the second key.
func (s *soak) changeConfiguration(withdraw bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	if withdraw && s.withdrawnAt.IsZero() {
		s.withdrawnAt = time.Now()
	}
	s.publish()
}

// publish writes the current configuration; s.mu must be held.
func (s *soak) publish() {
	keys := []string{"key-1", "key-2"}
	if !s.withdrawnAt.IsZero() {
		keys = keys[:1]
	}
	s.configure(s.version, keys...)
}

// call sends requests on one connection after the other, each used until it ends.
func (s *soak) call(v *vm, caller int, done chan struct{}) {
	var conn net.Conn
	var reader *bufio.Reader
	for i := 0; ; i++ {
		select {
		case <-done:
			if conn != nil {
				_ = conn.Close()
			}
			return
		default:
		}
		if conn == nil {
			c, err := net.DialTimeout("tcp", v.address(portOutbound), time.Second)
			if err != nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			conn, reader = c, bufio.NewReader(c)
		}
		one := sending{
			vm:   v,
			id:   fmt.Sprintf("%s-c%d-%d", v.name, caller, i),
			once: i%2 == 0,
			key:  []string{"key-1", "key-2"}[i%5/4],
			at:   time.Now(),
		}
		keep := one.exchange(conn, reader)
		s.mu.Lock()
		s.sent = append(s.sent, one)
		s.mu.Unlock()
		if !keep {
			_ = conn.Close()
			conn = nil
		}
		if one.status != http.StatusOK {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// exchange sends the request and reads the response. It reports whether the connection can be
// used again.
func (o *sending) exchange(conn net.Conn, reader *bufio.Reader) (keep bool) {
	return o.send(conn) && o.receive(reader)
}

// target returns the method and path of the request.
func (o *sending) target() (method, path string) {
	if o.once {
		return http.MethodPost, "/once/" + o.id
	}
	return http.MethodGet, "/safe/" + o.id
}

// body returns the body of the request.
func (o *sending) body() string {
	return "load " + o.id
}

// send sends the request and reports whether that succeeded.
func (o *sending) send(conn net.Conn) bool {
	method, path := o.target()
	_ = conn.SetDeadline(time.Now().Add(callerTimeout))
	_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: front.example\r\n%s: %s\r\n%s: 4000\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n%s",
		method, path, platform.HeaderNames.Attempt, o.id, platform.HeaderNames.Deadline, o.key, len(o.body()), o.body())
	return err == nil
}

// receive reads the response to the request. It reports whether the connection can be used again.
func (o *sending) receive(reader *bufio.Reader) (keep bool) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return false
	}
	o.status = resp.StatusCode
	_, path := o.target()
	if o.status == http.StatusOK && (resp.Header.Get(platform.HeaderNames.Signature) != "proof-of-"+o.id || !strings.HasSuffix(string(text), "ran "+path+" "+o.body())) {
		o.wrong = fmt.Sprintf("%s %q", resp.Header, text)
	}
	return !resp.Close
}
