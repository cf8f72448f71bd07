package test

import (
	"encoding/binary"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/lab/crowd"
	"fuchsiapier/platform"
)

// The VM of the crowds: smaller than any of the users', so that a small crowd shows what a large one does there.
var crowdMachine = machine{
	memoryMB:  128,
	maxFDs:    1024,
	bodyBytes: 8 << 20,
}

const (
	// crowdBody is the largest body that crowdMachine allows, megabyte the unit of smaller ones, in bytes.
	crowdBody = 8 << 20
	megabyte  = 1 << 20
	// crowdServiceTime keeps requests at their servers while others of the crowd come in.
	crowdServiceTime = 1500 * time.Millisecond
	// crowdHold is how long a crowd holds its connections after it has sent all.
	crowdHold = 2 * time.Second
)

// toFront completes the settings of a crowd whose requests go to the front service.
func toFront(s crowd.Settings) crowd.Settings {
	s.Method = http.MethodPost
	s.Path = "/once/crowd"
	s.Host = "front.example"
	s.Fields = "Authorization: Token key-1\r\n" + platform.HeaderNames.Deadline + ": 20000\r\n"
	s.AttemptField = platform.HeaderNames.Attempt
	return s
}

// meetCrowd starts a cluster and lets a crowd come to a port of the VM with the given index, and checks
// that each node stays within its VM, lives, and answers ordinary requests while the crowd holds its
// connections and afterwards. serviceTime is that of the front service.
func meetCrowd(t *testing.T, m machine, at, port int, serviceTime time.Duration, s crowd.Settings) {
	t.Helper()
	c := newClusterOn(t, 1, m)
	var meters []*usageMeter
	for _, v := range c.vms {
		if v.service == "front" {
			v.server.SetServiceTime(serviceTime)
		}
		meters = append(meters, v.measureUsage())
	}
	v := c.vms[at]
	s.Address = v.address(port)
	clients, stop := crowd.Start(s)
	clients.WaitSent()
	time.Sleep(crowdHold)
	answers := func() bool { return v.requestStatus(http.MethodGet, "/safe/", "key-1") == http.StatusOK }
	c.waitFor("an ordinary request is answered beside the crowd", answers)
	report := clients.Report()
	stop()
	c.waitFor("an ordinary request is answered after the crowd", answers)
	for i, m := range meters {
		peak := m.Peak()
		t.Logf("%s: %d MB (%d resident, %d unread), %d descriptors", c.vms[i].name, peak.memory>>20, peak.resident>>20, peak.unread>>20, peak.descriptors)
	}
	t.Logf("crowd: %+v", report)
	for i, meter := range meters {
		So(c.vms[i].lives(), ShouldBeTrue)
		So(meter.Peak().memory, ShouldBeLessThanOrEqualTo, int64(m.memoryMB)<<20)
		So(meter.Peak().descriptors, ShouldBeLessThanOrEqualTo, m.maxFDs)
	}
}

// lives reports whether the VM's node has not exited.
func (v *vm) lives() bool {
	select {
	case <-v.exited:
		return false
	default:
		return true
	}
}

// TestCrowdLargeBodies guards against bodies of the largest size that stop a byte short of their end and
// hold more memory than the VM has.
func TestCrowdLargeBodies(t *testing.T) {
	Convey("Large bodies that never end, sent at once", t, func() {
		meetCrowd(t, crowdMachine, 0, portOutbound, 0, toFront(crowd.Settings{
			Clients:   32,
			Requests:  1,
			Announced: crowdBody,
			Sent:      crowdBody - 1,
		}))
	})
}

// TestCrowdLargeBodiesInPieces is like TestCrowdLargeBodies, with bodies that arrive piece by piece.
func TestCrowdLargeBodiesInPieces(t *testing.T) {
	Convey("Large bodies that never end, sent piece by piece", t, func() {
		meetCrowd(t, crowdMachine, 0, portOutbound, 0, toFront(crowd.Settings{
			Clients:   32,
			Requests:  1,
			Announced: crowdBody,
			Sent:      crowdBody - 1,
			Piece:     16 << 10,
			Pause:     2 * time.Millisecond,
		}))
	})
}

