// Package test proves what must always hold with real processes: nodes, targets
// and the platform's log, behind a fault-injecting relay.
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

// patience bounds the wait for a condition; it is no figure of the product.
const patience = 40 * time.Second

var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "fuchsiapier-test")
	if err != nil {
		panic(err)
	}
	binaries = dir
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

// fleets numbers the fleets of a run, so that each has addresses of its own.
var fleets atomic.Int64

// process is a running program.
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
	keys  map[string]string
	ids   map[string]string
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

// newFleet starts a deployment, publishes its presets, puts the ordinary one in
// force and gives every workspace a key.
func newFleet(t *testing.T, w plan.Workload, options ...fleetOption) *fleet {
	t.Helper()
	n := int(fleets.Add(1))
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
		t:     t,
		dir:   t.TempDir(),
		plan:  plan.New(w, o),
		relay: r,
		procs: map[string]*process{},
		keys:  map[string]string{},
		ids:   map[string]string{},
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

// start runs a program under a name; its output goes to a file.
func (f *fleet) start(name, program string, args ...string) {
	f.t.Helper()
	out, err := os.OpenFile(filepath.Join(f.dir, name+".out"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	f.must(err)
	cmd := exec.Command(filepath.Join(binaries, program), args...)
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

func (f *fleet) journal(i int) string {
	return filepath.Join(f.dir, f.targetName(i)+".journal")
}

func (f *fleet) signal(name string, s syscall.Signal) {
	f.t.Helper()
	f.must(f.procs[name].cmd.Process.Signal(s))
}

// kill ends a process at once and waits for it.
func (f *fleet) kill(name string) {
	f.t.Helper()
	f.signal(name, syscall.SIGKILL)
	<-f.procs[name].done
}

// leave asks a process to end and waits until it has.
func (f *fleet) leave(name string) error {
	f.t.Helper()
	p := f.procs[name]
	f.signal(name, syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(patience):
		f.signal(name, syscall.SIGQUIT)
		<-p.done
		out, _ := os.ReadFile(filepath.Join(f.dir, name+".out"))
		f.t.Fatalf("%s did not end:\n%s", name, out)
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

// until waits for a condition.
func (f *fleet) until(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("not within %s: %s\n%s", patience, what, f.describe())
		}
		time.Sleep(20 * time.Millisecond)
	}
}

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

// publish waits for the log, makes the configuration and waits until every node
// serves it and every target is ready.
func (f *fleet) publish() {
	f.t.Helper()
	a := f.author("setup")
	f.until("the log answers", func() bool {
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
	f.untilReady()
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
	f.ids[workspace] = key.ID
	return version
}

func (f *fleet) withdrawKey(workspace string) uint64 {
	f.t.Helper()
	version, err := f.author("operator").SubmitRebased("", state.Change{
		Operation: state.WithdrawKey,
		Name:      f.ids[workspace],
	})
	f.must(err)
	return version
}

// untilReady waits until all nodes know each other, have the newest
// configuration, see their targets, and replicas vouch for new request IDs.
func (f *fleet) untilReady() {
	f.t.Helper()
	s, err := f.author("setup").Current()
	f.must(err)
	for i := range f.plan.VMs {
		f.untilNodeReady(i, s.Version)
	}
	f.until("claims are granted", func() bool {
		a := f.send(load.Caller{
			Workspace: f.anyWorkspace(),
			Method:    fasthttp.MethodPost,
			Path:      f.claimPath(),
		}, 0, f.newID(0))
		return a.Status == fasthttp.StatusOK
	})
}

func (f *fleet) untilNodeReady(i int, version uint64) {
	f.t.Helper()
	f.until(f.nodeName(i)+" is ready", func() bool {
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

// claimPath is a path whose requests are not idempotent.
func (f *fleet) claimPath() string {
	for _, r := range f.plan.Workload.Routes {
		if !r.Idempotent {
			return r.Path
		}
	}
	return ""
}

func (f *fleet) status(i int) (admin.Status, error) {
	return fromNode[admin.Status](f, i, admin.PathStatus)
}

// fromNode reads a path of a node's operators' address.
func fromNode[T any](f *fleet, i int, path string) (T, error) {
	var v T
	code, body, err := fasthttp.GetTimeout(nil, "http://"+f.plan.VMs[i].Settings.Listen.Operators+path, 2*time.Second)
	if err != nil || code != fasthttp.StatusOK {
		return v, fmt.Errorf("status %d: %w", code, err)
	}
	return v, json.Unmarshal(body, &v)
}

func (f *fleet) entry(i int) string { return f.plan.VMs[i].Settings.Listen.Callers }

func (f *fleet) entries() []string {
	var out []string
	for i := range f.plan.VMs {
		out = append(out, f.entry(i))
	}
	return out
}

// find returns the VMs that run a service.
func (f *fleet) find(service string) []int {
	var out []int
	for i, vm := range f.plan.VMs {
		if vm.Service.Name == service {
			out = append(out, i)
		}
	}
	return out
}

// domain returns the VMs of a failure domain by its number.
func (f *fleet) domain(n int) []int {
	var out []int
	for i, vm := range f.plan.VMs {
		if vm.Settings.Node.Domain == f.plan.Domain(n) {
			out = append(out, i)
		}
	}
	return out
}

// isolate cuts a network off from the others in both directions, or heals it.
func (f *fleet) isolate(network string, others []string, cut bool) {
	for _, o := range others {
		for _, p := range []relay.Direction{{From: network, To: o}, {From: o, To: network}} {
			f.relay.Change(p, func(x relay.Faults) relay.Faults {
				x.Cut = cut
				return x
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

// logFaults changes how the platform's log misbehaves.
func (f *fleet) logFaults(faults logd.Faults) {
	f.t.Helper()
	f.post("http://"+f.plan.Log+"/faults", faults)
}

// knobs changes how a target behaves.
func (f *fleet) knobs(i int, k target.Overrides) {
	f.t.Helper()
	f.post("http://"+f.plan.VMs[i].Listen+"/lab/knobs", k)
}

func (f *fleet) post(url string, v any) {
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

// runs reads what all targets have begun to run, by the targets' own journals.
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
