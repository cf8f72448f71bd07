package state

import "fmt"

// Record is an entry of the configuration stream in the platform's log.
type Record struct {
	Offset uint64 `json:"offset"`
	Body   []byte `json:"body"`
}

// Replay applies records in order to s and returns the new state with the outcome
// of each applied record; records that s already includes are skipped. first is
// the lowest offset that the log still retains. If retention has removed records
// that s lacks, Replay starts from the newest checkpoint that covers them, and
// returns s with an error if there is none. The result is never older than s.
func (s State) Replay(first uint64, records []Record) (State, []Outcome, error) {
	current := s
	if first > s.Next {
		snapshot, ok := newestCheckpoint(first, records)
		if !ok || snapshot.Version < s.Version {
			return s, nil, fmt.Errorf("records %d to %d were removed by retention and no checkpoint covers them", s.Next, first-1)
		}
		current = snapshot
	}
	var outcomes []Outcome
	for _, r := range records {
		if r.Offset < current.Next {
			continue
		}
		var outcome Outcome
		current, outcome = current.Apply(r.Offset, r.Body)
		outcomes = append(outcomes, outcome)
	}
	return current, outcomes, nil
}

// newestCheckpoint returns the state of the newest checkpoint that covers all
// records before first, so that the retained records can be replayed onto it.
func newestCheckpoint(first uint64, records []Record) (State, bool) {
	var best State
	found := false
	for _, r := range records {
		c, err := Decode(r.Offset, r.Body)
		if err != nil || c.Operation != Checkpoint || c.State == nil {
			continue
		}
		usable := c.State.Next >= first && c.State.Next <= r.Offset
		if usable && (!found || c.State.Version >= best.Version) {
			best = *c.State
			found = true
		}
	}
	return best, found
}
