package head

import (
	"bufio"
	"net"
)

// Conn is a connection to a server, of which the head of each response is checked before a byte of it is
// read. It is for clients that parse responses themselves. It carries one request at a time, and no
// interim responses, which nobody has asked for.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	// checked says that the head of the response to the last request was checked.
	checked bool
}

// NewConn returns a connection that checks the responses on c, whose heads have size bytes at most.
func NewConn(c net.Conn, size int) *Conn {
	return &Conn{
		Conn:   c,
		reader: bufio.NewReaderSize(c, size),
	}
}

// Write sends a part of a request; its response is expected next.
func (c *Conn) Write(data []byte) (int, error) {
	c.checked = false
	return c.Conn.Write(data)
}

// Read reads a part of a response. It returns an *Error if the head of the response is not valid.
func (c *Conn) Read(data []byte) (int, error) {
	if !c.checked {
		if err := PeekResponse(c.reader); err != nil {
			return 0, err
		}
		if line, err := c.reader.Peek(statusLineSize); err != nil || line[statusAt] == '1' {
			return 0, fail(BadStatus, line)
		}
		c.checked = true
	}
	return c.reader.Read(data)
}
