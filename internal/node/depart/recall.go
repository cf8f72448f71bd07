package depart

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/node/starts"
)

const (
	// recallTimeout is how long a node that starts does not use its target while it can't ask the
	// store and enough other nodes for departures. The target announces itself within about that
	// time in any case.
	recallTimeout = 2 * time.Second
	// lateRecallTime is how long it goes on asking afterwards.
	lateRecallTime = 30 * time.Second
	// recallPeriod is the time between two rounds of questions.
	recallPeriod = 50 * time.Millisecond
)

// Restart is what a node that starts does with the answers.
type Restart interface {
	// Restore applies departures that another node holds.
	Restore(departures []starts.Departure, from string)
	// Done is called once the node may use its target; complete says that all who may know of a
	// departure have answered.
	Done(complete bool)
}

// recaller asks for the departures that an earlier process of this node has recorded.
type recaller struct {
	owner   string
	links   Links
	view    func() *peers.View
	domains func() int
	restart Restart
	log     zerolog.Logger
	// listed is closed once the records of the store were read and restored.
	listed <-chan struct{}

	mu sync.Mutex
	// answered are the failure domains of which a node has answered.
	answered map[string]bool
}

// RecallOption configures StartRecall.
type RecallOption func(*recaller)

// WithRecallLog sets the logger; without it nothing is logged.
func WithRecallLog(log zerolog.Logger) RecallOption {
	return func(r *recaller) {
		r.log = log
	}
}

// StartRecall asks for the departures of the node owner, in the background, and returns the function
// that stops that. domains returns the number of failure domains of the deployment; listed is closed
// once the records of the store were read and restored.
func StartRecall(owner string, links Links, view func() *peers.View, domains func() int, listed <-chan struct{}, restart Restart, options ...RecallOption) func() {
	r := &recaller{
		owner:    owner,
		links:    links,
		view:     view,
		domains:  domains,
		restart:  restart,
		log:      zerolog.Nop(),
		listed:   listed,
		answered: map[string]bool{},
	}
	for _, o := range options {
		o(r)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go r.run(ctx)
	return cancel
}

// run asks until enough nodes have answered and the store was read. The target is used from then on,
// or after recallTimeout.
func (r *recaller) run(ctx context.Context) {
	began := time.Now()
	done := false
	for attempt := 0; ctx.Err() == nil; attempt++ {
		r.ask(ctx, attempt)
		complete := r.complete()
		waited := time.Since(began)
		if !done && (complete || waited >= recallTimeout) {
			done = true
			r.report(complete, waited)
			r.restart.Done(complete)
		}
		if complete || waited >= lateRecallTime {
			return
		}
		sleep(ctx, recallPeriod)
	}
}

// report logs that the target may be used.
func (r *recaller) report(complete bool, waited time.Duration) {
	r.mu.Lock()
	answered := len(r.answered)
	r.mu.Unlock()
	line := r.log.Info()
	if !complete {
		line = r.log.Warn()
	}
	line.Bool("complete", complete).Bool("store", r.isListed()).Int("domains-answered", answered).
		Int("domains-needed", recallDomains(r.domains())).Int64("waited-ms", waited.Milliseconds()).Msg("departures recalled")
}

func (r *recaller) isListed() bool {
	select {
	case <-r.listed:
		return true
	default:
		return false
	}
}

// complete reports whether every departure that was confirmed is known.
func (r *recaller) complete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isListed() && len(r.answered) >= recallDomains(r.domains())
}

// ask asks a node of each other failure domain that has not answered.
func (r *recaller) ask(ctx context.Context, attempt int) {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for domain, list := range candidates(r.view()) {
		r.mu.Lock()
		answered := r.answered[domain]
		r.mu.Unlock()
		if answered {
			continue
		}
		n := list[attempt%len(list)]
		wg.Go(func() {
			departures, err := r.links.Recall(ctx, n, r.owner, ItsDomain)
			if err != nil {
				r.log.Warn().Err(err).Str("node", n.Name).Str("domain", n.Domain).Msg("departures not recalled from a node")
				return
			}
			if len(departures) > 0 {
				r.restart.Restore(departures, n.Name)
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.answered[domain] = true
		})
	}
	wg.Wait()
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
