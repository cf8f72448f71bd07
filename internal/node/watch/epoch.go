package watch

// EpochUnknown is the epoch of a store whose responses name none.
const EpochUnknown int64 = -1

// Position is a place in a topic of the store. The epoch increases each time the store is
// restored from a copy, which may lack the newest records: an offset is valid only in the
// epoch in which the store returned it.
type Position struct {
	Epoch  int64
	Offset int64
}

// WithOffset returns the position of another offset in the same epoch.
func (p Position) WithOffset(offset int64) Position {
	p.Offset = offset
	return p
}

// Epoch returns the newest known epoch of the store, EpochUnknown before the first.
func (w *Watcher) Epoch() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.epoch
}

// observeEpoch records the epoch of a response; known is the epoch that was known when the
// call began. A response of an older epoch was delayed, and changes nothing, unless the newer
// epoch was known by then: the store's count itself has gone back.
func (w *Watcher) observeEpoch(epoch, known int64, operation string) {
	w.mu.Lock()
	before, position, wasUnnamed := w.epoch, w.position, w.unnamed
	w.unnamed = epoch == EpochUnknown && before != EpochUnknown
	changed := epoch != EpochUnknown && epoch != before && (epoch > before || known >= before)
	if changed {
		w.epoch = epoch
	}
	unnamed := w.unnamed && !wasUnnamed
	w.mu.Unlock()
	switch {
	case unnamed:
		w.log.Warn().Int64("epoch", before).Str("call", operation).Msg("store names no epoch; a restore can't be noticed")
	case changed && before == EpochUnknown:
		w.fleet.SetStoreEpoch(epoch)
		w.log.Info().Int64("epoch", epoch).Str("call", operation).Msg("store epoch known")
	case changed:
		w.fleet.SetStoreEpoch(epoch)
		w.scheduleRewrite()
		text := "store was restored from a copy"
		if epoch < before {
			text = "store epoch went back"
		}
		w.log.Warn().Int64("epoch", epoch).Int64("before", before).Str("call", operation).Int64("offset", position.Offset).Msg(text)
	}
}

// HearEpoch tells the watcher which epoch of the store another node has observed. A node that does
// not read the store learns of a restore in this way. It takes over the epoch when the store's
// response to its next write confirms it.
func (w *Watcher) HearEpoch(epoch int64, from string) {
	w.mu.Lock()
	known := w.epoch
	isNew := known != EpochUnknown && epoch > max(known, w.heard)
	if isNew {
		w.heard = epoch
	}
	w.mu.Unlock()
	if !isNew {
		return
	}
	w.log.Info().Int64("epoch", epoch).Int64("before", known).Str("from", from).Msg("store was restored according to another node")
	w.scheduleRewrite()
}
