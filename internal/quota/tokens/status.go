package tokens

import (
	"fuchsiapier/internal/base/timer"
)

// Status describes one budget on a node for operators.
type Status struct {
	Budget string `json:"budget"`
	// Rate is the refill rate of the slice, in tokens per second.
	Rate float64 `json:"slice-rate"`
	// Burst is the capacity of the slice, in tokens.
	Burst float64 `json:"slice-burst"`
	// Available is how many tokens can be spent now.
	Available float64 `json:"holds"`
	// Outstanding is the amount of the slice that is on loan, in tokens.
	Outstanding float64 `json:"lent"`
	// Demand is the node's recent demand, in tokens per second.
	Demand float64 `json:"demand"`
}

// Status returns the status of all budgets in no particular order.
func (l *Limiter) Status() []Status {
	now := timer.Now()
	l.mu.RLock()
	accounts := l.list()
	l.mu.RUnlock()
	out := make([]Status, 0, len(accounts))
	for _, a := range accounts {
		a.mu.Lock()
		out = append(out, Status{
			Budget:      a.name,
			Rate:        a.bucket.Slice().Rate,
			Burst:       a.bucket.Slice().Burst,
			Available:   a.bucket.Available(now),
			Outstanding: a.bucket.Outstanding(),
			Demand:      a.demand.Value(now, demandWindow),
		})
		a.mu.Unlock()
	}
	return out
}
