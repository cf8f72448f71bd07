package test

import (
	"context"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/conf/preset"
	"fuchsiapier/internal/edge/wire"
	"fuchsiapier/lab/load"
	"fuchsiapier/lab/plan"
	"fuchsiapier/lab/target"
)

// callers returns callers of a workspace for the Litoral workload, with requests on three
// paths and entries at all nodes. The rate is the sum over the paths, in requests a second.
func (f *fleet) callers(workspace string, rate float64) []load.Caller {
	mix := []struct {
		method string
		path   string
		share  float64
	}{
		{method: fasthttp.MethodPost, path: "/permits/issue", share: 0.25},
		{method: fasthttp.MethodPost, path: "/landings/record", share: 0.25},
		{method: fasthttp.MethodGet, path: "/quota/check", share: 0.5},
	}
	var out []load.Caller
	for _, m := range mix {
		out = append(out, load.Caller{
			Workspace:   workspace,
			Key:         f.keys[workspace],
			Entries:     f.entries(),
			Method:      m.method,
			Path:        m.path,
			Rate:        m.share * rate,
			ResendAfter: preset.Duration(300 * time.Millisecond),
			Resends:     3,
			Important:   m.path == "/permits/issue",
		})
	}
	return out
}

// drive runs callers for a duration, calls meanwhile at the same time, and returns the
// results of all requests.
func (f *fleet) drive(d time.Duration, callers []load.Caller, meanwhile func()) []load.Result {
	driver := load.New(load.Script{
		Seed:    1,
		Callers: callers,
		Phases: []load.Phase{
			{
				Name:     "load",
				Duration: preset.Duration(d),
			},
		},
	})
	var wg sync.WaitGroup
	wg.Go(meanwhile)
	results := driver.Run(context.Background())
	wg.Wait()
	return results
}

// nonIdempotentPaths are the paths of the Litoral workload whose requests must run at most
// once.
var nonIdempotentPaths = []string{"/permits/issue", "/landings/record"}

// checkAtMostOnce returns the IDs of non-idempotent requests that began more than once.
func checkAtMostOnce(runs []target.Entry) []string {
	var duplicates []string
	for _, path := range nonIdempotentPaths {
		for id, n := range runsPerRequest(runs, path) {
			if n > 1 {
				duplicates = append(duplicates, id)
			}
		}
	}
	return duplicates
}

// checkNotRun returns the IDs of requests that a target began although every send of them
// had the outcome not-run.
func checkNotRun(results []load.Result, runs []target.Entry) []string {
	began := map[string]bool{}
	for _, r := range runs {
		began[r.Request] = true
	}
	var violations []string
	for _, r := range results {
		allNotRun := true
		for _, o := range r.Outcomes {
			allNotRun = allNotRun && o == wire.NotRun
		}
		if allNotRun && began[r.ID] {
			violations = append(violations, r.ID)
		}
	}
	return violations
}

// checkWorkspaces returns the IDs of requests that ran for a workspace other than that of
// the caller's key, and of those whose target received a key.
func checkWorkspaces(results []load.Result, runs []target.Entry) []string {
	owner := map[string]string{}
	for _, r := range results {
		owner[r.ID] = r.Workspace
	}
	var wrong []string
	for _, r := range runs {
		root, _, _ := strings.Cut(r.Request, "/")
		if w, ok := owner[root]; ok && w != r.Workspace {
			wrong = append(wrong, r.Request)
		}
		if r.KeySeen {
			wrong = append(wrong, "key seen: "+r.Request)
		}
	}
	return wrong
}

func wrongResponses(results []load.Result) []string {
	var wrong []string
	for _, r := range results {
		if r.Wrong {
			wrong = append(wrong, r.ID)
		}
	}
	return wrong
}

func countGood(results []load.Result) int {
	n := 0
	for _, r := range results {
		if r.Good() {
			n++
		}
	}
	return n
}

