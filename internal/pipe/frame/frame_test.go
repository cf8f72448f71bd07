package frame

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/pipe/accept"
	"fuchsiapier/internal/pipe/body"
	"fuchsiapier/internal/pipe/httpc"
	"fuchsiapier/internal/pipe/msg"
)

// waitTimeout bounds waits for conditions that should hold almost at once.
const waitTimeout = 10 * time.Second

func request(id string) *msg.Request {
	return &msg.Request{
		Method:  "POST",
		URI:     "/tide/" + id + "?q=1",
		Host:    "h.example",
		Fields:  []byte("User-Agent: sdk-client/1.9.3\r\nX-Id: " + id + "\r\n"),
		Body:    body.Of([]byte("body " + id)),
		HasBody: true,
	}
}

func echo(_ context.Context, r *Request) *msg.Response {
	return &msg.Response{
		Status: 201,
		Fields: []byte("X-Proof: p" + r.Header.Get("x-id") + "\r\n"),
		Body:   body.Of(r.Body.AppendTo([]byte(r.Method + " " + r.URI + " " + r.Host + " "))),
	}
}

func start(t *testing.T, h Handler) (*Server, *Client) {
	t.Helper()
	s, stop, err := Serve("127.0.0.1:0", h, accept.Unlimited(), zerolog.Nop(), "X-Id")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	c := NewClient(s.Address(), []httpc.Option{httpc.WithDialTimeout(time.Second), httpc.WithTCPUserTimeout(time.Second)}, testBodies(), "X-Id")
	t.Cleanup(c.Close)
	return s, c
}

func do(c *Client, id string) (*Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return c.Do(ctx, request(id), []byte("Fp-Call: quota\r\n"))
}

