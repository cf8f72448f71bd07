// Package test holds the integration tests. They start nodes as processes of their own,
// inject faults and check that the guarantees of the system hold. Most tests run targets
// and the platform's log as processes too, behind a fault-injecting relay; those of the
// serve command use stand-ins within the test process.
package test

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/conf/author"
	"fuchsiapier/internal/conf/plog"
	"fuchsiapier/internal/conf/state"
	"fuchsiapier/internal/ops/admin"
	"fuchsiapier/lab/load"
	"fuchsiapier/lab/logd"
	"fuchsiapier/lab/plan"
	"fuchsiapier/lab/relay"
	"fuchsiapier/lab/target"
)

// waitTimeout bounds the wait for a condition in a test. It is no limit of the product.
const waitTimeout = 40 * time.Second

// binDir is the directory with the programs under test.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "fuchsiapier-test")
	if err != nil {
		panic(err)
	}
	binDir = dir
	build := exec.Command("go", "build", "-o", dir+"/", "./cmd/...")
	build.Dir = ".."
	build.Stderr = os.Stderr
	code := 1
	if build.Run() == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// fleetCount is the number of fleets so far in the test run. It gives each fleet addresses
// of its own.
var fleetCount atomic.Int64

// process is a running program. done is closed when it has exited; err is then its result.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// fleet is a deployment of real processes.
type fleet struct {
	t     *testing.T
	dir   string
	plan  plan.Deployment
	relay *relay.Relay
	procs map[string]*process
	// keys holds the key of each workspace, keyIDs the ID under which it is withdrawn.
	keys   map[string]string
	keyIDs map[string]string
}

// fleetOption changes a deployment before it starts.
type fleetOption func(*plan.Options, *plan.Workload)

func withDomains(n int) fleetOption {
	return func(o *plan.Options, _ *plan.Workload) { o.Domains = n }
}

func withRetention(d time.Duration) fleetOption {
	return func(o *plan.Options, _ *plan.Workload) { o.Retention = d }
}

func withBaseline(b string) fleetOption {
	return func(o *plan.Options, _ *plan.Workload) { o.Baseline = b }
}

func withBytes(perSecond float64) fleetOption {
	return func(o *plan.Options, _ *plan.Workload) { o.BytesPerSecond = perSecond }
}

func withWorkload(change func(*plan.Workload)) fleetOption {
	return func(_ *plan.Options, w *plan.Workload) { change(w) }
}

// newFleet starts a deployment, publishes its presets, puts the preset "ordinary" in force
// and gives every workspace a key.
func newFleet(t *testing.T, w plan.Workload, options ...fleetOption) *fleet {
	t.Helper()
	n := int(fleetCount.Add(1))
	o := plan.Options{
		Domains:        3,
		Scale:          0.25,
		BasePort:       7000,
		Network:        20 + n%20*10,
		Relayed:        true,
		Retention:      time.Hour,
		BytesPerSecond: 10e6,
	}
	for _, option := range options {
		option(&o, &w)
	}
	r, stop := relay.New()
	f := &fleet{
		t:      t,
		dir:    t.TempDir(),
		plan:   plan.New(w, o),
		relay:  r,
		procs:  map[string]*process{},
		keys:   map[string]string{},
		keyIDs: map[string]string{},
	}
	t.Cleanup(stop)
	t.Cleanup(f.killAll)
	f.must(f.plan.Write(f.dir))
	f.must(r.Forward(f.plan.LogAddress, f.plan.Log))
	f.start("log", "fuchsiapier-lab", "log", "--listen", f.plan.Log, "--retention", o.Retention.String())
	for _, vm := range f.plan.VMs {
		f.must(r.Forward(vm.Settings.Listen.Advertise, vm.Settings.Listen.Peers))
		load.SetHome(vm.Settings.Listen.Callers, vm.Settings.Node.Domain)
	}
	for i := range f.plan.VMs {
		f.startNode(i)
		f.startTarget(i)
	}
	f.publish()
	return f
}

