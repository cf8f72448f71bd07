package kit2

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of every machine, and of the store.
const (
	portOutbound  = 21548
	portInbound   = 21543
	portReadiness = 21546
	portControl   = 21540
	portServer    = 21547
	portMesh      = 21600
	portStore     = 21545
)

// Machine is a machine with its node and its server.
type Machine struct {
	Name    string
	Zone    string
	Service string
	Server  *Server
	fleet   *Fleet
	ip      string
	file    string
	cmd     *exec.Cmd
	exited  chan struct{}
}

// Plan describes a machine.
type Plan struct {
	Name    string
	Zone    string
	Service string
	Slots   int
}

// Fleet is a small deployment.
type Fleet struct {
	Store    *Store
	Record   *Record
	Machines []*Machine
	dir      string
	root     string
	zones    map[string]string
	next     atomic.Int64
}

// Trouble reports whether the case is to run with its disruption.
func Trouble() bool {
	return os.Getenv("TROUBLE") != "0"
}

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NoRun  = 2
)

// Main runs a case: the arguments are the repository and the case's folder.
func Main(play func(f *Fleet) (broken bool, err error)) {
	code := NoRun
	func() {
		if len(os.Args) != 3 {
			fmt.Println("usage: CASE REPOSITORY FOLDER")
			return
		}
		record, err := NewRecord(filepath.Join(os.Args[2], "record.txt"))
		if err != nil {
			fmt.Println(err)
			return
		}
		defer record.Close()
		dir, err := os.MkdirTemp("", "review-case")
		if err != nil {
			fmt.Println(err)
			return
		}
		defer func() { _ = os.RemoveAll(dir) }()
		f := &Fleet{Record: record, dir: dir, root: os.Args[1], zones: map[string]string{}}
		defer f.stop()
		broken, err := play(f)
		switch {
		case err != nil:
			record.Note("could not run: %v", err)
		case broken:
			record.Note("the rule was broken")
			code = Broken
		default:
			record.Note("the rule held")
			code = Held
		}
	}()
	os.Exit(code)
}

