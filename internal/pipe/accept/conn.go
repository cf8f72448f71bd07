package accept

import (
	"net"
	"sync"

	"fuchsiapier/internal/base/budget"
)

const (
	// connBytes is the memory of a connection with its read buffer and the stack of its goroutine, in bytes.
	connBytes = 16 << 10
	// progressBytes is how many bytes a connection has to receive to make progress.
	progressBytes = 16 << 10
)

// Conn is an accepted connection. It may be taken back for another one while it allows that and makes no
// progress. One goroutine at a time reads.
type Conn struct {
	net.Conn
	connection *budget.Share
	memory     *budget.Share
	release    func()
	// received counts the bytes received since the last progress.
	received int
}

// NewConn returns a connection that uses budgets, of which it has nothing yet.
func NewConn(c net.Conn, b Budgets) *Conn {
	connection, memory := b.Connections.Open(b.Owner), b.Memory.Open(b.Owner)
	return &Conn{
		Conn:       c,
		connection: connection,
		memory:     memory,
		release: sync.OnceFunc(func() {
			connection.Release()
			memory.Release()
		}),
	}
}

// Read reads from the connection, which makes progress with each progressBytes.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.received += n; c.received >= progressBytes {
		c.received = 0
		c.Progressed()
	}
	return n, err
}

// Progressed notes that the connection makes progress.
func (c *Conn) Progressed() {
	c.connection.Progressed()
	c.memory.Progressed()
}

// AllowEviction lets the connection be taken back while it makes no progress: evict is then called, which
// has to bring about that the connection is closed. It may be called twice.
func (c *Conn) AllowEviction(evict func()) {
	c.connection.AllowEviction(evict)
	c.memory.AllowEviction(evict)
}

// ForbidEviction keeps the connection from being taken back, and returns false if it has been.
func (c *Conn) ForbidEviction() bool {
	connection, memory := c.connection.ForbidEviction(), c.memory.ForbidEviction()
	return connection && memory
}

// Grow adds to the memory of the connection, in bytes.
func (c *Conn) Grow(n int64) error {
	return c.memory.Grow(n)
}

// Close closes the connection.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}
