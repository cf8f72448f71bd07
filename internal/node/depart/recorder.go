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

const (
	// storeHeadStart is how long the store alone has to take a departure, so that nodes are asked only
	// where it does not: traffic between domains is priced by the byte.
	storeHeadStart = 250 * time.Millisecond
	// holdTimeout bounds a call to a node: some round trips between regions.
	holdTimeout = 300 * time.Millisecond
	// holdPeriod is the time between two attempts to have nodes hold what the store has not taken.
	holdPeriod = 100 * time.Millisecond
)

// Basis is what the confirmation of a departure rests on. Its values are metric labels and stand in
// log lines.
type Basis string

// What a confirmation rests on.
const (
	// ByStore means that the store has taken the departure.
	ByStore Basis = "store"
	// ByNodes means that nodes of other failure domains hold it.
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
	// value is the encoded list of departures and revision its number. stored is the latest
	// revision that the store has taken, held the latest that nodes hold.
	value    []byte
	revision int
	stored   int
	held     int
	// holders are the nodes that hold departures, by failure domain.
	holders map[string]holding
	// progress is closed and replaced when stored or held increases.
	progress chan struct{}
}

// holding is a node that holds a revision.
type holding struct {
	node        string
	incarnation int64
	revision    int
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
		for {
			select {
			case <-ctx.Done():
				return
			case <-r.recorded:
				r.replicate(ctx)
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

// Restore takes over departures that the store holds. What was recorded before they were read has
// replaced them there, so that they are stored again.
func (r *Recorder) Restore(departures []starts.Departure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	merged, changed := starts.MergeAll(r.departures, departures)
	if changed && r.revision > 0 {
		r.save(merged)
		return
	}
	r.departures = merged
}

// save has a list of departures stored, and held by other nodes if the store does not take it; r.mu must
// be held.
func (r *Recorder) save(departures []starts.Departure) {
	value, err := cbor.Marshal(departures)
	if err != nil {
		r.log.Error().Err(err).Msg("departures not encoded")
		return
	}
	r.departures, r.value = departures, value
	r.revision++
	r.store(value)
	select {
	case r.recorded <- struct{}{}:
	default:
	}
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
	due := r.revision
	r.mu.Unlock()
	for {
		r.mu.Lock()
		stored, held, progress := r.stored, r.held, r.progress
		r.mu.Unlock()
		switch {
		case stored >= due:
			return ByStore
		case held >= due:
			return ByNodes
		}
		select {
		case <-ctx.Done():
			return Unconfirmed
		case <-progress:
		}
	}
}

// replicate has nodes of the other failure domains hold what the store does not take, until it has
// taken it. Holders that restart meanwhile are replaced.
func (r *Recorder) replicate(ctx context.Context) {
	if r.awaitStore(ctx, storeHeadStart) {
		return
	}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		r.hold(ctx, attempt)
		if r.awaitStore(ctx, holdPeriod) {
			return
		}
	}
}

// awaitStore waits until the store has taken all departures, which it reports, at most for a time.
func (r *Recorder) awaitStore(ctx context.Context, timeout time.Duration) bool {
	expired := time.After(timeout)
	for {
		r.mu.Lock()
		stored, progress := r.stored == r.revision, r.progress
		r.mu.Unlock()
		if stored {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-expired:
			return false
		case <-progress:
		}
	}
}

// hold asks a node of each other failure domain in which none holds the latest departures.
func (r *Recorder) hold(ctx context.Context, attempt int) {
	nodes := candidates(r.view())
	r.mu.Lock()
	revision := r.revision
	record := Record{
		Owner:      r.owner,
		Departures: r.departures,
	}
	var asked []peers.Node
	for domain, list := range nodes {
		if !r.holds(domain, list, revision) {
			asked = append(asked, list[attempt%len(list)])
		}
	}
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, n := range asked {
		wg.Go(func() {
			err := r.links.Hold(ctx, n, record, ItsDomain)
			if err != nil {
				r.log.Warn().Err(err).Str("node", n.Name).Str("domain", n.Domain).Msg("departures not held")
				return
			}
			r.holder(n, revision)
		})
	}
	wg.Wait()
}

// holds reports whether one of the live nodes of a domain holds a revision; r.mu must be held.
func (r *Recorder) holds(domain string, nodes []peers.Node, revision int) bool {
	h, ok := r.holders[domain]
	if !ok || h.revision < revision {
		return false
	}
	for _, n := range nodes {
		if n.Name == h.node {
			return n.Incarnation == h.incarnation
		}
	}
	return false
}

// holder records that a node holds a revision.
func (r *Recorder) holder(n peers.Node, revision int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holders[n.Domain] = holding{
		node:        n.Name,
		incarnation: n.Incarnation,
		revision:    revision,
	}
	domains := 0
	for _, h := range r.holders {
		if h.revision >= revision {
			domains++
		}
	}
	if needed := holderDomains(r.domains()); needed > 0 && domains >= needed && r.held < revision {
		r.held = revision
		r.advance()
	}
}
