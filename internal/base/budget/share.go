package budget

import (
	"container/list"
	"time"
)

// Share is what one holder uses of a budget. It is safe for concurrent use.
type Share struct {
	*tenure
}

// tenure is the state of a share. It doesn't refer to the Share, so that one that its holder has lost is
// given back.
type tenure struct {
	budget *Budget
	owner  Owner
	// number gives the order in which shares were opened.
	number uint64
	// refs counts the holders. The budget's lock guards it and the rest.
	refs int
	held int64
	// waited is how long the share has waited to grow, over all times.
	waited     time.Duration
	progressAt time.Time
	// evict takes the share back; nil while that must not happen.
	evict   func()
	evicted bool
	// listed is the place among the shares that may be taken back, nil if it is not among them.
	listed   *list.Element
	listedIn *list.List
}

// waiter is a share that waits to grow.
type waiter struct {
	tenure *tenure
	units  int64
	// granted is set, and ready closed, when the share has grown.
	granted bool
	ready   chan struct{}
}

// isLarge reports whether the share is above the size of small ones once it has grown by n units.
func (t *tenure) isLarge(n int64) bool {
	return t.held+n > t.budget.smallest
}

// parts returns what the share adds to what large ones hold, and to those of them that are no answers.
func (t *tenure) parts() (large, requests int64) {
	switch {
	case !t.isLarge(0):
		return 0, 0
	case t.owner == Answers:
		return t.held, 0
	}
	return t.held, t.held
}

// list adds the share to those that may be taken back, as the one with the latest progress; the budget's
// lock must be held.
func (t *tenure) list() {
	t.unlist()
	if t.evict == nil || t.evicted || t.refs == 0 {
		return
	}
	t.listedIn = t.budget.small
	if t.isLarge(0) {
		t.listedIn = t.budget.big
	}
	t.progressAt = time.Now()
	t.listed = t.listedIn.PushBack(t)
}

// unlist removes the share from those that may be taken back; the budget's lock must be held.
func (t *tenure) unlist() {
	if t.listed != nil {
		t.listedIn.Remove(t.listed)
		t.listed = nil
	}
}

// Grow adds units to the share, which counts as progress. Where the budget has no room it waits for a
// moment. Its errors are ErrShort, ErrTooLarge and ErrEvicted.
func (t *tenure) Grow(units int64) error {
	b := t.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case t.evicted:
		return ErrEvicted
	case t.isLarge(units) && t.held+units > b.total-b.reserved, t.held+units > b.total:
		b.refusals.Add(1)
		return ErrTooLarge
	case b.fits(t, units) && !t.mustQueue(units):
		b.add(t, units)
		t.list()
		return nil
	}
	b.beginShortage()
	return t.wait(units)
}

// TryGrow is like Grow, but doesn't wait, and makes room for the next shares.
func (t *tenure) TryGrow(units int64) error {
	b := t.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case t.evicted:
		return ErrEvicted
	case !b.fits(t, units):
		b.beginShortage()
		b.makeRoom(t, max(units, b.headroom))
		b.refusals.Add(1)
		return ErrShort
	}
	b.add(t, units)
	t.list()
	b.makeRoom(t, b.headroom)
	return nil
}

// queue says which waiting shares a share that would grow may not overtake.
type queue int

// The queues. Small shares overtake all others.
const (
	smallShares queue = iota
	largeRequests
	largeAnswers
)

// queue returns the queue of the share once it has grown by n units.
func (t *tenure) queue(n int64) queue {
	switch {
	case !t.isLarge(n):
		return smallShares
	case t.owner == Answers:
		return largeAnswers
	}
	return largeRequests
}

// mustQueue reports whether a share that it may not overtake waits and was opened earlier; the budget's lock
// must be held.
func (t *tenure) mustQueue(units int64) bool {
	q := t.queue(units)
	if q == smallShares {
		return false
	}
	for e := t.budget.waiting.Front(); e != nil; e = e.Next() {
		w := e.Value.(*waiter)
		if w.tenure.number < t.number && w.tenure.queue(w.units) == q {
			return true
		}
	}
	return false
}

// wait waits until the share has grown. The share that was opened last gives up first, so that the others
// come to an end. The budget's lock must be held; it is not during the wait.
func (t *tenure) wait(units int64) error {
	b := t.budget
	t.unlist()
	w := &waiter{
		tenure: t,
		units:  units,
		ready:  make(chan struct{}),
	}
	place := b.enqueue(w)
	began, before := time.Now(), t.waited
	for last := false; ; {
		b.makeRoom(t, units)
		t.waited = before + time.Since(began)
		// Others that have just grown may be about to wait again: only the second check in a row counts.
		wasLast := last
		last = place.Next() == nil
		if last && b.waiting.Len() > b.waitingLimit || last && wasLast && t.waited >= t.owner.patience() || t.waited >= maxWait {
			b.waiting.Remove(place)
			b.refusals.Add(1)
			return ErrShort
		}
		b.mu.Unlock()
		select {
		case <-w.ready:
		case <-time.After(checkPeriod):
		}
		b.mu.Lock()
		if w.granted {
			t.list()
			return nil
		}
	}
}

// enqueue adds a waiting share behind those that were opened before it; b.mu must be held.
func (b *Budget) enqueue(w *waiter) *list.Element {
	for e := b.waiting.Back(); e != nil; e = e.Prev() {
		if e.Value.(*waiter).tenure.number < w.tenure.number {
			return b.waiting.InsertAfter(w, e)
		}
	}
	return b.waiting.PushFront(w)
}

// AllowEviction lets others take the share back while it makes no progress: evict is then called, once, on
// a goroutine of its own, and has to bring about that the share is released. It counts as progress.
func (t *tenure) AllowEviction(evict func()) {
	t.budget.mu.Lock()
	defer t.budget.mu.Unlock()
	t.evict = evict
	t.list()
}

// ForbidEviction keeps the share from being taken back, and returns false if it has been.
func (t *tenure) ForbidEviction() bool {
	t.budget.mu.Lock()
	defer t.budget.mu.Unlock()
	t.evict = nil
	t.unlist()
	return !t.evicted
}

// Progressed notes that the share makes progress.
func (t *tenure) Progressed() {
	t.budget.mu.Lock()
	defer t.budget.mu.Unlock()
	t.list()
}

// Evicted reports whether the share was taken back.
func (t *tenure) Evicted() bool {
	t.budget.mu.Lock()
	defer t.budget.mu.Unlock()
	return t.evicted
}

// Held returns the units of the share.
func (t *tenure) Held() int64 {
	t.budget.mu.Lock()
	defer t.budget.mu.Unlock()
	return t.held
}

// Retain adds a holder: the share is given back once each of them has released it.
func (t *tenure) Retain() {
	t.budget.mu.Lock()
	defer t.budget.mu.Unlock()
	t.refs++
}

// Release gives the share back if it has no other holder.
func (t *tenure) Release() {
	t.budget.mu.Lock()
	defer t.budget.mu.Unlock()
	if t.refs--; t.refs == 0 {
		t.endLocked()
	}
}

// end gives back a share that was lost.
func (t *tenure) end() {
	t.budget.mu.Lock()
	defer t.budget.mu.Unlock()
	if t.refs > 0 {
		t.refs = 0
		t.endLocked()
	}
}

// endLocked gives the units back; the budget's lock must be held.
func (t *tenure) endLocked() {
	t.unlist()
	if t.evicted {
		t.budget.markEvicted(t, -1)
	}
	t.budget.add(t, -t.held)
	t.budget.grantWaiting()
}
