package httpc

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/base/budget"
)

// TestConnectionsAreBounded guards against clients that open more connections than the process has
// descriptors, so that readiness checks and the store have none.
func TestConnectionsAreBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	Convey("Beyond the bound nothing is sent; idle connections of others are closed for new ones", t, func() {
		b := budget.New(2, budget.WithHeadroom(1))
		one, closeOne := New(l.Addr().String(), WithConnections(b))
		defer closeOne()
		two, closeTwo := New(l.Addr().String(), WithConnections(b))
		defer closeTwo()
		ctx := context.Background()
		hold := func(p *Pool) (finish func(), result chan error) {
			held, done, result := make(chan struct{}), make(chan struct{}), make(chan error, 1)
			go func() {
				result <- p.Exchange(ctx, func(c *Conn) (bool, error) {
					c.FreshUntil = time.Now().Add(time.Minute)
					close(held)
					<-done
					return true, nil
				})
			}()
			<-held
			return func() { close(done) }, result
		}
		finishFirst, first := hold(one)
		finishSecond, second := hold(one)
		err := two.Probe(ctx)
		So(errors.Is(err, ErrNotSent), ShouldBeTrue)
		So(errors.Is(err, ErrNoConnection), ShouldBeTrue)
		finishFirst()
		So(<-first, ShouldBeNil)
		finishSecond()
		So(<-second, ShouldBeNil)
		So(len(one.idle), ShouldEqual, 2)
		deadline := time.Now().Add(10 * time.Second)
		for err = two.Probe(ctx); err != nil && time.Now().Before(deadline); err = two.Probe(ctx) {
			time.Sleep(10 * time.Millisecond)
		}
		So(err, ShouldBeNil)
		So(one.Exchange(ctx, func(*Conn) (bool, error) { return false, nil }), ShouldBeNil)
	})
	Convey("A connection that is closed leaves room for another", t, func() {
		b := budget.New(1)
		p, closePool := New(l.Addr().String(), WithConnections(b))
		defer closePool()
		for range 5 {
			So(p.Exchange(context.Background(), func(*Conn) (bool, error) { return false, nil }), ShouldBeNil)
		}
		So(p.Probe(context.Background()), ShouldBeNil)
		p.Trim(time.Now().Add(time.Hour))
		So(b.Used(budget.Answers), ShouldEqual, 0)
		refused, _ := New("127.0.0.1:1", WithConnections(b))
		So(errors.Is(refused.Probe(context.Background()), ErrRefused), ShouldBeTrue)
		So(b.Used(budget.Answers), ShouldEqual, 0)
	})
}
