package test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/ops/admin"
	"fuchsiapier/lab/backend"
	"fuchsiapier/lab/store"
	"fuchsiapier/platform"
)

// cluster is a deployment on the users' platform: nodes as processes of their own, each with
// a server beside it, and a stand-in for the platform's store. Servers and store run within
// the test process.
type cluster struct {
	t      *testing.T
	store  *store.Store
	vms    []*vm
	nextID atomic.Int64
	// number is that of the cluster in the test run.
	number int64
	// initial is a copy of the store of before the first node started.
	initial store.Copy
	machine machine
}

// machine is the size of the VMs, and what the configuration allows callers to send.
type machine struct {
	// memoryMB and maxFDs are the limits of a process, in MiB and descriptors.
	memoryMB int
	maxFDs   int
	// bodyBytes is the largest body of a request.
	bodyBytes int
}

// defaultMachine is the VM of tests that don't depend on its size.
var defaultMachine = machine{
	memoryMB:  284,
	maxFDs:    4100,
	bodyBytes: 1_000_000,
}

// vm is a server and its node. exited is closed when the node's process has exited.
type vm struct {
	cluster *cluster
	name    string
	ip      string
	domain  string
	service string
	// server is the running server, started all that ran on the VM.
	server  *backend.Backend
	started []*backend.Backend
	// stopServer stops the running server.
	stopServer func()
	node       *exec.Cmd
	// process is the ID of the node's process.
	process atomic.Int64
	exited  chan struct{}
	// settingsFile is the path of the node's settings file.
	settingsFile string
}

// clusterCount is the number of clusters so far in the test run. It gives each cluster
// addresses of its own.
var clusterCount atomic.Int64

// Ports of every VM.
const (
	portOutbound  = 7300
	portInbound   = 7301
	portReadiness = 7302
	portControl   = 7303
	portServer    = 7304
	portMesh      = 7310
	// portMetrics is the second port of port_range.
	portMetrics = portMesh + 1
)

// newCluster starts two failure domains with a front service, which calls a back service,
// and waits until requests at all nodes are served.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	return newClusterOf(t, 1)
}

// newClusterOf starts a cluster as newCluster does, with that many servers of each service in
// each failure domain.
func newClusterOf(t *testing.T, serversPerService int) *cluster {
	t.Helper()
	return newClusterOn(t, serversPerService, defaultMachine)
}

// newClusterOn starts a cluster as newClusterOf does, on VMs of a size.
func newClusterOn(t *testing.T, serversPerService int, m machine) *cluster {
	t.Helper()
	s, stop, err := store.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	c := &cluster{
		t:       t,
		store:   s,
		machine: m,
	}
	c.configure(1, "key-1", "key-2")
	c.number = clusterCount.Add(1)
	c.initial = s.Copy()
	for range 4 * serversPerService {
		c.addVM()
	}
	t.Cleanup(func() {
		for _, v := range c.vms {
			v.kill()
		}
	})
	for _, v := range c.vms {
		c.waitFor("node is ready", v.ready)
		c.waitFor("whole path works", func() bool { return v.requestStatus(http.MethodGet, "/safe/", "key-1") == http.StatusOK })
	}
	return c
}

// addVM starts the next VM with its server and node.
func (c *cluster) addVM() *vm {
	c.t.Helper()
	i := len(c.vms)
	v := &vm{
		cluster: c,
		name:    fmt.Sprintf("vm-%d", i),
		ip:      fmt.Sprintf("127.9.%d.%d", c.number, i+1),
		domain:  []string{"d1", "d2"}[i/2%2],
		service: []string{"front", "back"}[i%2],
	}
	c.vms = append(c.vms, v)
	v.startServer()
	v.startNode()
	return v
}

func (c *cluster) waitFor(what string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("condition not met in time: %s", what)
}

