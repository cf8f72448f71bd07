package agent

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/base/budget"
	"fuchsiapier/internal/conf/deploy"
)

// TestBudgetsFollowSettings guards against budgets that exceed the limits of the VM, or that clients inside the
// users' limits meet.
func TestBudgetsFollowSettings(t *testing.T) {
	none := func(bool) {}
	Convey("All connections together stay within the descriptors, and a request of the largest size fits", t, func() {
		for _, s := range []deploy.Settings{
			{MemoryBytes: 184 << 20, Descriptors: 4100},
			{MemoryBytes: 284 << 20, Descriptors: 4100},
			{MemoryBytes: 536 << 20, Descriptors: 8192},
			{MemoryBytes: 128 << 20, Descriptors: 1024},
			{},
		} {
			b := newBudgets(s, none, none)
			descriptors := int64(s.Descriptors)
			if descriptors == 0 {
				descriptors = defaultDescriptors
			}
			all := b.callers.Largest() + b.nodes.Largest() + b.outgoing.Largest() + smallListeners*b.smallRequests
			So(all, ShouldBeLessThanOrEqualTo, descriptors-fileDescriptors-storeDescriptors)
			So(b.outgoing.Largest(), ShouldBeGreaterThan, descriptors/8)
			So(b.memory.Largest(), ShouldBeLessThan, memoryLimit(s)/2)
			if s.MemoryBytes >= 184<<20 {
				So(b.memory.Largest(), ShouldBeGreaterThanOrEqualTo, 64<<20)
			}
		}
		b := newBudgets(deploy.Settings{Descriptors: 10}, none, none)
		So(b.callers.Largest(), ShouldBeGreaterThan, 0)
		So(b.outgoing.Largest(), ShouldBeGreaterThan, 0)
	})
	Convey("Changed settings change the memory at once", t, func() {
		a := &Agent{
			budgets: newBudgets(deploy.Settings{MemoryBytes: 100 << 20}, none, none),
		}
		before := a.budgets.memory.Largest()
		a.setMemoryLimit(deploy.Settings{MemoryBytes: 200 << 20})
		So(a.budgets.memory.Largest(), ShouldEqual, 2*before)
		share := a.budgets.memory.Open(budget.Callers)
		So(share.Grow(before+1), ShouldBeNil)
		a.setMemoryLimit(deploy.Settings{MemoryBytes: 100 << 20})
		So(share.Grow(1), ShouldNotBeNil)
		share.Release()
	})
}
