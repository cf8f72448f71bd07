package agent

import (
	"sync"
	"time"

	"fuchsiapier/internal/mesh/peers"
)

const (
	// readerTime is how long the own domain's reader gets to read a configuration
	// from the store before it is fetched from another domain, where bytes are billed.
	readerTime = 400 * time.Millisecond
	// delegateTime is how much longer the other nodes wait for their delegate.
	delegateTime = 300 * time.Millisecond
)

// fetching decides when a newer configuration is fetched from another node: at
// once within the failure domain, later from other domains, one at a time.
type fetching struct {
	mu   sync.Mutex
	busy bool
	// planned says that a later try is on its way.
	planned bool
	// version is the newest one heard of from other domains, since at.
	version int64
	at      time.Time
}

// begin reports whether the configuration of a node is to be fetched now; if so,
// done must be called afterwards. Otherwise again is when to ask once more, 0
// where a try is under way or planned.
func (f *fetching) begin(now time.Time, from peers.Node, view *peers.View) (fetch bool, again time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy {
		return false, 0
	}
	left := patience(from, view) - now.Sub(f.since(now, from))
	if left <= 0 {
		f.busy = true
		return true, 0
	}
	if f.planned {
		return false, 0
	}
	f.planned = true
	return false, left
}

func (f *fetching) done() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.busy = false
}

// due notes that a planned try is being made.
func (f *fetching) due() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.planned = false
}

// since returns when this version, or a newer one, was first heard of while the
// present one was in force; f.mu must be held.
func (f *fetching) since(now time.Time, from peers.Node) time.Time {
	if f.version == 0 || from.Rules > f.version && now.Sub(f.at) > readerTime+delegateTime {
		f.version = from.Rules
		f.at = now
	}
	return f.at
}

// patience is how long a node waits for others to bring the configuration.
func patience(from peers.Node, view *peers.View) time.Duration {
	if from.Domain == view.Self().Domain {
		return 0
	}
	wait := time.Duration(0)
	if view.StoreReached() {
		wait += readerTime
	}
	if view.Keeper() != view.Self().Name {
		wait += delegateTime
	}
	return wait
}
