package model

import (
	"sync"
	"time"

	"fuchsiapier/internal/admit/crash"
)

// suspects is what a process knows of the requests that crash targets.
type suspects struct {
	process *process
	mu      sync.Mutex
	tracker *crash.Tracker
}

func (s *suspects) Lookup(f crash.Fingerprint) (crash.Standing, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Lookup(s.process.node.fleet.instant(), f)
}

func (s *suspects) RecordCrash(running []crash.Fingerprint) {
	s.mu.Lock()
	changed := s.tracker.RecordCrash(s.process.node.fleet.instant(), running)
	s.mu.Unlock()
	s.process.peers.Broadcast(changed)
}

func (s *suspects) RecordSuccess(f crash.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.RecordSuccess(s.process.node.fleet.instant(), f)
}

func (s *suspects) entries() []crash.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Entries(s.process.node.fleet.instant())
}

func (s *suspects) merge(_ string, entries []crash.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range entries {
		s.tracker.Learn(s.process.node.fleet.instant(), e)
	}
}
