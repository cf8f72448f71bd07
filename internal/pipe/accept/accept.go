// Package accept accepts the connections of a listener and serves each on a
// goroutine of its own, within budgets of connections and memory.
package accept

import (
	"errors"
	"net"
	"time"

	"github.com/rs/zerolog"

	"fuchsiapier/internal/base/budget"
)

// retryDelay is the wait after a failed accept, as when the table of file
// descriptors is full.
const retryDelay = 10 * time.Millisecond

// Budgets bound the connections of a listener.
type Budgets struct {
	// Owner says whose connections they are.
	Owner budget.Owner
	// Connections counts connections, Memory bytes.
	Connections *budget.Budget
	Memory      *budget.Budget
	// Refuse closes a connection for which there is no room, on a goroutine of its own. If it is nil, such a
	// connection is closed without a word.
	Refuse func(net.Conn)
}

// Unlimited returns budgets without a bound.
func Unlimited() Budgets {
	return Budgets{
		Owner:       budget.Callers,
		Connections: budget.Unlimited(),
		Memory:      budget.Unlimited(),
	}
}

// accept returns the next connection. It closes those for which there is no room, since they would wait
// unread otherwise. The connection has no memory yet.
func (b Budgets) accept(listener net.Listener) (*Conn, error) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := NewConn(c, b)
		if conn.connection.TryGrow(1) == nil {
			return conn, nil
		}
		conn.release()
		if b.Refuse == nil {
			_ = c.Close()
			continue
		}
		go b.Refuse(c)
	}
}

// Loop accepts connections and calls serve for each on a goroutine of its own. It
// returns when the listener is closed; other errors are logged, and the accept is
// retried after a delay. Connections for which the budgets have no room are closed.
func Loop(listener net.Listener, log zerolog.Logger, budgets Budgets, serve func(*Conn)) {
	for {
		c, err := budgets.accept(listener)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			log.Warn().Err(err).Str("address", listener.Addr().String()).Msg("accept failed")
			time.Sleep(retryDelay)
			continue
		}
		go func() {
			if c.memory.Grow(connBytes) != nil {
				_ = c.Close()
				return
			}
			serve(c)
		}()
	}
}

// limited is a listener within budgets.
type limited struct {
	net.Listener
	budgets Budgets
}

// Limit returns a listener whose connections are within budgets: where there is no room, the one that has
// received nothing for longest is closed.
func Limit(listener net.Listener, budgets Budgets) net.Listener {
	return limited{
		Listener: listener,
		budgets:  budgets,
	}
}

// Accept returns the next connection.
func (l limited) Accept() (net.Conn, error) {
	for {
		c, err := l.budgets.accept(l.Listener)
		if err != nil {
			return nil, err
		}
		if c.memory.Grow(connBytes) != nil {
			_ = c.Close()
			continue
		}
		c.AllowEviction(func() { _ = c.Close() })
		return c, nil
	}
}
