package remote

import (
	"context"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/base/budget"
	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/node/call"
	"fuchsiapier/internal/pipe/accept"
	"fuchsiapier/internal/pipe/body"
	"fuchsiapier/internal/pipe/frame"
	"fuchsiapier/internal/pipe/httpc"
	"fuchsiapier/internal/pipe/msg"
)

// TestCallsWithoutMemory guards against a call that ends as possibly run although the other node, or this
// one, had no room for it.
func TestCallsWithoutMemory(t *testing.T) {
	send := func(links *Links, to peers.Node, size int) call.Result {
		return links.Send(context.Background(), to, &call.Call{
			Attempt:  "a1",
			Service:  "quota",
			Deadline: time.Now().Add(10 * time.Second),
			Due:      time.Now().Add(time.Second),
			Request: &msg.Request{
				Method:  "POST",
				URI:     "/x",
				Host:    "h",
				Body:    body.Of(make([]byte, size)),
				HasBody: true,
			},
		})
	}
	Convey("A call for which the other node has no memory, or this one no connection, has not run", t, func() {
		gate := &echoGate{}
		receiver := NewReceiver(gate, names, func() []byte { return nil })
		server, stop, err := frame.Serve("127.0.0.1:0", receiver.Handle, accept.Budgets{
			Owner:       budget.Nodes,
			Connections: budget.Unlimited(),
			Memory:      budget.New(100 << 10),
		}, zerolog.Nop(), names.Attempt)
		So(err, ShouldBeNil)
		defer stop()
		_, port, _ := net.SplitHostPort(server.Address())
		gatePort, _ := strconv.ParseUint(port, 10, 16)
		to := peers.Node{
			Name:     "there",
			IP:       "127.0.0.1",
			GatePort: uint16(gatePort),
		}
		connections := budget.New(1)
		links, closeLinks := New(peers.Node{Name: "here"}, names, httpc.NewBodies(1<<20, 1<<20), WithConnections(connections))
		defer closeLinks()
		r := send(links, to, 200<<10)
		So(r.Outcome, ShouldEqual, call.NotRun)
		So(r.Reason, ShouldEqual, call.NoMemory)
		So(r.Reached, ShouldBeFalse)
		So(r.RetryAfter, ShouldBeGreaterThan, 0)
		So(gate.last, ShouldBeNil)
		So(send(links, to, 1<<10).Reached, ShouldBeTrue)
		So(gate.last, ShouldNotBeNil)

		links.Trim(time.Now().Add(time.Hour), nil)
		taken := connections.Open(budget.Answers)
		So(taken.Grow(1), ShouldBeNil)
		r = send(links, to, 1<<10)
		So(r.Outcome, ShouldEqual, call.NotRun)
		So(r.Reason, ShouldEqual, call.NoConnection)
		So(r.Reached, ShouldBeFalse)
	})
}
