// Package budget divides a bounded resource of a process, such as memory or descriptors, among those
// that use it. Whoever uses some of it holds a share, which grows step by step. When nothing is left, shares
// that make no progress are taken back from their holders, and the others wait for a moment. A part of the
// resource is kept for small shares, so that a few large ones don't stop everything else, and a part of what
// large ones may use is kept for answers, so that the requests in progress can end.
package budget

import (
	"container/list"
	"errors"
	"math"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// stallTime is how long a share may go without progress before it is taken back for others.
	stallTime = 250 * time.Millisecond
	// maxWait bounds how long a share waits to grow, over all times.
	maxWait = 4 * time.Second
	// requestPatience and answerPatience are how long the share that was opened last waits, that is until it
	// gives up for the others: a request may be sent again, an answer is lost. Both leave the time to notice
	// shares that make no progress.
	requestPatience = 2 * stallTime
	answerPatience  = 2 * time.Second
	// checkPeriod is how often a waiting share looks for others that make no progress.
	checkPeriod = 25 * time.Millisecond
	// defaultWaiting is how many shares may wait at once.
	defaultWaiting = 256
	// easeDivisor and easeParts say when a shortage is over: at most easeParts / easeDivisor are in use.
	easeParts   = 3
	easeDivisor = 4
)

// Errors of Grow.
var (
	// ErrShort means that the budget is used up by others; it may have room later.
	ErrShort = errors.New("budget is used up")
	// ErrTooLarge means that the budget never has room for a share of that size.
	ErrTooLarge = errors.New("share would exceed the budget")
	// ErrEvicted means that the share was taken back for others, since it made no progress.
	ErrEvicted = errors.New("share was taken back")
)

// Owner says who uses a share, for metrics.
type Owner int

// The owners.
const (
	// Callers holds what callers send, and their connections.
	Callers Owner = iota
	// Nodes holds what other nodes send, and their connections.
	Nodes
	// Answers holds the responses of targets and other nodes.
	Answers
	owners
)

// Name returns the name of an owner in metrics.
func (o Owner) Name() string {
	return []string{"callers", "nodes", "answers"}[o]
}

// patience returns how long the share of an owner waits while it was opened later than all others that wait.
func (o Owner) patience() time.Duration {
	if o == Answers {
		return answerPatience
	}
	return requestPatience
}

// Owners returns all owners.
func Owners() []Owner {
	return []Owner{Callers, Nodes, Answers}
}

// Budget is a bounded resource. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// total is the size of the resource, of which reserved is kept for shares of at most smallest units.
	total    int64
	reserved int64
	smallest int64
	// forAnswers says that large shares that are no answers leave half of what large ones may hold.
	forAnswers bool
	// headroom is how many units are made free ahead of their use.
	headroom int64
	// waitingLimit is how many shares may wait at once.
	waitingLimit int
	onShortage   func(begins bool)
	// all, large and requests count what all shares hold, those above smallest, and those of them that are
	// no answers.
	all      sum
	large    sum
	requests sum
	byOwner  [owners]int64
	// small and big hold the shares that may be taken back, those without progress for longest first; big
	// holds those above smallest.
	small *list.List
	big   *list.List
	// waiting holds the shares that wait to grow, in the order in which they were opened.
	waiting *list.List
	opened  uint64
	short   bool
	// refusals counts the shares that could not grow, evictions those that were taken back.
	refusals  atomic.Int64
	evictions atomic.Int64
}

// sum is what some of the shares hold.
type sum struct {
	held int64
	// evicted is the part of held of shares that were taken back and not released yet.
	evicted int64
}

// Option configures a Budget.
type Option func(*Budget)

// WithReserve keeps a part of the resource for shares of at most smallest units.
func WithReserve(reserved, smallest int64) Option {
	return func(b *Budget) {
		b.reserved, b.smallest = reserved, smallest
	}
}

// WithRoomForAnswers keeps half of what large shares may hold for those of answers. A single other share may
// use it as long as it is the only one.
func WithRoomForAnswers() Option {
	return func(b *Budget) {
		b.forAnswers = true
	}
}

// WithHeadroom makes TryGrow take back shares without progress while less than a number of units is free, so
// that there is room for the next ones.
func WithHeadroom(units int64) Option {
	return func(b *Budget) {
		b.headroom = units
	}
}

// WithWaiting bounds how many shares may wait at once, to a number other than 256.
func WithWaiting(n int) Option {
	return func(b *Budget) {
		b.waitingLimit = n
	}
}

// WithOnShortage sets a function that is called when the budget begins to be short, and when that is over.
// It must not use the budget.
func WithOnShortage(f func(begins bool)) Option {
	return func(b *Budget) {
		b.onShortage = f
	}
}

// New returns a budget of a number of units.
func New(total int64, options ...Option) *Budget {
	b := &Budget{
		total:        total,
		smallest:     total,
		waitingLimit: defaultWaiting,
		onShortage:   func(bool) {},
		small:        list.New(),
		big:          list.New(),
		waiting:      list.New(),
	}
	for _, o := range options {
		o(b)
	}
	return b
}

