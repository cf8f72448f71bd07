// Package state computes the configuration from the platform's log as a replicated
// state machine: every node that applies the same records in the same order has
// the same configuration. It defines the changes, decides which are accepted, and
// replays them. It does no I/O.
package state

import (
	"encoding/json"
	"fmt"
	"maps"

	"fuchsiapier/internal/conf/preset"
)

// Operation is the kind of a change.
type Operation string

// The operations of a change. Checkpoint changes nothing: it stores the whole
// state, so that replay can start there after retention removed older records.
const (
	PublishPreset Operation = "publish-preset"
	SwitchPreset  Operation = "switch-preset"
	GiveKey       Operation = "give-key"
	WithdrawKey   Operation = "withdraw-key"
	Checkpoint    Operation = "checkpoint"
)

// Change is a record of the configuration stream.
type Change struct {
	// ID is the idempotency key: a change that is sent again after a lost response
	// is applied once.
	ID string `json:"id"`
	// Base is the version that the author read. The change is accepted only if it
	// is still the current version (optimistic concurrency control).
	Base      uint64         `json:"base"`
	Author    string         `json:"author,omitempty"`
	Operation Operation      `json:"operation"`
	Preset    *preset.Preset `json:"preset,omitempty"`
	Name      string         `json:"name,omitempty"`
	Key       *Key           `json:"key,omitempty"`
	// State is the whole configuration; set in a checkpoint only.
	State *State `json:"state,omitempty"`
}

// AcceptedChange identifies an accepted change by its ID, with the version that the
// change produced and its author.
type AcceptedChange struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
	Author  string `json:"author,omitempty"`
}

// State is the configuration at a version. It is immutable: each change returns a
// new State.
type State struct {
	// Version is the number of accepted changes.
	Version uint64 `json:"version"`
	// Next is the offset of the first record not yet applied.
	Next uint64 `json:"next"`
	// InForce is the name of the preset in force, "" before the first switch.
	InForce string                   `json:"in-force,omitempty"`
	Presets map[string]preset.Preset `json:"presets,omitempty"`
	// Keys maps key IDs to keys.
	Keys map[string]Key `json:"keys,omitempty"`
	// Recent holds the latest accepted changes, oldest first, so that authors learn
	// the outcome of their changes and repeated changes are recognized.
	Recent []AcceptedChange `json:"recent,omitempty"`
}

// recentLimit bounds the length of State.Recent. It suffices since an author reads
// the log within seconds after its change.
const recentLimit = 64

// Outcome is the result of applying a record.
type Outcome struct {
	Accepted bool
	// Reason says why a change was refused. It is "checkpoint" for a checkpoint and
	// empty if the change was accepted.
	Reason string
	// Winner is the accepted change that took the version which a refused change
	// would have produced, or zero if there is none or it is no longer in Recent. For a
	// repeated change that was accepted before, it is that accepted change.
	Winner AcceptedChange
}

// Active returns the preset in force, and false before the first switch.
func (s State) Active() (preset.Preset, bool) {
	p, ok := s.Presets[s.InForce]
	return p, ok
}

// Accepted returns the accepted change with an ID, and false if it is not in Recent.
func (s State) Accepted(id string) (AcceptedChange, bool) {
	for _, a := range s.Recent {
		if a.ID == id {
			return a, true
		}
	}
	return AcceptedChange{}, false
}

// Decode parses a record. Its errors name the offset.
func Decode(offset uint64, record []byte) (Change, error) {
	var c Change
	if err := json.Unmarshal(record, &c); err != nil {
		return Change{}, fmt.Errorf("configuration record at offset %d: %w", offset, err)
	}
	if c.ID == "" {
		return Change{}, fmt.Errorf("configuration record at offset %d: id: must not be empty", offset)
	}
	return c, nil
}

