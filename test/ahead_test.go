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

// requestsAhead is how many requests a caller that sends ahead keeps under way on its connection.
const requestsAhead = 4

// callAhead keeps several idempotent requests under way on one connection after the other, until done is
// closed. Those behind a response that closes the connection, or behind its end, get no response.
func (s *soak) callAhead(v *vm, caller int, done chan struct{}) {
	for i := 0; ; {
		select {
		case <-done:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", v.address(portOutbound), time.Second)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		i = s.sendAhead(v, conn, caller, i, done)
		_ = conn.Close()
	}
}

// sendAhead uses a connection until it ends or done is closed, and returns the number of requests so far.
func (s *soak) sendAhead(v *vm, conn net.Conn, caller, i int, done chan struct{}) int {
	reader := bufio.NewReader(conn)
	var ahead []sending
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.sent = append(s.sent, ahead...)
	}()
	for {
		open := true
		select {
		case <-done:
			open = len(ahead) > 0
		default:
			for ; len(ahead) < requestsAhead; i++ {
				one := sending{
					vm:  v,
					id:  fmt.Sprintf("%s-ahead%d-%d", v.name, caller, i),
					key: "key-1",
					at:  time.Now(),
				}
				sent := one.send(conn)
				ahead = append(ahead, one)
				if !sent {
					i++
					break
				}
			}
		}
		if !open || !ahead[0].receive(reader) {
			return i
		}
		s.mu.Lock()
		s.sent = append(s.sent, ahead[0])
		s.mu.Unlock()
		ahead = ahead[1:]
	}
}

// TestServeStopWithRequestsAhead guards against requests that run and get no response in a planned stop,
// because their callers send ahead, so that some are pending on each connection at any time.
func TestServeStopWithRequestsAhead(t *testing.T) {
	Convey("A node that stops answers what it has passed on of requests that are sent ahead", t, func() {
		s := newSoak(t, 0, 1)
		for _, v := range s.vms {
			v.server.SetServiceTime(300 * time.Millisecond)
		}
		v := s.vms[0]
		done := make(chan struct{})
		var callers sync.WaitGroup
		for i := range 8 {
			callers.Go(func() { s.callAhead(v, i, done) })
		}
		time.Sleep(time.Second)
		_ = v.node.Process.Signal(syscall.SIGTERM)
		<-v.exited
		close(done)
		callers.Wait()
		So(len(s.sent), ShouldBeGreaterThan, 8*requestsAhead)
		So(s.check(), ShouldBeEmpty)
	})
}
