package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of headers.
const (
	headerAttempt   = "X-Fuchsiapier-Attempt-Id"
	headerDeadline  = "X-Fuchsiapier-Deadline-Ms"
	headerSignature = "X-Fuchsiapier-Response-Signature"
	headerTarget    = "X-Fuchsiapier-Target-Instance"
	headerTenant    = "X-Fuchsiapier-Tenant"
	headerCaller    = "X-Fuchsiapier-Caller-Service"
	headerInstance  = "X-Fuchsiapier-Instance-Id"
)

// machine is a machine with a server and a node.
type machine struct {
	rig      *rig
	name     string
	ip       string
	zone     string
	zones    []string
	service  string
	settings string
	server   *server

	mu     sync.Mutex
	node   *exec.Cmd
	exited chan struct{}
}

func (m *machine) address(port int) string {
	return fmt.Sprintf("%s:%d", m.ip, port)
}

// settingsText returns the node's settings file.
func (m *machine) settingsText() string {
	var zones []string
	for _, z := range m.zones {
		zones = append(zones, fmt.Sprintf("%s = \"coast\"", z))
	}
	return fmt.Sprintf(`node_name = %q
role = "node"
machine_class = "sidecar"
serves = ["sidecar"]
ip = %q
zone = %q
region = "coast"
port_range = [%d,%d]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "static"
entry = "static"
heartbeat_ms = %d
contracts = ["base","drain","config","cost","retry","recover","pressure","tenants","quota","platform"]
bounds = ["seed_lag_s=3","reuse_after_s=2","stability_window_ms=4000","ack_ms=4000","catch_up_s=4","drain_ms=2500","grace_s=6","loss_slack_ms=200","config_apply_ms=2500","rollback_slack_ms=250","max_skew_ms=5000","strict_revoke=false","revoke_ms=5000","retry_budget_ratio=0.2","budget_window_s=10","retry_budget_slack=47","quota_window_s=5","quota_tolerance=0.1","quota_slack=20","recovery_s=15"]
app_addr = %q
service = %q
[zones]
%s
[listen]
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
`, m.name, m.ip, m.zone, portFirst, portLast, heartbeat.Milliseconds(), m.address(portApp), m.service, strings.Join(zones, "\n"),
		m.address(portInbound), m.address(portOutbound), m.address(portReadiness), m.address(portControl), m.rig.store.Address())
}

// startNode starts the node's process with the command of the deploy file.
func (m *machine) startNode() error {
	if err := os.WriteFile(m.settings, []byte(m.settingsText()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(m.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	node := exec.Command(m.rig.binary, "serve")
	node.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FUCHSIAPIER_SETTINGS=" + m.settings}
	node.Stdout, node.Stderr = log, log
	node.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := node.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		_ = node.Wait()
	}()
	m.mu.Lock()
	m.node, m.exited = node, exited
	m.mu.Unlock()
	m.rig.note("%s: node started", m.name)
	return nil
}

// kill kills the node and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	node, exited := m.node, m.exited
	m.node = nil
	m.mu.Unlock()
	if node == nil {
		return
	}
	_ = node.Process.Kill()
	<-exited
	m.rig.note("%s: node killed", m.name)
}

func (m *machine) get(port int, path string) (int, []byte) {
	client := http.Client{
		Timeout: time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	resp, err := client.Get("http://" + m.address(port) + path)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, data
}

// ready asks the node whether it is ready.
func (m *machine) ready() bool {
	status, _ := m.get(portReadiness, "/v1/readiness")
	return status == http.StatusOK
}

// fleetPath is the path below the metrics address at which a node shows operators the fleet.
const fleetPath = "/fuchsiapier/fleet"

// knows reports whether the node shows that many nodes whose targets are open.
func (m *machine) knows(n int) bool {
	_, data := m.get(portFirst+1, fleetPath)
	var fleet struct {
		Members []struct {
			Open bool `json:"open"`
		} `json:"members"`
	}
	if json.Unmarshal(data, &fleet) != nil {
		return false
	}
	open := 0
	for _, x := range fleet.Members {
		if x.Open {
			open++
		}
	}
	return open >= n
}
