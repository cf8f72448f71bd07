package roster

import (
	"maps"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"fuchsiapier/internal/base/timer"
)

const (
	// suspicionTimeout is how long a suspected node has to refute the suspicion
	// before it is marked down.
	suspicionTimeout = 2 * time.Second
	// tombstoneTimeout is how long the entry of a node that is down or has left is
	// kept.
	tombstoneTimeout = 10 * time.Minute
	// piggybackTime is how long a changed entry is piggybacked on every message.
	piggybackTime = 4 * time.Second
	// maxPiggyback bounds the number of piggybacked entries in one message.
	maxPiggyback = 40
)

// member is an entry with the local time of its last change.
type member struct {
	entry     Entry
	changedAt timer.Instant
}

// Roster is the membership list of one node. It is safe for concurrent use.
type Roster struct {
	mu      sync.RWMutex
	self    string
	members map[string]member
	// domainDigests holds the XOR of the digests of the live entries, by failure
	// domain. XOR makes the order of entries irrelevant and allows an update in place
	// when one entry changes.
	domainDigests map[string]uint64
	onChange      func(old, now Entry)
}

// Option configures a Roster.
type Option func(*Roster)

// WithOnChange registers a function that is called with the previous and the
// current value of each changed entry; old is zero for a new entry. Removals are
// not reported. The function runs with the lock of the roster held and must not
// call the roster.
func WithOnChange(f func(old, now Entry)) Option {
	return func(r *Roster) {
		r.onChange = f
	}
}

// New returns a roster that holds only the node's own entry, with state Alive.
func New(self Entry, options ...Option) *Roster {
	self.Health = Alive
	r := &Roster{
		self:     self.Name,
		onChange: func(Entry, Entry) {},
		members: map[string]member{
			self.Name: {
				entry: self,
			},
		},
		domainDigests: map[string]uint64{
			self.Domain: self.digest(),
		},
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Self returns the node's own entry.
func (r *Roster) Self() Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.members[r.self].entry
}

// Update applies change to the node's own entry and returns the result. The
// sequence number increases if the entry differs afterwards.
func (r *Roster) Update(now timer.Instant, change func(Entry) Entry) Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.members[r.self].entry
	e := change(old)
	if e == old {
		return old
	}
	e.Sequence = old.Sequence + 1
	r.set(now, e)
	return e
}

// Merge merges entries received from a peer and reports whether any of them
// changed the roster.
func (r *Roster) Merge(now timer.Instant, entries []Entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, e := range entries {
		if r.mergeEntry(now, e) {
			changed = true
		}
	}
	return changed
}

// mergeEntry merges one entry and reports whether it changed the roster; r.mu must
// be held.
//
// An unknown node that is down or has left is not added, so that an entry removed
// here is not learned again from a peer that still keeps it.
func (r *Roster) mergeEntry(now timer.Instant, e Entry) bool {
	old, known := r.members[e.Name]
	if e.Name == r.self {
		return r.refute(now, e)
	}
	if e.Name == "" || (known && !e.supersedes(old.entry)) {
		return false
	}
	if !known && e.Health.precedence() >= Down.precedence() {
		return false
	}
	r.set(now, e)
	return true
}

// refute overrides a false report about the node itself with an entry of a higher
// sequence number, and reports whether it did so. Reports about another
// incarnation are ignored. r.mu must be held.
func (r *Roster) refute(now timer.Instant, e Entry) bool {
	own := r.members[r.self].entry
	if e.Incarnation != own.Incarnation || !e.supersedes(own) {
		return false
	}
	own.Sequence = e.Sequence + 1
	r.set(now, own)
	return true
}

// set stores an entry, updates the digests of its failure domain and calls
// onChange; r.mu must be held.
func (r *Roster) set(now timer.Instant, e Entry) {
	old := r.members[e.Name].entry
	r.domainDigests[old.Domain] ^= old.digest()
	r.domainDigests[e.Domain] ^= e.digest()
	r.members[e.Name] = member{
		entry:     e,
		changedAt: now,
	}
	r.onChange(old, e)
}

// Superseded reports whether one of the received entries is that of a live node
// with a newer incarnation in the same failure domain and slot: a VM that replaced
// this one.
func (r *Roster) Superseded(entries []Entry) bool {
	own := r.Self()
	for _, e := range entries {
		sameSlot := e.Domain == own.Domain && e.Slot == own.Slot
		if sameSlot && e.Incarnation > own.Incarnation && e.Health == Alive {
			return true
		}
	}
	return false
}

// Suspect marks a live node as suspect after it failed a probe. It has no effect on
// the node itself or on nodes in another state.
func (r *Roster) Suspect(now timer.Instant, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[name]
	if !ok || name == r.self || m.entry.Health != Alive {
		return
	}
	m.entry.Health = Suspect
	r.set(now, m.entry)
}