// TestCrowdMediumBodies guards against many bodies of a usual size that stop a byte short of their end.
func TestCrowdMediumBodies(t *testing.T) {
	Convey("Many bodies that never end", t, func() {
		meetCrowd(t, crowdMachine, 0, portOutbound, 0, toFront(crowd.Settings{
			Clients:   600,
			Requests:  1,
			Announced: 400_000,
			Sent:      400_000 - 1,
		}))
	})
}

// TestCrowdWholeBodiesNear guards against large requests whose server, beside the node, is at work while
// their bodies are held several times.
func TestCrowdWholeBodiesNear(t *testing.T) {
	Convey("Large whole requests at the node beside their server", t, func() {
		meetCrowd(t, crowdMachine, 0, portOutbound, crowdServiceTime, toFront(crowd.Settings{
			Clients:   32,
			Requests:  1,
			Announced: crowdBody,
			Sent:      crowdBody,
		}))
	})
}

// TestCrowdWholeBodiesFar is like TestCrowdWholeBodiesNear, with servers beside other nodes: these hold
// the bodies as well.
func TestCrowdWholeBodiesFar(t *testing.T) {
	Convey("Large whole requests whose servers are beside other nodes", t, func() {
		meetCrowd(t, crowdMachine, 1, portOutbound, crowdServiceTime, toFront(crowd.Settings{
			Clients:   32,
			Requests:  1,
			Announced: crowdBody,
			Sent:      crowdBody,
		}))
	})
}

// TestCrowdLargeChunks guards against chunked bodies of large chunks that stop short of their end.
func TestCrowdLargeChunks(t *testing.T) {
	Convey("Chunked bodies that never end, in large chunks", t, func() {
		meetCrowd(t, crowdMachine, 0, portOutbound, 0, toFront(crowd.Settings{
			Clients:   32,
			Requests:  1,
			Announced: crowdBody,
			Sent:      crowdBody - megabyte,
			Chunk:     megabyte,
		}))
	})
}

// TestCrowdSmallChunks is like TestCrowdLargeChunks, with chunks of 1 KB.
func TestCrowdSmallChunks(t *testing.T) {
	Convey("Chunked bodies that never end, in small chunks", t, func() {
		meetCrowd(t, crowdMachine, 0, portOutbound, 0, toFront(crowd.Settings{
			Clients:   32,
			Requests:  1,
			Announced: crowdBody,
			Sent:      crowdBody - 1024,
			Chunk:     1024,
		}))
	})
}

// TestCrowdSmallestChunks is like TestCrowdLargeChunks, with chunks of one byte.
func TestCrowdSmallestChunks(t *testing.T) {
	Convey("Chunked bodies that never end, in chunks of one byte", t, func() {
		meetCrowd(t, crowdMachine, 0, portOutbound, 0, toFront(crowd.Settings{
			Clients:   64,
			Requests:  1,
			Announced: crowdBody,
			Sent:      4 * megabyte,
			Chunk:     1,
		}))
	})
}

// largestBody is the largest body of the users' configurations, in bytes.
const largestBody = 64 << 20

// TestCrowdAnnounced guards against memory that is reserved for what a request only announces.
func TestCrowdAnnounced(t *testing.T) {
	Convey("Bodies that are announced and don't come", t, func() {
		m := crowdMachine
		m.bodyBytes = largestBody
		meetCrowd(t, m, 0, portOutbound, 0, toFront(crowd.Settings{
			Clients:   16,
			Requests:  1,
			Announced: 60 * megabyte,
			Sent:      1,
		}))
	})
}

// TestCrowdExpects is like TestCrowdAnnounced, with clients that wait to be told to send the body.
func TestCrowdExpects(t *testing.T) {
	Convey("Bodies that are announced with Expect and don't come", t, func() {
		m := crowdMachine
		m.bodyBytes = largestBody
		meetCrowd(t, m, 0, portOutbound, 0, toFront(crowd.Settings{
			Clients:   16,
			Requests:  1,
			Announced: 60 * megabyte,
			Expect:    true,
		}))
	})
}

