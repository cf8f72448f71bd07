package agent

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/base/timer"
)

// crashTracker tracks the requests that crash targets, for the gate and the other
// nodes; it is safe for concurrent use.
type crashTracker struct {
	log zerolog.Logger
	// broadcast sends entries to the other nodes.
	broadcast func([]crash.Entry)
	// sent and received count the entries exchanged with other nodes.
	sent     atomic.Uint64
	received atomic.Uint64
	mu       sync.Mutex
	tracker  *crash.Tracker
}

// newCrashTracker returns a tracker without entries; broadcast is called with new or
// changed entries and sends them to the other nodes.
func newCrashTracker(log zerolog.Logger, broadcast func([]crash.Entry)) *crashTracker {
	return &crashTracker{
		log:       log,
		broadcast: broadcast,
		tracker:   crash.NewTracker(crash.WithTwoCrashes()),
	}
}

// Lookup returns the standing of a request and its remaining time.
func (t *crashTracker) Lookup(f crash.Fingerprint) (crash.Standing, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Lookup(timer.Now(), f)
}

// RecordCrash records the requests that were running when the target crashed, and sends
// their entries to the other nodes.
func (t *crashTracker) RecordCrash(running []crash.Fingerprint) {
	t.mu.Lock()
	changed := t.tracker.RecordCrash(timer.Now(), running)
	t.mu.Unlock()
	t.logChanges("here", changed)
	t.sent.Add(uint64(len(changed)))
	t.broadcast(changed)
}

// RecordSuccess records that a request has run without a crash of the target.
func (t *crashTracker) RecordSuccess(f crash.Fingerprint) {
	t.mu.Lock()
	cleared := t.tracker.RecordSuccess(timer.Now(), f)
	t.mu.Unlock()
	if cleared {
		t.log.Info().Str("fingerprint", strconv.FormatUint(uint64(f), 16)).Msg("request cleared of crash suspicion")
	}
}

// entries returns the entries of suspected and quarantined requests, which are sent
// to the other nodes repeatedly.
func (t *crashTracker) entries() []crash.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Entries(timer.Now())
}

// merge adds the entries received from the named node and logs those that change the
// standing of a request.
func (t *crashTracker) merge(from string, entries []crash.Entry) {
	t.received.Add(uint64(len(entries)))
	var changed []crash.Entry
	t.mu.Lock()
	for _, e := range entries {
		before, _ := t.tracker.Lookup(timer.Now(), e.Fingerprint)
		t.tracker.Learn(timer.Now(), e)
		if after, _ := t.tracker.Lookup(timer.Now(), e.Fingerprint); after != before {
			changed = append(changed, e)
		}
	}
	t.mu.Unlock()
	t.logChanges(from, changed)
}

// logChanges logs new entries and the node that they came from, "here" for this one: a line
// for each suspected or quarantined request, and one for all that ran during a single crash
// (crash.Noted).
func (t *crashTracker) logChanges(from string, changed []crash.Entry) {
	var noted []string
	for _, e := range changed {
		fingerprint := strconv.FormatUint(uint64(e.Fingerprint), 16)
		if e.Standing == crash.Noted {
			noted = append(noted, fingerprint)
			continue
		}
		t.log.Warn().Str("fingerprint", fingerprint).Str("standing", string(e.Standing)).
			Int64("left-ms", e.LeftMillis).Str("from", from).Msg("request suspected of crashing targets")
	}
	if len(noted) > 0 {
		t.log.Info().Strs("fingerprints", noted).Str("from", from).Msg("requests ran during a crash")
	}
}
