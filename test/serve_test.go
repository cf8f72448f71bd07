package test

import (
	"bytes"
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

// site is a deployment on the users' platform: real nodes, each with a server
// beside it, and the stand-in of the store.
type site struct {
	t     *testing.T
	store *store.Store
	vms   []*vm
	next  atomic.Int64
}

type vm struct {
	site    *site
	name    string
	ip      string
	domain  string
	service string
	server  *backend.Backend
	node    *exec.Cmd
	exited  chan struct{}
}

// sites numbers the sites of a run, so that each has addresses of its own.
var sites atomic.Int64

// Ports of every VM.
const (
	portOutbound = 7300
	portInbound  = 7301
	portReady    = 7302
	portControl  = 7303
	portServer   = 7304
	portMesh     = 7310
	// portMetrics is the second of the range.
	portMetrics = portMesh + 1
)

// newSite starts two domains with a front service, which calls a back one.
func newSite(t *testing.T) *site {
	t.Helper()
	s, stop, err := store.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	w := &site{
		t:     t,
		store: s,
	}
	w.configure(1, "key-1", "key-2")
	number := sites.Add(1)
	for i, place := range []struct{ domain, service string }{{"d1", "front"}, {"d1", "back"}, {"d2", "front"}, {"d2", "back"}} {
		v := &vm{
			site:    w,
			name:    fmt.Sprintf("vm-%d", i),
			ip:      fmt.Sprintf("127.9.%d.%d", number, i+1),
			domain:  place.domain,
			service: place.service,
		}
		w.vms = append(w.vms, v)
		v.startServer()
		v.startNode()
	}
	t.Cleanup(func() {
		for _, v := range w.vms {
			v.kill()
		}
	})
	for _, v := range w.vms {
		w.until("node is ready", v.ready)
		w.until("whole path works", func() bool { return v.ask(http.MethodGet, "/safe/", "key-1") == http.StatusOK })
	}
	return w
}

func (w *site) until(what string, f func() bool) {
	w.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f() {
			return
		}
	}
	w.t.Fatalf("waited in vain: %s", what)
}