// freeNet returns the first three bytes of a loopback network on which the ports are free.
func freeNet() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d.", 30+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s250:%d", prefix, portStore))
		if err == nil {
			_ = l.Close()
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// Start starts the store, the servers and the nodes with a first desired state, and waits until
// all nodes are ready.
func (f *Fleet) Start(config string, plans []Plan) error {
	prefix, err := freeNet()
	if err != nil {
		return err
	}
	if f.Store, err = NewStore(fmt.Sprintf("%s250:%d", prefix, portStore)); err != nil {
		return err
	}
	f.Store.Put("keyed.op", "config", []byte(config))
	for _, p := range plans {
		region, _, _ := strings.Cut(p.Zone, "-")
		f.zones[p.Zone] = region
	}
	for i, p := range plans {
		m := &Machine{
			Name:    p.Name,
			Zone:    p.Zone,
			Service: p.Service,
			fleet:   f,
			ip:      fmt.Sprintf("%s%d", prefix, i+1),
			file:    filepath.Join(f.dir, p.Name+".toml"),
		}
		m.Server, err = NewServer("i-"+p.Name, p.Service, m.address(portServer), m.address(portControl), p.Slots, 1500*time.Millisecond, f.Record)
		if err != nil {
			return err
		}
		f.Machines = append(f.Machines, m)
	}
	for _, m := range f.Machines {
		if err := m.StartNode(); err != nil {
			return err
		}
	}
	return f.Wait("all nodes are ready", 20*time.Second, func() bool {
		for _, m := range f.Machines {
			if !m.Ready() {
				return false
			}
		}
		return true
	})
}

// Wait waits for a condition.
func (f *Fleet) Wait(what string, limit time.Duration, condition func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return errors.New("not in time: " + what)
}

// stop ends all that was started.
func (f *Fleet) stop() {
	for _, m := range f.Machines {
		m.Kill()
		m.Server.Stop()
	}
}

// Machine returns the machine of a name.
func (f *Fleet) Machine(name string) *Machine {
	for _, m := range f.Machines {
		if m.Name == name {
			return m
		}
	}
	panic("no machine " + name)
}

// NextID returns a new attempt ID.
func (f *Fleet) NextID() string {
	return fmt.Sprintf("a%07d", f.next.Add(1))
}

func (m *Machine) address(port int) string {
	return fmt.Sprintf("%s:%d", m.ip, port)
}

// settings returns the settings file (DEPLOY.md, "Settings of a process").
func (m *Machine) settings() string {
	out := fmt.Sprintf(`node_name = %q
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
bounds = ["seed_lag_s=3","reuse_after_s=2","stability_window_ms=4000","ack_ms=4000","catch_up_s=4","drain_ms=2500","grace_s=6","loss_slack_ms=200","config_apply_ms=2500","rollback_slack_ms=250","max_skew_ms=5000","strict_revoke=false","revoke_ms=5000","retry_budget_ratio=0.2","budget_window_s=10","retry_budget_slack=47","quota_window_s=5","quota_tolerance=0.1","quota_slack=20","recovery_s=15"]
app_addr = %q
service = %q
[zones]
`, m.Name, m.ip, m.Zone, m.fleet.zones[m.Zone], portMesh, portMesh+15, m.address(portServer), m.Service)
	for zone, region := range m.fleet.zones {
		out += fmt.Sprintf("%s = %q\n", zone, region)
	}
	return out + fmt.Sprintf(`[listen]
inbound = %q
outbound = %q
readiness_addr = %q
control = %q
[limits]
cpu_share = 0.64
cores = 1
memory_mb = 284
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
`, m.address(portInbound), m.address(portOutbound), m.address(portReadiness), m.address(portControl), m.fleet.Store.Address)
}

// StartNode starts the node with the command of the deploy file.
func (m *Machine) StartNode() error {
	if err := os.WriteFile(m.file, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.cmd = exec.Command("target/fuchsiapierd", "serve")
	m.cmd.Dir = m.fleet.root
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FUCHSIAPIER_SETTINGS=" + m.file}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	if err := m.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.exited = exited
	cmd := m.cmd
	go func() {
		defer close(exited)
		_ = cmd.Wait()
		_ = log.Close()
	}()
	return nil
}

// Signal sends the node a signal.
func (m *Machine) Signal(s syscall.Signal) {
	m.fleet.Record.Note("%s gets %v", m.Name, s)
	_ = m.cmd.Process.Signal(s)
}

// Exited returns a channel that is closed when the node's process has ended.
func (m *Machine) Exited() <-chan struct{} {
	return m.exited
}

// Kill ends the node at once.
func (m *Machine) Kill() {
	if m.cmd == nil || m.cmd.Process == nil {
		return
	}
	_ = m.cmd.Process.Kill()
	<-m.exited
}

// Restart stops the node as the platform does: SIGTERM, SIGKILL after grace_s, a new start soon
// after the end.
func (m *Machine) Restart() error {
	m.Signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(6 * time.Second):
		m.fleet.Record.Note("%s gets killed: grace_s is over", m.Name)
		m.Kill()
	}
	m.fleet.Record.Note("%s has ended", m.Name)
	time.Sleep(300 * time.Millisecond)
	err := m.StartNode()
	m.fleet.Record.Note("%s starts again", m.Name)
	return err
}

// Ready asks the node's readiness as the platform does.
func (m *Machine) Ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.address(portReadiness) + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// PID returns the ID of the node's process.
func (m *Machine) PID() int {
	return m.cmd.Process.Pid
}

// Out is the address at which the node takes requests of clients.
func (m *Machine) Out() string {
	return m.address(portOutbound)
}

// Spec describes a request of a client.
type Spec struct {
	Method string
	Host   string
	Path   string
	Key    string
	Budget time.Duration
	Body   string
}

// Head returns the bytes of a request.
func (s Spec) Head(id string) string {
	out := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Fuchsiapier-Attempt-Id: %s\r\nX-Fuchsiapier-Deadline-Ms: %d\r\n", s.Method, s.Path, s.Host, id, s.Budget.Milliseconds())
	if s.Key != "" {
		out += "Authorization: Token " + s.Key + "\r\n"
	}
	if s.Body != "" || s.Method == "POST" {
		out += fmt.Sprintf("Content-Length: %d\r\n", len(s.Body))
	}
	return out + "\r\n" + s.Body
}

// Client sends requests to one machine's node, one at a time, over kept connections. It is not
// safe for concurrent use.
type Client struct {
	Machine *Machine
	conn    net.Conn
	reader  *bufio.Reader
}

// Do sends a request and returns its status, 0 without a whole answer.
func (c *Client) Do(s Spec) (status int, id string) {
	f := c.Machine.fleet
	id = f.NextID()
	f.Record.Sent(id, c.Machine.Name, s.Method+" "+s.Path)
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.Machine.Out(), time.Second)
		if err != nil {
			f.Record.Answered(id, 0, "no connection: "+err.Error())
			return 0, id
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(s.Budget))
	if _, err := io.WriteString(c.conn, s.Head(id)); err != nil {
		c.Close()
		f.Record.Answered(id, 0, "closed: "+err.Error())
		return 0, id
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: s.Method})
	if err != nil {
		c.Close()
		f.Record.Answered(id, 0, "no answer: "+err.Error())
		return 0, id
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.Close()
		f.Record.Answered(id, 0, "cut answer: "+err.Error())
		return 0, id
	}
	if resp.Close {
		c.Close()
	}
	f.Record.Answered(id, resp.StatusCode, strings.TrimSpace(string(body)))
	return resp.StatusCode, id
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Parallel calls f for each number below n at the same time and waits.
func Parallel(n int, f func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(i)
		}()
	}
	wg.Wait()
}
