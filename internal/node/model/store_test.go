package model

import (
	"fmt"
	"sync"
	"time"

	"fuchsiapier/internal/node/watch"
)

// refusal is what the store does with the calls of a node.
type refusal int

const (
	// serves answers all calls.
	serves refusal = iota
	// busy rejects them.
	busy
	// silent never answers them.
	silent
)

// storeDelay is the time that the store takes to answer.
const storeDelay = 4 * time.Millisecond

// store is a simulated store that all nodes share.
type store struct {
	mu      sync.Mutex
	records []watch.Record
	nodes   map[string]watch.Record
	epoch   int64
	// appended is closed and replaced when a record is written.
	appended chan struct{}
	// all is what it does with every call, refused with those of single nodes.
	all     refusal
	refused map[string]refusal
	// slow is added to each answer.
	slow time.Duration
	// silenced is when the connections that were open went silent.
	silenced time.Time
	calls    int
}

func newStore() *store {
	return &store{
		nodes:    map[string]watch.Record{},
		refused:  map[string]refusal{},
		appended: make(chan struct{}),
	}
}

// publish writes a configuration as the operator does.
func (s *store) publish(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, watch.Record{
		Key:   "config",
		Value: fmt.Appendf(nil, "%d", version),
	})
	close(s.appended)
	s.appended = make(chan struct{})
}

// setAll sets what the store does with every call.
func (s *store) setAll(r refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = r
}

// state returns what the store does with a call of a node at this moment.
func (s *store) state(node string) refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.all, s.refused[node])
}

// storeClient is the connection of one node to the store. It implements watch.Store.
type storeClient struct {
	store *store
	node  *node
	mu    sync.Mutex
	// opened is when the open connection was opened, the zero time if there is none.
	opened time.Time
	// reset is closed and replaced when all connections are closed.
	reset chan struct{}
}

// begin counts a call and returns what a call over the open connection finds at the store, and
// the channel that is closed with the connection.
func (c *storeClient) begin() (refusal, <-chan struct{}) {
	c.mu.Lock()
	if c.opened.IsZero() {
		c.opened = time.Now()
	}
	opened, reset := c.opened, c.reset
	c.mu.Unlock()
	time.Sleep(c.node.storeLatency())
	c.store.mu.Lock()
	c.store.calls++
	deaf := c.store.silenced.After(opened) || opened.Equal(c.store.silenced)
	c.store.mu.Unlock()
	if deaf {
		return silent, reset
	}
	return c.store.state(c.node.name), reset
}

// respond waits for the way back, and reports whether the answer arrives over the connection on
// which the call was sent.
func (c *storeClient) respond() bool {
	c.store.mu.Lock()
	slow := c.store.slow
	c.store.mu.Unlock()
	time.Sleep(storeDelay + slow + c.node.storeLatency())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return !c.store.silenced.After(c.opened)
}

// Reconnect closes the connections.
func (c *storeClient) Reconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opened = time.Time{}
	close(c.reset)
	c.reset = make(chan struct{})
}

// lose waits until a call without an answer times out or its connection is closed, and closes it.
func (c *storeClient) lose(deadline time.Time, reset <-chan struct{}) error {
	select {
	case <-time.After(time.Until(deadline)):
	case <-reset:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opened = time.Time{}
	return watch.ErrUnknown
}

// call makes a call whose effect f has at the store.
func (c *storeClient) call(timeout time.Duration, f func()) error {
	deadline := time.Now().Add(timeout)
	found, reset := c.begin()
	switch found {
	case silent:
		return c.lose(deadline, reset)
	case busy:
		return watch.ErrRefused
	}
	c.store.mu.Lock()
	f()
	c.store.mu.Unlock()
	if !c.respond() {
		return c.lose(deadline, reset)
	}
	return nil
}

// Newest returns the records of the operator, or those of the nodes.
func (c *storeClient) Newest(topic string, timeout time.Duration) ([]watch.Record, watch.Position, error) {
	var records []watch.Record
	var position watch.Position
	err := c.call(timeout, func() {
		position = c.store.position()
		if topic == topics.Nodes {
			for _, r := range c.store.nodes {
				records = append(records, r)
			}
			return
		}
		if n := len(c.store.records); n > 0 {
			records = append(records, c.store.records[n-1])
		}
	})
	return records, position, err
}

// position returns the end of the operator's records; s.mu must be held.
func (s *store) position() watch.Position {
	return watch.Position{
		Epoch:  s.epoch,
		Offset: int64(len(s.records)),
	}
}

// Put stores a record of a node.
func (c *storeClient) Put(_ string, r watch.Record, _ watch.Order) (int64, error) {
	var epoch int64
	written := false
	err := c.call(putTimeout, func() {
		c.store.nodes[r.Key] = r
		epoch = c.store.epoch
		written = true
	})
	if written {
		c.node.fleet.departureWritten(c.node, r.Key, r.Value)
	}
	return epoch, err
}

// Read is a long poll. A store that falls silent keeps the polls that have arrived, and answers
// them when it is back.
func (c *storeClient) Read(_ string, from watch.Position, wait, timeout time.Duration) ([]watch.Record, watch.Position, error) {
	deadline := time.Now().Add(timeout)
	found, reset := c.begin()
	switch found {
	case silent:
		return nil, from, c.lose(deadline, reset)
	case busy:
		return nil, from, watch.ErrRefused
	}
	expired := time.After(wait)
	waiting := true
	for waiting {
		c.store.mu.Lock()
		ready, appended := len(c.store.records) > int(from.Offset), c.store.appended
		c.store.mu.Unlock()
		if ready {
			break
		}
		select {
		case <-appended:
		case <-expired:
			waiting = false
		case <-reset:
			return nil, from, c.lose(time.Now(), reset)
		}
	}
	if c.store.state(c.node.name) == silent || !c.respond() {
		return nil, from, c.lose(deadline, reset)
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if int(from.Offset) > len(c.store.records) {
		return nil, from, watch.ErrTrimmed
	}
	return c.store.records[from.Offset:], c.store.position(), nil
}
