// Package dgram sends and receives datagrams on a gnet event loop.
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
	startTimeout = 5 * time.Second
	// maxDatagram is the largest datagram that is received, in bytes.
	maxDatagram = 64 << 10
)

// Receiver is called for each datagram; data is valid until it returns. It must not block.
type Receiver func(from net.Addr, data []byte)

// Socket is a bound UDP socket.
type Socket struct {
	gnet.BuiltinEventEngine
	receive Receiver
	boot    chan gnet.Engine
	sender  *net.UDPConn
}

// New binds an address (ip:port) and returns the socket with its clean-up.
func New(address string, receive Receiver) (*Socket, func(), error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, nil, fmt.Errorf("datagram address: %w", err)
	}
	sender, err := net.ListenUDP("udp4", &net.UDPAddr{
		IP: net.ParseIP(host),
	})
	if err != nil {
		return nil, nil, fmt.Errorf("datagram sender: %w", err)
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
			gnet.WithReadBufferCap(maxDatagram),
			gnet.WithLogger(logging.Logger(zap.NewNop().Sugar())),
		)
	}()
	select {
	case engine := <-s.boot:
		return s, func() { s.close(engine) }, nil
	case err := <-failed:
		_ = sender.Close()
		return nil, nil, fmt.Errorf("bind datagrams to %s: %w", address, err)
	case <-time.After(startTimeout):
		_ = sender.Close()
		return nil, nil, fmt.Errorf("bind datagrams to %s: did not start", address)
	}
}

// OnBoot hands the running engine to New.
func (s *Socket) OnBoot(engine gnet.Engine) gnet.Action {
	s.boot <- engine
	return gnet.None
}

// OnTraffic passes a datagram on.
func (s *Socket) OnTraffic(c gnet.Conn) gnet.Action {
	data, err := c.Next(-1)
	if err == nil {
		s.receive(c.RemoteAddr(), data)
	}
	return gnet.None
}

// Send sends a datagram; errors mean that it was not sent.
func (s *Socket) Send(address string, data []byte) error {
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return err
	}
	_, err = s.sender.WriteToUDP(data, to)
	return err
}

func (s *Socket) close(engine gnet.Engine) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	_ = engine.Stop(ctx)
	_ = s.sender.Close()
}
