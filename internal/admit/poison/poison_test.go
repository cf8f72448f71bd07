package poison

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/admit/crash"
)

// TestSuspicionTravelsWithTheCall guards against a request that crashes one target after
// another because each node hears of the crashes before it too late: the node that sends
// the call knows of them from the replies and passes its knowledge on with the call.
func TestSuspicionTravelsWithTheCall(t *testing.T) {
	const fingerprint = 77
	running := []crash.Fingerprint{fingerprint}
	newTracker := func() *Tracker {
		return New(func(crash.Crash) {})
	}
	Convey("A second crash convicts the request although its node heard of no crash before", t, func() {
		sender, first, second := newTracker(), newTracker(), newTracker()
		sender.Learn("first", []crash.Crash{first.RecordCrash(1, running)})
		second.Learn("sender", sender.Evidence(fingerprint))
		second.RecordCrash(2, running)
		standing, _ := second.Lookup(fingerprint)
		So(standing, ShouldEqual, crash.Quarantined)
	})
	Convey("A request that has run well is no longer passed on as suspected", t, func() {
		sender := newTracker()
		sender.RecordCrash(1, running)
		So(len(sender.Evidence(fingerprint)), ShouldEqual, 1)
		sender.RecordSuccess(fingerprint)
		So(sender.Evidence(fingerprint), ShouldBeEmpty)
	})
}
