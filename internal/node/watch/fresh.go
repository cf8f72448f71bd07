package watch

import "time"

// Freshness says how current the configuration in force is, as far as this node knows.
type Freshness struct {
	// Version is the version in force, 0 before the first.
	Version int64
	// Newest is the newest version that is known to exist: in force here or on another node.
	Newest int64
	// Behind is how long the node has known of a newer version than the one in force, 0 if it
	// knows of none.
	Behind time.Duration
	// StoreAge is the time since the last response of the store to this node, or since its start
	// before the first. Nodes that do not read the store rely on those that do.
	StoreAge time.Duration
}

// heardVersion is what other nodes have told of newer configurations.
type heardVersion struct {
	version int64
	// since is when the first version that is newer than the one in force was heard.
	since time.Time
}

// Hear tells the watcher that another node has a version of the configuration in force.
func (w *Watcher) Hear(version int64, from string) {
	w.mu.Lock()
	current := w.version()
	isNew := version > max(current, w.newest.version)
	if isNew {
		if w.newest.version <= current {
			w.newest.since = time.Now()
		}
		w.newest.version = version
	}
	behind := time.Since(w.newest.since)
	w.mu.Unlock()
	if isNew {
		w.log.Info().Int64("version", version).Int64("in-force", current).Str("from", from).Int64("behind-ms", behind.Milliseconds()).Msg("newer configuration known")
	}
}

// version returns the version in force, 0 before the first; w.mu must be held.
func (w *Watcher) version() int64 {
	if w.rules == nil {
		return 0
	}
	return w.rules.Version()
}

// Freshness returns how current the configuration in force is.
func (w *Watcher) Freshness() Freshness {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := Freshness{
		Version:  w.version(),
		StoreAge: time.Since(w.respondedAt),
	}
	f.Newest = max(f.Version, w.newest.version)
	if f.Newest > f.Version {
		f.Behind = time.Since(w.newest.since)
	}
	return f
}

// caughtUp returns how long the node knew of a newer version before the one in force replaced
// an older one, and false if it knew of none; w.mu must be held.
func (w *Watcher) caughtUp(before int64) (time.Duration, bool) {
	if w.newest.version <= before {
		return 0, false
	}
	return time.Since(w.newest.since), true
}
