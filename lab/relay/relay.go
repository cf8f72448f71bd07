// Package relay is a fault-injecting TCP proxy between processes under test. It
// listens in front of their addresses and identifies networks by the third number
// of the IP address, so that a fault applies to one pair of networks in one
// direction.
package relay

import (
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// bufferSize is the size of the largest chunk, in bytes.
	bufferSize = 32 << 10
	// maxQueuedChunks bounds the chunks in flight in one direction of a connection.
	maxQueuedChunks = 256
	// cutPollInterval is the time between two checks whether a cut is over.
	cutPollInterval = 5 * time.Millisecond
)

// Direction identifies the traffic from one network to another. Networks are named as
// by the function Network.
type Direction struct {
	From string
	To   string
}

// Faults are the injected faults of one direction. The zero value injects none.
type Faults struct {
	// Cut holds all bytes back until it is false again, as a network partition
	// does. Connections stay open.
	Cut bool
	// Delay is added to the latency of all bytes.
	Delay time.Duration
	// BytesPerSecond limits the throughput of each connection; 0 means no limit.
	BytesPerSecond int
}

// Relay forwards connections between networks. It is safe for concurrent use.
type Relay struct {
	mu              sync.Mutex
	faults          map[Direction]Faults
	bytes           map[Direction]int64
	conns           map[net.Conn]Direction
	listenerClosers []func()
}

// New returns a relay without faults and the function that closes its listeners
// and connections.
func New() (*Relay, func()) {
	r := &Relay{
		faults: map[Direction]Faults{},
		bytes:  map[Direction]int64{},
		conns:  map[net.Conn]Direction{},
	}
	return r, r.close
}

// Network returns the network of an address, the third number of its IP address:
// 127.0.3.1:80 is in "3". It returns "" if the address is no IPv4 address with a
// port.
func Network(address string) string {
	host, _, _ := net.SplitHostPort(address)
	parts := strings.Split(host, ".")
	if len(parts) != 4 {
		return ""
	}
	return parts[2]
}

// Forward listens on one address (ip:port) and forwards each connection to the
// other. It returns once it listens; its error is that of listening.
func (r *Relay) Forward(listen, to string) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listenerClosers = append(r.listenerClosers, func() { _ = l.Close() })
	r.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c, to)
		}
	}()
	return nil
}

// Set replaces the faults of a direction, also for open connections.
func (r *Relay) Set(d Direction, f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[d] = f
}

// Change replaces the faults of a direction by the result of change, which must not
// call the relay.
func (r *Relay) Change(d Direction, change func(Faults) Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[d] = change(r.faults[d])
}

// Reset closes the open connections between the two networks of d, in either
// direction.
func (r *Relay) Reset(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, q := range r.conns {
		if q == d || (q.From == d.To && q.To == d.From) {
			_ = c.Close()
		}
	}
}

// Bytes returns the number of bytes forwarded in a direction so far.
func (r *Relay) Bytes(d Direction) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes[d]
}

func (r *Relay) faultsFor(d Direction) Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults[d]
}

// serve forwards a connection in both directions until either of them ends.
func (r *Relay) serve(client net.Conn, to string) {
	defer func() { _ = client.Close() }()
	upstream, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	forward := Direction{
		From: Network(client.RemoteAddr().String()),
		To:   Network(to),
	}
	reverse := Direction{
		From: forward.To,
		To:   forward.From,
	}
	r.track(forward, client, upstream)
	defer r.untrack(client, upstream)
	done := make(chan struct{}, 2)
	go r.copy(upstream, client, forward, done)
	go r.copy(client, upstream, reverse, done)
	<-done
}

// track registers the connections of a direction, so that Reset finds them.
func (r *Relay) track(d Direction, conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = d
	}
}

func (r *Relay) untrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
	}
}

// chunk is the data of one read. It is forwarded at sendAt, which includes the
// delay.
type chunk struct {
	data   []byte
	sendAt time.Time
}

// copy forwards one direction of a connection with its faults and signals done at
// its end. A goroutine of its own reads ahead by up to maxQueuedChunks, so that a
// delay adds to the latency and leaves the throughput as it is.
func (r *Relay) copy(dst io.Writer, src io.Reader, d Direction, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	chunks := make(chan chunk, maxQueuedChunks)
	go r.read(src, d, chunks)
	for c := range chunks {
		time.Sleep(time.Until(c.sendAt))
		for r.faultsFor(d).Cut {
			time.Sleep(cutPollInterval)
		}
		if _, err := dst.Write(c.data); err != nil {
			return
		}
		r.countBytes(d, len(c.data))
		if rate := r.faultsFor(d).BytesPerSecond; rate > 0 {
			time.Sleep(time.Duration(len(c.data)) * time.Second / time.Duration(rate))
		}
	}
}

// read splits a stream into chunks until it ends or fails.
func (r *Relay) read(src io.Reader, d Direction, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buf := make([]byte, bufferSize)
		n, err := src.Read(buf)
		if n > 0 {
			chunks <- chunk{
				data:   buf[:n],
				sendAt: time.Now().Add(r.faultsFor(d).Delay),
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *Relay) countBytes(d Direction, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes[d] += int64(n)
}

func (r *Relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, closeListener := range r.listenerClosers {
		closeListener()
	}
	for c := range r.conns {
		_ = c.Close()
	}
}