func (f *fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// start starts a program under a name and appends its output to a file of that name.
func (f *fleet) start(name, program string, args ...string) {
	f.t.Helper()
	out, err := os.OpenFile(filepath.Join(f.dir, name+".out"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	f.must(err)
	cmd := exec.Command(filepath.Join(binDir, program), args...)
	cmd.Stdout, cmd.Stderr = out, out
	f.must(cmd.Start())
	p := &process{
		cmd:  cmd,
		done: make(chan struct{}),
	}
	go func() {
		p.err = cmd.Wait()
		_ = out.Close()
		close(p.done)
	}()
	f.procs[name] = p
}

func (f *fleet) nodeName(i int) string { return f.plan.VMs[i].Settings.Node.Name }

func (f *fleet) targetName(i int) string { return f.nodeName(i) + "-target" }

func (f *fleet) startNode(i int) {
	f.start(f.nodeName(i), "fuchsiapierd", "--settings", f.plan.VMs[i].File)
}

func (f *fleet) startTarget(i int, extra ...string) {
	vm := f.plan.VMs[i]
	args := append([]string{"target", "--journal", f.journal(i)}, vm.TargetArgs()...)
	f.start(f.targetName(i), "fuchsiapier-lab", append(args, extra...)...)
}

// journal returns the file in which a VM's target records the requests that it runs.
func (f *fleet) journal(i int) string {
	return filepath.Join(f.dir, f.targetName(i)+".journal")
}

func (f *fleet) signal(name string, s syscall.Signal) {
	f.t.Helper()
	f.must(f.procs[name].cmd.Process.Signal(s))
}

// kill sends SIGKILL to a process and waits for its exit.
func (f *fleet) kill(name string) {
	f.t.Helper()
	f.signal(name, syscall.SIGKILL)
	<-f.procs[name].done
}

// terminate sends SIGTERM to a process, waits for its exit and returns its exit error. A
// process that does not exit in time fails the test, with its stacks in the message.
func (f *fleet) terminate(name string) error {
	f.t.Helper()
	p := f.procs[name]
	f.signal(name, syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(waitTimeout):
		f.signal(name, syscall.SIGQUIT)
		<-p.done
		out, _ := os.ReadFile(filepath.Join(f.dir, name+".out"))
		f.t.Fatalf("%s did not exit after SIGTERM:\n%s", name, out)
		return nil
	}
}

func (f *fleet) killAll() {
	for _, p := range f.procs {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range f.procs {
		<-p.done
	}
}

// waitFor polls a condition until it is true, and fails the test after waitTimeout.
func (f *fleet) waitFor(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("condition not met within %s: %s\n%s", waitTimeout, what, f.describe())
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// describe returns the state of all nodes for the message of a failed test.
func (f *fleet) describe() string {
	text := ""
	for i := range f.plan.VMs {
		s, err := f.status(i)
		text += fmt.Sprintf("%s: version %d preset %q target %+v err %v\n", f.nodeName(i), s.Version, s.Preset, s.Target, err)
	}
	return text
}

func (f *fleet) client() *plog.Client {
	return plog.New(f.plan.Log, nil)
}

func (f *fleet) author(name string) *author.Author {
	return author.New(name, f.client())
}

// publish waits for the log, publishes the configuration and waits until every node has
// applied it and every target is ready.
func (f *fleet) publish() {
	f.t.Helper()
	a := f.author("setup")
	f.waitFor("the log answers", func() bool {
		_, err := a.Current()
		return err == nil
	})
	for _, p := range f.plan.Presets {
		_, err := a.Submit("", state.Change{
			Operation: state.PublishPreset,
			Preset:    &p,
		})
		f.must(err)
	}
	f.switchPreset("ordinary")
	for name := range f.plan.Workload.Workspaces {
		f.giveKey(name)
	}
	f.waitForReady()
}

func (f *fleet) switchPreset(name string) uint64 {
	f.t.Helper()
	version, err := f.author("operator").SubmitRebased("", state.Change{
		Operation: state.SwitchPreset,
		Name:      name,
	})
	f.must(err)
	return version
}

func (f *fleet) giveKey(workspace string) uint64 {
	f.t.Helper()
	key, text := state.NewKey(workspace)
	version, err := f.author("operator").SubmitRebased("", state.Change{
		Operation: state.GiveKey,
		Key:       &key,
	})
	f.must(err)
	f.keys[workspace] = text
	f.keyIDs[workspace] = key.ID
	return version
}

func (f *fleet) withdrawKey(workspace string) uint64 {
	f.t.Helper()
	version, err := f.author("operator").SubmitRebased("", state.Change{
		Operation: state.WithdrawKey,
		Name:      f.keyIDs[workspace],
	})
	f.must(err)
	return version
}

// waitForReady waits until all nodes know the targets of all others, have the newest
// configuration and see their own target as ready, and until claims are granted. Replicas
// grant claims only once they can rule out earlier claims of the same request ID.
func (f *fleet) waitForReady() {
	f.t.Helper()
	s, err := f.author("setup").Current()
	f.must(err)
	for i := range f.plan.VMs {
		f.waitForNodeReady(i, s.Version)
	}
	f.waitFor("claims are granted", func() bool {
		resp := f.send(load.Caller{
			Workspace: f.anyWorkspace(),
			Method:    fasthttp.MethodPost,
			Path:      f.firstNonIdempotentPath(),
		}, 0, f.newID(0))
		return resp.Status == fasthttp.StatusOK
	})
}

func (f *fleet) waitForNodeReady(i int, version uint64) {
	f.t.Helper()
	f.waitFor(f.nodeName(i)+" is ready", func() bool {
		s, err := f.status(i)
		if err != nil || s.Version < version || s.Target.State != "ready" {
			return false
		}
		return s.Targets == len(f.plan.VMs)
	})
}

func (f *fleet) anyWorkspace() string {
	for name := range f.plan.Workload.Workspaces {
		return name
	}
	return ""
}

// firstNonIdempotentPath returns the path of the first route that is not idempotent, so
// that a request on it needs a claim.
func (f *fleet) firstNonIdempotentPath() string {
	for _, r := range f.plan.Workload.Routes {
		if !r.Idempotent {
			return r.Path
		}
	}
	return ""
}

func (f *fleet) status(i int) (admin.Status, error) {
	return getJSON[admin.Status](f, i, admin.PathStatus)
}

// getJSON decodes the JSON at a path of the node's address for operators.
func getJSON[T any](f *fleet, i int, path string) (T, error) {
	var v T
	code, body, err := fasthttp.GetTimeout(nil, "http://"+f.plan.VMs[i].Settings.Listen.Operators+path, 2*time.Second)
	if err != nil || code != fasthttp.StatusOK {
		return v, fmt.Errorf("status %d: %w", code, err)
	}
	return v, json.Unmarshal(body, &v)
}

// entry returns the address at which a VM's node takes callers' requests.
func (f *fleet) entry(i int) string { return f.plan.VMs[i].Settings.Listen.Callers }

func (f *fleet) entries() []string {
	var out []string
	for i := range f.plan.VMs {
		out = append(out, f.entry(i))
	}
	return out
}

// serviceVMs returns the VMs that run a service.
func (f *fleet) serviceVMs(service string) []int {
	var out []int
	for i, vm := range f.plan.VMs {
		if vm.Service.Name == service {
			out = append(out, i)
		}
	}
	return out
}

// domainVMs returns the VMs of the failure domain with a number.
func (f *fleet) domainVMs(n int) []int {
	var out []int
	for i, vm := range f.plan.VMs {
		if vm.Settings.Node.Domain == f.plan.Domain(n) {
			out = append(out, i)
		}
	}
	return out
}

// setPartition starts or, if cut is false, heals a partition between a network and others,
// in both directions.
func (f *fleet) setPartition(network string, others []string, cut bool) {
	for _, o := range others {
		for _, p := range []relay.Direction{{From: network, To: o}, {From: o, To: network}} {
			f.relay.Change(p, func(faults relay.Faults) relay.Faults {
				faults.Cut = cut
				return faults
			})
		}
	}
}

func (f *fleet) otherNetworks(n int) []string {
	var out []string
	for i := range f.plan.Options.Domains {
		if i != n {
			out = append(out, f.plan.Network(i))
		}
	}
	return out
}

// setLogFaults replaces the faults injected into the platform's log.
func (f *fleet) setLogFaults(faults logd.Faults) {
	f.t.Helper()
	f.postJSON("http://"+f.plan.Log+"/faults", faults)
}

// adjustTarget changes the behavior of a VM's target while it runs.
func (f *fleet) adjustTarget(i int, k target.Overrides) {
	f.t.Helper()
	f.postJSON("http://"+f.plan.VMs[i].Listen+"/lab/knobs", k)
}

func (f *fleet) postJSON(url string, v any) {
	f.t.Helper()
	body, err := json.Marshal(v)
	f.must(err)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(url)
	req.SetBody(body)
	f.must(fasthttp.DoTimeout(req, resp, 5*time.Second))
	if resp.StatusCode() != fasthttp.StatusOK {
		f.t.Fatalf("%s: %d %s", url, resp.StatusCode(), resp.Body())
	}
}

// runs returns the requests that all targets have begun to run, from the targets' journals.
func (f *fleet) runs() []target.Entry {
	f.t.Helper()
	var out []target.Entry
	for i := range f.plan.VMs {
		entries, err := target.ReadJournal(f.journal(i))
		f.must(err)
		for _, e := range entries {
			if e.Event == "begin" {
				out = append(out, e)
			}
		}
	}
	return out
}
