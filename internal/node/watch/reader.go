package watch

import (
	"slices"
	"time"
)

const (
	// readerCheckPeriod is how often a node checks whether it is a reader of its domain.
	readerCheckPeriod = 100 * time.Millisecond
	// doubtReaders is how many nodes of a failure domain read the store while one of its nodes
	// does not reach it.
	doubtReaders = 2
)

// isReader reports whether this node is to read the store: because it is the first
// of the domain's readers, because none is known, or because it does not reach the
// store. In the last case it keeps trying, since no other node can tell when this one
// reaches the store again. While a node of the domain does not reach the store, which may not
// respond to the first reader either, the second one reads it too.
func (w *Watcher) isReader() bool {
	w.mu.Lock()
	reachable := w.reachable
	w.mu.Unlock()
	readers := w.fleet.Readers()
	count := 1
	if w.fleet.StoreInDoubt() {
		count = doubtReaders
	}
	reader := !reachable || len(readers) == 0 || slices.Contains(readers[:min(count, len(readers))], w.self)
	w.logReader(reader, reachable, readers)
	return reader
}

// logReader logs that this node becomes the reader, and why, or that another one does.
func (w *Watcher) logReader(reader, reachable bool, readers []string) {
	w.mu.Lock()
	changed := reader != w.reader
	since := time.Since(w.readerSince)
	if changed {
		w.reader = reader
		w.readerSince = time.Now()
	}
	w.mu.Unlock()
	if !changed {
		return
	}
	line := w.log.Info().Int64("after-ms", since.Milliseconds()).Bool("store-reachable", reachable).Strs("readers", readers)
	if reader {
		line.Msg("this node reads the store")
		return
	}
	line.Msg("another node reads the store")
}