// Unlimited returns a budget that is never used up.
func Unlimited() *Budget {
	return New(math.MaxInt64 / 2)
}

// Resize changes the size of the resource and of the part that is kept for small shares. Shares that were
// granted stay.
func (b *Budget) Resize(total, reserved int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total, b.reserved = total, reserved
	b.grantWaiting()
}

// Largest returns how many units a single share may have where nothing else is in use.
func (b *Budget) Largest() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total - b.reserved
}

// Used returns how many units an owner uses.
func (b *Budget) Used(o Owner) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byOwner[o]
}

// Refusals returns how many times a share could not grow.
func (b *Budget) Refusals() int64 {
	return b.refusals.Load()
}

// Evictions returns how many shares were taken back.
func (b *Budget) Evictions() int64 {
	return b.evictions.Load()
}

// Open returns a new share without any units. It is given back by Release, or when it is no longer
// reachable.
func (b *Budget) Open(o Owner) *Share {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opened++
	t := &tenure{
		budget: b,
		owner:  o,
		number: b.opened,
		refs:   1,
	}
	s := &Share{
		tenure: t,
	}
	runtime.AddCleanup(s, (*tenure).end, t)
	return s
}

// room returns by how many units a share may grow; shares that were taken back count as released if
// evicted is set. b.mu must be held.
func (b *Budget) room(t *tenure, evicted bool) int64 {
	in := func(s sum) int64 {
		if evicted {
			return s.held - s.evicted
		}
		return s.held
	}
	room := b.total - in(b.all)
	small := b.smallest - t.held
	if t.isLarge(0) {
		small = 0
	}
	// What a share holds is no large share's until it exceeds the smallest size.
	before := int64(0)
	if !t.isLarge(0) {
		before = t.held
	}
	large := b.total - b.reserved - in(b.large) - before
	if b.forAnswers && t.owner != Answers {
		others := in(b.requests)
		if t.isLarge(0) {
			others -= t.held
		}
		if others > 0 {
			large = min(large, (b.total-b.reserved)/2-in(b.requests)-before)
		}
	}
	return min(room, max(small, large))
}

// fits reports whether a share may grow by n units now; b.mu must be held.
func (b *Budget) fits(t *tenure, n int64) bool {
	return n <= b.room(t, false)
}

// add gives n units to a share, which may be negative; b.mu must be held.
func (b *Budget) add(t *tenure, n int64) {
	large, requests := t.parts()
	t.held += n
	largeNow, requestsNow := t.parts()
	b.all.held += n
	b.large.held += largeNow - large
	b.requests.held += requestsNow - requests
	b.byOwner[t.owner] += n
}

// markEvicted counts a share as taken back, or, with sign -1, no longer as that; b.mu must be held.
func (b *Budget) markEvicted(t *tenure, sign int64) {
	large, requests := t.parts()
	b.all.evicted += sign * t.held
	b.large.evicted += sign * large
	b.requests.evicted += sign * requests
}

// grantWaiting grows the shares that wait, those that were opened first before the others of their queue.
// b.mu must be held.
func (b *Budget) grantWaiting() {
	var blocked [largeAnswers + 1]bool
	for e := b.waiting.Front(); e != nil; {
		w, next := e.Value.(*waiter), e.Next()
		q := w.tenure.queue(w.units)
		if blocked[q] || !b.fits(w.tenure, w.units) {
			blocked[q] = true
			e = next
			continue
		}
		b.waiting.Remove(e)
		b.add(w.tenure, w.units)
		w.granted = true
		close(w.ready)
		e = next
	}
	if b.short && b.waiting.Len() == 0 && b.all.held <= b.total/easeDivisor*easeParts {
		b.short = false
		b.onShortage(false)
	}
}

// beginShortage is called when a share doesn't fit; b.mu must be held.
func (b *Budget) beginShortage() {
	if b.short {
		return
	}
	b.short = true
	b.onShortage(true)
}

// makeRoom takes back shares that make no progress until what they hold is enough for a share to grow by n
// units. Only large ones make room for large ones. b.mu must be held.
func (b *Budget) makeRoom(t *tenure, n int64) {
	now := time.Now()
	for b.room(t, true) < n {
		victim := b.stalled(now, t.isLarge(n))
		if victim == nil {
			return
		}
		victim.unlist()
		victim.evicted = true
		b.markEvicted(victim, 1)
		b.evictions.Add(1)
		go victim.evict()
	}
}

// stalled returns the share that may be taken back and has made no progress for longest, a large one if
// there is one; nil if none has gone without for stallTime. b.mu must be held.
func (b *Budget) stalled(now time.Time, large bool) *tenure {
	lists := []*list.List{b.big, b.small}
	if large {
		lists = lists[:1]
	}
	for _, l := range lists {
		if e := l.Front(); e != nil {
			if t := e.Value.(*tenure); now.Sub(t.progressAt) >= stallTime {
				return t
			}
		}
	}
	return nil
}
