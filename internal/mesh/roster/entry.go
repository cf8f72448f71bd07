// Package roster holds the membership list of a node: one entry per node, merged
// by incarnation and sequence number, disseminated by gossip, with the suspicion
// mechanism of SWIM (Das, Gupta, Motivala, 2002). It does no I/O.
package roster

import (
	"encoding/binary"
	"hash/fnv"
)

// Health is the state of a node in the membership list.
type Health string

// The states of a node, in ascending order of precedence at equal incarnation and
// sequence number.
const (
	Alive   Health = "alive"
	Suspect Health = "suspect"
	Down    Health = "down"
	// Left is the state of a node that has shut down gracefully.
	Left Health = "left"
)

// precedence orders the states: of two entries that are otherwise equally new, the
// one with the higher precedence wins.
func (h Health) precedence() int {
	switch h {
	case Suspect:
		return 1
	case Down:
		return 2
	case Left:
		return 3
	case Alive:
	}
	return 0
}

// TargetState is the state of the target on a node's VM.
type TargetState string

// The states of a target. NoTarget stands for a VM without a target.
const (
	NoTarget TargetState = ""
	Ready    TargetState = "ready"
	Draining TargetState = "draining"
)

// Target is the target on the VM of a node, as the target announces itself.
type Target struct {
	Service string      `json:"service,omitempty"`
	State   TargetState `json:"state,omitempty"`
	// Slots is the number of requests that the target runs concurrently.
	Slots int `json:"slots,omitempty"`
}

// Entry describes one node.
type Entry struct {
	Name string `json:"name"`
	// Domain names the failure domain of the VM.
	Domain string `json:"domain"`
	Region string `json:"region"`
	// Slot is the index of the VM in its failure domain, from 0. A VM that replaces
	// another takes over its slot.
	Slot int `json:"slot"`
	// Peers is the address (host:port) at which other nodes reach the node.
	Peers string `json:"peers"`
	// Operators is the address (host:port) at which operators reach the node.
	Operators string `json:"operators"`
	// Incarnation is the start time of the node in Unix nanoseconds. It tells a
	// replacement VM from its predecessor.
	Incarnation int64 `json:"incarnation"`
	// Sequence increases with each change that the node makes to its own entry.
	Sequence uint64 `json:"sequence"`
	Health   Health `json:"health"`
	Target   Target `json:"target"`
}

// supersedes reports whether e replaces o, an entry of the same node: by
// incarnation, then by sequence number, then by precedence of the state.
func (e Entry) supersedes(o Entry) bool {
	if e.Incarnation != o.Incarnation {
		return e.Incarnation > o.Incarnation
	}
	if e.Sequence != o.Sequence {
		return e.Sequence > o.Sequence
	}
	return e.Health.precedence() > o.Health.precedence()
}

// digest hashes the name, state, incarnation and sequence number of a live entry.
// It is 0 for a node that is down or has left, since peers remove such entries at
// different times.
func (e Entry) digest() uint64 {
	if e.Name == "" || e.Health.precedence() >= Down.precedence() {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(e.Name))
	_, _ = h.Write([]byte(e.Health))
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(e.Incarnation))
	binary.LittleEndian.PutUint64(b[8:], e.Sequence)
	_, _ = h.Write(b[:])
	return h.Sum64()
}

// Serves reports whether new requests for the service may be sent to the node.
func (e Entry) Serves(service string) bool {
	return e.Health == Alive && e.Target.State == Ready && e.Target.Service == service
}