// rateExcess returns by how many callers' requests a workspace has exceeded its rate and
// burst in the worst window, without nested calls; it is at most 0 where the limit held. A
// request begins at most delay after its token was taken, which widens each window by as
// much.
func rateExcess(runs []target.Entry, results []load.Result, workspace string, rate, burst float64, delay time.Duration) float64 {
	owned := map[string]bool{}
	for _, r := range results {
		owned[r.ID] = r.Workspace == workspace
	}
	var starts []time.Time
	seen := map[string]bool{}
	for _, r := range runs {
		if owned[r.Request] && !seen[r.Request] {
			seen[r.Request] = true
			starts = append(starts, r.At)
		}
	}
	sortTimes(starts)
	worst := -burst
	for i := range starts {
		for j := i; j < len(starts); j++ {
			window := starts[j].Sub(starts[i]) + delay
			worst = max(worst, float64(j-i+1)-burst-rate*window.Seconds())
		}
	}
	return worst
}

func sortTimes(times []time.Time) {
	for i := range times {
		for j := i; j > 0 && times[j].Before(times[j-1]); j-- {
			times[j], times[j-1] = times[j-1], times[j]
		}
	}
}

func longestDuration(results []load.Result) time.Duration {
	d := time.Duration(0)
	for _, r := range results {
		d = max(d, r.Latency)
	}
	return d
}

// TestNeverWrongUnderFaults guards against non-idempotent requests that run twice, requests
// that run although their outcome is not-run, runs for the wrong workspace, mixed-up
// responses and exceeded rates. They come about when nodes and targets are killed and
// restarted under load, a node is paused by SIGSTOP for longer than the term of its token
// leases, or a failure domain is partitioned from the others. The targets' journals are
// compared with the outcomes that callers received.
func TestNeverWrongUnderFaults(t *testing.T) {
	f := newFleet(t, plan.Litoral())
	p := f.plan.Presets[0]
	callers := append(f.callers("picker-one", 30), f.callers("picker-three", 60)...)
	results := f.drive(16*time.Second, callers, func() {
		permits, landings, quota := f.serviceVMs("permits"), f.serviceVMs("landings"), f.serviceVMs("quota")
		time.Sleep(time.Second)
		f.kill(f.targetName(permits[0]))
		f.kill(f.nodeName(landings[1]))
		f.signal(f.nodeName(quota[2]), syscall.SIGSTOP)
		time.Sleep(time.Second)
		f.startTarget(permits[0])
		f.startNode(landings[1])
		f.setPartition(f.plan.Network(1), f.otherNetworks(1), true)
		time.Sleep(2500 * time.Millisecond)
		f.signal(f.nodeName(quota[2]), syscall.SIGCONT)
		f.setPartition(f.plan.Network(1), f.otherNetworks(1), false)
		time.Sleep(1500 * time.Millisecond)
		f.kill(f.nodeName(permits[2]))
		f.kill(f.targetName(landings[0]))
		f.setPartition(f.plan.Network(1), f.otherNetworks(1), true)
		f.startNode(permits[2])
		f.startTarget(landings[0])
		time.Sleep(2 * time.Second)
		f.setPartition(f.plan.Network(1), f.otherNetworks(1), false)
	})
	runs := f.runs()
	t.Logf("%d requests, %d good, outcomes %v", len(results), countGood(results), load.Outcomes(results))
	Convey("Given load while processes are killed or paused and a failure domain is partitioned", t, func() {
		Convey("some requests are completed", func() {
			So(countGood(results), ShouldBeGreaterThan, 0)
		})
		Convey("a non-idempotent request runs at most once", func() {
			So(checkAtMostOnce(runs), ShouldBeEmpty)
		})
		Convey("a request has not begun if every send of it had the outcome not-run", func() {
			So(checkNotRun(results, runs), ShouldBeEmpty)
		})
		Convey("a request runs only for the workspace of its key, and no target receives a key", func() {
			So(checkWorkspaces(results, runs), ShouldBeEmpty)
		})
		Convey("every response is complete and belongs to its request", func() {
			So(wrongResponses(results), ShouldBeEmpty)
		})
		Convey("a workspace does not exceed its rate and burst over all VMs", func() {
			w := p.Workspaces["picker-three"]
			So(rateExcess(runs, results, "picker-three", w.Rate, w.Burst, longestDuration(results)), ShouldBeLessThanOrEqualTo, 0)
		})
	})
}

