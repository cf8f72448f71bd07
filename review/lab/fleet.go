// Package lab holds the stand-ins of the review's scripts: the platform's store, application
// servers and their clients, and nodes as separate processes on loopback addresses.
package lab

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine.
const (
	portOutbound  = 8548
	portInbound   = 8543
	portReadiness = 8546
	portControl   = 8540
	portServer    = 8547
	portMesh      = 7000
)

// Bounds of the deployment, as in the users' page DEPLOY.md.
const (
	StabilityWindow = 4 * time.Second
	DrainTime       = 2500 * time.Millisecond
	bounds          = `["seed_lag_s=3","reuse_after_s=2","stability_window_ms=4000","ack_ms=4000","catch_up_s=4","drain_ms=2500","grace_s=6","loss_slack_ms=200","config_apply_ms=2500","rollback_slack_ms=250","max_skew_ms=5000","strict_revoke=false","revoke_ms=5000","retry_budget_ratio=0.2","budget_window_s=10","retry_budget_slack=47","quota_window_s=5","quota_tolerance=0.1","quota_slack=20","recovery_s=15"]`
	// memoryMB is the memory of a machine, in MB.
	memoryMB = 284
	// restartDelay is how long after its end a process is started again.
	restartDelay = 500 * time.Millisecond
)

// Fleet is a small deployment.
type Fleet struct {
	Store *Store
	VMs   []*VM
	// Trouble says that the disruption takes place.
	Trouble bool
	// CrashBody is the body of requests that crash each server which begins to run one, "" if
	// there are none; the server is back after CrashTime.
	CrashBody string
	CrashTime time.Duration

	start   time.Time
	root    string
	temp    string
	prefix  string
	storeAt string
	record  *bufio.Writer
	file    *os.File
	closers []func()

	mu      sync.Mutex
	servers []*Server
	answers []*Answer
	next    int
}

// VM is a machine with an application server and a node.
type VM struct {
	fleet   *Fleet
	Name    string
	Zone    string
	Service string
	Server  *Server
	// Later says that the server of the machine does not start with the others.
	Later bool
	// StoreAt is the store's address in the settings of the machine, if it has one of its own.
	StoreAt string
	ip      string

	mu sync.Mutex
	// out says that two readiness checks in a row were missed, so that clients send no new work.
	out     bool
	closed  bool
	node    *exec.Cmd
	exited  chan struct{}
	started time.Time
}

// New starts the store of a deployment. The case's folder is the working directory of the
// script; the repository's root is two levels above it.
func New() (*Fleet, error) {
	folder, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Trouble: os.Getenv("TROUBLE") != "0",
		start:   time.Now(),
		root:    filepath.Join(folder, "..", ".."),
		temp:    temp,
		file:    file,
		record:  bufio.NewWriter(file),
	}
	for range 50 {
		f.prefix = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		l, err := net.Listen("tcp", f.ip(1)+":"+fmt.Sprint(portControl))
		if err != nil {
			continue
		}
		_ = l.Close()
		break
	}
	f.Store, err = NewStore(f.ip(250) + ":0")
	if err != nil {
		return nil, err
	}
	f.storeAt = f.Store.Address()
	f.Logf("start, trouble=%v", f.Trouble)
	return f, nil
}

func (f *Fleet) ip(i int) string { return fmt.Sprintf("%s.%d", f.prefix, i) }

// RemoteStore puts a network path with a delay, one way, between the nodes and the store.
func (f *Fleet) RemoteStore(delay time.Duration) error {
	link, err := NewLink(f.ip(251)+":0", f.Store.Address(), delay)
	if err != nil {
		return err
	}
	f.closers = append(f.closers, link.Close)
	f.storeAt = link.Address()
	return nil
}

// OwnStoreAddresses gives each machine an address of its own for the store, so that the store can
// turn some of them away.
func (f *Fleet) OwnStoreAddresses() error {
	for _, v := range f.VMs {
		at, err := f.Store.Listen(f.ip(250) + ":0")
		if err != nil {
			return err
		}
		v.StoreAt = at
	}
	return nil
}

// Record writes a line to record.txt.
func (f *Fleet) Record(kind, format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.record == nil {
		return
	}
	_, _ = fmt.Fprintf(f.record, "%9.3f %-8s %s\n", time.Since(f.start).Seconds(), kind, fmt.Sprintf(format, args...))
}

