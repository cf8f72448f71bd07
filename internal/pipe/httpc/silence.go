package httpc

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// minSilenceCheck is the least time to the check for silence: kernels delay acknowledgements by up to
// 200 ms. A lost packet may be sent again later than that, so that on a lossy link the check costs
// connections, but no request.
const minSilenceCheck = 250 * time.Millisecond

// checkSilence checks, silenceCheck after a request is sent over a connection, whether its bytes were
// acknowledged. If not, the connection may be one of many that have gone silent: idle ones on which the peer
// hasn't answered since are closed, so that the next requests open new ones. The request itself is
// awaited, since only its acknowledgement may be missing. The returned timer is to be stopped when the response
// has arrived.
func (p *Pool) checkSilence(c *Conn) *time.Timer {
	sentAt := time.Now()
	return time.AfterFunc(p.silenceCheck, func() {
		if unacknowledged(c.Conn) {
			p.CloseUnproven(sentAt)
			p.onSilence(sentAt)
		}
	})
}

// CloseUnproven closes the idle connections on which the peer hasn't answered since a point in time.
func (p *Pool) CloseUnproven(since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.provenAt.After(since) {
			kept = append(kept, c)
			continue
		}
		_ = c.Close()
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// unacknowledged reports whether the peer's kernel has not acknowledged all bytes that were sent.
// Connections that are no sockets count as acknowledged.
func unacknowledged(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	pending := 0
	err = raw.Control(func(fd uintptr) {
		pending, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
	})
	return err == nil && pending > 0
}
