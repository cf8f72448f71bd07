package test

import (
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestServeStopUnderLastingLoad guards against requests that were read and run and get no response
// in a planned stop, because callers that keep sending leave the node no time without pending
// requests.
func TestServeStopUnderLastingLoad(t *testing.T) {
	Convey("A node that stops under callers that never pause answers all that it has read", t, func() {
		s := newSoak(t, 0, 1)
		for _, v := range s.vms {
			v.server.SetServiceTime(200 * time.Millisecond)
		}
		v := s.vms[0]
		done := make(chan struct{})
		var callers sync.WaitGroup
		for i := range 24 {
			callers.Go(func() { s.call(v, i, done) })
		}
		time.Sleep(500 * time.Millisecond)
		_ = v.node.Process.Signal(syscall.SIGTERM)
		<-v.exited
		close(done)
		callers.Wait()
		So(len(s.sent), ShouldBeGreaterThan, 0)
		So(s.check(), ShouldBeEmpty)
	})
}
