package bank

import (
	"fuchsiapier/internal/base/timer"
)

// Status is one account for the operators.
type Status struct {
	Budget      string  `json:"budget"`
	Rate        float64 `json:"slice-rate"`
	Burst       float64 `json:"slice-burst"`
	Holds       float64 `json:"holds"`
	Outstanding float64 `json:"lent"`
	Demand      float64 `json:"demand"`
}

// Status returns all accounts.
func (b *Bank) Status() []Status {
	now := timer.Now()
	b.mu.RLock()
	accounts := b.list()
	b.mu.RUnlock()
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
