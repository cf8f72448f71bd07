package model

import (
	"maps"
	"testing"
	"time"

	"fuchsiapier/internal/node/watch"
)

// copyNodes returns a copy of the records of nodes.
func (s *store) copyNodes() map[string]watch.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.nodes)
}

// restore replaces the records of nodes by a copy. The operator writes its own again at once.
func (s *store) restore(copied map[string]watch.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = maps.Clone(copied)
	s.epoch++
}

// drillAround copies the store some seconds before a time, and returns a function that begins a drill: the
// store goes away for a moment and comes back from the copy, while a node is restarted.
func (f *fleet) drillAround(at time.Duration) func(n *node) {
	copied := map[string]watch.Record{}
	time.AfterFunc(at-time.Duration(f.random(4000))*time.Millisecond, func() {
		copied = f.store.copyNodes()
	})
	return func(n *node) {
		time.AfterFunc(time.Duration(f.random(1500))*time.Millisecond, func() {
			f.note("the store goes away")
			f.store.setAll([]refusal{busy, silent}[f.random(2)])
			time.AfterFunc(time.Duration(f.random(3000))*time.Millisecond, func() {
				f.note("the store is back from a copy")
				f.store.restore(copied)
				f.store.setAll(serves)
			})
		})
		time.AfterFunc(time.Duration(f.random(2000))*time.Millisecond, func() {
			f.note("%s is restarted", n.name)
			n.stop()
			f.disturb(n.name, time.Second)
			time.AfterFunc(time.Duration(f.random(2500))*time.Millisecond, n.start)
		})
	}
}

// TestDeparturesAmongDrills guards against a target that is used after its leaving was confirmed, because
// the store came back from an older copy while the node of the target was away.
func TestDeparturesAmongDrills(t *testing.T) {
	playDepartures(t, true)
}