// retries returns the number of retries that each caller's request has caused, summed over
// the request and its nested calls, from the targets' journals.
func (f *fleet) retries() map[string]int {
	f.t.Helper()
	perCall := map[string]int{}
	for i := range f.plan.VMs {
		entries, err := target.ReadJournal(f.journal(i))
		f.must(err)
		for _, e := range entries {
			if e.Event != "end" {
				perCall[e.Request]++
			}
		}
	}
	perRequest := map[string]int{}
	for call, n := range perCall {
		root, _, _ := strings.Cut(call, "/")
		perRequest[root] += n - 1
	}
	return perRequest
}

// TestRetriesBoundedAcrossChain guards against retry amplification: where each hop of a
// call chain retries on its own, the tries multiply from hop to hop while the deepest
// service rejects requests.
func TestRetriesBoundedAcrossChain(t *testing.T) {
	const allowance = 1
	f := newFleet(t, plan.Litoral(), withWorkload(func(w *plan.Workload) {
		// The route of the deepest service permits more retries than a caller's request may
		// cause in all.
		for i := range w.Routes {
			w.Routes[i].Retries = allowance
			if w.Routes[i].Service == "inspection" {
				w.Routes[i].Retries = 5
			}
		}
	}))
	Convey("Given a service at the end of the call chain that sheds all requests", t, func() {
		for _, i := range f.serviceVMs("inspection") {
			f.adjustTarget(i, target.Overrides{
				Shed: true,
			})
		}
		callers := f.callers("picker-one", 20)
		for i := range callers {
			// Each send of a request has a retry allowance of its own, so each request is sent
			// only once.
			callers[i].Resends = 0
		}
		results := f.drive(3*time.Second, callers, func() {})
		So(countGood(results), ShouldEqual, 0)
		Convey("the retries of each request and its nested calls stay within its allowance", func() {
			worst, total := 0, 0
			for _, n := range f.retries() {
				worst = max(worst, n)
				total += n
			}
			t.Logf("%d requests, %d retries, at most %d of one request", len(results), total, worst)
			So(worst, ShouldBeLessThanOrEqualTo, allowance)
		})
	})
}

// TestLeaving guards against a node that exits on SIGTERM while requests of its peers or of
// its own callers still run, which aborts them, and against a target that runs new requests
// after its node has exited. Slowed targets make sure that requests run at that time.
func TestLeaving(t *testing.T) {
	f := newFleet(t, plan.Litoral(), withDomains(2), withWorkload(func(w *plan.Workload) {
		for i := range w.Routes {
			w.Routes[i].Deadline = preset.Duration(20 * time.Second)
		}
	}))
	Convey("Given requests that run slowly", t, func() {
		quota := f.serviceVMs("quota")
		for _, i := range quota {
			f.adjustTarget(i, target.Overrides{
				SlowFactor: 60,
			})
		}
		// startSlow sends requests to the node of a VM and returns once some of them run.
		startSlow := func(entry int) chan load.Response {
			before := len(f.runs())
			responses := make(chan load.Response, 12)
			for range cap(responses) {
				go func() { responses <- f.get("picker-one", "/tide/windows", entry) }()
			}
			f.waitFor("they run", func() bool { return len(f.runs()) >= before+4 })
			return responses
		}
		// checkFinished checks that each request was answered, or refused for one of the given
		// reasons.
		checkFinished := func(responses chan load.Response, reasons ...wire.Reason) {
			for range cap(responses) {
				r := <-responses
				if r.Outcome == wire.NotRun {
					So(r.Reason, ShouldBeIn, reasons)
					So(r.RetryAfter, ShouldBeGreaterThan, 0)
					continue
				}
				So(r.Status, ShouldEqual, fasthttp.StatusOK)
			}
		}
		Convey("a node that leaves aborts no request of its peers or its callers, and its target gets no new work", func() {
			responses := startSlow(f.serviceVMs("inspection")[0])
			So(f.terminate(f.nodeName(quota[0])), ShouldBeNil)
			exited := time.Now()
			checkFinished(responses, wire.ReasonStopping)
			entries, err := target.ReadJournal(f.journal(quota[0]))
			So(err, ShouldBeNil)
			So(entries, ShouldNotBeEmpty)
			for _, e := range entries {
				if e.Event == "begin" {
					So(e.At.Before(exited), ShouldBeTrue)
				}
			}
			// Requests that arrive at the node of the last target while it leaves find none.
			responses = startSlow(quota[1])
			stopped := make(chan error, 1)
			go func() { stopped <- f.terminate(f.nodeName(quota[1])) }()
			late := make(chan load.Response, 20)
			for range cap(late) {
				go func() { late <- f.get("picker-one", "/tide/windows", quota[1]) }()
				time.Sleep(10 * time.Millisecond)
			}
			checkFinished(responses, wire.ReasonStopping, wire.ReasonNoTarget)
			checkFinished(late, wire.ReasonStopping, wire.ReasonNoTarget)
			So(<-stopped, ShouldBeNil)
		})
	})
}

