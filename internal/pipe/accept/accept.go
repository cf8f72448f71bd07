// Package accept takes connections off a listener.
package accept

import (
	"errors"
	"net"
	"time"

	"github.com/rs/zerolog"
)

// pause is the wait after a connection could not be accepted, as with a full
// table of descriptors.
const pause = 10 * time.Millisecond

// Loop serves each connection on a goroutine of its own until the listener is
// closed. Other failures are logged and pass.
func Loop(listener net.Listener, log zerolog.Logger, serve func(net.Conn)) {
	for {
		c, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			log.Warn().Err(err).Str("address", listener.Addr().String()).Msg("connection can't be accepted")
			time.Sleep(pause)
			continue
		}
		go serve(c)
	}
}