// TestCrowdOverLimitAnnounced guards against bodies beyond the limit that are announced and sent.
func TestCrowdOverLimitAnnounced(t *testing.T) {
	Convey("Bodies far over the limit, with their length", t, func() {
		meetCrowd(t, crowdMachine, 0, portOutbound, 0, toFront(crowd.Settings{
			Clients:   64,
			Requests:  1,
			Announced: 64 * megabyte,
			Sent:      64 * megabyte,
		}))
	})
}

// TestCrowdOverLimitChunked guards against bodies beyond the limit that are sent without being announced.
func TestCrowdOverLimitChunked(t *testing.T) {
	Convey("Bodies far over the limit, in chunks", t, func() {
		meetCrowd(t, crowdMachine, 0, portOutbound, 0, toFront(crowd.Settings{
			Clients:   64,
			Requests:  1,
			Announced: 64 * megabyte,
			Sent:      64 * megabyte,
			Chunk:     64 << 10,
		}))
	})
}

// TestCrowdAhead guards against requests that are sent ahead of responses and wait in the node and,
// unread, in its sockets.
func TestCrowdAhead(t *testing.T) {
	Convey("Many requests with bodies sent ahead on each connection", t, func() {
		meetCrowd(t, crowdMachine, 0, portOutbound, crowdServiceTime, toFront(crowd.Settings{
			Clients:   24,
			Requests:  40,
			Announced: megabyte,
			Sent:      megabyte,
		}))
	})
}

// TestCrowdSmallAhead guards against many small requests sent ahead on many connections, whose goroutines and
// connections to other nodes hold more than their bytes.
func TestCrowdSmallAhead(t *testing.T) {
	Convey("Many small requests sent ahead on many connections", t, func() {
		meetCrowd(t, crowdMachine, 0, portOutbound, crowdServiceTime, toFront(crowd.Settings{
			Clients:   400,
			Requests:  40,
			Announced: 100,
			Sent:      100,
		}))
	})
}

// TestCrowdHeadsAhead is like TestCrowdSmallAhead, with heads that are nearly as large as the limit: each is held
// several times.
func TestCrowdHeadsAhead(t *testing.T) {
	Convey("Many requests with large heads sent ahead on many connections", t, func() {
		s := toFront(crowd.Settings{
			Clients:  150,
			Requests: 40,
		})
		s.Fields += "X-Large: " + strings.Repeat("x", 15<<10) + "\r\n"
		meetCrowd(t, crowdMachine, 0, portOutbound, crowdServiceTime, s)
	})
}

// TestCrowdUnread guards against responses that their callers don't read.
func TestCrowdUnread(t *testing.T) {
	Convey("Large responses that are not read", t, func() {
		s := toFront(crowd.Settings{
			Clients:  64,
			Requests: 4,
			Unread:   true,
		})
		s.Path = largePath
		meetCrowd(t, crowdMachine, 0, portOutbound, 0, s)
	})
}

// TestCrowdFrames guards against another node that announces requests and doesn't send them whole.
func TestCrowdFrames(t *testing.T) {
	Convey("Frames that never end", t, func() {
		const frameBytes = 8 * megabyte
		meetCrowd(t, crowdMachine, 0, portInbound, 0, crowd.Settings{
			Clients:   32,
			Requests:  1,
			Head:      string(binary.BigEndian.AppendUint32(nil, frameBytes)) + "\x00\x00",
			Announced: frameBytes,
			Sent:      frameBytes - megabyte,
		})
	})
}

