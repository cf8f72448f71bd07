package fetch

import (
	"sync"
	"time"

	"fuchsiapier/internal/mesh/peers"
)

const (
	// readerDelay is how long the reader of the local domain gets to read a configuration
	// from the store before it is fetched from another domain. Bytes between domains are
	// billed.
	readerDelay = 400 * time.Millisecond
	// keeperDelay is how much longer a node waits that is not the keeper of its domain, so
	// that the keeper can fetch the configuration for all of the domain.
	keeperDelay = 300 * time.Millisecond
)

// schedule decides when a newer configuration is fetched from another node: at
// once from a node of the local failure domain, after a delay from other domains. One
// fetch is in flight at a time.
type schedule struct {
	mu sync.Mutex
	// inFlight is set while a fetch runs.
	inFlight bool
	// scheduled is set while a later attempt is waiting for its time.
	scheduled bool
	// version is the version for which the delay runs, and delayedSince when it began.
	version      int64
	delayedSince time.Time
}

// begin reports whether the configuration of a node is to be fetched now; if so, done
// must be called afterwards. Otherwise retryIn is the time after which begin is to be
// called again, 0 if a fetch is in flight or a later attempt is scheduled already.
func (f *schedule) begin(now time.Time, from peers.Node, view *peers.View) (fetch bool, retryIn time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inFlight {
		return false, 0
	}
	remaining := delay(from, view) - now.Sub(f.delayStart(now, from))
	if remaining <= 0 {
		f.inFlight = true
		return true, 0
	}
	if f.scheduled {
		return false, 0
	}
	f.scheduled = true
	return false, remaining
}

// done records that the fetch that begin allowed has ended.
func (f *schedule) done() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight = false
}

// startScheduled records that the scheduled attempt begins, so that another one can be
// scheduled.
func (f *schedule) startScheduled() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.scheduled = false
}

// delayStart returns the time from which the delay of a fetch counts: when this node
// learned of the first of a series of newer versions. A later version restarts the delay
// only after readerDelay and keeperDelay have passed, so that frequent changes don't
// postpone a fetch. f.mu must be held.
func (f *schedule) delayStart(now time.Time, from peers.Node) time.Time {
	if f.version == 0 || from.Rules > f.version && now.Sub(f.delayedSince) > readerDelay+keeperDelay {
		f.version = from.Rules
		f.delayedSince = now
	}
	return f.delayedSince
}

// delay returns how long to wait before the configuration of a node is fetched:
// not at all for a node of the local domain. Before a fetch from another domain, the
// nodes of the local domain get time to obtain the configuration: readerDelay if one of
// them reaches the store, and keeperDelay more if this node is not the keeper.
func delay(from peers.Node, view *peers.View) time.Duration {
	if from.Domain == view.Self().Domain {
		return 0
	}
	wait := time.Duration(0)
	if view.StoreReached() {
		wait += readerDelay
	}
	if view.Keeper() != view.Self().Name {
		wait += keeperDelay
	}
	return wait
}
