package depart

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/node/starts"
)

const (
	// holdTime is how long a record is held after its owner last sent it. The store has taken it by
	// then, or no report of the target is on its way any more.
	holdTime = 10 * time.Minute
	// maxOwners bounds the nodes for which records are held.
	maxOwners = 4096
	// replicaTimeout bounds a call to another node of the local domain.
	replicaTimeout = 100 * time.Millisecond
)

// ErrNotHeld is returned if no replica of the local domain could be made to hold a record.
var ErrNotHeld = errors.New("no replica of the failure domain holds the departures")

// Holder holds the departures that nodes of other failure domains have confirmed, together with the
// other replicas of its own domain. It is safe for concurrent use.
type Holder struct {
	links Links
	view  func() *peers.View
	log   zerolog.Logger

	mu   sync.Mutex
	held map[string]held
}

// held is what is held for one owner.
type held struct {
	departures []starts.Departure
	at         timer.Instant
}

// HolderOption configures a Holder.
type HolderOption func(*Holder)

// WithHolderLog sets the logger; without it nothing is logged.
func WithHolderLog(log zerolog.Logger) HolderOption {
	return func(h *Holder) {
		h.log = log
	}
}

// NewHolder returns a holder of nothing for the node that view shows.
func NewHolder(links Links, view func() *peers.View, options ...HolderOption) *Holder {
	h := &Holder{
		links: links,
		view:  view,
		log:   zerolog.Nop(),
		held:  map[string]held{},
	}
	for _, o := range options {
		o(h)
	}
	return h
}

// Hold adds a record to what is held for its owner. With ItsDomain it returns once a replica of the
// domain holds it.
func (h *Holder) Hold(ctx context.Context, r Record, reach Reach) error {
	h.add(timer.Now(), r)
	h.log.Info().Str("owner", r.Owner).Int("departures", len(r.Departures)).Bool("domain", reach == ItsDomain).Msg("departures of another node held")
	if reach == OneNode {
		return nil
	}
	holding := h.askReplicas(ctx, func(ctx context.Context, n peers.Node) error {
		return h.links.Hold(ctx, n, r, OneNode)
	})
	if holding == 0 {
		return ErrNotHeld
	}
	return nil
}

// Recall returns the departures held for an owner, with ItsDomain those of the replicas included.
func (h *Holder) Recall(ctx context.Context, owner string, reach Reach) []starts.Departure {
	own := h.get(timer.Now(), owner)
	if reach == OneNode {
		return own
	}
	var mu sync.Mutex
	h.askReplicas(ctx, func(ctx context.Context, n peers.Node) error {
		theirs, err := h.links.Recall(ctx, n, owner, OneNode)
		mu.Lock()
		defer mu.Unlock()
		own, _ = starts.MergeAll(own, theirs)
		return err
	})
	return own
}

// askReplicas calls the replicas of the local domain at the same time, and returns the number of
// those for which f has succeeded. This node needs no call.
func (h *Holder) askReplicas(ctx context.Context, f func(ctx context.Context, n peers.Node) error) int {
	ctx, cancel := context.WithTimeout(ctx, replicaTimeout)
	defer cancel()
	v := h.view()
	var wg sync.WaitGroup
	var mu sync.Mutex
	succeeded := 0
	for _, n := range replicas(v) {
		wg.Go(func() {
			if n.Name != v.Self().Name && f(ctx, n) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			succeeded++
		})
	}
	wg.Wait()
	return succeeded
}

// add adds a record to what this node holds.
func (h *Holder) add(now timer.Instant, r Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	merged, _ := starts.MergeAll(h.held[r.Owner].departures, r.Departures)
	h.held[r.Owner] = held{
		departures: merged,
		at:         now,
	}
	if len(h.held) > maxOwners {
		h.dropOldest()
	}
}

// get returns what this node holds for an owner.
func (h *Holder) get(now timer.Instant, owner string) []starts.Departure {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	return h.held[owner].departures
}

// Owners returns the number of nodes for which something is held.
func (h *Holder) Owners() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.held)
}

// expire drops what has been held for holdTime; h.mu must be held.
func (h *Holder) expire(now timer.Instant) {
	for owner, e := range h.held {
		if now.Sub(e.at) > holdTime {
			delete(h.held, owner)
		}
	}
}

// dropOldest drops what is held for the owner that has been silent for longest; h.mu must be held.
func (h *Holder) dropOldest() {
	oldest := ""
	for owner, e := range h.held {
		if oldest == "" || e.at < h.held[oldest].at {
			oldest = owner
		}
	}
	delete(h.held, oldest)
}
