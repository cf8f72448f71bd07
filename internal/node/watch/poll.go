package watch

import (
	"errors"
	"time"

	"fuchsiapier/internal/base/timer"
)

const (
	// checkInterval is the mean interval between the responses of the store to the readers of
	// all failure domains. It bounds how long a disturbance that loses all polls stays hidden,
	// and is far below the time within which a change must be in force.
	checkInterval = 500 * time.Millisecond
	// maxPollWait is the longest time that one long poll waits for a record.
	maxPollWait = 8 * time.Second
	// minMargin and maxMargin bound how long a response may take beyond the wait that a poll asks
	// for: a round trip between regions is 60 ms, a slow store takes some hundred milliseconds.
	minMargin = 500 * time.Millisecond
	maxMargin = 2 * time.Second
	// pollDoubt is how long after other nodes a poll may bring a newer configuration: a round trip
	// between regions and some delay.
	pollDoubt = 200 * time.Millisecond
	// suspendedAfter is the time between two calls of Tick after which the node is taken to have been
	// suspended in between.
	suspendedAfter = 1 * time.Second
	// marginFactor is how many times as long as the last response the next one may take.
	marginFactor = 3
)

// errPollEnded is returned for a poll that this node ended early.
var errPollEnded = errors.New("poll ended by the node")

// poll describes a long poll in flight; the zero value stands for none.
type poll struct {
	began time.Time
	// wait is how long the store is asked to wait for a record.
	wait time.Duration
	// ended says that this node has closed the connections in order to end the poll.
	ended bool
}

// pollOnce waits for new records of the operator and applies the newest configuration
// among them. The first poll after a pause does not wait, since a store that was restored
// meanwhile shows it only in a response.
func (w *Watcher) pollOnce() error {
	wait := w.nextWait()
	w.mu.Lock()
	from, known := w.position, w.epoch
	w.polling = poll{
		began: time.Now(),
		wait:  wait,
	}
	timeout := wait + w.margin
	w.mu.Unlock()
	w.upToDate = false
	records, next, err := w.store.Read(w.topics.Operator, from, wait, timeout)
	ended := w.endPoll(err)
	if err != nil && ended {
		return errPollEnded
	}
	if err != nil {
		return err
	}
	w.observeEpoch(next.Epoch, known, "poll")
	if next.Epoch != from.Epoch {
		return ErrTrimmed
	}
	w.upToDate = true
	w.staggered = wait > 0 && len(records) == 0
	w.mu.Lock()
	w.position = next
	w.mu.Unlock()
	w.applyNewest(records)
	if len(records) > 0 {
		time.Sleep(coalesceDelay)
	}
	return nil
}

// nextWait returns how long the next poll waits. The readers of all failure domains take turns:
// each waits for a period, and the first time after a change, which they all get at once, for
// the part of it that its place sets.
func (w *Watcher) nextWait() time.Duration {
	if !w.upToDate {
		return 0
	}
	place, domains := w.fleet.ReadingDomains()
	period := pollPeriod(domains)
	if w.staggered {
		return period
	}
	return period * time.Duration(place+1) / time.Duration(domains)
}

// pollPeriod returns how long a poll waits where the given number of failure domains poll in turn.
func pollPeriod(domains int) time.Duration {
	return min(time.Duration(domains)*checkInterval, maxPollWait)
}

// endPoll records the end of the poll in flight and adapts the margin to it. It reports whether
// this node has ended the poll.
func (w *Watcher) endPoll(err error) (ended bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.polling
	w.polling = poll{}
	switch excess := time.Since(p.began) - p.wait; {
	case p.ended:
	case errors.Is(err, ErrUnknown):
		w.margin = min(2*w.margin, maxMargin)
	case err == nil && excess > 0:
		w.margin = min(max(marginFactor*excess, minMargin), maxMargin)
	}
	return p.ended
}

// Tick ends a poll that waits longer than it should by now, since fewer failure domains
// poll than when it began, and one that has not brought a newer configuration which other nodes
// have. After a suspension of the node the store is read at once: a lost poll would show later than
// otherwise, since its time-out does not count the suspension. Tick is to be called several times
// a second.
func (w *Watcher) Tick(now timer.Instant) {
	_, domains := w.fleet.ReadingDomains()
	w.mu.Lock()
	suspended := w.lastTick != 0 && now.Sub(w.lastTick) > suspendedAfter
	w.lastTick = now
	p := w.polling
	overdue := p.wait > 0 && time.Since(p.began) > pollPeriod(domains)+w.margin
	missed := p.wait > 0 && w.newest.version > w.version() && p.began.Before(w.newest.since) && time.Since(w.newest.since) > pollDoubt
	w.mu.Unlock()
	switch {
	case suspended:
		w.CheckStore("the node was suspended")
	case overdue:
		w.endPollEarly("fewer failure domains poll")
	case missed:
		w.endPollEarly("other nodes have a newer configuration")
	}
}

// CheckStore has the newest configuration read from the store at once, in the background: by the
// poll of a reader, which it ends, or by any other node.
func (w *Watcher) CheckStore(reason string) {
	if w.endPollEarly(reason) {
		return
	}
	w.log.Info().Str("reason", reason).Msg("newest configuration is read from the store")
	signal(w.checks)
}

// endPollEarly ends the poll in flight, so that the store is read at once over a new connection.
// It reports whether there is one that waits.
func (w *Watcher) endPollEarly(reason string) bool {
	w.mu.Lock()
	p := w.polling
	w.mu.Unlock()
	if p.wait == 0 || p.ended {
		return false
	}
	w.log.Info().Str("reason", reason).Int64("poll-ms", time.Since(p.began).Milliseconds()).Int64("wait-ms", p.wait.Milliseconds()).Msg("poll of the store ended early")
	w.reconnect()
	return true
}

// reconnect closes all connections to the store, since one of them may be dead without a sign. A
// poll in flight ends, and begins again.
func (w *Watcher) reconnect() {
	w.mu.Lock()
	w.polling.ended = true
	w.mu.Unlock()
	w.reconnects.Add(1)
	w.store.Reconnect()
}