// TestCrowdDuringShutdown guards against a shutdown that a crowd keeps from ending, and that loses the
// requests of ordinary callers.
func TestCrowdDuringShutdown(t *testing.T) {
	Convey("A node that stops in the midst of a crowd answers what runs, and exits", t, func() {
		c := newClusterOn(t, 1, crowdMachine)
		v := c.vms[0]
		meter := v.measureUsage()
		clients, stop := crowd.Start(toFront(crowd.Settings{
			Address:   v.address(portOutbound),
			Clients:   32,
			Requests:  1,
			Announced: crowdBody,
			Sent:      crowdBody - 1,
			Piece:     16 << 10,
			Pause:     2 * time.Millisecond,
		}))
		defer stop()
		c.waitFor("requests are served beside the crowd", func() bool { return v.requestStatus(http.MethodPost, "/once/", "key-1") == http.StatusOK })
		for _, v := range c.vms {
			v.server.SetServiceTime(crowdServiceTime / 2)
		}
		answered := make(chan int, 1)
		go func() { answered <- v.requestStatus(http.MethodPost, "/once/", "key-1") }()
		c.waitFor("the request runs", func() bool {
			return v.metric("fuchsiapier_gate_running") > 0 || c.vms[2].metric("fuchsiapier_gate_running") > 0
		})
		_ = v.node.Process.Signal(syscall.SIGTERM)
		So(<-answered, ShouldEqual, http.StatusOK)
		clients.WaitSent()
		c.waitFor("the node exits", func() bool { return !v.lives() })
		So(v.node.ProcessState.Success(), ShouldBeTrue)
		So(meter.Peak().memory, ShouldBeLessThanOrEqualTo, int64(crowdMachine.memoryMB)<<20)
	})
}

// metric returns the value of a metric without labels of the VM's node, 0 if it has none.
func (v *vm) metric(name string) float64 {
	for line := range strings.Lines(v.metrics()) {
		if text, ok := strings.CutPrefix(line, name+" "); ok {
			value, _ := strconv.ParseFloat(strings.TrimSpace(text), 64)
			return value
		}
	}
	return 0
}

// TestCrowdHeads guards against heads that stop short of their end.
func TestCrowdHeads(t *testing.T) {
	Convey("Heads that never end", t, func() {
		s := toFront(crowd.Settings{
			Clients:   600,
			Requests:  1,
			HeadBytes: 12 << 10,
		})
		for i := range 300 {
			s.Fields += fmt.Sprintf("X-Field-%d: %032d\r\n", i, i)
		}
		meetCrowd(t, crowdMachine, 0, portOutbound, 0, s)
	})
}

// TestCrowdIdle guards against connections without requests that take all descriptors.
func TestCrowdIdle(t *testing.T) {
	Convey("More idle connections than the VM has descriptors", t, func() {
		meetCrowd(t, crowdMachine, 0, portOutbound, 0, toFront(crowd.Settings{
			Clients: 1500,
		}))
	})
}

// TestCrowdIdleElsewhere is like TestCrowdIdle, with connections to the ports of announcements, readiness
// checks, metrics and other nodes.
func TestCrowdIdleElsewhere(t *testing.T) {
	for _, port := range []int{portControl, portReadiness, portMetrics, portInbound} {
		Convey(fmt.Sprintf("More idle connections than the VM has descriptors, at port %d", port), t, func() {
			meetCrowd(t, crowdMachine, 0, port, 0, crowd.Settings{
				Clients: 1500,
			})
		})
	}
}

// TestCrowdAnnouncements guards against bodies at the listeners of announcements and readiness checks
// that never end.
func TestCrowdAnnouncements(t *testing.T) {
	for _, port := range []int{portControl, portReadiness} {
		Convey(fmt.Sprintf("Announcements that never end, at port %d", port), t, func() {
			meetCrowd(t, crowdMachine, 0, port, 0, crowd.Settings{
				Clients:   1400,
				Requests:  1,
				Method:    http.MethodPut,
				Path:      "/v1/instances/i-1",
				Host:      "node",
				Announced: 64 << 10,
				Sent:      64<<10 - 1,
			})
		})
	}
}

