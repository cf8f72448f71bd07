package accept

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/base/budget"
)

// waitTimeout bounds the wait for a condition.
const waitTimeout = 10 * time.Second

// TestLimit guards against connections without progress that keep others from a listener for small requests, such
// as readiness checks.
func TestLimit(t *testing.T) {
	Convey("The connection that has received nothing for longest is closed for a new one", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		connections := budget.New(4, budget.WithHeadroom(1))
		limited := Limit(l, Budgets{
			Owner:       budget.Callers,
			Connections: connections,
			Memory:      budget.Unlimited(),
		})
		defer func() { _ = limited.Close() }()
		go func() {
			for {
				c, err := limited.Accept()
				if errors.Is(err, net.ErrClosed) {
					return
				}
				go func() {
					defer func() { _ = c.Close() }()
					var b [1]byte
					if _, err := io.ReadFull(c, b[:]); err == nil {
						_, _ = c.Write(b[:])
					}
				}()
			}
		}()
		for range 12 {
			c, err := net.Dial("tcp", l.Addr().String())
			So(err, ShouldBeNil)
			defer func() { _ = c.Close() }()
		}
		answered := false
		for end := time.Now().Add(waitTimeout); !answered && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			c, err := net.Dial("tcp", l.Addr().String())
			So(err, ShouldBeNil)
			_ = c.SetDeadline(time.Now().Add(time.Second))
			_, _ = c.Write([]byte("x"))
			var b [1]byte
			_, err = io.ReadFull(c, b[:])
			answered = err == nil
			_ = c.Close()
		}
		So(answered, ShouldBeTrue)
		So(connections.Used(budget.Callers), ShouldBeLessThanOrEqualTo, 4)
		So(connections.Evictions(), ShouldBeGreaterThan, 0)
	})
}
