package watch

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
		w.log.Info().Int64("epoch", epoch).Str("call", operation).Msg("store epoch known")
	case changed && epoch < before:
		w.log.Warn().Int64("epoch", epoch).Int64("before", before).Str("call", operation).Msg("store epoch went back")
	case changed:
		w.log.Warn().Int64("epoch", epoch).Int64("before", before).Str("call", operation).
			Int64("offset", position.Offset).Msg("store was restored from a copy")
	}
}

// put writes a record of this node.
func (w *Watcher) put(r Record) error {
	known := w.Epoch()
	epoch, err := w.store.Put(w.topics.Nodes, r.Key, r.Value)
	if err != nil {
		return err
	}
	w.observeEpoch(epoch, known, "write record")
	return nil
}
