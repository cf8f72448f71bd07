package frame

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/pipe/msg"

	"fuchsiapier/internal/pipe/accept"
)

// TestWithdrawal guards against a request that its sender withdraws and that goes on waiting, since the
// receiving node does not learn of it, and against a withdrawal that meets the next request.
func TestWithdrawal(t *testing.T) {
	Convey("A handler learns that its request is withdrawn, and its response arrives", t, func() {
		arrived := make(chan struct{}, 1)
		s, c := start(t, func(ctx context.Context, r *Request) *msg.Response {
			arrived <- struct{}{}
			select {
			case <-r.Withdrawn.Done():
				return msg.Plain(503, "refused")
			case <-ctx.Done():
				return nil
			}
		})
		withdrawn, withdraw := context.WithCancel(context.Background())
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		answers := make(chan *Answer, 1)
		go func() {
			a, _ := c.DoWithdrawable(ctx, withdrawn, request("1"), nil)
			answers <- a
		}()
		<-arrived
		withdraw()
		a := <-answers
		So(a, ShouldNotBeNil)
		So(a.Status, ShouldEqual, 503)
		So(eventually(func() bool { return s.Pending() == 0 }), ShouldBeTrue)
	})
	Convey("A connection on which a withdrawal was sent is not used again", t, func() {
		withdrawnRequests := 0
		_, c := start(t, func(ctx context.Context, r *Request) *msg.Response {
			if r.Header.Get("x-id") == "1" {
				<-r.Withdrawn.Done()
			}
			if r.Header.Get("x-id") == "2" && r.Withdrawn.Err() != nil {
				withdrawnRequests++
			}
			return echo(ctx, r)
		})
		withdrawn, withdraw := context.WithCancel(context.Background())
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		withdraw()
		a, err := c.DoWithdrawable(ctx, withdrawn, request("1"), nil)
		So(err, ShouldBeNil)
		So(a.Status, ShouldEqual, 201)
		_, err = do(c, "2")
		So(err, ShouldBeNil)
		So(withdrawnRequests, ShouldEqual, 0)
		So(c.Dials(), ShouldEqual, 2)
	})
	Convey("A withdrawal without a request, or after its response, changes nothing", t, func() {
		s, _ := start(t, echo)
		near, far := pair(t)
		go s.serve(accept.NewConn(far, accept.Unlimited()))
		c := newCodec(testBodies())
		for _, id := range []string{"1", "2"} {
			_, err := near.Write(withdrawal)
			So(err, ShouldBeNil)
			encoded, err := c.appendHead(requestFields(request(id), nil), 0)
			So(err, ShouldBeNil)
			_, err = near.Write(encoded)
			So(err, ShouldBeNil)
			fields, _, err := c.read(near)
			So(err, ShouldBeNil)
			So(fields.Get("X-Proof"), ShouldEqual, "p"+id)
		}
	})
}
