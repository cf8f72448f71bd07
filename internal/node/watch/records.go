package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// writeSpacing is the mean interval between the writes of all nodes after a restore of
	// the store, which takes one write in about half of it.
	writeSpacing = 4 * time.Millisecond
	// minRewriteSpread is the least time over which the nodes spread these writes.
	minRewriteSpread = 500 * time.Millisecond
	// relistMargin is how much later the readers list the nodes again: those that have
	// started meanwhile found few others.
	relistMargin = 1 * time.Second
)

// Store stores a record in the topic of nodes, in the background and again until the store
// has taken it, and again when the store was restored from a copy. A later record of the key
// replaces it.
func (w *Watcher) Store(r Record) {
	w.mu.Lock()
	w.records.set(r)
	w.mu.Unlock()
	signal(w.queued)
}

// signal makes the goroutine that waits for a channel of capacity 1 go on.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// keepRecords keeps this node's records in the store, first its registration. A node that
// was not among those that run has listed, since it is new, lists the nodes again once it is
// registered: of two new nodes at least one then learns of the other.
func (w *Watcher) keepRecords(ctx context.Context, wasListed <-chan bool) {
	w.writeRecords(ctx)
	var rewriteAt, relistAt <-chan time.Time
	isNew := false
	for {
		select {
		case <-ctx.Done():
			return
		case listed := <-wasListed:
			if !listed {
				isNew = true
				relistAt = time.After(0)
			}
		case <-w.queued:
			w.writeRecords(ctx)
		case <-w.restored:
			spread := max(minRewriteSpread, time.Duration(w.fleet.Size())*writeSpacing)
			rewriteAt = time.After(rand.N(spread))
			relistAt = time.After(spread + relistMargin)
		case <-rewriteAt:
			w.rewriteRecords(ctx)
		case <-relistAt:
			if !isNew && !w.isReader() {
				continue
			}
			if !w.relist() {
				relistAt = time.After(maxBackoff)
				continue
			}
			isNew = false
		}
	}
}

// scheduleRewrite makes keepRecords write lost records again, unless it is about to.
func (w *Watcher) scheduleRewrite() {
	if !w.rewriteDue.Swap(true) {
		signal(w.restored)
	}
}

// rewriteRecords writes the records that a restore of the store has lost. A restore that only
// other nodes have noticed casts doubt on all.
func (w *Watcher) rewriteRecords(ctx context.Context) {
	w.mu.Lock()
	if w.heard > w.epoch {
		w.records.doubt()
	}
	w.mu.Unlock()
	written := w.writeRecords(ctx)
	w.rewriteDue.Store(false)
	w.mu.Lock()
	_, _, missing := w.records.missing(w.epoch)
	w.mu.Unlock()
	if missing {
		w.scheduleRewrite()
	}
	w.rewritten.Add(int64(written))
	w.log.Info().Int64("epoch", w.Epoch()).Int("records", written).Msg("records written again")
}

// relist lists the nodes again and reports whether that succeeded.
func (w *Watcher) relist() bool {
	begin := time.Now()
	_, err := w.listNodes()
	w.setReachable(err == nil, "list nodes", err, time.Since(begin))
	return err == nil
}

// writeRecords writes the records that the store may lack, each until the store has taken
// it, and returns their number.
func (w *Watcher) writeRecords(ctx context.Context) (written int) {
	for ; ctx.Err() == nil; written++ {
		w.mu.Lock()
		r, revision, ok := w.records.missing(w.epoch)
		w.mu.Unlock()
		if !ok {
			break
		}
		w.retry(ctx, "write record", sleep, func() error { return w.write(r, revision) })
	}
	return written
}

// write writes a revision of a record. It starts a new session if the store does not take
// the write in this one. A write without a response is repeated unchanged, since the store may
// have taken it or take it later.
func (w *Watcher) write(r Record, revision int) error {
	known := w.Epoch()
	epoch, err := w.store.Put(w.topics.Nodes, r, w.order.Order)
	if errors.Is(err, ErrFenced) {
		w.log.Warn().Err(err).Str("key", r.Key).Int64("session", w.order.Session).Int64("seq", w.order.Seq).Msg("write rejected; a new session begins")
		w.order.startSession(time.Now())
		return err
	}
	if err != nil {
		return err
	}
	w.order.taken()
	w.observeEpoch(epoch, known, "write record")
	if epoch == EpochUnknown {
		epoch = known
	}
	w.mu.Lock()
	w.records.acknowledge(r.Key, revision, epoch)
	w.mu.Unlock()
	w.onStored(r)
	return nil
}

// Rewritten returns how many records this node has written again after restores of the store.
func (w *Watcher) Rewritten() int64 {
	return w.rewritten.Load()
}
