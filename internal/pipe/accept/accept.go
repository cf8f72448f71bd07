// Package accept accepts the connections of a listener and serves each on a
// goroutine of its own.
package accept

import (
	"errors"
	"net"
	"time"

	"github.com/rs/zerolog"
)

// retryDelay is the wait after a failed accept, as when the table of file
// descriptors is full.
const retryDelay = 10 * time.Millisecond

// Loop accepts connections and calls serve for each on a goroutine of its own. It
// returns when the listener is closed; other errors are logged, and the accept is
// retried after a delay.
func Loop(listener net.Listener, log zerolog.Logger, serve func(net.Conn)) {
	for {
		c, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			log.Warn().Err(err).Str("address", listener.Addr().String()).Msg("accept failed")
			time.Sleep(retryDelay)
			continue
		}
		go serve(c)
	}
}
