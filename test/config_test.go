package test

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/conf/author"
	"fuchsiapier/internal/conf/state"
	"fuchsiapier/internal/edge/wire"
	"fuchsiapier/lab/logd"
	"fuchsiapier/lab/plan"
)

// watch polls the versions of all nodes until it is stopped and returns those
// that went back.
func (f *fleet) watch() (stop func() []string) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	var reverted []string
	wg.Go(func() {
		last := map[string]uint64{}
		for {
			select {
			case <-done:
				return
			case <-time.After(30 * time.Millisecond):
			}
			for i := range f.plan.VMs {
				s, err := f.status(i)
				if err != nil {
					continue
				}
				key := fmt.Sprintf("%s/%d", f.nodeName(i), s.Node.Incarnation)
				if s.Version < last[key] {
					reverted = append(reverted, key)
				}
				last[key] = s.Version
			}
		}
	})
	return func() []string {
		close(done)
		wg.Wait()
		return reverted
	}
}

func (f *fleet) untilVersion(version uint64, vms []int) {
	f.t.Helper()
	for _, i := range vms {
		f.until(fmt.Sprintf("version %d at %s", version, f.nodeName(i)), func() bool {
			s, err := f.status(i)
			return err == nil && s.Version >= version
		})
	}
}

func (f *fleet) all() []int {
	var out []int
	for i := range f.plan.VMs {
		out = append(out, i)
	}
	return out
}

func TestConfiguration(t *testing.T) {
	f := newFleet(t, plan.Litoral(), withDomains(2))
	stop := f.watch()
	Convey("Given a fleet and operators", t, func() {
		Convey("of operators who race each other exactly one wins each version, and the others learn who", func() {
			const operators = 6
			outcomes := make(chan error, operators)
			versions := make(chan uint64, operators)
			for n := range operators {
				go func() {
					v, err := f.author(fmt.Sprintf("operator-%d", n)).Submit("", state.Change{
						Operation: state.SwitchPreset,
						Name:      []string{"peak", "maintenance"}[n%2],
					})
					versions <- v
					outcomes <- err
				}()
			}
			seen := map[uint64]bool{}
			for range operators {
				v, err := <-versions, <-outcomes
				var refused *author.RefusedError
				if errors.As(err, &refused) {
					So(refused.Winner.Author, ShouldNotBeEmpty)
					continue
				}
				So(err, ShouldBeNil)
				So(seen[v], ShouldBeFalse)
				seen[v] = true
			}
			So(len(seen), ShouldBeGreaterThan, 0)
		})
		Convey("a change whose answer is lost is found in the log and is in force everywhere", func() {
			f.logFaults(logd.Faults{
				LoseAnswers: true,
			})
			version := f.switchPreset("peak")
			f.logFaults(logd.Faults{})
			f.untilVersion(version, f.all())
		})
		Convey("a failure domain cut off from the platform learns of changes from others", func() {
			f.isolate(f.plan.Network(1), []string{f.plan.LogNetwork()}, true)
			version := f.switchPreset("ordinary")
			f.untilVersion(version, f.all())
			f.isolate(f.plan.Network(1), []string{f.plan.LogNetwork()}, false)
		})
		Convey("a withdrawn key stops working at every node, also for callers that are connected", func() {
			entry := f.find("quota")[0]
			So(f.get("picker-two", "/quota/check", entry).Status, ShouldEqual, fasthttp.StatusOK)
			began := time.Now()
			f.withdrawKey("picker-two")
			for i := range f.plan.VMs {
				f.until("key refused at "+f.nodeName(i), func() bool {
					a := f.get("picker-two", "/quota/check", i)
					return a.Reason == wire.ReasonBadKey && a.Outcome == wire.NotRun
				})
			}
			t.Logf("withdrawn everywhere after %s", time.Since(began))
			before := len(f.runs())
			for i := range f.plan.VMs {
				So(f.get("picker-two", "/quota/check", i).Reason, ShouldEqual, wire.ReasonBadKey)
			}
			So(len(f.runs()), ShouldEqual, before)
		})
		Convey("with the platform down, requests are served and a replaced node gets its configuration from peers", func() {
			f.logFaults(logd.Faults{
				Outage: true,
			})
			s, err := f.status(0)
			So(err, ShouldBeNil)
			f.kill(f.nodeName(0))
			f.startNode(0)
			f.untilNodeReady(0, s.Version)
			f.until("it serves", func() bool {
				return f.get("picker-one", "/quota/check", 0).Status == fasthttp.StatusOK
			})
			f.logFaults(logd.Faults{})
		})
		Convey("no version ever goes back", func() {
			So(stop(), ShouldBeEmpty)
		})
	})
}

func TestRetention(t *testing.T) {
	f := newFleet(t, plan.Litoral(), withDomains(2), withRetention(12*time.Second))
	Convey("Given a log that has dropped the first records", t, func() {
		f.until("records are past retention and a checkpoint stands", func() bool {
			page, err := f.client().Read("configuration", 0, 0)
			return err == nil && page.First > 5 && len(page.Records) > 0
		})
		Convey("an operator and a replaced node still find the whole configuration", func() {
			s, err := f.author("later").Current()
			So(err, ShouldBeNil)
			So(s.InForce, ShouldEqual, "ordinary")
			So(len(s.Keys), ShouldEqual, len(f.keys))
			version := f.switchPreset("peak")
			f.kill(f.nodeName(1))
			f.startNode(1)
			f.untilVersion(version, f.all())
		})
	})
}

func TestCutOffDomainServes(t *testing.T) {
	f := newFleet(t, plan.Litoral())
	Convey("Given a failure domain cut off from all others and the platform", t, func() {
		others := append(f.otherNetworks(1), f.plan.LogNetwork())
		f.isolate(f.plan.Network(1), others, true)
		cut := f.domain(1)
		Convey("it goes on serving with its own targets and its own share", func() {
			for _, i := range cut {
				f.until("served at "+f.nodeName(i), func() bool {
					return f.get("picker-one", "/quota/check", i).Status == fasthttp.StatusOK
				})
			}
			f.until("a claim is granted inside it", func() bool {
				return f.postAs("picker-one", "/permits/issue", cut[0], f.newID(cut[0])).Status == fasthttp.StatusOK
			})
		})
		Convey("after it is healed, a change reaches it", func() {
			f.isolate(f.plan.Network(1), others, false)
			version := f.switchPreset("peak")
			f.untilVersion(version, cut)
		})
	})
}
