package lab

import (
	"net"
	"sync"
	"time"
)

// Link is a TCP relay that adds the delay of a network path, one way, to connections that
// are opened through it. What a peer writes before its connection is established leaves it
// only then, and not at all if the peer is gone by that time.
type Link struct {
	listener net.Listener
	to       string
	delay    time.Duration
}

// NewLink starts a relay on an address (ip:port).
func NewLink(address, to string, delay time.Duration) (*Link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	k := &Link{listener: l, to: to, delay: delay}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k, nil
}

// Address returns the address that the relay listens on.
func (k *Link) Address() string { return k.listener.Addr().String() }

// Close stops the relay.
func (k *Link) Close() { _ = k.listener.Close() }

type chunk struct {
	at   time.Time
	data []byte
	end  bool
}

func (k *Link) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	established := time.Now().Add(2 * k.delay)
	fromPeer := make(chan chunk, 1024)
	go receive(c, fromPeer)
	time.Sleep(time.Until(established))
	var early []chunk
	for done := false; !done; {
		select {
		case b := <-fromPeer:
			if b.end && b.at.Before(established) {
				return
			}
			early = append(early, b)
		default:
			done = true
		}
	}
	up, err := net.Dial("tcp", k.to)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	fromStore := make(chan chunk, 1024)
	go receive(up, fromStore)
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		for _, b := range early {
			if b.at.Before(established) {
				b.at = established
			}
			if !k.forward(up, b) {
				return
			}
		}
		for b := range fromPeer {
			if !k.forward(up, b) {
				return
			}
		}
	}()
	go func() {
		defer wg.Done()
		for b := range fromStore {
			if !k.forward(c, b) {
				return
			}
		}
	}()
	wg.Wait()
}

// forward passes a chunk on after the delay and reports whether more may follow.
func (k *Link) forward(to net.Conn, b chunk) bool {
	time.Sleep(time.Until(b.at.Add(k.delay)))
	if b.end {
		if t, ok := to.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
		return false
	}
	_, err := to.Write(b.data)
	return err == nil
}

func receive(c net.Conn, out chan<- chunk) {
	for {
		data := make([]byte, 16<<10)
		n, err := c.Read(data)
		if n > 0 {
			out <- chunk{at: time.Now(), data: data[:n]}
		}
		if err != nil {
			out <- chunk{at: time.Now(), end: true}
			return
		}
	}
}