// TestLargestRequest guards against a request of the largest size that a VM of the users can't serve
// although nothing else is there.
func TestLargestRequest(t *testing.T) {
	m := defaultMachine
	m.bodyBytes = largestBody
	for at, where := range []string{"near", "far"} {
		Convey("One request of 60 MB is served by a server "+where, t, func() {
			c := newClusterOn(t, 1, m)
			v := c.vms[at]
			c.vms[2].server.Drain()
			c.waitFor("the other server leaves", func() bool {
				before := len(c.vms[2].server.Runs())
				return c.vms[3].requestStatus(http.MethodGet, "/safe/", "key-1") == http.StatusOK && len(c.vms[2].server.Runs()) == before
			})
			var meters []*usageMeter
			for _, v := range c.vms {
				meters = append(meters, v.measureUsage())
			}
			status, _, _ := v.sendBody(http.MethodPost, largePath, "key-1", "large", string(make([]byte, 60*megabyte)))
			So(status, ShouldEqual, http.StatusOK)
			for i, meter := range meters {
				t.Logf("%s: %d MB", c.vms[i].name, meter.Peak().memory>>20)
				So(meter.Peak().memory, ShouldBeLessThanOrEqualTo, int64(m.memoryMB)<<20)
			}
		})
	}
}

// TestLargeCrowds lets crowds of the users' sizes come to VMs of the users' size, for the page on capacity. It
// runs only if FUCHSIAPIER_CROWDS is set: to 1, or to the part of a crowd's name.
func TestLargeCrowds(t *testing.T) {
	only := os.Getenv("FUCHSIAPIER_CROWDS")
	if only == "" {
		t.Skip("FUCHSIAPIER_CROWDS is not set")
	}
	for _, c := range []struct {
		name, kind  string
		at, clients int
		serviceTime time.Duration
		bodyBytes   int
	}{
		{name: "80 bodies of 8 MB that never end", kind: "unfinished", clients: 80},
		{name: "80 bodies of 8 MB that never end, piece by piece", kind: "unfinished-piece", clients: 80},
		{name: "80 whole bodies of 8 MB, near", kind: "whole", clients: 80, serviceTime: crowdServiceTime},
		{name: "80 whole bodies of 8 MB, far", kind: "whole", at: 1, clients: 80, serviceTime: crowdServiceTime},
		{name: "3,000 bodies of 0.4 MB that never end", kind: "medium", clients: 3000},
		{name: "80 chunked bodies that never end, chunks of 1 MB", kind: "unfinished-chunk", clients: 80},
		{name: "80 chunked bodies that never end, chunks of 1 KB", kind: "small-chunks", clients: 80},
		{name: "80 chunked bodies that never end, chunks of one byte", kind: "one-byte-chunks", clients: 80},
		{name: "100 connections with 40 requests of 1 MB ahead", kind: "ahead", clients: 100, serviceTime: crowdServiceTime},
		{name: "2,000 connections with 40 small requests ahead", kind: "small-ahead", clients: 2000, serviceTime: crowdServiceTime},
		{name: "600 bodies of 60 MB announced", kind: "announced", clients: 600, bodyBytes: largestBody},
		{name: "600 bodies of 60 MB announced with Expect", kind: "expect", clients: 600, bodyBytes: largestBody},
		{name: "80 bodies of 256 MB announced and sent, 8 MB allowed", kind: "over-limit", clients: 80},
		{name: "80 chunked bodies of 256 MB sent, 8 MB allowed", kind: "over-limit-chunk", clients: 80},
		{name: "3,500 heads that never end", kind: "heads", clients: 3500},
		{name: "6,000 idle connections", kind: "idle", clients: 6000},
		{name: "400 connections with 16 responses of 2 MB unread", kind: "unread", clients: 400},
	} {
		if only != "1" && !strings.Contains(c.name, only) {
			continue
		}
		Convey(c.name, t, func() {
			t.Log(c.name)
			m := defaultMachine
			m.bodyBytes = max(c.bodyBytes, crowdBody)
			kind, ok := crowd.OfKind(c.kind)
			So(ok, ShouldBeTrue)
			kind.Clients = c.clients
			kind = toFront(kind)
			if c.kind == "unread" {
				kind.Path = largePath
			}
			meetCrowd(t, m, c.at, portOutbound, c.serviceTime, kind)
		})
	}
}
