package depart

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/node/starts"
)

// bothTimeout is how long after a departure was recorded its confirmation waits for both the store and
// other nodes. Either is enough afterwards: a target takes a confirmation that arrives within a second.
const bothTimeout = 500 * time.Millisecond

// Basis is what the confirmation of a departure rests on. Its values are metric labels and stand in
// log lines.
type Basis string

// What a confirmation rests on.
const (
	// ByBoth means that the store has taken the departure and nodes of other failure domains hold it.
	// It is then known after a restore of the store from an older copy, and after an end of all nodes.
	ByBoth Basis = "both"
	// ByStore means that the store alone has taken it.
	ByStore Basis = "store"
	// ByNodes means that nodes of other failure domains alone hold it.
	ByNodes Basis = "nodes"
	// Unconfirmed means that neither was the case in time.
	Unconfirmed Basis = "none"
)

// Recorder makes the departures of the targets on this VM durable. It is safe for concurrent use.
type Recorder struct {
	owner   string
	links   Links
	view    func() *peers.View
	domains func() int
	store   func(value []byte)
	log     zerolog.Logger
	// recorded is signalled when a departure is recorded.
	recorded chan struct{}

	mu         sync.Mutex
	departures []starts.Departure
	// value is the encoded list of departures, revision its number and recordedAt the time from which
	// on it is due. stored is the latest revision that the store has taken, held the latest that nodes
	// of enough failure domains have taken.
	value      []byte
	revision   int
	recordedAt time.Time
	stored     int
	held       int
	// holders are the nodes that hold departures, by failure domain.
	holders map[string]holding
	// progress is closed and replaced when stored or held increases.
	progress chan struct{}
}

// RecorderOption configures a Recorder.
type RecorderOption func(*Recorder)

// WithLog sets the logger; without it nothing is logged.
func WithLog(log zerolog.Logger) RecorderOption {
	return func(r *Recorder) {
		r.log = log
	}
}

// NewRecorder returns a recorder for the node owner and the function that stops it. domains returns
// the number of failure domains of the deployment. store has a value stored in the background, until
// the store takes it; Stored is to be called then.
func NewRecorder(owner string, links Links, view func() *peers.View, domains func() int, store func(value []byte), options ...RecorderOption) (*Recorder, func()) {
	r := &Recorder{
		owner:    owner,
		links:    links,
		view:     view,
		domains:  domains,
		store:    store,
		log:      zerolog.Nop(),
		recorded: make(chan struct{}, 1),
		holders:  map[string]holding{},
		progress: make(chan struct{}),
	}
	for _, o := range options {
		o(r)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		check := time.NewTicker(holderCheckPeriod)
		defer check.Stop()
		for attempt := 0; ; attempt++ {
			select {
			case <-ctx.Done():
				return
			case <-r.recorded:
				r.replicate(ctx)
			case <-check.C:
				r.hold(ctx, attempt, false)
			}
		}
	}()
	return r, cancel
}

// Decode decodes the departures in a stored value. Values of the format before, without sequence
// numbers, hold targets that have left for good.
func Decode(value []byte) ([]starts.Departure, error) {
	var departures []starts.Departure
	err := cbor.Unmarshal(value, &departures)
	if err == nil {
		return departures, nil
	}
	var withdrawals []struct {
		_         struct{} `cbor:",toarray"`
		ID        string
		StartedAt int64
		At        int64
	}
	if cbor.Unmarshal(value, &withdrawals) != nil {
		return nil, err
	}
	departures = departures[:0]
	for _, w := range withdrawals {
		departures = append(departures, starts.Departure{
			ID:        w.ID,
			StartedAt: w.StartedAt,
			At:        w.At,
			LastSeq:   starts.ForGood,
		})
	}
	return departures, nil
}

// Record makes departures durable, in the background.
func (r *Recorder) Record(departures []starts.Departure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if merged, changed := starts.MergeAll(r.departures, departures); changed {
		r.save(merged)
	}
}

// Restore takes over departures that the store holds, and has other nodes hold them. What was recorded
// before they were read has replaced them in the store, so that they are stored again.
func (r *Recorder) Restore(departures []starts.Departure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	isFirst := r.revision == 0
	merged, changed := starts.MergeAll(r.departures, departures)
	if !changed || !r.revise(merged) {
		return
	}
	if isFirst {
		r.stored = r.revision
		return
	}
	r.store(r.value)
}

// save has a list of departures stored and held by other nodes; r.mu must be held.
func (r *Recorder) save(departures []starts.Departure) {
	if r.revise(departures) {
		r.store(r.value)
	}
}

// revise makes a list of departures the present one and reports whether it can be encoded; r.mu must be
// held.
func (r *Recorder) revise(departures []starts.Departure) bool {
	value, err := cbor.Marshal(departures)
	if err != nil {
		r.log.Error().Err(err).Msg("departures not encoded")
		return false
	}
	r.departures, r.value = departures, value
	r.revision++
	r.recordedAt = time.Now()
	select {
	case r.recorded <- struct{}{}:
	default:
	}
	return true
}

// Stored records that the store has taken a value.
func (r *Recorder) Stored(value []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if bytes.Equal(value, r.value) {
		r.stored = r.revision
		r.advance()
	}
}

// advance wakes those that wait for progress; r.mu must be held.
func (r *Recorder) advance() {
	close(r.progress)
	r.progress = make(chan struct{})
}

// Await waits until all departures recorded so far are durable or ctx ends, and returns what they
// rest on.
func (r *Recorder) Await(ctx context.Context) Basis {
	r.mu.Lock()
	due, either := r.revision, time.After(time.Until(r.recordedAt.Add(bothTimeout)))
	r.mu.Unlock()
	for {
		r.mu.Lock()
		basis, progress := r.basis(due), r.progress
		r.mu.Unlock()
		if basis != Unconfirmed {
			return basis
		}
		select {
		case <-ctx.Done():
			return Unconfirmed
		case <-either:
		case <-progress:
		}
	}
}

// basis returns what the confirmation of a revision may rest on now; r.mu must be held.
func (r *Recorder) basis(revision int) Basis {
	either := time.Since(r.recordedAt) >= bothTimeout
	switch stored, held := r.stored >= revision, r.held >= revision; {
	case stored && held:
		return ByBoth
	case stored && (either || holderDomains(r.domains()) == 0):
		return ByStore
	case held && either:
		return ByNodes
	}
	return Unconfirmed
}
