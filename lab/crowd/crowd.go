// Package crowd opens many connections to a node and sends requests that are large, slow, cut short of
// their end or never read, as clients do that nobody controls. What is sent follows from the settings
// alone, so that a crowd can be repeated.
package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// stallTimeout is how long a client waits for a peer that takes no bytes; what it has sent by then is all
// that it sends.
const stallTimeout = 8 * time.Second

// fill is what bodies consist of.
var fill = make([]byte, 1<<20)

// Settings describe the clients of a crowd, which are all alike.
type Settings struct {
	// Address is where the clients connect to (ip:port).
	Address string
	// Clients is the number of clients, each with a connection of its own.
	Clients int
	// Method, Path, Host and Fields are those of each request. Fields are header lines, each ended by
	// CRLF. AttemptField names the header field with a request's ID, "" for none.
	Method       string
	Path         string
	Host         string
	Fields       string
	AttemptField string
	// Head replaces the head that follows from the other settings, as for another protocol.
	Head string
	// Announced is the length of the body that a request announces, in bytes, Sent how much of it is
	// sent; the rest never comes. Chunk is the size of a body's chunks, in bytes, 0 for a body with
	// Content-Length; a body whose rest never comes ends without the last chunk.
	Announced int
	Sent      int
	Chunk     int
	// Piece is how many bytes of a body are written at once, 0 for all, and Pause the time between two
	// such writes.
	Piece int
	Pause time.Duration
	// Expect asks for an interim response (100 Continue). The body is sent without waiting for it.
	Expect bool
	// Requests is how many requests a client sends on its connection without waiting for a response, 0 for
	// none: it only connects.
	Requests int
	// HeadBytes is how much of a request's head is sent, 0 for all; nothing follows it then.
	HeadBytes int
	// Unread makes the clients read nothing of their responses.
	Unread bool
}

// Report counts what became of the clients.
type Report struct {
	// Refused counts the clients whose connection was not accepted.
	Refused int
	// Statuses counts the final responses by status.
	Statuses map[int]int
	// Closed counts the connections that the node closed.
	Closed int
}

// Crowd is a number of clients that hold their connections open. It is safe for concurrent use.
type Crowd struct {
	settings Settings
	// sending counts the clients that have something left to send.
	sending sync.WaitGroup
	done    chan struct{}
	mu      sync.Mutex
	conns   []net.Conn
	report  Report
}

// Start starts the clients of a crowd and returns it, and a function that closes their connections and
// waits until all clients have ended.
func Start(s Settings) (*Crowd, func()) {
	c := &Crowd{
		settings: s,
		done:     make(chan struct{}),
		report: Report{
			Statuses: map[int]int{},
		},
	}
	var clients sync.WaitGroup
	for i := range s.Clients {
		c.sending.Add(1)
		clients.Go(func() { c.run(i) })
	}
	return c, func() {
		close(c.done)
		c.mu.Lock()
		for _, conn := range c.conns {
			_ = conn.Close()
		}
		c.mu.Unlock()
		clients.Wait()
	}
}

// WaitSent waits until all clients have sent what they are to send, or can't send it. Their connections
// stay open.
func (c *Crowd) WaitSent() {
	c.sending.Wait()
}

// Report returns what has become of the clients so far.
func (c *Crowd) Report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.report
	out.Statuses = map[int]int{}
	for status, n := range c.report.Statuses {
		out.Statuses[status] = n
	}
	return out
}

// run is one client: it connects, sends and reads until the connection is closed.
func (c *Crowd) run(number int) {
	sent := sync.OnceFunc(c.sending.Done)
	defer sent()
	conn, err := net.DialTimeout("tcp", c.settings.Address, stallTimeout)
	if err != nil {
		c.update(func(r *Report) { r.Refused++ })
		return
	}
	if !c.add(conn) {
		return
	}
	var reader sync.WaitGroup
	if !c.settings.Unread {
		reader.Go(func() { c.read(conn) })
	}
	for i := range c.settings.Requests {
		if err := c.send(conn, fmt.Sprintf("crowd-%s-%d-%d", conn.LocalAddr(), number, i)); err != nil {
			break
		}
	}
	sent()
	<-c.done
	_ = conn.Close()
	reader.Wait()
}

