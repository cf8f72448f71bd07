package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiapier/lab/store"
)

// Ports of each machine. Each machine has a loopback address of its own.
const (
	portOutbound  = 8548
	portInbound   = 8543
	portReadiness = 8546
	portControl   = 8540
	portApp       = 8547
	portFirst     = 7000
	portLast      = 7015
)

// Bounds of the settings, as the users' sheets name them.
const (
	heartbeat       = 1500 * time.Millisecond
	drainTime       = 2500 * time.Millisecond
	stabilityWindow = 4 * time.Second
	// restartDelay is the delay after which the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
)

// rig is a small deployment: a store, machines with a server and a node each, and a record of what happened.
type rig struct {
	binary   string
	dir      string
	trouble  bool
	began    time.Time
	record   *os.File
	recordMu sync.Mutex
	store    *store.Store
	stop     func()
	machines []*machine
	// subnet is the part of the loopback addresses that the machines of this rig have.
	subnet string
	nextID atomic.Int64
	closed sync.Once
}

func newRig(binary, record string, trouble bool) (*rig, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	s, stop, err := store.New()
	if err != nil {
		return nil, err
	}
	r := &rig{
		binary:  binary,
		dir:     dir,
		trouble: trouble,
		began:   time.Now(),
		record:  file,
		store:   s,
		stop:    stop,
	}
	for i := range 200 {
		subnet := fmt.Sprintf("127.%d.%d", 16+os.Getpid()%100, (os.Getpid()/100+i)%250)
		if isFree(subnet) {
			r.subnet = subnet
			r.note("trouble %v, machines at %s.1 and following", trouble, subnet)
			return r, nil
		}
	}
	return nil, errors.New("no free loopback addresses")
}

// isFree reports whether the ports of the first machines of a subnet are free.
func isFree(subnet string) bool {
	for i := 1; i <= 8; i++ {
		for _, port := range []int{portOutbound, portInbound, portReadiness, portControl, portApp, portFirst, portFirst + 1} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", subnet, i, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.recordMu.Lock()
	defer r.recordMu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and stand-ins.
func (r *rig) close() {
	r.closed.Do(func() {
		for _, m := range r.machines {
			m.kill()
			m.server.stop()
		}
		r.stop()
		r.recordMu.Lock()
		defer r.recordMu.Unlock()
		_ = r.record.Close()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(r.dir)
		}
	})
}

// route is a route of the desired state.
type route struct {
	name    string
	service string
	kind    string
	timeout time.Duration
	public  bool
}

// tenant is a tenant of the desired state; its key is "key-" and its name.
type tenant struct {
	name  string
	rate  float64
	burst float64
}

// maxBody is the largest body in the limits of the desired state.
const maxBody = 64 << 20

// host is the host of all routes.
const host = "quay.example"

// configure writes a desired state.
func (r *rig) configure(version int, routes []route, tenants []tenant) {
	var rs, ts, ss []string
	services := map[string]bool{}
	for _, x := range routes {
		rs = append(rs, fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":"/%s/","kind":%q,"timeout_ms":%d,"target_latency_ms":1000,"priority":0,"service":%q,"max_attempts":2,"public":%v}`,
			x.name, host, x.name, x.kind, x.timeout.Milliseconds(), x.service, x.public))
		services[x.service] = true
	}
	for s := range services {
		ss = append(ss, fmt.Sprintf(`{"name":%q,"health_path":"/health","max_conns":600,"protocol":"h1","tls":false}`, s))
	}
	for _, t := range tenants {
		ts = append(ts, fmt.Sprintf(`{"name":%q,"api_keys":["key-%s"],"priority":1,"rate_per_s":%v,"burst":%v}`, t.name, t.name, t.rate, t.burst))
	}
	r.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[%s],"limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[%s]}`,
		version, strings.Join(rs, ","), strings.Join(ss, ","), maxBody, strings.Join(ts, ",")))
	r.note("desired state %d is in the store", version)
}

// place is where a machine stands and what its server runs.
type place struct {
	zone    string
	service string
}

// start starts machines and waits until all nodes are ready and know each other.
func (r *rig) start(places []place) error {
	zones := map[string]bool{}
	for _, p := range places {
		zones[p.zone] = true
	}
	for i, p := range places {
		m := &machine{
			rig:      r,
			name:     fmt.Sprintf("sidecar-%s-%d", p.zone, i+1),
			ip:       fmt.Sprintf("%s.%d", r.subnet, i+1),
			zone:     p.zone,
			service:  p.service,
			settings: filepath.Join(r.dir, fmt.Sprintf("boot-%d.toml", i+1)),
		}
		for z := range zones {
			m.zones = append(m.zones, z)
		}
		r.machines = append(r.machines, m)
		m.server = newServer(m, "i-"+m.name, m.service)
		if err := m.server.listen(); err != nil {
			return err
		}
	}
	for _, m := range r.machines {
		if err := m.startNode(); err != nil {
			return err
		}
	}
	for _, m := range r.machines {
		if err := r.await(20*time.Second, "readiness of "+m.name, m.ready); err != nil {
			return err
		}
	}
	for _, m := range r.machines {
		if err := r.await(20*time.Second, "fleet of "+m.name, func() bool { return m.knows(len(r.machines)) }); err != nil {
			return err
		}
	}
	return nil
}

// await waits for a condition.
func (r *rig) await(timeout time.Duration, what string, condition func() bool) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("not in time: %s", what)
}
