package link

import (
	"context"
	"time"
)

const (
	// checkInterval is the time before the first liveness check of a watched peer
	// and between two checks.
	checkInterval = 250 * time.Millisecond
	// checkTimeout bounds the wait for the response to a check.
	checkTimeout = 250 * time.Millisecond
)

// Watch checks periodically that the peer at an address still responds, until the
// returned function is called. It is meant for the duration of a call: a failed check
// closes the connection, so that calls in flight end with ErrLost before their
// deadlines. All watchers of a peer share one check.
func (l *Links) Watch(address string) (done func()) {
	p := l.peer(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watchers++
	if p.checkTimer == nil {
		p.checkTimer = time.AfterFunc(checkInterval, func() { l.check(p, address) })
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.watchers--
	}
}

// check sends one liveness check to a peer and schedules the next. If there are no
// watchers or there is no open connection, the checks stop until the next call of
// Watch for the peer.
func (l *Links) check(p *peer, address string) {
	p.mu.Lock()
	conn := p.current()
	if p.watchers == 0 || conn == nil {
		p.checkTimer = nil
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	err := conn.Call(ctx, methodHello, hello{
		Region: l.region,
	}, nil)
	if err != nil {
		l.Drop(address)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checkTimer = time.AfterFunc(checkInterval, func() { l.check(p, address) })
}