// add keeps a connection until the crowd ends; it returns false where it has ended.
func (c *Crowd) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.done:
		_ = conn.Close()
		return false
	default:
	}
	c.conns = append(c.conns, conn)
	return true
}

func (c *Crowd) update(change func(*Report)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.report)
}

// read reads responses until the connection ends.
func (c *Crowd) read(conn net.Conn) {
	r := bufio.NewReader(conn)
	for {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			break
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			break
		}
		if resp.StatusCode >= http.StatusOK {
			c.update(func(r *Report) { r.Statuses[resp.StatusCode]++ })
		}
	}
	select {
	case <-c.done:
	default:
		c.update(func(r *Report) { r.Closed++ })
	}
}

// send sends one request.
func (c *Crowd) send(conn net.Conn, id string) error {
	s := c.settings
	head := c.head(id)
	if s.HeadBytes > 0 {
		return write(conn, head[:min(s.HeadBytes, len(head))])
	}
	if err := write(conn, head); err != nil {
		return err
	}
	if s.Announced == 0 {
		return nil
	}
	if s.Chunk > 0 {
		return c.sendChunks(conn)
	}
	return c.sendBody(conn, s.Sent)
}

// head returns the head of a request.
func (c *Crowd) head(id string) []byte {
	s := c.settings
	if s.Head != "" {
		return []byte(s.Head)
	}
	head := s.Method + " " + s.Path + " HTTP/1.1\r\nHost: " + s.Host + "\r\n" + s.Fields
	if s.AttemptField != "" {
		head += s.AttemptField + ": " + id + "\r\n"
	}
	if s.Expect {
		head += "Expect: 100-continue\r\n"
	}
	switch {
	case s.Chunk > 0:
		head += "Transfer-Encoding: chunked\r\n"
	case s.Announced > 0:
		head += "Content-Length: " + strconv.Itoa(s.Announced) + "\r\n"
	}
	return []byte(head + "\r\n")
}

// sendBody sends n bytes of a body.
func (c *Crowd) sendBody(conn net.Conn, n int) error {
	piece := c.settings.Piece
	if piece == 0 {
		piece = len(fill)
	}
	for n > 0 {
		step := min(n, piece, len(fill))
		if err := write(conn, fill[:step]); err != nil {
			return err
		}
		n -= step
		if c.settings.Pause > 0 {
			time.Sleep(c.settings.Pause)
		}
	}
	return nil
}

// sendChunks sends a body in chunks. Small chunks are written together, as a client does that sends as
// fast as it can.
func (c *Crowd) sendChunks(conn net.Conn) error {
	s := c.settings
	w := bufio.NewWriterSize(deadlineWriter{Conn: conn}, 64<<10)
	line := fmt.Appendf(nil, "%x\r\n", s.Chunk)
	for left := s.Sent; left >= s.Chunk; left -= s.Chunk {
		_, _ = w.Write(line)
		for n := s.Chunk; n > 0; n -= min(n, len(fill)) {
			_, _ = w.Write(fill[:min(n, len(fill))])
		}
		if _, err := w.WriteString("\r\n"); err != nil {
			return err
		}
		if s.Pause > 0 {
			_ = w.Flush()
			time.Sleep(s.Pause)
		}
	}
	if s.Sent >= s.Announced {
		_, _ = w.WriteString("0\r\n\r\n")
	}
	return w.Flush()
}

// deadlineWriter fails a write that the peer does not take for stallTimeout.
type deadlineWriter struct {
	net.Conn
}

// Write writes all bytes, or fails.
func (w deadlineWriter) Write(p []byte) (int, error) {
	_ = w.SetWriteDeadline(time.Now().Add(stallTimeout))
	return w.Conn.Write(p)
}

func write(conn net.Conn, p []byte) error {
	_, err := deadlineWriter{Conn: conn}.Write(p)
	return err
}