// configure appends a configuration version with the given keys to the platform's store.
func (c *cluster) configure(version int, keys ...string) {
	quoted := ""
	for i, k := range keys {
		if i > 0 {
			quoted += ","
		}
		quoted += `"` + k + `"`
	}
	c.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[
		{"name":"safe","host":"front.example","path_prefix":"/safe/","kind":"idempotent","timeout_ms":3000,"target_latency_ms":500,"priority":1,"service":"front","max_attempts":2},
		{"name":"once","host":"front.example","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":500,"service":"front","max_attempts":2},
		{"name":"inner","host":"back.example","path_prefix":"/inner/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,"service":"back","max_attempts":2,"public":true}],
		"services":[],"limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000},
		"tenants":[{"name":"acme","api_keys":[%s],"rate_per_s":0,"burst":0}]}`, version, c.machine.bodyBytes, quoted))
}

func (v *vm) address(port int) string {
	return fmt.Sprintf("%s:%d", v.ip, port)
}

// largePath is the path of requests with large responses.
const largePath = "/safe/large"

// crashBody is the body of requests that crash each server which runs them.
const crashBody = "crash the server"

func (v *vm) startServer() {
	v.cluster.t.Helper()
	v.startServerAs("i-"+v.name, 0)
}

// startServerAs starts a server with an ID while the time of day of the VM is ahead.
func (v *vm) startServerAs(id string, clockAhead time.Duration) {
	v.cluster.t.Helper()
	c := backend.Config{
		ID:          id,
		ClockAhead:  clockAhead,
		Service:     v.service,
		Control:     v.address(portControl),
		Outbound:    v.address(portOutbound),
		Slots:       16,
		ServiceTime: 5 * time.Millisecond,
		CrashBody:   crashBody,
		LargePath:   largePath,
		LargeBytes:  2 << 20,
		Names: backend.Names{
			Attempt:   platform.HeaderNames.Attempt,
			Signature: platform.HeaderNames.Signature,
			RateLimit: platform.HeaderNames.RateLimit,
			Leaving:   platform.HeaderNames.Leaving,

			ExpectTarget: platform.HeaderNames.ExpectTarget,
		},
	}
	if v.service == "front" {
		c.CallHost, c.CallPath = "back.example", "/inner/x"
	}
	server, stop, err := backend.New(v.address(portServer), c)
	if err != nil {
		v.cluster.t.Fatal(err)
	}
	v.cluster.t.Cleanup(stop)
	v.server, v.stopServer = server, stop
	v.started = append(v.started, server)
}

// defaultRetrySlack is the retry budget of the settings that nodes start with.
const defaultRetrySlack = 47

// settings returns the text of the node's settings file.
func (v *vm) settings(retrySlack int) string {
	return fmt.Sprintf(`
node_name = %q
ip = %q
zone = %q
region = "r"
port_range = [%d, %d]
heartbeat_ms = 200
bounds = ["grace_s=6", "retry_budget_ratio=0.2", "retry_budget_slack=%d", "budget_window_s=10"]
app_addr = %q
service = %q
[zones]
d1 = "r"
d2 = "r"
[listen]
inbound = %q
outbound = %q
readiness_addr = %q
control = %q
[limits]
memory_mb = %d
max_fds = %d
[platform]
address = %q
`, v.name, v.ip, v.domain, portMesh, portMesh+5, retrySlack, v.address(portServer), v.service, v.address(portInbound), v.address(portOutbound), v.address(portReadiness), v.address(portControl),
		v.cluster.machine.memoryMB, v.cluster.machine.maxFDs, v.cluster.store.Address())
}

// writeSettings replaces the node's settings file.
func (v *vm) writeSettings(text string) {
	v.cluster.t.Helper()
	if err := os.WriteFile(v.settingsFile, []byte(text), 0o600); err != nil {
		v.cluster.t.Fatal(err)
	}
}

func (v *vm) startNode() {
	v.cluster.t.Helper()
	v.settingsFile = filepath.Join(v.cluster.t.TempDir(), "boot.toml")
	v.writeSettings(v.settings(defaultRetrySlack))
	v.node = exec.Command(filepath.Join(binDir, "fuchsiapierd"), "serve")
	v.node.Env = append(os.Environ(), platform.SettingsVariable+"="+v.settingsFile)
	v.node.Stderr = os.Stderr
	if err := v.node.Start(); err != nil {
		v.cluster.t.Fatal(err)
	}
	v.process.Store(int64(v.node.Process.Pid))
	exited := make(chan struct{})
	v.exited = exited
	node := v.node
	go func() {
		defer close(exited)
		_ = node.Wait()
	}()
}

func (v *vm) kill() {
	_ = v.node.Process.Kill()
	<-v.exited
}

func (v *vm) ready() bool {
	resp, err := http.Get("http://" + v.address(portReadiness) + platform.PathReady)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// requestStatus sends a request under a new ID to the VM's node, as its server does, and
// returns the status of the response, 0 if there is none.
func (v *vm) requestStatus(method, path, key string) int {
	id := fmt.Sprintf("a%d", v.cluster.nextID.Add(1))
	status, _, _ := v.send(method, path+id, key, id)
	return status
}

// send sends a request to the outbound address of the VM's node. Without a complete response
// the status is 0 and the body holds the error.
func (v *vm) send(method, path, key, id string) (status int, body string, header http.Header) {
	return v.sendBody(method, path, key, id, "load "+id)
}

// sendBody is like send, with a body of the caller's choice.
func (v *vm) sendBody(method, path, key, id, content string) (status int, body string, header http.Header) {
	req, err := http.NewRequest(method, "http://"+v.address(portOutbound)+path, strings.NewReader(content))
	if err != nil {
		v.cluster.t.Fatal(err)
	}
	req.Host = "front.example"
	req.Header.Set(platform.HeaderNames.Attempt, id)
	req.Header.Set(platform.HeaderNames.Deadline, "4000")
	req.Header.Set("Authorization", "Token "+key)
	client := &http.Client{
		Timeout: 10 * time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	return resp.StatusCode, string(data), resp.Header
}

// runs counts the runs of each attempt, by attempt ID, on all servers of a service; only
// paths with a prefix count.
func (c *cluster) runs(service, prefix string) map[string]int {
	out := map[string]int{}
	for _, v := range c.vms {
		if v.service != service {
			continue
		}
		for _, r := range v.server.Runs() {
			if strings.HasPrefix(r.Path, prefix) {
				out[r.Attempt]++
			}
		}
	}
	return out
}

// TestServeEndToEnd guards against a request or response that is changed, lost or run twice
// between caller and server, a caller's key that reaches a server, and a request that runs
// with an unknown key or without a route.
func TestServeEndToEnd(t *testing.T) {
	Convey("A request reaches a server and its response comes back unchanged", t, func() {
		c := newCluster(t)
		status, body, header := c.vms[1].send(http.MethodPost, "/once/p?q=1", "key-2", "whole")
		So(status, ShouldEqual, http.StatusOK)
		So(body, ShouldEndWith, "ran /once/p load whole")
		So(header.Get(platform.HeaderNames.Signature), ShouldEqual, "proof-of-whole")
		So(c.runs("front", "/")["whole"], ShouldEqual, 1)
		So(c.runs("back", "/")["whole.1"], ShouldEqual, 1)
		for _, v := range c.vms {
			for _, r := range v.server.Runs() {
				So(r.Header.Get("Authorization"), ShouldBeEmpty)
				if r.Attempt == "whole" {
					So(r.Header.Get(platform.HeaderNames.Workspace), ShouldEqual, "acme")
					So(r.Header.Get(platform.HeaderNames.Caller), ShouldEqual, "back")
					So(r.Header.Get(platform.HeaderNames.ExpectTarget), ShouldStartWith, "i-vm-")
				}
			}
		}
		So(c.vms[0].requestStatus(http.MethodGet, "/safe/", "forged"), ShouldEqual, http.StatusUnauthorized)
		So(c.vms[0].requestStatus(http.MethodGet, "/none/", "key-1"), ShouldEqual, http.StatusNotFound)
	})
}

// TestServeFleetView guards against a node that shows operators only some of the nodes, or an
// old version in force on other nodes, because their reports don't reach it.
func TestServeFleetView(t *testing.T) {
	Convey("Each node shows operators all nodes, with the version of the configuration in force on each", t, func() {
		c := newCluster(t)
		for _, v := range c.vms {
			c.waitFor("all nodes are shown", func() bool { return v.showsFleet(len(c.vms), 1) })
		}
		c.configure(2, "key-2")
		for _, v := range c.vms {
			c.waitFor("the new version is shown", func() bool { return v.showsFleet(len(c.vms), 2) })
		}
	})
}

// shownFleet returns the fleet as the VM's node shows it to operators, which is empty while it does
// not respond.
func (v *vm) shownFleet() admin.Fleet {
	var f admin.Fleet
	resp, err := http.Get("http://" + v.address(portMetrics) + admin.PathFleet)
	if err != nil {
		return f
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(&f)
	return f
}

// showsFleet reports whether the VM's node shows the given number of nodes, all of them
// taking calls for their targets with the given version in force.
func (v *vm) showsFleet(nodes int, version int64) bool {
	f := v.shownFleet()
	if len(f.Members) != nodes {
		return false
	}
	for _, m := range f.Members {
		if m.Version != version || !m.Open {
			return false
		}
	}
	return f.Node == v.name
}

// configVersion returns the version of the configuration in force on the VM's node.
func (v *vm) configVersion() int64 {
	for _, m := range v.shownFleet().Members {
		if m.Name == v.name {
			return m.Version
		}
	}
	return 0
}

// TestServeWithdrawnKey guards against a withdrawn key that a node accepts again. It comes
// about when the node restarts while the platform's store is unavailable and has to take its
// configuration from a peer.
func TestServeWithdrawnKey(t *testing.T) {
	Convey("A withdrawn key is refused at every node, also at one that starts while the store is unavailable", t, func() {
		c := newCluster(t)
		c.configure(2, "key-2")
		for _, v := range c.vms {
			c.waitFor("key is withdrawn", func() bool { return v.requestStatus(http.MethodGet, "/safe/", "key-1") == http.StatusUnauthorized })
		}
		c.store.SetFault(store.Unavailable)
		c.vms[0].kill()
		c.vms[0].startNode()
		c.waitFor("node has the configuration from a peer", c.vms[0].ready)
		So(c.vms[0].requestStatus(http.MethodGet, "/safe/", "key-1"), ShouldEqual, http.StatusUnauthorized)
		c.waitFor("node serves", func() bool { return c.vms[0].requestStatus(http.MethodGet, "/safe/", "key-2") == http.StatusOK })
	})
}

// TestServeRollingRestart guards against requests that run but get no response, and against
// non-idempotent requests that run twice, when nodes restart one after the other under load.
func TestServeRollingRestart(t *testing.T) {
	Convey("In a rolling restart under load, no request that has run lacks a response, and no non-idempotent request runs twice", t, func() {
		c := newCluster(t)
		var mu sync.Mutex
		var unanswered []string
		stop := make(chan struct{})
		var callers sync.WaitGroup
		for i, v := range c.vms {
			method, path := http.MethodGet, "/safe/"
			if i%2 == 0 {
				method, path = http.MethodPost, "/once/"
			}
			callers.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					if !v.ready() {
						continue
					}
					id := fmt.Sprintf("a%d", c.nextID.Add(1))
					if status, _, _ := v.send(method, path+id, "key-1", id); status == 0 {
						mu.Lock()
						unanswered = append(unanswered, id)
						mu.Unlock()
					}
				}
			})
		}
		for _, v := range c.vms {
			_ = v.node.Process.Signal(syscall.SIGTERM)
			<-v.exited
			v.startNode()
			c.waitFor("node is back", v.ready)
		}
		close(stop)
		callers.Wait()
		ran := c.runs("front", "/")
		for _, id := range unanswered {
			So(ran[id], ShouldEqual, 0)
		}
		for _, n := range c.runs("front", "/once/") {
			So(n, ShouldEqual, 1)
		}
	})
}

// TestServeKilledNodes guards against non-idempotent requests that run twice, and against
// nodes that stop serving, when both nodes of another failure domain are killed under load
// and restarted.
func TestServeKilledNodes(t *testing.T) {
	Convey("When nodes are killed, the others continue to serve, and no non-idempotent request runs twice", t, func() {
		c := newCluster(t)
		stop := make(chan struct{})
		var callers sync.WaitGroup
		for _, v := range c.vms[2:] {
			callers.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
						v.requestStatus(http.MethodPost, "/once/", "key-1")
					}
				}
			})
		}
		c.vms[0].kill()
		c.vms[1].kill()
		for _, v := range c.vms[2:] {
			c.waitFor("others serve", func() bool { return v.requestStatus(http.MethodPost, "/once/", "key-1") == http.StatusOK })
		}
		c.vms[0].startNode()
		c.vms[1].startNode()
		c.waitFor("killed nodes are back", func() bool { return c.vms[0].requestStatus(http.MethodGet, "/safe/", "key-1") == http.StatusOK })
		close(stop)
		callers.Wait()
		for _, n := range c.runs("front", "/once/") {
			So(n, ShouldEqual, 1)
		}
	})
}

// TestServeDrainingServer guards against new requests to a server that has announced that it
// is draining, although another server of its service is ready.
func TestServeDrainingServer(t *testing.T) {
	Convey("A server that announces that it is draining gets no new requests; the other one serves them", t, func() {
		c := newCluster(t)
		c.vms[0].server.Drain()
		c.waitFor("work moves", func() bool {
			before := len(c.vms[0].server.Runs())
			for range 5 {
				if c.vms[1].requestStatus(http.MethodGet, "/safe/", "key-1") != http.StatusOK {
					return false
				}
			}
			return len(c.vms[0].server.Runs()) == before
		})
	})
}

// loadedSettings returns what the VM's node shows operators of its settings file.
func (v *vm) loadedSettings() admin.Settings {
	var out admin.Settings
	resp, err := http.Get("http://" + v.address(portMetrics) + admin.PathSettings)
	if err != nil {
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(&out)
	return out
}

// TestServeSettingsFile guards against a settings file whose change reaches other nodes, is
// not noticed without a signal, is taken over in part although it is faulty or belongs to
// another node, or interrupts requests.
func TestServeSettingsFile(t *testing.T) {
	Convey("A change of one node's file is in force there, without a signal, and nowhere else", t, func() {
		c := newCluster(t)
		shared := c.vms[0].loadedSettings().SharedDigest
		So(shared, ShouldNotBeEmpty)
		c.vms[0].writeSettings(c.vms[0].settings(99))
		c.waitFor("change is in force", func() bool { return c.vms[0].loadedSettings().SharedDigest != shared })
		for _, v := range c.vms[1:] {
			So(v.loadedSettings().SharedDigest, ShouldEqual, shared)
		}
		changed := c.vms[0].loadedSettings().Digest

		c.vms[0].writeSettings(c.vms[1].settings(7))
		c.waitFor("another node's file is refused", func() bool {
			return strings.Contains(c.vms[0].loadedSettings().Rejected, "belongs to another node")
		})
		whole := c.vms[0].settings(7)
		c.vms[0].writeSettings(whole[:len(whole)/2])
		c.waitFor("a file that is cut short is refused", func() bool {
			return strings.Contains(c.vms[0].loadedSettings().Rejected, "boot.toml")
		})
		So(c.vms[0].loadedSettings().Digest, ShouldEqual, changed)
		So(c.vms[0].requestStatus(http.MethodGet, "/safe/", "key-1"), ShouldEqual, http.StatusOK)
		c.vms[0].writeSettings(whole)
		c.waitFor("the whole file is in force", func() bool {
			s := c.vms[0].loadedSettings()
			return s.Rejected == "" && s.Digest != changed
		})
	})
	Convey("Changes in quick succession, with signals, lose no request under load", t, func() {
		c := newCluster(t)
		v := c.vms[0]
		stop := make(chan struct{})
		var wg sync.WaitGroup
		var sent, failed atomic.Int64
		for range 4 {
			wg.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					sent.Add(1)
					if v.requestStatus(http.MethodPost, "/once/", "key-1") != http.StatusOK {
						failed.Add(1)
					}
				}
			})
		}
		for i := range 20 {
			v.writeSettings(v.settings(100 + i))
			_ = v.node.Process.Signal(syscall.SIGHUP)
			time.Sleep(100 * time.Millisecond)
		}
		last := v.loadedSettings().Digest
		v.writeSettings(v.settings(500))
		_ = v.node.Process.Signal(syscall.SIGHUP)
		c.waitFor("the last change is in force", func() bool { return v.loadedSettings().Digest != last })
		close(stop)
		wg.Wait()
		So(sent.Load(), ShouldBeGreaterThan, 20)
		So(failed.Load(), ShouldEqual, 0)
	})
}

// TestServeLeftServerAfterRestart guards against a server that has left and gets requests
// again after a restart of its node, because reports that it sent before arrive late: the
// server of the test goes on reporting that it is ready.
func TestServeLeftServerAfterRestart(t *testing.T) {
	Convey("A server withdrawn before the restart of its node stays out after it", t, func() {
		c := newCluster(t)
		v := c.vms[0]
		v.withdrawServer()
		So(v.staysOutAfterRestart(), ShouldBeTrue)
	})
}

// callControl makes a call as the server with the given ID does to the VM's node, and returns the status of the
// response.
func (v *vm) callControl(method, id, body string) int {
	v.cluster.t.Helper()
	req, err := http.NewRequest(method, "http://"+v.address(portControl)+"/v1/instances/"+id, strings.NewReader(body))
	if err != nil {
		v.cluster.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		v.cluster.t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// withdrawServer withdraws the VM's server, which goes on reporting that it is ready, and waits
// until the withdrawal is stored.
func (v *vm) withdrawServer() {
	v.cluster.t.Helper()
	if status := v.callControl(http.MethodDelete, "i-"+v.name, ""); status != http.StatusOK {
		v.cluster.t.Fatalf("withdrawal was answered %d", status)
	}
	v.waitForStoredWithdrawal()
}

func (v *vm) waitForStoredWithdrawal() {
	v.cluster.t.Helper()
	v.cluster.waitFor("the withdrawal is stored", func() bool {
		return v.cluster.store.Newest(platform.StoreTopics.Nodes, "withdrawn/"+v.name) != nil
	})
}

// staysOutAfterRestart restarts the VM's node and reports whether its server gets none of the
// requests that follow, and all of them are served.
func (v *vm) staysOutAfterRestart() bool {
	v.cluster.t.Helper()
	v.kill()
	v.startNode()
	v.cluster.waitFor("the node is back", v.ready)
	v.cluster.waitFor("the whole path works", func() bool { return v.requestStatus(http.MethodGet, "/safe/", "key-1") == http.StatusOK })
	before := len(v.server.Runs())
	for range 20 {
		if v.requestStatus(http.MethodGet, "/safe/", "key-1") != http.StatusOK {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	return len(v.server.Runs()) == before
}