// Logf writes an event to record.txt and to standard output.
func (f *Fleet) Logf(format string, args ...any) {
	f.Record("event", format, args...)
	fmt.Printf("%9.3f %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(format, args...))
}

// AddVM adds a machine; its node starts with StartNode.
func (f *Fleet) AddVM(name, zone, service string) *VM {
	v := &VM{fleet: f, Name: name, Zone: zone, Service: service, ip: f.ip(len(f.VMs) + 1)}
	f.VMs = append(f.VMs, v)
	return v
}

// Addr returns an address of the machine.
func (v *VM) Addr(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

// ControlAddr returns the address to which servers report.
func (v *VM) ControlAddr() string { return v.Addr(portControl) }

// ServerAddr returns the address of the machine's server.
func (v *VM) ServerAddr() string { return v.Addr(portServer) }

func (v *VM) settings() string {
	storeAt := v.fleet.storeAt
	if v.StoreAt != "" {
		storeAt = v.StoreAt
	}
	zones := ""
	seen := map[string]bool{}
	for _, o := range v.fleet.VMs {
		if !seen[o.Zone] {
			seen[o.Zone] = true
			zones += fmt.Sprintf("%s = %q\n", o.Zone, region(o.Zone))
		}
	}
	return fmt.Sprintf(`node_name = %q
role = "node"
machine_class = "sidecar"
serves = ["sidecar"]
ip = %q
zone = %q
region = %q
port_range = [%d,%d]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "static"
entry = "static"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","retry","recover","pressure","tenants","quota","platform"]
bounds = %s
app_addr = %q
service = %q
[zones]
%s[listen]
inbound = %q
outbound = %q
readiness_addr = %q
control = %q
[limits]
cpu_share = 0.64
cores = 1
memory_mb = %d
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[platform]
address = %q
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 12
append_ms = 2.0
part_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
min_ttl_ms = 1000
`, v.Name, v.ip, v.Zone, region(v.Zone), portMesh, portMesh+15, bounds, v.Addr(portServer), v.Service, zones,
		v.Addr(portInbound), v.Addr(portOutbound), v.Addr(portReadiness), v.Addr(portControl), memoryMB, storeAt)
}

func region(zone string) string {
	r, _, _ := strings.Cut(zone, "-")
	return r
}

// StartNode starts the node of the machine as the deploy file says.
func (v *VM) StartNode() error {
	path := filepath.Join(v.fleet.temp, v.Name+".toml")
	if err := os.WriteFile(path, []byte(v.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(v.fleet.temp, v.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/fuchsiapierd", "serve")
	cmd.Dir = v.fleet.root
	cmd.Path = filepath.Join(v.fleet.root, "target/fuchsiapierd")
	cmd.Env = append(os.Environ(), "FUCHSIAPIER_SETTINGS="+path)
	cmd.Stdout, cmd.Stderr = out, out
	v.mu.Lock()
	if v.closed {
		v.mu.Unlock()
		return nil
	}
	if err := cmd.Start(); err != nil {
		v.mu.Unlock()
		return err
	}
	exited := make(chan struct{})
	v.node, v.exited, v.started = cmd, exited, time.Now()
	v.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	v.fleet.Logf("node %s starts", v.Name)
	return nil
}

// Signal sends a signal to the node.
func (v *VM) Signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.node.Process.Signal(s)
}

// Kill ends the node at once and waits for its end.
func (v *VM) Kill() {
	v.Signal(syscall.SIGKILL)
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	<-exited
	v.fleet.Logf("node %s is killed", v.Name)
}

// Exited returns a channel that is closed when the node's process has ended.
func (v *VM) Exited() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.exited
}

// Restart starts the node again after the platform's delay.
func (v *VM) Restart() error {
	time.Sleep(restartDelay)
	return v.StartNode()
}

// Ready reports whether the node answers its readiness check with status 200.
func (v *VM) Ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + v.Addr(portReadiness) + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// watch asks the node once a second whether it is ready, as the platform does.
func (v *VM) watch() {
	for misses := 0; ; time.Sleep(time.Second) {
		misses++
		if v.Ready() {
			misses = 0
		}
		v.mu.Lock()
		v.out = misses >= 2
		v.mu.Unlock()
	}
}

// Out reports whether clients send the machine no new work.
func (v *VM) Out() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.out
}

// StartAll starts all nodes and a server on each machine, and waits until all are ready.
func (f *Fleet) StartAll(work time.Duration) error {
	for _, v := range f.VMs {
		if err := v.StartNode(); err != nil {
			return err
		}
		if !v.Later {
			if _, err := v.StartServer("i-"+v.Name, time.Now().UnixMilli(), work); err != nil {
				return err
			}
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, v := range f.VMs {
		for !v.Ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s is not ready in time", v.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for _, v := range f.VMs {
		go v.watch()
	}
	time.Sleep(3 * time.Second)
	f.Logf("all nodes are ready")
	return nil
}

// Close ends all processes of the deployment.
func (f *Fleet) Close() {
	for _, v := range f.VMs {
		v.mu.Lock()
		node, exited := v.node, v.exited
		v.closed = true
		v.mu.Unlock()
		if node == nil {
			continue
		}
		_ = node.Process.Signal(syscall.SIGCONT)
		_ = node.Process.Kill()
		<-exited
	}
	for _, c := range f.closers {
		c()
	}
	f.Store.Close()
	f.mu.Lock()
	_ = f.record.Flush()
	_ = f.file.Close()
	f.record = nil
	f.mu.Unlock()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.temp)
	} else {
		fmt.Println("logs:", f.temp)
	}
}

// Main runs a case: it exits with 1 if the rule was broken, 0 if it held and 2 if the case
// could not run.
func Main(play func(f *Fleet) (broken bool, err error)) {
	f, err := New()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		f.Logf("the case could not run to its end")
		f.Close()
		os.Exit(2)
	}()
	broken, err := play(f)
	switch {
	case err != nil:
		f.Logf("the case could not run: %v", err)
	case broken:
		f.Logf("verdict: the rule is broken")
	default:
		f.Logf("verdict: the rule held")
	}
	f.Close()
	switch {
	case err != nil:
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
	os.Exit(0)
}