// Apply returns the state after the record at an offset, and the outcome of the
// record. A refused, repeated or malformed record and a checkpoint change only
// Next.
func (s State) Apply(offset uint64, record []byte) (State, Outcome) {
	next := s.withNextOffset(offset + 1)
	c, err := Decode(offset, record)
	if err != nil {
		return next, Outcome{
			Reason: err.Error(),
		}
	}
	if c.Operation == Checkpoint {
		return next, Outcome{
			Reason: "checkpoint",
		}
	}
	if a, ok := s.Accepted(c.ID); ok {
		return next, Outcome{
			Accepted: true,
			Winner:   a,
		}
	}
	if c.Base != s.Version {
		return next, Outcome{
			Reason: fmt.Sprintf("builds on version %d but version %d is current", c.Base, s.Version),
			Winner: s.changeAt(c.Base + 1),
		}
	}
	changed, err := next.applyOperation(c)
	if err != nil {
		return next, Outcome{
			Reason: err.Error(),
		}
	}
	return changed.withAccepted(c), Outcome{
		Accepted: true,
	}
}

// changeAt returns the recent change that produced a version, or zero if there is
// none.
func (s State) changeAt(version uint64) AcceptedChange {
	for _, a := range s.Recent {
		if a.Version == version {
			return a
		}
	}
	return AcceptedChange{}
}

func (s State) withNextOffset(next uint64) State {
	s.Next = next
	return s
}

// withAccepted returns the state with the version incremented and c added to Recent.
func (s State) withAccepted(c Change) State {
	s.Version++
	recent := append([]AcceptedChange{}, s.Recent...)
	recent = append(recent, AcceptedChange{
		ID:      c.ID,
		Version: s.Version,
		Author:  c.Author,
	})
	if len(recent) > recentLimit {
		recent = recent[len(recent)-recentLimit:]
	}
	s.Recent = recent
	return s
}

// applyOperation returns the state with a change applied. A change that is not
// valid is not applied in part either: it returns s and an error.
func (s State) applyOperation(c Change) (State, error) {
	switch c.Operation {
	case PublishPreset:
		return s.WithPreset(c.Preset)
	case SwitchPreset:
		return s.WithInForce(c.Name)
	case GiveKey:
		return s.WithKey(c.Key)
	case WithdrawKey:
		return s.WithoutKey(c.Name)
	case Checkpoint:
	}
	return s, fmt.Errorf("operation: unknown operation %q", c.Operation)
}

// WithPreset returns the state with a preset added, or replaced if one of the same
// name exists. It returns an error if the preset is not valid.
func (s State) WithPreset(p *preset.Preset) (State, error) {
	if p == nil {
		return s, fmt.Errorf("preset: missing")
	}
	if err := p.Validate("preset " + p.Name); err != nil {
		return s, err
	}
	s.Presets = withEntry(s.Presets, p.Name, *p)
	return s, nil
}

// WithInForce returns the state with another preset in force. It returns an error
// if no preset of that name is published.
func (s State) WithInForce(name string) (State, error) {
	if _, ok := s.Presets[name]; !ok {
		return s, fmt.Errorf("name: no preset %q is published; list the presets with preset show", name)
	}
	s.InForce = name
	return s, nil
}

// WithKey returns the state with a key added. It returns an error if the key is
// incomplete or its ID exists already.
func (s State) WithKey(k *Key) (State, error) {
	if k == nil || k.ID == "" || len(k.Hash) != len(hash("")) || !preset.ValidName(k.Workspace) {
		return s, fmt.Errorf("key: needs id, workspace and hash")
	}
	if _, ok := s.Keys[k.ID]; ok {
		return s, fmt.Errorf("key: id %q exists already", k.ID)
	}
	s.Keys = withEntry(s.Keys, k.ID, *k)
	return s, nil
}

// WithoutKey returns the state without the key of an ID, which no longer
// authenticates. It returns an error if there is no such key.
func (s State) WithoutKey(id string) (State, error) {
	if _, ok := s.Keys[id]; !ok {
		return s, fmt.Errorf("name: no key %q exists; list the keys with key list", id)
	}
	keys := maps.Clone(s.Keys)
	delete(keys, id)
	s.Keys = keys
	return s, nil
}

// withEntry returns a copy of m with an entry added or replaced.
func withEntry[V any](m map[string]V, key string, v V) map[string]V {
	out := maps.Clone(m)
	if out == nil {
		out = map[string]V{}
	}
	out[key] = v
	return out
}