// Tick marks nodes down whose suspicion was not refuted in suspicionTimeout, and
// removes nodes that have been down or left for tombstoneTimeout. Removal leaves
// the digests as they are, since such entries have the digest 0.
func (r *Roster) Tick(now timer.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, m := range r.members {
		age := now.Sub(m.changedAt)
		switch {
		case m.entry.Health == Suspect && age > suspicionTimeout:
			m.entry.Health = Down
			r.set(now, m.entry)
		case m.entry.Health.precedence() >= Down.precedence() && age > tombstoneTimeout:
			delete(r.members, name)
		}
	}
}

// Get returns the entry of a node and whether it is known.
func (r *Roster) Get(name string) (Entry, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	m, ok := r.members[name]
	return m.entry, ok
}

// All returns all entries, sorted by name.
func (r *Roster) All() []Entry {
	return r.Filter(func(Entry) bool { return true })
}

// Filter returns the entries that keep accepts, sorted by name.
func (r *Roster) Filter(keep func(Entry) bool) []Entry {
	r.mu.RLock()
	out := make([]Entry, 0, len(r.members))
	for _, m := range r.members {
		if keep(m.entry) {
			out = append(out, m.entry)
		}
	}
	r.mu.RUnlock()
	sort.Slice(out, func(i, j int) bool {
		return out[i].Name < out[j].Name
	})
	return out
}

// Message is a request or a reply of a gossip exchange. Each message piggybacks
// recently changed entries. For anti-entropy, peers first compare Sum, which is
// enough in the usual case of equal rosters; if it differs, they compare Digests
// and send the entries of the failure domains that differ.
type Message struct {
	// From is the sender's own entry.
	From Entry `json:"from"`
	// Recent holds recently changed entries.
	Recent []Entry `json:"recent,omitempty"`
	// Sum is the XOR of the digests of all live entries of the sender.
	Sum uint64 `json:"sum"`
	// Digests holds the XOR of the digests by failure domain. It is set only if the
	// sums differ.
	Digests map[string]uint64 `json:"digests,omitempty"`
	// Full holds all entries of the failure domains whose digests differ.
	Full []Entry `json:"full,omitempty"`
}

// Message returns the message that starts an exchange with a peer.
func (r *Roster) Message(now timer.Instant) Message {
	m := Message{
		From:   r.Self(),
		Recent: r.recent(now),
	}
	m.Sum, _ = r.digests()
	return m
}

// Answer merges the message of a peer and returns the reply. The reply holds all
// entries of the domains whose digests differ or, if the message has no digests
// and the sums differ, the digests.
func (r *Roster) Answer(now timer.Instant, m Message) Message {
	r.Merge(now, append(append(m.Recent, m.Full...), m.From))
	reply := r.Message(now)
	if m.Digests != nil {
		reply.Full = r.differing(m.Digests)
		return reply
	}
	if sum, digests := r.digests(); sum != m.Sum {
		reply.Digests = digests
	}
	return reply
}

// MergeReply merges a peer's reply to the node's own message. If the reply holds
// digests, the rosters differed: then more is true, and next must be sent to the peer
// in a second exchange.
func (r *Roster) MergeReply(now timer.Instant, m Message) (next Message, more bool) {
	r.Merge(now, append(append(m.Recent, m.Full...), m.From))
	if m.Digests == nil {
		return Message{}, false
	}
	next = r.Message(now)
	next.Full = r.differing(m.Digests)
	_, next.Digests = r.digests()
	return next, true
}

// Random returns one of the entries that keep accepts, chosen uniformly by
// reservoir sampling, and false if there is none.
func (r *Roster) Random(keep func(Entry) bool) (Entry, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var chosen Entry
	accepted := 0
	for _, m := range r.members {
		if !keep(m.entry) {
			continue
		}
		accepted++
		if rand.IntN(accepted) == 0 {
			chosen = m.entry
		}
	}
	return chosen, accepted > 0
}

// recent returns at most maxPiggyback entries that changed less than
// piggybackTime ago.
func (r *Roster) recent(now timer.Instant) []Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []Entry
	for _, m := range r.members {
		if now.Sub(m.changedAt) < piggybackTime && len(out) < maxPiggyback {
			out = append(out, m.entry)
		}
	}
	return out
}

// digests returns the XOR of the digests over all failure domains and a copy of
// the digest of each.
func (r *Roster) digests() (sum uint64, perDomain map[string]uint64) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, v := range r.domainDigests {
		sum ^= v
	}
	return sum, maps.Clone(r.domainDigests)
}

// differing returns all entries of the failure domains whose digest differs from
// the peer's.
func (r *Roster) differing(theirs map[string]uint64) []Entry {
	_, ours := r.digests()
	return r.Filter(func(e Entry) bool {
		return ours[e.Domain] != theirs[e.Domain]
	})
}
