// Package dgram sends UDP datagrams over IPv4 and receives them on a gnet event loop.
package dgram

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"go.uber.org/zap"
)

const (
	// engineTimeout bounds the start and the stop of the event loop.
	engineTimeout = 5 * time.Second
	// maxDatagramBytes is the size of the receive buffer, enough for any UDP datagram.
	maxDatagramBytes = 64 << 10
)

// Receiver handles one received datagram. It runs on the event loop and must not
// block; data is valid only until it returns.
type Receiver func(from net.Addr, data []byte)

// Socket receives datagrams on one UDP port and sends them from another port of
// the same IP address. It is safe for concurrent use.
type Socket struct {
	gnet.BuiltinEventEngine
	receive Receiver
	// boot passes the running engine from OnBoot to New.
	boot chan gnet.Engine
	// sender is bound to the same IP address as the receiving socket and to a
	// port that the kernel picks.
	sender *net.UDPConn
}

// New binds an address (ip:port) and calls receive for each datagram that arrives
// there. It returns the socket and a function that closes it.
func New(address string, receive Receiver) (*Socket, func(), error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, nil, fmt.Errorf("parse datagram address: %w", err)
	}
	sender, err := net.ListenUDP("udp4", &net.UDPAddr{
		IP: net.ParseIP(host),
	})
	if err != nil {
		return nil, nil, fmt.Errorf("open UDP socket for sending: %w", err)
	}
	s := &Socket{
		receive: receive,
		boot:    make(chan gnet.Engine, 1),
		sender:  sender,
	}
	failed := make(chan error, 1)
	go func() {
		failed <- gnet.Run(s, "udp://"+address,
			gnet.WithNumEventLoop(1),
			gnet.WithReadBufferCap(maxDatagramBytes),
			gnet.WithLogger(logging.Logger(zap.NewNop().Sugar())),
		)
	}()
	select {
	case engine := <-s.boot:
		return s, func() { s.close(engine) }, nil
	case err := <-failed:
		_ = sender.Close()
		return nil, nil, fmt.Errorf("receive datagrams on %s: %w", address, err)
	case <-time.After(engineTimeout):
		_ = sender.Close()
		return nil, nil, fmt.Errorf("receive datagrams on %s: event loop did not start in time", address)
	}
}

// OnBoot implements gnet.EventHandler; it passes the running engine to New.
func (s *Socket) OnBoot(engine gnet.Engine) gnet.Action {
	s.boot <- engine
	return gnet.None
}

// OnTraffic implements gnet.EventHandler; it passes a datagram to the Receiver.
func (s *Socket) OnTraffic(c gnet.Conn) gnet.Action {
	data, err := c.Next(-1)
	if err == nil {
		s.receive(c.RemoteAddr(), data)
	}
	return gnet.None
}

// Send sends one datagram to an address (ip:port). An error means that the datagram
// was not sent. A datagram that was sent may be lost in the network.
func (s *Socket) Send(address string, data []byte) error {
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return err
	}
	_, err = s.sender.WriteToUDP(data, to)
	return err
}

func (s *Socket) close(engine gnet.Engine) {
	ctx, cancel := context.WithTimeout(context.Background(), engineTimeout)
	defer cancel()
	_ = engine.Stop(ctx)
	_ = s.sender.Close()
}