func eventually(f func() bool) bool {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

// TestExchange guards against messages that are altered between nodes, as
// when a field is lost in the compression, and against forwarding fields that are
// meant for the node only.
func TestExchange(t *testing.T) {
	Convey("Requests and responses pass unchanged, several on one connection", t, func() {
		_, c := start(t, echo)
		for _, id := range []string{"1", "2", "3"} {
			a, err := do(c, id)
			So(err, ShouldBeNil)
			So(a.Status, ShouldEqual, 201)
			So(string(a.Body.Bytes()), ShouldEqual, "POST /tide/"+id+"?q=1 h.example body "+id)
			So(string(a.Header.Lines()), ShouldEqual, "X-Proof: p"+id+"\r\n")
		}
		So(c.Dials(), ShouldEqual, 1)
	})
	Convey("Fields for the node itself can be left out of the lines to forward", t, func() {
		_, c := start(t, func(_ context.Context, r *Request) *msg.Response {
			return msg.Plain(200, r.Header.Get("Fp-Call")+"|"+string(r.Header.Lines("Fp-Call")))
		})
		a, err := do(c, "1")
		So(err, ShouldBeNil)
		So(string(a.Body.Bytes()), ShouldEqual, "quota|User-Agent: sdk-client/1.9.3\r\nX-Id: 1\r\n\n")
	})
}

// TestMalformedMessagesOfNodes guards against a response of another node that is no answer in the protocol and
// reaches the caller as one, or a request with such a field that reaches a target.
func TestMalformedMessagesOfNodes(t *testing.T) {
	field := func(name, value string) Fields {
		return Fields{
			{Name: fieldMethod, Value: "GET"},
			{Name: fieldPath, Value: "/"},
			{Name: fieldStatus, Value: "200"},
			{Name: name, Value: value},
		}
	}
	Convey("Fields that may not stand in a head are malformed", t, func() {
		for _, f := range []Fields{field("X Id", "a"), field("", "a"), field("X-Id\x01", "a"), field("X-Id", "a\r\nX-Other: b"), field("X-Id", "a\x00")} {
			_, err := decodeResponse(f, body.Body{})
			So(errors.Is(err, errMalformed), ShouldBeTrue)
			_, err = decodeRequest(f, body.Body{})
			So(errors.Is(err, errMalformed), ShouldBeTrue)
		}
		_, err := decodeResponse(field("X-Id", "a\tb \xfc"), body.Body{})
		So(err, ShouldBeNil)
	})
	Convey("So are statuses that no final response has", t, func() {
		for _, status := range []string{"0", "000", "100", "199", "600", "-200", "", "2x"} {
			_, err := decodeResponse(Fields{{Name: fieldStatus, Value: status}}, body.Body{})
			So(errors.Is(err, errMalformed), ShouldBeTrue)
		}
	})
}

// TestRepeatedFieldsAreCompressed guards against more billed bytes between failure
// domains, as when each request sends its repeated fields in full.
func TestRepeatedFieldsAreCompressed(t *testing.T) {
	Convey("A short request that repeats fields has less than half of the size of its text", t, func() {
		c := newCodec(testBodies(), "X-Id")
		fields := func(id string) Fields {
			r := request(id)
			r.Body, r.HasBody = body.Body{}, false
			return requestFields(r, []byte("X-Fuchsia-Caller-Service: landings\r\n"))
		}
		first, err := c.appendHead(fields("6366cff5387c3798"), 0)
		So(err, ShouldBeNil)
		second, err := c.appendHead(fields("7d0f6b9a55588a49"), 0)
		So(err, ShouldBeNil)
		text := request("7d0f6b9a55588a49").AppendHead(nil)
		So(len(second), ShouldBeLessThan, len(text)/2)
		So(len(second), ShouldBeLessThan, len(first))
	})
}

// TestCancellation guards against requests that run on after the requesting node has
// canceled them, and against a missing response that is taken for a request not sent.
func TestCancellation(t *testing.T) {
	Convey("A cancelled request ends the context of its handler", t, func() {
		started, ended := make(chan struct{}), make(chan struct{})
		_, c := start(t, func(ctx context.Context, _ *Request) *msg.Response {
			close(started)
			<-ctx.Done()
			close(ended)
			return nil
		})
		ctx, cancel := context.WithCancel(context.Background())
		failed := make(chan error, 1)
		go func() {
			_, err := c.Do(ctx, request("1"), nil)
			failed <- err
		}()
		<-started
		cancel()
		So(errors.Is(<-failed, httpc.ErrContextDone), ShouldBeTrue)
		So(eventually(func() bool {
			select {
			case <-ended:
				return true
			default:
				return false
			}
		}), ShouldBeTrue)
	})
	Convey("A nil response is reported as lost", t, func() {
		_, c := start(t, func(context.Context, *Request) *msg.Response { return nil })
		_, err := do(c, "1")
		So(errors.Is(err, httpc.ErrResponseLost), ShouldBeTrue)
	})
}

// TestQuiesceAnswersWhatWasRead guards against requests lost when a node restarts
// under load: Quiesce must not close a connection whose request has been read.
func TestQuiesceAnswersWhatWasRead(t *testing.T) {
	Convey("A server that quiesces under load answers each request that it has read", t, func() {
		var handled, answered, lost atomic.Int64
		s, c := start(t, func(ctx context.Context, r *Request) *msg.Response {
			handled.Add(1)
			return echo(ctx, r)
		})
		var senders sync.WaitGroup
		for range 10 {
			senders.Go(func() {
				for {
					_, err := do(c, "1")
					switch {
					case err == nil:
						answered.Add(1)
						continue
					case errors.Is(err, httpc.ErrResponseLost):
						lost.Add(1)
					}
					return
				}
			})
		}
		So(eventually(func() bool { return answered.Load() > 500 }), ShouldBeTrue)
		s.Quiesce()
		senders.Wait()
		So(eventually(func() bool { return s.Pending() == 0 }), ShouldBeTrue)
		So(answered.Load(), ShouldEqual, handled.Load())
	})
}

// FuzzRead guards against panics on frames from the network, and against accepting a
// request without a method or path.
func FuzzRead(f *testing.F) {
	encoded, err := newCodec(testBodies()).appendHead(requestFields(request("1"), nil), len("body"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(append(encoded, "body"...))
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0, 0, 0, 2, 0, 9})
	f.Add([]byte(strings.Repeat("\xff", 16)))
	f.Fuzz(func(t *testing.T, data []byte) {
		fields, content, err := newCodec(testBodies()).read(bytes.NewReader(data))
		if err != nil {
			return
		}
		if r, err := decodeRequest(fields, content); err == nil && (r.Method == "" || r.URI == "") {
			t.Fatal("request without a method or path")
		}
		_, _ = decodeResponse(fields, content)
	})
}

// testBodies returns a bound that no test reaches.
func testBodies() *httpc.Bodies {
	return httpc.NewBodies(maxFrame, maxFrame)
}
