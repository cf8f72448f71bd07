package watch

import (
	"context"
	"time"
)

// Heard says which of the other nodes a starting node has heard.
type Heard int

const (
	// NoneKnown means that no other node is known. The store may have lost their records.
	NoneKnown Heard = iota
	// SomeSilent means that known nodes were not heard yet.
	SomeSilent
	// AllHeard means that all nodes that answer at once have been heard.
	AllHeard
)

const (
	// consultTimeout is how long a starting node waits to hear which configuration the other
	// nodes have in force: a round trip between regions and some delay.
	consultTimeout = 200 * time.Millisecond
	// peerConfigTimeout is how long it waits for a newer one from them, which nodes of
	// another failure domain supply last.
	peerConfigTimeout = 1 * time.Second
	// aloneTimeout replaces consultTimeout while no other node is known. After a restore of the
	// store the others write their records again and list new ones within that time.
	aloneTimeout = 2 * time.Second
	// consultPeriod is how often it checks for either.
	consultPeriod = 5 * time.Millisecond
)

// awaitPeers delays the first configuration that a starting node has read from the store while the
// other nodes may have a newer one: the store may have been restored from a copy, or respond
// with old records. The node does not serve meanwhile.
func (w *Watcher) awaitPeers(ctx context.Context, records []Record) {
	stored := w.newestVersion(records)
	start := time.Now()
	for ctx.Err() == nil && stored > 0 && w.Current() == nil {
		inForce, heard := w.fleet.NewestConfig()
		if time.Since(start) >= consultTime(inForce > stored, heard) || inForce > 0 && inForce <= stored {
			break
		}
		sleep(ctx, consultPeriod)
	}
	w.logOlder(stored, time.Since(start))
}

// consultTime returns how long a starting node waits for the others; newer says that one of
// them has a newer configuration than the store.
func consultTime(newer bool, heard Heard) time.Duration {
	switch {
	case newer:
		return peerConfigTimeout
	case heard == NoneKnown:
		return aloneTimeout
	case heard == SomeSilent:
		return consultTimeout
	}
	return 0
}

// logOlder tells operators that other nodes have a newer configuration in force than the store
// holds, and which of them a starting node applies.
func (w *Watcher) logOlder(stored int64, waited time.Duration) {
	inForce, _ := w.fleet.NewestConfig()
	if inForce <= stored || stored == 0 {
		return
	}
	line := w.log.Warn().Int64("stored", stored).Int64("in-force", inForce).Int64("waited-ms", waited.Milliseconds())
	if w.Current() == nil {
		line.Msg("store holds an older configuration than other nodes, which did not send theirs; the stored one is applied")
		return
	}
	line.Msg("store holds an older configuration than other nodes; theirs is applied")
}

// newestVersion returns the version of the newest usable configuration among records, 0 if
// there is none.
func (w *Watcher) newestVersion(records []Record) int64 {
	newest := int64(0)
	for _, r := range records {
		if r.Key != w.topics.ConfigKey || r.Value == nil {
			continue
		}
		if content, _, err := w.parse(r.Value); err == nil {
			newest = max(newest, content.Version)
		}
	}
	return newest
}
