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

// watchVersions polls the configuration versions of all nodes until stop is called, which
// returns name and incarnation of the nodes whose version went back.
func (f *fleet) watchVersions() (stop func() []string) {
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

// waitForVersion waits until the given VMs have a configuration version or a newer one.
func (f *fleet) waitForVersion(version uint64, vms []int) {
	f.t.Helper()
	for _, i := range vms {
		f.waitFor(fmt.Sprintf("version %d at %s", version, f.nodeName(i)), func() bool {
			s, err := f.status(i)
			return err == nil && s.Version >= version
		})
	}
}

func (f *fleet) allVMs() []int {
	var out []int
	for i := range f.plan.VMs {
		out = append(out, i)
	}
	return out
}

// TestConfiguration guards against faults of the distribution of the configuration: two
// operators who both win one version, a change that is lost with the response to its
// append, a failure domain that keeps an old configuration while it is partitioned from
// the platform, a withdrawn key that still works at some node, a node that stays without a
// configuration when it restarts during an outage of the platform, and a version that goes
// back.
func TestConfiguration(t *testing.T) {
	f := newFleet(t, plan.Litoral(), withDomains(2))
	stop := f.watchVersions()
	Convey("Given a fleet and operators", t, func() {
		Convey("of operators who race each other exactly one wins each version, and the others learn its author", func() {
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
		Convey("a change whose append has no response is found in the log and is in force on all nodes", func() {
			f.setLogFaults(logd.Faults{
				LoseAnswers: true,
			})
			version := f.switchPreset("peak")
			f.setLogFaults(logd.Faults{})
			f.waitForVersion(version, f.allVMs())
		})
		Convey("a failure domain partitioned from the platform receives changes from other nodes", func() {
			f.setPartition(f.plan.Network(1), []string{f.plan.LogNetwork()}, true)
			version := f.switchPreset("ordinary")
			f.waitForVersion(version, f.allVMs())
			f.setPartition(f.plan.Network(1), []string{f.plan.LogNetwork()}, false)
		})
		Convey("a withdrawn key stops working at every node, also for a caller that has been served", func() {
			vm := f.serviceVMs("quota")[0]
			So(f.get("picker-two", "/quota/check", vm).Status, ShouldEqual, fasthttp.StatusOK)
			began := time.Now()
			f.withdrawKey("picker-two")
			for i := range f.plan.VMs {
				f.waitFor("key refused at "+f.nodeName(i), func() bool {
					resp := f.get("picker-two", "/quota/check", i)
					return resp.Reason == wire.ReasonBadKey && resp.Outcome == wire.NotRun
				})
			}
			t.Logf("key withdrawn at all nodes after %s", time.Since(began))
			before := len(f.runs())
			for i := range f.plan.VMs {
				So(f.get("picker-two", "/quota/check", i).Reason, ShouldEqual, wire.ReasonBadKey)
			}
			So(len(f.runs()), ShouldEqual, before)
		})
		Convey("during an outage of the platform, requests are served and a restarted node gets its configuration from peers", func() {
			f.setLogFaults(logd.Faults{
				Outage: true,
			})
			s, err := f.status(0)
			So(err, ShouldBeNil)
			f.kill(f.nodeName(0))
			f.startNode(0)
			f.waitForNodeReady(0, s.Version)
			f.waitFor("it serves", func() bool {
				return f.get("picker-one", "/quota/check", 0).Status == fasthttp.StatusOK
			})
			f.setLogFaults(logd.Faults{})
		})
		Convey("no node returns to an older version", func() {
			So(stop(), ShouldBeEmpty)
		})
	})
}

// TestRetention guards against a configuration that is lost when the platform's log drops
// its first records after the retention time: an operator or a node that starts later reads
// only the remaining records. A checkpoint in the log must hold the whole configuration.
func TestRetention(t *testing.T) {
	f := newFleet(t, plan.Litoral(), withDomains(2), withRetention(12*time.Second))
	Convey("Given a log that has dropped the first records", t, func() {
		f.waitFor("records are past retention and a checkpoint stands", func() bool {
			page, err := f.client().Read("configuration", 0, 0)
			return err == nil && page.First > 5 && len(page.Records) > 0
		})
		Convey("an operator and a restarted node still read the whole configuration", func() {
			s, err := f.author("later").Current()
			So(err, ShouldBeNil)
			So(s.InForce, ShouldEqual, "ordinary")
			So(len(s.Keys), ShouldEqual, len(f.keys))
			version := f.switchPreset("peak")
			f.kill(f.nodeName(1))
			f.startNode(1)
			f.waitForVersion(version, f.allVMs())
		})
	})
}

// TestPartitionedDomainServes guards against a failure domain that stops serving when it is
// partitioned from all others and the platform, and against one that keeps its old
// configuration after the partition has healed.
func TestPartitionedDomainServes(t *testing.T) {
	f := newFleet(t, plan.Litoral())
	Convey("Given a failure domain partitioned from all others and the platform", t, func() {
		others := append(f.otherNetworks(1), f.plan.LogNetwork())
		f.setPartition(f.plan.Network(1), others, true)
		local := f.domainVMs(1)
		Convey("it continues to serve with its own targets and its own share of the limits", func() {
			for _, i := range local {
				f.waitFor("served at "+f.nodeName(i), func() bool {
					return f.get("picker-one", "/quota/check", i).Status == fasthttp.StatusOK
				})
			}
			f.waitFor("a claim is granted inside it", func() bool {
				return f.post("picker-one", "/permits/issue", local[0], f.newID(local[0])).Status == fasthttp.StatusOK
			})
		})
		Convey("after the partition has healed, a change reaches it", func() {
			f.setPartition(f.plan.Network(1), others, false)
			version := f.switchPreset("peak")
			f.waitForVersion(version, local)
		})
	})
}
