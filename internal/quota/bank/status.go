package bank

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
	// Holds is how many tokens can be spent now.
	Holds float64 `json:"holds"`
	// Outstanding is the amount of own tokens that is on loan.
	Outstanding float64 `json:"lent"`
	// Demand is the node's recent demand, in tokens per second.
	Demand float64 `json:"demand"`
}

// Status returns the status of all budgets in no particular order.
func (l *Bank) Status() []Status {
	now := timer.Now()
	l.mu.RLock()
	accounts := l.list()
	l.mu.RUnlock()
	out := make([]Status, 0, len(accounts))
	for _, a := range accounts {
		a.mu.Lock()
		out = append(out, Status{
			Budget:      a.name,
			Rate:        a.purse.Slice().Rate,
			Burst:       a.purse.Slice().Burst,
			Holds:       a.purse.Holds(now),
			Outstanding: a.purse.Outstanding(),
			Demand:      a.demand.Value(now, demandWindow),
		})
		a.mu.Unlock()
	}
	return out
}