// TestDrainingTarget guards against requests that are still sent to a target after it has
// announced that it is draining.
func TestDrainingTarget(t *testing.T) {
	f := newFleet(t, plan.Litoral(), withDomains(2))
	Convey("Given a target that has announced that it is draining", t, func() {
		quota := f.serviceVMs("quota")
		f.adjustTarget(quota[0], target.Overrides{
			State: "draining",
		})
		announced := time.Now()
		Convey("it gets no new requests, and other targets run them", func() {
			for range 30 {
				resp := f.get("picker-one", "/tide/windows", quota[0])
				So(resp.Status, ShouldEqual, fasthttp.StatusOK)
			}
			entries, err := target.ReadJournal(f.journal(quota[0]))
			So(err, ShouldBeNil)
			for _, e := range entries {
				if e.Event == "begin" {
					So(e.At.Before(announced), ShouldBeTrue)
				}
			}
		})
	})
}

// countQuarantined returns the number of requests that a VM's node has quarantined, 0 if
// its status can't be read.
func (f *fleet) countQuarantined(i int) int {
	s, err := f.status(i)
	if err != nil {
		return 0
	}
	n := 0
	for _, e := range s.Quarantine {
		if e.Standing == crash.Quarantined {
			n++
		}
	}
	return n
}

// TestCrashingRequest guards against a query of death: a request that crashes each target
// that runs it, and that takes down all targets of a service when its caller sends it again
// and again. It must be quarantined after a few crashes, on all nodes.
func TestCrashingRequest(t *testing.T) {
	f := newFleet(t, plan.Litoral(), withDomains(2))
	Convey("Given a request that crashes every target that runs it, sent again and again", t, func() {
		quota := f.serviceVMs("quota")
		crasher := load.Caller{
			Workspace: "crash-the-target",
			Key:       f.keys["picker-one"],
			Method:    fasthttp.MethodPost,
			Path:      "/quota/check",
		}
		crashes := 0
		// restartCrashed restarts the targets that have crashed. It doesn't wait for a process to
		// exit: on a busy machine that happens some time after its connections have closed.
		restartCrashed := func() {
			for _, i := range quota {
				select {
				case <-f.procs[f.targetName(i)].done:
					crashes++
					f.startTarget(i)
				default:
				}
			}
		}
		var last load.Response
		f.waitFor("it is quarantined", func() bool {
			restartCrashed()
			last = f.sendBody(crasher, quota[0], "crash-the-target")
			return last.Reason == wire.ReasonQuarantine
		})
		t.Logf("%d crashes until it was quarantined", crashes)
		Convey("it is refused as not-run at every node after a few crashes, and other requests run", func() {
			So(crashes, ShouldBeLessThanOrEqualTo, 4)
			So(last.Outcome, ShouldEqual, wire.NotRun)
			So(last.RetryAfter, ShouldBeGreaterThan, 0)
			for i := range f.plan.VMs {
				f.waitFor(f.nodeName(i)+" has been told", func() bool { return f.countQuarantined(i) > 0 })
				So(f.sendBody(crasher, i, "crash-the-target").Reason, ShouldEqual, wire.ReasonQuarantine)
			}
			for _, i := range quota {
				f.waitFor("target is back", func() bool {
					restartCrashed()
					s, err := f.status(i)
					return err == nil && s.Target.State == "ready"
				})
			}
			So(crashes, ShouldBeLessThanOrEqualTo, 4)
			f.waitFor("others run", func() bool {
				return f.get("picker-one", "/quota/check", quota[0]).Status == fasthttp.StatusOK
			})
		})
	})
}
