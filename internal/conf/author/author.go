// Package author makes operators' changes to the configuration. It appends a change
// to the platform's log and reads the log to learn whether the change was accepted.
package author

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"fuchsiapier/internal/conf/feed"
	"fuchsiapier/internal/conf/plog"
	"fuchsiapier/internal/conf/state"
)

const (
	// maxReads bounds how often the log is read to learn the outcome of a change.
	maxReads = 10
	// readInterval is the delay between two of these reads.
	readInterval = 200 * time.Millisecond
	// maxAttempts bounds how often a change that conflicts with others is submitted,
	// the first time included.
	maxAttempts = 8
)

// RefusedError is returned for a change that was not accepted and has no effect.
// Winner is the change that was accepted on top of the same version instead; it is
// zero if there is none or it is no longer known.
type RefusedError struct {
	Reason string
	Winner state.AcceptedChange
}

// Error returns the reason, and the change that was accepted instead if there is one.
func (e *RefusedError) Error() string {
	if e.Winner.ID == "" {
		return "refused: " + e.Reason
	}
	return fmt.Sprintf("refused: %s; version %d was made by %q with change %s", e.Reason, e.Winner.Version, e.Winner.Author, e.Winner.ID)
}

// ErrOutcomeUnknown is returned when a change did not appear in the log in time, so
// that it may or may not be accepted later. Submitting the change again with the same
// ID is safe.
var ErrOutcomeUnknown = errors.New("outcome unknown: the platform's log can't be read; run the same command with the same --change-id to learn it")

// Log is the client of the platform's log; plog.Client implements it.
type Log interface {
	Append(stream string, body []byte) (uint64, error)
	Read(stream string, from uint64, wait time.Duration) (plog.Page, error)
}

// Author makes changes in the name of one operator.
type Author struct {
	name string
	log  Log
}

// New returns an Author that records name as the author of its changes.
func New(name string, log Log) *Author {
	return &Author{
		name: name,
		log:  log,
	}
}

// Current reads the whole log and returns the configuration.
func (a *Author) Current() (state.State, error) {
	s, _, err := a.read(state.State{})
	return s, err
}

// read replays the log from s up to its end and returns the new state and the
// outcomes by change ID.
func (a *Author) read(s state.State) (state.State, map[string]state.Outcome, error) {
	found := map[string]state.Outcome{}
	for {
		page, err := a.log.Read(feed.Stream, s.Next, 0)
		if err != nil {
			return s, found, err
		}
		if len(page.Records) == 0 && page.First <= s.Next {
			return s, found, nil
		}
		next, outcomes, err := s.Replay(page.First, page.Records)
		if err != nil {
			return s, found, err
		}
		recordOutcomes(found, page.Records, outcomes)
		if next.Next == s.Next {
			return next, found, nil
		}
		s = next
	}
}

// recordOutcomes adds the outcomes to found by change ID, keeping the first of each
// change. The outcomes are those of the last records, since replay skips the records
// that the state already includes.
func recordOutcomes(found map[string]state.Outcome, records []state.Record, outcomes []state.Outcome) {
	records = records[len(records)-len(outcomes):]
	for i, r := range records {
		c, err := state.Decode(r.Offset, r.Body)
		if err != nil {
			continue
		}
		if _, seen := found[c.ID]; !seen {
			found[c.ID] = outcomes[i]
		}
	}
}

// Submit appends a change that builds on the current version and returns the version
// that the change produced. It returns a *RefusedError if the change was refused, and
// an error that wraps ErrOutcomeUnknown if the append was attempted but its outcome is
// unknown. id is the idempotency key of the change; it may be that of an earlier
// attempt whose outcome was unknown. If id is empty, a random one is used.
func (a *Author) Submit(id string, c state.Change) (uint64, error) {
	if id == "" {
		id = uuid.NewString()
	}
	s, err := a.Current()
	if err != nil {
		return 0, err
	}
	if done, ok := s.Accepted(id); ok {
		return done.Version, nil
	}
	c.ID = id
	c.Base = s.Version
	c.Author = a.name
	body, err := json.Marshal(c)
	if err != nil {
		return 0, err
	}
	_, appendErr := a.log.Append(feed.Stream, body)
	return a.awaitOutcome(s, id, appendErr)
}

// awaitOutcome reads the log from s on until it finds the change, at most maxReads
// times. An append without a response may still take effect later, so the outcome is
// unknown if the change is not found.
func (a *Author) awaitOutcome(s state.State, id string, appendErr error) (uint64, error) {
	for range maxReads {
		next, found, err := a.read(s)
		if err == nil {
			s = next
		}
		if outcome, ok := found[id]; ok {
			if outcome.Accepted {
				done, _ := s.Accepted(id)
				return done.Version, nil
			}
			return 0, &RefusedError{
				Reason: outcome.Reason,
				Winner: outcome.Winner,
			}
		}
		time.Sleep(readInterval)
	}
	return 0, errors.Join(ErrOutcomeUnknown, appendErr, fmt.Errorf("change id %s", id))
}

// SubmitRebased submits a change that means the same at any version, such as
// withdrawing a key. If another change was accepted first, it submits the change again
// on top of the new version, with a new ID, up to maxAttempts times in all. Its errors
// are those of Submit.
func (a *Author) SubmitRebased(id string, c state.Change) (uint64, error) {
	var err error
	for range maxAttempts {
		var version uint64
		version, err = a.Submit(id, c)
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Winner.ID == "" {
			return version, err
		}
		id = ""
	}
	return 0, err
}
