package test

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// lossSlack is the time after which a request that a node has read counts as lost if its connection ends
// without an answer.
const lossSlack = 200 * time.Millisecond

// TestServeStopWhileRequestsWait guards against requests that no server has got yet and that are dropped
// without an answer when the node that took them stops, since they wait at another node.
func TestServeStopWhileRequestsWait(t *testing.T) {
	Convey("A node that stops under overload answers the requests that wait for a server", t, func() {
		s := newSoak(t, 0, 1)
		for _, v := range s.vms {
			if v.service == "front" {
				v.server.SetServiceTime(700 * time.Millisecond)
			}
		}
		// Servers of this VM's service are called by the others only.
		v := s.vms[1]
		done := make(chan struct{})
		var callers sync.WaitGroup
		var mu sync.Mutex
		var lost []string
		served := 0
		for i := range 250 {
			callers.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-done:
						return
					default:
					}
					one := sending{
						vm:   v,
						id:   fmt.Sprintf("waiting-%d-%d", i, n),
						once: i%2 == 0,
						key:  "key-1",
						at:   time.Now(),
					}
					conn, err := net.DialTimeout("tcp", v.address(portOutbound), time.Second)
					if err != nil {
						time.Sleep(20 * time.Millisecond)
						continue
					}
					one.exchange(conn, bufio.NewReader(conn))
					_ = conn.Close()
					mu.Lock()
					s.sent = append(s.sent, one)
					if one.status == 0 && time.Since(one.at) > lossSlack {
						lost = append(lost, fmt.Sprintf("%s after %v", one.id, time.Since(one.at)))
					}
					if one.status == 200 {
						served++
					}
					mu.Unlock()
				}
			})
		}
		time.Sleep(4 * time.Second)
		_ = v.node.Process.Signal(syscall.SIGTERM)
		<-v.exited
		close(done)
		callers.Wait()
		So(served, ShouldBeGreaterThan, 50)
		So(lost, ShouldBeEmpty)
		So(s.check(), ShouldBeEmpty)
	})
}
