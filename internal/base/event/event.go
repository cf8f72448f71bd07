// Package event records the state changes of a node in a ring buffer, stamped
// with a hybrid logical clock, and merges the records of several nodes into one
// timeline in causal order.
//
// The clock follows Kulkarni et al., "Logical Physical Clocks" (2014).
package event

import (
	"sort"
	"sync"
	"time"
)

// Stamp is a hybrid logical timestamp: Unix milliseconds, and a counter that
// orders the events of one millisecond.
type Stamp struct {
	Millis  int64 `json:"millis"`
	Counter int64 `json:"counter"`
}

// Before reports whether s precedes o.
func (s Stamp) Before(o Stamp) bool {
	if s.Millis != o.Millis {
		return s.Millis < o.Millis
	}
	return s.Counter < o.Counter
}

// Event is one change of state on one node. Ring.Add sets At and Node. Workspace and
// Request (a request ID) are optional.
type Event struct {
	At        Stamp  `json:"at"`
	Node      string `json:"node"`
	Kind      string `json:"kind"`
	Workspace string `json:"workspace,omitempty"`
	Request   string `json:"request,omitempty"`
	Detail    string `json:"detail,omitempty"`
}

// maxSkewMillis bounds how far a peer's stamp may be ahead of the local wall
// clock. Stamps beyond it are ignored, so that a peer with a wrong clock doesn't
// advance the clocks of all nodes.
const maxSkewMillis = 60_000

// Ring holds the latest events of a node and its hybrid logical clock. It is safe
// for concurrent use.
type Ring struct {
	mu   sync.Mutex
	node string
	// last is the latest stamp issued or observed.
	last   Stamp
	events []Event
	// next is the index of the oldest event once the ring is full.
	next int
	// wall returns the wall clock in Unix milliseconds.
	wall func() int64
}

// NewRing returns a ring of the named node that holds at most capacity events;
// capacity must be positive.
func NewRing(node string, capacity int) *Ring {
	return &Ring{
		node:   node,
		events: make([]Event, 0, capacity),
		wall:   func() int64 { return time.Now().UnixMilli() },
	}
}

// Add stamps and stores an event. A full ring overwrites its oldest event.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = r.tick(Stamp{})
	e.Node = r.node
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
}

// Stamp returns a new stamp for an outgoing message.
func (r *Ring) Stamp() Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tick(Stamp{})
}

// Observe advances the clock past a stamp received from a peer, so that later
// local events are ordered after the peer's message.
func (r *Ring) Observe(s Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Millis > r.wall()+maxSkewMillis {
		return
	}
	r.tick(s)
}

// tick returns the next stamp: the wall clock where it is ahead of both the last
// stamp and seen, else the later of these with its counter raised. r.mu must be
// held.
func (r *Ring) tick(seen Stamp) Stamp {
	now := Stamp{
		Millis: r.wall(),
	}
	for _, s := range []Stamp{r.last, seen} {
		if !s.Before(now) {
			now = Stamp{
				Millis:  s.Millis,
				Counter: s.Counter + 1,
			}
		}
	}
	r.last = now
	return now
}

// Events returns the stored events in order of their stamps.
func (r *Ring) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Event, 0, len(r.events))
	out = append(out, r.events[r.next:]...)
	return append(out, r.events[:r.next]...)
}

// Merge returns the events of several nodes in the order of their stamps, which
// agrees with their causal order.
func Merge(perNode ...[]Event) []Event {
	var all []Event
	for _, events := range perNode {
		all = append(all, events...)
	}
	sort.SliceStable(all, func(i, j int) bool {
		return all[i].At.Before(all[j].At)
	})
	return all
}
