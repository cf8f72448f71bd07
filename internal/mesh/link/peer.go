package link

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// peer is the dialled connection to one address. mu guards its fields.
type peer struct {
	mu   sync.Mutex
	conn *jsonrpc2.Conn
	// dialing is closed when the dial in progress ends; it is nil if there is none.
	dialing chan struct{}
	// failedAt is the time of the last failed dial, backoff the pause after it.
	failedAt time.Time
	backoff  time.Duration
	// watchers counts the calls of Links.Watch whose done function has not been
	// called. checkTimer schedules the liveness check that they share; it is nil if
	// no check is scheduled or running.
	watchers   int
	checkTimer *time.Timer
}

// Reachable reports whether the peer at an address has an open connection or may
// be dialled. It is false while a dial is in progress and during the backoff after
// a failed one.
func (l *Links) Reachable(address string) bool {
	p := l.peer(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current() != nil || (p.dialing == nil && time.Since(p.failedAt) > p.backoff)
}

// peer returns the peer at an address and creates it if it does not exist.
func (l *Links) peer(address string) *peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.peers[address]
	if !ok {
		p = &peer{}
		l.peers[address] = p
	}
	return p
}

// current returns the open connection, or nil if there is none. The caller holds p.mu.
func (p *peer) current() *jsonrpc2.Conn {
	if p.conn == nil {
		return nil
	}
	select {
	case <-p.conn.DisconnectNotify():
		p.conn = nil
	default:
	}
	return p.conn
}

// dial returns the open connection to an address or opens one; concurrent callers
// share one dial. Its errors wrap ErrNotSent.
func (l *Links) dial(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	p := l.peer(address)
	p.mu.Lock()
	if c := p.current(); c != nil {
		p.mu.Unlock()
		return c, nil
	}
	done := p.dialing
	if done == nil {
		if time.Since(p.failedAt) < p.backoff {
			p.mu.Unlock()
			return nil, fmt.Errorf("%w: %s is in backoff after a failed dial", ErrNotSent, address)
		}
		done = make(chan struct{})
		p.dialing = done
		go l.connect(p, address, done)
	}
	p.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.current(); c != nil {
		return c, nil
	}
	return nil, fmt.Errorf("%w: dial to %s failed", ErrNotSent, address)
}

// connect opens the connection of a peer and closes done. Each failure in a row
// doubles the backoff.
func (l *Links) connect(p *peer, address string, done chan struct{}) {
	conn, err := l.open(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing = nil
	close(done)
	if err != nil {
		p.failedAt = time.Now()
		p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
		return
	}
	p.backoff = 0
	p.conn = conn
}

// Drop closes the connection to a peer that no longer responds. Its calls in
// flight end with ErrLost; the next call dials the peer anew and so finds out
// whether it can be reached.
func (l *Links) Drop(address string) {
	p := l.peer(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.Close()
		p.conn = nil
	}
}

// open dials an address from the node's own IP address and completes the
// handshake, so that a connection is not used if only a middlebox accepted it and
// not the peer.
func (l *Links) open(address string) (*jsonrpc2.Conn, error) {
	d := net.Dialer{
		Timeout:   dialTimeout,
		LocalAddr: l.localAddr,
	}
	tcp, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c, err := l.client.EnrollContext(tcp, nil)
	if err != nil {
		_ = tcp.Close()
		return nil, err
	}
	conn, err := l.serve(c, address)
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	err = conn.Call(ctx, methodHello, hello{
		Region: l.region,
	}, nil)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}
