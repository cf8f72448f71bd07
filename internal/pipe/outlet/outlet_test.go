package outlet

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// scripted answers the requests of each connection with the given bytes in turn
// and closes the connection when they are used up.
func scripted(t *testing.T, answers ...string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go play(c, answers)
		}
	}()
	return l.Addr().String()
}

func play(c net.Conn, answers []string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for _, a := range answers {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_ = req.Body.Close()
		if _, err := c.Write([]byte(a)); err != nil {
			return
		}
	}
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func ask(o *Outlet, attempt string) (*Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return o.Do(ctx, []byte(request), "GET", attempt)
}

func newOutlet(address string) *Outlet {
	o, _ := New(address, WithAttemptHeader("X-Id"))
	return o
}

const whole = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok"

func TestAnswers(t *testing.T) {
	Convey("Whole answers, by length, chunks or the end of the connection", t, func() {
		for _, answer := range []string{
			whole,
			"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nok",
			"HTTP/1.1 100 Continue\r\n\r\n" + whole,
		} {
			a, err := ask(newOutlet(scripted(t, answer)), "a")
			So(err, ShouldBeNil)
			So(a.Status, ShouldEqual, 200)
			So(string(a.Body), ShouldEqual, "ok")
		}
	})
	Convey("Cut and garbled answers are lost ones", t, func() {
		for _, answer := range []string{
			"",
			"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 9\r\n\r\nok",
			"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n",
			"no answer at all\r\n\r\n",
		} {
			_, err := ask(newOutlet(scripted(t, answer)), "a")
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldStartWith, ErrLost.Error())
		}
	})
}

func TestStrayAnswers(t *testing.T) {
	Convey("A late answer of an earlier request is skipped", t, func() {
		late := "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\nold"
		o := newOutlet(scripted(t, late+whole))
		a, err := ask(o, "a")
		So(err, ShouldBeNil)
		So(string(a.Body), ShouldEqual, "ok")
	})
	Convey("Bytes behind an answer end the connection", t, func() {
		o := newOutlet(scripted(t, whole+"extra", whole))
		_, err := ask(o, "a")
		So(err, ShouldBeNil)
		_, err = ask(o, "a")
		So(err, ShouldBeNil)
		So(o.Dials(), ShouldEqual, 2)
	})
	Convey("Only answers of others are a lost one", t, func() {
		o := newOutlet(scripted(t, whole))
		_, err := ask(o, "b")
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldStartWith, ErrLost.Error())
	})
}

func TestConnections(t *testing.T) {
	Convey("Connections are kept, unless the answer closes them or the peer did", t, func() {
		o := newOutlet(scripted(t, whole, whole, whole))
		for range 3 {
			_, err := ask(o, "a")
			So(err, ShouldBeNil)
		}
		So(o.Dials(), ShouldEqual, 1)
		o = newOutlet(scripted(t, "HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", whole))
		for range 2 {
			_, err := ask(o, "a")
			So(err, ShouldBeNil)
		}
		So(o.Dials(), ShouldEqual, 2)
	})
	Convey("A connection is left before the peer's own time for it ends", t, func() {
		o := newOutlet(scripted(t, "HTTP/1.1 200 OK\r\nX-Id: a\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok", whole))
		for range 2 {
			_, err := ask(o, "a")
			So(err, ShouldBeNil)
		}
		So(o.Dials(), ShouldEqual, 2)
	})
	Convey("Nobody listening means that nothing was sent", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := l.Addr().String()
		_ = l.Close()
		_, err = ask(newOutlet(address), "a")
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldStartWith, ErrRefused.Error())
	})
	Convey("A caller that leaves breaks the exchange off", t, func() {
		silent := scripted(t, "")
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := newOutlet(silent).Do(ctx, []byte(request), "GET", "a")
		So(err, ShouldNotBeNil)
	})
}