// configure writes a configuration with the given keys.
func (w *site) configure(version int, keys ...string) {
	quoted := ""
	for i, k := range keys {
		if i > 0 {
			quoted += ","
		}
		quoted += `"` + k + `"`
	}
	w.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[
		{"name":"safe","host":"front.example","path_prefix":"/safe/","kind":"idempotent","timeout_ms":3000,"target_latency_ms":500,"priority":1,"service":"front","max_attempts":2},
		{"name":"once","host":"front.example","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":500,"service":"front","max_attempts":2},
		{"name":"inner","host":"back.example","path_prefix":"/inner/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,"service":"back","max_attempts":2,"public":true}],
		"services":[],"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,"idle_timeout_ms":15000},
		"tenants":[{"name":"acme","api_keys":[%s],"rate_per_s":0,"burst":0}]}`, version, quoted))
}

func (v *vm) at(port int) string {
	return fmt.Sprintf("%s:%d", v.ip, port)
}

func (v *vm) startServer() {
	v.site.t.Helper()
	c := backend.Config{
		ID:          "i-" + v.name,
		Service:     v.service,
		Control:     v.at(portControl),
		Outbound:    v.at(portOutbound),
		Slots:       16,
		ServiceTime: 5 * time.Millisecond,
		Names: backend.Names{
			Attempt:   platform.HeaderNames.Attempt,
			Signature: platform.HeaderNames.Signature,
		},
	}
	if v.service == "front" {
		c.CallHost, c.CallPath = "back.example", "/inner/x"
	}
	server, stop, err := backend.New(v.at(portServer), c)
	if err != nil {
		v.site.t.Fatal(err)
	}
	v.site.t.Cleanup(stop)
	v.server = server
}

func (v *vm) startNode() {
	v.site.t.Helper()
	text := fmt.Sprintf(`
node_name = %q
ip = %q
zone = %q
region = "r"
port_range = [%d, %d]
heartbeat_ms = 200
bounds = ["grace_s=6", "retry_budget_ratio=0.2", "retry_budget_slack=47", "budget_window_s=10"]
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
memory_mb = 284
[platform]
address = %q
`, v.name, v.ip, v.domain, portMesh, portMesh+5, v.at(portServer), v.service, v.at(portInbound), v.at(portOutbound), v.at(portReady), v.at(portControl), v.site.store.Address())
	file := filepath.Join(v.site.t.TempDir(), "boot.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		v.site.t.Fatal(err)
	}
	v.node = exec.Command(filepath.Join(binaries, "fuchsiapierd"), "serve")
	v.node.Env = append(os.Environ(), platform.SettingsVariable+"="+file)
	v.node.Stderr = os.Stderr
	if err := v.node.Start(); err != nil {
		v.site.t.Fatal(err)
	}
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
	resp, err := http.Get("http://" + v.at(portReady) + platform.PathReady)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ask sends a request with an ID of its own and returns its status, 0 for a
// connection that ended without an answer.
func (v *vm) ask(method, path, key string) int {
	id := fmt.Sprintf("a%d", v.site.next.Add(1))
	status, _, _ := v.send(method, path+id, key, id)
	return status
}

func (v *vm) send(method, path, key, id string) (status int, body string, header http.Header) {
	req, err := http.NewRequest(method, "http://"+v.at(portOutbound)+path, bytes.NewReader([]byte("load "+id)))
	if err != nil {
		v.site.t.Fatal(err)
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

// runs counts the runs of each attempt at all servers of a service whose paths
// begin with a prefix.
func (w *site) runs(service, prefix string) map[string]int {
	out := map[string]int{}
	for _, v := range w.vms {
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

func TestServeWholePath(t *testing.T) {
	Convey("A request reaches a server and its answer comes back unchanged", t, func() {
		w := newSite(t)
		status, body, header := w.vms[1].send(http.MethodPost, "/once/p?q=1", "key-2", "whole")
		So(status, ShouldEqual, http.StatusOK)
		So(body, ShouldEndWith, "ran /once/p load whole")
		So(header.Get(platform.HeaderNames.Signature), ShouldEqual, "proof-of-whole")
		So(w.runs("front", "/")["whole"], ShouldEqual, 1)
		So(w.runs("back", "/")["whole.1"], ShouldEqual, 1)
		for _, v := range w.vms {
			for _, r := range v.server.Runs() {
				So(r.Header.Get("Authorization"), ShouldBeEmpty)
				if r.Attempt == "whole" {
					So(r.Header.Get(platform.HeaderNames.Workspace), ShouldEqual, "acme")
					So(r.Header.Get(platform.HeaderNames.Caller), ShouldEqual, "back")
					So(r.Header.Get(platform.HeaderNames.ExpectTarget), ShouldStartWith, "i-vm-")
				}
			}
		}
		So(w.vms[0].ask(http.MethodGet, "/safe/", "forged"), ShouldEqual, http.StatusUnauthorized)
		So(w.vms[0].ask(http.MethodGet, "/none/", "key-1"), ShouldEqual, http.StatusNotFound)
	})
}

func TestServeShowsTheFleet(t *testing.T) {
	Convey("Each node shows operators all nodes, with the configuration in force on them", t, func() {
		w := newSite(t)
		for _, v := range w.vms {
			w.until("all nodes are shown", func() bool { return v.shows(len(w.vms), 1) })
		}
		w.configure(2, "key-2")
		for _, v := range w.vms {
			w.until("the new version is shown", func() bool { return v.shows(len(w.vms), 2) })
		}
	})
}

// shows reports whether a node shows so many nodes, all with a version in force.
func (v *vm) shows(nodes int, version int64) bool {
	resp, err := http.Get("http://" + v.at(portMetrics) + admin.PathFleet)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var f admin.Fleet
	if err := json.NewDecoder(resp.Body).Decode(&f); err != nil || len(f.Members) != nodes {
		return false
	}
	for _, m := range f.Members {
		if m.Version != version || !m.Open {
			return false
		}
	}
	return f.Node == v.name
}

func TestServeWithdrawnKey(t *testing.T) {
	Convey("A withdrawn key ends at every node, also at one that starts while the store is away", t, func() {
		w := newSite(t)
		w.configure(2, "key-2")
		for _, v := range w.vms {
			w.until("key is withdrawn", func() bool { return v.ask(http.MethodGet, "/safe/", "key-1") == http.StatusUnauthorized })
		}
		w.store.SetFault(store.Unavailable)
		w.vms[0].kill()
		w.vms[0].startNode()
		w.until("node has the configuration from a peer", w.vms[0].ready)
		So(w.vms[0].ask(http.MethodGet, "/safe/", "key-1"), ShouldEqual, http.StatusUnauthorized)
		w.until("node serves", func() bool { return w.vms[0].ask(http.MethodGet, "/safe/", "key-2") == http.StatusOK })
	})
}

func TestServeRestartsLoseNothing(t *testing.T) {
	Convey("Restarts in turn under load: no request is cut, and none that may run once only runs twice", t, func() {
		w := newSite(t)
		var mu sync.Mutex
		var unanswered []string
		stop := make(chan struct{})
		var callers sync.WaitGroup
		for i, v := range w.vms {
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
					id := fmt.Sprintf("a%d", w.next.Add(1))
					if status, _, _ := v.send(method, path+id, "key-1", id); status == 0 {
						mu.Lock()
						unanswered = append(unanswered, id)
						mu.Unlock()
					}
				}
			})
		}
		for _, v := range w.vms {
			_ = v.node.Process.Signal(syscall.SIGTERM)
			<-v.exited
			v.startNode()
			w.until("node is back", v.ready)
		}
		close(stop)
		callers.Wait()
		ran := w.runs("front", "/")
		for _, id := range unanswered {
			So(ran[id], ShouldEqual, 0)
		}
		for _, n := range w.runs("front", "/once/") {
			So(n, ShouldEqual, 1)
		}
	})
}

func TestServeKilledNodes(t *testing.T) {
	Convey("Killed nodes: the others serve on, and nothing runs twice that may not", t, func() {
		w := newSite(t)
		stop := make(chan struct{})
		var callers sync.WaitGroup
		for _, v := range w.vms[2:] {
			callers.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
						v.ask(http.MethodPost, "/once/", "key-1")
					}
				}
			})
		}
		w.vms[0].kill()
		w.vms[1].kill()
		for _, v := range w.vms[2:] {
			w.until("others serve", func() bool { return v.ask(http.MethodPost, "/once/", "key-1") == http.StatusOK })
		}
		w.vms[0].startNode()
		w.vms[1].startNode()
		w.until("killed nodes are back", func() bool { return w.vms[0].ask(http.MethodGet, "/safe/", "key-1") == http.StatusOK })
		close(stop)
		callers.Wait()
		for _, n := range w.runs("front", "/once/") {
			So(n, ShouldEqual, 1)
		}
	})
}

func TestServeLeavingServer(t *testing.T) {
	Convey("A server that says it is leaving gets no new work; the other one serves", t, func() {
		w := newSite(t)
		w.vms[0].server.Drain()
		w.until("work moves", func() bool {
			before := len(w.vms[0].server.Runs())
			for range 5 {
				if w.vms[1].ask(http.MethodGet, "/safe/", "key-1") != http.StatusOK {
					return false
				}
			}
			return len(w.vms[0].server.Runs()) == before
		})
	})
}
